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

/// Returns a step with one task of this estimate in s.
fn long_step(estimate_s: u32) -> StepSpec {
    StepSpec {
        estimate_ms: u64::from(estimate_s) * 1_000,
        ..step(1)
    }
}

/// Guards against a task that never ends: a percent of it takes longer than the shortest time
/// after which a run counts as stalled. With checkpoints, a run begins where the one before ended.
#[test]
fn a_run_that_reports_its_true_progress_is_not_stopped_however_long_it_is() {
    for estimate_s in [10, 600, 3_600] {
        for first_percent in [0, 40] {
            let mut owner = owner(&["w1"]);
            owner.submit(1, job(vec![long_step(estimate_s)]));
            let run = owner.start_all().remove(0).run;

            let percent = |tick: u32| first_percent + tick * 50 / estimate_s;
            let seconds = estimate_s * (100 - first_percent) / 100;
            report_progress(&mut owner, "w1", &[run], seconds, percent);

            assert!(
                owner.stops().is_empty(),
                "{estimate_s} s from {first_percent} %"
            );
        }
    }
}

/// Guards against a task that never ends because its run stands still, however long it is.
#[test]
fn a_run_that_stands_still_is_stopped_in_a_part_of_its_estimate() {
    // Two seconds for the first progress and a report beside a tenth of the estimate or 3 s.
    for (estimate_s, bound_s) in [(10, 5), (600, 62), (3_600, 362)] {
        let mut owner = owner(&["w1"]);
        owner.submit(1, job(vec![long_step(estimate_s)]));
        let run = owner.start_all().remove(0).run;

        let percent = |tick: u32| 1 + tick.min(2);
        report_progress(&mut owner, "w1", &[run], bound_s, percent);

        assert!(!owner.stops().is_empty(), "{estimate_s} s");
    }
}

/// Guards against a task that never ends because its estimate is far too short: a percent of it
/// takes longer than each run is given.
#[test]
fn a_task_with_too_short_an_estimate_gets_more_time_with_each_attempt() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![long_step(1)]));
    let mut is_stopped = true;

    for _ in 0..8 {
        let Some(start) = owner.start_all().pop() else {
            continue;
        };
        owner.actions.clear();
        report_progress(&mut owner, "w1", &[start.run], 60, |tick| tick / 50);
        is_stopped = !owner.stops().is_empty();
        owner.handle_event(PipelineEvent::StopAnswered("w1".into(), start.run, true));
        owner.advance_clock(Duration::from_millis(500));
        owner.report("w1", Vec::new(), Vec::new());
    }

    assert!(!is_stopped);
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
