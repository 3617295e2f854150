//! The pipelines of one owned service and the chain of their commits.

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
    records::{CellKey, SequenceEntry, decode_record, encode_record},
};
use crate::board::JobSummary;

/// Entries of one transaction, of which the platform takes 32: conditions, puts
/// and removals.
const TRANSACTION_ENTRIES: usize = 32;

/// Entries of each commit: the sequence, the condition for it, and the record.
const FIXED_ENTRIES: usize = 3;

/// Entries that are kept for the removal of superseded records, so that the log is
/// truncated as fast as it grows.
const TRUNCATION_ENTRIES: usize = 3;

/// Tasks in one record. The progress of a task takes about 60 bytes, and a value
/// of the store at most 1 MB.
const RECORD_TASKS: usize = 4_096;

/// What the end of a commit means for the owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CommitVerdict {
    /// It is durable.
    Durable,
    /// The outcome is not known; the same commit is sent again.
    Repeat,
    /// Another daemon owns the service.
    Replaced,
}

/// What the end of a commit brings.
#[derive(Debug)]
pub(crate) struct FinishedCommit {
    pub(crate) verdict: CommitVerdict,
    /// What waited for the commit.
    pub(crate) actions: Vec<PipelineAction>,
    /// Summaries that are durable now.
    pub(crate) summaries: Vec<(PipelineId, JobSummary)>,
    /// How long the commit took.
    pub(crate) elapsed: Duration,
}

impl FinishedCommit {
    const fn of(verdict: CommitVerdict) -> Self {
        Self {
            verdict,
            actions: Vec::new(),
            summaries: Vec::new(),
            elapsed: Duration::ZERO,
        }
    }
}

/// A commit that was sent.
#[derive(Clone, Debug)]
struct OpenCommit {
    commit: ProgressCommit,
    entry: SequenceEntry,
    record: ProgressRecord,
    truncated: Vec<RecordNumber>,
    transaction: StoreTransaction,
    sent_at: Duration,
}

/// A service that this daemon owns.
#[derive(Debug)]
pub(crate) struct OwnedShard {
    pub(crate) service: ServiceId,
    pub(crate) state: PipelineState,
    sequence: SequenceEntry,
    revision: u64,
    log: ProgressLog,
    open: Option<OpenCommit>,
    /// Summaries in the store, so that one is written only when its phase changes.
    phases: BTreeMap<PipelineId, PipelinePhase>,
    stray_keys: Vec<String>,
    /// Jobs that are over and whose summaries are still in the store. News of them
    /// may arrive late.
    over: BTreeSet<PipelineId>,
    /// The same jobs, and when their summaries are removed.
    expiring: VecDeque<(Duration, PipelineId)>,
    /// How long a summary is kept after the end of its job.
    status_retention: Duration,
}

impl OwnedShard {
    /// Takes over what was loaded from the store.
    pub(crate) fn new(
        loaded: LoadedShard,
        config: PipelineConfig,
        status_retention: Duration,
        now: Duration,
    ) -> Self {
        let mut shard = Self {
            service: loaded.service,
            state: PipelineState::new(config, loaded.epoch, now),
            sequence: SequenceEntry {
                epoch: loaded.epoch,
                commit: loaded.commit,
            },
            revision: loaded.revision,
            log: loaded.log,
            open: None,
            phases: BTreeMap::new(),
            stray_keys: Vec::new(),
            over: BTreeSet::new(),
            expiring: VecDeque::new(),
            status_retention,
        };
        for job in loaded.jobs {
            shard.store_job(job.id, job.spec, job.progress, now);
        }
        shard
    }

    /// Adds a job of the store. Orders follow once its workers are listed.
    fn store_job(
        &mut self,
        id: PipelineId,
        spec: Arc<PipelineSpec>,
        progress: Option<PipelineProgress>,
        now: Duration,
    ) {
        if let Some(progress) = &progress {
            self.phases.insert(id, progress.phase);
        }
        let event = PipelineEvent::Stored(id, spec, progress);
        let actions = self.state.handle(event, now);
        debug_assert!(actions.is_empty(), "no worker is listed yet");
    }

