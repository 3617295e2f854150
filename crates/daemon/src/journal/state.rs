//! The record log with the records and flushes that wait for it.

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

/// Largest snapshot part; the store holds values up to 1 MB.
const PART_BYTES: usize = 512 << 10;

/// Batches that may be sent at once after a quiet time. A keyed call waits for
/// two batches, so two calls that follow each other wait for the store alone.
const COMMIT_CREDIT: u32 = 4;

/// Allowance for the encoding of a record beside its payload.
const RECORD_OVERHEAD: usize = 24;

/// What follows from an event.
#[derive(Debug, Default)]
pub(crate) struct JournalOutput {
    /// To be carried out on the traffic threads.
    pub(crate) effects: Vec<JournalEffect>,
    /// For the slices and the owner table.
    pub(crate) notices: Vec<JournalNotice>,
}

/// The journals of all shards that this daemon owns.
#[derive(Debug)]
pub(crate) struct ShardJournals {
    pub(super) log: RecordLog<BincodeCodec>,
    /// The shard of each record that is not durable yet.
    pub(super) waiting: BTreeMap<RecordId, ShardName>,
    pub(super) flushing: BTreeSet<(ShardName, Epoch)>,
    pub(super) store_available: bool,
}

/// Tells whether the state of a shard is durable.
pub(crate) const fn keeps_journal(shard: &ShardName) -> bool {
    match shard {
        ShardName::Key(..) | ShardName::Pool(_) => true,
        // Its queue is lost with its owner, and callers ask the next one.
        ShardName::Call(..) => false,
    }
}

impl ShardJournals {
    /// Returns journals without shards.
    pub(crate) fn new(daemon: DaemonId, config: JournalConfig) -> Self {
        let config = JournalConfig {
            commit_credit: COMMIT_CREDIT,
            ..config
        };
        Self {
            log: RecordLog::new(daemon, config, BincodeCodec),
            waiting: BTreeMap::new(),
            flushing: BTreeSet::new(),
            store_available: true,
        }
    }

    /// Changes the times and sizes of commits.
    pub(crate) const fn set_config(&mut self, config: JournalConfig) {
        let commit_credit = COMMIT_CREDIT;
        let config = JournalConfig {
            commit_credit,
            ..config
        };
        self.log.set_config(config);
    }

    /// Takes a record over for the next commit; a notice follows with the
    /// identifier returned.
    ///
    /// # Errors
    ///
    /// Returns an error, and takes nothing over, if the shard is not open here,
    /// the record is too large or too many wait.
    pub(crate) fn append(
        &mut self,
        shard: &ShardName,
        kind: RecordKind,
        payload: Vec<u8>,
    ) -> Result<RecordId, JournalError> {
        self.append_with(shard, JournalRecord { kind, payload }, kind.urgency())
    }

    /// Does the same with an urgency other than that of the kind.
    ///
    /// # Errors
    ///
    /// Those of [`append`](Self::append).
    pub(crate) fn append_with(
        &mut self,
        shard: &ShardName,
        record: JournalRecord,
        urgency: RecordUrgency,
    ) -> Result<RecordId, JournalError> {
        let id = self.log.append_with(shard, record, urgency)?;
        self.waiting.insert(id, shard.clone());
        Ok(id)
    }

    /// Ends the journal of a shard that is no longer owned.
    pub(crate) fn close(&mut self, shard: &ShardName, now: Duration) -> JournalOutput {
        self.flushing.retain(|(flushing, _)| flushing != shard);
        self.apply(JournalEvent::Closed(shard.clone()), now)
    }

    /// Reports [`JournalNotice::Flushed`] once all records are in the store.
    pub(crate) fn flush(&mut self, shard: ShardName, epoch: Epoch, now: Duration) -> JournalOutput {
        self.flushing.insert((shard, epoch));
        self.apply(JournalEvent::FlushRequested, now)
    }

    /// Takes the records that describe a shard after all appended so far.
    pub(crate) fn export(
        &mut self,
        shard: ShardName,
        epoch: Epoch,
        records: Vec<JournalRecord>,
        now: Duration,
    ) -> JournalOutput {
        let parts = split_parts(records);
        self.apply(JournalEvent::SnapshotTaken(shard, epoch, parts), now)
    }

    /// Commits what waits, as far as the interval permits it.
    pub(crate) fn fire_timers(&mut self, now: Duration) -> JournalOutput {
        self.apply(JournalEvent::TimerFired, now)
    }

    /// Applies the result of an effect.
    pub(crate) fn handle(&mut self, report: JournalReport, now: Duration) -> JournalOutput {
        let mut output = JournalOutput::default();
        self.note_store(&report, &mut output);
        let event = match report {
            JournalReport::Loaded(shard, epoch, Ok(journal)) => {
                return self.note_loaded(shard, epoch, journal, now);
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
        let follow_up = self.apply(event, now);
        output.effects.extend(follow_up.effects);
        output.notices.extend(follow_up.notices);
        output
    }

    fn note_loaded(
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

    /// Notes whether the store takes records: a reading may work where writes
    /// do not, so one that finds no segment says nothing.
    fn note_store(&mut self, report: &JournalReport, output: &mut JournalOutput) {
        let available = match report {
            JournalReport::Committed(_)
            | JournalReport::GuardFailed(..)
            | JournalReport::ReadBack(_, Some(_)) => true,
            JournalReport::ResponseLost(_) => false,
            _ => return,
        };
        if self.store_available != available {
            self.store_available = available;
            let notice = JournalNotice::StoreChanged { available };
            output.notices.push(notice);
        }
    }

    fn apply(&mut self, event: JournalEvent, now: Duration) -> JournalOutput {
        let mut output = JournalOutput::default();
        for action in self.log.handle(event, now) {
            match action {
                JournalAction::Durable(records) => {
                    for (shard, records) in self.take_waiting(records) {
                        let notice = JournalNotice::Durable(shard, records);
                        output.notices.push(notice);
                    }
                }
                JournalAction::Failed {
                    records,
                    maybe_written,
                } => {
                    for (shard, records) in self.take_waiting(records) {
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
                    let notice = JournalNotice::ExportNeeded(shard, epoch);
                    output.notices.push(notice);
                }
                write => output.effects.push(JournalEffect::Store(write)),
            }
        }
        self.report_flushed(&mut output);
        output
    }

    fn take_waiting(&mut self, records: Vec<RecordId>) -> BTreeMap<ShardName, Vec<RecordId>> {
        let mut by_shard: BTreeMap<ShardName, Vec<RecordId>> = BTreeMap::new();
        for id in records {
            if let Some(shard) = self.waiting.remove(&id) {
                by_shard.entry(shard).or_default().push(id);
            }
        }
        by_shard
    }

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

/// Splits records into parts that each fit into a value of the store.
fn split_parts(records: Vec<JournalRecord>) -> Vec<Vec<JournalRecord>> {
    let mut parts = vec![Vec::new()];
    let mut size = 0;
    for record in records {
        let bytes = record.payload.len() + RECORD_OVERHEAD;
        if size + bytes > PART_BYTES && size > 0 {
            parts.push(Vec::new());
            size = 0;
        }
        size += bytes;
        parts.last_mut().expect("one part is there").push(record);
    }
    parts
}
