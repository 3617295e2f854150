//! Entries of the list of hosts.

use serde::{Deserialize, Serialize};

use crate::types::{HostId, ObjectName, PoolId, RackId, ResourceVector, ZoneId};

/// One line of the platform's list.
///
/// An entry without a state counts as leaving, so that an incomplete line
/// attracts no work.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct HostEntry {
    /// Unique name of the target.
    pub name: HostId,
    /// What the target serves.
    pub kind: HostKind,
    /// The pool to which the host belongs.
    pub pool: PoolId,
    /// The service that a runner answers; empty for a worker.
    pub service: Option<ObjectName>,
    /// The host's availability zone.
    pub zone: ZoneId,
    /// The host's rack.
    pub rack: RackId,
    /// Address as `IP:PORT`.
    pub address: String,
    /// Whether the host takes new work.
    pub state: HostState,
    /// The resources of a worker; zero for a runner.
    pub capacity: ResourceVector,
    /// The slots of a runner; zero for a worker.
    pub slots: u32,
}

/// What a target serves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostKind {
    /// Short calls of one service.
    Runner,
    /// Tasks.
    #[default]
    Worker,
}

/// Whether a host takes new work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host takes new work.
    Live,
    /// The host is about to leave and takes no new work.
    #[default]
    Leaving,
}
