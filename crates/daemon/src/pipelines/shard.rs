//! The pipelines of one owned service and their commits, which are sent one at a time.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use auburnsaddle_core::{
    CommitEntry, Epoch, PipelineAction, PipelineConfig, PipelineEvent, PipelineId, PipelineLoad,
    PipelinePhase, PipelineProgress, PipelineSpec, PipelineState, ProgressCommit, ServiceId,
};
use auburnsaddle_platform::{StoreItem, StoreTransaction, TransactionOutcome};

use super::{
    acquire::LoadedShard,
    log::{ProgressLog, ProgressRecord, RecordNumber},
    records::{CellKey, SequenceEntry, decode_value, encode_value},
};
use crate::job_table::JobSummary;

/// Largest number of conditions, puts and removals in one transaction. The platform
/// accepts 32.
const MAX_TRANSACTION_ENTRIES: usize = 32;

/// Entries that each commit needs: the sequence, its condition, and the record.
const FIXED_COMMIT_ENTRIES: usize = 3;

/// Entries reserved in each commit for the removal of superseded records, so that the
/// log is truncated as fast as it grows.
const RESERVED_TRUNCATION_ENTRIES: usize = 3;

/// Largest number of tasks in one record, unless a single job has more. The progress
/// of a task takes about 60 bytes, and a value of the store at most 1 MB.
const MAX_RECORD_TASKS: usize = 4_096;

/// Status of a commit after a response of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CommitStatus {
    /// The commit is durable, or none was pending.
    Durable,
    /// The commit was refused or its outcome is unknown; the same transaction must be
    /// sent again.
    Retry,
    /// The ownership has ended: another daemon took over, or the lease expired.
    Replaced,
}

/// The result of handling an outcome of a commit. Only a durable commit has actions and
/// summaries.
#[derive(Debug)]
pub(crate) struct FinishedCommit {
    pub(crate) status: CommitStatus,
    /// Actions that had to wait until the commit was durable.
    pub(crate) actions: Vec<PipelineAction>,
    /// Summaries of the jobs in the commit.
    pub(crate) summaries: Vec<(PipelineId, JobSummary)>,
    /// Time since the commit was first sent.
    pub(crate) elapsed: Duration,
}

impl FinishedCommit {
    /// Returns a result without actions and summaries.
    const fn without_effects(status: CommitStatus) -> Self {
        Self {
            status,
            actions: Vec::new(),
            summaries: Vec::new(),
            elapsed: Duration::ZERO,
        }
    }
}

/// A commit that was sent and is not known to be durable.
#[derive(Clone, Debug)]
struct PendingCommit {
    commit: ProgressCommit,
    /// The value that the commit writes to the sequence key.
    sequence: SequenceEntry,
    record: ProgressRecord,
    /// Records that the commit removes.
    truncated: Vec<RecordNumber>,
    transaction: StoreTransaction,
    sent_at: Duration,
}

/// The state of a service that this daemon owns.
#[derive(Debug)]
pub(crate) struct OwnedShard {
    pub(crate) service: ServiceId,
    pub(crate) state: PipelineState,
    /// The sequence as the last durable commit or the takeover wrote it.
    sequence: SequenceEntry,
    /// Revision of the sequence key, which the next commit expects.
    sequence_revision: u64,
    log: ProgressLog,
    /// At most one commit is pending at a time.
    pending: Option<PendingCommit>,
    /// Phases in the stored summaries. A summary is written only if its phase changed.
    stored_phases: BTreeMap<PipelineId, PipelinePhase>,
    /// Keys that later commits remove as far as they have room.
    obsolete_keys: Vec<String>,
    /// Ended jobs whose summaries are still in the store. Late events may add them
    /// again, which must have no effect.
    finished_jobs: BTreeSet<PipelineId>,
    /// The same jobs in the order in which they ended, each with the time at which its
    /// summary is removed.
    summary_expiries: VecDeque<(Duration, PipelineId)>,
    /// Time for which a summary is kept after the end of its job.
    summary_retention: Duration,
}

impl OwnedShard {
    /// Builds the state of a service from what a takeover read from the store.
    ///
    /// `summary_retention` is the time for which the summary of an ended job is kept.
    pub(crate) fn new(
        loaded: LoadedShard,
        config: PipelineConfig,
        summary_retention: Duration,
        now: Duration,
    ) -> Self {
        let mut shard = Self {
            service: loaded.service,
            state: PipelineState::new(config, loaded.epoch, now),
            sequence: SequenceEntry {
                epoch: loaded.epoch,
                commit: loaded.last_commit,
            },
            sequence_revision: loaded.revision,
            log: loaded.log,
            pending: None,
            stored_phases: BTreeMap::new(),
            obsolete_keys: Vec::new(),
            finished_jobs: BTreeSet::new(),
            summary_expiries: VecDeque::new(),
            summary_retention,
        };
        for job in loaded.jobs {
            shard.add_job(job.id, job.spec, job.progress, now);
        }
        shard
    }

