//! Owner records in the store and their replacement by compare-and-swap.

mod dump;
mod lease;
mod state;
#[cfg(test)]
mod tests;

pub(crate) use dump::{ShardDump, dump_shards};
pub(crate) use lease::ensure_lease;
pub(crate) use state::{
    OWNER_PREFIX, claim_transaction, decode_owner, decode_owners, owner_condition, owner_key,
};
