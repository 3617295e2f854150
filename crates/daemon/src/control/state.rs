//! All control state, and the application of events to it.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use auburnsaddle_core::{
    ConfigAction, ConfigEvent, ConfigSource, ConfigState, ConfigVersion, DaemonId, Epoch,
    Heartbeat, HostKind, HostTable, LoadReporter, MemberRecord, ObjectSet, OwnedDigest, OwnerTable,
    OwnershipAction, OwnershipConfig, OwnershipEvent, PeerConfig, PeerState, PeerTable,
    RunnerEntry, ShardName, ZoneId, digest_owned,
};
use rand::rngs::StdRng;

use super::{
    effects::ControlEffect,
    messages::{ControlEvent, RoutingSnapshot},
};
use crate::{
    calls::{CallCommand, CallShards},
    membership::read_members,
    ownership::read_owners,
    publication::read_head,
    store::StoreEntry,
};

/// Heartbeats within the region for each one between regions: 500 ms and 5 s.
const RELAY_HEARTBEATS: u32 = 10;

/// The control state of a daemon, changed by the control thread alone.
#[derive(Debug)]
pub(super) struct ControlState {
    record: MemberRecord,
    config: ConfigState,
    hosts: HostTable,
    peers: PeerTable,
    owners: OwnerTable<StdRng>,
    calls: CallShards,
    loads: LoadReporter,
    heartbeats: u32,
    draining: bool,
}

impl ControlState {
    /// Returns the state of a daemon that knows only itself.
    pub(super) fn new(record: MemberRecord) -> Self {
        Self {
            config: ConfigState::default(),
            hosts: HostTable::default(),
            peers: PeerTable::new(PeerConfig::default(), record.region.clone()),
            owners: OwnerTable::new(
                record.daemon.clone(),
                OwnershipConfig::default(),
                rand::make_rng(),
            ),
            calls: CallShards::default(),
            loads: LoadReporter::default(),
            heartbeats: 0,
            draining: false,
            record,
        }
    }

    /// Applies an event and returns the effects to be carried out.
    pub(super) fn handle(&mut self, event: ControlEvent, now: Duration) -> Vec<ControlEffect> {
        let mut effects = self.apply(event, now);
        effects.extend(self.send_loans(now));
        effects
    }

