//! Records, events and actions of the journal.

use std::{collections::BTreeSet, fmt};

use serde::{Deserialize, Serialize};

use crate::types::{DaemonId, Epoch, ShardName};

/// Identifier of a record while it is being written, unique in a process.
pub type RecordId = u64;
/// Number of a group commit, unique in a process.
pub type BatchNumber = u64;

/// What a record states; its payload is encoded by the slice that wrote it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub enum RecordKind {
    /// A task was accepted.
    TaskAccepted,
    /// A task is about to be started on a worker, or was.
    TaskStarted,
    /// A task ended, was rejected or was cancelled.
    TaskEnded,
    /// A call with an idempotency key is about to be dispatched.
    KeyIntent,
    /// The outcome of such a call.
    KeyOutcome,
}

/// How long a record may wait for others to share its commit.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RecordUrgency {
    /// Nobody waits for it, or only the start of batch work: the deferred
    /// interval.
    Deferred,
    /// An acknowledgement, or the start of urgent or normal work, waits for
    /// it: the commit interval.
    Prompt,
    /// A call waits for it: no longer than the write share demands.
    Immediate,
}

impl RecordKind {
    /// Returns the urgency of a record of which no more is known.
    #[must_use]
    pub const fn urgency(self) -> RecordUrgency {
        match self {
            Self::TaskAccepted | Self::TaskStarted => RecordUrgency::Prompt,
            Self::TaskEnded => RecordUrgency::Deferred,
            Self::KeyIntent | Self::KeyOutcome => RecordUrgency::Immediate,
        }
    }
}

/// One durable record.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct JournalRecord {
    /// What the record states.
    pub kind: RecordKind,
    /// The encoded content.
    pub payload: Vec<u8>,
}

/// Place of a segment in the journal of a shard, in order of writing.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct SegmentPosition {
    /// The writer's epoch.
    pub epoch: Epoch,
    /// Number of the segment within the epoch, counted from one.
    pub sequence: u64,
}

/// Name of a value of a shard's journal, relative to the shard.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub enum JournalKey {
    /// A segment.
    Segment(SegmentPosition),
    /// A part of the snapshot that covers the journal up to some segment.
    Part {
        /// Epoch of the writer.
        epoch: Epoch,
        /// Number of the snapshot within the epoch.
        snapshot: u64,
        /// Number of the part within the snapshot.
        index: u32,
    },
    /// The manifest of the snapshot in force.
    Manifest,
}

impl fmt::Display for JournalKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            // The width keeps the segments of an epoch in order by name, so
            // that one range deletes them; 32 bits last for 6 years at 20
            // commits per second.
            Self::Segment(position) => {
                write!(formatter, "{}/{:08x}", position.epoch, position.sequence)
            }
            Self::Part {
                epoch,
                snapshot,
                index,
            } => write!(formatter, "part/{epoch}/{snapshot}/{index}"),
            Self::Manifest => formatter.write_str("manifest"),
        }
    }
}

/// The content of a segment or of a snapshot part.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SegmentBody {
    /// The shard.
    pub shard: ShardName,
    /// The daemon that wrote the value.
    pub daemon: DaemonId,
    /// The name under which the value was written.
    pub key: JournalKey,
    /// The records, oldest first.
    pub records: Vec<JournalRecord>,
}

/// The values that make up a snapshot.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SnapshotManifest {
    /// The shard.
    pub shard: ShardName,
    /// The parts, in order.
    pub parts: Vec<JournalKey>,
    /// The last segment that the parts cover.
    pub through: SegmentPosition,
}

/// A segment of one shard within a batch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SegmentWrite {
    /// The shard; its owner record must have the epoch of `position`.
    pub shard: ShardName,
    /// The place of the segment.
    pub position: SegmentPosition,
    /// The sealed value.
    pub value: Vec<u8>,
}

/// One transaction: all segments are written, or none.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JournalBatch {
    /// Number to report the result with.
    pub number: BatchNumber,
    /// The segments, at most one per shard.
    pub segments: Vec<SegmentWrite>,
}

/// Something that happens to the journal.
#[derive(Clone, Debug)]
pub enum JournalEvent {
    /// A shard was acquired and its journal replayed.
    Opened {
        /// The shard.
        shard: ShardName,
        /// The epoch of the ownership.
        epoch: Epoch,
        /// The sealed manifest in the store, if there is one.
        manifest: Option<Vec<u8>>,
        /// The other keys in the store with the sizes of their values.
        keys: Vec<(JournalKey, usize)>,
    },
    /// The shard is no longer owned.
    Closed(ShardName),
    /// A batch was written.
    Committed(BatchNumber),
    /// A batch was not written because these shards have other owners.
    GuardFailed(BatchNumber, BTreeSet<ShardName>),
    /// The response to a batch was lost.
    ResponseLost(BatchNumber),
    /// The first segment of a batch was read: its value, if it was there.
    ReadBack(BatchNumber, Option<Vec<u8>>),
    /// The records that describe a shard, in parts of at most the batch size,
    /// taken after all records appended so far.
    SnapshotTaken(ShardName, Epoch, Vec<Vec<JournalRecord>>),
    /// A part of a snapshot was written.
    PartWritten(ShardName, JournalKey),
    /// Writing a part or a manifest failed or its response was lost.
    SnapshotWriteLost(ShardName),
    /// The manifest that is in the store after its transaction.
    ManifestAnswered(ShardName, Epoch, Option<Vec<u8>>),
    /// A shard is to be handed over, so nothing waits for more records.
    FlushRequested,
    /// Time has passed.
    TimerFired,
}

/// What the journal asks its surroundings to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JournalAction {
    /// Writes a batch in one transaction guarded by the owner epochs.
    Commit(JournalBatch),
    /// Reads the segment of a batch whose response was lost.
    ReadBack(BatchNumber, ShardName, SegmentPosition),
    /// These records are in the store.
    Durable(Vec<RecordId>),
    /// These records were not written by this daemon; with `maybe_written`
    /// the next owner may find them in the store all the same.
    Failed {
        /// The records.
        records: Vec<RecordId>,
        /// Whether a transaction with them may have taken effect.
        maybe_written: bool,
    },
    /// A guarded write failed: this daemon no longer owns the shard.
    Fenced(ShardName, Epoch),
    /// Asks for [`JournalEvent::SnapshotTaken`].
    TakeSnapshot(ShardName, Epoch),
    /// Writes a part of a snapshot, guarded by the owner epoch.
    WritePart {
        /// The shard.
        shard: ShardName,
        /// The epoch that the owner record must have.
        epoch: Epoch,
        /// Name of the part.
        key: JournalKey,
        /// The sealed value.
        value: Vec<u8>,
    },
    /// Replaces the manifest by compare-and-swap, guarded by the owner epoch,
    /// and deletes what it makes superfluous.
    WriteManifest {
        /// The shard.
        shard: ShardName,
        /// The epoch that the owner record must have.
        epoch: Epoch,
        /// The sealed manifest that must be in the store, or none.
        expected: Option<Vec<u8>>,
        /// The sealed manifest to write.
        value: Vec<u8>,
        /// Keys to delete in the same transaction.
        deletes: Vec<JournalKey>,
    },
}
