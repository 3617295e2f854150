//! The placement pass, which places waiting tasks in queue order, and the renewal of
//! leases.
//!
//! Load pattern: bursts of small jobs of high priority arrive while wide jobs
//! of low priority keep the workers busy. Steps are placed by priority and then
//! by the latency objective of their job. Steps behind a gang that does not fit may
//! overtake it, but not on the workers that are reserved for it.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{
    commit::PendingStart,
    exhausted::ExhaustedDemands,
    headroom::{GANG_RESERVATION_PERCENT, HEADROOM_PERCENT, has_slack},
    messages::{PipelineAction, PipelineNote, RenewalOrder},
    place::{PlaceCandidate, PlacementTable},
    place::{choose_for_reservation, choose_for_step, choose_idlest},
    probation::ProbationUse,
    progress::{PipelinePhase, StepProgress, TaskPlace},
    proven::ProvenUse,
    queue::QueueRank,
    requests::RequestBudget,
    search::StepSearch,
    spec::{RunKey, StepKey, StepSpec, TaskKey},
    state::PipelineState,
    wait::StepWait,
    worker::{RenewalStatus, ReportStatus, RunPhase, WorkerContact, WorkerRun},
};
use crate::types::WorkerId;

/// Maximum number of steps of one queue that a pass leaves with waiting tasks before it
/// skips steps that fit on no worker. Those at the head of the queue reserve workers and
/// request tickets early; the others would only cost CPU time.
const MAX_UNPLACED_STEPS_PER_QUEUE: u32 = 24;

/// Maximum number of steps of one queue that a pass leaves waiting for tickets. The steps
/// behind them would wait for the same answers.
const MAX_UNTICKETED_STEPS_PER_QUEUE: u32 = 24;

/// Time for which leases are renewed after the confirmed ownership has run out, so
/// that runs survive an outage of the store. They are extended only as far as
/// [`PipelineEvent::ExtensionsPermitted`](super::PipelineEvent::ExtensionsPermitted) permits.
pub const UNCONFIRMED_RENEWAL_TIME: Duration = Duration::from_secs(10);

/// Settings of [`PipelineState`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PipelineConfig {
    /// Term for which each renewal extends the lease of a worker.
    pub lease: Duration,
    /// Longest term that a worker accepts, as it may get by an order for its former instance.
    pub max_lease: Duration,
    /// Longest term that an earlier owner may have granted.
    pub inherited_lease: Duration,
    /// Interval at which workers update their entries in the registry, and so the age that an
    /// entry may have when it is read.
    pub listing_interval: Duration,
    /// How long a worker may delay its answer to a renewal until a run ends.
    pub renewal_wait: Duration,
    /// Whether callers compete for too little room: work that cannot all be in time is ordered by what
    /// its delay costs, and runs that resume from a checkpoint are stopped for urgent work.
    pub manages_scarcity: bool,
}

/// Steps of one queue that a placement pass has left with waiting tasks.
#[derive(Clone, Copy, Debug, Default)]
struct QueueBacklog {
    steps: u32,
    /// Number of the steps that fit on workers for which tickets can be obtained.
    unticketed_steps: u32,
}

/// Demands that fit on no worker, of the steps with the same label that may use the same
/// workers.
#[derive(Clone, Debug)]
struct ExhaustedGroup {
    /// Whether the steps leave the headroom free.
    can_wait: bool,
    probation_use: ProbationUse,
    required_label: Option<String>,
    demands: ExhaustedDemands,
}

/// What a placement pass has done with a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StepOutcome {
    /// It has placed the step as far as it fits.
    Considered,
    /// It has skipped the step, and so would it those that need the same: there is no room for
    /// them, or many steps of their queue wait for tickets before them.
    Skipped,
}

