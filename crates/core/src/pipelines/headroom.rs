//! Capacity that is held back for urgent jobs and for gangs.
//!
//! Load pattern: bursts of short urgent jobs, and gangs that need several workers at
//! once, reach a service whose workers are filled by jobs with slack. Such jobs
//! leave part of the capacity free while they can still meet their objectives, and
//! workers that a waiting gang may use are reserved for it. A step whose only workers
//! are in the headroom would wait on an idle service, so it may use them then.

use super::{
    place::{PlacementTable, choose_for_step},
    probation::ProbationUse,
    progress::StepProgress,
    spec::{StepKey, StepSpec},
    state::{PipelineRecord, PipelineState},
};

/// Part of the capacity of a service that jobs with slack leave free, in percent.
pub(super) const HEADROOM_PERCENT: u64 = 10;

/// Free part of the capacity, in percent, from which a step may use the headroom if it
/// has no other worker.
const AMPLE_FREE_PERCENT: u64 = 30;

/// Largest part of the workers that is reserved for waiting gangs, in percent.
pub(super) const GANG_RESERVATION_PERCENT: usize = 25;

/// A job has slack while the time left until its objective is more than this
/// multiple of its estimated run time. Jobs often take twice their estimate.
const SLACK_FACTOR: u64 = 2;

/// Returns whether an occurrence of a job can wait and still meet its objective, or must wait as it is
/// beyond the rate of its team.
///
/// `top_priority` is the priority of the most urgent queue of the service. Jobs of
/// that queue and long-running jobs have no slack.
pub(super) fn has_slack(
    record: &PipelineRecord,
    occurrence: u32,
    top_priority: u32,
    wall_ms: u64,
) -> bool {
    let (spec, timing) = (&record.spec, &record.timing);
    let needed_ms = timing.critical_path_ms.saturating_mul(SLACK_FACTOR);
    let objective_ms = timing.objective_unix_ms(spec, occurrence);
    let left_ms = objective_ms.saturating_sub(wall_ms);
    let has_time = spec.policy.priority > top_priority && left_ms > needed_ms;
    !timing.is_long_running && (has_time || timing.is_excess)
}

impl PipelineState {
    /// Returns whether a step with slack may use the headroom: none of its tasks is placed,
    /// it cannot run on the other workers, and much of the capacity is free.
    pub(super) fn needs_headroom(
        &self,
        key: StepKey,
        step_spec: &StepSpec,
        table: &PlacementTable,
    ) -> bool {
        let pipeline = self.pipelines.get(&key.pipeline);
        let step = pipeline.and_then(|pipeline| pipeline.progress.step(key));
        let is_unplaced = step.is_some_and(StepProgress::is_unplaced);
        if table.free_percent() < AMPLE_FREE_PERCENT || !is_unplaced {
            return false;
        }
        let cache = self.ticket_caches.get(&key);
        let fitting = table.fitting(step_spec, ProbationUse::InTurn, |worker| {
            self.task_allowance(worker, key, step_spec)
        });
        let mut usable = fitting.filter(|candidate| {
            let row = table.row(candidate);
            !row.is_headroom && !cache.is_some_and(|cache| cache.is_refused(row.instance))
        });
        if step_spec.gang {
            let count = step_spec.count as usize;
            choose_for_step(table, usable.collect(), step_spec, count).is_empty()
        } else {
            usable.next().is_none()
        }
    }
}
