//! Ended jobs whose summaries are in the store, and the removal of these summaries.
//!
//! Failure mode: an owner removes the summaries of the jobs that ended under it, with its
//! commits. Those of its predecessors would stay in the store, and in the memory of each
//! daemon, for good. Every daemon therefore keeps when it first read the summary of an ended
//! job, and the owner of the service removes those that it does not remove with its commits.
//!
//! A removal expects the summary in the revision that was read, so it has no effect on a job
//! that was submitted again under the same identifier.

use std::{collections::BTreeMap, time::Duration};

use auburnsaddle_core::{PipelineId, ServiceId};
use auburnsaddle_platform::{StoreTransaction, TransactionOutcome};

use super::JobSummary;

/// Shortest time for which the mark of a cancelled job is kept. The store carries writes out
/// some seconds late, and callers repeat a submission for less than this.
const MIN_MARK_RETENTION: Duration = Duration::from_mins(1);

/// Delay of a removal after the retention has passed. The owner's commits remove summaries
/// without a write of their own, and the watch of the summaries reports that by then.
pub(crate) const REMOVAL_SLACK: Duration = Duration::from_secs(3);

/// Time between two removals, which limits a successor to 4 of the writes that all daemons
/// may make each second.
const REMOVAL_INTERVAL: Duration = Duration::from_millis(250);

/// Largest number of summaries in one removal. Each takes a condition and a removal, and a
/// transaction is limited to 32 entries.
const MAX_REMOVED_SUMMARIES: usize = 16;

/// The summary of an ended job.
#[derive(Clone, Debug)]
struct EndedJob {
    service: ServiceId,
    /// Revision of the summary in the store.
    revision: u64,
    /// When this daemon first read that revision.
    seen_at: Duration,
    /// Whether it is the mark of a job that was cancelled while the store had none.
    is_mark: bool,
}

/// The ended jobs whose summaries this daemon has read from the store.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndedJobs {
    jobs: BTreeMap<PipelineId, EndedJob>,
    /// The jobs in the removal without an outcome, with the revisions that it expects.
    open: Option<BTreeMap<PipelineId, u64>>,
    next_removal_at: Duration,
}

impl EndedJobs {
    /// Records a summary as the store has it.
    pub(crate) fn update(
        &mut self,
        id: PipelineId,
        summary: &JobSummary,
        revision: u64,
        now: Duration,
    ) {
        match self.jobs.get(&id) {
            Some(known) if known.revision >= revision => {}
            _ if summary.phase.is_final() => {
                let job = EndedJob {
                    service: summary.service.clone(),
                    revision,
                    seen_at: now,
                    is_mark: summary.is_mark(),
                };
                self.jobs.insert(id, job);
            }
            _ => self.remove(id),
        }
    }

    /// Forgets a job whose summary is not in the store any more.
    pub(crate) fn remove(&mut self, id: PipelineId) {
        self.jobs.remove(&id);
    }

    /// Starts the next removal of summaries, or returns `None` if none is due.
    ///
    /// `is_removable` tells whether this daemon owns the service and nothing else of the job
    /// is left; `summary_key` returns the key of a summary.
    pub(crate) fn next_removal(
        &mut self,
        retention: Duration,
        now: Duration,
        is_removable: impl Fn(PipelineId, &ServiceId) -> bool,
        summary_key: impl Fn(PipelineId) -> String,
    ) -> Option<StoreTransaction> {
        if self.open.is_some() || now < self.next_removal_at {
            return None;
        }
        let due = self.jobs.iter().filter(|(id, job)| {
            now >= job.removal_time(retention) && is_removable(**id, &job.service)
        });
        let due = due.map(|(id, job)| (*id, job.revision));
        let open: BTreeMap<PipelineId, u64> = due.take(MAX_REMOVED_SUMMARIES).collect();
        if open.is_empty() {
            return None;
        }
        self.next_removal_at = now + REMOVAL_INTERVAL;
        let rows = open.iter();
        let expected: Vec<(String, u64)> = rows
            .map(|(id, revision)| (summary_key(*id), *revision))
            .collect();
        let removals = expected.iter().map(|(key, _)| key.clone()).collect();
        self.open = Some(open);
        Some(StoreTransaction {
            expected,
            puts: Vec::new(),
            removals,
        })
    }

    /// Handles the outcome of the open removal. Without one, the removal is repeated later.
    pub(crate) fn finish_removal(
        &mut self,
        outcome: &TransactionOutcome,
        summary_key: impl Fn(PipelineId) -> String,
    ) {
        let open = self.open.take().unwrap_or_default();
        let is_obsolete = |id: PipelineId, revision: u64| match outcome {
            TransactionOutcome::Done(_) => true,
            // The summary is gone or was written again, which the watch reports.
            TransactionOutcome::Conflict(items) => {
                let key = summary_key(id);
                let mut items = items.iter();
                !items.any(|item| item.key == key && item.revision == revision)
            }
            _ => false,
        };
        for (id, revision) in open {
            let is_known = self.jobs.get(&id).map(|job| job.revision) == Some(revision);
            if is_known && is_obsolete(id, revision) {
                self.jobs.remove(&id);
            }
        }
    }
}

impl EndedJob {
    fn removal_time(&self, retention: Duration) -> Duration {
        let retention = if self.is_mark {
            retention.max(MIN_MARK_RETENTION)
        } else {
            retention
        };
        self.seen_at + retention + REMOVAL_SLACK
    }
}
