//! The pipelines of one owned service and their commits, which are sent one at a time.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    slice,
    time::Duration,
};

use auburnsaddle_core::{
    CommitEntry, Epoch, MAX_PREDECESSOR_TIME, PipelineAction, PipelineConfig, PipelineEvent,
    PipelineId, PipelineLoad, PipelinePhase, PipelineProgress, PipelineState, ProgressCommit,
    QuotaLedger, ServiceId,
};
use auburnsaddle_platform::{StoreItem, StoreTransaction, TransactionOutcome};

use super::{
    acquire::{LoadedJob, LoadedShard},
    log::{MAX_PROGRESS_HEADER_BYTES, progress_bytes},
    log::{ProgressLog, ProgressRecord, RecordNumber},
    notices::{JobChange, JobNotice},
    records::{CellKey, MAX_TRANSACTION_ENTRIES, SequenceEntry, decode_value, encode_value},
    sessions::{DaemonRegistration, OwnerSession, PredecessorList},
    summaries::{SummaryQueue, SummaryUpdate, WriteNumber},
};
use crate::{
    job_table::{JobSummary, REMOVAL_SLACK},
    witness::{ExtensionPermit, WitnessEntry, WitnessList, WitnessRecord},
};

/// Size of a record in bytes above which it takes no further job.
const FULL_RECORD_BYTES: usize = 256 << 10;

/// Time between two rounds of announcements to witnesses that have not answered.
const NOTICE_INTERVAL: Duration = Duration::from_millis(250);

/// How long a change of the witnesses waits for a commit of progress before it is committed alone.
const WITNESS_CHANGE_DELAY: Duration = Duration::from_secs(1);

/// Time without other daemons after which an owner extends leases without witnesses. Longer than
/// the others need to register after a restart of all daemons.
const ALONE_DELAY: Duration = Duration::from_secs(10);

/// Settings of an owned service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ShardSettings {
    pub(crate) config: PipelineConfig,
    /// How long the summary of a job is kept after its end.
    pub(crate) summary_retention: Duration,
    /// Largest value that the store accepts, in bytes.
    pub(crate) max_value_bytes: usize,
    /// Whether the caps of teams are enforced.
    pub(crate) enforces_caps: bool,
}

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
    /// Revision of the owner's key, which the takeover wrote.
    owner_revision: u64,
    /// Revision at which the jobs were read in the takeover.
    jobs_revision: u64,
    log: ProgressLog,
    /// At most one commit is pending at a time.
    pending: Option<PendingCommit>,
    /// Durable phases of the jobs that are not retired.
    durable_phases: BTreeMap<PipelineId, PipelinePhase>,
    summaries: SummaryQueue,
    /// Keys that later commits remove as far as they have room.
    obsolete_keys: Vec<String>,
    /// Ended jobs whose summaries are still in the store. Late events may add them
    /// again, which must have no effect.
    finished_jobs: BTreeSet<PipelineId>,
    /// The same jobs in the order in which they ended, each with the time at which its
    /// summary is removed.
    summary_expiries: VecDeque<(Duration, PipelineId)>,
    settings: ShardSettings,
    /// The present ownership.
    session: OwnerSession,
    predecessors: PredecessorList,
    /// Whether the store lists no ownership but the present one.
    is_only_session: bool,
    /// When all predecessors had ended, once that is known. It may be a moment ahead.
    known_end: Option<Duration>,
    taken_over_at: Duration,
    permit: ExtensionPermit,
    /// The present witnesses, and since when they are.
    present_witnesses: Vec<WitnessEntry>,
    present_since: Duration,
    /// Earliest time of the next announcements to witnesses.
    next_notices_at: Duration,
    /// The latest change at the begin of a drain.
    drained_change: Option<u64>,
}

impl OwnedShard {
    /// Builds the state of a service from what a takeover read from the store.
    pub(crate) fn new(loaded: LoadedShard, settings: ShardSettings, now: Duration) -> Self {
        let mut shard = Self {
            summaries: SummaryQueue::new(loaded.service.clone()),
            service: loaded.service,
            state: PipelineState::new(settings.config, loaded.epoch, now),
            sequence: SequenceEntry {
                epoch: loaded.epoch,
                commit: loaded.last_commit,
            },
            sequence_revision: loaded.revision,
            owner_revision: loaded.revision,
            jobs_revision: loaded.jobs_revision,
            log: loaded.log,
            pending: None,
            durable_phases: BTreeMap::new(),
            obsolete_keys: Vec::new(),
            finished_jobs: BTreeSet::new(),
            summary_expiries: VecDeque::new(),
            settings,
            is_only_session: loaded.predecessors.ended_at(now).is_some(),
            session: loaded.session,
            predecessors: loaded.predecessors,
            known_end: None,
            taken_over_at: now,
            present_witnesses: loaded.witnesses.entries.clone(),
            permit: ExtensionPermit::new(loaded.witnesses),
            present_since: now,
            next_notices_at: now,
            drained_change: None,
        };
        if settings.enforces_caps {
            let ledger = QuotaLedger::new(shard.service.clone());
            shard.state.enforce_quotas(ledger);
        }
        for job in loaded.jobs {
            shard.add_job(job, now);
        }
        shard
    }

