//! The state of the pipelines of one service, and its events.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use super::{
    advice::AdviceBook,
    commit::PendingStart,
    health::empty_time,
    messages::{
        LossCause, PipelineAction, PipelineEvent, PipelineNote, RenewalFailure, StartResult,
        WorkerListing,
    },
    progress::{PipelinePhase, PipelineProgress, TaskPlace},
    schedule::{PipelineConfig, QueueRank, RENEWAL_WITHOUT_STORE},
    spec::{PipelineId, PipelineSpec, RunKey, StepKey, StepSpec, TaskKey},
    worker::{RunPhase, WorkerContact, WorkerRecord, WorkerRun, lapse_time},
};
use crate::types::{Epoch, WorkerId};

/// Starts that are repeated without an answer before the run is stopped.
const START_TRIES: u32 = 3;

/// Time after which a stop without an answer is sent again.
const STOP_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a renewal without an answer is sent again.
const HOLD_RETRY: Duration = Duration::from_millis(250);

/// Time for which a worker that rejected a start is not preferred.
const TROUBLE_TIME: Duration = Duration::from_secs(2);

/// How long a former owner may take itself for the owner after a takeover: the
/// term of its lease in the store, which may be revoked early.
const FORMER_LEASE_TERM: Duration = Duration::from_secs(3);

/// Questions that may be open for each daemon that asks. The service answers one
/// call of a machine at a time; a second one is on its way.
const QUESTIONS_EACH: usize = 2;

/// A job and its progress.
#[derive(Clone, Debug)]
pub(super) struct PipelineRecord {
    pub(super) spec: Arc<PipelineSpec>,
    pub(super) command: Arc<str>,
    pub(super) progress: PipelineProgress,
    /// Steps whose turn has come and that have waiting tasks, with their ranks.
    pub(super) ready: BTreeMap<StepKey, QueueRank>,
    /// Whether a task was placed since this owner knows the job.
    pub(super) was_placed: bool,
}

/// Counts for metrics and the dump.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PipelineLoad {
    /// Jobs that are not retired.
    pub pipelines: u64,
    /// Steps with waiting tasks.
    pub ready_steps: u64,
    /// Runs that may be on workers.
    pub runs: u64,
    /// Workers in the list.
    pub workers: u64,
    /// Workers that take tasks.
    pub claimed_workers: u64,
    /// Pipelines whose progress is not durable yet.
    pub dirty: u64,
}

/// The pipelines and workers of one service, as their owner sees them.
#[derive(Clone, Debug)]
pub struct PipelineState {
    pub(super) config: PipelineConfig,
    pub(super) epoch: Epoch,
    pub(super) taken_over_at: Duration,
    pub(super) confirmed_until: Duration,
    pub(super) wall_ms: u64,
    pub(super) pipelines: BTreeMap<PipelineId, PipelineRecord>,
    pub(super) workers: BTreeMap<WorkerId, WorkerRecord>,
    pub(super) ready: BTreeSet<(QueueRank, StepKey)>,
    pub(super) books: BTreeMap<StepKey, AdviceBook>,
    /// Allowed part of the workers that were asked about, by queue, in percent.
    pub(super) allowed_percent: BTreeMap<String, usize>,
    /// Priority of the most urgent queue of the service; lower is more urgent.
    pub(super) first_priority: u32,
    /// Usual run time as a part of the estimate, in percent.
    pub(super) usual_percent: u64,
    /// Steps with open questions, and whether the decision is slow. A job may end
    /// before its answer arrives.
    pub(super) open_questions: BTreeMap<StepKey, bool>,
    /// Questions with quick and with slow decisions that may be open.
    pub(super) quick_limit: usize,
    pub(super) slow_limit: usize,
    /// Serial of the latest change, and the pipelines that are not durable.
    pub(super) serial: u64,
    /// Changes up to this serial are durable.
    pub(super) durable_serial: u64,
    pub(super) dirty: BTreeMap<u64, PipelineId>,
    pub(super) dirty_serials: BTreeMap<PipelineId, u64>,
    pub(super) pending_starts: BTreeMap<PipelineId, Vec<PendingStart>>,
    pub(super) unsent_starts: Vec<PendingStart>,
    /// Whether something may have changed what can be placed since the last pass.
    pub(super) is_pass_due: bool,
    pub(super) actions: Vec<PipelineAction>,
}

