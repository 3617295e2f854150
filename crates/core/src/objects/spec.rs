//! The kinds of objects and their fields.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::types::{ObjectName, PoolId, RegionId, ResourceVector, ServiceId, UrgencyClass, ZoneId};

/// How a target tells a former owner from the present one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FencingMode {
    /// The target compares epochs and rejects lower ones.
    #[default]
    Epoch,
    /// The target cannot compare epochs; the owner also holds a store lease.
    Lease,
}

/// A market: the services that it opens in a region.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MarketSpec {
    /// Unique name among markets.
    pub name: ObjectName,
    /// The region in which the market lies.
    pub region: RegionId,
    /// The services that the market uses.
    pub services: Vec<ServiceId>,
}

/// A pool of hosts in one region.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSpec {
    /// Unique name among pools.
    pub name: PoolId,
    /// The region in which all zones of the pool lie.
    pub region: RegionId,
    /// The zones in which the pool has hosts.
    pub zones: Vec<ZoneId>,
    /// How the hosts fence a former owner.
    #[serde(default)]
    pub fencing: FencingMode,
}

/// A service that answers short calls on runners.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Unique name among services.
    pub name: ServiceId,
    /// The pool whose hosts carry the runners.
    pub pool: PoolId,
    /// Whether a call may be run again when its outcome is unknown.
    #[serde(default)]
    pub idempotent: bool,
    /// The urgency of calls that name none.
    #[serde(default)]
    pub urgency: UrgencyClass,
    /// The deadline of calls that name none, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// The largest request body, in bytes.
    #[serde(default = "default_body_bytes")]
    pub max_body_bytes: u64,
}

impl ServiceSpec {
    /// Returns the deadline of calls that name none.
    #[must_use]
    pub const fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

/// A team and the most that it may hold at once.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSpec {
    /// Unique name among teams.
    pub name: ObjectName,
    /// Share of contended resources relative to other teams.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// The most that tasks of the team may hold at once.
    pub quota: ResourceVector,
}

const fn default_deadline_ms() -> u64 {
    10_000
}

const fn default_body_bytes() -> u64 {
    1 << 20
}

const fn default_weight() -> u32 {
    1
}
