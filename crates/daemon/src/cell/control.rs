//! The control thread: its state and its loop.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    hash::{DefaultHasher, Hash, Hasher},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use auburnsaddle_core::{PipelineConfig, PipelineEvent, PipelineId, ServiceId};
use auburnsaddle_platform::{HttpEndpoint, ItemChange, KeyLease, StoreItem};
use serde_json::json;
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, timeout_at},
};

use super::{
    effects::{CellEffects, ShardHandle},
    messages::{CellEvent, JobLookup},
};
use crate::{
    board::{JobBoard, JobSummary},
    pipelines::{AcquireOutcome, AdvisorTable, CellKey, CommitVerdict, MemberEntry, OwnedShard},
    pipelines::{OwnerEntry, decode_record, split_advisors},
    session::{FeedNews, SessionNews},
    telemetry::unix_ms,
};

/// Time between looks at deadlines.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Events that are handled before the next placements.
const EVENT_BATCH: usize = 256;

/// Delay of a takeover for each daemon that should be the owner rather than this one.
const RANK_DELAY: Duration = Duration::from_millis(60);

/// Delay of a takeover for each service that this daemon owns already.
const OWNED_DELAY: Duration = Duration::from_millis(300);

/// The daemon counts as ready for this long after its lease has run out, as the
/// store may be away for everyone.
const READY_WITHOUT_STORE: Duration = Duration::from_secs(2);

/// How long a drain waits for open commits.
const DRAIN_TIME: Duration = Duration::from_millis(900);

/// One part in so many of the time may go into placing tasks, so that renewals and
/// reports are handled on a host with little processor time.
const PASS_SHARE: u32 = 4;

/// Settings of the control thread.
#[derive(Clone, Debug)]
pub(super) struct ControlSettings {
    pub(super) daemon: String,
    pub(super) config: PipelineConfig,
    pub(super) status_retention: Duration,
    pub(super) cpu_milli: u64,
}

/// The owner of a service as the store shows it.
#[derive(Clone, Debug)]
struct KnownOwner {
    daemon: String,
    revision: u64,
}

/// A drain that waits for open commits.
#[derive(Debug)]
struct OpenDrain {
    reply: oneshot::Sender<()>,
    until: Duration,
}

/// The state of the control thread.
#[derive(Debug)]
pub(super) struct CellControl {
    settings: ControlSettings,
    effects: CellEffects,
    ready: Arc<AtomicBool>,
    board: JobBoard,
    members: BTreeMap<String, HttpEndpoint>,
    /// Processors of each daemon, in thousandths of a core.
    strengths: BTreeMap<String, u64>,
    owners: BTreeMap<ServiceId, KnownOwner>,
    services: BTreeSet<ServiceId>,
    has_public: bool,
    session: Option<KeyLease>,
    confirmed_until: Duration,
    vacancies: BTreeMap<ServiceId, Duration>,
    acquiring: BTreeSet<ServiceId>,
    shards: BTreeMap<ServiceId, ShardHandle>,
    advisors: AdvisorTable,
    manifest_version: Option<u64>,
    drain: Option<OpenDrain>,
    is_draining: bool,
}

/// Returns the other daemons in the order in which they carry calls to the store.
///
/// Load pattern: the store is cut off from a third of the daemons, and all their calls
/// go through the others. Those with the most processor time carry them, and each
/// daemon begins with another one.
pub(super) fn relay_order<'a>(own: &str, strengths: &'a BTreeMap<String, u64>) -> Vec<&'a str> {
    let order = strengths.iter().filter(|(daemon, _)| *daemon != own);
    let order: BTreeSet<(Reverse<u64>, u64, &str)> = order
        .map(|(daemon, strength)| {
            let mut hasher = DefaultHasher::new();
            (own, daemon).hash(&mut hasher);
            (Reverse(*strength), hasher.finish(), daemon.as_str())
        })
        .collect();
    order.into_iter().map(|(_, _, daemon)| daemon).collect()
}

impl CellControl {
    pub(super) fn new(
        settings: ControlSettings,
        effects: CellEffects,
        ready: Arc<AtomicBool>,
    ) -> Self {
        Self {
            settings,
            effects,
            ready,
            board: JobBoard::default(),
            members: BTreeMap::new(),
            strengths: BTreeMap::new(),
            owners: BTreeMap::new(),
            services: BTreeSet::new(),
            has_public: false,
            session: None,
            confirmed_until: Duration::ZERO,
            vacancies: BTreeMap::new(),
            acquiring: BTreeSet::new(),
            shards: BTreeMap::new(),
            advisors: AdvisorTable::default(),
            manifest_version: None,
            drain: None,
            is_draining: false,
        }
    }

