//! The workers of a pool, their allocations and the search for candidates.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    index::{CapacityIndex, WorkCounter},
    messages::{ReportedTask, WorkerEntry},
    policy::scaled_share,
};
use crate::types::{Attempt, ResourceVector, TaskId, WorkerId};

/// Candidates that are compared for one placement.
const CANDIDATE_LIMIT: usize = 16;
/// Positions in the pool from which a search over the whole pool starts.
const SEARCH_STARTS: usize = 8;

/// Why a worker takes no new work.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum ClosedReason {
    /// It has not answered a claim of this owner.
    Unclaimed,
    /// It does not respond.
    Unresponsive,
    /// Its host is leaving.
    Leaving,
    /// It rejected a start. It stays closed until its next report: otherwise a
    /// wrong view of its free capacity would repeat the same start at once.
    Rejected,
}

/// State of one worker.
#[derive(Clone, Debug)]
pub(super) struct WorkerInfo {
    pub(super) entry: WorkerEntry,
    /// Tasks with capacity allocated on the worker.
    pub(super) tasks: BTreeSet<TaskId>,
    /// Why the worker takes no new work; empty while it is open.
    pub(super) closed_reasons: BTreeSet<ClosedReason>,
    /// Whether failures limit the worker to one probe at a time.
    pub(super) is_on_probation: bool,
    /// Tasks that were placed on the worker during its probation and may still fail at their start.
    probes: BTreeSet<TaskId>,
    /// Latest time at which the leases of its tasks were renewed.
    pub(super) renewed_at: Duration,
    /// Number of consecutive reports with usage above the capacity.
    pub(super) overload_reports: u32,
    /// Capacity that is allocated to tasks and orphans.
    used: ResourceVector,
    /// The part of `used` that is allocated to tasks without accelerators.
    cpu_only_used: ResourceVector,
    /// Capacity that is set aside by the reservation.
    reserved: ResourceVector,
    /// Attempts that the worker reports but the queue does not expect there.
    orphans: BTreeMap<(TaskId, Attempt), ResourceVector>,
    /// Position in the indexes.
    position: usize,
}

impl WorkerInfo {
    fn new(entry: WorkerEntry) -> Self {
        Self {
            entry,
            tasks: BTreeSet::new(),
            closed_reasons: BTreeSet::from([ClosedReason::Unclaimed]),
            is_on_probation: false,
            probes: BTreeSet::new(),
            renewed_at: Duration::ZERO,
            overload_reports: 0,
            used: ResourceVector::default(),
            cpu_only_used: ResourceVector::default(),
            reserved: ResourceVector::default(),
            orphans: BTreeMap::new(),
            position: 0,
        }
    }

    /// Returns the capacity that is not allocated, whether or not new work may
    /// use it.
    pub(super) fn free(&self) -> ResourceVector {
        saturating_subtract(&self.entry.capacity, &self.used)
    }

    /// Returns whether new work may be placed on the worker.
    pub(super) fn is_open(&self) -> bool {
        self.closed_reasons.is_empty() && self.probes.is_empty()
    }

    /// Begins or ends a probation. Tasks that are on the worker already keep none from it.
    pub(super) fn set_probation(&mut self, is_on_probation: bool) {
        self.is_on_probation = is_on_probation;
        self.probes.clear();
    }

    /// Returns the tasks that may still fail at their start on probation.
    pub(super) const fn probes(&self) -> &BTreeSet<TaskId> {
        &self.probes
    }

    /// Records that a task has run for long enough to show that the worker starts tasks.
    pub(super) fn end_probe(&mut self, task: TaskId) {
        self.probes.remove(&task);
    }

    /// Closes the worker to new work until the reason is removed.
    pub(super) fn close(&mut self, reason: ClosedReason) {
        self.closed_reasons.insert(reason);
    }

    /// Returns whether the worker has answered a claim of this owner.
    pub(super) fn is_claimed(&self) -> bool {
        !self.closed_reasons.contains(&ClosedReason::Unclaimed)
    }

