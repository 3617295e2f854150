//! Load at its worst: bursts, backlogs and questions without room.

use std::time::Duration;

use super::fixtures::{WALL_MS, advice, job, owner, step};
use crate::{PipelineId, PipelineSpec, StepKey};

fn key(pipeline: PipelineId) -> StepKey {
    StepKey {
        pipeline,
        occurrence: 0,
        step: 0,
    }
}

fn restricted(decision_ms: f64, priority: u32) -> PipelineSpec {
    let mut spec = job(vec![step(1)]);
    spec.policy.advice = Some(advice(decision_ms));
    spec.policy.priority = priority;
    spec
}

/// Replays a backlog after an outage: if the oldest jobs went first, all would be
/// late.
#[test]
fn jobs_that_can_be_in_time_go_before_late_ones() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(4)]));
    owner.start_all();
    for id in 2..6 {
        owner.submit(id, job(vec![step(1)]));
    }
    owner.wait(Duration::from_secs(4));
    let mut fresh = job(vec![step(1)]);
    fresh.accepted_unix_ms = WALL_MS + 4_000;
    owner.submit(6, fresh);

    owner.report("w1", Vec::new(), Vec::new());
    owner.wait(Duration::from_millis(50));
    owner.report("w1", Vec::new(), Vec::new());
    let starts = owner.start_all();

    assert_eq!(starts.len(), 4);
    let mut started = starts.iter().map(|start| start.run.task.step.pipeline);
    assert!(started.any(|pipeline| pipeline == 6));
}

/// Replays a full service: tickets for quick steps would expire unused, and the
/// questions would delay those that have room.
#[test]
fn a_quick_step_without_room_is_not_asked_about() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(4)]));
    owner.start_all();

    owner.submit(2, restricted(20.0, 0));

    assert!(owner.questions().is_empty());
}

/// Replays a full service: a slow step that asks only once there is room leaves
/// the room idle for the time of the answer.
#[test]
fn a_slow_step_at_the_head_of_the_queue_is_asked_about_before_there_is_room() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(4)]));
    owner.start_all();

    owner.submit(2, restricted(500.0, 0));

    assert_eq!(owner.questions(), vec![(key(2), 1)]);
}

/// Replays a burst: room for one task and many jobs that ask for it.
#[test]
fn room_is_kept_for_the_first_of_the_steps_that_ask() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(3)]));
    owner.start_all();

    owner.submit(2, restricted(20.0, 0));
    owner.submit(3, restricted(20.0, 0));
    owner.submit(4, job(vec![step(1)]));
    let overtaking = owner.start_all();
    owner.advise(key(2), &["w1"]);
    let first = owner.start_all();

    assert_eq!(owner.questions(), vec![(key(2), 1)]);
    assert!(overtaking.is_empty());
    assert_eq!(first[0].run.task.step, key(2));
}
