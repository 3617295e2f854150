//! Specifications of markets, pools, services and teams.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::types::{
    ObjectName, PoolId, RegionId, ResourceVector, ServiceId, TeamId, UrgencyClass, ZoneId,
};

/// How targets reject requests of a former owner.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FencingMode {
    /// The target compares epochs and rejects lower ones.
    #[default]
    Epoch,
    /// The target cannot compare epochs, so the owner must also hold a store lease.
    Lease,
}

/// The objective of placement in a pool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PoolObjective {
    /// Minimizes waiting times.
    #[default]
    Waiting,
    /// Minimizes the number of hosts in use.
    Packing,
}

/// A market: the services, work and teams that one place of business uses in a
/// region.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct MarketSpec {
    /// Unique name among markets.
    pub name: ObjectName,
    /// The region of the market; all services and work of the market are in it.
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

/// The expected hosts of one size within a pool.
///
/// Work is placed on the hosts of the host list. Shapes serve only to validate the
/// capacity of a pool before publication.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostShape {
    /// Number of hosts.
    pub count: u64,
    /// Number of hosts in one rack.
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
    /// The region of all zones of the pool.
    pub region: RegionId,
    /// The zones in which the pool has hosts.
    pub zones: Vec<ZoneId>,
    /// The objective of placement.
    pub objective: PoolObjective,
    /// Share of the processors of accelerator hosts that work without accelerators
    /// may use.
    pub accelerator_host_share_percent: u64,
    /// How the workers of the pool reject a former owner.
    pub fencing: FencingMode,
    /// Whether workers deduplicate starts and list their tasks when they are
    /// claimed. Otherwise only tasks with [`RestartPolicy::Anytime`] are accepted,
    /// as overlapping attempts cannot be excluded.
    ///
    /// [`RestartPolicy::Anytime`]: crate::types::RestartPolicy::Anytime
    pub targets_list_tasks: bool,
    /// The expected hosts by size; empty if they are not declared.
    pub shapes: Vec<HostShape>,
}

/// A service whose runners answer short calls.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSpec {
    /// Unique name among services.
    pub name: ServiceId,
    /// The pool whose hosts run the runners.
    pub pool: PoolId,
    /// Whether a call may be retried when its outcome is unknown.
    pub idempotent: bool,
    /// The urgency of calls that do not specify one.
    pub urgency: UrgencyClass,
    /// Share of the slots that is reserved for urgent calls.
    pub urgent_share_percent: u64,
    /// Number of calls that a runner handles concurrently.
    pub slots_per_runner: u64,
    /// Number of connections that a runner accepts from all daemons together.
    pub connections_per_runner: u64,
    /// The deadline of calls that do not specify one, in milliseconds.
    pub deadline_ms: u64,
    /// The maximum size of a request body in bytes.
    pub max_body_bytes: u64,
    /// How the runners reject a former owner.
    pub fencing: FencingMode,
}

impl ServiceSpec {
    /// Returns the deadline of calls that do not specify one.
    #[must_use]
    pub const fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

/// A team with its guaranteed resources and its quota.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TeamSpec {
    /// Unique name among teams.
    pub name: ObjectName,
    /// Share of contended resources relative to other teams.
    pub weight: u32,
    /// Resources that are available to tasks of the team regardless of the demand
    /// of other teams.
    pub guaranteed: ResourceVector,
    /// Maximum resources that tasks of the team may hold at once.
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
