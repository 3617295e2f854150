//! State of a worker as known to the owner: its runs, its lease and its clock.

use std::{collections::BTreeMap, time::Duration};

use super::{
    commit::PendingStart,
    messages::{EndedRun, StartResult, StopOrder, WorkerListing},
    progress::RunHolder,
    spec::{RunKey, StepKey, StepSpec, TaskKey},
};
use crate::{
    instances::{WorkerInstance, lapse_time},
    types::{Epoch, ResourceVector, TeamId, WorkerId},
};

/// Number of low bits of a fencing token that count the claims of the worker within
/// one ownership. The bits above hold the epoch.
const CLAIM_BITS: u32 = 8;

/// Largest number of claims of a worker that are given up in one ownership. The tokens of further
/// ones would be those of the next epoch.
const MAX_CLAIMS: u64 = (1 << CLAIM_BITS) - 1;

/// Number of claims after which a failed acknowledgement gives no more of them up. It keeps tokens
/// for workers whose leases lapse or that are restarted.
const MAX_CLAIMS_FOR_ACKS: u64 = MAX_CLAIMS / 2;

/// Time within which an order that was sent reaches its worker or is lost.
pub(super) const ORDER_TRANSIT_TIME: Duration = Duration::from_secs(3);

/// Phase of a run as known to the owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RunPhase {
    /// The run was placed by a previous owner, or before the worker was restarted. Whether it is
    /// present is unknown until the worker is claimed.
    Inherited,
    /// This owner placed the run. The start order was sent without an answer this many
    /// times.
    Ordered(u32),
    /// The run has been known to be present since this time.
    Started(Duration),
    /// A stop order was sent, and confirmed at the given time if there is one.
    Stopping(Option<Duration>),
}

/// Whether a report of the worker has listed a run, so that it did not crash the worker at its
/// start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ReportStatus {
    /// No report has listed the run.
    Unreported,
    /// No report has listed the run, and its task is suspected to crash its workers.
    UnreportedSuspect,
    /// A report has listed the run.
    Reported,
}

/// A run that may be on a worker. It occupies resources there until its end is known.
#[derive(Clone, Debug)]
pub(super) struct WorkerRun {
    pub(super) phase: RunPhase,
    /// Resources that the run reserves.
    pub(super) occupied: ResourceVector,
    /// CPU demand of a best-effort task, in thousandths of a core; 0 for other tasks.
    pub(super) best_effort_cpu_milli: u64,
    /// Tail latency objective of a serving task, in ms.
    pub(super) target_tail_ms: Option<u64>,
    /// Ticket for a repeated start order.
    pub(super) ticket: Option<String>,
    /// Latest tail latency of a serving task, in ms.
    pub(super) tail_ms: Option<u64>,
    /// CPU share to which the run is limited, in percent.
    pub(super) pace_percent: u32,
    /// Whether the run is known to have survived its start.
    pub(super) report: ReportStatus,
    /// Latest reported progress, in percent.
    pub(super) progress_percent: u32,
    /// When the progress last changed.
    pub(super) progressed_at: Duration,
    /// Estimated run time of the task.
    pub(super) estimate: Duration,
    /// Whether the task runs until it is cancelled.
    pub(super) is_long_running: bool,
    /// Whether the progress says nothing about the speed, as the task is long-running or
    /// may wait for its gang.
    pub(super) is_progress_ignored: bool,
    /// When the latest stop order was sent.
    pub(super) stop_sent_at: Duration,
    /// When the run was placed or became known, for the log.
    pub(super) placed_at: Duration,
    /// When the latest start order for the run was released.
    pub(super) ordered_at: Option<Duration>,
    /// When the latest start order was released, if it is a repetition whose outcome is not known
    /// yet. A report that lists the run may be due to an order before it.
    pub(super) open_repeat_at: Option<Duration>,
    /// When the latest start order for the run counted as unanswered.
    pub(super) unanswered_at: Option<Duration>,
    /// Whether a report, or an answer with its clock, shows that the run is on the known instance
    /// of the worker.
    pub(super) is_located: bool,
    /// Instance that holds an inherited run according to its owner, which granted all leases on its
    /// clock.
    pub(super) holder: Option<RunHolder>,
    /// Team of the job.
    pub(super) team: Option<TeamId>,
    /// Resources that count towards the cap of the team.
    pub(super) demand: ResourceVector,
}

