//! The workers of a pool and the room they have.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    index::{RoomIndex, WorkCounter},
    messages::{ReportedTask, WorkerEntry},
    policy::part,
};
use crate::types::{Attempt, ResourceVector, TaskId, WorkerId};

/// Candidates compared for one placement.
const CANDIDATES: usize = 16;
/// Places in the pool at which a search over the whole pool begins.
const SPREAD_STARTS: usize = 8;

/// Why a worker takes no new work.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum ClosedReason {
    /// It has not answered the claim.
    Unclaimed,
    /// It does not respond.
    Silent,
    /// Its host is leaving.
    Leaving,
    /// It rejected a start; closed until its next report, so that a wrong
    /// account of the free room does not repeat the same start at once.
    Rejected,
}

/// One worker.
#[derive(Clone, Debug)]
pub(super) struct WorkerSlot {
    pub(super) entry: WorkerEntry,
    pub(super) tasks: BTreeSet<TaskId>,
    /// Why new work does not start here; empty for an open worker.
    pub(super) closed: BTreeSet<ClosedReason>,
    pub(super) probation: bool,
    pub(super) renewed_at: Duration,
    pub(super) pressure: u32,
    used: ResourceVector,
    plain_used: ResourceVector,
    held: ResourceVector,
    orphans: BTreeMap<(TaskId, Attempt), ResourceVector>,
    position: usize,
}

impl WorkerSlot {
    fn new(entry: WorkerEntry) -> Self {
        Self {
            entry,
            tasks: BTreeSet::new(),
            closed: BTreeSet::from([ClosedReason::Unclaimed]),
            probation: false,
            renewed_at: Duration::ZERO,
            pressure: 0,
            used: ResourceVector::default(),
            plain_used: ResourceVector::default(),
            held: ResourceVector::default(),
            orphans: BTreeMap::new(),
            position: 0,
        }
    }

    /// Returns what is free, whether or not new work may use it.
    pub(super) fn free(&self) -> ResourceVector {
        subtract(&self.entry.capacity, &self.used)
    }

    /// Tells whether new work may start here.
    pub(super) fn is_open(&self) -> bool {
        let full_on_probation = self.probation && !self.tasks.is_empty();
        self.closed.is_empty() && !full_on_probation
    }

    pub(super) fn close(&mut self, reason: ClosedReason) {
        self.closed.insert(reason);
    }

    pub(super) fn claimed(&self) -> bool {
        !self.closed.contains(&ClosedReason::Unclaimed)
    }

    pub(super) fn responds(&self) -> bool {
        self.claimed() && !self.closed.contains(&ClosedReason::Silent)
    }

    /// Returns the room for new work outside the reservation.
    fn room(&self) -> ResourceVector {
        if self.is_open() {
            subtract(&self.free(), &self.held)
        } else {
            ResourceVector::default()
        }
    }

    const fn has_accelerators(&self) -> bool {
        self.entry.capacity.accelerators > 0
    }

    pub(super) fn plain_free(&self, percent: u64) -> ResourceVector {
        let limit = subtract(
            &plain_limit(&self.entry.capacity, percent),
            &self.plain_used,
        );
        lesser(&limit, &self.free())
    }

    fn plain_room(&self, percent: u64) -> ResourceVector {
        lesser(&self.plain_free(percent), &self.room())
    }

    /// Returns its room for work without accelerators if it runs anything.
    fn room_in_use(&self, percent: u64) -> ResourceVector {
        match self.has_accelerators() {
            _ if self.tasks.is_empty() => ResourceVector::default(),
            true => self.plain_room(percent),
            false => self.room(),
        }
    }
}

/// Returns the part of an accelerator host open to work without accelerators.
const fn plain_limit(capacity: &ResourceVector, percent: u64) -> ResourceVector {
    ResourceVector::new(
        capacity.cpu_milli * percent / 100,
        capacity.memory_mib * percent / 100,
        0,
    )
}

pub(super) fn subtract(from: &ResourceVector, amount: &ResourceVector) -> ResourceVector {
    ResourceVector {
        cpu_milli: from.cpu_milli.saturating_sub(amount.cpu_milli),
        memory_mib: from.memory_mib.saturating_sub(amount.memory_mib),
        accelerators: from.accelerators.saturating_sub(amount.accelerators),
    }
}

