//! Requests to the advice service: which steps request tickets, and for which workers.
//!
//! Load pattern: hundreds of steps wait for tickets, and the service decides on one request
//! of a daemon at a time. Steps that fit come before those that do not fit yet, and quick
//! decisions do not wait behind slow ones.

use super::{
    advice::{PendingRequest, TicketCache},
    messages::{AdviceOrder, PipelineAction},
    place::{AllowedShare, PlaceCandidate, PlacementTable, choose_for_advice, choose_for_step},
    schedule::{PlacementPass, StepSearch},
    spec::AdvicePolicy,
    state::PipelineState,
};
use crate::{instances::InstanceNumber, types::WorkerId};

/// Maximum number of pending requests of steps at the head of the queue that do not fit
/// yet. They start as soon as they fit, but their tickets may expire before that, and
/// requests of steps that fit wait behind theirs. At most half of the limit of slow
/// requests is used for them.
const MAX_EARLY_REQUESTS: usize = 6;

/// Decisions of the advice service that take at least this time are slow. Slow and
/// quick decisions have separate limits and daemons, so that quick ones do not wait
/// behind slow ones.
pub const SLOW_DECISION_MS: f64 = 100.0;

/// Lower bound of the part of the workers that a queue is assumed to be allowed, in
/// percent. Before the first answer, a request for few tasks names so many workers that an empty
/// answer is unlikely even then: after a takeover, it would delay tasks that are away already.
const MIN_ALLOWED_PERCENT: usize = 10;

/// Maximum number of workers that one advice request names.
const MAX_WORKERS_PER_REQUEST: usize = 100;

/// Part of the workers that a queue is assumed to be allowed before its first answer,
/// in percent.
const DEFAULT_ALLOWED_PERCENT: usize = 40;

/// Requests that a placement pass may still send.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RequestBudget {
    quick: usize,
    slow: usize,
    /// Requests of steps that do not fit yet.
    early: usize,
}

impl PipelineState {
    /// Returns the number of requests that may be sent besides the pending ones.
    pub(super) fn request_budget(&self) -> RequestBudget {
        let pending = self.pending_requests.values();
        let slow = pending.clone().filter(|pending| pending.is_slow).count();
        let quick = pending.len() - slow;
        let early = pending.filter(|pending| pending.is_early).count();
        RequestBudget {
            quick: self.quick_request_limit.saturating_sub(quick),
            slow: self.slow_request_limit.saturating_sub(slow),
            early: MAX_EARLY_REQUESTS
                .min(self.slow_request_limit / 2)
                .saturating_sub(early),
        }
    }

    /// Requests tickets for the waiting tasks of a step if they are likely to be used. A
    /// step with quick decisions also reserves the capacity that the tickets are for.
    ///
    /// Returns whether the step fits on workers for which tickets can be obtained.
    pub(super) fn request_tickets(
        &mut self,
        search: &StepSearch<'_>,
        count: usize,
        pass: &mut PlacementPass,
    ) -> bool {
        let Some(policy) = search.spec.policy.advice else {
            return false;
        };
        let is_slow = policy.decision_ms >= SLOW_DECISION_MS;
        let unknown = TicketCache::default();
        let cache = self.ticket_caches.get(&search.key).unwrap_or(&unknown);
        let can_request = pass.requests.has_room(is_slow) && cache.can_begin_request(search.now);
        let table = &pass.table;
        let possible = self.usable(search, table);
        let mut possible =
            possible.filter(|candidate| !cache.is_refused(table.row(candidate).instance));
        if is_slow && !can_request {
            return possible.next().is_some();
        }
        let planned = choose_for_step(table, possible.collect(), search.step_spec, count);
        let is_early = planned.is_empty();
        let is_premature = is_early && (!is_slow || pass.requests.early == 0);
        let workers = if can_request && !is_premature {
            self.workers_for_advice(search, cache, count, is_early, table)
        } else {
            Vec::new()
        };
        if !is_slow && !self.is_quick_advice_failing {
            // Steps behind this one would occupy the capacity before the answer
            // arrives. Without answers it would stay idle.
            for candidate in &planned {
                pass.table.allocate(candidate.row_index, search.step_spec);
            }
        }
        if !workers.is_empty() {
            let request = PendingRequest { is_slow, is_early };
            pass.requests.count(request);
            self.begin_request(search, policy, request, workers);
        }
        !is_early
    }

