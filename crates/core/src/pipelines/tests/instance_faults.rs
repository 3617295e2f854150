//! Tests of facts about a worker instance that are used for another one, found in a review.

use std::{sync::Arc, time::Duration};

use super::fixtures::{
    INSTANCE_STARTED_MS, OwnerFixture, done, job, listing, long_running_job, observed, owner,
    pipeline_config, step, unclaimed_owner_with,
};
use crate::{
    PipelineAction, PipelineConfig, PipelineEvent, PipelinePhase, PipelineSpec, RenewalFailure,
    RenewalOrder, RenewalReport, RenewalStamp, StartAnswer, StartOrder, StartResult,
};

/// Start time of the second instance of `w1`, in ms since 1970.
const RESTARTED_MS: u64 = INSTANCE_STARTED_MS + 5_000;

/// Longest time for which a lease of 6 s lasts on the owner's clock, on a clock that is 2 % slow.
const LONGEST_LEASE: Duration = Duration::from_millis(6_123);

/// Returns the settings of a platform whose workers accept leases of at most this length.
fn config_with(max_lease: Duration) -> PipelineConfig {
    PipelineConfig {
        max_lease,
        inherited_lease: pipeline_config().lease,
        ..pipeline_config()
    }
}

/// Returns an owner with these settings that has claimed `w1`.
fn owner_of_w1(max_lease: Duration) -> OwnerFixture {
    let mut owner = unclaimed_owner_with(config_with(max_lease), 1, &["w1"]);
    owner.end_predecessors_long_ago();
    owner.report("w1", Vec::new(), Vec::new());
    owner
}

/// Lists and claims a second worker.
fn add_w2(owner: &mut OwnerFixture) {
    owner.handle_event(PipelineEvent::Listed(listing("w2")));
    owner.report("w2", Vec::new(), Vec::new());
}

/// Reports the outcome of a start order, with the clock of the first instance if there was an
/// answer.
fn answer(owner: &mut OwnerFixture, order: &StartOrder, result: StartResult) {
    let clock_ms = u64::try_from(owner.now.as_millis()).unwrap();
    let answer = StartAnswer {
        result,
        sent_at: owner.now,
        clock_ms: (result != StartResult::Unanswered).then_some(clock_ms),
    };
    let worker = order.worker.clone();
    owner.handle_event(PipelineEvent::StartAnswered(worker, order.run, answer));
}

/// Fails the pending renewal of `w1`.
fn fail_renewal(owner: &mut OwnerFixture) {
    let failure = PipelineEvent::RenewalFailed("w1".into(), RenewalFailure::Unanswered);
    owner.handle_event(failure);
}

/// Guards against ends that are never acknowledged: the worker lists only part of its ends until
/// then, so a run that was ordered without an answer and stopped is never known to be missing.
#[test]
fn ends_of_a_long_list_are_acknowledged_although_a_start_had_no_answer() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(2)]));
    let first = owner.start_all();
    owner.submit(2, job(vec![step(1)]));
    owner.commit();
    let open = owner.take_starts().remove(0);
    for _ in 0..3 {
        answer(&mut owner, &open, StartResult::Unanswered);
    }
    owner.handle_event(PipelineEvent::StopAnswered("w1".into(), open.run, true));

    let ends = vec![done(1, first[0].run), done(2, first[1].run)];
    owner.advance_clock(Duration::from_millis(50));
    for _ in 0..100 {
        owner.report_with_more_ends("w1", Vec::new(), ends.clone());
        owner.commit();
        owner.advance_clock(Duration::from_secs(1));
    }

    assert_eq!(owner.acked_end("w1"), Some(2));
}

/// Guards against a task that waits for a lease that no order has extended: an order that is not
/// repeated, as its worker does not answer, counts as sent.
#[test]
fn an_order_that_is_not_sent_extends_no_lease() {
    let mut owner = owner_of_w1(Duration::from_secs(6));
    owner.submit(1, long_running_job());
    let run = owner.start_all().remove(0).run;
    owner.submit(2, job(vec![step(1)]));
    owner.commit();
    let open = owner.take_starts().remove(0);
    owner.report("w1", vec![observed(run)], Vec::new());
    add_w2(&mut owner);

    fail_renewal(&mut owner);
    owner.advance_clock(Duration::from_secs(5));
    answer(&mut owner, &open, StartResult::Unanswered);
    let is_repeated = !owner.take_starts().is_empty();
    owner.advance_clock(Duration::from_secs(1));
    let moved = owner.start_all();

    assert!(!is_repeated);
    assert!(moved.iter().any(|order| order.run.task == run.task));
}

