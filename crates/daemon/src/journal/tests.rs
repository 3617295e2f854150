//! Tests of the journal's store calls against an in-process stand-in store.

use std::time::Duration;

use auburnsaddle_core::{
    JournalConfig, JournalError, JournalKey, OwnerRecord, RecordKind, ShardName,
};
use auburnsaddle_standins::platform::{SharedPlatform, StoreFaults};

use super::{
    JournalEffect, JournalNotice, JournalOutput, ShardJournals,
    codec::{parse_store_key, store_key},
    decode_payload, encode_payload, run_effect,
};
use crate::{
    ownership::claim_transaction,
    store::{HttpStore, StoreClient, StorePut, StoreTxn, start_store},
};

/// Time between two writes, no shorter than the commit interval.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);

/// The journals of daemon `a` on a stand-in store, with virtual time.
struct JournalFixture {
    platform: SharedPlatform,
    store: HttpStore,
    journals: ShardJournals,
    now: Duration,
}

impl JournalFixture {
    /// Returns a fixture in which daemon `a` owns the shard under epoch 1 and its
    /// journal is open.
    async fn with_owned_shard() -> Self {
        let (platform, store) = start_store().await;
        let mut fixture = Self {
            platform,
            store,
            journals: ShardJournals::new("a".into(), config()),
            now: Duration::ZERO,
        };
        fixture.claim(None, owner("a", 1)).await;
        let opened = fixture.open(1).await;
        assert!(
            matches!(&opened[..], [JournalNotice::Opened(_, 1, records)] if records.is_empty())
        );
        fixture
    }

    /// Replaces the owner record of the shard.
    async fn claim(&self, expected: Option<OwnerRecord>, next: OwnerRecord) {
        let claim = claim_transaction(&shard(), expected.as_ref(), &next);
        self.store
            .commit(claim)
            .await
            .expect("the claim is answered");
    }

    /// Reads the journal from the store as an owner with this epoch does.
    async fn open(&mut self, epoch: u64) -> Vec<JournalNotice> {
        let effects = vec![JournalEffect::Read(shard(), epoch)];
        let output = JournalOutput {
            effects,
            ..JournalOutput::default()
        };
        self.run_effects(output).await
    }

    /// Runs effects, and those that follow from them, and returns all notices.
    async fn run_effects(&mut self, output: JournalOutput) -> Vec<JournalNotice> {
        let mut notices = output.notices;
        let mut effects = output.effects;
        while let Some(effect) = effects.pop() {
            let report = run_effect(&self.store, &"a".into(), effect).await;
            let report = report.expect("each effect has a report");
            let output = self.journals.handle(report, self.now);
            notices.extend(output.notices);
            effects.extend(output.effects);
        }
        notices
    }

    /// Appends a record and commits it.
    async fn write(&mut self, content: &str) -> Vec<JournalNotice> {
        let payload = encode_payload(&content);
        self.journals
            .append(&shard(), RecordKind::KeyIntent, payload)
            .expect("the shard is open");
        self.now += WRITE_INTERVAL;
        let output = self.journals.fire_timers(self.now);
        self.run_effects(output).await
    }
}

fn config() -> JournalConfig {
    JournalConfig {
        snapshot_segments: 64,
        ..JournalConfig::for_daemons(8)
    }
}

fn shard() -> ShardName {
    ShardName::Key("nordeste".into(), 1)
}

fn owner(daemon: &str, epoch: u64) -> OwnerRecord {
    OwnerRecord {
        daemon: daemon.into(),
        epoch,
    }
}

/// Returns the decoded payloads of the only notice, which must open the journal.
fn opened_contents(notices: &[JournalNotice]) -> Vec<String> {
    let [JournalNotice::Opened(_, _, records)] = notices else {
        panic!("not opened: {notices:?}");
    };
    let decoded = records.iter().map(|record| decode_payload(&record.payload));
    decoded
        .collect::<Result<_, _>>()
        .expect("the records were encoded by this test")
}

/// Guards against a value written under a key that replay parses differently.
#[test]
fn store_keys_round_trip() {
    let part = JournalKey::Part {
        epoch: 3,
        snapshot: 1,
        index: 2,
    };
    for key in [part, JournalKey::Manifest] {
        let text = store_key(&shard(), key);

        assert_eq!(parse_store_key(&shard(), &text), Some(key));
    }
    assert_eq!(
        store_key(&shard(), part),
        "journal/key/nordeste/1/part/3/1/2"
    );
}

/// Guards against records that are lost or written twice when a commit takes
/// effect but its response is lost.
#[tokio::test]
async fn a_lost_commit_response_is_resolved_by_reading_back() {
    let mut fixture = JournalFixture::with_owned_shard().await;
    fixture.platform.lock().faults = StoreFaults {
        lose_responses: 1,
        ..StoreFaults::default()
    };

    let notices = fixture.write("redeem").await;
    let reopened = fixture.open(2).await;

    assert!(
        notices.contains(&JournalNotice::Durable(shard(), vec![1])),
        "{notices:?}"
    );
    assert_eq!(opened_contents(&reopened), ["redeem"]);
}

/// Guards against an owner that writes after another daemon claimed the shard.
#[tokio::test]
async fn writes_of_a_former_owner_are_fenced() {
    let mut fixture = JournalFixture::with_owned_shard().await;
    fixture.claim(Some(owner("a", 1)), owner("b", 2)).await;

    let notices = fixture.write("redeem").await;

    let fenced = JournalNotice::Fenced(shard(), 1);
    assert!(notices.contains(&fenced), "{notices:?}");
    assert_eq!(
        opened_contents(&fixture.open(3).await),
        Vec::<String>::new()
    );
}

/// Guards against a journal that grows without bound, and against records that
/// are lost when their segments are deleted.
#[tokio::test]
async fn segments_are_compacted_into_a_snapshot_without_losing_records() {
    let mut fixture = JournalFixture::with_owned_shard().await;
    let mut last_notices = Vec::new();
    for index in 0..65 {
        last_notices = fixture.write(&format!("record {index}")).await;
    }
    assert!(last_notices.contains(&JournalNotice::SnapshotNeeded(shard(), 1)));
    let state = auburnsaddle_core::JournalRecord {
        kind: RecordKind::KeyIntent,
        payload: encode_payload(&"state"),
    };

    let output = fixture
        .journals
        .start_snapshot(shard(), 1, vec![state], fixture.now);
    fixture.run_effects(output).await;
    fixture.write("later").await;

    let prefix = "journal/key/nordeste/1/";
    let entries = fixture.store.read_prefix(prefix).await.expect("entries");
    assert_eq!(entries.len(), 3, "a part, the manifest and one segment");
    assert_eq!(opened_contents(&fixture.open(2).await), ["state", "later"]);
}

/// Guards against a shard that is served with some of its records missing.
#[tokio::test]
async fn a_corrupted_segment_fails_replay() {
    let mut fixture = JournalFixture::with_owned_shard().await;
    fixture.write("redeem").await;
    let corruption = StoreTxn {
        puts: vec![StorePut {
            key: "journal/key/nordeste/1/1/00000001".to_owned(),
            value: vec![1; 40],
        }],
        ..StoreTxn::default()
    };
    fixture.store.commit(corruption).await.expect("written");

    let notices = fixture.open(2).await;

    let expected = JournalNotice::Corrupted(shard(), 2, JournalError::WrongChecksum);
    assert_eq!(notices, [expected]);
}
