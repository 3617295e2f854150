//! Tests of unanswered orders, unreachable workers and the acknowledgement of ends.

use std::time::Duration;

use super::fixtures::{
    INSTANCE_STARTED_MS, OwnerFixture, done, job, listing, observed, owner, pipeline_config, step,
    unclaimed_owner_with,
};
use crate::{
    PipelineAction, PipelineConfig, PipelineEvent, PipelinePhase, RenewalFailure, RenewalReport,
    RunKey, StartResult,
};

/// Guards against an acknowledgement that lets the worker discard an end before it is
/// durable.
#[test]
fn an_end_is_acknowledged_after_its_commit() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(2)]));
    let starts = owner.start_all();

    let running = vec![observed(starts[1].run)];
    owner.report("w1", running, vec![done(7, starts[0].run)]);
    owner.advance_clock(Duration::from_secs(2));
    let before = owner.acked_end("w1");
    owner.handle_event(PipelineEvent::RenewalFailed(
        "w1".into(),
        RenewalFailure::Unanswered,
    ));
    owner.commit();
    owner.advance_clock(Duration::from_secs(1));
    let doubted = owner.acked_end("w1");
    owner.report(
        "w1",
        vec![observed(starts[1].run)],
        vec![done(7, starts[0].run)],
    );

    assert_eq!((before, doubted), (Some(0), Some(0)));
    assert_eq!(owner.acked_end("w1"), Some(7));
}

/// Guards against a second run of a task whose first start order is carried out late.
#[test]
fn a_start_without_an_answer_is_repeated_and_then_stopped() {
    let mut owner = owner(&["w1", "w2"]);
    owner.submit(1, job(vec![step(1)]));
    owner.commit();
    let first = owner.take_starts().remove(0);
    let answer = |result: StartResult| {
        PipelineEvent::StartAnswered(first.worker.clone(), first.run, result.into())
    };

    owner.handle_event(answer(StartResult::Unanswered));
    let second = owner.take_starts();
    owner.handle_event(answer(StartResult::Unanswered));
    owner.handle_event(answer(StartResult::Unanswered));
    owner.take_starts();
    let moved_early = owner.start_all();
    let stop = owner.stops()[0].clone();
    owner.handle_event(PipelineEvent::StopAnswered(
        stop.worker.clone(),
        stop.run,
        true,
    ));
    owner.advance_clock(Duration::from_millis(50));
    owner.report(&stop.worker, Vec::new(), Vec::new());
    let moved = owner.start_all();

    assert_eq!(second[0].run, first.run);
    assert!(moved_early.is_empty());
    assert_eq!(moved[0].run.attempt, 2);
}

/// Guards against a rejection after which an earlier order, still in transit, starts the
/// run.
#[test]
fn a_rejected_repetition_of_a_start_is_stopped_before_a_new_attempt() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(1)]));
    owner.commit();
    let first = owner.take_starts().remove(0);
    let answer = |result: StartResult| {
        PipelineEvent::StartAnswered(first.worker.clone(), first.run, result.into())
    };

    owner.handle_event(answer(StartResult::Unanswered));
    owner.handle_event(answer(StartResult::Unhealthy));

    assert_eq!(owner.stops().len(), 1);
    assert!(owner.start_all().iter().all(|start| start.run.attempt == 1));
}

/// Guards against two runs of a task whose worker is partitioned but still runs it.
#[test]
fn tasks_of_a_lost_worker_wait_for_its_lease() {
    let mut owner = owner(&["w1", "w2"]);
    owner.submit(1, job(vec![step(1)]));
    let start = owner.start_all().remove(0);

    owner.handle_event(PipelineEvent::RenewalFailed(
        start.worker.clone(),
        RenewalFailure::Unanswered,
    ));
    owner.advance_clock(Duration::from_millis(4_900));
    let early = owner.start_all();
    owner.advance_clock(Duration::from_secs(2));
    let late = owner.start_all();

    assert!(early.is_empty());
    assert_eq!(late.len(), 1);
    assert_ne!(late[0].worker, start.worker);
}

/// Guards against orders that were sent before a lease lapsed and arrive afterwards.
#[test]
fn a_lapsed_worker_is_claimed_with_a_higher_token() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(1)]));
    let first = owner.start_all().remove(0);

    owner.handle_event(PipelineEvent::RenewalFailed(
        "w1".into(),
        RenewalFailure::Unanswered,
    ));
    owner.advance_clock(Duration::from_secs(8));
    owner.report("w1", Vec::new(), Vec::new());
    let second = owner.start_all().remove(0);

    assert!(second.token > first.token);
}

