//! Log of the peers that become suspected or cease to be.

use std::{collections::BTreeMap, time::Duration};

use auburnsaddle_core::{DaemonId, PeerTable};

/// Why a peer is suspected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum SuspicionCause {
    /// No heartbeat arrived in time.
    Silence,
    /// Its host refuses connections.
    Refusal,
}

/// A change of a peer that requests and takeovers depend on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum PeerChange {
    /// The peer is suspected, or suspected for another cause than before.
    Suspected(DaemonId, SuspicionCause),
    /// A suspected peer sends heartbeats again.
    Returned(DaemonId),
    /// A suspected peer is no longer registered.
    Removed(DaemonId),
}

/// The suspected peers at the last check.
#[derive(Debug, Default)]
pub(crate) struct SuspicionLog {
    causes: BTreeMap<DaemonId, SuspicionCause>,
}

impl SuspicionLog {
    /// Logs the peers that became suspected, and those that no longer are, since
    /// the last check.
    pub(crate) fn check(&mut self, peers: &PeerTable, now: Duration) {
        for change in self.update(peers, now) {
            match change {
                PeerChange::Suspected(daemon, SuspicionCause::Silence) => {
                    log::warn!("peer {daemon} is suspected: it sends no heartbeats");
                }
                PeerChange::Suspected(daemon, SuspicionCause::Refusal) => {
                    log::warn!("peer {daemon} is suspected: it refuses connections");
                }
                PeerChange::Returned(daemon) => {
                    log::info!("peer {daemon} is no longer suspected: it sends heartbeats");
                }
                PeerChange::Removed(daemon) => {
                    log::info!("peer {daemon} is no longer suspected: it is not registered");
                }
            }
        }
    }

    /// Returns the changes since the last update.
    pub(super) fn update(&mut self, peers: &PeerTable, now: Duration) -> Vec<PeerChange> {
        let suspected = peers.suspected(now);
        let causes: BTreeMap<_, _> = peers
            .region_peers()
            .filter(|peer| suspected.contains(&peer.record.daemon))
            .map(|peer| {
                let cause = if peer.is_refusing {
                    SuspicionCause::Refusal
                } else {
                    SuspicionCause::Silence
                };
                (peer.record.daemon.clone(), cause)
            })
            .collect();
        let before = std::mem::replace(&mut self.causes, causes);
        let ended = before.keys().filter(|daemon| !suspected.contains(*daemon));
        let ended = ended.map(|daemon| {
            if peers.iter().any(|peer| peer.record.daemon == *daemon) {
                PeerChange::Returned(daemon.clone())
            } else {
                PeerChange::Removed(daemon.clone())
            }
        });
        let current = self.causes.iter();
        let begun = current.filter(|(daemon, cause)| before.get(*daemon) != Some(*cause));
        let begun = begun.map(|(daemon, cause)| PeerChange::Suspected(daemon.clone(), *cause));
        ended.chain(begun).collect()
    }
}
