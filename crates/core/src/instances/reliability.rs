//! Whether the runs that a worker instance starts succeed.

use std::time::Duration;

/// Number of jobs in a row whose runs failed, from which a worker is on probation. One job may fail
/// on every worker.
const JOBS_BEFORE_PROBATION: u32 = 2;

/// Time without a run after a failure on probation. With [`PROBE_TIME`] it is less than the 3 s for which
/// a job may be without a run while capacity for it is idle.
const PROBATION_BACKOFF: Duration = Duration::from_secs(1);

/// Time after which a run that has not failed shows that the worker does not fail all that it starts.
/// Runs that last never succeed.
pub(crate) const PROBE_TIME: Duration = Duration::from_secs(1);

/// What the outcomes of the latest runs of a worker instance show.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WorkerStanding {
    /// No run has failed since the latest success.
    Proven,
    /// Runs have failed since the latest success.
    Failing,
    /// The worker gets one run at a time, until that has shown that it is sound.
    OnProbation,
}

/// Outcomes of the latest runs of a worker instance.
///
/// Load pattern: some workers fail each run within moments of its start. They are always the least
/// loaded ones, so whole steps are placed on them, and the next attempts as well.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunReliability {
    /// Number of jobs in a row whose runs failed.
    failed_jobs: u32,
    /// Job of the latest failed run.
    last_job: Option<u64>,
    /// When the run was placed that was placed last of those that failed.
    failed_placed_at: Duration,
    /// When the run was placed that was placed last of those that succeeded; `None` before the first.
    succeeded_placed_at: Option<Duration>,
    probation: Option<WorkerProbation>,
}

/// A time in which a worker gets one run after another.
#[derive(Clone, Copy, Debug)]
struct WorkerProbation {
    since: Duration,
    /// Earliest time of the next run.
    retry_at: Duration,
}

impl RunReliability {
    /// Returns whether a run has succeeded that was placed after this time, so that the worker did not
    /// fail all that it started then.
    pub(crate) fn has_succeeded_since(&self, placed_at: Duration) -> bool {
        self.succeeded_placed_at
            .is_some_and(|success| success > placed_at)
    }

    /// Records that a run of a job failed and that its task is not known to be at fault.
    pub(crate) fn record_failure(&mut self, job: u64, placed_at: Duration, now: Duration) {
        if self.last_job != Some(job) {
            self.failed_jobs += 1;
            self.last_job = Some(job);
        }
        self.failed_placed_at = self.failed_placed_at.max(placed_at);
        match &mut self.probation {
            Some(probation) if placed_at >= probation.retry_at => {
                probation.retry_at = now + PROBATION_BACKOFF;
            }
            None if self.failed_jobs >= JOBS_BEFORE_PROBATION => {
                self.probation = Some(WorkerProbation {
                    since: now,
                    retry_at: now + PROBATION_BACKOFF,
                });
            }
            _ => {}
        }
    }

    /// Records that a run succeeded, or has not failed for [`PROBE_TIME`]. It ends a probation if it was
    /// placed after all runs that failed: a worker that fails what it starts may still finish what it
    /// has started before.
    pub(crate) fn record_success(&mut self, placed_at: Duration) {
        let latest = self.succeeded_placed_at.max(Some(placed_at));
        if placed_at > self.failed_placed_at {
            *self = Self::default();
        }
        self.succeeded_placed_at = latest;
    }

    /// Returns what the outcomes show.
    pub(crate) const fn standing(&self) -> WorkerStanding {
        match (self.probation, self.failed_jobs) {
            (Some(_), _) => WorkerStanding::OnProbation,
            (None, 0) => WorkerStanding::Proven,
            (None, _) => WorkerStanding::Failing,
        }
    }

    /// Returns whether the worker is on probation.
    pub(crate) const fn is_on_probation(&self) -> bool {
        self.probation.is_some()
    }

    /// Returns whether the worker may get a run in its turn. `placed_at` has the times at which its
    /// present runs were placed.
    ///
    /// On probation, it gets none for some time after a failure, and none while another one may still
    /// fail at its start.
    pub(crate) fn can_retry(
        &self,
        mut placed_at: impl Iterator<Item = Duration>,
        now: Duration,
    ) -> bool {
        self.probation.is_none_or(|probation| {
            let is_probe = |placed_at| placed_at >= probation.since && now < placed_at + PROBE_TIME;
            now >= probation.retry_at && !placed_at.any(is_probe)
        })
    }
}
