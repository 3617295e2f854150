//! Tests of shard leases against the stand-in store.

use std::time::Duration;

use auburnsaddle_core::{OwnerRecord, ShardName};
use auburnsaddle_standins::platform::StoreFaults;

use super::{claim_transaction, ensure_lease};
use crate::store::{CoordinationClient, HttpStore, LeaseId, StoreClient, start_store};

/// Longer than the lease of a shard, so that an expired one is found.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

fn shard() -> ShardName {
    ShardName::Call("settlement".into(), "zone-0".into())
}

fn owner(daemon: &str, epoch: u64) -> OwnerRecord {
    OwnerRecord {
        daemon: daemon.into(),
        epoch,
    }
}

async fn claim(store: &HttpStore, expected: Option<OwnerRecord>, next: OwnerRecord) {
    let claim = claim_transaction(&shard(), expected.as_ref(), &next);
    store.commit(claim).await.expect("the store answers");
}

async fn hold(
    store: &HttpStore,
    daemon: &str,
    epoch: u64,
    known: Option<LeaseId>,
) -> Option<LeaseId> {
    let held = ensure_lease(store, &daemon.into(), &shard(), epoch, known).await;
    held.expect("the store answers")
}

/// Guards against two owners with a lease at once, and against a former owner
/// that gets a new one.
#[tokio::test]
async fn a_new_owner_waits_for_the_end_of_the_lease() {
    let (_, store) = start_store().await;
    claim(&store, None, owner("a", 1)).await;
    let first = hold(&store, "a", 1, None).await;
    let renewed = hold(&store, "a", 1, first).await;
    claim(&store, Some(owner("a", 1)), owner("b", 2)).await;

    let early = hold(&store, "b", 2, None).await;
    store
        .revoke_lease(first.expect("held"))
        .await
        .expect("ended");
    let late = hold(&store, "b", 2, None).await;
    let former = hold(&store, "a", 1, first).await;

    assert_eq!(renewed, first);
    assert_eq!(early, None);
    assert!(late.is_some());
    assert_eq!(former, None);
}

/// Guards against an owner that is kept out by its own lease after the
/// response to its request was lost.
#[tokio::test]
async fn an_own_lease_is_adopted_after_a_lost_response() {
    let (platform, store) = start_store().await;
    claim(&store, None, owner("a", 1)).await;
    let held = hold(&store, "a", 1, None).await;

    // The identifier is not known, as if the response had been lost.
    let adopted = hold(&store, "a", 1, None).await;
    platform.set_faults(StoreFaults {
        unavailable: true,
        ..StoreFaults::default()
    });
    let outage = ensure_lease(&store, &"a".into(), &shard(), 1, adopted).await;

    assert!(held.is_some());
    assert_eq!(adopted, held);
    assert!(outage.is_err());
}

/// Guards against a lease whose owner is gone and that never ends.
#[tokio::test]
async fn a_lease_that_is_not_renewed_ends() {
    let (_, store) = start_store().await;
    claim(&store, None, owner("a", 1)).await;
    hold(&store, "a", 1, None).await;
    claim(&store, Some(owner("a", 1)), owner("b", 2)).await;

    let waiting = async {
        while hold(&store, "b", 2, None).await.is_none() {
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
    };
    let ended = tokio::time::timeout(WAIT_LIMIT, waiting).await;

    assert!(ended.is_ok());
}
