//! Results of publication.

use auburnsaddle_core::ConfigHead;

use crate::store::StoreError;

/// What became of a version that was sent to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum CommitResult {
    /// The version is in the store.
    Committed,
    /// Another version was published first; the head if it could be read.
    Superseded(Option<ConfigHead>),
    /// The store could not be asked whether the version was written.
    Unknown(StoreError),
}
