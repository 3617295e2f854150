//! What a caller asks for: steps, their tasks and the policy of their queue.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu};

use crate::{
    ServiceId,
    types::{Attempt, ResourceVector},
};

/// Identifier of a pipeline, chosen by its caller.
pub type PipelineId = u64;

/// A step of one occurrence of a pipeline.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct StepKey {
    /// The pipeline.
    pub pipeline: PipelineId,
    /// The occurrence; 0 for a pipeline without a schedule.
    pub occurrence: u32,
    /// Index of the step.
    pub step: u32,
}

/// A task of a step.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct TaskKey {
    /// The step.
    pub step: StepKey,
    /// Index of the task within its step.
    pub index: u32,
}

/// One attempt of a task.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RunKey {
    /// The task.
    pub task: TaskKey,
    /// The attempt, counted from one.
    pub attempt: Attempt,
}

/// A text that is no task key.
#[derive(Debug)]
#[derive(Snafu)]
#[non_exhaustive]
pub enum TaskKeyError {
    /// The text does not have four parts.
    #[snafu(display("{text:?} is not PIPELINE.OCCURRENCE.STEP.INDEX; check the task's name"))]
    Parts {
        /// The text.
        text: String,
    },
    /// A part is not a number.
    #[snafu(display("{text:?} has a part that is no number: {source}; check the task's name"))]
    Number {
        /// The text.
        text: String,
        /// The cause.
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

/// A job as it was accepted.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PipelineSpec {
    /// What each worker is told to run.
    pub command: String,
    /// The steps; a step names earlier ones that it needs.
    pub steps: Vec<StepSpec>,
    /// When the steps run, if not once and now.
    pub schedule: Option<PipelineSchedule>,
    /// The policy of the queue at the time of acceptance.
    pub policy: QueuePolicy,
    /// Wall-clock time of the acceptance in ms since 1970, for the order of the queue.
    pub accepted_unix_ms: u64,
}

/// Times at which the steps of a pipeline run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PipelineSchedule {
    /// Wall-clock time of the first occurrence in ms since 1970.
    pub first_unix_ms: u64,
    /// Time between two occurrences in ms.
    pub interval_ms: u64,
    /// How many occurrences there are.
    pub occurrences: u32,
}

impl PipelineSchedule {
    /// Returns when an occurrence is due, in ms since 1970.
    #[must_use]
    pub const fn due_unix_ms(&self, occurrence: u32) -> u64 {
        self.first_unix_ms
            .saturating_add(self.interval_ms.saturating_mul(occurrence as u64))
    }
}

/// Equal tasks that may run once the steps before them are done.
#[expect(
    clippy::struct_excessive_bools,
    reason = "the properties are independent"
)]
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct StepSpec {
    /// How many tasks.
    pub count: u32,
    /// What one task needs.
    pub demand: ResourceVector,
    /// Rough estimate of a task's run time in ms.
    pub estimate_ms: u64,
    /// Indexes of the steps whose tasks must be done first.
    pub after: Vec<u32>,
    /// Whether the tasks save checkpoints.
    pub checkpointing: bool,
    /// Whether the tasks run only together.
    pub gang: bool,
    /// Whether a gang is slower on more than one rack.
    pub same_rack: bool,
    /// A label that the worker must have.
    pub required_label: Option<String>,
    /// The rack of the data; slower elsewhere.
    pub home_rack: Option<String>,
    /// How many tasks of the step one worker may run at most.
    pub per_worker_limit: Option<u32>,
    /// Whether copies may run in parallel.
    pub speculative: bool,
    /// Whether the tasks run until they are cancelled.
    pub long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Option<String>,
    /// Latency objective of the task's own users in ms, at the tail.
    pub target_tail_ms: Option<u64>,
    /// Whether the processors of the tasks do not count as occupied.
    pub fills: bool,
    /// How many tasks may be unavailable at once through the scheduler.
    pub may_miss: Option<u32>,
}

impl StepSpec {
    /// Returns what a task occupies on its worker.
    #[must_use]
    pub const fn occupied(&self) -> ResourceVector {
        let mut demand = self.demand;
        if self.fills {
            demand.cpu_milli = 0;
        }
        demand
    }
}

/// What the operators set for a queue.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct QueuePolicy {
    /// Name of the queue.
    pub queue: String,
    /// The service whose workers run the tasks.
    pub service: ServiceId,
    /// 0 comes first.
    pub priority: u32,
    /// How many runs of a task may fail.
    pub max_attempts: u32,
    /// Latency objective as a multiple of the longest chain of work.
    pub stretch: f64,
    /// Added to the latency objective, in ms.
    pub target_latency_ms: u64,
    /// Which workers may run a step, if the queue restricts that.
    pub advice: Option<AdvicePolicy>,
}

/// Costs of asking which workers may run a step.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AdvicePolicy {
    /// Time of one decision in ms.
    pub decision_ms: f64,
    /// Time added for each worker that is named, in ms.
    pub per_worker_ms: f64,
    /// How long a ticket is valid, in ms.
    pub valid_ms: u64,
}

impl PipelineSpec {
    /// Returns the estimated time of the longest chain of steps in ms.
    #[must_use]
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.after.iter().filter_map(|index| {
                let index = usize::try_from(*index).ok()?;
                ends.get(index).copied()
            });
            ends.push(before.max().unwrap_or(0).saturating_add(step.estimate_ms));
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Returns by when an occurrence should be done, in ms since 1970.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "run times are far below 2^52 ms"
    )]
    pub fn objective_unix_ms(&self, occurrence: u32) -> u64 {
        let chain = (self.critical_path_ms() as f64 * self.policy.stretch) as u64;
        self.start_unix_ms(occurrence) + chain + self.policy.target_latency_ms
    }

    /// Returns from when an occurrence may run, in ms since 1970.
    #[must_use]
    pub fn start_unix_ms(&self, occurrence: u32) -> u64 {
        match &self.schedule {
            Some(schedule) => schedule.due_unix_ms(occurrence),
            None => self.accepted_unix_ms,
        }
    }
}