impl WorkerRun {
    pub(super) fn new(step: &StepSpec, phase: RunPhase, now: Duration) -> Self {
        Self {
            phase,
            occupied: step.occupied(),
            best_effort_cpu_milli: if step.fills { step.demand.cpu_milli } else { 0 },
            target_tail_ms: step.target_tail_ms,
            ticket: None,
            tail_ms: None,
            pace_percent: 100,
            report: ReportStatus::Unreported,
            progress_percent: 0,
            progressed_at: now,
            estimate: Duration::from_millis(step.estimate_ms),
            is_long_running: step.long_running,
            is_progress_ignored: step.long_running || step.gang,
            stop_sent_at: now,
            placed_at: now,
            ordered_at: None,
            open_repeat_at: None,
            unanswered_at: None,
            is_located: false,
            holder: None,
            team: None,
            demand: step.demand,
        }
    }

    /// Returns whether the run may be on an instance that the owner has not met, or get there by an
    /// order in transit. The known instance has answered a renewal that was sent at `reported_at`.
    pub(super) fn can_be_elsewhere(&self, reported_at: Duration) -> bool {
        let open_at = self.ordered_at.filter(|_| !self.is_located);
        let latest = open_at.max(self.open_repeat_at).max(self.unanswered_at);
        latest.is_some_and(|sent_at| sent_at + ORDER_TRANSIT_TIME > reported_at)
    }

    /// Records the outcome of the latest start order, also if a report has listed the run before: an
    /// order without an answer may still arrive.
    pub(super) fn record_answer(&mut self, result: StartResult, now: Duration) {
        self.open_repeat_at = None;
        if result == StartResult::Unanswered {
            self.unanswered_at = Some(now);
        }
    }

    /// Returns by when an earlier owner has sent its last order for the run, if that may still reach
    /// an instance that no owner has met. The known instance has answered a renewal that was sent at
    /// `reported_at`.
    pub(super) fn inherited_order_at(
        &self,
        predecessors_end: Duration,
        reported_at: Duration,
    ) -> Option<Duration> {
        let is_inherited = self.ordered_at.is_none() && self.holder.is_none();
        let can_arrive = predecessors_end + ORDER_TRANSIT_TIME > reported_at;
        (is_inherited && can_arrive).then_some(predecessors_end)
    }

    /// Returns for how long the latest order of this owner, sent while it had met the instance that
    /// answered last, may be in transit to another one: no time if all orders were answered.
    fn transit_time(&self, reported_at: Duration) -> Duration {
        let is_answered = self.is_located || matches!(self.phase, RunPhase::Started(_));
        let open_at = self.ordered_at.filter(|_| !is_answered);
        let latest = open_at.max(self.open_repeat_at).max(self.unanswered_at);
        match latest {
            Some(sent_at) if sent_at + ORDER_TRANSIT_TIME > reported_at => self.allowed_transit(),
            _ => Duration::ZERO,
        }
    }

    /// Returns the time for which the owner waits for an order in transit, on top of the longest
    /// lease.
    ///
    /// It does not wait for long-running tasks: with leases of 10 s it waits for 10.5 s already, and
    /// 3 s more would keep them from their callers for too long. For these a late order is a risk.
    const fn allowed_transit(&self) -> Duration {
        if self.is_long_running {
            Duration::ZERO
        } else {
            ORDER_TRANSIT_TIME
        }
    }
}

/// Contact with a worker. Start orders are sent only to claimed workers. The names
/// appear in the dump.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum WorkerContact {
    /// The worker has not answered a renewal with the current fencing token.
    Unclaimed,
    /// The worker answered the latest renewal.
    Claimed,
    /// The worker was claimed, but the latest renewal failed.
    Doubted,
}

