//! Tests of the journal against a simulated store that loses, duplicates and
//! delays requests and responses.

use std::{collections::BTreeMap, time::Duration};

use proptest::prelude::*;
use serde::{Serialize, de::DeserializeOwned};

use super::{
    JournalAction, JournalBatch, JournalCodec, JournalConfig, JournalError, JournalEvent,
    JournalKey, JournalRecord, RecordId, RecordKind, RecordLog, RecordUrgency, SegmentBody,
    SegmentPosition, SnapshotManifest, encode_envelope, replay_journal,
};
use crate::types::ShardName;

#[derive(Clone, Debug)]
struct TestCodec;

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, bincode::config::standard()).expect("plain data")
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, JournalError> {
    bincode::serde::decode_from_slice(bytes, bincode::config::standard())
        .map(|(value, _)| value)
        .map_err(|error| JournalError::Malformed {
            message: error.to_string(),
        })
}

impl JournalCodec for TestCodec {
    fn encode_segment(&self, body: &SegmentBody) -> Vec<u8> {
        encode(body)
    }

    fn encode_manifest(&self, manifest: &SnapshotManifest) -> Vec<u8> {
        encode(manifest)
    }

    fn decode_segment(&self, bytes: &[u8]) -> Result<SegmentBody, JournalError> {
        decode(bytes)
    }

    fn decode_manifest(&self, bytes: &[u8]) -> Result<SnapshotManifest, JournalError> {
        decode(bytes)
    }
}

fn shard(index: u8) -> ShardName {
    ShardName::Key("r1".into(), index)
}

fn record(payload: Vec<u8>) -> JournalRecord {
    JournalRecord {
        kind: RecordKind::KeyIntent,
        payload,
    }
}

fn record_with_id(id: RecordId) -> JournalRecord {
    record(id.to_be_bytes().to_vec())
}

fn opened(shard: ShardName) -> JournalEvent {
    JournalEvent::Opened {
        shard,
        epoch: 1,
        manifest: None,
        keys: Vec::new(),
    }
}

fn log(shards: u8) -> RecordLog<TestCodec> {
    let config = JournalConfig {
        snapshot_segments: 64,
        ..JournalConfig::for_daemons(8)
    };
    let mut log = RecordLog::new("a".into(), config, TestCodec);
    for index in 0..shards {
        log.handle(opened(shard(index)), Duration::ZERO);
    }
    log
}

fn fire_timer(log: &mut RecordLog<TestCodec>, seconds: u64) -> Vec<JournalAction> {
    log.handle(JournalEvent::TimerFired, Duration::from_secs(seconds))
}

fn only_batch(actions: &[JournalAction]) -> JournalBatch {
    match actions {
        [JournalAction::Commit(batch)] => batch.clone(),
        other => panic!("one commit expected, found {other:?}"),
    }
}

/// A log with a simulated store that holds the journal of one shard. Requests can
/// be delayed and responses lost.
struct JournalHarness {
    log: RecordLog<TestCodec>,
    values: BTreeMap<JournalKey, Vec<u8>>,
    is_owned: bool,
    sent: Vec<JournalAction>,
    delayed_requests: Vec<JournalAction>,
    appended_ids: Vec<RecordId>,
    durable: Vec<RecordId>,
    not_written: Vec<RecordId>,
    snapshots: usize,
    now: Duration,
}

impl JournalHarness {
    fn new() -> Self {
        Self {
            log: log(1),
            values: BTreeMap::new(),
            is_owned: true,
            sent: Vec::new(),
            delayed_requests: Vec::new(),
            appended_ids: Vec::new(),
            durable: Vec::new(),
            not_written: Vec::new(),
            snapshots: 0,
            now: Duration::ZERO,
        }
    }

    fn append(&mut self) {
        let next = self.appended_ids.last().map_or(1, |id| id + 1);
        if let Ok(id) = self.log.append(&shard(0), record_with_id(next)) {
            assert_eq!(id, next);
            self.appended_ids.push(id);
        }
    }

