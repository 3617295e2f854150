//! The placement pass, which places waiting tasks in queue order, and the renewal of
//! leases.
//!
//! Load pattern: bursts of small jobs of high priority arrive while wide jobs
//! of low priority keep the workers busy. Steps are placed by priority and then
//! by the latency objective of their job. Steps behind a gang that does not fit may
//! overtake it, but not on the workers that are reserved for it.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use super::{
    advice::PendingRequest,
    commit::PendingStart,
    headroom::{GANG_RESERVATION_PERCENT, HEADROOM_PERCENT, has_slack},
    messages::{AdviceOrder, PipelineAction, PipelineNote, RenewalOrder},
    place::{ExhaustedDemands, PlaceCandidate, PlacementTable, choose_for_advice, choose_for_step},
    progress::{PipelinePhase, StepProgress, TaskPlace},
    spec::{AdvicePolicy, PipelineId, PipelineSpec, RunKey, StepKey, StepSpec, TaskKey},
    state::PipelineState,
    wait::StepWait,
    worker::{RunPhase, WorkerContact, WorkerRun},
};
use crate::types::WorkerId;

/// Maximum number of steps of one queue that a pass leaves with waiting tasks before it
/// skips steps that fit on no worker. Those at the head of the queue reserve workers and
/// request tickets early; the others would only cost CPU time.
const MAX_UNPLACED_STEPS_PER_QUEUE: u32 = 24;

/// Maximum number of steps of one queue that a pass leaves waiting for tickets. The steps
/// behind them would wait for the same answers.
const MAX_UNTICKETED_STEPS_PER_QUEUE: u32 = 24;

/// Maximum number of steps that one pass examines.
const MAX_STEPS_PER_PASS: usize = 2_048;

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
/// percent.
const MIN_ALLOWED_PERCENT: usize = 10;

/// Maximum number of workers that one advice request names.
const MAX_WORKERS_PER_REQUEST: usize = 100;

/// Part of the workers that a queue is assumed to be allowed before its first answer,
/// in percent.
const DEFAULT_ALLOWED_PERCENT: usize = 40;

/// Time for which leases are renewed after the confirmed ownership has run out, so
/// that runs survive an outage of the store.
pub(super) const UNCONFIRMED_RENEWAL_TIME: Duration = Duration::from_secs(10);

/// Position in the queue; lower is first: whether the job has expired, its priority,
/// whether it has missed its objective, and the objective in ms since 1970.
pub(super) type QueueRank = (bool, u32, bool, u64);

/// A job expires after this multiple of the time allowed by its latency objective: its
/// result is of no use any more, and it is placed after all others.
const EXPIRY_FACTOR: u64 = 3;

/// Settings of [`PipelineState`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PipelineConfig {
    /// Term for which each renewal extends the lease of a worker.
    pub lease: Duration,
    /// Longest term that a worker accepts. A previous owner may have granted it.
    pub max_lease: Duration,
    /// How long a worker may delay its answer to a renewal until a run ends.
    pub renewal_wait: Duration,
}

/// A step with waiting tasks that lack tickets.
struct MissingTickets<'a> {
    key: StepKey,
    step_spec: &'a StepSpec,
    policy: AdvicePolicy,
    queue: &'a str,
    /// Number of waiting tasks.
    count: usize,
    /// Workers on which the step is not placed although a task fits, by ascending row.
    withheld: &'a [PlaceCandidate],
}

/// Steps of one queue that a placement pass has left with waiting tasks.
#[derive(Clone, Copy, Debug, Default)]
struct QueueBacklog {
    steps: u32,
    /// Number of the steps that fit on workers for which tickets can be obtained.
    unticketed_steps: u32,
}

/// State of one placement pass over the ready steps.
#[derive(Debug)]
struct PlacementPass {
    table: PlacementTable,
    /// Steps left with waiting tasks, by queue.
    backlogs: BTreeMap<String, QueueBacklog>,
    /// Demands that fit on no worker, by whether the headroom is withheld and by the
    /// required label.
    exhausted: BTreeMap<(bool, Option<String>), ExhaustedDemands>,
    /// Workers that jobs with slack leave free for urgent jobs, by row in the table;
    /// `None` before the first job with slack.
    headroom: Option<BTreeSet<usize>>,
    /// Number of workers that are reserved for gangs.
    reserved_workers: usize,
    /// Priority of the most urgent queue of the service.
    top_priority: u32,
    /// Number of further steps that may request tickets although they do not fit.
    early_requests_left: usize,
}