impl PipelineState {
    /// Returns the state of an owner with a new epoch.
    #[must_use]
    pub fn new(config: PipelineConfig, epoch: Epoch, now: Duration) -> Self {
        Self {
            config,
            epoch,
            taken_over_at: now,
            confirmed_until: now,
            wall_ms: 0,
            pipelines: BTreeMap::new(),
            workers: BTreeMap::new(),
            ready: BTreeSet::new(),
            books: BTreeMap::new(),
            allowed_percent: BTreeMap::new(),
            first_priority: u32::MAX,
            usual_percent: 100,
            open_questions: BTreeMap::new(),
            quick_limit: QUESTIONS_EACH,
            slow_limit: QUESTIONS_EACH,
            serial: 0,
            durable_serial: 0,
            dirty: BTreeMap::new(),
            dirty_serials: BTreeMap::new(),
            pending_starts: BTreeMap::new(),
            unsent_starts: Vec::new(),
            is_pass_due: true,
            actions: Vec::new(),
        }
    }

    /// Takes an event and returns what is to be done at once.
    pub fn handle(&mut self, event: PipelineEvent, now: Duration) -> Vec<PipelineAction> {
        let worker = event.worker().cloned();
        match event {
            PipelineEvent::Stored(id, spec, progress) => self.store(id, spec, progress, now),
            PipelineEvent::Cancelled(id) => self.cancel(id, now),
            PipelineEvent::Listed(listing) => self.list(listing, now),
            PipelineEvent::Delisted(worker) => self.delist(&worker),
            PipelineEvent::LeaseRenewed(worker, sent_at, report) => {
                self.note_report(&worker, sent_at, &report, now);
            }
            PipelineEvent::RenewalFailed(worker, failure) => {
                self.note_hold_failure(&worker, failure, now);
            }
            PipelineEvent::StartAnswered(worker, run, result) => {
                self.note_start(&worker, run, result, now);
            }
            PipelineEvent::StopAnswered(worker, run, is_done) => {
                let records = self.workers.get_mut(&worker);
                match records.and_then(|record| record.runs.get_mut(&run)) {
                    Some(entry) if is_done => entry.phase = RunPhase::Stopping(Some(now)),
                    _ => {}
                }
            }
            PipelineEvent::AdviceAnswered(step, report, arrived_at) => {
                self.open_questions.remove(&step);
                self.is_pass_due = true;
                let counts = match self.books.get_mut(&step) {
                    Some(book) => book.note_report(report, arrived_at, now),
                    None => None,
                };
                self.learn_allowed(step.pipeline, counts);
            }
            PipelineEvent::AdvisorsCounted(quick, slow) => {
                self.quick_limit = QUESTIONS_EACH * quick;
                self.slow_limit = QUESTIONS_EACH * slow;
            }
            PipelineEvent::OwnershipConfirmed(until) => {
                self.confirmed_until = self.confirmed_until.max(until);
                let starts = std::mem::take(&mut self.unsent_starts);
                self.release_starts(starts, now);
            }
            PipelineEvent::Tick(wall_ms) => {
                // Tickets expire, and questions are asked again, with time.
                self.is_pass_due = true;
                self.tick(wall_ms, now);
                self.renew_leases(now);
            }
        }
        if let Some(worker) = worker {
            self.renew_lease(&worker, now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns counts for metrics and the dump.
    #[must_use]
    pub fn load(&self) -> PipelineLoad {
        let claimed = self.workers.values().filter(|record| record.takes_tasks());
        PipelineLoad {
            pipelines: self.pipelines.len() as u64,
            ready_steps: self.ready.len() as u64,
            runs: self.workers.values().map(|row| row.runs.len() as u64).sum(),
            workers: self.workers.len() as u64,
            claimed_workers: claimed.count() as u64,
            dirty: self.dirty.len() as u64,
        }
    }

    /// Tells whether every change was taken into a commit.
    #[must_use]
    pub fn is_committed(&self) -> bool {
        self.dirty.is_empty()
    }

    /// Returns a description of every job and worker for the dump, a line each.
    #[must_use]
    pub fn describe(&self) -> Vec<String> {
        let jobs = self.pipelines.iter().map(|(id, record)| {
            let phase = record.progress.phase.name();
            let queue = &record.spec.policy.queue;
            let progress = &record.progress.occurrences;
            let ready: Vec<String> = record.ready.keys().map(StepKey::to_string).collect();
            format!("job {id:016x} {queue} {phase} ready {ready:?} progress {progress:?}")
        });
        let workers = self.workers.iter().map(|(worker, record)| {
            let (contact, used) = (record.contact, record.used);
            let runs: Vec<String> = record.runs.keys().map(|run| run.task.to_string()).collect();
            format!("worker {worker} {contact:?} used {used:?} runs {runs:?}")
        });
        jobs.chain(workers).collect()
    }

    /// Tells whether the job is known and not retired.
    #[must_use]
    pub fn contains(&self, id: PipelineId) -> bool {
        self.pipelines.contains_key(&id)
    }

    /// Returns when the runs of a former owner have ended at workers that this
    /// owner has not reached.
    fn former_runs_until(&self) -> Duration {
        let last_renewal = self.taken_over_at + FORMER_LEASE_TERM + RENEWAL_WITHOUT_STORE;
        last_renewal + lapse_time(self.config.max_lease)
    }

    fn store(
        &mut self,
        id: PipelineId,
        spec: Arc<PipelineSpec>,
        progress: Option<PipelineProgress>,
        now: Duration,
    ) {
        if self.pipelines.contains_key(&id) {
            return;
        }
        self.first_priority = self.first_priority.min(spec.policy.priority);
        let progress = progress.unwrap_or_default();
        self.inherit_runs(id, &spec, &progress, now);
        let record = PipelineRecord {
            command: spec.command.as_str().into(),
            spec,
            progress,
            ready: BTreeMap::new(),
            was_placed: false,
        };
        let is_final = record.progress.phase.is_final();
        self.pipelines.insert(id, record);
        if is_final {
            self.stop_pipeline(id, now);
        }
        self.refresh(id);
    }

    /// Counts what a former owner placed until its end is known.
    fn inherit_runs(
        &mut self,
        id: PipelineId,
        spec: &PipelineSpec,
        progress: &PipelineProgress,
        now: Duration,
    ) {
        let until = self.former_runs_until();
        for (occurrence, steps) in &progress.occurrences {
            for ((step, done), shape) in (0..).zip(steps).zip(&spec.steps) {
                let tasks = (0..).zip(&done.tasks);
                for (index, task) in tasks {
                    let TaskPlace::Placed(worker) = &task.place else {
                        continue;
                    };
                    let step = StepKey {
                        pipeline: id,
                        occurrence: *occurrence,
                        step,
                    };
                    let run = RunKey {
                        task: TaskKey { step, index },
                        attempt: task.attempt,
                    };
                    let record = self.workers.entry(WorkerId::clone(worker));
                    record
                        .or_insert_with(|| WorkerRecord::new(until, now))
                        .insert(run, WorkerRun::new(shape, RunPhase::Inherited, now));
                }
            }
        }
    }

    fn cancel(&mut self, id: PipelineId, now: Duration) {
        match self.pipelines.get_mut(&id) {
            Some(record) if !record.progress.phase.is_final() => {
                record.progress.phase = PipelinePhase::Cancelled;
                self.note(PipelineNote::Cancelled { pipeline: id });
                self.mark_dirty(id);
                self.stop_pipeline(id, now);
                self.refresh(id);
            }
            _ => {}
        }
    }

    fn list(&mut self, listing: WorkerListing, now: Duration) {
        self.is_pass_due = true;
        let until = self.former_runs_until();
        let record = self.workers.entry(WorkerId::clone(&listing.worker));
        let record = record.or_insert_with(|| WorkerRecord::new(until, now));
        let has_drained = record
            .listing
            .as_ref()
            .is_some_and(|known| known.is_draining);
        if listing.is_draining && !has_drained {
            record.empty_at = Some(empty_time(listing.leaves_in, now));
        }
        let is_moved = record
            .address()
            .is_some_and(|address| address != listing.address);
        record.listing = Some(listing);
        if is_moved {
            record.hold_due = now;
        }
    }

    fn delist(&mut self, worker: &WorkerId) {
        match self.workers.get_mut(worker) {
            Some(record) if record.runs.is_empty() => {
                self.workers.remove(worker);
            }
            // It may run on behind a cut. Its runs count until its lease lapses.
            Some(record) => {
                if let Some(listing) = &mut record.listing {
                    listing.is_draining = true;
                }
            }
            None => {}
        }
    }

    fn note_hold_failure(&mut self, worker: &WorkerId, failure: RenewalFailure, now: Duration) {
        let Some(record) = self.workers.get_mut(worker) else {
            return;
        };
        record.is_hold_sent = false;
        match failure {
            RenewalFailure::OtherInstance => {
                // Another worker answers at the address, so this one has ended.
                record.rebirth(None, now);
                record.listing = None;
                self.lose_all_runs(worker, LossCause::Replaced, now);
                self.workers.remove(worker);
            }
            RenewalFailure::Fenced => {
                record.contact = WorkerContact::Unclaimed;
                record.hold_due = now + HOLD_RETRY;
            }
            RenewalFailure::Unanswered | RenewalFailure::Unhealthy => {
                record.misses += 1;
                record.hold_due = now + HOLD_RETRY;
                if record.contact == WorkerContact::Claimed {
                    record.contact = WorkerContact::Doubted;
                    self.actions
                        .push(PipelineAction::Note(PipelineNote::WorkerSuspected {
                            worker: WorkerId::clone(worker),
                            runs: record.runs.len(),
                            failure,
                            lapses_in: record.lapses_at().saturating_sub(now),
                        }));
                }
            }
        }
    }

    fn note_start(&mut self, worker: &WorkerId, run: RunKey, result: StartResult, now: Duration) {
        let Some(record) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(entry) = record.runs.get_mut(&run) else {
            return;
        };
        let RunPhase::Ordered(tries) = entry.phase else {
            return;
        };
        let is_first = tries == 0;
        match result {
            StartResult::Started => {
                entry.phase = RunPhase::Started(now);
                entry.moved_at = now;
                self.note_begun(run.task.step.pipeline);
            }
            StartResult::Unanswered if tries + 1 < START_TRIES => {
                entry.phase = RunPhase::Ordered(tries + 1);
                let ticket = entry.ticket.clone();
                let worker = WorkerId::clone(worker);
                self.send_start(
                    &PendingStart {
                        worker,
                        run,
                        ticket,
                    },
                    now,
                );
            }
            StartResult::OtherInstance => {
                record.hold_due = now;
                self.drop_run(worker, run, now);
            }
            // An earlier order may still be carried out, so the run is stopped first.
            _ if !is_first || result == StartResult::Unanswered => {
                self.note_rejected_start(worker, run, result);
                self.stop_run(worker, run, now);
            }
            _ => {
                match result {
                    StartResult::Fenced => {
                        record.contact = WorkerContact::Unclaimed;
                        record.hold_due = now;
                    }
                    StartResult::BadTicket => {
                        if let Some(book) = self.books.get_mut(&run.task.step) {
                            book.expire(worker);
                        }
                    }
                    _ => record.troubled_until = now + TROUBLE_TIME,
                }
                self.note_rejected_start(worker, run, result);
                self.drop_run(worker, run, now);
            }
        }
    }

    /// Notes that a task of the job has started.
    pub(super) fn note_begun(&mut self, id: PipelineId) {
        match self.pipelines.get_mut(&id) {
            Some(record) if record.progress.phase == PipelinePhase::Queued => {
                record.progress.phase = PipelinePhase::Running;
                self.mark_dirty(id);
            }
            _ => {}
        }
    }

    fn note_rejected_start(&mut self, worker: &WorkerId, run: RunKey, result: StartResult) {
        let worker = WorkerId::clone(worker);
        self.note(PipelineNote::StartRejected {
            run,
            worker,
            result,
        });
    }

    pub(super) fn note(&mut self, note: PipelineNote) {
        self.actions.push(PipelineAction::Note(note));
    }

    fn tick(&mut self, wall_ms: u64, now: Duration) {
        self.wall_ms = wall_ms;
        let scheduled = self.pipelines.iter().filter(|(_, record)| {
            record.spec.schedule.is_some() && !record.progress.phase.is_final()
        });
        let scheduled: Vec<PipelineId> = scheduled.map(|(id, _)| *id).collect();
        for id in scheduled {
            self.refresh(id);
        }
        self.demote_late();
        self.stop_still_runs(now);
        self.empty_leaving_workers(now);
        let lapsed = self.workers.iter().filter(|(_, record)| {
            !record.runs.is_empty()
                && record.contact != WorkerContact::Claimed
                && now >= record.lapses_at()
        });
        let lapsed: Vec<WorkerId> = lapsed.map(|(id, _)| WorkerId::clone(id)).collect();
        for worker in lapsed {
            if let Some(record) = self.workers.get_mut(&worker) {
                record.reset_claim(now);
            }
            self.lose_all_runs(&worker, LossCause::LeaseLapsed, now);
        }
        let overdue = self.workers.iter().flat_map(|(worker, record)| {
            let runs = record.runs.iter().filter(|(_, run)| {
                run.phase == RunPhase::Stopping(None) && now >= run.stop_sent + STOP_INTERVAL
            });
            runs.map(|(run, _)| (WorkerId::clone(worker), *run))
        });
        let overdue: Vec<(WorkerId, RunKey)> = overdue.collect();
        for (worker, run) in overdue {
            self.stop_run(&worker, run, now);
        }
    }

    /// Stops a run; it occupies its worker until its end is known.
    pub(super) fn stop_run(&mut self, worker: &WorkerId, run: RunKey, now: Duration) {
        let Some(record) = self.workers.get_mut(worker) else {
            return;
        };
        let order = record.stop_order(worker, run, self.epoch);
        if let Some(entry) = record.runs.get_mut(&run) {
            if !matches!(entry.phase, RunPhase::Stopping(Some(_))) {
                entry.phase = RunPhase::Stopping(None);
            }
            entry.stop_sent = now;
            self.actions.extend(order.map(PipelineAction::Stop));
        }
    }

    /// Stops all runs of a job.
    pub(super) fn stop_pipeline(&mut self, id: PipelineId, now: Duration) {
        self.stop_runs(now, |run| run.task.step.pipeline == id);
    }

    /// Stops all members of a gang.
    pub(super) fn stop_gang(&mut self, step: StepKey, now: Duration) {
        self.stop_runs(now, |run| run.task.step == step);
    }

    fn stop_runs(&mut self, now: Duration, is_meant: impl Fn(&RunKey) -> bool) {
        let runs = self.workers.iter().flat_map(|(worker, record)| {
            let runs = record.runs.iter().filter(|(run, entry)| {
                is_meant(run) && !matches!(entry.phase, RunPhase::Stopping(_))
            });
            runs.map(|(run, _)| (WorkerId::clone(worker), *run))
        });
        let runs: Vec<(WorkerId, RunKey)> = runs.collect();
        for (worker, run) in runs {
            self.stop_run(&worker, run, now);
        }
    }

    /// Notes that the progress of a job is not durable.
    pub(super) fn mark_dirty(&mut self, id: PipelineId) {
        self.serial += 1;
        if !self.dirty_serials.contains_key(&id) {
            self.dirty_serials.insert(id, self.serial);
            self.dirty.insert(self.serial, id);
        }
    }

    pub(super) fn step_spec(&self, key: StepKey) -> Option<&StepSpec> {
        let record = self.pipelines.get(&key.pipeline)?;
        record.spec.steps.get(usize::try_from(key.step).ok()?)
    }

    fn learn_allowed(&mut self, id: PipelineId, counts: Option<(usize, usize)>) {
        let Some(record) = self.pipelines.get(&id) else {
            return;
        };
        match counts {
            Some((asked, allowed)) if asked > 0 => {
                let queue = record.spec.policy.queue.clone();
                let share = allowed * 100 / asked;
                let learnt = self.allowed_percent.entry(queue).or_insert(share);
                // A moving average over about eight answers.
                *learnt = (*learnt * 7 + share) / 8;
            }
            _ => {}
        }
    }
}
