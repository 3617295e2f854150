//! Placement policies: the order of waiting jobs, and the preference among the
//! workers that fit a task.

use std::fmt;

use crate::{objects::PoolObjective, types::ResourceVector};

/// A worker that fits a task, as input to a policy.
#[derive(Clone, Copy, Debug)]
pub struct WorkerCandidate {
    /// Total resources of the worker.
    pub capacity: ResourceVector,
    /// Free resources before the placement that the task may use.
    pub free: ResourceVector,
    /// Whether the worker has no tasks.
    pub is_idle: bool,
    /// Whether the waiting work exceeds the available capacity of the busy
    /// workers, so that idle workers are needed for it.
    pub needs_idle_workers: bool,
    /// Number of placed tasks of the same job in the rack of the worker.
    pub same_rack: u32,
    /// Number of placed tasks of the same job in the zone of the worker.
    pub same_zone: u32,
}

/// Preference among workers and among waiting jobs; lower costs go first.
pub trait PlacementPolicy: fmt::Debug {
    /// Returns whether candidates are sampled from the whole pool; otherwise
    /// the first workers in index order that fit are the candidates.
    fn searches_whole_pool(&self) -> bool;
    /// Returns the cost of placing a task on a worker.
    fn worker_cost(&self, demand: &ResourceVector, candidate: &WorkerCandidate) -> u64;
    /// Returns the cost of a job from its dominant share of the pool, in
    /// millionths.
    fn job_cost(&self, share_millionths: u64) -> u64;
}

/// Minimizes waiting: prefers the worker with the most free resources, and
/// spreads the tasks of a job over racks and zones. All jobs have the same cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct WaitingFirst;

/// Minimizes the number of busy workers: prefers busy workers and tight fits, and
/// places the largest jobs first.
#[derive(Clone, Copy, Debug, Default)]
pub struct PackingFirst;

/// Scale of the shares of a capacity.
const PERMILLE: u64 = 1_000;

/// Returns the share of `whole` that `amount` takes, multiplied by `scale`; 0 if
/// `whole` is 0.
pub(super) const fn scaled_share(amount: u64, whole: u64, scale: u64) -> u64 {
    if whole == 0 {
        return 0;
    }
    amount.saturating_mul(scale) / whole
}

/// Returns the free shares of processors, memory and accelerators after the
/// placement, in thousandths of the worker's capacity.
fn remaining_permille(demand: &ResourceVector, candidate: &WorkerCandidate) -> [u64; 3] {
    let free = candidate.free.minus(demand).unwrap_or_default();
    let capacity = candidate.capacity;
    [
        scaled_share(free.cpu_milli, capacity.cpu_milli, PERMILLE),
        scaled_share(free.memory_mib, capacity.memory_mib, PERMILLE),
        scaled_share(free.accelerators, capacity.accelerators, PERMILLE),
    ]
}

impl PlacementPolicy for WaitingFirst {
    fn searches_whole_pool(&self) -> bool {
        true
    }

    fn worker_cost(&self, demand: &ResourceVector, candidate: &WorkerCandidate) -> u64 {
        let remaining: u64 = remaining_permille(demand, candidate).iter().sum();
        let spread_penalty = u64::from(candidate.same_rack) * 100 + u64::from(candidate.same_zone);
        spread_penalty * 4 * PERMILLE + (3 * PERMILLE).saturating_sub(remaining)
    }

    fn job_cost(&self, _share_millionths: u64) -> u64 {
        0
    }
}

impl PlacementPolicy for PackingFirst {
    fn searches_whole_pool(&self) -> bool {
        false
    }

    /// Prefers a busy worker, then one whose free processors and memory are in
    /// the proportion of the demand, then a tight fit. Free processors without
    /// free memory are lost to later work. The preference for busy workers is
    /// off while idle ones are needed anyway: the first jobs would otherwise be
    /// packed onto accelerator hosts in any proportion, and use up the memory
    /// that the remaining processors need.
    fn worker_cost(&self, demand: &ResourceVector, candidate: &WorkerCandidate) -> u64 {
        /// Weight of the mismatch in proportion relative to the tightness.
        const BALANCE_WEIGHT: u64 = 16;
        let free = candidate.free;
        let processors = scaled_share(demand.cpu_milli, free.cpu_milli, PERMILLE);
        let memory = scaled_share(demand.memory_mib, free.memory_mib, PERMILLE);
        let tightness = remaining_permille(demand, candidate).iter().sum::<u64>();
        let spread_penalty = u64::from(candidate.same_rack) * 100 + u64::from(candidate.same_zone);
        let idle_penalty =
            u64::from(candidate.is_idle && !candidate.needs_idle_workers) * 32 * PERMILLE;
        spread_penalty * 64 * PERMILLE
            + idle_penalty
            + processors.abs_diff(memory) * BALANCE_WEIGHT
            + tightness
    }

    fn job_cost(&self, share_millionths: u64) -> u64 {
        u64::MAX - share_millionths
    }
}

impl PlacementPolicy for PoolObjective {
    fn searches_whole_pool(&self) -> bool {
        match self {
            Self::Waiting => WaitingFirst.searches_whole_pool(),
            Self::Packing => PackingFirst.searches_whole_pool(),
        }
    }

    fn worker_cost(&self, demand: &ResourceVector, candidate: &WorkerCandidate) -> u64 {
        match self {
            Self::Waiting => WaitingFirst.worker_cost(demand, candidate),
            Self::Packing => PackingFirst.worker_cost(demand, candidate),
        }
    }

    fn job_cost(&self, share_millionths: u64) -> u64 {
        match self {
            Self::Waiting => WaitingFirst.job_cost(share_millionths),
            Self::Packing => PackingFirst.job_cost(share_millionths),
        }
    }
}