/// The latest renewal of a worker's lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RenewalStatus {
    /// Its outcome is known or has no effect, or none was sent.
    Settled,
    /// It was sent and its outcome is not known.
    Pending,
    /// It is pending and was sent to a former address of the worker.
    Misdirected,
}

/// What outlives the record of a worker that was removed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RemovedWorker {
    /// Number of claims that were given up. The next claim has a higher token than all orders.
    pub(super) claims: u64,
    /// When the latest order with a deadline was sent.
    pub(super) deadline_sent_at: Option<Duration>,
}

/// Bounds of the leases that orders have granted whose deadlines are on the clock of another
/// instance.
#[derive(Clone, Copy, Debug)]
pub(super) struct OrderLimits {
    /// Longest lease that workers accept.
    pub(super) max_lease: Duration,
    /// When the earlier owners have sent their last orders.
    pub(super) predecessors_end: Duration,
}

/// A worker of the service, with its runs and the instance that answered last.
#[derive(Clone, Debug)]
pub(super) struct WorkerRecord {
    /// Entry of the worker in the platform's registry; `None` if the worker is known
    /// only from the progress of a job.
    pub(super) listing: Option<WorkerListing>,
    /// What is known of the instance that answered last; `None` before the first answer.
    pub(super) instance: Option<WorkerInstance>,
    pub(super) contact: WorkerContact,
    /// Runs that may be on any instance of the worker.
    pub(super) runs: BTreeMap<RunKey, WorkerRun>,
    /// Resources that the runs reserve.
    pub(super) used: ResourceVector,
    /// CPU demand of the best-effort runs, in thousandths of a core.
    pub(super) best_effort_cpu_milli: u64,
    /// Time by which the inherited runs whose holder is known have ended if this owner cannot
    /// claim the worker.
    pub(super) inherited_until: Duration,
    pub(super) renewal: RenewalStatus,
    /// Earliest time of the next renewal.
    pub(super) renewal_due: Duration,
    /// When the runs of a draining worker are stopped, so that their tasks are placed
    /// elsewhere; `None` if that was done or the worker is not draining.
    pub(super) evacuate_at: Option<Duration>,
    /// Number of claims that were given up in this ownership, the low bits of the
    /// fencing token.
    pub(super) claims: u64,
    /// When the worker last answered, or when it became known if it never did.
    pub(super) answered_at: Duration,
    /// Whether the log says that the worker has not been reached.
    pub(super) is_unreached_logged: bool,
    /// When the latest answered renewal was sent.
    pub(super) reported_at: Duration,
    /// When the latest order with a deadline was released, to whichever instance.
    pub(super) deadline_sent_at: Option<Duration>,
    /// When the latest order was sent whose deadline is on the clock of another instance than the
    /// known one.
    pub(super) former_deadline_sent_at: Option<Duration>,
    /// Whether an order with a deadline was released with the current token.
    pub(super) is_token_used: bool,
    /// Whether the pending renewal acknowledges ends. An instance that the owner has not met may
    /// discard ends of its own until it has answered.
    pub(super) is_ack_pending: bool,
    /// Starts that are held back until that renewal is answered.
    pub(super) held_starts: Vec<PendingStart>,
}

impl WorkerRecord {
    /// Returns the record of a worker of which earlier records in this ownership have left this.
    pub(super) fn new(inherited_until: Duration, former: RemovedWorker, now: Duration) -> Self {
        Self {
            listing: None,
            instance: None,
            contact: WorkerContact::Unclaimed,
            runs: BTreeMap::new(),
            used: ResourceVector::default(),
            best_effort_cpu_milli: 0,
            inherited_until,
            renewal: RenewalStatus::Settled,
            renewal_due: now,
            evacuate_at: None,
            claims: former.claims,
            answered_at: now,
            is_unreached_logged: false,
            reported_at: Duration::ZERO,
            deadline_sent_at: former.deadline_sent_at,
            former_deadline_sent_at: None,
            is_token_used: false,
            is_ack_pending: false,
            held_starts: Vec::new(),
        }
    }

