//! The daemon's lease in the store, the watches on the store, and the route to it.

mod lease;
mod prefix_watch;
mod retry;
mod route;
#[cfg(test)]
mod tests;

pub(crate) use lease::{LeaseConfirmation, LeaseUpdate, maintain_lease};
pub(crate) use prefix_watch::{PrefixUpdate, WatchTiming, watch_prefix};
pub(crate) use retry::RetryDelay;
pub(crate) use route::{CellStore, RelayedCall, StoreRoute};
