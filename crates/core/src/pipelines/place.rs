//! Choice of workers for the tasks of a step.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{advice::TicketCache, spec::StepSpec, worker::WorkerRecord};
use crate::types::{RackId, ResourceVector, WorkerId};

/// Maximum number of exhausted demands that are compared with the demand of a step.
const MAX_EXHAUSTED_DEMANDS: usize = 16;

/// The workers on which tasks may be placed, and their free resources during one
/// placement pass.
///
/// Load pattern: many steps wait at once for hundreds of workers, most of which are
/// full. The table is built once for each pass, and each step copies only the rows on
/// which one of its tasks fits.
#[derive(Clone, Debug)]
pub(super) struct PlacementTable {
    rows: Vec<TableRow>,
}

/// A worker and its free resources.
#[derive(Clone, Debug)]
struct TableRow {
    worker: WorkerId,
    rack: Option<RackId>,
    capacity: ResourceVector,
    /// Resources that long-running tasks do not occupy.
    reclaimable: ResourceVector,
    free: ResourceVector,
    best_effort_cpu_milli: u64,
    has_serving_task: bool,
    is_penalized: bool,
}

/// A worker that may run tasks of a step.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlaceCandidate {
    /// Index of the worker in the table.
    pub(super) row_index: usize,
    capacity: ResourceVector,
    reclaimable: ResourceVector,
    free: ResourceVector,
    best_effort_cpu_milli: u64,
    /// Number of further tasks of the step that the worker may run.
    task_allowance: usize,
    is_penalized: bool,
    /// Whether the worker is outside the home rack of the step.
    is_remote: bool,
    /// Whether best-effort tasks would run on the same worker as serving tasks.
    is_mixed: bool,
}

/// Demands that fit on no worker with the label of a step for the rest of a placement
/// pass, in which free resources only decrease.
///
/// Load pattern: hundreds of similar steps wait for a full service. Once one of them fits
/// nowhere, those that need as much are skipped without a search for a worker.
#[derive(Clone, Debug, Default)]
pub(super) struct ExhaustedDemands {
    demands: Vec<ResourceVector>,
}

/// Cost of placing a task on a worker; the lowest is preferred: whether the worker is
/// penalized, mixed or remote, and the capacity that stays free (negative for
/// best-effort tasks, which prefer the most).
type PlaceCost = (bool, bool, bool, i64);

