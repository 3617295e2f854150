//! All control state, and the application of events to it.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use auburnsaddle_core::{
    ConfigAction, ConfigEvent, ConfigSource, ConfigState, ConfigVersion, DaemonId, Epoch,
    Heartbeat, HostKind, HostTable, JournalConfig, KEY_SHARDS, LoadReporter, MemberRecord,
    ObjectSet, OwnedDigest, OwnerTable, OwnershipConfig, OwnershipEvent, PeerConfig, PeerState,
    PeerTable, RunnerEntry, ShardName, ZoneId, digest_owned,
};
use rand::rngs::StdRng;

use super::{
    effects::{ControlEffect, HeartbeatReceiver},
    messages::{ControlEvent, RoutingSnapshot},
};
use crate::{
    calls::CallShards,
    journal::ShardJournals,
    keys::KeyShards,
    membership::read_members,
    ownership::read_owners,
    publication::read_head,
    store::{LeaseId, StoreEntry},
    tasks::PoolShards,
};

/// Heartbeats within the region for each one between regions: 500 ms and 5 s.
const RELAY_HEARTBEATS: u32 = 10;

/// Heartbeats between two replacements of the connection to a suspected peer,
/// so that the end of a partition is noticed within 2 s.
const RENEWAL_HEARTBEATS: u32 = 4;

/// The control state of a daemon, changed by the control thread alone.
#[derive(Debug)]
pub(super) struct ControlState {
    pub(super) record: MemberRecord,
    pub(super) config: ConfigState,
    pub(super) hosts: HostTable,
    pub(super) hosts_read: bool,
    pub(super) peers: PeerTable,
    pub(super) owners: OwnerTable<StdRng>,
    pub(super) calls: CallShards,
    pub(super) pools: PoolShards,
    pub(super) journals: ShardJournals,
    pub(super) keys: KeyShards,
    /// The shards in lease mode.
    pub(super) leased: BTreeSet<ShardName>,
    /// The leases held in the store, with the epochs they are held for.
    pub(super) leases: BTreeMap<ShardName, (Epoch, LeaseId)>,
    /// Owned shards whose journals cannot be replayed, with the reasons.
    pub(super) unavailable: BTreeMap<ShardName, String>,
    /// Shards in a handover whose calls have not ended yet.
    pub(super) flushing: BTreeMap<ShardName, Epoch>,
    /// Shards that were taken over from another owner.
    pub(super) takeovers: u64,
    /// The commit interval if it is set.
    commit_interval: Option<Duration>,
    loads: LoadReporter,
    heartbeats: u32,
    draining: bool,
}

impl ControlState {
    /// Returns the state of a daemon that knows only itself.
    pub(super) fn new(
        record: MemberRecord,
        commit_interval: Option<Duration>,
        sync_interval: Duration,
    ) -> Self {
        Self {
            config: ConfigState::default(),
            hosts: HostTable::default(),
            hosts_read: false,
            peers: PeerTable::new(PeerConfig::default(), record.region.clone()),
            owners: OwnerTable::new(
                record.daemon.clone(),
                OwnershipConfig::default(),
                rand::make_rng(),
            ),
            calls: CallShards::default(),
            keys: KeyShards::default(),
            pools: PoolShards::new(sync_interval),
            journals: ShardJournals::new(record.daemon.clone(), journal_config(commit_interval, 1)),
            commit_interval,
            leased: BTreeSet::new(),
            leases: BTreeMap::new(),
            unavailable: BTreeMap::new(),
            flushing: BTreeMap::new(),
            takeovers: 0,
            loads: LoadReporter::default(),
            heartbeats: 0,
            draining: false,
            record,
        }
    }

    /// Applies an event and returns the effects to be carried out, with the
    /// commit of the records that the event appended.
    pub(super) fn handle(&mut self, event: ControlEvent, now: Duration) -> Vec<ControlEffect> {
        let mut effects = self.apply(event, now);
        effects.extend(self.send_loans(now));
        effects.extend(self.commit_records(now));
        effects
    }

