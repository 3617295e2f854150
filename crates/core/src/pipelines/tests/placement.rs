//! Tests of the placement of tasks: order of steps, gangs, capacity, tickets, schedules
//! and cancellation.

use std::time::Duration;

use super::fixtures::{WALL_MS, advice, done, ended, job, listing, owner, step};
use crate::{
    AdviceReport, PipelineEvent, PipelinePhase, PipelineSchedule, ResourceVector, RunEnd,
    StartResult, StepKey, StepSpec,
};

/// Guards against a start order whose placement is lost if the owner crashes.
#[test]
fn a_start_waits_for_its_commit() {
    let mut owner = owner(&["w1"]);

    owner.submit(1, job(vec![step(1)]));
    let before = owner.take_starts().len();
    owner.commit();

    assert_eq!(before, 0);
    assert_eq!(owner.take_starts().len(), 1);
}

/// Guards against a step that starts before the steps it depends on are done.
#[test]
fn a_step_waits_for_the_whole_step_before_it() {
    let mut owner = owner(&["w1"]);
    let second = StepSpec {
        after: vec![0],
        ..step(1)
    };
    owner.submit(1, job(vec![step(2), second]));
    let first = owner.start_all();

    owner.report("w1", Vec::new(), vec![done(1, first[0].run)]);
    let early = owner.start_all();
    owner.report("w1", Vec::new(), vec![done(2, first[1].run)]);
    let late = owner.start_all();

    assert_eq!((first.len(), early.len(), late.len()), (2, 0, 1));
    assert_eq!(late[0].run.task.step.step, 1);
}

/// Guards against a job that never reaches the completed phase.
#[test]
fn a_job_is_completed_when_all_tasks_are_done() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(1)]));
    let starts = owner.start_all();

    owner.report("w1", Vec::new(), vec![done(1, starts[0].run)]);
    owner.commit();

    assert_eq!(owner.phases[&1], PipelinePhase::Completed);
    assert!(!owner.state.contains(1));
}

/// Guards against more tasks on a worker than it has CPU for: workers do not reject
/// tasks that do not fit.
#[test]
fn capacity_is_occupied_until_the_end_is_listed() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(6)]));
    let first = owner.start_all();

    owner.handle_event(PipelineEvent::Cancelled(1));
    owner.submit(2, job(vec![step(1)]));
    let while_stopping = owner.start_all();
    owner.report(
        "w1",
        Vec::new(),
        vec![ended(1, first[0].run, RunEnd::Stopped)],
    );
    let after_one = owner.start_all();

    assert_eq!((first.len(), while_stopping.len()), (4, 0));
    assert_eq!(after_one.len(), 1);
}

/// Guards against a gang of which only some members start.
#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut owner = owner(&["w1", "w2"]);
    let gang = StepSpec {
        gang: true,
        ..step(6)
    };
    owner.submit(1, job(vec![step(4)]));
    let small = owner.start_all();
    owner.submit(2, job(vec![gang]));
    let early = owner.start_all();

    let worker = small[0].worker.clone();
    let ends = (1..)
        .zip(&small)
        .map(|(number, start)| done(number, start.run));
    owner.report(&worker, Vec::new(), ends.collect());
    let whole = owner.start_all();

    assert_eq!((early.len(), whole.len()), (0, 6));
    assert!(whole.iter().all(|start| start.run.attempt == 1));
}

/// Guards against a new attempt of a gang while members of the previous one run, and
/// against members with different attempts.
#[test]
fn a_gang_starts_again_only_after_all_members_have_ended() {
    let mut owner = owner(&["w1"]);
    let gang = StepSpec {
        gang: true,
        ..step(2)
    };
    owner.submit(1, job(vec![gang]));
    let first = owner.start_all();

    owner.report(
        "w1",
        Vec::new(),
        vec![ended(1, first[0].run, RunEnd::Failed)],
    );
    let early = owner.start_all();
    owner.report(
        "w1",
        Vec::new(),
        vec![ended(2, first[1].run, RunEnd::GangBroken)],
    );
    let again = owner.start_all();

    assert!(early.is_empty());
    assert_eq!(again.len(), 2);
    assert!(again.iter().all(|start| start.run.attempt == 2));
}

/// Guards against starts after a cancellation, and against runs that continue.
#[test]
fn a_cancelled_job_stops_and_starts_nothing() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(6)]));
    let starts = owner.start_all();

    owner.handle_event(PipelineEvent::Cancelled(1));
    let later = owner.start_all();

    assert_eq!(owner.stops().len(), starts.len());
    assert!(later.is_empty());
    assert_eq!(owner.phases[&1], PipelinePhase::Cancelled);
}

/// Guards against more or fewer attempts of a failing task than its queue allows.
#[test]
fn a_job_fails_after_the_last_attempt() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(1)]));
    for number in 1..=2 {
        let starts = owner.start_all();
        assert_eq!(starts.len(), 1);
        owner.report(
            "w1",
            Vec::new(),
            vec![ended(number, starts[0].run, RunEnd::Failed)],
        );
    }

    let later = owner.start_all();

    assert!(later.is_empty());
    assert_eq!(owner.phases[&1], PipelinePhase::Failed);
}

