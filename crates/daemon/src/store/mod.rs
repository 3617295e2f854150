/*!
The platform's key-value store.

[`StoreClient`] is what the rest of the daemon sees; [`HttpStore`] speaks the
JSON form of a widely used key-value store's HTTP interface. It keeps this
daemon's share of the store's rates and counts its calls. [`StoreView`] keeps a
copy of some keys current from whole readings and the changes of a watch.
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
