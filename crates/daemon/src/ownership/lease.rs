//! The store leases of shards whose targets cannot compare epochs.

use std::time::Duration;

use auburnsaddle_core::{DaemonId, Epoch, OwnerRecord, ShardName};
use serde::{Deserialize, Serialize};

use super::state::{owner_condition, owner_key};
use crate::store::{
    CoordinationClient, LeaseId, StoreCompare, StoreEntry, StoreError, StorePut, StoreTxn,
    TxnOutcome,
};

/// Store prefix of the lease keys; each lives as long as its lease.
const LEASE_PREFIX: &str = "leases/";

/// Duration of a shard's lease.
const SHARD_LEASE: Duration = Duration::from_secs(10);

/// The value of a lease key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
struct LeaseRecord {
    epoch: Epoch,
    lease: LeaseId,
}

/// Renews the lease of a shard, or takes a new one. Returns `None` if another
/// epoch holds one or the daemon is no longer the owner.
pub(crate) async fn ensure_lease<S: CoordinationClient>(
    store: &S,
    daemon: &DaemonId,
    shard: &ShardName,
    epoch: Epoch,
    known: Option<LeaseId>,
) -> Result<Option<LeaseId>, StoreError> {
    if let Some(lease) = known
        && store.renew_lease(lease).await?
    {
        return Ok(Some(lease));
    }
    let lease = store.grant_lease(SHARD_LEASE).await?;
    let record = LeaseRecord { epoch, lease };
    match store.commit(transaction(daemon, shard, record)).await? {
        TxnOutcome::Committed => Ok(Some(lease)),
        TxnOutcome::Conflict(entries) => {
            // The lease holds no key and would only use the store's memory.
            store.revoke_lease(lease).await?;
            adopt_lease(store, &entries, shard, epoch).await
        }
    }
}

/// Takes over the lease of an earlier request of the same ownership, whose
/// response was lost.
async fn adopt_lease<S: CoordinationClient>(
    store: &S,
    entries: &[StoreEntry],
    shard: &ShardName,
    epoch: Epoch,
) -> Result<Option<LeaseId>, StoreError> {
    let key = lease_key(shard);
    let held = entries
        .iter()
        .find(|entry| entry.key == key)
        .and_then(|entry| serde_json::from_slice::<LeaseRecord>(&entry.value).ok());
    match held {
        Some(record) if record.epoch == epoch && store.renew_lease(record.lease).await? => {
            Ok(Some(record.lease))
        }
        _ => Ok(None),
    }
}

fn transaction(daemon: &DaemonId, shard: &ShardName, record: LeaseRecord) -> StoreTxn {
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
            value: serde_json::to_vec(&record).expect("a lease record has only numbers"),
        }],
        lease: Some(record.lease),
        reads_on_conflict: vec![key, owner_key(shard)],
        ..StoreTxn::default()
    }
}

fn lease_key(shard: &ShardName) -> String {
    format!("{LEASE_PREFIX}{shard}")
}
