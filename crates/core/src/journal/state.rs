//! The record log of one daemon.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use snafu::{OptionExt, ensure};

use super::{
    compaction::SegmentCompactor,
    messages::{
        BatchNumber, JournalAction, JournalBatch, JournalEvent, JournalKey, JournalRecord,
        RecordId, RecordUrgency, SegmentBody, SegmentPosition, SegmentWrite,
    },
    value::{
        BacklogSnafu, JournalCodec, JournalError, NotOpenSnafu, RecordTooLargeSnafu,
        encode_envelope,
    },
};
use crate::types::{DaemonId, Epoch, ShardName};

/// Allowance for the encoding of a record beside its payload.
const RECORD_OVERHEAD: usize = 24;

/// Allowance for the names, the header and the guard of a segment.
const SEGMENT_OVERHEAD: usize = 256;

/// Time between attempts to resolve a lost response; the store may be down.
const RETRY_TIME: Duration = Duration::from_secs(1);

/// Shortest commit interval.
const LEAST_INTERVAL: Duration = Duration::from_millis(50);

/// Share of the commit interval per daemon: with it all daemons together
/// write 160 batches per second, under half of the store's 400 writes.
const INTERVAL_PER_DAEMON: Duration = Duration::from_micros(6_250);

/// Commit intervals that a record may wait for which nobody waits: 1.2 s at 48
/// daemons, where it mostly goes along with an earlier commit.
const DEFERRED_INTERVALS: u32 = 4;

/// Segments and bytes of segments between two snapshots. A snapshot of a pool
/// with 10,000 ended tasks to show is about 340 KB in base64, so at 1.4
/// commits per second one in 49 minutes costs 0.1 KB/s; a takeover reads up to
/// 4 MB.
const SNAPSHOT_SEGMENTS: usize = 4_096;
const SNAPSHOT_BYTES: usize = 2 << 20;

/// Times and sizes of group commits.
#[derive(Clone, Copy, Debug)]
pub struct JournalConfig {
    /// Mean time between two batches, which keeps the daemon's write share,
    /// and the longest time that a prompt record waits for others.
    pub commit_interval: Duration,
    /// The longest time that a deferred record waits for others.
    pub deferred_interval: Duration,
    /// Batches that may follow each other without the interval after a quiet
    /// time; with one, the interval is the least time between two batches.
    pub commit_credit: u32,
    /// Largest batch in bytes; the store holds values up to 1 MB.
    pub batch_bytes: usize,
    /// Bytes that may wait, the batch under way included.
    pub pending_bytes: usize,
    /// Segments of a shard beyond which a snapshot is taken. Each snapshot
    /// sends the whole state of the shard.
    pub snapshot_segments: usize,
    /// Bytes of segments beyond which a snapshot is taken.
    pub snapshot_bytes: usize,
}

impl JournalConfig {
    /// Returns the configuration for a number of daemons on one store.
    #[must_use]
    pub fn for_daemons(daemons: u32) -> Self {
        Self::for_interval(LEAST_INTERVAL.max(INTERVAL_PER_DAEMON * daemons))
    }

    /// Returns the configuration for a commit interval.
    #[must_use]
    pub fn for_interval(commit_interval: Duration) -> Self {
        Self {
            commit_interval,
            deferred_interval: commit_interval * DEFERRED_INTERVALS,
            commit_credit: 1,
            batch_bytes: 512 << 10,
            pending_bytes: 4 << 20,
            snapshot_segments: SNAPSHOT_SEGMENTS,
            snapshot_bytes: SNAPSHOT_BYTES,
        }
    }

    const fn delay(&self, urgency: RecordUrgency) -> Duration {
        match urgency {
            RecordUrgency::Deferred => self.deferred_interval,
            RecordUrgency::Prompt => self.commit_interval,
            RecordUrgency::Immediate => Duration::ZERO,
        }
    }
}

/// The records of one owned shard.
#[derive(Clone, Debug)]
struct ShardLog {
    epoch: Epoch,
    assigned: u64,
    durable: u64,
    pending: VecDeque<(RecordId, JournalRecord)>,
    compactor: SegmentCompactor,
}

