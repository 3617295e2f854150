//! Fixtures for the tests of the task queue.

mod crashes;
mod examples;
mod probation;
mod recovery;
mod sequences;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use super::{
    GangMode, JobSpec, PackingFirst, PlacementPolicy, TaskAction, TaskConfig, TaskEvent, TaskQueue,
    TeamQuota, WorkerEntry,
};
use crate::{
    journal::RecordId,
    types::{Attempt, ResourceVector, RestartPolicy, TaskId, UrgencyClass, WorkerId},
};

const GENERAL_CAPACITY: ResourceVector = ResourceVector::new(16_000, 32_768, 0);
const ACCELERATED_CAPACITY: ResourceVector = ResourceVector::new(32_000, 65_536, 8);

/// Returns the task id with a number.
fn task(number: u128) -> TaskId {
    TaskId::from_u128(number)
}

/// Returns the default team of the jobs, with a quota.
fn team(quota: ResourceVector) -> TeamQuota {
    TeamQuota {
        team: "orders".into(),
        weight: 1,
        quota,
    }
}

/// Returns a worker named after its number, with two workers to a rack.
fn worker(number: usize, capacity: ResourceVector) -> WorkerEntry {
    WorkerEntry {
        worker: format!("w{number}").into(),
        zone: format!("z{}", number % 3).into(),
        rack: format!("r{}", number / 2).into(),
        capacity,
    }
}

/// Returns a job of `count` tasks with `cores` cores each. The ids of its tasks
/// start at 1,000 times the number of the job.
fn job(number: u64, count: u128, cores: u64) -> JobSpec {
    let first = u128::from(number) * 1_000;
    JobSpec {
        job: number,
        tasks: (first..first + count).map(task).collect(),
        object: "grain".into(),
        team: "orders".into(),
        urgency: UrgencyClass::Normal,
        labels: vec![Arc::from("run=night")],
        demand: ResourceVector::new(cores * 1_000, cores * 1_024, 0),
        run_time: Some(Duration::from_mins(1)),
        restart: RestartPolicy::WhenStopped,
        gang: GangMode::Independent,
        spread: false,
        checkpoint: false,
        after: Vec::new(),
    }
}

/// Returns a job like [`job`] whose tasks form a gang.
fn gang(number: u64, count: u128, cores: u64) -> JobSpec {
    JobSpec {
        gang: GangMode::AllOrNothing,
        ..job(number, count, cores)
    }
}

/// Returns a queue with workers that have not answered a claim.
fn configured_queue(workers: &[WorkerEntry]) -> TaskQueue<PackingFirst> {
    configured_queue_with(TaskConfig::default(), workers)
}

fn configured_queue_with(config: TaskConfig, workers: &[WorkerEntry]) -> TaskQueue<PackingFirst> {
    let mut queue = TaskQueue::new(config, PackingFirst);
    let quota = ResourceVector::new(u64::MAX, u64::MAX, u64::MAX);
    queue.handle(TaskEvent::TeamsChanged(vec![team(quota)]), Duration::ZERO);
    let event = TaskEvent::WorkersChanged(workers.to_vec());
    queue.handle(event, Duration::ZERO);
    queue
}

/// Returns a queue with claimed workers without accelerators.
fn queue_with_workers(workers: usize) -> TaskQueue<PackingFirst> {
    let entries: Vec<_> = (0..workers)
        .map(|number| worker(number, GENERAL_CAPACITY))
        .collect();
    claimed_queue(&entries)
}

/// Returns a queue with workers that answered a claim and run nothing.
fn claimed_queue(entries: &[WorkerEntry]) -> TaskQueue<PackingFirst> {
    let mut queue = configured_queue(entries);
    for entry in entries {
        let event = TaskEvent::WorkerClaimed(entry.worker.clone(), Vec::new());
        queue.handle(event, Duration::ZERO);
    }
    queue
}

/// Submits a job and returns the actions.
fn submit(queue: &mut TaskQueue<PackingFirst>, spec: JobSpec, now: Duration) -> Vec<TaskAction> {
    queue.handle(TaskEvent::Submitted(spec), now)
}

/// Returns the ids of the records that `actions` request.
fn record_ids(actions: &[TaskAction]) -> BTreeSet<RecordId> {
    actions
        .iter()
        .filter_map(|action| match action {
            TaskAction::Record(id, _) => Some(*id),
            _ => None,
        })
        .collect()
}

/// Returns the starts among `actions`.
fn sent_starts(actions: &[TaskAction]) -> Vec<(TaskId, Attempt, WorkerId)> {
    actions
        .iter()
        .filter_map(|action| match action {
            TaskAction::Start(task, attempt, worker) => Some((*task, *attempt, worker.clone())),
            _ => None,
        })
        .collect()
}

/// Confirms all records of `actions`, and of the actions that follow, as
/// durable. Returns all of these actions.
fn commit_records<P: PlacementPolicy>(
    queue: &mut TaskQueue<P>,
    mut actions: Vec<TaskAction>,
    now: Duration,
) -> Vec<TaskAction> {
    let mut ids = record_ids(&actions);
    while !ids.is_empty() {
        let more = queue.handle(TaskEvent::Recorded(ids), now);
        ids = record_ids(&more);
        actions.extend(more);
    }
    actions
}