    fn apply(&mut self, event: ControlEvent, now: Duration) -> Vec<ControlEffect> {
        match event {
            ControlEvent::Keys(command) => self.apply_keys(command, now),
            ControlEvent::LeaseAnswered(answer) => self.apply_lease(answer, now),
            ControlEvent::Journal(report) => self.apply_journal(report, now),
            ControlEvent::Tasks(command) => self.apply_tasks(command, now),
            ControlEvent::Calls(command) => {
                self.check_leases(now);
                self.calls.handle(command, now);
                Vec::new()
            }
            // Only the owner of the grant's shard and epoch has to step down.
            ControlEvent::TargetFenced(shard, epoch)
                if self.owners.owned_epoch(&shard) == Some(epoch) =>
            {
                self.apply_ownership(OwnershipEvent::Fenced(shard, epoch), now)
            }
            ControlEvent::TargetFenced(..) => Vec::new(),
            ControlEvent::Heartbeat(heartbeat) => self.note_heartbeat(heartbeat, now),
            ControlEvent::PeerRefused(daemon) => {
                self.peers.record_refused_connection(&daemon);
                Vec::new()
            }
            ControlEvent::MembersTold(members, owners) => {
                let mut effects = self.add_members(members, now);
                effects.extend(self.apply_ownership(OwnershipEvent::OwnersRead(owners), now));
                effects
            }
            ControlEvent::PeerIntroduced(record, reply) => {
                self.peers.update_member(record, now);
                let event = OwnershipEvent::CandidatesChanged(self.candidates());
                let effects = self.apply_ownership(event, now);
                // The peer's stream may have closed meanwhile.
                let _ = reply.send(self.members());
                effects
            }
            ControlEvent::OwnersRead(owners) => {
                self.apply_ownership(OwnershipEvent::OwnersRead(owners), now)
            }
            ControlEvent::HostsRead(entries) => {
                let first = !std::mem::replace(&mut self.hosts_read, true);
                if self.hosts.replace(entries) || first {
                    self.refresh(now)
                } else {
                    Vec::new()
                }
            }
            ControlEvent::StoreRead(entries) => self.note_store(&entries, now),
            ControlEvent::ClaimAnswered(shard, record) => {
                let event = match record {
                    Some(record) => OwnershipEvent::ClaimAnswered { shard, record },
                    None => OwnershipEvent::ClaimFailed(shard),
                };
                self.apply_ownership(event, now)
            }
            ControlEvent::OwnerRead(shard, record) => {
                self.apply_ownership(OwnershipEvent::OwnerRead { shard, record }, now)
            }
            ControlEvent::Publish {
                base,
                objects,
                reply,
            } => {
                // The operator's connection may have closed meanwhile.
                let _ = reply.send(self.config.prepare(base, objects).map(Box::new));
                Vec::new()
            }
            ControlEvent::ConfigFetched(pull) => self.apply_config(ConfigEvent::Fetched(pull), now),
            ControlEvent::ConfigPulled(from, reply) => {
                // The peer's stream may have closed meanwhile.
                let _ = reply.send(self.config.pull(from));
                Vec::new()
            }
            ControlEvent::DrainStarted => {
                self.draining = true;
                let event = OwnershipEvent::CandidatesChanged(self.candidates());
                let mut effects = self.apply_ownership(event, now);
                effects.extend(self.apply_ownership(OwnershipEvent::DrainRequested, now));
                effects.push(self.heartbeat(now));
                effects
            }
            ControlEvent::MeasuresRequested(reply) => {
                // The operator's connection may have closed meanwhile.
                let _ = reply.send(self.measures());
                Vec::new()
            }
            ControlEvent::DumpRequested(reply) => {
                // The operator's connection may have closed meanwhile.
                let _ = reply.send(Box::new(self.dump(now)));
                Vec::new()
            }
        }
    }

