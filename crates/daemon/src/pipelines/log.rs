//! The progress of a service's jobs as a log in the store.
//!
//! Load pattern: hundreds of tasks start and end each second, and a transaction
//! holds few keys. Each commit therefore appends one record with the progress of
//! all jobs that changed, and the log is truncated at its head once the progress
//! there is superseded.

use std::collections::{BTreeMap, BTreeSet};

use auburnsaddle_core::{PipelineId, PipelineProgress};
use serde::{Deserialize, Serialize};

/// Number of a commit, which rises over all owners of a service.
pub(crate) type RecordNumber = u64;

/// Records after which jobs at the head are written again, so that a successor
/// reads a log of bounded length.
const LONGEST_LOG: usize = 128;

/// Jobs of the head that one commit writes again.
const REWRITTEN_JOBS: usize = 16;

/// The changes of one commit. No progress stands for a job that is over.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) struct ProgressRecord {
    pub(crate) entries: Vec<(PipelineId, Option<PipelineProgress>)>,
}

/// Which records are in the store, and which of them hold the latest progress of
/// a job.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProgressLog {
    records: BTreeMap<RecordNumber, BTreeSet<PipelineId>>,
    latest: BTreeMap<PipelineId, RecordNumber>,
}

impl ProgressLog {
    /// Reads the records in order; returns the latest progress of each job.
    pub(crate) fn replay(
        records: impl IntoIterator<Item = (RecordNumber, ProgressRecord)>,
    ) -> (Self, BTreeMap<PipelineId, PipelineProgress>) {
        let mut log = Self::default();
        let mut jobs = BTreeMap::new();
        for (number, record) in records {
            log.append(number, &record);
            for (id, progress) in record.entries {
                match progress {
                    Some(progress) => jobs.insert(id, progress),
                    None => jobs.remove(&id),
                };
            }
        }
        (log, jobs)
    }

    /// Notes a record that is in the store.
    pub(crate) fn append(&mut self, number: RecordNumber, record: &ProgressRecord) {
        let mut live = BTreeSet::new();
        for (id, progress) in &record.entries {
            let before = self.latest.remove(id);
            if let Some(jobs) = before.and_then(|before| self.records.get_mut(&before)) {
                jobs.remove(id);
            }
            if progress.is_some() {
                self.latest.insert(*id, number);
                live.insert(*id);
            }
        }
        self.records.insert(number, live);
    }

    /// Returns records at the head that hold nothing any more, at most `limit`.
    ///
    /// Only the head is removed, as a record may say that a job of an earlier one
    /// is over.
    pub(crate) fn superseded(&self, limit: usize) -> Vec<RecordNumber> {
        let head = self.records.iter().take_while(|(_, live)| live.is_empty());
        head.map(|(number, _)| *number).take(limit).collect()
    }

    /// Notes that records are no longer in the store.
    pub(crate) fn truncate(&mut self, removed: &[RecordNumber]) {
        for number in removed {
            self.records.remove(number);
        }
    }

    /// Returns jobs whose progress is to be written again, so that a log that has
    /// become long can be truncated.
    pub(crate) fn jobs_to_rewrite(&self) -> Vec<PipelineId> {
        if self.records.len() <= LONGEST_LOG {
            return Vec::new();
        }
        let jobs = self.records.values().flatten();
        jobs.take(REWRITTEN_JOBS).copied().collect()
    }
}