    /// Handles events until all senders are gone.
    pub(super) async fn run(mut self, mut events: mpsc::Receiver<CellEvent>) {
        let mut next_tick = Instant::now();
        loop {
            let wake = next_tick.min(Instant::now() + self.until_next_pass());
            match timeout_at(wake, events.recv()).await {
                Ok(Some(event)) => {
                    self.handle(event);
                    for _ in 0..EVENT_BATCH {
                        match events.try_recv() {
                            Ok(event) => self.handle(event),
                            Err(_) => break,
                        }
                    }
                }
                Ok(None) => return,
                Err(_) => {}
            }
            if Instant::now() >= next_tick {
                self.tick();
                next_tick = Instant::now() + TICK_INTERVAL;
            }
            self.advance_shards();
        }
    }

    /// Returns the time until tasks can be placed that wait for the next pass.
    fn until_next_pass(&self) -> Duration {
        let now = self.effects.clock.now();
        let touched = self.shards.values().filter(|handle| handle.is_touched);
        let due = touched.map(|handle| handle.next_pass.saturating_sub(now));
        due.min().unwrap_or(TICK_INTERVAL)
    }

    fn handle(&mut self, event: CellEvent) {
        let now = self.effects.clock.now();
        match event {
            CellEvent::Pipeline(service, epoch, event) => {
                self.effects.note_event(&event);
                self.feed_shard(&service, epoch, event);
            }
            CellEvent::Session(news) => self.note_session(news),
            CellEvent::Public(FeedNews::Snapshot(items)) => self.reset_public(items),
            CellEvent::Public(FeedNews::Changes(changes)) => {
                for change in changes {
                    self.note_public(change);
                }
            }
            CellEvent::Summaries(news) => {
                let changes = match news {
                    FeedNews::Snapshot(items) => items.into_iter().map(ItemChange::Put).collect(),
                    FeedNews::Changes(changes) => changes,
                };
                for change in changes {
                    self.note_public(change);
                }
            }
            CellEvent::Jobs(service, epoch, news) => {
                for event in ShardHandle::job_events(news) {
                    self.feed_shard(&service, epoch, event);
                }
            }
            CellEvent::Workers(service, epoch, news) => {
                let handle = self.shards.get_mut(&service);
                let Some(handle) = handle.filter(|handle| handle.shard.epoch() == epoch) else {
                    return;
                };
                for event in handle.worker_events(news, now) {
                    self.feed_shard(&service, epoch, event);
                }
            }
            CellEvent::Manifest(manifest) => {
                self.manifest_version = Some(manifest.version);
                let routes = manifest.routes.iter();
                let services = routes.map(|route| route.policy.service.clone());
                self.services.extend(services);
            }
            CellEvent::Acquired(service, outcome) => self.note_acquired(&service, outcome),
            CellEvent::Committed(service, epoch, outcome) => {
                let handle = self.shards.get_mut(&service);
                let Some(handle) = handle.filter(|handle| handle.shard.epoch() == epoch) else {
                    return;
                };
                let finished = handle.shard.finish_commit(&outcome, now);
                match finished.verdict {
                    CommitVerdict::Durable => {
                        handle.is_committing = false;
                        handle.commit_delay.reset();
                        self.effects.metrics.note_commit(finished.elapsed);
                    }
                    CommitVerdict::Repeat => self.effects.repeat_commit(handle),
                    CommitVerdict::Replaced => {
                        self.drop_shard(&service, "another daemon's commit came first");
                        return;
                    }
                }
                for (id, summary) in finished.summaries {
                    self.board.insert(id, summary);
                }
                self.perform(&service, finished.actions);
            }
            CellEvent::Advised(service, epoch, outcome) => {
                self.advisors.finish(&outcome.daemon, outcome.cost_ms);
                let event =
                    PipelineEvent::AdviceAnswered(outcome.step, outcome.report, outcome.arrived_at);
                self.feed_shard(&service, epoch, event);
            }
            CellEvent::Accepted(id, summary) => self.board.insert(id, summary),
            // A caller that has gone needs no answer.
            CellEvent::Summary(id, reply) => drop(reply.send(self.board.get(id).cloned())),
            CellEvent::Lookup(id, reply) => drop(reply.send(self.look_up(id))),
            CellEvent::Waiting(queue, reply) => drop(reply.send(self.board.waiting(&queue))),
            CellEvent::Dump(reply) => drop(reply.send(self.dump())),
            CellEvent::Drain(reply) => {
                self.is_draining = true;
                let until = now + DRAIN_TIME;
                self.drain = Some(OpenDrain { reply, until });
            }
        }
    }

