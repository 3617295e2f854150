//! The pool shards that this daemon owns.

use std::{collections::BTreeMap, time::Duration};

use auburnsaddle_core::{
    Epoch, HostEntry, NotRunReason, ObjectSet, PoolId, PoolSpec, RecordId, ShardName, TaskConfig,
    TaskEvent, TaskRecord, TaskRefusal, TaskReply, TeamQuota,
};

use super::{
    messages::{PoolOutput, TaskCommand},
    pool::{OwnedPool, store_unavailable_reply},
};

/// All pool shards that this daemon owns, with their queues and workers.
#[derive(Debug)]
pub(crate) struct PoolShards {
    pub(super) pools: BTreeMap<ShardName, OwnedPool>,
    sync_interval: Duration,
    /// Whether the store is available; jobs are refused while it is not.
    is_store_available: bool,
}

/// The inputs from which the queue of a pool is built.
#[derive(Debug)]
pub(crate) struct PoolSetup<'a> {
    /// The configuration of the pool.
    pub(crate) spec: &'a PoolSpec,
    /// All objects in force.
    pub(crate) objects: &'a ObjectSet,
    /// The workers; `None` if the list of hosts has not been read yet.
    pub(crate) hosts: Option<Vec<HostEntry>>,
    /// The journal records of previous owners.
    pub(crate) records: Vec<TaskRecord>,
}

impl PoolShards {
    /// Returns a state without pools. Leases are renewed at the sync interval.
    pub(crate) const fn new(sync_interval: Duration) -> Self {
        Self {
            pools: BTreeMap::new(),
            sync_interval,
            is_store_available: true,
        }
    }

    /// Builds the queue of a pool from its records and sends the first claims to
    /// its workers.
    pub(crate) fn open(
        &mut self,
        shard: &ShardName,
        epoch: Epoch,
        setup: PoolSetup<'_>,
        now: Duration,
    ) -> PoolOutput {
        let lease = longest_lease(setup.objects, &setup.spec.name);
        let config = TaskConfig {
            accelerator_host_share: setup.spec.accelerator_host_share_percent,
            lease,
            renew_interval: self.sync_interval,
            ..TaskConfig::default()
        };
        let mut pool = OwnedPool::new(shard.clone(), epoch, setup.spec.objective, config);
        let mut output = PoolOutput::default();
        let teams = TaskEvent::TeamsChanged(team_quotas(setup.objects));
        pool.apply(teams, now, &mut output);
        pool.apply(TaskEvent::Replayed(setup.records), now, &mut output);
        if let Some(hosts) = setup.hosts {
            pool.set_workers(&hosts, now, &mut output);
        }
        pool.send_claims(now, &mut output);
        self.pools.insert(shard.clone(), pool);
        output
    }

    /// Returns whether a shard is open under an epoch.
    pub(crate) fn owns(&self, shard: &ShardName, epoch: Epoch) -> bool {
        let pool = self.pools.get(shard);
        pool.is_some_and(|pool| pool.epoch == epoch)
    }

    /// Sets whether a pool accepts new jobs.
    pub(crate) fn set_active(&mut self, shard: &ShardName, active: bool) {
        if let Some(pool) = self.pools.get_mut(shard) {
            pool.is_active = active;
        }
    }

    /// Drops a pool that this daemon no longer owns. Callers of pending jobs are
    /// told that the outcome is unknown, since the next owner may find the records
    /// of these jobs.
    pub(crate) fn drop_shard(&mut self, shard: &ShardName) {
        if let Some(mut pool) = self.pools.remove(shard) {
            pool.abandon_pending_jobs();
        }
    }

    /// Applies the teams and the pools of a new configuration.
    pub(crate) fn set_objects(&mut self, objects: &ObjectSet, now: Duration) -> PoolOutput {
        let mut output = PoolOutput::default();
        for (shard, pool) in &mut self.pools {
            let teams = TaskEvent::TeamsChanged(team_quotas(objects));
            pool.apply(teams, now, &mut output);
            let spec = match shard {
                ShardName::Pool(name) => objects.pools.get(name),
                _ => None,
            };
            if let Some(spec) = spec {
                let lease = longest_lease(objects, &spec.name);
                pool.set_spec(spec, lease, now, &mut output);
            }
        }
        output
    }

    /// Applies a new reading of the list of hosts.
    pub(crate) fn set_workers<F>(&mut self, workers_of: F, now: Duration) -> PoolOutput
    where
        F: Fn(&PoolId) -> Vec<HostEntry>,
    {
        let mut output = PoolOutput::default();
        for (shard, pool) in &mut self.pools {
            if let ShardName::Pool(name) = shard {
                pool.set_workers(&workers_of(name), now, &mut output);
            }
        }
        output
    }

