//! Cancellation by id and by label.

use std::{sync::Arc, time::Duration};

use super::{
    ledger::StopReason,
    messages::{CancelResult, TaskAction, TaskOutcome, TaskState},
    policy::PlacementPolicy,
    state::TaskQueue,
};
use crate::types::TaskId;

impl<P: PlacementPolicy> TaskQueue<P> {
    /// Cancels a task; a gang is cancelled as a whole.
    pub(super) fn cancel(&mut self, task: TaskId, now: Duration) {
        let job = self.ledger.tasks.get(&task).map(|entry| entry.job);
        let gang = job
            .and_then(|job| self.ledger.jobs.get(&job))
            .filter(|job| job.is_gang())
            .map(|job| job.spec.tasks.clone());
        for task in gang.unwrap_or_else(|| vec![task]) {
            self.cancel_one(task, now);
        }
    }

    /// Cancels the tasks of all jobs in the label's index.
    pub(super) fn cancel_label(&mut self, label: &Arc<str>, now: Duration) {
        for job in self.has_label(label) {
            let spec = self.ledger.jobs.get(&job).map(|job| job.spec.tasks.clone());
            for task in spec.unwrap_or_default() {
                self.cancel_one(task, now);
            }
        }
    }

    fn cancel_one(&mut self, task: TaskId, now: Duration) {
        let state = self.ledger.tasks.get(&task).map(|entry| &entry.state);
        let result = match state {
            None => CancelResult::NotFound,
            Some(TaskState::Ended(_)) => CancelResult::AlreadyEnded,
            Some(TaskState::Waiting(_) | TaskState::Recording(_)) => {
                self.end(task, TaskOutcome::Cancelled, now);
                CancelResult::NotStarted
            }
            Some(_) => {
                self.stop(task, StopReason::Cancel);
                CancelResult::Stopping
            }
        };
        self.actions.push(TaskAction::Cancelled(task, result));
    }

    /// Tells a task that was started to stop. One on a silent worker is told
    /// when the worker responds.
    pub(super) fn stop(&mut self, task: TaskId, reason: StopReason) {
        let Some(entry) = self.ledger.tasks.get_mut(&task) else {
            return;
        };
        // A move never replaces a cancellation.
        if entry.stop != Some(StopReason::Cancel) {
            entry.stop = Some(reason);
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
