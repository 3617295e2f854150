//! Confirmation, retry and replay of durable records.

use std::{collections::BTreeSet, time::Duration};

use super::{
    messages::{JobId, JobRejection, TaskAction, TaskOutcome, TaskRecord, TaskState},
    policy::PlacementPolicy,
    state::TaskQueue,
    table::PendingRecord,
};
use crate::{
    journal::RecordId,
    types::{Attempt, RestartPolicy, TaskId, WorkerId},
};

impl<P: PlacementPolicy> TaskQueue<P> {
    /// Carries out what follows records that became durable.
    pub(super) fn handle_recorded(&mut self, ids: &BTreeSet<RecordId>, now: Duration) {
        if std::mem::take(&mut self.is_store_down) {
            self.wait_queues.unblock_all();
        }
        for id in ids {
            match self.table.pending_records.remove(id) {
                Some(PendingRecord::Accept(job)) => self.confirm_acceptance(job, now),
                Some(PendingRecord::Start(starts)) => self.send_recorded_starts(&starts, now),
                Some(PendingRecord::End(task)) => self.publish_end(task),
                Some(PendingRecord::Unawaited(_)) | None => {}
            }
        }
    }

    /// Queues a job whose acceptance is durable and reports it to the caller.
    fn confirm_acceptance(&mut self, job: JobId, now: Duration) {
        if let Some(entry) = self.table.jobs.get_mut(&job) {
            entry.is_durable = true;
            self.enqueue(job, now);
        }
        self.actions.push(TaskAction::Accepted(job));
    }

    /// Sends the starts whose record is durable, unless they were withdrawn.
    fn send_recorded_starts(&mut self, starts: &[(TaskId, Attempt)], now: Duration) {
        for (task, attempt) in starts {
            if self.is_recording(*task, *attempt) {
                self.send_start(*task, now);
            }
        }
    }

    /// Returns whether the start of an attempt still waits for its record.
    fn is_recording(&self, task: TaskId, attempt: Attempt) -> bool {
        self.table.tasks.get(&task).is_some_and(|entry| {
            entry.attempt == attempt && matches!(entry.state, TaskState::Recording(_))
        })
    }

    /// Publishes the end of a task to watchers.
    fn publish_end(&mut self, task: TaskId) {
        if let Some(entry) = self.table.tasks.get(&task) {
            self.actions.push(TaskAction::Changed(entry.view(task)));
        }
    }

    /// Reverts acceptances and starts whose records were not written, and keeps
    /// all other records for a retry.
    pub(super) fn handle_failed_records(&mut self, ids: &BTreeSet<RecordId>, now: Duration) {
        self.is_store_down = true;
        for id in ids {
            match self.table.pending_records.remove(id) {
                Some(PendingRecord::Accept(job)) => self.withdraw_job(job, now),
                Some(PendingRecord::Start(starts)) => self.requeue_unrecorded_starts(&starts, now),
                Some(pending) => {
                    self.table.failed_records.push(pending);
                }
                None => {}
            }
        }
    }

    /// Removes a job whose acceptance is not durable. None of its starts was
    /// sent: they wait for a later record, or for the acceptance itself.
    fn withdraw_job(&mut self, job: JobId, now: Duration) {
        let Some(entry) = self.table.jobs.get(&job) else {
            return;
        };
        for task in entry.spec.tasks.clone() {
            self.release_task(task, now);
            let state = self.table.tasks.get(&task).map(|entry| &entry.state);
            if !matches!(state, Some(TaskState::Ended(_))) {
                self.table.tasks.remove(&task);
            }
        }
        self.remove_job(job);
        self.table.accepted_jobs.withdraw(job);
        let reason = JobRejection::StoreUnavailable;
        self.actions.push(TaskAction::Reject(job, reason));
    }

    /// Queues tasks again whose start was not recorded, and thus not sent.
    fn requeue_unrecorded_starts(&mut self, starts: &[(TaskId, Attempt)], now: Duration) {
        for (task, attempt) in starts {
            if self.is_recording(*task, *attempt) {
                self.requeue_task(*task, now);
            }
        }
    }