/// Guards against a claim that counts as used by an order that was not sent, so that the next
/// report of a new instance claims nothing.
#[test]
fn an_order_that_is_not_sent_does_not_use_the_token() {
    let mut owner = owner_of_w1(Duration::from_secs(6));
    owner.submit(1, job(vec![step(1)]));
    owner.commit();
    let first = owner.take_starts().remove(0);
    owner.submit(2, job(vec![step(1)]));
    let rejected = StartAnswer {
        result: StartResult::BadTicket,
        sent_at: owner.now,
        clock_ms: Some(300),
    };

    let event = PipelineEvent::StartAnswered("w1".into(), first.run, rejected);
    owner.handle_event(event);
    owner.commit();
    let token = owner.renewal_token("w1");
    owner.report_as_instance("w1", RESTARTED_MS, Vec::new(), Vec::new());

    assert_eq!(owner.renewal_token("w1"), token);
    assert!(!owner.start_all().is_empty());
}

/// Guards against a second run of a task whose first order had no answer and reaches a new instance
/// after the second one was carried out by the known instance.
#[test]
fn an_order_in_transit_counts_although_its_repetition_was_answered() {
    let mut owner = owner_of_w1(Duration::from_secs(6));
    owner.submit(1, job(vec![step(1)]));
    owner.commit();
    let first = owner.take_starts().remove(0);
    add_w2(&mut owner);

    owner.advance_clock(Duration::from_millis(700));
    answer(&mut owner, &first, StartResult::Unanswered);
    let second = owner.take_starts().remove(0);
    answer(&mut owner, &second, StartResult::Started);
    owner.report("w1", vec![observed(first.run)], Vec::new());
    // Here the worker is restarted, and receives the first order 1.2 s after it was sent.
    owner.advance_clock(Duration::from_millis(500));
    fail_renewal(&mut owner);
    owner.advance_clock(LONGEST_LEASE);
    let early = owner.start_all();

    assert!(early.is_empty());
}

/// Returns an owner that has repeated an order for the only task of a job on `w1`, as the first one
/// had no answer, and has seen its run there.
fn owner_with_repeated_order(spec: PipelineSpec, is_answered_at_first: bool) -> OwnerFixture {
    let mut owner = owner_of_w1(Duration::from_secs(6));
    owner.submit(1, spec);
    owner.commit();
    let mut order = owner.take_starts().remove(0);
    add_w2(&mut owner);
    if !is_answered_at_first {
        owner.advance_clock(Duration::from_millis(700));
        answer(&mut owner, &order, StartResult::Unanswered);
        order = owner.take_starts().remove(0);
    }
    answer(&mut owner, &order, StartResult::Started);
    owner.report("w1", vec![observed(order.run)], Vec::new());
    owner
}

/// Guards against a lasting task that is away for longer than callers accept, as the time of an
/// order in transit is added to the longest lease.
#[test]
fn a_lasting_task_does_not_wait_for_an_order_in_transit() {
    let mut owner = owner_with_repeated_order(long_running_job(), false);

    fail_renewal(&mut owner);
    owner.advance_clock(LONGEST_LEASE);
    let early = owner.start_all();
    owner.advance_clock(Duration::from_millis(350));
    let late = owner.start_all();

    assert!(early.is_empty());
    assert_eq!(late.len(), 1);
}

/// Guards against a longer wait for tasks whose orders were all answered: none of them is in
/// transit, and the granted lease of 5 s holds the run.
#[test]
fn a_task_whose_orders_were_answered_does_not_wait_for_an_order_in_transit() {
    let mut owner = owner_with_repeated_order(job(vec![step(1)]), true);

    fail_renewal(&mut owner);
    owner.advance_clock(Duration::from_millis(5_450));
    let moved = owner.start_all();

    assert_eq!(moved.len(), 1);
}