/// A segment of the batch under way with the records that wait for it.
#[derive(Clone, Debug)]
struct SentSegment {
    write: SegmentWrite,
    records: Vec<RecordId>,
    bytes: usize,
}

/// The batch under way.
#[derive(Clone, Debug)]
struct SentBatch {
    number: BatchNumber,
    segments: Vec<SentSegment>,
    /// Whether a response was ever lost, so that the batch may have taken
    /// effect.
    uncertain: bool,
    read_back_at: Option<Duration>,
}

/// Collects the records of all owned shards and writes them in batches.
#[derive(Clone, Debug)]
pub struct RecordLog<C> {
    daemon: DaemonId,
    config: JournalConfig,
    codec: C,
    shards: BTreeMap<ShardName, ShardLog>,
    sent: Option<SentBatch>,
    /// The shard after which the next batch begins, so that a busy shard does
    /// not keep others out of full batches.
    last_served: Option<ShardName>,
    pending_bytes: usize,
    next_record: RecordId,
    next_batch: BatchNumber,
    /// The greatest urgency of the records appended since the last event.
    arrived: Option<RecordUrgency>,
    /// When the pending records have waited long enough.
    due: Option<Duration>,
    /// When the batches so far are paid for at one per interval.
    paid_at: Duration,
}

impl<C: JournalCodec> RecordLog<C> {
    /// Returns a log without shards.
    #[must_use]
    pub const fn new(daemon: DaemonId, config: JournalConfig, codec: C) -> Self {
        Self {
            daemon,
            config,
            codec,
            shards: BTreeMap::new(),
            sent: None,
            last_served: None,
            pending_bytes: 0,
            next_record: 1,
            next_batch: 1,
            arrived: None,
            due: None,
            paid_at: Duration::ZERO,
        }
    }

    /// Changes the times and sizes for the batches to come.
    pub const fn set_config(&mut self, config: JournalConfig) {
        self.config = config;
    }

    /// Takes over a record with the urgency of its kind. See
    /// [`append_with`](Self::append_with).
    ///
    /// # Errors
    ///
    /// Returns an error, and takes nothing over, if the shard is not open, the
    /// record exceeds a batch or too many bytes wait.
    pub fn append(
        &mut self,
        shard: &ShardName,
        record: JournalRecord,
    ) -> Result<RecordId, JournalError> {
        let urgency = record.kind.urgency();
        self.append_with(shard, record, urgency)
    }

    /// Takes over a record for a batch, which the next event may send.
    /// [`JournalAction::Durable`] or [`JournalAction::Failed`] follows with the
    /// identifier returned.
    ///
    /// # Errors
    ///
    /// Returns an error, and takes nothing over, if the shard is not open, the
    /// record exceeds a batch or too many bytes wait.
    pub fn append_with(
        &mut self,
        shard: &ShardName,
        record: JournalRecord,
        urgency: RecordUrgency,
    ) -> Result<RecordId, JournalError> {
        let log = self.shards.get_mut(shard).context(NotOpenSnafu)?;
        let bytes = record_bytes(&record);
        ensure!(
            bytes + SEGMENT_OVERHEAD <= self.config.batch_bytes,
            RecordTooLargeSnafu {
                bytes: record.payload.len()
            }
        );
        ensure!(
            self.pending_bytes + bytes <= self.config.pending_bytes,
            BacklogSnafu
        );
        let id = self.next_record;
        self.next_record += 1;
        self.pending_bytes += bytes;
        log.pending.push_back((id, record));
        self.arrived = self.arrived.max(Some(urgency));
        Ok(id)
    }

    /// Returns the bytes that wait for a commit.
    #[must_use]
    pub const fn pending_bytes(&self) -> usize {
        self.pending_bytes
    }

    /// Tells whether all records of a shard are in the store.
    #[must_use]
    pub fn is_flushed(&self, shard: &ShardName) -> bool {
        self.shards
            .get(shard)
            .is_none_or(|log| log.pending.is_empty() && log.durable == log.assigned)
    }

