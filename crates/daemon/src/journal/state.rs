//! The record log, with its uncommitted records and its pending flushes.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use auburnsaddle_core::{
    DaemonId, Epoch, JournalAction, JournalConfig, JournalError, JournalEvent, JournalRecord,
    RecordId, RecordKind, RecordLog, RecordUrgency, ShardName,
};

use super::{
    codec::BincodeCodec,
    messages::{JournalEffect, JournalNotice, JournalReport, LoadedJournal},
};

/// Maximum size of a snapshot part, below the store's limit of 1 MB for a value.
const MAX_PART_BYTES: usize = 512 << 10;

/// Maximum number of batches in a burst after an idle period. A call with an
/// idempotency key waits for two batches, so with four batches two successive
/// calls wait only for the store and not for the commit interval.
const COMMIT_CREDIT: u32 = 4;

/// Estimated encoded size of a record in addition to its payload.
const RECORD_OVERHEAD_BYTES: usize = 24;

/// The effects and notices that result from an event.
#[derive(Debug, Default)]
pub(crate) struct JournalOutput {
    /// Store calls to run on the traffic threads.
    pub(crate) effects: Vec<JournalEffect>,
    /// Notifications for the owner table and for the modules that keep the shards'
    /// state.
    pub(crate) notices: Vec<JournalNotice>,
}

/// The journals of all shards that this daemon owns.
#[derive(Debug)]
pub(crate) struct ShardJournals {
    pub(super) log: RecordLog<BincodeCodec>,
    /// The records that are not durable yet, with their shards.
    pub(super) pending_records: BTreeMap<RecordId, ShardName>,
    /// The shards whose handover waits until all their records are in the store.
    pub(super) flushing: BTreeSet<(ShardName, Epoch)>,
    /// Whether the last write to the store was answered.
    pub(super) is_store_available: bool,
}

/// Returns whether the state of a shard is kept in a journal.
pub(crate) const fn has_journal(shard: &ShardName) -> bool {
    match shard {
        ShardName::Key(..) | ShardName::Pool(_) => true,
        // A call queue is lost with its owner; callers retry at the next owner.
        ShardName::Call(..) => false,
    }
}

impl ShardJournals {
    /// Returns the journals of `daemon`, none of them open yet. The commit credit in
    /// `config` is replaced by [`COMMIT_CREDIT`].
    pub(crate) fn new(daemon: DaemonId, config: JournalConfig) -> Self {
        let config = JournalConfig {
            commit_credit: COMMIT_CREDIT,
            ..config
        };
        Self {
            log: RecordLog::new(daemon, config, BincodeCodec),
            pending_records: BTreeMap::new(),
            flushing: BTreeSet::new(),
            is_store_available: true,
        }
    }

    /// Replaces the configuration. The commit credit in `config` is replaced by
    /// [`COMMIT_CREDIT`].
    pub(crate) const fn set_config(&mut self, config: JournalConfig) {
        let commit_credit = COMMIT_CREDIT;
        let config = JournalConfig {
            commit_credit,
            ..config
        };
        self.log.set_config(config);
    }

    /// Queues a record for commit and returns its identifier. A notice with this
    /// identifier reports the outcome.
    ///
    /// # Errors
    ///
    /// Returns an error, and queues nothing, if the journal of the shard is not
    /// open, the record is too large or the queue is full.
    pub(crate) fn append(
        &mut self,
        shard: &ShardName,
        kind: RecordKind,
        payload: Vec<u8>,
    ) -> Result<RecordId, JournalError> {
        self.append_with(shard, JournalRecord { kind, payload }, kind.urgency())
    }

    /// Queues a record as [`append`](Self::append) does, with an urgency that may
    /// differ from that of its kind.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`append`](Self::append).
    pub(crate) fn append_with(
        &mut self,
        shard: &ShardName,
        record: JournalRecord,
        urgency: RecordUrgency,
    ) -> Result<RecordId, JournalError> {
        let id = self.log.append_with(shard, record, urgency)?;
        self.pending_records.insert(id, shard.clone());
        Ok(id)
    }

    /// Closes the journal of a shard that is no longer owned.
    pub(crate) fn close(&mut self, shard: &ShardName, now: Duration) -> JournalOutput {
        self.flushing.retain(|(flushing, _)| flushing != shard);
        self.apply(JournalEvent::Closed(shard.clone()), now)
    }

    /// Requests a commit of all records of a shard. [`JournalNotice::Flushed`]
    /// follows once they are in the store.
    pub(crate) fn flush(&mut self, shard: ShardName, epoch: Epoch, now: Duration) -> JournalOutput {
        self.flushing.insert((shard, epoch));
        self.apply(JournalEvent::FlushRequested, now)
    }

    /// Starts writing a snapshot of a shard. `records` must describe its state after
    /// all records appended so far.
    pub(crate) fn start_snapshot(
        &mut self,
        shard: ShardName,
        epoch: Epoch,
        records: Vec<JournalRecord>,
        now: Duration,
    ) -> JournalOutput {
        let parts = split_parts(records);
        self.apply(JournalEvent::SnapshotTaken(shard, epoch, parts), now)
    }

    /// Commits pending records if the commit interval permits it.
    pub(crate) fn fire_timers(&mut self, now: Duration) -> JournalOutput {
        self.apply(JournalEvent::TimerFired, now)
    }