    fn look_up(&self, id: PipelineId) -> JobLookup {
        let summary = self.board.get(id).cloned();
        let open = summary.as_ref().filter(|row| !row.phase.is_final());
        let owner = open.and_then(|row| self.owners.get(&row.service));
        let owner = owner.filter(|owner| owner.daemon != self.settings.daemon);
        let owner = owner.and_then(|owner| self.members.get(&owner.daemon).cloned());
        JobLookup { summary, owner }
    }

    fn feed_shard(&mut self, service: &ServiceId, epoch: u64, event: PipelineEvent) {
        let now = self.effects.clock.now();
        let handle = self.shards.get_mut(service);
        let Some(handle) = handle.filter(|handle| handle.shard.epoch() == epoch) else {
            return;
        };
        handle.is_touched = true;
        let actions = handle.shard.handle(event, now);
        self.perform(service, actions);
    }

    fn perform(&mut self, service: &ServiceId, actions: Vec<auburnsaddle_core::PipelineAction>) {
        let Some(handle) = self.shards.get_mut(service) else {
            return;
        };
        for action in actions {
            self.effects.perform(
                handle,
                action,
                &self.members,
                &mut self.advisors,
                &self.settings.daemon,
            );
        }
    }

    /// Places tasks and sends commits after a series of events.
    fn advance_shards(&mut self) {
        let now = self.effects.clock.now();
        let due = |handle: &ShardHandle| handle.is_touched && now >= handle.next_pass;
        let touched = self.shards.iter().filter(|(_, handle)| due(handle));
        let touched: Vec<ServiceId> = touched.map(|(service, _)| service.clone()).collect();
        for service in touched {
            if !self.is_draining {
                let handle = self.shards.get_mut(&service);
                let actions = handle.map(|handle| handle.shard.state.schedule(now));
                self.perform(&service, actions.unwrap_or_default());
            }
            if let Some(handle) = self.shards.get_mut(&service) {
                handle.is_touched = false;
                self.effects.start_commit(handle);
                let elapsed = self.effects.clock.now().saturating_sub(now);
                handle.next_pass = now + elapsed * PASS_SHARE;
            }
        }
        let is_durable = self.shards.values().all(|handle| handle.shard.is_durable());
        match self.drain.take() {
            Some(drain) if is_durable || now >= drain.until => {
                let services: Vec<ServiceId> = self.shards.keys().cloned().collect();
                for service in services {
                    self.drop_shard(&service, "the daemon is stopping");
                }
                // A process that does not wait any more needs no answer.
                let _ = drain.reply.send(());
            }
            open => self.drain = open,
        }
    }

    fn tick(&mut self) {
        let now = self.effects.clock.now();
        let wall_ms = unix_ms();
        let services: Vec<ServiceId> = self.shards.keys().cloned().collect();
        for service in services {
            let Some(handle) = self.shards.get_mut(&service) else {
                continue;
            };
            let epoch = handle.shard.epoch();
            let mut events = handle.expired_workers(now);
            let (quick, slow) = split_advisors(self.members.len().max(1));
            events.push(PipelineEvent::AdvisorsCounted(quick, slow));
            events.push(PipelineEvent::Tick(wall_ms));
            for event in events {
                self.feed_shard(&service, epoch, event);
            }
        }
        let loads = self.shards.iter();
        let loads = loads.map(|(service, handle)| (service.clone(), handle.shard.load()));
        self.effects.metrics.set_loads(loads.collect());
        let has_store = self.has_public && now < self.confirmed_until + READY_WITHOUT_STORE;
        let is_ready = self.manifest_version.is_some() && has_store && !self.is_draining;
        if self.ready.swap(is_ready, Ordering::Relaxed) != is_ready {
            log::info!(
                is_ready, manifest_version:? = self.manifest_version, has_store,
                is_draining = self.is_draining;
                "readiness changed"
            );
        }
        self.contend(now);
    }

