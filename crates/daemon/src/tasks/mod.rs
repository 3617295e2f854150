/*!
Tasks: the pool shards that this daemon owns, and their workers.

[`PoolShards`] belongs to the control thread. It feeds callers' requests, news
of workers, the list of hosts and the passing of time into the task queue of
each owned pool, and translates the queue's actions into [`TaskEffect`]s for the
traffic threads, records for the journal and replies to callers.

A worker is *linked* to its pool: it is claimed under the owner's epoch, then
synchronised at a fixed interval, which renews the leases of its tasks, and
asked for completions with a long poll.
*/

mod dispatch;
mod dump;
mod exchange;
mod link;
mod messages;
mod news;
mod pool;
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