    pub(super) fn is_responding(&self) -> bool {
        self.is_claimed() && !self.closed_reasons.contains(&ClosedReason::Unresponsive)
    }

    /// Returns the free capacity that new work may use outside the reservation.
    fn available(&self) -> ResourceVector {
        if self.is_open() {
            saturating_subtract(&self.free(), &self.reserved)
        } else {
            ResourceVector::default()
        }
    }

    const fn has_accelerators(&self) -> bool {
        self.entry.capacity.accelerators > 0
    }

    /// Returns the free capacity within the share that is open to work without
    /// accelerators.
    pub(super) fn cpu_only_free(&self, percent: u64) -> ResourceVector {
        let limit = saturating_subtract(
            &cpu_only_limit(&self.entry.capacity, percent),
            &self.cpu_only_used,
        );
        component_min(&limit, &self.free())
    }

    /// Returns the available capacity within the share that is open to work
    /// without accelerators.
    fn cpu_only_available(&self, percent: u64) -> ResourceVector {
        component_min(&self.cpu_only_free(percent), &self.available())
    }

    /// Returns the capacity available to work without accelerators if the worker
    /// is busy, zero otherwise.
    fn busy_cpu_only_available(&self, percent: u64) -> ResourceVector {
        match self.has_accelerators() {
            _ if self.tasks.is_empty() => ResourceVector::default(),
            true => self.cpu_only_available(percent),
            false => self.available(),
        }
    }
}

/// Returns the capacity of an accelerator host that is open to work without
/// accelerators.
const fn cpu_only_limit(capacity: &ResourceVector, percent: u64) -> ResourceVector {
    ResourceVector::new(
        capacity.cpu_milli * percent / 100,
        capacity.memory_mib * percent / 100,
        0,
    )
}

/// Returns `from` minus `amount`, with zero as the lower bound of each resource.
pub(super) fn saturating_subtract(
    from: &ResourceVector,
    amount: &ResourceVector,
) -> ResourceVector {
    ResourceVector {
        cpu_milli: from.cpu_milli.saturating_sub(amount.cpu_milli),
        memory_mib: from.memory_mib.saturating_sub(amount.memory_mib),
        accelerators: from.accelerators.saturating_sub(amount.accelerators),
    }
}

/// Returns the smaller amount of each resource.
fn component_min(one: &ResourceVector, other: &ResourceVector) -> ResourceVector {
    ResourceVector {
        cpu_milli: one.cpu_milli.min(other.cpu_milli),
        memory_mib: one.memory_mib.min(other.memory_mib),
        accelerators: one.accelerators.min(other.accelerators),
    }
}

/// All workers of a pool, with indexes of their available capacity.
///
/// Accelerator hosts are in two indexes: one for work with accelerators, and one
/// for the limited share that is open to other work.
#[derive(Clone, Debug)]
pub(super) struct WorkerTable {
    workers: BTreeMap<WorkerId, WorkerInfo>,
    /// Workers without accelerators.
    general: CapacityIndex,
    /// Accelerator hosts, for work with accelerators.
    accelerated: CapacityIndex,
    /// Accelerator hosts, for work without accelerators.
    cpu_only: CapacityIndex,
    /// Names by position in `general`.
    general_names: Vec<WorkerId>,
    /// Names by position in `accelerated` and `cpu_only`.
    accelerated_names: Vec<WorkerId>,
    /// Number of workers of each capacity.
    capacity_counts: BTreeMap<ResourceVector, u64>,
    total_capacity: ResourceVector,
    /// Share of accelerator hosts that is open to work without accelerators.
    host_share_percent: u64,
    /// Varies the starting positions of searches.
    cursor: usize,
    /// Capacity available to work without accelerators on busy workers.
    busy_cpu_only_available: ResourceVector,
    pub(super) work: WorkCounter,
}

