//! Executes the actions of the control thread: calls to the store, workers and peers.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use auburnsaddle_core::{
    AdviceOrder, PipelineAction, PipelineEvent, ServiceId, WorkerId, WorkerListing,
};
use auburnsaddle_platform::{
    AdviceClient, HttpEndpoint, ItemChange, KeyLease, StoreItem, StoreTransaction,
    TransactionOutcome, WORKER_PREFIX, decode_registration, parse_worker_key,
};
use tokio::{
    runtime::Handle,
    sync::mpsc,
    task::{JoinHandle, JoinSet},
};

use super::{
    handover::PendingHandover,
    messages::{AdviceOutcome, CellEvent},
    metrics::CellMetrics,
    notes::log_note,
};
use crate::{
    pipelines::{
        AdvisorTable, CellKey, LoadedShard, NoticeSender, OwnedShard, StoredJob, WorkerOrders,
        acquire_shard, decode_team_value, expected_answer_ms, request_advice,
    },
    session::{
        CellStore, LeaseConfirmation, PrefixUpdate, RetryDelay, StoreRoute, WatchTiming,
        watch_prefix,
    },
    telemetry::BootClock,
    witness::{EpochNotice, WitnessEntry, announce_epoch},
};

/// Pause after changes of jobs, so that one call returns several changes together. Most
/// jobs are known from notices by then.
const JOB_BATCH_DELAY: Duration = Duration::from_millis(50);

/// Timing of the watch on the list of workers. Each worker rewrites its entry about every
/// 1.5 s, so several changes come together, and a list without changes is that of a store
/// whose watches are silent.
const WORKER_WATCH_TIMING: WatchTiming = WatchTiming {
    batch_delay: Duration::from_millis(300),
    max_silence: Some(Duration::from_secs(1)),
};

/// Delay from the removal of a worker's entry until the worker counts as delisted.
/// Entries that expired during an outage of the store are written again within 2 s of
/// its end.
const DELIST_DELAY: Duration = Duration::from_millis(2_500);

/// An owned service with its watches, orders and commit state.
#[derive(Debug)]
pub(super) struct ShardHandle {
    pub(super) shard: OwnedShard,
    /// Whether an event arrived since the last pass, in which tasks are placed and
    /// changes are committed.
    pub(super) has_new_events: bool,
    /// Earliest time of the next pass.
    pub(super) next_pass_at: Duration,
    /// Whether a commit has no outcome yet.
    pub(super) is_committing: bool,
    /// When this daemon took the service over.
    pub(super) owned_since: Duration,
    /// The handover to another daemon, if one has begun.
    pub(super) handover: Option<PendingHandover>,
    /// Whether a reading of the quota records has no outcome yet.
    pub(super) is_reading_quotas: bool,
    pub(super) commit_delay: RetryDelay,
    orders: WorkerOrders,
    watches: Vec<JoinHandle<()>>,
    /// Writes of summaries, which end with the ownership.
    summary_writes: JoinSet<()>,
    /// Workers whose entries were removed, and the time at which they count as delisted.
    pending_delists: BTreeMap<WorkerId, Duration>,
    /// The listed workers, as last reported to the scheduling state.
    listed: BTreeMap<WorkerId, WorkerListing>,
}

/// Starts calls on the traffic thread, which report their outcomes as events.
#[derive(Clone, Debug)]
pub(super) struct CellEffects {
    pub(super) runtime: Handle,
    pub(super) events: mpsc::Sender<CellEvent>,
    pub(super) clock: BootClock,
    pub(super) store: CellStore,
    pub(super) route: StoreRoute,
    pub(super) advice: Option<AdviceClient>,
    pub(super) notices: NoticeSender,
    pub(super) metrics: CellMetrics,
}

impl Drop for ShardHandle {
    fn drop(&mut self) {
        for watch in &self.watches {
            watch.abort();
        }
    }
}

impl ShardHandle {
    /// Records until when the store has confirmed the ownership. Returns the event.
    pub(super) fn confirm_ownership(&mut self, confirmation: LeaseConfirmation) -> PipelineEvent {
        let LeaseConfirmation {
            sent_at,
            valid_until,
        } = confirmation;
        self.orders.permit_until(valid_until);
        self.shard.confirm_by_store(sent_at, valid_until);
        PipelineEvent::OwnershipConfirmed(valid_until)
    }

