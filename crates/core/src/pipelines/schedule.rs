//! Which tasks are placed next.
//!
//! Load pattern: bursts of small jobs of high priority arrive while wide jobs
//! of low priority keep the workers busy. Steps are served by priority and then
//! by the time at which their job should be done. A gang that does not fit is
//! passed by what fits elsewhere, and the workers that it may use are kept for it.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use super::{
    commit::PendingStart,
    headroom::{HEADROOM_PERCENT, KEPT_FOR_GANGS_PERCENT, is_patient},
    messages::{AdviceOrder, PipelineAction, PipelineNote, RenewalOrder},
    place::{PlaceCandidate, PlacementTable, choose_each, choose_gang, choose_questions},
    progress::{PipelinePhase, StepProgress, TaskPlace},
    spec::{AdvicePolicy, PipelineId, PipelineSpec, RunKey, StepKey, StepSpec, TaskKey},
    state::PipelineState,
    worker::{RunPhase, WorkerContact, WorkerRun},
};
use crate::types::WorkerId;

/// Steps of one queue that a pass leaves with waiting tasks. Those behind them cost
/// processor time and are rarely placed.
const PASSED_STEPS: u32 = 24;

/// Steps that one pass looks at.
const SEEN_STEPS: usize = 2_048;

/// Steps at the head of the queue that hold tickets although there is no room
/// yet, so that they start when room appears.
const EARLY_QUESTIONS: u32 = 6;

/// A decision of this time in ms and more is slow.
pub const SLOW_DECISION_MS: f64 = 100.0;

/// Allowed part of the workers that is assumed at least, in percent.
const LEAST_ALLOWED_PERCENT: usize = 10;

/// Workers that one question names at most.
const QUESTION_WORKERS: usize = 100;

/// Allowed part of the workers assumed for a queue without answers, in percent.
const ASSUMED_ALLOWED_PERCENT: usize = 40;

/// Renewals continue for this long after the store confirmed the ownership, so
/// that an outage of the store does not end what runs.
pub(super) const RENEWAL_WITHOUT_STORE: Duration = Duration::from_secs(10);

/// Position in the queue; lower is first: whether the job is too late to be of
/// use, its priority, whether it is late, and the time in ms since 1970 by which
/// it should be done.
pub(super) type QueueRank = (bool, u32, bool, u64);

/// After this many times its latency objective a job is of no use.
const USELESS_AFTER: u64 = 3;

/// Settings of [`PipelineState`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PipelineConfig {
    /// Lease of a worker after each renewal.
    pub lease: Duration,
    /// Longest lease that a worker accepts.
    pub max_lease: Duration,
    /// How long a worker may keep a renewal open until a run ends.
    pub renewal_wait: Duration,
}

/// A step that lacks tickets.
struct StepQuestion<'a> {
    key: StepKey,
    shape: &'a StepSpec,
    policy: AdvicePolicy,
    queue: &'a str,
    /// Tasks that wait.
    count: usize,
}

/// What one pass over the waiting steps has used so far.
#[derive(Debug)]
struct PlacementPass {
    table: PlacementTable,
    /// Steps of each queue that were passed without placing all of their tasks.
    passed: BTreeMap<String, u32>,
    /// Workers that patient jobs leave to urgent ones, once a patient job was seen.
    headroom: Option<BTreeSet<usize>>,
    /// Workers that are kept for gangs.
    kept: usize,
    /// Priority of the most urgent queue of the service.
    first_priority: u32,
    /// Steps with slow questions that may ask although there is no room.
    early_questions: u32,
}

