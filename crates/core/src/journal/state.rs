//! The record log of one daemon, which groups the records of all its shards into
//! commits.

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

/// Allowance for the encoded size of a record beyond its payload.
const RECORD_OVERHEAD_BYTES: usize = 24;

/// Allowance for the size of a segment beyond its records: names, envelope and
/// guard.
const SEGMENT_OVERHEAD_BYTES: usize = 256;

/// Delay between attempts to read a batch back; the store may be down.
const READ_BACK_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Lower bound of the commit interval, however few daemons there are.
const MIN_COMMIT_INTERVAL: Duration = Duration::from_millis(50);

/// Commit interval per daemon of the cell. All daemons together write at most 160
/// batches per second, under half of the store's 400 writes per second.
const COMMIT_INTERVAL_PER_DAEMON: Duration = Duration::from_micros(6_250);

/// Commit intervals for which a deferred record may wait: 1.2 s at 48 daemons, so
/// that it usually shares a commit with a prompt record.
const DEFERRED_COMMIT_INTERVALS: u32 = 4;

/// Number of segments after which a snapshot is taken. A snapshot of a pool that
/// lists 10,000 ended tasks is about 340 KB in base64. At 1.4 commits per second
/// there is one in 49 minutes, which costs 0.1 KB/s.
const SNAPSHOT_SEGMENTS: usize = 4_096;

/// Total size of the segments after which a snapshot is taken, so that a takeover
/// reads at most 4 MB.
const SNAPSHOT_BYTES: usize = 2 << 20;

/// Intervals and size limits of group commits and snapshots.
#[derive(Clone, Copy, Debug)]
pub struct JournalConfig {
    /// Minimum mean time between two batches, which bounds this daemon's share of
    /// the store's write rate, and the maximum time for which a prompt record
    /// waits.
    pub commit_interval: Duration,
    /// Maximum time for which a deferred record waits for further records.
    pub deferred_interval: Duration,
    /// Maximum number of batches in a burst after an idle period. With one, the
    /// interval is the minimum time between two batches.
    pub commit_credit: u32,
    /// Maximum size of a batch; the store accepts values of up to 1 MB.
    pub max_batch_bytes: usize,
    /// Maximum size of all uncommitted records, the batch in flight included.
    pub max_pending_bytes: usize,
    /// Number of segments of a shard above which a snapshot is taken. Each
    /// snapshot writes the whole state of the shard.
    pub snapshot_segments: usize,
    /// Total size of the segments of a shard above which a snapshot is taken.
    pub snapshot_bytes: usize,
}

impl JournalConfig {
    /// Returns the configuration of one of `daemons` daemons that share a store.
    #[must_use]
    pub fn for_daemons(daemons: u32) -> Self {
        Self::for_interval(MIN_COMMIT_INTERVAL.max(COMMIT_INTERVAL_PER_DAEMON * daemons))
    }

