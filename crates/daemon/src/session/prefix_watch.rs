//! Watches the items below a key prefix of the store.

use std::time::Duration;

use auburnsaddle_platform::{ItemChange, StoreItem, WatchOutcome};
use tokio::sync::mpsc;

use super::{retry::RetryDelay, route::CellStore};
use crate::cell::CellEvent;

/// How long one watch call waits for a change. A connection that stops delivering
/// data without a reset is detected only after this time.
const WATCH_TIMEOUT: Duration = Duration::from_secs(2);

/// How a watch groups changes, and how it notices that the store has stopped to deliver them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WatchTiming {
    /// Pause after each update, so that the next call returns several changes together.
    pub(crate) batch_delay: Duration,
    /// Longest time without a change in a prefix that changes all the time. After it, all
    /// items are read again. `None` if the prefix may stay unchanged.
    pub(crate) max_silence: Option<Duration>,
}

impl WatchTiming {
    /// Returns the timing of a watch on a prefix that may stay unchanged.
    pub(crate) const fn batched(batch_delay: Duration) -> Self {
        Self {
            batch_delay,
            max_silence: None,
        }
    }
}

/// The items below a prefix, or how they changed.
#[derive(Clone, Debug)]
pub(crate) enum PrefixUpdate {
    /// All items: the first update of a watch without a revision, and again after the
    /// store compacted its history or was silent for too long.
    Snapshot(Vec<StoreItem>),
    /// Changes since the previous update.
    Changes(Vec<ItemChange>),
}

/// Sends the updates of a prefix until the control thread ends.
///
/// `revision` is the revision of an earlier read of all items; without it, all items
/// are read first.
pub(crate) async fn watch_prefix(
    store: CellStore,
    prefix: String,
    mut revision: Option<u64>,
    timing: WatchTiming,
    events: mpsc::Sender<CellEvent>,
    wrap: impl Fn(PrefixUpdate) -> CellEvent + Send,
) {
    let mut delay = RetryDelay::default();
    let wait = timing.max_silence.unwrap_or(WATCH_TIMEOUT);
    loop {
        let update = match revision {
            None => match store.read_range(&prefix).await {
                Ok((items, at)) => {
                    revision = Some(at);
                    Some(PrefixUpdate::Snapshot(items))
                }
                Err(_) => None,
            },
            Some(after) => match store.watch(&prefix, after, wait).await {
                WatchOutcome::Changes(changes, _)
                    if changes.is_empty() && timing.max_silence.is_some() =>
                {
                    revision = None;
                    continue;
                }
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
            tokio::time::sleep(timing.batch_delay).await;
        }
    }
}