    fn handle(&mut self, event: JournalEvent) {
        for action in self.log.handle(event, self.now) {
            match action {
                JournalAction::Durable(ids) => self.durable.extend(ids),
                JournalAction::Failed {
                    records,
                    maybe_written: false,
                } => self.not_written.extend(records),
                action => self.sent.push(action),
            }
        }
    }

    /// Applies a request to the store and returns the response.
    fn store(&mut self, action: JournalAction) -> Option<JournalEvent> {
        match action {
            JournalAction::Commit(batch) if self.is_owned => {
                for write in batch.segments {
                    self.values
                        .insert(JournalKey::Segment(write.position), write.value);
                }
                Some(JournalEvent::Committed(batch.number))
            }
            JournalAction::Commit(batch) => {
                Some(JournalEvent::GuardFailed(batch.number, [shard(0)].into()))
            }
            JournalAction::ReadBack(number, _, position) => {
                let value = self.values.get(&JournalKey::Segment(position)).cloned();
                Some(JournalEvent::ReadBack(number, value))
            }
            JournalAction::TakeSnapshot(shard, epoch) => {
                let records: Vec<_> = self
                    .appended_ids
                    .iter()
                    .map(|id| record_with_id(*id))
                    .collect();
                let parts = records.chunks(10).map(<[_]>::to_vec).collect();
                Some(JournalEvent::SnapshotTaken(shard, epoch, parts))
            }
            JournalAction::WritePart {
                shard, key, value, ..
            } if self.is_owned => {
                self.values.insert(key, value);
                Some(JournalEvent::PartWritten(shard, key))
            }
            JournalAction::WriteManifest {
                shard,
                epoch,
                expected,
                value,
                deletes,
            } if self.is_owned => {
                if self.values.get(&JournalKey::Manifest) == expected.as_ref() {
                    self.values.retain(|key, _| !deletes.contains(key));
                    self.values.insert(JournalKey::Manifest, value);
                    self.snapshots += 1;
                }
                let current = self.values.get(&JournalKey::Manifest).cloned();
                Some(JournalEvent::ManifestAnswered(shard, epoch, current))
            }
            _ => None,
        }
    }

    /// Delivers the oldest request. With `delivery` 0 it is delayed and counts as
    /// lost, with 1 it is answered, with 2 its response is lost.
    fn deliver_next(&mut self, delivery: u8) {
        if self.sent.is_empty() {
            return;
        }
        let action = self.sent.remove(0);
        let lost = match &action {
            JournalAction::Commit(batch) => Some(JournalEvent::ResponseLost(batch.number)),
            JournalAction::ReadBack(number, ..) => Some(JournalEvent::ResponseLost(*number)),
            JournalAction::WritePart { .. } | JournalAction::WriteManifest { .. } => {
                Some(JournalEvent::SnapshotWriteLost(shard(0)))
            }
            _ => None,
        };
        if delivery != 1 {
            self.delayed_requests.push(action.clone());
        }
        let response = match delivery {
            0 if lost.is_some() => lost,
            2 if lost.is_some() => self.store(action).and(lost),
            _ => self.store(action),
        };
        if let Some(event) = response {
            self.handle(event);
        }
    }

    fn apply(&mut self, step: u8, choice: usize) {
        match step {
            0..10 => self.append(),
            10..12 => self.deliver_next(0),
            12..14 => self.deliver_next(2),
            14..28 => self.deliver_next(1),
            28..38 => {
                self.now += Duration::from_millis(300);
                self.handle(JournalEvent::TimerFired);
            }
            // A delayed copy of an earlier request arrives.
            38..40 => {
                if let Some(index) = choice.checked_rem(self.delayed_requests.len()) {
                    let action = self.delayed_requests[index].clone();
                    self.store(action);
                }
            }
            _ => self.is_owned = !choice.is_multiple_of(40) && self.is_owned,
        }
    }

