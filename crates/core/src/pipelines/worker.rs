//! What the owner knows of a worker: its runs, its lease and its clock.

use std::{collections::BTreeMap, time::Duration};

use super::{
    health::WorkerSpeed,
    messages::{StopOrder, WorkerListing},
    spec::{RunKey, StepKey, StepSpec, TaskKey},
};
use crate::types::{Epoch, ResourceVector, WorkerId};

/// Low bits of a fencing token, which count the claims of a worker within one
/// ownership.
const CLAIM_BITS: u32 = 8;

/// A worker's clock runs at this share of ours at least, in percent.
const SLOWEST_CLOCK_PERCENT: u32 = 98;

/// Added to the end of a lease for the worker's timers.
const LAPSE_SLACK: Duration = Duration::from_millis(300);

/// Returns the time on our clock in which a lease on a worker's clock has lapsed.
pub(super) fn lapse_time(lease: Duration) -> Duration {
    lease * 100 / SLOWEST_CLOCK_PERCENT + LAPSE_SLACK
}

/// How far the owner's knowledge of a run goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RunPhase {
    /// The former owner placed it.
    Inherited,
    /// A start is to be sent, or was sent so many times without an answer.
    Ordered(u32),
    /// It was there at this time.
    Started(Duration),
    /// A stop was sent and, if a time is given, confirmed then.
    Stopping(Option<Duration>),
}

/// A run that may be on the worker. It occupies the worker until its end is known.
#[derive(Clone, Debug)]
pub(super) struct WorkerRun {
    pub(super) phase: RunPhase,
    pub(super) occupied: ResourceVector,
    /// Processors of a task that uses what others leave, in thousandths of a core.
    pub(super) fill_milli: u64,
    /// Latency objective in ms of a task with users of its own.
    pub(super) target_tail_ms: Option<u64>,
    pub(super) ticket: Option<String>,
    /// Latest tail in ms of a task with users of its own.
    pub(super) tail_ms: Option<u64>,
    /// Share at which the run may work, in percent.
    pub(super) pace_percent: u32,
    /// Latest progress in percent, and when it last changed.
    pub(super) percent: u32,
    pub(super) moved_at: Duration,
    /// Estimated run time.
    pub(super) estimate: Duration,
    /// Whether progress tells nothing: the run lasts, or waits for its gang.
    pub(super) is_steady: bool,
    /// When the latest stop was sent.
    pub(super) stop_sent: Duration,
    /// When the start was placed, for the log.
    pub(super) placed_at: Duration,
}

impl WorkerRun {
    pub(super) fn new(step: &StepSpec, phase: RunPhase, now: Duration) -> Self {
        Self {
            phase,
            occupied: step.occupied(),
            fill_milli: if step.fills { step.demand.cpu_milli } else { 0 },
            target_tail_ms: step.target_tail_ms,
            ticket: None,
            tail_ms: None,
            pace_percent: 100,
            percent: 0,
            moved_at: now,
            estimate: Duration::from_millis(step.estimate_ms),
            is_steady: step.long_running || step.gang,
            stop_sent: now,
            placed_at: now,
        }
    }
}

/// Whether orders may be sent to a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum WorkerContact {
    /// It has not answered a renewal with the present token.
    Unclaimed,
    /// It answers.
    Claimed,
    /// The latest renewal had no answer.
    Doubted,
}

/// Ends that become acknowledged once the commits up to a serial are durable.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingAck {
    pub(super) serial: u64,
    pub(super) end: u64,
}

/// A worker of the service.
#[derive(Clone, Debug)]
pub(super) struct WorkerRecord {
    pub(super) listing: Option<WorkerListing>,
    pub(super) contact: WorkerContact,
    pub(super) runs: BTreeMap<RunKey, WorkerRun>,
    pub(super) used: ResourceVector,
    pub(super) fill_milli: u64,
    /// Start of the worker's life in ms since 1970.
    pub(super) started_unix_ms: Option<u64>,
    /// A reading of its clock in ms, and when it arrived.
    pub(super) clock: Option<(u64, Duration)>,
    /// Latest end of its lease that was sent, on its clock in ms.
    pub(super) granted_ms: u64,
    /// When runs of a former owner have ended at the latest.
    pub(super) inherited_until: Duration,
    pub(super) processed_end: u64,
    pub(super) acked_end: u64,
    pub(super) pending_ack: Option<PendingAck>,
    pub(super) is_hold_sent: bool,
    pub(super) hold_due: Duration,
    pub(super) misses: u32,
    /// Not preferred until then, as starts or runs failed there.
    pub(super) troubled_until: Duration,
    pub(super) failures: u32,
    pub(super) pace_due: Duration,
    /// When the runs of a worker that drains are moved elsewhere.
    pub(super) empty_at: Option<Duration>,
    pub(super) speed: WorkerSpeed,
    claims: u64,
}

