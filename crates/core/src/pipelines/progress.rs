//! Durable progress of a pipeline: the state of each of its tasks.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{
    crashes::BLAME_WEIGHT,
    spec::{MAX_OPEN_TASKS, PipelineId, PipelineSpec, StepKey, TaskKey},
};
use crate::types::{Attempt, WorkerId};

/// Phase of a pipeline.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PipelinePhase {
    /// No task has started.
    #[default]
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task, or a gang, has used up its attempts.
    Failed,
    /// The caller cancelled the pipeline.
    Cancelled,
}

impl PipelinePhase {
    /// Returns whether no task starts any more.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }

    /// Returns the name in logs and dumps.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Running => "running",
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        }
    }
}

/// Placement of a task.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum TaskPlace {
    /// The task waits for a worker.
    #[default]
    Waiting,
    /// The task is placed on this worker, which may have received the start order.
    Placed(WorkerId),
    /// The task has succeeded.
    Done,
}

/// Durable progress of a task.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TaskProgress {
    /// Number of the latest attempt; 0 before the first.
    pub attempt: Attempt,
    /// Number of runs that failed.
    pub failures: u32,
    /// Number of the latest attempt that failed. A worker may report the end of a
    /// run more than once; only ends of later attempts count as new failures.
    pub failed_attempt: Attempt,
    /// Where the task is placed.
    pub place: TaskPlace,
    /// Latest checkpoint, from which the next run resumes; empty if there is none.
    pub checkpoint: String,
    /// How likely the task crashes its workers: a weight for each crash under it. Its
    /// encoding is up to the caller, as it is 0 for almost all tasks.
    #[serde(skip)]
    pub suspicion: u32,
    /// Worker instance that is known to hold the latest run, for no longer than the leases that
    /// owners have granted on its clock. Kept for tasks that last, as that costs a commit. Of another
    /// task that waits, the instance on which its latest run failed. Its encoding is up to the caller.
    #[serde(skip)]
    pub holder: Option<RunHolder>,
}

/// Start time of the instance that holds a run, in ms since 1970. It is only compared for equality,
/// as it is a reading of the clock of another host.
pub type RunHolder = u64;

/// Durable progress of a step.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct StepProgress {
    /// Progress of the tasks, by index.
    pub tasks: Vec<TaskProgress>,
    /// Number of failed runs of the gang, at most one for each attempt.
    pub gang_failures: u32,
    /// Number of the latest attempt of the gang that failed.
    pub gang_failed_attempt: Attempt,
}

impl TaskProgress {
    /// Returns whether the task is the likely cause of the crash of a worker.
    pub(super) const fn is_suspect(&self) -> bool {
        self.suspicion >= BLAME_WEIGHT
    }
}

impl StepProgress {
    /// Returns whether no task of the step is placed on a worker.
    pub(super) fn is_unplaced(&self) -> bool {
        let mut tasks = self.tasks.iter();
        tasks.all(|task| !matches!(task.place, TaskPlace::Placed(_)))
    }

    /// Returns the number of failed runs of the task at an index, or of its gang.
    pub(super) fn failures(&self, index: u32, is_gang: bool) -> u32 {
        let task = self.tasks.get(index as usize);
        if is_gang {
            self.gang_failures
        } else {
            task.map_or(0, |task| task.failures)
        }
    }

    /// Returns whether the task at an index is a suspect.
    pub(super) fn is_suspect(&self, index: u32) -> bool {
        let task = self.tasks.get(index as usize);
        task.is_some_and(TaskProgress::is_suspect)
    }

    pub(super) fn waiting_tasks(&self) -> impl Iterator<Item = u32> {
        let tasks = (0..).zip(&self.tasks);
        tasks
            .filter(|(_, task)| task.place == TaskPlace::Waiting)
            .map(|(index, _)| index)
    }

    /// Returns the waiting tasks that had a run before.
    pub(super) fn lost_tasks(&self) -> impl Iterator<Item = u32> {
        let tasks = (0..).zip(&self.tasks);
        tasks
            .filter(|(_, task)| task.place == TaskPlace::Waiting && task.attempt > 0)
            .map(|(index, _)| index)
    }
}

/// Durable progress of a pipeline.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PipelineProgress {
    /// Phase of the pipeline.
    pub phase: PipelinePhase,
    /// Steps of each occurrence that has become due and is not done.
    pub occurrences: BTreeMap<u32, Vec<StepProgress>>,
    /// Indexes of the occurrences that are done.
    pub done: BTreeSet<u32>,
}

impl PipelineProgress {
    /// Adds an occurrence that is due, with all of its tasks waiting.
    pub(super) fn add_occurrence(&mut self, spec: &PipelineSpec, occurrence: u32) {
        let steps = spec.steps.iter().map(|step| StepProgress {
            tasks: (0..step.count).map(|_| TaskProgress::default()).collect(),
            ..StepProgress::default()
        });
        self.occurrences.insert(occurrence, steps.collect());
    }

