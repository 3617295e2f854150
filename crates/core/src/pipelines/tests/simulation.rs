//! A service whose owner, workers, store and advice service are simulated, with faults, in
//! virtual time.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use rand::RngExt;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

use super::{
    fixtures::{INSTANCE_STARTED_MS, WALL_MS},
    sim_worker::{GangAttempt, SimulatedWorker},
};
use crate::{
    AdviceOrder, AdviceReport, PipelineAction, PipelineConfig, PipelineEvent, PipelineId,
    PipelineNote, PipelinePhase, PipelineProgress, PipelineSpec, PipelineState, ProgressCommit,
    RenewalFailure, RenewalOrder, RunKey, StartOrder, StartResult, StepKey, StepWait, StopOrder,
    WorkerId, WorkerListing, types::Epoch,
};

/// Time between two steps of the simulation.
pub(super) const SIMULATION_STEP: Duration = Duration::from_millis(10);

/// Time between two ticks of the owner.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which the store confirms the ownership.
const CONFIRMATION_TERM: Duration = Duration::from_secs(2);

/// Longest time for which an order or an answer is under way without a fault.
const MAX_TRANSIT_MS: u64 = 15;

/// Longest delay that a fault adds to an order or a commit.
const MAX_DELAY_MS: u64 = 1_500;

/// Time until the sender of an order that was lost gives it up.
const ORDER_TIMEOUT: Duration = Duration::from_millis(900);

/// Number of daemons that send requests for quick and for slow decisions.
const ADVISORS: (usize, usize) = (1, 3);

/// Parts of the workers that the advice service allows, by job, in percent.
const ALLOWED_PERCENT: [u64; 3] = [100, 50, 15];

/// A message under way, or work that the store or the advice service has in hand. Answers
/// are for the owner with the epoch of the order.
#[derive(Clone, Debug)]
enum SimMessage {
    /// An event for the owner with this epoch.
    Event(Epoch, PipelineEvent),
    /// An order that reaches its worker. The sender waits for the answer if the flag is set.
    Start(Epoch, StartOrder, bool),
    Stop(Epoch, StopOrder),
    Renew(Epoch, RenewalOrder, Duration),
    /// The answer of the advice service is due.
    Advice(Epoch, AdviceOrder),
    /// A commit becomes durable. Only the current owner has one.
    Commit(ProgressCommit),
}

/// A job in the store, with its durable progress if there is any.
#[derive(Clone, Debug)]
pub(super) struct StoredJob {
    pub(super) spec: Arc<PipelineSpec>,
    progress: Option<PipelineProgress>,
}

/// Returns whether a run fails on a worker.
pub(super) type FailureRule = fn(RunKey, &str) -> bool;

/// The simulated service.
#[derive(Debug)]
pub(super) struct SimulatedService {
    pub(super) rng: ChaCha8Rng,
    pub(super) now: Duration,
    pub(super) owner: PipelineState,
    pub(super) workers: BTreeMap<WorkerId, SimulatedWorker>,
    /// Jobs that are not retired.
    pub(super) jobs: BTreeMap<PipelineId, StoredJob>,
    /// Whether orders, commits, requests and runs fail at random.
    pub(super) is_faulty: bool,
    /// Which runs fail on which workers, at the end of their estimates.
    pub(super) failure_rule: FailureRule,
    /// Until when the store is down.
    pub(super) store_down_until: Duration,
    /// Latest log entry about each step that has waited.
    pub(super) waits: BTreeMap<StepKey, StepWait>,
    /// Number of daemons that send requests for quick and for slow decisions.
    advisors: (usize, usize),
    /// Specifications of all jobs, including those that are retired.
    specs: BTreeMap<PipelineId, Arc<PipelineSpec>>,
    cancelled: BTreeSet<PipelineId>,
    /// Number of runs that were started, by job.
    pub(super) starts: BTreeMap<PipelineId, u32>,
    /// Jobs that have failed.
    pub(super) failed: BTreeSet<PipelineId>,
    epoch: Epoch,
    messages: BTreeMap<(Duration, u64), SimMessage>,
    sent_count: u64,
    has_pending_commit: bool,
}