    /// Returns the configuration with the given commit interval.
    #[must_use]
    pub fn for_interval(commit_interval: Duration) -> Self {
        Self {
            commit_interval,
            deferred_interval: commit_interval * DEFERRED_COMMIT_INTERVALS,
            commit_credit: 1,
            max_batch_bytes: 512 << 10,
            max_pending_bytes: 4 << 20,
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

/// The journal of one owned shard.
#[derive(Clone, Debug)]
struct ShardLog {
    epoch: Epoch,
    /// Sequence number of the last segment that was sent.
    last_assigned: u64,
    /// Sequence number of the last segment that is in the store.
    last_durable: u64,
    pending: VecDeque<(RecordId, JournalRecord)>,
    compactor: SegmentCompactor,
}

/// A segment of the batch in flight, with the records that it holds.
#[derive(Clone, Debug)]
struct SentSegment {
    write: SegmentWrite,
    record_ids: Vec<RecordId>,
    bytes: usize,
}

/// The batch in flight.
#[derive(Clone, Debug)]
struct SentBatch {
    number: BatchNumber,
    segments: Vec<SentSegment>,
    /// Whether a response was lost, so that the batch may have been committed.
    is_uncertain: bool,
    /// When the batch is read back; `None` while a response is awaited.
    read_back_at: Option<Duration>,
}

/// Collects the records of all owned shards and commits them in batches.
#[derive(Clone, Debug)]
pub struct RecordLog<C> {
    daemon: DaemonId,
    config: JournalConfig,
    codec: C,
    shards: BTreeMap<ShardName, ShardLog>,
    /// The batch in flight, if any.
    sent: Option<SentBatch>,
    /// The shard after which the next batch continues, so that a busy shard does
    /// not crowd the others out of full batches.
    last_served: Option<ShardName>,
    pending_bytes: usize,
    next_record_id: RecordId,
    next_batch_number: BatchNumber,
    /// The greatest urgency among the records appended since the last event.
    appended_urgency: Option<RecordUrgency>,
    /// When the pending records are due, by the most urgent of them.
    commit_due_at: Option<Duration>,
    /// Until when the batches sent so far use up the write rate of one batch per
    /// commit interval.
    share_used_until: Duration,
}

impl<C: JournalCodec> RecordLog<C> {
    /// Returns a log without open shards.
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
            next_record_id: 1,
            next_batch_number: 1,
            appended_urgency: None,
            commit_due_at: None,
            share_used_until: Duration::ZERO,
        }
    }

    /// Replaces the configuration; it applies from the next batch on.
    pub const fn set_config(&mut self, config: JournalConfig) {
        self.config = config;
    }

    /// Appends a record with the default urgency of its kind. See
    /// [`append_with`](Self::append_with).
    ///
    /// # Errors
    ///
    /// Returns an error, and appends nothing, if the shard is not open, the
    /// record exceeds the size of a batch or too many bytes are pending.
    pub fn append(
        &mut self,
        shard: &ShardName,
        record: JournalRecord,
    ) -> Result<RecordId, JournalError> {
        let urgency = record.kind.urgency();
        self.append_with(shard, record, urgency)
    }

    /// Appends a record with the given urgency. The next call of
    /// [`handle`](Self::handle) sends it at the earliest; the returned identifier
    /// is reported later in [`JournalAction::Durable`] or
    /// [`JournalAction::Failed`].
    ///
    /// # Errors
    ///
    /// Returns an error, and appends nothing, if the shard is not open, the
    /// record exceeds the size of a batch or too many bytes are pending.
    pub fn append_with(
        &mut self,
        shard: &ShardName,
        record: JournalRecord,
        urgency: RecordUrgency,
    ) -> Result<RecordId, JournalError> {
        let log = self.shards.get_mut(shard).context(NotOpenSnafu)?;
        let bytes = record_bytes(&record);
        ensure!(
            bytes + SEGMENT_OVERHEAD_BYTES <= self.config.max_batch_bytes,
            RecordTooLargeSnafu {
                bytes: record.payload.len()
            }
        );
        ensure!(
            self.pending_bytes + bytes <= self.config.max_pending_bytes,
            BacklogSnafu
        );
        let id = self.next_record_id;
        self.next_record_id += 1;
        self.pending_bytes += bytes;
        log.pending.push_back((id, record));
        self.appended_urgency = self.appended_urgency.max(Some(urgency));
        Ok(id)
    }

    /// Returns the size of all uncommitted records in bytes.
    #[must_use]
    pub const fn pending_bytes(&self) -> usize {
        self.pending_bytes
    }

    /// Returns whether all records of a shard are in the store.
    #[must_use]
    pub fn is_flushed(&self, shard: &ShardName) -> bool {
        self.shards
            .get(shard)
            .is_none_or(|log| log.pending.is_empty() && log.last_durable == log.last_assigned)
    }

    /// Applies an event and returns the resulting actions.
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
            JournalEvent::Committed(number) => self.complete_batch(number, &mut actions),
            JournalEvent::GuardFailed(number, fenced) => {
                self.drop_fenced(number, &fenced, now, &mut actions);
            }
            JournalEvent::ResponseLost(number) => self.schedule_read_back(number, now),
            JournalEvent::ReadBack(number, value) => {
                self.apply_read_back(number, value.as_deref(), &mut actions);
            }
            JournalEvent::FlushRequested => self.appended_urgency = Some(RecordUrgency::Immediate),
            snapshot => self.apply_snapshot_event(snapshot, now, &mut actions),
        }
        self.request_read_back(now, &mut actions);
        self.commit_if_due(now, &mut actions);
        self.write_snapshots(now, &mut actions);
        actions
    }

    fn apply_snapshot_event(
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
                    log.compactor.record_part_written(key);
                }
            }
            JournalEvent::SnapshotWriteLost(shard) => {
                if let Some(log) = self.shards.get_mut(&shard) {
                    log.compactor.schedule_retry(now);
                }
            }
            JournalEvent::ManifestAnswered(shard, epoch, current) => {
                if let Some(log) = self.open_log(&shard, epoch) {
                    actions.extend(log.compactor.apply_manifest(current, now));
                }
            }
            _ => {}
        }
    }

    fn open_log(&mut self, shard: &ShardName, epoch: Epoch) -> Option<&mut ShardLog> {
        self.shards.get_mut(shard).filter(|log| log.epoch == epoch)
    }

    /// Closes a shard that is no longer owned, and fails its records.
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
        push_failed(pending, false, actions);
        let segments = self.sent.iter_mut().flat_map(|batch| &mut batch.segments);
        for segment in segments.filter(|segment| segment.write.shard == *shard) {
            push_failed(std::mem::take(&mut segment.record_ids), true, actions);
        }
    }

    fn has_pending(&self) -> bool {
        self.shards.values().any(|log| !log.pending.is_empty())
    }

    /// Returns whether pending records have reached their maximum waiting time or
    /// fill a batch.
    fn is_due(&mut self, now: Duration) -> bool {
        if let Some(urgency) = self.appended_urgency.take() {
            let due = now + self.config.delay(urgency);
            self.commit_due_at = Some(self.commit_due_at.map_or(due, |earlier| earlier.min(due)));
        }
        if !self.has_pending() {
            self.commit_due_at = None;
        }
        let is_full = self.pending_bytes >= self.config.max_batch_bytes;
        self.commit_due_at.is_some_and(|due| is_full || now >= due)
    }

    /// Sends the next batch if it is due, the write rate permits it and no batch
    /// is in flight.
    fn commit_if_due(&mut self, now: Duration, actions: &mut Vec<JournalAction>) {
        let due = self.is_due(now);
        let interval = self.config.commit_interval;
        let credit = interval * self.config.commit_credit.saturating_sub(1);
        if self.sent.is_some() || now + credit < self.share_used_until || !due {
            return;
        }
        self.share_used_until = self.share_used_until.max(now) + interval;
        let segments = self.take_segments();
        // Records that did not fit into the batch are due as well.
        self.commit_due_at = self.has_pending().then_some(now);
        self.send(segments, false, actions);
    }

    /// Sends segments as the batch in flight.
    fn send(
        &mut self,
        segments: Vec<SentSegment>,
        is_uncertain: bool,
        actions: &mut Vec<JournalAction>,
    ) {
        if segments.is_empty() {
            return;
        }
        let number = self.next_batch_number;
        self.next_batch_number += 1;
        actions.push(JournalAction::Commit(JournalBatch {
            number,
            segments: segments
                .iter()
                .map(|segment| segment.write.clone())
                .collect(),
        }));
        self.sent = Some(SentBatch {
            number,
            segments,
            is_uncertain,
            read_back_at: None,
        });
    }

    /// Takes records from the shards in round-robin order until the batch is full.
    fn take_segments(&mut self) -> Vec<SentSegment> {
        let mut segments = Vec::new();
        let mut free_bytes = self.config.max_batch_bytes;
        for shard in self.round_robin_order() {
            let Some(log) = self.shards.get_mut(&shard) else {
                continue;
            };
            let taken = log.take_records(free_bytes);
            if let Some(segment) = log.build_segment(&self.daemon, &shard, &self.codec, taken) {
                free_bytes = free_bytes.saturating_sub(segment.bytes + SEGMENT_OVERHEAD_BYTES);
                segments.push(segment);
                self.last_served = Some(shard);
            }
        }
        segments
    }

    fn round_robin_order(&self) -> Vec<ShardName> {
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

    fn complete_batch(&mut self, number: BatchNumber, actions: &mut Vec<JournalAction>) {
        let Some(batch) = self.take_sent(number) else {
            return;
        };
        for segment in batch.segments {
            self.pending_bytes -= segment.bytes;
            if !segment.record_ids.is_empty() {
                actions.push(JournalAction::Durable(segment.record_ids));
            }
            let (position, bytes) = (segment.write.position, segment.write.value.len());
            let config = self.config;
            if let Some(log) = self.open_log(&segment.write.shard, position.epoch) {
                log.last_durable = position.sequence;
                log.compactor.record_segment(position, bytes);
                actions.extend(log.compactor.request_snapshot(&config));
            }
        }
    }

    /// Drops the segments of fenced shards and sends the others again unchanged.
    /// If no shard is named, the failure is resolved like a lost response.
    fn drop_fenced(
        &mut self,
        number: BatchNumber,
        fenced: &BTreeSet<ShardName>,
        now: Duration,
        actions: &mut Vec<JournalAction>,
    ) {
        if fenced.is_empty() {
            return self.schedule_read_back(number, now);
        }
        let Some(batch) = self.take_sent(number) else {
            return;
        };
        let (dropped, kept): (Vec<_>, Vec<_>) = batch
            .segments
            .into_iter()
            .partition(|segment| fenced.contains(&segment.write.shard));
        for segment in dropped {
            self.pending_bytes -= segment.bytes;
            push_failed(segment.record_ids, batch.is_uncertain, actions);
            let (shard, epoch) = (segment.write.shard, segment.write.position.epoch);
            if self.open_log(&shard, epoch).is_some() {
                self.close(&shard, actions);
            }
            actions.push(JournalAction::Fenced(shard, epoch));
        }
        self.send(kept, batch.is_uncertain, actions);
    }

    /// Schedules a read-back of a batch whose response was lost: at once after
    /// the first loss, later with a delay.
    fn schedule_read_back(&mut self, number: BatchNumber, now: Duration) {
        let batch = self.sent.as_mut().filter(|batch| batch.number == number);
        if let Some(batch) = batch {
            let wait = if batch.is_uncertain {
                READ_BACK_RETRY_DELAY
            } else {
                Duration::ZERO
            };
            batch.is_uncertain = true;
            batch.read_back_at = Some(now + wait);
        }
    }

    fn request_read_back(&mut self, now: Duration, actions: &mut Vec<JournalAction>) {
        let Some(batch) = &mut self.sent else { return };
        if batch.read_back_at.is_some_and(|at| now >= at) {
            batch.read_back_at = None;
            let write = &batch.segments[0].write;
            let (shard, position) = (write.shard.clone(), write.position);
            actions.push(JournalAction::ReadBack(batch.number, shard, position));
        }
    }

    /// Resolves a batch by its first segment, as a transaction takes effect as a
    /// whole. A batch that did not take effect is sent again unchanged.
    fn apply_read_back(
        &mut self,
        number: BatchNumber,
        value: Option<&[u8]>,
        actions: &mut Vec<JournalAction>,
    ) {
        let batch = self.sent.as_ref().filter(|batch| batch.number == number);
        let expected = batch.map(|batch| batch.segments[0].write.value.as_slice());
        match (expected, value) {
            (None, _) => {}
            (expected, found) if expected == found => self.complete_batch(number, actions),
            _ => {
                if let Some(batch) = self.take_sent(number) {
                    self.send(batch.segments, true, actions);
                }
            }
        }
    }

    /// Encodes the parts of a snapshot and starts writing them. The snapshot
    /// covers all records that are pending or already in segments.
    fn start_snapshot(&mut self, shard: &ShardName, epoch: Epoch, parts: Vec<Vec<JournalRecord>>) {
        let (codec, daemon) = (&self.codec, &self.daemon);
        let log = self.shards.get_mut(shard).filter(|log| log.epoch == epoch);
        let Some(log) = log else { return };
        let mut encoded_parts = Vec::new();
        for (index, records) in (0..).zip(parts) {
            let key = log.compactor.part_key(index);
            let body = SegmentBody {
                shard: shard.clone(),
                daemon: daemon.clone(),
                key,
                records,
            };
            encoded_parts.push((key, encode_envelope(&codec.encode_segment(&body))));
        }
        let last_covered_record = log.pending.back().map(|(id, _)| *id);
        log.compactor
            .start(encoded_parts, last_covered_record, log.last_assigned);
    }

    fn write_snapshots(&mut self, now: Duration, actions: &mut Vec<JournalAction>) {
        for log in self.shards.values_mut() {
            actions.extend(log.compactor.next_write(&self.codec, log.last_durable, now));
        }
    }
}