    /// Returns whether this owner has a token left with which it can claim the worker. If not, no
    /// order is sent until the next ownership.
    pub(super) const fn has_token(&self) -> bool {
        self.claims <= MAX_CLAIMS
    }

    /// Returns the fencing token of the current claim, in an ownership with this epoch.
    pub(super) const fn token(&self, epoch: Epoch) -> Epoch {
        (epoch << CLAIM_BITS) | self.claims
    }

    /// Gives up the claim. The next one has a higher token than every order sent so far. An answer
    /// to the pending renewal has no effect.
    pub(super) fn reset_claim(&mut self, now: Duration) {
        self.contact = WorkerContact::Unclaimed;
        self.claims += 1;
        self.is_token_used = false;
        self.is_ack_pending = false;
        self.renewal = RenewalStatus::Settled;
        self.renewal_due = now;
    }

    /// Records that the pending renewal was answered with a list of ends.
    pub(super) fn settle_ack(&mut self, listed: &[EndedRun]) {
        let is_answered = std::mem::take(&mut self.is_ack_pending);
        let Some(instance) = &mut self.instance else {
            return;
        };
        if is_answered {
            instance.ends.record_ack_answer();
        }
        if let Some(first_end) = listed.iter().map(|end| end.number).min() {
            instance.ends.record_listed(first_end);
        }
    }

    /// Gives up the claim if the pending renewal, which has failed, acknowledges ends. It may still
    /// arrive, and has no effect once the worker has answered to a higher token.
    pub(super) fn reset_claim_of_ack(&mut self, now: Duration) {
        let is_pending = std::mem::take(&mut self.is_ack_pending);
        if is_pending && self.claims < MAX_CLAIMS_FOR_ACKS {
            self.reset_claim(now);
        }
    }

    /// Returns the starts that need not wait for an acknowledgement any more.
    pub(super) fn take_held_starts(&mut self) -> Vec<PendingStart> {
        if self.must_hold_starts() {
            return Vec::new();
        }
        std::mem::take(&mut self.held_starts)
    }

    /// Returns whether start orders wait for the answer to an acknowledgement.
    pub(super) fn must_hold_starts(&self) -> bool {
        self.contact == WorkerContact::Claimed && self.is_ack_pending
    }

    /// Returns whether tasks may be placed on the worker as far as its latest runs are concerned.
    pub(super) fn can_retry(&self, now: Duration) -> bool {
        let instance = self.instance.as_ref();
        let placed_at = self.runs.values().map(|run| run.placed_at);
        instance.is_none_or(|instance| instance.reliability.can_retry(placed_at, now))
    }

    pub(super) fn address(&self) -> Option<&str> {
        self.listing
            .as_ref()
            .map(|listing| listing.address.as_str())
    }

    /// Returns whether tasks may be placed on the worker.
    pub(super) fn can_accept_tasks(&self) -> bool {
        let is_listed = self
            .listing
            .as_ref()
            .is_some_and(|listing| !listing.is_draining);
        self.contact == WorkerContact::Claimed && is_listed && self.has_current_entry()
    }

    /// Returns whether the entry in the registry is that of the known instance. The capacity, the
    /// labels and the departure in an entry are those of the instance that wrote it.
    pub(super) fn has_current_entry(&self) -> bool {
        let listing = self.listing.as_ref();
        let started_ms = listing.and_then(|listing| listing.started_unix_ms);
        let instance = self.instance.as_ref();
        let is_other = started_ms
            .zip(instance)
            .is_some_and(|(started_ms, instance)| started_ms != instance.started_unix_ms);
        !is_other
    }

    /// Returns whether an entry shows that the worker was restarted after the known instance began.
    ///
    /// Entries of a worker arrive in the order of their writes, so one with another start time than
    /// both the entry before it and the known instance is of a newer instance. Which start time is
    /// later says nothing, as the host's clock may have been set.
    pub(super) fn is_superseded_by(&self, listing: &WorkerListing) -> bool {
        let former = self.listing.as_ref();
        let former_ms = former.and_then(|former| former.started_unix_ms);
        let started_ms = listing.started_unix_ms;
        let met_ms = self
            .instance
            .as_ref()
            .map(|instance| instance.started_unix_ms);
        match started_ms {
            Some(_) if started_ms == former_ms || started_ms == met_ms => false,
            Some(_) => met_ms.is_some(),
            None => false,
        }
    }