    /// Adds a job that was read from the store. It causes no orders before workers are
    /// listed.
    fn add_job(
        &mut self,
        id: PipelineId,
        spec: Arc<PipelineSpec>,
        progress: Option<PipelineProgress>,
        now: Duration,
    ) {
        if let Some(progress) = &progress {
            self.stored_phases.insert(id, progress.phase);
        }
        let event = PipelineEvent::Stored(id, spec, progress);
        let actions = self.state.handle(event, now);
        debug_assert!(
            actions.is_empty(),
            "adding a job caused actions before any worker was listed"
        );
    }

    /// Handles an event; returns the actions to carry out.
    pub(crate) fn handle(&mut self, event: PipelineEvent, now: Duration) -> Vec<PipelineAction> {
        match &event {
            PipelineEvent::Stored(id, ..) if self.finished_jobs.contains(id) => return Vec::new(),
            // The job has ended or does not exist, so only the key has to be removed.
            PipelineEvent::Cancelled(id) if !self.state.contains(*id) => {
                let key = CellKey::Cancellation(self.service.clone(), *id);
                self.obsolete_keys.push(key.path());
            }
            _ => {}
        }
        self.state.handle(event, now)
    }

    /// Starts the next commit and returns its transaction. Returns `None` if a commit is
    /// pending or nothing has changed.
    pub(crate) fn next_commit(&mut self, now: Duration) -> Option<StoreTransaction> {
        if self.pending.is_some() {
            return None;
        }
        for id in self.log.jobs_to_rewrite() {
            self.state.request_rewrite(id);
        }
        let mut budget = CommitBudget::new(&self.stored_phases);
        let commit = self.state.take_commit(|entry| budget.try_reserve(entry))?;
        let sequence = SequenceEntry {
            epoch: self.sequence.epoch,
            commit: self.sequence.commit + 1,
        };
        let sequence_key = CellKey::Sequence(self.service.clone()).path();
        let record_key = CellKey::Record(self.service.clone(), sequence.commit).path();
        let record = ProgressRecord {
            entries: commit
                .entries
                .iter()
                .map(|entry| (entry.pipeline, entry.progress.clone()))
                .collect(),
        };
        let mut transaction = StoreTransaction {
            expected: vec![(sequence_key.clone(), self.sequence_revision)],
            puts: vec![
                (sequence_key, encode_value(&sequence), 0),
                (record_key, encode_value(&record), 0),
            ],
            removals: Vec::new(),
        };
        for entry in &commit.entries {
            let id = entry.pipeline;
            if self.stored_phases.get(&id) != Some(&entry.phase) {
                let summary = JobSummary::new(&entry.spec, entry.phase);
                let key = CellKey::Summary(id).path();
                transaction.puts.push((key, encode_value(&summary), 0));
                self.stored_phases.insert(id, entry.phase);
            }
            if entry.progress.is_none() {
                let key = CellKey::Job(self.service.clone(), id);
                transaction.removals.push(key.path());
                if entry.phase == PipelinePhase::Cancelled {
                    let key = CellKey::Cancellation(self.service.clone(), id);
                    transaction.removals.push(key.path());
                }
            }
        }
        let truncated = self.log.superseded_records(free_entries(&transaction));
        let numbers = truncated.iter();
        let record_keys =
            numbers.map(|number| CellKey::Record(self.service.clone(), *number).path());
        transaction.removals.extend(record_keys);
        self.add_key_removals(&mut transaction, now);
        self.pending = Some(PendingCommit {
            commit,
            sequence,
            record,
            truncated,
            transaction: transaction.clone(),
            sent_at: now,
        });
        Some(transaction)
    }

    /// Adds removals of obsolete keys and expired summaries to the transaction, as far as
    /// it has free entries.
    fn add_key_removals(&mut self, transaction: &mut StoreTransaction, now: Duration) {
        while self
            .summary_expiries
            .front()
            .is_some_and(|(expiry, _)| *expiry <= now)
            && self.obsolete_keys.len() < free_entries(transaction)
            && let Some((_, id)) = self.summary_expiries.pop_front()
        {
            self.finished_jobs.remove(&id);
            self.obsolete_keys.push(CellKey::Summary(id).path());
        }
        let count = self.obsolete_keys.len().min(free_entries(transaction));
        let kept = self.obsolete_keys.len() - count;
        transaction
            .removals
            .extend(self.obsolete_keys.drain(kept..));
    }

    /// Returns the transaction of the pending commit.
    pub(crate) fn pending_transaction(&self) -> Option<StoreTransaction> {
        self.pending
            .as_ref()
            .map(|pending| pending.transaction.clone())
    }

