//! Tests of the holders of runs and of the waits of successors, found in a review.

use std::{sync::Arc, time::Duration};

use super::fixtures::{
    INSTANCE_STARTED_MS, OwnerFixture, WALL_MS, job, listing, long_running_job, observed,
    pipeline_config, step, unclaimed_owner_with,
};
use crate::{
    PipelineConfig, PipelineEvent, PipelineSchedule, PipelineSpec, RenewalFailure, RunKey,
    StartAnswer, StartOrder, StartResult, WallClock, WorkerListing,
};

/// Longest lease that workers accept.
const MAX_LEASE: Duration = Duration::from_secs(10);

/// Time within which an order that was sent reaches its worker or is lost.
const TRANSIT_TIME: Duration = Duration::from_secs(3);

/// Start time of the second instance of `w1`, in ms since 1970.
const RESTARTED_MS: u64 = INSTANCE_STARTED_MS + 5_000;

/// Time for which a lease lasts at most on the owner's clock, on a clock that is 2 % slow.
fn slow_lease(lease: Duration) -> Duration {
    lease * 100 / 98
}

/// Returns an owner in this epoch, with workers that accept leases of at most this length.
fn owner_in(epoch: u64, max_lease: Duration, workers: &[&str]) -> OwnerFixture {
    let config = PipelineConfig {
        max_lease,
        inherited_lease: pipeline_config().lease,
        ..pipeline_config()
    };
    unclaimed_owner_with(config, epoch, workers)
}

/// Returns an owner that has claimed `w1`, and has met its instance long ago.
fn settled_owner(max_lease: Duration) -> OwnerFixture {
    let mut owner = owner_in(1, max_lease, &["w1"]);
    owner.end_predecessors_long_ago();
    for _ in 0..25 {
        owner.report("w1", Vec::new(), Vec::new());
        owner.advance_clock(Duration::from_secs(1));
    }
    owner
}

/// Returns the next owner, at the time at which the former one ended.
fn successor(former: &OwnerFixture, max_lease: Duration, jobs: &[PipelineSpec]) -> OwnerFixture {
    let mut owner = owner_in(former.state.epoch + 1, max_lease, &["w1"]);
    owner.durable.clone_from(&former.durable);
    for (id, spec) in (1..).zip(jobs) {
        let progress = former.durable.get(&id).cloned();
        owner.handle_event(PipelineEvent::Stored(id, Arc::new(spec.clone()), progress));
    }
    let ended_at = owner.now;
    owner.handle_event(PipelineEvent::PredecessorsEnded(ended_at));
    owner
}

/// Lists and claims a second worker.
fn add_w2(owner: &mut OwnerFixture) {
    owner.handle_event(PipelineEvent::Listed(listing("w2")));
    owner.report("w2", Vec::new(), Vec::new());
}

/// Submits a job, and returns its first order.
fn order_first(owner: &mut OwnerFixture, id: u64, spec: &PipelineSpec) -> StartOrder {
    owner.submit(id, spec.clone());
    owner.commit();
    let mut starts = owner.take_starts().into_iter();
    let start = starts.find(|start| start.run.task.step.pipeline == id);
    start.unwrap()
}

/// Reports that an order that was sent at this time had no answer.
fn leave_unanswered(owner: &mut OwnerFixture, order: &StartOrder, sent_at: Duration) {
    let answer = StartAnswer {
        result: StartResult::Unanswered,
        sent_at,
        clock_ms: None,
    };
    let worker = order.worker.clone();
    owner.handle_event(PipelineEvent::StartAnswered(worker, order.run, answer));
}

/// Renews the lease of `w1` for this time, with these runs in each report.
fn renew(owner: &mut OwnerFixture, runs: &[RunKey], time: Duration) {
    let end = owner.now + time;
    while owner.now < end {
        let running = runs.iter().copied().map(observed);
        owner.report("w1", running.collect(), Vec::new());
        owner.commit();
        owner.advance_clock(Duration::from_millis(100));
    }
}

