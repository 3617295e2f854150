//! The table of peers and the judgement of their liveness.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::messages::{Heartbeat, MemberRecord};
use crate::types::{ConfigVersion, DaemonId};

/// Times of the failure detector.
#[derive(Clone, Copy, Debug)]
pub struct PeerConfig {
    /// How long a peer may be silent before it is suspected.
    ///
    /// Three heartbeats of 500 ms: one lost and one late heartbeat do not make
    /// a peer suspected.
    pub suspicion_time: Duration,
}

impl Default for PeerConfig {
    fn default() -> Self {
        Self {
            suspicion_time: Duration::from_millis(1_500),
        }
    }
}

/// What is known of one peer.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// The peer's registration.
    pub record: MemberRecord,
    /// When the last heartbeat arrived, or when the peer was registered.
    pub heard_at: Duration,
    /// The peer's configuration version.
    pub config_version: ConfigVersion,
    /// The daemons that the peer does not hear.
    pub suspected: BTreeSet<DaemonId>,
    /// Whether the peer gives up its shards.
    pub draining: bool,
}

/// All registered peers of a daemon.
#[derive(Clone, Debug)]
pub struct PeerTable {
    config: PeerConfig,
    peers: BTreeMap<DaemonId, PeerState>,
}

impl PeerTable {
    /// Returns a table without peers.
    #[must_use]
    pub const fn new(config: PeerConfig) -> Self {
        Self {
            config,
            peers: BTreeMap::new(),
        }
    }

    /// Takes over the registered members, without the daemon itself.
    pub fn set_members(&mut self, members: Vec<MemberRecord>, now: Duration) {
        let mut peers = BTreeMap::new();
        for record in members {
            let peer = match self.peers.remove(&record.daemon) {
                Some(peer) if peer.record == record => peer,
                _ => PeerState {
                    record: record.clone(),
                    heard_at: now,
                    config_version: 0,
                    suspected: BTreeSet::new(),
                    draining: false,
                },
            };
            peers.insert(record.daemon, peer);
        }
        self.peers = peers;
    }

    /// Notes a heartbeat; one of an unregistered daemon is ignored.
    pub fn note_heartbeat(&mut self, heartbeat: Heartbeat, now: Duration) {
        if let Some(peer) = self.peers.get_mut(&heartbeat.daemon) {
            peer.heard_at = now;
            peer.config_version = heartbeat.config_version;
            peer.suspected = heartbeat.suspected;
            peer.draining = heartbeat.draining;
        }
    }

    /// Returns the peers that were silent for the suspicion time.
    #[must_use]
    pub fn suspected(&self, now: Duration) -> BTreeSet<DaemonId> {
        self.peers
            .iter()
            .filter(|(_, peer)| now.saturating_sub(peer.heard_at) >= self.config.suspicion_time)
            .map(|(daemon, _)| daemon.clone())
            .collect()
    }

    /// Returns the peers that are heard.
    pub fn alive(&self, now: Duration) -> impl Iterator<Item = &PeerState> {
        let suspicion_time = self.config.suspicion_time;
        self.peers
            .values()
            .filter(move |peer| now.saturating_sub(peer.heard_at) < suspicion_time)
    }

    /// Returns all registered peers.
    pub fn iter(&self) -> impl Iterator<Item = &PeerState> {
        self.peers.values()
    }

    /// Tells whether more than half of the live peers that are heard also
    /// suspect `daemon`, so a cut between two daemons is not taken for a death.
    #[must_use]
    pub fn is_confirmed_dead(&self, daemon: &DaemonId, now: Duration) -> bool {
        let suspected_here = match self.peers.get(daemon) {
            Some(peer) => now.saturating_sub(peer.heard_at) >= self.config.suspicion_time,
            None => true,
        };
        let witnesses: Vec<_> = self.alive(now).collect();
        let agreeing = witnesses
            .iter()
            .filter(|peer| peer.suspected.contains(daemon))
            .count();
        let registered = self.peers.contains_key(daemon);
        suspected_here && (!registered || witnesses.is_empty() || agreeing * 2 > witnesses.len())
    }
}
