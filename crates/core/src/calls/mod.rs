/*!
Short calls: a queue per call shard, and grants of runner slots.

A call waits at the owner of its shard until a slot is free, so it always waits
where the next free slot will be. The owner never carries the body of a call:
the daemon that received it sends it to the granted runner itself.

[`CallQueue`] holds the waiting calls in lanes by urgency (`lanes`), the granted
slots (`grants`) and the runners with their health (`runners`). Owners of one service in different zones
lend each other slots (`loans`), so that a full zone needs no redirect. [`RetryBudget`] bounds the retries of an
entry daemon.
*/

mod config;
mod grants;
mod lanes;
mod loans;
mod messages;
mod retry;
mod runners;
mod state;
#[cfg(test)]
mod tests;
mod view;

pub use config::{CallConfig, CallConfigBuilder, ConfigBuilder, LoanConfig};
pub use messages::{CallAction, CallEvent, CallLoad, CallRequest};
pub use messages::{GrantResult, RunnerEntry, SlotGrant, SlotLender};
pub use messages::{LoanBody, LoanKey, LoanMessage};
pub use retry::{RetryBudget, RetryConfig, RetryConfigBuilder, RetryDecision};
pub use state::CallQueue;
pub use view::{QueueView, RunnerHealth, RunnerView};
