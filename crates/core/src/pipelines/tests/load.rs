//! Load at its worst: bursts, backlogs and questions without room.

use std::time::Duration;

use super::fixtures::{WALL_MS, advice, done, job, listing, owner, present, step};
use crate::{
    PipelineAction, PipelineEvent, PipelineId, PipelineSpec, ResourceVector, RunKey, StepKey,
};

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

/// Guards against questions of jobs that ended before their answers, which counted
/// as open for ever, so that nothing more was asked.
#[test]
fn questions_of_ended_jobs_do_not_count_as_open() {
    let mut owner = owner(&["w1"]);
    for id in 1..20 {
        owner.submit(id, restricted(500.0, 1));
        owner.place();
        owner.feed(PipelineEvent::Cancelled(id));
        owner.commit();
        owner.feed(PipelineEvent::AdviceAnswered(key(id), None, owner.now));
    }

    owner.submit(20, restricted(500.0, 1));
    owner.place();

    assert!(owner.questions().contains(&(key(20), 1)));
}

/// Replays a step whose known workers are full: it asked about them again and again
/// while others had room.
#[test]
fn a_step_asks_about_workers_with_room() {
    let mut owner = owner(&["w1"]);
    let mut spec = restricted(500.0, 1);
    spec.steps[0].count = 5;
    owner.submit(1, spec);
    owner.place();
    owner.advise(key(1), &["w1"]);
    let starts = owner.start_all();
    let running = || starts.iter().map(|start| present(start.run)).collect();
    for worker in ["w2", "w3"] {
        owner.feed(PipelineEvent::Listed(listing(worker)));
        owner.report(worker, Vec::new(), Vec::new());
    }
    owner.actions.clear();

    // The ticket of the full worker expires.
    owner.wait(Duration::from_secs(3));
    owner.report("w1", running(), Vec::new());
    owner.place();

    let asked = owner.actions.iter().find_map(|action| match action {
        PipelineAction::Ask(order) => Some(order.workers.clone()),
        _ => None,
    });
    assert_eq!(asked, Some(vec!["w2".into()]));
}

/// Guards against a gang that asks about strangers instead of the workers that are
/// kept for it, once its tickets have expired.
#[test]
fn a_gang_asks_about_the_workers_that_are_kept_for_it() {
    let mut owner = owner(&["w1"]);
    let mut gang = restricted(500.0, 1);
    gang.steps[0].gang = true;
    gang.steps[0].count = 4;
    owner.submit(1, job(vec![step(4)]));
    let first = owner.start_all();
    owner.submit(2, gang);
    owner.place();
    owner.advise(key(2), &["w1"]);
    owner.wait(Duration::from_secs(2));
    owner.place();
    owner.advise(key(2), &["w1"]);
    for worker in ["w2", "w3", "w4", "w5"] {
        owner.feed(PipelineEvent::Listed(listing(worker)));
        owner.report(worker, Vec::new(), Vec::new());
    }

    // The worker becomes free when the tickets have expired.
    owner.wait(Duration::from_secs(2));
    let ends = (1..)
        .zip(&first)
        .map(|(number, start)| done(number, start.run));
    owner.report("w1", Vec::new(), ends.collect());
    owner.actions.clear();
    owner.place();

    let asked = owner.actions.iter().find_map(|action| match action {
        PipelineAction::Ask(order) => Some(order.workers.clone()),
        _ => None,
    });
    assert!(asked.unwrap().contains(&"w1".into()));
}

/// Replays a burst of jobs that no worker can take at the moment: all other queues
/// waited behind them until the end of the burst.
#[test]
fn a_long_queue_does_not_hide_the_others() {
    let mut owner = owner(&["w1"]);
    let mut full = job(vec![step(1)]);
    full.steps[0].demand = ResourceVector::new(1_000, 100, 4);
    full.policy.priority = 0;
    owner.submit(1, full.clone());
    owner.start_all();
    for id in 2..200 {
        owner.submit(id, full.clone());
    }
    let mut other = job(vec![step(1)]);
    other.policy.queue = "other".to_owned();
    owner.submit(200, other);
    owner.commit();

    let starts = owner.take_starts();

    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].run.task.step, key(200));
}

/// Replays a burst of urgent jobs that finds the service filled by jobs with much
/// time.
#[test]
fn patient_jobs_leave_room_for_urgent_ones() {
    let names: Vec<String> = (0..10).map(|index| format!("w{index}")).collect();
    let workers: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut owner = owner(&workers);
    let mut urgent = job(vec![step(4)]);
    urgent.policy.priority = 0;
    urgent.policy.queue = "urgent".to_owned();
    owner.submit(1, urgent.clone());
    owner.start_all();
    let mut patient = job(vec![step(80)]);
    patient.policy.stretch = 20.0;
    owner.submit(2, patient);
    owner.start_all();

    owner.submit(3, urgent);
    let starts = owner.start_all();

    assert_eq!(starts.len(), 4);
    assert!(starts.iter().all(|start| start.run.task.step == key(3)));
}

/// Guards against room that stays free although the jobs that wait for it will be
/// late.
#[test]
fn jobs_without_time_left_take_all_room() {
    let names: Vec<String> = (0..10).map(|index| format!("w{index}")).collect();
    let workers: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut owner = owner(&workers);
    let mut urgent = job(vec![step(1)]);
    urgent.policy.priority = 0;
    owner.submit(1, urgent);
    owner.start_all();
    let mut hurried = job(vec![step(200)]);
    // Its objective leaves it less than twice its run time.
    hurried.policy.stretch = 1.0;
    owner.submit(2, hurried);

    let starts = owner.start_all();

    assert_eq!(starts.len(), 39);
}

/// Replays single tasks that take each bit of room before a gang finds all of its
/// room free at once.
#[test]
fn a_waiting_gang_gets_the_workers_that_become_free() {
    let workers = ["w1", "w2", "w3", "w4"];
    let mut owner = owner(&workers);
    owner.submit(1, job(vec![step(16)]));
    let first = owner.start_all();
    let mut gang = job(vec![step(1)]);
    gang.steps[0].gang = true;
    gang.steps[0].demand = ResourceVector::new(4_000, 100, 0);
    owner.submit(2, gang);
    let mut small = job(vec![step(40)]);
    small.policy.priority = 2;
    small.policy.queue = "small".to_owned();
    owner.submit(3, small);

    // One task after the other ends on the first worker.
    let runs = first.iter().filter(|start| *start.worker == *"w1");
    let runs: Vec<RunKey> = runs.map(|start| start.run).collect();
    let mut started = Vec::new();
    for (number, run) in (1..).zip(&runs) {
        let running = runs[number..].iter().map(|run| present(*run)).collect();
        owner.report("w1", running, vec![done(number as u64, *run)]);
        started.extend(owner.start_all());
    }

    assert_eq!(started.len(), 1);
    assert_eq!(started[0].run.task.step, key(2));
}