/// State of one placement pass over the ready steps.
#[derive(Debug)]
pub(super) struct PlacementPass {
    pub(super) table: PlacementTable,
    /// Steps left with waiting tasks, by queue.
    backlogs: BTreeMap<String, QueueBacklog>,
    exhausted: Vec<ExhaustedGroup>,
    /// Number of workers that are reserved for gangs.
    reserved_workers: usize,
    /// Number of workers that are held for lost tasks.
    pub(super) held_workers: usize,
    /// Steps for whose lost tasks workers are held, with their number.
    pub(super) held_steps: BTreeMap<StepKey, usize>,
    /// Number of steps that the pass has dealt with.
    step_count: usize,
    /// Number of tasks that the pass has placed.
    pub(super) placed_tasks: usize,
    /// Steps with waiting tasks that have failed.
    pub(super) retries: Vec<StepKey>,
    /// Priority of the most urgent queue of the service.
    top_priority: u32,
    pub(super) requests: RequestBudget,
}

impl PlacementPass {
    /// Returns the exhausted demands of the steps like this one.
    fn exhausted_demands(
        &mut self,
        can_wait: bool,
        probation_use: ProbationUse,
        step_spec: &StepSpec,
    ) -> &mut ExhaustedDemands {
        let found = self.exhausted.iter().position(|group| {
            group.can_wait == can_wait
                && group.probation_use == probation_use
                && group.required_label == step_spec.required_label
        });
        let index = found.unwrap_or_else(|| {
            self.exhausted.push(ExhaustedGroup {
                can_wait,
                probation_use,
                required_label: step_spec.required_label.clone(),
                demands: ExhaustedDemands::default(),
            });
            self.exhausted.len() - 1
        });
        &mut self.exhausted[index].demands
    }

    fn backlog(&self, queue: &str) -> QueueBacklog {
        self.backlogs.get(queue).copied().unwrap_or_default()
    }

    /// Counts a step of a queue that is left with waiting tasks.
    fn add_backlog(&mut self, queue: &str, is_unticketed: bool) {
        if !self.backlogs.contains_key(queue) {
            let backlog = QueueBacklog::default();
            self.backlogs.insert(queue.to_owned(), backlog);
        }
        if let Some(backlog) = self.backlogs.get_mut(queue) {
            backlog.steps += 1;
            backlog.unticketed_steps += u32::from(is_unticketed);
        }
    }
}