    /// Handles the report of an effect.
    pub(crate) fn handle(&mut self, report: JournalReport, now: Duration) -> JournalOutput {
        let mut output = JournalOutput::default();
        self.update_store_availability(&report, &mut output);
        let event = match report {
            JournalReport::Loaded(shard, epoch, Ok(journal)) => {
                return self.open_journal(shard, epoch, journal, now);
            }
            JournalReport::Loaded(shard, epoch, Err(error)) => {
                let notice = JournalNotice::Corrupted(shard, epoch, error);
                output.notices.push(notice);
                return output;
            }
            JournalReport::Fenced(shard, epoch) => {
                output.notices.push(JournalNotice::Fenced(shard, epoch));
                return output;
            }
            JournalReport::Committed(number) => JournalEvent::Committed(number),
            JournalReport::GuardFailed(number, shards) => JournalEvent::GuardFailed(number, shards),
            JournalReport::ResponseLost(number) => JournalEvent::ResponseLost(number),
            JournalReport::ReadBack(number, value) => JournalEvent::ReadBack(number, value),
            JournalReport::PartWritten(shard, key) => JournalEvent::PartWritten(shard, key),
            JournalReport::SnapshotWriteLost(shard) => JournalEvent::SnapshotWriteLost(shard),
            JournalReport::ManifestAnswered(shard, epoch, value) => {
                JournalEvent::ManifestAnswered(shard, epoch, value)
            }
        };
        let applied = self.apply(event, now);
        output.effects.extend(applied.effects);
        output.notices.extend(applied.notices);
        output
    }

    /// Opens the journal of a shard for new records and reports its records.
    fn open_journal(
        &mut self,
        shard: ShardName,
        epoch: Epoch,
        journal: LoadedJournal,
        now: Duration,
    ) -> JournalOutput {
        let event = JournalEvent::Opened {
            shard: shard.clone(),
            epoch,
            manifest: journal.manifest,
            keys: journal.keys,
        };
        let mut output = self.apply(event, now);
        let notice = JournalNotice::Opened(shard, epoch, journal.records);
        output.notices.push(notice);
        output
    }

    /// Updates whether the store accepts writes, and adds a notice on a change. A
    /// read that finds no segment is ignored, as reads may succeed while writes
    /// fail.
    fn update_store_availability(&mut self, report: &JournalReport, output: &mut JournalOutput) {
        let available = match report {
            JournalReport::Committed(_)
            | JournalReport::GuardFailed(..)
            | JournalReport::ReadBack(_, Some(_)) => true,
            JournalReport::ResponseLost(_) => false,
            _ => return,
        };
        if self.is_store_available != available {
            self.is_store_available = available;
            let notice = JournalNotice::StoreChanged { available };
            output.notices.push(notice);
        }
    }

    /// Applies an event to the record log and converts the resulting actions.
    fn apply(&mut self, event: JournalEvent, now: Duration) -> JournalOutput {
        let mut output = JournalOutput::default();
        for action in self.log.handle(event, now) {
            match action {
                JournalAction::Durable(records) => {
                    for (shard, records) in self.take_pending(records) {
                        let notice = JournalNotice::Durable(shard, records);
                        output.notices.push(notice);
                    }
                }
                JournalAction::Failed {
                    records,
                    maybe_written,
                } => {
                    for (shard, records) in self.take_pending(records) {
                        output.notices.push(JournalNotice::Failed {
                            shard,
                            records,
                            maybe_written,
                        });
                    }
                }
                JournalAction::Fenced(shard, epoch) => {
                    output.notices.push(JournalNotice::Fenced(shard, epoch));
                }
                JournalAction::TakeSnapshot(shard, epoch) => {
                    let notice = JournalNotice::SnapshotNeeded(shard, epoch);
                    output.notices.push(notice);
                }
                store_action => output.effects.push(JournalEffect::Store(store_action)),
            }
        }
        self.report_flushed(&mut output);
        output
    }

    /// Removes records from the pending ones and groups them by shard.
    fn take_pending(&mut self, records: Vec<RecordId>) -> BTreeMap<ShardName, Vec<RecordId>> {
        let mut by_shard: BTreeMap<ShardName, Vec<RecordId>> = BTreeMap::new();
        for id in records {
            if let Some(shard) = self.pending_records.remove(&id) {
                by_shard.entry(shard).or_default().push(id);
            }
        }
        by_shard
    }

    /// Adds a notice for each flush that is complete.
    fn report_flushed(&mut self, output: &mut JournalOutput) {
        let log = &self.log;
        let flushed = self
            .flushing
            .extract_if(.., |(shard, _)| log.is_flushed(shard));
        output
            .notices
            .extend(flushed.map(|(shard, epoch)| JournalNotice::Flushed(shard, epoch)));
    }
}

/// Splits records into snapshot parts of up to [`MAX_PART_BYTES`]. A record that
/// is larger has a part of its own.
fn split_parts(records: Vec<JournalRecord>) -> Vec<Vec<JournalRecord>> {
    let mut parts = vec![Vec::new()];
    let mut size = 0;
    for record in records {
        let bytes = record.payload.len() + RECORD_OVERHEAD_BYTES;
        if size + bytes > MAX_PART_BYTES && size > 0 {
            parts.push(Vec::new());
            size = 0;
        }
        size += bytes;
        parts
            .last_mut()
            .expect("there is at least one part")
            .push(record);
    }
    parts
}
