//! Choice of workers for the tasks of a step.

use std::{
    cell::Cell,
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use super::{probation::ProbationUse, spec::StepSpec, worker::WorkerRecord};
use crate::{
    instances::{InstanceNumber, WorkerStanding},
    streaks::FailurePlace,
    types::{RackId, ResourceVector, WorkerId},
};

/// The workers on which tasks may be placed, and their free resources during one
/// placement pass.
///
/// Load pattern: many steps wait at once for hundreds of workers, most of which are
/// full. The table is built once for each pass, a step compares its demand with the free
/// resources of each row, and copies only the rows that it can use.
#[derive(Clone, Debug)]
pub(super) struct PlacementTable {
    rows: Vec<TableRow>,
    /// Free resources of each row. They are compared with the demand of each step, so they
    /// are kept together.
    free: Vec<ResourceVector>,
    /// Number of candidates that searches have examined.
    examined: Cell<u64>,
    /// Row of each worker instance, by ascending instance.
    row_indexes: Vec<(InstanceNumber, usize)>,
    /// CPU of all workers, in thousandths of a core.
    total_cpu_milli: u64,
    /// CPU of all workers that long-running tasks do not occupy, in thousandths of a core.
    reclaimable_cpu_milli: u64,
    /// Free CPU of all workers, as far as the scarcest resource of each is free.
    usable_cpu_milli: u64,
    /// Whether rows are marked as headroom.
    has_headroom: bool,
    /// Number of workers, except for those on probation whose turn had not come when the pass began.
    open_count: usize,
    /// Number of workers on probation.
    probation_count: usize,
}

/// Whether a worker may get a run as far as its probation is concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ProbationTurn {
    /// It is not on probation.
    Unlimited,
    /// It is on probation and may get one run.
    Due,
    /// It is on probation and gets no run in this pass.
    Over,
}

impl ProbationTurn {
    fn new(record: &WorkerRecord, now: Duration) -> Self {
        let instance = record.instance.as_ref();
        match instance.map(|instance| instance.reliability.standing()) {
            Some(WorkerStanding::OnProbation) if record.can_retry(now) => Self::Due,
            Some(WorkerStanding::OnProbation) => Self::Over,
            _ => Self::Unlimited,
        }
    }
}

/// Why a step prefers other workers; the lowest is preferred.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct WorkerPreference {
    /// The tasks have failed on the worker.
    is_avoided: bool,
    /// Starts or runs have failed or are slow on the worker.
    is_penalized: bool,
}

/// A worker and its free resources.
#[derive(Clone, Debug)]
pub(super) struct TableRow {
    pub(super) worker: WorkerId,
    pub(super) instance: InstanceNumber,
    /// Start time of the instance in ms since 1970.
    started_unix_ms: u64,
    rack: Option<RackId>,
    capacity: ResourceVector,
    /// Resources that long-running tasks do not occupy.
    reclaimable: ResourceVector,
    best_effort_cpu_milli: u64,
    /// Number of runs that may be on the worker.
    run_count: usize,
    has_serving_task: bool,
    is_penalized: bool,
    /// What the outcomes of the latest runs show.
    standing: WorkerStanding,
    turn: ProbationTurn,
    /// Whether jobs with slack leave the worker free for urgent jobs.
    pub(super) is_headroom: bool,
}

/// A worker that may run tasks of a step.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlaceCandidate {
    /// Index of the worker in the table.
    pub(super) row_index: usize,
    free: ResourceVector,
    best_effort_cpu_milli: u64,
    /// Number of further tasks of the step that the worker may run.
    task_allowance: usize,
    pub(super) preference: WorkerPreference,
    /// Whether the worker is outside the home rack of the step.
    pub(super) is_remote: bool,
    /// Whether best-effort tasks would run on the same worker as serving tasks.
    pub(super) is_mixed: bool,
}

/// Cost of placing a task on a worker; the lowest is preferred: the preference of the worker,
/// whether it is mixed or remote, and the capacity that stays free (negative for
/// best-effort tasks, which prefer the most).
type PlaceCost = (WorkerPreference, bool, bool, i64);

