//! The log of the progress of a service's jobs in the store.
//!
//! Load pattern: hundreds of tasks start and end each second, and a transaction
//! is limited to a few keys. Each commit therefore appends one record with the
//! progress of all jobs that changed. The oldest records are removed once newer
//! records supersede them.

use std::collections::{BTreeMap, BTreeSet};

use auburnsaddle_core::{Attempt, PipelineId, PipelineProgress};
use auburnsaddle_core::{RunHolder, TaskKey, TaskPlace, TaskProgress};

use super::records::{decode_front, decode_value, encode_value};

/// Number of a commit and of its record. It increases over all owners of a service.
pub(crate) type RecordNumber = u64;

/// Number of records above which jobs in the oldest records are written again, so
/// that the log that a successor has to read stays short.
const MAX_LOG_RECORDS: usize = 128;

/// Number of superseded tasks in the records above which jobs in the oldest records are
/// written again, if they are more than those whose progress is the latest. A takeover
/// reads both, at about 60 bytes a task.
const MAX_SUPERSEDED_TASKS: usize = 4_096;

/// Largest number of jobs from the oldest records that one commit writes again.
const MAX_REWRITES_PER_COMMIT: usize = 16;

/// Largest encoded size of the progress of a job without occurrences, with its identifier.
pub(super) const MAX_PROGRESS_HEADER_BYTES: usize = 32;

/// Largest encoded size of the number of an occurrence with the count of its steps, and of a step
/// without tasks.
const MAX_STEP_BYTES: usize = 24;

/// Largest encoded size of a task apart from its worker and its checkpoint.
const MAX_TASK_BYTES: usize = 36;

/// Largest encoded size of the suspicion of a task.
const MAX_SUSPICION_BYTES: usize = 32;

/// Largest encoded size of the instance that holds a run.
const MAX_HOLDER_BYTES: usize = 38;

/// Largest encoded size of a number of 32 bits.
const MAX_NUMBER_BYTES: usize = 5;

/// The latest run of a task, with its attempt and the worker instance that holds it.
type HolderEntry = (TaskKey, Attempt, RunHolder);

/// The jobs that one commit changed, with their progress. Of a job that has ended, only the
/// phase is kept. `None` marks a job whose keys are removed; earlier versions wrote it.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct ProgressRecord {
    pub(crate) entries: Vec<(PipelineId, Option<PipelineProgress>)>,
}

/// Returns an upper bound of the encoded size of the progress of a job.
pub(super) fn progress_bytes(progress: &PipelineProgress) -> usize {
    let task_bytes = |task: &TaskProgress| {
        let worker_bytes = match &task.place {
            TaskPlace::Placed(worker) => worker.len(),
            TaskPlace::Waiting | TaskPlace::Done => 0,
        };
        let suspicion_bytes = usize::from(task.suspicion > 0) * MAX_SUSPICION_BYTES;
        let holder_bytes = usize::from(task.holder.is_some()) * MAX_HOLDER_BYTES;
        let appended_bytes = suspicion_bytes + holder_bytes;
        MAX_TASK_BYTES + worker_bytes + task.checkpoint.len() + appended_bytes
    };
    let steps = progress.steps();
    let steps = steps.map(|step| MAX_STEP_BYTES + step.tasks.iter().map(task_bytes).sum::<usize>());
    let occurrences = progress.occurrences.len() * MAX_STEP_BYTES;
    let done = progress.done.len() * MAX_NUMBER_BYTES;
    MAX_PROGRESS_HEADER_BYTES + occurrences + done + steps.sum::<usize>()
}

