//! The teams of the manifest, and the calls to the store for their quota records.

use std::{sync::Arc, time::Duration};

use auburnsaddle_core::{PipelineEvent, ServiceId, TeamTable};
use auburnsaddle_platform::{ItemChange, Manifest, StoreItem};
use tokio::task::JoinHandle;

use super::{
    control::CellControl,
    effects::{CellEffects, ShardHandle},
    messages::{CellEvent, QuotaUpdate},
};
use crate::{
    pipelines::{QUOTA_PREFIX, decode_quotas, quota_event},
    session::{PrefixUpdate, WatchTiming, watch_prefix},
};

/// Timing of the watch on the quota records. While services compete for a cap, they change several
/// times a second; a store whose watches are silent would hide what another service wants.
const QUOTA_WATCH_TIMING: WatchTiming = WatchTiming {
    batch_delay: Duration::from_millis(50),
    max_silence: Some(Duration::from_secs(1)),
};

impl CellControl {
    /// Takes over a version of the manifest.
    pub(super) fn update_manifest(&mut self, manifest: &Manifest) {
        self.manifest_version = Some(manifest.version);
        let routes = manifest.routes.iter();
        let services = routes.map(|route| route.policy.service.clone());
        self.services.extend(services);
        self.update_teams(&manifest.teams);
    }

    /// Passes changed terms of the teams to the owned services.
    fn update_teams(&mut self, teams: &TeamTable) {
        if *self.teams == *teams {
            return;
        }
        self.teams = Arc::new(teams.clone());
        let shards = self.shards.iter();
        let shards = shards.map(|(service, handle)| (service.clone(), handle.shard.epoch()));
        let shards: Vec<(ServiceId, u64)> = shards.collect();
        for (service, epoch) in shards {
            let event = PipelineEvent::TeamsChanged(Arc::clone(&self.teams));
            self.dispatch_event(&service, epoch, event);
        }
    }

    /// Passes an answer about the quota records to the owned service that it is for.
    pub(super) fn apply_quota_update(
        &mut self,
        service: &ServiceId,
        epoch: u64,
        update: QuotaUpdate,
    ) {
        let handle = self.shards.get_mut(service);
        let Some(handle) = handle.filter(|handle| handle.shard.epoch() == epoch) else {
            return;
        };
        let event = match update {
            QuotaUpdate::Changed(PrefixUpdate::Snapshot(items)) => {
                PipelineEvent::QuotasChanged(decode_quotas(&items))
            }
            QuotaUpdate::Changed(PrefixUpdate::Changes(changes)) => {
                // Records are never removed.
                let items = changes.into_iter().filter_map(|change| match change {
                    ItemChange::Put(item) => Some(item),
                    ItemChange::Removed { .. } => None,
                });
                let items: Vec<StoreItem> = items.collect();
                PipelineEvent::QuotasChanged(decode_quotas(&items))
            }
            QuotaUpdate::Read(number, items) => {
                handle.is_reading_quotas = false;
                let Some(items) = items else {
                    return;
                };
                PipelineEvent::QuotasRead(number, decode_quotas(&items))
            }
            QuotaUpdate::Written(outcome) => quota_event(&outcome),
        };
        self.dispatch_event(service, epoch, event);
    }

    /// Updates the gauges of what the teams use of their caps.
    pub(super) fn report_team_usage(&self) {
        let usage = self.shards.iter().flat_map(|(service, handle)| {
            let usage = handle.shard.state.quotas().usage();
            usage.map(|(team, usage)| (service.clone(), team.clone(), usage))
        });
        self.effects.metrics.set_team_usage(usage.collect());
    }
}

impl CellEffects {
    /// Starts the watch on the quota records for the owner of a service.
    pub(super) fn watch_quotas(&self, service: &ServiceId, epoch: u64) -> JoinHandle<()> {
        let service = service.clone();
        let quotas = watch_prefix(
            self.store.clone(),
            QUOTA_PREFIX.to_owned(),
            None,
            QUOTA_WATCH_TIMING,
            self.events.clone(),
            move |update| {
                let update = QuotaUpdate::Changed(update);
                CellEvent::Quotas(service.clone(), epoch, update)
            },
        );
        self.runtime.spawn(quotas)
    }

    /// Reads the quota records if that is due, and sends the change that is due. Does nothing where
    /// caps are not enforced.
    pub(super) fn start_quota_calls(&self, handle: &mut ShardHandle, manifest_revision: u64) {
        if self.route.is_unavailable() {
            return;
        }
        let due_read = handle.shard.state.quotas().due_read();
        if let Some(number) = due_read.filter(|_| !handle.is_reading_quotas) {
            handle.is_reading_quotas = true;
            let (store, events) = (self.store.clone(), self.events.clone());
            let (service, epoch) = (handle.shard.service.clone(), handle.shard.epoch());
            self.runtime.spawn(async move {
                // The store client counts and logs a failure; the next pass reads again.
                let items = store.read_range(QUOTA_PREFIX).await.ok();
                let update = QuotaUpdate::Read(number, items.map(|(items, _)| items));
                let _ = events.send(CellEvent::Quotas(service, epoch, update)).await;
            });
        }
        let now = self.clock.now();
        if let Some(transaction) = handle.shard.next_quota_write(manifest_revision, now) {
            let (store, events) = (self.store.clone(), self.events.clone());
            let (service, epoch) = (handle.shard.service.clone(), handle.shard.epoch());
            self.runtime.spawn(async move {
                let update = QuotaUpdate::Written(store.commit(&transaction).await);
                let _ = events.send(CellEvent::Quotas(service, epoch, update)).await;
            });
        }
    }
}