impl PlacementTable {
    pub(super) fn new<'a>(
        workers: impl Iterator<Item = (&'a WorkerId, &'a WorkerRecord)>,
        typical_ratio_percent: u64,
        now: Duration,
    ) -> Self {
        let rows = workers.filter_map(|(worker, record)| {
            let (listing, instance) = (record.listing.as_ref()?, record.instance.as_ref()?);
            let can_accept = record.can_accept_tasks() && !instance.ends.is_ack_overdue(now);
            let row = can_accept.then(|| TableRow {
                worker: WorkerId::clone(worker),
                instance: instance.number,
                started_unix_ms: instance.started_unix_ms,
                rack: listing.rack.clone(),
                capacity: listing.capacity,
                reclaimable: record.reclaimable_resources(),
                best_effort_cpu_milli: record.best_effort_cpu_milli,
                run_count: record.runs.len(),
                has_serving_task: record.has_serving_task(),
                is_penalized: instance.penalized_until > now
                    || instance.reliability.standing() == WorkerStanding::OnProbation
                    || record.has_unproven_suspect()
                    || instance.runtime_ratio.is_slow(typical_ratio_percent, now),
                standing: instance.reliability.standing(),
                turn: ProbationTurn::new(record, now),
                is_headroom: false,
            });
            Some((row?, record.free_resources()))
        });
        let (rows, free): (Vec<TableRow>, Vec<ResourceVector>) = rows.unzip();
        let instances = rows.iter().map(|row| row.instance);
        let mut row_indexes: Vec<(InstanceNumber, usize)> = instances.zip(0..).collect();
        row_indexes.sort_unstable();
        let open_rows = || rows.iter().filter(|row| row.is_open());
        Self {
            row_indexes,
            total_cpu_milli: open_rows().map(|row| row.capacity.cpu_milli).sum(),
            reclaimable_cpu_milli: open_rows().map(|row| row.reclaimable.cpu_milli).sum(),
            open_count: open_rows().count(),
            probation_count: rows.iter().filter(|row| row.is_on_probation()).count(),
            usable_cpu_milli: rows
                .iter()
                .zip(&free)
                .map(|(row, free)| row.usable_cpu_milli(free))
                .sum(),
            has_headroom: false,
            examined: Cell::new(0),
            rows,
            free,
        }
    }

    /// Returns the number of candidates that searches have examined.
    pub(super) const fn examined(&self) -> u64 {
        self.examined.get()
    }

    pub(super) fn row(&self, candidate: &PlaceCandidate) -> &TableRow {
        self.row_at(candidate.row_index)
    }

    pub(super) fn row_at(&self, index: usize) -> &TableRow {
        &self.rows[index]
    }

    /// Returns the workers on which a task of the step fits now.
    ///
    /// `task_allowance` returns the number of further tasks that a worker may run of a step
    /// with a required label or a limit for each worker.
    pub(super) fn fitting(
        &self,
        step: &StepSpec,
        probation_use: ProbationUse,
        task_allowance: impl Fn(&WorkerId) -> usize,
    ) -> impl Iterator<Item = PlaceCandidate> {
        let occupied = step.occupied();
        let free = self.free.iter().enumerate();
        let rows = free.filter(move |(_, free)| occupied.fits_in(free));
        let candidates = rows.filter_map(move |(index, _)| {
            self.candidate(index, step, probation_use, &task_allowance)
        });
        candidates.filter(|candidate| candidate.fits(step))
    }

    /// Returns the workers on which a task of the step would fit if only long-running
    /// tasks were on them.
    pub(super) fn eligible(
        &self,
        step: &StepSpec,
        probation_use: ProbationUse,
        task_allowance: impl Fn(&WorkerId) -> usize,
    ) -> impl Iterator<Item = PlaceCandidate> {
        let rows = 0..self.rows.len();
        rows.filter_map(move |index| self.candidate(index, step, probation_use, &task_allowance))
    }

    /// Returns those of the given workers that [`Self::eligible`] would return.
    pub(super) fn eligible_among(
        &self,
        instances: impl Iterator<Item = InstanceNumber>,
        step: &StepSpec,
        probation_use: ProbationUse,
        task_allowance: impl Fn(&WorkerId) -> usize,
    ) -> impl Iterator<Item = PlaceCandidate> {
        instances.filter_map(move |instance| {
            let found = self
                .row_indexes
                .binary_search_by_key(&instance, |(instance, _)| *instance);
            let (_, index) = self.row_indexes[found.ok()?];
            self.candidate(index, step, probation_use, &task_allowance)
        })
    }

    /// Returns a worker as a candidate if it could run a task of the step while only
    /// long-running tasks are on it.
    fn candidate(
        &self,
        row_index: usize,
        step: &StepSpec,
        probation_use: ProbationUse,
        task_allowance: &impl Fn(&WorkerId) -> usize,
    ) -> Option<PlaceCandidate> {
        self.examined.set(self.examined.get() + 1);
        let row = &self.rows[row_index];
        let is_admitted = match probation_use {
            ProbationUse::Excluded => !row.is_on_probation(),
            ProbationUse::InTurn => row.is_open(),
            ProbationUse::Unrestricted => true,
        };
        if !is_admitted || !step.occupied().fits_in(&row.reclaimable) {
            return None;
        }
        let is_restricted = step.per_worker_limit.is_some() || step.required_label.is_some();
        let task_allowance = if is_restricted {
            task_allowance(&row.worker)
        } else {
            usize::MAX
        };
        let task_allowance = match probation_use {
            // A gang may need several tasks on the worker, and nothing else may ever run there.
            ProbationUse::InTurn if row.is_on_probation() && !step.gang => task_allowance.min(1),
            _ => task_allowance,
        };
        let home = step.home_rack.as_deref();
        (task_allowance > 0).then_some(PlaceCandidate {
            row_index,
            free: self.free[row_index],
            best_effort_cpu_milli: row.best_effort_cpu_milli,
            task_allowance,
            preference: WorkerPreference {
                is_avoided: false,
                is_penalized: row.is_penalized,
            },
            is_remote: home.is_some_and(|home| row.rack.as_deref() != Some(home)),
            is_mixed: if step.fills {
                row.has_serving_task
            } else {
                step.target_tail_ms.is_some() && row.best_effort_cpu_milli > 0
            },
        })
    }

    /// Returns the number of workers, except for those on probation whose turn had not come when the
    /// pass began.
    pub(super) const fn open_count(&self) -> usize {
        self.open_count
    }

    /// Returns the number of workers on probation.
    pub(super) const fn probation_count(&self) -> usize {
        self.probation_count
    }

    /// Returns whether at least half of all workers are on probation.
    pub(super) const fn is_half_on_probation(&self) -> bool {
        self.probation_count * 2 >= self.rows.len()
    }

    /// Returns whether a worker on probation may get a run in its turn.
    pub(super) fn has_turn(&self) -> bool {
        let mut rows = self.rows.iter();
        self.probation_count > 0 && rows.any(|row| row.turn == ProbationTurn::Due)
    }

    /// Makes other workers preferred to this one for the rest of the pass.
    pub(super) fn penalize_worker(&mut self, row_index: usize) {
        self.rows[row_index].is_penalized = true;
    }

    /// Makes proven workers preferred among these candidates.
    pub(super) fn penalize_unproven(&self, candidates: &mut [PlaceCandidate]) {
        for candidate in candidates {
            candidate.preference.is_penalized |= !self.row(candidate).is_proven();
        }
    }

    /// Makes all other workers preferred among these candidates to the one on which a run failed.
    pub(super) fn avoid_worker(&self, candidates: &mut [PlaceCandidate], place: &FailurePlace) {
        for candidate in candidates {
            candidate.preference.is_avoided |= self.row(candidate).is_at(place);
        }
    }

    /// Makes a worker unavailable for the rest of the pass.
    pub(super) fn reserve_worker(&mut self, row_index: usize) {
        self.set_free(row_index, ResourceVector::default());
    }

    /// Marks the emptiest workers, whose free CPU together is at most `percent` of
    /// the CPU of all workers, as headroom. The free CPU counts only as far as the scarcest
    /// resource of the worker is free. Later calls in the same pass have no effect.
    pub(super) fn mark_headroom(&mut self, percent: u64) {
        if std::mem::replace(&mut self.has_headroom, true) {
            return;
        }
        let mut left = self.total_cpu_milli * percent / 100;
        let rows = self.rows.iter().zip(&self.free).enumerate();
        let mut order: BinaryHeap<(u64, Reverse<usize>)> = rows
            .map(|(index, (row, free))| (row.usable_cpu_milli(free), Reverse(index)))
            .collect();
        while let Some((free, Reverse(index))) = order.pop() {
            // The rest lacks one resource entirely, or the next worker exceeds the part
            // to be left free.
            if free == 0 || free > left {
                break;
            }
            left -= free;
            self.rows[index].is_headroom = true;
        }
    }

    /// Returns the free part of the capacity, in percent. The free CPU of a worker counts
    /// only as far as its scarcest resource is free.
    pub(super) fn free_percent(&self) -> u64 {
        (self.usable_cpu_milli * 100)
            .checked_div(self.total_cpu_milli)
            .unwrap_or(0)
    }

    /// Returns the CPU of all workers, in thousandths of a core.
    pub(super) const fn total_cpu_milli(&self) -> u64 {
        self.total_cpu_milli
    }

    /// Returns the free CPU of all workers, as far as the scarcest resource of each is free.
    pub(super) const fn usable_cpu_milli(&self) -> u64 {
        self.usable_cpu_milli
    }

    /// Returns how many further long-running tasks of a step may be placed if such tasks leave
    /// this part of the CPU to others.
    pub(super) fn room_for_lasting(&self, step: &StepSpec, percent: u64) -> usize {
        let left_milli = self.total_cpu_milli * percent / 100;
        let room_milli = self.reclaimable_cpu_milli.saturating_sub(left_milli);
        let tasks = room_milli.checked_div(step.occupied().cpu_milli);
        tasks.map_or(usize::MAX, |tasks| {
            usize::try_from(tasks).unwrap_or(usize::MAX)
        })
    }

    /// Returns whether others are preferred to the worker.
    pub(super) fn is_penalized(&self, candidate: &PlaceCandidate) -> bool {
        self.rows[candidate.row_index].is_penalized
    }

    /// Returns the number of the workers that `is_selected` accepts and the free part of their
    /// CPU, in percent.
    pub(super) fn free_percent_among(
        &self,
        is_selected: impl Fn(&WorkerId) -> bool,
    ) -> (usize, u64) {
        let rows = self.rows.iter().zip(&self.free);
        let selected = rows.filter(|(row, _)| row.is_open() && is_selected(&row.worker));
        let (count, free, all) = selected.fold((0, 0, 0), |(count, free, all), (row, left)| {
            (
                count + 1,
                free + left.cpu_milli,
                all + row.capacity.cpu_milli,
            )
        });
        (count, (free * 100_u64).checked_div(all).unwrap_or(0))
    }

    /// Allocates the resources of a task on a worker for the rest of the pass.
    pub(super) fn allocate(&mut self, row_index: usize, step: &StepSpec) {
        let row = &mut self.rows[row_index];
        let occupied = step.occupied();
        row.run_count += 1;
        row.has_serving_task |= step.target_tail_ms.is_some();
        if step.fills {
            row.best_effort_cpu_milli += step.demand.cpu_milli;
        }
        if step.long_running {
            row.reclaimable = row.reclaimable.minus(&occupied).unwrap_or_default();
            self.reclaimable_cpu_milli = self
                .reclaimable_cpu_milli
                .saturating_sub(occupied.cpu_milli);
        }
        if self.rows[row_index].is_on_probation() {
            self.close_row(row_index);
        }
        let free = self.free[row_index];
        self.set_free(
            row_index,
            ResourceVector {
                cpu_milli: free.cpu_milli.saturating_sub(occupied.cpu_milli),
                memory_mib: free.memory_mib.saturating_sub(occupied.memory_mib),
                accelerators: free.accelerators.saturating_sub(occupied.accelerators),
            },
        );
    }

    /// Ends the turn of a worker on probation.
    fn close_row(&mut self, row_index: usize) {
        let row = &mut self.rows[row_index];
        self.usable_cpu_milli -= row.usable_cpu_milli(&self.free[row_index]);
        row.turn = ProbationTurn::Over;
    }

    fn set_free(&mut self, row_index: usize, free: ResourceVector) {
        let row = &self.rows[row_index];
        self.usable_cpu_milli -= row.usable_cpu_milli(&self.free[row_index]);
        self.usable_cpu_milli += row.usable_cpu_milli(&free);
        self.free[row_index] = free;
    }

    /// Returns the free part of a candidate's scarcest resource, in thousandths.
    pub(super) fn free_share_permille(&self, candidate: &PlaceCandidate) -> u64 {
        let index = candidate.row_index;
        self.rows[index].free_share_permille(&self.free[index])
    }
}

