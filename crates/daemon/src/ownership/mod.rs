//! Owner records in the store and their replacement by compare-and-swap.

mod dump;
mod lease;
mod state;
#[cfg(test)]
mod tests;

pub(crate) use dump::{ShardDump, dump_shards};
pub(crate) use lease::hold_lease;
pub(crate) use state::{
    OWNER_PREFIX, claim_transaction, owner_guard, owner_key, read_owner, read_owners,
};