impl WorkerTable {
    pub(super) fn new(host_share_percent: u64) -> Self {
        let mut table = Self {
            workers: BTreeMap::new(),
            general: CapacityIndex::default(),
            accelerated: CapacityIndex::default(),
            cpu_only: CapacityIndex::default(),
            general_names: Vec::new(),
            accelerated_names: Vec::new(),
            capacity_counts: BTreeMap::new(),
            total_capacity: ResourceVector::default(),
            host_share_percent,
            cursor: 0,
            busy_cpu_only_available: ResourceVector::default(),
            work: WorkCounter::default(),
        };
        table.rebuild();
        table
    }

    pub(super) fn get(&self, name: &WorkerId) -> Option<&WorkerInfo> {
        self.workers.get(name)
    }

    pub(super) const fn total_capacity(&self) -> ResourceVector {
        self.total_capacity
    }

    /// Replaces the workers and returns the names of the removed ones.
    pub(super) fn replace(&mut self, entries: Vec<WorkerEntry>) -> Vec<WorkerId> {
        let names: BTreeSet<_> = entries.iter().map(|entry| entry.worker.clone()).collect();
        let removed: Vec<_> = self
            .workers
            .keys()
            .filter(|name| !names.contains(*name))
            .cloned()
            .collect();
        for name in &removed {
            self.workers.remove(name);
        }
        for entry in entries {
            match self.workers.get_mut(&entry.worker) {
                Some(info) => info.entry = entry,
                None => {
                    self.workers
                        .insert(entry.worker.clone(), WorkerInfo::new(entry));
                }
            }
        }
        self.rebuild();
        removed
    }

    /// Sets the share of accelerator hosts that is open to other work.
    pub(super) fn set_host_share_percent(&mut self, percent: u64) {
        self.host_share_percent = percent;
        self.rebuild();
    }

    /// Removes a worker and returns whether it existed.
    pub(super) fn remove(&mut self, name: &WorkerId) -> bool {
        let removed = self.workers.remove(name).is_some();
        if removed {
            self.rebuild();
        }
        removed
    }

    /// Rebuilds the indexes, with the workers in order of zone and rack.
    pub(super) fn rebuild(&mut self) {
        let mut order: Vec<_> = self
            .workers
            .values()
            .map(|info| {
                (
                    info.entry.zone.clone(),
                    info.entry.rack.clone(),
                    info.entry.worker.clone(),
                )
            })
            .collect();
        order.sort();
        self.general_names.clear();
        self.accelerated_names.clear();
        let (mut general, mut accelerated, mut cpu_only) = (Vec::new(), Vec::new(), Vec::new());
        self.total_capacity = ResourceVector::default();
        self.capacity_counts.clear();
        self.busy_cpu_only_available = ResourceVector::default();
        for (_, _, name) in order {
            let Some(info) = self.workers.get_mut(&name) else {
                continue;
            };
            self.total_capacity = self.total_capacity.plus(&info.entry.capacity);
            let in_use = info.busy_cpu_only_available(self.host_share_percent);
            self.busy_cpu_only_available = self.busy_cpu_only_available.plus(&in_use);
            *self.capacity_counts.entry(info.entry.capacity).or_default() += 1;
            if info.has_accelerators() {
                info.position = accelerated.len();
                accelerated.push(info.available());
                cpu_only.push(info.cpu_only_available(self.host_share_percent));
                self.accelerated_names.push(name);
            } else {
                info.position = general.len();
                general.push(info.available());
                self.general_names.push(name);
            }
        }
        self.general = CapacityIndex::new(&general);
        self.accelerated = CapacityIndex::new(&accelerated);
        self.cpu_only = CapacityIndex::new(&cpu_only);
    }

    /// Changes a worker and updates the indexes.
    pub(super) fn update(&mut self, name: &WorkerId, change: impl FnOnce(&mut WorkerInfo)) {
        let Some(info) = self.workers.get_mut(name) else {
            return;
        };
        let before = info.busy_cpu_only_available(self.host_share_percent);
        change(info);
        let after = info.busy_cpu_only_available(self.host_share_percent);
        self.busy_cpu_only_available =
            saturating_subtract(&self.busy_cpu_only_available, &before).plus(&after);
        let (position, available) = (info.position, info.available());
        if info.has_accelerators() {
            let cpu_only = info.cpu_only_available(self.host_share_percent);
            self.accelerated.set(position, available, &mut self.work);
            self.cpu_only.set(position, cpu_only, &mut self.work);
        } else {
            self.general.set(position, available, &mut self.work);
        }
    }

