//! Draining before shutdown: open requests finish and the owned shards move to
//! peers.

use std::time::Duration;

use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
    task::JoinHandle,
};

use super::messages::{ControlEvent, ControlHandle, RoutingSnapshot};
use crate::front::FrontConnections;

/// Interval between checks whether peers have claimed the shards of a draining
/// daemon.
const HANDOVER_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Handles for shutting down the daemon, in the order in which a drain uses them.
#[derive(Debug)]
pub(super) struct DaemonDrain {
    pub(super) control: ControlHandle,
    /// Signals the registration task to deregister the daemon.
    pub(super) stop: watch::Sender<bool>,
    /// The registration task, which returns once the daemon is deregistered.
    pub(super) registration: JoinHandle<()>,
}

/// Waits for `SIGTERM`. Never returns if the signal handler cannot be installed,
/// since the daemon would otherwise shut down at once.
pub(super) async fn wait_for_sigterm() {
    match signal(SignalKind::terminate()) {
        Ok(mut signal) => {
            signal.recv().await;
            log::info!("draining");
        }
        Err(error) => {
            log::error!("cannot install the SIGTERM handler: {error}; the daemon cannot drain");
            std::future::pending::<()>().await;
        }
    }
}

impl DaemonDrain {
    /// Finishes open requests, waits until the shards have other owners and
    /// deregisters the daemon. Requests of peers are served until the end, so that
    /// calls queued here for a slot are not lost.
    pub(super) async fn finish(self, front: FrontConnections) {
        self.control.send(ControlEvent::DrainStarted).await;
        front.finish().await;
        while can_hand_over_shards(&self.control.snapshot()) {
            tokio::time::sleep(HANDOVER_POLL_INTERVAL).await;
        }
        self.stop.send_replace(true);
        if let Err(error) = self.registration.await {
            log::error!("the registration task failed: {error}");
        }
    }
}

/// Returns whether this daemon still owns shards and other daemons are registered
/// that can take them over.
fn can_hand_over_shards(snapshot: &RoutingSnapshot) -> bool {
    !snapshot.members.is_empty() && snapshot.owned_shards() > 0
}
