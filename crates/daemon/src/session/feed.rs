//! Follows the items below a prefix of the store.

use std::time::Duration;

use auburnsaddle_platform::{ItemChange, StoreItem, WatchOutcome};
use tokio::sync::mpsc;

use super::{retry::RetryDelay, route::CellStore};
use crate::cell::CellEvent;

/// How long a watch waits for a change. A connection may go silent without a
/// reset, which shows only after this time.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// What a prefix holds, or how it changed.
#[derive(Clone, Debug)]
pub(crate) enum FeedNews {
    /// All items.
    Snapshot(Vec<StoreItem>),
    /// Changes since the news before.
    Changes(Vec<ItemChange>),
}

/// Follows a prefix until the control thread ends. `revision` is where an earlier
/// reading of all items ended. After each change it pauses for `pace`, so that
/// the next call brings several.
pub(crate) async fn follow_prefix(
    store: CellStore,
    prefix: String,
    mut revision: Option<u64>,
    pace: Duration,
    events: mpsc::Sender<CellEvent>,
    wrap: impl Fn(FeedNews) -> CellEvent + Send,
) {
    let mut delay = RetryDelay::default();
    loop {
        let news = match revision {
            None => match store.read_range(&prefix).await {
                Ok((items, at)) => {
                    revision = Some(at);
                    Some(FeedNews::Snapshot(items))
                }
                Err(_) => None,
            },
            Some(after) => match store.watch(&prefix, after, WATCH_WAIT).await {
                WatchOutcome::Changes(changes, at) => {
                    revision = Some(at.max(after));
                    Some(FeedNews::Changes(changes))
                }
                WatchOutcome::HistoryCompacted => {
                    log::info!(prefix = prefix.as_str(); "history is gone; reading all items");
                    revision = None;
                    continue;
                }
                WatchOutcome::Failed => None,
            },
        };
        let Some(news) = news else {
            let (pause, is_first) = delay.next(rand::random());
            if is_first {
                log::warn!(prefix = prefix.as_str(); "lost contact with the store; retrying");
            }
            tokio::time::sleep(pause).await;
            continue;
        };
        if delay.reset() {
            log::info!(prefix = prefix.as_str(); "regained contact with the store");
        }
        let is_empty = matches!(&news, FeedNews::Changes(changes) if changes.is_empty());
        if !is_empty {
            if events.send(wrap(news)).await.is_err() {
                return;
            }
            tokio::time::sleep(pace).await;
        }
    }
}