    /// Takes over services without an owner.
    fn contend(&mut self, now: Duration) {
        let Some(lease) = self.session else {
            return;
        };
        if self.is_draining || !self.has_public || now >= self.confirmed_until {
            return;
        }
        for service in self.services.clone() {
            let owner = self.owners.get(&service);
            let is_ours = owner.is_none_or(|owner| owner.daemon == self.settings.daemon);
            let is_held = self.shards.contains_key(&service) || self.acquiring.contains(&service);
            if !is_ours || is_held {
                self.vacancies.remove(&service);
                continue;
            }
            let revision = owner.map_or(0, |owner| owner.revision);
            let due = now + self.takeover_delay(&service, revision > 0);
            let due = *self.vacancies.entry(service.clone()).or_insert(due);
            if now >= due {
                self.vacancies.remove(&service);
                self.acquiring.insert(service.clone());
                self.effects
                    .acquire(service, &self.settings.daemon, lease, revision);
            }
        }
    }

    /// Returns the delay by which daemons take over: those with more processors
    /// first, and equal ones in the order of a hash.
    fn takeover_delay(&self, service: &ServiceId, is_held: bool) -> Duration {
        if is_held {
            return Duration::ZERO;
        }
        let weight = |daemon: &str| {
            let mut hasher = DefaultHasher::new();
            (service.as_ref(), daemon).hash(&mut hasher);
            hasher.finish()
        };
        let own = (self.settings.cpu_milli, weight(&self.settings.daemon));
        let before = self.strengths.iter();
        let before = before.filter(|(daemon, strength)| (**strength, weight(daemon)) > own);
        let rank = u32::try_from(before.count()).unwrap_or(u32::MAX);
        let owned = u32::try_from(self.shards.len() + self.acquiring.len()).unwrap_or(u32::MAX);
        RANK_DELAY.saturating_mul(rank) + OWNED_DELAY.saturating_mul(owned)
    }

    fn note_acquired(&mut self, service: &ServiceId, outcome: AcquireOutcome) {
        let now = self.effects.clock.now();
        self.acquiring.remove(service);
        let loaded = match outcome {
            AcquireOutcome::Acquired(loaded) => loaded,
            AcquireOutcome::Taken => return,
            AcquireOutcome::Failed => {
                log::warn!(service = service.as_ref(); "taking over a service failed");
                return;
            }
        };
        log::info!(
            service = service.as_ref(), epoch = loaded.epoch, jobs = loaded.jobs.len(),
            workers = loaded.workers.len();
            "this daemon owns the service"
        );
        let known = KnownOwner {
            daemon: self.settings.daemon.clone(),
            revision: loaded.revision,
        };
        self.owners.insert(service.clone(), known);
        let epoch = loaded.epoch;
        let workers = loaded.workers.clone();
        let jobs = loaded.jobs.iter().filter(|job| job.is_cancelled);
        let cancelled: Vec<_> = jobs.map(|job| job.id).collect();
        let feeds = self.effects.follow_shard(&loaded);
        let shard = OwnedShard::new(
            *loaded,
            self.settings.config,
            self.settings.status_retention,
            now,
        );
        let handle = self.effects.handle_shard(shard, feeds);
        self.shards.insert(service.clone(), handle);
        let confirmed = PipelineEvent::OwnershipConfirmed(self.confirmed_until);
        let workers = workers.into_iter().map(PipelineEvent::Listed);
        let cancelled = cancelled.into_iter().map(PipelineEvent::Cancelled);
        let tick = PipelineEvent::Tick(unix_ms());
        let events = [tick, confirmed]
            .into_iter()
            .chain(cancelled)
            .chain(workers);
        for event in events {
            self.feed_shard(service, epoch, event);
        }
    }

    fn drop_shard(&mut self, service: &ServiceId, reason: &str) {
        if let Some(handle) = self.shards.remove(service) {
            log::warn!(
                service = service.as_ref(), epoch = handle.shard.epoch(), reason;
                "this daemon no longer owns the service"
            );
        }
    }

    fn note_session(&mut self, news: SessionNews) {
        match news {
            SessionNews::Confirmed(until) => {
                self.confirmed_until = until;
                let shards = self.shards.iter();
                let shards: Vec<(ServiceId, u64)> = shards
                    .map(|(service, handle)| (service.clone(), handle.shard.epoch()))
                    .collect();
                for (service, epoch) in shards {
                    self.feed_shard(&service, epoch, PipelineEvent::OwnershipConfirmed(until));
                }
            }
            SessionNews::Opened(lease) => self.session = Some(lease),
            SessionNews::Lost => {
                self.session = None;
                let services: Vec<ServiceId> = self.shards.keys().cloned().collect();
                for service in services {
                    self.drop_shard(&service, "the store ended the lease");
                }
            }
        }
    }

