//! Evidence from the ends of runs: which workers and which tasks are at fault.
//!
//! Load pattern: a few jobs fail on each worker, and a few workers fail each run. What a failure says
//! about one of the two depends on what other runs have shown about the other.

use std::time::Duration;

use super::{
    messages::PipelineNote,
    progress::TaskPlace,
    spec::{PipelineId, RunKey, TaskKey},
    state::PipelineState,
};
use crate::{
    instances::WorkerInstance,
    streaks::{FailurePlace, RunFailure},
    types::WorkerId,
};

/// Number of consecutive failed runs after which a worker is penalized.
const FAILURES_BEFORE_PENALTY: u32 = 2;

/// Time for which other workers are preferred to one with consecutive failures.
const FAILURE_PENALTY: Duration = Duration::from_secs(4);

/// Returns the key under which the failures of a task are counted; the members of a gang fail
/// together.
const fn streak_key(task: TaskKey, is_gang: bool) -> TaskKey {
    if is_gang {
        TaskKey { index: 0, ..task }
    } else {
        task
    }
}

impl PipelineState {
    pub(super) fn streak_key_of(&self, task: TaskKey) -> TaskKey {
        let step_spec = self.step_spec(task.step);
        streak_key(task, step_spec.is_some_and(|step_spec| step_spec.gang))
    }

    /// Records that a run has succeeded, or has not failed for as long as a run takes to show that its
    /// worker is sound.
    pub(super) fn record_run_success(
        &mut self,
        worker: &WorkerId,
        run: RunKey,
        placed_at: Duration,
    ) {
        if !self.streaks.is_empty() {
            let key = self.streak_key_of(run.task);
            self.streaks.end_streak(key);
        }
        if let Some(instance) = self.instance_mut(worker) {
            instance.reliability.record_success(placed_at);
        }
    }

    /// Records that a run has failed, as evidence about its task, and unless that is at fault, about
    /// the worker.
    pub(super) fn record_run_failure(
        &mut self,
        worker: &WorkerId,
        run: RunKey,
        placed_at: Duration,
        now: Duration,
    ) {
        let key = self.streak_key_of(run.task);
        let Some(instance) = self.instance_mut(worker) else {
            return;
        };
        let started_unix_ms = instance.started_unix_ms;
        let failure = RunFailure {
            place: FailurePlace::Worker(WorkerId::clone(worker), instance.number),
            placed_at,
            failed_at: now,
        };
        self.record_failed_instance(run, started_unix_ms);
        let was_at_fault = self.streaks.streak(key).is_some_and(|it| it.is_at_fault);
        let workers = &self.workers;
        let is_sound_since = |failure: &RunFailure| {
            let FailurePlace::Worker(worker, number) = &failure.place else {
                return false;
            };
            let record = workers.get(worker);
            let instance = record.and_then(|record| record.instance.as_ref());
            instance.is_some_and(|instance| {
                instance.number == *number
                    && instance.reliability.has_succeeded_since(failure.placed_at)
            })
        };
        let streak = self.streaks.record_failure(key, failure, is_sound_since);
        let (failures, is_at_fault) = (streak.failures, streak.is_at_fault);
        if is_at_fault {
            if !was_at_fault {
                self.log_note(PipelineNote::TaskAtFault { run, failures });
            }
            return;
        }
        let Some(instance) = self.instance_mut(worker) else {
            return;
        };
        let was_on_probation = instance.reliability.is_on_probation();
        let job = run.task.step.pipeline;
        instance.reliability.record_failure(job, placed_at, now);
        instance.consecutive_failures += 1;
        if instance.consecutive_failures >= FAILURES_BEFORE_PENALTY {
            instance.penalized_until = now + FAILURE_PENALTY;
        }
        if instance.reliability.is_on_probation() && !was_on_probation {
            let worker = WorkerId::clone(worker);
            self.log_note(PipelineNote::WorkerOnProbation { worker });
        }
    }

    /// Keeps with the progress of a task whose attempts are limited on which worker instance it failed,
    /// so that a successor does not use up the others there.
    fn record_failed_instance(&mut self, run: RunKey, started_unix_ms: u64) {
        let step_spec = self.step_spec(run.task.step);
        let is_limited = step_spec.is_some_and(|step_spec| !step_spec.long_running);
        let pipeline = self.pipelines.get_mut(&run.task.step.pipeline);
        let task = pipeline.and_then(|pipeline| pipeline.progress.task_mut(run.task));
        match task {
            Some(task) if is_limited && task.attempt == run.attempt => {
                task.holder = Some(started_unix_ms);
            }
            _ => {}
        }
    }

    /// Adds the tasks of a job that have failed under an earlier owner.
    pub(super) fn inherit_failures(&mut self, id: PipelineId, now: Duration) {
        let Some(record) = self.pipelines.get(&id) else {
            return;
        };
        for (task, _, started_unix_ms) in record.progress.holders(id) {
            let step_spec = record.spec.steps.get(task.step.step as usize);
            let is_gang = step_spec.is_some_and(|step_spec| step_spec.gang);
            let is_limited = step_spec.is_some_and(|step_spec| !step_spec.long_running);
            let progress = record.progress.task(task);
            let is_waiting = progress.is_some_and(|task| task.place == TaskPlace::Waiting);
            if is_limited && is_waiting {
                let failure = RunFailure {
                    place: FailurePlace::StartedAt(started_unix_ms),
                    placed_at: now,
                    failed_at: now,
                };
                let key = streak_key(task, is_gang);
                self.streaks.inherit_failure(key, failure);
            }
        }
    }

    pub(super) fn instance_mut(&mut self, worker: &WorkerId) -> Option<&mut WorkerInstance> {
        self.workers.get_mut(worker)?.instance.as_mut()
    }
}
