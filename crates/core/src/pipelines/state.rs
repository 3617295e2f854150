//! State of the pipelines and workers of one service, and the handling of events.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use super::{
    advice::{PendingRequest, TicketCache},
    commit::PendingStart,
    health::evacuation_start,
    messages::{
        LossCause, PipelineAction, PipelineEvent, PipelineNote, RenewalFailure, StartResult,
        WorkerListing,
    },
    preemption::PreemptionHistory,
    progress::{PipelinePhase, PipelineProgress},
    queue::{JobTiming, StepRank},
    readiness::StepIndex,
    ready_queue::ReadyQueue,
    responses::ResponseTimes,
    scarcity::ScarcityState,
    schedule::PipelineConfig,
    spec::{PipelineId, PipelineSpec, RunKey, StepKey, StepSpec, TaskKey},
    wait::WaitRecord,
    worker::{RemovedWorker, RenewalStatus, RunPhase, WorkerContact, WorkerRecord},
};
use crate::{
    instances::{ClockReading, InstanceNumber, WorkerInstance},
    quotas::QuotaLedger,
    streaks::StreakTable,
    teams::{SubmissionRates, TeamTable},
    types::{Epoch, WorkerId},
};

/// Number of times that a start order is sent without an answer before the run is
/// stopped.
const MAX_START_SENDS: u32 = 3;

/// Time after which an unconfirmed stop order is sent again.
const STOP_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Delay before a failed renewal of a lease is retried.
const RENEWAL_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Time for which other workers are preferred to one that rejected a start order.
const REJECTION_PENALTY: Duration = Duration::from_secs(2);

/// Maximum number of pending advice requests for each daemon that sends them. The
/// advice service handles one call of a host at a time; the second is in transit
/// meanwhile.
const REQUESTS_PER_ADVISOR: usize = 2;

/// A job that is not retired, and its progress.
#[derive(Clone, Debug)]
pub(super) struct PipelineRecord {
    pub(super) spec: Arc<PipelineSpec>,
    pub(super) timing: JobTiming,
    /// Command of the job, shared by its start orders.
    pub(super) command: Arc<str>,
    pub(super) progress: PipelineProgress,
    pub(super) index: StepIndex,
    /// Steps that may be placed and have waiting tasks.
    pub(super) ready: BTreeMap<StepKey, StepRank>,
    /// Whether this owner has placed a task of the job.
    pub(super) has_placed_task: bool,
}

