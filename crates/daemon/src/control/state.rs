//! The control state, and how events change it.

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
    membership::{SuspicionLog, decode_members},
    ownership::decode_owners,
    publication::decode_head,
    store::{LeaseId, StoreEntry},
    tasks::PoolShards,
};

/// Number of heartbeats within the region per heartbeat to other regions: at the
/// default interval, one every 500 ms and one every 5 s.
const HEARTBEATS_PER_RELAY: u32 = 10;

/// Number of heartbeats between replacements of the connection to a suspected peer,
/// so that the end of a partition is detected within 2 s.
const HEARTBEATS_PER_RECONNECT: u32 = 4;

/// The control state of a daemon, owned by the control thread.
#[derive(Debug)]
pub(super) struct ControlState {
    pub(super) record: MemberRecord,
    pub(super) config: ConfigState,
    pub(super) hosts: HostTable,
    /// Whether the list of hosts was read at least once.
    pub(super) has_read_hosts: bool,
    pub(super) peers: PeerTable,
    suspicions: SuspicionLog,
    pub(super) owners: OwnerTable<StdRng>,
    pub(super) calls: CallShards,
    pub(super) pools: PoolShards,
    pub(super) journals: ShardJournals,
    pub(super) keys: KeyShards,
    /// The shards in lease mode, owned or not.
    pub(super) lease_mode_shards: BTreeSet<ShardName>,
    /// The store leases that this daemon holds, with the epochs that they belong to.
    pub(super) held_leases: BTreeMap<ShardName, (Epoch, LeaseId)>,
    /// Owned shards whose journals cannot be replayed, with the errors.
    pub(super) unavailable: BTreeMap<ShardName, String>,
    /// Shards in a handover whose journals are flushed once their calls have ended.
    pub(super) awaiting_idle: BTreeMap<ShardName, Epoch>,
    /// Number of shards taken over from another owner since the start.
    pub(super) takeovers: u64,
    /// The commit interval from the settings; `None` derives it from the number of
    /// daemons.
    commit_interval: Option<Duration>,
    load_reporter: LoadReporter,
    /// Number of heartbeats sent, which wraps around.
    heartbeat_count: u32,
    is_draining: bool,
}

impl ControlState {
    /// Returns the state of a starting daemon, which knows no peers, hosts or
    /// configuration.
    pub(super) fn new(
        record: MemberRecord,
        commit_interval: Option<Duration>,
        sync_interval: Duration,
    ) -> Self {
        Self {
            config: ConfigState::default(),
            hosts: HostTable::default(),
            has_read_hosts: false,
            peers: PeerTable::new(PeerConfig::default(), record.region.clone()),
            suspicions: SuspicionLog::default(),
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
            lease_mode_shards: BTreeSet::new(),
            held_leases: BTreeMap::new(),
            unavailable: BTreeMap::new(),
            awaiting_idle: BTreeMap::new(),
            takeovers: 0,
            load_reporter: LoadReporter::default(),
            heartbeat_count: 0,
            is_draining: false,
            record,
        }
    }

    /// Applies an event and returns the resulting effects, including the commit of
    /// the records that the event appended.
    pub(super) fn handle(&mut self, event: ControlEvent, now: Duration) -> Vec<ControlEffect> {
        let mut effects = self.apply(event, now);
        effects.extend(self.deliver_loans(now));
        effects.extend(self.commit_records(now));
        effects
    }

