//! What workers say, and what follows for their tasks.

use std::time::Duration;

use super::{
    ledger::{PendingRecord, StopReason},
    messages::{
        JobId, ReportedTask, TaskAction, TaskOutcome, TaskRecord, TaskState, WaitReason,
        WorkerEntry, WorkerReport,
    },
    policy::PlacementPolicy,
    state::{TaskQueue, lease_end},
    workers::ClosedReason,
};
use crate::{
    health::{HealthAction, HealthEvent},
    types::{Attempt, NotRunReason, ResourceVector, RestartPolicy, TaskId, WorkerId},
};

/// Failed attempts after which a task fails even if only few workers exist.
const ATTEMPT_LIMIT: Attempt = 10;
/// Reports above capacity after which a task is stopped.
const STOP_AT: u32 = 3;

impl<P: PlacementPolicy> TaskQueue<P> {
    pub(super) fn claimed(&mut self, name: &WorkerId, running: &[ReportedTask], now: Duration) {
        self.workers.update(name, |slot| {
            slot.closed.remove(&ClosedReason::Unclaimed);
            slot.closed.remove(&ClosedReason::Silent);
            slot.renewed_at = now;
        });
        self.adopt(name, running, now);
        for task in self.occupants(name) {
            let listed = running.iter().any(|reported| reported.task == task);
            let settled = self.ledger.tasks.get(&task).is_some_and(|entry| {
                matches!(
                    entry.state,
                    TaskState::Recording(_) | TaskState::Starting(_)
                )
            });
            if !listed && !settled {
                self.stopped(task, now);
            }
        }
        self.open_worker(name);
    }

    fn occupants(&self, name: &WorkerId) -> Vec<TaskId> {
        let slot = self.workers.get(name);
        slot.map_or_else(Vec::new, |slot| slot.tasks.iter().copied().collect())
    }

    fn open_worker(&mut self, name: &WorkerId) {
        self.freed.insert(name.clone());
    }

    /// Takes over what a worker runs; what belongs to no present attempt is
    /// stopped, and its room kept until it is gone.
    fn adopt(&mut self, name: &WorkerId, running: &[ReportedTask], now: Duration) {
        let mut orphans = Vec::new();
        for reported in running {
            if self.is_present(name, reported) || self.adopt_waiting(name, reported) {
                self.confirm_running(reported.task, name, now);
            } else {
                let ReportedTask { task, attempt, .. } = *reported;
                self.actions
                    .push(TaskAction::Stop(task, attempt, name.clone()));
                orphans.push(reported.clone());
            }
        }
        self.workers.set_orphans(name, &orphans);
    }

    fn is_present(&self, name: &WorkerId, reported: &ReportedTask) -> bool {
        self.ledger.tasks.get(&reported.task).is_some_and(|entry| {
            entry.worker() == Some(name) && entry.attempt == reported.attempt && entry.start_sent
        })
    }

    /// Adopts an `anytime` task whose start was sent, but not yet recorded.
    fn adopt_waiting(&mut self, name: &WorkerId, reported: &ReportedTask) -> bool {
        let waiting = self.ledger.tasks.get(&reported.task).is_some_and(|entry| {
            matches!(entry.state, TaskState::Waiting(_)) && reported.attempt > entry.attempt
        });
        let anytime = self.restart_of(reported.task) == Some(RestartPolicy::Anytime);
        let Some((job, demand)) = self.demand_of(reported.task).filter(|_| waiting && anytime)
        else {
            return false;
        };
        let free = self.workers.get(name).map(super::workers::WorkerSlot::free);
        let gang = self
            .ledger
            .jobs
            .get(&job)
            .is_some_and(super::ledger::JobEntry::is_gang);
        if gang || !free.is_some_and(|free| demand.fits_in(&free)) {
            return false;
        }
        self.occupy(job, reported.task, name, &demand);
        if let Some(entry) = self.ledger.tasks.get_mut(&reported.task) {
            entry.attempt = reported.attempt;
            entry.start_sent = true;
        }
        self.refresh(job, Duration::ZERO);
        true
    }

