//! Tests of tasks under which workers crash.

use std::{sync::Arc, time::Duration};

use super::fixtures::{
    INSTANCE_STARTED_MS, OwnerFixture, done, job, listing, long_running_job, observed, owner, step,
    unclaimed_owner,
};
use crate::{PipelineEvent, PipelinePhase, RenewalFailure, RunKey, StartOrder, StartResult};

/// Largest number of starts of a task under which each of its workers crashes: three crashes,
/// and less than three further starts.
const MAX_STARTS: usize = 5;

/// Time from the crash of a worker until it is back.
const RESTART_TIME: Duration = Duration::from_secs(3);

/// Ends a worker. It returns with another identifier at the same address.
fn replace_worker(owner: &mut OwnerFixture, worker: &str, replacement: &str) {
    let fail = |failure| PipelineEvent::RenewalFailed(worker.into(), failure);
    owner.handle_event(fail(RenewalFailure::Unanswered));
    owner.advance_clock(RESTART_TIME);
    owner.handle_event(fail(RenewalFailure::OtherInstance));
    let mut listing = listing(replacement);
    listing.address = format!("{worker}:1");
    owner.handle_event(PipelineEvent::Listed(listing));
    owner.report(replacement, Vec::new(), Vec::new());
}

/// Ends a worker. It returns with the same identifier.
fn restart_worker(owner: &mut OwnerFixture, worker: &str, restarts: u64) {
    let failure = RenewalFailure::Unanswered;
    owner.handle_event(PipelineEvent::RenewalFailed(worker.into(), failure));
    owner.advance_clock(RESTART_TIME);
    let started_ms = INSTANCE_STARTED_MS + restarts;
    owner.report_as_instance(worker, started_ms, Vec::new(), Vec::new());
    owner.report_as_instance(worker, started_ms, Vec::new(), Vec::new());
}

/// Guards against a task that crashes worker after worker without end, under each way in which a
/// worker returns.
#[test]
fn a_task_that_crashes_its_workers_is_given_up() {
    for is_replaced in [true, false] {
        let mut owner = owner(&["w1", "w2", "w3"]);
        owner.submit(1, job(vec![step(1)]));
        let mut starts = 0;

        while starts < 2 * MAX_STARTS
            && let Some(start) = owner.start_all().pop()
        {
            starts += 1;
            if is_replaced {
                replace_worker(&mut owner, &start.worker, &format!("r{starts}"));
            } else {
                restart_worker(&mut owner, &start.worker, starts as u64);
            }
        }

        assert!(starts <= MAX_STARTS, "{starts} starts");
        assert_eq!(owner.phases[&1], PipelinePhase::Failed);
    }
}

/// Reports all runs of these orders on a worker as present.
fn report_runs(owner: &mut OwnerFixture, worker: &str, starts: &[StartOrder]) {
    let runs = starts.iter().filter(|start| *start.worker == *worker);
    let running = runs.map(|start| observed(start.run)).collect();
    owner.report(worker, running, Vec::new());
}

/// Guards against giving up tasks because they ran beside one that crashes its workers.
#[test]
fn tasks_beside_one_that_crashes_its_workers_are_not_given_up() {
    let mut owner = owner(&["w1", "w2", "w3"]);
    owner.submit(1, job(vec![step(6)]));
    let mut running = owner.start_all();
    for worker in ["w1", "w2", "w3"] {
        report_runs(&mut owner, worker, &running);
    }
    owner.submit(2, job(vec![step(1)]));
    let mut crashes = 0;

    while owner.phases.get(&2) != Some(&PipelinePhase::Failed) && crashes < MAX_STARTS {
        let mut starts = owner.start_all();
        let deadly = starts
            .iter()
            .find(|start| start.run.task.step.pipeline == 2);
        let Some(worker) = deadly.map(|start| start.worker.clone()) else {
            break;
        };
        running.append(&mut starts);
        running.retain(|start| start.worker != worker);
        crashes += 1;
        replace_worker(&mut owner, &worker, &format!("r{crashes}"));
        owner.commit();
    }
    running.extend(owner.start_all());
    let mut numbers = std::collections::BTreeMap::<String, u64>::new();
    for start in running {
        let number = numbers.entry(start.worker.to_string()).or_default();
        *number += 1;
        owner.report(&start.worker, Vec::new(), vec![done(*number, start.run)]);
    }
    owner.commit();

    assert_eq!(owner.phases[&2], PipelinePhase::Failed);
    assert_eq!(owner.phases[&1], PipelinePhase::Completed);
}

