//! Tests of the takeover of a service, based on the progress in the store.

use std::{sync::Arc, time::Duration};

use super::fixtures::{
    OwnerFixture, WALL_MS, done, ended, job, listing, long_running_job, observed, owner,
    pipeline_config, step, unclaimed_owner, unclaimed_owner_with,
};
use crate::{
    PipelineAction, PipelineConfig, PipelineEvent, PipelineNote, PipelinePhase, PipelineSpec,
    RenewalFailure, RenewalReport, RunEnd, RunKey, WorkerListing,
};

/// Returns the next owner, which starts from the durable progress of `predecessor`.
fn successor(predecessor: &OwnerFixture, spec: &PipelineSpec, workers: &[&str]) -> OwnerFixture {
    let mut next = unclaimed_owner(2, workers);
    let progress = predecessor.durable.get(&1).cloned();
    next.handle_event(PipelineEvent::Stored(1, Arc::new(spec.clone()), progress));
    next
}

/// Returns a job of each kind, with the time for which a successor allows for an order in transit of
/// its predecessor: none for tasks that last, as they would be away for too long.
fn jobs_with_transit_times() -> [(PipelineSpec, Duration); 2] {
    [
        (job(vec![step(1)]), Duration::from_secs(3)),
        (long_running_job(), Duration::ZERO),
    ]
}

/// Guards against a second run of a task that is still running.
#[test]
fn a_successor_adopts_runs_that_workers_report() {
    let mut first = owner(&["w1"]);
    let spec = job(vec![step(1)]);
    first.submit(1, spec.clone());
    let start = first.start_all().remove(0);

    let mut second = successor(&first, &spec, &["w1"]);
    second.report("w1", vec![observed(start.run)], Vec::new());
    let again = second.start_all();
    second.report("w1", Vec::new(), vec![done(1, start.run)]);
    second.commit();

    assert!(again.is_empty());
    assert_eq!(second.phases[&1], PipelinePhase::Completed);
}

/// Guards against a task that stays placed although its start order was never sent.
#[test]
fn a_successor_places_tasks_again_that_no_worker_reports() {
    let mut first = owner(&["w1"]);
    let spec = job(vec![step(1)]);
    first.submit(1, spec.clone());
    first.commit();

    let mut second = successor(&first, &spec, &["w1"]);
    second.report("w1", Vec::new(), Vec::new());

    assert_eq!(second.start_all()[0].run.attempt, 2);
}

/// Guards against two runs of a task whose worker the successor cannot reach.
#[test]
fn a_successor_waits_for_workers_that_it_cannot_reach() {
    for (spec, transit_time) in jobs_with_transit_times() {
        let mut first = owner(&["w1"]);
        first.submit(1, spec.clone());
        first.start_all();

        let mut second = successor(&first, &spec, &["w1", "w2"]);
        second.report("w2", Vec::new(), Vec::new());
        // The predecessor's lease in the store, the time for which it renews leases without
        // the store, and the longest lease that its last renewal grants.
        second.advance_clock(Duration::from_secs(2 + 10 + 6) + transit_time);
        let early = second.start_all();
        second.advance_clock(Duration::from_secs(3));
        let late = second.start_all();

        assert!(early.is_empty());
        assert_eq!(late.len(), 1);
    }
}

/// Guards against counting a failure twice: the end is durable, but the owner crashed
/// before its acknowledgement reached the worker.
#[test]
fn a_failed_end_that_is_reported_again_counts_once() {
    let mut first = owner(&["w1"]);
    let spec = job(vec![step(1)]);
    first.submit(1, spec.clone());
    let start = first.start_all().remove(0);
    let failed = vec![ended(1, start.run, RunEnd::Failed)];
    first.report("w1", Vec::new(), failed.clone());
    first.commit();

    let mut second = successor(&first, &spec, &["w1"]);
    second.report("w1", Vec::new(), failed);
    second.commit();
    second.report("w1", Vec::new(), Vec::new());

    assert_ne!(second.phases.get(&1), Some(&PipelinePhase::Failed));
    assert_eq!(second.start_all()[0].run.attempt, 2);
}

