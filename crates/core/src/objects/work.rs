//! Specification of batch runs, gang jobs and long-running tasks.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::types::{ObjectName, PoolId, ResourceVector, RestartPolicy, TeamId, UrgencyClass};

/// Work that runs as tasks on workers of one pool.
///
/// Batch runs, gang jobs and long-running tasks have the same fields. The TOML
/// table in which an object is defined determines its kind.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkSpec {
    /// Unique name among objects of its kind.
    pub name: ObjectName,
    /// The pool whose workers run the tasks.
    pub pool: PoolId,
    /// The team to whose quota the tasks count.
    pub team: TeamId,
    /// Number of tasks; all tasks of a gang start together.
    pub count: u64,
    /// The resources of each task.
    pub request: ResourceVector,
    /// Expected run time in seconds; zero for work without an end.
    pub run_time_seconds: u64,
    /// When another attempt of a task may start.
    pub restart: RestartPolicy,
    /// The urgency of the work.
    pub urgency: UrgencyClass,
    /// Whether placement spreads the tasks over racks.
    pub spread_over_racks: bool,
    /// Whether a task can save its progress and continue on another worker.
    pub checkpoint: bool,
    /// Time in seconds for which a worker continues a task without a renewal by the
    /// owner.
    pub lease_seconds: u64,
    /// Labels by which tasks are listed and cancelled.
    pub labels: BTreeMap<String, String>,
    /// Batch runs that must end before this one starts.
    pub after: Vec<ObjectName>,
}

impl WorkSpec {
    /// Returns the expected run time, or `None` for work without an end.
    #[must_use]
    pub fn run_time(&self) -> Option<Duration> {
        (self.run_time_seconds > 0).then(|| Duration::from_secs(self.run_time_seconds))
    }

    /// Returns the duration of the lease of each task.
    #[must_use]
    pub const fn lease(&self) -> Duration {
        Duration::from_secs(self.lease_seconds)
    }
}

impl Default for WorkSpec {
    fn default() -> Self {
        Self {
            name: ObjectName::default(),
            pool: PoolId::default(),
            team: TeamId::default(),
            count: 1,
            request: ResourceVector::default(),
            run_time_seconds: 0,
            restart: RestartPolicy::default(),
            urgency: UrgencyClass::default(),
            spread_over_racks: false,
            checkpoint: false,
            lease_seconds: 60,
            labels: BTreeMap::new(),
            after: Vec::new(),
        }
    }
}
