//! The task queue of a pool under the policy of its objective.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use auburnsaddle_core::{
    JobId, JobSpec, PackingFirst, PoolObjective, ResourceVector, TaskAction, TaskConfig, TaskEvent,
    TaskId, TaskQueue, TaskRecord, TaskView, WaitingFirst, WorkerId,
};

/// A task queue with one of the two policies.
#[derive(Debug)]
pub(super) enum PoolQueue {
    Waiting(Box<TaskQueue<WaitingFirst>>),
    Packing(Box<TaskQueue<PackingFirst>>),
}

impl PoolQueue {
    pub(super) fn new(objective: PoolObjective, config: TaskConfig) -> Self {
        match objective {
            PoolObjective::Waiting => Self::Waiting(Box::new(TaskQueue::new(config, WaitingFirst))),
            PoolObjective::Packing => Self::Packing(Box::new(TaskQueue::new(config, PackingFirst))),
        }
    }

    pub(super) fn handle(&mut self, event: TaskEvent, now: Duration) -> Vec<TaskAction> {
        match self {
            Self::Waiting(queue) => queue.handle(event, now),
            Self::Packing(queue) => queue.handle(event, now),
        }
    }

    pub(super) fn view(&self, task: TaskId) -> Option<TaskView> {
        match self {
            Self::Waiting(queue) => queue.view(task),
            Self::Packing(queue) => queue.view(task),
        }
    }

    pub(super) fn accepted_tasks(&self, job: JobId) -> Option<u32> {
        match self {
            Self::Waiting(queue) => queue.accepted_tasks(job),
            Self::Packing(queue) => queue.accepted_tasks(job),
        }
    }

    pub(super) fn job_of(&self, task: TaskId) -> Option<&JobSpec> {
        match self {
            Self::Waiting(queue) => queue.job_of(task),
            Self::Packing(queue) => queue.job_of(task),
        }
    }

    pub(super) fn tasks_on(&self, worker: &WorkerId) -> Option<&BTreeSet<TaskId>> {
        match self {
            Self::Waiting(queue) => queue.tasks_on(worker),
            Self::Packing(queue) => queue.tasks_on(worker),
        }
    }

    /// Returns the numbers of tasks that wait and that occupy a worker.
    pub(super) fn load(&self) -> (usize, usize) {
        match self {
            Self::Waiting(queue) => queue.load(),
            Self::Packing(queue) => queue.load(),
        }
    }

    pub(super) fn waited(&self, task: TaskId, now: Duration) -> Option<Duration> {
        match self {
            Self::Waiting(queue) => queue.waited(task, now),
            Self::Packing(queue) => queue.waited(task, now),
        }
    }

    pub(super) fn free(&self, worker: &WorkerId) -> Option<ResourceVector> {
        match self {
            Self::Waiting(queue) => queue.free(worker),
            Self::Packing(queue) => queue.free(worker),
        }
    }

    pub(super) fn matching(&self, labels: &[Arc<str>], team: Option<&str>) -> Vec<TaskId> {
        match self {
            Self::Waiting(queue) => queue.matching(labels, team),
            Self::Packing(queue) => queue.matching(labels, team),
        }
    }

    pub(super) fn export(&self) -> Vec<TaskRecord> {
        match self {
            Self::Waiting(queue) => queue.export(),
            Self::Packing(queue) => queue.export(),
        }
    }
}