/// Guards against two runs of a task whose worker becomes unreachable just after the
/// takeover: the successor does not know which lease its predecessor granted.
#[test]
fn a_successor_allows_for_the_longest_lease_of_its_predecessor() {
    for (spec, transit_time) in jobs_with_transit_times() {
        let mut first = owner(&["w1"]);
        first.submit(1, spec.clone());
        let start = first.start_all().remove(0);

        let mut second = successor(&first, &spec, &["w1", "w2"]);
        let ended_at = second.now;
        second.handle_event(PipelineEvent::PredecessorsEnded(ended_at));
        second.report("w2", Vec::new(), Vec::new());
        second.report("w1", vec![observed(start.run)], Vec::new());
        second.handle_event(PipelineEvent::RenewalFailed(
            "w1".into(),
            RenewalFailure::Unanswered,
        ));
        second.advance_clock(Duration::from_millis(5_900) + transit_time);
        let early = second.start_all();
        second.advance_clock(Duration::from_secs(2));

        assert!(early.is_empty());
        assert_eq!(second.start_all().len(), 1);
    }
}

/// Guards against progress that does not fit its job and ends the control thread.
#[test]
fn progress_with_more_steps_than_the_job_is_ignored() {
    let mut first = owner(&["w1"]);
    first.submit(1, job(vec![step(1), step(1)]));
    first.commit();

    let mut next = successor(&first, &job(vec![step(1)]), &["w1"]);
    next.report("w1", Vec::new(), Vec::new());

    assert_eq!(next.start_all().len(), 1);
}

/// Guards against a second run of tasks that have ended on a worker with more ends than one report
/// lists. The successor learns of the others only after it has acknowledged the first ones.
#[test]
fn a_successor_waits_for_ends_that_the_first_reports_omit() {
    let mut first = owner(&["w1"]);
    let spec = job(vec![step(4)]);
    first.submit(1, spec.clone());
    let runs: Vec<RunKey> = first.start_all().iter().map(|start| start.run).collect();

    let mut second = successor(&first, &spec, &["w1"]);
    second.report_with_more_ends("w1", vec![observed(runs[3])], vec![done(1, runs[0])]);
    let after_first = second.start_all();
    second.report_with_more_ends("w1", vec![observed(runs[3])], vec![done(2, runs[1])]);
    let after_second = second.start_all();
    second.report("w1", vec![observed(runs[3])], vec![done(3, runs[2])]);
    let after_last = second.start_all();
    second.report("w1", Vec::new(), vec![done(4, runs[3])]);
    second.commit();

    assert!(after_first.is_empty() && after_second.is_empty() && after_last.is_empty());
    assert_eq!(second.phases[&1], PipelinePhase::Completed);
}

/// Guards against tasks that are never placed again, because the report that shows that a worker does
/// not have them is not the first one.
#[test]
fn a_successor_places_tasks_again_that_no_complete_report_has() {
    let mut first = owner(&["w1"]);
    let spec = job(vec![step(2)]);
    first.submit(1, spec.clone());
    let runs: Vec<RunKey> = first.start_all().iter().map(|start| start.run).collect();

    let mut second = successor(&first, &spec, &["w1"]);
    second.report_with_more_ends("w1", Vec::new(), vec![done(1, runs[0])]);
    let early = second.start_all();
    second.report("w1", Vec::new(), Vec::new());
    let late = second.start_all();

    assert!(early.is_empty());
    assert_eq!((late.len(), late[0].run.task), (1, runs[1].task));
}

/// Guards against waiting for a worker that is lost together with the owner for as long as a
/// predecessor that lives on could renew its lease, although all of them are known to have ended.
#[test]
fn a_successor_waits_for_one_lease_after_the_end_of_its_predecessors() {
    let delays = [(0, 0), (0, 1_500), (2_500, 400), (9_000, 0)];
    let jobs = jobs_with_transit_times().into_iter();
    let cases = jobs.flat_map(|case| delays.map(|delay| (case.clone(), delay)));
    for ((spec, transit_time), (delay, ended_before)) in cases {
        let mut first = owner(&["w1"]);
        first.submit(1, spec.clone());
        first.start_all();
        let [delay, ended_before] = [delay, ended_before].map(Duration::from_millis);

        let mut second = successor(&first, &spec, &["w1", "w2"]);
        second.report("w2", Vec::new(), Vec::new());
        second.advance_clock(delay);
        let ended_at = second.now.checked_sub(ended_before).unwrap();
        second.handle_event(PipelineEvent::PredecessorsEnded(ended_at));
        // The longest lease is 6 s.
        let rest = Duration::from_secs(6).checked_sub(ended_before).unwrap();
        second.advance_clock(rest + transit_time);
        let early = second.start_all();
        second.advance_clock(Duration::from_secs(1));
        let late = second.start_all();

        assert!(early.is_empty());
        assert_eq!(late.len(), 1);
    }
}

