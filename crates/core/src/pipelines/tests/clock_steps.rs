//! Tests of successors that cannot reach a worker whose runs may be on an instance that no owner has
//! met. Nothing in them depends on the time of day, which may be set on any host.

use std::{sync::Arc, time::Duration};

use super::fixtures::{
    INSTANCE_STARTED_MS, OwnerFixture, WALL_MS, job, listing, long_running_job, observed,
    pipeline_config, step, unclaimed_owner_with,
};
use crate::{
    PipelineConfig, PipelineEvent, PipelineSpec, RenewalFailure, RenewalReport, RunKey,
    StartAnswer, StartResult, TaskKey, WorkerListing,
};

/// Longest lease that workers accept.
const MAX_LEASE: Duration = Duration::from_secs(10);

/// Longest time on the owner's clock for which a lease of [`MAX_LEASE`] lasts on a clock that is 2 %
/// slow.
const LONGEST_LEASE: Duration = Duration::from_millis(10_204);

/// Longest time on the owner's clock for which the lease of an owner lasts, with the allowance for
/// the worker's timers.
const GRANTED_LEASE: Duration = Duration::from_millis(5_402);

/// Start time of a worker that was restarted a moment ago, by a time of day that is 30 s behind, in
/// ms since 1970.
const STEPPED_START_MS: u64 = WALL_MS - 30_000;

/// Returns an owner in this epoch, with workers that accept leases of [`MAX_LEASE`].
fn owner_in(epoch: u64, workers: &[&str]) -> OwnerFixture {
    let config = PipelineConfig {
        max_lease: MAX_LEASE,
        inherited_lease: pipeline_config().lease,
        ..pipeline_config()
    };
    unclaimed_owner_with(config, epoch, workers)
}

/// Returns an owner that has claimed `w1`, and has met its instance long ago.
fn settled_owner() -> OwnerFixture {
    let mut owner = owner_in(1, &["w1"]);
    for _ in 0..25 {
        owner.report("w1", Vec::new(), Vec::new());
        owner.advance_clock(Duration::from_secs(1));
    }
    owner
}

/// Places the only task of a job on `w1`, and returns the run, which the worker has reported.
fn start_reported(owner: &mut OwnerFixture, spec: &PipelineSpec) -> RunKey {
    owner.submit(1, spec.clone());
    let run = owner.start_all().remove(0).run;
    owner.advance_clock(Duration::from_millis(100));
    owner.report("w1", vec![observed(run)], Vec::new());
    owner.commit();
    run
}

/// Returns the next owner, which has claimed `w2`, after the end of the earlier ownerships.
fn successor(former: &OwnerFixture, spec: &PipelineSpec) -> OwnerFixture {
    let mut owner = owner_in(2, &["w1", "w2"]);
    let progress = former.durable.get(&1).cloned();
    owner.handle_event(PipelineEvent::Stored(1, Arc::new(spec.clone()), progress));
    owner.report("w2", Vec::new(), Vec::new());
    let ended_at = owner.now;
    owner.handle_event(PipelineEvent::PredecessorsEnded(ended_at));
    owner
}

/// Returns the longest time without a start in which the owner has not placed a task again.
fn time_until_start(owner: &mut OwnerFixture) -> Duration {
    let began_at = owner.now;
    while owner.start_all().is_empty() && owner.now < began_at + Duration::from_mins(1) {
        owner.advance_clock(Duration::from_millis(50));
    }
    owner.now.saturating_sub(began_at)
}

fn fail_renewal(owner: &mut OwnerFixture) {
    let failure = PipelineEvent::RenewalFailed("w1".into(), RenewalFailure::Unanswered);
    owner.handle_event(failure);
}

/// Guards against a second run of a task that was ordered just before its worker was restarted and
/// cut off: the entry says that the instance is old, as a clock has been set.
#[test]
fn a_clock_step_does_not_hide_a_young_worker_from_a_successor() {
    let mut former = settled_owner();
    let spec = job(vec![step(1)]);
    former.submit(1, spec.clone());
    former.commit();
    former.take_starts();

    let mut owner = successor(&former, &spec);
    owner.handle_event(PipelineEvent::Listed(WorkerListing {
        started_unix_ms: Some(STEPPED_START_MS),
        ..listing("w1")
    }));
    fail_renewal(&mut owner);

    assert!(time_until_start(&mut owner) >= LONGEST_LEASE);
}

