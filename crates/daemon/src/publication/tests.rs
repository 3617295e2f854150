//! Tests of publishing versions and of reading them back from the store.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use auburnsaddle_core::{
    ConfigEvent, ConfigPull, ConfigState, ConfigUpdate, ObjectSet, ServiceSpec, TeamSpec,
};

use super::{CommitResult, commit_update, fetch_versions};
use crate::store::{
    StoreClient, StoreCompare, StoreEntry, StoreError, StoreRange, StoreTxn, TxnOutcome,
};

/// Fault that the fake store injects into each transaction.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum StoreFault {
    #[default]
    None,
    ResponseLost,
    RequestLost,
}

/// An in-memory store that can lose a request or its response.
#[derive(Clone, Debug, Default)]
struct FakeStore {
    values: Arc<Mutex<BTreeMap<String, Vec<u8>>>>,
    fault: StoreFault,
}

impl FakeStore {
    fn with_fault(&self, fault: StoreFault) -> Self {
        Self {
            values: Arc::clone(&self.values),
            fault,
        }
    }

    fn apply(&self, transaction: StoreTxn) -> TxnOutcome {
        let mut values = self.values.lock().unwrap();
        let holds = transaction.compares.iter().all(|compare| match compare {
            StoreCompare::Absent(key) => !values.contains_key(key),
            StoreCompare::ValueEquals(key, value) => values.get(key) == Some(value),
        });
        if !holds {
            let keys = transaction.reads_on_conflict.into_iter();
            let entries = keys.filter_map(|key| {
                let value = values.get(&key)?.clone();
                Some(StoreEntry { key, value })
            });
            return TxnOutcome::Conflict(entries.collect());
        }
        for range in transaction.deletes {
            match range {
                StoreRange::Key(key) => drop(values.remove(&key)),
                StoreRange::Prefix(prefix) => values.retain(|key, _| !key.starts_with(&prefix)),
                StoreRange::Span(first, end) => {
                    values.retain(|key, _| *key < first || *key >= end);
                }
            }
        }
        let puts = transaction.puts.into_iter();
        values.extend(puts.map(|put| (put.key, put.value)));
        TxnOutcome::Committed
    }
}

impl StoreClient for FakeStore {
    async fn read_prefix(&self, prefix: &str) -> Result<Vec<StoreEntry>, StoreError> {
        let values = self.values.lock().unwrap();
        let found = values.iter().filter(|(key, _)| key.starts_with(prefix));
        let entries = found.map(|(key, value)| StoreEntry {
            key: key.clone(),
            value: value.clone(),
        });
        Ok(entries.collect())
    }

    async fn commit(&self, transaction: StoreTxn) -> Result<TxnOutcome, StoreError> {
        match self.fault {
            StoreFault::None => return Ok(self.apply(transaction)),
            StoreFault::ResponseLost => drop(self.apply(transaction)),
            StoreFault::RequestLost => {}
        }
        Err(StoreError::Unavailable {
            message: "lost".to_owned(),
        })
    }
}

fn object_set_with_teams(count: u64) -> ObjectSet {
    let mut set = ObjectSet::default();
    for index in 0..count {
        let mut team = TeamSpec {
            name: format!("team-{index}").into(),
            ..TeamSpec::default()
        };
        team.quota.cpu_milli = 1;
        set.teams.insert(team.name.clone(), team);
    }
    set
}

fn update(state: &ConfigState, teams: u64) -> ConfigUpdate {
    state
        .prepare(state.version(), object_set_with_teams(teams))
        .unwrap()
}

fn apply_pull(state: &mut ConfigState, pull: ConfigPull) {
    state.handle(ConfigEvent::Fetched(pull), Duration::ZERO);
}

async fn publish(store: &FakeStore, state: &mut ConfigState, versions: u64) {
    for teams in 1..=versions {
        let update = update(state, teams);
        assert_eq!(commit_update(store, &update).await, CommitResult::Committed);
        let deltas = vec![update.delta];
        apply_pull(
            state,
            ConfigPull {
                snapshot: None,
                deltas,
            },
        );
    }
}

/// Guards against reporting a failure for a version that was written, when the
/// store's response is lost.
#[tokio::test(start_paused = true)]
async fn a_lost_response_is_resolved_by_reading_back() {
    let store = FakeStore::default();
    let update = update(&ConfigState::default(), 1);

    let result = commit_update(&store.with_fault(StoreFault::ResponseLost), &update).await;

    assert_eq!(result, CommitResult::Committed);
}