    /// Applies an update of the jobs of the service. Returns the events.
    pub(super) fn apply_jobs(&mut self, update: PrefixUpdate) -> Vec<PipelineEvent> {
        let items: Vec<StoreItem> = match update {
            PrefixUpdate::Snapshot(items) => items,
            PrefixUpdate::Changes(changes) => {
                let puts = changes.into_iter().filter_map(|change| match change {
                    ItemChange::Put(item) => Some(item),
                    // Only the owner removes keys, those of jobs that have ended.
                    ItemChange::Removed { .. } => None,
                });
                puts.collect()
            }
        };
        // The items are sorted by key, so each job precedes its cancellation.
        let events = items
            .iter()
            .filter_map(|item| match CellKey::parse(&item.key) {
                Some(CellKey::Job(_, id)) => {
                    let spec: StoredJob = decode_team_value(&item.key, &item.value)?;
                    self.shard.add_job_key(id, item.revision);
                    Some(PipelineEvent::Stored(id, Arc::new(spec), None))
                }
                Some(CellKey::Cancellation(_, id)) => Some(PipelineEvent::Cancelled(id)),
                _ => None,
            });
        events.collect()
    }

    /// Applies an update of the list of workers. Returns the events for the workers of
    /// this service.
    pub(super) fn apply_worker_list(
        &mut self,
        update: PrefixUpdate,
        now: Duration,
    ) -> Vec<PipelineEvent> {
        let mut events = Vec::new();
        let changes = match update {
            PrefixUpdate::Changes(changes) => changes,
            PrefixUpdate::Snapshot(items) => {
                let present: Vec<Option<WorkerId>> = items
                    .iter()
                    .map(|item| parse_worker_key(&item.key))
                    .collect();
                let absent = self.listed.keys();
                let absent: Vec<WorkerId> = absent
                    .filter(|worker| !present.contains(&Some((*worker).clone())))
                    .cloned()
                    .collect();
                for worker in absent {
                    self.pending_delists
                        .entry(worker)
                        .or_insert(now + DELIST_DELAY);
                }
                items.into_iter().map(ItemChange::Put).collect()
            }
        };
        for change in changes {
            match change {
                ItemChange::Put(item) => events.extend(self.update_listing(&item)),
                ItemChange::Removed { key, .. } => {
                    let worker = parse_worker_key(&key);
                    if let Some(worker) = worker.filter(|worker| self.listed.contains_key(worker)) {
                        self.pending_delists.insert(worker, now + DELIST_DELAY);
                    }
                }
            }
        }
        events
    }

    /// Applies an entry of the list. Returns an event if the entry is of this service and
    /// has changed.
    fn update_listing(&mut self, item: &StoreItem) -> Option<PipelineEvent> {
        let worker = parse_worker_key(&item.key)?;
        let entry = match decode_registration(worker.clone(), &item.value) {
            Ok(entry) if *entry.service == *self.shard.service => entry,
            Ok(_) => return None,
            Err(error) => {
                log::debug!(
                    worker = worker.as_ref();
                    "ignored an invalid entry in the list of workers: {error}"
                );
                return None;
            }
        };
        self.pending_delists.remove(&worker);
        if self.listed.get(&worker) == Some(&entry.listing) {
            return None;
        }
        self.listed.insert(worker, entry.listing.clone());
        Some(PipelineEvent::Listed(entry.listing))
    }

    /// Delists workers that were not listed again within [`DELIST_DELAY`]. Returns the
    /// events.
    pub(super) fn delist_expired_workers(&mut self, now: Duration) -> Vec<PipelineEvent> {
        let expired = self.pending_delists.iter().filter(|(_, due)| now >= **due);
        let expired: Vec<WorkerId> = expired.map(|(worker, _)| worker.clone()).collect();
        let mut events = Vec::new();
        for worker in expired {
            self.pending_delists.remove(&worker);
            self.listed.remove(&worker);
            log::info!(worker = worker.as_ref(); "a worker was removed from the list");
            events.push(PipelineEvent::Delisted(worker));
        }
        if !events.is_empty() {
            let listed = &self.listed;
            self.orders.retain(|worker| listed.contains_key(worker));
        }
        events
    }
}