    /// Acts on the passing of time.
    pub(super) fn fire_timers(&mut self, now: Duration) -> Vec<ControlEffect> {
        self.check_leases(now);
        self.calls.fire_timers(now);
        let pools = self.fire_pool_timers(now);
        self.peers.handle_timer(now);
        let dead = self.dead_daemons(now);
        self.calls.set_lost_daemons(&dead, now);
        let mut effects = self.apply_ownership(OwnershipEvent::DeadDaemonsChanged(dead), now);
        effects.extend(self.apply_ownership(OwnershipEvent::TimerFired, now));
        effects.extend(self.fire_key_timers(now));
        effects.extend(pools);
        effects.extend(self.send_loans(now));
        effects.extend(self.commit_records(now));
        effects
    }

    /// Returns the heartbeat of this daemon and its receivers.
    pub(super) fn heartbeat(&mut self, now: Duration) -> ControlEffect {
        self.heartbeats = self.heartbeats.wrapping_add(1);
        let loads = self.calls.loads();
        // This daemon may own shards of one service in two zones.
        self.calls.set_zone_loads(&loads, now);
        let heartbeat = Heartbeat {
            daemon: self.record.daemon.clone(),
            config_version: self.config.version(),
            suspected: self.peers.suspected(now),
            draining: self.draining,
            owned_digest: self.owned_digest(),
            loads: self.loads.report(loads),
        };
        let may_renew = self.heartbeats.is_multiple_of(RENEWAL_HEARTBEATS);
        let receivers = self
            .heartbeat_receivers()
            .into_iter()
            .filter_map(|peer| {
                Some(HeartbeatReceiver {
                    daemon: peer.record.daemon.clone(),
                    address: peer.record.peer_address.parse().ok()?,
                    renew: may_renew && heartbeat.suspected.contains(&peer.record.daemon),
                })
            })
            .collect();
        ControlEffect::SendHeartbeat {
            receivers,
            heartbeat,
        }
    }

    /// Takes in a heartbeat. Owners are read again if the sender owns other
    /// shards than before and than is known here, as after a handover whose
    /// change the watch did not report.
    fn note_heartbeat(&mut self, heartbeat: Heartbeat, now: Duration) -> Vec<ControlEffect> {
        let source = ConfigSource::Peer(heartbeat.daemon.clone());
        let event = ConfigEvent::VersionSeen(heartbeat.config_version, source);
        let before = self
            .peers
            .iter()
            .find(|peer| peer.record.daemon == heartbeat.daemon)
            .map(|peer| peer.owned_digest);
        let digest = heartbeat.owned_digest;
        let is_new = before.is_some_and(|before| before != digest);
        let reads = is_new && digest != self.recorded_digest(&heartbeat.daemon);
        self.calls.set_zone_loads(&heartbeat.loads, now);
        self.peers.record_heartbeat(heartbeat, now);
        let mut effects = self.apply_config(event, now);
        effects.extend(reads.then_some(ControlEffect::ReadOwners));
        effects
    }

    /// Returns the digest of the shards that the known records give a daemon.
    fn recorded_digest(&self, daemon: &DaemonId) -> OwnedDigest {
        let records = self.owners.iter();
        let owned = records.filter(|(_, record)| record.daemon == *daemon);
        digest_owned(owned.map(|(shard, record)| (shard, record.epoch)))
    }

    /// Takes over members that a peer passed on; the store goes before them.
    fn add_members(&mut self, members: Vec<MemberRecord>, now: Duration) -> Vec<ControlEffect> {
        let own = &self.record.daemon;
        let others = members.into_iter().filter(|record| record.daemon != *own);
        self.peers.add_members(others.collect(), now);
        self.apply_ownership(OwnershipEvent::CandidatesChanged(self.candidates()), now)
    }

    /// Returns the registrations of all known daemons, this one included.
    fn members(&self) -> Vec<MemberRecord> {
        let peers = self.peers.iter().map(|peer| peer.record.clone());
        peers.chain([self.record.clone()]).collect()
    }

