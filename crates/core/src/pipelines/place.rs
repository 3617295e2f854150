//! The choice of workers for the tasks of a step.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{advice::AdviceBook, spec::StepSpec, worker::WorkerRecord};
use crate::types::{RackId, ResourceVector, WorkerId};

/// The workers that take tasks, as one pass over the waiting steps sees them.
///
/// Load pattern: many steps wait at once for hundreds of workers, most of which are
/// full. The table is built once a pass, and each step copies only the rows on which
/// a task of it fits.
#[derive(Clone, Debug)]
pub(super) struct PlacementTable {
    rows: Vec<TableRow>,
}

#[derive(Clone, Debug)]
struct TableRow {
    worker: WorkerId,
    rack: Option<RackId>,
    capacity: ResourceVector,
    free: ResourceVector,
    fill_milli: u64,
    has_serving: bool,
    is_troubled: bool,
}

/// A worker that may run tasks of a step, by its row in the table.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlaceCandidate {
    pub(super) row: usize,
    capacity: ResourceVector,
    free: ResourceVector,
    fill_milli: u64,
    /// How many more tasks of the step the worker may run.
    tasks_left: usize,
    is_troubled: bool,
    is_far: bool,
    /// Whether filling tasks would run beside tasks with users of their own.
    is_mixed: bool,
}

/// Lower is better.
type PlaceCost = (bool, bool, bool, i64);

impl PlacementTable {
    pub(super) fn new<'a>(
        workers: impl Iterator<Item = (&'a WorkerId, &'a WorkerRecord)>,
        usual_percent: u64,
        now: Duration,
    ) -> Self {
        let rows = workers.filter_map(|(worker, record)| {
            let listing = record.listing.as_ref()?;
            record.takes_tasks().then(|| TableRow {
                worker: WorkerId::clone(worker),
                rack: listing.rack.clone(),
                capacity: listing.capacity,
                free: record.free(),
                fill_milli: record.fill_milli,
                has_serving: record.has_serving(),
                is_troubled: record.troubled_until > now
                    || record.speed.is_slow(usual_percent, now),
            })
        });
        Self {
            rows: rows.collect(),
        }
    }

    pub(super) fn worker(&self, candidate: &PlaceCandidate) -> &WorkerId {
        &self.rows[candidate.row].worker
    }

    /// Returns the workers on which a task of the step fits now.
    ///
    /// `tasks_left` tells how many more tasks of a restricted step a worker may run.
    pub(super) fn fitting(
        &self,
        step: &StepSpec,
        tasks_left: impl Fn(&WorkerId) -> usize,
    ) -> Vec<PlaceCandidate> {
        let rows = self.rows.iter().enumerate();
        let rows = rows.filter(|(_, row)| row.has_room(step));
        let rows = rows.filter_map(|(index, row)| row.candidate(index, step, &tasks_left));
        rows.filter(|candidate| candidate.fits(step)).collect()
    }

    /// Returns the workers on which a task of the step would fit if they were empty.
    pub(super) fn able(
        &self,
        step: &StepSpec,
        tasks_left: impl Fn(&WorkerId) -> usize,
    ) -> Vec<PlaceCandidate> {
        let rows = self.rows.iter().enumerate();
        let rows = rows.filter_map(|(index, row)| row.candidate(index, step, &tasks_left));
        rows.collect()
    }

    /// Returns the number of workers.
    pub(super) const fn len(&self) -> usize {
        self.rows.len()
    }

    /// Takes all room of a worker for the rest of the pass.
    pub(super) fn keep(&mut self, row: usize) {
        if let Some(row) = self.rows.get_mut(row) {
            row.free = ResourceVector::default();
        }
    }

    /// Returns the emptiest workers, whose free room together is at most `percent` of
    /// the room of all.
    pub(super) fn emptiest(&self, percent: u64) -> BTreeSet<usize> {
        let total: u64 = self.rows.iter().map(|row| row.capacity.cpu_milli).sum();
        let mut left = total * percent / 100;
        let rows = self.rows.iter().enumerate();
        let order: BTreeSet<(Reverse<u64>, usize)> = rows
            .map(|(index, row)| {
                let share = free_share(&row.free, &row.capacity);
                (Reverse(row.capacity.cpu_milli * share / 1_000), index)
            })
            .collect();
        let mut chosen = BTreeSet::new();
        for (Reverse(free), index) in order {
            // The rest is full in one resource or has more room than is left free.
            if free == 0 || free > left {
                break;
            }
            left -= free;
            chosen.insert(index);
        }
        chosen
    }

    /// Takes the room of a task on a worker for the rest of the pass.
    pub(super) fn take(&mut self, candidate: &PlaceCandidate, step: &StepSpec) {
        let Some(row) = self.rows.get_mut(candidate.row) else {
            return;
        };
        let occupied = step.occupied();
        row.free = ResourceVector {
            cpu_milli: row.free.cpu_milli.saturating_sub(occupied.cpu_milli),
            memory_mib: row.free.memory_mib.saturating_sub(occupied.memory_mib),
            accelerators: row.free.accelerators.saturating_sub(occupied.accelerators),
        };
        row.has_serving |= step.target_tail_ms.is_some();
        if step.fills {
            row.fill_milli += step.demand.cpu_milli;
        }
    }
}