    fn confirm_running(&mut self, task: TaskId, name: &WorkerId, now: Duration) {
        let Some(entry) = self.ledger.tasks.get(&task) else {
            return;
        };
        let (stop, attempt) = (entry.stop, entry.attempt);
        let expected = entry.expected_end.is_some();
        self.ledger.set_expiry(task, None);
        if stop.is_some() {
            self.set_state(task, TaskState::Stopping(name.clone()));
            self.actions
                .push(TaskAction::Stop(task, attempt, name.clone()));
            return;
        }
        self.set_state(task, TaskState::Running(name.clone()));
        if !expected {
            self.expect_end(task, now);
        }
    }

    pub(super) fn reported(&mut self, name: &WorkerId, report: &WorkerReport, now: Duration) {
        for (task, attempt, success) in &report.completions {
            self.completed(*task, *attempt, *success, now);
        }
        if self.workers.get(name).is_none_or(|slot| !slot.claimed()) {
            return;
        }
        self.workers.update(name, |slot| {
            slot.closed.remove(&ClosedReason::Silent);
            slot.closed.remove(&ClosedReason::Rejected);
        });
        self.adopt(name, &report.running, now);
        self.relieve(name, &report.usage);
        self.open_worker(name);
    }

    /// Throttles, then checkpoints, then stops the least urgent task of a
    /// worker whose usage is above its capacity.
    fn relieve(&mut self, name: &WorkerId, usage: &ResourceVector) {
        let Some(slot) = self.workers.get(name) else {
            return;
        };
        let over = !usage.fits_in(&slot.entry.capacity);
        let pressure = if over { slot.pressure + 1 } else { 0 };
        self.workers.update(name, |slot| slot.pressure = pressure);
        let Some((task, checkpoint)) = self.least_urgent(name).filter(|_| over) else {
            return;
        };
        match pressure {
            1 => self.actions.push(TaskAction::Throttle(task, name.clone())),
            2.. if pressure < STOP_AT && checkpoint => self
                .actions
                .push(TaskAction::Checkpoint(task, name.clone())),
            _ => {
                self.stop(task, StopReason::Move);
                self.workers.update(name, |slot| slot.pressure = 0);
            }
        }
    }

    fn least_urgent(&self, name: &WorkerId) -> Option<(TaskId, bool)> {
        let running = self.workers.get(name)?.tasks.iter().filter_map(|task| {
            let entry = self.ledger.tasks.get(task)?;
            let job = self.ledger.jobs.get(&entry.job)?;
            let once = job.spec.restart == RestartPolicy::Never;
            let rank = (once, job.spec.urgency, std::cmp::Reverse(job.spec.demand));
            matches!(entry.state, TaskState::Running(_)).then_some((
                rank,
                *task,
                job.spec.checkpoint,
            ))
        });
        running
            .min()
            .map(|(_, task, checkpoint)| (task, checkpoint))
    }

    pub(super) fn silent(&mut self, name: &WorkerId, now: Duration) {
        let Some(slot) = self.workers.get(name) else {
            return;
        };
        let (renewed_at, claimed) = (slot.renewed_at, slot.claimed());
        self.workers
            .update(name, |slot| slot.close(ClosedReason::Silent));
        for task in self.occupants(name) {
            // A gang that lost a member before has taken this one back.
            let entry = self.ledger.tasks.get(&task);
            let Some(entry) = entry.filter(|entry| entry.worker().is_some()) else {
                continue;
            };
            let begun = renewed_at.max(entry.started_at);
            if matches!(entry.state, TaskState::Recording(_)) {
                self.stopped(task, now);
                continue;
            }
            if claimed && entry.expiry.is_none() {
                let expiry = begun + lease_end(self.config.lease);
                let expiry = expiry.max(self.former_leases_end);
                self.ledger.set_expiry(task, Some(expiry));
            }
            self.set_state(task, TaskState::Unresolved(name.clone()));
        }
    }

    /// Ends or queues tasks whose leases have certainly expired.
    pub(super) fn expire_leases(&mut self, now: Duration) {
        while let Some((at, task)) = self.ledger.expiries.first().copied() {
            if at > now {
                return;
            }
            self.ledger.set_expiry(task, None);
            self.resolved(task, now);
        }
    }

