//! The store's interface, free of its encoding.

use std::future::Future;

use snafu::Snafu;

/// A call to the store that gave no usable answer.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
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
}

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

/// An atomic compare-and-write.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct StoreTxn {
    /// All must hold.
    pub(crate) compares: Vec<StoreCompare>,
    /// Written if all conditions hold.
    pub(crate) puts: Vec<StorePut>,
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

/// The platform's key-value store.
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
