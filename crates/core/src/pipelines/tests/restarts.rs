//! Tests of workers that are restarted with the same identifier.

use std::time::Duration;

use super::fixtures::{
    INSTANCE_STARTED_MS, OwnerFixture, done, job, listing, long_running_job, observed, owner, step,
};
use crate::{
    EndedRun, ObservedRun, PipelineAction, PipelineEvent, PipelinePhase, RenewalFailure,
    StartAnswer, StartOrder, StartResult, StepSpec, WorkerListing,
};

/// Start time of the second instance of a worker, in ms since 1970.
const RESTARTED_MS: u64 = INSTANCE_STARTED_MS + 5_000;

/// Returns an owner that has ordered the first run of a task from `w1`, with the order.
fn owner_with_open_order() -> (OwnerFixture, StartOrder) {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(1)]));
    owner.commit();
    let order = owner.take_starts().remove(0);
    owner.handle_event(PipelineEvent::Listed(listing("w2")));
    owner.report("w2", Vec::new(), Vec::new());
    (owner, order)
}

/// Answers a renewal as the second instance of `w1`.
fn report_restarted(owner: &mut OwnerFixture, running: Vec<ObservedRun>, ended: Vec<EndedRun>) {
    owner.report_as_instance("w1", RESTARTED_MS, running, ended);
}

/// Guards against a second run of a task whose start order reached the worker after its
/// restart.
#[test]
fn a_run_on_a_restarted_worker_is_not_started_elsewhere() {
    let (mut owner, order) = owner_with_open_order();

    report_restarted(&mut owner, vec![observed(order.run)], Vec::new());
    let before_claim = owner.start_all();
    report_restarted(&mut owner, vec![observed(order.run)], Vec::new());
    let after_claim = owner.start_all();
    report_restarted(&mut owner, Vec::new(), vec![done(1, order.run)]);
    owner.commit();

    assert!(before_claim.is_empty() && after_claim.is_empty());
    assert!(owner.stops().is_empty());
    assert_eq!(owner.phases[&1], PipelinePhase::Completed);
}

/// Guards against a second run of a task whose start order is still in transit when the
/// restarted worker reports for the first time, whatever becomes of the answers to it.
#[test]
fn a_start_in_transit_during_a_restart_is_not_repeated_elsewhere() {
    for answer in [
        StartResult::Started,
        StartResult::Unanswered,
        StartResult::NoRoom,
    ] {
        let (mut owner, order) = owner_with_open_order();

        report_restarted(&mut owner, Vec::new(), Vec::new());
        let before_claim = owner.start_all();
        let answer = PipelineEvent::StartAnswered(order.worker.clone(), order.run, answer.into());
        owner.handle_event(answer);
        owner.advance_clock(Duration::from_millis(200));
        let after_answer = owner.start_all();
        report_restarted(&mut owner, vec![observed(order.run)], Vec::new());
        let after_claim = owner.start_all();

        assert!(before_claim.is_empty() && after_answer.is_empty() && after_claim.is_empty());
    }
}

/// Guards against a second run of a task that has already ended on the restarted worker.
#[test]
fn an_end_on_a_restarted_worker_counts() {
    let (mut owner, order) = owner_with_open_order();

    for _ in 0..2 {
        report_restarted(&mut owner, Vec::new(), vec![done(1, order.run)]);
    }
    let starts = owner.start_all();

    assert!(starts.is_empty());
    assert_eq!(owner.phases[&1], PipelinePhase::Completed);
}

/// Guards against a task that waits for a run that the restarted worker never got.
#[test]
fn a_start_that_a_restarted_worker_did_not_get_is_repeated() {
    let (mut owner, order) = owner_with_open_order();

    report_restarted(&mut owner, Vec::new(), Vec::new());
    let before_claim = owner.start_all();
    report_restarted(&mut owner, Vec::new(), Vec::new());
    let after_claim = owner.start_all();

    assert!(before_claim.is_empty());
    assert_eq!(after_claim[0].run.attempt, order.run.attempt + 1);
}

/// Guards against several restarts in a row, each of which may have received the order.
#[test]
fn each_of_several_restarts_keeps_the_runs_of_the_latest_instance() {
    let (mut owner, order) = owner_with_open_order();

    for restart in 0..4 {
        let started_ms = RESTARTED_MS + restart;
        owner.report_as_instance("w1", started_ms, vec![observed(order.run)], Vec::new());
    }
    let before_claim = owner.start_all();
    let started_ms = RESTARTED_MS + 3;
    owner.report_as_instance("w1", started_ms, vec![observed(order.run)], Vec::new());
    let after_claim = owner.start_all();

    assert!(before_claim.is_empty() && after_claim.is_empty());
}

