/*!
Shard ownership: which daemon owns which shard, and under which epoch.

The store is the single authority. An owner is replaced by compare-and-swap on
its record, and each replacement increments the epoch, which serves as the
fencing token. Targets reject an epoch lower than the highest one that they have
seen, so a former owner that was paused or partitioned cannot start work. Where
targets cannot compare epochs, the owner also holds a store lease and checks it
before each dispatch.
*/

mod held;
mod messages;
mod state;
mod successor;
#[cfg(test)]
mod tests;

pub use messages::{OwnerRecord, OwnershipAction, OwnershipEvent, ShardPhase};
pub use state::{OwnerTable, OwnershipConfig};
