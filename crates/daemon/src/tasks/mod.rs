/*!
Tasks: the pool shards that this daemon owns, and their workers.

[`PoolShards`] is used by the control thread only. It applies callers' requests,
workers' responses, the list of hosts and timers to the task queue of each owned
pool, and translates the queue's actions into [`TaskEffect`]s for the traffic
threads, records for the journal and replies to callers.

The owner of a pool claims each worker under its epoch. From then on it sends a
sync at a fixed interval, which renews the leases of the worker's tasks, and
reads completions with a long poll.
*/

mod dispatch;
mod dump;
mod exchange;
mod link;
mod messages;
mod pool;
mod responses;
mod state;
mod submit;
#[cfg(test)]
mod tests;
mod watchers;

pub(crate) use dispatch::TaskDispatcher;
pub(crate) use dump::PoolDump;
pub(crate) use exchange::run_effect;
pub(crate) use messages::{PoolOutput, TaskCommand, TaskEffect};
pub(crate) use state::{PoolSetup, PoolShards};
pub(crate) use submit::{build_job, find_pool};
