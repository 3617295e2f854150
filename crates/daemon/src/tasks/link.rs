//! What the owner of a pool knows of one worker.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use auburnsaddle_core::{HostEntry, HostState, ReportedTask, TaskEvent, WorkerEntry};

use crate::workers::{AttemptName, CompletionReport, EventSequence};

/// Failed exchanges in a row after which a worker counts as silent.
const SILENT_AFTER: u32 = 3;

/// Time without an entry in the list after which a silent worker is gone; the
/// list lags, and one reading may miss a worker.
const GONE_AFTER: Duration = Duration::from_secs(10);

/// Time between two claims of a worker that does not answer.
const CLAIM_INTERVAL: Duration = Duration::from_secs(1);

/// An exchange of which a worker has at most one at a time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum OpenExchange {
    Claim,
    Sync,
    Poll,
}

/// One worker of an owned pool.
#[derive(Debug)]
pub(super) struct WorkerLink {
    pub(super) entry: WorkerEntry,
    pub(super) address: Option<SocketAddr>,
    leaving: bool,
    pub(super) claimed: bool,
    pub(super) claim_due: bool,
    /// Exchanges that are not answered yet.
    pub(super) open: BTreeSet<OpenExchange>,
    pub(super) starts_sent: u32,
    /// Starts that wait for the answer to a claim: one that arrived between the
    /// claim and its answer would look as if it had ended.
    pub(super) held: Vec<AttemptName>,
    /// Stops that may not have arrived.
    pub(super) stops: BTreeSet<AttemptName>,
    /// What the worker runs besides the tasks of the queue.
    pub(super) orphans: Vec<ReportedTask>,
    sequence: EventSequence,
    failures: u32,
    next_claim: Duration,
    absent_since: Option<Duration>,
}

impl WorkerLink {
    pub(super) fn new(host: &HostEntry) -> Self {
        Self {
            entry: worker_entry(host),
            address: host.address.parse().ok(),
            leaving: false,
            claimed: false,
            claim_due: true,
            open: BTreeSet::new(),
            starts_sent: 0,
            held: Vec::new(),
            stops: BTreeSet::new(),
            orphans: Vec::new(),
            sequence: 0,
            failures: 0,
            next_claim: Duration::ZERO,
            absent_since: None,
        }
    }

    /// Takes over an entry of the list and returns what changed for new work.
    pub(super) fn note_host(&mut self, host: &HostEntry) -> Option<TaskEvent> {
        self.entry = worker_entry(host);
        self.address = host.address.parse().ok();
        self.absent_since = None;
        let leaving = host.state == HostState::Leaving;
        let changed = std::mem::replace(&mut self.leaving, leaving) != leaving;
        let name = host.name.clone();
        match leaving {
            _ if !changed => None,
            true => Some(TaskEvent::WorkerLeaving(name)),
            false => Some(TaskEvent::WorkerStaying(name)),
        }
    }

    pub(super) fn note_absent(&mut self, now: Duration) {
        self.absent_since.get_or_insert(now);
    }

    pub(super) fn is_gone(&self, now: Duration) -> bool {
        let absent = self.absent_since;
        let absent = absent.is_some_and(|since| now >= since + GONE_AFTER);
        absent && self.failures >= SILENT_AFTER
    }

    /// Tells whether a claim can be sent: no start may be on its way.
    pub(super) fn can_claim(&self, now: Duration) -> bool {
        let ready = self.claim_due && !self.claims() && now >= self.next_claim;
        ready && self.starts_sent == 0 && self.address.is_some()
    }

    /// Tells whether a claim is on its way.
    pub(super) fn claims(&self) -> bool {
        self.open.contains(&OpenExchange::Claim)
    }

    pub(super) fn note_claim_sent(&mut self, now: Duration) {
        self.open.insert(OpenExchange::Claim);
        self.next_claim = now + CLAIM_INTERVAL;
    }

    pub(super) fn note_answer(&mut self) {
        self.failures = 0;
    }

    /// Notes a failed exchange and tells whether the worker has become silent.
    pub(super) fn note_failure(&mut self) -> bool {
        self.failures = self.failures.saturating_add(1);
        let silent = self.failures == SILENT_AFTER && self.claimed;
        if silent {
            self.claim_due = true;
        }
        silent
    }

    pub(super) const fn sequence(&self) -> EventSequence {
        self.sequence
    }

    /// Starts the series of completions anew: the worker may have restarted.
    pub(super) fn reset_sequence(&mut self) {
        self.sequence = 0;
    }

    /// Returns the completions that are not known yet.
    pub(super) fn take_new(&mut self, reports: Vec<CompletionReport>) -> Vec<CompletionReport> {
        let known = self.sequence;
        let new: Vec<_> = reports
            .into_iter()
            .filter(|report| report.sequence > known)
            .collect();
        let last = new.iter().map(|report| report.sequence).max();
        self.sequence = last.unwrap_or(known);
        self.orphans.retain(|orphan| {
            let same = |report: &CompletionReport| {
                report.name.task == orphan.task && report.name.attempt == orphan.attempt
            };
            !new.iter().any(same)
        });
        new
    }
}

fn worker_entry(host: &HostEntry) -> WorkerEntry {
    WorkerEntry {
        worker: host.name.clone(),
        zone: host.zone.clone(),
        rack: host.rack.clone(),
        capacity: host.capacity,
    }
}
