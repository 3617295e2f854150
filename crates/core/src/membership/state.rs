//! The table of peers and the failure detector.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::messages::{Heartbeat, MemberRecord, OwnedDigest, ShardLoad};
use crate::types::{ConfigVersion, DaemonId, RegionId, ShardName};

/// Timeouts of the failure detector.
#[derive(Clone, Copy, Debug)]
pub struct PeerConfig {
    /// Time without a heartbeat after which a peer is suspected.
    ///
    /// Three heartbeat intervals of 500 ms, so that one lost heartbeat followed by
    /// a late one does not make a peer suspected.
    pub suspicion_timeout: Duration,
    /// Time between two timer events above which this process is taken to have
    /// been paused, and could not receive heartbeats.
    pub pause_threshold: Duration,
}

impl Default for PeerConfig {
    fn default() -> Self {
        Self {
            suspicion_timeout: Duration::from_millis(1_500),
            pause_threshold: Duration::from_secs(1),
        }
    }
}

/// The known state of one peer.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// The peer's registration.
    pub record: MemberRecord,
    /// Whether the registration was in the store when the members were last read.
    /// A peer that still sends heartbeats is kept without a registration, as the
    /// leases of all daemons may expire in a store outage.
    pub registered: bool,
    /// When the last heartbeat arrived, or when the peer was registered if none
    /// has.
    pub last_heartbeat_at: Duration,
    /// Whether the peer has refused a connection since its last heartbeat.
    pub is_refusing: bool,
    /// The configuration version in force at the peer.
    pub config_version: ConfigVersion,
    /// The daemons that the peer suspects.
    pub suspected: BTreeSet<DaemonId>,
    /// Whether the peer is draining and hands over its shards.
    pub draining: bool,
    /// Digest of the shards that the peer owns.
    pub owned_digest: OwnedDigest,
    /// The last reported loads of the peer's shards.
    pub loads: BTreeMap<ShardName, ShardLoad>,
}

impl PeerState {
    const fn new(record: MemberRecord, registered: bool, now: Duration) -> Self {
        Self {
            record,
            registered,
            last_heartbeat_at: now,
            is_refusing: false,
            config_version: 0,
            suspected: BTreeSet::new(),
            draining: false,
            owned_digest: 0,
            loads: BTreeMap::new(),
        }
    }
}

/// All known peers of a daemon, in its own and in other regions.
#[derive(Clone, Debug)]
pub struct PeerTable {
    config: PeerConfig,
    region: RegionId,
    peers: BTreeMap<DaemonId, PeerState>,
    last_timer_at: Option<Duration>,
}

impl PeerTable {
    /// Returns the empty table of a daemon in `region`.
    #[must_use]
    pub const fn new(config: PeerConfig, region: RegionId) -> Self {
        Self {
            config,
            region,
            peers: BTreeMap::new(),
            last_timer_at: None,
        }
    }