    /// Closes a worker for new work. A start that is still being recorded is
    /// new work too: the record can take longer than the host may take starts.
    pub(super) fn leaving(&mut self, name: &WorkerId, now: Duration) {
        self.workers
            .update(name, |slot| slot.close(ClosedReason::Leaving));
        for task in self.occupants(name) {
            let job = self.ledger.tasks.get(&task).map(|entry| entry.job);
            let movable = job
                .and_then(|job| self.ledger.jobs.get(&job))
                .is_some_and(|job| job.spec.checkpoint && job.spec.restart != RestartPolicy::Never);
            match self.ledger.tasks.get(&task).map(|entry| &entry.state) {
                Some(TaskState::Running(_)) if movable => {
                    self.actions
                        .push(TaskAction::Checkpoint(task, name.clone()));
                    self.stop(task, StopReason::Move);
                }
                Some(TaskState::Recording(_)) => self.stopped(task, now),
                _ => {}
            }
        }
    }

    /// Takes new work on a worker again that was said to be leaving.
    pub(super) fn staying(&mut self, name: &WorkerId) {
        self.workers.update(name, |slot| {
            slot.closed.remove(&ClosedReason::Leaving);
        });
        self.open_worker(name);
    }

    pub(super) fn gone(&mut self, name: &WorkerId, now: Duration) {
        for task in self.occupants(name) {
            self.stopped(task, now);
        }
        self.workers.remove(name);
        let actions = self.health.handle(HealthEvent::TargetRemoved(name.clone()));
        self.apply_health(actions, now);
        self.drop_reservation();
        self.reject_impossible(now);
    }

    pub(super) fn workers_changed(&mut self, entries: Vec<WorkerEntry>, now: Duration) {
        let names: Vec<_> = entries.iter().map(|entry| entry.worker.clone()).collect();
        self.drop_reservation();
        for name in self.workers.replace(entries) {
            let actions = self.health.handle(HealthEvent::TargetRemoved(name));
            self.apply_health(actions, now);
        }
        for name in names {
            self.health.handle(HealthEvent::TargetAdded(name));
        }
        self.settle_occupants(now);
        self.reject_impossible(now);
        self.lanes.open_all();
    }

    /// Gives replayed tasks the room of their workers, and ends the attempts on
    /// workers that no longer exist.
    fn settle_occupants(&mut self, now: Duration) {
        let placed: Vec<_> = self
            .ledger
            .tasks
            .iter()
            .filter_map(|(task, entry)| Some((*task, entry.worker()?.clone())))
            .collect();
        for (task, name) in placed {
            match (self.workers.get(&name), self.demand_of(task)) {
                (None, _) => self.stopped(task, now),
                (Some(_), Some((_, demand))) => self.workers.allocate(&name, task, &demand),
                (Some(_), None) => {}
            }
        }
    }

    fn is_attempt(&self, task: TaskId, attempt: Attempt) -> bool {
        self.ledger.tasks.get(&task).is_some_and(|entry| {
            entry.attempt == attempt && entry.start_sent && entry.worker().is_some()
        })
    }

    pub(super) fn start_accepted(&mut self, task: TaskId, attempt: Attempt, now: Duration) {
        let starting = self
            .ledger
            .tasks
            .get(&task)
            .map(|entry| entry.state.clone());
        match starting {
            Some(TaskState::Starting(worker)) if self.is_attempt(task, attempt) => {
                self.set_state(task, TaskState::Running(worker));
                self.expect_end(task, now);
            }
            _ => {}
        }
    }

    pub(super) fn start_rejected(&mut self, task: TaskId, attempt: Attempt, now: Duration) {
        if !self.is_attempt(task, attempt) {
            return;
        }
        let worker = self
            .ledger
            .tasks
            .get(&task)
            .and_then(|entry| entry.worker().cloned());
        if let Some(worker) = worker {
            self.workers
                .update(&worker, |slot| slot.close(ClosedReason::Rejected));
        }
        let stop = self.ledger.tasks.get(&task).and_then(|entry| entry.stop);
        match (stop, self.restart_of(task)) {
            (Some(StopReason::Cancel), _) => self.end(task, TaskOutcome::Cancelled, now),
            (_, Some(RestartPolicy::Never)) => {
                let reason = NotRunReason::RejectedByTarget;
                let job = self.ledger.tasks.get(&task).map(|entry| entry.job);
                self.end(task, TaskOutcome::NotRun(reason), now);
                self.fail_once_gang(job, now);
            }
            _ => self.stopped(task, now),
        }
    }