/// Guards against a shorter wait for a worker that this owner has claimed and may have renewed.
#[test]
fn the_end_of_the_predecessors_does_not_shorten_the_lease_of_a_claimed_worker() {
    let mut first = owner(&["w1"]);
    let spec = job(vec![step(1)]);
    first.submit(1, spec.clone());
    let start = first.start_all().remove(0);
    let mut second = successor(&first, &spec, &["w1", "w2"]);
    second.report("w2", Vec::new(), Vec::new());
    second.report("w1", vec![observed(start.run)], Vec::new());
    let failure = PipelineEvent::RenewalFailed("w1".into(), RenewalFailure::Unanswered);
    second.handle_event(failure);

    let ended_at = second.now.checked_sub(Duration::from_secs(20)).unwrap();
    second.handle_event(PipelineEvent::PredecessorsEnded(ended_at));
    second.advance_clock(Duration::from_millis(5_900));

    assert!(second.start_all().is_empty());
}

/// Returns a successor, with workers that accept leases of 30 s, of an owner that granted at most
/// 2 s, and the run that it inherits on `w1`. The owner has recorded the holder of a lasting run.
fn successor_with_short_leases(spec: PipelineSpec) -> (OwnerFixture, RunKey) {
    let mut first = owner(&["w1"]);
    // The lease that was assumed at the claim ends.
    first.advance_clock(Duration::from_secs(7));
    first.report("w1", Vec::new(), Vec::new());
    first.submit(1, spec.clone());
    let run = first.start_all().remove(0).run;
    first.report("w1", vec![observed(run)], Vec::new());
    first.commit();
    let config = PipelineConfig {
        max_lease: Duration::from_secs(30),
        inherited_lease: Duration::from_secs(2),
        ..pipeline_config()
    };
    let mut second = unclaimed_owner_with(config, 2, &["w1", "w2"]);
    let progress = first.durable.get(&1).cloned();
    second.handle_event(PipelineEvent::Stored(1, Arc::new(spec), progress));
    second.report("w2", Vec::new(), Vec::new());
    (second, run)
}

/// Guards against waiting for the longest lease that a worker accepts, which no owner grants, with a
/// lasting task on an instance that is known to have been granted no longer one.
#[test]
fn a_successor_waits_for_the_longest_lease_that_owners_grant() {
    for is_claimed in [true, false] {
        let (mut second, run) = successor_with_short_leases(long_running_job());
        if is_claimed {
            second.report("w1", vec![observed(run)], Vec::new());
            let failure = PipelineEvent::RenewalFailed("w1".into(), RenewalFailure::Unanswered);
            second.handle_event(failure);
        }
        let ended_at = second.now;
        second.handle_event(PipelineEvent::PredecessorsEnded(ended_at));

        second.advance_clock(Duration::from_secs(2));
        let early = second.start_all();
        // A claimed worker has also got the lease of the successor, of 5 s.
        second.advance_clock(Duration::from_secs(if is_claimed { 4 } else { 1 }));
        let late = second.start_all();

        assert!(early.is_empty());
        assert_eq!(late.len(), 1);
    }
}

/// Guards against a second run of a task on a restarted worker: it got an order for its former
/// instance, whose deadline is far ahead on its own clock, and grants the longest lease.
#[test]
fn a_successor_allows_for_the_longest_lease_of_a_young_worker() {
    let (mut second, run) = successor_with_short_leases(job(vec![step(1)]));
    let ended_at = second.now;
    second.handle_event(PipelineEvent::PredecessorsEnded(ended_at));
    let report = RenewalReport {
        started_unix_ms: WALL_MS - 2_000,
        clock_ms: 8_000_000,
        running: vec![observed(run)],
        ended: Vec::new(),
        has_more_ends: false,
    };

    second.handle_report("w1", report);
    let failure = PipelineEvent::RenewalFailed("w1".into(), RenewalFailure::Unanswered);
    second.handle_event(failure);
    // The longest lease, and the transit of the last order of the predecessor.
    second.advance_clock(Duration::from_secs(30 + 3));
    let early = second.start_all();
    second.advance_clock(Duration::from_secs(2));
    let late = second.start_all();

    assert!(early.is_empty());
    assert_eq!(late.len(), 1);
}

