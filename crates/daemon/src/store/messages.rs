//! The store's interface, free of its encoding.

use std::{future::Future, time::Duration};

use snafu::Snafu;

/// A call to the store that gave no usable answer.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Snafu)]
#[non_exhaustive]
pub(crate) enum StoreError {
    /// The store was not reached or did not answer in time. A write may have
    /// taken effect.
    #[snafu(display("store call failed: {message}; check the address in --store and the store"))]
    Unavailable {
        /// The cause.
        message: String,
    },
    /// The answer is malformed.
    #[snafu(display("store answer is malformed: {message}; check the version of the store"))]
    Malformed {
        /// The parser's message.
        message: String,
    },
    /// The changes since the start revision of a watch were compacted.
    #[snafu(display("store history was compacted at revision {revision}; read the keys again"))]
    Compacted {
        /// The compacted revision.
        revision: StoreRevision,
    },
}

/// Identifier of a lease.
pub(crate) type LeaseId = i64;

/// Number of a state of the store; every write raises it.
pub(crate) type StoreRevision = i64;

/// A stored key with its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct StoreEntry {
    /// The key.
    pub(crate) key: String,
    /// The value.
    pub(crate) value: Vec<u8>,
}

/// A condition of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum StoreCompare {
    /// The key is not in the store.
    Absent(String),
    /// The key has this value.
    ValueEquals(String, Vec<u8>),
}

/// A key to be written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct StorePut {
    /// The key.
    pub(crate) key: String,
    /// The value.
    pub(crate) value: Vec<u8>,
}

/// A set of keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum StoreRange {
    /// One key.
    Key(String),
    /// All keys with a prefix.
    Prefix(String),
    /// The keys from the first up to the second, which is not included.
    Span(String, String),
}

/// Entries read in one call, and the revision at which they were current.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct StoreReading {
    /// The revision of the store.
    pub(crate) revision: StoreRevision,
    /// The entries in key order within each range.
    pub(crate) entries: Vec<StoreEntry>,
}

/// One change that a watch reports.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct StoreChange {
    /// The revision of the change.
    pub(crate) revision: StoreRevision,
    /// The key.
    pub(crate) key: String,
    /// The new value, or `None` if the key was deleted.
    pub(crate) value: Option<Vec<u8>>,
}

/// An atomic compare-and-write.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct StoreTxn {
    /// All must hold.
    pub(crate) compares: Vec<StoreCompare>,
    /// Written if all conditions hold.
    pub(crate) puts: Vec<StorePut>,
    /// Lease under which the written keys live.
    pub(crate) lease: Option<LeaseId>,
    /// Deleted if all conditions hold.
    pub(crate) deletes: Vec<StoreRange>,
    /// Keys read if a condition does not hold.
    pub(crate) reads_on_conflict: Vec<String>,
}

/// The result of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum TxnOutcome {
    /// All conditions held and the writes took effect.
    Committed,
    /// A condition did not hold; the entries that were read instead.
    Conflict(Vec<StoreEntry>),
}

/// A stream of changes.
pub(crate) trait StoreWatch: Send {
    /// Waits for the next changes; may be cancelled without losing any.
    fn next(&mut self) -> impl Future<Output = Result<Vec<StoreChange>, StoreError>> + Send;
}

/// Reads and transactions of the platform's key-value store.
pub(crate) trait StoreClient: Clone + Send + Sync + 'static {
    /// Reads all keys with a prefix.
    fn read_prefix(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<Vec<StoreEntry>, StoreError>> + Send;

    /// Applies a transaction.
    fn commit(
        &self,
        transaction: StoreTxn,
    ) -> impl Future<Output = Result<TxnOutcome, StoreError>> + Send;
}

/// Watches and leases of the platform's key-value store.
pub(crate) trait CoordinationClient: StoreClient {
    /// The stream of changes that [`watch`](Self::watch) returns.
    type Watch: StoreWatch;

    /// Reads several ranges at one revision, in one call.
    fn read_ranges(
        &self,
        ranges: &[StoreRange],
    ) -> impl Future<Output = Result<StoreReading, StoreError>> + Send;

    /// Watches several ranges from a revision on, in one long call.
    fn watch(
        &self,
        ranges: &[StoreRange],
        start: StoreRevision,
    ) -> impl Future<Output = Result<Self::Watch, StoreError>> + Send;

    /// Grants a lease.
    fn grant_lease(
        &self,
        duration: Duration,
    ) -> impl Future<Output = Result<LeaseId, StoreError>> + Send;

    /// Renews a lease and tells whether it was still alive.
    fn renew_lease(&self, lease: LeaseId) -> impl Future<Output = Result<bool, StoreError>> + Send;

    /// Ends a lease, which deletes its keys.
    fn revoke_lease(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Notes how many daemons share the store's rates.
    fn set_daemon_count(&self, daemons: u32);
}