    /// Allocates `demand` to a task, unless the task is already allocated.
    pub(super) fn allocate(&mut self, name: &WorkerId, task: TaskId, demand: &ResourceVector) {
        self.update(name, |info| {
            if info.tasks.insert(task) {
                if info.is_on_probation {
                    info.probes.insert(task);
                }
                info.used = info.used.plus(demand);
                if demand.accelerators == 0 {
                    info.cpu_only_used = info.cpu_only_used.plus(demand);
                }
            }
        });
    }

    /// Releases the allocation of a task, if there is one.
    pub(super) fn release(&mut self, name: &WorkerId, task: TaskId, demand: &ResourceVector) {
        self.update(name, |info| {
            if info.tasks.remove(&task) {
                info.probes.remove(&task);
                info.used = saturating_subtract(&info.used, demand);
                if demand.accelerators == 0 {
                    info.cpu_only_used = saturating_subtract(&info.cpu_only_used, demand);
                }
            }
        });
    }

    /// Replaces the orphans of a worker, whose demand stays allocated.
    pub(super) fn set_orphans(&mut self, name: &WorkerId, orphans: &[ReportedTask]) {
        self.update(name, |info| {
            for demand in std::mem::take(&mut info.orphans).values() {
                info.used = saturating_subtract(&info.used, demand);
            }
            for orphan in orphans {
                info.used = info.used.plus(&orphan.demand);
                info.orphans
                    .insert((orphan.task, orphan.attempt), orphan.demand);
            }
        });
    }

    /// Marks the leases on all responding workers as renewed and returns the
    /// names of these workers. No capacity changes, so the indexes stay as they
    /// are.
    pub(super) fn mark_renewed(&mut self, now: Duration) -> Vec<WorkerId> {
        let workers = self.workers.iter_mut();
        workers
            .filter(|(_, info)| info.is_responding())
            .map(|(name, info)| {
                info.renewed_at = now;
                name.clone()
            })
            .collect()
    }

    /// Sets the capacity of a worker that the reservation sets aside.
    pub(super) fn set_reserved(&mut self, name: &WorkerId, amount: ResourceVector) {
        self.update(name, |info| info.reserved = amount);
    }

    /// Returns the free capacity of an open worker that `demand` may use,
    /// including reserved capacity.
    pub(super) fn free_for(&self, name: &WorkerId, demand: &ResourceVector) -> ResourceVector {
        match self.workers.get(name) {
            Some(info) if !info.is_open() => ResourceVector::default(),
            Some(info) if info.has_accelerators() && demand.accelerators == 0 => {
                info.cpu_only_free(self.host_share_percent)
            }
            Some(info) => info.free(),
            None => ResourceVector::default(),
        }
    }

    /// Returns how many tasks of `demand` the pool fits when all workers are
    /// idle. The cost grows with the number of different capacities, not with
    /// the number of workers.
    pub(super) fn max_task_count(&self, demand: &ResourceVector) -> u64 {
        self.capacity_counts
            .iter()
            .map(|(capacity, count)| {
                let usable = match capacity.accelerators {
                    0 => *capacity,
                    _ if demand.accelerators > 0 => *capacity,
                    _ => cpu_only_limit(capacity, self.host_share_percent),
                };
                count * count_fitting(demand, &usable)
            })
            .sum()
    }

    /// Returns the capacity of a worker that is available to `demand` outside
    /// the reservation.
    pub(super) fn available_for(&self, name: &WorkerId, demand: &ResourceVector) -> ResourceVector {
        let Some(info) = self.workers.get(name) else {
            return ResourceVector::default();
        };
        if info.has_accelerators() && demand.accelerators == 0 {
            info.cpu_only_available(self.host_share_percent)
        } else {
            info.available()
        }
    }

