//! Read access to a task queue, and its export as records.

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
    /// Returns the current state of a task; a waiting one with the reason of
    /// its job.
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

    /// Returns the tasks of unfinished jobs with a label.
    #[must_use]
    pub fn tasks_with_label(&self, label: &str) -> Vec<TaskId> {
        let jobs = self.table.jobs_by_label.get(label);
        jobs.into_iter()
            .flatten()
            .filter_map(|job| self.table.jobs.get(job))
            .flat_map(|job| job.spec.tasks.iter().copied())
            .collect()
    }

    /// Returns the number of tasks, including ended ones that remain visible.
    #[must_use]
    pub fn task_len(&self) -> usize {
        self.table.tasks.len()
    }

    /// Returns the number of waiting tasks and the number of placed tasks.
    #[must_use]
    pub fn task_counts(&self) -> (usize, usize) {
        let jobs = self.table.jobs.values();
        jobs.fold((0, 0), |(waiting, placed), job| {
            (waiting + job.pending.len(), placed + job.placed_count)
        })
    }

    /// Returns the time since this owner accepted or replayed the job of a task.
    #[must_use]
    pub fn time_since_accepted(&self, task: TaskId, now: Duration) -> Option<Duration> {
        let job = self.table.tasks.get(&task)?.job;
        let job = self.table.jobs.get(&job)?;
        Some(now.saturating_sub(job.accepted_at))
    }

    /// Returns the resources of a worker that are not allocated, including
    /// reserved ones and those of a closed worker.
    #[must_use]
    pub fn free_capacity(&self, worker: &WorkerId) -> Option<ResourceVector> {
        self.workers
            .get(worker)
            .map(super::workers::WorkerInfo::free)
    }

    /// Returns the tasks that have capacity allocated on a worker.
    #[must_use]
    pub fn tasks_on(&self, worker: &WorkerId) -> Option<&BTreeSet<TaskId>> {
        self.workers.get(worker).map(|info| &info.tasks)
    }

    /// Returns the counters of placement work since the queue was created.
    #[must_use]
    pub const fn work_counter(&self) -> WorkCounter {
        self.workers.work
    }

    /// Returns the number of tasks of a job that was accepted within the
    /// retention, a day by default.
    #[must_use]
    pub fn accepted_task_count(&self, job: JobId) -> Option<u32> {
        self.table.accepted_jobs.task_count(job)
    }

    /// Returns the job of a task; `None` once all tasks of the job have ended.
    #[must_use]
    pub fn job_of(&self, task: TaskId) -> Option<&JobSpec> {
        let job = self.table.tasks.get(&task)?.job;
        Some(&self.table.jobs.get(&job)?.spec)
    }

    /// Returns the tasks of unfinished jobs that have all of the labels, limited
    /// to a team if one is given.
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

    /// Returns records from which [`TaskEvent::Replayed`] restores the accepted
    /// and unfinished jobs and the visible ended tasks.
    ///
    /// The records include jobs whose acceptance is not yet durable, since a
    /// snapshot replaces the records that were appended before it.
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
        // The caller appends ended tasks in the order in which they ended.
        let tasks = tasks
            .filter_map(|task| self.export_task(*task))
            .filter(|record| !matches!(record, TaskRecord::Ended(..)));
        std::iter::once(accepted).chain(tasks).collect()
    }

    /// Returns the record that restores a task; `None` if none of its starts was
    /// recorded.
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

    /// Inserts an ended task whose job has been removed, so that it is visible.
    pub(super) fn insert_ended_task(&mut self, task: TaskId, state: TaskState) {
        /// Placeholder that no job has as its identifier.
        const NO_JOB: JobId = 0;
        let mut entry = TaskEntry::new(NO_JOB);
        entry.state = state;
        self.table.tasks.insert(task, entry);
        self.table.ended_tasks.push_back(task);
    }
}
