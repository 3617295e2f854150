//! The accepted jobs, retained after they end so that duplicates are detected.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use super::messages::{JobId, TaskRecord};

/// Accepted jobs with their task counts, until their retention expires.
///
/// The id of a job that is submitted with an idempotency key is a digest of the
/// key, so a retry with the same key finds the job here and is not accepted
/// again.
#[derive(Clone, Debug, Default)]
pub(super) struct AcceptedJobs {
    /// Task count of each job.
    jobs: BTreeMap<JobId, u32>,
    /// When each job is evicted, earliest first.
    expirations: VecDeque<(Duration, JobId)>,
}

impl AcceptedJobs {
    /// Adds a job until `expires_at`, which must not decrease between calls.
    pub(super) fn add(&mut self, job: JobId, tasks: u32, expires_at: Duration) {
        if self.jobs.insert(job, tasks).is_none() {
            self.expirations.push_back((expires_at, job));
        }
    }

    /// Removes a job whose acceptance was not recorded.
    pub(super) fn withdraw(&mut self, job: JobId) {
        self.jobs.remove(&job);
        // The job was added recently, so the search from the back is short.
        if let Some(position) = self
            .expirations
            .iter()
            .rposition(|(_, other)| *other == job)
        {
            self.expirations.remove(position);
        }
    }

    /// Evicts the jobs whose retention has expired.
    pub(super) fn evict_expired(&mut self, now: Duration) {
        while let Some((_, job)) = self
            .expirations
            .pop_front_if(|(expires_at, _)| now >= *expires_at)
        {
            self.jobs.remove(&job);
        }
    }

    /// Returns the number of tasks of a job that is still retained.
    pub(super) fn task_count(&self, job: JobId) -> Option<u32> {
        self.jobs.get(&job).copied()
    }

    /// Returns a [`TaskRecord::Remembered`] for each job, oldest first.
    pub(super) fn records(&self) -> impl Iterator<Item = TaskRecord> {
        let jobs = self.expirations.iter();
        jobs.filter_map(|(_, job)| Some(TaskRecord::Remembered(*job, self.task_count(*job)?)))
    }
}