/// Guards against a task that is lost with its restarted worker: the worker is gone again before
/// it is claimed.
#[test]
fn a_run_on_a_restarted_worker_that_is_gone_again_is_started_elsewhere() {
    let (mut owner, order) = owner_with_open_order();

    report_restarted(&mut owner, vec![observed(order.run)], Vec::new());
    let failure = PipelineEvent::RenewalFailed("w1".into(), RenewalFailure::Unanswered);
    owner.handle_event(failure);
    owner.advance_clock(Duration::from_secs(9));
    let early = owner.start_all();
    owner.advance_clock(Duration::from_secs(1));
    let late = owner.start_all();

    assert!(early.is_empty());
    assert_eq!(&*late[0].worker, "w2");
}

/// Guards against a stop that only the former instance has confirmed.
#[test]
fn a_stop_is_repeated_for_a_restarted_worker() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, long_running_job());
    let start = owner.start_all().remove(0);
    owner.handle_event(PipelineEvent::Cancelled(1));
    owner.handle_event(PipelineEvent::StopAnswered("w1".into(), start.run, true));
    owner.actions.clear();

    report_restarted(&mut owner, vec![observed(start.run)], Vec::new());

    let stops = owner.stops();
    assert_eq!(stops[0].run, start.run);
    assert!(stops[0].token > start.token);
}

/// Guards against an acknowledgement for the former instance that makes the new one discard the
/// ends of its own runs, which have the same numbers.
#[test]
fn ends_are_not_acknowledged_to_a_worker_that_may_have_been_restarted() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(2)]));
    let starts = owner.start_all();
    let running = vec![observed(starts[1].run)];
    owner.report("w1", running.clone(), vec![done(7, starts[0].run)]);
    owner.commit();
    let acked = owner.acked_end("w1");

    let failure = PipelineEvent::RenewalFailed("w1".into(), RenewalFailure::Unanswered);
    owner.handle_event(failure);
    owner.actions.clear();
    owner.advance_clock(Duration::from_millis(300));
    let doubted = owner.acked_end("w1");
    owner.report("w1", running, Vec::new());
    let is_renewal = |action: &PipelineAction| matches!(action, PipelineAction::Renew(_));

    assert_eq!((acked, doubted), (Some(7), Some(0)));
    assert!(owner.actions.iter().any(is_renewal));
    assert_eq!(owner.acked_end("w1"), Some(7));
}

/// Guards against an acknowledgement that reaches a new instance, which discards the end of a run
/// that it has got by an order for its former one.
#[test]
fn ends_are_not_acknowledged_while_a_start_has_no_answer() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(1)]));
    let start = owner.start_all().remove(0);
    owner.submit(2, job(vec![step(1)]));
    owner.commit();
    let open = owner.take_starts().remove(0);

    owner.report("w1", Vec::new(), vec![done(7, start.run)]);
    owner.commit();
    owner.report("w1", Vec::new(), vec![done(7, start.run)]);
    let withheld = owner.acked_end("w1");
    owner.report("w1", vec![observed(open.run)], vec![done(7, start.run)]);

    assert_eq!(withheld, Some(0));
    assert_eq!(owner.acked_end("w1"), Some(7));
}

/// Guards against a second run of a task that has ended on a new instance, to which its order and
/// an acknowledgement for the former instance came before the owner met it.
#[test]
fn an_end_on_an_instance_that_the_owner_has_not_met_counts() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(1)]));
    let first = owner.start_all().remove(0);
    owner.submit(2, job(vec![step(1)]));
    owner.commit();
    let second = owner.take_starts().remove(0);
    owner.report("w1", Vec::new(), vec![done(1, first.run)]);
    owner.commit();

    let answer = StartAnswer {
        result: StartResult::Started,
        sent_at: owner.now,
        clock_ms: Some(300),
    };
    owner.handle_event(PipelineEvent::StartAnswered(
        "w1".into(),
        second.run,
        answer,
    ));
    owner.now += Duration::from_millis(200);
    let acked = owner.acked_end("w1");
    report_restarted(&mut owner, Vec::new(), vec![done(1, second.run)]);
    let repeated = owner.start_all();

    assert_eq!(acked, Some(0));
    assert!(repeated.is_empty());
    assert_eq!(owner.phases[&2], PipelinePhase::Completed);
}

/// Returns the entry of an instance of `w1` of this kind.
fn entry_of_kind(started_unix_ms: u64, kind: &str) -> WorkerListing {
    WorkerListing {
        labels: vec![kind.to_owned()],
        started_unix_ms: Some(started_unix_ms),
        ..listing("w1")
    }
}