fn lesser(one: &ResourceVector, other: &ResourceVector) -> ResourceVector {
    ResourceVector {
        cpu_milli: one.cpu_milli.min(other.cpu_milli),
        memory_mib: one.memory_mib.min(other.memory_mib),
        accelerators: one.accelerators.min(other.accelerators),
    }
}

/// All workers of a pool, with one index per kind of room.
///
/// Accelerator hosts have two: what work with accelerators may use, and the
/// limited part that other work may use.
#[derive(Clone, Debug)]
pub(super) struct WorkerTable {
    slots: BTreeMap<WorkerId, WorkerSlot>,
    general: RoomIndex,
    accelerated: RoomIndex,
    plain: RoomIndex,
    general_names: Vec<WorkerId>,
    accelerated_names: Vec<WorkerId>,
    shapes: BTreeMap<ResourceVector, u64>,
    total: ResourceVector,
    host_share_percent: u64,
    cursor: usize,
    /// Room for work without accelerators on the workers in use.
    room_in_use: ResourceVector,
    pub(super) work: WorkCounter,
}

impl WorkerTable {
    pub(super) fn new(host_share_percent: u64) -> Self {
        let mut table = Self {
            slots: BTreeMap::new(),
            general: RoomIndex::default(),
            accelerated: RoomIndex::default(),
            plain: RoomIndex::default(),
            general_names: Vec::new(),
            accelerated_names: Vec::new(),
            shapes: BTreeMap::new(),
            total: ResourceVector::default(),
            host_share_percent,
            cursor: 0,
            room_in_use: ResourceVector::default(),
            work: WorkCounter::default(),
        };
        table.rebuild();
        table
    }

    pub(super) fn get(&self, name: &WorkerId) -> Option<&WorkerSlot> {
        self.slots.get(name)
    }

    pub(super) const fn total(&self) -> ResourceVector {
        self.total
    }

    /// Replaces the workers and returns the names of those that are gone.
    pub(super) fn replace(&mut self, entries: Vec<WorkerEntry>) -> Vec<WorkerId> {
        let names: BTreeSet<_> = entries.iter().map(|entry| entry.worker.clone()).collect();
        let gone: Vec<_> = self
            .slots
            .keys()
            .filter(|name| !names.contains(*name))
            .cloned()
            .collect();
        for name in &gone {
            self.slots.remove(name);
        }
        for entry in entries {
            match self.slots.get_mut(&entry.worker) {
                Some(slot) => slot.entry = entry,
                None => {
                    self.slots
                        .insert(entry.worker.clone(), WorkerSlot::new(entry));
                }
            }
        }
        self.rebuild();
        gone
    }

    pub(super) fn set_host_share(&mut self, percent: u64) {
        self.host_share_percent = percent;
        self.rebuild();
    }

    pub(super) fn remove(&mut self, name: &WorkerId) -> bool {
        let removed = self.slots.remove(name).is_some();
        if removed {
            self.rebuild();
        }
        removed
    }

    /// Orders the workers by zone and rack and builds the indexes anew.
    pub(super) fn rebuild(&mut self) {
        let mut order: Vec<_> = self
            .slots
            .values()
            .map(|slot| {
                (
                    slot.entry.zone.clone(),
                    slot.entry.rack.clone(),
                    slot.entry.worker.clone(),
                )
            })
            .collect();
        order.sort();
        self.general_names.clear();
        self.accelerated_names.clear();
        let (mut general, mut accelerated, mut plain) = (Vec::new(), Vec::new(), Vec::new());
        self.total = ResourceVector::default();
        self.shapes.clear();
        self.room_in_use = ResourceVector::default();
        for (_, _, name) in order {
            let Some(slot) = self.slots.get_mut(&name) else {
                continue;
            };
            self.total = self.total.plus(&slot.entry.capacity);
            let in_use = slot.room_in_use(self.host_share_percent);
            self.room_in_use = self.room_in_use.plus(&in_use);
            *self.shapes.entry(slot.entry.capacity).or_default() += 1;
            if slot.has_accelerators() {
                slot.position = accelerated.len();
                accelerated.push(slot.room());
                plain.push(slot.plain_room(self.host_share_percent));
                self.accelerated_names.push(name);
            } else {
                slot.position = general.len();
                general.push(slot.room());
                self.general_names.push(name);
            }
        }
        self.general = RoomIndex::new(&general);
        self.accelerated = RoomIndex::new(&accelerated);
        self.plain = RoomIndex::new(&plain);
    }