impl PipelineState {
    /// Runs a placement pass: places waiting tasks in queue order and requests missing
    /// tickets.
    ///
    /// The caller calls it once after a series of events. It does nothing unless one
    /// of them may have changed what can be placed.
    pub fn schedule(&mut self, now: Duration) -> Vec<PipelineAction> {
        let is_due = std::mem::take(&mut self.is_placement_due);
        if is_due {
            self.quotas.begin_pass();
        }
        if is_due && now < self.confirmed_until && !self.ready.is_empty() {
            let table = PlacementTable::new(self.workers.iter(), self.typical_ratio_percent, now);
            let mut pass = PlacementPass {
                table,
                backlogs: BTreeMap::new(),
                exhausted: Vec::new(),
                reserved_workers: 0,
                held_workers: 0,
                held_steps: BTreeMap::new(),
                step_count: 0,
                placed_tasks: 0,
                retries: Vec::new(),
                top_priority: self.top_priority,
                requests: self.request_budget(),
            };
            self.restore_lost_tasks(&mut pass, now);
            let mut cursor = self.ready.cursor();
            while let Some(entry) = cursor.pop() {
                let outcome = self.place_step(entry.rank, entry.key, &mut pass, now);
                if outcome == StepOutcome::Considered {
                    cursor.continue_group(&entry, &self.ready);
                }
                pass.step_count += 1;
            }
            self.place_retries(&mut pass, now);
            self.visited_steps += pass.step_count as u64;
            if self.config.manages_scarcity {
                self.preempt_for_urgent(&pass.table, now);
                self.update_deferred_steps(pass.table.usable_cpu_milli(), now);
            }
            self.examined_candidates += pass.table.examined();
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns how many more tasks of a step a worker may run according to the
    /// required label and the limit for each worker.
    pub(super) fn task_allowance(
        &self,
        worker: &WorkerId,
        key: StepKey,
        step_spec: &StepSpec,
    ) -> usize {
        let Some(record) = self.workers.get(worker) else {
            return 0;
        };
        match step_spec.per_worker_limit {
            _ if !self.has_label(worker, step_spec) => 0,
            Some(limit) => {
                let limit = usize::try_from(limit).unwrap_or(usize::MAX);
                limit.saturating_sub(record.step_run_count(key))
            }
            None => usize::MAX,
        }
    }

    /// Returns whether a worker has the label that a step requires.
    pub(super) fn has_label(&self, worker: &WorkerId, step_spec: &StepSpec) -> bool {
        let record = self.workers.get(worker);
        match (
            &step_spec.required_label,
            record.and_then(|record| record.listing.as_ref()),
        ) {
            (Some(label), Some(listing)) => listing.labels.contains(label),
            (Some(_), None) => false,
            (None, _) => true,
        }
    }

    /// Places the waiting tasks of a step, requests tickets for those that lack them, and
    /// reserves workers for a gang that does not fit. Skips the step instead if many steps of its
    /// queue wait before it and it cannot be placed.
    fn place_step(
        &mut self,
        rank: QueueRank,
        key: StepKey,
        pass: &mut PlacementPass,
        now: Duration,
    ) -> StepOutcome {
        let Some(record) = self.pipelines.get(&key.pipeline) else {
            return StepOutcome::Considered;
        };
        let spec = Arc::clone(&record.spec);
        let can_wait = has_slack(record, key.occurrence, pass.top_priority, self.wall_ms);
        let (Some(step_spec), Some(progress)) =
            (spec.steps.get(key.step as usize), record.progress.step(key))
        else {
            return StepOutcome::Considered;
        };
        let backlog = pass.backlog(&spec.policy.queue);
        let is_behind = backlog.steps >= MAX_UNPLACED_STEPS_PER_QUEUE;
        let probation_use = self.probation_use(key, step_spec, is_behind, &pass.table, now);
        if backlog.unticketed_steps >= MAX_UNTICKETED_STEPS_PER_QUEUE
            || (is_behind
                && pass
                    .exhausted_demands(can_wait, probation_use, step_spec)
                    .contains(step_spec))
        {
            self.skip_step(key, now);
            return StepOutcome::Skipped;
        }
        let mut waiting: Vec<u32> = progress.waiting_tasks().collect();
        self.remove_paused_tasks(key, step_spec, &mut waiting, now);
        if waiting.is_empty() {
            // The pause is part of the time without a run.
            self.record_wait(key, false, now);
            return StepOutcome::Considered;
        }
        let capped = self.limit_by_quota(&spec, step_spec, &mut waiting);
        if capped > 0 {
            self.log_capped_step(key, capped, waiting.is_empty(), now);
        }
        if waiting.is_empty() {
            return StepOutcome::Considered;
        }
        if can_wait {
            pass.table.mark_headroom(HEADROOM_PERCENT);
        }
        let search = StepSearch {
            withholds_headroom: can_wait && !self.needs_headroom(key, step_spec, &pass.table),
            proven_use: self.proven_use(key, &spec, step_spec, &pass.table, now),
            probation_use,
            ..StepSearch::new(key, &spec, step_spec, now)
        };
        let placed_count = self.place_by_suspicion(&search, &waiting, pass);
        let placed_before = pass.placed_tasks;
        pass.placed_tasks += placed_count;
        let has_progress = placed_count > 0;
        let unplaced_count = waiting.len() - placed_count;
        if unplaced_count == 0 {
            return StepOutcome::Considered;
        }
        if probation_use != ProbationUse::Unrestricted && self.has_failing_task(key) {
            pass.retries.push(key);
        }
        if !has_progress && self.usable(&search, &pass.table).next().is_none() {
            if self.fitting(&search, &pass.table).next().is_none() {
                pass.exhausted_demands(can_wait, probation_use, step_spec)
                    .insert(step_spec);
            }
            if is_behind {
                self.skip_step(key, now);
                return StepOutcome::Considered;
            }
        }
        let is_held = pass.held_steps.contains_key(&key);
        let is_unticketed = !is_held && self.request_tickets(&search, unplaced_count, pass);
        pass.add_backlog(&spec.policy.queue, is_unticketed);
        let (is_expired, ..) = rank;
        if step_spec.gang && !is_expired {
            self.reserve_for_gang(&search, can_wait, pass);
        }
        self.record_wait(key, has_progress, now);
        if self.is_wait_log_due(key, now) {
            let wait = StepWait {
                waiting_tasks: unplaced_count,
                lost_tasks: self.lost_tasks(key).count(),
                held: pass.held_steps.get(&key).copied().unwrap_or(0),
                steps_before: pass.step_count,
                placed_before,
                ..self.describe_wait(&search, &pass.table)
            };
            self.log_wait(key, wait, now);
        }
        StepOutcome::Considered
    }

    /// Places as many of the given waiting tasks of a step as fit, suspects after the others and
    /// on the idlest workers. Returns their number.
    pub(super) fn place_by_suspicion(
        &mut self,
        search: &StepSearch<'_>,
        waiting: &[u32],
        pass: &mut PlacementPass,
    ) -> usize {
        let pipeline = self.pipelines.get(&search.key.pipeline);
        let progress = pipeline.and_then(|pipeline| pipeline.progress.step(search.key));
        let is_suspect = |index| progress.is_some_and(|progress| progress.is_suspect(index));
        let (suspects, unsuspected): (Vec<u32>, Vec<u32>) = waiting
            .iter()
            .partition(|index| !search.step_spec.gang && is_suspect(**index));
        let mut placed_count = self.place_by_streak(search, &unsuspected, pass);
        // One at a time, so that each crash tells which of them is the cause. The idlest workers
        // are those of the headroom.
        let cautious = StepSearch {
            withholds_headroom: false,
            prefers_idle: true,
            ..*search
        };
        for suspect in &suspects {
            placed_count += self.place_waiting(&cautious, std::slice::from_ref(suspect), pass);
        }
        placed_count
    }

    /// Places as many of the given waiting tasks of a step as fit, and returns their number.
    pub(super) fn place_waiting(
        &mut self,
        search: &StepSearch<'_>,
        waiting: &[u32],
        pass: &mut PlacementPass,
    ) -> usize {
        if waiting.is_empty() {
            return 0;
        }
        let chosen = self.choose_workers(search, &pass.table, waiting.len());
        for candidate in &chosen {
            pass.table.allocate(candidate.row_index, search.step_spec);
            if search.prefers_idle {
                pass.table.penalize_worker(candidate.row_index);
            }
        }
        let workers = chosen.iter();
        let workers = workers.map(|candidate| WorkerId::clone(&pass.table.row(candidate).worker));
        let workers = workers.collect();
        self.place_tasks(search.key, waiting, workers, search.now);
        chosen.len()
    }

    /// Returns the workers on which a task of a step fits, whether or not the step may use
    /// them.
    pub(super) fn fitting(
        &self,
        search: &StepSearch<'_>,
        table: &PlacementTable,
    ) -> impl Iterator<Item = PlaceCandidate> {
        table.fitting(search.step_spec, search.probation_use, |worker| {
            self.task_allowance(worker, search.key, search.step_spec)
        })
    }

    /// Returns the workers on which a task of a step fits and that the step may use if its
    /// queue allows them.
    pub(super) fn usable(
        &self,
        search: &StepSearch<'_>,
        table: &PlacementTable,
    ) -> impl Iterator<Item = PlaceCandidate> {
        let fitting = self.fitting(search, table);
        fitting.filter(|candidate| search.may_use(table.row(candidate)))
    }

    /// Returns workers for as many waiting tasks of a step as can be placed now.
    fn choose_workers(
        &self,
        search: &StepSearch<'_>,
        table: &PlacementTable,
        count: usize,
    ) -> Vec<PlaceCandidate> {
        let step_spec = search.step_spec;
        let mut candidates: Vec<PlaceCandidate> = if search.spec.policy.advice.is_none() {
            self.usable(search, table).collect()
        } else if let Some(cache) = self.ticket_caches.get(&search.key) {
            let ticketed = cache.ticketed(search.now);
            let task_allowance =
                |worker: &WorkerId| self.task_allowance(worker, search.key, step_spec);
            let eligible =
                table.eligible_among(ticketed, step_spec, search.probation_use, task_allowance);
            let usable = eligible.filter(|candidate| {
                candidate.fits(step_spec) && search.may_use(table.row(candidate))
            });
            usable.collect()
        } else {
            Vec::new()
        };
        if search.proven_use == ProvenUse::Preferred {
            table.penalize_unproven(&mut candidates);
        }
        match search.avoided {
            Some(place) if self.can_await_other(search, place, table) => {
                candidates.retain(|candidate| !table.row(candidate).is_at(place));
            }
            Some(place) => table.avoid_worker(&mut candidates, place),
            None => {}
        }
        if search.prefers_idle {
            choose_idlest(table, candidates, count)
        } else {
            choose_for_step(table, candidates, step_spec, count)
        }
    }

    /// Leaves a step for a later pass.
    fn skip_step(&mut self, key: StepKey, now: Duration) {
        self.record_wait(key, false, now);
        if self.is_wait_log_due(key, now) {
            let wait = StepWait {
                is_skipped: true,
                lost_tasks: self.lost_tasks(key).count(),
                ..StepWait::default()
            };
            self.log_wait(key, wait, now);
        }
    }

    /// Reserves workers for a waiting gang, so that the tasks behind it do not occupy
    /// the capacity that becomes free there bit by bit. A gang that can wait reserves no
    /// worker of the headroom, as it is not placed there.
    fn reserve_for_gang(&self, search: &StepSearch<'_>, can_wait: bool, pass: &mut PlacementPass) {
        let limit = pass.table.open_count() * GANG_RESERVATION_PERCENT / 100;
        let limit = limit.max(1);
        if pass.reserved_workers >= limit {
            return;
        }
        let table = &pass.table;
        let step_spec = search.step_spec;
        let task_allowance = |worker: &WorkerId| self.task_allowance(worker, search.key, step_spec);
        let may_use = |candidate: &PlaceCandidate| !(can_wait && table.row(candidate).is_headroom);
        let candidates: Vec<PlaceCandidate> = if search.spec.policy.advice.is_none() {
            let eligible = table.eligible(step_spec, search.probation_use, task_allowance);
            eligible.filter(may_use).collect()
        } else if let Some(cache) = self.ticket_caches.get(&search.key) {
            let eligible = table.eligible_among(
                cache.allowed(),
                step_spec,
                search.probation_use,
                task_allowance,
            );
            eligible.filter(may_use).collect()
        } else {
            Vec::new()
        };
        let planned = choose_for_reservation(table, candidates, step_spec).unwrap_or_default();
        if pass.reserved_workers + planned.len() <= limit {
            pass.reserved_workers += planned.len();
            for index in planned {
                pass.table.reserve_worker(index);
            }
        }
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
        let team = record.spec.team.clone();
        let Some(step) = record.progress.step_mut(key) else {
            return;
        };
        if step_spec.gang {
            align_gang(step);
        }
        let starts = self.pending_starts.entry(key.pipeline).or_default();
        for (index, worker) in waiting.iter().zip(chosen) {
            let step = record.progress.step_mut(key);
            let Some(task) = step.and_then(|step| step.tasks.get_mut(*index as usize)) else {
                continue;
            };
            task.attempt += 1;
            task.holder = None;
            let (attempt, is_suspect) = (task.attempt, task.is_suspect());
            let task = TaskKey {
                step: key,
                index: *index,
            };
            record.set_place(task, TaskPlace::Placed(WorkerId::clone(&worker)));
            let run = RunKey { task, attempt };
            let mut ticket = None;
            if let Some(record) = self.workers.get_mut(&worker) {
                let cache = self.ticket_caches.get(&key);
                let usable = cache.zip(record.instance.as_ref());
                let usable =
                    usable.and_then(|(cache, instance)| cache.ticket(instance.number, now));
                ticket = usable.map(str::to_owned);
                let mut entry = WorkerRun::new(&step_spec, RunPhase::Ordered(0), now);
                if is_suspect {
                    entry.report = ReportStatus::UnreportedSuspect;
                }
                entry.ticket.clone_from(&ticket);
                entry.team.clone_from(&team);
                record.insert_run(run, entry);
                self.quotas.charge(team.as_ref(), &step_spec.demand);
            }
            starts.push(PendingStart {
                worker,
                run,
                ticket,
            });
        }
        self.mark_dirty(key.pipeline);
        self.refresh_step(key);
    }

    /// Sends the renewals that are due.
    pub(super) fn renew_leases(&mut self, now: Duration) {
        let due = self.workers.iter().filter(|(_, record)| {
            let is_settled = record.renewal == RenewalStatus::Settled;
            record.listing.is_some() && is_settled && now >= record.renewal_due
        });
        let due: Vec<WorkerId> = due.map(|(worker, _)| WorkerId::clone(worker)).collect();
        for worker in due {
            self.renew_lease(&worker, now);
        }
    }

    /// Sends the renewal of a worker's lease if it is due.
    pub(super) fn renew_lease(&mut self, worker: &WorkerId, now: Duration) {
        let may_renew = now < self.confirmed_until + UNCONFIRMED_RENEWAL_TIME;
        let may_extend = now < self.extensions_until;
        let Some(record) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(listing) = &record.listing else {
            return;
        };
        let is_pending = record.renewal != RenewalStatus::Settled;
        if is_pending || now < record.renewal_due || !may_renew || !record.has_token() {
            return;
        }
        let address = listing.address.clone();
        // A new instance must not discard ends of its own, which have the same numbers. It has none
        // if the known one has got all orders.
        let is_withheld =
            record.contact != WorkerContact::Claimed || record.can_have_runs_elsewhere();
        let instance = record.instance.as_mut();
        let acked_end = instance.map_or(0, |instance| instance.ends.next_ack(is_withheld, now));
        let (deadline_ms, wait) = match record.contact {
            // The answer to the first renewal reports the worker's clock, on which
            // the deadline is given. The lease of a worker that does not answer is
            // not extended.
            WorkerContact::Unclaimed | WorkerContact::Doubted => (None, Duration::ZERO),
            WorkerContact::Claimed => {
                let has_pending = record
                    .instance
                    .as_ref()
                    .is_some_and(|known| known.ends.has_pending());
                // Starts are held back until an acknowledgement is answered.
                let wait = if has_pending || acked_end > 0 {
                    Duration::ZERO
                } else {
                    self.responses.renewal_wait(self.config.renewal_wait)
                };
                let extended = may_extend.then(|| record.extend_lease(self.config.lease, now));
                let deadline_ms = extended.flatten();
                record.deadline_sent_at = deadline_ms.map(|_| now).or(record.deadline_sent_at);
                // A next instance must reject it once it is claimed.
                record.is_token_used |= deadline_ms.is_some();
                (deadline_ms, wait)
            }
        };
        record.renewal = RenewalStatus::Pending;
        record.is_ack_pending = acked_end > 0;
        self.actions.push(PipelineAction::Renew(RenewalOrder {
            worker: WorkerId::clone(worker),
            address,
            token: record.token(self.epoch),
            acked_end,
            deadline_ms,
            wait,
            time_limit: wait + self.responses.renewal_margin(),
        }));
    }
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
