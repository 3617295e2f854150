//! Specification of a job: its steps, their tasks and the policy of its queue.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu};

use crate::{
    ServiceId,
    types::{Attempt, ResourceVector, TeamId},
};

/// Largest number of tasks of a job in progress, over all of its occurrences. The owner
/// keeps their progress in memory and in one value of the store.
pub const MAX_OPEN_TASKS: u64 = 8_192;

/// Identifier of a pipeline, assigned by its caller.
pub type PipelineId = u64;

/// Identifies a step of one occurrence of a pipeline.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct StepKey {
    /// The pipeline that contains the step.
    pub pipeline: PipelineId,
    /// Index of the occurrence; 0 for a pipeline without a schedule.
    pub occurrence: u32,
    /// Index of the step in [`PipelineSpec::steps`].
    pub step: u32,
}

impl StepKey {
    /// Returns the lowest key of the steps of a pipeline.
    pub(super) const fn first_of(pipeline: PipelineId) -> Self {
        Self {
            pipeline,
            occurrence: 0,
            step: 0,
        }
    }
}

/// Identifies a task of a step.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct TaskKey {
    /// The step that contains the task.
    pub step: StepKey,
    /// Index of the task within its step.
    pub index: u32,
}

/// Identifies one attempt of a task.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RunKey {
    /// The task that is attempted.
    pub task: TaskKey,
    /// Number of the attempt, counted from one.
    pub attempt: Attempt,
}

/// Error for a text that cannot be parsed as a [`TaskKey`].
#[derive(Debug)]
#[derive(Snafu)]
#[non_exhaustive]
pub enum TaskKeyError {
    /// The text does not have four parts.
    #[snafu(display("{text:?} is not PIPELINE.OCCURRENCE.STEP.INDEX; check the task's name"))]
    Parts {
        /// The text that was parsed.
        text: String,
    },
    /// A part is not a number.
    #[snafu(display("{text:?} has a part that is not a number: {source}; check the task's name"))]
    Number {
        /// The text that was parsed.
        text: String,
        /// Error of the part that was parsed.
        source: ParseIntError,
    },
}

impl fmt::Display for StepKey {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "{:016x}.{}.{}",
            self.pipeline, self.occurrence, self.step
        )
    }
}

impl fmt::Display for TaskKey {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}.{}", self.step, self.index)
    }
}

impl FromStr for TaskKey {
    type Err = TaskKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split('.');
        let mut part = || parts.next().context(PartsSnafu { text });
        let (pipeline, occurrence, step, index) = (part()?, part()?, part()?, part()?);
        if parts.next().is_some() {
            return PartsSnafu { text }.fail();
        }
        let number = |part: &str| part.parse().context(NumberSnafu { text });
        let pipeline = PipelineId::from_str_radix(pipeline, 16).context(NumberSnafu { text })?;
        Ok(Self {
            step: StepKey {
                pipeline,
                occurrence: number(occurrence)?,
                step: number(step)?,
            },
            index: number(index)?,
        })
    }
}

/// A job as it was accepted. It does not change afterwards.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PipelineSpec {
    /// Command that the workers run for each task.
    pub command: String,
    /// The steps; each may depend on steps with a lower index.
    pub steps: Vec<StepSpec>,
    /// When the steps run; `None` runs them once, immediately.
    pub schedule: Option<PipelineSchedule>,
    /// Policy of the queue at the time of acceptance.
    pub policy: QueuePolicy,
    /// Wall-clock time of the acceptance in ms since 1970. The position of an
    /// unscheduled job in the queue depends on it.
    pub accepted_unix_ms: u64,
    /// Team that the job is charged to; `None` for a job of a public queue. Its encoding is up to
    /// the caller, so that versions without teams can decode the rest.
    #[serde(skip)]
    pub team: Option<TeamId>,
}

/// Times at which the steps of a recurring pipeline run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PipelineSchedule {
    /// Wall-clock time of the first occurrence in ms since 1970.
    pub first_unix_ms: u64,
    /// Time between two successive occurrences in ms.
    pub interval_ms: u64,
    /// Number of occurrences.
    pub occurrences: u32,
}

impl PipelineSchedule {
    /// Returns the time at which an occurrence is due, in ms since 1970.
    #[must_use]
    pub const fn due_unix_ms(&self, occurrence: u32) -> u64 {
        self.first_unix_ms
            .saturating_add(self.interval_ms.saturating_mul(occurrence as u64))
    }
}

/// A set of equal tasks that may run once the steps in `after` are done.
#[expect(
    clippy::struct_excessive_bools,
    reason = "the properties are independent"
)]
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Resources that one task needs.
    pub demand: ResourceVector,
    /// Rough estimate of a task's run time in ms.
    pub estimate_ms: u64,
    /// Indexes of the steps that must be done before this one starts.
    pub after: Vec<u32>,
    /// Whether the tasks save checkpoints.
    pub checkpointing: bool,
    /// Whether the tasks run only together, as a gang.
    pub gang: bool,
    /// Whether a gang runs slower if it spans more than one rack.
    pub same_rack: bool,
    /// Label that a worker must have to run the tasks.
    pub required_label: Option<String>,
    /// Rack that holds the input data; the tasks run slower on other racks.
    pub home_rack: Option<String>,
    /// Maximum number of tasks of the step on one worker.
    pub per_worker_limit: Option<u32>,
    /// Whether speculative copies of a task may run in parallel.
    pub speculative: bool,
    /// Whether the tasks run until they are cancelled.
    pub long_running: bool,
    /// Image that the tasks run; tasks of one image behave alike.
    pub image: Option<String>,
    /// Tail latency objective, in ms, for the requests that a task serves; `None` if
    /// the tasks serve none.
    pub target_tail_ms: Option<u64>,
    /// Whether the tasks are best-effort: they use CPU that other tasks leave idle,
    /// and their CPU demand is not reserved on the worker.
    pub fills: bool,
    /// Maximum number of tasks that the scheduler may make unavailable at once.
    pub may_miss: Option<u32>,
}

