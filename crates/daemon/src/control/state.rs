//! All control state, and the application of events to it.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use auburnsaddle_core::{
    DaemonId, Heartbeat, HostKind, HostTable, MemberRecord, OwnerTable, OwnershipAction,
    OwnershipEvent, PeerConfig, PeerTable, RunnerEntry, ShardName, ZoneId,
};

use super::{
    effects::ControlEffect,
    messages::{ControlEvent, RoutingSnapshot},
};
use crate::{
    calls::CallShards,
    membership::read_members,
    ownership::read_owners,
    publication::{CONFIG_KEY, PublishedConfig, publish_transaction, read_config},
    store::StoreEntry,
};

/// The control state of a daemon, changed by the control thread alone.
#[derive(Debug)]
pub(super) struct ControlState {
    record: MemberRecord,
    config: PublishedConfig,
    hosts: HostTable,
    peers: PeerTable,
    owners: OwnerTable,
    calls: CallShards,
    draining: bool,
}

impl ControlState {
    /// Returns the state of a daemon that knows only itself.
    pub(super) fn new(record: MemberRecord) -> Self {
        Self {
            config: PublishedConfig::default(),
            hosts: HostTable::default(),
            peers: PeerTable::new(PeerConfig::default()),
            owners: OwnerTable::new(record.daemon.clone()),
            calls: CallShards::default(),
            draining: false,
            record,
        }
    }

    /// Applies an event and returns the effects to be carried out.
    pub(super) fn handle(&mut self, event: ControlEvent, now: Duration) -> Vec<ControlEffect> {
        match event {
            ControlEvent::Calls(command) => {
                self.calls.handle(command, now);
                Vec::new()
            }
            ControlEvent::Heartbeat(heartbeat) => {
                self.peers.note_heartbeat(heartbeat, now);
                Vec::new()
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
            ControlEvent::Publish {
                base,
                objects,
                reply,
            } => {
                // The operator's connection may have closed meanwhile.
                let _ = reply.send(publish_transaction(&self.config, base, objects));
                Vec::new()
            }
            ControlEvent::ConfigRead(config) => {
                self.note_config(config);
                self.refresh(now)
            }
            ControlEvent::DrainStarted => {
                self.draining = true;
                let event = OwnershipEvent::CandidatesChanged(self.candidates());
                let mut effects = self.apply_ownership(event, now);
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
        let dead = self.dead_daemons(now);
        self.apply_ownership(OwnershipEvent::DaemonsDead(dead), now)
    }

    /// Returns the heartbeat of this daemon and its receivers.
    pub(super) fn heartbeat(&self, now: Duration) -> ControlEffect {
        let heartbeat = Heartbeat {
            daemon: self.record.daemon.clone(),
            config_version: self.config.version,
            suspected: self.peers.suspected(now),
            draining: self.draining,
        };
        let peers = self.peers.iter();
        let addresses = peers
            .filter_map(|peer| peer.record.peer_address.parse().ok())
            .collect();
        ControlEffect::SendHeartbeat {
            addresses,
            heartbeat,
        }
    }

    /// Returns what traffic needs to know.
    pub(super) fn snapshot(&self, now: Duration) -> RoutingSnapshot {
        let peers = || self.peers.iter();
        RoutingSnapshot {
            daemon: self.record.daemon.clone(),
            zone: self.record.zone.clone(),
            config_version: self.config.version,
            objects: Arc::new(self.config.objects.clone()),
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
        let entry = entries.iter().find(|entry| entry.key == CONFIG_KEY);
        if let Some(config) = entry.and_then(read_config) {
            self.note_config(config);
        }
        let members: Vec<_> = read_members(entries)
            .into_iter()
            .filter(|record| record.daemon != self.record.daemon)
            .collect();
        self.peers.set_members(members, now);
        let mut effects =
            self.apply_ownership(OwnershipEvent::CandidatesChanged(self.candidates()), now);
        effects.extend(self.refresh(now));
        effects.extend(self.apply_ownership(OwnershipEvent::OwnersRead(read_owners(entries)), now));
        effects
    }

    /// Takes over a configuration; an older one never replaces a newer one.
    fn note_config(&mut self, config: PublishedConfig) {
        if config.version > self.config.version {
            log::info!("configuration version {} is in force", config.version);
            self.config = config;
        }
    }

    /// Derives the shards and the runners again after a change.
    fn refresh(&mut self, now: Duration) -> Vec<ControlEffect> {
        let effects = self.apply_ownership(OwnershipEvent::ShardsChanged(self.shards()), now);
        self.refresh_runners(now);
        effects
    }

    fn refresh_runners(&mut self, now: Duration) {
        let hosts = &self.hosts;
        self.calls
            .set_runners(|shard| live_runners(hosts, shard), now);
    }

    fn apply_ownership(&mut self, event: OwnershipEvent, now: Duration) -> Vec<ControlEffect> {
        let mut effects = Vec::new();
        for action in self.owners.handle(event, now) {
            match action {
                OwnershipAction::Claim {
                    shard,
                    expected,
                    next,
                } => {
                    effects.push(ControlEffect::ClaimShard {
                        shard,
                        expected,
                        next,
                    });
                }
                OwnershipAction::Acquired { shard, epoch } => {
                    log::info!("acquired shard {shard} under epoch {epoch}");
                    self.calls.acquire(shard, epoch);
                    self.refresh_runners(now);
                }
                OwnershipAction::Lost(shard) => {
                    log::warn!("lost shard {shard} to another daemon");
                    self.calls.lose(&shard);
                }
            }
        }
        effects
    }

    fn candidates(&self) -> BTreeMap<DaemonId, ZoneId> {
        let peers = self.peers.iter().filter(|peer| !peer.draining);
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
            .filter(|(service, _)| self.config.objects.services.contains_key(service))
            .map(|(service, zone)| ShardName::Call(service, zone))
            .collect()
    }
}

fn live_runners(hosts: &HostTable, shard: &ShardName) -> Vec<RunnerEntry> {
    match shard {
        ShardName::Call(service, zone) => hosts
            .live_runners(service, zone)
            .into_iter()
            .map(|host| RunnerEntry {
                runner: host.name,
                slots: host.slots,
            })
            .collect(),
        ShardName::Key(..) | ShardName::Pool(_) => Vec::new(),
    }
}
