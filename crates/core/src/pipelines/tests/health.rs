//! Tests of slow workers, stalled runs and leaving workers.

use std::time::Duration;

use super::fixtures::{
    OwnerFixture, advice, ended, first_step, job, listing, observed, owner, step,
};
use crate::{
    AdviceReport, ObservedRun, PipelineEvent, PipelineId, PipelineSpec, ResourceVector, RunEnd,
    RunKey, StartOrder, StepSpec, WorkerListing,
};

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

/// Places a job of one task on the only worker, where it fails with this number of its end.
pub(super) fn fail_run(owner: &mut OwnerFixture, id: PipelineId, number: u64) {
    owner.submit(id, job(vec![step(1)]));
    let run = owner.start_all().remove(0).run;
    owner.report("w1", Vec::new(), vec![ended(number, run, RunEnd::Failed)]);
    // Answers the acknowledgement, for which starts wait.
    owner.commit();
    owner.report("w1", Vec::new(), Vec::new());
}

/// Returns the number of starts on a worker.
fn count_on(starts: &[StartOrder], worker: &str) -> usize {
    let starts = starts.iter();
    starts.filter(|start| &*start.worker == worker).count()
}

/// Returns an owner of `w1`, on which runs of two jobs have failed, and of three further workers.
fn owner_with_failing_worker() -> OwnerFixture {
    let mut owner = owner(&["w1"]);
    for (id, number) in [(1, 1), (2, 2)] {
        fail_run(&mut owner, id, number);
        owner.handle_event(PipelineEvent::Cancelled(id));
        owner.commit();
    }
    for worker in ["w2", "w3", "w4"] {
        owner.handle_event(PipelineEvent::Listed(listing(worker)));
        owner.report(worker, Vec::new(), Vec::new());
    }
    owner.actions.clear();
    owner
}

/// Guards against whole steps that are placed on a worker which fails all runs at once, as it is always
/// the idlest one of a full service.
#[test]
fn a_worker_that_fails_the_runs_of_two_jobs_gets_one_run_at_a_time() {
    let mut owner = owner_with_failing_worker();

    owner.submit(3, job(vec![step(20)]));
    let at_once = owner.start_all();
    owner.advance_clock(Duration::from_millis(1_100));
    let after_backoff = owner.start_all();
    owner.advance_clock(Duration::from_millis(500));
    let while_it_runs = owner.start_all();

    assert_eq!((count_on(&at_once, "w1"), at_once.len()), (0, 12));
    assert_eq!(count_on(&after_backoff, "w1"), 1);
    assert_eq!(while_it_runs, Vec::new());
}

/// Guards against sound workers that get one run at a time in a busy service, in which one task in thirty
/// fails everywhere: runs that were placed later have succeeded.
#[test]
fn failures_of_runs_before_a_success_put_no_worker_on_probation() {
    let mut owner = owner(&["w1"]);
    for id in 1..=2 {
        owner.submit(id, job(vec![step(1)]));
    }
    let early = owner.start_all();
    owner.advance_clock(Duration::from_millis(500));
    owner.submit(3, job(vec![step(1)]));
    let late = owner.start_all();

    let failed = early.iter().zip(2..);
    let failed = failed.map(|(start, number)| ended(number, start.run, RunEnd::Failed));
    let ends = [ended(1, late[0].run, RunEnd::Done)]
        .into_iter()
        .chain(failed);
    owner.report("w1", Vec::new(), ends.collect());
    owner.commit();
    owner.report("w1", Vec::new(), Vec::new());
    owner.submit(4, job(vec![step(4)]));
    let starts = owner.start_all();

    assert_eq!(count_on(&starts, "w1"), 4);
}

/// Guards against a worker that stays on probation although it works again.
#[test]
fn a_success_ends_the_probation() {
    let mut owner = owner_with_failing_worker();
    owner.submit(3, job(vec![step(20)]));
    owner.start_all();
    owner.advance_clock(Duration::from_millis(1_100));
    let probe = owner.start_all().remove(0).run;

    owner.report("w1", Vec::new(), vec![ended(3, probe, RunEnd::Done)]);
    owner.commit();
    owner.report("w1", Vec::new(), Vec::new());
    let starts = owner.start_all();

    assert_eq!(count_on(&starts, "w1"), 4);
}