/// Guards against a task that crashes its workers only some time after its start, while other
/// tasks that have just started are taken for the cause.
#[test]
fn a_task_that_crashes_its_workers_late_is_given_up() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(1)]));
    let mut worker = "w1".to_owned();
    let mut starts = 0;

    while owner.phases.get(&1) != Some(&PipelinePhase::Failed) && starts <= MAX_STARTS {
        let started = owner.start_all();
        starts += started
            .iter()
            .filter(|start| start.run.task.step.pipeline == 1)
            .count();
        report_runs(&mut owner, &worker, &started);
        owner.advance_clock(Duration::from_secs(2));
        owner.submit(10 + starts as u64, job(vec![step(1)]));
        owner.start_all();
        let replacement = format!("r{starts}");
        replace_worker(&mut owner, &worker, &replacement);
        owner.commit();
        worker = replacement;
    }

    assert!(starts <= MAX_STARTS, "{starts} starts");
    assert_eq!(owner.phases[&1], PipelinePhase::Failed);
}

/// Guards against giving up a task that has been at work for long before each crash of its worker.
#[test]
fn a_lasting_task_survives_the_crashes_of_its_workers() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, long_running_job());

    for restarts in 1..10 {
        let starts = owner.start_all();
        for _ in 0..40 {
            owner.advance_clock(Duration::from_secs(1));
            let running = starts.iter().map(|start| observed(start.run)).collect();
            let started_ms = INSTANCE_STARTED_MS + restarts - 1;
            owner.report_as_instance("w1", started_ms, running, Vec::new());
        }
        restart_worker(&mut owner, "w1", restarts);
    }

    assert_eq!(owner.start_all().len(), 1);
}

/// Guards against taking a worker that is only cut off for one that has crashed.
#[test]
fn a_task_is_not_given_up_because_its_workers_are_cut_off() {
    let mut owner = owner(&["w1", "w2"]);
    owner.submit(1, job(vec![step(1)]));

    for _ in 0..=MAX_STARTS {
        let start = owner.start_all().remove(0);
        owner.advance_clock(Duration::from_secs(1));
        let failure = RenewalFailure::Unanswered;
        let cut = PipelineEvent::RenewalFailed(start.worker.clone(), failure);
        owner.handle_event(cut);
        owner.advance_clock(Duration::from_secs(8));
        owner.report(&start.worker, Vec::new(), Vec::new());
    }

    assert_eq!(owner.start_all().len(), 1);
}

/// Guards against giving up a task because it was ordered from workers that had crashed already,
/// which are the idlest ones, and was never started there.
#[test]
fn a_task_that_crashed_workers_never_started_is_not_given_up() {
    let mut owner = owner(&["w1", "w2"]);
    owner.submit(1, job(vec![step(1)]));
    let first = owner.start_all().remove(0);
    replace_worker(&mut owner, &first.worker, "r0");

    for crashes in 1..=2 * MAX_STARTS {
        owner.run_placement_pass();
        owner.commit();
        let order = owner.take_starts().pop().expect("the task was given up");
        let worker = order.worker.clone();
        let answer =
            PipelineEvent::StartAnswered(worker, order.run, StartResult::Unanswered.into());
        owner.handle_event(answer);
        replace_worker(&mut owner, &order.worker, &format!("r{crashes}"));
    }

    assert!(!owner.start_all().is_empty());
}

/// Guards against the loss of more work beside a suspect than necessary.
#[test]
fn a_suspect_is_started_beside_the_fewest_runs() {
    let mut owner = owner(&["w1", "w2", "w3"]);
    owner.submit(2, job(vec![step(4)]));
    owner.start_all();
    owner.submit(1, job(vec![step(1)]));
    let start = owner.start_all().remove(0);

    replace_worker(&mut owner, &start.worker, "r1");
    owner.submit(3, job(vec![step(3)]));
    let starts = owner.start_all();
    let shared_with = |run: RunKey, worker: &str| {
        let others = starts.iter().filter(|start| start.run != run);
        others.filter(|start| *start.worker == *worker).count()
    };
    let suspect = starts
        .iter()
        .find(|start| start.run.task.step.pipeline == 1);
    let suspect = suspect.unwrap();

    assert_eq!(shared_with(suspect.run, &suspect.worker), 0);
}

/// Guards against a successor that knows nothing of the crashes under its predecessor.
#[test]
fn a_successor_knows_the_crashes_under_its_predecessor() {
    let spec = job(vec![step(1)]);
    let mut first = owner(&["w1", "w2", "w3"]);
    first.submit(1, spec.clone());
    for crashes in 1..=2 {
        let start = first.start_all().remove(0);
        replace_worker(&mut first, &start.worker, &format!("r{crashes}"));
    }
    first.commit();

    let mut second = unclaimed_owner(2, &["w4"]);
    second.report("w4", Vec::new(), Vec::new());
    let progress = first.durable.get(&1).cloned();
    second.handle_event(PipelineEvent::Stored(1, Arc::new(spec), progress));
    let start = second.start_all().remove(0);
    replace_worker(&mut second, &start.worker, "r4");
    second.commit();

    assert_eq!(second.phases[&1], PipelinePhase::Failed);
}
