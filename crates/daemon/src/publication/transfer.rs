//! Writes configuration versions to the store and reads them back.

use std::time::Duration;

use auburnsaddle_core::{
    ConfigPull, ConfigSnapshot, ConfigUpdate, ConfigVersion, SNAPSHOT_INTERVAL,
};
use futures::future::try_join_all;

use super::{
    messages::CommitResult,
    state::{
        HEAD_KEY, decode_delta, decode_head, decode_snapshot, delta_key, publish_transaction,
        snapshot_prefix,
    },
};
use crate::store::{StoreClient, StoreError, TxnOutcome};

/// Number of reads, each with its own timeout, that check whether a write with a
/// lost response took effect.
const READ_BACK_ATTEMPTS: u32 = 3;

/// Pause before the next read, in which a slow write may still take effect.
const READ_BACK_DELAY: Duration = Duration::from_millis(250);

/// Publishes a version. If the response is lost, reads the version back to find
/// out whether it was written.
pub(crate) async fn commit_update<S: StoreClient>(
    store: &S,
    update: &ConfigUpdate,
) -> CommitResult {
    match store.commit(publish_transaction(update)).await {
        Ok(TxnOutcome::Committed) => CommitResult::Committed,
        Ok(TxnOutcome::Conflict(entries)) => CommitResult::Superseded(decode_head(&entries)),
        Err(error) => {
            log::warn!(
                "publishing version {}: {error}; reading the version back",
                update.head.version
            );
            read_back(store, update, error).await
        }
    }
}

/// Reads a version back to find out whether a write without a response took
/// effect; a delta that differs belongs to another version published first.
async fn read_back<S: StoreClient>(
    store: &S,
    update: &ConfigUpdate,
    mut error: StoreError,
) -> CommitResult {
    let version = update.head.version;
    for _ in 0..READ_BACK_ATTEMPTS {
        match store.read_prefix(&delta_key(version)).await {
            Ok(entries) if decode_delta(&entries, version).as_ref() == Some(&update.delta) => {
                return CommitResult::Committed;
            }
            Ok(entries) if !entries.is_empty() => {
                let head = store.read_prefix(HEAD_KEY).await.unwrap_or_default();
                return CommitResult::Superseded(decode_head(&head));
            }
            Ok(_) => {}
            Err(failure) => error = failure,
        }
        tokio::time::sleep(READ_BACK_DELAY).await;
    }
    CommitResult::Unknown(error)
}

/// Reads the versions later than `after`, up to and including `head`.
///
/// If fewer versions than one snapshot interval are missing, only deltas are
/// read. Otherwise the latest snapshot, or the previous one if that is corrupted,
/// and the deltas after it are read.
pub(crate) async fn fetch_versions<S: StoreClient>(
    store: &S,
    after: ConfigVersion,
    head: ConfigVersion,
) -> Result<ConfigPull, StoreError> {
    if head.saturating_sub(after) < SNAPSHOT_INTERVAL {
        return Ok(ConfigPull {
            snapshot: None,
            ..fetch_deltas(store, after, head).await?
        });
    }
    let mut base = head - head % SNAPSHOT_INTERVAL;
    let mut snapshot = fetch_snapshot(store, base).await?;
    if snapshot.is_none() && base > 0 {
        base -= SNAPSHOT_INTERVAL;
        snapshot = fetch_snapshot(store, base).await?;
    }
    Ok(ConfigPull {
        snapshot,
        ..fetch_deltas(store, base, head).await?
    })
}

async fn fetch_snapshot<S: StoreClient>(
    store: &S,
    version: ConfigVersion,
) -> Result<Option<ConfigSnapshot>, StoreError> {
    let parts = store.read_prefix(&snapshot_prefix(version)).await?;
    Ok(decode_snapshot(&parts))
}

async fn fetch_deltas<S: StoreClient>(
    store: &S,
    after: ConfigVersion,
    head: ConfigVersion,
) -> Result<ConfigPull, StoreError> {
    let reads = (after + 1..=head).map(|version| async move {
        let entries = store.read_prefix(&delta_key(version)).await?;
        Ok::<_, StoreError>(decode_delta(&entries, version))
    });
    let deltas = try_join_all(reads).await?;
    Ok(ConfigPull {
        snapshot: None,
        deltas: deltas.into_iter().flatten().collect(),
    })
}