    fn reset_public(&mut self, items: Vec<StoreItem>) {
        self.has_public = true;
        self.members.clear();
        self.strengths.clear();
        let own = std::mem::take(&mut self.owners);
        for item in items {
            self.note_public(ItemChange::Put(item));
        }
        for (service, owner) in own {
            if !self.owners.contains_key(&service) && owner.daemon == self.settings.daemon {
                self.drop_shard(&service, "the store holds no owner");
            }
        }
    }

    fn note_public(&mut self, change: ItemChange) {
        match change {
            ItemChange::Put(item) => match CellKey::parse(&item.key) {
                Some(CellKey::Summary(id)) => {
                    if let Some(summary) = decode_record::<JobSummary>(&item.key, &item.value) {
                        // Accepted jobs need an owner also when no queue names their
                        // service any more.
                        self.services.insert(summary.service.clone());
                        self.board.insert(id, summary);
                    }
                }
                Some(CellKey::Member(daemon)) => {
                    if let Some(entry) = decode_record::<MemberEntry>(&item.key, &item.value) {
                        self.strengths.insert(daemon.clone(), entry.cpu_milli);
                        self.add_member(daemon, &entry.address);
                    }
                }
                Some(CellKey::Owner(service)) => {
                    if let Some(entry) = decode_record::<OwnerEntry>(&item.key, &item.value) {
                        self.note_owner(service, Some(entry.daemon), item.revision);
                    }
                }
                _ => log::debug!(key = item.key.as_str(); "ignored an unknown key"),
            },
            ItemChange::Removed { key, revision } => match CellKey::parse(&key) {
                Some(CellKey::Summary(id)) => self.board.remove(id),
                Some(CellKey::Member(daemon)) if self.members.remove(&daemon).is_some() => {
                    log::info!(daemon = daemon.as_str(); "a daemon is gone");
                    self.strengths.remove(&daemon);
                    self.publish_peers();
                }
                Some(CellKey::Owner(service)) => self.note_owner(service, None, revision),
                _ => {}
            },
        }
    }

    fn add_member(&mut self, daemon: String, address: &str) {
        let known = self.members.get(&daemon);
        if known.is_some_and(|endpoint| *endpoint.address() == address) {
            return;
        }
        log::info!(daemon = daemon.as_str(), address; "a daemon is up");
        self.members.insert(daemon, HttpEndpoint::new(address));
        self.publish_peers();
    }

    /// Tells the way to the store which daemons can carry calls. Those that have
    /// left the list stay until others come, as this daemon may be the one that
    /// is cut off.
    fn publish_peers(&self) {
        let own = self.settings.daemon.as_str();
        let order = relay_order(own, &self.strengths);
        let peers = order.iter().filter_map(|daemon| self.members.get(*daemon));
        let peers: Vec<HttpEndpoint> = peers.cloned().collect();
        if !peers.is_empty() {
            self.effects.route.set_peers(peers);
        }
    }

    fn note_owner(&mut self, service: ServiceId, daemon: Option<String>, revision: u64) {
        // This daemon may have taken the service over since.
        if self
            .owners
            .get(&service)
            .is_some_and(|owner| owner.revision > revision)
        {
            return;
        }
        let is_self = daemon.as_ref() == Some(&self.settings.daemon);
        if !is_self {
            self.drop_shard(&service, "the store holds another owner or none");
        }
        match daemon {
            Some(daemon) => {
                log::info!(service = service.as_ref(), daemon = daemon.as_str(); "owner known");
                let known = KnownOwner { daemon, revision };
                self.owners.insert(service, known);
            }
            None => {
                self.owners.remove(&service);
            }
        }
    }

    fn dump(&self) -> String {
        let shards = self.shards.iter().map(|(service, handle)| {
            let load = handle.shard.load();
            json!({
                "service": service.as_ref(),
                "epoch": handle.shard.epoch(),
                "jobs": load.pipelines,
                "waiting_steps": load.ready_steps,
                "runs": load.runs,
                "workers": load.workers,
                "answering_workers": load.claimed_workers,
                "uncommitted_jobs": load.dirty,
                "state": handle.shard.state.describe(),
            })
        });
        let owners = self.owners.iter();
        let owners: BTreeMap<&str, &str> = owners
            .map(|(service, owner)| (service.as_ref(), owner.daemon.as_str()))
            .collect();
        json!({
            "daemon": self.settings.daemon,
            "manifest_version": self.manifest_version,
            "members": self.members.keys().collect::<Vec<_>>(),
            "owners": owners,
            "known_jobs": self.board.len(),
            "draining": self.is_draining,
            "owned": shards.collect::<Vec<_>>(),
        })
        .to_string()
    }
}
