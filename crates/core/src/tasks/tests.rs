//! Tests of the task queue.

mod examples;
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

const GENERAL: ResourceVector = ResourceVector::new(16_000, 32_768, 0);
const ACCELERATED: ResourceVector = ResourceVector::new(32_000, 65_536, 8);

fn task(number: u128) -> TaskId {
    TaskId::from_u128(number)
}

fn team(quota: ResourceVector) -> TeamQuota {
    TeamQuota {
        team: "orders".into(),
        weight: 1,
        quota,
    }
}

fn worker(number: usize, capacity: ResourceVector) -> WorkerEntry {
    WorkerEntry {
        worker: format!("w{number}").into(),
        zone: format!("z{}", number % 3).into(),
        rack: format!("r{}", number / 2).into(),
        capacity,
    }
}

/// A job of `count` tasks of `cores` cores; task ids follow the job's number.
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

fn gang(number: u64, count: u128, cores: u64) -> JobSpec {
    JobSpec {
        gang: GangMode::AllOrNothing,
        ..job(number, count, cores)
    }
}

fn configured(workers: &[WorkerEntry]) -> TaskQueue<PackingFirst> {
    configured_with(TaskConfig::default(), workers)
}

fn configured_with(config: TaskConfig, workers: &[WorkerEntry]) -> TaskQueue<PackingFirst> {
    let mut queue = TaskQueue::new(config, PackingFirst);
    let quota = ResourceVector::new(u64::MAX, u64::MAX, u64::MAX);
    queue.handle(TaskEvent::TeamsChanged(vec![team(quota)]), Duration::ZERO);
    let event = TaskEvent::WorkersChanged(workers.to_vec());
    queue.handle(event, Duration::ZERO);
    queue
}

/// A queue with claimed general workers.
fn queue(workers: usize) -> TaskQueue<PackingFirst> {
    let entries: Vec<_> = (0..workers).map(|number| worker(number, GENERAL)).collect();
    claimed(&entries)
}

fn claimed(entries: &[WorkerEntry]) -> TaskQueue<PackingFirst> {
    let mut queue = configured(entries);
    for entry in entries {
        let event = TaskEvent::WorkerClaimed(entry.worker.clone(), Vec::new());
        queue.handle(event, Duration::ZERO);
    }
    queue
}

fn submit(queue: &mut TaskQueue<PackingFirst>, spec: JobSpec, now: Duration) -> Vec<TaskAction> {
    queue.handle(TaskEvent::Submitted(spec), now)
}

fn record_ids(actions: &[TaskAction]) -> BTreeSet<RecordId> {
    actions
        .iter()
        .filter_map(|action| match action {
            TaskAction::Record(id, _) => Some(*id),
            _ => None,
        })
        .collect()
}

fn starts(actions: &[TaskAction]) -> Vec<(TaskId, Attempt, WorkerId)> {
    actions
        .iter()
        .filter_map(|action| match action {
            TaskAction::Start(task, attempt, worker) => Some((*task, *attempt, worker.clone())),
            _ => None,
        })
        .collect()
}

/// Makes all records of `actions`, and of what follows, durable.
fn commit<P: PlacementPolicy>(
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