    fn apply(&mut self, event: ControlEvent, now: Duration) -> Vec<ControlEffect> {
        match event {
            ControlEvent::Calls(command) => {
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
            ControlEvent::Heartbeat(heartbeat) => {
                let source = ConfigSource::Peer(heartbeat.daemon.clone());
                let event = ConfigEvent::VersionSeen(heartbeat.config_version, source);
                self.calls.note_loads(&heartbeat.loads, now);
                self.peers.note_heartbeat(heartbeat, now);
                self.apply_config(event, now)
            }
            ControlEvent::HostsRead(entries) => {
                if self.hosts.replace(entries) {
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
            ControlEvent::DumpRequested(reply) => {
                // The operator's connection may have closed meanwhile.
                let _ = reply.send(format!("{self:#?}"));
                Vec::new()
            }
        }
    }

    /// Acts on the passing of time.
    pub(super) fn fire_timers(&mut self, now: Duration) -> Vec<ControlEffect> {
        self.calls.fire_timers(now);
        self.peers.note_timer(now);
        let dead = self.dead_daemons(now);
        self.calls.set_lost(&dead, now);
        let mut effects = self.apply_ownership(OwnershipEvent::DaemonsDead(dead), now);
        effects.extend(self.apply_ownership(OwnershipEvent::TimerFired, now));
        effects.extend(self.send_loans(now));
        effects
    }

    /// Returns the heartbeat of this daemon and its receivers.
    pub(super) fn heartbeat(&mut self, now: Duration) -> ControlEffect {
        self.heartbeats = self.heartbeats.wrapping_add(1);
        let loads = self.calls.loads();
        // This daemon may own shards of one service in two zones.
        self.calls.note_loads(&loads, now);
        let heartbeat = Heartbeat {
            daemon: self.record.daemon.clone(),
            config_version: self.config.version(),
            suspected: self.peers.suspected(now),
            draining: self.draining,
            owned_digest: self.owned_digest(),
            loads: self.loads.report(loads),
        };
        let addresses = self
            .heartbeat_receivers()
            .into_iter()
            .filter_map(|peer| peer.record.peer_address.parse().ok())
            .collect();
        ControlEffect::SendHeartbeat {
            addresses,
            heartbeat,
        }
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
            owners: self
                .owners
                .iter()
                .map(|(shard, owner)| (shard.clone(), owner.clone()))
                .collect(),
            hosts: self
                .hosts
                .iter()
                .map(|host| (host.name.clone(), host.clone()))
                .collect(),
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
        let effects = self.apply_ownership(OwnershipEvent::ShardsChanged(self.shards()), now);
        self.refresh_runners(now);
        let services = &self.config.objects().services;
        self.calls.set_services(services, now);
        let teams = self.config.objects().teams.values();
        let weights = teams.map(|team| (team.name.clone(), team.weight)).collect();
        self.calls.set_weights(weights, now);
        effects
    }

    /// Delivers messages about loans: here, or to the peer that owns the shard.
    fn send_loans(&mut self, now: Duration) -> Vec<ControlEffect> {
        let mut effects = Vec::new();
        let mut letters = VecDeque::from(self.calls.take_letters());
        while let Some(letter) = letters.pop_front() {
            let mut owners = self.owners.iter();
            let owner = owners.find(|(shard, _)| **shard == letter.shard);
            let owner = owner.map(|(_, record)| record.daemon.clone());
            match owner {
                Some(daemon) if daemon == self.record.daemon => {
                    self.calls.handle(CallCommand::Loan(letter), now);
                    letters.extend(self.calls.take_letters());
                }
                Some(daemon) => {
                    let mut peers = self.peers.iter();
                    let peer = peers.find(|peer| peer.record.daemon == daemon);
                    let address = peer.and_then(|peer| peer.record.peer_address.parse().ok());
                    effects.extend(address.map(|to| ControlEffect::SendLoan(to, letter)));
                }
                None => {}
            }
        }
        effects
    }

    fn refresh_runners(&mut self, now: Duration) {
        let hosts = &self.hosts;
        let objects = self.config.objects();
        self.calls
            .set_runners(|shard| live_runners(hosts, objects, shard), now);
    }

    /// Applies an event to the owner table, then the reports that follow from
    /// its actions at once, until none is left.
    fn apply_ownership(&mut self, event: OwnershipEvent, now: Duration) -> Vec<ControlEffect> {
        let mut effects = Vec::new();
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            for action in self.owners.handle(event, now) {
                let (effect, follow_up) = self.carry_out(action, now);
                effects.extend(effect);
                events.extend(follow_up);
            }
        }
        effects
    }

    /// Carries out an action; returns its effect outside the control thread
    /// and the report that follows at once.
    ///
    /// A call shard has no journal, and its runners learn the epoch from the
    /// calls themselves, so replay, claims and flush end immediately.
    fn carry_out(
        &mut self,
        action: OwnershipAction,
        now: Duration,
    ) -> (Option<ControlEffect>, Option<OwnershipEvent>) {
        match action {
            OwnershipAction::Claim {
                shard,
                expected,
                next,
            } => {
                let effect = ControlEffect::ClaimShard {
                    shard,
                    expected,
                    next,
                };
                (Some(effect), None)
            }
            OwnershipAction::ReadOwner(shard) => (Some(ControlEffect::ReadOwner(shard)), None),
            OwnershipAction::Acquired { shard, epoch } => {
                log::info!("acquired shard {shard} under epoch {epoch}");
                (None, Some(OwnershipEvent::Replayed(shard, epoch)))
            }
            OwnershipAction::ClaimTargets(shard, epoch) => {
                (None, Some(OwnershipEvent::TargetsClaimed(shard, epoch)))
            }
            OwnershipAction::Activated(shard, epoch) => {
                self.acquire_calls(shard, epoch, now);
                (None, None)
            }
            OwnershipAction::Flush(shard, epoch) => {
                (None, Some(OwnershipEvent::Flushed(shard, epoch)))
            }
            OwnershipAction::Lost(shard) => {
                log::warn!("lost shard {shard} to another daemon");
                self.calls.lose(&shard);
                (None, None)
            }
            // No shard is declared to be in lease mode yet.
            OwnershipAction::RequestLease { .. } | OwnershipAction::ReleaseLease(..) => {
                (None, None)
            }
        }
    }

    fn acquire_calls(&mut self, shard: ShardName, epoch: Epoch, now: Duration) {
        let ShardName::Call(service, _) = &shard else {
            return;
        };
        let objects = Arc::clone(self.config.objects());
        let service = objects.services.get(service);
        if let Some(service) = service.filter(|_| !self.calls.owns(&shard, epoch)) {
            self.calls.acquire(shard, epoch, service, now);
            self.refresh_runners(now);
        }
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

    /// Returns the call shards: each service with each zone that has runners.
    fn shards(&self) -> BTreeSet<ShardName> {
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
            .collect()
    }
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
