//! Events for the control thread and the snapshot that it publishes.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use arc_swap::ArcSwap;
use auburnsaddle_core::{
    ConfigPull, ConfigUpdate, ConfigVersion, DaemonId, Epoch, Heartbeat, HostEntry, HostId,
    HostKind, HostState, MemberRecord, ObjectSet, OwnerRecord, PublishError, ServiceId, ShardName,
    ZoneId,
};
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};

use super::{dump::ControlDump, leases::LeaseAnswer};
use crate::{
    calls::CallCommand, journal::JournalReport, keys::KeyCommand, store::StoreEntry,
    tasks::TaskCommand, telemetry::ControlMeasures,
};

/// Something that the control thread acts on.
#[derive(Debug)]
pub(crate) enum ControlEvent {
    /// A command for the owned call queues.
    Calls(CallCommand),
    /// A command for the owned key shards.
    Keys(KeyCommand),
    /// A request for a shard's lease was answered.
    LeaseAnswered(LeaseAnswer),
    /// A command for the owned pools.
    Tasks(TaskCommand),
    /// A store call of the journal ended.
    Journal(JournalReport),
    /// A runner has rejected the epoch of a grant.
    FencedByTarget(ShardName, Epoch),
    /// A heartbeat arrived.
    Heartbeat(Heartbeat),
    /// The host of a peer refused a connection.
    PeerRefused(DaemonId),
    /// A peer passed on the members and owners that it knows.
    MembersTold(Vec<MemberRecord>, BTreeMap<ShardName, OwnerRecord>),
    /// A daemon that has not read the store asks for the members.
    MembersRequested(MemberRecord, oneshot::Sender<Vec<MemberRecord>>),
    /// The list of hosts was read.
    HostsRead(Vec<HostEntry>),
    /// The control keys of the store were read.
    StoreRead(Vec<StoreEntry>),
    /// A compare-and-swap of an owner was answered; `None` if its effect is
    /// unknown.
    ClaimAnswered(ShardName, Option<OwnerRecord>),
    /// All owner records were read.
    OwnersRead(BTreeMap<ShardName, OwnerRecord>),
    /// One owner record was read, or none was found.
    OwnerRead(ShardName, Option<OwnerRecord>),
    /// An operator publishes objects over a base version.
    Publish {
        /// The version that the operator saw.
        base: ConfigVersion,
        /// All objects.
        objects: ObjectSet,
        /// Receives the version to write.
        reply: oneshot::Sender<Result<Box<ConfigUpdate>, PublishError>>,
    },
    /// Configuration versions were fetched or written.
    ConfigFetched(ConfigPull),
    /// A peer asks for the configuration versions after the one named.
    ConfigPullRequested(ConfigVersion, oneshot::Sender<ConfigPull>),
    /// The daemon is stopping: it claims no shard any more and says so in its
    /// heartbeats.
    DrainStarted,
    /// Asks for the values that the metrics show.
    MeasuresRequested(oneshot::Sender<ControlMeasures>),
    /// Asks for a description of the whole control state.
    DumpRequested(oneshot::Sender<Box<ControlDump>>),
}

/// What traffic needs to know of the control state.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub(crate) struct RoutingSnapshot {
    /// This daemon.
    pub(crate) daemon: DaemonId,
    /// This daemon's zone.
    pub(crate) zone: ZoneId,
    /// The version in force.
    pub(crate) config_version: ConfigVersion,
    /// The objects in force.
    pub(crate) objects: Arc<ObjectSet>,
    /// All registered daemons except this one.
    pub(crate) members: BTreeMap<DaemonId, MemberRecord>,
    /// The versions in force at the other daemons, as heard.
    pub(crate) peer_versions: BTreeMap<DaemonId, ConfigVersion>,
    /// The peers that are not heard.
    pub(crate) suspected: BTreeSet<DaemonId>,
    /// The peers that requests may not reach.
    pub(crate) partitioned: BTreeSet<DaemonId>,
    /// The owner of each shard.
    pub(crate) owners: BTreeMap<ShardName, OwnerRecord>,
    /// Shards of this daemon that cannot be served, with the reasons.
    pub(crate) unavailable: BTreeMap<ShardName, String>,
    /// The platform's list of hosts.
    pub(crate) hosts: Arc<BTreeMap<HostId, HostEntry>>,
}

/// Access to the control thread for traffic.
#[derive(Clone, Debug)]
pub(crate) struct ControlHandle {
    sender: mpsc::Sender<ControlEvent>,
    snapshot: Arc<ArcSwap<RoutingSnapshot>>,
}

impl ControlHandle {
    /// Returns a handle that sends into `sender`.
    pub(crate) const fn new(
        sender: mpsc::Sender<ControlEvent>,
        snapshot: Arc<ArcSwap<RoutingSnapshot>>,
    ) -> Self {
        Self { sender, snapshot }
    }

    /// Sends an event, waiting while the channel is full. After the end of the
    /// control thread the event is dropped, which closes its reply channel.
    pub(crate) async fn send(&self, event: ControlEvent) {
        let _ = self.sender.send(event).await;
    }

    /// Returns the number of events that wait for the control thread.
    pub(crate) fn queue_depth(&self) -> usize {
        self.sender.max_capacity() - self.sender.capacity()
    }

    /// Returns the latest snapshot.
    pub(crate) fn snapshot(&self) -> Arc<RoutingSnapshot> {
        self.snapshot.load_full()
    }
}

impl RoutingSnapshot {
    /// Returns the peer address of a registered daemon.
    pub(crate) fn peer_address(&self, daemon: &DaemonId) -> Option<SocketAddr> {
        self.members.get(daemon)?.peer_address.parse().ok()
    }

    /// Returns the number of shards that this daemon owns.
    pub(crate) fn owned_shards(&self) -> usize {
        let owners = self.owners.values();
        owners.filter(|owner| owner.daemon == self.daemon).count()
    }

    /// Returns the zones with live runners of a service, in order.
    pub(crate) fn runner_zones(&self, service: &ServiceId) -> Vec<ZoneId> {
        let zones: BTreeSet<_> = self
            .hosts
            .values()
            .filter(|host| host.kind == HostKind::Runner && host.state == HostState::Live)
            .filter(|host| host.service.as_ref() == Some(service))
            .map(|host| host.zone.clone())
            .collect();
        zones.into_iter().collect()
    }
}
