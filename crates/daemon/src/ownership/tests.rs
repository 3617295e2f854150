//! Tests of shard leases against the stand-in store.

use std::time::Duration;

use auburnsaddle_core::{OwnerRecord, ShardName};
use auburnsaddle_standins::platform::StoreFaults;

use super::{claim_transaction, ensure_lease};
use crate::store::{CoordinationClient, HttpStore, LeaseId, StoreClient, start_store};

/// Bounds the wait for the expiry of a lease; longer than the lease itself.
const EXPIRY_TIMEOUT: Duration = Duration::from_secs(30);

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
    store.commit(claim).await.expect("the store responds");
}

async fn ensure_shard_lease(
    store: &HttpStore,
    daemon: &str,
    epoch: u64,
    held_lease: Option<LeaseId>,
) -> Option<LeaseId> {
    let held = ensure_lease(store, &daemon.into(), &shard(), epoch, held_lease).await;
    held.expect("the store responds")
}

/// Guards against two owners that hold a lease at the same time, and against a
/// former owner that acquires a new lease.
#[tokio::test]
async fn a_new_owner_gets_no_lease_before_the_old_one_ends() {
    let (_, store) = start_store().await;
    claim(&store, None, owner("a", 1)).await;
    let first = ensure_shard_lease(&store, "a", 1, None).await;
    let renewed = ensure_shard_lease(&store, "a", 1, first).await;
    claim(&store, Some(owner("a", 1)), owner("b", 2)).await;

    let early = ensure_shard_lease(&store, "b", 2, None).await;
    store
        .revoke_lease(first.expect("a lease is held"))
        .await
        .expect("the store revokes the lease");
    let late = ensure_shard_lease(&store, "b", 2, None).await;
    let former = ensure_shard_lease(&store, "a", 1, first).await;

    assert_eq!(renewed, first);
    assert_eq!(early, None);
    assert!(late.is_some());
    assert_eq!(former, None);
}

/// Guards against an owner that its own lease locks out after the response to
/// the request that acquired it was lost.
#[tokio::test]
async fn an_own_lease_is_adopted_after_a_lost_response() {
    let (platform, store) = start_store().await;
    claim(&store, None, owner("a", 1)).await;
    let held = ensure_shard_lease(&store, "a", 1, None).await;

    // The lease ID is unknown here, as after a lost response.
    let adopted = ensure_shard_lease(&store, "a", 1, None).await;
    platform.set_faults(StoreFaults {
        unavailable: true,
        ..StoreFaults::default()
    });
    let outage = ensure_lease(&store, &"a".into(), &shard(), 1, adopted).await;

    assert!(held.is_some());
    assert_eq!(adopted, held);
    assert!(outage.is_err());
}

/// Guards against a lease that outlives its owner forever.
#[tokio::test]
async fn a_lease_that_is_not_renewed_expires() {
    let (_, store) = start_store().await;
    claim(&store, None, owner("a", 1)).await;
    ensure_shard_lease(&store, "a", 1, None).await;
    claim(&store, Some(owner("a", 1)), owner("b", 2)).await;

    let waiting = async {
        while ensure_shard_lease(&store, "b", 2, None).await.is_none() {
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
    };
    let ended = tokio::time::timeout(EXPIRY_TIMEOUT, waiting).await;

    assert!(ended.is_ok());
}
