//! The control thread: its state, its event loop and the takeover of services.

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

use auburnsaddle_core::{
    PipelineEvent, PipelineId, PipelinePhase, ServiceId, TeamTable, WallClock,
};
use auburnsaddle_platform::{HttpEndpoint, KeyLease, TransactionOutcome};
use serde_json::json;
use tokio::{
    sync::mpsc,
    time::{Instant, timeout_at},
};

use super::{
    effects::{CellEffects, ShardHandle},
    handover::PendingDrain,
    messages::{CellEvent, JobLookup},
};
use crate::{
    job_table::{EndedJobs, JobSummary, JobTable},
    pipelines::{
        AcquireOutcome, AdvisorTable, CellKey, CommitStatus, DaemonRegistration, JobNotice,
        OwnedShard, ShardSettings, count_advisors,
    },
    session::{LeaseConfirmation, LeaseUpdate, PrefixUpdate},
    telemetry::unix_ms,
    witness::{EpochNotice, EpochRegister},
};

/// Interval between ticks, which check deadlines, readiness and services without an
/// owner.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Largest number of events that are handled before tasks are placed.
const MAX_EVENT_BATCH: usize = 256;

/// Delay of a takeover for each daemon that ranks before this one as the new owner.
const RANK_TAKEOVER_DELAY: Duration = Duration::from_millis(60);

/// Delay of a takeover for each service that this daemon owns already.
const SHARD_TAKEOVER_DELAY: Duration = Duration::from_millis(300);

/// How long the daemon stays ready after its lease has expired. In an outage of the
/// store all daemons lose their leases, and all would become unready at once.
const STORE_OUTAGE_GRACE: Duration = Duration::from_secs(2);

/// Shortest time from the start of one pass of a service to the next, as a multiple of
/// the time that the pass takes. It limits the passes of a service to a quarter of
/// the thread's time, so that renewals and reports are still handled on a host with
/// little processor time.
const PASS_INTERVAL_FACTOR: u32 = 4;

/// The settings that the control thread uses.
#[derive(Clone, Debug)]
pub(super) struct ControlSettings {
    pub(super) daemon: String,
    pub(super) shard: ShardSettings,
    /// Processors of this daemon, in thousandths of a core.
    pub(super) cpu_milli: u64,
}

/// The owner of a service, and the revision of the owner's key in the store.
#[derive(Clone, Debug)]
pub(super) struct KnownOwner {
    pub(super) daemon: String,
    pub(super) revision: u64,
}

/// The state of the control thread.
#[derive(Debug)]
pub(super) struct CellControl {
    pub(super) settings: ControlSettings,
    pub(super) effects: CellEffects,
    /// Whether the daemon is ready; read by the readiness endpoint.
    ready: Arc<AtomicBool>,
    pub(super) jobs: JobTable,
    /// Ended jobs, by their summaries in the store.
    pub(super) ended: EndedJobs,
    pub(super) members: BTreeMap<String, HttpEndpoint>,
    /// Processors of each daemon, in thousandths of a core.
    pub(super) cpu_by_daemon: BTreeMap<String, u64>,
    pub(super) registrations: BTreeMap<String, DaemonRegistration>,
    pub(super) owners: BTreeMap<ServiceId, KnownOwner>,
    /// Services that need an owner: those of the manifest and of all known jobs.
    pub(super) services: BTreeSet<ServiceId>,
    /// Whether owners and members have been read from the store.
    pub(super) has_membership: bool,
    lease: Option<KeyLease>,
    /// Revision of this daemon's registration in the store; 0 while it has no lease.
    pub(super) registration: u64,
    /// The latest confirmation of the lease.
    lease_confirmation: LeaseConfirmation,
    /// The ownerships that other daemons and this one have announced.
    pub(super) epochs: EpochRegister,
    /// Services without an owner, and when this daemon starts their takeover.
    takeover_times: BTreeMap<ServiceId, Duration>,
    /// Services whose takeover has no outcome yet.
    acquiring: BTreeSet<ServiceId>,
    /// The services that this daemon owns.
    pub(super) shards: BTreeMap<ServiceId, ShardHandle>,
    /// When this daemon last began to hand each service over.
    pub(super) handed_over_at: BTreeMap<ServiceId, Duration>,
    advisors: AdvisorTable,
    pub(super) manifest_version: Option<u64>,
    /// Revision at which the manifest was read last.
    manifest_revision: u64,
    /// Terms of the teams in the manifest.
    pub(super) teams: Arc<TeamTable>,
    pub(super) drain: Option<PendingDrain>,
    pub(super) is_draining: bool,
    wall_clock: WallClock,
}

