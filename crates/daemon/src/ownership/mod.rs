//! Owner records in the store and their replacement by compare-and-swap.

mod state;

pub(crate) use state::{
    OWNER_PREFIX, claim_transaction, owner_guard, owner_key, read_owner, read_owners,
};