impl TableRow {
    /// Returns whether no run has failed on the worker since the latest success.
    pub(super) fn is_proven(&self) -> bool {
        self.standing == WorkerStanding::Proven
    }

    /// Returns whether a run failed on the worker.
    pub(super) fn is_at(&self, place: &FailurePlace) -> bool {
        place.is_on(&self.worker, self.started_unix_ms)
    }

    pub(super) fn is_on_probation(&self) -> bool {
        self.turn != ProbationTurn::Unlimited
    }

    /// Returns whether a step may use the worker in its turn, if it has one.
    fn is_open(&self) -> bool {
        self.turn != ProbationTurn::Over
    }

    /// Returns the free CPU, as far as the scarcest resource is free and the worker open.
    fn usable_cpu_milli(&self, free: &ResourceVector) -> u64 {
        if !self.is_open() {
            return 0;
        }
        self.capacity.cpu_milli * self.free_share_permille(free) / 1_000
    }

    /// Returns the free part of the scarcest resource, in thousandths.
    fn free_share_permille(&self, free: &ResourceVector) -> u64 {
        let capacity = &self.capacity;
        let share = |free: u64, all: u64| (free * 1_000).checked_div(all).unwrap_or(1_000);
        share(free.cpu_milli, capacity.cpu_milli)
            .min(share(free.memory_mib, capacity.memory_mib))
            .min(share(free.accelerators, capacity.accelerators))
    }