    /// Returns the peers of the region and, with every tenth heartbeat, one
    /// peer of each other region.
    fn heartbeat_receivers(&self) -> Vec<&PeerState> {
        let mut receivers: Vec<_> = self.peers.region_peers().collect();
        if self.heartbeats.is_multiple_of(RELAY_HEARTBEATS) {
            let rank = receivers
                .iter()
                .filter(|peer| peer.record.daemon < self.record.daemon)
                .count();
            receivers.extend(self.peers.relay_peers(rank));
        }
        receivers
    }

    fn owned_digest(&self) -> OwnedDigest {
        let owned = self.owners.iter().filter_map(|(shard, _)| {
            let epoch = self.owners.owned_epoch(shard)?;
            Some((shard, epoch))
        });
        digest_owned(owned)
    }

    /// Returns what traffic needs to know.
    pub(super) fn snapshot(&self, now: Duration) -> RoutingSnapshot {
        let peers = || self.peers.iter();
        RoutingSnapshot {
            daemon: self.record.daemon.clone(),
            zone: self.record.zone.clone(),
            config_version: self.config.version(),
            objects: Arc::clone(self.config.objects()),
            members: peers()
                .map(|peer| (peer.record.daemon.clone(), peer.record.clone()))
                .collect(),
            peer_versions: peers()
                .map(|peer| (peer.record.daemon.clone(), peer.config_version))
                .collect(),
            suspected: self.peers.suspected(now),
            partitioned: self.peers.partitioned(&self.record.daemon, now),
            owners: self
                .owners
                .iter()
                .map(|(shard, owner)| (shard.clone(), owner.clone()))
                .collect(),
            unavailable: self.unavailable.clone(),
            hosts: self.hosts.shared_entries(),
        }
    }

    fn note_store(&mut self, entries: &[StoreEntry], now: Duration) -> Vec<ControlEffect> {
        let mut effects = match read_head(entries) {
            Some(head) => {
                let source = ConfigSource::Store(head.version);
                self.apply_config(ConfigEvent::VersionSeen(head.version, source), now)
            }
            None => Vec::new(),
        };
        let members: Vec<_> = read_members(entries)
            .into_iter()
            .filter(|record| record.daemon != self.record.daemon)
            .collect();
        self.peers.set_members(members, now);
        let daemons = self.peers.iter().count() + 1;
        self.journals
            .set_config(journal_config(self.commit_interval, daemons));
        let candidates = OwnershipEvent::CandidatesChanged(self.candidates());
        effects.extend(self.apply_ownership(candidates, now));
        effects.extend(self.refresh(now));
        effects.extend(self.apply_ownership(OwnershipEvent::OwnersRead(read_owners(entries)), now));
        effects
    }

    fn apply_config(&mut self, event: ConfigEvent, now: Duration) -> Vec<ControlEffect> {
        let mut effects = Vec::new();
        for action in self.config.handle(event, now) {
            match action {
                ConfigAction::Fetch { from, source } => {
                    effects.extend(self.fetch_effect(from, source));
                }
                ConfigAction::InForce(version) => {
                    log::info!("configuration version {version} is in force");
                    effects.extend(self.refresh(now));
                    effects.extend(self.refresh_pool_objects(now));
                }
                ConfigAction::Rejected(version, reason) => {
                    log::error!("configuration version {version} was rejected: {reason}");
                }
            }
        }
        effects
    }

    fn fetch_effect(&self, from: ConfigVersion, source: ConfigSource) -> Option<ControlEffect> {
        match source {
            ConfigSource::Store(head) => Some(ControlEffect::FetchConfig { from, head }),
            ConfigSource::Peer(daemon) => {
                let mut peers = self.peers.iter();
                let peer = peers.find(|peer| peer.record.daemon == daemon)?;
                let address = peer.record.peer_address.parse().ok()?;
                Some(ControlEffect::PullConfig { from, address })
            }
        }
    }

