//! Tests of the journal's store calls against the stand-in store.

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

const INTERVAL: Duration = Duration::from_millis(50);

/// A journal over a stand-in store, with virtual time.
struct Fixture {
    platform: SharedPlatform,
    store: HttpStore,
    journals: ShardJournals,
    now: Duration,
}

impl Fixture {
    /// Returns a daemon `a` that owns the shard under epoch 1.
    async fn owner() -> Self {
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

    async fn claim(&self, expected: Option<OwnerRecord>, next: OwnerRecord) {
        let claim = claim_transaction(&shard(), expected.as_ref(), &next);
        self.store.commit(claim).await.expect("the store answers");
    }

    async fn open(&mut self, epoch: u64) -> Vec<JournalNotice> {
        let effects = vec![JournalEffect::Read(shard(), epoch)];
        let output = JournalOutput {
            effects,
            ..JournalOutput::default()
        };
        self.drive(output).await
    }

    /// Carries out effects and returns the notices, until nothing is left.
    async fn drive(&mut self, output: JournalOutput) -> Vec<JournalNotice> {
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
        self.now += INTERVAL;
        let output = self.journals.fire_timers(self.now);
        self.drive(output).await
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

fn contents(notices: &[JournalNotice]) -> Vec<String> {
    let [JournalNotice::Opened(_, _, records)] = notices else {
        panic!("not opened: {notices:?}");
    };
    let decoded = records.iter().map(|record| decode_payload(&record.payload));
    decoded.collect::<Result<_, _>>().expect("own records")
}

/// Guards against a value that is written under a name which replay misreads.
#[test]
fn store_keys_are_read_as_written() {
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

/// Guards against records that are lost when a commit takes effect and its
/// response does not arrive, and against records written twice.
#[tokio::test]
async fn a_lost_response_is_resolved_by_reading_back() {
    let mut fixture = Fixture::owner().await;
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
    assert_eq!(contents(&reopened), ["redeem"]);
}

/// Guards against an owner that writes after another daemon took the shard.
#[tokio::test]
async fn a_former_owner_is_fenced() {
    let mut fixture = Fixture::owner().await;
    fixture.claim(Some(owner("a", 1)), owner("b", 2)).await;

    let notices = fixture.write("redeem").await;

    let fenced = JournalNotice::Fenced(shard(), 1);
    assert!(notices.contains(&fenced), "{notices:?}");
    assert_eq!(contents(&fixture.open(3).await), Vec::<String>::new());
}

/// Guards against a journal that grows without end, and against records lost
/// by the deletion of their segments.
#[tokio::test]
async fn segments_are_folded_into_a_snapshot() {
    let mut fixture = Fixture::owner().await;
    let mut asked = Vec::new();
    for index in 0..65 {
        asked = fixture.write(&format!("record {index}")).await;
    }
    assert!(asked.contains(&JournalNotice::ExportNeeded(shard(), 1)));
    let state = auburnsaddle_core::JournalRecord {
        kind: RecordKind::KeyIntent,
        payload: encode_payload(&"state"),
    };

    let output = fixture
        .journals
        .export(shard(), 1, vec![state], fixture.now);
    fixture.drive(output).await;
    fixture.write("later").await;

    let prefix = "journal/key/nordeste/1/";
    let entries = fixture.store.read_prefix(prefix).await.expect("entries");
    assert_eq!(entries.len(), 3, "a part, the manifest and one segment");
    assert_eq!(contents(&fixture.open(2).await), ["state", "later"]);
}

/// Guards against a shard that is served without a part of its records.
#[tokio::test]
async fn a_corrupted_segment_is_a_typed_error() {
    let mut fixture = Fixture::owner().await;
    fixture.write("redeem").await;
    let spoiled = StoreTxn {
        puts: vec![StorePut {
            key: "journal/key/nordeste/1/1/00000001".to_owned(),
            value: vec![1; 40],
        }],
        ..StoreTxn::default()
    };
    fixture.store.commit(spoiled).await.expect("written");

    let notices = fixture.open(2).await;

    let expected = JournalNotice::Corrupted(shard(), 2, JournalError::WrongChecksum);
    assert_eq!(notices, [expected]);
}
