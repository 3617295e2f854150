//! Workers that are slow, runs that stand still, and workers that leave.

use std::time::Duration;

use super::fixtures::{job, listing, owner, present, step};
use crate::{ObservedRun, PipelineEvent, RunKey, StepSpec, WorkerListing};

/// Reports a run each half second with the progress that a function gives.
fn report_progress(
    owner: &mut super::fixtures::OwnerFixture,
    worker: &str,
    runs: &[RunKey],
    seconds: u32,
    percent: impl Fn(u32) -> u32,
) {
    for half in 0..seconds * 2 {
        let running = runs.iter().map(|run| ObservedRun {
            percent: percent(half),
            ..present(*run)
        });
        owner.report(worker, running.collect(), Vec::new());
        owner.wait(Duration::from_millis(500));
    }
}

/// Replays workers on which tasks stand still: a job there would never end.
#[test]
fn a_run_that_stands_still_is_stopped() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(1)]));
    let run = owner.start_all().remove(0).run;

    report_progress(&mut owner, "w1", &[run], 4, |_| 30);

    assert!(!owner.stops().is_empty());
    assert!(owner.stops().iter().all(|stop| stop.run == run));
}

/// Guards against stopping slow tasks, whose work would be lost.
#[test]
fn a_run_that_moves_slowly_goes_on() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(1)]));
    let run = owner.start_all().remove(0).run;

    report_progress(&mut owner, "w1", &[run], 10, |half| half / 4);

    assert!(owner.stops().is_empty());
}

/// Guards against stopping a task that lasts, whose progress never changes.
#[test]
fn a_lasting_run_does_not_stand_still() {
    let mut owner = owner(&["w1"]);
    let lasting = StepSpec {
        long_running: true,
        ..step(1)
    };
    owner.submit(1, job(vec![lasting]));
    let run = owner.start_all().remove(0).run;

    report_progress(&mut owner, "w1", &[run], 6, |_| 100);

    assert!(owner.stops().is_empty());
}

/// Replays a part of the workers that is six times slower: the next job goes to the
/// others, although the slow one has as much room.
#[test]
fn a_slow_worker_is_not_preferred() {
    let mut owner = owner(&["w1", "w2"]);
    owner.submit(1, job(vec![step(2), step(2)]));
    let starts = owner.start_all();
    let of = |worker: &str| -> Vec<RunKey> {
        let starts = starts.iter().filter(|start| &*start.worker == worker);
        starts.map(|start| start.run).collect()
    };
    let (slow, well) = (of("w1"), of("w2"));

    for half in 1..5 {
        let row = |run: &RunKey, percent| ObservedRun {
            percent,
            ..present(*run)
        };
        owner.wait(Duration::from_millis(500));
        let running = slow.iter().map(|run| row(run, half * 6)).collect();
        owner.report("w1", running, Vec::new());
        let running = well.iter().map(|run| row(run, half * 24)).collect();
        owner.report("w2", running, Vec::new());
    }
    owner.feed(PipelineEvent::Listed(WorkerListing {
        capacity: crate::ResourceVector::new(8_000, 8_000, 0),
        ..listing("w2")
    }));
    owner.submit(2, job(vec![step(1)]));

    assert_eq!(&*owner.start_all()[0].worker, "w2");
}

/// Guards against work that ends with a leaving worker and waits for its lease.
#[test]
fn the_runs_of_a_leaving_worker_are_stopped_in_time() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(2)]));
    owner.start_all();

    owner.feed(PipelineEvent::Listed(WorkerListing {
        is_draining: true,
        leaves_in: Some(Duration::from_secs(3)),
        ..listing("w1")
    }));
    owner.wait(Duration::from_secs(2));
    let early = owner.stops().len();
    owner.wait(Duration::from_millis(500));

    assert_eq!((early, owner.stops().len()), (0, 2));
}
