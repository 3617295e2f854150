//! Terms of teams.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::types::{ResourceVector, TeamId};

/// Terms of all teams, in force together.
pub type TeamTable = BTreeMap<TeamId, TeamTerms>;

/// The terms under which the jobs of a team share the workers with those of other teams.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TeamTerms {
    /// Share of contended resources relative to other teams, and the number of jobs a second for
    /// which that share is meant.
    pub weight: u32,
    /// Upper bound on what the team has running.
    pub cap: ResourceCap,
}

/// An upper bound on resources. A resource without a bound is `None`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ResourceCap {
    /// Processor time in thousandths of a core.
    pub cpu_milli: Option<u64>,
    /// Memory in MiB.
    pub memory_mib: Option<u64>,
    /// Number of accelerators.
    pub accelerators: Option<u64>,
}

impl ResourceCap {
    /// Returns whether no resource has a bound.
    #[must_use]
    pub const fn is_unlimited(&self) -> bool {
        self.cpu_milli.is_none() && self.memory_mib.is_none() && self.accelerators.is_none()
    }

    /// Returns whether `amount` is within the bound in every dimension.
    #[must_use]
    pub fn admits(&self, amount: &ResourceVector) -> bool {
        amount.fits_in(&self.as_vector())
    }

    /// Returns the bound as an amount, with the largest value for a resource without one.
    #[must_use]
    pub fn as_vector(&self) -> ResourceVector {
        let bound = |limit: Option<u64>| limit.unwrap_or(u64::MAX);
        ResourceVector {
            cpu_milli: bound(self.cpu_milli),
            memory_mib: bound(self.memory_mib),
            accelerators: bound(self.accelerators),
        }
    }
}