    /// Applies an event and returns what is to be done.
    pub fn handle(&mut self, event: JournalEvent, now: Duration) -> Vec<JournalAction> {
        let mut actions = Vec::new();
        match event {
            JournalEvent::Opened {
                shard,
                epoch,
                manifest,
                keys,
            } => {
                self.close(&shard, &mut actions);
                let compactor = SegmentCompactor::new(shard.clone(), epoch, manifest, keys);
                self.shards.insert(shard, ShardLog::new(epoch, compactor));
            }
            JournalEvent::Closed(shard) => self.close(&shard, &mut actions),
            JournalEvent::Committed(number) => self.finish(number, &mut actions),
            JournalEvent::GuardFailed(number, fenced) => {
                self.drop_fenced(number, &fenced, now, &mut actions);
            }
            JournalEvent::ResponseLost(number) => self.note_lost(number, now),
            JournalEvent::ReadBack(number, value) => {
                self.note_read(number, value.as_deref(), &mut actions);
            }
            JournalEvent::FlushRequested => self.arrived = Some(RecordUrgency::Immediate),
            snapshot => self.note_snapshot(snapshot, now, &mut actions),
        }
        self.read_back(now, &mut actions);
        self.commit(now, &mut actions);
        self.write_snapshots(now, &mut actions);
        actions
    }

    fn note_snapshot(
        &mut self,
        event: JournalEvent,
        now: Duration,
        actions: &mut Vec<JournalAction>,
    ) {
        match event {
            JournalEvent::SnapshotTaken(shard, epoch, parts) => {
                self.start_snapshot(&shard, epoch, parts);
            }
            JournalEvent::PartWritten(shard, key) => {
                if let Some(log) = self.shards.get_mut(&shard) {
                    log.compactor.note_part(key);
                }
            }
            JournalEvent::SnapshotWriteLost(shard) => {
                if let Some(log) = self.shards.get_mut(&shard) {
                    log.compactor.note_lost(now);
                }
            }
            JournalEvent::ManifestAnswered(shard, epoch, current) => {
                if let Some(log) = self.open_log(&shard, epoch) {
                    actions.extend(log.compactor.note_manifest(current, now));
                }
            }
            _ => {}
        }
    }

    fn open_log(&mut self, shard: &ShardName, epoch: Epoch) -> Option<&mut ShardLog> {
        self.shards.get_mut(shard).filter(|log| log.epoch == epoch)
    }

    /// Fails the records of a shard that is no longer owned.
    fn close(&mut self, shard: &ShardName, actions: &mut Vec<JournalAction>) {
        let Some(log) = self.shards.remove(shard) else {
            return;
        };
        let bytes: usize = log
            .pending
            .iter()
            .map(|(_, record)| record_bytes(record))
            .sum();
        self.pending_bytes -= bytes;
        let pending = log.pending.into_iter().map(|(id, _)| id).collect();
        fail(pending, false, actions);
        let segments = self.sent.iter_mut().flat_map(|batch| &mut batch.segments);
        for segment in segments.filter(|segment| segment.write.shard == *shard) {
            fail(std::mem::take(&mut segment.records), true, actions);
        }
    }

    fn has_pending(&self) -> bool {
        self.shards.values().any(|log| !log.pending.is_empty())
    }

    /// Returns whether records wait that have waited long enough, or fill a
    /// batch.
    fn is_due(&mut self, now: Duration) -> bool {
        if let Some(urgency) = self.arrived.take() {
            let due = now + self.config.delay(urgency);
            self.due = Some(self.due.map_or(due, |earlier| earlier.min(due)));
        }
        if !self.has_pending() {
            self.due = None;
        }
        let full = self.pending_bytes >= self.config.batch_bytes;
        self.due.is_some_and(|due| full || now >= due)
    }

    /// Sends the next batch when it is due, the write share permits it and none
    /// is under way.
    fn commit(&mut self, now: Duration, actions: &mut Vec<JournalAction>) {
        let due = self.is_due(now);
        let interval = self.config.commit_interval;
        let credit = interval * self.config.commit_credit.saturating_sub(1);
        if self.sent.is_some() || now + credit < self.paid_at || !due {
            return;
        }
        self.paid_at = self.paid_at.max(now) + interval;
        let segments = self.take_segments();
        // Records that did not fit have waited long enough as well.
        self.due = self.has_pending().then_some(now);
        self.send(segments, false, actions);
    }

