//! The queue of ready steps, and the position of each.

use std::{collections::BTreeSet, sync::Arc};

use super::{
    progress::StepProgress,
    spec::{PipelineId, PipelineSpec, StepKey},
    state::PipelineState,
};

/// Position in the queue; lower is first: whether the job has expired, its priority,
/// whether it has missed its objective, and the objective in ms since 1970.
pub(super) type QueueRank = (bool, u32, bool, u64);

/// A job expires after this multiple of the time allowed by its latency objective: its
/// result is of no use any more, and it is placed after all others.
const EXPIRY_FACTOR: u64 = 3;

/// Times that follow from the specification of a job. They are needed for each ready step
/// in each placement pass.
#[derive(Clone, Copy, Debug)]
pub(super) struct JobTiming {
    /// Estimated run time of the longest chain of dependent steps, in ms.
    pub(super) critical_path_ms: u64,
    /// Time from the start of an occurrence to its latency objective, in ms.
    objective_ms: u64,
    /// Whether a step runs until the job is cancelled.
    pub(super) is_long_running: bool,
}

impl JobTiming {
    pub(super) fn new(spec: &PipelineSpec) -> Self {
        Self {
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

    /// Returns the position of an occurrence in the queue.
    ///
    /// Load pattern: after an outage or a burst, more jobs wait than can meet their
    /// objectives. Jobs that can still meet theirs come first: in the order of arrival,
    /// all of them would be late.
    fn queue_rank(&self, spec: &PipelineSpec, occurrence: u32, wall_ms: u64) -> QueueRank {
        let start = spec.start_unix_ms(occurrence);
        let objective = start.saturating_add(self.objective_ms);
        let expiry_ms = self.objective_ms.saturating_mul(EXPIRY_FACTOR);
        let expires_at = start.saturating_add(expiry_ms);
        let is_late = !self.is_long_running && wall_ms > objective;
        let is_expired = !self.is_long_running && wall_ms > expires_at;
        (is_expired, spec.policy.priority, is_late, objective)
    }
}

impl PipelineState {
    /// Adds the occurrences of a job that have become due, and updates its ready steps
    /// and their ranks.
    pub(super) fn refresh_ready_steps(&mut self, id: PipelineId) {
        let Some(record) = self.pipelines.get_mut(&id) else {
            return;
        };
        let spec = Arc::clone(&record.spec);
        let timing = record.timing;
        let is_final = record.progress.phase.is_final();
        let mut has_new_occurrence = false;
        if !is_final {
            let due = match &spec.schedule {
                None => 1,
                Some(schedule) => {
                    let all = 0..schedule.occurrences;
                    // Occurrences are due in order.
                    let due = all
                        .take_while(|occurrence| schedule.due_unix_ms(*occurrence) < self.wall_ms);
                    u32::try_from(due.count()).unwrap_or(u32::MAX)
                }
            };
            for occurrence in 0..due {
                if !record.progress.has_occurrence(occurrence) {
                    record.progress.add_occurrence(&spec, occurrence);
                    has_new_occurrence = true;
                }
            }
        }
        let previously_ready = std::mem::take(&mut record.ready);
        for (key, rank) in &previously_ready {
            self.ready.remove(&(*rank, *key));
        }
        if !is_final {
            for (occurrence, steps) in &record.progress.occurrences {
                let rank = timing.queue_rank(&spec, *occurrence, self.wall_ms);
                for (index, progress) in (0..).zip(steps) {
                    let step_spec = &spec.steps[index as usize];
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
        if has_new_occurrence && spec.schedule.is_some() {
            self.mark_dirty(id);
        }
    }

    /// Updates the ranks of jobs that have become late or expired.
    pub(super) fn update_stale_ranks(&mut self) {
        let wall_ms = self.wall_ms;
        let ready = self.ready.iter().filter(|(rank, key)| {
            let record = self.pipelines.get(&key.pipeline);
            record.is_some_and(|record| {
                record
                    .timing
                    .queue_rank(&record.spec, key.occurrence, wall_ms)
                    != *rank
            })
        });
        let stale: BTreeSet<PipelineId> = ready.map(|(_, key)| key.pipeline).collect();
        for id in stale {
            self.refresh_ready_steps(id);
        }
    }
}