    /// Adds a job that was read from the store. It causes no orders before workers are
    /// listed.
    fn add_job(&mut self, job: LoadedJob, now: Duration) {
        self.summaries.add_job(job.id, job.revision);
        // The predecessor may not have written the summary of this phase.
        let phase = job.progress.as_ref().map(|progress| progress.phase);
        let is_retired = job
            .progress
            .as_ref()
            .is_some_and(|progress| progress.phase.is_final() && progress.is_unplaced());
        if let Some(phase) = phase.filter(|phase| *phase > PipelinePhase::Queued) {
            let update = SummaryUpdate {
                summary: JobSummary::new(&job.spec, phase),
                is_retired,
            };
            self.summaries.add(job.id, update, now);
        }
        match job.progress {
            Some(_) if is_retired => {
                self.finished_jobs.insert(job.id);
                let expiry = now + self.settings.summary_retention;
                self.summary_expiries.push_back((expiry, job.id));
            }
            progress => {
                let phase = phase.unwrap_or_default();
                self.durable_phases.insert(job.id, phase);
                let event = PipelineEvent::Stored(job.id, job.spec, progress);
                let actions = self.state.handle(event, now);
                debug_assert!(
                    actions.is_empty(),
                    "adding a job caused actions before any worker was listed"
                );
            }
        }
    }

    /// Checks the registrations of the daemons for predecessors that have ended their ownership.
    /// Returns an event when it is known of all of them.
    pub(crate) fn update_predecessors(
        &mut self,
        registrations: &BTreeMap<String, DaemonRegistration>,
    ) -> Option<PipelineEvent> {
        if self.known_end.is_some() {
            return None;
        }
        self.predecessors.remove_ended(registrations);
        self.predecessors_ended()
    }

    /// Records that a daemon has acknowledged this ownership. Returns an event when it is known
    /// that no predecessor extends a lease.
    pub(crate) fn record_ack(&mut self, daemon: &str, at: Duration) -> Option<PipelineEvent> {
        if self.known_end.is_some() {
            return None;
        }
        self.predecessors.record_ack(daemon, at);
        self.predecessors_ended()
    }

    /// Checks whether the time has passed for which predecessors that lack a witness may extend leases.
    /// Returns an event when no predecessor is left.
    pub(crate) fn expire_predecessors(&mut self, now: Duration) -> Option<PipelineEvent> {
        if self.known_end.is_some() {
            return None;
        }
        self.predecessors
            .remove_partly_fenced(self.taken_over_at, now);
        self.predecessors_ended()
    }

    /// Returns an event if the ends of all predecessors have become known.
    fn predecessors_ended(&mut self) -> Option<PipelineEvent> {
        let ended_at = self.predecessors.ended_at(self.taken_over_at)?;
        self.known_end = Some(ended_at);
        Some(PipelineEvent::PredecessorsEnded(ended_at))
    }

    /// Records until when the store has confirmed the ownership, as requested at `sent_at`.
    pub(crate) fn confirm_by_store(&mut self, sent_at: Duration, until: Duration) {
        self.permit.confirm_by_store(sent_at, until);
        self.apply_permit();
    }

    /// Records that a witness, by its registration, has confirmed the ownership.
    pub(crate) fn confirm_by_witness(
        &mut self,
        daemon: &str,
        registration: u64,
        sent_at: Duration,
    ) {
        self.permit
            .confirm_by_witness(daemon, registration, sent_at);
        self.apply_permit();
    }

    /// Updates the time until which the state may extend leases.
    fn apply_permit(&mut self) {
        let event = PipelineEvent::ExtensionsPermitted(self.permit.until());
        let actions = self.state.handle(event, Duration::ZERO);
        debug_assert!(actions.is_empty(), "a permission caused actions");
    }

    /// Returns the witnesses to which this ownership is to be announced now: those of the
    /// predecessors, and its own while the store does not confirm it.
    pub(crate) fn due_notices(&mut self, now: Duration) -> BTreeMap<String, WitnessEntry> {
        if now < self.next_notices_at {
            return BTreeMap::new();
        }
        let mut entries = self.permit.witnesses_to_ask(now);
        if !self.have_predecessors_ended(now) {
            entries.extend(self.predecessors.unacked_witnesses());
        }
        if !entries.is_empty() {
            self.next_notices_at = now + NOTICE_INTERVAL;
        }
        let entries = entries.into_iter();
        entries.map(|entry| (entry.daemon.clone(), entry)).collect()
    }

