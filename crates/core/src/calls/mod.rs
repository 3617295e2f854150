/*!
Short calls: a queue per call shard, and grants of runner slots.

A call waits at the owner of its shard until a slot is free. As the owner grants
all slots of the shard, the next free slot always goes to a waiting call. The
owner does not receive the body of a call: the daemon that received the call
sends it to the granted runner.

[`CallQueue`] has the waiting calls in priority lanes (`lanes`), the granted
slots (`grants`) and the runners with their health (`runners`). Owners of one
service in different zones lend each other slots (`loans`), so that a call in a
full zone needs no redirect. [`RetryBudget`] limits the retries of an entry
daemon, which is the daemon that received a call.
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
