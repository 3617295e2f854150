//! Folding of a shard's segments into a snapshot.

use std::{collections::BTreeMap, time::Duration};

use super::{
    messages::{JournalAction, JournalKey, RecordId, SegmentPosition, SnapshotManifest},
    state::JournalConfig,
    value::{JournalCodec, encode_envelope},
};
use crate::types::{Epoch, ShardName};

/// Time after which a snapshot write whose response was lost is repeated.
const RETRY_TIME: Duration = Duration::from_secs(1);

/// A snapshot that is being written.
#[derive(Clone, Debug)]
struct SnapshotJob {
    parts: Vec<(JournalKey, Vec<u8>)>,
    written: usize,
    /// The last record that the snapshot covers while it waits for a segment.
    cut: Option<RecordId>,
    through: u64,
    manifest: Option<Vec<u8>>,
    retry_at: Option<Duration>,
}

/// The stored keys of a shard and the snapshot under way.
#[derive(Clone, Debug)]
pub(super) struct SegmentCompactor {
    shard: ShardName,
    epoch: Epoch,
    manifest: Option<Vec<u8>>,
    keys: BTreeMap<JournalKey, usize>,
    job: Option<SnapshotJob>,
    snapshots: u64,
    asked: bool,
}

impl SegmentCompactor {
    pub(super) fn new(
        shard: ShardName,
        epoch: Epoch,
        manifest: Option<Vec<u8>>,
        keys: Vec<(JournalKey, usize)>,
    ) -> Self {
        Self {
            shard,
            epoch,
            manifest,
            keys: keys.into_iter().collect(),
            job: None,
            snapshots: 0,
            asked: false,
        }
    }

    pub(super) fn note_segment(&mut self, position: SegmentPosition, bytes: usize) {
        self.keys.insert(JournalKey::Segment(position), bytes);
    }

    /// Asks for a snapshot when the segments have become many or large.
    pub(super) fn ask_snapshot(&mut self, config: &JournalConfig) -> Option<JournalAction> {
        let segments = self
            .keys
            .iter()
            .filter(|(key, _)| matches!(key, JournalKey::Segment(_)));
        let (count, bytes) =
            segments.fold((0, 0), |(count, sum), (_, bytes)| (count + 1, sum + bytes));
        let needed = count > config.snapshot_segments || bytes > config.snapshot_bytes;
        if !needed || self.asked || self.job.is_some() {
            return None;
        }
        self.asked = true;
        Some(JournalAction::TakeSnapshot(self.shard.clone(), self.epoch))
    }

    /// Returns the name of the next snapshot's part.
    pub(super) const fn part_key(&self, index: u32) -> JournalKey {
        JournalKey::Part {
            epoch: self.epoch,
            snapshot: self.snapshots,
            index,
        }
    }

    /// Starts writing a snapshot. It covers the segments up to `sequence`, or
    /// up to the one that will end with the record `cut`.
    pub(super) fn start(
        &mut self,
        parts: Vec<(JournalKey, Vec<u8>)>,
        cut: Option<RecordId>,
        sequence: u64,
    ) {
        self.asked = false;
        self.snapshots += 1;
        for (key, value) in &parts {
            self.keys.insert(*key, value.len());
        }
        self.job = Some(SnapshotJob {
            parts,
            written: 0,
            cut,
            through: sequence,
            manifest: None,
            retry_at: Some(Duration::ZERO),
        });
    }

    /// Returns the record with which the next segment must end, if any.
    pub(super) fn cut(&self) -> Option<RecordId> {
        self.job.as_ref()?.cut
    }

    /// Notes the segment that ends with the record of [`Self::cut`].
    pub(super) fn set_cut_segment(&mut self, sequence: u64) {
        if let Some(job) = &mut self.job {
            job.cut = None;
            job.through = sequence;
        }
    }

    pub(super) fn note_part(&mut self, key: JournalKey) {
        if let Some(job) = &mut self.job
            && job.parts.get(job.written).is_some_and(|part| part.0 == key)
        {
            job.written += 1;
            job.retry_at = Some(Duration::ZERO);
        }
    }

    pub(super) fn note_lost(&mut self, now: Duration) {
        if let Some(job) = &mut self.job {
            job.retry_at = Some(now + RETRY_TIME);
        }
    }

    /// Ends the snapshot if its manifest is in the store. The manifest before
    /// it comes from a late answer; any other means that another daemon owns
    /// the shard.
    pub(super) fn note_manifest(
        &mut self,
        current: Option<Vec<u8>>,
        now: Duration,
    ) -> Option<JournalAction> {
        let job = self.job.take_if(|job| job.manifest.is_some())?;
        if job.manifest != current && self.manifest == current {
            self.job = Some(job);
            self.note_lost(now);
            return None;
        }
        if job.manifest != current {
            return Some(JournalAction::Fenced(self.shard.clone(), self.epoch));
        }
        self.manifest = current;
        for key in self.superseded(&job) {
            self.keys.remove(&key);
        }
        None
    }

    /// Returns the next write that is due: a part, then the manifest once the
    /// last covered segment is in the store.
    pub(super) fn next_write<C: JournalCodec>(
        &mut self,
        codec: &C,
        durable: u64,
        now: Duration,
    ) -> Option<JournalAction> {
        let mut job = self
            .job
            .take_if(|job| job.retry_at.is_some_and(|at| now >= at))?;
        let action = match job.parts.get(job.written).cloned() {
            Some((key, value)) => Some(JournalAction::WritePart {
                shard: self.shard.clone(),
                epoch: self.epoch,
                key,
                value,
            }),
            None if job.cut.is_none() && durable >= job.through => {
                Some(self.manifest_write(codec, &mut job))
            }
            None => None,
        };
        if action.is_some() {
            job.retry_at = None;
        }
        self.job = Some(job);
        action
    }

    fn manifest_write<C: JournalCodec>(&self, codec: &C, job: &mut SnapshotJob) -> JournalAction {
        let manifest = SnapshotManifest {
            shard: self.shard.clone(),
            parts: job.parts.iter().map(|(key, _)| *key).collect(),
            through: SegmentPosition {
                epoch: self.epoch,
                sequence: job.through,
            },
        };
        let value = encode_envelope(&codec.encode_manifest(&manifest));
        job.manifest = Some(value.clone());
        JournalAction::WriteManifest {
            shard: self.shard.clone(),
            epoch: self.epoch,
            expected: self.manifest.clone(),
            value,
            deletes: self.superseded(job),
        }
    }

    /// Returns the stored keys that a snapshot makes superfluous.
    fn superseded(&self, job: &SnapshotJob) -> Vec<JournalKey> {
        let through = SegmentPosition {
            epoch: self.epoch,
            sequence: job.through,
        };
        let named = |key: &JournalKey| job.parts.iter().any(|(part, _)| part == key);
        self.keys
            .keys()
            .filter(|key| match key {
                JournalKey::Segment(position) => *position <= through,
                JournalKey::Part { .. } => !named(key),
                JournalKey::Manifest => false,
            })
            .copied()
            .collect()
    }
}