    /// Sets whether the store is available for records.
    pub(crate) fn set_store_available(&mut self, available: bool) {
        self.is_store_available = available;
    }

    /// Applies a command of the traffic threads.
    pub(crate) fn handle(&mut self, command: TaskCommand, now: Duration) -> PoolOutput {
        let mut output = PoolOutput::default();
        match command {
            TaskCommand::Request {
                shard,
                request,
                reply,
            } => match self.pools.get_mut(&shard) {
                Some(pool) if pool.is_refused_without_store(&request, self.is_store_available) => {
                    let _ = reply.send(store_unavailable_reply());
                }
                Some(pool) => pool.handle_request(request, reply, now, &mut output),
                None => {
                    let refusal = TaskRefusal::NotRun(NotRunReason::NoOwner);
                    let _ = reply.send(TaskReply::Refused(refusal));
                }
            },
            TaskCommand::WorkerResponded {
                shard,
                epoch,
                worker,
                response,
            } => {
                let pool = self.pools.get_mut(&shard);
                if let Some(pool) = pool.filter(|pool| pool.epoch == epoch) {
                    pool.apply_response(&worker, response, now, &mut output);
                }
            }
        }
        output
    }

    /// Applies the timers that are due by `now`.
    pub(crate) fn fire_timers(&mut self, now: Duration) -> PoolOutput {
        let mut output = PoolOutput::default();
        for pool in self.pools.values_mut() {
            pool.fire_timers(now, &mut output);
        }
        output
    }

    /// Stores the identifier that the journal gave to an appended record.
    pub(crate) fn handle_record_appended(
        &mut self,
        shard: &ShardName,
        journal: RecordId,
        queue: RecordId,
    ) {
        if let Some(pool) = self.pools.get_mut(shard) {
            pool.handle_record_appended(journal, queue);
        }
    }

    /// Reports to the queue a record that the journal refused to append.
    pub(crate) fn handle_record_refused(
        &mut self,
        shard: &ShardName,
        queue: RecordId,
        now: Duration,
    ) -> PoolOutput {
        let mut output = PoolOutput::default();
        if let Some(pool) = self.pools.get_mut(shard) {
            let event = TaskEvent::RecordsFailed([queue].into());
            pool.apply(event, now, &mut output);
        }
        output
    }

    /// Reports to the queue the records that are durable in the store.
    pub(crate) fn handle_records_durable(
        &mut self,
        shard: &ShardName,
        journal: &[RecordId],
        now: Duration,
    ) -> PoolOutput {
        let mut output = PoolOutput::default();
        if let Some(pool) = self.pools.get_mut(shard) {
            let event = TaskEvent::Recorded(pool.take_records(journal));
            pool.apply(event, now, &mut output);
        }
        output
    }

    /// Reports to the queue the records whose write failed. If they may have been
    /// written all the same, the outcome of all pending jobs is unknown.
    pub(crate) fn handle_records_failed(
        &mut self,
        shard: &ShardName,
        journal: &[RecordId],
        maybe_written: bool,
        now: Duration,
    ) -> PoolOutput {
        let mut output = PoolOutput::default();
        if let Some(pool) = self.pools.get_mut(shard) {
            if maybe_written {
                pool.abandon_pending_jobs();
            }
            let event = TaskEvent::RecordsFailed(pool.take_records(journal));
            pool.apply(event, now, &mut output);
        }
        output
    }

    /// Returns the records from which the current state of a pool can be rebuilt.
    pub(crate) fn export(&self, shard: &ShardName) -> Vec<TaskRecord> {
        let pool = self.pools.get(shard);
        pool.map_or_else(Vec::new, |pool| pool.queue.export())
    }
}

/// Returns the longest lease among the objects of a pool. A worker renews all its
/// leases for the same time, so objects cannot have leases of different length.
fn longest_lease(objects: &ObjectSet, pool: &PoolId) -> Duration {
    let works = objects.batches.values();
    let works = works.chain(objects.gangs.values());
    works
        .chain(objects.tasks.values())
        .filter(|work| work.pool == *pool)
        .map(auburnsaddle_core::WorkSpec::lease)
        .max()
        .unwrap_or(TaskConfig::default().lease)
}

fn team_quotas(objects: &ObjectSet) -> Vec<TeamQuota> {
    let teams = objects.teams.values();
    teams
        .map(|team| TeamQuota {
            team: team.name.clone(),
            weight: team.weight,
            quota: team.quota,
        })
        .collect()
}
