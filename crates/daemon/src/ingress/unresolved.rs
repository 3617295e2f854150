//! Submissions whose writes have an unknown outcome.
//!
//! Failure mode: the store executes a write and its answer is lost, or it executes the write
//! seconds later. The caller submits the job again while the store refuses writes. That the
//! job was not accepted would be false then, and so would be that no such job exists.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use auburnsaddle_core::PipelineId;

/// How long a submission is remembered. Callers give up much earlier.
const RETENTION: Duration = Duration::from_mins(1);

/// Largest number of submissions that are remembered.
const CAPACITY: usize = 8_192;

/// The jobs that this daemon may have stored without learning it, each with the time of the
/// submission. Clones share the jobs.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnresolvedJobs {
    submitted_at: Arc<Mutex<BTreeMap<PipelineId, Instant>>>,
}

impl UnresolvedJobs {
    /// Remembers a job whose submission has no outcome yet.
    pub(super) fn insert(&self, id: PipelineId, submitted_at: Instant) {
        let mut jobs = self.lock();
        jobs.retain(|_, known_at| submitted_at.saturating_duration_since(*known_at) < RETENTION);
        if jobs.len() < CAPACITY {
            jobs.insert(id, submitted_at);
        }
    }

    /// Forgets a job whose submission has an outcome.
    pub(super) fn remove(&self, id: PipelineId) {
        self.lock().remove(&id);
    }

    /// Returns whether an earlier submission of a job has an unknown outcome.
    pub(super) fn contains(&self, id: PipelineId, now: Instant) -> bool {
        let jobs = self.lock();
        let submitted_at = jobs.get(&id);
        submitted_at.is_some_and(|known_at| now.saturating_duration_since(*known_at) < RETENTION)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<PipelineId, Instant>> {
        let jobs = self.submitted_at.lock();
        jobs.unwrap_or_else(PoisonError::into_inner)
    }
}