    /// Returns how many tasks of the step would fit if only long-running and best-effort
    /// tasks were on the worker.
    pub(super) fn fitting_tasks_when_reclaimed(
        &self,
        candidate: &PlaceCandidate,
        step: &StepSpec,
    ) -> usize {
        let reclaimed = PlaceCandidate {
            free: self.reclaimable,
            ..*candidate
        };
        reclaimed.fitting_tasks(step)
    }
}

impl PlaceCandidate {
    pub(super) fn fits(&self, step: &StepSpec) -> bool {
        let has_idle_cpu = !step.fills
            || self.free.cpu_milli
                >= self
                    .best_effort_cpu_milli
                    .saturating_add(step.demand.cpu_milli);
        self.task_allowance > 0 && has_idle_cpu && step.occupied().fits_in(&self.free)
    }

    /// Returns how many tasks of the step fit now.
    pub(super) fn fitting_tasks(&self, step: &StepSpec) -> usize {
        let occupied = step.occupied();
        let share = |free: u64, need: u64| free.checked_div(need).unwrap_or(u64::MAX);
        let best_effort_limit = if step.fills {
            let left = self
                .free
                .cpu_milli
                .saturating_sub(self.best_effort_cpu_milli);
            share(left, step.demand.cpu_milli)
        } else {
            u64::MAX
        };
        let fitting_tasks = share(self.free.cpu_milli, occupied.cpu_milli)
            .min(share(self.free.memory_mib, occupied.memory_mib))
            .min(share(self.free.accelerators, occupied.accelerators))
            .min(best_effort_limit)
            .min(u64::from(step.count));
        usize::try_from(fitting_tasks)
            .unwrap_or(usize::MAX)
            .min(self.task_allowance)
    }

