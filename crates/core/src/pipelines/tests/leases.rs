//! Orders without an answer, workers without contact, and acknowledged ends.

use std::time::Duration;

use super::fixtures::{BORN_MS, done, job, owner, present, step};
use crate::{PipelineAction, PipelineEvent, RenewalFailure, StartResult};

/// Guards against an end that the worker forgets before it is durable.
#[test]
fn an_end_is_acknowledged_after_its_commit() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(2)]));
    let starts = owner.start_all();

    let running = vec![present(starts[1].run)];
    owner.report("w1", running, vec![done(7, starts[0].run)]);
    owner.wait(Duration::from_secs(2));
    let before = owner.acked_end("w1");
    owner.feed(PipelineEvent::RenewalFailed(
        "w1".into(),
        RenewalFailure::Unanswered,
    ));
    owner.commit();
    owner.wait(Duration::from_secs(1));

    assert_eq!(before, Some(0));
    assert_eq!(owner.acked_end("w1"), Some(7));
}

/// Guards against a second run beside a start that is carried out late.
#[test]
fn a_start_without_an_answer_is_repeated_and_then_stopped() {
    let mut owner = owner(&["w1", "w2"]);
    owner.submit(1, job(vec![step(1)]));
    owner.commit();
    let first = owner.take_starts().remove(0);
    let answer = |result| PipelineEvent::StartAnswered(first.worker.clone(), first.run, result);

    owner.feed(answer(StartResult::Unanswered));
    let second = owner.take_starts();
    owner.feed(answer(StartResult::Unanswered));
    owner.feed(answer(StartResult::Unanswered));
    owner.take_starts();
    let moved_early = owner.start_all();
    let stop = owner.stops()[0].clone();
    owner.feed(PipelineEvent::StopAnswered(
        stop.worker.clone(),
        stop.run,
        true,
    ));
    owner.wait(Duration::from_millis(50));
    owner.report(&stop.worker, Vec::new(), Vec::new());
    let moved = owner.start_all();

    assert_eq!(second[0].run, first.run);
    assert!(moved_early.is_empty());
    assert_eq!(moved[0].run.attempt, 2);
}

/// Guards against a rejection that hides an earlier order still on its way.
#[test]
fn a_repeated_start_that_is_rejected_is_stopped_first() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(1)]));
    owner.commit();
    let first = owner.take_starts().remove(0);
    let answer = |result| PipelineEvent::StartAnswered(first.worker.clone(), first.run, result);

    owner.feed(answer(StartResult::Unanswered));
    owner.feed(answer(StartResult::Unhealthy));

    assert_eq!(owner.stops().len(), 1);
    assert!(owner.start_all().iter().all(|start| start.run.attempt == 1));
}

/// Guards against two runs of a task whose worker is only cut off.
#[test]
fn tasks_of_a_lost_worker_wait_for_its_lease() {
    let mut owner = owner(&["w1", "w2"]);
    owner.submit(1, job(vec![step(1)]));
    let start = owner.start_all().remove(0);

    owner.feed(PipelineEvent::RenewalFailed(
        start.worker.clone(),
        RenewalFailure::Unanswered,
    ));
    owner.wait(Duration::from_millis(4_900));
    let early = owner.start_all();
    owner.wait(Duration::from_secs(2));
    let late = owner.start_all();

    assert!(early.is_empty());
    assert_eq!(late.len(), 1);
    assert_ne!(late[0].worker, start.worker);
}

/// Guards against orders from before a loss that arrive after it.
#[test]
fn a_lapsed_worker_is_claimed_with_a_higher_token() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(1)]));
    let first = owner.start_all().remove(0);

    owner.feed(PipelineEvent::RenewalFailed(
        "w1".into(),
        RenewalFailure::Unanswered,
    ));
    owner.wait(Duration::from_secs(8));
    owner.report("w1", Vec::new(), Vec::new());
    let second = owner.start_all().remove(0);

    assert!(second.token > first.token);
}

/// Guards against waiting for runs that ended with the worker's life.
#[test]
fn a_reborn_worker_has_lost_its_runs() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(1)]));
    let first = owner.start_all().remove(0);

    owner.report_of_life("w1", BORN_MS + 5_000, Vec::new(), Vec::new());
    owner.report_of_life("w1", BORN_MS + 5_000, Vec::new(), Vec::new());
    let second = owner.start_all().remove(0);

    assert_eq!((first.run.attempt, second.run.attempt), (1, 2));
    assert!(second.token > first.token);
}

/// Guards against runs that nobody placed and that occupy a worker.
#[test]
fn a_stray_run_is_stopped() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(1)]));
    let mut run = owner.start_all().remove(0).run;
    run.attempt = 9;

    owner.report("w1", vec![present(run)], Vec::new());

    assert!(owner.stops().iter().any(|stop| stop.run == run));
}

/// Guards against an owner without the store that starts work which its
/// successor does not know.
#[test]
fn nothing_is_placed_or_started_without_confirmation() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(1)]));
    owner.now += Duration::from_hours(2);

    owner.commit();
    let unconfirmed = owner.take_starts().len();
    owner.submit(2, job(vec![step(1)]));
    let until = owner.now + Duration::from_secs(2);
    owner.feed(PipelineEvent::OwnershipConfirmed(until));

    assert_eq!(unconfirmed, 0);
    assert_eq!(owner.take_starts().len(), 1);
}

/// Guards against a lease that is renewed while nobody knows who the owner is.
#[test]
fn renewals_end_some_time_after_the_last_confirmation() {
    let mut owner = owner(&["w1"]);
    owner.now += Duration::from_hours(2);
    owner.feed(PipelineEvent::RenewalFailed(
        "w1".into(),
        RenewalFailure::Unanswered,
    ));
    owner.actions.clear();

    owner.wait(Duration::from_secs(1));

    let is_hold = |action: &PipelineAction| matches!(action, PipelineAction::Renew(_));
    assert!(!owner.actions.iter().any(is_hold));
}

/// Guards against acknowledging an end whose commit is sent and not yet durable: the
/// next owner would not learn of it and would run the task again.
#[test]
fn an_end_is_not_acknowledged_while_its_commit_is_open() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(2)]));
    let starts = owner.start_all();
    let ends = vec![done(1, starts[0].run)];
    let running = vec![present(starts[1].run)];
    owner.commit();

    owner.report("w1", running.clone(), ends.clone());
    let commit = owner.state.take_commit(|_| true);
    owner.wait(Duration::from_secs(2));
    owner.report("w1", running, ends);
    owner.wait(Duration::from_secs(2));

    assert!(commit.is_some());
    assert_eq!(owner.acked_end("w1"), Some(0));
}
