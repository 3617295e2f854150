//! Compaction of a shard's segments into a snapshot.

use std::{collections::BTreeMap, time::Duration};

use super::{
    messages::{JournalAction, JournalKey, RecordId, SegmentPosition, SnapshotManifest},
    state::JournalConfig,
    value::{JournalCodec, encode_envelope},
};
use crate::types::{Epoch, ShardName};

/// Delay before a snapshot write whose response was lost is repeated.
const WRITE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// A snapshot that is being written.
#[derive(Clone, Debug)]
struct SnapshotJob {
    parts: Vec<(JournalKey, Vec<u8>)>,
    written_parts: usize,
    /// The last record that the snapshot covers, until the segment that ends with
    /// it is assigned a sequence number.
    last_covered_record: Option<RecordId>,
    /// The last segment that the snapshot covers.
    covered_sequence: u64,
    /// The encoded manifest, once its write was requested.
    manifest: Option<Vec<u8>>,
    /// When the next write is due; `None` while one is in flight.
    retry_at: Option<Duration>,
}

/// Writes the snapshots of one shard and tracks its keys in the store.
#[derive(Clone, Debug)]
pub(super) struct SegmentCompactor {
    shard: ShardName,
    epoch: Epoch,
    /// The encoded manifest in the store.
    manifest: Option<Vec<u8>>,
    /// The other keys in the store with the sizes of their values in bytes.
    stored_keys: BTreeMap<JournalKey, usize>,
    job: Option<SnapshotJob>,
    snapshot_number: u64,
    is_snapshot_requested: bool,
}

impl SegmentCompactor {
    pub(super) fn new(
        shard: ShardName,
        epoch: Epoch,
        manifest: Option<Vec<u8>>,
        stored_keys: Vec<(JournalKey, usize)>,
    ) -> Self {
        Self {
            shard,
            epoch,
            manifest,
            stored_keys: stored_keys.into_iter().collect(),
            job: None,
            snapshot_number: 0,
            is_snapshot_requested: false,
        }
    }

    pub(super) fn record_segment(&mut self, position: SegmentPosition, bytes: usize) {
        self.stored_keys
            .insert(JournalKey::Segment(position), bytes);
    }

    /// Requests a snapshot when the number or the total size of the segments
    /// exceeds its threshold.
    pub(super) fn request_snapshot(&mut self, config: &JournalConfig) -> Option<JournalAction> {
        let segments = self
            .stored_keys
            .iter()
            .filter(|(key, _)| matches!(key, JournalKey::Segment(_)));
        let (count, bytes) =
            segments.fold((0, 0), |(count, sum), (_, bytes)| (count + 1, sum + bytes));
        let is_needed = count > config.snapshot_segments || bytes > config.snapshot_bytes;
        if !is_needed || self.is_snapshot_requested || self.job.is_some() {
            return None;
        }
        self.is_snapshot_requested = true;
        Some(JournalAction::TakeSnapshot(self.shard.clone(), self.epoch))
    }

    /// Returns the key of a part of the next snapshot.
    pub(super) const fn part_key(&self, index: u32) -> JournalKey {
        JournalKey::Part {
            epoch: self.epoch,
            snapshot: self.snapshot_number,
            index,
        }
    }

    /// Starts writing a snapshot. It covers the segments up to `sequence`, or up
    /// to the segment that will end with `last_covered_record`.
    pub(super) fn start(
        &mut self,
        parts: Vec<(JournalKey, Vec<u8>)>,
        last_covered_record: Option<RecordId>,
        sequence: u64,
    ) {
        self.is_snapshot_requested = false;
        self.snapshot_number += 1;
        for (key, value) in &parts {
            self.stored_keys.insert(*key, value.len());
        }
        self.job = Some(SnapshotJob {
            parts,
            written_parts: 0,
            last_covered_record,
            covered_sequence: sequence,
            manifest: None,
            retry_at: Some(Duration::ZERO),
        });
    }