    /// Returns whether there is room for another occurrence with this number of tasks in progress.
    pub(super) fn has_room_for(&self, occurrence_size: u64) -> bool {
        let open = u64::try_from(self.occurrences.len()).unwrap_or(u64::MAX);
        let size = open.saturating_add(1).saturating_mul(occurrence_size);
        self.occurrences.is_empty() || size <= MAX_OPEN_TASKS
    }

    /// Removes the latest occurrences until those in progress do not exceed the limit, as far as
    /// no task of them was placed. They are added again when there is room.
    pub(super) fn remove_excess_occurrences(&mut self, spec: &PipelineSpec) {
        let occurrence_size = spec.occurrence_size();
        while let Some((occurrence, steps)) = self.occurrences.pop_last() {
            let mut tasks = steps.iter().flat_map(|step| &step.tasks);
            let is_untouched = tasks.all(|task| *task == TaskProgress::default());
            if !is_untouched || self.has_room_for(occurrence_size) {
                self.occurrences.insert(occurrence, steps);
                return;
            }
        }
    }

    /// Removes the checkpoints of all tasks, which then start from the beginning.
    pub fn discard_checkpoints(&mut self) {
        let steps = self.occurrences.values_mut().flatten();
        for task in steps.flat_map(|step| &mut step.tasks) {
            task.checkpoint.clear();
        }
    }

    /// Returns whether the occurrence was added, including if it is done.
    pub(super) fn has_occurrence(&self, occurrence: u32) -> bool {
        self.done.contains(&occurrence) || self.occurrences.contains_key(&occurrence)
    }

    pub(super) fn step(&self, key: StepKey) -> Option<&StepProgress> {
        let steps = self.occurrences.get(&key.occurrence)?;
        steps.get(usize::try_from(key.step).ok()?)
    }

    pub(super) fn step_mut(&mut self, key: StepKey) -> Option<&mut StepProgress> {
        let steps = self.occurrences.get_mut(&key.occurrence)?;
        steps.get_mut(usize::try_from(key.step).ok()?)
    }

    pub(super) fn task(&self, key: TaskKey) -> Option<&TaskProgress> {
        self.step(key.step)?.tasks.get(key.index as usize)
    }

    pub(super) fn task_mut(&mut self, key: TaskKey) -> Option<&mut TaskProgress> {
        let step = self.step_mut(key.step)?;
        step.tasks.get_mut(usize::try_from(key.index).ok()?)
    }

    /// Returns the tasks that are suspected to crash their workers, with their suspicions.
    pub fn suspicions(&self, pipeline: PipelineId) -> impl Iterator<Item = (TaskKey, u32)> {
        let tasks = self.tasks(pipeline);
        let suspects = tasks.filter(|(_, task)| task.suspicion > 0);
        suspects.map(|(key, task)| (key, task.suspicion))
    }

    /// Returns the tasks of all occurrences in progress.
    fn tasks(&self, pipeline: PipelineId) -> impl Iterator<Item = (TaskKey, &TaskProgress)> {
        let steps = self
            .occurrences
            .iter()
            .flat_map(move |(occurrence, steps)| {
                (0..).zip(steps).map(move |(step, progress)| {
                    let key = StepKey {
                        pipeline,
                        occurrence: *occurrence,
                        step,
                    };
                    (key, progress)
                })
            });
        steps.flat_map(|(step, progress)| {
            let tasks = (0..).zip(&progress.tasks);
            tasks.map(move |(index, task)| (TaskKey { step, index }, task))
        })
    }

    /// Sets the suspicion of a task, which a record stores apart from its progress.
    pub fn set_suspicion(&mut self, key: TaskKey, suspicion: u32) {
        if let Some(task) = self.task_mut(key) {
            task.suspicion = suspicion;
        }
    }

    /// Returns the tasks whose latest run is on a known worker instance, with its attempt and that
    /// instance.
    pub fn holders(
        &self,
        pipeline: PipelineId,
    ) -> impl Iterator<Item = (TaskKey, Attempt, RunHolder)> {
        let tasks = self.tasks(pipeline);
        tasks.filter_map(|(key, task)| Some((key, task.attempt, task.holder?)))
    }

    /// Sets the instance that holds a run, which a record stores apart from the progress. It is
    /// ignored unless the run is the latest of its task.
    pub fn set_holder(&mut self, key: TaskKey, attempt: Attempt, holder: RunHolder) {
        match self.task_mut(key) {
            Some(task) if task.attempt == attempt => task.holder = Some(holder),
            _ => {}
        }
    }

    /// Returns the steps of all occurrences in progress.
    pub fn steps(&self) -> impl Iterator<Item = &StepProgress> {
        self.occurrences.values().flatten()
    }

    /// Returns whether no task is placed on a worker.
    #[must_use]
    pub fn is_unplaced(&self) -> bool {
        let mut steps = self.steps();
        steps.all(StepProgress::is_unplaced)
    }
}
