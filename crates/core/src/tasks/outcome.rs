//! Events of workers and starts, and the resulting transitions of tasks.

use std::time::Duration;

use super::{
    messages::{
        JobId, ReportedTask, TaskAction, TaskOutcome, TaskRecord, TaskState, WaitReason,
        WorkerEntry, WorkerReport,
    },
    policy::PlacementPolicy,
    state::{TaskQueue, lease_with_margin},
    table::{PendingRecord, StopReason},
    workers::ClosedReason,
};
use crate::{
    health::{HealthAction, HealthEvent},
    types::{Attempt, NotRunReason, ResourceVector, RestartPolicy, TaskId, WorkerId},
};

/// Failed attempts after which a task fails. The health table fails a job only
/// after failures on several workers, which a small pool may not have.
const ATTEMPT_LIMIT: Attempt = 10;
/// Time after which a task that has not failed shows that its worker on probation starts tasks. Tasks
/// that last would never show it otherwise.
const PROBE_TIME: Duration = Duration::from_secs(1);
/// Consecutive reports of usage above capacity after which a task is stopped.
const STOP_AFTER_REPORTS: u32 = 3;

impl<P: PlacementPolicy> TaskQueue<P> {
    /// Handles the response to a claim: adopts what the worker runs, and settles
    /// the tasks that it was expected to run but did not list.
    pub(super) fn handle_claim(
        &mut self,
        name: &WorkerId,
        running: &[ReportedTask],
        now: Duration,
    ) {
        self.workers.update(name, |info| {
            info.closed_reasons.remove(&ClosedReason::Unclaimed);
            info.closed_reasons.remove(&ClosedReason::Unresponsive);
            info.renewed_at = now;
        });
        self.adopt_running(name, running, now);
        for task in self.tasks_on_worker(name) {
            let is_listed = running.iter().any(|reported| reported.task == task);
            let is_starting = self.table.tasks.get(&task).is_some_and(|entry| {
                matches!(
                    entry.state,
                    TaskState::Recording(_) | TaskState::Starting(_)
                )
            });
            if !is_listed && !is_starting {
                self.handle_stopped_attempt(task, now);
            }
        }
        self.mark_freed(name);
    }

    /// Returns the tasks that have capacity allocated on a worker.
    fn tasks_on_worker(&self, name: &WorkerId) -> Vec<TaskId> {
        let info = self.workers.get(name);
        info.map_or_else(Vec::new, |info| info.tasks.iter().copied().collect())
    }

    /// Marks a worker for a placement attempt, as its available capacity may
    /// have grown.
    fn mark_freed(&mut self, name: &WorkerId) {
        self.freed_workers.insert(name.clone());
    }

    /// Adopts the tasks that a worker runs. A task without a matching attempt is
    /// an orphan: it is stopped, and its capacity stays allocated until the
    /// worker no longer reports it.
    fn adopt_running(&mut self, name: &WorkerId, running: &[ReportedTask], now: Duration) {
        let mut orphans = Vec::new();
        for reported in running {
            if self.is_expected_on(name, reported) || self.adopt_unrecorded_start(name, reported) {
                self.mark_running(reported.task, name, now);
            } else {
                let ReportedTask { task, attempt, .. } = *reported;
                self.actions
                    .push(TaskAction::Stop(task, attempt, name.clone()));
                orphans.push(reported.clone());
            }
        }
        self.workers.set_orphans(name, &orphans);
    }

    /// Returns whether a reported task is an attempt that was sent to the worker.
    fn is_expected_on(&self, name: &WorkerId, reported: &ReportedTask) -> bool {
        self.table.tasks.get(&reported.task).is_some_and(|entry| {
            entry.worker() == Some(name) && entry.attempt == reported.attempt && entry.is_start_sent
        })
    }