/// Guards against the same fault where the successor has met the young instance once before it is
/// cut off.
#[test]
fn a_clock_step_does_not_shorten_the_lease_that_is_assumed_at_a_claim() {
    let mut former = settled_owner();
    let spec = job(vec![step(1)]);
    former.submit(1, spec.clone());
    former.commit();
    let run = former.take_starts().remove(0).run;

    let mut owner = successor(&former, &spec);
    let report = RenewalReport {
        started_unix_ms: STEPPED_START_MS,
        clock_ms: 8_000_000,
        running: vec![observed(run)],
        ended: Vec::new(),
        has_more_ends: false,
    };
    owner.handle_report("w1", report);
    fail_renewal(&mut owner);

    assert!(time_until_start(&mut owner) >= LONGEST_LEASE);
}

/// Guards against a lasting task that is away for longer than its lease after the loss of its worker
/// and its owner.
#[test]
fn a_lasting_task_on_a_known_instance_is_kept_for_the_granted_lease() {
    let mut former = settled_owner();
    let spec = long_running_job();
    start_reported(&mut former, &spec);

    let mut owner = successor(&former, &spec);
    fail_renewal(&mut owner);
    let time = time_until_start(&mut owner);

    assert!(time >= GRANTED_LEASE && time <= GRANTED_LEASE + Duration::from_millis(100));
}

/// Guards against a lasting task that is away for longer than its lease after a takeover, although
/// the successor has met the instance that an earlier owner knew.
#[test]
fn no_longer_lease_is_assumed_for_the_instance_that_held_the_runs_of_an_earlier_owner() {
    let mut former = settled_owner();
    let spec = long_running_job();
    let run = start_reported(&mut former, &spec);

    let mut owner = successor(&former, &spec);
    owner.report("w1", vec![observed(run)], Vec::new());
    fail_renewal(&mut owner);
    let time = time_until_start(&mut owner);

    assert!(time <= GRANTED_LEASE + Duration::from_millis(100));
}

/// Guards against a second run of a lasting task whose worker may hold it for longer than an owner
/// has granted, as orders for its former instance have reached it before its claim.
#[test]
fn the_holder_of_a_run_is_not_recorded_while_a_former_lease_may_last() {
    let mut former = owner_in(1, &["w1"]);
    former.report("w1", Vec::new(), Vec::new());
    let spec = long_running_job();
    start_reported(&mut former, &spec);

    let mut owner = successor(&former, &spec);
    fail_renewal(&mut owner);

    assert!(time_until_start(&mut owner) >= LONGEST_LEASE);
}

/// Guards against a second run of a lasting task whose first order had no answer: it may still reach
/// another instance.
#[test]
fn the_holder_of_a_run_is_not_recorded_while_an_order_may_be_in_transit() {
    let mut former = settled_owner();
    let spec = long_running_job();
    former.submit(1, spec.clone());
    former.commit();
    let first = former.take_starts().remove(0);
    let answer = StartAnswer {
        result: StartResult::Unanswered,
        sent_at: former.now,
        clock_ms: None,
    };
    former.handle_event(PipelineEvent::StartAnswered("w1".into(), first.run, answer));
    former.report("w1", vec![observed(first.run)], Vec::new());
    former.commit();

    let mut owner = successor(&former, &spec);
    fail_renewal(&mut owner);

    assert!(time_until_start(&mut owner) >= LONGEST_LEASE);
}

/// Guards against the holder of an earlier run that counts for the next one of the task.
#[test]
fn the_next_run_of_a_task_has_no_holder_at_first() {
    let mut former = settled_owner();
    let spec = long_running_job();
    let run = start_reported(&mut former, &spec);
    let first = former.durable[&1].holders(1).collect::<Vec<_>>();

    former.report("w1", Vec::new(), Vec::new());
    former.run_placement_pass();
    former.commit();
    let second = former.durable[&1].holders(1).count();

    let task: TaskKey = run.task;
    assert_eq!(first, [(task, run.attempt, INSTANCE_STARTED_MS)]);
    assert_eq!(second, 0);
}
