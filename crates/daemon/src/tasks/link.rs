//! The connection state of one worker of an owned pool.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use auburnsaddle_core::{HostEntry, HostState, ReportedTask, TaskEvent, WorkerEntry};

use crate::workers::{AttemptName, CompletionReport, EventSequence};

/// Consecutive failed exchanges after which a worker counts as unresponsive.
const UNRESPONSIVE_FAILURE_COUNT: u32 = 3;

/// Time for which an unresponsive worker must be missing from the list of hosts
/// before it is removed. The list lags, and a single reading may lack a worker.
const REMOVAL_DELAY: Duration = Duration::from_secs(10);

/// Minimum time between two claims of a worker.
const CLAIM_INTERVAL: Duration = Duration::from_secs(1);

/// The kinds of exchange of which a worker has at most one in flight.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum ExchangeKind {
    Claim,
    Sync,
    Poll,
}

/// A worker of an owned pool and the exchanges with it.
#[derive(Debug)]
pub(super) struct WorkerLink {
    pub(super) entry: WorkerEntry,
    /// `None` if the list of hosts has no valid address.
    pub(super) address: Option<SocketAddr>,
    /// Whether the list of hosts shows it as leaving; it gets no new tasks then.
    is_leaving: bool,
    /// Whether it has accepted a claim of this owner.
    pub(super) is_claimed: bool,
    /// Whether it is to be claimed, for the first time or again.
    pub(super) is_claim_due: bool,
    /// Exchanges that have no response yet.
    pub(super) in_flight: BTreeSet<ExchangeKind>,
    /// Number of starts that have no response yet; no claim is sent meanwhile.
    pub(super) starts_in_flight: u32,
    /// Starts that are held back while a claim is in flight. A task that started
    /// after the claim was executed would be missing from the response, as if it
    /// had ended.
    pub(super) held_starts: Vec<AttemptName>,
    /// Stops that the worker may not have received; they are repeated.
    pub(super) unconfirmed_stops: BTreeSet<AttemptName>,
    /// Tasks that the worker runs but the queue has not placed on it.
    pub(super) orphans: Vec<ReportedTask>,
    /// Sequence number of the last completion that was applied.
    sequence: EventSequence,
    /// Number of consecutive failed exchanges.
    failure_count: u32,
    /// Earliest time of the next claim.
    next_claim_at: Duration,
    /// Time since which the worker is missing from the list of hosts.
    missing_since: Option<Duration>,
}

impl WorkerLink {
    pub(super) fn new(host: &HostEntry) -> Self {
        Self {
            entry: build_worker_entry(host),
            address: host.address.parse().ok(),
            is_leaving: false,
            is_claimed: false,
            is_claim_due: true,
            in_flight: BTreeSet::new(),
            starts_in_flight: 0,
            held_starts: Vec::new(),
            unconfirmed_stops: BTreeSet::new(),
            orphans: Vec::new(),
            sequence: 0,
            failure_count: 0,
            next_claim_at: Duration::ZERO,
            missing_since: None,
        }
    }

    /// Applies an entry of the list of hosts. Returns an event if the worker has
    /// started or stopped leaving.
    pub(super) fn update_host(&mut self, host: &HostEntry) -> Option<TaskEvent> {
        self.entry = build_worker_entry(host);
        self.address = host.address.parse().ok();
        self.missing_since = None;
        let leaving = host.state == HostState::Leaving;
        let changed = std::mem::replace(&mut self.is_leaving, leaving) != leaving;
        let name = host.name.clone();
        match leaving {
            _ if !changed => None,
            true => Some(TaskEvent::WorkerLeaving(name)),
            false => Some(TaskEvent::WorkerStaying(name)),
        }
    }

    /// Records that the worker is missing from the list of hosts.
    pub(super) fn record_missing(&mut self, now: Duration) {
        self.missing_since.get_or_insert(now);
    }

    /// Returns whether the worker is unresponsive and has been missing from the
    /// list of hosts for long enough to be removed.
    pub(super) fn is_removable(&self, now: Duration) -> bool {
        let missing = self.missing_since;
        let is_missing = missing.is_some_and(|since| now >= since + REMOVAL_DELAY);
        is_missing && self.failure_count >= UNRESPONSIVE_FAILURE_COUNT
    }

    /// Returns whether a claim can be sent. No start may be in flight, since the
    /// response could lack its task.
    pub(super) fn can_claim(&self, now: Duration) -> bool {
        let ready = self.is_claim_due && !self.is_claiming() && now >= self.next_claim_at;
        ready && self.starts_in_flight == 0 && self.address.is_some()
    }

    /// Returns whether a claim is in flight.
    pub(super) fn is_claiming(&self) -> bool {
        self.in_flight.contains(&ExchangeKind::Claim)
    }

    pub(super) fn record_claim_sent(&mut self, now: Duration) {
        self.in_flight.insert(ExchangeKind::Claim);
        self.next_claim_at = now + CLAIM_INTERVAL;
    }

    pub(super) fn reset_failures(&mut self) {
        self.failure_count = 0;
    }

    /// Counts a failed exchange. Returns whether the worker has become
    /// unresponsive, and makes a claim due then.
    pub(super) fn record_failure(&mut self) -> bool {
        self.failure_count = self.failure_count.saturating_add(1);
        let is_unresponsive = self.failure_count == UNRESPONSIVE_FAILURE_COUNT && self.is_claimed;
        if is_unresponsive {
            self.is_claim_due = true;
        }
        is_unresponsive
    }

    /// Returns the sequence number of the last completion that was applied.
    pub(super) const fn sequence(&self) -> EventSequence {
        self.sequence
    }

    /// Resets the sequence number of completions, since a restarted worker begins
    /// a new series.
    pub(super) fn reset_sequence(&mut self) {
        self.sequence = 0;
    }

    /// Returns the completions that were not applied before, and removes their
    /// tasks from the orphans.
    pub(super) fn take_new_completions(
        &mut self,
        reports: Vec<CompletionReport>,
    ) -> Vec<CompletionReport> {
        let known = self.sequence;
        let new: Vec<_> = reports
            .into_iter()
            .filter(|report| report.sequence > known)
            .collect();
        let last = new.iter().map(|report| report.sequence).max();
        self.sequence = last.unwrap_or(known);
        self.orphans.retain(|orphan| {
            let has_ended = |report: &CompletionReport| {
                report.name.task == orphan.task && report.name.attempt == orphan.attempt
            };
            !new.iter().any(has_ended)
        });
        new
    }
}

fn build_worker_entry(host: &HostEntry) -> WorkerEntry {
    WorkerEntry {
        worker: host.name.clone(),
        zone: host.zone.clone(),
        rack: host.rack.clone(),
        capacity: host.capacity,
    }
}