    /// Adopts an `anytime` task whose start was sent by a former owner, but not
    /// recorded. Returns whether it was adopted.
    fn adopt_unrecorded_start(&mut self, name: &WorkerId, reported: &ReportedTask) -> bool {
        let is_waiting = self.table.tasks.get(&reported.task).is_some_and(|entry| {
            matches!(entry.state, TaskState::Waiting(_)) && reported.attempt > entry.attempt
        });
        let is_anytime = self.restart_of(reported.task) == Some(RestartPolicy::Anytime);
        let Some((job, demand)) = self
            .demand_of(reported.task)
            .filter(|_| is_waiting && is_anytime)
        else {
            return false;
        };
        let free = self.workers.get(name).map(super::workers::WorkerInfo::free);
        let is_gang = self
            .table
            .jobs
            .get(&job)
            .is_some_and(super::table::JobEntry::is_gang);
        if is_gang || !free.is_some_and(|free| demand.fits_in(&free)) {
            return false;
        }
        self.assign_task(job, reported.task, name, &demand);
        if let Some(entry) = self.table.tasks.get_mut(&reported.task) {
            entry.attempt = reported.attempt;
            entry.is_start_sent = true;
        }
        self.update_queueing(job, Duration::ZERO);
        true
    }

    /// Marks an adopted task as running, or stops it again if a stop was
    /// requested before.
    fn mark_running(&mut self, task: TaskId, name: &WorkerId, now: Duration) {
        let Some(entry) = self.table.tasks.get(&task) else {
            return;
        };
        let (stop_reason, attempt) = (entry.stop_reason, entry.attempt);
        let expected = entry.expected_end.is_some();
        self.table.set_lease_expiry(task, None);
        if stop_reason.is_some() {
            self.set_state(task, TaskState::Stopping(name.clone()));
            self.actions
                .push(TaskAction::Stop(task, attempt, name.clone()));
            return;
        }
        self.set_state(task, TaskState::Running(name.clone()));
        if !expected {
            self.set_expected_end(task, now);
        }
    }

    /// Handles a periodic report. Completions count even before the claim.
    pub(super) fn handle_report(&mut self, name: &WorkerId, report: &WorkerReport, now: Duration) {
        for (task, attempt, success) in &report.completions {
            self.handle_completion(*task, *attempt, *success, now);
        }
        if self.workers.get(name).is_none_or(|info| !info.is_claimed()) {
            return;
        }
        self.workers.update(name, |info| {
            info.closed_reasons.remove(&ClosedReason::Unresponsive);
            info.closed_reasons.remove(&ClosedReason::Rejected);
        });
        self.adopt_running(name, &report.running, now);
        self.end_probes(name, now);
        self.mitigate_overload(name, &report.usage);
        self.mark_freed(name);
    }

    /// Counts the tasks that have run for [`PROBE_TIME`] on a worker on probation as successes.
    fn end_probes(&mut self, name: &WorkerId, now: Duration) {
        let Some(info) = self.workers.get(name) else {
            return;
        };
        let probes = info.probes().iter().filter_map(|task| {
            let entry = self.table.tasks.get(task)?;
            let is_running = matches!(entry.state, TaskState::Running(_));
            let has_held = is_running && now >= entry.started_at + PROBE_TIME;
            has_held.then_some((*task, entry.job))
        });
        let held: Vec<(TaskId, JobId)> = probes.collect();
        for (task, job) in held {
            self.workers.update(name, |info| info.end_probe(task));
            let event = HealthEvent::Succeeded(name.clone(), job);
            let actions = self.health.handle(event);
            self.apply_health(actions, now);
        }
    }

    /// Throttles, then checkpoints, then stops the least urgent task of a
    /// worker while consecutive reports show usage above its capacity.
    fn mitigate_overload(&mut self, name: &WorkerId, usage: &ResourceVector) {
        let Some(info) = self.workers.get(name) else {
            return;
        };
        let is_overloaded = !usage.fits_in(&info.entry.capacity);
        let overload_reports = if is_overloaded {
            info.overload_reports + 1
        } else {
            0
        };
        self.workers
            .update(name, |info| info.overload_reports = overload_reports);
        let Some((task, checkpoint)) = self.least_urgent_task(name).filter(|_| is_overloaded)
        else {
            return;
        };
        match overload_reports {
            1 => self.actions.push(TaskAction::Throttle(task, name.clone())),
            2.. if overload_reports < STOP_AFTER_REPORTS && checkpoint => self
                .actions
                .push(TaskAction::Checkpoint(task, name.clone())),
            _ => {
                self.stop_task(task, StopReason::Reschedule);
                self.workers.update(name, |info| info.overload_reports = 0);
            }
        }
    }