    fn replayed(&self) -> Vec<RecordId> {
        let replay = replay_journal(&TestCodec, &shard(0), &self.values).expect("a valid journal");
        let payloads = replay.records.into_iter().map(|record| record.payload);
        payloads
            .map(|bytes| RecordId::from_be_bytes(bytes.try_into().expect("eight bytes")))
            .collect()
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Guards against records that are lost or duplicated when responses are
    /// lost, delayed requests arrive, snapshots are written or the owner is
    /// fenced.
    #[test]
    fn durable_records_are_replayed_exactly_once(
        steps in prop::collection::vec((0_u8..41, any::<usize>()), 1..1_500),
    ) {
        let mut harness = JournalHarness::new();

        for (step, choice) in steps {
            harness.apply(step, choice);
        }

        let replayed = harness.replayed();
        prop_assert!(replayed.is_sorted_by(|before, after| before < after));
        prop_assert!(harness.durable.iter().all(|id| replayed.contains(id)));
        prop_assert!(!harness.not_written.iter().any(|id| replayed.contains(id)));
    }
}

/// Guards against a property test that never takes a snapshot, and against
/// segments that are kept although a snapshot covers them.
#[test]
fn compaction_bounds_the_number_of_segments() {
    let mut harness = JournalHarness::new();

    for _ in 0..400 {
        harness.append();
        harness.apply(28, 0);
        harness.deliver_next(1);
        harness.append();
        harness.deliver_next(1);
    }

    let segment = |key: &&JournalKey| matches!(key, JournalKey::Segment(_));
    let segments = harness.values.keys().filter(segment).count();
    assert!(harness.snapshots >= 3, "{} snapshots", harness.snapshots);
    assert!(segments <= 100, "{segments} segments");
    assert_eq!(harness.replayed().len(), harness.durable.len());
}

/// Guards against a fenced shard that blocks the commits of other shards.
#[test]
fn guard_failure_drops_only_the_fenced_shard() {
    let mut log = log(2);
    let first = log.append(&shard(0), record_with_id(1)).expect("open");
    let second = log.append(&shard(1), record_with_id(2)).expect("open");
    let batch = only_batch(&fire_timer(&mut log, 1));

    let failed = JournalEvent::GuardFailed(batch.number, [shard(0)].into());
    let actions = log.handle(failed, Duration::from_secs(1));
    let JournalAction::Commit(again) = &actions[2] else {
        panic!("a commit expected, found {actions:?}");
    };
    let done = log.handle(
        JournalEvent::Committed(again.number),
        Duration::from_secs(1),
    );

    let lost = JournalAction::Failed {
        records: vec![first],
        maybe_written: false,
    };
    assert_eq!(actions[..2], [lost, JournalAction::Fenced(shard(0), 1)]);
    assert_eq!(again.segments, batch.segments[1..]);
    assert_eq!(done, vec![JournalAction::Durable(vec![second])]);
    assert_eq!(
        log.append(&shard(0), record_with_id(3)),
        Err(JournalError::NotOpen)
    );
}

/// Guards against transactions above the size limit, more than one batch in
/// flight, and unbounded memory use during a store outage.
#[test]
fn batch_size_and_pending_bytes_are_bounded() {
    let mut log = log(3);
    let large = || record(vec![0; 100 << 10]);
    let mut rejected = None;
    for index in (0..3).cycle().take(60) {
        rejected = rejected.or(log.append(&shard(index), large()).err());
    }

    let batch = only_batch(&fire_timer(&mut log, 1));
    let meanwhile = fire_timer(&mut log, 2);

    let bytes: usize = batch.segments.iter().map(|write| write.value.len()).sum();
    assert!(bytes <= 512 << 10, "{bytes} bytes");
    assert_eq!(meanwhile, vec![]);
    assert_eq!(rejected, Some(JournalError::Backlog));
    assert!(log.pending_bytes() <= 4 << 20);
}

/// Guards against a commit of its own for each deferred record, and against a
/// prompt record that waits as long as a deferred one.
#[test]
fn deferred_records_share_the_commits_of_prompt_ones() {
    let mut log = RecordLog::new("a".into(), JournalConfig::for_daemons(48), TestCodec);
    log.handle(opened(shard(0)), Duration::ZERO);
    let arrivals = [(0, RecordUrgency::Deferred), (500, RecordUrgency::Prompt)];
    let arrivals = arrivals.into_iter().chain([(900, RecordUrgency::Deferred)]);
    let mut arrivals = arrivals.peekable();

    let mut sent = Vec::new();
    for at in (0..3_000).step_by(100) {
        if let Some((_, urgency)) = arrivals.next_if(|(due, _)| *due == at) {
            let appended = log.append_with(&shard(0), record_with_id(at), urgency);
            appended.expect("room");
        }
        let actions = log.handle(JournalEvent::TimerFired, Duration::from_millis(at));
        if !actions.is_empty() {
            sent.push(at);
            log.handle(
                JournalEvent::Committed(only_batch(&actions).number),
                Duration::ZERO,
            );
        }
    }

    assert_eq!(sent, [800, 2_100]);
}

/// Guards against a total write rate that grows with the number of daemons.
#[test]
fn commit_interval_grows_with_the_number_of_daemons() {
    let intervals = [1, 8, 48].map(|count| JournalConfig::for_daemons(count).commit_interval);

    assert_eq!(intervals, [50, 50, 300].map(Duration::from_millis));
}

/// Guards against a replay that accepts a corrupted or truncated value or a gap
/// in the segments.
#[test]
fn corrupted_and_missing_values_are_rejected() {
    let position = |sequence| SegmentPosition { epoch: 1, sequence };
    let key = |sequence| JournalKey::Segment(position(sequence));
    let body = SegmentBody {
        shard: shard(0),
        daemon: "a".into(),
        key: key(1),
        records: vec![record_with_id(1)],
    };
    let value = encode_envelope(&encode(&body));
    let replay = |sequence, value: Vec<u8>| {
        let values = [(key(sequence), value)].into();
        replay_journal(&TestCodec, &shard(0), &values).map(|replay| replay.records.len())
    };
    let mut flipped = value.clone();
    *flipped.last_mut().expect("not empty") ^= 1;
    let mut newer = value.clone();
    newer[0] = 2;

    assert_eq!(replay(1, value.clone()), Ok(1));
    assert_eq!(replay(1, flipped), Err(JournalError::WrongChecksum));
    assert_eq!(
        replay(1, newer),
        Err(JournalError::UnknownFormat { found: 2 })
    );
    assert_eq!(replay(1, value[..5].to_vec()), Err(JournalError::Truncated));
    let missing = JournalError::MissingSegment {
        position: position(1),
    };
    assert_eq!(replay(2, value), Err(missing));
}

/// Guards against a call with an idempotency key that waits for a whole commit
/// interval although the store is idle, and against bursts above the limit.
#[test]
fn credit_permits_a_bounded_burst_of_batches() {
    let config = JournalConfig {
        commit_credit: 2,
        ..JournalConfig::for_daemons(8)
    };
    let mut log = RecordLog::new("a".into(), config, TestCodec);
    log.handle(opened(shard(0)), Duration::ZERO);
    let now = Duration::from_secs(1);

    let mut sent = Vec::new();
    for batch in 1..=3 {
        log.append(&shard(0), record_with_id(batch)).expect("room");
        let actions = log.handle(JournalEvent::TimerFired, now);
        sent.push(!actions.is_empty());
        log.handle(JournalEvent::Committed(batch), now);
    }

    assert_eq!(sent, [true, true, false]);
}
