//! Effects, reports and notices of the journal.

use std::collections::BTreeSet;

use auburnsaddle_core::{
    BatchNumber, Epoch, JournalAction, JournalError, JournalKey, JournalRecord, RecordId, ShardName,
};

/// Something that the journal needs from the store.
#[derive(Clone, Debug)]
pub(crate) enum JournalEffect {
    /// Reads the whole journal of a shard.
    Read(ShardName, Epoch),
    /// A write or a reading that the record log decided on.
    Store(JournalAction),
}

/// The journal of a shard as read from the store.
#[derive(Clone, Debug)]
pub(crate) struct LoadedJournal {
    /// The sealed manifest, if there is one.
    pub(super) manifest: Option<Vec<u8>>,
    /// The other keys with the sizes of their values.
    pub(super) keys: Vec<(JournalKey, usize)>,
    /// The records, oldest first.
    pub(super) records: Vec<JournalRecord>,
}

/// The result of a [`JournalEffect`].
#[derive(Clone, Debug)]
pub(crate) enum JournalReport {
    /// A journal was read.
    Loaded(ShardName, Epoch, Result<LoadedJournal, JournalError>),
    /// A batch was written.
    Committed(BatchNumber),
    /// A batch was not written because these shards have other owners.
    GuardFailed(BatchNumber, BTreeSet<ShardName>),
    /// The answer to a batch or to its reading back was lost.
    ResponseLost(BatchNumber),
    /// The first segment of a batch was read.
    ReadBack(BatchNumber, Option<Vec<u8>>),
    /// A part of a snapshot was written.
    PartWritten(ShardName, JournalKey),
    /// The answer to a write of a snapshot was lost.
    SnapshotWriteLost(ShardName),
    /// The manifest in the store after its transaction.
    ManifestAnswered(ShardName, Epoch, Option<Vec<u8>>),
    /// A write of a snapshot found another owner.
    Fenced(ShardName, Epoch),
}

impl JournalReport {
    /// Returns the name of the result of a commit in metrics, or `None` for
    /// other reports.
    pub(crate) const fn commit_result(&self) -> Option<&'static str> {
        match self {
            Self::Committed(_) => Some("committed"),
            Self::GuardFailed(..) => Some("fenced"),
            Self::ResponseLost(_) => Some("lost"),
            _ => None,
        }
    }
}

/// What the journal tells the slices and the owner table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum JournalNotice {
    /// A shard may be appended to; these are its records, oldest first.
    Opened(ShardName, Epoch, Vec<JournalRecord>),
    /// The journal of a shard cannot be read; the shard must not be served.
    Corrupted(ShardName, Epoch, JournalError),
    /// These records are in the store.
    Durable(ShardName, Vec<RecordId>),
    /// These records were not written by this daemon; with `maybe_written` the
    /// next owner may find them all the same.
    Failed {
        /// The shard.
        shard: ShardName,
        /// The records.
        records: Vec<RecordId>,
        /// Whether a transaction with them may have taken effect.
        maybe_written: bool,
    },
    /// All records of a shard that is being handed over are in the store.
    Flushed(ShardName, Epoch),
    /// This daemon no longer owns the shard.
    Fenced(ShardName, Epoch),
    /// Asks the slice for the records that describe the shard now, to be
    /// passed to `ShardJournals::export`.
    ExportNeeded(ShardName, Epoch),
    /// The store answers again, or does not.
    StoreChanged {
        /// Whether it answers.
        available: bool,
    },
}
