//! Cache of the tickets for a step: which workers may run it.

use std::{collections::BTreeMap, time::Duration};

use super::messages::AdviceReport;
use crate::{instances::InstanceNumber, types::WorkerId};

/// Longest part of the validity of a ticket that is not used. It covers the transit of the
/// answer, the commit and the transit of the start order.
const TICKET_MARGIN: Duration = Duration::from_millis(300);

/// Largest fraction of the validity of a ticket that is not used, as its divisor. Without
/// it, tickets of short validity would never be usable.
const TICKET_MARGIN_DIVISOR: u32 = 3;

/// Delay before a failed advice request for the step is retried.
const ADVICE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// A ticket and the time until which it can be used.
#[derive(Clone, Debug)]
struct TicketEntry {
    ticket: String,
    usable_until: Duration,
    /// Whether the worker did not accept a ticket of this step.
    is_rejected: bool,
}

/// A request that was sent to the advice service and has no answer yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRequest {
    /// Whether the decision of the advice service is slow.
    pub(super) is_slow: bool,
    /// Whether the step did not fit when the request was sent.
    pub(super) is_early: bool,
}

/// Answers of the advice service about the workers of one step.
#[derive(Clone, Debug, Default)]
pub(super) struct TicketCache {
    /// Entry of each worker instance with an answer: its latest ticket, or `None` if it may
    /// not run the step. A refusal is final.
    entries: BTreeMap<InstanceNumber, Option<TicketEntry>>,
    /// Workers named in the pending request.
    requested_workers: Vec<(WorkerId, InstanceNumber)>,
    /// When the latest request was sent.
    requested_at: Duration,
    /// Number of requests that were sent.
    request_count: u32,
    /// Number of requests that failed.
    failure_count: u32,
    /// Earliest time of the next request after a failed one.
    retry_at: Duration,
}

impl TicketCache {
    /// Returns a ticket that will still be valid when a start order reaches the worker.
    pub(super) fn ticket(&self, instance: InstanceNumber, now: Duration) -> Option<&str> {
        let entry = self.entries.get(&instance)?.as_ref()?;
        (entry.usable_until > now).then_some(entry.ticket.as_str())
    }

    /// Returns the workers with a usable ticket, by ascending number.
    pub(super) fn ticketed(&self, now: Duration) -> impl Iterator<Item = InstanceNumber> {
        let entries = self.entries.iter();
        entries.filter_map(move |(instance, entry)| {
            let entry = entry.as_ref()?;
            (entry.usable_until > now).then_some(*instance)
        })
    }

    /// Returns the workers that are known to be allowed, by ascending number.
    pub(super) fn allowed(&self) -> impl Iterator<Item = InstanceNumber> {
        let entries = self.entries.iter();
        entries.filter_map(|(instance, entry)| entry.is_some().then_some(*instance))
    }

    /// Returns whether a request that names the worker can yield a new ticket.
    pub(super) fn can_request_ticket(&self, instance: InstanceNumber, now: Duration) -> bool {
        match self.entries.get(&instance) {
            None => true,
            Some(None) => false,
            Some(Some(entry)) => entry.usable_until <= now,
        }
    }

    /// Returns whether the worker is known to be allowed, even if its ticket has expired.
    pub(super) fn is_allowed(&self, instance: InstanceNumber) -> bool {
        matches!(self.entries.get(&instance), Some(Some(_)))
    }

    /// Returns whether the advice service refused the worker.
    pub(super) fn is_refused(&self, instance: InstanceNumber) -> bool {
        matches!(self.entries.get(&instance), Some(None))
    }

    /// Returns whether the worker did not accept a ticket of this step.
    pub(super) fn has_rejected_ticket(&self, instance: InstanceNumber) -> bool {
        matches!(self.entries.get(&instance), Some(Some(entry)) if entry.is_rejected)
    }

    /// Returns whether no request is pending and the delay after a failed one is over.
    pub(super) fn can_begin_request(&self, now: Duration) -> bool {
        self.requested_workers.is_empty() && now >= self.retry_at
    }

    /// Records that a request that names these workers was sent.
    pub(super) fn begin_request(
        &mut self,
        workers: Vec<(WorkerId, InstanceNumber)>,
        now: Duration,
    ) {
        self.requested_workers = workers;
        self.requested_at = now;
        self.request_count += 1;
    }

    /// Returns the time since the pending request was sent, if there is one.
    pub(super) fn request_age(&self, now: Duration) -> Option<Duration> {
        let is_pending = !self.requested_workers.is_empty();
        is_pending.then(|| now.saturating_sub(self.requested_at))
    }

    /// Returns the number of requests that were sent.
    pub(super) const fn request_count(&self) -> u32 {
        self.request_count
    }

    /// Returns the number of requests that failed.
    pub(super) const fn failure_count(&self) -> u32 {
        self.failure_count
    }

    /// Stores the answer to the pending request. Returns the number of workers that were
    /// named and the number of those that are allowed, or `None` if the request failed.
    pub(super) fn record_answer(
        &mut self,
        report: Option<AdviceReport>,
        arrived_at: Duration,
        now: Duration,
    ) -> Option<(usize, usize)> {
        let requested_workers = std::mem::take(&mut self.requested_workers);
        let Some(mut report) = report else {
            self.retry_at = now + ADVICE_RETRY_DELAY;
            self.failure_count += 1;
            return None;
        };
        let margin = TICKET_MARGIN.min(report.valid / TICKET_MARGIN_DIVISOR);
        let usable_until = arrived_at + report.valid.saturating_sub(margin);
        let counts = (requested_workers.len(), report.tickets.len());
        for (worker, instance) in requested_workers {
            let is_rejected = self.has_rejected_ticket(instance);
            let entry = report.tickets.remove(&worker).map(|ticket| TicketEntry {
                ticket,
                usable_until,
                is_rejected,
            });
            self.entries.insert(instance, entry);
        }
        Some(counts)
    }

    /// Expires a ticket that its worker did not accept.
    pub(super) fn reject_ticket(&mut self, instance: InstanceNumber) {
        if let Some(Some(entry)) = self.entries.get_mut(&instance) {
            entry.usable_until = Duration::ZERO;
            entry.is_rejected = true;
        }
    }
}
