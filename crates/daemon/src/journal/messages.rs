//! Effects, reports and notices of the journal.

use std::collections::BTreeSet;

use auburnsaddle_core::{
    BatchNumber, Epoch, JournalAction, JournalError, JournalKey, JournalRecord, RecordId, ShardName,
};

/// A store call requested by the journal.
#[derive(Clone, Debug)]
pub(crate) enum JournalEffect {
    /// Reads the whole journal of a shard.
    Read(ShardName, Epoch),
    /// A write or read requested by the record log.
    Store(JournalAction),
}

/// The journal of a shard as read from the store.
#[derive(Clone, Debug)]
pub(crate) struct LoadedJournal {
    /// The manifest as stored, with its checksum; `None` before the first snapshot.
    pub(super) manifest: Option<Vec<u8>>,
    /// The keys other than the manifest, with the sizes of their values in bytes.
    pub(super) keys: Vec<(JournalKey, usize)>,
    /// The replayed records, oldest first.
    pub(super) records: Vec<JournalRecord>,
}

/// The result of a [`JournalEffect`].
#[derive(Clone, Debug)]
pub(crate) enum JournalReport {
    /// A journal was read; holds an error if it cannot be decoded.
    Loaded(ShardName, Epoch, Result<LoadedJournal, JournalError>),
    /// A batch was committed.
    Committed(BatchNumber),
    /// A batch was not committed because this daemon no longer owns these shards.
    GuardFailed(BatchNumber, BTreeSet<ShardName>),
    /// The response to a commit, or to the read after it, was lost. It is unknown
    /// whether the batch was committed.
    ResponseLost(BatchNumber),
    /// The first segment of a batch was read back; `None` if it is not in the
    /// store.
    ReadBack(BatchNumber, Option<Vec<u8>>),
    /// A part of a snapshot was written.
    PartWritten(ShardName, JournalKey),
    /// The response to the write of a snapshot part or manifest was lost.
    SnapshotWriteLost(ShardName),
    /// The manifest transaction was answered; holds the manifest that is in the
    /// store after it, or `None` if there is none.
    ManifestAnswered(ShardName, Epoch, Option<Vec<u8>>),
    /// The write of a snapshot part or manifest failed because another owner is
    /// recorded.
    Fenced(ShardName, Epoch),
}

impl JournalReport {
    /// Returns the result of a commit as a metric label, or `None` for reports
    /// other than of commits.
    pub(crate) const fn commit_result(&self) -> Option<&'static str> {
        match self {
            Self::Committed(_) => Some("committed"),
            Self::GuardFailed(..) => Some("fenced"),
            Self::ResponseLost(_) => Some("lost"),
            _ => None,
        }
    }
}

/// A notification from the journal to the owner table or to the module that
/// keeps a shard's state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum JournalNotice {
    /// The journal of a shard was read and accepts new records. Holds its records,
    /// oldest first.
    Opened(ShardName, Epoch, Vec<JournalRecord>),
    /// The journal of a shard cannot be decoded, so the shard must not be served.
    Corrupted(ShardName, Epoch, JournalError),
    /// Records of a shard were committed to the store.
    Durable(ShardName, Vec<RecordId>),
    /// This daemon could not confirm that records of a shard were committed.
    Failed {
        /// The shard of the records.
        shard: ShardName,
        /// The identifiers returned when the records were appended.
        records: Vec<RecordId>,
        /// Whether a transaction with the records may have taken effect, so that
        /// the next owner may still replay them.
        maybe_written: bool,
    },
    /// All records of a shard in a handover are in the store.
    Flushed(ShardName, Epoch),
    /// A guarded write failed because this daemon no longer owns the shard.
    Fenced(ShardName, Epoch),
    /// A snapshot is due: the module that keeps the shard's state must pass the
    /// records that describe its current state to `ShardJournals::start_snapshot`.
    SnapshotNeeded(ShardName, Epoch),
    /// The store became available or unavailable for writes.
    StoreChanged {
        /// Whether writes are answered.
        available: bool,
    },
}