impl WorkerRecord {
    pub(super) fn new(inherited_until: Duration, now: Duration) -> Self {
        Self {
            listing: None,
            contact: WorkerContact::Unclaimed,
            runs: BTreeMap::new(),
            used: ResourceVector::default(),
            fill_milli: 0,
            started_unix_ms: None,
            clock: None,
            granted_ms: 0,
            inherited_until,
            processed_end: 0,
            acked_end: 0,
            pending_ack: None,
            is_hold_sent: false,
            hold_due: now,
            misses: 0,
            troubled_until: Duration::ZERO,
            failures: 0,
            pace_due: Duration::ZERO,
            empty_at: None,
            speed: WorkerSpeed::default(),
            claims: 0,
        }
    }

    /// Returns the fencing token of an ownership at this worker.
    pub(super) const fn token(&self, epoch: Epoch) -> Epoch {
        (epoch << CLAIM_BITS) | self.claims
    }

    /// Requires a new claim, whose token is above that of every order sent so far.
    pub(super) fn reset_claim(&mut self, now: Duration) {
        self.contact = WorkerContact::Unclaimed;
        self.claims = (self.claims + 1).min((1 << CLAIM_BITS) - 1);
        self.granted_ms = 0;
        self.clock = None;
        self.pending_ack = None;
        self.hold_due = now;
        self.inherited_until = now;
    }

    /// Forgets what belonged to the former life of the worker.
    pub(super) fn rebirth(&mut self, started_unix_ms: Option<u64>, now: Duration) {
        self.reset_claim(now);
        self.started_unix_ms = started_unix_ms;
        self.processed_end = 0;
        self.acked_end = 0;
    }

    pub(super) fn address(&self) -> Option<&str> {
        self.listing
            .as_ref()
            .map(|listing| listing.address.as_str())
    }

    /// Tells whether tasks may be placed here.
    pub(super) fn takes_tasks(&self) -> bool {
        let is_listed = self.listing.as_ref().is_some_and(|row| !row.is_draining);
        self.contact == WorkerContact::Claimed && is_listed
    }

    pub(super) fn free(&self) -> ResourceVector {
        let Some(listing) = &self.listing else {
            return ResourceVector::default();
        };
        listing.capacity.minus(&self.used).unwrap_or_default()
    }

    pub(super) fn insert(&mut self, key: RunKey, run: WorkerRun) {
        self.remove(key);
        self.used = self.used.plus(&run.occupied);
        self.fill_milli += run.fill_milli;
        self.runs.insert(key, run);
    }

    pub(super) fn remove(&mut self, key: RunKey) -> Option<WorkerRun> {
        let run = self.runs.remove(&key)?;
        self.used = self.used.minus(&run.occupied).unwrap_or_default();
        self.fill_milli = self.fill_milli.saturating_sub(run.fill_milli);
        Some(run)
    }

    /// Returns how many tasks of a step may be here.
    pub(super) fn count_of_step(&self, step: StepKey) -> usize {
        let first = RunKey {
            task: TaskKey { step, index: 0 },
            attempt: 0,
        };
        let runs = self.runs.range(first..);
        runs.take_while(|(key, _)| key.task.step == step).count()
    }

    /// Tells whether a task with users of its own is here.
    pub(super) fn has_serving(&self) -> bool {
        self.runs.values().any(|run| run.target_tail_ms.is_some())
    }

    /// Returns a reading of the worker's clock that is not ahead of it by more
    /// than its drift.
    pub(super) fn clock_at(&self, now: Duration) -> Option<u64> {
        let (clock, read_at) = self.clock?;
        let elapsed = u64::try_from(now.saturating_sub(read_at).as_millis()).ok()?;
        Some(clock + elapsed)
    }

    /// Notes that the worker may have been told a lease of this length at a
    /// reading of its clock.
    pub(super) fn assume_grant(&mut self, clock_ms: u64, term: Duration) {
        let term = u64::try_from(term.as_millis()).unwrap_or(u64::MAX);
        self.granted_ms = self.granted_ms.max(clock_ms.saturating_add(term));
    }

    /// Extends the lease that the worker is told.
    pub(super) fn grant(&mut self, term: Duration, now: Duration) -> Option<u64> {
        let term = u64::try_from(term.as_millis()).ok()?;
        let deadline = self.clock_at(now)? + term;
        self.granted_ms = self.granted_ms.max(deadline);
        Some(self.granted_ms)
    }

    /// Returns when everything on the worker has ended if it gets no renewal.
    pub(super) fn lapses_at(&self) -> Duration {
        let Some((clock, read_at)) = self.clock else {
            return self.inherited_until;
        };
        let left = Duration::from_millis(self.granted_ms.saturating_sub(clock));
        (read_at + lapse_time(left)).max(self.inherited_until)
    }

    pub(super) fn stop_order(
        &self,
        worker: &WorkerId,
        run: RunKey,
        epoch: Epoch,
    ) -> Option<StopOrder> {
        Some(StopOrder {
            worker: WorkerId::clone(worker),
            address: self.address()?.to_owned(),
            run,
            token: self.token(epoch),
        })
    }
}
