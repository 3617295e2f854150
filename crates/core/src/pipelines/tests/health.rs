//! Tests of slow workers, stalled runs and leaving workers.

use std::time::Duration;

use super::fixtures::{job, listing, observed, owner, step};
use crate::{ObservedRun, PipelineEvent, RunKey, StepSpec, WorkerListing};

/// Reports the runs each half second with the progress that `percent` returns.
fn report_progress(
    owner: &mut super::fixtures::OwnerFixture,
    worker: &str,
    runs: &[RunKey],
    seconds: u32,
    percent: impl Fn(u32) -> u32,
) {
    for tick in 0..seconds * 2 {
        let running = runs.iter().map(|run| ObservedRun {
            percent: percent(tick),
            ..observed(*run)
        });
        owner.report(worker, running.collect(), Vec::new());
        owner.advance_clock(Duration::from_millis(500));
    }
}

/// Guards against a job that never ends because its task makes no progress.
#[test]
fn a_stalled_run_is_stopped() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(1)]));
    let run = owner.start_all().remove(0).run;

    report_progress(&mut owner, "w1", &[run], 4, |_| 30);

    assert!(!owner.stops().is_empty());
    assert!(owner.stops().iter().all(|stop| stop.run == run));
}

/// Guards against stopping a slow run, whose work would be lost.
#[test]
fn a_slow_run_is_not_stopped() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(1)]));
    let run = owner.start_all().remove(0).run;

    report_progress(&mut owner, "w1", &[run], 10, |tick| tick / 4);

    assert!(owner.stops().is_empty());
}

/// Guards against stopping a long-running task, whose progress never changes.
#[test]
fn a_long_running_task_does_not_count_as_stalled() {
    let mut owner = owner(&["w1"]);
    let long_running_step = StepSpec {
        long_running: true,
        ..step(1)
    };
    owner.submit(1, job(vec![long_running_step]));
    let run = owner.start_all().remove(0).run;

    report_progress(&mut owner, "w1", &[run], 6, |_| 100);

    assert!(owner.stops().is_empty());
}

/// Guards against placing tasks on a slow worker that has as much free capacity as the
/// others. The load has workers that are six times slower; here one is four times
/// slower.
#[test]
fn a_slow_worker_is_avoided() {
    let mut owner = owner(&["w1", "w2"]);
    owner.submit(1, job(vec![step(2), step(2)]));
    let starts = owner.start_all();
    let runs_on = |worker: &str| -> Vec<RunKey> {
        let starts = starts.iter().filter(|start| &*start.worker == worker);
        starts.map(|start| start.run).collect()
    };
    let (slow, fast) = (runs_on("w1"), runs_on("w2"));

    for tick in 1..5 {
        let with_progress = |run: &RunKey, percent| ObservedRun {
            percent,
            ..observed(*run)
        };
        owner.advance_clock(Duration::from_millis(500));
        let running = slow
            .iter()
            .map(|run| with_progress(run, tick * 6))
            .collect();
        owner.report("w1", running, Vec::new());
        let running = fast
            .iter()
            .map(|run| with_progress(run, tick * 24))
            .collect();
        owner.report("w2", running, Vec::new());
    }
    owner.handle_event(PipelineEvent::Listed(WorkerListing {
        capacity: crate::ResourceVector::new(8_000, 8_000, 0),
        ..listing("w2")
    }));
    owner.submit(2, job(vec![step(1)]));

    assert_eq!(&*owner.start_all()[0].worker, "w2");
}

/// Guards against runs that end with a leaving worker, and whose tasks then wait until
/// its lease lapses.
#[test]
fn the_runs_of_a_leaving_worker_are_stopped_in_time() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(2)]));
    owner.start_all();

    owner.handle_event(PipelineEvent::Listed(WorkerListing {
        is_draining: true,
        leaves_in: Some(Duration::from_secs(3)),
        ..listing("w1")
    }));
    owner.advance_clock(Duration::from_secs(2));
    let early = owner.stops().len();
    owner.advance_clock(Duration::from_millis(500));

    assert_eq!((early, owner.stops().len()), (0, 2));
}