    /// Takes an event.
    pub(crate) fn handle(&mut self, event: PipelineEvent, now: Duration) -> Vec<PipelineAction> {
        match &event {
            PipelineEvent::Stored(id, ..) if self.over.contains(id) => return Vec::new(),
            // The job is over, and so the cancellation has no effect.
            PipelineEvent::Cancelled(id) if !self.state.contains(*id) => {
                let key = CellKey::Cancellation(self.service.clone(), *id);
                self.stray_keys.push(key.path());
            }
            _ => {}
        }
        self.state.handle(event, now)
    }

    /// Returns the transaction of the next commit, if there is one to send.
    pub(crate) fn next_commit(&mut self, now: Duration) -> Option<StoreTransaction> {
        if self.open.is_some() {
            return None;
        }
        for id in self.log.jobs_to_rewrite() {
            self.state.request_rewrite(id);
        }
        let mut budget = CommitBudget::new(&self.phases);
        let commit = self.state.take_commit(|entry| budget.admit(entry))?;
        let entry = SequenceEntry {
            epoch: self.sequence.epoch,
            commit: self.sequence.commit + 1,
        };
        let sequence_key = CellKey::Sequence(self.service.clone()).path();
        let record_key = CellKey::Record(self.service.clone(), entry.commit).path();
        let record = ProgressRecord {
            entries: commit
                .entries
                .iter()
                .map(|row| (row.pipeline, row.progress.clone()))
                .collect(),
        };
        let mut transaction = StoreTransaction {
            expected: vec![(sequence_key.clone(), self.revision)],
            puts: vec![
                (sequence_key, encode_record(&entry), 0),
                (record_key, encode_record(&record), 0),
            ],
            removals: Vec::new(),
        };
        for row in &commit.entries {
            let id = row.pipeline;
            if self.phases.get(&id) != Some(&row.phase) {
                let summary = JobSummary::new(&row.spec, row.phase);
                let key = CellKey::Summary(id).path();
                transaction.puts.push((key, encode_record(&summary), 0));
                self.phases.insert(id, row.phase);
            }
            if row.progress.is_none() {
                let key = CellKey::Job(self.service.clone(), id);
                transaction.removals.push(key.path());
                if row.phase == PipelinePhase::Cancelled {
                    let key = CellKey::Cancellation(self.service.clone(), id);
                    transaction.removals.push(key.path());
                }
            }
        }
        let truncated = self.log.superseded(spare_entries(&transaction));
        let superseded = truncated.iter();
        let superseded = superseded.map(|row| CellKey::Record(self.service.clone(), *row).path());
        transaction.removals.extend(superseded);
        self.remove_expired(&mut transaction, now);
        self.open = Some(OpenCommit {
            commit,
            entry,
            record,
            truncated,
            transaction: transaction.clone(),
            sent_at: now,
        });
        Some(transaction)
    }

    /// Fills the transaction up with keys that are not needed any more.
    fn remove_expired(&mut self, transaction: &mut StoreTransaction, now: Duration) {
        while self
            .expiring
            .front()
            .is_some_and(|(expiry, _)| *expiry <= now)
            && self.stray_keys.len() < spare_entries(transaction)
            && let Some((_, id)) = self.expiring.pop_front()
        {
            self.over.remove(&id);
            self.stray_keys.push(CellKey::Summary(id).path());
        }
        let count = self.stray_keys.len().min(spare_entries(transaction));
        let kept = self.stray_keys.len() - count;
        transaction.removals.extend(self.stray_keys.drain(kept..));
    }

    /// Returns the transaction that has no outcome yet.
    pub(crate) fn open_transaction(&self) -> Option<StoreTransaction> {
        self.open.as_ref().map(|open| open.transaction.clone())
    }

