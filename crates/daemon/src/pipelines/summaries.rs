//! Writes of job summaries, after the commits that changed the phases of the jobs.
//!
//! Load pattern: hundreds of jobs change their phase each second while the store is slow
//! or calls to it are relayed, and a transaction is limited to a few keys. If a commit
//! contained the summaries, starts would wait until they are written. They are therefore
//! written by transactions of their own, several at a time. A phase is durable with its
//! commit, and a successor writes the summaries that its predecessor has not written.
//!
//! Each write expects the key of the job in the revision at which it was created. The last
//! write, once no run of the job is left, removes that key, so a write that the store
//! executes late, after newer ones, fails.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use auburnsaddle_core::{PipelineId, PipelinePhase, ServiceId};
use auburnsaddle_platform::{StoreItem, StoreTransaction, TransactionOutcome};

use super::records::{CellKey, MAX_TRANSACTION_ENTRIES, encode_team_value};
use crate::job_table::JobSummary;

/// Number of a write, unique within one ownership.
pub(crate) type WriteNumber = u64;

/// Largest number of concurrent writes of one service.
const MAX_OPEN_WRITES: usize = 4;

/// Number of changed summaries that do not wait for others.
const FULL_BATCH: usize = 10;

/// How long a changed summary waits for others, so that one write contains several. Daemons
/// that need a newer one ask the owner.
const BATCH_DELAY: Duration = Duration::from_millis(150);

/// A summary that has to be written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct SummaryUpdate {
    pub(crate) summary: JobSummary,
    /// Whether the job has ended and none of its runs is left, so that its keys are removed.
    pub(crate) is_retired: bool,
}

/// A summary that no open write contains.
#[derive(Clone, Debug)]
struct DueUpdate {
    update: SummaryUpdate,
    due: Duration,
}

/// The summaries of the jobs of one owned service that are not stored yet.
#[derive(Clone, Debug)]
pub(crate) struct SummaryQueue {
    service: ServiceId,
    /// Revision at which the key of each job was created.
    job_revisions: BTreeMap<PipelineId, u64>,
    due: BTreeMap<PipelineId, DueUpdate>,
    /// Summaries in the writes without an outcome.
    open: BTreeMap<WriteNumber, BTreeMap<PipelineId, SummaryUpdate>>,
    last_number: WriteNumber,
}

impl SummaryQueue {
    pub(crate) const fn new(service: ServiceId) -> Self {
        Self {
            service,
            job_revisions: BTreeMap::new(),
            due: BTreeMap::new(),
            open: BTreeMap::new(),
            last_number: 0,
        }
    }

    /// Records the revision at which the key of a job was created.
    pub(crate) fn add_job(&mut self, id: PipelineId, revision: u64) {
        self.job_revisions.insert(id, revision);
    }

    /// Returns whether the key of a job is known and was not removed by the last write.
    pub(crate) fn has_job(&self, id: PipelineId) -> bool {
        self.job_revisions.contains_key(&id)
    }

    /// Adds a summary whose phase is durable in the progress of the job.
    pub(crate) fn add(&mut self, id: PipelineId, update: SummaryUpdate, now: Duration) {
        let due = self.due.get(&id).map_or(now + BATCH_DELAY, |due| due.due);
        self.due.insert(id, DueUpdate { update, due });
    }

    /// Returns whether all summaries are stored.
    pub(crate) fn is_empty(&self) -> bool {
        self.due.is_empty() && self.open.is_empty()
    }

    /// Starts the next write, or returns `None` if none is due. With `is_urgent`, summaries
    /// do not wait for others.
    pub(crate) fn next_write(
        &mut self,
        is_urgent: bool,
        now: Duration,
    ) -> Option<(WriteNumber, StoreTransaction)> {
        let open = self.open.values().flat_map(BTreeMap::keys);
        let busy: BTreeSet<PipelineId> = open.copied().collect();
        let jobs = self.due.iter().filter(|(id, _)| !busy.contains(id));
        let mut jobs: Vec<(Duration, PipelineId)> = jobs.map(|(id, due)| (due.due, *id)).collect();
        jobs.sort_unstable();
        let is_due = is_urgent || jobs.len() >= FULL_BATCH;
        let is_due = is_due || jobs.first().is_some_and(|(due, _)| *due <= now);
        if jobs.is_empty() || !is_due || self.open.len() >= MAX_OPEN_WRITES {
            return None;
        }
        let mut transaction = StoreTransaction::default();
        let mut updates = BTreeMap::new();
        let mut free_entries = MAX_TRANSACTION_ENTRIES;
        for (_, id) in jobs {
            let needed = self
                .due
                .get(&id)
                .map_or(0, |due| due.update.count_entries());
            free_entries = match free_entries.checked_sub(needed) {
                Some(left) => left,
                None => break,
            };
            if let Some(due) = self.due.remove(&id) {
                self.add_entries(&mut transaction, id, &due.update);
                updates.insert(id, due.update);
            }
        }
        self.last_number += 1;
        self.open.insert(self.last_number, updates);
        Some((self.last_number, transaction))
    }

    fn add_entries(
        &self,
        transaction: &mut StoreTransaction,
        id: PipelineId,
        update: &SummaryUpdate,
    ) {
        let job_key = CellKey::Job(self.service.clone(), id).path();
        if let Some(revision) = self.job_revisions.get(&id) {
            transaction.expected.push((job_key.clone(), *revision));
        }
        let key = CellKey::Summary(id).path();
        transaction
            .puts
            .push((key, encode_team_value(&update.summary), 0));
        if update.is_retired {
            transaction.removals.push(job_key);
        }
        if update.is_retired && update.summary.phase == PipelinePhase::Cancelled {
            let key = CellKey::Cancellation(self.service.clone(), id);
            transaction.removals.push(key.path());
        }
    }

    /// Handles the outcome of a write. Returns the jobs whose keys are removed.
    pub(crate) fn finish_write(
        &mut self,
        number: WriteNumber,
        outcome: &TransactionOutcome,
        now: Duration,
    ) -> Vec<PipelineId> {
        let mut removed = Vec::new();
        for (id, update) in self.open.remove(&number).unwrap_or_default() {
            match outcome {
                TransactionOutcome::Done(_) if !update.is_retired => {}
                TransactionOutcome::Done(_) => removed.push(id),
                // The last write has removed the key.
                TransactionOutcome::Conflict(items) if !self.has_job_key(id, items) => {
                    removed.push(id);
                }
                _ => {
                    let due = DueUpdate { update, due: now };
                    self.due.entry(id).or_insert(due);
                }
            }
        }
        for id in &removed {
            self.due.remove(id);
            self.job_revisions.remove(id);
        }
        removed
    }

    /// Returns whether the key of a job is among the items with the expected revision.
    fn has_job_key(&self, id: PipelineId, items: &[StoreItem]) -> bool {
        let key = CellKey::Job(self.service.clone(), id).path();
        let item = items.iter().find(|item| item.key == key);
        item.map(|item| &item.revision) == self.job_revisions.get(&id)
    }
}

impl SummaryUpdate {
    /// Returns the number of entries that the write needs: the key of the job as a
    /// condition, the summary, and the removal of the key and of a cancellation request.
    fn count_entries(&self) -> usize {
        match self.summary.phase {
            _ if !self.is_retired => 2,
            PipelinePhase::Cancelled => 4,
            _ => 3,
        }
    }
}