fn fail_renewal(owner: &mut OwnerFixture) {
    let failure = PipelineEvent::RenewalFailed("w1".into(), RenewalFailure::Unanswered);
    owner.handle_event(failure);
}

/// Returns the time until the owner places a task of this job again, or a minute.
fn time_until_start(owner: &mut OwnerFixture, job: u64) -> Duration {
    let began_at = owner.now;
    owner.take_starts();
    while owner.now < began_at + Duration::from_mins(1) {
        owner.run_placement_pass();
        owner.commit();
        let mut starts = owner.take_starts().into_iter();
        if starts.any(|start| start.run.task.step.pipeline == job) {
            break;
        }
        owner.advance_clock(Duration::from_millis(50));
    }
    owner.now.saturating_sub(began_at)
}

/// Guards against a second run of a task whose order was sent just before its owner ended, and
/// reaches a restarted worker as late as an order may.
#[test]
fn a_successor_allows_for_the_transit_of_the_last_order_of_its_predecessor() {
    let mut former = settled_owner(MAX_LEASE);
    let spec = job(vec![step(1)]);
    order_first(&mut former, 1, &spec);

    let mut owner = successor(&former, MAX_LEASE, &[spec]);
    add_w2(&mut owner);
    fail_renewal(&mut owner);
    let time = time_until_start(&mut owner, 1);

    assert!(time >= TRANSIT_TIME + slow_lease(MAX_LEASE), "{time:?}");
}

/// Guards against a second run of a task on a worker that a successor cannot reach, where the
/// successor wants to stop the run as the worker is about to leave.
#[test]
fn a_stop_order_does_not_shorten_the_wait_for_a_run_without_a_holder() {
    let mut former = settled_owner(MAX_LEASE);
    let spec = job(vec![step(1)]);
    order_first(&mut former, 1, &spec);

    let mut owner = successor(&former, MAX_LEASE, &[spec]);
    add_w2(&mut owner);
    owner.handle_event(PipelineEvent::Listed(WorkerListing {
        is_draining: true,
        leaves_in: Some(Duration::ZERO),
        started_unix_ms: Some(WALL_MS - 300),
        ..listing("w1")
    }));
    fail_renewal(&mut owner);
    let time = time_until_start(&mut owner, 1);

    assert!(time >= slow_lease(MAX_LEASE), "{time:?}");
}

/// Guards against a second run of a gang whose member is on a worker that a successor cannot reach,
/// once another member has ended.
#[test]
fn the_end_of_a_gang_does_not_shorten_the_wait_for_a_run_without_a_holder() {
    let mut former = settled_owner(MAX_LEASE);
    add_w2(&mut former);
    let mut spec = job(vec![step(2)]);
    spec.steps[0].gang = true;
    // One member fits on a worker.
    spec.steps[0].demand.cpu_milli = 3_000;
    order_first(&mut former, 1, &spec);

    let mut owner = successor(&former, MAX_LEASE, &[spec]);
    owner.handle_event(PipelineEvent::Listed(WorkerListing {
        started_unix_ms: Some(WALL_MS - 300),
        ..listing("w1")
    }));
    // The member on this worker is missing.
    add_w2(&mut owner);
    owner.handle_event(PipelineEvent::Listed(listing("w3")));
    owner.report("w3", Vec::new(), Vec::new());
    fail_renewal(&mut owner);
    let time = time_until_start(&mut owner, 1);

    assert!(time >= slow_lease(MAX_LEASE), "{time:?}");
}