    fn allocate(&mut self, step: &StepSpec) {
        self.free = self.free.minus(&step.occupied()).unwrap_or_default();
        if step.fills {
            self.best_effort_cpu_milli += step.demand.cpu_milli;
        }
        self.task_allowance -= 1;
    }

    fn cost(&self, capacity: &ResourceVector, step: &StepSpec) -> PlaceCost {
        let remaining = self.free.minus(&step.occupied()).unwrap_or_default();
        let share = |remaining: u64, capacity: u64| {
            i64::try_from(remaining * 1_000 / capacity.max(1)).unwrap_or(i64::MAX)
        };
        let remaining_capacity = if step.fills {
            -share(
                self.free
                    .cpu_milli
                    .saturating_sub(self.best_effort_cpu_milli),
                capacity.cpu_milli,
            )
        } else {
            share(remaining.cpu_milli, capacity.cpu_milli)
                + share(remaining.accelerators, capacity.accelerators) * 2
        };
        (
            self.preference,
            self.is_mixed,
            self.is_remote,
            remaining_capacity,
        )
    }
}

/// Returns workers for as many tasks of the step as fit, at most `count`; for a gang,
/// for all or none of them.
pub(super) fn choose_for_step(
    table: &PlacementTable,
    candidates: Vec<PlaceCandidate>,
    step_spec: &StepSpec,
    count: usize,
) -> Vec<PlaceCandidate> {
    if step_spec.gang {
        choose_for_gang(table, candidates, step_spec, count).unwrap_or_default()
    } else {
        choose_for_tasks(table, candidates, step_spec, count)
    }
}