/// Guards against a second run of a task on a worker that a successor cannot reach: its new instance
/// has got an order of the earlier owner with a deadline on the clock of the former one.
#[test]
fn a_successor_allows_for_orders_that_reached_an_instance_that_no_owner_met() {
    let mut former = owner_of_w1(Duration::from_secs(10));
    let spec = job(vec![step(1)]);
    former.submit(1, spec.clone());
    former.commit();
    former.take_starts();
    let mut owner = unclaimed_owner_with(config_with(Duration::from_secs(10)), 2, &["w1"]);
    let progress = former.durable[&1].clone();
    let stored = PipelineEvent::Stored(1, Arc::new(spec), Some(progress));
    owner.handle_event(stored);
    add_w2(&mut owner);

    // An earlier owner may send an order until the end of its ownership.
    let ended_at = owner.now;
    owner.handle_event(PipelineEvent::PredecessorsEnded(ended_at));
    fail_renewal(&mut owner);
    owner.advance_clock(Duration::from_secs(7));
    let early = owner.start_all();

    assert!(early.is_empty());
}

/// Guards against a second run of a task on an instance whose first report answers a claimed
/// worker's token that no order has used: the lease of an earlier order is not allowed for.
#[test]
fn a_lease_is_assumed_for_each_new_instance() {
    let mut former = owner_of_w1(Duration::from_secs(10));
    let spec = job(vec![step(1)]);
    former.submit(1, spec.clone());
    let run = former.start_all().remove(0).run;
    let mut owner = unclaimed_owner_with(config_with(Duration::from_secs(10)), 2, &["w1"]);
    let progress = former.durable[&1].clone();
    let stored = PipelineEvent::Stored(1, Arc::new(spec), Some(progress));
    owner.handle_event(stored);
    owner.report("w1", vec![observed(run)], Vec::new());
    add_w2(&mut owner);

    // A repeated order of the earlier owner has reached the new instance before this renewal.
    owner.report_as_instance("w1", RESTARTED_MS, vec![observed(run)], Vec::new());
    fail_renewal(&mut owner);
    owner.advance_clock(Duration::from_secs(7));
    let early = owner.start_all();

    assert!(early.is_empty());
}

/// Guards against a second run of a task whose order a new instance has carried out long after it
/// was sent, with a clock that is behind the known one by less than the transit.
#[test]
fn an_order_with_a_slow_answer_is_not_located_by_a_clock_that_is_behind() {
    let mut owner = owner_of_w1(Duration::from_secs(10));
    owner.submit(1, job(vec![step(1)]));
    owner.commit();
    let order = owner.take_starts().remove(0);
    add_w2(&mut owner);
    let sent_at = owner.now;
    let clock_ms = u64::try_from(sent_at.as_millis()).unwrap();

    // Carried out at the end of the 0.7 s, on a clock that is 0.75 s behind the known one.
    owner.advance_clock(Duration::from_millis(700));
    let answer = StartAnswer {
        result: StartResult::Started,
        sent_at,
        clock_ms: Some(clock_ms - 50),
    };
    let event = PipelineEvent::StartAnswered("w1".into(), order.run, answer);
    owner.handle_event(event);
    fail_renewal(&mut owner);
    // The worker holds the run for 5.05 s of its clock, which is 2 % slow, from the order on.
    owner.advance_clock(Duration::from_millis(5_050 * 100 / 98));
    let early = owner.start_all();

    assert!(early.is_empty());
}

/// Guards against acknowledgements that are withheld for as long as starts are ordered without a
/// pause: at each renewal one of them has no answer yet.
#[test]
fn ends_are_acknowledged_while_starts_are_ordered_without_a_pause() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(1)]));
    let mut latest = owner.start_all().remove(0);
    let mut start_count = 0;

    for number in 1..40 {
        owner.submit(number + 1, job(vec![step(1)]));
        owner.run_placement_pass();
        owner.commit();
        let open = owner.take_starts().into_iter().next();
        owner.report("w1", Vec::new(), vec![done(number, latest.run)]);
        owner.commit();
        owner.advance_clock(Duration::from_millis(50));
        // Starts pause once an acknowledgement has waited for long.
        if let Some(open) = open {
            answer(&mut owner, &open, StartResult::Started);
            latest = open;
            start_count += 1;
        }
    }
    let is_ack = |action: &PipelineAction| matches!(action, PipelineAction::Renew(order) if order.acked_end > 0);

    assert!(start_count > 10);
    assert!(owner.actions.iter().any(is_ack));
}

