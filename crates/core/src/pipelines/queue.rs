//! The queue of ready steps, and the position of each.

use std::{collections::BTreeSet, sync::Arc};

use super::{
    progress::StepProgress,
    spec::{PipelineId, PipelineSpec, StepKey},
    state::PipelineState,
};

/// Position in the queue; lower is first: whether the job has expired, whether it is beyond the rate
/// of its team, its priority, whether it can meet its objective, and the objective in ms since 1970.
pub(super) type QueueRank = (bool, bool, u32, StepPunctuality, u64);

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

    /// Returns whether the result of an occurrence is of no use any more.
    pub(super) fn is_expired(&self, spec: &PipelineSpec, occurrence: u32, wall_ms: u64) -> bool {
        let expiry_ms = self.objective_ms.saturating_mul(EXPIRY_FACTOR);
        let expires_at = spec.start_unix_ms(occurrence).saturating_add(expiry_ms);
        !self.is_long_running && wall_ms > expires_at
    }

    /// Returns the position of a step of an occurrence in the queue.
    ///
    /// Load pattern: after an outage or a burst, more jobs wait than can meet their
    /// objectives. Jobs that can still meet theirs come first: in the order of arrival,
    /// all of them would be late, and in the order of their objectives, each would be placed
    /// just too late. Jobs beyond the rate of their team come after all others that are of use, so
    /// that a team that sends too much delays nobody else.
    fn queue_rank(
        &self,
        spec: &PipelineSpec,
        occurrence: u32,
        step: u32,
        wall_ms: u64,
    ) -> QueueRank {
        let objective = self.objective_unix_ms(spec, occurrence);
        let remaining_ms = self.remaining_path_ms.get(step as usize).copied();
        let end_ms = wall_ms.saturating_add(remaining_ms.unwrap_or(0));
        let is_late = !self.is_long_running && end_ms > objective;
        let is_expired = self.is_expired(spec, occurrence, wall_ms);
        let priority = spec.policy.priority;
        let punctuality = if is_late {
            StepPunctuality::Late
        } else {
            StepPunctuality::InTime
        };
        (is_expired, self.is_excess, priority, punctuality, objective)
    }
}

impl PipelineState {
    /// Adds the occurrences of a job that have become due. Returns whether there were any.
    ///
    /// Load pattern: the tasks of a recurring job cannot run, or run more slowly than the
    /// occurrences become due. Occurrences beyond a limit are added when earlier ones are done.
    fn add_due_occurrences(&mut self, id: PipelineId) -> bool {
        let wall_ms = self.wall_ms;
        let Some(record) = self.pipelines.get_mut(&id) else {
            return false;
        };
        if record.progress.phase.is_final() {
            return false;
        }
        let spec = Arc::clone(&record.spec);
        let due = match &spec.schedule {
            None => 1,
            Some(schedule) => {
                let all = 0..schedule.occurrences;
                // Occurrences are due in order.
                let due = all.take_while(|occurrence| schedule.due_unix_ms(*occurrence) < wall_ms);
                u32::try_from(due.count()).unwrap_or(u32::MAX)
            }
        };
        let mut has_new_occurrence = false;
        for occurrence in 0..due {
            if record.progress.has_occurrence(occurrence) {
                continue;
            }
            if !record.progress.has_room_for_occurrence(&spec) {
                break;
            }
            record.progress.add_occurrence(&spec, occurrence);
            has_new_occurrence = true;
        }
        if has_new_occurrence && spec.schedule.is_some() {
            self.mark_dirty(id);
        }
        has_new_occurrence
    }

    /// Adds the occurrences of recurring jobs that have become due.
    pub(super) fn refresh_recurring_jobs(&mut self) {
        let recurring = self.pipelines.iter();
        let recurring = recurring.filter(|(_, record)| record.spec.schedule.is_some());
        let recurring: Vec<PipelineId> = recurring.map(|(id, _)| *id).collect();
        for id in recurring {
            if self.add_due_occurrences(id) {
                self.refresh_ready_steps(id);
            }
        }
    }

    /// Adds the occurrences of a job that have become due, and updates its ready steps
    /// and their ranks.
    pub(super) fn refresh_ready_steps(&mut self, id: PipelineId) {
        self.add_due_occurrences(id);
        let Some(record) = self.pipelines.get_mut(&id) else {
            return;
        };
        let spec = Arc::clone(&record.spec);
        let timing = record.timing.clone();
        let is_final = record.progress.phase.is_final();
        let previously_ready = std::mem::take(&mut record.ready);
        for (key, rank) in &previously_ready {
            self.ready.remove(&(*rank, *key));
        }
        if !is_final {
            for (occurrence, steps) in &record.progress.occurrences {
                for ((index, progress), step_spec) in (0..).zip(steps).zip(&spec.steps) {
                    let is_unblocked = step_spec.after.iter().all(|dependency| {
                        steps
                            .get(*dependency as usize)
                            .is_some_and(StepProgress::is_done)
                    });
                    let can_start_gang = !step_spec.gang || progress.is_unplaced();
                    if is_unblocked && can_start_gang && progress.waiting_tasks().next().is_some() {
                        let key = StepKey {
                            pipeline: id,
                            occurrence: *occurrence,
                            step: index,
                        };
                        let rank = timing.queue_rank(&spec, *occurrence, index, self.wall_ms);
                        let rank = self.scarcity.adjust_rank(key, rank);
                        record.ready.insert(key, rank);
                        self.ready.insert((rank, key));
                        self.is_placement_due = true;
                    }
                }
            }
        }
        for key in previously_ready.keys() {
            if !record.ready.contains_key(key) {
                self.waits.remove(key);
            }
        }
    }

    /// Updates the ranks of jobs that have become late or expired.
    pub(super) fn update_stale_ranks(&mut self) {
        let wall_ms = self.wall_ms;
        let ready = self.ready.iter().filter(|(rank, key)| {
            let record = self.pipelines.get(&key.pipeline);
            record.is_some_and(|record| {
                let timing = &record.timing;
                let current = timing.queue_rank(&record.spec, key.occurrence, key.step, wall_ms);
                self.scarcity.adjust_rank(*key, current) != *rank
            })
        });
        let stale: BTreeSet<PipelineId> = ready.map(|(_, key)| key.pipeline).collect();
        for id in stale {
            self.refresh_ready_steps(id);
        }
    }
}
