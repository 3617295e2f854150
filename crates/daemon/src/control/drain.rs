//! The end of the daemon: open requests finish and its shards move to peers.

use std::time::Duration;

use hyper_util::server::graceful::GracefulShutdown;
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
    task::JoinHandle,
};

use super::messages::{ControlEvent, ControlHandle, RoutingSnapshot};

/// Time between looks at the owners while shards move to peers.
const HANDOVER_INTERVAL: Duration = Duration::from_millis(50);

/// Everything that a drain ends, in order.
#[derive(Debug)]
pub(super) struct Drain {
    pub(super) control: ControlHandle,
    /// Ends the registration.
    pub(super) stop: watch::Sender<bool>,
    /// Ends when the daemon is deregistered.
    pub(super) registration: JoinHandle<()>,
}

/// Waits for the signal that asks the daemon to stop.
pub(super) async fn terminated() {
    match signal(SignalKind::terminate()) {
        Ok(mut signal) => {
            signal.recv().await;
            log::info!("draining");
        }
        Err(error) => {
            log::error!("SIGTERM cannot be handled: {error}; the daemon cannot drain");
            std::future::pending::<()>().await;
        }
    }
}

impl Drain {
    /// Lets open requests finish, waits until the shards have other owners and
    /// deregisters the daemon. Peers are answered until the end, so calls that
    /// wait here for a slot are not lost.
    pub(super) async fn finish(self, front: GracefulShutdown) {
        self.control.send(ControlEvent::DrainStarted).await;
        front.shutdown().await;
        while must_hand_over(&self.control.snapshot()) {
            tokio::time::sleep(HANDOVER_INTERVAL).await;
        }
        self.stop.send_replace(true);
        if let Err(error) = self.registration.await {
            log::error!("the registration task failed: {error}");
        }
    }
}

/// Tells whether shards are left and another daemon is there to take them over.
fn must_hand_over(snapshot: &RoutingSnapshot) -> bool {
    !snapshot.members.is_empty() && snapshot.owned_shards() > 0
}
