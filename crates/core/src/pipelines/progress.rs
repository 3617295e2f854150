//! The durable progress of a pipeline.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::spec::{PipelineSpec, StepKey, TaskKey};
use crate::types::{Attempt, WorkerId};

/// How far a pipeline is.
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
    /// A task has failed too often.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

impl PipelinePhase {
    /// Tells whether nothing more starts.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }

    /// Returns the name in logs.
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

/// Where a task is.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum TaskPlace {
    /// It waits for a worker.
    #[default]
    Waiting,
    /// An order to start it may have reached this worker.
    Placed(WorkerId),
    /// It has ended well.
    Done,
}

/// Progress of a task.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TaskProgress {
    /// The latest attempt; 0 before the first.
    pub attempt: Attempt,
    /// Runs that failed.
    pub failures: u32,
    /// The latest attempt that failed; its end may be reported more than once.
    pub failed_attempt: Attempt,
    /// Where it is.
    pub place: TaskPlace,
    /// The latest checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// Progress of a step.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct StepProgress {
    /// The tasks by index.
    pub tasks: Vec<TaskProgress>,
    /// Runs of the gang that failed, at most one an attempt.
    pub gang_failures: u32,
    /// The latest attempt of the gang that failed.
    pub gang_failed_attempt: Attempt,
}

impl StepProgress {
    pub(super) fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.place == TaskPlace::Done)
    }

    /// Tells whether no member may be at a worker.
    pub(super) fn is_clear(&self) -> bool {
        let mut tasks = self.tasks.iter();
        tasks.all(|task| !matches!(task.place, TaskPlace::Placed(_)))
    }

    pub(super) fn waiting(&self) -> impl Iterator<Item = u32> {
        let tasks = (0..).zip(&self.tasks);
        tasks
            .filter(|(_, task)| task.place == TaskPlace::Waiting)
            .map(|(index, _)| index)
    }
}

/// Progress of a pipeline.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PipelineProgress {
    /// How far it is.
    pub phase: PipelinePhase,
    /// The steps of each occurrence that was due and is not done.
    pub occurrences: BTreeMap<u32, Vec<StepProgress>>,
    /// Occurrences that are done.
    pub done: BTreeSet<u32>,
}

impl PipelineProgress {
    /// Adds an occurrence that is due.
    pub(super) fn begin(&mut self, spec: &PipelineSpec, occurrence: u32) {
        let steps = spec.steps.iter().map(|step| StepProgress {
            tasks: (0..step.count).map(|_| TaskProgress::default()).collect(),
            ..StepProgress::default()
        });
        self.occurrences.insert(occurrence, steps.collect());
    }

    /// Tells whether the occurrence has begun or is done.
    pub(super) fn has(&self, occurrence: u32) -> bool {
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

    pub(super) fn task_mut(&mut self, key: TaskKey) -> Option<&mut TaskProgress> {
        let step = self.step_mut(key.step)?;
        step.tasks.get_mut(usize::try_from(key.index).ok()?)
    }

    /// Returns the steps of all occurrences that are not done.
    pub fn steps(&self) -> impl Iterator<Item = &StepProgress> {
        self.occurrences.values().flatten()
    }

    /// Tells whether no task may be at a worker.
    #[must_use]
    pub fn is_clear(&self) -> bool {
        let mut steps = self.steps();
        steps.all(StepProgress::is_clear)
    }

    /// Moves occurrences whose steps are all done; tells whether any moved.
    pub(super) fn retire_done(&mut self) -> bool {
        let before = self.done.len();
        let ended = self.occurrences.iter().filter(|(_, steps)| {
            let mut steps = steps.iter();
            steps.all(StepProgress::is_done)
        });
        let ended: Vec<u32> = ended.map(|(occurrence, _)| *occurrence).collect();
        for occurrence in ended {
            self.occurrences.remove(&occurrence);
            self.done.insert(occurrence);
        }
        self.done.len() > before
    }
}
