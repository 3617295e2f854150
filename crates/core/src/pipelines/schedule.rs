//! Which tasks are placed next.
//!
//! Load pattern: bursts of small jobs of high priority arrive while wide jobs
//! of low priority keep the workers busy. Steps are served by priority and then
//! by the time at which their job should be done; a gang that does not fit is
//! passed by what fits.

use std::time::Duration;

use super::{
    commit::PendingStart,
    messages::{AdviceOrder, HoldOrder, PipelineAction, PipelineNote},
    place::{PlaceCandidate, choose_each, choose_gang, choose_questions},
    progress::{PipelinePhase, StepProgress, TaskPlace},
    spec::{PipelineId, RunKey, StepKey, TaskKey},
    state::PipelineState,
    worker::{RunPhase, WorkerContact, WorkerRun},
};
use crate::types::WorkerId;

/// Questions that may be open at once; each asking daemon may have 32 waiting.
const QUESTION_LIMIT: usize = 64;

/// Workers that one question names at most.
const QUESTION_WORKERS: usize = 100;

/// Allowed part of the workers assumed for a queue without answers, in percent.
const ASSUMED_ALLOWED_PERCENT: usize = 40;

/// Renewals continue for this long after the store confirmed the ownership, so
/// that an outage of the store does not end what runs.
const RENEWAL_WITHOUT_STORE: Duration = Duration::from_secs(10);

/// Position in the queue; lower is first: priority, then the time in ms since
/// 1970 by which the job should be done.
pub(super) type QueueRank = (u32, u64);

/// Settings of [`PipelineState`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PipelineConfig {
    /// Lease of a worker after each renewal.
    pub lease: Duration,
    /// How long a worker may keep a renewal open until a run ends.
    pub hold_wait: Duration,
}

impl PipelineState {
    /// Places tasks whose turn has come, and asks for tickets that are missing.
    ///
    /// It is called once after a series of events.
    pub fn schedule(&mut self, now: Duration) -> Vec<PipelineAction> {
        if now < self.confirmed_until {
            let ready: Vec<StepKey> = self.ready.iter().map(|(_, key)| *key).collect();
            for key in ready {
                self.place_step(key, now);
            }
        }
        std::mem::take(&mut self.actions)
    }

    fn place_step(&mut self, key: StepKey, now: Duration) {
        let Some(shape) = self.step_spec(key).cloned() else {
            return;
        };
        let Some(record) = self.pipelines.get(&key.pipeline) else {
            return;
        };
        let Some(progress) = record.progress.step(key) else {
            return;
        };
        let waiting: Vec<u32> = progress.waiting().collect();
        let advice = record.spec.policy.advice;
        let queue = record.spec.policy.queue.clone();
        let candidates = self
            .workers
            .iter()
            .filter_map(|(worker, row)| PlaceCandidate::new(worker, row, key, &shape, now));
        let candidates: Vec<PlaceCandidate> = candidates.collect();
        if candidates.is_empty() {
            return;
        }
        let mut allowed = candidates.clone();
        if advice.is_some() {
            let book = self.books.entry(key).or_default();
            allowed.retain(|row| book.ticket(&row.worker, now).is_some());
        }
        let chosen = if shape.gang {
            choose_gang(&allowed, &shape, waiting.len()).unwrap_or_default()
        } else {
            choose_each(&mut allowed, &shape, waiting.len())
        };
        let placed = chosen.len();
        self.place_tasks(key, &waiting, chosen, now);
        let (Some(policy), true) = (advice, placed < waiting.len()) else {
            return;
        };
        let count = waiting.len() - placed;
        let learnt = self.allowed_percent.get(&queue).copied();
        let percent = learnt.unwrap_or(ASSUMED_ALLOWED_PERCENT).max(10);
        let book = self.books.entry(key).or_default();
        if !book.is_idle(now) || self.questions >= QUESTION_LIMIT {
            return;
        }
        let mut workers = choose_questions(&candidates, book, &shape, count, percent, now);
        workers.truncate(QUESTION_WORKERS);
        if workers.is_empty() {
            return;
        }
        book.note_asked(workers.clone());
        self.questions += 1;
        self.actions.push(PipelineAction::Ask(AdviceOrder {
            step: key,
            workers,
            policy,
        }));
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
        if record.progress.phase == PipelinePhase::Queued {
            record.progress.phase = PipelinePhase::Running;
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
                let rank = (spec.policy.priority, spec.objective_unix_ms(*occurrence));
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
                    }
                }
            }
        }
        if has_begun && spec.schedule.is_some() {
            self.mark_dirty(id);
        }
    }

    /// Sends the renewals that are due.
    pub(super) fn renew_leases(&mut self, now: Duration) {
        let may_renew = now < self.confirmed_until + RENEWAL_WITHOUT_STORE;
        for (worker, record) in &mut self.workers {
            let Some(listing) = &record.listing else {
                continue;
            };
            if record.is_hold_sent || now < record.hold_due || !may_renew {
                continue;
            }
            let address = listing.address.clone();
            let (deadline_ms, wait) = match record.contact {
                // The first renewal brings the worker's clock, and the lease of a
                // worker that does not answer is not extended.
                WorkerContact::Unclaimed | WorkerContact::Doubted => (None, Duration::ZERO),
                WorkerContact::Claimed => {
                    let wait = match record.pending_ack {
                        Some(_) => Duration::ZERO,
                        None => self.config.hold_wait,
                    };
                    (record.grant(self.config.lease, now), wait)
                }
            };
            record.is_hold_sent = true;
            self.actions.push(PipelineAction::Hold(HoldOrder {
                worker: WorkerId::clone(worker),
                address,
                token: record.token(self.epoch),
                last_seen: record.acked_end,
                deadline_ms,
                wait,
            }));
        }
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