    pub(super) fn free_resources(&self) -> ResourceVector {
        let Some(listing) = &self.listing else {
            return ResourceVector::default();
        };
        listing.capacity.minus(&self.used).unwrap_or_default()
    }

    /// Returns the resources that are free once all runs have ended that do so by
    /// themselves.
    pub(super) fn reclaimable_resources(&self) -> ResourceVector {
        let Some(listing) = &self.listing else {
            return ResourceVector::default();
        };
        let permanent = self
            .runs
            .values()
            .filter(|run| run.is_long_running && !matches!(run.phase, RunPhase::Stopping(_)));
        permanent.fold(listing.capacity, |left, run| {
            left.minus(&run.occupied).unwrap_or_default()
        })
    }

    /// Adds a run; returns the one that it replaces.
    pub(super) fn insert_run(&mut self, key: RunKey, run: WorkerRun) -> Option<WorkerRun> {
        let former = self.remove_run(key);
        self.used = self.used.plus(&run.occupied);
        self.best_effort_cpu_milli += run.best_effort_cpu_milli;
        self.runs.insert(key, run);
        former
    }

    pub(super) fn remove_run(&mut self, key: RunKey) -> Option<WorkerRun> {
        let run = self.runs.remove(&key)?;
        self.used = self.used.minus(&run.occupied).unwrap_or_default();
        self.best_effort_cpu_milli = self
            .best_effort_cpu_milli
            .saturating_sub(run.best_effort_cpu_milli);
        Some(run)
    }

    /// Returns the runs of a step and of those that follow it, in the order of their keys.
    pub(super) fn runs_from(&self, step: StepKey) -> impl Iterator<Item = (&RunKey, &WorkerRun)> {
        let first = RunKey {
            task: TaskKey { step, index: 0 },
            attempt: 0,
        };
        self.runs.range(first..)
    }

    /// Returns the number of runs of a step that may be on the worker.
    pub(super) fn step_run_count(&self, step: StepKey) -> usize {
        let runs = self.runs_from(step);
        runs.take_while(|(key, _)| key.task.step == step).count()
    }

    /// Returns whether a run may be on an instance that the owner has not met.
    pub(super) fn can_have_runs_elsewhere(&self) -> bool {
        let mut runs = self.runs.values();
        runs.any(|run| run.can_be_elsewhere(self.reported_at))
    }

    /// Makes a renewal due if the latest one withheld an acknowledgement and it can be sent now.
    pub(super) fn request_ack(&mut self, now: Duration) {
        let instance = self.instance.as_ref();
        let is_withheld = instance.is_some_and(|instance| instance.ends.is_withheld());
        if is_withheld && !self.can_have_runs_elsewhere() {
            self.renewal_due = self.renewal_due.min(now);
        }
    }

    /// Returns the number of runs without a holder, which may be on an instance that no owner has met
    /// if this owner has not met one either.
    pub(super) fn unlocated_count(&self) -> usize {
        let runs = self.runs.values();
        runs.filter(|run| run.holder.is_none()).count()
    }

    /// Returns the number of runs that last until their jobs are cancelled.
    pub(super) fn long_running_count(&self) -> usize {
        let runs = self.runs.values();
        runs.filter(|run| run.is_long_running).count()
    }

    /// Returns whether a run that may crash the worker at its start is not known to have
    /// survived it.
    pub(super) fn has_unproven_suspect(&self) -> bool {
        let mut runs = self.runs.values();
        runs.any(|run| run.report == ReportStatus::UnreportedSuspect)
    }

    /// Returns whether a serving task may be on the worker.
    pub(super) fn has_serving_task(&self) -> bool {
        self.runs.values().any(|run| run.target_tail_ms.is_some())
    }

