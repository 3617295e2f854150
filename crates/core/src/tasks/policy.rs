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
    pub empty: bool,
    /// Whether empty workers are needed in any case, because the waiting work
    /// exceeds the room of those in use.
    pub opening_needed: bool,
    /// Tasks of the same job in the same rack.
    pub same_rack: u32,
    /// Tasks of the same job in the same zone.
    pub same_zone: u32,
}

/// Preference among workers and among waiting jobs; smaller values go first.
pub trait PlacementPolicy: fmt::Debug {
    /// Tells whether candidates are drawn from the whole pool or in slot order.
    fn whole_pool(&self) -> bool;
    /// Rates a worker for a task.
    fn worker_cost(&self, demand: &ResourceVector, candidate: &WorkerCandidate) -> u64;
    /// Rates a job by its part of the pool, in millionths.
    fn job_cost(&self, dominant: u64) -> u64;
}

/// Starts work at once on the emptiest worker, over racks and zones.
#[derive(Clone, Copy, Debug, Default)]
pub struct WaitingFirst;

/// Fills workers up before it uses further ones, largest work first.
#[derive(Clone, Copy, Debug, Default)]
pub struct PackingFirst;

/// Scale of the parts of a capacity.
const PARTS: u64 = 1_000;

pub(super) const fn part(amount: u64, whole: u64, scale: u64) -> u64 {
    if whole == 0 {
        return 0;
    }
    amount.saturating_mul(scale) / whole
}

/// Returns the free parts of processors, memory and accelerators afterwards.
fn left(demand: &ResourceVector, candidate: &WorkerCandidate) -> [u64; 3] {
    let free = candidate.free.minus(demand).unwrap_or_default();
    let capacity = candidate.capacity;
    [
        part(free.cpu_milli, capacity.cpu_milli, PARTS),
        part(free.memory_mib, capacity.memory_mib, PARTS),
        part(free.accelerators, capacity.accelerators, PARTS),
    ]
}

impl PlacementPolicy for WaitingFirst {
    fn whole_pool(&self) -> bool {
        true
    }

    fn worker_cost(&self, demand: &ResourceVector, candidate: &WorkerCandidate) -> u64 {
        let emptiness: u64 = left(demand, candidate).iter().sum();
        let spread = u64::from(candidate.same_rack) * 100 + u64::from(candidate.same_zone);
        spread * 4 * PARTS + (3 * PARTS).saturating_sub(emptiness)
    }

    fn job_cost(&self, _dominant: u64) -> u64 {
        0
    }
}

impl PlacementPolicy for PackingFirst {
    fn whole_pool(&self) -> bool {
        false
    }

    /// Prefers a worker in use unless empty ones are needed in any case: the
    /// first jobs would else fill accelerator hosts with whatever comes, and
    /// leave their processors without memory. Then it prefers one whose free processors and memory are
    /// in the proportion of the demand, then a tight fit: free processors
    /// without memory are lost to later work.
    fn worker_cost(&self, demand: &ResourceVector, candidate: &WorkerCandidate) -> u64 {
        /// Weight of the proportion against the tightness of the fit.
        const PROPORTION: u64 = 16;
        let free = candidate.free;
        let processors = part(demand.cpu_milli, free.cpu_milli, PARTS);
        let memory = part(demand.memory_mib, free.memory_mib, PARTS);
        let tightness = left(demand, candidate).iter().sum::<u64>();
        let spread = u64::from(candidate.same_rack) * 100 + u64::from(candidate.same_zone);
        let opened = u64::from(candidate.empty && !candidate.opening_needed) * 32 * PARTS;
        spread * 64 * PARTS + opened + processors.abs_diff(memory) * PROPORTION + tightness
    }

    fn job_cost(&self, dominant: u64) -> u64 {
        u64::MAX - dominant
    }
}

impl PlacementPolicy for PoolObjective {
    fn whole_pool(&self) -> bool {
        match self {
            Self::Waiting => WaitingFirst.whole_pool(),
            Self::Packing => PackingFirst.whole_pool(),
        }
    }

    fn worker_cost(&self, demand: &ResourceVector, candidate: &WorkerCandidate) -> u64 {
        match self {
            Self::Waiting => WaitingFirst.worker_cost(demand, candidate),
            Self::Packing => PackingFirst.worker_cost(demand, candidate),
        }
    }

    fn job_cost(&self, dominant: u64) -> u64 {
        match self {
            Self::Waiting => WaitingFirst.job_cost(dominant),
            Self::Packing => PackingFirst.job_cost(dominant),
        }
    }
}
