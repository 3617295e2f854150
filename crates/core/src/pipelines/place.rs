//! The choice of workers for the tasks of a step.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    advice::AdviceBook,
    spec::{StepKey, StepSpec},
    worker::WorkerRecord,
};
use crate::types::{RackId, ResourceVector, WorkerId};

/// A worker that may run tasks of a step.
#[derive(Clone, Debug)]
pub(super) struct PlaceCandidate {
    pub(super) worker: WorkerId,
    pub(super) rack: Option<RackId>,
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

/// Room on a worker that is kept for steps whose questions are open.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct KeptRoom {
    amount: ResourceVector,
    fill_milli: u64,
}

impl KeptRoom {
    /// Keeps room for one more task.
    pub(super) fn add(&mut self, step: &StepSpec) {
        self.amount = self.amount.plus(&step.occupied());
        if step.fills {
            self.fill_milli += step.demand.cpu_milli;
        }
    }
}

/// Lower is better.
type PlaceCost = (bool, bool, bool, i64);

impl PlaceCandidate {
    /// Returns the candidate if the worker, when empty, has room for a task.
    pub(super) fn new(
        worker: &WorkerId,
        record: &WorkerRecord,
        key: StepKey,
        step: &StepSpec,
        usual_percent: u64,
        now: Duration,
    ) -> Option<Self> {
        let listing = record.listing.as_ref()?;
        let has_label = match &step.required_label {
            Some(label) => listing.labels.contains(label),
            None => true,
        };
        let tasks_left = step.per_worker_limit.map_or(usize::MAX, |limit| {
            let limit = usize::try_from(limit).unwrap_or(usize::MAX);
            limit.saturating_sub(record.count_of_step(key))
        });
        let is_mixed = if step.fills {
            record.has_serving()
        } else {
            step.target_tail_ms.is_some() && record.fill_milli > 0
        };
        let candidate = Self {
            worker: WorkerId::clone(worker),
            rack: listing.rack.clone(),
            capacity: listing.capacity,
            free: record.free(),
            fill_milli: record.fill_milli,
            tasks_left,
            is_troubled: record.troubled_until > now || record.speed.is_slow(usual_percent, now),
            is_far: step
                .home_rack
                .as_deref()
                .is_some_and(|home| listing.rack.as_deref() != Some(home)),
            is_mixed,
        };
        let is_able = step.occupied().fits_in(&listing.capacity) && tasks_left > 0;
        (record.takes_tasks() && has_label && is_able).then_some(candidate)
    }

    pub(super) fn fits(&self, step: &StepSpec) -> bool {
        let has_leftover = !step.fills
            || self.free.cpu_milli >= self.fill_milli.saturating_add(step.demand.cpu_milli);
        self.tasks_left > 0 && has_leftover && step.occupied().fits_in(&self.free)
    }

    /// Returns how many tasks of the step fit.
    pub(super) fn room(&self, step: &StepSpec) -> usize {
        let mut rest = self.clone();
        let mut count = 0;
        while rest.fits(step) && count < step.count as usize {
            rest.take(step);
            count += 1;
        }
        count
    }

    /// Leaves room that is kept for other steps.
    pub(super) fn leave(&mut self, kept: &KeptRoom) {
        self.free = ResourceVector {
            cpu_milli: self.free.cpu_milli.saturating_sub(kept.amount.cpu_milli),
            memory_mib: self.free.memory_mib.saturating_sub(kept.amount.memory_mib),
            accelerators: self
                .free
                .accelerators
                .saturating_sub(kept.amount.accelerators),
        };
        self.fill_milli += kept.fill_milli;
    }

    /// Returns how many tasks of the step would fit if nothing else ran.
    fn room_when_empty(&self, step: &StepSpec) -> usize {
        let empty = Self {
            free: self.capacity,
            fill_milli: 0,
            ..self.clone()
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

/// Returns the workers of as many tasks as fit, at most `count`.
pub(super) fn choose_each(
    candidates: &mut [PlaceCandidate],
    step: &StepSpec,
    count: usize,
) -> Vec<WorkerId> {
    let mut chosen = Vec::new();
    while chosen.len() < count {
        let fitting = candidates.iter_mut().filter(|row| row.fits(step));
        let Some(best) = fitting.min_by_key(|row| row.cost(step)) else {
            break;
        };
        best.take(step);
        chosen.push(WorkerId::clone(&best.worker));
    }
    chosen
}

/// Returns the workers of a whole gang, or nothing if it does not fit.
pub(super) fn choose_gang(
    candidates: &[PlaceCandidate],
    step: &StepSpec,
    count: usize,
) -> Option<Vec<WorkerId>> {
    let whole = |rows: Vec<PlaceCandidate>| {
        let mut rows = rows;
        let chosen = choose_each(&mut rows, step, count);
        (chosen.len() == count).then_some(chosen)
    };
    let in_rack = |rack: &Option<RackId>| {
        let rows = candidates.iter().filter(|row| row.rack == *rack);
        whole(rows.cloned().collect())
    };
    let racks: BTreeSet<&Option<RackId>> = if step.same_rack {
        candidates.iter().map(|row| &row.rack).collect()
    } else {
        BTreeSet::new()
    };
    let in_one = racks.into_iter().find_map(in_rack);
    in_one.or_else(|| whole(candidates.to_vec()))
}

/// Position among the workers to ask about; lower is first: those that are known
/// to be allowed, and then those with the most room.
type QuestionRank = (bool, bool, bool, Reverse<usize>, Reverse<usize>, WorkerId);

/// Returns the workers to ask about.
///
/// `allowed_percent` is the part of the workers that the queue's policy has
/// allowed so far.
pub(super) fn choose_questions(
    candidates: &[PlaceCandidate],
    book: &AdviceBook,
    step: &StepSpec,
    count: usize,
    allowed_percent: usize,
    now: Duration,
) -> Vec<WorkerId> {
    let askable = candidates
        .iter()
        .filter(|row| book.can_ask(&row.worker, now));
    let mut rows: BTreeMap<QuestionRank, usize> = BTreeMap::new();
    for row in askable {
        let (room, most) = (row.room(step), row.room_when_empty(step));
        let rank = (
            !book.is_allowed(&row.worker),
            row.is_troubled,
            row.is_far || row.is_mixed,
            Reverse(room),
            Reverse(most),
            WorkerId::clone(&row.worker),
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
        expected += room * if rank.0 { allowed_percent } else { 100 };
        chosen.push(rank.5);
    }
    chosen
}