/// Guards against a long-running task that is not restarted after a failure, or after
/// it ended by itself.
#[test]
fn a_long_running_task_is_restarted_however_it_ends() {
    let mut owner = owner(&["w1"]);
    let long_running_step = StepSpec {
        long_running: true,
        ..step(1)
    };
    owner.submit(1, job(vec![long_running_step]));
    for (number, end) in (1..).zip([RunEnd::Failed, RunEnd::Failed, RunEnd::Done]) {
        let starts = owner.start_all();
        owner.report("w1", Vec::new(), vec![ended(number, starts[0].run, end)]);
    }

    assert_eq!(owner.start_all()[0].run.attempt, 4);
}

/// Guards against starts on workers that the advice service does not allow.
#[test]
fn a_restricted_step_starts_only_with_a_ticket() {
    let mut owner = owner(&["w1", "w2", "w3"]);
    let mut spec = job(vec![step(2)]);
    spec.policy.advice = Some(advice(10.0));
    let key = StepKey {
        pipeline: 1,
        occurrence: 0,
        step: 0,
    };

    owner.submit(1, spec);
    let before = owner.start_all();
    owner.grant_tickets(key, &["w2"]);
    let after = owner.start_all();

    assert!(before.is_empty());
    assert_eq!(after.len(), 2);
    assert!(after.iter().all(|start| &*start.worker == "w2"));
    assert!(after.iter().all(|start| start.ticket.is_some()));
}

/// Guards against more tasks of a step on one worker than the step allows.
#[test]
fn the_limit_of_a_step_for_each_worker_is_respected() {
    let mut owner = owner(&["w1", "w2"]);
    let spread = StepSpec {
        per_worker_limit: Some(1),
        ..step(3)
    };

    owner.submit(1, job(vec![spread]));

    assert_eq!(owner.start_all().len(), 2);
}

/// Guards against starts before the due time of a scheduled job.
#[test]
fn an_occurrence_does_not_start_before_it_is_due() {
    let mut owner = owner(&["w1"]);
    let mut spec = job(vec![step(1)]);
    spec.schedule = Some(PipelineSchedule {
        first_unix_ms: WALL_MS + 1_000,
        interval_ms: 2_000,
        occurrences: 2,
    });
    owner.submit(1, spec);

    let at_once = owner.start_all().len();
    owner.advance_clock(Duration::from_millis(1_100));
    let first = owner.start_all();
    owner.advance_clock(Duration::from_secs(2));
    let second = owner.start_all();

    assert_eq!((at_once, first.len(), second.len()), (0, 1, 1));
    assert_eq!(second[0].run.task.step.occurrence, 1);
}

/// Guards against a job in the running phase, which no longer counts as pending, before
/// a worker has started one of its tasks.
#[test]
fn a_job_is_queued_until_a_task_has_started() {
    let mut owner = owner(&["w1"]);

    owner.submit(1, job(vec![step(1)]));
    owner.commit();
    let placed = owner.phases[&1];
    let start = owner.take_starts().remove(0);
    let answer = PipelineEvent::StartAnswered(start.worker, start.run, StartResult::Started.into());
    owner.handle_event(answer);
    owner.commit();

    assert_eq!(placed, PipelinePhase::Queued);
    assert_eq!(owner.phases[&1], PipelinePhase::Running);
}

/// Guards against the use of a ticket that expired while its answer waited for a busy
/// owner.
#[test]
fn the_validity_of_a_ticket_starts_when_its_answer_arrives() {
    let mut owner = owner(&["w1"]);
    let mut spec = job(vec![step(1)]);
    spec.policy.advice = Some(advice(10.0));
    owner.submit(1, spec);
    let key = owner.advice_requests()[0].0;
    let report = AdviceReport {
        tickets: [("w1".into(), "t".to_owned())].into_iter().collect(),
        valid: Duration::from_secs(2),
    };

    let arrived_at = owner.now;
    owner.now += Duration::from_millis(1_900);
    owner.handle_event(PipelineEvent::AdviceAnswered(key, Some(report), arrived_at));

    assert!(owner.start_all().is_empty());
}

/// Guards against a worker that gets more than it has after its capacity has shrunk.
#[test]
fn a_worker_that_shrinks_gets_no_more_than_it_has() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(2)]));
    owner.start_all();
    let mut shrunk = listing("w1");
    shrunk.capacity = ResourceVector::new(1_000, 4_096, 4);

    owner.handle_event(PipelineEvent::Listed(shrunk));
    owner.submit(2, job(vec![step(2)]));
    let while_shrunk = owner.start_all();
    owner.handle_event(PipelineEvent::Listed(listing("w1")));
    let after = owner.start_all();

    assert!(while_shrunk.is_empty());
    assert_eq!(after.len(), 2);
}