impl ShardLog {
    const fn new(epoch: Epoch, compactor: SegmentCompactor) -> Self {
        Self {
            epoch,
            last_assigned: 0,
            last_durable: 0,
            pending: VecDeque::new(),
            compactor,
        }
    }

    /// Takes the oldest records that fit, up to the last record that the snapshot
    /// in progress covers.
    fn take_records(&mut self, free_bytes: usize) -> Vec<(RecordId, JournalRecord)> {
        let last_covered_record = self
            .compactor
            .last_covered_record()
            .unwrap_or(RecordId::MAX);
        let mut free_bytes = free_bytes.saturating_sub(SEGMENT_OVERHEAD_BYTES);
        let mut taken = Vec::new();
        while let Some((id, record)) = self.pending.front()
            && *id <= last_covered_record
            && record_bytes(record) <= free_bytes
        {
            free_bytes -= record_bytes(record);
            taken.extend(self.pending.pop_front());
        }
        taken
    }

    /// Builds the next segment from records; `None` without records.
    fn build_segment<C: JournalCodec>(
        &mut self,
        daemon: &DaemonId,
        shard: &ShardName,
        codec: &C,
        taken: Vec<(RecordId, JournalRecord)>,
    ) -> Option<SentSegment> {
        let last = taken.last()?.0;
        self.last_assigned += 1;
        if self.compactor.last_covered_record() == Some(last) {
            self.compactor.set_last_covered_segment(self.last_assigned);
        }
        let position = SegmentPosition {
            epoch: self.epoch,
            sequence: self.last_assigned,
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
            record_ids: ids,
            bytes,
        })
    }
}

fn record_bytes(record: &JournalRecord) -> usize {
    record.payload.len() + RECORD_OVERHEAD_BYTES
}

fn push_failed(records: Vec<RecordId>, maybe_written: bool, actions: &mut Vec<JournalAction>) {
    if !records.is_empty() {
        actions.push(JournalAction::Failed {
            records,
            maybe_written,
        });
    }
}