    /// Changes a worker and brings the indexes up to date.
    pub(super) fn update(&mut self, name: &WorkerId, change: impl FnOnce(&mut WorkerSlot)) {
        let Some(slot) = self.slots.get_mut(name) else {
            return;
        };
        let before = slot.room_in_use(self.host_share_percent);
        change(slot);
        let after = slot.room_in_use(self.host_share_percent);
        self.room_in_use = subtract(&self.room_in_use, &before).plus(&after);
        let (position, room) = (slot.position, slot.room());
        if slot.has_accelerators() {
            let plain = slot.plain_room(self.host_share_percent);
            self.accelerated.set(position, room, &mut self.work);
            self.plain.set(position, plain, &mut self.work);
        } else {
            self.general.set(position, room, &mut self.work);
        }
    }

    /// Sets `demand` aside for a task.
    pub(super) fn allocate(&mut self, name: &WorkerId, task: TaskId, demand: &ResourceVector) {
        self.update(name, |slot| {
            if slot.tasks.insert(task) {
                slot.used = slot.used.plus(demand);
                if demand.accelerators == 0 {
                    slot.plain_used = slot.plain_used.plus(demand);
                }
            }
        });
    }

    /// Gives back what a task had.
    pub(super) fn release(&mut self, name: &WorkerId, task: TaskId, demand: &ResourceVector) {
        self.update(name, |slot| {
            if slot.tasks.remove(&task) {
                slot.used = subtract(&slot.used, demand);
                if demand.accelerators == 0 {
                    slot.plain_used = subtract(&slot.plain_used, demand);
                }
            }
        });
    }

    /// Keeps room for what a worker runs that the queue does not know.
    pub(super) fn set_orphans(&mut self, name: &WorkerId, orphans: &[ReportedTask]) {
        self.update(name, |slot| {
            for demand in std::mem::take(&mut slot.orphans).values() {
                slot.used = subtract(&slot.used, demand);
            }
            for orphan in orphans {
                slot.used = slot.used.plus(&orphan.demand);
                slot.orphans
                    .insert((orphan.task, orphan.attempt), orphan.demand);
            }
        });
    }

    /// Notes a renewal of all workers that respond, which changes no room, and
    /// returns their names.
    pub(super) fn renew_all(&mut self, now: Duration) -> Vec<WorkerId> {
        let slots = self.slots.iter_mut();
        slots
            .filter(|(_, slot)| slot.responds())
            .map(|(name, slot)| {
                slot.renewed_at = now;
                name.clone()
            })
            .collect()
    }

    pub(super) fn hold(&mut self, name: &WorkerId, amount: ResourceVector) {
        self.update(name, |slot| slot.held = amount);
    }

    /// Returns the free amounts of a worker that `demand` may use, whether or
    /// not they are held by the reservation.
    pub(super) fn free_for(&self, name: &WorkerId, demand: &ResourceVector) -> ResourceVector {
        match self.slots.get(name) {
            Some(slot) if !slot.is_open() => ResourceVector::default(),
            Some(slot) if slot.has_accelerators() && demand.accelerators == 0 => {
                slot.plain_free(self.host_share_percent)
            }
            Some(slot) => slot.free(),
            None => ResourceVector::default(),
        }
    }

    /// Returns how many of `demand` the empty pool could hold. The work grows
    /// with the number of different capacities only.
    pub(super) fn holdable(&self, demand: &ResourceVector) -> u64 {
        self.shapes
            .iter()
            .map(|(capacity, count)| {
                let open = match capacity.accelerators {
                    0 => *capacity,
                    _ if demand.accelerators > 0 => *capacity,
                    _ => plain_limit(capacity, self.host_share_percent),
                };
                count * times_in(demand, &open)
            })
            .sum()
    }