    /// Returns the capacity available to work without accelerators on busy
    /// workers.
    pub(super) const fn busy_cpu_only_available(&self) -> &ResourceVector {
        &self.busy_cpu_only_available
    }

    pub(super) fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Returns workers that fit `demand`: sampled from the whole pool, or the
    /// first ones in index order. For work without accelerators, accelerator
    /// hosts are considered only if no other worker fits.
    pub(super) fn candidates(
        &mut self,
        demand: &ResourceVector,
        searches_whole_pool: bool,
    ) -> Vec<WorkerId> {
        let (indexes, names): (&[&CapacityIndex], _) = if demand.accelerators > 0 {
            (
                &[&self.accelerated],
                [&self.accelerated_names, &self.accelerated_names],
            )
        } else {
            (
                &[&self.general, &self.cpu_only],
                [&self.general_names, &self.accelerated_names],
            )
        };
        self.cursor = self.cursor.wrapping_add(1);
        for (index, names) in indexes.iter().zip(names) {
            let found = search_index(
                index,
                demand,
                searches_whole_pool,
                self.cursor,
                &mut self.work,
            );
            if !found.is_empty() {
                return found
                    .into_iter()
                    .map(|position| names[position].clone())
                    .collect();
            }
        }
        Vec::new()
    }

    /// Returns busy accelerator hosts that fit `demand` within the share that is
    /// open to work without accelerators.
    pub(super) fn shared_host_candidates(&mut self, demand: &ResourceVector) -> Vec<WorkerId> {
        let found = search_index(&self.cpu_only, demand, false, self.cursor, &mut self.work);
        let names = found
            .into_iter()
            .map(|position| &self.accelerated_names[position]);
        names
            .filter(|name| {
                let info = self.workers.get(*name);
                info.is_some_and(|info| !info.tasks.is_empty())
            })
            .cloned()
            .collect()
    }
}

/// Returns the positions of up to [`CANDIDATE_LIMIT`] workers that fit `demand`.
fn search_index(
    index: &CapacityIndex,
    demand: &ResourceVector,
    searches_whole_pool: bool,
    cursor: usize,
    work: &mut WorkCounter,
) -> Vec<usize> {
    let mut found = Vec::with_capacity(CANDIDATE_LIMIT);
    let leaf_count = index.leaf_count();
    let (starts, limit) = if searches_whole_pool {
        (
            SEARCH_STARTS.min(leaf_count),
            CANDIDATE_LIMIT / SEARCH_STARTS,
        )
    } else {
        (1, CANDIDATE_LIMIT)
    };
    let offset = if searches_whole_pool { cursor } else { 0 };
    for start in 0..starts {
        let from = (offset + start * leaf_count / starts) % leaf_count;
        index.find(demand, from, limit, &mut found, work);
        // The search used up its bound of steps, or no worker fits.
        if found.is_empty() {
            break;
        }
    }
    // A search ends at the last position, so one that starts within the pool has
    // not covered the positions before its start.
    if found.is_empty() && searches_whole_pool {
        index.find(demand, 0, CANDIDATE_LIMIT, &mut found, work);
    }
    if found.is_empty() {
        index.find(demand, (cursor * 7) % leaf_count, 1, &mut found, work);
    }
    found
}

/// Returns how many tasks of `demand` fit into `available`.
pub(super) fn count_fitting(demand: &ResourceVector, available: &ResourceVector) -> u64 {
    [
        (demand.cpu_milli, available.cpu_milli),
        (demand.memory_mib, available.memory_mib),
        (demand.accelerators, available.accelerators),
    ]
    .into_iter()
    .filter_map(|(need, has)| has.checked_div(need))
    .min()
    .unwrap_or(0)
}

/// Returns the largest share of `total` that `amount` takes in any resource,
/// multiplied by `scale`.
pub(super) fn dominant_share(amount: &ResourceVector, total: &ResourceVector, scale: u64) -> u64 {
    scaled_share(amount.cpu_milli, total.cpu_milli, scale)
        .max(scaled_share(amount.memory_mib, total.memory_mib, scale))
        .max(scaled_share(amount.accelerators, total.accelerators, scale))
}
