/*!
Pipelines: jobs of dependent steps whose tasks run on the workers of a service.

One daemon, the owner of the service, places the tasks on all of its workers.
[`PipelineState`] is the owner's state machine: it handles events (a job was
stored, a worker answered, a commit completed) and returns actions to perform.
It never starts a task before its placement is durable: placements are
collected into a [`ProgressCommit`], and the start orders of a commit are
released by [`PipelineState::complete_commit`].

Terms:

* A step has one or more equal tasks. A run is one attempt of a task on a worker.
* A gang is a step whose tasks run only together.
* A serving task has a latency objective for requests of its own
  (`target_tail_ms`). A best-effort task uses CPU that others leave idle (`fills`).
* A ticket permits a worker to run a step of a queue with an [`AdvicePolicy`].

The following invariants keep a task from running twice at the same time:

* A worker rejects orders whose fencing token is lower than the highest it has
  seen, so a replaced owner has no effect on a worker that its successor has
  claimed.
* The runs of a worker end when its lease lapses. An owner that cannot reach a
  worker places the worker's tasks elsewhere only after that.
* Attempt numbers of a task increase, and the attempt is durable before the start
  order is sent.
* The end of a run is acknowledged to the worker only after it is durable.
*/

mod advice;
mod commit;
mod crashes;
mod evidence;
mod exhausted;
mod headroom;
mod health;
mod losses;
mod messages;
mod overview;
mod pace;
mod pauses;
mod place;
mod preemption;
mod probation;
mod progress;
mod proven;
mod queue;
mod quota;
mod readiness;
mod ready_queue;
mod reports;
mod requests;
mod responses;
mod restoration;
mod scarcity;
mod schedule;
mod search;
mod spec;
mod state;
mod takeover;
#[cfg(test)]
mod tests;
mod wait;
mod worker;

pub use commit::{CommitEntry, ProgressCommit};
pub use messages::{
    AdviceOrder, PaceOrder, RenewalFailure, RenewalOrder, RenewalReport, RenewalStamp, StartOrder,
};
pub use messages::{AdviceReport, EndedRun, ObservedRun, PipelineAction, PipelineEvent, RunEnd};
pub use messages::{LossCause, PipelineNote, StartAnswer, StartResult, StopOrder, WorkerListing};
pub use overview::PipelineLoad;
pub use progress::{PipelinePhase, PipelineProgress, RunHolder};
pub use progress::{StepProgress, TaskPlace, TaskProgress};
pub use requests::SLOW_DECISION_MS;
pub use schedule::{PipelineConfig, UNCONFIRMED_RENEWAL_TIME};
pub use spec::QueuePolicy;
pub use spec::{AdvicePolicy, MAX_OPEN_TASKS, PipelineId, PipelineSchedule, PipelineSpec};
pub use spec::{RunKey, StepKey, StepSpec, TaskKey, TaskKeyError};
pub use state::PipelineState;
pub use takeover::MAX_PREDECESSOR_TIME;
pub use wait::StepWait;