    /// Repeats an `anytime` start. Any other task is settled by a new claim: a
    /// worker could reject a repeated start and still run the first one, which
    /// would then overlap the next attempt elsewhere.
    pub(super) fn start_unknown(&mut self, task: TaskId, attempt: Attempt) {
        let state = self
            .ledger
            .tasks
            .get(&task)
            .map(|entry| entry.state.clone());
        let (Some(TaskState::Starting(worker) | TaskState::Stopping(worker)), true) =
            (state, self.is_attempt(task, attempt))
        else {
            return;
        };
        if self.restart_of(task) == Some(RestartPolicy::Anytime) {
            self.actions.push(TaskAction::Start(task, attempt, worker));
        } else {
            self.set_state(task, TaskState::Unresolved(worker.clone()));
            self.actions.push(TaskAction::Claim(worker));
        }
    }

    fn completed(&mut self, task: TaskId, attempt: Attempt, success: bool, now: Duration) {
        if !self.is_attempt(task, attempt) {
            return;
        }
        let Some(entry) = self.ledger.tasks.get(&task) else {
            return;
        };
        let (job, stop, took) = (entry.job, entry.stop, now.saturating_sub(entry.started_at));
        let Some(worker) = entry.worker().cloned() else {
            return;
        };
        if success {
            if let Some(job) = self.ledger.jobs.get(&job) {
                self.ledger.run_times.learn(&job.spec, took);
            }
            let actions = self.health.handle(HealthEvent::Succeeded(worker, job));
            self.end(task, TaskOutcome::Succeeded, now);
            self.apply_health(actions, now);
        } else if stop.is_some() {
            self.stopped(task, now);
        } else {
            self.failed(task, job, worker, attempt, now);
        }
    }

    fn failed(
        &mut self,
        task: TaskId,
        job: JobId,
        worker: WorkerId,
        attempt: Attempt,
        now: Duration,
    ) {
        let actions = self.health.handle(HealthEvent::Failed(worker, job));
        let once = self.restart_of(task) == Some(RestartPolicy::Never);
        if once || attempt >= ATTEMPT_LIMIT {
            self.end(task, TaskOutcome::Failed, now);
        } else {
            self.stopped(task, now);
        }
        self.apply_health(actions, now);
    }

    fn apply_health(&mut self, actions: Vec<HealthAction<WorkerId, JobId>>, now: Duration) {
        for action in actions {
            match action {
                HealthAction::Probation(name) => {
                    self.workers.update(&name, |slot| slot.probation = true);
                }
                HealthAction::Restored(name) => {
                    self.workers.update(&name, |slot| slot.probation = false);
                    self.open_worker(&name);
                }
                HealthAction::FailJob(job) => self.fail_job(job, now),
            }
        }
    }

    /// Stops the rest of a `never` gang, which can no longer run as a whole.
    fn fail_once_gang(&mut self, job: Option<JobId>, now: Duration) {
        let gang = job.filter(|id| {
            let job = self.ledger.jobs.get(id);
            job.is_some_and(super::ledger::JobEntry::is_gang)
        });
        if let Some(job) = gang {
            self.fail_job(job, now);
        }
    }

    fn fail_job(&mut self, job: JobId, now: Duration) {
        let tasks = self.ledger.jobs.get(&job).map(|job| job.spec.tasks.clone());
        for task in tasks.unwrap_or_default() {
            match self.ledger.tasks.get(&task).map(|entry| &entry.state) {
                Some(TaskState::Waiting(_) | TaskState::Recording(_)) => {
                    self.end(task, TaskOutcome::Failed, now);
                }
                Some(TaskState::Ended(_)) | None => {}
                Some(_) => self.stop(task, StopReason::FailJob),
            }
        }
    }

    pub(super) fn resolved(&mut self, task: TaskId, now: Duration) {
        let unresolved = self
            .ledger
            .tasks
            .get(&task)
            .is_some_and(|entry| matches!(entry.state, TaskState::Unresolved(_)));
        if unresolved {
            self.stopped(task, now);
        }
    }

