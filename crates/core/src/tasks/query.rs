//! What can be read of a task queue.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use super::{
    index::WorkCounter,
    messages::{JobId, JobSpec, TaskRecord, TaskState, TaskView},
    policy::PlacementPolicy,
    state::TaskQueue,
    table::{JobEntry, TaskEntry},
};
use crate::types::{ResourceVector, TaskId, WorkerId};

impl<P: PlacementPolicy> TaskQueue<P> {
    /// Returns the state of a task, with the reason if it waits.
    #[must_use]
    pub fn view(&self, task: TaskId) -> Option<TaskView> {
        let entry = self.table.tasks.get(&task)?;
        let mut view = entry.view(task);
        if let (TaskState::Waiting(reason), Some(job)) =
            (&mut view.state, self.table.jobs.get(&entry.job))
        {
            *reason = job.reason;
        }
        Some(view)
    }

    /// Returns the tasks with a label that have not been forgotten.
    #[must_use]
    pub fn tasks_with_label(&self, label: &str) -> Vec<TaskId> {
        let jobs = self.table.jobs_by_label.get(label);
        jobs.into_iter()
            .flatten()
            .filter_map(|job| self.table.jobs.get(job))
            .flat_map(|job| job.spec.tasks.iter().copied())
            .collect()
    }

    /// Returns the number of tasks known, ended ones included.
    #[must_use]
    pub fn task_len(&self) -> usize {
        self.table.tasks.len()
    }

    /// Returns the numbers of tasks that wait and that occupy a worker.
    #[must_use]
    pub fn task_counts(&self) -> (usize, usize) {
        let jobs = self.table.jobs.values();
        jobs.fold((0, 0), |(waiting, placed), job| {
            (waiting + job.pending.len(), placed + job.placed_count)
        })
    }

    /// Returns the time since a task's job was accepted by this owner.
    #[must_use]
    pub fn time_since_accepted(&self, task: TaskId, now: Duration) -> Option<Duration> {
        let job = self.table.tasks.get(&task)?.job;
        let job = self.table.jobs.get(&job)?;
        Some(now.saturating_sub(job.accepted_at))
    }

    /// Returns what is free on a worker.
    #[must_use]
    pub fn free(&self, worker: &WorkerId) -> Option<ResourceVector> {
        self.workers
            .get(worker)
            .map(super::workers::WorkerInfo::free)
    }

    /// Returns the tasks to which a worker's room is given.
    #[must_use]
    pub fn tasks_on(&self, worker: &WorkerId) -> Option<&BTreeSet<TaskId>> {
        self.workers.get(worker).map(|info| &info.tasks)
    }

    /// Returns the work counted so far.
    #[must_use]
    pub const fn work_counter(&self) -> WorkCounter {
        self.workers.work
    }

    /// Returns the number of tasks of a job that was accepted within the last
    /// day.
    #[must_use]
    pub fn accepted_task_count(&self, job: JobId) -> Option<u32> {
        self.table.accepted_jobs.task_count(job)
    }

    /// Returns the job of a task, unless all tasks of the job have ended.
    #[must_use]
    pub fn job_of(&self, task: TaskId) -> Option<&JobSpec> {
        let job = self.table.tasks.get(&task)?.job;
        Some(&self.table.jobs.get(&job)?.spec)
    }

    /// Returns the tasks of unfinished jobs that have all labels and belong to
    /// the team, if one is named.
    #[must_use]
    pub fn find_tasks(&self, labels: &[Arc<str>], team: Option<&str>) -> Vec<TaskId> {
        let matches = |job: &&JobEntry| {
            let has_labels = labels.iter().all(|label| job.spec.labels.contains(label));
            has_labels && team.is_none_or(|team| *job.spec.team == *team)
        };
        let tasks = |job: &JobEntry| job.spec.tasks.clone();
        match labels.first() {
            Some(label) => self
                .jobs_with_label(label)
                .iter()
                .filter_map(|job| self.table.jobs.get(job))
                .filter(matches)
                .flat_map(tasks)
                .collect(),
            None => self
                .table
                .jobs
                .values()
                .filter(matches)
                .flat_map(tasks)
                .collect(),
        }
    }

    /// Returns records from which [`TaskEvent::Replayed`] builds the unfinished
    /// jobs and the ended tasks that are still shown.
    ///
    /// A job whose acceptance is not yet durable is included, since a snapshot
    /// replaces the records that were appended before it.
    ///
    /// [`TaskEvent::Replayed`]: super::TaskEvent::Replayed
    #[must_use]
    pub fn export(&self) -> Vec<TaskRecord> {
        let mut jobs: Vec<_> = self.table.jobs.values().collect();
        jobs.sort_by_key(|job| job.arrival);
        let shown = self.table.ended_tasks.iter();
        let shown = shown.filter_map(|task| self.export_task(*task));
        let remembered = self.table.accepted_jobs.records();
        remembered
            .chain(jobs.into_iter().flat_map(|job| self.export_job(job)))
            .chain(shown)
            .collect()
    }

    fn export_job(&self, job: &JobEntry) -> Vec<TaskRecord> {
        let accepted = TaskRecord::Accepted(job.spec.clone());
        let tasks = job.spec.tasks.iter();
        // Ended tasks follow in the order in which they ended.
        let tasks = tasks
            .filter_map(|task| self.export_task(*task))
            .filter(|record| !matches!(record, TaskRecord::Ended(..)));
        std::iter::once(accepted).chain(tasks).collect()
    }

    /// Returns the latest record of a task; none if no start was recorded.
    fn export_task(&self, task: TaskId) -> Option<TaskRecord> {
        let entry = self.table.tasks.get(&task)?;
        match (&entry.state, entry.worker()) {
            (TaskState::Ended(outcome), _) => Some(TaskRecord::Ended(task, *outcome)),
            (_, Some(worker)) => {
                let start = (task, entry.attempt, worker.clone());
                Some(TaskRecord::Started(vec![start]))
            }
            (_, None) if entry.attempt > 0 => Some(TaskRecord::Requeued(task, entry.attempt)),
            (_, None) => None,
        }
    }

    /// Shows an ended task whose job is no longer known.
    pub(super) fn insert_ended_task(&mut self, task: TaskId, state: TaskState) {
        /// Job of tasks that are only shown; no job has it.
        const NO_JOB: JobId = 0;
        let mut entry = TaskEntry::new(NO_JOB);
        entry.state = state;
        self.table.tasks.insert(task, entry);
        self.table.ended_tasks.push_back(task);
    }
}
