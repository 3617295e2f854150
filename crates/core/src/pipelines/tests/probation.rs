//! Tests of workers on probation, as runs of several jobs have failed on them.

use std::{collections::BTreeMap, time::Duration};

use super::{
    fixtures::{OwnerFixture, ended, job, listing, long_running_job, observed, owner, step},
    health::fail_run,
    simulation::SimulatedService,
};
use crate::{PipelineEvent, PipelineId, RunEnd, WorkerListing};

/// Longest time for which a task that lasts may be without a run while there is room for it.
const MAX_TIME_AWAY: Duration = Duration::from_secs(9);

/// Time in which a waiting task must start while its worker has room.
const START_LIMIT: Duration = Duration::from_secs(3);

/// Returns the listings of this many workers with four cores.
fn listings(count: u32) -> Vec<WorkerListing> {
    let names = (1..=count).map(|index| format!("w{index}"));
    names.map(|name| listing(&name)).collect()
}

/// Returns an owner whose only worker is on probation.
fn owner_of_worker_on_probation() -> OwnerFixture {
    let mut owner = owner(&["w1"]);
    for (id, number) in [(1, 1), (2, 2)] {
        fail_run(&mut owner, id, number);
        owner.handle_event(PipelineEvent::Cancelled(id));
        owner.commit();
    }
    owner
}

/// Advances the service, and records when each of the jobs has last had a run.
fn advance(
    service: &mut SimulatedService,
    time: Duration,
    last_runs: &mut BTreeMap<PipelineId, Duration>,
) {
    let end = service.now + time;
    while service.now < end {
        service.advance();
        let runs = service.workers.values();
        let runs = runs.flat_map(|worker| worker.runs.keys());
        last_runs.extend(runs.map(|run| (run.task.step.pipeline, service.now)));
    }
}

/// Makes the present runs of a job fail.
fn fail_job(service: &mut SimulatedService, id: PipelineId) {
    let workers = service.workers.values_mut();
    let runs = workers.flat_map(|worker| &mut worker.runs);
    for (_, run) in runs.filter(|(run, _)| run.task.step.pipeline == id) {
        run.is_failing = true;
    }
}

/// Guards against tasks that last and are not started again: each worker on probation keeps one of
/// them and takes no other, as runs that last never succeed.
#[test]
fn tasks_that_last_return_to_workers_on_probation() {
    // Workers, jobs, failures of each job, and the time between the failures of two jobs in ms.
    for (workers, jobs, failures, gap_ms) in [
        (3, 6, 3, 1_500),
        (1, 3, 3, 1_500),
        (5, 12, 2, 400),
        (3, 6, 4, 0),
        (2, 5, 6, 3_000),
    ] {
        let mut service = SimulatedService::new(7, listings(workers));
        for id in 1..=jobs {
            service.submit(id, long_running_job());
        }
        let mut last_runs = BTreeMap::new();
        advance(&mut service, Duration::from_secs(6), &mut last_runs);

        for _ in 0..failures {
            for id in 1..=jobs {
                fail_job(&mut service, id);
                advance(&mut service, Duration::from_millis(gap_ms), &mut last_runs);
            }
            advance(&mut service, Duration::from_millis(100), &mut last_runs);
        }
        advance(&mut service, MAX_TIME_AWAY, &mut last_runs);

        let away = last_runs.values().filter(|at| **at < service.now);
        let away = away.count();
        assert_eq!(away, 0, "of {jobs} tasks on {workers} workers");
    }
}

/// Guards against tasks that wait for as long as the first run on probation takes, as only its end
/// shows whether the worker is sound.
#[test]
fn a_long_run_on_probation_does_not_keep_other_tasks_from_the_worker() {
    for is_reported in [true, false] {
        let mut owner = owner_of_worker_on_probation();
        let mut long = step(3);
        long.estimate_ms = 60_000;
        owner.submit(3, job(vec![long]));
        let mut runs = Vec::new();

        let end = owner.now + START_LIMIT * 3;
        let mut idle_since = owner.now;
        while runs.len() < 3 && owner.now < end {
            let starts = owner.start_all();
            if !starts.is_empty() {
                idle_since = owner.now;
            }
            runs.extend(starts.iter().map(|start| observed(start.run)));
            assert!(owner.now < idle_since + START_LIMIT, "{} runs", runs.len());
            owner.advance_clock(Duration::from_millis(50));
            if is_reported {
                owner.report("w1", runs.clone(), Vec::new());
            }
        }

        assert_eq!(runs.len(), 3);
    }
}

/// Guards against operators who cannot see why a worker gets one run at a time.
#[test]
fn a_worker_on_probation_is_in_the_metrics_and_the_dump() {
    let owner = owner_of_worker_on_probation();

    let load = owner.state.load();
    let lines = owner.state.describe();

    assert_eq!(load.workers_on_probation, 1);
    assert!(
        lines.iter().any(|line| line.contains("OnProbation")),
        "{lines:?}"
    );
}

/// Guards against a worker that is idle for longer and longer, although each failure on probation was
/// that of a job which fails everywhere.
#[test]
fn a_worker_on_probation_is_tried_again_in_time_however_often_it_fails() {
    let mut owner = owner(&["w1"]);
    for number in 1..=9 {
        let end = owner.now + START_LIMIT;
        owner.submit(number, job(vec![step(1)]));
        let mut starts = owner.start_all();
        while starts.is_empty() && owner.now < end {
            owner.advance_clock(Duration::from_millis(50));
            starts = owner.start_all();
        }
        assert_eq!(starts.len(), 1, "after {} failures", number - 1);

        let run = starts[0].run;
        let failed = ended(number, run, RunEnd::Failed);
        owner.report("w1", Vec::new(), vec![failed]);
        owner.handle_event(PipelineEvent::Cancelled(number));
        owner.commit();
        owner.report("w1", Vec::new(), Vec::new());
    }
}

/// Guards against a gang that is never placed: it needs more than one task on workers on probation, and
/// without other work nothing ends the probation.
#[test]
fn a_gang_alone_is_placed_on_workers_on_probation() {
    let mut owner = owner_of_worker_on_probation();
    let mut gang = step(3);
    gang.gang = true;
    owner.submit(3, job(vec![gang]));

    let mut starts = owner.start_all();
    let end = owner.now + START_LIMIT;
    while starts.is_empty() && owner.now < end {
        owner.advance_clock(Duration::from_millis(50));
        starts = owner.start_all();
    }

    assert_eq!(starts.len(), 3);
}