    /// An attempt has certainly stopped, or its start was never sent.
    pub(super) fn stopped(&mut self, task: TaskId, now: Duration) {
        let entry = self.ledger.tasks.get(&task);
        let Some(entry) = entry.filter(|entry| entry.worker().is_some()) else {
            return;
        };
        let (job, stop, sent) = (entry.job, entry.stop, entry.start_sent);
        let once = self.restart_of(task) == Some(RestartPolicy::Never);
        match stop {
            Some(StopReason::Cancel) => self.end(task, TaskOutcome::Cancelled, now),
            Some(StopReason::FailJob) => self.end(task, TaskOutcome::Failed, now),
            _ if once && sent => self.end(task, TaskOutcome::Unknown, now),
            _ => {
                self.requeue(task, now);
                self.pull_gang(job, now);
            }
        }
    }

    /// Takes back the other members of a gang that lost one, so that it starts
    /// as a whole again. Members of a `never` gang whose start was sent go on.
    fn pull_gang(&mut self, job: JobId, now: Duration) {
        let gang = self
            .ledger
            .jobs
            .get(&job)
            .filter(|job| job.is_gang() && job.active > 0);
        let Some((once, tasks)) = gang.map(|job| {
            let once = job.spec.restart == RestartPolicy::Never;
            (once, job.spec.tasks.clone())
        }) else {
            return;
        };
        for task in tasks {
            let Some(entry) = self.ledger.tasks.get(&task) else {
                continue;
            };
            match entry.state {
                TaskState::Recording(_) => self.requeue(task, now),
                TaskState::Starting(_) | TaskState::Running(_) | TaskState::Unresolved(_)
                    if entry.stop.is_none() && !once =>
                {
                    self.stop(task, StopReason::Move);
                }
                _ => {}
            }
        }
    }

    /// Puts a task back into the queue.
    pub(super) fn requeue(&mut self, task: TaskId, now: Duration) {
        self.vacate(task, now);
        let Some(entry) = self.ledger.tasks.get_mut(&task) else {
            return;
        };
        let (job, attempt) = (entry.job, entry.attempt);
        let sent = std::mem::take(&mut entry.start_sent);
        entry.stop = None;
        self.set_state(task, TaskState::Waiting(WaitReason::Queued));
        if let Some(job) = self.ledger.jobs.get_mut(&job) {
            job.pending.insert(task);
        }
        if sent {
            let record = TaskRecord::Requeued(task, attempt);
            self.record(record.clone(), PendingRecord::Late(record));
        }
        self.refresh(job, now);
    }

    /// Ends a task and records its outcome.
    pub(super) fn end(&mut self, task: TaskId, outcome: TaskOutcome, now: Duration) {
        self.vacate(task, now);
        self.set_state(task, TaskState::Ended(outcome));
        self.record(TaskRecord::Ended(task, outcome), PendingRecord::End(task));
        let job = self.ledger.tasks.get(&task).map(|entry| entry.job);
        self.count_end(task);
        if let Some(job) = job {
            self.refresh(job, now);
        }
    }

    /// Counts an ended task, and forgets its job with the last one.
    pub(super) fn count_end(&mut self, task: TaskId) {
        let Some(id) = self.ledger.tasks.get(&task).map(|entry| entry.job) else {
            return;
        };
        let Some(job) = self.ledger.jobs.get_mut(&id) else {
            return;
        };
        job.pending.remove(&task);
        job.ended += 1;
        if job.ended == job.spec.tasks.len() {
            self.forget_job(id);
        }
        self.ledger.ended.push_back(task);
        while self.ledger.ended.len() > self.config.ended_kept
            && let Some(oldest) = self.ledger.ended.pop_front()
        {
            self.ledger.tasks.remove(&oldest);
        }
    }

    pub(super) fn forget_job(&mut self, id: JobId) {
        self.dequeue(id);
        let Some(job) = self.ledger.jobs.remove(&id) else {
            return;
        };
        let successors = self.ledger.unindex_job(id, &job);
        self.released.extend(successors);
        for label in &job.spec.labels {
            if let Some(jobs) = self.ledger.labels.get_mut(label) {
                jobs.remove(&id);
                if jobs.is_empty() {
                    self.ledger.labels.remove(label);
                }
            }
        }
        self.health.handle(HealthEvent::JobEnded(id));
    }
}
