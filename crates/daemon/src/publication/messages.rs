//! Result of publishing a configuration version.

use auburnsaddle_core::ConfigHead;

use crate::store::StoreError;

/// Result of writing a configuration version to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum CommitResult {
    /// The store holds the version.
    Committed,
    /// Another version was published first. Holds the head in the store, or `None`
    /// if it could not be read.
    Superseded(Option<ConfigHead>),
    /// It is unknown whether the version was written; holds the last store error.
    Unknown(StoreError),
}