    /// Handles the outcome of the pending commit.
    pub(crate) fn finish_commit(
        &mut self,
        outcome: &TransactionOutcome,
        now: Duration,
    ) -> FinishedCommit {
        let Some(pending) = &self.pending else {
            return FinishedCommit::without_effects(CommitStatus::Durable);
        };
        let revision = match outcome {
            TransactionOutcome::Done(revision) => Some(*revision),
            TransactionOutcome::Conflict(items) => self.committed_revision(pending.sequence, items),
            TransactionOutcome::Refused | TransactionOutcome::Unknown => {
                return FinishedCommit::without_effects(CommitStatus::Retry);
            }
            TransactionOutcome::NoLease => None,
        };
        let Some(revision) = revision else {
            return FinishedCommit::without_effects(CommitStatus::Replaced);
        };
        self.sequence_revision = revision;
        self.sequence = pending.sequence;
        self.log.append(pending.sequence.commit, &pending.record);
        self.log.truncate(&pending.truncated);
        let elapsed = now.saturating_sub(pending.sent_at);
        let mut finished = FinishedCommit {
            elapsed,
            ..FinishedCommit::without_effects(CommitStatus::Durable)
        };
        if let Some(pending) = self.pending.take() {
            let entries = pending.commit.entries.iter();
            let summaries = entries.map(|entry| {
                let summary = JobSummary::new(&entry.spec, entry.phase);
                (entry.pipeline, summary)
            });
            finished.summaries = summaries.collect();
            for entry in pending
                .commit
                .entries
                .iter()
                .filter(|entry| entry.progress.is_none())
            {
                self.stored_phases.remove(&entry.pipeline);
                let expiry = (now + self.summary_retention, entry.pipeline);
                self.summary_expiries.push_back(expiry);
                self.finished_jobs.insert(entry.pipeline);
            }
            finished.actions = self.state.complete_commit(pending.commit, now);
        }
        finished
    }

    /// Returns the revision of the pending commit if an earlier attempt has made it.
    fn committed_revision(&self, sequence: SequenceEntry, items: &[StoreItem]) -> Option<u64> {
        let key = CellKey::Sequence(self.service.clone()).path();
        let item = items.iter().find(|item| item.key == key)?;
        let stored: SequenceEntry = decode_value(&item.key, &item.value)?;
        (stored == sequence).then_some(item.revision)
    }

    /// Returns the epoch of this ownership. No other ownership of the service has it.
    pub(crate) const fn epoch(&self) -> Epoch {
        self.sequence.epoch
    }

    /// Returns whether all changes are durable.
    pub(crate) fn is_durable(&self) -> bool {
        self.pending.is_none() && self.state.is_committed()
    }

    pub(crate) fn load(&self) -> PipelineLoad {
        self.state.load()
    }
}

/// The entries and tasks that a commit can still take.
struct CommitBudget<'a> {
    stored_phases: &'a BTreeMap<PipelineId, PipelinePhase>,
    /// Free entries of the transaction.
    entries: usize,
    /// Tasks for which the record still has space.
    tasks: usize,
}

impl<'a> CommitBudget<'a> {
    const fn new(stored_phases: &'a BTreeMap<PipelineId, PipelinePhase>) -> Self {
        Self {
            stored_phases,
            entries: MAX_TRANSACTION_ENTRIES - FIXED_COMMIT_ENTRIES - RESERVED_TRUNCATION_ENTRIES,
            tasks: MAX_RECORD_TASKS,
        }
    }

    /// Reserves space for a job; returns whether there was enough.
    fn try_reserve(&mut self, entry: &CommitEntry) -> bool {
        let has_summary = self.stored_phases.get(&entry.pipeline) != Some(&entry.phase);
        let removals = match entry.progress {
            Some(_) => 0,
            None if entry.phase == PipelinePhase::Cancelled => 2,
            None => 1,
        };
        let steps = entry.progress.iter().flat_map(PipelineProgress::steps);
        let tasks: usize = steps.map(|step| step.tasks.len()).sum();
        let entries = usize::from(has_summary) + removals;
        // A job with more tasks than a record takes gets a record of its own.
        let is_first_job = self.tasks == MAX_RECORD_TASKS;
        if entries > self.entries || (tasks > self.tasks && !is_first_job) {
            return false;
        }
        self.entries -= entries;
        self.tasks = self.tasks.saturating_sub(tasks.max(1));
        true
    }
}

/// Returns the number of entries that the transaction can still take.
const fn free_entries(transaction: &StoreTransaction) -> usize {
    let used = transaction.expected.len() + transaction.puts.len() + transaction.removals.len();
    MAX_TRANSACTION_ENTRIES.saturating_sub(used)
}
