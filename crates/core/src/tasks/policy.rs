//! What placement prefers.

use std::fmt;

use crate::{objects::PoolObjective, types::ResourceVector};

/// A worker with room for a task, as a policy sees it.
#[derive(Clone, Copy, Debug)]
pub struct WorkerCandidate {
    /// What the worker has.
    pub capacity: ResourceVector,
    /// What the task may use before the placement.
    pub free: ResourceVector,
    /// Whether the worker runs nothing.
    pub is_idle: bool,
    /// Whether empty workers are needed in any case, because the waiting work
    /// exceeds the room of those in use.
    pub needs_idle_workers: bool,
    /// Tasks of the same job in the same rack.
    pub same_rack: u32,
    /// Tasks of the same job in the same zone.
    pub same_zone: u32,
}

/// Preference among workers and among waiting jobs; smaller values go first.
pub trait PlacementPolicy: fmt::Debug {
    /// Tells whether candidates are drawn from the whole pool or in slot order.
    fn searches_whole_pool(&self) -> bool;
    /// Rates a worker for a task.
    fn worker_cost(&self, demand: &ResourceVector, candidate: &WorkerCandidate) -> u64;
    /// Rates a job by its part of the pool, in millionths.
    fn job_cost(&self, share_millionths: u64) -> u64;
}

/// Starts work at once on the emptiest worker, over racks and zones.
#[derive(Clone, Copy, Debug, Default)]
pub struct WaitingFirst;

/// Fills workers up before it uses further ones, largest work first.
#[derive(Clone, Copy, Debug, Default)]
pub struct PackingFirst;

/// Scale of the parts of a capacity.
const PERMILLE: u64 = 1_000;

pub(super) const fn scaled_share(amount: u64, whole: u64, scale: u64) -> u64 {
    if whole == 0 {
        return 0;
    }
    amount.saturating_mul(scale) / whole
}

/// Returns the free parts of processors, memory and accelerators afterwards.
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

    /// Prefers a worker in use unless empty ones are needed in any case: the
    /// first jobs would else fill accelerator hosts with whatever comes, and
    /// leave their processors without memory. Then it prefers one whose free processors and memory are
    /// in the proportion of the demand, then a tight fit: free processors
    /// without memory are lost to later work.
    fn worker_cost(&self, demand: &ResourceVector, candidate: &WorkerCandidate) -> u64 {
        /// Weight of the proportion against the tightness of the fit.
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