impl PipelineState {
    /// Runs a placement pass: places waiting tasks in queue order and requests missing
    /// tickets.
    ///
    /// The caller calls it once after a series of events. It does nothing unless one
    /// of them may have changed what can be placed.
    pub fn schedule(&mut self, now: Duration) -> Vec<PipelineAction> {
        let is_due = std::mem::take(&mut self.is_placement_due);
        if is_due && now < self.confirmed_until && !self.ready.is_empty() {
            let table = PlacementTable::new(self.workers.iter(), self.typical_ratio_percent, now);
            let pending = self.pending_requests.values();
            let early_requests = pending.filter(|pending| pending.is_early).count();
            let mut pass = PlacementPass {
                table,
                backlogs: BTreeMap::new(),
                exhausted: BTreeMap::new(),
                headroom: None,
                reserved_workers: 0,
                top_priority: self.top_priority,
                early_requests_left: MAX_EARLY_REQUESTS
                    .min(self.slow_request_limit / 2)
                    .saturating_sub(early_requests),
            };
            let ready = self.ready.iter().take(MAX_STEPS_PER_PASS);
            let ready: Vec<(QueueRank, StepKey)> = ready.copied().collect();
            for (rank, key) in ready {
                self.place_step(rank, key, &mut pass, now);
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns how many more tasks of a step a worker may run according to the
    /// required label and the limit for each worker.
    fn task_allowance(&self, worker: &WorkerId, key: StepKey, step_spec: &StepSpec) -> usize {
        let Some(record) = self.workers.get(worker) else {
            return 0;
        };
        let has_label = match (&step_spec.required_label, &record.listing) {
            (Some(label), Some(listing)) => listing.labels.contains(label),
            (Some(_), None) => false,
            (None, _) => true,
        };
        match step_spec.per_worker_limit {
            _ if !has_label => 0,
            Some(limit) => {
                let limit = usize::try_from(limit).unwrap_or(usize::MAX);
                limit.saturating_sub(record.step_run_count(key))
            }
            None => usize::MAX,
        }
    }

    /// Places the waiting tasks of a step, requests tickets for those that lack them, and
    /// reserves workers for a gang that does not fit.
    fn place_step(
        &mut self,
        rank: QueueRank,
        key: StepKey,
        pass: &mut PlacementPass,
        now: Duration,
    ) {
        let Some(record) = self.pipelines.get(&key.pipeline) else {
            return;
        };
        let spec = Arc::clone(&record.spec);
        let (Some(step_spec), Some(progress)) =
            (spec.steps.get(key.step as usize), record.progress.step(key))
        else {
            return;
        };
        let backlog = pass.backlogs.get(&spec.policy.queue);
        let backlog = backlog.copied().unwrap_or_default();
        let can_wait = has_slack(&spec, key.occurrence, pass.top_priority, self.wall_ms);
        let is_behind = backlog.steps >= MAX_UNPLACED_STEPS_PER_QUEUE;
        let exhausted_key = (can_wait, step_spec.required_label.clone());
        let exhausted = pass.exhausted.entry(exhausted_key).or_default();
        if backlog.unticketed_steps >= MAX_UNTICKETED_STEPS_PER_QUEUE
            || (is_behind && exhausted.contains(step_spec))
        {
            self.skip_step(key, now);
            return;
        }
        let waiting: Vec<u32> = progress.waiting_tasks().collect();
        let task_allowance = |worker: &WorkerId| self.task_allowance(worker, key, step_spec);
        let mut fitting = pass.table.fitting(step_spec, task_allowance);
        let mut withheld = Vec::new();
        if can_wait {
            let table = &pass.table;
            let headroom = pass
                .headroom
                .get_or_insert_with(|| table.emptiest_workers(HEADROOM_PERCENT));
            (withheld, fitting) = fitting
                .into_iter()
                .partition(|candidate| headroom.contains(&candidate.row_index));
            if self.needs_headroom(key, step_spec, &fitting, table) {
                fitting.append(&mut withheld);
            }
        }
        if fitting.is_empty() {
            if withheld.is_empty() {
                exhausted.insert(step_spec);
            }
            if is_behind {
                self.skip_step(key, now);
                return;
            }
        }
        let mut allowed = fitting.clone();
        if spec.policy.advice.is_some() {
            let cache = self.ticket_caches.entry(key).or_default();
            allowed.retain(|candidate| cache.ticket(pass.table.worker(candidate), now).is_some());
        }
        let chosen = choose_for_step(&pass.table, &allowed, step_spec, waiting.len());
        let unplaced_count = waiting.len() - chosen.len();
        for candidate in &chosen {
            pass.table.allocate(candidate, step_spec);
        }
        let chosen: Vec<WorkerId> = chosen
            .iter()
            .map(|candidate| WorkerId::clone(pass.table.worker(candidate)))
            .collect();
        let has_progress = !chosen.is_empty();
        self.place_tasks(key, &waiting, chosen, now);
        if unplaced_count == 0 {
            return;
        }
        let mut is_unticketed = false;
        if let Some(policy) = spec.policy.advice {
            let missing = MissingTickets {
                key,
                step_spec,
                policy,
                queue: &spec.policy.queue,
                count: unplaced_count,
                withheld: &withheld,
            };
            is_unticketed = self.request_tickets(&missing, &fitting, pass, now);
        }
        let backlog = pass.backlogs.entry(spec.policy.queue.clone()).or_default();
        backlog.steps += 1;
        backlog.unticketed_steps += u32::from(is_unticketed);
        let (is_expired, ..) = rank;
        if step_spec.gang && !is_expired {
            self.reserve_for_gang(&spec, key, can_wait, pass);
        }
        self.record_wait(key, has_progress, now);
        if self.is_wait_log_due(key, now) {
            let wait = self.describe_wait(key, &pass.table, &fitting, &withheld, now);
            let wait = StepWait {
                waiting_tasks: unplaced_count,
                ..wait
            };
            self.log_wait(key, wait, now);
        }
    }

    /// Leaves a step for a later pass.
    fn skip_step(&mut self, key: StepKey, now: Duration) {
        self.record_wait(key, false, now);
        if self.is_wait_log_due(key, now) {
            let wait = StepWait {
                is_skipped: true,
                ..StepWait::default()
            };
            self.log_wait(key, wait, now);
        }
    }

    /// Reserves workers for a waiting gang, so that the tasks behind it do not occupy
    /// the capacity that becomes free there bit by bit. A gang that can wait reserves no
    /// worker of the headroom, as it is not placed there.
    fn reserve_for_gang(
        &self,
        spec: &PipelineSpec,
        key: StepKey,
        can_wait: bool,
        pass: &mut PlacementPass,
    ) {
        let Some(step_spec) = spec.steps.get(key.step as usize) else {
            return;
        };
        let limit = pass.table.len() * GANG_RESERVATION_PERCENT / 100;
        let limit = limit.max(1);
        if pass.reserved_workers >= limit {
            return;
        }
        let mut eligible_workers = pass.table.eligible_workers(step_spec, |worker| {
            self.task_allowance(worker, key, step_spec)
        });
        if let Some(headroom) = pass.headroom.as_ref().filter(|_| can_wait) {
            eligible_workers.retain(|candidate| !headroom.contains(&candidate.row_index));
        }
        if spec.policy.advice.is_some() {
            let cache = self.ticket_caches.get(&key);
            eligible_workers.retain(|candidate| {
                let worker = pass.table.worker(candidate);
                cache.is_some_and(|cache| cache.is_allowed(worker))
            });
        }
        eligible_workers.sort_by_key(|candidate| {
            (
                Reverse(candidate.fitting_tasks(step_spec)),
                Reverse(candidate.free_share_permille()),
            )
        });
        let mut uncovered_tasks = step_spec.count as usize;
        let mut planned = Vec::new();
        for candidate in eligible_workers {
            if uncovered_tasks == 0 {
                break;
            }
            uncovered_tasks =
                uncovered_tasks.saturating_sub(candidate.fitting_tasks_when_reclaimed(step_spec));
            planned.push(candidate.row_index);
        }
        if uncovered_tasks == 0 && pass.reserved_workers + planned.len() <= limit {
            pass.reserved_workers += planned.len();
            for index in planned {
                pass.table.reserve_worker(index);
            }
        }
    }

    /// Requests tickets for a step if they are likely to be used. A step with quick
    /// decisions also reserves the capacity that the tickets are for.
    ///
    /// Returns whether the step fits on workers for which tickets can be obtained.
    fn request_tickets(
        &mut self,
        missing: &MissingTickets<'_>,
        fitting: &[PlaceCandidate],
        pass: &mut PlacementPass,
        now: Duration,
    ) -> bool {
        let (key, step_spec, count) = (missing.key, missing.step_spec, missing.count);
        let is_slow = missing.policy.decision_ms >= SLOW_DECISION_MS;
        let pending = self.pending_requests.values();
        let pending = pending.filter(|pending| pending.is_slow == is_slow).count();
        let limit = if is_slow {
            self.slow_request_limit
        } else {
            self.quick_request_limit
        };
        let cache = self.ticket_caches.entry(key).or_default();
        let can_request = cache.can_begin_request(now) && pending < limit;
        let mut possible = fitting.iter().filter(|candidate| {
            let worker = pass.table.worker(candidate);
            cache.can_request_ticket(worker, now) || cache.ticket(worker, now).is_some()
        });
        if is_slow && !can_request {
            return possible.next().is_some();
        }
        let possible: Vec<PlaceCandidate> = possible.copied().collect();
        let planned = choose_for_step(&pass.table, &possible, step_spec, count);
        let is_early_request = planned.is_empty();
        let is_premature = is_early_request && (!is_slow || pass.early_requests_left == 0);
        let workers = if can_request && !is_premature {
            self.workers_for_advice(missing, is_early_request, &pass.table, now)
        } else {
            Vec::new()
        };
        if !is_slow && !self.is_quick_advice_failing {
            // Steps behind this one would occupy the capacity before the answer
            // arrives. Without answers it would stay idle.
            for candidate in &planned {
                pass.table.allocate(candidate, step_spec);
            }
        }
        if workers.is_empty() {
            return !is_early_request;
        }
        pass.early_requests_left -= usize::from(is_early_request);
        let request = PendingRequest {
            is_slow,
            is_early: is_early_request,
        };
        self.pending_requests.insert(key, request);
        self.ticket_caches
            .entry(key)
            .or_default()
            .begin_request(workers.clone(), now);
        self.actions.push(PipelineAction::Ask(AdviceOrder {
            step: key,
            workers,
            policy: missing.policy,
        }));
        !is_early_request
    }

    /// Returns the workers to name in an advice request for a step.
    ///
    /// The members of a gang need tickets that are valid at the same time, so once the gang
    /// fits, its request also names the workers whose tickets have not expired.
    fn workers_for_advice(
        &self,
        missing: &MissingTickets<'_>,
        is_early_request: bool,
        table: &PlacementTable,
        now: Duration,
    ) -> Vec<WorkerId> {
        let (key, step_spec) = (missing.key, missing.step_spec);
        let Some(cache) = self.ticket_caches.get(&key) else {
            return Vec::new();
        };
        let average_percent = self.allowed_percent.get(missing.queue).copied();
        let percent = average_percent
            .unwrap_or(DEFAULT_ALLOWED_PERCENT)
            .max(MIN_ALLOWED_PERCENT);
        let mut eligible_workers = table.eligible_workers(step_spec, |worker| {
            self.task_allowance(worker, key, step_spec)
        });
        // Tickets for withheld workers would expire unused.
        eligible_workers.retain(|candidate| {
            let withheld = missing.withheld;
            let row = withheld.binary_search_by_key(&candidate.row_index, |other| other.row_index);
            row.is_err()
        });
        let (requestable, ticketed): (Vec<_>, Vec<_>) = eligible_workers
            .into_iter()
            .partition(|candidate| cache.can_request_ticket(table.worker(candidate), now));
        let mut workers = choose_for_advice(
            table,
            &requestable,
            cache,
            step_spec,
            missing.count,
            percent,
        );
        if step_spec.gang && !is_early_request && !workers.is_empty() {
            let ticketed = ticketed.iter().filter(|candidate| {
                candidate.fits(step_spec) && cache.is_allowed(table.worker(candidate))
            });
            workers.extend(ticketed.map(|candidate| WorkerId::clone(table.worker(candidate))));
        }
        workers.truncate(MAX_WORKERS_PER_REQUEST);
        workers
    }

    /// Places the first waiting tasks on the chosen workers, one on each entry of `chosen`.
    fn place_tasks(&mut self, key: StepKey, waiting: &[u32], chosen: Vec<WorkerId>, now: Duration) {
        if chosen.is_empty() {
            return;
        }
        let Some(step_spec) = self.step_spec(key).cloned() else {
            return;
        };
        let Some(record) = self.pipelines.get_mut(&key.pipeline) else {
            return;
        };
        if !record.has_placed_task && record.progress.phase == PipelinePhase::Queued {
            record.has_placed_task = true;
            let note = PipelineNote::Placed {
                pipeline: key.pipeline,
                queue: record.spec.policy.queue.clone(),
                waited_ms: self.wall_ms.saturating_sub(record.spec.accepted_unix_ms),
                worker: WorkerId::clone(&chosen[0]),
            };
            self.actions.push(PipelineAction::Log(note));
        }
        let Some(step) = record.progress.step_mut(key) else {
            return;
        };
        if step_spec.gang {
            align_gang(step);
        }
        let starts = self.pending_starts.entry(key.pipeline).or_default();
        for (index, worker) in waiting.iter().zip(chosen) {
            let Some(task) = step.tasks.get_mut(*index as usize) else {
                continue;
            };
            task.attempt += 1;
            task.place = TaskPlace::Placed(WorkerId::clone(&worker));
            let run = RunKey {
                task: TaskKey {
                    step: key,
                    index: *index,
                },
                attempt: task.attempt,
            };
            let cache = self.ticket_caches.get(&key);
            let ticket = cache.and_then(|cache| cache.ticket(&worker, now));
            let ticket = ticket.map(str::to_owned);
            let mut entry = WorkerRun::new(&step_spec, RunPhase::Ordered(0), now);
            entry.ticket.clone_from(&ticket);
            if let Some(record) = self.workers.get_mut(&worker) {
                record.insert_run(run, entry);
            }
            starts.push(PendingStart {
                worker,
                run,
                ticket,
            });
        }
        self.mark_dirty(key.pipeline);
        self.refresh_ready_steps(key.pipeline);
    }

    /// Adds the occurrences of a job that have become due, and updates its ready steps
    /// and their ranks.
    pub(super) fn refresh_ready_steps(&mut self, id: PipelineId) {
        let Some(record) = self.pipelines.get_mut(&id) else {
            return;
        };
        let spec = record.spec.clone();
        let is_final = record.progress.phase.is_final();
        let mut has_new_occurrence = false;
        if !is_final {
            let due = match &spec.schedule {
                None => 1,
                Some(schedule) => {
                    let all = 0..schedule.occurrences;
                    // Occurrences are due in order.
                    let due = all
                        .take_while(|occurrence| schedule.due_unix_ms(*occurrence) < self.wall_ms);
                    u32::try_from(due.count()).unwrap_or(u32::MAX)
                }
            };
            for occurrence in 0..due {
                if !record.progress.has_occurrence(occurrence) {
                    record.progress.add_occurrence(&spec, occurrence);
                    has_new_occurrence = true;
                }
            }
        }
        let previously_ready = std::mem::take(&mut record.ready);
        for (key, rank) in &previously_ready {
            self.ready.remove(&(*rank, *key));
        }
        if !is_final {
            for (occurrence, steps) in &record.progress.occurrences {
                let rank = queue_rank(&spec, *occurrence, self.wall_ms);
                for (index, progress) in (0..).zip(steps) {
                    let step_spec = &spec.steps[index as usize];
                    let is_unblocked = step_spec.after.iter().all(|dependency| {
                        steps
                            .get(*dependency as usize)
                            .is_some_and(StepProgress::is_done)
                    });
                    let can_start_gang = !step_spec.gang || progress.is_unplaced();
                    if is_unblocked && can_start_gang && progress.waiting_tasks().next().is_some() {
                        let key = StepKey {
                            pipeline: id,
                            occurrence: *occurrence,
                            step: index,
                        };
                        record.ready.insert(key, rank);
                        self.ready.insert((rank, key));
                        self.is_placement_due = true;
                    }
                }
            }
        }
        for key in previously_ready.keys() {
            if !record.ready.contains_key(key) {
                self.waits.remove(key);
            }
        }
        if has_new_occurrence && spec.schedule.is_some() {
            self.mark_dirty(id);
        }
    }

    /// Updates the ranks of jobs that have become late or expired.
    pub(super) fn update_stale_ranks(&mut self) {
        let wall_ms = self.wall_ms;
        let ready = self.ready.iter().filter(|(rank, key)| {
            let record = self.pipelines.get(&key.pipeline);
            record.is_some_and(|record| queue_rank(&record.spec, key.occurrence, wall_ms) != *rank)
        });
        let stale: BTreeSet<PipelineId> = ready.map(|(_, key)| key.pipeline).collect();
        for id in stale {
            self.refresh_ready_steps(id);
        }
    }

    /// Sends the renewals that are due.
    pub(super) fn renew_leases(&mut self, now: Duration) {
        let due = self.workers.iter().filter(|(_, record)| {
            record.listing.is_some() && !record.is_renewal_pending && now >= record.renewal_due
        });
        let due: Vec<WorkerId> = due.map(|(worker, _)| WorkerId::clone(worker)).collect();
        for worker in due {
            self.renew_lease(&worker, now);
        }
    }

    /// Sends the renewal of a worker's lease if it is due.
    pub(super) fn renew_lease(&mut self, worker: &WorkerId, now: Duration) {
        let may_renew = now < self.confirmed_until + UNCONFIRMED_RENEWAL_TIME;
        let Some(record) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(listing) = &record.listing else {
            return;
        };
        if record.is_renewal_pending || now < record.renewal_due || !may_renew {
            return;
        }
        let address = listing.address.clone();
        let (deadline_ms, wait) = match record.contact {
            // The answer to the first renewal reports the worker's clock, on which
            // the deadline is given. The lease of a worker that does not answer is
            // not extended.
            WorkerContact::Unclaimed | WorkerContact::Doubted => (None, Duration::ZERO),
            WorkerContact::Claimed => {
                let wait = match record.pending_ack {
                    Some(_) => Duration::ZERO,
                    None => self.config.renewal_wait,
                };
                (record.extend_lease(self.config.lease, now), wait)
            }
        };
        record.is_renewal_pending = true;
        record.is_renewal_misdirected = false;
        self.actions.push(PipelineAction::Renew(RenewalOrder {
            worker: WorkerId::clone(worker),
            address,
            token: record.token(self.epoch),
            acked_end: record.acked_end,
            deadline_ms,
            wait,
        }));
    }
}

/// Returns the position of an occurrence in the queue.
///
/// Load pattern: after an outage or a burst, more jobs wait than can meet their
/// objectives. Jobs that can still meet theirs come first: in the order of arrival,
/// all of them would be late.
fn queue_rank(spec: &PipelineSpec, occurrence: u32, wall_ms: u64) -> QueueRank {
    let objective = spec.objective_unix_ms(occurrence);
    let start = spec.start_unix_ms(occurrence);
    let expires_at = start + (objective - start) * EXPIRY_FACTOR;
    let is_long_running = spec.steps.iter().any(|step| step.long_running);
    let is_late = !is_long_running && wall_ms > objective;
    let is_expired = !is_long_running && wall_ms > expires_at;
    (is_expired, spec.policy.priority, is_late, objective)
}

/// Gives all members of a gang the highest attempt and the greatest checkpoint among
/// them.
fn align_gang(step: &mut StepProgress) {
    let attempt = step.tasks.iter().map(|task| task.attempt).max();
    let checkpoint = step.tasks.iter().map(|task| &task.checkpoint);
    let checkpoint = checkpoint.max().cloned().unwrap_or_default();
    for task in &mut step.tasks {
        task.attempt = attempt.unwrap_or_default();
        task.checkpoint.clone_from(&checkpoint);
    }
}
