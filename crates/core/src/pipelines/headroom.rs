//! Room that patient work leaves to urgent work.
//!
//! Load pattern: bursts of short urgent jobs, and gangs that need several workers at
//! once, reach a service that is filled by tasks of jobs with much time. Jobs that
//! are not urgent leave a part of the room free for as long as they will be in time
//! all the same, and waiting gangs have the workers that they may use kept for them.

use super::spec::PipelineSpec;

/// Part of the room of a service that patient jobs leave free, in percent.
pub(super) const HEADROOM_PERCENT: u64 = 10;

/// Part of the workers that may be kept for gangs that wait, in percent.
pub(super) const KEPT_FOR_GANGS_PERCENT: usize = 25;

/// A job is patient while it has so many times its estimated run time left.
/// Estimates are often half of what a job takes.
const PATIENT_FACTOR: u64 = 2;

/// Tells whether an occurrence of a job may wait for a while and still be in time.
///
/// `first_priority` is that of the most urgent queue of the service.
pub(super) fn is_patient(
    spec: &PipelineSpec,
    occurrence: u32,
    first_priority: u32,
    wall_ms: u64,
) -> bool {
    let lasts = spec.steps.iter().any(|step| step.long_running);
    let needed = spec.critical_path_ms().saturating_mul(PATIENT_FACTOR);
    let left = spec.objective_unix_ms(occurrence).saturating_sub(wall_ms);
    spec.policy.priority > first_priority && !lasts && left > needed
}
