/*!
Pipelines: jobs of dependent steps whose tasks run on the workers of a service.

One owner decides for all workers of a service. [`PipelineState`] takes events
(a job that was stored, the answer of a worker, the end of a commit) and returns
actions. It never starts a task before the start is durable: placements are
collected into a [`ProgressCommit`], and the start orders of a commit are
released by [`PipelineState::complete_commit`].

Safety rests on four facts:

* A worker rejects orders whose fencing token is lower than the highest it has
  seen, so a replaced owner has no effect on a worker that its successor has
  claimed.
* What runs on a worker ends when its lease lapses. An owner that cannot reach a
  worker places the worker's tasks elsewhere only after that.
* Attempts rise, and the attempt is durable before the order is sent.
* The end of a run is acknowledged to the worker only after it is durable.
*/

mod advice;
mod commit;
mod ends;
mod headroom;
mod health;
mod messages;
mod pace;
mod place;
mod progress;
mod schedule;
mod spec;
mod state;
#[cfg(test)]
mod tests;
mod worker;

pub use commit::{CommitEntry, ProgressCommit};
pub use messages::{
    AdviceOrder, PaceOrder, RenewalFailure, RenewalOrder, RenewalReport, StartOrder,
};
pub use messages::{AdviceReport, EndedRun, ObservedRun, PipelineAction, PipelineEvent, RunEnd};
pub use messages::{LossCause, PipelineNote, StartResult, StopOrder, WorkerListing};
pub use progress::{PipelinePhase, PipelineProgress, StepProgress, TaskPlace, TaskProgress};
pub use schedule::{PipelineConfig, SLOW_DECISION_MS};
pub use spec::{AdvicePolicy, PipelineId, PipelineSchedule, PipelineSpec, QueuePolicy};
pub use spec::{RunKey, StepKey, StepSpec, TaskKey, TaskKeyError};
pub use state::{PipelineLoad, PipelineState};