/// Guards against waiting for runs that ended when their worker was restarted.
#[test]
fn a_restarted_worker_has_lost_its_runs() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(1)]));
    let first = owner.start_all().remove(0);

    owner.report_as_instance("w1", INSTANCE_STARTED_MS + 5_000, Vec::new(), Vec::new());
    owner.report_as_instance("w1", INSTANCE_STARTED_MS + 5_000, Vec::new(), Vec::new());
    let second = owner.start_all().remove(0);

    assert_eq!((first.run.attempt, second.run.attempt), (1, 2));
    assert!(second.token > first.token);
}

/// Guards against a run that occupies a worker without being placed there.
#[test]
fn an_unexpected_run_is_stopped() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(1)]));
    let mut run = owner.start_all().remove(0).run;
    run.attempt = 9;

    owner.report("w1", vec![observed(run)], Vec::new());

    assert!(owner.stops().iter().any(|stop| stop.run == run));
}

/// Guards against an owner that cannot reach the store and starts tasks unknown to its
/// successor.
#[test]
fn nothing_is_placed_or_started_without_confirmation() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(1)]));
    owner.now += Duration::from_hours(2);

    owner.commit();
    let unconfirmed = owner.take_starts().len();
    owner.submit(2, job(vec![step(1)]));
    let until = owner.now + Duration::from_secs(2);
    owner.handle_event(PipelineEvent::ExtensionsPermitted(until));
    owner.handle_event(PipelineEvent::OwnershipConfirmed(until));

    assert_eq!(unconfirmed, 0);
    assert_eq!(owner.take_starts().len(), 1);
}

/// Guards against leases that are renewed although another daemon may be the owner.
#[test]
fn leases_are_not_renewed_long_after_the_last_confirmation() {
    let mut owner = owner(&["w1"]);
    owner.now += Duration::from_hours(2);
    owner.handle_event(PipelineEvent::RenewalFailed(
        "w1".into(),
        RenewalFailure::Unanswered,
    ));
    owner.actions.clear();

    owner.advance_clock(Duration::from_secs(1));

    let is_renewal = |action: &PipelineAction| matches!(action, PipelineAction::Renew(_));
    assert!(!owner.actions.iter().any(is_renewal));
}

/// Guards against leases that are extended by renewals and start orders after a later owner may
/// count them as lapsed.
#[test]
fn leases_are_not_extended_without_a_permission() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(1)]));
    let first = owner.start_all().remove(0);
    owner.now += Duration::from_hours(1);
    let until = owner.now + Duration::from_mins(1);
    owner.report("w1", vec![observed(first.run)], Vec::new());
    owner.handle_event(PipelineEvent::ExtensionsPermitted(until));
    owner.handle_event(PipelineEvent::OwnershipConfirmed(
        until + Duration::from_mins(1),
    ));
    let deadlines = |owner: &mut OwnerFixture| -> Vec<Option<u64>> {
        let actions = std::mem::take(&mut owner.actions).into_iter();
        let deadlines = actions.filter_map(|action| match action {
            PipelineAction::Renew(order) => Some(order.deadline_ms),
            PipelineAction::Start(order) => Some(Some(order.deadline_ms)),
            _ => None,
        });
        deadlines.collect()
    };

    owner.actions.clear();
    owner.now = until.checked_sub(Duration::from_millis(1)).unwrap();
    owner.report("w1", vec![observed(first.run)], Vec::new());
    let permitted = deadlines(&mut owner);
    owner.now = until;
    owner.report("w1", vec![observed(first.run)], Vec::new());
    let renewed = deadlines(&mut owner);
    owner.submit(2, job(vec![step(1)]));
    owner.commit();
    let started = deadlines(&mut owner);

    let lease = Duration::from_millis(4_999);
    let granted = u64::try_from((until + lease).as_millis()).unwrap();
    assert_eq!(permitted, [Some(granted)]);
    assert_eq!(renewed, [None]);
    assert_eq!(started, [Some(granted)]);
}

/// Guards against acknowledging an end whose commit is not yet durable: a successor
/// would not know of the end and would run the task again.
#[test]
fn an_end_is_not_acknowledged_while_its_commit_is_open() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(2)]));
    let starts = owner.start_all();
    let ends = vec![done(1, starts[0].run)];
    let running = vec![observed(starts[1].run)];
    owner.commit();

    owner.report("w1", running.clone(), ends.clone());
    let commit = owner.state.take_commit(|_| true);
    owner.advance_clock(Duration::from_secs(2));
    owner.report("w1", running, ends);
    owner.advance_clock(Duration::from_secs(2));

    assert!(commit.is_some());
    assert_eq!(owner.acked_end("w1"), Some(0));
}