/// Guards against a second run of a task on a worker that a successor cannot reach, and whose entry
/// shows a restart that the predecessor may not have met: its orders had deadlines on another clock.
#[test]
fn a_successor_waits_for_the_longest_lease_of_an_unreached_worker_that_was_restarted() {
    let (mut second, _) = successor_with_short_leases(job(vec![step(1)]));
    second.handle_event(PipelineEvent::Listed(WorkerListing {
        started_unix_ms: Some(WALL_MS - 2_000),
        ..listing("w1")
    }));
    let ended_at = second.now;
    second.handle_event(PipelineEvent::PredecessorsEnded(ended_at));

    // The longest lease, and the transit of the last order of the predecessor.
    second.advance_clock(Duration::from_secs(30 + 3));
    let early = second.start_all();
    second.advance_clock(Duration::from_secs(2));
    let late = second.start_all();

    assert!(early.is_empty());
    assert_eq!(late.len(), 1);
}

/// Returns the entry of a worker that leaves after the given time.
fn leaving(worker: &str, leaves_in: Duration) -> WorkerListing {
    WorkerListing {
        is_draining: true,
        leaves_in: Some(leaves_in),
        ..listing(worker)
    }
}

/// Guards against a task that is lost with its leaving worker: the successor counts the time until
/// the worker leaves from when it reads the entry, which is older.
#[test]
fn a_successor_allows_for_the_age_of_the_entry_of_a_leaving_worker() {
    let mut first = owner(&["w1"]);
    let spec = long_running_job();
    first.submit(1, spec.clone());
    let run = first.start_all().remove(0).run;
    let mut second = successor(&first, &spec, &["w2"]);
    let entry = leaving("w1", Duration::from_millis(1_500));

    second.handle_event(PipelineEvent::Listed(entry));
    second.report("w1", vec![observed(run)], Vec::new());
    second.advance_clock(Duration::from_millis(50));

    assert_eq!(second.stops().len(), 1);
}

/// Guards against an owner that counts only the first entry of a leaving worker, although a later
/// one says that it leaves sooner.
#[test]
fn a_later_entry_of_a_leaving_worker_counts() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, long_running_job());
    owner.start_all();

    owner.handle_event(PipelineEvent::Listed(leaving("w1", Duration::from_secs(9))));
    owner.advance_clock(Duration::from_secs(1));
    let early = owner.stops().len();
    owner.handle_event(PipelineEvent::Listed(leaving("w1", Duration::from_secs(1))));
    owner.advance_clock(Duration::from_millis(400));

    assert_eq!((early, owner.stops().len()), (0, 1));
}

/// Guards against a log that does not show why the tasks of a lost worker stay away after a change
/// of the owner.
#[test]
fn a_worker_that_a_successor_has_not_reached_is_logged_with_its_wait() {
    let mut first = owner(&["w1"]);
    let spec = long_running_job();
    first.submit(1, spec.clone());
    first.start_all();

    let mut second = successor(&first, &spec, &["w1", "w2"]);
    second.report("w2", Vec::new(), Vec::new());
    second.advance_clock(Duration::from_secs(3));

    let notes = second.actions.iter().filter_map(|action| match action {
        PipelineAction::Log(note @ PipelineNote::WorkerUnreached { .. }) => Some(note.clone()),
        _ => None,
    });
    let notes: Vec<PipelineNote> = notes.collect();
    assert!(
        matches!(
            &notes[..],
            [PipelineNote::WorkerUnreached {
                runs: 1,
                long_running: 1,
                have_predecessors_ended: false,
                lapses_in,
                ..
            }] if *lapses_in > Duration::from_secs(15)
        ),
        "{notes:?}"
    );
}
