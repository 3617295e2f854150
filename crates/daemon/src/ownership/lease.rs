//! Store leases of shards whose targets cannot reject stale epochs.
//!
//! Without epoch checks at the targets, two owners of a shard could act at the
//! same time. The owner of such a shard therefore acts only under a lease that at
//! most one daemon can hold.

use std::time::Duration;

use auburnsaddle_core::{DaemonId, Epoch, OwnerRecord, ShardName};
use serde::{Deserialize, Serialize};

use super::state::{owner_condition, owner_key};
use crate::store::{
    CoordinationClient, LeaseId, StoreCompare, StoreEntry, StoreError, StorePut, StoreTxn,
    TxnOutcome,
};

/// Store prefix of the lease keys. Each key is attached to its lease, so the
/// store deletes it when the lease ends.
const LEASE_PREFIX: &str = "leases/";

/// Time after which the lease of a shard expires unless it is renewed.
const SHARD_LEASE_DURATION: Duration = Duration::from_secs(10);

/// Stored value of a lease key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
struct LeaseRecord {
    epoch: Epoch,
    lease: LeaseId,
}

/// Renews the lease of a shard, or acquires a new one. Returns `None` if a lease
/// of another epoch is still alive or the daemon no longer owns the shard.
pub(crate) async fn ensure_lease<S: CoordinationClient>(
    store: &S,
    daemon: &DaemonId,
    shard: &ShardName,
    epoch: Epoch,
    held_lease: Option<LeaseId>,
) -> Result<Option<LeaseId>, StoreError> {
    if let Some(lease) = held_lease
        && store.renew_lease(lease).await?
    {
        return Ok(Some(lease));
    }
    let lease = store.grant_lease(SHARD_LEASE_DURATION).await?;
    let record = LeaseRecord { epoch, lease };
    match store
        .commit(lease_transaction(daemon, shard, record))
        .await?
    {
        TxnOutcome::Committed => Ok(Some(lease)),
        TxnOutcome::Conflict(entries) => {
            // No key is attached to the new lease, so it would only use memory of
            // the store.
            store.revoke_lease(lease).await?;
            adopt_lease(store, &entries, shard, epoch).await
        }
    }
}

/// Adopts the lease that an earlier request of the same epoch acquired, if the
/// response to that request was lost.
async fn adopt_lease<S: CoordinationClient>(
    store: &S,
    entries: &[StoreEntry],
    shard: &ShardName,
    epoch: Epoch,
) -> Result<Option<LeaseId>, StoreError> {
    let key = lease_key(shard);
    let existing = entries
        .iter()
        .find(|entry| entry.key == key)
        .and_then(|entry| serde_json::from_slice::<LeaseRecord>(&entry.value).ok());
    match existing {
        Some(record) if record.epoch == epoch && store.renew_lease(record.lease).await? => {
            Ok(Some(record.lease))
        }
        _ => Ok(None),
    }
}

fn lease_transaction(daemon: &DaemonId, shard: &ShardName, record: LeaseRecord) -> StoreTxn {
    let owner = OwnerRecord {
        daemon: daemon.clone(),
        epoch: record.epoch,
    };
    let key = lease_key(shard);
    StoreTxn {
        compares: vec![
            owner_condition(shard, &owner),
            StoreCompare::Absent(key.clone()),
        ],
        puts: vec![StorePut {
            key: key.clone(),
            value: serde_json::to_vec(&record).expect("a lease record serializes to JSON"),
        }],
        lease: Some(record.lease),
        reads_on_conflict: vec![key, owner_key(shard)],
        ..StoreTxn::default()
    }
}

fn lease_key(shard: &ShardName) -> String {
    format!("{LEASE_PREFIX}{shard}")
}