/// Guards against a second run of a task on a worker that was delisted and is listed again: an order
/// for its former instance, such as a renewal, has extended the lease of the new one before the claim.
#[test]
fn a_lease_is_assumed_for_the_instance_of_a_worker_that_is_listed_again() {
    let mut owner = settled_owner(MAX_LEASE);
    // The next renewal has a deadline on the clock of the first instance.
    owner.report("w1", Vec::new(), Vec::new());
    owner.handle_event(PipelineEvent::Delisted("w1".into()));
    owner.handle_event(PipelineEvent::Listed(listing("w1")));
    owner.advance_clock(Duration::from_millis(500));
    let started_ms = owner.state.wall_ms - 300;
    owner.report_as_instance("w1", started_ms, Vec::new(), Vec::new());
    let run = order_first(&mut owner, 1, &job(vec![step(1)])).run;
    owner.report_as_instance("w1", started_ms, vec![observed(run)], Vec::new());
    add_w2(&mut owner);

    fail_renewal(&mut owner);
    let time = time_until_start(&mut owner, 1);

    assert!(time >= slow_lease(MAX_LEASE), "{time:?}");
}

/// Guards against a second run of a task whose order waited for a connection until its owner had met
/// a new instance: the deadline is on the clock of the former one all the same.
#[test]
fn an_order_that_is_sent_after_the_restart_counts_as_one_for_the_former_instance() {
    let mut owner = settled_owner(MAX_LEASE);
    owner.report("w1", Vec::new(), Vec::new());
    let order = order_first(&mut owner, 1, &job(vec![step(1)]));
    add_w2(&mut owner);

    owner.report_as_instance("w1", RESTARTED_MS, Vec::new(), Vec::new());
    owner.advance_clock(Duration::from_millis(50));
    // The order is sent here. The new instance carries it out before it is claimed.
    let sent_at = owner.now;
    leave_unanswered(&mut owner, &order, sent_at);
    owner.advance_clock(Duration::from_millis(50));
    owner.report_as_instance("w1", RESTARTED_MS, vec![observed(order.run)], Vec::new());
    fail_renewal(&mut owner);
    let time = owner.now.saturating_sub(sent_at) + time_until_start(&mut owner, 1);

    assert!(time >= slow_lease(MAX_LEASE), "{time:?}");
}

/// Guards against a renewal for the former instance that reaches a new one after its claim and extends
/// its lease: it must have a lower token than the claim, so that the worker rejects it.
#[test]
fn a_renewal_in_transit_has_a_lower_token_than_the_claim_of_the_next_instance() {
    let mut owner = settled_owner(MAX_LEASE);
    owner.report("w1", Vec::new(), Vec::new());
    let renewal_token = owner.renewal_token("w1");
    fail_renewal(&mut owner);
    owner.advance_clock(Duration::from_millis(500));

    owner.report_as_instance("w1", RESTARTED_MS, Vec::new(), Vec::new());
    owner.submit(1, job(vec![step(1)]));
    owner.commit();
    let under_former_token = owner.take_starts();
    owner.report_as_instance("w1", RESTARTED_MS, Vec::new(), Vec::new());
    let order = order_first(&mut owner, 2, &job(vec![step(1)]));

    assert!(under_former_token.is_empty());
    assert!(Some(order.token) > renewal_token);
}

/// Guards against a second run of a task on a new instance that gets a renewal for its former one as
/// late as an order may arrive, just before its claim.
#[test]
fn a_renewal_before_a_claim_counts_from_its_latest_arrival() {
    let mut owner = settled_owner(MAX_LEASE);
    owner.report("w1", Vec::new(), Vec::new());
    let sent_at = owner.now;
    fail_renewal(&mut owner);
    owner.advance_clock(TRANSIT_TIME);
    for _ in 0..2 {
        owner.report_as_instance("w1", RESTARTED_MS, Vec::new(), Vec::new());
    }
    let run = order_first(&mut owner, 1, &job(vec![step(1)])).run;
    owner.report_as_instance("w1", RESTARTED_MS, vec![observed(run)], Vec::new());
    add_w2(&mut owner);
    fail_renewal(&mut owner);

    let time = owner.now.saturating_sub(sent_at) + time_until_start(&mut owner, 1);

    assert!(time >= TRANSIT_TIME + slow_lease(MAX_LEASE), "{time:?}");
}