    /// Returns the running task to stop first, and whether it can checkpoint:
    /// `never` tasks come last, then the least urgent and largest come first.
    fn least_urgent_task(&self, name: &WorkerId) -> Option<(TaskId, bool)> {
        let running = self.workers.get(name)?.tasks.iter().filter_map(|task| {
            let entry = self.table.tasks.get(task)?;
            let job = self.table.jobs.get(&entry.job)?;
            let is_never = job.spec.restart == RestartPolicy::Never;
            let rank = (
                is_never,
                job.spec.urgency,
                std::cmp::Reverse(job.spec.demand),
            );
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

    /// Closes a worker that does not respond. Its tasks stay unresolved until the
    /// worker responds or, if it was claimed by this owner, until their leases
    /// have expired.
    pub(super) fn handle_unresponsive(&mut self, name: &WorkerId, now: Duration) {
        let Some(info) = self.workers.get(name) else {
            return;
        };
        let (renewed_at, claimed) = (info.renewed_at, info.is_claimed());
        self.workers
            .update(name, |info| info.close(ClosedReason::Unresponsive));
        for task in self.tasks_on_worker(name) {
            // An earlier iteration may have requeued this member of its gang.
            let entry = self.table.tasks.get(&task);
            let Some(entry) = entry.filter(|entry| entry.worker().is_some()) else {
                continue;
            };
            let lease_start = renewed_at.max(entry.started_at);
            if matches!(entry.state, TaskState::Recording(_)) {
                self.handle_stopped_attempt(task, now);
                continue;
            }
            if claimed && entry.lease_expiry.is_none() {
                let lease_expiry = lease_start + lease_with_margin(self.config.lease);
                let lease_expiry = lease_expiry.max(self.former_leases_expiry);
                self.table.set_lease_expiry(task, Some(lease_expiry));
            }
            self.set_state(task, TaskState::Unresolved(name.clone()));
        }
    }

    /// Ends or requeues unresolved tasks whose leases have certainly expired.
    pub(super) fn expire_leases(&mut self, now: Duration) {
        while let Some((at, task)) = self.table.lease_expiries.first().copied() {
            if at > now {
                return;
            }
            self.table.set_lease_expiry(task, None);
            self.resolve_task(task, now);
        }
    }

    /// Closes a worker whose host is leaving, and reschedules the tasks that can
    /// checkpoint. Starts that are still being recorded are withdrawn, since the
    /// host may refuse starts before the record is durable.
    pub(super) fn close_leaving_worker(&mut self, name: &WorkerId, now: Duration) {
        self.workers
            .update(name, |info| info.close(ClosedReason::Leaving));
        for task in self.tasks_on_worker(name) {
            let job = self.table.tasks.get(&task).map(|entry| entry.job);
            let can_move = job
                .and_then(|job| self.table.jobs.get(&job))
                .is_some_and(|job| job.spec.checkpoint && job.spec.restart != RestartPolicy::Never);
            match self.table.tasks.get(&task).map(|entry| &entry.state) {
                Some(TaskState::Running(_)) if can_move => {
                    self.actions
                        .push(TaskAction::Checkpoint(task, name.clone()));
                    self.stop_task(task, StopReason::Reschedule);
                }
                Some(TaskState::Recording(_)) => self.handle_stopped_attempt(task, now),
                _ => {}
            }
        }
    }

    /// Reopens a worker whose host is no longer leaving.
    pub(super) fn reopen_worker(&mut self, name: &WorkerId) {
        self.workers.update(name, |info| {
            info.closed_reasons.remove(&ClosedReason::Leaving);
        });
        self.mark_freed(name);
    }

    /// Removes a worker and settles its tasks as stopped.
    pub(super) fn remove_worker(&mut self, name: &WorkerId, now: Duration) {
        for task in self.tasks_on_worker(name) {
            self.handle_stopped_attempt(task, now);
        }
        self.workers.remove(name);
        let actions = self.health.handle(HealthEvent::TargetRemoved(name.clone()));
        self.apply_health(actions, now);
        self.cancel_reservation();
        self.reject_infeasible(now);
    }

    /// Replaces the workers of the pool.
    pub(super) fn set_workers(&mut self, entries: Vec<WorkerEntry>, now: Duration) {
        let names: Vec<_> = entries.iter().map(|entry| entry.worker.clone()).collect();
        self.cancel_reservation();
        for name in self.workers.replace(entries) {
            let actions = self.health.handle(HealthEvent::TargetRemoved(name));
            self.apply_health(actions, now);
        }
        for name in names {
            self.health.handle(HealthEvent::TargetAdded(name));
        }
        self.reallocate_placed_tasks(now);
        self.reject_infeasible(now);
        self.wait_queues.unblock_all();
    }

    /// Allocates capacity for replayed tasks whose workers are now known, and
    /// settles the attempts on workers that no longer exist.
    fn reallocate_placed_tasks(&mut self, now: Duration) {
        let placed: Vec<_> = self
            .table
            .tasks
            .iter()
            .filter_map(|(task, entry)| Some((*task, entry.worker()?.clone())))
            .collect();
        for (task, name) in placed {
            match (self.workers.get(&name), self.demand_of(task)) {
                (None, _) => self.handle_stopped_attempt(task, now),
                (Some(_), Some((_, demand))) => self.workers.allocate(&name, task, &demand),
                (Some(_), None) => {}
            }
        }
    }

    /// Returns whether `attempt` is the latest one of the task, was sent, and
    /// has not ended. Messages about other attempts are ignored.
    fn is_current_attempt(&self, task: TaskId, attempt: Attempt) -> bool {
        self.table.tasks.get(&task).is_some_and(|entry| {
            entry.attempt == attempt && entry.is_start_sent && entry.worker().is_some()
        })
    }

    /// Marks a task as running after its worker accepted the start.
    pub(super) fn confirm_start(&mut self, task: TaskId, attempt: Attempt, now: Duration) {
        let starting = self.table.tasks.get(&task).map(|entry| entry.state.clone());
        match starting {
            Some(TaskState::Starting(worker)) if self.is_current_attempt(task, attempt) => {
                self.set_state(task, TaskState::Running(worker));
                self.set_expected_end(task, now);
            }
            _ => {}
        }
    }

    /// Handles a start that the worker rejected before running anything.
    pub(super) fn handle_rejection(&mut self, task: TaskId, attempt: Attempt, now: Duration) {
        if !self.is_current_attempt(task, attempt) {
            return;
        }
        let worker = self
            .table
            .tasks
            .get(&task)
            .and_then(|entry| entry.worker().cloned());
        if let Some(worker) = worker {
            self.workers
                .update(&worker, |info| info.close(ClosedReason::Rejected));
        }
        let stop_reason = self
            .table
            .tasks
            .get(&task)
            .and_then(|entry| entry.stop_reason);
        match (stop_reason, self.restart_of(task)) {
            (Some(StopReason::Cancel), _) => self.end_task(task, TaskOutcome::Cancelled, now),
            (_, Some(RestartPolicy::Never)) => {
                let reason = NotRunReason::RejectedByTarget;
                let job = self.table.tasks.get(&task).map(|entry| entry.job);
                self.end_task(task, TaskOutcome::NotRun(reason), now);
                self.fail_never_gang(job, now);
            }
            _ => self.handle_stopped_attempt(task, now),
        }
    }

    /// Handles a start whose response was lost: repeats the start of an `anytime`
    /// task, and claims the worker for any other. A worker could reject a
    /// repeated start while the first one runs, and the next attempt on another
    /// worker would then overlap it.
    pub(super) fn settle_unknown_start(&mut self, task: TaskId, attempt: Attempt) {
        let state = self.table.tasks.get(&task).map(|entry| entry.state.clone());
        let (Some(TaskState::Starting(worker) | TaskState::Stopping(worker)), true) =
            (state, self.is_current_attempt(task, attempt))
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

    /// Handles an attempt that ended on its worker.
    fn handle_completion(&mut self, task: TaskId, attempt: Attempt, success: bool, now: Duration) {
        if !self.is_current_attempt(task, attempt) {
            return;
        }
        let Some(entry) = self.table.tasks.get(&task) else {
            return;
        };
        let (job, stop_reason, run_time) = (
            entry.job,
            entry.stop_reason,
            now.saturating_sub(entry.started_at),
        );
        let Some(worker) = entry.worker().cloned() else {
            return;
        };
        if success {
            if let Some(job) = self.table.jobs.get(&job) {
                self.table.run_times.observe(&job.spec, run_time);
            }
            let actions = self.health.handle(HealthEvent::Succeeded(worker, job));
            self.end_task(task, TaskOutcome::Succeeded, now);
            self.apply_health(actions, now);
        } else if stop_reason.is_some() {
            self.handle_stopped_attempt(task, now);
        } else {
            self.handle_failure(task, job, worker, attempt, now);
        }
    }

    /// Requeues or fails a task whose attempt failed.
    fn handle_failure(
        &mut self,
        task: TaskId,
        job: JobId,
        worker: WorkerId,
        attempt: Attempt,
        now: Duration,
    ) {
        let actions = self.health.handle(HealthEvent::Failed(worker, job));
        let is_never = self.restart_of(task) == Some(RestartPolicy::Never);
        if is_never || attempt >= ATTEMPT_LIMIT {
            self.end_task(task, TaskOutcome::Failed, now);
        } else {
            self.handle_stopped_attempt(task, now);
        }
        self.apply_health(actions, now);
    }

    /// Applies the actions of the health table.
    fn apply_health(&mut self, actions: Vec<HealthAction<WorkerId, JobId>>, now: Duration) {
        for action in actions {
            match action {
                HealthAction::Probation(name) => {
                    self.workers.update(&name, |info| info.set_probation(true));
                }
                HealthAction::Restored(name) => {
                    self.workers.update(&name, |info| info.set_probation(false));
                    self.mark_freed(&name);
                }
                HealthAction::FailJob(job) => self.fail_job(job, now),
            }
        }
    }

    /// Fails a `never` gang after one of its members was rejected: the gang can
    /// no longer run as a whole.
    fn fail_never_gang(&mut self, job: Option<JobId>, now: Duration) {
        let gang = job.filter(|id| {
            let job = self.table.jobs.get(id);
            job.is_some_and(super::table::JobEntry::is_gang)
        });
        if let Some(job) = gang {
            self.fail_job(job, now);
        }
    }

    /// Fails the tasks of a job that were not started, and stops the others.
    fn fail_job(&mut self, job: JobId, now: Duration) {
        let tasks = self.table.jobs.get(&job).map(|job| job.spec.tasks.clone());
        for task in tasks.unwrap_or_default() {
            match self.table.tasks.get(&task).map(|entry| &entry.state) {
                Some(TaskState::Waiting(_) | TaskState::Recording(_)) => {
                    self.end_task(task, TaskOutcome::Failed, now);
                }
                Some(TaskState::Ended(_)) | None => {}
                Some(_) => self.stop_task(task, StopReason::FailJob),
            }
        }
    }

    /// Settles an unresolved task whose attempt has certainly stopped.
    pub(super) fn resolve_task(&mut self, task: TaskId, now: Duration) {
        let is_unresolved = self
            .table
            .tasks
            .get(&task)
            .is_some_and(|entry| matches!(entry.state, TaskState::Unresolved(_)));
        if is_unresolved {
            self.handle_stopped_attempt(task, now);
        }
    }

    /// Ends or requeues a task whose attempt has certainly stopped, or whose
    /// start was never sent.
    pub(super) fn handle_stopped_attempt(&mut self, task: TaskId, now: Duration) {
        let entry = self.table.tasks.get(&task);
        let Some(entry) = entry.filter(|entry| entry.worker().is_some()) else {
            return;
        };
        let (job, stop_reason, sent) = (entry.job, entry.stop_reason, entry.is_start_sent);
        let is_never = self.restart_of(task) == Some(RestartPolicy::Never);
        match stop_reason {
            Some(StopReason::Cancel) => self.end_task(task, TaskOutcome::Cancelled, now),
            Some(StopReason::FailJob) => self.end_task(task, TaskOutcome::Failed, now),
            _ if is_never && sent => self.end_task(task, TaskOutcome::Unknown, now),
            _ => {
                self.requeue_task(task, now);
                self.requeue_gang_members(job, now);
            }
        }
    }

    /// Requeues or stops the other members of a gang that lost one, so that the
    /// gang starts again as a whole. Members of a `never` gang whose start was
    /// sent continue to run.
    fn requeue_gang_members(&mut self, job: JobId, now: Duration) {
        let gang = self
            .table
            .jobs
            .get(&job)
            .filter(|job| job.is_gang() && job.placed_count > 0);
        let Some((is_never, tasks)) = gang.map(|job| {
            let is_never = job.spec.restart == RestartPolicy::Never;
            (is_never, job.spec.tasks.clone())
        }) else {
            return;
        };
        for task in tasks {
            let Some(entry) = self.table.tasks.get(&task) else {
                continue;
            };
            match entry.state {
                TaskState::Recording(_) => self.requeue_task(task, now),
                TaskState::Starting(_) | TaskState::Running(_) | TaskState::Unresolved(_)
                    if entry.stop_reason.is_none() && !is_never =>
                {
                    self.stop_task(task, StopReason::Reschedule);
                }
                _ => {}
            }
        }
    }

    /// Releases the capacity of a task and queues it again. The record is needed
    /// only if the start was sent.
    pub(super) fn requeue_task(&mut self, task: TaskId, now: Duration) {
        self.release_task(task, now);
        let Some(entry) = self.table.tasks.get_mut(&task) else {
            return;
        };
        let (job, attempt) = (entry.job, entry.attempt);
        let sent = std::mem::take(&mut entry.is_start_sent);
        entry.stop_reason = None;
        self.set_state(task, TaskState::Waiting(WaitReason::Queued));
        if let Some(job) = self.table.jobs.get_mut(&job) {
            job.pending.insert(task);
        }
        if sent {
            let record = TaskRecord::Requeued(task, attempt);
            self.record(record.clone(), PendingRecord::Unawaited(record));
        }
        self.update_queueing(job, now);
    }

    /// Ends a task, releases its capacity and records its outcome.
    pub(super) fn end_task(&mut self, task: TaskId, outcome: TaskOutcome, now: Duration) {
        self.release_task(task, now);
        self.set_state(task, TaskState::Ended(outcome));
        self.record(TaskRecord::Ended(task, outcome), PendingRecord::End(task));
        let job = self.table.tasks.get(&task).map(|entry| entry.job);
        self.count_ended_task(task);
        if let Some(job) = job {
            self.update_queueing(job, now);
        }
    }

    /// Counts an ended task, removes its job after the last task, and evicts the
    /// oldest ended tasks above the limit.
    pub(super) fn count_ended_task(&mut self, task: TaskId) {
        let Some(id) = self.table.tasks.get(&task).map(|entry| entry.job) else {
            return;
        };
        let Some(job) = self.table.jobs.get_mut(&id) else {
            return;
        };
        job.pending.remove(&task);
        job.ended_count += 1;
        if job.ended_count == job.spec.tasks.len() {
            self.remove_job(id);
        }
        self.table.ended_tasks.push_back(task);
        while self.table.ended_tasks.len() > self.config.ended_task_limit
            && let Some(oldest) = self.table.ended_tasks.pop_front()
        {
            self.table.tasks.remove(&oldest);
        }
    }

    /// Removes a job from all indexes.
    pub(super) fn remove_job(&mut self, id: JobId) {
        self.dequeue(id);
        let Some(job) = self.table.jobs.remove(&id) else {
            return;
        };
        let successors = self.table.unindex_job(id, &job);
        self.released_jobs.extend(successors);
        for label in &job.spec.labels {
            if let Some(jobs) = self.table.jobs_by_label.get_mut(label) {
                jobs.remove(&id);
                if jobs.is_empty() {
                    self.table.jobs_by_label.remove(label);
                }
            }
        }
        self.health.handle(HealthEvent::JobEnded(id));
    }
}