    fn send(
        &mut self,
        segments: Vec<SentSegment>,
        uncertain: bool,
        actions: &mut Vec<JournalAction>,
    ) {
        if segments.is_empty() {
            return;
        }
        let number = self.next_batch;
        self.next_batch += 1;
        actions.push(JournalAction::Commit(JournalBatch {
            number,
            segments: segments.iter().map(|sent| sent.write.clone()).collect(),
        }));
        self.sent = Some(SentBatch {
            number,
            segments,
            uncertain,
            read_back_at: None,
        });
    }

    /// Takes records from the dirty shards in turn until the batch is full.
    fn take_segments(&mut self) -> Vec<SentSegment> {
        let mut segments = Vec::new();
        let mut room = self.config.batch_bytes;
        for shard in self.serving_order() {
            let Some(log) = self.shards.get_mut(&shard) else {
                continue;
            };
            let taken = log.take_records(room);
            if let Some(segment) = log.seal(&self.daemon, &shard, &self.codec, taken) {
                room = room.saturating_sub(segment.bytes + SEGMENT_OVERHEAD);
                segments.push(segment);
                self.last_served = Some(shard);
            }
        }
        segments
    }

    fn serving_order(&self) -> Vec<ShardName> {
        let (before, after): (Vec<_>, Vec<_>) = self
            .shards
            .keys()
            .cloned()
            .partition(|shard| Some(shard) <= self.last_served.as_ref());
        after.into_iter().chain(before).collect()
    }

    fn take_sent(&mut self, number: BatchNumber) -> Option<SentBatch> {
        self.sent.take_if(|batch| batch.number == number)
    }

    fn finish(&mut self, number: BatchNumber, actions: &mut Vec<JournalAction>) {
        let Some(batch) = self.take_sent(number) else {
            return;
        };
        for segment in batch.segments {
            self.pending_bytes -= segment.bytes;
            if !segment.records.is_empty() {
                actions.push(JournalAction::Durable(segment.records));
            }
            let (position, bytes) = (segment.write.position, segment.write.value.len());
            let config = self.config;
            if let Some(log) = self.open_log(&segment.write.shard, position.epoch) {
                log.durable = position.sequence;
                log.compactor.note_segment(position, bytes);
                actions.extend(log.compactor.ask_snapshot(&config));
            }
        }
    }

    /// Drops the segments of fenced shards and sends the others again
    /// unchanged. A failed guard without a shard is resolved like a lost
    /// response.
    fn drop_fenced(
        &mut self,
        number: BatchNumber,
        fenced: &BTreeSet<ShardName>,
        now: Duration,
        actions: &mut Vec<JournalAction>,
    ) {
        if fenced.is_empty() {
            return self.note_lost(number, now);
        }
        let Some(batch) = self.take_sent(number) else {
            return;
        };
        let (lost, kept): (Vec<_>, Vec<_>) = batch
            .segments
            .into_iter()
            .partition(|segment| fenced.contains(&segment.write.shard));
        for segment in lost {
            self.pending_bytes -= segment.bytes;
            fail(segment.records, batch.uncertain, actions);
            let (shard, epoch) = (segment.write.shard, segment.write.position.epoch);
            if self.open_log(&shard, epoch).is_some() {
                self.close(&shard, actions);
            }
            actions.push(JournalAction::Fenced(shard, epoch));
        }
        self.send(kept, batch.uncertain, actions);
    }

    fn note_lost(&mut self, number: BatchNumber, now: Duration) {
        let batch = self.sent.as_mut().filter(|batch| batch.number == number);
        if let Some(batch) = batch {
            let wait = if batch.uncertain {
                RETRY_TIME
            } else {
                Duration::ZERO
            };
            batch.uncertain = true;
            batch.read_back_at = Some(now + wait);
        }
    }

    fn read_back(&mut self, now: Duration, actions: &mut Vec<JournalAction>) {
        let Some(batch) = &mut self.sent else { return };
        if batch.read_back_at.is_some_and(|at| now >= at) {
            batch.read_back_at = None;
            let write = &batch.segments[0].write;
            let (shard, position) = (write.shard.clone(), write.position);
            actions.push(JournalAction::ReadBack(batch.number, shard, position));
        }
    }

