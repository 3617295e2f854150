//! Requests to the advice service: which steps request tickets, and for which workers.
//!
//! Load pattern: hundreds of steps wait for tickets, and the service decides on one request
//! of a daemon at a time. Steps that fit come before those that do not fit yet, and quick
//! decisions do not wait behind slow ones.

use std::{cmp::Reverse, collections::BinaryHeap};

use super::{
    advice::{PendingRequest, TicketCache},
    messages::{AdviceOrder, PipelineAction},
    place::{PlaceCandidate, PlacementTable, WorkerPreference, choose_for_step},
    schedule::PlacementPass,
    search::StepSearch,
    spec::{AdvicePolicy, StepSpec},
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

/// Position of a worker in an advice request; lower is first: whether no task fits,
/// whether it did not accept a ticket of the step, whether it is unknown if the worker is
/// allowed, its preference, whether it is remote or mixed, how many tasks fit now
/// and beside its long-running tasks, and its row.
///
/// Load pattern: the workers that a step may use are full of other tasks. Tickets for
/// them would expire unused, so workers on which a task fits come first.
type RequestRank = (
    bool,
    bool,
    bool,
    WorkerPreference,
    bool,
    Reverse<usize>,
    Reverse<usize>,
    usize,
);

/// Largest probability, in parts per million, that the advice service allows none of the workers
/// that a request names.
const MAX_EMPTY_ANSWER_PPM: usize = 50_000;

/// Part of the workers that the advice service is expected to allow a queue.
#[derive(Clone, Copy, Debug)]
struct AllowedShare {
    /// Expected part, in percent.
    expected_percent: usize,
    /// Part below which an empty answer need not be unlikely, in percent.
    least_percent: usize,
}

impl AllowedShare {
    /// The share of workers that are known to be allowed.
    const ALL: Self = Self {
        expected_percent: 100,
        least_percent: 100,
    };
}

/// Returns which of the candidates to name in an advice request, so that enough tickets for
/// `count` tasks can be expected.
///
/// `allowed` is the part of the workers that the advice service is expected to allow.
fn choose_for_advice(
    table: &PlacementTable,
    candidates: impl Iterator<Item = PlaceCandidate>,
    cache: &TicketCache,
    step: &StepSpec,
    count: usize,
    allowed: AllowedShare,
) -> Vec<(WorkerId, InstanceNumber)> {
    let mut ranking: BinaryHeap<Reverse<RequestRank>> = candidates
        .map(|candidate| {
            let row = table.row(&candidate);
            let fitting_tasks = candidate.fitting_tasks(step);
            Reverse((
                fitting_tasks == 0,
                cache.has_rejected_ticket(row.instance),
                !cache.is_allowed(row.instance),
                candidate.preference,
                candidate.is_remote || candidate.is_mixed,
                Reverse(fitting_tasks),
                Reverse(row.fitting_tasks_when_reclaimed(&candidate, step)),
                candidate.row_index,
            ))
        })
        .collect();
    let mut expected = 0;
    // All tasks that fit on one worker depend on one decision, so a request that names few
    // workers may yield no ticket although enough are expected.
    let mut empty_answer_ppm = 1_000_000;
    let mut chosen = Vec::new();
    // One task more than needed, in percent of a task.
    let needed = (count + 1) * 100;
    while let Some(Reverse((is_full, _, is_unknown, .., Reverse(fitting_tasks), _, row_index))) =
        ranking.pop()
    {
        let is_answer_likely = is_full || empty_answer_ppm <= MAX_EMPTY_ANSWER_PPM;
        if expected >= needed && is_answer_likely {
            break;
        }
        let share = if is_unknown {
            allowed
        } else {
            AllowedShare::ALL
        };
        expected += fitting_tasks.max(1) * share.expected_percent;
        empty_answer_ppm = empty_answer_ppm * (100 - share.least_percent.min(100)) / 100;
        let row = table.row_at(row_index);
        chosen.push((WorkerId::clone(&row.worker), row.instance));
    }
    chosen
}