/// Guards against sound workers that count as failing, as one job fails everywhere.
#[test]
fn runs_of_one_job_put_no_worker_on_probation() {
    let mut owner = owner(&["w1"]);
    let mut spec = job(vec![step(3)]);
    spec.policy.max_attempts = 9;
    owner.submit(1, spec);
    for start in owner.start_all().into_iter().zip(1..) {
        let (start, number) = start;
        owner.report(
            "w1",
            Vec::new(),
            vec![ended(number, start.run, RunEnd::Failed)],
        );
    }

    let again = owner.start_all();

    assert_eq!(count_on(&again, "w1"), 3);
}

/// Guards against a job that fails for good as its last attempt is placed on a worker that fails.
#[test]
fn the_last_attempt_of_a_task_waits_for_a_proven_worker() {
    let mut owner = owner(&["w1"]);
    fail_run(&mut owner, 1, 1);
    owner.handle_event(PipelineEvent::Listed(listing("w2")));
    owner.report("w2", Vec::new(), Vec::new());
    owner.submit(2, job(vec![step(4)]));

    let starts = owner.start_all();

    let last = starts
        .iter()
        .find(|start| start.run.task.step.pipeline == 1);
    assert_eq!(last.map(|start| &*start.worker), Some("w2"));
}

/// Guards against a task that is never placed, as no worker is proven.
#[test]
fn a_last_attempt_uses_any_worker_if_none_is_proven() {
    let mut owner = owner(&["w1"]);

    fail_run(&mut owner, 1, 1);
    let starts = owner.start_all();

    assert_eq!(starts.len(), 1);
}

/// Returns a job of one small task whose queue requires quick advice.
fn advised_job() -> PipelineSpec {
    let small = StepSpec {
        demand: ResourceVector::new(100, 10, 0),
        ..step(1)
    };
    let mut spec = job(vec![small]);
    spec.policy.advice = Some(advice(5.0));
    spec
}

/// Guards against a queue in which nothing is placed any more: tasks with one attempt left wait for
/// tickets of workers that they do not use, and the steps behind them are skipped.
#[test]
fn steps_with_last_attempts_do_not_hold_up_the_queue() {
    let mut owner = owner(&["w1"]);
    owner.handle_event(PipelineEvent::AdvisorsCounted(50, 50));
    for id in 1..=30 {
        owner.submit(id, advised_job());
        owner.grant_tickets(first_step(id), &["w1"]);
    }
    let starts = owner.start_all();
    let ends = starts.iter().zip(1..);
    let ends = ends.map(|(start, number)| ended(number, start.run, RunEnd::Failed));
    owner.report("w1", Vec::new(), ends.collect());
    owner.commit();
    owner.report("w1", Vec::new(), Vec::new());
    owner.handle_event(PipelineEvent::Listed(listing("w2")));
    owner.report("w2", Vec::new(), Vec::new());
    owner.advance_clock(Duration::from_millis(1_100));
    owner.run_placement_pass();
    for id in 1..=30 {
        // The advice service allows only the worker where the tasks have failed.
        let report = AdviceReport {
            tickets: [("w1".into(), "t".to_owned())].into(),
            valid: Duration::from_mins(1),
        };
        let answered_at = owner.now;
        let event = PipelineEvent::AdviceAnswered(first_step(id), Some(report), answered_at);
        owner.handle_event(event);
    }
    owner.run_placement_pass();

    owner.submit(31, advised_job());
    owner.grant_tickets(first_step(31), &["w2"]);
    let next = owner.start_all();

    assert_eq!(starts.len(), 30);
    assert!(
        next.iter()
            .any(|start| start.run.task.step == first_step(31))
    );
}

/// Guards against a task that starts on a worker seconds after it has said that it leaves: the start was
/// held back while the ownership was not confirmed.
#[test]
fn a_start_that_was_held_back_is_not_sent_to_a_leaving_worker() {
    let mut owner = owner(&["w1", "w2"]);
    owner.submit(1, job(vec![step(8)]));
    owner.now += Duration::from_hours(2);
    owner.commit();
    let held_back = owner.take_starts();

    owner.handle_event(PipelineEvent::Listed(WorkerListing {
        is_draining: true,
        ..listing("w1")
    }));
    let confirmed_until = owner.now + Duration::from_hours(1);
    owner.handle_event(PipelineEvent::ExtensionsPermitted(confirmed_until));
    owner.handle_event(PipelineEvent::OwnershipConfirmed(confirmed_until));
    let starts = owner.take_starts();

    assert_eq!(held_back, Vec::new());
    assert_eq!((count_on(&starts, "w1"), count_on(&starts, "w2")), (0, 4));
}