    /// Replaces the registered members, which must not include this daemon. Peers
    /// that are no longer registered are kept while they are not suspected.
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
        let unregistered = before
            .into_iter()
            .filter(|(_, peer)| !is_suspected(peer, &self.config, now))
            .map(|(daemon, peer)| {
                let registered = false;
                (daemon, PeerState { registered, ..peer })
            });
        self.peers.extend(unregistered);
    }

    /// Adds members received from a peer, so that a daemon can start while the
    /// store is down. Known members are kept unchanged, as records read from the
    /// store take precedence.
    pub fn add_members(&mut self, members: Vec<MemberRecord>, now: Duration) {
        for record in members {
            self.peers
                .entry(record.daemon.clone())
                .or_insert_with(|| PeerState::new(record, true, now));
        }
    }

    /// Adds or replaces a member by the record that the daemon itself sent. It
    /// takes precedence over the store, which may still hold the addresses of an
    /// earlier process of the daemon.
    pub fn update_member(&mut self, record: MemberRecord, now: Duration) {
        match self.peers.get(&record.daemon) {
            Some(peer) if peer.record == record => {}
            _ => {
                let peer = PeerState::new(record.clone(), true, now);
                self.peers.insert(record.daemon, peer);
            }
        }
    }

    /// Applies a heartbeat. A heartbeat of an unknown daemon is ignored.
    pub fn record_heartbeat(&mut self, heartbeat: Heartbeat, now: Duration) {
        if let Some(peer) = self.peers.get_mut(&heartbeat.daemon) {
            peer.last_heartbeat_at = now;
            peer.is_refusing = false;
            peer.config_version = heartbeat.config_version;
            peer.suspected = heartbeat.suspected;
            peer.draining = heartbeat.draining;
            peer.owned_digest = heartbeat.owned_digest;
            peer.loads.extend(heartbeat.loads);
        }
    }

    /// Marks a peer as suspected at once because its host refused a connection: no
    /// process listens at its address.
    pub fn record_refused_connection(&mut self, daemon: &DaemonId) {
        if let Some(peer) = self.peers.get_mut(daemon) {
            peer.is_refusing = true;
        }
    }

    /// Handles the periodic timer. After a pause of this process, the time of the
    /// pause does not count as silence of its peers. Returns the time of a pause
    /// that ended since the last call.
    pub fn handle_timer(&mut self, now: Duration) -> Option<Duration> {
        let before = self.last_timer_at.replace(now).unwrap_or(now);
        let gap = now.saturating_sub(before);
        if gap <= self.config.pause_threshold {
            return None;
        }
        for peer in self.peers.values_mut() {
            peer.last_heartbeat_at = now.min(peer.last_heartbeat_at + gap);
        }
        Some(gap)
    }

    /// Returns the suspected peers of the region: those that are silent or refuse
    /// connections.
    #[must_use]
    pub fn suspected(&self, now: Duration) -> BTreeSet<DaemonId> {
        self.region_peers()
            .filter(|peer| is_suspected(peer, &self.config, now))
            .map(|peer| peer.record.daemon.clone())
            .collect()
    }

    /// Returns the peers of the region that are not suspected.
    pub fn alive(&self, now: Duration) -> impl Iterator<Item = &PeerState> {
        self.region_peers()
            .filter(move |peer| !is_suspected(peer, &self.config, now))
    }

    /// Returns the peers that a request may not reach: those that this daemon
    /// suspects, and those that suspect this daemon, whose name is `own`.
    #[must_use]
    pub fn partitioned(&self, own: &DaemonId, now: Duration) -> BTreeSet<DaemonId> {
        self.peers
            .values()
            .filter(|peer| is_suspected(peer, &self.config, now) || peer.suspected.contains(own))
            .map(|peer| peer.record.daemon.clone())
            .collect()
    }

    /// Returns all known peers of all regions.
    pub fn iter(&self) -> impl Iterator<Item = &PeerState> {
        self.peers.values()
    }

    /// Returns the known peers of this daemon's region.
    pub fn region_peers(&self) -> impl Iterator<Item = &PeerState> {
        self.peers
            .values()
            .filter(|peer| peer.record.region == self.region)
    }

    /// Returns one peer of each other region as receiver of the heartbeats between
    /// regions. `rank`, this daemon's index within its region, spreads the senders
    /// over the receivers. Peers that refuse connections are skipped.
    #[must_use]
    pub fn relay_peers(&self, rank: usize) -> Vec<&PeerState> {
        let mut regions: BTreeMap<&RegionId, Vec<&PeerState>> = BTreeMap::new();
        for peer in self.peers.values() {
            if peer.record.region != self.region && !peer.is_refusing {
                regions.entry(&peer.record.region).or_default().push(peer);
            }
        }
        regions
            .into_values()
            .filter_map(|peers| peers.get(rank % peers.len()).copied())
            .collect()
    }

    /// Returns whether more than half of the region's registered daemons suspect
    /// `daemon`, this daemon included and `daemon` itself excluded. Neither a
    /// partition between two daemons nor the minority side of a partition reaches
    /// this majority. A daemon that is not in the table, so neither registered nor
    /// sending heartbeats, counts as dead.
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
        let eligible = 1 + others().filter(|peer| peer.registered).count();
        let votes = 1 + others()
            .filter(|peer| peer.registered && !is_suspected(peer, &self.config, now))
            .filter(|peer| peer.suspected.contains(daemon))
            .count();
        votes * 2 > eligible
    }
}

fn is_suspected(peer: &PeerState, config: &PeerConfig, now: Duration) -> bool {
    peer.is_refusing || now.saturating_sub(peer.last_heartbeat_at) >= config.suspicion_timeout
}