impl StepSpec {
    /// Returns the resources that a task reserves on its worker. A best-effort
    /// task reserves no CPU.
    #[must_use]
    pub const fn occupied(&self) -> ResourceVector {
        let mut demand = self.demand;
        if self.fills {
            demand.cpu_milli = 0;
        }
        demand
    }
}

/// Settings of a queue, set by the operators.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct QueuePolicy {
    /// Name of the queue.
    pub queue: String,
    /// Service whose workers run the tasks.
    pub service: ServiceId,
    /// Priority of the queue; 0 is the most urgent.
    pub priority: u32,
    /// Number of failed runs of a task at which its job fails.
    pub max_attempts: u32,
    /// Latency objective as a multiple of the estimated critical path.
    pub stretch: f64,
    /// Constant part of the latency objective, in ms.
    pub target_latency_ms: u64,
    /// Cost of requesting tickets; `None` if any worker may run a step of the queue.
    pub advice: Option<AdvicePolicy>,
}

/// Cost of asking the advice service which workers may run a step.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AdvicePolicy {
    /// Time that the service takes for one decision, in ms.
    pub decision_ms: f64,
    /// Additional time for each worker named in the request, in ms.
    pub per_worker_ms: f64,
    /// Validity of a ticket after its issue, in ms.
    pub valid_ms: u64,
}

impl PipelineSpec {
    /// Returns the number of tasks of each occurrence. A step without tasks counts as one task,
    /// as its progress is kept too.
    #[must_use]
    pub fn occurrence_size(&self) -> u64 {
        let sizes = self.steps.iter().map(|step| u64::from(step.count.max(1)));
        sizes.fold(0, u64::saturating_add)
    }

    /// Returns the estimated run time of the longest chain of dependent steps, in ms.
    #[must_use]
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let dependency_ends = step.after.iter().filter_map(|index| {
                let index = usize::try_from(*index).ok()?;
                ends.get(index).copied()
            });
            ends.push(
                dependency_ends
                    .max()
                    .unwrap_or(0)
                    .saturating_add(step.estimate_ms),
            );
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Returns the estimated run time of the longest chain of dependent steps that begins with
    /// each step, in ms.
    pub(super) fn remaining_paths_ms(&self) -> Vec<u64> {
        let mut paths: Vec<u64> = vec![0; self.steps.len()];
        // A step depends on earlier steps only.
        for (index, step) in self.steps.iter().enumerate().rev() {
            let path_ms = paths[index].saturating_add(step.estimate_ms);
            paths[index] = path_ms;
            for dependency in &step.after {
                let dependency = usize::try_from(*dependency).ok();
                if let Some(after) = dependency.and_then(|dependency| paths.get_mut(dependency)) {
                    *after = path_ms.max(*after);
                }
            }
        }
        paths
    }

    /// Returns the time from the start of an occurrence to its latency objective, in ms.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "the cast saturates, and run times are far below 2^52 ms"
    )]
    pub fn objective_ms(&self) -> u64 {
        let stretched_path_ms = (self.critical_path_ms() as f64 * self.policy.stretch) as u64;
        stretched_path_ms.saturating_add(self.policy.target_latency_ms)
    }

    /// Returns the time by which an occurrence should be done (its latency
    /// objective), in ms since 1970.
    #[must_use]
    pub fn objective_unix_ms(&self, occurrence: u32) -> u64 {
        let start = self.start_unix_ms(occurrence);
        start.saturating_add(self.objective_ms())
    }

    /// Returns the number of occurrences that are due at this time in ms since 1970. They become due
    /// in order.
    pub(super) fn due_occurrences(&self, wall_ms: u64) -> u32 {
        let Some(schedule) = &self.schedule else {
            return 1;
        };
        let since_first_ms = wall_ms.saturating_sub(schedule.first_unix_ms);
        let due = match since_first_ms.checked_sub(1) {
            None => 0,
            Some(last_ms) => last_ms
                .checked_div(schedule.interval_ms)
                .map_or(u64::MAX, |later| later.saturating_add(1)),
        };
        u32::try_from(due).map_or(schedule.occurrences, |due| due.min(schedule.occurrences))
    }

    /// Returns the time from which an occurrence may run, in ms since 1970.
    #[must_use]
    pub fn start_unix_ms(&self, occurrence: u32) -> u64 {
        match &self.schedule {
            Some(schedule) => schedule.due_unix_ms(occurrence),
            None => self.accepted_unix_ms,
        }
    }
}