/// Guards against a second run of a lasting task whose first order, by the owner before the last one,
/// had no answer and reaches a restarted worker: the last owner knows of no order and records the
/// former instance. With the `max-hold-ms` of ntra-sched.
#[test]
fn the_holder_of_a_run_is_not_recorded_while_an_order_of_an_earlier_owner_may_be_in_transit() {
    let max_lease = Duration::from_secs(6);
    let mut first = settled_owner(max_lease);
    let spec = long_running_job();
    let order = order_first(&mut first, 1, &spec);
    let sent_at = first.now;
    leave_unanswered(&mut first, &order, sent_at);
    first.report("w1", vec![observed(order.run)], Vec::new());
    first.commit();

    let mut second = successor(&first, max_lease, std::slice::from_ref(&spec));
    renew(&mut second, &[order.run], Duration::from_millis(1_500));
    let mut third = successor(&second, max_lease, &[spec]);
    add_w2(&mut third);
    fail_renewal(&mut third);
    let time = time_until_start(&mut third, 1);

    assert!(time >= slow_lease(max_lease), "{time:?}");
}

/// Guards against the same fault at once after a claim, where another task on the worker has a
/// holder.
#[test]
fn the_holder_of_one_run_does_not_show_where_the_order_for_another_one_arrives() {
    let mut first = settled_owner(MAX_LEASE);
    let spec = long_running_job();
    let known = order_first(&mut first, 1, &spec).run;
    renew(&mut first, &[known], Duration::from_millis(200));
    let order = order_first(&mut first, 2, &spec);
    let sent_at = first.now;
    leave_unanswered(&mut first, &order, sent_at);
    let runs = [known, order.run];
    first.report("w1", runs.map(observed).to_vec(), Vec::new());
    first.commit();

    let mut second = successor(&first, MAX_LEASE, &[spec.clone(), spec.clone()]);
    renew(&mut second, &runs, Duration::from_millis(500));
    let mut third = successor(&second, MAX_LEASE, &[spec.clone(), spec]);
    add_w2(&mut third);
    fail_renewal(&mut third);
    let time = time_until_start(&mut third, 2);

    assert!(time >= slow_lease(MAX_LEASE), "{time:?}");
}

/// Guards against a second run of a task that a successor has found on the holder of another one: that
/// instance ends, and an order of the predecessor that had no answer reaches the next one.
#[test]
fn an_order_of_an_earlier_owner_in_transit_counts_after_the_claim() {
    let mut former = settled_owner(MAX_LEASE);
    let (lasting, spec) = (long_running_job(), job(vec![step(1)]));
    let known = order_first(&mut former, 1, &lasting).run;
    renew(&mut former, &[known], Duration::from_millis(200));
    let order = order_first(&mut former, 2, &spec);
    let sent_at = former.now;
    leave_unanswered(&mut former, &order, sent_at);

    let mut owner = successor(&former, MAX_LEASE, &[lasting, spec]);
    renew(&mut owner, &[known, order.run], Duration::from_millis(200));
    add_w2(&mut owner);
    fail_renewal(&mut owner);
    let time = time_until_start(&mut owner, 2);

    assert!(time >= slow_lease(MAX_LEASE), "{time:?}");
}

/// Guards against a second run of a task whose order by the predecessor arrives after the instance that
/// a successor has claimed ended: the next instance has seen no token.
#[test]
fn an_order_of_an_earlier_owner_in_transit_counts_although_its_run_is_missing_at_the_claim() {
    let mut former = settled_owner(MAX_LEASE);
    let spec = job(vec![step(1)]);
    let order = order_first(&mut former, 1, &spec);
    let sent_at = former.now;
    leave_unanswered(&mut former, &order, sent_at);

    let mut owner = successor(&former, MAX_LEASE, &[spec]);
    add_w2(&mut owner);
    owner.report("w1", Vec::new(), Vec::new());
    fail_renewal(&mut owner);
    let time = time_until_start(&mut owner, 1);

    assert!(time >= TRANSIT_TIME, "{time:?}");
}