/// State machine of the owner of a service: its pipelines, its workers and their runs.
#[derive(Clone, Debug)]
pub struct PipelineState {
    pub(super) config: PipelineConfig,
    /// Epoch of the ownership, the high bits of the fencing tokens.
    pub(super) epoch: Epoch,
    /// When this owner took over the service.
    pub(super) taken_over_at: Duration,
    /// When all earlier owners had ended their ownership; `None` if that is not known.
    pub(super) predecessors_ended_at: Option<Duration>,
    /// Until when the store has confirmed the ownership.
    pub(super) confirmed_until: Duration,
    /// Until when leases of workers may be extended.
    pub(super) extensions_until: Duration,
    /// Wall clock of the latest tick, in ms since 1970.
    pub(super) wall_ms: u64,
    /// Terms of the teams; empty if jobs belong to none.
    pub(super) teams: Arc<TeamTable>,
    /// Jobs that the teams have submitted lately.
    pub(super) rates: SubmissionRates,
    /// What the teams may have running in this service.
    pub(super) quotas: QuotaLedger,
    /// Steps that are deferred as they cannot all be in time.
    pub(super) scarcity: ScarcityState,
    /// Runs that were stopped for urgent work.
    pub(super) preemptions: PreemptionHistory,
    /// Tasks that have failed since a run of them held.
    pub(super) streaks: StreakTable<TaskKey>,
    /// How long the answers of workers take, and how many are lost.
    pub(super) responses: ResponseTimes,
    pub(super) pipelines: BTreeMap<PipelineId, PipelineRecord>,
    /// Workers that are listed or may have runs.
    pub(super) workers: BTreeMap<WorkerId, WorkerRecord>,
    /// What is kept of each worker that was removed, as it may return.
    pub(super) removed_workers: BTreeMap<WorkerId, RemovedWorker>,
    /// Number of the worker instance that was added last.
    pub(super) last_instance: InstanceNumber,
    /// Ready steps of all jobs, in the order in which they are placed.
    pub(super) ready: ReadyQueue,
    /// Ready steps by the time in ms since 1970 at which their ranks change.
    pub(super) rank_changes: BTreeSet<(u64, StepKey)>,
    /// Number of times that the readiness and the rank of a step were updated.
    pub(super) refreshed_steps: u64,
    /// Number of ready steps that placement passes have dealt with.
    pub(super) visited_steps: u64,
    /// Ready steps that the latest pass did not place completely.
    pub(super) waits: BTreeMap<StepKey, WaitRecord>,
    /// Earliest time of the next log entry about a waiting step.
    pub(super) wait_log_due: Duration,
    /// Answers of the advice service, by step.
    pub(super) ticket_caches: BTreeMap<StepKey, TicketCache>,
    /// Moving average of the part of the requested workers that the advice service
    /// allows, by queue, in percent.
    pub(super) allowed_percent: BTreeMap<String, usize>,
    /// Priority of the most urgent queue of the service; lower is more urgent.
    pub(super) top_priority: u32,
    /// Typical run time of a task on the workers of the service, in percent of its
    /// estimate.
    pub(super) typical_ratio_percent: u64,
    /// Pending advice requests, by step. A job may end before the answer arrives.
    pub(super) pending_requests: BTreeMap<StepKey, PendingRequest>,
    /// Whether the latest request for a quick decision failed.
    pub(super) is_quick_advice_failing: bool,
    /// Maximum number of pending requests for quick decisions.
    pub(super) quick_request_limit: usize,
    /// Maximum number of pending requests for slow decisions.
    pub(super) slow_request_limit: usize,
    /// Serial number of the latest change.
    pub(super) serial: u64,
    /// All changes up to this serial number are durable.
    pub(super) durable_serial: u64,
    /// Jobs with changes that no commit contains yet, by the serial number of the
    /// first of them.
    pub(super) dirty: BTreeMap<u64, PipelineId>,
    /// The inverse of `dirty`.
    pub(super) dirty_serials: BTreeMap<PipelineId, u64>,
    /// Starts whose placements no commit contains yet.
    pub(super) pending_starts: BTreeMap<PipelineId, Vec<PendingStart>>,
    /// Starts whose placements are durable, held back until the ownership is
    /// confirmed again.
    pub(super) deferred_starts: Vec<PendingStart>,
    /// Whether an event since the last placement pass may have changed what can be
    /// placed.
    pub(super) is_placement_due: bool,
    /// Number of workers that placement passes have examined for a step.
    pub(super) examined_candidates: u64,
    /// Actions that the current call returns.
    pub(super) actions: Vec<PipelineAction>,
}

impl PipelineState {
    /// Returns the initial state of an owner that took over at `now` with this epoch.
    #[must_use]
    pub fn new(config: PipelineConfig, epoch: Epoch, now: Duration) -> Self {
        Self {
            config,
            epoch,
            taken_over_at: now,
            predecessors_ended_at: None,
            confirmed_until: now,
            extensions_until: now,
            wall_ms: 0,
            teams: Arc::default(),
            rates: SubmissionRates::default(),
            quotas: QuotaLedger::default(),
            scarcity: ScarcityState::default(),
            preemptions: PreemptionHistory::default(),
            streaks: StreakTable::default(),
            responses: ResponseTimes::default(),
            pipelines: BTreeMap::new(),
            workers: BTreeMap::new(),
            removed_workers: BTreeMap::new(),
            last_instance: 0,
            ready: ReadyQueue::default(),
            rank_changes: BTreeSet::new(),
            refreshed_steps: 0,
            visited_steps: 0,
            waits: BTreeMap::new(),
            wait_log_due: Duration::ZERO,
            ticket_caches: BTreeMap::new(),
            allowed_percent: BTreeMap::new(),
            top_priority: u32::MAX,
            typical_ratio_percent: 100,
            pending_requests: BTreeMap::new(),
            is_quick_advice_failing: false,
            quick_request_limit: REQUESTS_PER_ADVISOR,
            slow_request_limit: REQUESTS_PER_ADVISOR,
            serial: 0,
            durable_serial: 0,
            dirty: BTreeMap::new(),
            dirty_serials: BTreeMap::new(),
            pending_starts: BTreeMap::new(),
            deferred_starts: Vec::new(),
            is_placement_due: true,
            examined_candidates: 0,
            actions: Vec::new(),
        }
    }

