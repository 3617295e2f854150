//! Cancellation of tasks by id and by label, and stop requests to workers.

use std::{sync::Arc, time::Duration};

use super::{
    messages::{CancelResult, TaskAction, TaskOutcome, TaskState},
    policy::PlacementPolicy,
    state::TaskQueue,
    table::StopReason,
};
use crate::types::TaskId;

impl<P: PlacementPolicy> TaskQueue<P> {
    /// Cancels a task. Cancelling a gang member cancels the whole gang.
    pub(super) fn cancel_task(&mut self, task: TaskId, now: Duration) {
        let job = self.table.tasks.get(&task).map(|entry| entry.job);
        let gang = job
            .and_then(|job| self.table.jobs.get(&job))
            .filter(|job| job.is_gang())
            .map(|job| job.spec.tasks.clone());
        for task in gang.unwrap_or_else(|| vec![task]) {
            self.cancel_single_task(task, now);
        }
    }

    /// Cancels all tasks of the jobs with a label.
    pub(super) fn cancel_by_label(&mut self, label: &Arc<str>, now: Duration) {
        for job in self.jobs_with_label(label) {
            let tasks = self.table.jobs.get(&job).map(|job| job.spec.tasks.clone());
            for task in tasks.unwrap_or_default() {
                self.cancel_single_task(task, now);
            }
        }
    }

    /// Cancels one task and reports the effect.
    fn cancel_single_task(&mut self, task: TaskId, now: Duration) {
        let state = self.table.tasks.get(&task).map(|entry| &entry.state);
        let result = match state {
            None => CancelResult::NotFound,
            Some(TaskState::Ended(_)) => CancelResult::AlreadyEnded,
            Some(TaskState::Waiting(_) | TaskState::Recording(_)) => {
                self.end_task(task, TaskOutcome::Cancelled, now);
                CancelResult::NotStarted
            }
            Some(_) => {
                self.stop_task(task, StopReason::Cancel);
                CancelResult::Stopping
            }
        };
        self.actions.push(TaskAction::Cancelled(task, result));
    }

    /// Requests the stop of a task that was started. If its worker does not
    /// respond, the stop is sent once the worker responds again.
    pub(super) fn stop_task(&mut self, task: TaskId, reason: StopReason) {
        let Some(entry) = self.table.tasks.get_mut(&task) else {
            return;
        };
        // A cancellation takes precedence over any later reason.
        if entry.stop_reason != Some(StopReason::Cancel) {
            entry.stop_reason = Some(reason);
        }
        let attempt = entry.attempt;
        let worker = match &entry.state {
            TaskState::Starting(worker)
            | TaskState::Running(worker)
            | TaskState::Stopping(worker) => worker.clone(),
            _ => return,
        };
        self.set_state(task, TaskState::Stopping(worker.clone()));
        self.actions.push(TaskAction::Stop(task, attempt, worker));
    }
}
