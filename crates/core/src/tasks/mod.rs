/*!
Tasks: batch runs, gangs and long-running work, placed on the workers of a pool.

The owner of a pool shard has the only [`TaskQueue`] of the pool, which
serializes placement, cancellation and restarts. The queue is a state machine
without I/O: it takes a [`TaskEvent`] and returns [`TaskAction`]s.

The start of a task that must not run twice at once is recorded first: its
[`TaskAction::Start`] is returned only after [`TaskEvent::Recorded`] has confirmed
the record.
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