    /// Handles an event and returns the actions to perform at once.
    pub fn handle(&mut self, event: PipelineEvent, now: Duration) -> Vec<PipelineAction> {
        let worker = event.worker().cloned();
        match event {
            PipelineEvent::Stored(id, spec, progress) => self.add_pipeline(id, spec, progress, now),
            PipelineEvent::Cancelled(id) => self.cancel_pipeline(id, now),
            PipelineEvent::Listed(listing) => self.update_listing(listing, now),
            PipelineEvent::Delisted(worker) => self.remove_listing(&worker),
            PipelineEvent::LeaseRenewed(worker, stamp, report) => {
                self.handle_renewal_report(&worker, stamp, &report, now);
            }
            PipelineEvent::RenewalFailed(worker, failure) => {
                self.handle_renewal_failure(&worker, failure, now);
            }
            PipelineEvent::StartAnswered(worker, run, answer) => {
                self.compare_clock(&worker, run, answer, now);
                self.record_start_response(&worker, answer.result, answer.sent_at, now);
                self.handle_start_result(&worker, run, answer.result, now);
            }
            PipelineEvent::StopAnswered(worker, run, is_done) => {
                let worker_record = self.workers.get_mut(&worker);
                match worker_record.and_then(|record| record.runs.get_mut(&run)) {
                    Some(entry) if is_done => entry.phase = RunPhase::Stopping(Some(now)),
                    _ => {}
                }
            }
            PipelineEvent::AdviceAnswered(step, report, arrived_at) => {
                let request = self.pending_requests.remove(&step);
                if request.is_some_and(|request| !request.is_slow) {
                    self.is_quick_advice_failing = report.is_none();
                }
                self.is_placement_due = true;
                let counts = match self.ticket_caches.get_mut(&step) {
                    Some(cache) => cache.record_answer(report, arrived_at, now),
                    None => None,
                };
                self.update_allowed_percent(step.pipeline, counts);
            }
            PipelineEvent::AdvisorsCounted(quick, slow) => {
                self.quick_request_limit = REQUESTS_PER_ADVISOR * quick;
                self.slow_request_limit = REQUESTS_PER_ADVISOR * slow;
            }
            PipelineEvent::PredecessorsEnded(ended_at) => self.end_predecessors(ended_at),
            PipelineEvent::OwnershipConfirmed(until) => {
                self.confirmed_until = self.confirmed_until.max(until);
                let starts = std::mem::take(&mut self.deferred_starts);
                self.release_starts(starts, now);
            }
            PipelineEvent::ExtensionsPermitted(until) => self.extensions_until = until,
            PipelineEvent::TeamsChanged(teams) => self.change_teams(teams),
            PipelineEvent::QuotasRead(number, records) => {
                self.quotas.finish_read(number, records);
                self.is_placement_due = true;
            }
            PipelineEvent::QuotasChanged(records) => {
                self.quotas.update_records(records);
                self.is_placement_due = true;
            }
            PipelineEvent::QuotaWritten(outcome) => {
                self.quotas.finish_change(outcome);
                self.is_placement_due = true;
            }
            PipelineEvent::Tick(wall_ms) => {
                // Tickets may have expired, and failed advice requests may be retried.
                self.is_placement_due = true;
                self.tick(wall_ms, now);
                self.renew_leases(now);
            }
        }
        if let Some(worker) = worker {
            self.release_held_starts(&worker, now);
            self.renew_lease(&worker, now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the number of the latest change.
    #[must_use]
    pub const fn latest_change(&self) -> u64 {
        self.serial
    }

    /// Returns the number up to which all changes are durable.
    #[must_use]
    pub const fn durable_change(&self) -> u64 {
        self.durable_serial
    }

    /// Returns whether every change is contained in a commit, which may still be open.
    #[must_use]
    pub fn is_committed(&self) -> bool {
        self.dirty.is_empty()
    }

    /// Returns whether the job is known and not retired.
    #[must_use]
    pub fn contains(&self, id: PipelineId) -> bool {
        self.pipelines.contains_key(&id)
    }

    fn add_pipeline(
        &mut self,
        id: PipelineId,
        spec: Arc<PipelineSpec>,
        progress: Option<PipelineProgress>,
        now: Duration,
    ) {
        if self.pipelines.contains_key(&id) {
            return;
        }
        self.top_priority = self.top_priority.min(spec.policy.priority);
        let mut progress = progress.unwrap_or_default();
        progress.remove_excess_occurrences(&spec);
        if self.config.manages_scarcity {
            self.scarcity.record_job(&spec);
        }
        let is_excess = self.is_beyond_rate(&spec);
        let record = PipelineRecord {
            command: spec.command.as_str().into(),
            timing: JobTiming::new(&spec, is_excess),
            index: StepIndex::new(&spec, &progress),
            spec,
            progress,
            ready: BTreeMap::new(),
            has_placed_task: false,
        };
        let is_final = record.progress.phase.is_final();
        self.pipelines.insert(id, record);
        self.inherit_runs(id, now);
        self.inherit_failures(id, now);
        if is_final {
            self.stop_pipeline(id, now);
        }
        self.refresh_pipeline(id);
    }

    /// Returns the record of a worker, which is added if the worker is unknown.
    pub(super) fn ensure_worker(
        &mut self,
        worker: &WorkerId,
        inherited_until: Duration,
        now: Duration,
    ) -> &mut WorkerRecord {
        let removed = &self.removed_workers;
        let record = self.workers.entry(WorkerId::clone(worker));
        record.or_insert_with(|| {
            let former = removed.get(worker).copied().unwrap_or_default();
            WorkerRecord::new(inherited_until, former, now)
        })
    }

    /// Returns the state of an instance that has answered for the first time.
    pub(super) fn create_instance(
        &mut self,
        started_unix_ms: u64,
        reading: ClockReading,
    ) -> WorkerInstance {
        self.last_instance += 1;
        WorkerInstance::new(self.last_instance, started_unix_ms, reading)
    }

    fn cancel_pipeline(&mut self, id: PipelineId, now: Duration) {
        match self.pipelines.get_mut(&id) {
            Some(record) if !record.progress.phase.is_final() => {
                record.progress.phase = PipelinePhase::Cancelled;
                self.log_note(PipelineNote::Cancelled { pipeline: id });
                self.mark_dirty(id);
                self.stop_pipeline(id, now);
                self.clear_ready_steps(id);
            }
            _ => {}
        }
    }

    fn update_listing(&mut self, listing: WorkerListing, now: Duration) {
        self.is_placement_due = true;
        let inherited_until = self.inherited_until();
        let listing_interval = self.config.listing_interval;
        let record = self.ensure_worker(&listing.worker, inherited_until, now);
        let is_new = record.listing.is_none();
        // The departure in an entry is that of the instance that wrote it.
        let known = record.listing.as_ref();
        let known = known.filter(|known| known.started_unix_ms == listing.started_unix_ms);
        let is_already_draining = known.is_some_and(|known| known.is_draining);
        if known.is_none() {
            record.evacuate_at = None;
        }
        let is_pending = record.evacuate_at.is_some();
        if listing.is_draining && (is_pending || !is_already_draining) {
            // An entry that is read for the first time may be as old as the interval.
            let age = if is_new {
                listing_interval
            } else {
                Duration::ZERO
            };
            let start = evacuation_start(listing.leaves_in, age, now);
            record.evacuate_at = Some(record.evacuate_at.map_or(start, |known| known.min(start)));
        }
        let has_new_address = record
            .address()
            .is_some_and(|address| address != listing.address);
        if record.contact != WorkerContact::Unclaimed && record.is_superseded_by(&listing) {
            record.reset_claim(now);
        }
        record.listing = Some(listing);
        if has_new_address {
            if record.renewal == RenewalStatus::Pending {
                record.renewal = RenewalStatus::Misdirected;
            }
            record.renewal_due = now;
        }
    }

    /// Removes a worker that left the registry, once it has no runs.
    fn remove_listing(&mut self, worker: &WorkerId) {
        match self.workers.get_mut(worker) {
            Some(record) if record.runs.is_empty() => self.remove_worker(worker),
            // The worker may be partitioned and still running. Its runs occupy it
            // until its lease lapses.
            Some(record) => {
                if let Some(listing) = &mut record.listing {
                    listing.is_draining = true;
                }
            }
            None => {}
        }
    }

    fn remove_worker(&mut self, worker: &WorkerId) {
        if let Some(record) = self.workers.remove(worker) {
            let removed = RemovedWorker {
                claims: record.claims + 1,
                deadline_sent_at: record.deadline_sent_at,
            };
            self.removed_workers
                .insert(WorkerId::clone(worker), removed);
        }
    }

    fn handle_renewal_failure(
        &mut self,
        worker: &WorkerId,
        failure: RenewalFailure,
        now: Duration,
    ) {
        let Some(record) = self.workers.get_mut(worker) else {
            return;
        };
        let status = std::mem::replace(&mut record.renewal, RenewalStatus::Settled);
        match failure {
            RenewalFailure::OtherInstance if status != RenewalStatus::Misdirected => {
                // Another worker answers at the address, so this instance has ended.
                record.listing = None;
                let suspects = self.blame_runs(worker, |_, _| true);
                self.drop_runs(worker, LossCause::Replaced, now, |_, _| true);
                self.fail_crashing_jobs(&suspects, now);
                self.remove_worker(worker);
            }
            RenewalFailure::Fenced => {
                record.contact = WorkerContact::Unclaimed;
                record.is_ack_pending = false;
                record.renewal_due = now + RENEWAL_RETRY_DELAY;
            }
            RenewalFailure::Unanswered
            | RenewalFailure::Unhealthy
            | RenewalFailure::OtherInstance => {
                let mut retry_delay = RENEWAL_RETRY_DELAY;
                if record.contact == WorkerContact::Claimed {
                    let is_lost = failure == RenewalFailure::Unanswered;
                    self.responses.record_outcome(!is_lost);
                    retry_delay = self.responses.retry_delay(RENEWAL_RETRY_DELAY);
                    record.contact = WorkerContact::Doubted;
                    self.actions
                        .push(PipelineAction::Log(PipelineNote::WorkerSuspected {
                            worker: WorkerId::clone(worker),
                            runs: record.runs.len(),
                            failure,
                            lapses_in: record.lapses_at().saturating_sub(now),
                        }));
                }
                if failure != RenewalFailure::Unhealthy {
                    record.reset_claim_of_ack(now);
                }
                record.is_ack_pending = false;
                record.renewal_due = now + retry_delay;
            }
        }
    }

    fn handle_start_result(
        &mut self,
        worker: &WorkerId,
        run: RunKey,
        result: StartResult,
        now: Duration,
    ) {
        let Some(record) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(entry) = record.runs.get_mut(&run) else {
            return;
        };
        let RunPhase::Ordered(unanswered_sends) = entry.phase else {
            return;
        };
        let is_first_send = unanswered_sends == 0;
        match result {
            StartResult::Started => {
                entry.phase = RunPhase::Started(now);
                entry.progressed_at = now;
                self.mark_running(run.task.step.pipeline);
            }
            StartResult::Unanswered if unanswered_sends + 1 < MAX_START_SENDS => {
                entry.phase = RunPhase::Ordered(unanswered_sends + 1);
                let ticket = entry.ticket.clone();
                let worker = WorkerId::clone(worker);
                self.send_start(
                    &PendingStart {
                        worker,
                        run,
                        ticket,
                    },
                    now,
                );
            }
            StartResult::OtherInstance => {
                record.renewal_due = now;
                self.drop_run(worker, run, now);
            }
            // An earlier order may still arrive and start the run, so it is stopped
            // before its task is placed again.
            _ if !is_first_send || result == StartResult::Unanswered => {
                self.log_rejected_start(worker, run, result);
                self.stop_run(worker, run, now);
            }
            _ => {
                match result {
                    StartResult::Fenced => {
                        record.contact = WorkerContact::Unclaimed;
                        record.renewal_due = now;
                    }
                    StartResult::BadTicket => {
                        if let Some(cache) = self.ticket_caches.get_mut(&run.task.step) {
                            let instance = record.instance.as_ref();
                            cache.reject_ticket(instance.map_or(0, |known| known.number));
                        }
                    }
                    StartResult::NotSent => {}
                    _ => {
                        if let Some(instance) = &mut record.instance {
                            instance.penalized_until = now + REJECTION_PENALTY;
                        }
                    }
                }
                self.log_rejected_start(worker, run, result);
                self.drop_run(worker, run, now);
            }
        }
    }

    /// Moves a queued job to the running phase.
    pub(super) fn mark_running(&mut self, id: PipelineId) {
        match self.pipelines.get_mut(&id) {
            Some(record) if record.progress.phase == PipelinePhase::Queued => {
                record.progress.phase = PipelinePhase::Running;
                self.mark_dirty(id);
            }
            _ => {}
        }
    }

    fn log_rejected_start(&mut self, worker: &WorkerId, run: RunKey, result: StartResult) {
        let worker = WorkerId::clone(worker);
        self.log_note(PipelineNote::StartRejected {
            run,
            worker,
            result,
        });
    }

    /// Adds an action that writes a log entry.
    pub(super) fn log_note(&mut self, note: PipelineNote) {
        self.actions.push(PipelineAction::Log(note));
    }

    /// Performs the work that depends on the time: due occurrences, late jobs, stalled
    /// runs, leaving workers, lapsed leases and unconfirmed stop orders.
    fn tick(&mut self, wall_ms: u64, now: Duration) {
        let former_wall_ms = std::mem::replace(&mut self.wall_ms, wall_ms);
        self.refresh_recurring_jobs();
        self.update_stale_ranks(former_wall_ms);
        self.stop_stalled_runs(now);
        self.evacuate_leaving_workers(now);
        self.log_unreached_workers(now);
        self.drop_lapsed_runs(now);
        let overdue = self.workers.iter().flat_map(|(worker, record)| {
            let runs = record.runs.iter().filter(|(_, run)| {
                run.phase == RunPhase::Stopping(None) && now >= run.stop_sent_at + STOP_RETRY_DELAY
            });
            runs.map(|(run, _)| (WorkerId::clone(worker), *run))
        });
        let overdue: Vec<(WorkerId, RunKey)> = overdue.collect();
        for (worker, run) in overdue {
            self.stop_run(&worker, run, now);
        }
    }

    /// Sends a stop order. The run occupies its worker until its end is known.
    pub(super) fn stop_run(&mut self, worker: &WorkerId, run: RunKey, now: Duration) {
        let Some(record) = self.workers.get_mut(worker) else {
            return;
        };
        let order = record.stop_order(worker, run, self.epoch);
        if let Some(entry) = record.runs.get_mut(&run) {
            if !matches!(entry.phase, RunPhase::Stopping(Some(_))) {
                entry.phase = RunPhase::Stopping(None);
            }
            entry.stop_sent_at = now;
            self.actions.extend(order.map(PipelineAction::Stop));
        }
    }

    /// Stops all runs of a job.
    pub(super) fn stop_pipeline(&mut self, id: PipelineId, now: Duration) {
        let first = StepKey::first_of(id);
        self.stop_runs(first, |step| step.pipeline == id, now);
    }

    /// Stops all members of a gang.
    pub(super) fn stop_gang(&mut self, step: StepKey, now: Duration) {
        self.stop_runs(step, |other| other == step, now);
    }

    /// Stops the runs of the steps from `first` on, as far as they are selected.
    fn stop_runs(&mut self, first: StepKey, is_selected: impl Fn(StepKey) -> bool, now: Duration) {
        let runs = self.workers.iter().flat_map(|(worker, record)| {
            let runs = record.runs_from(first);
            let runs = runs.take_while(|(run, _)| is_selected(run.task.step));
            let active = runs.filter(|(_, run)| !matches!(run.phase, RunPhase::Stopping(_)));
            active.map(|(run, _)| (WorkerId::clone(worker), *run))
        });
        let runs: Vec<(WorkerId, RunKey)> = runs.collect();
        for (worker, run) in runs {
            self.stop_run(&worker, run, now);
        }
    }

    /// Marks the progress of a job as changed, so that a coming commit contains it.
    pub(super) fn mark_dirty(&mut self, id: PipelineId) {
        self.serial += 1;
        if !self.dirty_serials.contains_key(&id) {
            self.dirty_serials.insert(id, self.serial);
            self.dirty.insert(self.serial, id);
        }
    }

    pub(super) fn step_spec(&self, key: StepKey) -> Option<&StepSpec> {
        let record = self.pipelines.get(&key.pipeline)?;
        record.spec.steps.get(usize::try_from(key.step).ok()?)
    }

    /// Adds the counts of named and of allowed workers of an answer to the average of the
    /// queue.
    fn update_allowed_percent(&mut self, id: PipelineId, counts: Option<(usize, usize)>) {
        let Some(record) = self.pipelines.get(&id) else {
            return;
        };
        match counts {
            Some((asked, allowed)) if asked > 0 => {
                let queue = record.spec.policy.queue.clone();
                let share = allowed * 100 / asked;
                let average_percent = self.allowed_percent.entry(queue).or_insert(share);
                // Moving average over about eight answers.
                *average_percent = (*average_percent * 7 + share) / 8;
            }
            _ => {}
        }
    }
}
