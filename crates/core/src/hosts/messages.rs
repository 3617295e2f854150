//! Entries of the platform's list of hosts.

use serde::{Deserialize, Serialize};

use crate::types::{HostId, ObjectName, PoolId, RackId, ResourceVector, ZoneId};

/// One entry of the platform's list of hosts.
///
/// An entry without a state counts as leaving, so that an incomplete entry gets
/// no work.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct HostEntry {
    /// Unique name of the host.
    pub name: HostId,
    /// What the host serves.
    pub kind: HostKind,
    /// The pool that the host belongs to.
    pub pool: PoolId,
    /// The service whose calls a runner serves; `None` for a worker.
    pub service: Option<ObjectName>,
    /// The host's availability zone.
    pub zone: ZoneId,
    /// The host's rack.
    pub rack: RackId,
    /// Network address of the host as `IP:PORT`.
    pub address: String,
    /// Whether the host accepts new work.
    pub state: HostState,
    /// The total resources of a worker; zero for a runner.
    pub capacity: ResourceVector,
    /// The number of slots of a runner; zero for a worker.
    pub slots: u32,
}

/// What a host serves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostKind {
    /// The host runs short calls of one service.
    Runner,
    /// The host runs tasks.
    #[default]
    Worker,
}

/// Whether a host accepts new work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host accepts new work.
    Live,
    /// The host is about to be removed and accepts no new work.
    #[default]
    Leaving,
}