/// Guards against a worker that is never claimed again: it left the list and returned, and
/// the owner's fencing token for it was lower than the one it had seen; and against an order for
/// its former instance that is carried out after the claim, as the token is the same.
#[test]
fn a_worker_that_is_listed_again_is_claimed_with_a_higher_token() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(1)]));
    let start = owner.start_all().remove(0);
    owner.report("w1", Vec::new(), vec![done(1, start.run)]);
    owner.commit();
    owner.report_as_instance("w1", INSTANCE_STARTED_MS + 5_000, Vec::new(), Vec::new());
    let before = owner.renewal_token("w1");

    owner.handle_event(PipelineEvent::Delisted("w1".into()));
    owner.handle_event(PipelineEvent::Listed(listing("w1")));

    assert!(before > Some(1 << 8));
    assert!(owner.renewal_token("w1") > before);
}

/// Guards against the loss of a worker that was restarted at another address, because the
/// renewal that was sent to its former address is answered by another worker.
#[test]
fn an_answer_from_a_former_address_does_not_remove_the_worker() {
    let mut owner = owner(&["w1"]);
    owner.advance_clock(Duration::from_millis(50));
    let mut moved = listing("w1");
    moved.address = "w1:2".to_owned();

    owner.handle_event(PipelineEvent::Listed(moved));
    owner.handle_event(PipelineEvent::RenewalFailed(
        "w1".into(),
        RenewalFailure::OtherInstance,
    ));
    owner.report_as_instance("w1", INSTANCE_STARTED_MS + 5_000, Vec::new(), Vec::new());
    owner.report_as_instance("w1", INSTANCE_STARTED_MS + 5_000, Vec::new(), Vec::new());
    owner.submit(1, job(vec![step(1)]));

    assert_eq!(owner.start_all().len(), 1);
}

/// Guards against a second run of tasks that have ended while the store did not answer: their ends
/// are not acknowledged meanwhile, and a worker lists only the first ones.
#[test]
fn a_run_whose_end_a_report_omits_is_kept() {
    let mut owner = owner(&["w1", "w2"]);
    owner.submit(1, job(vec![step(3)]));
    let runs: Vec<RunKey> = owner.start_all().iter().map(|start| start.run).collect();
    let worker = "w1";

    owner.advance_clock(Duration::from_secs(1));
    for _ in 0..3 {
        owner.report_with_more_ends(worker, Vec::new(), vec![done(1, runs[0])]);
        owner.advance_clock(Duration::from_secs(1));
    }
    let early = owner.start_all();
    owner.report(worker, Vec::new(), vec![done(2, runs[1]), done(3, runs[2])]);
    owner.commit();

    assert!(early.is_empty());
    assert_eq!(owner.phases[&1], PipelinePhase::Completed);
}

/// Guards against a second run of a task: a successor that cannot reach a worker waits for the longest
/// lease that an owner grants, and the owner has granted a young worker more.
#[test]
fn no_order_grants_more_than_a_successor_waits_for() {
    let lease = Duration::from_secs(5);
    let config = PipelineConfig {
        max_lease: Duration::from_millis(10_500),
        inherited_lease: lease,
        ..pipeline_config()
    };
    let mut owner = unclaimed_owner_with(config, 1, &["w1"]);
    let report = RenewalReport {
        started_unix_ms: INSTANCE_STARTED_MS,
        clock_ms: 500,
        running: Vec::new(),
        ended: Vec::new(),
        has_more_ends: false,
    };
    owner.handle_report("w1", report);
    owner.submit(1, job(vec![step(1)]));
    owner.commit();

    let deadlines = owner.actions.iter().filter_map(|action| match action {
        PipelineAction::Renew(order) => order.deadline_ms,
        PipelineAction::Start(order) => Some(order.deadline_ms),
        _ => None,
    });
    let latest = deadlines.max();

    assert_eq!(latest, Some(500 + 5_000));
}

/// Guards against orders of a former claim that are carried out because the tokens of one ownership
/// are used up, and against tokens of the next ownership.
#[test]
fn a_worker_is_not_claimed_once_the_tokens_of_the_ownership_are_used_up() {
    let mut owner = owner(&["w1"]);
    let mut tokens = Vec::new();

    for _ in 0..300 {
        owner.handle_event(PipelineEvent::Delisted("w1".into()));
        owner.actions.clear();
        owner.handle_event(PipelineEvent::Listed(listing("w1")));
        tokens.extend(owner.renewal_token("w1"));
    }

    let next_epoch = 2 << 8;
    assert!(tokens.is_sorted_by(|earlier, later| earlier < later));
    assert_eq!(tokens.last(), Some(&(next_epoch - 1)));
}
