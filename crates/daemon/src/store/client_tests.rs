//! Tests of the store client against the stand-in.

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

/// Starts a stand-in of the store and returns a client of it.
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

/// Guards against a registration that outlives its daemon, or whose end no
/// watch reports.
#[tokio::test]
async fn a_watch_reports_keys_and_the_expiry_of_their_lease() {
    let (_, store) = start_store().await;
    let mut watch = store.watch(&members(), 1).await.expect("a watch");
    let lease = store.grant_lease(Duration::from_secs(1)).await;
    let lease = lease.expect("a lease");

    let committed = store.commit(put("members/a", Some(lease))).await;
    let mut changes: Vec<StoreChange> = Vec::new();
    while changes.len() < 2 {
        changes.extend(watch.next().await.expect("the watch lasts"));
    }
    let renewed = store.renew_lease(lease).await;

    assert_eq!(committed, Ok(TxnOutcome::Committed));
    assert_eq!(renewed, Ok(false));
    let values: Vec<_> = changes.into_iter().map(|change| change.value).collect();
    assert_eq!(values, [Some(b"v".to_vec()), None]);
}

/// Guards against a watch that silently misses compacted changes.
#[tokio::test]
async fn a_watch_of_compacted_changes_fails() {
    let (platform, store) = start_store().await;
    let _ = store.commit(put("members/a", None)).await;
    platform.lock().store.compact();

    let mut watch = store.watch(&members(), 1).await.expect("a watch");
    let failure = watch.next().await;

    assert_eq!(failure, Err(StoreError::Compacted { revision: 1 }));
}

/// Guards against taking a lost response for a write without effect.
#[tokio::test]
async fn a_write_whose_response_is_lost_has_taken_effect() {
    let (platform, store) = start_store().await;
    platform.set_faults(StoreFaults {
        lose_responses: 1,
        ..StoreFaults::default()
    });

    let lost = store.commit(put("members/a", None)).await;
    let reading = store.read_ranges(&members()).await.expect("a reading");

    assert!(matches!(lost, Err(StoreError::Unavailable { .. })));
    assert_eq!(reading.entries.len(), 1);
    assert_eq!(reading.revision, 1);
}

/// Guards against deletions that have no effect and against calls that the
/// counters miss.
#[tokio::test]
async fn ranges_are_deleted_and_calls_are_counted() {
    let (platform, store) = start_store().await;
    let _ = store.commit(put("members/a", None)).await;
    let delete = StoreTxn {
        deletes: members(),
        ..StoreTxn::default()
    };

    let _ = store.commit(delete).await;
    let reading = store.read_ranges(&members()).await.expect("a reading");

    assert_eq!(reading.entries, vec![]);
    let counted: u64 = store.counts().by_kind().values().sum();
    let served: u64 = platform.lock().calls.by_path().values().sum();
    assert_eq!((counted, served), (3, 3));
}