/// Returns the candidates with the fewest runs, at most `count`.
///
/// Load pattern: a task that crashes its workers is started again. The fewer runs are beside
/// it, the less other work is lost with it.
pub(super) fn choose_idlest(
    table: &PlacementTable,
    mut candidates: Vec<PlaceCandidate>,
    count: usize,
) -> Vec<PlaceCandidate> {
    candidates.sort_by_key(|candidate| {
        let run_count = table.row(candidate).run_count;
        (run_count, candidate.is_remote, candidate.preference)
    });
    candidates.truncate(count);
    candidates
}

/// Returns workers for as many tasks as fit, at most `count`. A task fits on each of the
/// candidates.
fn choose_for_tasks(
    table: &PlacementTable,
    mut candidates: Vec<PlaceCandidate>,
    step: &StepSpec,
    count: usize,
) -> Vec<PlaceCandidate> {
    let cost = |candidate: &PlaceCandidate| candidate.cost(&table.row(candidate).capacity, step);
    let costs = candidates.iter().zip(0..);
    let mut ranking: BinaryHeap<Reverse<(PlaceCost, usize)>> = costs
        .map(|(candidate, index)| Reverse((cost(candidate), index)))
        .collect();
    let mut chosen = Vec::new();
    while chosen.len() < count
        && let Some(Reverse((_, index))) = ranking.pop()
    {
        let candidate = &mut candidates[index];
        candidate.allocate(step);
        chosen.push(*candidate);
        if candidate.fits(step) {
            ranking.push(Reverse((cost(candidate), index)));
        }
    }
    chosen
}

/// Returns workers for all `count` members of a gang, in one rack if the step prefers
/// that and one has the capacity, or `None` if the gang does not fit.
fn choose_for_gang(
    table: &PlacementTable,
    candidates: Vec<PlaceCandidate>,
    step: &StepSpec,
    count: usize,
) -> Option<Vec<PlaceCandidate>> {
    let choose_all = |candidates: Vec<PlaceCandidate>| {
        let room = candidates.iter();
        let room = room.map(|candidate| candidate.fitting_tasks(step));
        if room.fold(0, usize::saturating_add) < count {
            return None;
        }
        let chosen = choose_for_tasks(table, candidates, step, count);
        (chosen.len() == count).then_some(chosen)
    };
    let mut racks: BTreeMap<Option<&RackId>, Vec<PlaceCandidate>> = BTreeMap::new();
    if step.same_rack {
        for candidate in &candidates {
            let rack = table.row(candidate).rack.as_ref();
            racks.entry(rack).or_default().push(*candidate);
        }
    }
    let in_one_rack = racks.into_values().find_map(choose_all);
    in_one_rack.or_else(|| choose_all(candidates))
}

/// Returns workers to reserve for all members of a gang, those with the most free
/// capacity first, or `None` if the gang cannot fit on the candidates.
pub(super) fn choose_for_reservation(
    table: &PlacementTable,
    mut candidates: Vec<PlaceCandidate>,
    step: &StepSpec,
) -> Option<Vec<usize>> {
    candidates.sort_by_cached_key(|candidate| {
        (
            Reverse(candidate.fitting_tasks(step)),
            Reverse(table.free_share_permille(candidate)),
        )
    });
    let mut uncovered_tasks = step.count as usize;
    let mut chosen = Vec::new();
    for candidate in candidates {
        if uncovered_tasks == 0 {
            break;
        }
        let row = table.row(&candidate);
        let reclaimed = row.fitting_tasks_when_reclaimed(&candidate, step);
        uncovered_tasks = uncovered_tasks.saturating_sub(reclaimed);
        chosen.push(candidate.row_index);
    }
    (uncovered_tasks == 0).then_some(chosen)
}
