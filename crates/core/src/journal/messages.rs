//! Records, events and actions of the journal.

use std::{collections::BTreeSet, fmt};

use serde::{Deserialize, Serialize};

use crate::types::{DaemonId, Epoch, ShardName};

/// Identifier of an appended record, unique within a process.
pub type RecordId = u64;
/// Number of a group commit, unique within a process.
pub type BatchNumber = u64;

/// The event that a record states. The slice that writes the record encodes its
/// payload.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub enum RecordKind {
    /// A task was accepted.
    TaskAccepted,
    /// A task is about to be started on a worker, or has been started.
    TaskStarted,
    /// A task ended, was rejected or was cancelled.
    TaskEnded,
    /// A call with an idempotency key is about to be dispatched.
    KeyIntent,
    /// A call with an idempotency key has an outcome.
    KeyOutcome,
}

/// How long a record may wait for further records to share its commit.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RecordUrgency {
    /// Up to the deferred interval: no request waits for the record, or only the
    /// start of batch work.
    Deferred,
    /// Up to the commit interval: an acknowledgement, or the start of urgent or
    /// normal work, waits for the record.
    Prompt,
    /// No longer than the daemon's share of the store's write rate requires: a
    /// call waits for the record.
    Immediate,
}

impl RecordKind {
    /// Returns the default urgency of records of this kind.
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
    /// The event that the record states.
    pub kind: RecordKind,
    /// The content, encoded by the slice that wrote the record.
    pub payload: Vec<u8>,
}

/// Position of a segment in the journal of a shard, ordered by time of writing.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct SegmentPosition {
    /// The writer's epoch.
    pub epoch: Epoch,
    /// Number of the segment within the epoch, counted from one.
    pub sequence: u64,
}

/// Key of a value in a shard's journal, relative to the shard.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub enum JournalKey {
    /// A segment.
    Segment(SegmentPosition),
    /// A part of a snapshot.
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
            // The fixed width keeps the segments of an epoch in lexical order,
            // so that one range request deletes them. 32 bits last 6 years at
            // 20 commits per second.
            Self::Segment(at) => write!(formatter, "{}/{:08x}", at.epoch, at.sequence),
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
    /// The key under which the value was written; replay rejects it elsewhere.
    pub key: JournalKey,
    /// The records, oldest first.
    pub records: Vec<JournalRecord>,
}

/// The parts of the snapshot in force, and the segments that it replaces.
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
    /// The position of the segment.
    pub position: SegmentPosition,
    /// The value to write, envelope included.
    pub value: Vec<u8>,
}

/// One group commit: a transaction that writes all segments or none.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JournalBatch {
    /// Number under which the result is reported.
    pub number: BatchNumber,
    /// The segments, at most one per shard.
    pub segments: Vec<SegmentWrite>,
}

/// An input of [`RecordLog::handle`](super::RecordLog::handle).
#[derive(Clone, Debug)]
pub enum JournalEvent {
    /// A shard was acquired and its journal replayed.
    Opened {
        /// The shard.
        shard: ShardName,
        /// The epoch of the ownership.
        epoch: Epoch,
        /// The encoded manifest in the store, if there is one.
        manifest: Option<Vec<u8>>,
        /// The other keys in the store, with the sizes of their values in bytes.
        keys: Vec<(JournalKey, usize)>,
    },
    /// This daemon no longer owns the shard.
    Closed(ShardName),
    /// A batch was written.
    Committed(BatchNumber),
    /// A batch was not written because these shards have another owner epoch.
    GuardFailed(BatchNumber, BTreeSet<ShardName>),
    /// The response to a batch or to its read-back was lost.
    ResponseLost(BatchNumber),
    /// The first segment of a batch was read back: its value, or `None` if the
    /// store does not hold it.
    ReadBack(BatchNumber, Option<Vec<u8>>),
    /// The records that represent the state of a shard after all records
    /// appended so far, in parts of at most the batch size.
    SnapshotTaken(ShardName, Epoch, Vec<Vec<JournalRecord>>),
    /// A part of a snapshot was written.
    PartWritten(ShardName, JournalKey),
    /// The write of a part or a manifest failed, or its response was lost.
    SnapshotWriteLost(ShardName),
    /// The encoded manifest that the store holds after its compare-and-swap.
    ManifestAnswered(ShardName, Epoch, Option<Vec<u8>>),
    /// A shard is being handed over: pending records are written without waiting
    /// for more.
    FlushRequested,
    /// The periodic timer fired.
    TimerFired,
}

/// A request or report of [`RecordLog::handle`](super::RecordLog::handle) to the
/// process that runs it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JournalAction {
    /// Writes a batch in one transaction guarded by the owner epochs.
    Commit(JournalBatch),
    /// Reads back the first segment of a batch whose response was lost.
    ReadBack(BatchNumber, ShardName, SegmentPosition),
    /// These records are in the store.
    Durable(Vec<RecordId>),
    /// These records were not committed under this ownership. With
    /// `maybe_written` they may be in the store, where the next owner replays
    /// them.
    Failed {
        /// The records.
        records: Vec<RecordId>,
        /// Whether a transaction with them may have taken effect.
        maybe_written: bool,
    },
    /// A guarded write failed: this daemon no longer owns the shard.
    Fenced(ShardName, Epoch),
    /// Requests [`JournalEvent::SnapshotTaken`].
    TakeSnapshot(ShardName, Epoch),
    /// Writes a part of a snapshot, guarded by the owner epoch.
    WritePart {
        /// The shard.
        shard: ShardName,
        /// The epoch that the owner record must have.
        epoch: Epoch,
        /// Key of the part.
        key: JournalKey,
        /// The value to write, envelope included.
        value: Vec<u8>,
    },
    /// Replaces the manifest by compare-and-swap, guarded by the owner epoch,
    /// and deletes the keys that it makes obsolete.
    WriteManifest {
        /// The shard.
        shard: ShardName,
        /// The epoch that the owner record must have.
        epoch: Epoch,
        /// The encoded manifest that the store must hold, or `None` for no
        /// manifest.
        expected: Option<Vec<u8>>,
        /// The encoded manifest to write.
        value: Vec<u8>,
        /// Keys to delete in the same transaction.
        deletes: Vec<JournalKey>,
    },
}
