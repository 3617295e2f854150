//! The pools that this daemon owns.

use std::{collections::BTreeMap, time::Duration};

use auburnsaddle_core::{
    Epoch, HostEntry, NotRunReason, ObjectSet, PoolId, PoolSpec, RecordId, ShardName, TaskConfig,
    TaskEvent, TaskRecord, TaskRefusal, TaskReply, TeamQuota,
};

use super::{
    messages::{PoolOutput, TaskCommand},
    pool::{OwnedPool, store_refusal},
};

/// All pool shards that this daemon owns.
#[derive(Debug)]
pub(crate) struct PoolShards {
    pub(super) pools: BTreeMap<ShardName, OwnedPool>,
    sync_interval: Duration,
    store_available: bool,
}

/// What a pool starts from.
#[derive(Debug)]
pub(crate) struct PoolSetup<'a> {
    /// The pool as configured.
    pub(crate) spec: &'a PoolSpec,
    /// All objects in force.
    pub(crate) objects: &'a ObjectSet,
    /// The workers, if the list of hosts has been read.
    pub(crate) hosts: Option<Vec<HostEntry>>,
    /// The records of former owners.
    pub(crate) records: Vec<TaskRecord>,
}

impl PoolShards {
    /// Returns the state of a daemon without pools.
    pub(crate) const fn new(sync_interval: Duration) -> Self {
        Self {
            pools: BTreeMap::new(),
            sync_interval,
            store_available: true,
        }
    }

    /// Builds the queue of a pool from its records and begins to claim its
    /// workers.
    pub(crate) fn open(
        &mut self,
        shard: &ShardName,
        epoch: Epoch,
        base: PoolSetup<'_>,
        now: Duration,
    ) -> PoolOutput {
        let lease = longest_lease(base.objects, &base.spec.name);
        let config = TaskConfig {
            accelerator_host_share: base.spec.accelerator_host_share_percent,
            lease,
            renew_interval: self.sync_interval,
            ..TaskConfig::default()
        };
        let mut pool = OwnedPool::new(shard.clone(), epoch, base.spec.objective, config);
        let mut output = PoolOutput::default();
        let teams = TaskEvent::TeamsChanged(team_quotas(base.objects));
        pool.apply(teams, now, &mut output);
        pool.apply(TaskEvent::Replayed(base.records), now, &mut output);
        if let Some(hosts) = base.hosts {
            pool.set_workers(&hosts, now, &mut output);
        }
        pool.send_claims(now, &mut output);
        self.pools.insert(shard.clone(), pool);
        output
    }

    /// Tells whether a shard was opened under an epoch.
    pub(crate) fn owns(&self, shard: &ShardName, epoch: Epoch) -> bool {
        let pool = self.pools.get(shard);
        pool.is_some_and(|pool| pool.epoch == epoch)
    }

    /// Lets a pool accept new jobs, or not.
    pub(crate) fn set_active(&mut self, shard: &ShardName, active: bool) {
        if let Some(pool) = self.pools.get_mut(shard) {
            pool.active = active;
        }
    }

    /// Drops a pool that has another owner. The next owner may find the jobs
    /// whose records were on their way.
    pub(crate) fn drop_shard(&mut self, shard: &ShardName) {
        if let Some(mut pool) = self.pools.remove(shard) {
            pool.doubt_pending();
        }
    }

    /// Takes over the teams and the pools of a new configuration.
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

    /// Takes over a new reading of the list of hosts.
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

    /// Notes whether the store takes records.
    pub(crate) fn set_store_available(&mut self, available: bool) {
        self.store_available = available;
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
                Some(pool) if pool.refuses_for_store(&request, self.store_available) => {
                    let _ = reply.send(store_refusal());
                }
                Some(pool) => pool.request(request, reply, now, &mut output),
                None => {
                    let refusal = TaskRefusal::NotRun(NotRunReason::NoOwner);
                    let _ = reply.send(TaskReply::Refused(refusal));
                }
            },
            TaskCommand::News {
                shard,
                epoch,
                worker,
                news,
            } => {
                let pool = self.pools.get_mut(&shard);
                if let Some(pool) = pool.filter(|pool| pool.epoch == epoch) {
                    pool.note_news(&worker, news, now, &mut output);
                }
            }
        }
        output
    }

    /// Acts on the passing of time.
    pub(crate) fn fire_timers(&mut self, now: Duration) -> PoolOutput {
        let mut output = PoolOutput::default();
        for pool in self.pools.values_mut() {
            pool.fire_timers(now, &mut output);
        }
        output
    }

    /// Notes the number that the journal gave a record.
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

    /// Notes a record that the journal did not take over.
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

    /// Notes records that are in the store.
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

    /// Notes records that this daemon did not write.
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
                pool.doubt_pending();
            }
            let event = TaskEvent::RecordsFailed(pool.take_records(journal));
            pool.apply(event, now, &mut output);
        }
        output
    }

    /// Returns the records that describe a pool now.
    pub(crate) fn export(&self, shard: &ShardName) -> Vec<TaskRecord> {
        let pool = self.pools.get(shard);
        pool.map_or_else(Vec::new, |pool| pool.queue.export())
    }
}

/// Returns the longest lease of the pool's objects. A worker renews all leases
/// with one number, so a shorter one could not be kept apart.
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
