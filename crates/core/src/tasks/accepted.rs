//! The jobs that were accepted, remembered beyond their end.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use super::messages::{JobId, TaskRecord};

/// Accepted jobs with their numbers of tasks.
///
/// A submission with an idempotency key names its job by a digest of the key,
/// so a job that is remembered is not accepted a second time.
#[derive(Clone, Debug, Default)]
pub(super) struct AcceptedJobs {
    jobs: BTreeMap<JobId, u32>,
    expiry: VecDeque<(Duration, JobId)>,
}

impl AcceptedJobs {
    /// Remembers a job until a time; later calls must not name earlier times.
    pub(super) fn remember(&mut self, job: JobId, tasks: u32, until: Duration) {
        if self.jobs.insert(job, tasks).is_none() {
            self.expiry.push_back((until, job));
        }
    }

    /// Forgets a job whose acceptance was not recorded.
    pub(super) fn withdraw(&mut self, job: JobId) {
        self.jobs.remove(&job);
        // It is among the latest, so the search is short.
        if let Some(place) = self.expiry.iter().rposition(|(_, other)| *other == job) {
            self.expiry.remove(place);
        }
    }

    /// Forgets the jobs whose time has passed.
    pub(super) fn expire(&mut self, now: Duration) {
        while let Some((_, job)) = self.expiry.pop_front_if(|(until, _)| now >= *until) {
            self.jobs.remove(&job);
        }
    }

    /// Returns the number of tasks of a job.
    pub(super) fn tasks(&self, job: JobId) -> Option<u32> {
        self.jobs.get(&job).copied()
    }

    /// Returns a record for each job, oldest first.
    pub(super) fn records(&self) -> impl Iterator<Item = TaskRecord> {
        let jobs = self.expiry.iter();
        jobs.filter_map(|(_, job)| Some(TaskRecord::Remembered(*job, self.tasks(*job)?)))
    }
}