impl PlacementTable {
    pub(super) fn new<'a>(
        workers: impl Iterator<Item = (&'a WorkerId, &'a WorkerRecord)>,
        typical_ratio_percent: u64,
        now: Duration,
    ) -> Self {
        let rows = workers.filter_map(|(worker, record)| {
            let listing = record.listing.as_ref()?;
            record.can_accept_tasks().then(|| TableRow {
                worker: WorkerId::clone(worker),
                rack: listing.rack.clone(),
                capacity: listing.capacity,
                reclaimable: record.reclaimable_resources(),
                free: record.free_resources(),
                best_effort_cpu_milli: record.best_effort_cpu_milli,
                has_serving_task: record.has_serving_task(),
                is_penalized: record.penalized_until > now
                    || record.runtime_ratio.is_slow(typical_ratio_percent, now),
            })
        });
        Self {
            rows: rows.collect(),
        }
    }

    pub(super) fn worker(&self, candidate: &PlaceCandidate) -> &WorkerId {
        &self.rows[candidate.row_index].worker
    }

    /// Returns the number of candidates whose worker has a property.
    pub(super) fn count(
        &self,
        candidates: &[PlaceCandidate],
        has_property: impl Fn(&WorkerId) -> bool,
    ) -> usize {
        let workers = candidates.iter().map(|candidate| self.worker(candidate));
        workers.filter(|worker| has_property(worker)).count()
    }

    /// Returns the workers on which a task of the step fits now.
    ///
    /// `task_allowance` returns the number of further tasks that a worker may run of a step
    /// with a required label or a limit for each worker.
    pub(super) fn fitting(
        &self,
        step: &StepSpec,
        task_allowance: impl Fn(&WorkerId) -> usize,
    ) -> Vec<PlaceCandidate> {
        let rows = self.rows.iter().enumerate();
        let rows = rows.filter(|(_, row)| row.has_capacity(step));
        let rows = rows.filter_map(|(index, row)| row.candidate(index, step, &task_allowance));
        rows.filter(|candidate| candidate.fits(step)).collect()
    }

    /// Returns the workers on which a task of the step would fit if only long-running
    /// tasks were on them.
    pub(super) fn eligible_workers(
        &self,
        step: &StepSpec,
        task_allowance: impl Fn(&WorkerId) -> usize,
    ) -> Vec<PlaceCandidate> {
        let rows = self.rows.iter().enumerate();
        let rows = rows.filter_map(|(index, row)| row.candidate(index, step, &task_allowance));
        rows.collect()
    }

    /// Returns the number of workers.
    pub(super) const fn len(&self) -> usize {
        self.rows.len()
    }

    /// Makes a worker unavailable for the rest of the pass.
    pub(super) fn reserve_worker(&mut self, row: usize) {
        if let Some(row) = self.rows.get_mut(row) {
            row.free = ResourceVector::default();
        }
    }

    /// Returns the emptiest workers, whose free CPU together is at most `percent` of
    /// the CPU of all workers. The free CPU counts only as far as the scarcest resource
    /// of the worker is free.
    pub(super) fn emptiest_workers(&self, percent: u64) -> BTreeSet<usize> {
        let total: u64 = self.rows.iter().map(|row| row.capacity.cpu_milli).sum();
        let mut left = total * percent / 100;
        let rows = self.rows.iter().enumerate();
        let order: BTreeSet<(Reverse<u64>, usize)> = rows
            .map(|(index, row)| {
                let share = free_share_permille(&row.free, &row.capacity);
                (Reverse(row.capacity.cpu_milli * share / 1_000), index)
            })
            .collect();
        let mut chosen = BTreeSet::new();
        for (Reverse(free), index) in order {
            // The rest lacks one resource entirely, or the next worker exceeds the part
            // to be left free.
            if free == 0 || free > left {
                break;
            }
            left -= free;
            chosen.insert(index);
        }
        chosen
    }

    /// Returns the free part of the capacity, in percent. The free CPU of a worker counts
    /// only as far as its scarcest resource is free.
    pub(super) fn free_percent(&self) -> u64 {
        let total: u64 = self.rows.iter().map(|row| row.capacity.cpu_milli).sum();
        let free = self.rows.iter().map(|row| {
            let share = free_share_permille(&row.free, &row.capacity);
            row.capacity.cpu_milli * share / 1_000
        });
        (free.sum::<u64>() * 100).checked_div(total).unwrap_or(0)
    }

    /// Allocates the resources of a task on a worker for the rest of the pass.
    pub(super) fn allocate(&mut self, candidate: &PlaceCandidate, step: &StepSpec) {
        let Some(row) = self.rows.get_mut(candidate.row_index) else {
            return;
        };
        let occupied = step.occupied();
        row.free = ResourceVector {
            cpu_milli: row.free.cpu_milli.saturating_sub(occupied.cpu_milli),
            memory_mib: row.free.memory_mib.saturating_sub(occupied.memory_mib),
            accelerators: row.free.accelerators.saturating_sub(occupied.accelerators),
        };
        row.has_serving_task |= step.target_tail_ms.is_some();
        if step.fills {
            row.best_effort_cpu_milli += step.demand.cpu_milli;
        }
    }
}

impl TableRow {
    fn has_capacity(&self, step: &StepSpec) -> bool {
        step.occupied().fits_in(&self.free)
    }

    /// Returns the worker as a candidate if it could run a task of the step while only
    /// long-running tasks are on it.
    fn candidate(
        &self,
        row_index: usize,
        step: &StepSpec,
        task_allowance: &impl Fn(&WorkerId) -> usize,
    ) -> Option<PlaceCandidate> {
        if !step.occupied().fits_in(&self.reclaimable) {
            return None;
        }
        let is_restricted = step.per_worker_limit.is_some() || step.required_label.is_some();
        let task_allowance = if is_restricted {
            task_allowance(&self.worker)
        } else {
            usize::MAX
        };
        let home = step.home_rack.as_deref();
        (task_allowance > 0).then_some(PlaceCandidate {
            row_index,
            capacity: self.capacity,
            reclaimable: self.reclaimable,
            free: self.free,
            best_effort_cpu_milli: self.best_effort_cpu_milli,
            task_allowance,
            is_penalized: self.is_penalized,
            is_remote: home.is_some_and(|home| self.rack.as_deref() != Some(home)),
            is_mixed: if step.fills {
                self.has_serving_task
            } else {
                step.target_tail_ms.is_some() && self.best_effort_cpu_milli > 0
            },
        })
    }
}

