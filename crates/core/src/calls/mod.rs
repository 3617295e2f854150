/*!
Short calls: a queue per call shard, and grants of runner slots.

A call waits at the owner of its shard until a slot is free, so it always waits
where the next free slot will be. The owner never carries the body of a call:
the daemon that received it sends it to the granted runner itself.
*/

mod messages;
mod state;
#[cfg(test)]
mod tests;

pub use messages::{CallAction, CallEvent, CallRequest, GrantResult, RunnerEntry, SlotGrant};
pub use state::{CallConfig, CallQueue};
