//! The owned pools as shown to operators.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use auburnsaddle_core::{Epoch, ResourceVector, TaskId, TaskStatus, WorkerId};
use serde::Serialize;

use super::{pool::OwnedPool, state::PoolShards};
use crate::telemetry::PoolLoad;

/// An owned pool.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct PoolDump {
    shard: String,
    epoch: Epoch,
    /// Whether new jobs are accepted.
    active: bool,
    /// Jobs whose acceptance is being recorded.
    unrecorded_jobs: usize,
    /// The tasks of all jobs that have not ended.
    tasks: Vec<TaskStatus>,
    workers: Vec<WorkerDump>,
}

/// A worker of an owned pool.
#[derive(Debug)]
#[derive(Serialize)]
struct WorkerDump {
    worker: WorkerId,
    address: Option<SocketAddr>,
    /// Whether it has answered the claim of this owner.
    claimed: bool,
    /// What is free, if its size is known.
    free: Option<ResourceVector>,
    /// Tasks to which its room is given.
    tasks: BTreeSet<TaskId>,
}

impl PoolShards {
    /// Returns the loads of the owned pools by shard.
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

    /// Describes all owned pools.
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
            claimed: link.claimed,
            free: self.queue.free_capacity(name),
            tasks: self.queue.tasks_on(name).cloned().unwrap_or_default(),
        });
        PoolDump {
            shard: self.shard.to_string(),
            epoch: self.epoch,
            active: self.active,
            unrecorded_jobs: self.pending_len(),
            tasks: tasks.iter().filter_map(|task| self.status(*task)).collect(),
            workers: workers.collect(),
        }
    }
}