impl CellEffects {
    /// Returns the handle of a service that was taken over.
    ///
    /// `workers` are those that the takeover has read; the watch reports only changes.
    pub(super) fn create_shard_handle(
        &self,
        shard: OwnedShard,
        workers: Vec<WorkerListing>,
        watches: Vec<JoinHandle<()>>,
    ) -> ShardHandle {
        let orders = WorkerOrders::new(
            self.runtime.clone(),
            self.events.clone(),
            self.clock,
            shard.service.clone(),
            shard.epoch(),
        );
        let workers = workers.into_iter();
        let listed = workers.map(|listing| (listing.worker.clone(), listing));
        ShardHandle {
            shard,
            has_new_events: true,
            next_pass_at: Duration::ZERO,
            is_committing: false,
            owned_since: self.clock.now(),
            handover: None,
            is_reading_quotas: false,
            commit_delay: RetryDelay::default(),
            orders,
            watches,
            summary_writes: JoinSet::new(),
            pending_delists: BTreeMap::new(),
            listed: listed.collect(),
        }
    }

    /// Starts the watches on the jobs and workers of a service, from the revisions at
    /// which they were loaded.
    pub(super) fn watch_shard(&self, loaded: &LoadedShard) -> Vec<JoinHandle<()>> {
        let (service, epoch) = (loaded.service.clone(), loaded.epoch);
        let jobs = watch_prefix(
            self.store.clone(),
            CellKey::job_prefix(&service),
            Some(loaded.jobs_revision),
            WatchTiming::batched(JOB_BATCH_DELAY),
            self.events.clone(),
            move |update| CellEvent::Jobs(service.clone(), epoch, update),
        );
        let service = loaded.service.clone();
        let workers = watch_prefix(
            self.store.clone(),
            WORKER_PREFIX.to_owned(),
            Some(loaded.workers_revision),
            WORKER_WATCH_TIMING,
            self.events.clone(),
            move |update| CellEvent::Workers(service.clone(), epoch, update),
        );
        vec![self.runtime.spawn(jobs), self.runtime.spawn(workers)]
    }

    /// Starts a takeover of a service. `owner_revision` is the revision of the owner's
    /// key, or 0 if there is none.
    pub(super) fn start_takeover(
        &self,
        service: ServiceId,
        daemon: &str,
        lease: KeyLease,
        owner_revision: u64,
        witnesses: Vec<WitnessEntry>,
    ) {
        let (store, events) = (self.store.clone(), self.events.clone());
        let daemon = daemon.to_owned();
        self.runtime.spawn(async move {
            let taken_over = service.clone();
            let outcome = acquire_shard(
                &store,
                taken_over,
                &daemon,
                lease,
                owner_revision,
                witnesses,
            )
            .await;
            let event = CellEvent::Acquired(service, lease.id, outcome);
            let _ = events.send(event).await;
        });
    }

    /// Announces an ownership of this daemon to a witness.
    pub(super) fn announce_epoch(&self, witness: HttpEndpoint, notice: EpochNotice) {
        let (clock, events) = (self.clock, self.events.clone());
        self.runtime.spawn(async move {
            let sent_at = clock.now();
            if let Some(reply) = announce_epoch(&witness, &notice).await {
                let EpochNotice { service, epoch } = notice;
                let event = CellEvent::EpochAnswered(service, epoch, sent_at, reply);
                let _ = events.send(event).await;
            }
        });
    }

    /// Sends the next commit unless one has no outcome yet.
    pub(super) fn start_commit(&self, handle: &mut ShardHandle) {
        if handle.is_committing || handle.shard.next_commit(self.clock.now()).is_none() {
            return;
        }
        handle.is_committing = true;
        self.send_commit(handle, Duration::ZERO);
    }

    /// Sends the commit without an outcome again after a delay.
    pub(super) fn retry_commit(&self, handle: &mut ShardHandle) {
        let (delay, is_first) = handle.commit_delay.next_delay(rand::random());
        if is_first {
            log::warn!(
                service = handle.shard.service.as_ref(), epoch = handle.shard.epoch();
                "a commit had no outcome; sending it again until the store answers"
            );
        }
        self.send_commit(handle, delay);
    }

    /// Sends the commit without an outcome; the outcome arrives as an event.
    fn send_commit(&self, handle: &ShardHandle, delay: Duration) {
        let Some(transaction) = handle.shard.pending_transaction() else {
            return;
        };
        let (store, events) = (self.store.clone(), self.events.clone());
        let (service, epoch) = (handle.shard.service.clone(), handle.shard.epoch());
        self.runtime.spawn(async move {
            tokio::time::sleep(delay).await;
            let outcome = store.commit(&transaction).await;
            let _ = events
                .send(CellEvent::Committed(service, epoch, outcome))
                .await;
        });
    }