impl ProgressRecord {
    /// Encodes the record. The suspicions of tasks and the holders of their runs follow the
    /// entries, so that earlier versions, which do not know them, can read what comes before.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let jobs = self.entries.iter();
        let jobs = jobs.filter_map(|(id, progress)| Some((*id, progress.as_ref()?)));
        let suspicions = jobs.clone();
        let suspicions = suspicions.flat_map(|(id, progress)| progress.suspicions(id));
        let suspicions: Vec<(TaskKey, u32)> = suspicions.collect();
        let holders = jobs.flat_map(|(id, progress)| progress.holders(id));
        let holders: Vec<HolderEntry> = holders.collect();
        encode_value(&(&self.entries, suspicions, holders))
    }

    /// Decodes the value of a key. Logs a value that cannot be decoded and returns `None`.
    pub(crate) fn decode(key: &str, value: &[u8]) -> Option<Self> {
        type Entries = Vec<(PipelineId, Option<PipelineProgress>)>;
        let (mut entries, rest): (Entries, &[u8]) = decode_front(key, value)?;
        // Earlier versions wrote the entries only, or these and the suspicions.
        let (suspicions, rest): (Vec<(TaskKey, u32)>, &[u8]) = match rest {
            [] => (Vec::new(), rest),
            rest => decode_front(key, rest)?,
        };
        let holders: Vec<HolderEntry> = match rest {
            [] => Vec::new(),
            rest => decode_value(key, rest)?,
        };
        for (task, suspicion) in suspicions {
            let id = task.step.pipeline;
            match entries.iter_mut().find(|(other, _)| *other == id) {
                Some((_, Some(progress))) => progress.set_suspicion(task, suspicion),
                _ => log::warn!(key, task = task.to_string().as_str(); "a suspicion has no job"),
            }
        }
        for (task, attempt, holder) in holders {
            let id = task.step.pipeline;
            match entries.iter_mut().find(|(other, _)| *other == id) {
                Some((_, Some(progress))) => progress.set_holder(task, attempt, holder),
                _ => log::warn!(key, task = task.to_string().as_str(); "a holder has no job"),
            }
        }
        Some(Self { entries })
    }
}

/// Index of the records in the store: which record holds the latest progress of
/// each job.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProgressLog {
    records: BTreeMap<RecordNumber, RecordIndex>,
    /// The record with the latest progress of each job.
    latest: BTreeMap<PipelineId, LatestProgress>,
    /// Number of tasks in all records.
    stored_tasks: usize,
    /// Number of these tasks whose progress is the latest.
    live_tasks: usize,
}

/// What a record in the store holds.
#[derive(Clone, Debug, Default)]
struct RecordIndex {
    /// The jobs whose latest progress is in the record.
    live: BTreeSet<PipelineId>,
    tasks: usize,
}

/// Where the latest progress of a job is, and its number of tasks.
#[derive(Clone, Copy, Debug)]
struct LatestProgress {
    number: RecordNumber,
    tasks: usize,
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
        let mut index = RecordIndex::default();
        for (id, progress) in &record.entries {
            self.remove_job(*id);
            if let Some(progress) = progress {
                let tasks = progress.steps().map(|step| step.tasks.len()).sum();
                self.latest.insert(*id, LatestProgress { number, tasks });
                self.live_tasks += tasks;
                index.live.insert(*id);
                index.tasks += tasks;
            }
        }
        self.stored_tasks += index.tasks;
        self.records.insert(number, index);
    }

    /// Drops a job whose progress is superseded, or whose key was removed from the store.
    pub(crate) fn remove_job(&mut self, id: PipelineId) {
        let Some(latest) = self.latest.remove(&id) else {
            return;
        };
        self.live_tasks -= latest.tasks;
        if let Some(record) = self.records.get_mut(&latest.number) {
            record.live.remove(&id);
        }
    }

    /// Drops the jobs for which `is_known` returns false, as their keys are removed.
    pub(crate) fn retain_jobs(&mut self, is_known: impl Fn(PipelineId) -> bool) {
        let jobs = self.latest.keys().copied();
        let removed: Vec<PipelineId> = jobs.filter(|id| !is_known(*id)).collect();
        for id in removed {
            self.remove_job(id);
        }
    }

    /// Returns the oldest records without the latest progress of any job, at most
    /// `limit`.
    ///
    /// Stops at the first record that is still needed: a later record may hold the
    /// end of a job whose progress is in an earlier one.
    pub(crate) fn superseded_records(&self, limit: usize) -> Vec<RecordNumber> {
        let records = self.records.iter();
        let head = records.take_while(|(_, record)| record.live.is_empty());
        head.map(|(number, _)| *number).take(limit).collect()
    }

    /// Drops records that were removed from the store.
    pub(crate) fn truncate(&mut self, removed: &[RecordNumber]) {
        for number in removed {
            let record = self.records.remove(number);
            self.stored_tasks -= record.map_or(0, |record| record.tasks);
        }
    }

    /// Returns jobs whose progress must be written again before a log that is too long can
    /// be truncated.
    pub(crate) fn jobs_to_rewrite(&self) -> Vec<PipelineId> {
        let superseded_tasks = self.stored_tasks - self.live_tasks;
        let is_too_long = self.records.len() > MAX_LOG_RECORDS
            || superseded_tasks > self.live_tasks.max(MAX_SUPERSEDED_TASKS);
        if !is_too_long {
            return Vec::new();
        }
        let jobs = self.records.values().flat_map(|record| &record.live);
        jobs.take(MAX_REWRITES_PER_COMMIT).copied().collect()
    }
}
