//! Identifiers and value types shared by all slices.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use uuid::Uuid;

/// Name of a daemon, set in its configuration.
pub type DaemonId = Arc<str>;
/// Name of a host in the platform's host list.
pub type HostId = Arc<str>;
/// Name of an object of any kind that operators define.
pub type ObjectName = Arc<str>;
/// Name of a pool of hosts.
pub type PoolId = Arc<str>;
/// Name of a rack.
pub type RackId = Arc<str>;
/// Name of a region.
pub type RegionId = Arc<str>;
/// Name of a runner, the target of short calls.
pub type RunnerId = Arc<str>;
/// Name of a service.
pub type ServiceId = Arc<str>;
/// Name of a team.
pub type TeamId = Arc<str>;
/// Name of a worker, the target of tasks.
pub type WorkerId = Arc<str>;
/// Name of an availability zone.
pub type ZoneId = Arc<str>;
/// Identifier of a task.
pub type TaskId = Uuid;
/// Identifier of a caller's request, propagated to all processes that handle it.
pub type RequestId = u128;
/// Identifier of a slot grant, unique within one epoch of a call shard.
pub type GrantId = u64;
/// Number of an attempt to run a task, counted from one.
pub type Attempt = u32;
/// Fencing token of a shard; each change of owner increments it by one.
pub type Epoch = u64;
/// Number of a published configuration; it increases by one with each publication.
pub type ConfigVersion = u64;

/// An amount of each resource: the capacity of a worker or the demand of a task.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ResourceVector {
    /// Processor time in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

impl ResourceVector {
    /// Returns a vector of thousandths of a core, MiB of memory and accelerators.
    #[must_use]
    pub const fn new(cpu_milli: u64, memory_mib: u64, accelerators: u64) -> Self {
        Self {
            cpu_milli,
            memory_mib,
            accelerators,
        }
    }

    /// Returns whether this amount fits into `capacity` in every dimension.
    #[must_use]
    pub const fn fits_in(&self, capacity: &Self) -> bool {
        self.cpu_milli <= capacity.cpu_milli
            && self.memory_mib <= capacity.memory_mib
            && self.accelerators <= capacity.accelerators
    }

    /// Returns the sum, saturating in each dimension.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the difference, or `None` if any dimension would be negative.
    #[must_use]
    pub fn minus(&self, other: &Self) -> Option<Self> {
        Some(Self {
            cpu_milli: self.cpu_milli.checked_sub(other.cpu_milli)?,
            memory_mib: self.memory_mib.checked_sub(other.memory_mib)?,
            accelerators: self.accelerators.checked_sub(other.accelerators)?,
        })
    }

    /// Returns the smaller amount of each dimension.
    #[must_use]
    pub fn min_with(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.min(other.cpu_milli),
            memory_mib: self.memory_mib.min(other.memory_mib),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Returns the larger amount of each dimension.
    #[must_use]
    pub fn max_with(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns this amount multiplied by `count`, saturating in each dimension.
    #[must_use]
    pub const fn times(&self, count: u64) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_mul(count),
            memory_mib: self.memory_mib.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// Returns whether every dimension is zero.
    #[must_use]
    pub const fn is_zero(&self) -> bool {
        self.cpu_milli == 0 && self.memory_mib == 0 && self.accelerators == 0
    }
}

/// Priority class of a request; greater classes are served first.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UrgencyClass {
    /// Work that can wait for hours.
    Batch,
    /// Ordinary work.
    #[default]
    Normal,
    /// Interactive work whose effect a person waits for, such as a redemption.
    Urgent,
}

/// When another attempt of a task may start.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RestartPolicy {
    /// Never: at most one start is sent.
    Never,
    /// Only after the earlier attempt is known to have stopped.
    #[default]
    WhenStopped,
    /// At any time: another attempt may overlap a lost one.
    Anytime,
}

/// The outcome of a request.
///
/// [`CallOutcome::NotRun`] and [`CallOutcome::Unknown`] are distinct, as only the
/// former permits a retry of a request that is not idempotent.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum CallOutcome<T> {
    /// The target ran the request and sent this response.
    Completed(T),
    /// The request is known not to have run.
    NotRun(NotRunReason),
    /// The request may have run. The caller must query the service rather than
    /// retry.
    Unknown(UnknownReason),
}

/// Why a request is known not to have run.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum NotRunReason {
    /// The caller, or the daemon that received its request, cancelled it before
    /// dispatch.
    Cancelled,
    /// The deadline cannot be met, or passed before dispatch.
    DeadlineUnmeetable,
    /// The daemon or the target is draining.
    Draining,
    /// The target has seen a higher epoch of the shard.
    Fenced,
    /// The service has no live runner, or the pool no live worker.
    NoTarget,
    /// The shard has no reachable owner.
    NoOwner,
    /// The queue is full.
    QueueFull,
    /// The target rejected the request before running anything.
    RejectedByTarget,
    /// The request would exceed the quota of its team.
    QuotaExceeded,
    /// The store is unavailable, so the request cannot be recorded.
    StoreUnavailable,
    /// No connection to the target could be established.
    TargetUnreachable,
    /// The daemon that received the request has no configuration yet.
    NoConfiguration,
}

