//! The log of the progress of a service's jobs in the store.
//!
//! Load pattern: hundreds of tasks start and end each second, and a transaction
//! is limited to a few keys. Each commit therefore appends one record with the
//! progress of all jobs that changed. The oldest records are removed once newer
//! records supersede them.

use std::collections::{BTreeMap, BTreeSet};

use auburnsaddle_core::{PipelineId, PipelineProgress};
use serde::{Deserialize, Serialize};

/// Number of a commit and of its record. It increases over all owners of a service.
pub(crate) type RecordNumber = u64;

/// Number of records above which jobs in the oldest records are written again, so
/// that the log that a successor has to read stays short.
const MAX_LOG_RECORDS: usize = 128;

/// Largest number of jobs from the oldest records that one commit writes again.
const MAX_REWRITES_PER_COMMIT: usize = 16;

/// The jobs that one commit changed, with their progress. `None` marks a job that has
/// ended.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) struct ProgressRecord {
    pub(crate) entries: Vec<(PipelineId, Option<PipelineProgress>)>,
}

/// Index of the records in the store: which record holds the latest progress of
/// each job.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProgressLog {
    /// The jobs whose latest progress is in each record.
    records: BTreeMap<RecordNumber, BTreeSet<PipelineId>>,
    /// The record with the latest progress of each job.
    latest: BTreeMap<PipelineId, RecordNumber>,
}

impl ProgressLog {
    /// Replays records in the given order. Returns the index and the latest progress of
    /// each job that has not ended.
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

    /// Adds a record that was written to the store.
    pub(crate) fn append(&mut self, number: RecordNumber, record: &ProgressRecord) {
        let mut live = BTreeSet::new();
        for (id, progress) in &record.entries {
            let previous = self.latest.remove(id);
            if let Some(jobs) = previous.and_then(|previous| self.records.get_mut(&previous)) {
                jobs.remove(id);
            }
            if progress.is_some() {
                self.latest.insert(*id, number);
                live.insert(*id);
            }
        }
        self.records.insert(number, live);
    }

    /// Returns the oldest records without the latest progress of any job, at most
    /// `limit`.
    ///
    /// Stops at the first record that is still needed: a later record may hold the
    /// end of a job whose progress is in an earlier one.
    pub(crate) fn superseded_records(&self, limit: usize) -> Vec<RecordNumber> {
        let head = self.records.iter().take_while(|(_, live)| live.is_empty());
        head.map(|(number, _)| *number).take(limit).collect()
    }

    /// Drops records that were removed from the store.
    pub(crate) fn truncate(&mut self, removed: &[RecordNumber]) {
        for number in removed {
            self.records.remove(number);
        }
    }

    /// Returns jobs whose progress must be written again before a log with too many
    /// records can be truncated.
    pub(crate) fn jobs_to_rewrite(&self) -> Vec<PipelineId> {
        if self.records.len() <= MAX_LOG_RECORDS {
            return Vec::new();
        }
        let jobs = self.records.values().flatten();
        jobs.take(MAX_REWRITES_PER_COMMIT).copied().collect()
    }
}
