//! This daemon's lease in the store, and what it follows there.

mod feed;
mod lease;
mod retry;
mod route;
#[cfg(test)]
mod tests;

pub(crate) use feed::{FeedNews, follow_prefix};
pub(crate) use lease::{SessionNews, keep_session};
pub(crate) use retry::RetryDelay;
pub(crate) use route::{CellStore, RelayedCall, StoreRoute};