/// Returns an owner that has acknowledged the first end of `w1` in a renewal without an answer yet,
/// and has a durable placement for another task there.
fn owner_with_pending_ack() -> OwnerFixture {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(1)]));
    let first = owner.start_all().remove(0);
    owner.report("w1", Vec::new(), vec![done(1, first.run)]);
    owner.commit();
    owner.submit(2, job(vec![step(1)]));
    owner.commit();
    owner
}

/// Returns the renewals that were ordered since the actions were cleared.
fn renewals(owner: &OwnerFixture) -> Vec<&RenewalOrder> {
    let renewals = owner.actions.iter().filter_map(|action| match action {
        PipelineAction::Renew(order) => Some(order),
        _ => None,
    });
    renewals.collect()
}

/// Guards against a second run of a task that ends on an instance that the owner has not met while
/// an acknowledgement for the former one waits there: the stand-in of a worker forgets ends up to
/// `last-seen` until it answers.
#[test]
fn a_start_is_not_sent_while_an_acknowledgement_has_no_answer() {
    let mut owner = owner_with_pending_ack();
    let acked_end = owner.acked_end("w1");
    let wait = renewals(&owner).last().map(|order| order.wait);
    let early = owner.take_starts();
    owner.actions.clear();

    owner.report("w1", Vec::new(), Vec::new());
    let waiting = renewals(&owner);
    let waiting: Vec<(u64, Duration)> = waiting
        .iter()
        .map(|order| (order.acked_end, order.wait))
        .collect();
    let sent = owner.take_starts();

    assert_eq!((acked_end, wait), (Some(1), Some(Duration::ZERO)));
    assert!(early.is_empty());
    assert_eq!(sent.len(), 1);
    assert_eq!(waiting, [(0, pipeline_config().renewal_wait)]);
}

/// Guards against a start that is carried out before an acknowledgement that has failed arrives:
/// the next claim has a higher token, and the end is acknowledged again.
#[test]
fn a_start_after_a_failed_acknowledgement_has_a_higher_token() {
    let mut owner = owner_with_pending_ack();
    let ack_token = owner.renewal_token("w1");

    fail_renewal(&mut owner);
    owner.advance_clock(Duration::from_millis(300));
    let early = owner.start_all();
    let doubted = owner.acked_end("w1");
    owner.report("w1", Vec::new(), Vec::new());
    let repeated = owner.acked_end("w1");
    owner.report("w1", Vec::new(), Vec::new());
    let late = owner.start_all();

    assert!(early.is_empty());
    assert_eq!((doubted, repeated), (Some(0), Some(1)));
    assert!(Some(late[0].token) > ack_token);
}

/// Guards against tokens that are given up for acknowledgements that cannot arrive late: an unhealthy
/// worker has done nothing.
#[test]
fn an_acknowledgement_to_an_unhealthy_worker_does_not_give_the_claim_up() {
    let mut owner = owner_with_pending_ack();
    let before = owner.renewal_token("w1");

    let failure = PipelineEvent::RenewalFailed("w1".into(), RenewalFailure::Unhealthy);
    owner.handle_event(failure);
    owner.advance_clock(Duration::from_millis(300));
    owner.report("w1", Vec::new(), Vec::new());

    assert_eq!(owner.renewal_token("w1"), before);
    assert_eq!(owner.acked_end("w1"), Some(1));
}

