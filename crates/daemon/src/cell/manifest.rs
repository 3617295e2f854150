//! The manifest in force, and how recently the store has confirmed it.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use auburnsaddle_platform::{Manifest, StoreItem};
use tokio::{
    sync::{Notify, watch},
    time::timeout,
};

use crate::telemetry::BootClock;

/// Age of the confirmation from which a request waits for a newer one. The manifest is polled
/// every 0.5 s, so only a daemon that was suspended, or cut off from the store, gets here.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(2);

/// Longest time for which a request waits for a confirmation.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(300);

/// The manifest that a request is handled by.
#[derive(Clone, Debug)]
pub(crate) struct CurrentManifest {
    pub(crate) manifest: Arc<Manifest>,
    /// Time since the store confirmed that there is no newer version.
    pub(crate) age: Duration,
}

/// Publishes the manifest in force to the requests.
///
/// Failure mode: a daemon is suspended for some seconds while a key is withdrawn. By its steady
/// clock nothing has happened, so the age is measured on a clock that includes suspensions, and
/// the first requests wait for the next poll.
#[derive(Debug)]
pub(crate) struct ManifestCell {
    clock: BootClock,
    current: ArcSwapOption<Manifest>,
    /// When the latest successful poll was sent.
    confirmed_at: watch::Sender<Duration>,
    /// Whether the latest poll failed.
    is_failing: AtomicBool,
    /// Requests a poll at once.
    poll_request: Notify,
}

impl ManifestCell {
    pub(crate) fn new(clock: BootClock) -> Self {
        Self {
            clock,
            current: ArcSwapOption::empty(),
            confirmed_at: watch::Sender::new(Duration::ZERO),
            is_failing: AtomicBool::new(false),
            poll_request: Notify::new(),
        }
    }

    /// Returns the manifest in force, or `None` if none was read yet.
    pub(crate) fn load(&self) -> Option<CurrentManifest> {
        let manifest = self.current.load_full()?;
        let age = self.clock.now().saturating_sub(*self.confirmed_at.borrow());
        Some(CurrentManifest { manifest, age })
    }

    /// Like [`Self::load`], but first waits for a short time for a confirmation if the latest one
    /// is old and the store is not known to be away.
    pub(crate) async fn load_confirmed(&self) -> Option<CurrentManifest> {
        let known = self.load()?;
        if known.age < MAX_CONFIRMATION_AGE || self.is_failing.load(Ordering::Relaxed) {
            return Some(known);
        }
        let since = self.clock.now().saturating_sub(MAX_CONFIRMATION_AGE);
        let mut confirmations = self.confirmed_at.subscribe();
        self.poll_request.notify_one();
        let confirmed = confirmations.wait_for(|confirmed_at| *confirmed_at >= since);
        if timeout(CONFIRMATION_TIMEOUT, confirmed).await.is_err() {
            log::warn!(
                version = known.manifest.version, age_ms = known.age.as_millis();
                "a request is handled by a version of the manifest that the store has not confirmed"
            );
        }
        self.load()
    }

    /// Waits for the given time, or until a request needs a poll at once.
    pub(super) async fn wait_for_poll(&self, interval: Duration) {
        // Either way the next poll is due.
        let _ = timeout(interval, self.poll_request.notified()).await;
    }

    /// Records that a poll which was sent at the given time has succeeded.
    pub(super) fn confirm(&self, sent_at: Duration) {
        self.is_failing.store(false, Ordering::Relaxed);
        self.confirmed_at.send_replace(sent_at);
    }

    /// Records that the latest poll failed.
    pub(super) fn record_failure(&self) {
        self.is_failing.store(true, Ordering::Relaxed);
    }

    /// Publishes a stored manifest and returns it, unless it cannot be decoded or its version is
    /// not newer than the current one.
    pub(super) fn apply(&self, item: &StoreItem, read_time: Duration) -> Option<Arc<Manifest>> {
        let next = match Manifest::decode(&item.value) {
            Ok(next) => Arc::new(next),
            Err(error) => {
                log::error!(revision = item.revision; "{error}");
                return None;
            }
        };
        let known = self.current.load().as_ref().map(|known| known.version);
        if known.is_some_and(|known| known >= next.version) {
            return None;
        }
        log::info!(
            version = next.version, routes = next.routes.len(), teams = next.teams.len(),
            keys = next.keys.len(), before:? = known, bytes = item.value.len(),
            read_ms = read_time.as_millis();
            "a version of the manifest is in force"
        );
        self.current.store(Some(Arc::clone(&next)));
        Some(next)
    }
}