    /// Returns the room of one worker for `demand` outside the reservation.
    pub(super) fn room_for(&self, name: &WorkerId, demand: &ResourceVector) -> ResourceVector {
        let Some(slot) = self.slots.get(name) else {
            return ResourceVector::default();
        };
        if slot.has_accelerators() && demand.accelerators == 0 {
            slot.plain_room(self.host_share_percent)
        } else {
            slot.room()
        }
    }

    /// Returns the room for work without accelerators on workers in use.
    pub(super) const fn room_in_use(&self) -> &ResourceVector {
        &self.room_in_use
    }

    pub(super) fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Returns workers with room for `demand`: from the whole pool, or the first
    /// ones in slot order. Hosts without accelerators come first for work
    /// without them.
    pub(super) fn candidates(
        &mut self,
        demand: &ResourceVector,
        whole_pool: bool,
    ) -> Vec<WorkerId> {
        let (indexes, names): (&[&RoomIndex], _) = if demand.accelerators > 0 {
            (
                &[&self.accelerated],
                [&self.accelerated_names, &self.accelerated_names],
            )
        } else {
            (
                &[&self.general, &self.plain],
                [&self.general_names, &self.accelerated_names],
            )
        };
        self.cursor = self.cursor.wrapping_add(1);
        for (index, names) in indexes.iter().zip(names) {
            let found = search(index, demand, whole_pool, self.cursor, &mut self.work);
            if !found.is_empty() {
                return found.into_iter().map(|slot| names[slot].clone()).collect();
            }
        }
        Vec::new()
    }

    /// Returns accelerator hosts in use whose open share has room for `demand`.
    pub(super) fn shared_candidates(&mut self, demand: &ResourceVector) -> Vec<WorkerId> {
        let found = search(&self.plain, demand, false, self.cursor, &mut self.work);
        let names = found.into_iter().map(|slot| &self.accelerated_names[slot]);
        names
            .filter(|name| {
                let slot = self.slots.get(*name);
                slot.is_some_and(|slot| !slot.tasks.is_empty())
            })
            .cloned()
            .collect()
    }
}

fn search(
    index: &RoomIndex,
    demand: &ResourceVector,
    whole_pool: bool,
    cursor: usize,
    work: &mut WorkCounter,
) -> Vec<usize> {
    let mut found = Vec::with_capacity(CANDIDATES);
    let leaves = index.leaves();
    let (starts, limit) = if whole_pool {
        (SPREAD_STARTS.min(leaves), CANDIDATES / SPREAD_STARTS)
    } else {
        (1, CANDIDATES)
    };
    let offset = if whole_pool { cursor } else { 0 };
    for start in 0..starts {
        let from = (offset + start * leaves / starts) % leaves;
        index.find(demand, from, limit, &mut found, work);
        // One start that finds nothing has used its bound, or there is no room.
        if found.is_empty() {
            break;
        }
    }
    // A search ends with the last slot, so one from within the pool has not
    // looked at the first slots.
    if found.is_empty() && whole_pool {
        index.find(demand, 0, CANDIDATES, &mut found, work);
    }
    if found.is_empty() {
        index.find(demand, (cursor * 7) % leaves, 1, &mut found, work);
    }
    found
}

/// Returns how many times `demand` fits into `room`.
pub(super) fn times_in(demand: &ResourceVector, room: &ResourceVector) -> u64 {
    [
        (demand.cpu_milli, room.cpu_milli),
        (demand.memory_mib, room.memory_mib),
        (demand.accelerators, room.accelerators),
    ]
    .into_iter()
    .filter_map(|(need, has)| has.checked_div(need))
    .min()
    .unwrap_or(0)
}

/// Returns the largest part of `total` that `amount` takes in any dimension.
pub(super) fn dominant_part(amount: &ResourceVector, total: &ResourceVector, scale: u64) -> u64 {
    part(amount.cpu_milli, total.cpu_milli, scale)
        .max(part(amount.memory_mib, total.memory_mib, scale))
        .max(part(amount.accelerators, total.accelerators, scale))
}
