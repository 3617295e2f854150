//! Messages between daemons about membership.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::types::{ConfigVersion, DaemonId, RegionId, ZoneId};

/// What a daemon registers in the store under its lease.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MemberRecord {
    /// Name of the daemon.
    pub daemon: DaemonId,
    /// The daemon's region.
    pub region: RegionId,
    /// The daemon's availability zone.
    pub zone: ZoneId,
    /// Address for other daemons as `IP:PORT`.
    pub peer_address: String,
    /// Address for callers as `IP:PORT`.
    pub caller_address: String,
}

/// The periodic message from each daemon to every other of its region.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Heartbeat {
    /// The sender.
    pub daemon: DaemonId,
    /// The configuration version in force at the sender.
    pub config_version: ConfigVersion,
    /// The peers that the sender does not hear.
    pub suspected: BTreeSet<DaemonId>,
    /// Whether the sender is draining and gives up its shards.
    pub draining: bool,
}