impl SimulatedService {
    pub(super) fn new(seed: u64, listings: Vec<WorkerListing>) -> Self {
        let now = Duration::from_secs(100);
        let workers = listings.into_iter().zip(0..).map(|(listing, index)| {
            let started_unix_ms = INSTANCE_STARTED_MS + index * 10_000;
            let worker = SimulatedWorker::new(listing, started_unix_ms);
            (worker.listing.worker.clone(), worker)
        });
        let mut service = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now,
            owner: PipelineState::new(pipeline_config(), 1, now),
            workers: workers.collect(),
            jobs: BTreeMap::new(),
            is_faulty: false,
            failure_rule: |_, _| false,
            store_down_until: Duration::ZERO,
            waits: BTreeMap::new(),
            advisors: ADVISORS,
            specs: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            starts: BTreeMap::new(),
            failed: BTreeSet::new(),
            epoch: 0,
            messages: BTreeMap::new(),
            sent_count: 0,
            has_pending_commit: false,
        };
        service.replace_owner();
        service
    }

    /// Returns the wall clock in ms since 1970.
    pub(super) fn wall_ms(&self) -> u64 {
        let since_start = self.now.saturating_sub(Duration::from_secs(100));
        WALL_MS + u64::try_from(since_start.as_millis()).unwrap()
    }

    /// Adds a job.
    pub(super) fn submit(&mut self, id: PipelineId, spec: PipelineSpec) {
        let spec = Arc::new(spec);
        let job = StoredJob {
            spec: Arc::clone(&spec),
            progress: None,
        };
        self.jobs.insert(id, job);
        self.specs.insert(id, Arc::clone(&spec));
        self.handle_event(PipelineEvent::Stored(id, spec, None));
    }

    pub(super) fn cancel(&mut self, id: PipelineId) {
        self.cancelled.insert(id);
        self.handle_event(PipelineEvent::Cancelled(id));
    }

    /// Starts the next owner from what is durable.
    pub(super) fn replace_owner(&mut self) {
        self.settle_pending_commit();
        self.epoch += 1;
        self.owner = PipelineState::new(pipeline_config(), self.epoch, self.now);
        for (id, job) in self.jobs.clone() {
            self.handle_event(PipelineEvent::Stored(id, job.spec, job.progress));
        }
        self.handle_event(PipelineEvent::Tick(self.wall_ms()));
        self.confirm_ownership();
        for id in self.cancelled.clone() {
            self.handle_event(PipelineEvent::Cancelled(id));
        }
        self.set_advisors(self.advisors);
        let listed = self.workers.values().filter(|worker| worker.is_listed);
        let listings: Vec<WorkerListing> = listed.map(|worker| worker.listing.clone()).collect();
        for listing in listings {
            self.handle_event(PipelineEvent::Listed(listing));
        }
    }

    /// Sets the number of daemons that send requests for quick and for slow decisions.
    pub(super) fn set_advisors(&mut self, advisors: (usize, usize)) {
        self.advisors = advisors;
        let (quick, slow) = advisors;
        self.handle_event(PipelineEvent::AdvisorsCounted(quick, slow));
    }

    /// Applies a change to a worker and its entry in the list, and lists it.
    pub(super) fn list_worker(&mut self, id: &WorkerId, change: impl FnOnce(&mut WorkerListing)) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        change(&mut worker.listing);
        worker.is_listed = true;
        let listing = worker.listing.clone();
        self.handle_event(PipelineEvent::Listed(listing));
    }

    pub(super) fn delist_worker(&mut self, id: &WorkerId) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.is_listed = false;
        }
        self.handle_event(PipelineEvent::Delisted(id.clone()));
    }

    /// Breaks the connections to a worker, whose renewals fail.
    pub(super) fn break_connections(&mut self, id: &WorkerId) {
        let worker = self.workers.get_mut(id);
        let epochs = worker.map(SimulatedWorker::drop_renewals);
        for epoch in epochs.unwrap_or_default() {
            let event = PipelineEvent::RenewalFailed(id.clone(), RenewalFailure::Unanswered);
            self.send(ORDER_TIMEOUT, SimMessage::Event(epoch, event));
        }
    }

    /// Returns whether the advice service allows a worker to run a step of the job.
    pub(super) fn is_allowed(&self, step: StepKey, worker: &str) -> bool {
        let hash = worker.bytes().fold(step.pipeline * 31, |hash, byte| {
            hash.wrapping_mul(131).wrapping_add(u64::from(byte))
        });
        let allowed_percent = ALLOWED_PERCENT[usize::try_from(step.pipeline % 3).unwrap()];
        self.specs[&step.pipeline].policy.advice.is_none() || hash % 100 < allowed_percent
    }

    /// Advances the simulation by one step.
    pub(super) fn advance(&mut self) {
        self.now += SIMULATION_STEP;
        self.end_runs();
        while let Some(entry) = self.messages.first_entry()
            && entry.key().0 <= self.now
        {
            let message = entry.remove();
            self.deliver(message);
        }
        if self
            .now
            .as_millis()
            .is_multiple_of(TICK_INTERVAL.as_millis())
        {
            self.confirm_ownership();
            self.handle_event(PipelineEvent::Tick(self.wall_ms()));
        }
        let actions = self.owner.schedule(self.now);
        self.perform(actions);
        self.begin_commit();
    }

    /// Makes the pending commit durable, or drops it if it did not reach the store.
    fn settle_pending_commit(&mut self) {
        self.has_pending_commit = false;
        let is_durable = self.rng.random_bool(0.5);
        let messages = self.messages.iter();
        let pending = messages.filter(|(_, message)| matches!(message, SimMessage::Commit(..)));
        let pending: Vec<(Duration, u64)> = pending.map(|(key, _)| *key).collect();
        for key in pending {
            match self.messages.remove(&key) {
                Some(SimMessage::Commit(commit)) if is_durable => self.store_commit(&commit),
                _ => {}
            }
        }
    }

    fn confirm_ownership(&mut self) {
        if self.now >= self.store_down_until {
            let until = self.now + CONFIRMATION_TERM;
            self.handle_event(PipelineEvent::OwnershipConfirmed(until));
            self.handle_event(PipelineEvent::ExtensionsPermitted(until));
        }
    }

    fn handle_event(&mut self, event: PipelineEvent) {
        let actions = self.owner.handle(event, self.now);
        self.perform(actions);
    }

    fn begin_commit(&mut self) {
        if self.has_pending_commit {
            return;
        }
        if let Some(commit) = self.owner.take_commit(|_| true) {
            self.has_pending_commit = true;
            let delay = self.draw_delay(0.1);
            self.send(delay, SimMessage::Commit(commit));
        }
    }

    fn perform(&mut self, actions: Vec<PipelineAction>) {
        for action in actions {
            match action {
                PipelineAction::Start(order) => self.send_start(order),
                PipelineAction::Stop(order) => self.send_stop(order),
                PipelineAction::Renew(order) => {
                    let (delay, sent_at) = (self.draw_transit(), self.now);
                    self.send(delay, SimMessage::Renew(self.epoch, order, sent_at));
                }
                PipelineAction::Ask(order) => {
                    let worker_count = u32::try_from(order.workers.len()).unwrap();
                    let cost_ms = order.policy.decision_ms
                        + order.policy.per_worker_ms * f64::from(worker_count);
                    let delay = Duration::from_secs_f64(cost_ms / 1_000.0) + self.draw_transit();
                    self.send(delay, SimMessage::Advice(self.epoch, order));
                }
                PipelineAction::Log(PipelineNote::StepWaiting { step, wait, .. }) => {
                    self.waits.insert(step, wait);
                }
                PipelineAction::Pace(_) | PipelineAction::Log(_) => {}
            }
        }
    }

    /// Sends a start order. With a fault, the order or its answer is lost, or the order
    /// arrives after its sender has given it up.
    fn send_start(&mut self, order: StartOrder) {
        if !self.has_fault(0.1) {
            let delay = self.draw_delay(0.05);
            self.send(delay, SimMessage::Start(self.epoch, order, true));
            return;
        }
        let (worker, run) = (order.worker.clone(), order.run);
        if self.has_fault(0.7) {
            let delay = self.draw_delay(0.5);
            self.send(delay, SimMessage::Start(self.epoch, order, false));
        }
        let event = PipelineEvent::StartAnswered(worker, run, StartResult::Unanswered.into());
        self.send(ORDER_TIMEOUT, SimMessage::Event(self.epoch, event));
    }

    fn send_stop(&mut self, order: StopOrder) {
        if self.has_fault(0.2) {
            let event = PipelineEvent::StopAnswered(order.worker, order.run, false);
            self.send(ORDER_TIMEOUT, SimMessage::Event(self.epoch, event));
            return;
        }
        let delay = self.draw_delay(0.05);
        self.send(delay, SimMessage::Stop(self.epoch, order));
    }

    fn send(&mut self, delay: Duration, message: SimMessage) {
        self.sent_count += 1;
        self.messages
            .insert((self.now + delay, self.sent_count), message);
    }

    fn has_fault(&mut self, probability: f64) -> bool {
        self.is_faulty && self.rng.random_bool(probability)
    }

    fn draw_transit(&mut self) -> Duration {
        Duration::from_millis(self.rng.random_range(1..=MAX_TRANSIT_MS))
    }

    fn draw_delay(&mut self, fault_probability: f64) -> Duration {
        if self.has_fault(fault_probability) {
            Duration::from_millis(self.rng.random_range(0..=MAX_DELAY_MS))
        } else {
            self.draw_transit()
        }
    }

    fn deliver(&mut self, message: SimMessage) {
        match message {
            SimMessage::Event(epoch, event) if epoch == self.epoch => self.handle_event(event),
            SimMessage::Event(..) => {}
            SimMessage::Start(epoch, order, is_awaited) => {
                self.deliver_start(epoch, order, is_awaited);
            }
            SimMessage::Stop(epoch, order) => {
                let worker = self.workers.get_mut(&order.worker);
                let is_done = worker.is_some_and(|worker| worker.stop(&order, self.now));
                let event = PipelineEvent::StopAnswered(order.worker, order.run, is_done);
                let delay = self.draw_transit();
                self.send(delay, SimMessage::Event(epoch, event));
            }
            SimMessage::Renew(epoch, order, sent_at) => {
                self.deliver_renewal(epoch, &order, sent_at);
            }
            SimMessage::Advice(epoch, order) => self.deliver_advice(epoch, &order),
            SimMessage::Commit(commit) => self.deliver_commit(commit),
        }
    }

    fn deliver_start(&mut self, epoch: Epoch, order: StartOrder, is_awaited: bool) {
        let key = order.run.task.step;
        let spec = &self.specs[&key.pipeline];
        let step_spec = spec.steps[key.step as usize].clone();
        let needs_ticket = spec.policy.advice.is_some();
        let is_failing = self.has_fault(0.1) || (self.failure_rule)(order.run, &order.worker);
        let is_stalling = self.has_fault(0.05);
        let rejection = [
            StartResult::Unhealthy,
            StartResult::NoRoom,
            StartResult::Invalid,
        ];
        let result = match self.workers.get_mut(&order.worker) {
            Some(_) if self.is_faulty && self.rng.random_bool(0.05) => {
                rejection[self.rng.random_range(0..rejection.len())]
            }
            Some(worker) => {
                let result = worker.start(&order, &step_spec, needs_ticket, self.now);
                *self.starts.entry(key.pipeline).or_default() += 1;
                if let Some(run) = worker.runs.get_mut(&order.run) {
                    run.is_failing = is_failing;
                    run.is_stalling = is_stalling && !step_spec.long_running;
                }
                result
            }
            None => StartResult::Unanswered,
        };
        if is_awaited {
            let delay = self.draw_transit();
            let event = PipelineEvent::StartAnswered(order.worker, order.run, result.into());
            self.send(delay, SimMessage::Event(epoch, event));
        }
    }

    fn deliver_renewal(&mut self, epoch: Epoch, order: &RenewalOrder, sent_at: Duration) {
        let worker_id = order.worker.clone();
        let failure = match self.workers.get_mut(&worker_id) {
            _ if self.is_faulty && self.rng.random_bool(0.02) => Some(RenewalFailure::Unhealthy),
            Some(worker) => worker.renew(order, sent_at, epoch, self.now).err(),
            None => Some(RenewalFailure::Unanswered),
        };
        if let Some(failure) = failure {
            let delay = match failure {
                RenewalFailure::Unanswered => ORDER_TIMEOUT,
                _ => self.draw_transit(),
            };
            let event = PipelineEvent::RenewalFailed(worker_id, failure);
            self.send(delay, SimMessage::Event(epoch, event));
        }
    }

    fn deliver_advice(&mut self, epoch: Epoch, order: &AdviceOrder) {
        let valid = Duration::from_millis(order.policy.valid_ms);
        let expires_at = self.now + valid;
        let allowed = order.workers.iter().filter_map(|id| {
            let worker = self.workers.get(id)?;
            self.is_allowed(order.step, id)
                .then(|| (id.clone(), worker.ticket(expires_at)))
        });
        let tickets = allowed.collect();
        let report = (!self.has_fault(0.2)).then_some(AdviceReport { tickets, valid });
        let event = PipelineEvent::AdviceAnswered(order.step, report, self.now);
        let delay = self.draw_delay(0.1);
        self.send(delay, SimMessage::Event(epoch, event));
    }

    fn store_commit(&mut self, commit: &ProgressCommit) {
        for entry in &commit.entries {
            if entry.phase == PipelinePhase::Failed {
                self.failed.insert(entry.pipeline);
            }
            let job = self.jobs.get_mut(&entry.pipeline);
            if let (Some(progress), Some(job)) = (&entry.progress, job) {
                job.progress = Some(progress.clone());
            } else {
                self.jobs.remove(&entry.pipeline);
                self.cancelled.remove(&entry.pipeline);
            }
        }
    }

    fn deliver_commit(&mut self, commit: ProgressCommit) {
        if self.now < self.store_down_until {
            let left = self.store_down_until.saturating_sub(self.now);
            let delay = left + SIMULATION_STEP;
            self.send(delay, SimMessage::Commit(commit));
            return;
        }
        self.store_commit(&commit);
        self.has_pending_commit = false;
        let actions = self.owner.complete_commit(commit, self.now);
        self.perform(actions);
    }

    /// Ends the runs that are over, and answers the renewals that waited for it.
    fn end_runs(&mut self) {
        let mut broken_gangs = BTreeSet::new();
        for worker in self.workers.values_mut() {
            broken_gangs.extend(worker.end_runs(self.now));
        }
        for worker in self.workers.values_mut() {
            worker.break_gangs(&broken_gangs);
        }
        let mut members: BTreeMap<GangAttempt, u32> = BTreeMap::new();
        for run in self.workers.values().flat_map(|worker| worker.runs.keys()) {
            *members.entry((run.task.step, run.attempt)).or_default() += 1;
        }
        let mut reports = Vec::new();
        for (id, worker) in &mut self.workers {
            worker.check_gangs(&members, self.now);
            reports.extend(
                worker
                    .pop_due_report(self.now)
                    .map(|report| (id.clone(), report)),
            );
        }
        for (id, (epoch, stamp, report)) in reports {
            let delay = self.draw_transit();
            let event = PipelineEvent::LeaseRenewed(id, stamp, report);
            self.send(delay, SimMessage::Event(epoch, event));
        }
    }
}

const fn pipeline_config() -> PipelineConfig {
    PipelineConfig {
        lease: Duration::from_secs(5),
        max_lease: Duration::from_secs(6),
        inherited_lease: Duration::from_secs(6),
        listing_interval: Duration::from_millis(1_500),
        renewal_wait: Duration::from_secs(1),
        manages_scarcity: false,
    }
}
