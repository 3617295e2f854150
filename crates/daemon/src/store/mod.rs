/*!
Client of the platform's key-value store.

The rest of the daemon uses the traits [`StoreClient`] and
[`CoordinationClient`]. [`HttpStore`] implements them over the HTTP/JSON gateway
of a widely used key-value store; it limits the call rate to this daemon's share
and counts its calls. [`StoreView`] caches a set of key ranges, kept current by
snapshots and watch events.
*/

mod client;
#[cfg(test)]
mod client_tests;
mod limits;
mod messages;
#[cfg(test)]
mod tests;
mod view;
mod watch;
mod watch_wire;
mod wire;

pub(crate) use client::HttpStore;
#[cfg(test)]
pub(crate) use client_tests::start_store;
pub(crate) use limits::{StoreBackoff, StoreCounts, StoreRates};
pub(crate) use messages::{
    CoordinationClient, LeaseId, StoreClient, StoreCompare, StoreEntry, StoreError, StorePut,
    StoreRange, StoreTxn, StoreWatch, TxnOutcome,
};
pub(crate) use view::StoreView;
