//! Interface of the key-value store, independent of its wire format.

use std::{future::Future, time::Duration};

use snafu::Snafu;

/// A store call that returned no usable response.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Snafu)]
#[non_exhaustive]
pub(crate) enum StoreError {
    /// The store was unreachable, refused the call or timed out; a write may
    /// still have taken effect.
    #[snafu(display("store call failed: {message}; check the address in --store and the store"))]
    Unavailable {
        /// Text of the underlying error.
        message: String,
    },
    /// The response cannot be decoded.
    #[snafu(display("store answer is malformed: {message}; check the version of the store"))]
    Malformed {
        /// Error text of the decoder.
        message: String,
    },
    /// A watch starts at a revision whose history the store has compacted.
    #[snafu(display("store history was compacted at revision {revision}; read the keys again"))]
    Compacted {
        /// Compaction revision that the store reports.
        revision: StoreRevision,
    },
}

/// Identifier of a lease, assigned by the store.
pub(crate) type LeaseId = i64;

/// Revision of the store; each write transaction increments it.
pub(crate) type StoreRevision = i64;

/// A stored key with its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct StoreEntry {
    /// The full key, prefix included.
    pub(crate) key: String,
    /// The raw value, without its base64 encoding.
    pub(crate) value: Vec<u8>,
}

/// Precondition of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum StoreCompare {
    /// The key does not exist.
    Absent(String),
    /// The key exists with exactly this value.
    ValueEquals(String, Vec<u8>),
}

/// A key that a transaction writes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct StorePut {
    /// The full key, prefix included.
    pub(crate) key: String,
    /// The raw value, without its base64 encoding.
    pub(crate) value: Vec<u8>,
}

/// A set of keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum StoreRange {
    /// One key.
    Key(String),
    /// All keys with a prefix.
    Prefix(String),
    /// The half-open range from the first key up to the second, exclusive.
    Span(String, String),
}

/// A consistent read of several ranges at one revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct StoreSnapshot {
    /// Revision at which all entries were read.
    pub(crate) revision: StoreRevision,
    /// The entries, in key order within each range.
    pub(crate) entries: Vec<StoreEntry>,
}

/// A change event of a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct StoreChange {
    /// Revision at which the key was last modified.
    pub(crate) revision: StoreRevision,
    /// The changed key.
    pub(crate) key: String,
    /// The new value, or `None` if the key was deleted.
    pub(crate) value: Option<Vec<u8>>,
}

/// An atomic transaction that writes if all its preconditions hold.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct StoreTxn {
    /// Preconditions, all of which must hold.
    pub(crate) compares: Vec<StoreCompare>,
    /// Keys written if the preconditions hold.
    pub(crate) puts: Vec<StorePut>,
    /// Lease to which the written keys are attached; they are deleted when it
    /// ends.
    pub(crate) lease: Option<LeaseId>,
    /// Ranges deleted if the preconditions hold.
    pub(crate) deletes: Vec<StoreRange>,
    /// Keys read if a precondition fails.
    pub(crate) reads_on_conflict: Vec<String>,
}

/// Result of a transaction that the store has processed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum TxnOutcome {
    /// The preconditions held and the writes were applied.
    Committed,
    /// A precondition failed and nothing was written; holds the entries of
    /// [`StoreTxn::reads_on_conflict`].
    Conflict(Vec<StoreEntry>),
}

/// The change stream of an open watch.
pub(crate) trait StoreWatch: Send {
    /// Waits for the next changes. Dropping the future loses none of them.
    fn next(&mut self) -> impl Future<Output = Result<Vec<StoreChange>, StoreError>> + Send;
}

/// Reads and transactions of the platform's key-value store.
pub(crate) trait StoreClient: Clone + Send + Sync + 'static {
    /// Reads all keys with a prefix.
    fn read_prefix(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<Vec<StoreEntry>, StoreError>> + Send;

    /// Commits a transaction.
    fn commit(
        &self,
        transaction: StoreTxn,
    ) -> impl Future<Output = Result<TxnOutcome, StoreError>> + Send;
}

/// Watches, leases and consistent reads of the platform's key-value store, on
/// which the daemons coordinate ownership and membership.
pub(crate) trait CoordinationClient: StoreClient {
    /// The change stream that [`watch`](Self::watch) returns.
    type Watch: StoreWatch;

    /// Reads several ranges at one revision, in one call.
    fn read_ranges(
        &self,
        ranges: &[StoreRange],
    ) -> impl Future<Output = Result<StoreSnapshot, StoreError>> + Send;

    /// Watches several ranges, from a start revision on, with one streaming
    /// call.
    fn watch(
        &self,
        ranges: &[StoreRange],
        start: StoreRevision,
    ) -> impl Future<Output = Result<Self::Watch, StoreError>> + Send;

    /// Grants a lease that expires after `duration` unless it is renewed.
    fn grant_lease(
        &self,
        duration: Duration,
    ) -> impl Future<Output = Result<LeaseId, StoreError>> + Send;

    /// Renews a lease. Returns `false` if it has already expired.
    fn renew_lease(&self, lease: LeaseId) -> impl Future<Output = Result<bool, StoreError>> + Send;

    /// Revokes a lease, which deletes the keys attached to it.
    fn revoke_lease(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Sets the number of daemons among which the total call rate is divided.
    fn set_daemon_count(&self, daemon_count: u32);
}