    fn apply(&mut self, event: ControlEvent, now: Duration) -> Vec<ControlEffect> {
        match event {
            ControlEvent::Keys(command) => self.apply_key_command(command, now),
            ControlEvent::LeaseAnswered(response) => self.apply_lease_response(response, now),
            ControlEvent::Journal(report) => self.apply_journal_report(report, now),
            ControlEvent::Tasks(command) => self.apply_task_command(command, now),
            ControlEvent::Calls(command) => {
                self.update_dispatch_permissions(now);
                self.calls.handle(command, now);
                Vec::new()
            }
            // Only the daemon that owns the shard under this epoch must give it up.
            ControlEvent::FencedByTarget(shard, epoch)
                if self.owners.owned_epoch(&shard) == Some(epoch) =>
            {
                self.apply_ownership_event(OwnershipEvent::Fenced(shard, epoch), now)
            }
            ControlEvent::FencedByTarget(..) => Vec::new(),
            ControlEvent::Heartbeat(heartbeat) => self.apply_heartbeat(heartbeat, now),
            ControlEvent::PeerRefusedConnection(daemon) => {
                self.peers.record_refused_connection(&daemon);
                Vec::new()
            }
            ControlEvent::MembersReceived(members, owners) => {
                let mut effects = self.add_members(members, now);
                effects.extend(self.apply_ownership_event(OwnershipEvent::OwnersRead(owners), now));
                effects
            }
            ControlEvent::MembersRequested(record, reply) => {
                self.peers.update_member(record, now);
                let event = OwnershipEvent::CandidatesChanged(self.owner_candidates());
                let effects = self.apply_ownership_event(event, now);
                // The peer's stream may have closed meanwhile.
                let _ = reply.send(self.members());
                effects
            }
            ControlEvent::OwnersRead(owners) => {
                self.apply_ownership_event(OwnershipEvent::OwnersRead(owners), now)
            }
            ControlEvent::HostsRead(entries) => {
                let is_first_read = !std::mem::replace(&mut self.has_read_hosts, true);
                if self.hosts.replace(entries) || is_first_read {
                    self.refresh_derived_state(now)
                } else {
                    Vec::new()
                }
            }
            ControlEvent::StoreRead(entries) => self.apply_store_entries(&entries, now),
            ControlEvent::ClaimAnswered(shard, record) => {
                let event = match record {
                    Some(record) => OwnershipEvent::ClaimAnswered { shard, record },
                    None => OwnershipEvent::ClaimFailed(shard),
                };
                self.apply_ownership_event(event, now)
            }
            ControlEvent::OwnerRead(shard, record) => {
                self.apply_ownership_event(OwnershipEvent::OwnerRead { shard, record }, now)
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
            ControlEvent::ConfigFetched(pull) => {
                self.apply_config_event(ConfigEvent::Fetched(pull), now)
            }
            ControlEvent::ConfigPullRequested(from, reply) => {
                // The peer's stream may have closed meanwhile.
                let _ = reply.send(self.config.pull(from));
                Vec::new()
            }
            ControlEvent::DrainStarted => {
                self.is_draining = true;
                let event = OwnershipEvent::CandidatesChanged(self.owner_candidates());
                let mut effects = self.apply_ownership_event(event, now);
                effects.extend(self.apply_ownership_event(OwnershipEvent::DrainRequested, now));
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

    /// Processes the timers of all modules and returns the resulting effects.
    pub(super) fn fire_timers(&mut self, now: Duration) -> Vec<ControlEffect> {
        self.update_dispatch_permissions(now);
        self.calls.fire_timers(now);
        let pools = self.fire_pool_timers(now);
        if let Some(pause) = self.peers.handle_timer(now) {
            log::warn!(
                "no timer fired for {} ms: the process was suspended, or the machine is overloaded",
                pause.as_millis()
            );
        }
        self.suspicions.check(&self.peers, now);
        let dead = self.dead_daemons(now);
        self.calls.set_lost_daemons(&dead, now);
        let mut effects = self.apply_ownership_event(OwnershipEvent::DeadDaemonsChanged(dead), now);
        effects.extend(self.apply_ownership_event(OwnershipEvent::TimerFired, now));
        effects.extend(self.fire_key_timers(now));
        effects.extend(pools);
        effects.extend(self.deliver_loans(now));
        effects.extend(self.commit_records(now));
        effects
    }

    /// Returns the effect that sends this daemon's next heartbeat.
    pub(super) fn heartbeat(&mut self, now: Duration) -> ControlEffect {
        self.heartbeat_count = self.heartbeat_count.wrapping_add(1);
        let loads = self.calls.loads();
        // This daemon may own shards of one service in several zones, which need each
        // other's loads.
        self.calls.set_zone_loads(&loads, now);
        let heartbeat = Heartbeat {
            daemon: self.record.daemon.clone(),
            config_version: self.config.version(),
            suspected: self.peers.suspected(now),
            draining: self.is_draining,
            owned_digest: self.owned_digest(),
            loads: self.load_reporter.report(loads),
        };
        let is_reconnect_allowed = self
            .heartbeat_count
            .is_multiple_of(HEARTBEATS_PER_RECONNECT);
        let receivers = self
            .heartbeat_receivers()
            .into_iter()
            .filter_map(|peer| {
                Some(HeartbeatReceiver {
                    daemon: peer.record.daemon.clone(),
                    address: peer.record.peer_address.parse().ok()?,
                    is_reconnect_due: is_reconnect_allowed
                        && heartbeat.suspected.contains(&peer.record.daemon),
                })
            })
            .collect();
        ControlEffect::SendHeartbeat {
            receivers,
            heartbeat,
        }
    }

    /// Applies the heartbeat of a peer. All owner records are read again if the
    /// sender's digest of its owned shards has changed and differs from the known
    /// records, as after a handover that the watch did not report.
    fn apply_heartbeat(&mut self, heartbeat: Heartbeat, now: Duration) -> Vec<ControlEffect> {
        let source = ConfigSource::Peer(heartbeat.daemon.clone());
        let event = ConfigEvent::VersionSeen(heartbeat.config_version, source);
        let previous_digest = self
            .peers
            .iter()
            .find(|peer| peer.record.daemon == heartbeat.daemon)
            .map(|peer| peer.owned_digest);
        let digest = heartbeat.owned_digest;
        let has_changed = previous_digest.is_some_and(|previous_digest| previous_digest != digest);
        let is_owner_read_due = has_changed && digest != self.recorded_digest(&heartbeat.daemon);
        self.calls.set_zone_loads(&heartbeat.loads, now);
        self.peers.record_heartbeat(heartbeat, now);
        let mut effects = self.apply_config_event(event, now);
        effects.extend(is_owner_read_due.then_some(ControlEffect::ReadOwners));
        effects
    }

    /// Returns the digest of the shards that a daemon owns by the known records.
    fn recorded_digest(&self, daemon: &DaemonId) -> OwnedDigest {
        let records = self.owners.iter();
        let owned = records.filter(|(_, record)| record.daemon == *daemon);
        digest_owned(owned.map(|(shard, record)| (shard, record.epoch)))
    }

    /// Adds members received from a peer. Members already known are kept unchanged,
    /// as records from the store take precedence.
    fn add_members(&mut self, members: Vec<MemberRecord>, now: Duration) -> Vec<ControlEffect> {
        let own = &self.record.daemon;
        let others = members.into_iter().filter(|record| record.daemon != *own);
        self.peers.add_members(others.collect(), now);
        self.apply_ownership_event(
            OwnershipEvent::CandidatesChanged(self.owner_candidates()),
            now,
        )
    }

    /// Returns the member records of all known daemons, including this one.
    fn members(&self) -> Vec<MemberRecord> {
        let peers = self.peers.iter().map(|peer| peer.record.clone());
        peers.chain([self.record.clone()]).collect()
    }

    /// Returns the peers of the region and, with every
    /// [`HEARTBEATS_PER_RELAY`]th heartbeat, one peer of each other region.
    fn heartbeat_receivers(&self) -> Vec<&PeerState> {
        let mut receivers: Vec<_> = self.peers.region_peers().collect();
        if self.heartbeat_count.is_multiple_of(HEARTBEATS_PER_RELAY) {
            let rank = receivers
                .iter()
                .filter(|peer| peer.record.daemon < self.record.daemon)
                .count();
            receivers.extend(self.peers.relay_peers(rank));
        }
        receivers
    }

    /// Returns the digest of the shards that this daemon owns, for its heartbeats.
    fn owned_digest(&self) -> OwnedDigest {
        let owned = self.owners.iter().filter_map(|(shard, _)| {
            let epoch = self.owners.owned_epoch(shard)?;
            Some((shard, epoch))
        });
        digest_owned(owned)
    }

    /// Returns a snapshot for the traffic threads.
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

    /// Applies the control keys read from the store: the newest configuration version,
    /// the members and the owners.
    fn apply_store_entries(&mut self, entries: &[StoreEntry], now: Duration) -> Vec<ControlEffect> {
        let mut effects = match decode_head(entries) {
            Some(head) => {
                let source = ConfigSource::Store(head.version);
                self.apply_config_event(ConfigEvent::VersionSeen(head.version, source), now)
            }
            None => Vec::new(),
        };
        let members: Vec<_> = decode_members(entries)
            .into_iter()
            .filter(|record| record.daemon != self.record.daemon)
            .collect();
        self.peers.set_members(members, now);
        let daemons = self.peers.iter().count() + 1;
        self.journals
            .set_config(journal_config(self.commit_interval, daemons));
        let candidates = OwnershipEvent::CandidatesChanged(self.owner_candidates());
        effects.extend(self.apply_ownership_event(candidates, now));
        effects.extend(self.refresh_derived_state(now));
        effects.extend(
            self.apply_ownership_event(OwnershipEvent::OwnersRead(decode_owners(entries)), now),
        );
        effects
    }

    /// Applies an event to the configuration state and performs the actions that
    /// result.
    fn apply_config_event(&mut self, event: ConfigEvent, now: Duration) -> Vec<ControlEffect> {
        let mut effects = Vec::new();
        for action in self.config.handle(event, now) {
            match action {
                ConfigAction::Fetch { from, source } => {
                    effects.extend(self.fetch_effect(from, source));
                }
                ConfigAction::InForce(version) => {
                    log::info!("configuration version {version} is in force");
                    effects.extend(self.refresh_derived_state(now));
                    effects.extend(self.refresh_pool_objects(now));
                }
                ConfigAction::Rejected(version, reason) => {
                    log::error!("configuration version {version} was rejected: {reason}");
                }
            }
        }
        effects
    }

    /// Returns the effect that fetches configuration versions, or `None` if they are
    /// to be pulled from a peer that is unknown.
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

    /// Recomputes the shards, runners, workers and service settings after a change of
    /// the hosts, the members or the configuration.
    fn refresh_derived_state(&mut self, now: Duration) -> Vec<ControlEffect> {
        let shards = self.derive_shards();
        self.lease_mode_shards = self.find_lease_mode_shards(&shards);
        let lease_event = OwnershipEvent::LeaseShardsChanged(self.lease_mode_shards.clone());
        let mut effects = self.apply_ownership_event(lease_event, now);
        effects.extend(self.apply_ownership_event(OwnershipEvent::ShardsChanged(shards), now));
        self.refresh_runners(now);
        effects.extend(self.refresh_pool_workers(now));
        self.refresh_services(now);
        effects
    }

    /// Updates the services and team weights of the call queues from the configuration
    /// in force.
    fn refresh_services(&mut self, now: Duration) {
        let objects = Arc::clone(self.config.objects());
        self.calls.set_services(&objects.services, now);
        let teams = objects.teams.values();
        let weights = teams.map(|team| (team.name.clone(), team.weight)).collect();
        self.calls.set_weights(weights, now);
    }

    /// Updates the runners of the owned call queues from the hosts and the
    /// configuration.
    pub(super) fn refresh_runners(&mut self, now: Duration) {
        self.update_dispatch_permissions(now);
        let hosts = &self.hosts;
        let objects = self.config.objects();
        self.calls
            .set_runners(|shard| live_runners(hosts, objects, shard), now);
    }

    /// Returns the daemons of the region that may own shards, with their zones:
    /// all except those that are draining.
    fn owner_candidates(&self) -> BTreeMap<DaemonId, ZoneId> {
        let peers = self.peers.region_peers().filter(|peer| !peer.draining);
        let own = (self.record.daemon.clone(), self.record.zone.clone());
        let own = (!self.is_draining).then_some(own);
        peers
            .map(|peer| (peer.record.daemon.clone(), peer.record.zone.clone()))
            .chain(own)
            .collect()
    }

    /// Returns the owners and known peers that are confirmed dead.
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

    /// Returns the shards of the region: a call shard for each configured service and
    /// zone with runners of it, each pool and, if any service is configured, the key
    /// shards.
    fn derive_shards(&self) -> BTreeSet<ShardName> {
        let has_services = !self.config.objects().services.is_empty();
        let region = &self.record.region;
        let keys = (0..KEY_SHARDS)
            .filter(|_| has_services)
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

/// Returns the journal configuration for `commit_interval` or, if it is not set,
/// for the number of daemons that share the store.
fn journal_config(commit_interval: Option<Duration>, daemons: usize) -> JournalConfig {
    let daemons = u32::try_from(daemons).unwrap_or(u32::MAX);
    commit_interval.map_or_else(
        || JournalConfig::for_daemons(daemons),
        JournalConfig::for_interval,
    )
}

/// Returns the live runners of a call shard. Their slots are limited by both the
/// list of hosts and the configuration.
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
