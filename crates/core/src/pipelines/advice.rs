//! Tickets: which workers may run a step whose queue restricts that.

use std::{collections::BTreeMap, time::Duration};

use super::messages::AdviceReport;
use crate::types::WorkerId;

/// Part of a ticket's validity that is not used: the answer's way back, the
/// commit and the order's way to the worker.
const TICKET_MARGIN: Duration = Duration::from_millis(300);

/// Delay before a question without an answer is asked again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// A ticket and when it expires.
#[derive(Clone, Debug)]
struct TicketEntry {
    ticket: String,
    usable_until: Duration,
}

/// What is known about the workers of one step.
#[derive(Clone, Debug, Default)]
pub(super) struct AdviceBook {
    /// `None` for a worker that may not run the step, which does not change.
    rows: BTreeMap<WorkerId, Option<TicketEntry>>,
    asked: Vec<WorkerId>,
    retry_at: Duration,
}

impl AdviceBook {
    /// Returns a ticket that will still be valid when an order arrives.
    pub(super) fn ticket(&self, worker: &WorkerId, now: Duration) -> Option<&str> {
        let entry = self.rows.get(worker)?.as_ref()?;
        (entry.usable_until > now).then_some(entry.ticket.as_str())
    }

    /// Tells whether asking about the worker can bring a ticket.
    pub(super) fn can_ask(&self, worker: &WorkerId, now: Duration) -> bool {
        match self.rows.get(worker) {
            None => true,
            Some(None) => false,
            Some(Some(entry)) => entry.usable_until <= now,
        }
    }

    /// Tells whether the worker is known to be allowed.
    pub(super) fn is_allowed(&self, worker: &WorkerId) -> bool {
        matches!(self.rows.get(worker), Some(Some(_)))
    }

    pub(super) fn is_idle(&self, now: Duration) -> bool {
        self.asked.is_empty() && now >= self.retry_at
    }

    pub(super) fn note_asked(&mut self, workers: Vec<WorkerId>) {
        self.asked = workers;
    }

    /// Takes the answer; returns how many workers were asked about and allowed.
    pub(super) fn note_report(
        &mut self,
        report: Option<AdviceReport>,
        arrived_at: Duration,
        now: Duration,
    ) -> Option<(usize, usize)> {
        let asked = std::mem::take(&mut self.asked);
        let Some(mut report) = report else {
            self.retry_at = now + RETRY_DELAY;
            return None;
        };
        let usable_until = arrived_at + report.valid.saturating_sub(TICKET_MARGIN);
        let counts = (asked.len(), report.tickets.len());
        for worker in asked {
            let entry = report.tickets.remove(&worker).map(|ticket| TicketEntry {
                ticket,
                usable_until,
            });
            self.rows.insert(worker, entry);
        }
        Some(counts)
    }

    /// Forgets a ticket that its worker did not accept.
    pub(super) fn expire(&mut self, worker: &WorkerId) {
        if let Some(Some(entry)) = self.rows.get_mut(worker) {
            entry.usable_until = Duration::ZERO;
        }
    }

    /// Forgets a worker whose life has ended, as tickets end with it.
    pub(super) fn forget(&mut self, worker: &WorkerId) {
        self.rows.remove(worker);
    }
}