impl ExhaustedDemands {
    /// Returns whether a task of the step is known to fit on no worker.
    pub(super) fn contains(&self, step: &StepSpec) -> bool {
        let occupied = step.occupied();
        self.demands.iter().any(|demand| demand.fits_in(&occupied))
    }

    /// Adds the demand of a step that fits on no worker, unless something else than its
    /// demand may be the reason.
    pub(super) fn insert(&mut self, step: &StepSpec) {
        if step.per_worker_limit.is_some()
            || step.fills
            || self.contains(step)
            || self.demands.len() >= MAX_EXHAUSTED_DEMANDS
        {
            return;
        }
        let occupied = step.occupied();
        self.demands.retain(|demand| !occupied.fits_in(demand));
        self.demands.push(occupied);
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

    /// Returns the free part of the worker's scarcest resource, in thousandths.
    pub(super) fn free_share_permille(&self) -> u64 {
        free_share_permille(&self.free, &self.capacity)
    }

    /// Returns how many tasks of the step would fit if only long-running tasks were on
    /// the worker.
    pub(super) fn fitting_tasks_when_reclaimed(&self, step: &StepSpec) -> usize {
        let reclaimed = Self {
            free: self.reclaimable,
            best_effort_cpu_milli: 0,
            ..*self
        };
        reclaimed.fitting_tasks(step)
    }

    fn allocate(&mut self, step: &StepSpec) {
        self.free = self.free.minus(&step.occupied()).unwrap_or_default();
        if step.fills {
            self.best_effort_cpu_milli += step.demand.cpu_milli;
        }
        self.task_allowance -= 1;
    }

    fn cost(&self, step: &StepSpec) -> PlaceCost {
        let remaining = self.free.minus(&step.occupied()).unwrap_or_default();
        let share = |remaining: u64, capacity: u64| {
            i64::try_from(remaining * 1_000 / capacity.max(1)).unwrap_or(i64::MAX)
        };
        let remaining_capacity = if step.fills {
            -share(
                self.free
                    .cpu_milli
                    .saturating_sub(self.best_effort_cpu_milli),
                self.capacity.cpu_milli,
            )
        } else {
            share(remaining.cpu_milli, self.capacity.cpu_milli)
                + share(remaining.accelerators, self.capacity.accelerators) * 2
        };
        (
            self.is_penalized,
            self.is_mixed,
            self.is_remote,
            remaining_capacity,
        )
    }
}

/// Returns the free part of the scarcest resource, in thousandths.
fn free_share_permille(free: &ResourceVector, capacity: &ResourceVector) -> u64 {
    let share = |free: u64, all: u64| (free * 1_000).checked_div(all).unwrap_or(1_000);
    share(free.cpu_milli, capacity.cpu_milli)
        .min(share(free.memory_mib, capacity.memory_mib))
        .min(share(free.accelerators, capacity.accelerators))
}

/// Returns workers for as many tasks of the step as fit, at most `count`; for a gang,
/// for all or none of them.
pub(super) fn choose_for_step(
    table: &PlacementTable,
    candidates: &[PlaceCandidate],
    step_spec: &StepSpec,
    count: usize,
) -> Vec<PlaceCandidate> {
    if step_spec.gang {
        choose_for_gang(table, candidates, step_spec, count).unwrap_or_default()
    } else {
        choose_for_tasks(candidates, step_spec, count)
    }
}

/// Returns workers for as many tasks as fit, at most `count`.
pub(super) fn choose_for_tasks(
    candidates: &[PlaceCandidate],
    step: &StepSpec,
    count: usize,
) -> Vec<PlaceCandidate> {
    let fitting = candidates.iter().filter(|candidate| candidate.fits(step));
    let mut fitting: Vec<PlaceCandidate> = fitting.copied().collect();
    let costs = fitting.iter().enumerate();
    let mut ranking: BTreeSet<(PlaceCost, usize)> = costs
        .map(|(index, candidate)| (candidate.cost(step), index))
        .collect();
    let mut chosen = Vec::new();
    while chosen.len() < count
        && let Some((_, index)) = ranking.pop_first()
    {
        let candidate = &mut fitting[index];
        candidate.allocate(step);
        chosen.push(*candidate);
        if candidate.fits(step) {
            ranking.insert((candidate.cost(step), index));
        }
    }
    chosen
}

/// Returns workers for all `count` members of a gang, in one rack if the step prefers
/// that and one has the capacity, or `None` if the gang does not fit.
pub(super) fn choose_for_gang(
    table: &PlacementTable,
    candidates: &[PlaceCandidate],
    step: &StepSpec,
    count: usize,
) -> Option<Vec<PlaceCandidate>> {
    let choose_all = |candidates: &[PlaceCandidate]| {
        let chosen = choose_for_tasks(candidates, step, count);
        (chosen.len() == count).then_some(chosen)
    };
    let mut racks: BTreeMap<Option<&RackId>, Vec<PlaceCandidate>> = BTreeMap::new();
    if step.same_rack {
        for candidate in candidates {
            let rack = table.rows[candidate.row_index].rack.as_ref();
            racks.entry(rack).or_default().push(*candidate);
        }
    }
    let in_one_rack = racks.values().find_map(|candidates| choose_all(candidates));
    in_one_rack.or_else(|| choose_all(candidates))
}

/// Position of a worker in an advice request; lower is first: whether no task fits,
/// whether it is unknown if the worker is allowed, whether it is penalized, whether it
/// is remote or mixed, how many tasks fit now and beside its long-running tasks, and its row.
///
/// Load pattern: the workers that a step may use are full of other tasks. Tickets for
/// them would expire unused, so workers on which a task fits come first.
type RequestRank = (
    bool,
    bool,
    bool,
    bool,
    Reverse<usize>,
    Reverse<usize>,
    usize,
);

/// Largest probability, in thousandths, that the advice service allows none of the workers
/// that a request names.
const MAX_EMPTY_ANSWER_PERMILLE: usize = 50;

/// Returns which of the candidates to name in an advice request, so that enough tickets for
/// `count` tasks can be expected.
///
/// `allowed_percent` is the part of the workers that the advice service is expected to
/// allow.
pub(super) fn choose_for_advice(
    table: &PlacementTable,
    candidates: &[PlaceCandidate],
    cache: &TicketCache,
    step: &StepSpec,
    count: usize,
    allowed_percent: usize,
) -> Vec<WorkerId> {
    let mut ranked: BTreeMap<RequestRank, usize> = BTreeMap::new();
    for candidate in candidates {
        let (fitting_tasks, fitting_when_reclaimed) = (
            candidate.fitting_tasks(step),
            candidate.fitting_tasks_when_reclaimed(step),
        );
        let rank = (
            fitting_tasks == 0,
            !cache.is_allowed(table.worker(candidate)),
            candidate.is_penalized,
            candidate.is_remote || candidate.is_mixed,
            Reverse(fitting_tasks),
            Reverse(fitting_when_reclaimed),
            candidate.row_index,
        );
        ranked.insert(rank, fitting_tasks.max(1));
    }
    let mut expected = 0;
    // All tasks that fit on one worker depend on one decision, so a request that names few
    // workers may yield no ticket although enough are expected.
    let mut empty_answer_permille = 1_000;
    let mut chosen = Vec::new();
    // One task more than needed, in percent of a task.
    let needed = (count + 1) * 100;
    for (rank, fitting_tasks) in ranked {
        let (is_full, is_unknown, .., row_index) = rank;
        let is_answer_likely = is_full || empty_answer_permille <= MAX_EMPTY_ANSWER_PERMILLE;
        if expected >= needed && is_answer_likely {
            break;
        }
        let percent = if is_unknown { allowed_percent } else { 100 };
        expected += fitting_tasks * percent;
        empty_answer_permille = empty_answer_permille * (100 - percent.min(100)) / 100;
        chosen.push(WorkerId::clone(&table.rows[row_index].worker));
    }
    chosen
}
