//! Tests of predecessors, takeovers and snapshots.

use super::*;
use crate::tasks::{ReportedTask, TaskOutcome, TaskRecord, TaskState, WaitReason, WorkerReport};

/// Returns a job that starts after the jobs of the object `grain`.
fn successor_job(number: u64) -> JobSpec {
    JobSpec {
        object: "report".into(),
        after: vec!["grain".into()],
        ..job(number, 1, 1)
    }
}

/// Returns a report in which the first attempt of a task ended.
fn completion_report(task: TaskId, success: bool) -> WorkerReport {
    WorkerReport {
        completions: vec![(task, 1, success)],
        ..WorkerReport::default()
    }
}

/// Submits a job, confirms its records and accepts its starts.
fn run_job(queue: &mut TaskQueue<PackingFirst>, spec: JobSpec) -> Vec<(TaskId, Attempt, WorkerId)> {
    let actions = submit(queue, spec, Duration::ZERO);
    let started = sent_starts(&commit_records(queue, actions, Duration::ZERO));
    for (task, attempt, _) in &started {
        queue.handle(TaskEvent::StartAccepted(*task, *attempt), Duration::ZERO);
    }
    started
}

/// Returns the queue of a new owner that replayed `records`.
fn restored_queue(records: Vec<TaskRecord>) -> TaskQueue<PackingFirst> {
    let mut queue = configured_queue(&[]);
    queue.handle(TaskEvent::Replayed(records), Duration::ZERO);
    let entries = vec![worker(0, GENERAL_CAPACITY), worker(1, GENERAL_CAPACITY)];
    queue.handle(TaskEvent::WorkersChanged(entries), Duration::ZERO);
    queue
}

/// Guards against a task that ran, was queued again, and is then reported as not
/// run because a reduced quota no longer allows it.
#[test]
fn an_infeasible_task_that_ran_is_reported_as_failed() {
    let mut queue = queue_with_workers(1);
    let started = run_job(&mut queue, job(1, 1, 16));
    queue.handle(TaskEvent::WorkerLeaving("w0".into()), Duration::ZERO);
    let event = TaskEvent::WorkerReported("w0".into(), completion_report(started[0].0, false));
    let actions = queue.handle(event, Duration::from_secs(1));
    commit_records(&mut queue, actions, Duration::from_secs(1));
    let before = queue.view(task(1_000)).map(|view| view.state);

    let quota = team(ResourceVector::new(8_000, u64::MAX, 0));
    queue.handle(TaskEvent::TeamsChanged(vec![quota]), Duration::from_secs(2));

    let after = queue.view(task(1_000)).map(|view| view.state);
    assert!(matches!(before, Some(TaskState::Waiting(_))), "{before:?}");
    assert_eq!(after, Some(TaskState::Ended(TaskOutcome::Failed)));
}

/// Guards against a batch run that starts before its predecessor, whose output
/// it reads, has ended.
#[test]
fn a_job_starts_after_its_predecessor_has_ended() {
    let mut queue = queue_with_workers(2);
    let first = run_job(&mut queue, job(1, 1, 1));
    let early = run_job(&mut queue, successor_job(2));
    let state = queue.view(task(2_000)).map(|view| view.state);

    let event = TaskEvent::WorkerReported(first[0].2.clone(), completion_report(first[0].0, true));
    let actions = queue.handle(event, Duration::from_secs(1));
    let late = sent_starts(&commit_records(&mut queue, actions, Duration::from_secs(1)));

    assert!(early.is_empty());
    assert_eq!(state, Some(TaskState::Waiting(WaitReason::Predecessor)));
    assert_eq!(late.len(), 1);
}

/// Guards against a second run of a task that ended during a takeover: its
/// completion is reported before the new owner's claim is answered.
#[test]
fn a_completion_before_the_claim_ends_the_task() {
    let mut old = queue_with_workers(2);
    let started = run_job(&mut old, job(1, 1, 1));
    let (id, _, name) = started[0].clone();
    let mut queue = restored_queue(old.export());

    let event = TaskEvent::WorkerReported(name.clone(), completion_report(id, true));
    queue.handle(event, Duration::ZERO);
    let event = TaskEvent::WorkerClaimed(name, Vec::new());
    let actions = queue.handle(event, Duration::ZERO);

    let ended = TaskState::Ended(TaskOutcome::Succeeded);
    assert_eq!(queue.view(id).map(|view| view.state), Some(ended));
    assert!(sent_starts(&commit_records(&mut queue, actions, Duration::ZERO)).is_empty());
}

/// Guards against a snapshot without a running, waiting or ended task.
#[test]
fn an_export_restores_the_queue() {
    let mut old = queue_with_workers(2);
    let running = run_job(&mut old, job(1, 2, 1));
    run_job(
        &mut old,
        JobSpec {
            demand: GENERAL_CAPACITY,
            ..job(2, 2, 1)
        },
    );
    let event =
        TaskEvent::WorkerReported(running[0].2.clone(), completion_report(running[0].0, true));
    old.handle(event, Duration::ZERO);

    let mut queue = restored_queue(old.export());

    let claimed = TaskEvent::WorkerClaimed(
        running[1].2.clone(),
        vec![ReportedTask {
            task: running[1].0,
            attempt: 1,
            demand: job(1, 1, 1).demand,
        }],
    );
    queue.handle(claimed, Duration::ZERO);
    let state = |id: TaskId| queue.view(id).map(|view| view.state);
    assert_eq!(queue.task_len(), old.task_len());
    assert_eq!(
        state(running[0].0),
        Some(TaskState::Ended(TaskOutcome::Succeeded))
    );
    assert_eq!(
        state(running[1].0),
        Some(TaskState::Running(running[1].2.clone()))
    );
}

/// Guards against a worker that stays closed after the list of hosts marked its
/// host as leaving by mistake.
#[test]
fn a_worker_is_reopened_when_its_host_no_longer_leaves() {
    let mut queue = queue_with_workers(1);
    let name = worker(0, GENERAL_CAPACITY).worker;
    queue.handle(TaskEvent::WorkerLeaving(name.clone()), Duration::ZERO);
    let closed = run_job(&mut queue, job(1, 1, 1));

    let actions = queue.handle(TaskEvent::WorkerStaying(name), Duration::ZERO);

    let open = sent_starts(&commit_records(&mut queue, actions, Duration::ZERO));
    assert_eq!((closed.len(), open.len()), (0, 1));
}