impl NotRunReason {
    /// Returns advice for the caller, as sent in responses.
    #[must_use]
    pub const fn remedy(self) -> &'static str {
        match self {
            Self::Cancelled => "send the request again if it is still wanted",
            Self::DeadlineUnmeetable => "send the request again with a longer deadline",
            Self::Draining | Self::Fenced | Self::NoOwner => {
                "send the request again; another daemon serves it"
            }
            Self::NoConfiguration => {
                "the daemon has no configuration yet; send the request again after the time in \
                 Retry-After, or apply a configuration if none was ever applied"
            }
            Self::NoTarget => "ask the operators to add live hosts to the pool of this object",
            Self::QueueFull => "send the request again after the time in Retry-After",
            Self::QuotaExceeded => "wait for work of the team to end, or ask for a larger quota",
            Self::RejectedByTarget | Self::TargetUnreachable => {
                "send the request again; another target serves it"
            }
            Self::StoreUnavailable => {
                "send the request again after the time in Retry-After, when the store is back"
            }
        }
    }
}

impl fmt::Display for NotRunReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::Cancelled => "cancelled",
            Self::DeadlineUnmeetable => "deadline-unmeetable",
            Self::Draining => "draining",
            Self::Fenced => "fenced",
            Self::NoConfiguration => "no-configuration",
            Self::NoTarget => "no-target",
            Self::NoOwner => "no-owner",
            Self::QueueFull => "queue-full",
            Self::QuotaExceeded => "quota-exceeded",
            Self::RejectedByTarget => "rejected-by-target",
            Self::StoreUnavailable => "store-unavailable",
            Self::TargetUnreachable => "target-unreachable",
        };
        formatter.write_str(text)
    }
}

/// Why it is unknown whether a request ran.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnknownReason {
    /// The connection was lost after the request was sent.
    ConnectionLost,
    /// The deadline passed after the request was sent.
    DeadlinePassed,
    /// The daemon that dispatched the request failed before it recorded an outcome.
    OwnerLost,
    /// The target reset the request after accepting it.
    TargetReset,
    /// The request body exceeded its limit after a part of it was sent.
    BodyTooLarge,
    /// The request body timed out after a part of it was sent.
    BodyTimedOut,
    /// The request body ended early after a part of it was sent.
    BodyBrokenOff,
}

impl UnknownReason {
    /// Returns advice for the caller, as sent in responses.
    #[must_use]
    pub const fn remedy(self) -> &'static str {
        match self {
            Self::BodyTooLarge => {
                "ask the service whether the request ran, then send a smaller body"
            }
            Self::BodyTimedOut | Self::BodyBrokenOff => {
                "ask the service whether the request ran, then send the body whole and in time"
            }
            _ => "ask the service whether the request ran before sending it again",
        }
    }
}

impl fmt::Display for UnknownReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::ConnectionLost => "connection-lost",
            Self::DeadlinePassed => "deadline-passed",
            Self::OwnerLost => "owner-lost",
            Self::TargetReset => "target-reset",
            Self::BodyTooLarge => "body-too-large",
            Self::BodyTimedOut => "body-timed-out",
            Self::BodyBrokenOff => "body-broken-off",
        };
        formatter.write_str(text)
    }
}

/// Name of a shard, the unit of ownership.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub enum ShardName {
    /// The runners of a service in one zone, and the queue of calls for them.
    Call(ServiceId, ZoneId),
    /// One partition of a region's idempotency keys.
    Key(RegionId, u8),
    /// The workers of a pool, and the queue of tasks for them.
    Pool(PoolId),
}

impl fmt::Display for ShardName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Call(service, zone) => write!(formatter, "call/{service}/{zone}"),
            Self::Key(region, index) => write!(formatter, "key/{region}/{index}"),
            Self::Pool(pool) => write!(formatter, "pool/{pool}"),
        }
    }
}

/// The error for a text that is not the name of a shard.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Snafu)]
#[snafu(display(
    "`{text}` names no shard; write pool/POOL, call/SERVICE/ZONE or key/REGION/INDEX"
))]
pub struct ShardNameError {
    text: String,
}

impl FromStr for ShardName {
    type Err = ShardNameError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts: Vec<&str> = text.split('/').collect();
        match parts[..] {
            ["pool", pool] if !pool.is_empty() => Ok(Self::Pool(pool.into())),
            ["call", service, zone] if !service.is_empty() && !zone.is_empty() => {
                Ok(Self::Call(service.into(), zone.into()))
            }
            ["key", region, index] if !region.is_empty() => index
                .parse()
                .map(|index| Self::Key(region.into(), index))
                .map_err(|_| ShardNameError {
                    text: text.to_owned(),
                }),
            _ => Err(ShardNameError {
                text: text.to_owned(),
            }),
        }
    }
}
