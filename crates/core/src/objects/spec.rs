//! Markets, pools, services and teams, with their fields.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::types::{
    ObjectName, PoolId, RegionId, ResourceVector, ServiceId, TeamId, UrgencyClass, ZoneId,
};

/// How a target tells a former owner from the present one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FencingMode {
    /// The target compares epochs and rejects lower ones.
    #[default]
    Epoch,
    /// The target cannot compare epochs; the owner also holds a store lease.
    Lease,
}

/// What placement in a pool favours.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PoolObjective {
    /// Short waiting times.
    #[default]
    Waiting,
    /// Few busy hosts.
    Packing,
}

/// A market: what a place of business uses in a region.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct MarketSpec {
    /// Unique name among markets.
    pub name: ObjectName,
    /// The region in which the market lies.
    pub region: RegionId,
    /// The services that the market uses.
    pub services: Vec<ServiceId>,
    /// The batch runs that the market uses.
    pub batches: Vec<ObjectName>,
    /// The gang jobs that the market uses.
    pub gangs: Vec<ObjectName>,
    /// The long-running tasks that the market uses.
    pub tasks: Vec<ObjectName>,
    /// The teams that work for the market.
    pub teams: Vec<TeamId>,
}

/// Hosts of one size within a pool, as the operators expect them.
///
/// The list of hosts decides where work runs; shapes let the check tell what
/// the pool can hold.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostShape {
    /// Number of hosts.
    pub count: u64,
    /// Hosts in one rack.
    pub rack_size: u64,
    /// The resources of each host.
    pub capacity: ResourceVector,
}

/// A pool of hosts in one region.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PoolSpec {
    /// Unique name among pools.
    pub name: PoolId,
    /// The region in which all zones of the pool lie.
    pub region: RegionId,
    /// The zones in which the pool has hosts.
    pub zones: Vec<ZoneId>,
    /// What placement favours.
    pub objective: PoolObjective,
    /// Part of the processors of accelerator hosts that is open to work
    /// without accelerators.
    pub accelerator_host_share_percent: u64,
    /// How the hosts fence a former owner.
    pub fencing: FencingMode,
    /// Whether workers deduplicate starts and list their tasks on a claim.
    /// Without this no task can run in one place only.
    pub targets_list_tasks: bool,
    /// The hosts that the operators expect, by size.
    pub shapes: Vec<HostShape>,
}

/// A service that answers short calls on runners.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSpec {
    /// Unique name among services.
    pub name: ServiceId,
    /// The pool whose hosts carry the runners.
    pub pool: PoolId,
    /// Whether a call may be run again when its outcome is unknown.
    pub idempotent: bool,
    /// The urgency of calls that name none.
    pub urgency: UrgencyClass,
    /// Part of the slots that is reserved for urgent calls.
    pub urgent_share_percent: u64,
    /// Calls that a runner answers at the same time.
    pub slots_per_runner: u64,
    /// Connections that a runner accepts from all daemons together.
    pub connections_per_runner: u64,
    /// The deadline of calls that name none, in milliseconds.
    pub deadline_ms: u64,
    /// The largest request body, in bytes.
    pub max_body_bytes: u64,
    /// How the runners fence a former owner.
    pub fencing: FencingMode,
}

impl ServiceSpec {
    /// Returns the deadline of calls that name none.
    #[must_use]
    pub const fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

/// A team, what it is guaranteed and the most that it may hold at once.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TeamSpec {
    /// Unique name among teams.
    pub name: ObjectName,
    /// Share of contended resources relative to other teams.
    pub weight: u32,
    /// What tasks of the team can hold whatever other teams demand.
    pub guaranteed: ResourceVector,
    /// The most that tasks of the team may hold at once.
    pub quota: ResourceVector,
}

impl Default for PoolSpec {
    fn default() -> Self {
        Self {
            name: PoolId::default(),
            region: RegionId::default(),
            zones: Vec::new(),
            objective: PoolObjective::default(),
            accelerator_host_share_percent: 50,
            fencing: FencingMode::default(),
            targets_list_tasks: true,
            shapes: Vec::new(),
        }
    }
}

impl Default for ServiceSpec {
    fn default() -> Self {
        Self {
            name: ServiceId::default(),
            pool: PoolId::default(),
            idempotent: false,
            urgency: UrgencyClass::default(),
            urgent_share_percent: 0,
            slots_per_runner: 8,
            connections_per_runner: 64,
            deadline_ms: 10_000,
            max_body_bytes: 1 << 20,
            fencing: FencingMode::default(),
        }
    }
}

impl Default for TeamSpec {
    fn default() -> Self {
        Self {
            name: TeamId::default(),
            weight: 1,
            guaranteed: ResourceVector::default(),
            quota: ResourceVector::default(),
        }
    }
}