impl TableRow {
    fn has_room(&self, step: &StepSpec) -> bool {
        step.occupied().fits_in(&self.free)
    }

    /// Returns the candidate if the worker, when empty, has room for a task.
    fn candidate(
        &self,
        row: usize,
        step: &StepSpec,
        tasks_left: &impl Fn(&WorkerId) -> usize,
    ) -> Option<PlaceCandidate> {
        if !step.occupied().fits_in(&self.capacity) {
            return None;
        }
        let is_restricted = step.per_worker_limit.is_some() || step.required_label.is_some();
        let tasks_left = if is_restricted {
            tasks_left(&self.worker)
        } else {
            usize::MAX
        };
        let home = step.home_rack.as_deref();
        (tasks_left > 0).then_some(PlaceCandidate {
            row,
            capacity: self.capacity,
            free: self.free,
            fill_milli: self.fill_milli,
            tasks_left,
            is_troubled: self.is_troubled,
            is_far: home.is_some_and(|home| self.rack.as_deref() != Some(home)),
            is_mixed: if step.fills {
                self.has_serving
            } else {
                step.target_tail_ms.is_some() && self.fill_milli > 0
            },
        })
    }
}

impl PlaceCandidate {
    pub(super) fn fits(&self, step: &StepSpec) -> bool {
        let has_leftover = !step.fills
            || self.free.cpu_milli >= self.fill_milli.saturating_add(step.demand.cpu_milli);
        self.tasks_left > 0 && has_leftover && step.occupied().fits_in(&self.free)
    }

    /// Returns how many tasks of the step fit.
    pub(super) fn room(&self, step: &StepSpec) -> usize {
        let occupied = step.occupied();
        let share = |free: u64, need: u64| free.checked_div(need).unwrap_or(u64::MAX);
        let leftover = if step.fills {
            let left = self.free.cpu_milli.saturating_sub(self.fill_milli);
            share(left, step.demand.cpu_milli)
        } else {
            u64::MAX
        };
        let room = share(self.free.cpu_milli, occupied.cpu_milli)
            .min(share(self.free.memory_mib, occupied.memory_mib))
            .min(share(self.free.accelerators, occupied.accelerators))
            .min(leftover)
            .min(u64::from(step.count));
        usize::try_from(room)
            .unwrap_or(usize::MAX)
            .min(self.tasks_left)
    }

    /// Returns the free part of the worker's scarcest resource, in thousandths.
    pub(super) fn free_share(&self) -> u64 {
        free_share(&self.free, &self.capacity)
    }

    /// Returns how many tasks of the step would fit if nothing else ran.
    pub(super) fn room_when_empty(&self, step: &StepSpec) -> usize {
        let empty = Self {
            free: self.capacity,
            fill_milli: 0,
            ..*self
        };
        empty.room(step)
    }

    fn take(&mut self, step: &StepSpec) {
        self.free = self.free.minus(&step.occupied()).unwrap_or_default();
        if step.fills {
            self.fill_milli += step.demand.cpu_milli;
        }
        self.tasks_left -= 1;
    }