    /// Extends the lease of the known instance, and returns its end in ms on the worker's clock.
    pub(super) fn extend_lease(&mut self, term: Duration, now: Duration) -> Option<u64> {
        let deadline_ms = self.instance.as_mut()?.extend_lease(term, now);
        Some(deadline_ms)
    }

    /// Returns the time by which all runs on the worker have ended if its lease is not
    /// renewed.
    pub(super) fn lapses_at(&self) -> Duration {
        let lapses_at = self.instance.as_ref().map(WorkerInstance::lapses_at);
        lapses_at.unwrap_or_default().max(self.inherited_until)
    }

    /// Makes an instance the known one. Orders that were sent before have deadlines on another clock.
    pub(super) fn meet_instance(&mut self, instance: WorkerInstance) -> Option<WorkerInstance> {
        self.former_deadline_sent_at = self.former_deadline_sent_at.max(self.deadline_sent_at);
        self.instance.replace(instance)
    }

    /// Records when an order with a deadline was sent that was released at another time, as it
    /// waited for a connection.
    pub(super) fn record_deadline(&mut self, released_at: Option<Duration>, sent_at: Duration) {
        self.deadline_sent_at = self.deadline_sent_at.max(Some(sent_at));
        match &self.instance {
            Some(instance) if released_at <= Some(instance.met_at) => {
                self.former_deadline_sent_at = self.former_deadline_sent_at.max(Some(sent_at));
            }
            _ => {}
        }
    }

    /// Returns the rest of a lease that orders for a former instance may have granted to the known
    /// one. Such orders have deadlines on another clock, so the lease may be the longest.
    pub(super) fn former_order_lease(&self, limits: OrderLimits, now: Duration) -> Duration {
        let instance = self.instance.as_ref();
        let is_holder = instance.is_some_and(|instance| self.is_holder(instance.started_unix_ms));
        let inherited = (!is_holder).then_some(limits.predecessors_end);
        let since_order = match self.former_deadline_sent_at.max(inherited) {
            Some(sent_at) => now.saturating_sub(sent_at + ORDER_TRANSIT_TIME),
            None => return Duration::ZERO,
        };
        limits.max_lease.saturating_sub(since_order)
    }

    /// Returns whether an earlier owner knew the instance with this start time, and had granted all
    /// of its leases on its clock.
    fn is_holder(&self, started_unix_ms: RunHolder) -> bool {
        let mut runs = self.runs.values();
        runs.any(|run| run.holder == Some(started_unix_ms))
    }

    /// Returns the time by which a run on the worker has ended if its lease is not renewed. An
    /// instance that no owner has met holds it for at most the longest lease after the arrival of an
    /// order, as the deadline of the order is on another clock.
    pub(super) fn run_lapses_at(&self, run: &WorkerRun, limits: OrderLimits) -> Duration {
        let own = self.deadline_sent_at;
        let own = own.filter(|_| run.can_be_elsewhere(self.reported_at));
        let own = own.map(|sent_at| sent_at + run.transit_time(self.reported_at));
        let inherited = run.inherited_order_at(limits.predecessors_end, self.reported_at);
        let inherited = inherited.map(|sent_at| sent_at + run.allowed_transit());
        let lapses_at = own.max(inherited);
        let lapses_at = lapses_at.map(|arrived_at| arrived_at + lapse_time(limits.max_lease));
        self.lapses_at().max(lapses_at.unwrap_or_default())
    }

    /// Returns the time by which all runs on the worker have ended if its lease is not renewed.
    pub(super) fn last_run_lapses_at(&self, limits: OrderLimits) -> Duration {
        let runs = self.runs.values();
        let last = runs.map(|run| self.run_lapses_at(run, limits)).max();
        last.unwrap_or_default()
    }

    pub(super) fn stop_order(
        &self,
        worker: &WorkerId,
        run: RunKey,
        epoch: Epoch,
    ) -> Option<StopOrder> {
        self.has_token().then_some(())?;
        Some(StopOrder {
            worker: WorkerId::clone(worker),
            address: self.address()?.to_owned(),
            run,
            token: self.token(epoch),
        })
    }
}