impl PipelineState {
    /// Places tasks whose turn has come, and asks for tickets that are missing.
    ///
    /// It is called once after a series of events, and does nothing unless one of
    /// them may have changed what can be placed.
    pub fn schedule(&mut self, now: Duration) -> Vec<PipelineAction> {
        let is_due = std::mem::take(&mut self.is_pass_due);
        if is_due && now < self.confirmed_until && !self.ready.is_empty() {
            let table = PlacementTable::new(self.workers.iter(), self.usual_percent, now);
            let mut pass = PlacementPass {
                table,
                passed: BTreeMap::new(),
                headroom: None,
                kept: 0,
                first_priority: self.first_priority,
                early_questions: EARLY_QUESTIONS,
            };
            let ready = self.ready.iter().take(SEEN_STEPS);
            let ready: Vec<(QueueRank, StepKey)> = ready.copied().collect();
            for (rank, key) in ready {
                self.place_step(rank, key, &mut pass, now);
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns how many more tasks of a step a worker may run by its label and the
    /// step's limit.
    fn tasks_left(&self, worker: &WorkerId, key: StepKey, shape: &StepSpec) -> usize {
        let Some(record) = self.workers.get(worker) else {
            return 0;
        };
        let has_label = match (&shape.required_label, &record.listing) {
            (Some(label), Some(listing)) => listing.labels.contains(label),
            (Some(_), None) => false,
            (None, _) => true,
        };
        match shape.per_worker_limit {
            _ if !has_label => 0,
            Some(limit) => {
                let limit = usize::try_from(limit).unwrap_or(usize::MAX);
                limit.saturating_sub(record.count_of_step(key))
            }
            None => usize::MAX,
        }
    }

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
        let passed = pass.passed.get(&record.spec.policy.queue);
        if passed.is_some_and(|count| *count >= PASSED_STEPS) {
            return;
        }
        let spec = Arc::clone(&record.spec);
        let (Some(shape), Some(progress)) =
            (spec.steps.get(key.step as usize), record.progress.step(key))
        else {
            return;
        };
        let waiting: Vec<u32> = progress.waiting().collect();
        let tasks_left = |worker: &WorkerId| self.tasks_left(worker, key, shape);
        let mut fitting = pass.table.fitting(shape, tasks_left);
        if is_patient(&spec, key.occurrence, pass.first_priority, self.wall_ms) {
            let table = &pass.table;
            let headroom = pass
                .headroom
                .get_or_insert_with(|| table.emptiest(HEADROOM_PERCENT));
            fitting.retain(|row| !headroom.contains(&row.row));
        }
        let mut allowed = fitting.clone();
        if spec.policy.advice.is_some() {
            let book = self.books.entry(key).or_default();
            allowed.retain(|row| book.ticket(pass.table.worker(row), now).is_some());
        }
        let chosen = choose_step(&pass.table, &allowed, shape, waiting.len());
        let left = waiting.len() - chosen.len();
        for row in &chosen {
            pass.table.take(row, shape);
        }
        let chosen: Vec<WorkerId> = chosen
            .iter()
            .map(|row| WorkerId::clone(pass.table.worker(row)))
            .collect();
        self.place_tasks(key, &waiting, chosen, now);
        if left == 0 {
            return;
        }
        *pass.passed.entry(spec.policy.queue.clone()).or_default() += 1;
        if let Some(policy) = spec.policy.advice {
            let question = StepQuestion {
                key,
                shape,
                policy,
                queue: &spec.policy.queue,
                count: left,
            };
            self.ask_for_step(&question, &fitting, pass, now);
        }
        let (is_useless, ..) = rank;
        if shape.gang && !is_useless {
            self.keep_for_gang(key, shape, spec.policy.advice.is_some(), pass);
        }
    }

    /// Keeps workers for a gang that waits, so that tasks behind it do not take the
    /// room that becomes free there one by one.
    fn keep_for_gang(
        &self,
        key: StepKey,
        shape: &StepSpec,
        is_restricted: bool,
        pass: &mut PlacementPass,
    ) {
        let mut able = pass
            .table
            .able(shape, |worker| self.tasks_left(worker, key, shape));
        if is_restricted {
            let book = self.books.get(&key);
            able.retain(|row| {
                let worker = pass.table.worker(row);
                book.is_some_and(|book| book.is_allowed(worker))
            });
        }
        able.sort_by_key(|row| (Reverse(row.room(shape)), Reverse(row.free_share())));
        let mut wanted = shape.count as usize;
        let mut meant = Vec::new();
        for row in able {
            if wanted == 0 {
                break;
            }
            wanted = wanted.saturating_sub(row.room_when_empty(shape));
            meant.push(row.row);
        }
        let limit = pass.table.len() * KEPT_FOR_GANGS_PERCENT / 100;
        if wanted == 0 && pass.kept + meant.len() <= limit.max(1) {
            pass.kept += meant.len();
            for row in meant {
                pass.table.keep(row);
            }
        }
    }

    /// Asks for tickets if they are likely to be used, and keeps the room that
    /// they are for.
    fn ask_for_step(
        &mut self,
        question: &StepQuestion<'_>,
        fitting: &[PlaceCandidate],
        pass: &mut PlacementPass,
        now: Duration,
    ) {
        let (key, shape, count) = (question.key, question.shape, question.count);
        let is_slow = question.policy.decision_ms >= SLOW_DECISION_MS;
        let open = self.open_questions.values();
        let open = open.filter(|open| **open == is_slow).count();
        let limit = if is_slow {
            self.slow_limit
        } else {
            self.quick_limit
        };
        let book = self.books.entry(key).or_default();
        let may_ask = book.is_idle(now) && open < limit;
        if is_slow && !may_ask {
            return;
        }
        let possible = fitting.iter().filter(|row| {
            let worker = pass.table.worker(row);
            book.can_ask(worker, now) || book.ticket(worker, now).is_some()
        });
        let possible: Vec<PlaceCandidate> = possible.copied().collect();
        let meant = choose_step(&pass.table, &possible, shape, count);
        if !is_slow {
            // Others would take the room before the answer arrives.
            for row in &meant {
                pass.table.take(row, shape);
            }
        }
        let is_early = meant.is_empty();
        if !may_ask || (is_early && (!is_slow || pass.early_questions == 0)) {
            return;
        }
        pass.early_questions -= u32::from(is_early);
        let workers = self.workers_to_ask(question, &pass.table, now);
        if workers.is_empty() {
            return;
        }
        self.open_questions.insert(key, is_slow);
        self.books
            .entry(key)
            .or_default()
            .note_asked(workers.clone());
        self.actions.push(PipelineAction::Ask(AdviceOrder {
            step: key,
            workers,
            policy: question.policy,
        }));
    }

    fn workers_to_ask(
        &self,
        question: &StepQuestion<'_>,
        table: &PlacementTable,
        now: Duration,
    ) -> Vec<WorkerId> {
        let (key, shape) = (question.key, question.shape);
        let Some(book) = self.books.get(&key) else {
            return Vec::new();
        };
        let learnt = self.allowed_percent.get(question.queue).copied();
        let percent = learnt
            .unwrap_or(ASSUMED_ALLOWED_PERCENT)
            .max(LEAST_ALLOWED_PERCENT);
        let able = table.able(shape, |worker| self.tasks_left(worker, key, shape));
        let mut workers = choose_questions(table, &able, book, shape, question.count, percent, now);
        workers.truncate(QUESTION_WORKERS);
        workers
    }

    fn place_tasks(&mut self, key: StepKey, waiting: &[u32], chosen: Vec<WorkerId>, now: Duration) {
        if chosen.is_empty() {
            return;
        }
        let Some(shape) = self.step_spec(key).cloned() else {
            return;
        };
        let Some(record) = self.pipelines.get_mut(&key.pipeline) else {
            return;
        };
        if !record.was_placed && record.progress.phase == PipelinePhase::Queued {
            record.was_placed = true;
            let note = PipelineNote::Placed {
                pipeline: key.pipeline,
                queue: record.spec.policy.queue.clone(),
                waited_ms: self.wall_ms.saturating_sub(record.spec.accepted_unix_ms),
                worker: WorkerId::clone(&chosen[0]),
            };
            self.actions.push(PipelineAction::Note(note));
        }
        let Some(step) = record.progress.step_mut(key) else {
            return;
        };
        if shape.gang {
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
            let book = self.books.get(&key);
            let ticket = book.and_then(|book| book.ticket(&worker, now));
            let ticket = ticket.map(str::to_owned);
            let mut entry = WorkerRun::new(&shape, RunPhase::Ordered(0), now);
            entry.ticket.clone_from(&ticket);
            if let Some(record) = self.workers.get_mut(&worker) {
                record.insert(run, entry);
            }
            starts.push(PendingStart {
                worker,
                run,
                ticket,
            });
        }
        self.mark_dirty(key.pipeline);
        self.refresh(key.pipeline);
    }

    /// Brings the steps of a job that may be placed up to date.
    pub(super) fn refresh(&mut self, id: PipelineId) {
        let Some(record) = self.pipelines.get_mut(&id) else {
            return;
        };
        let spec = record.spec.clone();
        let is_final = record.progress.phase.is_final();
        let mut has_begun = false;
        if !is_final {
            let due = match &spec.schedule {
                None => 1,
                Some(schedule) => {
                    let all = 0..schedule.occurrences;
                    // Occurrences are due in order.
                    let due = all.take_while(|row| schedule.due_unix_ms(*row) < self.wall_ms);
                    u32::try_from(due.count()).unwrap_or(u32::MAX)
                }
            };
            for occurrence in 0..due {
                if !record.progress.has(occurrence) {
                    record.progress.begin(&spec, occurrence);
                    has_begun = true;
                }
            }
        }
        for (key, rank) in std::mem::take(&mut record.ready) {
            self.ready.remove(&(rank, key));
        }
        if !is_final {
            for (occurrence, steps) in &record.progress.occurrences {
                let rank = queue_rank(&spec, *occurrence, self.wall_ms);
                for (index, progress) in (0..).zip(steps) {
                    let shape = &spec.steps[index as usize];
                    let is_turn = shape.after.iter().all(|before| {
                        steps
                            .get(*before as usize)
                            .is_some_and(StepProgress::is_done)
                    });
                    let is_whole = !shape.gang || progress.is_clear();
                    if is_turn && is_whole && progress.waiting().next().is_some() {
                        let key = StepKey {
                            pipeline: id,
                            occurrence: *occurrence,
                            step: index,
                        };
                        record.ready.insert(key, rank);
                        self.ready.insert((rank, key));
                        self.is_pass_due = true;
                    }
                }
            }
        }
        if has_begun && spec.schedule.is_some() {
            self.mark_dirty(id);
        }
    }

    /// Moves jobs back that have become late.
    pub(super) fn demote_late(&mut self) {
        let wall_ms = self.wall_ms;
        let ready = self.ready.iter().filter(|(rank, key)| {
            let record = self.pipelines.get(&key.pipeline);
            record.is_some_and(|record| queue_rank(&record.spec, key.occurrence, wall_ms) != *rank)
        });
        let stale: BTreeSet<PipelineId> = ready.map(|(_, key)| key.pipeline).collect();
        for id in stale {
            self.refresh(id);
        }
    }

    /// Sends the renewals that are due.
    pub(super) fn renew_leases(&mut self, now: Duration) {
        let due = self.workers.iter().filter(|(_, record)| {
            record.listing.is_some() && !record.is_hold_sent && now >= record.hold_due
        });
        let due: Vec<WorkerId> = due.map(|(worker, _)| WorkerId::clone(worker)).collect();
        for worker in due {
            self.renew_lease(&worker, now);
        }
    }

    /// Sends the renewal of a worker's lease if it is due.
    pub(super) fn renew_lease(&mut self, worker: &WorkerId, now: Duration) {
        let may_renew = now < self.confirmed_until + RENEWAL_WITHOUT_STORE;
        let Some(record) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(listing) = &record.listing else {
            return;
        };
        if record.is_hold_sent || now < record.hold_due || !may_renew {
            return;
        }
        let address = listing.address.clone();
        let (deadline_ms, wait) = match record.contact {
            // The first renewal brings the worker's clock, and the lease of a
            // worker that does not answer is not extended.
            WorkerContact::Unclaimed | WorkerContact::Doubted => (None, Duration::ZERO),
            WorkerContact::Claimed => {
                let wait = match record.pending_ack {
                    Some(_) => Duration::ZERO,
                    None => self.config.renewal_wait,
                };
                (record.grant(self.config.lease, now), wait)
            }
        };
        record.is_hold_sent = true;
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
/// Load pattern: after an outage or a burst more jobs wait than can be in time.
/// Those that can still be in time come first, as serving the oldest would make
/// all of them late.
fn queue_rank(spec: &PipelineSpec, occurrence: u32, wall_ms: u64) -> QueueRank {
    let objective = spec.objective_unix_ms(occurrence);
    let start = spec.start_unix_ms(occurrence);
    let useless_at = start + (objective - start) * USELESS_AFTER;
    let lasts = spec.steps.iter().any(|step| step.long_running);
    let is_late = !lasts && wall_ms > objective;
    let is_useless = !lasts && wall_ms > useless_at;
    (is_useless, spec.policy.priority, is_late, objective)
}

/// Returns the workers of as many tasks of the step as fit; all or none of a gang.
fn choose_step(
    table: &PlacementTable,
    candidates: &[PlaceCandidate],
    shape: &StepSpec,
    count: usize,
) -> Vec<PlaceCandidate> {
    if shape.gang {
        choose_gang(table, candidates, shape, count).unwrap_or_default()
    } else {
        choose_each(candidates, shape, count)
    }
}

/// Gives all members of a gang the same attempt and the same checkpoint.
fn align_gang(step: &mut StepProgress) {
    let attempt = step.tasks.iter().map(|task| task.attempt).max();
    let checkpoint = step.tasks.iter().map(|task| &task.checkpoint);
    let checkpoint = checkpoint.max().cloned().unwrap_or_default();
    for task in &mut step.tasks {
        task.attempt = attempt.unwrap_or_default();
        task.checkpoint.clone_from(&checkpoint);
    }
}