    /// Sends a request that names these workers.
    pub(super) fn begin_request(
        &mut self,
        search: &StepSearch<'_>,
        policy: AdvicePolicy,
        request: PendingRequest,
        workers: Vec<(WorkerId, InstanceNumber)>,
    ) {
        self.pending_requests.insert(search.key, request);
        let names = workers.iter().map(|(worker, _)| WorkerId::clone(worker));
        self.actions.push(PipelineAction::Ask(AdviceOrder {
            step: search.key,
            workers: names.collect(),
            policy,
        }));
        self.ticket_caches
            .entry(search.key)
            .or_default()
            .begin_request(workers, search.now);
    }

    /// Returns the workers to name in an advice request for a step.
    ///
    /// The members of a gang need tickets that are valid at the same time, so once the gang
    /// fits, its request also names the workers whose tickets have not expired.
    pub(super) fn workers_for_advice(
        &self,
        search: &StepSearch<'_>,
        cache: &TicketCache,
        count: usize,
        is_early: bool,
        table: &PlacementTable,
    ) -> Vec<(WorkerId, InstanceNumber)> {
        let (step_spec, now) = (search.step_spec, search.now);
        let average_percent = self.allowed_percent.get(&search.spec.policy.queue).copied();
        let average_percent = average_percent.map(|percent| percent.max(MIN_ALLOWED_PERCENT));
        let allowed = AllowedShare {
            expected_percent: average_percent.unwrap_or(DEFAULT_ALLOWED_PERCENT),
            least_percent: average_percent.unwrap_or(MIN_ALLOWED_PERCENT),
        };
        let task_allowance = |worker: &WorkerId| self.task_allowance(worker, search.key, step_spec);
        let eligible = table.eligible(step_spec, search.probation_use, task_allowance);
        // Tickets for withheld workers would expire unused.
        let eligible = eligible
            .filter(|candidate| search.may_use(table.row(candidate)) || !candidate.fits(step_spec));
        let requestable = eligible
            .filter(|candidate| cache.can_request_ticket(table.row(candidate).instance, now));
        let mut workers = choose_for_advice(table, requestable, cache, step_spec, count, allowed);
        if step_spec.gang && !is_early && !workers.is_empty() {
            let ticketed = table.eligible_among(
                cache.ticketed(now),
                step_spec,
                search.probation_use,
                task_allowance,
            );
            let ticketed = ticketed.filter(|candidate: &PlaceCandidate| {
                candidate.fits(step_spec) && search.may_use(table.row(candidate))
            });
            let rows = ticketed.map(|candidate| table.row(&candidate));
            workers.extend(rows.map(|row| (WorkerId::clone(&row.worker), row.instance)));
        }
        workers.truncate(MAX_WORKERS_PER_REQUEST);
        workers
    }
}

impl RequestBudget {
    /// Returns whether a further request for a slow or for a quick decision may be sent.
    pub(super) const fn has_room(&self, is_slow: bool) -> bool {
        let limit = if is_slow { self.slow } else { self.quick };
        limit > 0
    }

    /// Subtracts a request that is sent.
    pub(super) const fn count(&mut self, request: PendingRequest) {
        let limit = if request.is_slow {
            &mut self.slow
        } else {
            &mut self.quick
        };
        *limit = limit.saturating_sub(1);
        if request.is_early {
            self.early = self.early.saturating_sub(1);
        }
    }
}