/// Returns the other daemons in the order in which they relay calls to the store.
///
/// Failure mode: the store is unreachable for a third of the daemons, and the others
/// relay all their calls. Daemons with more processors come first, and equal ones in an
/// order that differs for each sender, so that the calls are spread.
pub(super) fn relay_order<'a>(own: &str, cpu_by_daemon: &'a BTreeMap<String, u64>) -> Vec<&'a str> {
    let order = cpu_by_daemon.iter().filter(|(daemon, _)| *daemon != own);
    let order: BTreeSet<(Reverse<u64>, u64, &str)> = order
        .map(|(daemon, cpu_milli)| {
            let mut hasher = DefaultHasher::new();
            (own, daemon).hash(&mut hasher);
            (Reverse(*cpu_milli), hasher.finish(), daemon.as_str())
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
            jobs: JobTable::default(),
            ended: EndedJobs::default(),
            members: BTreeMap::new(),
            cpu_by_daemon: BTreeMap::new(),
            registrations: BTreeMap::new(),
            owners: BTreeMap::new(),
            services: BTreeSet::new(),
            has_membership: false,
            lease: None,
            registration: 0,
            lease_confirmation: LeaseConfirmation::default(),
            epochs: EpochRegister::default(),
            takeover_times: BTreeMap::new(),
            acquiring: BTreeSet::new(),
            shards: BTreeMap::new(),
            handed_over_at: BTreeMap::new(),
            advisors: AdvisorTable::default(),
            manifest_version: None,
            manifest_revision: 0,
            teams: Arc::default(),
            drain: None,
            is_draining: false,
            wall_clock: WallClock::default(),
        }
    }

    /// Handles events until all senders are dropped.
    pub(super) async fn run(mut self, mut events: mpsc::Receiver<CellEvent>) {
        let mut next_tick = Instant::now();
        loop {
            let wake = next_tick.min(Instant::now() + self.time_until_next_pass());
            match timeout_at(wake, events.recv()).await {
                Ok(Some(event)) => {
                    self.handle(event);
                    for _ in 0..MAX_EVENT_BATCH {
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
            self.run_due_passes();
        }
    }

    /// Returns the time until the next pass is due, or a tick if no service needs one.
    fn time_until_next_pass(&self) -> Duration {
        let now = self.effects.clock.now();
        let pending = self.shards.values().filter(|handle| handle.has_new_events);
        let due = pending.map(|handle| handle.next_pass_at.saturating_sub(now));
        due.min().unwrap_or(TICK_INTERVAL)
    }

    pub(super) fn handle(&mut self, event: CellEvent) {
        let now = self.effects.clock.now();
        match event {
            CellEvent::Pipeline(service, epoch, event) => {
                self.effects.record_event(&event);
                self.dispatch_event(&service, epoch, event);
            }
            CellEvent::Lease(update) => self.handle_lease_update(update),
            CellEvent::Membership(PrefixUpdate::Snapshot(items)) => self.reset_membership(items),
            CellEvent::Membership(PrefixUpdate::Changes(changes)) => {
                for change in changes {
                    self.apply_change(change);
                }
                self.update_predecessors();
                self.update_witnesses();
            }
            CellEvent::Summaries(update) => self.apply_summaries(update),
            CellEvent::Jobs(service, epoch, update) => {
                let handle = self.shards.get_mut(&service);
                let Some(handle) = handle.filter(|handle| handle.shard.epoch() == epoch) else {
                    return;
                };
                for event in handle.apply_jobs(update) {
                    self.dispatch_event(&service, epoch, event);
                }
            }
            CellEvent::Workers(service, epoch, update) => {
                let handle = self.shards.get_mut(&service);
                let Some(handle) = handle.filter(|handle| handle.shard.epoch() == epoch) else {
                    return;
                };
                for event in handle.apply_worker_list(update, now) {
                    self.dispatch_event(&service, epoch, event);
                }
            }
            CellEvent::Manifest(manifest, revision) => {
                self.manifest_revision = revision;
                if let Some(manifest) = manifest {
                    self.update_manifest(&manifest);
                }
            }
            CellEvent::Quotas(service, epoch, update) => {
                self.apply_quota_update(&service, epoch, update);
            }
            CellEvent::Released(service, epoch, outcome) => {
                self.finish_release(&service, epoch, &outcome);
            }
            CellEvent::Acquired(service, lease, outcome) => {
                self.finish_takeover(&service, lease, outcome);
            }
            CellEvent::Committed(service, epoch, outcome) => {
                self.finish_commit(&service, epoch, &outcome);
            }
            CellEvent::SummariesWritten(service, epoch, number, outcome) => {
                let handle = self.shards.get_mut(&service);
                if let Some(handle) = handle.filter(|handle| handle.shard.epoch() == epoch) {
                    handle.shard.finish_summary_write(number, &outcome, now);
                    handle.has_new_events = true;
                }
            }
            CellEvent::SummariesRemoved(outcome) => {
                let summary_key = |id| CellKey::Summary(id).path();
                self.ended.finish_removal(&outcome, summary_key);
            }
            CellEvent::Advised(service, epoch, outcome) => {
                let (daemon, is_answered) = (&outcome.daemon, outcome.report.is_some());
                self.advisors
                    .finish(daemon, outcome.cost_ms, is_answered, now);
                let event =
                    PipelineEvent::AdviceAnswered(outcome.step, outcome.report, outcome.arrived_at);
                self.dispatch_event(&service, epoch, event);
            }
            CellEvent::JobStored(notice) => match self.peer_owner(&notice.service) {
                Some(owner) => self.effects.notices.send(owner, notice),
                None => self.apply_notice(notice),
            },
            CellEvent::PeerNotices(notices) => {
                for notice in notices {
                    self.apply_notice(notice);
                }
            }
            CellEvent::JobAccepted(id, summary) => self.jobs.insert(id, summary),
            CellEvent::EpochAnnounced(notice, reply) => {
                let answer = self.answer_notice(&notice);
                // The send fails only if the announcing daemon no longer waits.
                drop(reply.send(answer));
            }
            CellEvent::EpochAnswered(service, epoch, sent_at, reply) => {
                self.handle_witness_reply(&service, epoch, sent_at, &reply);
            }
            // The send fails only if the requester no longer waits for the reply.
            CellEvent::GetSummary(id, reply) => drop(reply.send(self.jobs.get(id).cloned())),
            CellEvent::FindJob(id, reply) => drop(reply.send(self.find_job(id))),
            CellEvent::FindOwner(service, reply) => drop(reply.send(self.peer_owner(&service))),
            CellEvent::CountWaiting(queue, reply) => drop(reply.send(self.jobs.waiting(&queue))),
            CellEvent::Flush(reply) => drop(reply.send(())),
            CellEvent::Dump(reply) => drop(reply.send(self.dump())),
            CellEvent::Drain(reply) => self.begin_drain(reply, now),
        }
    }

    /// Handles the outcome of a commit: executes what waited for it, sends it again, or
    /// gives up the service.
    fn finish_commit(&mut self, service: &ServiceId, epoch: u64, outcome: &TransactionOutcome) {
        let now = self.effects.clock.now();
        let handle = self.shards.get_mut(service);
        let Some(handle) = handle.filter(|handle| handle.shard.epoch() == epoch) else {
            return;
        };
        let finished = handle.shard.finish_commit(outcome, now);
        match finished.status {
            CommitStatus::Durable => {
                handle.is_committing = false;
                handle.commit_delay.reset();
                self.effects.metrics.record_commit(finished.elapsed);
            }
            CommitStatus::Retry => self.effects.retry_commit(handle),
            CommitStatus::Replaced => {
                self.drop_shard(service, "another daemon's commit came first");
                return;
            }
        }
        for (id, summary) in finished.summaries {
            self.jobs.insert(id, summary);
        }
        self.perform(service, finished.actions);
    }

    /// Returns the summary of a job and, until the job ends, the endpoint of the owner
    /// if that is another daemon.
    fn find_job(&self, id: PipelineId) -> JobLookup {
        let summary = self.jobs.get(id).cloned();
        let open = summary.as_ref().filter(|row| !row.phase.is_final());
        let owner = open.and_then(|row| self.peer_owner(&row.service));
        JobLookup { summary, owner }
    }

    /// Returns the endpoint of the owner of a service if that is another daemon.
    fn peer_owner(&self, service: &ServiceId) -> Option<HttpEndpoint> {
        let owner = self.owners.get(service)?;
        let is_peer = owner.daemon != self.settings.daemon;
        let endpoint = self.members.get(&owner.daemon).filter(|_| is_peer);
        endpoint.cloned()
    }

    /// Applies a notice about a job of a service that this daemon owns.
    fn apply_notice(&mut self, notice: JobNotice) {
        let service = notice.service.clone();
        let Some(handle) = self.shards.get_mut(&service) else {
            return;
        };
        let epoch = handle.shard.epoch();
        let Some(event) = handle.shard.apply_notice(notice) else {
            return;
        };
        if let PipelineEvent::Stored(id, spec, _) = &event {
            let summary = JobSummary::new(spec, PipelinePhase::Queued);
            self.jobs.insert(*id, summary);
        }
        self.dispatch_event(&service, epoch, event);
    }

    /// Passes an event to an owned service and executes the resulting actions. Ignores
    /// events of an earlier epoch.
    pub(super) fn dispatch_event(&mut self, service: &ServiceId, epoch: u64, event: PipelineEvent) {
        let now = self.effects.clock.now();
        let handle = self.shards.get_mut(service);
        let Some(handle) = handle.filter(|handle| handle.shard.epoch() == epoch) else {
            return;
        };
        handle.has_new_events = true;
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

    /// Runs the passes that are due: places tasks and sends commits. Completes a pending
    /// drain.
    pub(super) fn run_due_passes(&mut self) {
        let now = self.effects.clock.now();
        let due = |handle: &ShardHandle| handle.has_new_events && now >= handle.next_pass_at;
        let pending = self.shards.iter().filter(|(_, handle)| due(handle));
        let pending: Vec<ServiceId> = pending.map(|(service, _)| service.clone()).collect();
        for service in pending {
            let handle = self.shards.get_mut(&service);
            let handle = handle.filter(|handle| handle.handover.is_none() && !self.is_draining);
            let actions = handle.map(|handle| handle.shard.state.schedule(now));
            self.perform(&service, actions.unwrap_or_default());
            if let Some(handle) = self.shards.get_mut(&service) {
                handle.has_new_events = false;
                self.effects.start_commit(handle);
                if !self.is_draining {
                    self.effects
                        .start_quota_calls(handle, self.manifest_revision);
                }
                self.effects.start_summary_writes(handle, self.is_draining);
                let elapsed = self.effects.clock.now().saturating_sub(now);
                handle.next_pass_at = now + elapsed * PASS_INTERVAL_FACTOR;
            }
        }
        self.continue_drain(now);
    }

    /// Returns the time of day by which scheduled work is due, in ms since 1970.
    fn wall_ms(&mut self) -> u64 {
        self.wall_clock.read(unix_ms(), self.effects.clock.now())
    }

    /// Checks deadlines, updates the gauges and the readiness, and starts takeovers.
    pub(super) fn tick(&mut self) {
        let now = self.effects.clock.now();
        let wall_ms = self.wall_ms();
        let services: Vec<ServiceId> = self.shards.keys().cloned().collect();
        for service in services {
            let Some(handle) = self.shards.get_mut(&service) else {
                continue;
            };
            let epoch = handle.shard.epoch();
            handle.shard.release_expired_summaries(now);
            let mut events = handle.delist_expired_workers(now);
            let (quick, slow) = count_advisors(self.members.len().max(1));
            events.push(PipelineEvent::AdvisorsCounted(quick, slow));
            events.push(PipelineEvent::Tick(wall_ms));
            for event in events {
                self.dispatch_event(&service, epoch, event);
            }
        }
        let loads = self.shards.iter();
        let loads = loads.map(|(service, handle)| (service.clone(), handle.shard.load()));
        self.effects.metrics.set_loads(loads.collect());
        self.report_team_usage();
        let valid_until = self.lease_confirmation.valid_until;
        let has_store = self.has_membership && now < valid_until + STORE_OUTAGE_GRACE;
        let is_ready = self.manifest_version.is_some() && has_store && !self.is_draining;
        if self.ready.swap(is_ready, Ordering::Relaxed) != is_ready {
            log::info!(
                is_ready, manifest_version:? = self.manifest_version, has_store,
                is_draining = self.is_draining;
                "readiness changed"
            );
        }
        if !self.is_draining {
            self.hand_over_services(now);
        }
        self.claim_vacant_services(now);
        self.update_predecessors();
        self.announce_epochs(now);
        self.remove_ended_summaries(now);
    }

    /// Removes summaries of ended jobs of the owned services that no commit removes, such as
    /// those of jobs that ended under an earlier owner.
    fn remove_ended_summaries(&mut self, now: Duration) {
        if self.is_draining || self.effects.route.is_unavailable() {
            return;
        }
        let shards = &self.shards;
        let is_removable = |id, service: &ServiceId| {
            let handle = shards.get(service);
            handle.is_some_and(|handle| !handle.shard.keeps_summary(id))
        };
        let retention = self.settings.shard.summary_retention;
        let summary_key = |id| CellKey::Summary(id).path();
        let removal = self
            .ended
            .next_removal(retention, now, is_removable, summary_key);
        if let Some(transaction) = removal {
            self.effects.remove_summaries(transaction);
        }
    }

    /// Starts the takeover of services without an owner whose delay has passed.
    fn claim_vacant_services(&mut self, now: Duration) {
        let Some(lease) = self.lease else {
            return;
        };
        let valid_until = self.lease_confirmation.valid_until;
        if self.is_draining || !self.has_membership || now >= valid_until {
            return;
        }
        for service in self.services.clone() {
            let owner = self.owners.get(&service);
            let is_claimable = owner.is_none_or(|owner| owner.daemon == self.settings.daemon);
            let is_held = self.shards.contains_key(&service) || self.acquiring.contains(&service);
            if !is_claimable || is_held {
                self.takeover_times.remove(&service);
                continue;
            }
            let revision = owner.map_or(0, |owner| owner.revision);
            let due = now + self.takeover_delay(&service, revision > 0);
            let due = *self.takeover_times.entry(service.clone()).or_insert(due);
            if now >= due {
                self.takeover_times.remove(&service);
                self.acquiring.insert(service.clone());
                let witnesses = self.witnesses(&service);
                let daemon = &self.settings.daemon;
                self.effects
                    .start_takeover(service, daemon, lease, revision, witnesses);
            }
        }
    }

    /// Returns how long this daemon waits before a takeover. Daemons with more processors
    /// come first, and equal ones in the order of a hash; daemons that own services wait
    /// longer. There is no delay if the store still lists this daemon as the owner, for
    /// example after a restart.
    fn takeover_delay(&self, service: &ServiceId, is_listed_owner: bool) -> Duration {
        if is_listed_owner {
            return Duration::ZERO;
        }
        let weight = |daemon: &str| {
            let mut hasher = DefaultHasher::new();
            (service.as_ref(), daemon).hash(&mut hasher);
            hasher.finish()
        };
        let own = (self.settings.cpu_milli, weight(&self.settings.daemon));
        let before = self.cpu_by_daemon.iter();
        let before = before.filter(|(daemon, cpu_milli)| (**cpu_milli, weight(daemon)) > own);
        let rank = u32::try_from(before.count()).unwrap_or(u32::MAX);
        let owned = u32::try_from(self.shards.len() + self.acquiring.len()).unwrap_or(u32::MAX);
        RANK_TAKEOVER_DELAY.saturating_mul(rank) + SHARD_TAKEOVER_DELAY.saturating_mul(owned)
    }

    /// Handles the outcome of a takeover under a lease; after a success, starts to schedule
    /// the service. If the lease has ended meanwhile, so has the ownership.
    fn finish_takeover(&mut self, service: &ServiceId, lease: u64, outcome: AcquireOutcome) {
        let now = self.effects.clock.now();
        self.acquiring.remove(service);
        if self.lease.is_none_or(|current| current.id != lease) {
            log::warn!(
                service = service.as_ref(), lease;
                "the lease of a takeover ended before the state of the service was read"
            );
            return;
        }
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
        let mut watches = self.effects.watch_shard(&loaded);
        if self.settings.shard.enforces_caps {
            watches.push(self.effects.watch_quotas(service, epoch));
        }
        let shard = OwnedShard::new(*loaded, self.settings.shard, now);
        let mut handle = self
            .effects
            .create_shard_handle(shard, workers.clone(), watches);
        let confirmed = handle.confirm_ownership(self.lease_confirmation);
        self.shards.insert(service.clone(), handle);
        let workers = workers.into_iter().map(PipelineEvent::Listed);
        let cancelled = cancelled.into_iter().map(PipelineEvent::Cancelled);
        let tick = PipelineEvent::Tick(self.wall_ms());
        let teams = PipelineEvent::TeamsChanged(Arc::clone(&self.teams));
        let events = [teams, tick, confirmed]
            .into_iter()
            .chain(cancelled)
            .chain(workers);
        for event in events {
            self.dispatch_event(service, epoch, event);
        }
        self.update_predecessors();
        // Daemons may have joined during the takeover.
        self.update_witnesses();
        // This daemon may be a witness of an earlier owner.
        let notice = EpochNotice {
            service: service.clone(),
            epoch,
        };
        let answer = self.answer_notice(&notice);
        self.handle_witness_reply(service, epoch, now, &answer);
        self.announce_epochs(now);
    }

    /// Stops scheduling a service. The owner's key in the store remains until the lease
    /// ends.
    pub(super) fn drop_shard(&mut self, service: &ServiceId, reason: &str) {
        if let Some(handle) = self.shards.remove(service) {
            log::warn!(
                service = service.as_ref(), epoch = handle.shard.epoch(), reason;
                "this daemon no longer owns the service"
            );
        }
    }

    fn handle_lease_update(&mut self, update: LeaseUpdate) {
        match update {
            LeaseUpdate::Extended(confirmation) => {
                self.lease_confirmation = confirmation;
                let shards = self.shards.iter_mut();
                let confirmations = shards.map(|(service, handle)| {
                    let event = handle.confirm_ownership(confirmation);
                    (service.clone(), handle.shard.epoch(), event)
                });
                let confirmations: Vec<(ServiceId, u64, PipelineEvent)> = confirmations.collect();
                for (service, epoch, event) in confirmations {
                    self.dispatch_event(&service, epoch, event);
                }
            }
            LeaseUpdate::Granted(lease, registration) => {
                self.lease = Some(lease);
                self.registration = registration;
            }
            LeaseUpdate::Lost => {
                self.lease = None;
                self.registration = 0;
                let services: Vec<ServiceId> = self.shards.keys().cloned().collect();
                for service in services {
                    self.drop_shard(&service, "the store ended the lease");
                }
            }
        }
    }

    /// Returns the state of the thread as JSON.
    pub(super) fn dump(&self) -> String {
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
            "known_jobs": self.jobs.len(),
            "draining": self.is_draining,
            "owned": shards.collect::<Vec<_>>(),
        })
        .to_string()
    }
}