    fn cost(&self, step: &StepSpec) -> PlaceCost {
        let rest = self.free.minus(&step.occupied()).unwrap_or_default();
        let share = |rest: u64, capacity: u64| {
            i64::try_from(rest * 1_000 / capacity.max(1)).unwrap_or(i64::MAX)
        };
        let fit = if step.fills {
            -share(
                self.free.cpu_milli.saturating_sub(self.fill_milli),
                self.capacity.cpu_milli,
            )
        } else {
            share(rest.cpu_milli, self.capacity.cpu_milli)
                + share(rest.accelerators, self.capacity.accelerators) * 2
        };
        (self.is_troubled, self.is_mixed, self.is_far, fit)
    }
}

/// Returns the free part of the scarcest resource, in thousandths.
fn free_share(free: &ResourceVector, capacity: &ResourceVector) -> u64 {
    let share = |free: u64, all: u64| (free * 1_000).checked_div(all).unwrap_or(1_000);
    share(free.cpu_milli, capacity.cpu_milli)
        .min(share(free.memory_mib, capacity.memory_mib))
        .min(share(free.accelerators, capacity.accelerators))
}

/// Returns the workers of as many tasks as fit, at most `count`.
pub(super) fn choose_each(
    candidates: &[PlaceCandidate],
    step: &StepSpec,
    count: usize,
) -> Vec<PlaceCandidate> {
    let fitting = candidates.iter().filter(|row| row.fits(step));
    let mut rows: Vec<PlaceCandidate> = fitting.copied().collect();
    let costs = rows.iter().enumerate();
    let mut order: BTreeSet<(PlaceCost, usize)> =
        costs.map(|(at, row)| (row.cost(step), at)).collect();
    let mut chosen = Vec::new();
    while chosen.len() < count
        && let Some((_, at)) = order.pop_first()
    {
        let row = &mut rows[at];
        row.take(step);
        chosen.push(*row);
        if row.fits(step) {
            order.insert((row.cost(step), at));
        }
    }
    chosen
}

/// Returns the workers of a whole gang, or nothing if it does not fit.
pub(super) fn choose_gang(
    table: &PlacementTable,
    candidates: &[PlaceCandidate],
    step: &StepSpec,
    count: usize,
) -> Option<Vec<PlaceCandidate>> {
    let whole = |rows: &[PlaceCandidate]| {
        let chosen = choose_each(rows, step, count);
        (chosen.len() == count).then_some(chosen)
    };
    let mut racks: BTreeMap<Option<&RackId>, Vec<PlaceCandidate>> = BTreeMap::new();
    if step.same_rack {
        for row in candidates {
            let rack = table.rows[row.row].rack.as_ref();
            racks.entry(rack).or_default().push(*row);
        }
    }
    let in_one = racks.values().find_map(|rows| whole(rows));
    in_one.or_else(|| whole(candidates))
}

/// Position among the workers to ask about; lower is first: those with room, among
/// them those that are known to be allowed, and then those with the most room.
///
/// Load pattern: the workers that a step may use are full of other tasks. Asking
/// about them again brings tickets that expire, while others have room.
type QuestionRank = (
    bool,
    bool,
    bool,
    bool,
    Reverse<usize>,
    Reverse<usize>,
    usize,
);

/// Returns the workers to ask about.
///
/// `allowed_percent` is the part of the workers that the queue's policy has
/// allowed so far.
pub(super) fn choose_questions(
    table: &PlacementTable,
    candidates: &[PlaceCandidate],
    book: &AdviceBook,
    step: &StepSpec,
    count: usize,
    allowed_percent: usize,
    now: Duration,
) -> Vec<WorkerId> {
    let askable = candidates
        .iter()
        .filter(|row| book.can_ask(table.worker(row), now));
    let mut rows: BTreeMap<QuestionRank, usize> = BTreeMap::new();
    for row in askable {
        let (room, most) = (row.room(step), row.room_when_empty(step));
        let rank = (
            room == 0,
            !book.is_allowed(table.worker(row)),
            row.is_troubled,
            row.is_far || row.is_mixed,
            Reverse(room),
            Reverse(most),
            row.row,
        );
        rows.insert(rank, room.max(1));
    }
    let mut expected = 0;
    let mut chosen = Vec::new();
    // Room for one more than needed, in percent of a task.
    let needed = (count + 1) * 100;
    for (rank, room) in rows {
        if expected >= needed {
            break;
        }
        let (_, is_unknown, .., row) = rank;
        expected += room * if is_unknown { allowed_percent } else { 100 };
        chosen.push(WorkerId::clone(&table.rows[row].worker));
    }
    chosen
}
