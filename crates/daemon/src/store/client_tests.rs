//! Tests of the store client against the stand-in store.

use std::{sync::Arc, time::Duration};

use auburnsaddle_standins::{
    http::serve,
    platform::{self, SharedPlatform, StoreFaults},
};
use tokio::net::TcpListener;

use super::{
    CoordinationClient, HttpStore, StoreClient, StoreError, StorePut, StoreRange, StoreRates,
    StoreTxn, StoreWatch, TxnOutcome, messages::StoreChange,
};

/// Starts a stand-in store and returns it with a client.
pub(crate) async fn start_store() -> (SharedPlatform, HttpStore) {
    let platform = SharedPlatform::default();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = listener.local_addr().expect("a bound socket");
    let shared = platform.clone();
    tokio::spawn(serve(listener, Arc::default(), move |request| {
        platform::handle(shared.clone(), request)
    }));
    let rates = StoreRates {
        writes: Some(1_000),
        reads: Some(1_000),
    };
    (platform, HttpStore::new(address, rates))
}

fn put(key: &str, lease: Option<i64>) -> StoreTxn {
    StoreTxn {
        puts: vec![StorePut {
            key: key.to_owned(),
            value: b"v".to_vec(),
        }],
        lease,
        ..StoreTxn::default()
    }
}

fn members() -> Vec<StoreRange> {
    vec![StoreRange::Prefix("members/".to_owned())]
}

/// Guards against a key that outlives its lease, and against a watch that does
/// not report the deletion of an expired key.
#[tokio::test]
async fn a_watch_reports_keys_and_the_expiry_of_their_lease() {
    let (_, store) = start_store().await;
    let mut watch = store.watch(&members(), 1).await.expect("a watch");
    let lease = store.grant_lease(Duration::from_secs(1)).await;
    let lease = lease.expect("a lease");

    let committed = store.commit(put("members/a", Some(lease))).await;
    let mut changes: Vec<StoreChange> = Vec::new();
    while changes.len() < 2 {
        changes.extend(watch.next().await.expect("the watch stays open"));
    }
    let renewed = store.renew_lease(lease).await;

    assert_eq!(committed, Ok(TxnOutcome::Committed));
    assert_eq!(renewed, Ok(false));
    let values: Vec<_> = changes.into_iter().map(|change| change.value).collect();
    assert_eq!(values, [Some(b"v".to_vec()), None]);
}

/// Guards against a watch that skips compacted changes without an error.
#[tokio::test]
async fn a_watch_of_compacted_changes_fails() {
    let (platform, store) = start_store().await;
    let _ = store.commit(put("members/a", None)).await;
    platform.lock().store.compact();

    let mut watch = store.watch(&members(), 1).await.expect("a watch");
    let failure = watch.next().await;

    assert_eq!(failure, Err(StoreError::Compacted { revision: 1 }));
}

/// Guards against treating a write whose response was lost as not applied.
#[tokio::test]
async fn a_write_whose_response_is_lost_has_taken_effect() {
    let (platform, store) = start_store().await;
    platform.set_faults(StoreFaults {
        lose_responses: 1,
        ..StoreFaults::default()
    });

    let lost = store.commit(put("members/a", None)).await;
    let snapshot = store.read_ranges(&members()).await.expect("a snapshot");

    assert!(matches!(lost, Err(StoreError::Unavailable { .. })));
    assert_eq!(snapshot.entries.len(), 1);
    assert_eq!(snapshot.revision, 1);
}

/// Guards against range deletions without effect, and against calls that are
/// not counted.
#[tokio::test]
async fn ranges_are_deleted_and_calls_are_counted() {
    let (platform, store) = start_store().await;
    let _ = store.commit(put("members/a", None)).await;
    let delete = StoreTxn {
        deletes: members(),
        ..StoreTxn::default()
    };

    let _ = store.commit(delete).await;
    let snapshot = store.read_ranges(&members()).await.expect("a snapshot");

    assert_eq!(snapshot.entries, vec![]);
    let counted: u64 = store.counts().by_kind().values().sum();
    let served: u64 = platform.lock().calls.by_path().values().sum();
    assert_eq!((counted, served), (3, 3));
}