/// Guards against an owner that has no tokens left for lapsed leases and restarts, as each
/// acknowledgement that failed took one.
#[test]
fn failed_acknowledgements_leave_tokens_for_other_claims() {
    let mut owner = owner(&["w1"]);

    for number in 1..300 {
        owner.submit(number, job(vec![step(1)]));
        let start = owner.start_all().remove(0);
        owner.report("w1", Vec::new(), vec![done(number, start.run)]);
        owner.commit();
        fail_renewal(&mut owner);
        owner.advance_clock(Duration::from_millis(300));
        owner.report("w1", Vec::new(), Vec::new());
        owner.report("w1", Vec::new(), Vec::new());
    }

    assert!(owner.renewal_token("w1") < Some((1 << 8) + 128));
}

/// Guards against a second run of a task that a new instance has ended: its first end has the number
/// that the latest acknowledgement for the former one had.
#[test]
fn an_end_on_a_new_instance_counts_after_an_acknowledgement_for_the_former_one() {
    let mut owner = owner_with_pending_ack();

    // The new instance answers the acknowledgement, and gets the start with the next claim.
    owner.report_as_instance("w1", RESTARTED_MS, Vec::new(), Vec::new());
    let early = owner.take_starts();
    owner.report_as_instance("w1", RESTARTED_MS, Vec::new(), Vec::new());
    let order = owner.start_all().remove(0);
    let acked_end = owner.acked_end("w1");
    owner.advance_clock(Duration::from_millis(100));
    owner.report_as_instance("w1", RESTARTED_MS, Vec::new(), vec![done(1, order.run)]);
    let repeated = owner.start_all();

    assert!(early.is_empty() && repeated.is_empty());
    assert_eq!(acked_end, Some(0));
    assert_eq!(owner.phases[&2], PipelinePhase::Completed);
}

/// Guards against a claim by a report that answers a renewal of a former claim: orders that were
/// sent since may have reached the worker after it.
#[test]
fn a_report_of_a_former_claim_has_no_effect() {
    let mut owner = owner_of_w1(Duration::from_secs(6));
    owner.submit(1, job(vec![step(1)]));
    let start = owner.start_all().remove(0);
    let former = RenewalStamp {
        token: start.token,
        sent_at: owner.now,
    };
    let report = RenewalReport {
        started_unix_ms: INSTANCE_STARTED_MS,
        clock_ms: u64::try_from(owner.now.as_millis()).unwrap(),
        running: Vec::new(),
        ended: Vec::new(),
        has_more_ends: false,
    };
    add_w2(&mut owner);

    fail_renewal(&mut owner);
    owner.advance_clock(Duration::from_secs(7));
    owner.start_all();
    owner.handle_event(PipelineEvent::LeaseRenewed("w1".into(), former, report));
    for number in 2..12 {
        owner.submit(number, job(vec![step(1)]));
    }
    let starts = owner.start_all();

    assert!(starts.iter().all(|order| &*order.worker == "w2"));
}

/// Guards against a run that counts as located on a new instance because it was on the former one.
#[test]
fn a_run_on_a_former_instance_is_not_located_on_the_new_one() {
    let mut owner = owner_of_w1(Duration::from_secs(6));
    owner.submit(1, job(vec![step(1)]));
    let start = owner.start_all().remove(0);
    owner.report("w1", vec![observed(start.run)], Vec::new());
    add_w2(&mut owner);

    owner.report_as_instance("w1", RESTARTED_MS, vec![observed(start.run)], Vec::new());
    let record = &owner.state.workers["w1"];

    assert!(!record.runs[&start.run].is_located);
}

/// Guards against renewals without a pause while a start order has no answer: a worker that lists
/// ends answers each at once.
#[test]
fn renewals_pause_while_an_acknowledgement_is_withheld() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(1)]));
    let first = owner.start_all().remove(0);
    owner.submit(2, job(vec![step(1)]));
    owner.commit();
    owner.take_starts();
    owner.report("w1", Vec::new(), vec![done(1, first.run)]);
    owner.commit();
    owner.actions.clear();

    let is_renewal = |action: &PipelineAction| matches!(action, PipelineAction::Renew(_));
    owner.report("w1", Vec::new(), vec![done(1, first.run)]);
    let at_once = owner.actions.iter().any(is_renewal);
    owner.advance_clock(Duration::from_millis(100));

    assert!(!at_once);
    assert!(owner.actions.iter().any(is_renewal));
}