/// Guards against a second run of a lasting task whose repeated order waited for a connection for 1 s,
/// had no answer and reaches a restarted worker, although the run is present by its first order.
#[test]
fn the_holder_of_a_run_is_not_recorded_while_its_repeated_order_may_be_in_transit() {
    let mut former = settled_owner(MAX_LEASE);
    let spec = long_running_job();
    let order = order_first(&mut former, 1, &spec);
    let repeated_at = former.now;
    leave_unanswered(&mut former, &order, repeated_at);
    former.report("w1", vec![observed(order.run)], Vec::new());
    former.advance_clock(Duration::from_secs(1));
    let sent_at = former.now;
    leave_unanswered(&mut former, &order, sent_at);
    renew(&mut former, &[order.run], Duration::from_millis(2_500));

    let mut owner = successor(&former, MAX_LEASE, &[spec]);
    add_w2(&mut owner);
    fail_renewal(&mut owner);
    let time = time_until_start(&mut owner, 1);

    assert!(former.now < sent_at + TRANSIT_TIME);
    assert!(time >= slow_lease(MAX_LEASE), "{time:?}");
}

/// Guards against a shorter wait for orders in transit to a restarted worker, as the end of the earlier
/// ownerships becomes known after the restart.
#[test]
fn the_end_of_the_predecessors_does_not_shorten_the_wait_after_a_restart() {
    let mut owner = owner_in(1, MAX_LEASE, &["w1"]);
    owner.report("w1", Vec::new(), Vec::new());
    order_first(&mut owner, 1, &job(vec![step(1)]));
    owner.report_as_instance("w1", RESTARTED_MS, Vec::new(), Vec::new());
    add_w2(&mut owner);

    owner.end_predecessors_long_ago();
    fail_renewal(&mut owner);
    let time = time_until_start(&mut owner, 1);

    assert!(time >= TRANSIT_TIME + slow_lease(MAX_LEASE), "{time:?}");
}

/// Guards against a second run of a task on an instance that a successor takes for a known one, as
/// its worker has a run with another holder.
#[test]
fn a_longer_lease_is_assumed_for_an_instance_that_is_not_the_holder() {
    let mut former = settled_owner(MAX_LEASE);
    let spec = long_running_job();
    let known = order_first(&mut former, 1, &spec).run;
    renew(&mut former, &[known], Duration::from_millis(200));
    let mut owner = successor(&former, MAX_LEASE, &[spec]);
    owner.report_as_instance("w1", RESTARTED_MS, Vec::new(), Vec::new());
    let run = order_first(&mut owner, 2, &job(vec![step(1)])).run;
    owner.report_as_instance("w1", RESTARTED_MS, vec![observed(run)], Vec::new());
    add_w2(&mut owner);

    fail_renewal(&mut owner);
    let time = time_until_start(&mut owner, 2);

    assert!(time >= slow_lease(MAX_LEASE), "{time:?}");
}

/// Guards against the holder of a former run, which its worker still lists, that counts for the latest
/// run of the task on another worker.
#[test]
fn a_former_run_that_is_listed_again_sets_no_holder() {
    let mut owner = settled_owner(MAX_LEASE);
    owner.report("w1", Vec::new(), Vec::new());
    let run = order_first(&mut owner, 1, &long_running_job()).run;
    renew(&mut owner, &[run], Duration::from_millis(200));
    add_w2(&mut owner);
    fail_renewal(&mut owner);
    let time = time_until_start(&mut owner, 1);

    renew(&mut owner, &[run], Duration::from_secs(2));

    assert!(time < Duration::from_secs(6));
    assert_eq!(owner.durable[&1].holders(1).count(), 0);
}

