/*!
Tasks: batch runs, gangs and long-running work, placed on the workers of a pool.

The owner of a pool shard holds the only queue of the pool, so it serializes
placement, cancellation and restarts. Actions say what must be durable first: a
[`TaskAction::Start`] of a task that runs in one place is returned only after
[`TaskEvent::Recorded`] has confirmed the record of that start.
*/

mod accepted;
mod cancel;
mod index;
mod messages;
mod outcome;
mod place;
mod policy;
mod query;
mod records;
mod requests;
mod reserve;
mod state;
mod table;
#[cfg(test)]
mod tests;
mod waiting;
mod workers;

pub use index::WorkCounter;
pub use messages::{CancelResult, GangMode, JobId, JobSpec, ReportedTask};
pub use messages::{JobRejection, TaskAction, TaskEvent, TaskOutcome, TaskRecord, TaskState};
pub use messages::{TaskView, TeamQuota, WaitReason, WorkerEntry, WorkerReport};
pub use policy::{PackingFirst, PlacementPolicy, WaitingFirst, WorkerCandidate};
pub use requests::{CancelItem, CancelReply, SubmitReply, SubmitRequest, TaskList};
pub use requests::{TaskPhase, TaskRefusal, TaskReply, TaskRequest, TaskStatus, WatchReply};
pub use state::{TaskConfig, TaskQueue};