    /// Retries the failed records whose effect cannot be reverted.
    pub(super) fn retry_records(&mut self) {
        for pending in std::mem::take(&mut self.table.failed_records) {
            match &pending {
                PendingRecord::Unawaited(record) => self.record(record.clone(), pending),
                PendingRecord::End(task) => {
                    let state = self.table.tasks.get(task).map(|entry| &entry.state);
                    if let Some(TaskState::Ended(outcome)) = state {
                        let record = TaskRecord::Ended(*task, *outcome);
                        self.record(record, pending);
                    }
                }
                PendingRecord::Accept(_) | PendingRecord::Start(_) => {}
            }
        }
    }

    /// Restores the state of the queue from the records of former owners.
    pub(super) fn replay_records(&mut self, records: Vec<TaskRecord>, now: Duration) {
        for record in records {
            match record {
                TaskRecord::Accepted(spec) => self.insert_job(spec, true, now),
                TaskRecord::Started(starts) => {
                    for (task, attempt, worker) in starts {
                        self.replay_start(task, attempt, &worker, now);
                    }
                }
                TaskRecord::Requeued(task, attempt) => self.replay_requeue(task, attempt, now),
                TaskRecord::Ended(task, outcome) => self.replay_end(task, outcome, now),
                TaskRecord::Remembered(job, tasks) => {
                    self.retain_accepted_job(job, tasks as usize, now);
                }
            }
        }
        let jobs: Vec<_> = self.table.jobs.keys().copied().collect();
        for job in jobs {
            self.enqueue(job, now);
        }
    }

    /// Retains an accepted job for the detection of duplicates. A replayed job
    /// is retained for the full time again, since its age is not known: the queue
    /// only has monotonic time.
    pub(super) fn retain_accepted_job(&mut self, job: JobId, tasks: usize, now: Duration) {
        let tasks = u32::try_from(tasks).unwrap_or(u32::MAX);
        let expires_at = now + self.config.accepted_retention;
        self.table.accepted_jobs.add(job, tasks, expires_at);
    }

    /// Returns whether a replayed record is not outdated. A record that was
    /// written again after a failure can follow later ones of its task.
    fn is_up_to_date(&self, task: TaskId, attempt: Attempt) -> bool {
        self.table.tasks.get(&task).is_some_and(|entry| {
            entry.attempt <= attempt && !matches!(entry.state, TaskState::Ended(_))
        })
    }

    /// Replays the start of a task. The start may have been sent, so the task is
    /// unresolved until its worker answers the claim. An `anytime` task may
    /// overlap, so it waits for one lease at most.
    fn replay_start(&mut self, task: TaskId, attempt: Attempt, worker: &WorkerId, now: Duration) {
        let is_requeued = self.table.tasks.get(&task).is_some_and(|entry| {
            entry.attempt == attempt && matches!(entry.state, TaskState::Waiting(_))
        });
        if is_requeued || !self.is_up_to_date(task, attempt) {
            return;
        }
        self.release_task(task, now);
        let Some((job, demand)) = self.demand_of(task) else {
            return;
        };
        self.assign_task(job, task, worker, &demand);
        if let Some(entry) = self.table.tasks.get_mut(&task) {
            entry.attempt = attempt;
            entry.is_start_sent = true;
            entry.started_at = now;
        }
        self.set_state(task, TaskState::Unresolved(worker.clone()));
        if self.restart_of(task) == Some(RestartPolicy::Anytime) {
            let lease_expiry = now + self.config.lease;
            self.table.set_lease_expiry(task, Some(lease_expiry));
        }
    }

    /// Replays that an attempt stopped and its task was queued again.
    fn replay_requeue(&mut self, task: TaskId, attempt: Attempt, now: Duration) {
        if !self.is_up_to_date(task, attempt) {
            return;
        }
        self.release_task(task, now);
        self.set_state(
            task,
            TaskState::Waiting(super::messages::WaitReason::Queued),
        );
        let job = self.table.tasks.get_mut(&task).map(|entry| {
            entry.attempt = attempt;
            entry.job
        });
        if let Some(job) = job.and_then(|job| self.table.jobs.get_mut(&job)) {
            job.pending.insert(task);
        }
    }

    /// Replays the end of a task, whose job may have been removed.
    fn replay_end(&mut self, task: TaskId, outcome: TaskOutcome, now: Duration) {
        let state = TaskState::Ended(outcome);
        match self.table.tasks.get(&task).map(|entry| &entry.state) {
            None => self.insert_ended_task(task, state),
            // The record was written again after a failure.
            Some(TaskState::Ended(_)) => {}
            Some(_) => {
                self.release_task(task, now);
                self.set_state(task, state);
                self.count_ended_task(task);
            }
        }
    }
}