    /// A transaction takes effect as a whole, so one segment tells of all. The
    /// batch that did not take effect is sent again unchanged.
    fn note_read(
        &mut self,
        number: BatchNumber,
        value: Option<&[u8]>,
        actions: &mut Vec<JournalAction>,
    ) {
        let batch = self.sent.as_ref().filter(|batch| batch.number == number);
        let expected = batch.map(|batch| batch.segments[0].write.value.as_slice());
        match (expected, value) {
            (None, _) => {}
            (expected, found) if expected == found => self.finish(number, actions),
            _ => {
                if let Some(batch) = self.take_sent(number) {
                    self.send(batch.segments, true, actions);
                }
            }
        }
    }

    fn start_snapshot(&mut self, shard: &ShardName, epoch: Epoch, parts: Vec<Vec<JournalRecord>>) {
        let (codec, daemon) = (&self.codec, &self.daemon);
        let log = self.shards.get_mut(shard).filter(|log| log.epoch == epoch);
        let Some(log) = log else { return };
        let mut sealed = Vec::new();
        for (index, records) in (0..).zip(parts) {
            let key = log.compactor.part_key(index);
            let body = SegmentBody {
                shard: shard.clone(),
                daemon: daemon.clone(),
                key,
                records,
            };
            sealed.push((key, encode_envelope(&codec.encode_segment(&body))));
        }
        let cut = log.pending.back().map(|(id, _)| *id);
        log.compactor.start(sealed, cut, log.assigned);
    }

    fn write_snapshots(&mut self, now: Duration, actions: &mut Vec<JournalAction>) {
        for log in self.shards.values_mut() {
            actions.extend(log.compactor.next_write(&self.codec, log.durable, now));
        }
    }
}

impl ShardLog {
    const fn new(epoch: Epoch, compactor: SegmentCompactor) -> Self {
        Self {
            epoch,
            assigned: 0,
            durable: 0,
            pending: VecDeque::new(),
            compactor,
        }
    }

    /// Takes the oldest records that fit, up to the cut of a snapshot.
    fn take_records(&mut self, room: usize) -> Vec<(RecordId, JournalRecord)> {
        let cut = self.compactor.cut().unwrap_or(RecordId::MAX);
        let mut room = room.saturating_sub(SEGMENT_OVERHEAD);
        let mut taken = Vec::new();
        while let Some((id, record)) = self.pending.front()
            && *id <= cut
            && record_bytes(record) <= room
        {
            room -= record_bytes(record);
            taken.extend(self.pending.pop_front());
        }
        taken
    }

    fn seal<C: JournalCodec>(
        &mut self,
        daemon: &DaemonId,
        shard: &ShardName,
        codec: &C,
        taken: Vec<(RecordId, JournalRecord)>,
    ) -> Option<SentSegment> {
        let last = taken.last()?.0;
        self.assigned += 1;
        if self.compactor.cut() == Some(last) {
            self.compactor.set_cut_segment(self.assigned);
        }
        let position = SegmentPosition {
            epoch: self.epoch,
            sequence: self.assigned,
        };
        let bytes = taken.iter().map(|(_, record)| record_bytes(record)).sum();
        let (ids, records) = taken.into_iter().unzip();
        let body = SegmentBody {
            shard: shard.clone(),
            daemon: daemon.clone(),
            key: JournalKey::Segment(position),
            records,
        };
        let write = SegmentWrite {
            shard: shard.clone(),
            position,
            value: encode_envelope(&codec.encode_segment(&body)),
        };
        Some(SentSegment {
            write,
            records: ids,
            bytes,
        })
    }
}

fn record_bytes(record: &JournalRecord) -> usize {
    record.payload.len() + RECORD_OVERHEAD
}

fn fail(records: Vec<RecordId>, maybe_written: bool, actions: &mut Vec<JournalAction>) {
    if !records.is_empty() {
        actions.push(JournalAction::Failed {
            records,
            maybe_written,
        });
    }
}
