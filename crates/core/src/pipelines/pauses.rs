//! Pauses between the runs of tasks that last and fail again and again.
//!
//! Load pattern: hundreds of tasks that last fail within moments of each start. Started again at once,
//! they cost several orders and commits a second each.

use std::time::Duration;

use super::{
    spec::{PipelineId, StepKey, StepSpec, TaskKey},
    state::PipelineState,
};

/// Number of failures in a row after which a task is started again at once.
const FREE_RESTARTS: u32 = 2;

/// Pause after the next failure. It doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause. A task that lasts must not be without a run for 3 s while capacity for it is idle.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Returns the time between the latest of several failures in a row and the next start.
fn restart_pause(failures: u32) -> Duration {
    if failures <= FREE_RESTARTS {
        return Duration::ZERO;
    }
    let doublings = (failures - FREE_RESTARTS - 1).min(u32::BITS - 1);
    FIRST_PAUSE.saturating_mul(1 << doublings).min(MAX_PAUSE)
}

impl PipelineState {
    /// Returns the number of tasks that have failed more often in a row than they are started again
    /// at once.
    pub(super) fn count_failing_tasks(&self) -> u64 {
        let streaks = self.streaks.streaks();
        let failing = streaks.filter(|(_, streak)| streak.failures > FREE_RESTARTS);
        failing.count() as u64
    }

    /// Describes the failures in a row of the tasks of a job.
    pub(super) fn describe_failing_tasks(&self, id: PipelineId) -> Vec<String> {
        let first = TaskKey {
            step: StepKey::first_of(id),
            index: 0,
        };
        let streaks = self.streaks.streaks_from(first);
        let streaks = streaks.take_while(|(task, _)| task.step.pipeline == id);
        let lines = streaks.map(|(task, streak)| {
            let failures = streak.failures;
            let (place, at) = (&streak.latest.place, streak.latest.failed_at);
            let fault = if streak.is_at_fault { ", at fault" } else { "" };
            format!("{task} {failures} in a row, the latest on {place:?} at {at:?}{fault}")
        });
        lines.collect()
    }

    /// Removes the tasks of a step that are not started again yet. The attempts of tasks that do not last
    /// are limited instead.
    pub(super) fn remove_paused_tasks(
        &self,
        key: StepKey,
        step_spec: &StepSpec,
        tasks: &mut Vec<u32>,
        now: Duration,
    ) {
        if !step_spec.long_running || !self.has_failing_task(key) {
            return;
        }
        tasks.retain(|index| {
            let task = TaskKey {
                step: key,
                index: *index,
            };
            let streak = self.streaks.streak(self.streak_key_of(task));
            streak.is_none_or(|streak| {
                now >= streak.latest.failed_at + restart_pause(streak.failures)
            })
        });
    }
}
