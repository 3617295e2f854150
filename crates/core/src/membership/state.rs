//! The table of peers and the judgement of their liveness.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::messages::{Heartbeat, MemberRecord, OwnedDigest, ShardLoad};
use crate::types::{ConfigVersion, DaemonId, RegionId, ShardName};

/// Times of the failure detector.
#[derive(Clone, Copy, Debug)]
pub struct PeerConfig {
    /// How long a peer may be silent before it is suspected.
    ///
    /// Three heartbeats of 500 ms: one lost and one late heartbeat do not make
    /// a peer suspected.
    pub suspicion_time: Duration,
    /// A longer time between two timer events means that this process was
    /// paused and could not hear its peers.
    pub pause_time: Duration,
}

impl Default for PeerConfig {
    fn default() -> Self {
        Self {
            suspicion_time: Duration::from_millis(1_500),
            pause_time: Duration::from_secs(1),
        }
    }
}

/// What is known of one peer.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// The peer's registration.
    pub record: MemberRecord,
    /// Whether the registration was in the store when it was last read. A
    /// peer that is heard stays known without one, as the leases of all
    /// daemons may expire in a store outage.
    pub registered: bool,
    /// When the last heartbeat arrived, or when the peer was registered.
    pub last_heartbeat_at: Duration,
    /// Whether the peer refused a connection after its last heartbeat.
    pub refused: bool,
    /// The peer's configuration version.
    pub config_version: ConfigVersion,
    /// The daemons that the peer does not hear.
    pub suspected: BTreeSet<DaemonId>,
    /// Whether the peer gives up its shards.
    pub draining: bool,
    /// Digest of the shards that the peer owns.
    pub owned_digest: OwnedDigest,
    /// The last known loads of the peer's shards.
    pub loads: BTreeMap<ShardName, ShardLoad>,
}

impl PeerState {
    const fn new(record: MemberRecord, registered: bool, now: Duration) -> Self {
        Self {
            record,
            registered,
            last_heartbeat_at: now,
            refused: false,
            config_version: 0,
            suspected: BTreeSet::new(),
            draining: false,
            owned_digest: 0,
            loads: BTreeMap::new(),
        }
    }
}

/// All known peers of a daemon.
#[derive(Clone, Debug)]
pub struct PeerTable {
    config: PeerConfig,
    region: RegionId,
    peers: BTreeMap<DaemonId, PeerState>,
    ticked_at: Option<Duration>,
}

impl PeerTable {
    /// Returns the table of a daemon in `region`, without peers.
    #[must_use]
    pub const fn new(config: PeerConfig, region: RegionId) -> Self {
        Self {
            config,
            region,
            peers: BTreeMap::new(),
            ticked_at: None,
        }
    }

    /// Takes over the registered members, without the daemon itself.
    pub fn set_members(&mut self, members: Vec<MemberRecord>, now: Duration) {
        let mut before = std::mem::take(&mut self.peers);
        for record in members {
            let peer = match before.remove(&record.daemon) {
                Some(peer) if peer.record == record => PeerState {
                    registered: true,
                    ..peer
                },
                _ => PeerState::new(record.clone(), true, now),
            };
            self.peers.insert(record.daemon, peer);
        }
        let heard = before
            .into_iter()
            .filter(|(_, peer)| !is_suspected(peer, &self.config, now))
            .map(|(daemon, peer)| {
                let registered = false;
                (daemon, PeerState { registered, ..peer })
            });
        self.peers.extend(heard);
    }

    /// Takes over members that a peer passed on, for a start while the store
    /// is down. What was read from the store goes before it.
    pub fn add_members(&mut self, members: Vec<MemberRecord>, now: Duration) {
        for record in members {
            self.peers
                .entry(record.daemon.clone())
                .or_insert_with(|| PeerState::new(record, true, now));
        }
    }

    /// Takes over what a daemon says of itself. It goes before the store, which
    /// may still hold the addresses of the daemon's former process.
    pub fn update_member(&mut self, record: MemberRecord, now: Duration) {
        match self.peers.get(&record.daemon) {
            Some(peer) if peer.record == record => {}
            _ => {
                let peer = PeerState::new(record.clone(), true, now);
                self.peers.insert(record.daemon, peer);
            }
        }
    }

