//! Owner records and shard leases in the store.
//!
//! An owner record is replaced by a compare-and-swap on its previous value.

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
