//! Tests of workers that are restarted under their identifiers with another clock, which need not
//! start at zero.

use std::time::Duration;

use super::fixtures::{
    INSTANCE_STARTED_MS, OwnerFixture, job, listing, observed, pipeline_config, step,
    unclaimed_owner_with,
};
use crate::{
    EndedRun, ObservedRun, PipelineConfig, PipelineEvent, RenewalFailure, RenewalReport,
    StartAnswer, StartOrder, StartResult,
};

/// Start time of the second instance of `w1`, in ms since 1970.
const RESTARTED_MS: u64 = INSTANCE_STARTED_MS + 5_000;

/// How far the clock of the second instance of `w1` is ahead of that of the first, in ms.
const CLOCK_LEAD_MS: u64 = 4_000_000;

/// Longest time for which a lease lasts on the owner's clock: the longest that workers accept,
/// on a clock that is 2 % slow.
const LONGEST_LEASE: Duration = Duration::from_millis(6_123);

/// Time within which an order without an answer may still reach its worker.
const ORDER_TRANSIT_TIME: Duration = Duration::from_secs(3);

/// Returns an owner that has claimed `w1`, which accepts leases of at most this length. No owner
/// grants more than the lease of the settings.
fn owner_of_w1(max_lease: Duration) -> OwnerFixture {
    let config = PipelineConfig {
        max_lease,
        inherited_lease: pipeline_config().lease,
        ..pipeline_config()
    };
    let mut owner = unclaimed_owner_with(config, 1, &["w1"]);
    owner.end_predecessors_long_ago();
    owner.report("w1", Vec::new(), Vec::new());
    owner
}

/// Returns an owner that has claimed `w1`, and `w2` as well after it has placed the first run of a
/// task, with the order of this run.
fn owner_with_open_order() -> (OwnerFixture, StartOrder) {
    let mut owner = owner_of_w1(pipeline_config().max_lease);
    owner.submit(1, job(vec![step(1)]));
    owner.commit();
    let order = owner.take_starts().remove(0);
    owner.handle_event(PipelineEvent::Listed(listing("w2")));
    owner.report("w2", Vec::new(), Vec::new());
    (owner, order)
}

/// Returns the reading of the clock of the first instance of `w1`.
fn first_clock_ms(owner: &OwnerFixture) -> u64 {
    u64::try_from(owner.now.as_millis()).unwrap()
}

/// Reports what became of a start order that the second instance of `w1` has received.
fn answer_restarted(owner: &mut OwnerFixture, order: &StartOrder, result: StartResult) {
    let clock_ms = first_clock_ms(owner) + CLOCK_LEAD_MS;
    let answer = StartAnswer {
        result,
        sent_at: owner.now,
        clock_ms: (result != StartResult::Unanswered).then_some(clock_ms),
    };
    let worker = order.worker.clone();
    owner.handle_event(PipelineEvent::StartAnswered(worker, order.run, answer));
}

/// Answers a renewal as the second instance of `w1`.
fn report_restarted(owner: &mut OwnerFixture, running: Vec<ObservedRun>, ended: Vec<EndedRun>) {
    let report = RenewalReport {
        started_unix_ms: RESTARTED_MS,
        clock_ms: first_clock_ms(owner) + CLOCK_LEAD_MS,
        running,
        ended,
        has_more_ends: false,
    };
    owner.handle_report("w1", report);
}

/// Fails the pending renewal of `w1`. No later order reaches it.
fn cut_off(owner: &mut OwnerFixture) {
    let failure = PipelineEvent::RenewalFailed("w1".into(), RenewalFailure::Unanswered);
    owner.handle_event(failure);
    owner.actions.clear();
}

/// Guards against a second run of a task whose order reached a new instance of its worker, which
/// held it longer than the owner had granted on the clock of the former one; and against a wait for
/// an order in transit if it was answered.
#[test]
fn a_task_on_a_restarted_worker_that_is_cut_off_does_not_run_twice() {
    let cases = [
        (StartResult::Started, Duration::ZERO),
        (StartResult::Unanswered, ORDER_TRANSIT_TIME),
    ];
    for (result, transit_time) in cases {
        let (mut owner, order) = owner_with_open_order();

        answer_restarted(&mut owner, &order, result);
        cut_off(&mut owner);
        owner.advance_clock(transit_time + LONGEST_LEASE);
        let early = owner.start_all();
        owner.advance_clock(Duration::from_secs(1));
        let late = owner.start_all();

        assert!(early.is_empty(), "after {result:?}");
        assert_eq!(&*late[0].worker, "w2", "after {result:?}");
    }
}

/// Guards against a second run of a task when its worker was claimed as a new instance just before
/// it is cut off, as an order for the former instance may have extended the lease.
#[test]
fn a_task_on_a_newly_claimed_instance_that_is_cut_off_does_not_run_twice() {
    let (mut owner, order) = owner_with_open_order();

    for _ in 0..2 {
        report_restarted(&mut owner, vec![observed(order.run)], Vec::new());
    }
    cut_off(&mut owner);
    owner.advance_clock(LONGEST_LEASE);
    let early = owner.start_all();
    owner.advance_clock(Duration::from_secs(1));
    let late = owner.start_all();

    assert!(early.is_empty());
    assert_eq!(&*late[0].worker, "w2");
}

/// Guards against tasks that wait for the longest lease that workers accept although their runs
/// are known to be on the instance whose clock the lease was granted on.
#[test]
fn a_reported_run_of_a_worker_that_is_cut_off_waits_for_its_own_lease_only() {
    let mut owner = owner_of_w1(Duration::from_secs(10));
    owner.submit(1, job(vec![step(1)]));
    let order = owner.start_all().remove(0);
    owner.handle_event(PipelineEvent::Listed(listing("w2")));
    owner.report("w2", Vec::new(), Vec::new());

    owner.report("w1", vec![observed(order.run)], Vec::new());
    cut_off(&mut owner);
    owner.advance_clock(Duration::from_millis(5_500));
    let moved = owner.start_all();

    assert_eq!(&*moved[0].worker, "w2");
}

/// Guards against an owner that meets a new instance only with its next regular renewal although a
/// start order has shown its clock.
#[test]
fn an_answer_with_another_clock_is_followed_by_a_renewal_with_a_higher_token() {
    let (mut owner, order) = owner_with_open_order();
    owner.actions.clear();

    answer_restarted(&mut owner, &order, StartResult::BadTicket);

    assert!(owner.renewal_token("w1") > Some(order.token));
    assert_eq!(owner.acked_end("w1"), Some(0));
}
