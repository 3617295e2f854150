/*!
The platform's key-value store.

[`StoreClient`] is what the rest of the daemon sees; [`HttpStore`] speaks the
JSON form of a widely used key-value store's HTTP interface.
*/

mod client;
mod messages;
mod wire;

pub(crate) use client::HttpStore;
pub(crate) use messages::{StoreClient, StoreCompare, StoreEntry, StoreError};
pub(crate) use messages::{StorePut, StoreTxn, TxnOutcome};
