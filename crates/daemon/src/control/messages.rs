//! Events for the control thread, and the snapshot that it publishes.

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

use super::{dump::ControlDump, leases::LeaseResponse};
use crate::{
    calls::CallCommand, journal::JournalReport, keys::KeyCommand, store::StoreEntry,
    tasks::TaskCommand, telemetry::ControlStats,
};

/// An event sent to the control thread.
#[derive(Debug)]
pub(crate) enum ControlEvent {
    /// A command for the owned call queues.
    Calls(CallCommand),
    /// A command for the owned key shards.
    Keys(KeyCommand),
    /// The request for a shard's lease was answered or failed.
    LeaseAnswered(LeaseResponse),
    /// A command for the owned pools.
    Tasks(TaskCommand),
    /// A store call of the journal ended.
    Journal(JournalReport),
    /// A runner rejected the epoch of a slot grant as outdated.
    FencedByTarget(ShardName, Epoch),
    /// A heartbeat arrived.
    Heartbeat(Heartbeat),
    /// The host of a peer refused a connection, as no process listens there.
    PeerRefusedConnection(DaemonId),
    /// A peer sent the members and owners that it knows.
    MembersReceived(Vec<MemberRecord>, BTreeMap<ShardName, OwnerRecord>),
    /// A starting daemon sent its registration and requests the members, as it may
    /// be unable to read the store.
    MembersRequested(MemberRecord, oneshot::Sender<Vec<MemberRecord>>),
    /// The list of hosts was read.
    HostsRead(Vec<HostEntry>),
    /// The control keys of the store were read.
    StoreRead(Vec<StoreEntry>),
    /// The compare-and-swap of an owner record was answered; holds the record now in
    /// the store, or `None` if that is unknown.
    ClaimAnswered(ShardName, Option<OwnerRecord>),
    /// All owner records were read.
    OwnersRead(BTreeMap<ShardName, OwnerRecord>),
    /// The owner record of a shard was read; `None` if the store has none.
    OwnerRead(ShardName, Option<OwnerRecord>),
    /// An operator requests to publish configuration objects as the successor of a
    /// base version.
    Publish {
        /// The version that the operator's changes are based on.
        base: ConfigVersion,
        /// All objects of the new version.
        objects: ObjectSet,
        /// Receives the update to write to the store.
        reply: oneshot::Sender<Result<Box<ConfigUpdate>, PublishError>>,
    },
    /// Configuration versions were read from the store or a peer, or were published
    /// by this daemon.
    ConfigFetched(ConfigPull),
    /// A peer requests the configuration versions after the given one.
    ConfigPullRequested(ConfigVersion, oneshot::Sender<ConfigPull>),
    /// The daemon is stopping: it must claim no more shards, hand over its own and
    /// announce the drain in its heartbeats.
    DrainStarted,
    /// The values that are exported as metrics were requested.
    MeasuresRequested(oneshot::Sender<ControlStats>),
    /// A dump of the control state was requested.
    DumpRequested(oneshot::Sender<Box<ControlDump>>),
}

/// The part of the control state that is needed to route requests, published for
/// the traffic threads.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub(crate) struct RoutingSnapshot {
    /// The name of this daemon.
    pub(crate) daemon: DaemonId,
    /// The zone of this daemon.
    pub(crate) zone: ZoneId,
    /// The configuration version in force at this daemon.
    pub(crate) config_version: ConfigVersion,
    /// The objects of this configuration version.
    pub(crate) objects: Arc<ObjectSet>,
    /// All known daemons except this one.
    pub(crate) members: BTreeMap<DaemonId, MemberRecord>,
    /// The configuration versions of the other daemons, from their last heartbeats.
    pub(crate) peer_versions: BTreeMap<DaemonId, ConfigVersion>,
    /// The peers of the region that are silent or refuse connections.
    pub(crate) suspected: BTreeSet<DaemonId>,
    /// The peers that requests may not reach: those that this daemon suspects and
    /// those that suspect this daemon.
    pub(crate) partitioned: BTreeSet<DaemonId>,
    /// The known owner of each shard.
    pub(crate) owners: BTreeMap<ShardName, OwnerRecord>,
    /// Owned shards that cannot be served because replaying their journals failed,
    /// with the errors.
    pub(crate) unavailable: BTreeMap<ShardName, String>,
    /// The platform's list of hosts.
    pub(crate) hosts: Arc<BTreeMap<HostId, HostEntry>>,
}

/// Handle by which tasks on the traffic threads send events to the control thread
/// and read its snapshot.
#[derive(Clone, Debug)]
pub(crate) struct ControlHandle {
    sender: mpsc::Sender<ControlEvent>,
    snapshot: Arc<ArcSwap<RoutingSnapshot>>,
}

impl ControlHandle {
    /// Returns a handle that sends events to `sender` and reads `snapshot`.
    pub(crate) const fn new(
        sender: mpsc::Sender<ControlEvent>,
        snapshot: Arc<ArcSwap<RoutingSnapshot>>,
    ) -> Self {
        Self { sender, snapshot }
    }

    /// Sends an event, waiting while the channel is full. Once the control thread has
    /// ended, the event is dropped, which closes its reply channel.
    pub(crate) async fn send(&self, event: ControlEvent) {
        let _ = self.sender.send(event).await;
    }

    /// Returns the number of events queued for the control thread.
    pub(crate) fn queue_depth(&self) -> usize {
        self.sender.max_capacity() - self.sender.capacity()
    }

    /// Returns the latest snapshot.
    pub(crate) fn snapshot(&self) -> Arc<RoutingSnapshot> {
        self.snapshot.load_full()
    }
}

impl RoutingSnapshot {
    /// Returns whether a configuration is in force at this daemon.
    pub(crate) const fn is_configured(&self) -> bool {
        self.config_version > 0
    }

    /// Returns the peer address of a daemon, or `None` if it is unknown or its
    /// address cannot be parsed.
    pub(crate) fn peer_address(&self, daemon: &DaemonId) -> Option<SocketAddr> {
        self.members.get(daemon)?.peer_address.parse().ok()
    }

    /// Returns the number of shards that this daemon owns.
    pub(crate) fn owned_shards(&self) -> usize {
        let owners = self.owners.values();
        owners.filter(|owner| owner.daemon == self.daemon).count()
    }

    /// Returns the zones that have live runners of a service, in ascending order.
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