    /// Takes the outcome of a commit.
    pub(crate) fn finish_commit(
        &mut self,
        outcome: &TransactionOutcome,
        now: Duration,
    ) -> FinishedCommit {
        let Some(open) = &self.open else {
            return FinishedCommit::of(CommitVerdict::Durable);
        };
        let revision = match outcome {
            TransactionOutcome::Done(revision) => Some(*revision),
            TransactionOutcome::Conflict(items) => self.committed_revision(open.entry, items),
            TransactionOutcome::Refused | TransactionOutcome::Unknown => {
                return FinishedCommit::of(CommitVerdict::Repeat);
            }
            TransactionOutcome::NoLease => None,
        };
        let Some(revision) = revision else {
            return FinishedCommit::of(CommitVerdict::Replaced);
        };
        self.revision = revision;
        self.sequence = open.entry;
        self.log.append(open.entry.commit, &open.record);
        self.log.truncate(&open.truncated);
        let elapsed = now.saturating_sub(open.sent_at);
        let mut finished = FinishedCommit {
            elapsed,
            ..FinishedCommit::of(CommitVerdict::Durable)
        };
        if let Some(open) = self.open.take() {
            let rows = open.commit.entries.iter();
            let summaries = rows.map(|row| {
                let summary = JobSummary::new(&row.spec, row.phase);
                (row.pipeline, summary)
            });
            finished.summaries = summaries.collect();
            for row in open
                .commit
                .entries
                .iter()
                .filter(|row| row.progress.is_none())
            {
                self.phases.remove(&row.pipeline);
                let expiry = (now + self.status_retention, row.pipeline);
                self.expiring.push_back(expiry);
                self.over.insert(row.pipeline);
            }
            finished.actions = self.state.complete_commit(open.commit, now);
        }
        finished
    }

    /// Returns the revision of a commit that an earlier try has made.
    fn committed_revision(&self, entry: SequenceEntry, items: &[StoreItem]) -> Option<u64> {
        let key = CellKey::Sequence(self.service.clone()).path();
        let item = items.iter().find(|item| item.key == key)?;
        let stored: SequenceEntry = decode_record(&item.key, &item.value)?;
        (stored == entry).then_some(item.revision)
    }

    /// Returns the epoch, which also tells this ownership from an earlier one.
    pub(crate) const fn epoch(&self) -> Epoch {
        self.sequence.epoch
    }

    /// Tells whether nothing waits to become durable.
    pub(crate) fn is_durable(&self) -> bool {
        self.open.is_none() && self.state.is_committed()
    }

    pub(crate) fn load(&self) -> PipelineLoad {
        self.state.load()
    }
}

/// Room that is left in a commit.
struct CommitBudget<'a> {
    phases: &'a BTreeMap<PipelineId, PipelinePhase>,
    entries: usize,
    tasks: usize,
}

impl<'a> CommitBudget<'a> {
    const fn new(phases: &'a BTreeMap<PipelineId, PipelinePhase>) -> Self {
        Self {
            phases,
            entries: TRANSACTION_ENTRIES - FIXED_ENTRIES - TRUNCATION_ENTRIES,
            tasks: RECORD_TASKS,
        }
    }

    /// Takes the room for a job; tells whether there was any.
    fn admit(&mut self, row: &CommitEntry) -> bool {
        let has_summary = self.phases.get(&row.pipeline) != Some(&row.phase);
        let removals = match row.progress {
            Some(_) => 0,
            None if row.phase == PipelinePhase::Cancelled => 2,
            None => 1,
        };
        let steps = row.progress.iter().flat_map(PipelineProgress::steps);
        let tasks: usize = steps.map(|step| step.tasks.len()).sum();
        let entries = usize::from(has_summary) + removals;
        // A job that is larger than a record by itself gets one of its own.
        let is_first = self.tasks == RECORD_TASKS;
        if entries > self.entries || (tasks > self.tasks && !is_first) {
            return false;
        }
        self.entries -= entries;
        self.tasks = self.tasks.saturating_sub(tasks.max(1));
        true
    }
}

/// Returns how many entries the transaction can still take.
const fn spare_entries(transaction: &StoreTransaction) -> usize {
    let used = transaction.expected.len() + transaction.puts.len() + transaction.removals.len();
    TRANSACTION_ENTRIES.saturating_sub(used)
}
