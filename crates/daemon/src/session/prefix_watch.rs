//! Watches the items below a key prefix of the store.

use std::time::Duration;

use auburnsaddle_platform::{ItemChange, StoreItem, WatchOutcome};
use tokio::sync::mpsc;

use super::{retry::RetryDelay, route::CellStore};
use crate::cell::CellEvent;

/// How long one watch call waits for a change. A connection that stops delivering
/// data without a reset is detected only after this time.
const WATCH_TIMEOUT: Duration = Duration::from_secs(2);

/// The items below a prefix, or how they changed.
#[derive(Clone, Debug)]
pub(crate) enum PrefixUpdate {
    /// All items: the first update of a watch without a revision, and again after the
    /// store compacted its history.
    Snapshot(Vec<StoreItem>),
    /// Changes since the previous update.
    Changes(Vec<ItemChange>),
}

/// Sends the updates of a prefix until the control thread ends.
///
/// `revision` is the revision of an earlier read of all items; without it, all items
/// are read first. After each update the watch pauses for `batch_delay`, so that the
/// next call returns several changes together.
pub(crate) async fn watch_prefix(
    store: CellStore,
    prefix: String,
    mut revision: Option<u64>,
    batch_delay: Duration,
    events: mpsc::Sender<CellEvent>,
    wrap: impl Fn(PrefixUpdate) -> CellEvent + Send,
) {
    let mut delay = RetryDelay::default();
    loop {
        let update = match revision {
            None => match store.read_range(&prefix).await {
                Ok((items, at)) => {
                    revision = Some(at);
                    Some(PrefixUpdate::Snapshot(items))
                }
                Err(_) => None,
            },
            Some(after) => match store.watch(&prefix, after, WATCH_TIMEOUT).await {
                WatchOutcome::Changes(changes, at) => {
                    revision = Some(at.max(after));
                    Some(PrefixUpdate::Changes(changes))
                }
                WatchOutcome::HistoryCompacted => {
                    log::info!(
                        prefix = prefix.as_str();
                        "the store compacted the watch history; reading all items"
                    );
                    revision = None;
                    continue;
                }
                WatchOutcome::Failed => None,
            },
        };
        let Some(update) = update else {
            let (pause, is_first) = delay.next_delay(rand::random());
            if is_first {
                log::warn!(prefix = prefix.as_str(); "lost contact with the store; retrying");
            }
            tokio::time::sleep(pause).await;
            continue;
        };
        if delay.reset() {
            log::info!(prefix = prefix.as_str(); "regained contact with the store");
        }
        let is_empty = matches!(&update, PrefixUpdate::Changes(changes) if changes.is_empty());
        if !is_empty {
            if events.send(wrap(update)).await.is_err() {
                return;
            }
            tokio::time::sleep(batch_delay).await;
        }
    }
}