    /// Derives the shards and the runners again after a change.
    fn refresh(&mut self, now: Duration) -> Vec<ControlEffect> {
        let shards = self.shards();
        self.leased = self.lease_shards(&shards);
        let leased = OwnershipEvent::LeaseShardsChanged(self.leased.clone());
        let mut effects = self.apply_ownership(leased, now);
        effects.extend(self.apply_ownership(OwnershipEvent::ShardsChanged(shards), now));
        self.refresh_runners(now);
        effects.extend(self.refresh_pools(now));
        self.refresh_services(now);
        effects
    }

    /// Takes over what the configuration says of services and teams.
    fn refresh_services(&mut self, now: Duration) {
        let objects = Arc::clone(self.config.objects());
        self.calls.set_services(&objects.services, now);
        let teams = objects.teams.values();
        let weights = teams.map(|team| (team.name.clone(), team.weight)).collect();
        self.calls.set_weights(weights, now);
    }

    pub(super) fn refresh_runners(&mut self, now: Duration) {
        self.check_leases(now);
        let hosts = &self.hosts;
        let objects = self.config.objects();
        self.calls
            .set_runners(|shard| live_runners(hosts, objects, shard), now);
    }

    fn candidates(&self) -> BTreeMap<DaemonId, ZoneId> {
        let peers = self.peers.region_peers().filter(|peer| !peer.draining);
        let own = (self.record.daemon.clone(), self.record.zone.clone());
        let own = (!self.draining).then_some(own);
        peers
            .map(|peer| (peer.record.daemon.clone(), peer.record.zone.clone()))
            .chain(own)
            .collect()
    }

    /// Returns the owners and peers that are confirmed dead.
    fn dead_daemons(&self, now: Duration) -> BTreeSet<DaemonId> {
        let owners = self.owners.iter().map(|(_, record)| &record.daemon);
        let peers = self.peers.iter().map(|peer| &peer.record.daemon);
        owners
            .chain(peers)
            .filter(|daemon| **daemon != self.record.daemon)
            .filter(|daemon| self.peers.is_confirmed_dead(daemon, now))
            .cloned()
            .collect()
    }

    /// Returns the shards: each service with each zone that has runners, each
    /// pool of the region and, once there are services, the region's key shards.
    fn shards(&self) -> BTreeSet<ShardName> {
        let keyed = !self.config.objects().services.is_empty();
        let region = &self.record.region;
        let keys = (0..KEY_SHARDS)
            .filter(|_| keyed)
            .map(|index| ShardName::Key(region.clone(), index));
        let pools = self.config.objects().pools.values();
        let pools = pools.filter(|pool| pool.region == self.record.region);
        let pools = pools.map(|pool| ShardName::Pool(pool.name.clone()));
        self.hosts
            .iter()
            .filter(|host| host.kind == HostKind::Runner)
            .filter_map(|host| {
                host.service
                    .clone()
                    .map(|service| (service, host.zone.clone()))
            })
            .filter(|(service, _)| self.config.objects().services.contains_key(service))
            .map(|(service, zone)| ShardName::Call(service, zone))
            .chain(keys)
            .chain(pools)
            .collect()
    }
}

/// Returns the configuration of commits for an interval that is set, or for the
/// number of daemons that share the store.
fn journal_config(commit_interval: Option<Duration>, daemons: usize) -> JournalConfig {
    let daemons = u32::try_from(daemons).unwrap_or(u32::MAX);
    commit_interval.map_or_else(
        || JournalConfig::for_daemons(daemons),
        JournalConfig::for_interval,
    )
}

/// Returns the live runners of a call shard with the slots that both the list
/// of hosts and the configuration allow.
fn live_runners(hosts: &HostTable, objects: &ObjectSet, shard: &ShardName) -> Vec<RunnerEntry> {
    let ShardName::Call(service, zone) = shard else {
        return Vec::new();
    };
    let spec = objects.services.get(service);
    let limit = spec.and_then(|spec| u32::try_from(spec.slots_per_runner).ok());
    let runners = hosts.live_runners(service, zone).into_iter();
    runners
        .map(|host| RunnerEntry {
            runner: host.name,
            slots: host.slots.min(limit.unwrap_or(u32::MAX)),
        })
        .collect()
}