/// Guards against a task that is started on a worker without the required label, because the entry
/// is that of its former instance, which was of another kind.
#[test]
fn a_restarted_worker_gets_no_task_by_the_entry_of_its_former_instance() {
    let mut owner = owner(&[]);
    let entry = entry_of_kind(INSTANCE_STARTED_MS, "a");
    owner.handle_event(PipelineEvent::Listed(entry));
    owner.report("w1", Vec::new(), Vec::new());
    let labelled = StepSpec {
        required_label: Some("a".to_owned()),
        ..step(1)
    };

    // The second report answers the claim.
    report_restarted(&mut owner, Vec::new(), Vec::new());
    report_restarted(&mut owner, Vec::new(), Vec::new());
    owner.submit(1, job(vec![labelled]));
    let former_entry = owner.start_all();
    let entry = entry_of_kind(RESTARTED_MS, "b");
    owner.handle_event(PipelineEvent::Listed(entry));
    let other_kind = owner.start_all();
    let entry = entry_of_kind(RESTARTED_MS, "a");
    owner.handle_event(PipelineEvent::Listed(entry));
    let same_kind = owner.start_all();

    assert!(former_entry.is_empty() && other_kind.is_empty());
    assert_eq!(same_kind.len(), 1);
}

/// Guards against tasks that are placed on a worker until a renewal fails, although its entry shows
/// that it was restarted.
#[test]
fn an_entry_of_a_new_instance_is_followed_by_a_renewal_with_a_higher_token() {
    let mut owner = owner(&["w1"]);
    let before = owner.renewal_token("w1");

    let entry = entry_of_kind(RESTARTED_MS, "a");
    owner.handle_event(PipelineEvent::Listed(entry));
    owner.submit(1, job(vec![step(1)]));

    assert!(owner.start_all().is_empty());
    assert!(owner.renewal_token("w1") > before);
}

/// Guards against a claim that is kept for a former instance, because the host's clock was set back
/// before the worker was restarted.
#[test]
fn an_entry_of_a_new_instance_with_an_earlier_start_time_gives_the_claim_up() {
    let mut owner = owner(&[]);
    let entry = entry_of_kind(INSTANCE_STARTED_MS, "a");
    owner.handle_event(PipelineEvent::Listed(entry));
    owner.report("w1", Vec::new(), Vec::new());
    let before = owner.renewal_token("w1");

    let entry = entry_of_kind(INSTANCE_STARTED_MS - 5_000, "a");
    owner.handle_event(PipelineEvent::Listed(entry));

    assert!(owner.renewal_token("w1") > before);
}

/// Guards against a claim that is given up for a former instance: its entry is read first at a
/// takeover, before or after the new one has answered, and it may be written again.
#[test]
fn an_entry_of_a_former_instance_does_not_give_the_claim_up() {
    for former_ms in [RESTARTED_MS - 5_000, RESTARTED_MS + 5_000] {
        let mut owner = owner(&[]);
        let entry = entry_of_kind(former_ms, "a");
        owner.handle_event(PipelineEvent::Listed(entry.clone()));
        report_restarted(&mut owner, Vec::new(), Vec::new());
        let before = owner.renewal_token("w1");

        let draining = WorkerListing {
            is_draining: true,
            ..entry
        };
        owner.handle_event(PipelineEvent::Listed(draining));
        let entry = entry_of_kind(RESTARTED_MS, "a");
        owner.handle_event(PipelineEvent::Listed(entry));

        assert!(before.is_some());
        assert_eq!(owner.renewal_token("w1"), before);
    }
}

/// Guards against an entry of a new instance that counts as known, as the worker was removed from
/// the registry and listed again.
#[test]
fn an_entry_of_a_new_instance_after_a_removal_gives_the_claim_up() {
    let mut owner = owner(&[]);
    let entry = entry_of_kind(RESTARTED_MS, "a");
    owner.handle_event(PipelineEvent::Listed(entry));
    report_restarted(&mut owner, Vec::new(), Vec::new());
    owner.submit(1, long_running_job());
    owner.start_all();
    let before = owner.renewal_token("w1");

    owner.handle_event(PipelineEvent::Delisted("w1".into()));
    let entry = entry_of_kind(INSTANCE_STARTED_MS, "a");
    owner.handle_event(PipelineEvent::Listed(entry));

    assert!(owner.renewal_token("w1") > before);
}

/// Guards against runs on a new instance that are stopped at the time at which the former one was to
/// leave.
#[test]
fn a_restarted_worker_is_not_evacuated_for_its_former_instance() {
    let mut owner = owner(&["w1"]);
    owner.handle_event(PipelineEvent::Listed(WorkerListing {
        is_draining: true,
        leaves_in: Some(Duration::from_secs(2)),
        ..entry_of_kind(INSTANCE_STARTED_MS, "a")
    }));
    owner.advance_clock(Duration::from_millis(500));

    let entry = entry_of_kind(RESTARTED_MS, "a");
    owner.handle_event(PipelineEvent::Listed(entry));
    report_restarted(&mut owner, Vec::new(), Vec::new());
    owner.submit(1, long_running_job());
    let start = owner.start_all().remove(0);
    owner.advance_clock(Duration::from_millis(200));
    report_restarted(&mut owner, vec![observed(start.run)], Vec::new());
    owner.advance_clock(Duration::from_secs(2));

    assert!(owner.stops().is_empty());
}