    /// Sets the present witnesses, which a coming commit records.
    pub(crate) fn set_witnesses(&mut self, entries: Vec<WitnessEntry>, now: Duration) {
        if self.present_witnesses != entries {
            self.present_witnesses = entries;
            self.present_since = now;
        }
    }

    /// Returns the list of the present witnesses if the store holds another one.
    fn changed_witnesses(&self, now: Duration) -> Option<WitnessList> {
        let is_alone = self.present_witnesses.is_empty() && now >= self.present_since + ALONE_DELAY;
        self.permit.changed_list(&self.present_witnesses, is_alone)
    }

    /// Returns whether a change of the witnesses has waited long enough for other changes.
    pub(crate) fn is_witness_change_due(&self, now: Duration) -> bool {
        self.pending.is_none()
            && now >= self.present_since + WITNESS_CHANGE_DELAY
            && self.changed_witnesses(now).is_some()
    }

    /// Returns whether all ownerships before the present one have ended.
    fn have_predecessors_ended(&self, now: Duration) -> bool {
        let latest = self.taken_over_at + MAX_PREDECESSOR_TIME;
        now >= self.known_end.unwrap_or(latest)
    }

    /// Records the revision at which the key of a job was created.
    pub(crate) fn add_job_key(&mut self, id: PipelineId, revision: u64) {
        if !self.finished_jobs.contains(&id) {
            self.summaries.add_job(id, revision);
        }
    }