/// Guards against reporting success for a version that was never written, when
/// the request is lost.
#[tokio::test(start_paused = true)]
async fn a_lost_request_is_not_reported_as_published() {
    let store = FakeStore::default();
    let update = update(&ConfigState::default(), 1);

    let result = commit_update(&store.with_fault(StoreFault::RequestLost), &update).await;

    assert!(matches!(result, CommitResult::Unknown(_)), "{result:?}");
}

/// Guards against committing two versions with the same base, also when the
/// response to the second request is lost.
#[tokio::test(start_paused = true)]
async fn only_one_of_two_concurrent_publications_commits() {
    let store = FakeStore::default();
    let state = ConfigState::default();
    let (first, second) = (update(&state, 1), update(&state, 2));

    let won = commit_update(&store, &first).await;
    let lost = commit_update(&store, &second).await;
    let also_lost = commit_update(&store.with_fault(StoreFault::ResponseLost), &second).await;

    assert_eq!(won, CommitResult::Committed);
    assert_eq!(lost, CommitResult::Superseded(Some(first.head.clone())));
    assert_eq!(also_lost, CommitResult::Superseded(Some(first.head)));
}

/// Guards against a daemon that cannot catch up from the store: over few missed
/// versions with deltas, over many with a snapshot.
#[tokio::test]
async fn missed_versions_are_read_from_the_store() {
    let store = FakeStore::default();
    let mut state = ConfigState::default();
    publish(&store, &mut state, 70).await;
    let mut lagging = ConfigState::default();

    let many = fetch_versions(&store, 0, 70).await.unwrap();
    let few = fetch_versions(&store, 67, 70).await.unwrap();
    apply_pull(&mut lagging, many.clone());

    assert_eq!(many.snapshot.map(|snapshot| snapshot.version), Some(64));
    assert_eq!((many.deltas.len(), few.deltas.len()), (6, 3));
    assert_eq!(lagging.head(), state.head());
}

/// Guards against old versions that accumulate in the store, and against a
/// daemon that cannot catch up because the newest snapshot is corrupted.
#[tokio::test]
async fn two_snapshots_and_the_deltas_since_are_kept() {
    let store = FakeStore::default();
    let mut state = ConfigState::default();
    publish(&store, &mut state, 100).await;
    let keys: Vec<_> = store.values.lock().unwrap().keys().cloned().collect();
    let newest = "config/snapshot/00000000000000000096/0000".to_owned();
    let replaced = store.values.lock().unwrap().insert(newest, vec![0]);
    let mut lagging = ConfigState::default();

    apply_pull(&mut lagging, fetch_versions(&store, 0, 100).await.unwrap());

    let count = |prefix| keys.iter().filter(|key| key.starts_with(prefix)).count();
    assert_eq!(count("config/delta/"), 36);
    assert_eq!(count("config/snapshot/"), 2);
    assert!(replaced.is_some());
    assert_eq!(lagging.head(), state.head());
}

/// Guards against a snapshot part that exceeds the store's value size.
#[tokio::test]
async fn snapshots_are_split_into_parts() {
    let store = FakeStore::default();
    let mut state = ConfigState::default();
    publish(&store, &mut state, 31).await;
    let mut set = object_set_with_teams(1);
    let service = ServiceSpec::default();
    for index in 0..3_000 {
        let name: std::sync::Arc<str> = format!("team-{index:050}").into();
        let mut team = set.teams["team-0"].clone();
        team.name = name.clone();
        team.weight = u32::try_from(service.slots_per_runner).unwrap();
        set.teams.insert(name, team);
    }
    let update = state.prepare(31, set).unwrap();

    commit_update(&store, &update).await;
    let mut lagging = ConfigState::default();
    apply_pull(&mut lagging, fetch_versions(&store, 0, 32).await.unwrap());

    let values = store.values.lock().unwrap();
    let parts = values
        .iter()
        .filter(|(key, _)| key.starts_with("config/snapshot/"));
    let sizes: Vec<_> = parts.map(|(_, value)| value.len()).collect();
    assert!(
        sizes.len() > 1 && sizes.iter().all(|size| *size <= 512 << 10),
        "{sizes:?}"
    );
    assert_eq!(lagging.head(), update.head);
}
