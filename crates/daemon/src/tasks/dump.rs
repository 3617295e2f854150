//! Dumps and load figures of the owned pools, for operators.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use auburnsaddle_core::{Epoch, ResourceVector, TaskId, TaskStatus, WorkerId};
use serde::Serialize;

use super::{pool::OwnedPool, state::PoolShards};
use crate::telemetry::PoolLoad;

/// The state of an owned pool in the dump.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct PoolDump {
    shard: String,
    epoch: Epoch,
    /// Whether new jobs are accepted.
    active: bool,
    /// Number of jobs whose acceptance is not durable yet.
    unrecorded_jobs: usize,
    /// The tasks of all jobs that have not ended.
    tasks: Vec<TaskStatus>,
    workers: Vec<WorkerDump>,
}

/// The state of a worker in the dump.
#[derive(Debug)]
#[derive(Serialize)]
struct WorkerDump {
    worker: WorkerId,
    address: Option<SocketAddr>,
    /// Whether it has accepted a claim of this owner.
    claimed: bool,
    /// Free capacity; `None` if the capacity of the worker is unknown.
    free: Option<ResourceVector>,
    /// Tasks that are placed on it.
    tasks: BTreeSet<TaskId>,
}

impl PoolShards {
    /// Returns the numbers of waiting and placed tasks by shard.
    pub(crate) fn loads(&self) -> BTreeMap<String, PoolLoad> {
        let pools = self.pools.iter();
        pools
            .map(|(shard, pool)| {
                let (waiting, placed) = pool.queue.task_counts();
                let (waiting, placed) = (waiting as u64, placed as u64);
                (shard.to_string(), PoolLoad { waiting, placed })
            })
            .collect()
    }

    /// Returns the dump of all owned pools.
    pub(crate) fn dump(&self) -> Vec<PoolDump> {
        self.pools.values().map(OwnedPool::dump).collect()
    }
}

impl OwnedPool {
    fn dump(&self) -> PoolDump {
        let tasks = self.queue.find_tasks(&[], None);
        let workers = self.links.iter().map(|(name, link)| WorkerDump {
            worker: name.clone(),
            address: link.address,
            claimed: link.is_claimed,
            free: self.queue.free_capacity(name),
            tasks: self.queue.tasks_on(name).cloned().unwrap_or_default(),
        });
        PoolDump {
            shard: self.shard.to_string(),
            epoch: self.epoch,
            active: self.is_active,
            unrecorded_jobs: self.pending_job_count(),
            tasks: tasks.iter().filter_map(|task| self.status(*task)).collect(),
            workers: workers.collect(),
        }
    }
}