    /// Returns the event of a notice, or `None` if this owner knows more already.
    ///
    /// A job of an earlier write was read in the takeover, unless it had ended by then. A
    /// cancellation that arrives before its job is left to the watch, which delivers both
    /// in order.
    pub(crate) fn apply_notice(&mut self, notice: JobNotice) -> Option<PipelineEvent> {
        let id = notice.id;
        if !notice.has_accepted_size() {
            let request_id = format!("{id:016x}");
            log::warn!(request_id = request_id.as_str(); "ignored a notice of an oversized job");
            return None;
        }
        match notice.change {
            _ if notice.revision <= self.jobs_revision => None,
            JobChange::Accepted(spec) => {
                self.add_job_key(id, notice.revision);
                Some(PipelineEvent::Stored(id, spec, None))
            }
            JobChange::Cancelled => {
                let is_known = self.state.contains(id);
                is_known.then_some(PipelineEvent::Cancelled(id))
            }
        }
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
        let mut budget = CommitBudget::new(self.settings.max_value_bytes);
        let commit = self.state.take_commit(|entry| budget.try_reserve(entry));
        let commit = match commit {
            None if self.is_witness_change_due(now) => ProgressCommit::default(),
            commit => commit?,
        };
        let sequence = SequenceEntry {
            epoch: self.sequence.epoch,
            commit: self.sequence.commit + 1,
        };
        let sequence_key = CellKey::Sequence(self.service.clone()).path();
        let record_key = CellKey::Record(self.service.clone(), sequence.commit).path();
        let entries = commit.entries.iter().map(|entry| {
            let retired = || PipelineProgress {
                phase: entry.phase,
                ..PipelineProgress::default()
            };
            let mut progress = entry.progress.clone().unwrap_or_else(retired);
            if progress_bytes(&progress) > self.settings.max_value_bytes {
                let request_id = format!("{:016x}", entry.pipeline);
                log::warn!(
                    request_id = request_id.as_str(),
                    max_value_bytes = self.settings.max_value_bytes;
                    "the progress of a job is too large for the store; leaving out its checkpoints"
                );
                progress.discard_checkpoints();
            }
            (entry.pipeline, Some(progress))
        });
        let record = ProgressRecord {
            entries: entries.collect(),
        };
        let mut transaction = StoreTransaction {
            expected: vec![(sequence_key.clone(), self.sequence_revision)],
            puts: vec![
                (sequence_key, encode_value(&sequence), 0),
                (record_key, record.encode(), 0),
            ],
            removals: Vec::new(),
        };
        if !self.is_only_session && self.have_predecessors_ended(now) {
            self.is_only_session = true;
            let sessions_key = CellKey::Sessions(self.service.clone()).path();
            let sessions = encode_value(&slice::from_ref(&self.session));
            transaction.puts.push((sessions_key, sessions, 0));
        }
        self.add_witness_change(&mut transaction, now);
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

    /// Adds the present witnesses to the transaction if the store holds others.
    fn add_witness_change(&mut self, transaction: &mut StoreTransaction, now: Duration) {
        let Some(list) = self.changed_witnesses(now) else {
            return;
        };
        let record = if self.is_only_session {
            WitnessRecord::default().with_list(list.clone())
        } else {
            self.predecessors.witnesses_followed_by(&list)
        };
        let key = CellKey::Witnesses(self.service.clone()).path();
        transaction.puts.push((key, encode_value(&record), 0));
        self.permit.begin_change(list);
        self.apply_permit();
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

    /// Leaves the summaries that no commit has removed for some time to writes of their own, as
    /// the service may be idle for long.
    pub(crate) fn release_expired_summaries(&mut self, now: Duration) {
        while let Some((expiry, id)) = self.summary_expiries.front().copied()
            && expiry + REMOVAL_SLACK <= now
        {
            self.summary_expiries.pop_front();
            self.finished_jobs.remove(&id);
        }
    }

    /// Returns whether the summary of a job is still needed, or removed with a commit.
    pub(crate) fn keeps_summary(&self, id: PipelineId) -> bool {
        self.finished_jobs.contains(&id) || self.summaries.has_job(id) || self.state.contains(id)
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
        self.permit.finish_change();
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
            for entry in &pending.commit.entries {
                let id = entry.pipeline;
                let phase = self.durable_phases.insert(id, entry.phase);
                let is_retired = entry.progress.is_none();
                if is_retired || phase.unwrap_or_default() != entry.phase {
                    let update = SummaryUpdate {
                        summary: JobSummary::new(&entry.spec, entry.phase),
                        is_retired,
                    };
                    self.summaries.add(id, update, now);
                }
            }
            let entries = pending.commit.entries.iter();
            for entry in entries.filter(|entry| entry.progress.is_none()) {
                self.durable_phases.remove(&entry.pipeline);
                let expiry = (now + self.settings.summary_retention, entry.pipeline);
                self.summary_expiries.push_back(expiry);
                self.finished_jobs.insert(entry.pipeline);
            }
            finished.actions = self.state.complete_commit(pending.commit, now);
        }
        finished
    }

    /// Starts the next write of summaries, or returns `None` if none is due. With
    /// `is_urgent`, summaries do not wait for others.
    pub(crate) fn next_summary_write(
        &mut self,
        is_urgent: bool,
        now: Duration,
    ) -> Option<(WriteNumber, StoreTransaction)> {
        self.summaries.next_write(is_urgent, now)
    }

    /// Handles the outcome of a write of summaries.
    pub(crate) fn finish_summary_write(
        &mut self,
        number: WriteNumber,
        outcome: &TransactionOutcome,
        now: Duration,
    ) {
        for id in self.summaries.finish_write(number, outcome, now) {
            self.log.remove_job(id);
        }
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
    #[cfg(test)]
    pub(crate) fn is_durable(&self) -> bool {
        self.pending.is_none() && self.state.is_committed()
    }

    /// Returns whether all changes are durable that were made before this was first asked. Workers
    /// go on to report ends, which they report again to the successor.
    pub(crate) fn is_drained(&mut self) -> bool {
        let latest = self.state.latest_change();
        let drained_change = *self.drained_change.get_or_insert(latest);
        self.state.durable_change() >= drained_change
    }

    /// Ends a drain, so that a later one waits for the changes before it.
    pub(crate) const fn cancel_drain(&mut self) {
        self.drained_change = None;
    }

    /// Returns the revision of the owner's key.
    pub(crate) const fn owner_revision(&self) -> u64 {
        self.owner_revision
    }

    /// Returns whether the summaries of all durable phases are stored.
    pub(crate) fn has_stored_summaries(&self) -> bool {
        self.summaries.is_empty()
    }

    pub(crate) fn load(&self) -> PipelineLoad {
        self.state.load()
    }
}

/// The space that a commit can still take.
struct CommitBudget {
    bytes: usize,
    is_empty: bool,
}

impl CommitBudget {
    fn new(max_value_bytes: usize) -> Self {
        Self {
            bytes: FULL_RECORD_BYTES.min(max_value_bytes),
            is_empty: true,
        }
    }

    /// Reserves space for a job; returns whether there was enough.
    fn try_reserve(&mut self, entry: &CommitEntry) -> bool {
        let progress = entry.progress.as_ref();
        let bytes = progress.map_or(MAX_PROGRESS_HEADER_BYTES, progress_bytes);
        // A job that is larger than a full record gets a record of its own.
        if bytes > self.bytes && !self.is_empty {
            return false;
        }
        self.bytes = self.bytes.saturating_sub(bytes);
        self.is_empty = false;
        true
    }
}

/// Returns the number of entries that the transaction can still take.
const fn free_entries(transaction: &StoreTransaction) -> usize {
    let used = transaction.expected.len() + transaction.puts.len() + transaction.removals.len();
    MAX_TRANSACTION_ENTRIES.saturating_sub(used)
}