    /// Sends the writes of summaries that are due. With `is_urgent`, summaries do not wait
    /// for others.
    pub(super) fn start_summary_writes(&self, handle: &mut ShardHandle, is_urgent: bool) {
        let now = self.clock.now();
        while handle.summary_writes.try_join_next().is_some() {}
        while let Some((number, transaction)) = handle.shard.next_summary_write(is_urgent, now) {
            let (store, events) = (self.store.clone(), self.events.clone());
            let (service, epoch) = (handle.shard.service.clone(), handle.shard.epoch());
            let write = async move {
                let mut delay = RetryDelay::default();
                let outcome = loop {
                    match store.commit(&transaction).await {
                        TransactionOutcome::Refused | TransactionOutcome::Unknown => {
                            let (pause, _) = delay.next_delay(rand::random());
                            tokio::time::sleep(pause).await;
                        }
                        outcome => break outcome,
                    }
                };
                let event = CellEvent::SummariesWritten(service, epoch, number, outcome);
                let _ = events.send(event).await;
            };
            handle.summary_writes.spawn_on(write, &self.runtime);
        }
    }

    /// Sends a removal of summaries; the outcome arrives as an event.
    pub(super) fn remove_summaries(&self, transaction: StoreTransaction) {
        let (store, events) = (self.store.clone(), self.events.clone());
        self.runtime.spawn(async move {
            let outcome = store.commit(&transaction).await;
            let _ = events.send(CellEvent::SummariesRemoved(outcome)).await;
        });
    }

    /// Executes an action of an owned service.
    pub(super) fn perform(
        &self,
        handle: &mut ShardHandle,
        action: PipelineAction,
        members: &BTreeMap<String, HttpEndpoint>,
        table: &mut AdvisorTable,
        daemon: &str,
    ) {
        let kind = match &action {
            PipelineAction::Start(_) => "start",
            PipelineAction::Stop(_) => "stop",
            PipelineAction::Renew(_) => "renewal",
            PipelineAction::Pace(_) => "pace",
            PipelineAction::Ask(_) => "advice",
            PipelineAction::Log(_) => "",
        };
        if !kind.is_empty() {
            self.metrics.record_order(kind);
        }
        match handle.orders.send(action) {
            Some(PipelineAction::Ask(order)) => self.request(handle, order, members, table, daemon),
            Some(PipelineAction::Log(note)) => {
                // Reported ends are counted as they arrive.
                if let auburnsaddle_core::PipelineNote::RunEnded { end: None, .. } = &note {
                    self.metrics.record_run_end(None);
                }
                let (service, epoch) = (&handle.shard.service, handle.shard.epoch());
                log_note(service, epoch, &note, &self.metrics);
            }
            _ => {}
        }
    }

    /// Requests advice about a step, from this daemon or through a peer.
    fn request(
        &self,
        handle: &ShardHandle,
        order: AdviceOrder,
        members: &BTreeMap<String, HttpEndpoint>,
        table: &mut AdvisorTable,
        daemon: &str,
    ) {
        let own = daemon.to_owned();
        let daemons = members.keys().chain([&own]).collect();
        let Some((advisor, time_limit)) = table.assign(&daemons, &order, self.clock.now()) else {
            return;
        };
        let peer = members.get(&advisor).filter(|_| advisor != own).cloned();
        let cost_ms = expected_answer_ms(&order);
        let (advice, events) = (self.advice.clone(), self.events.clone());
        let clock = self.clock;
        let (service, epoch) = (handle.shard.service.clone(), handle.shard.epoch());
        self.runtime.spawn(async move {
            let report = request_advice(advice.as_ref(), peer.as_ref(), &order, time_limit).await;
            let outcome = AdviceOutcome {
                daemon: advisor,
                cost_ms,
                step: order.step,
                report,
                arrived_at: clock.now(),
            };
            let _ = events
                .send(CellEvent::Advised(service, epoch, outcome))
                .await;
        });
    }

    /// Records the metrics of an event.
    pub(super) fn record_event(&self, event: &PipelineEvent) {
        match event {
            PipelineEvent::StartAnswered(_, _, answer) => self.metrics.record_start(answer.result),
            PipelineEvent::LeaseRenewed(_, _, report) => {
                for ended in &report.ended {
                    self.metrics.record_run_end(Some(ended.end));
                }
            }
            _ => {}
        }
    }
}