    /// Notes a heartbeat; one of an unknown daemon is ignored.
    pub fn record_heartbeat(&mut self, heartbeat: Heartbeat, now: Duration) {
        if let Some(peer) = self.peers.get_mut(&heartbeat.daemon) {
            peer.last_heartbeat_at = now;
            peer.refused = false;
            peer.config_version = heartbeat.config_version;
            peer.suspected = heartbeat.suspected;
            peer.draining = heartbeat.draining;
            peer.owned_digest = heartbeat.owned_digest;
            peer.loads.extend(heartbeat.loads);
        }
    }

    /// Notes that a peer's host refused a connection: no process listens, so
    /// the peer is suspected without waiting.
    pub fn record_refused_connection(&mut self, daemon: &DaemonId) {
        if let Some(peer) = self.peers.get_mut(daemon) {
            peer.refused = true;
        }
    }

    /// Notes that time has passed. After a pause of this process the silence
    /// of its peers says nothing, so it is not counted.
    pub fn handle_timer(&mut self, now: Duration) {
        let before = self.ticked_at.replace(now).unwrap_or(now);
        let gap = now.saturating_sub(before);
        if gap <= self.config.pause_time {
            return;
        }
        for peer in self.peers.values_mut() {
            peer.last_heartbeat_at = now.min(peer.last_heartbeat_at + gap);
        }
    }

    /// Returns the peers of the region that are silent or refuse connections.
    #[must_use]
    pub fn suspected(&self, now: Duration) -> BTreeSet<DaemonId> {
        self.region_peers()
            .filter(|peer| is_suspected(peer, &self.config, now))
            .map(|peer| peer.record.daemon.clone())
            .collect()
    }

    /// Returns the peers of the region that are heard.
    pub fn alive(&self, now: Duration) -> impl Iterator<Item = &PeerState> {
        self.region_peers()
            .filter(move |peer| !is_suspected(peer, &self.config, now))
    }

    /// Returns the peers to which a request may not get through: those that are
    /// not heard, and those that say that they do not hear `own`.
    #[must_use]
    pub fn partitioned(&self, own: &DaemonId, now: Duration) -> BTreeSet<DaemonId> {
        self.peers
            .values()
            .filter(|peer| is_suspected(peer, &self.config, now) || peer.suspected.contains(own))
            .map(|peer| peer.record.daemon.clone())
            .collect()
    }

    /// Returns all known peers.
    pub fn iter(&self) -> impl Iterator<Item = &PeerState> {
        self.peers.values()
    }

    /// Returns the known peers of the own region.
    pub fn region_peers(&self) -> impl Iterator<Item = &PeerState> {
        self.peers
            .values()
            .filter(|peer| peer.record.region == self.region)
    }

    /// Returns one peer of each other region for the heartbeats between
    /// regions. `rank` spreads the daemons of this region over those of the
    /// other; a peer that refuses connections is passed over.
    #[must_use]
    pub fn relay_peers(&self, rank: usize) -> Vec<&PeerState> {
        let mut regions: BTreeMap<&RegionId, Vec<&PeerState>> = BTreeMap::new();
        for peer in self.peers.values() {
            if peer.record.region != self.region && !peer.refused {
                regions.entry(&peer.record.region).or_default().push(peer);
            }
        }
        regions
            .into_values()
            .filter_map(|peers| peers.get(rank % peers.len()).copied())
            .collect()
    }

    /// Tells whether more than half of the region's registered daemons
    /// suspect `daemon`, itself not counted and this daemon included. Neither
    /// a partition between two daemons nor the minority side of a partition
    /// reaches that. A daemon that is neither registered nor heard is dead.
    #[must_use]
    pub fn is_confirmed_dead(&self, daemon: &DaemonId, now: Duration) -> bool {
        let Some(suspect) = self.peers.get(daemon) else {
            return true;
        };
        if !is_suspected(suspect, &self.config, now) {
            return false;
        }
        let others = || {
            self.region_peers()
                .filter(|peer| peer.record.daemon != *daemon)
        };
        let electorate = 1 + others().filter(|peer| peer.registered).count();
        let votes = 1 + others()
            .filter(|peer| peer.registered && !is_suspected(peer, &self.config, now))
            .filter(|peer| peer.suspected.contains(daemon))
            .count();
        votes * 2 > electorate
    }
}

fn is_suspected(peer: &PeerState, config: &PeerConfig, now: Duration) -> bool {
    peer.refused || now.saturating_sub(peer.last_heartbeat_at) >= config.suspicion_time
}
