/*!
Which daemon owns which shard, and under which epoch.

The store is the only judge: an owner is replaced by compare-and-swap on its
record, and each replacement raises the epoch by one. Targets reject an epoch
lower than the highest one that they have seen, so a former owner that was
paused or cut off cannot start work.
*/

mod messages;
mod state;
#[cfg(test)]
mod tests;

pub use messages::{OwnerRecord, OwnershipAction, OwnershipEvent};
pub use state::OwnerTable;