/// Returns the time from the order for a lasting task until its holder is durable, with a report each
/// 100 ms. After a loss in this time, the task is away for the longest lease.
fn time_without_holder(owner: &mut OwnerFixture) -> Duration {
    let run = order_first(owner, 9, &long_running_job()).run;
    let (began_at, end) = (owner.now, owner.now + Duration::from_mins(1));
    while owner.durable[&9].holders(9).count() == 0 && owner.now < end {
        owner.advance_clock(Duration::from_millis(100));
        let started_ms = owner.state.workers["w1"].instance.as_ref();
        let started_ms = started_ms.map_or(0, |instance| instance.started_unix_ms);
        owner.report_as_instance("w1", started_ms, vec![observed(run)], Vec::new());
        owner.commit();
    }
    owner.now.saturating_sub(began_at)
}

/// Guards against a lasting task without a holder for longer than until the next report, and after a
/// claim of an instance that has no holder for longer than the difference of the two leases.
#[test]
fn a_lasting_task_has_a_holder_soon_after_a_claim() {
    let mut settled = settled_owner(MAX_LEASE);
    settled.report("w1", Vec::new(), Vec::new());
    let spec = long_running_job();
    let known = order_first(&mut settled, 1, &spec).run;
    renew(&mut settled, &[known], Duration::from_millis(200));
    let mut restarted = settled_owner(MAX_LEASE);
    for _ in 0..2 {
        restarted.report_as_instance("w1", RESTARTED_MS, Vec::new(), Vec::new());
    }
    let mut met = successor(&settled, MAX_LEASE, &[spec]);
    met.report("w1", vec![observed(known)], Vec::new());
    let mut unmet = successor(&settled, MAX_LEASE, &[]);
    unmet.report("w1", Vec::new(), Vec::new());

    let owners = [settled, met, unmet, restarted];
    let times = owners.map(|mut owner| time_without_holder(&mut owner).as_millis());

    assert_eq!(times, [100, 100, 5_100, 5_100]);
}

/// Guards against a lasting task that is away for longer than 9 s (LOST) after the loss of a worker
/// that ran for long, but held no lasting task when its present owner claimed it.
#[test]
fn a_lasting_task_returns_in_time_after_the_loss_of_a_worker_without_a_holder() {
    let former = settled_owner(MAX_LEASE);
    let mut owner = successor(&former, MAX_LEASE, &[]);
    owner.report("w1", Vec::new(), Vec::new());
    let run = order_first(&mut owner, 1, &long_running_job()).run;
    renew(&mut owner, &[run], Duration::from_millis(200));
    add_w2(&mut owner);

    fail_renewal(&mut owner);
    let time = time_until_start(&mut owner, 1);

    assert!(time <= Duration::from_secs(9), "{time:?}");
}

/// Guards against an occurrence that starts more than 5 s early (ORDER) as the clock of the owner's
/// host is 12 s ahead for 6 s.
#[test]
fn a_clock_step_does_not_start_an_occurrence_early() {
    let mut owner = settled_owner(MAX_LEASE);
    owner.report("w1", Vec::new(), Vec::new());
    let mut spec = job(vec![step(1)]);
    let wall_ms = owner.state.wall_ms;
    spec.schedule = Some(PipelineSchedule {
        first_unix_ms: wall_ms + 11_000,
        interval_ms: 60_000,
        occurrences: 2,
    });
    owner.submit(1, spec);
    owner.advance_clock(Duration::from_millis(100));
    let mut clock = WallClock::default();
    clock.read(wall_ms, Duration::ZERO);

    let time_ms = clock.read(wall_ms + 12_100, Duration::from_millis(100));
    owner.handle_event(PipelineEvent::Tick(time_ms));
    owner.run_placement_pass();
    owner.commit();
    let early = owner.take_starts();

    assert!(early.is_empty());
}
