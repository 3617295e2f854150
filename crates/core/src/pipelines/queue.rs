//! The position of each ready step in the queue.

use super::{
    scarcity::{CpuWork, job_work},
    spec::{PipelineSpec, StepKey},
};

/// Position in the queue; lower is first: whether the job has expired, whether it is beyond the rate
/// of its team, its priority, whether it can meet its objective, and the objective in ms since 1970.
pub(super) type QueueRank = (bool, bool, u32, StepPunctuality, u64);

/// The position of a step, and when it changes as time passes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct StepRank {
    pub(super) rank: QueueRank,
    /// Time of the next change of the rank in ms since 1970; `u64::MAX` if there is none.
    pub(super) changes_at: u64,
}

/// Whether a step can be done so that its job meets the objective.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum StepPunctuality {
    /// It can.
    InTime,
    /// It can by itself, but not all waiting steps can, and others are preferred.
    Deferred,
    /// It cannot.
    Late,
}

/// A job expires after this multiple of the time allowed by its latency objective: its
/// result is of no use any more, and it is placed after all others.
const EXPIRY_FACTOR: u64 = 3;

/// Times that follow from the specification of a job. They are needed for each ready step
/// in each placement pass.
#[derive(Clone, Debug)]
pub(super) struct JobTiming {
    /// Estimated run time of the longest chain of steps that begins with each step, in ms.
    remaining_path_ms: Vec<u64>,
    /// Estimated run time of the longest chain of dependent steps, in ms.
    pub(super) critical_path_ms: u64,
    /// CPU work by the estimates.
    pub(super) work: CpuWork,
    /// Time from the start of an occurrence to its latency objective, in ms.
    objective_ms: u64,
    /// Whether a step runs until the job is cancelled.
    pub(super) is_long_running: bool,
    /// Whether the team had submitted as many jobs in the second before as its weight allows.
    pub(super) is_excess: bool,
}

impl JobTiming {
    pub(super) fn new(spec: &PipelineSpec, is_excess: bool) -> Self {
        Self {
            is_excess,
            remaining_path_ms: spec.remaining_paths_ms(),
            critical_path_ms: spec.critical_path_ms(),
            work: job_work(spec),
            objective_ms: spec.objective_ms(),
            is_long_running: spec.steps.iter().any(|step| step.long_running),
        }
    }

    /// Returns the time by which an occurrence should be done, in ms since 1970.
    pub(super) fn objective_unix_ms(&self, spec: &PipelineSpec, occurrence: u32) -> u64 {
        spec.start_unix_ms(occurrence)
            .saturating_add(self.objective_ms)
    }

    /// Returns the time left until a step must be done so that the job can meet its objective, in ms.
    pub(super) fn time_left_ms(&self, spec: &PipelineSpec, key: StepKey, wall_ms: u64) -> u64 {
        let path = |step: u32| self.remaining_path_ms.get(step as usize).copied();
        let estimate_ms = spec
            .steps
            .get(key.step as usize)
            .map(|step| step.estimate_ms);
        let later_ms = path(key.step)
            .unwrap_or(0)
            .saturating_sub(estimate_ms.unwrap_or(0));
        let objective = self.objective_unix_ms(spec, key.occurrence);
        objective.saturating_sub(wall_ms).saturating_sub(later_ms)
    }

    /// Returns the last time at which the result of an occurrence is of use, in ms since 1970.
    fn expiry_unix_ms(&self, spec: &PipelineSpec, occurrence: u32) -> u64 {
        let expiry_ms = self.objective_ms.saturating_mul(EXPIRY_FACTOR);
        spec.start_unix_ms(occurrence).saturating_add(expiry_ms)
    }

    /// Returns whether the result of an occurrence is of no use any more.
    pub(super) fn is_expired(&self, spec: &PipelineSpec, occurrence: u32, wall_ms: u64) -> bool {
        !self.is_long_running && wall_ms > self.expiry_unix_ms(spec, occurrence)
    }

    /// Returns the position of a step in the queue.
    ///
    /// Load pattern: after an outage or a burst, more jobs wait than can meet their
    /// objectives. Jobs that can still meet theirs come first: in the order of arrival,
    /// all of them would be late, and in the order of their objectives, each would be placed
    /// just too late. Jobs beyond the rate of their team come after all others that are of use, so
    /// that a team that sends too much delays nobody else.
    pub(super) fn step_rank(&self, spec: &PipelineSpec, key: StepKey, wall_ms: u64) -> StepRank {
        let objective = self.objective_unix_ms(spec, key.occurrence);
        let remaining_ms = self.remaining_path_ms.get(key.step as usize).copied();
        let remaining_ms = remaining_ms.unwrap_or(0);
        let end_ms = wall_ms.saturating_add(remaining_ms);
        let is_late = !self.is_long_running && end_ms > objective;
        let is_expired = self.is_expired(spec, key.occurrence, wall_ms);
        let priority = spec.policy.priority;
        let punctuality = if is_late {
            StepPunctuality::Late
        } else {
            StepPunctuality::InTime
        };
        let last_in_time = objective.saturating_sub(remaining_ms);
        let last_unexpired = self.expiry_unix_ms(spec, key.occurrence);
        let changes_at = match () {
            () if self.is_long_running || is_expired => u64::MAX,
            () if is_late => last_unexpired.saturating_add(1),
            () => last_in_time.min(last_unexpired).saturating_add(1),
        };
        StepRank {
            rank: (is_expired, self.is_excess, priority, punctuality, objective),
            changes_at,
        }
    }
}