    /// Returns the record with which a segment must end, as the snapshot in
    /// progress covers the records up to it.
    pub(super) fn last_covered_record(&self) -> Option<RecordId> {
        self.job.as_ref()?.last_covered_record
    }

    /// Sets the segment that ends with [`Self::last_covered_record`].
    pub(super) fn set_last_covered_segment(&mut self, sequence: u64) {
        if let Some(job) = &mut self.job {
            job.last_covered_record = None;
            job.covered_sequence = sequence;
        }
    }

    pub(super) fn record_part_written(&mut self, key: JournalKey) {
        if let Some(job) = &mut self.job
            && job
                .parts
                .get(job.written_parts)
                .is_some_and(|part| part.0 == key)
        {
            job.written_parts += 1;
            job.retry_at = Some(Duration::ZERO);
        }
    }

    pub(super) fn schedule_retry(&mut self, now: Duration) {
        if let Some(job) = &mut self.job {
            job.retry_at = Some(now + WRITE_RETRY_DELAY);
        }
    }

    /// Completes the snapshot if the store holds its manifest. The previous
    /// manifest comes from a delayed response, and the write is repeated. Any
    /// other manifest means that another daemon owns the shard.
    pub(super) fn apply_manifest(
        &mut self,
        current: Option<Vec<u8>>,
        now: Duration,
    ) -> Option<JournalAction> {
        let job = self.job.take_if(|job| job.manifest.is_some())?;
        if job.manifest != current && self.manifest == current {
            self.job = Some(job);
            self.schedule_retry(now);
            return None;
        }
        if job.manifest != current {
            return Some(JournalAction::Fenced(self.shard.clone(), self.epoch));
        }
        self.manifest = current;
        for key in self.superseded_keys(&job) {
            self.stored_keys.remove(&key);
        }
        None
    }

    /// Returns the next write that is due: the parts in order, then the manifest
    /// once the last covered segment is durable.
    pub(super) fn next_write<C: JournalCodec>(
        &mut self,
        codec: &C,
        last_durable: u64,
        now: Duration,
    ) -> Option<JournalAction> {
        let mut job = self
            .job
            .take_if(|job| job.retry_at.is_some_and(|at| now >= at))?;
        let action = match job.parts.get(job.written_parts).cloned() {
            Some((key, value)) => Some(JournalAction::WritePart {
                shard: self.shard.clone(),
                epoch: self.epoch,
                key,
                value,
            }),
            None if job.last_covered_record.is_none() && last_durable >= job.covered_sequence => {
                Some(self.build_manifest_write(codec, &mut job))
            }
            None => None,
        };
        if action.is_some() {
            job.retry_at = None;
        }
        self.job = Some(job);
        action
    }

    fn build_manifest_write<C: JournalCodec>(
        &self,
        codec: &C,
        job: &mut SnapshotJob,
    ) -> JournalAction {
        let manifest = SnapshotManifest {
            shard: self.shard.clone(),
            parts: job.parts.iter().map(|(key, _)| *key).collect(),
            through: SegmentPosition {
                epoch: self.epoch,
                sequence: job.covered_sequence,
            },
        };
        let value = encode_envelope(&codec.encode_manifest(&manifest));
        job.manifest = Some(value.clone());
        JournalAction::WriteManifest {
            shard: self.shard.clone(),
            epoch: self.epoch,
            expected: self.manifest.clone(),
            value,
            deletes: self.superseded_keys(job),
        }
    }

    /// Returns the stored keys that a snapshot makes obsolete.
    fn superseded_keys(&self, job: &SnapshotJob) -> Vec<JournalKey> {
        let through = SegmentPosition {
            epoch: self.epoch,
            sequence: job.covered_sequence,
        };
        let is_listed = |key: &JournalKey| job.parts.iter().any(|(part, _)| part == key);
        self.stored_keys
            .keys()
            .filter(|key| match key {
                JournalKey::Segment(position) => *position <= through,
                JournalKey::Part { .. } => !is_listed(key),
                JournalKey::Manifest => false,
            })
            .copied()
            .collect()
    }
}
