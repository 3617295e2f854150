//! Which steps of a job are ready, and the counts from which that follows.
//!
//! Load pattern: a job has thousands of open steps, as it is one wide pipeline or as many of its
//! occurrences are due, and hundreds of its tasks start and end each second. A placement, an end or
//! a change of a rank concerns one step and those that depend on it, so only these are updated.

use std::collections::BTreeMap;

use super::{
    progress::{PipelineProgress, StepProgress, TaskPlace},
    queue::StepRank,
    ready_queue::StepGroup,
    spec::{PipelineId, PipelineSpec, StepKey, TaskKey},
    state::{PipelineRecord, PipelineState},
};

/// Counts of an open step.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct StepCounts {
    /// Number of tasks that are not done.
    open_tasks: u32,
    /// Number of tasks that wait for a worker.
    waiting_tasks: u32,
    /// Number of the steps on which it depends that are not done.
    blockers: u32,
}

/// Counts of the steps of an occurrence that is not done.
#[derive(Clone, Debug)]
struct OccurrenceCounts {
    steps: Box<[StepCounts]>,
    /// Number of steps that are not done.
    open_steps: u32,
}

/// Index of the open steps of a job. It follows from the specification and the progress, which
/// changes through [`PipelineRecord::set_place`] only.
#[derive(Clone, Debug)]
pub(super) struct StepIndex {
    /// The steps that depend on each step.
    dependents: Vec<Vec<u32>>,
    /// Group of each step: the first one that needs the same resources and label.
    groups: Vec<u32>,
    occurrences: BTreeMap<u32, OccurrenceCounts>,
    /// Lowest occurrence that may not have been added.
    next_occurrence: u32,
    /// Number of tasks of each occurrence.
    occurrence_size: u64,
}

/// Returns the first step that needs the same resources and label as each step.
fn find_groups(spec: &PipelineSpec) -> Vec<u32> {
    let mut first_steps = BTreeMap::new();
    let steps = (0..).zip(&spec.steps).map(|(step, step_spec)| {
        let occupied = step_spec.occupied();
        let label = step_spec.required_label.as_deref();
        *first_steps.entry((occupied, label)).or_insert(step)
    });
    steps.collect()
}

impl StepCounts {
    fn new(progress: &StepProgress) -> Self {
        let tasks = progress.tasks.iter().map(|task| &task.place);
        let open = tasks.filter(|place| **place != TaskPlace::Done);
        let mut counts = Self::default();
        for place in open {
            counts.open_tasks += 1;
            counts.waiting_tasks += u32::from(*place == TaskPlace::Waiting);
        }
        counts
    }

    const fn is_done(self) -> bool {
        self.open_tasks == 0
    }

    /// Returns whether tasks of the step may be placed. A gang starts only as a whole.
    const fn is_ready(self, is_gang: bool) -> bool {
        let is_unplaced = self.waiting_tasks == self.open_tasks;
        self.blockers == 0 && self.waiting_tasks > 0 && (!is_gang || is_unplaced)
    }

    /// Replaces a task at one place by one at another place.
    fn move_task(&mut self, from: &TaskPlace, to: &TaskPlace) {
        self.open_tasks -= u32::from(*from != TaskPlace::Done);
        self.open_tasks += u32::from(*to != TaskPlace::Done);
        self.waiting_tasks -= u32::from(*from == TaskPlace::Waiting);
        self.waiting_tasks += u32::from(*to == TaskPlace::Waiting);
    }
}

impl OccurrenceCounts {
    fn new(spec: &PipelineSpec, steps: &[StepProgress]) -> Self {
        let mut counts: Box<[StepCounts]> = steps.iter().map(StepCounts::new).collect();
        let is_open = |step: u32, counts: &[StepCounts]| {
            let counts = counts.get(step as usize);
            counts.is_none_or(|counts| !counts.is_done())
        };
        for (index, step_spec) in spec.steps.iter().enumerate().take(counts.len()) {
            let blockers = step_spec.after.iter();
            let blockers = blockers.filter(|step| is_open(**step, &counts)).count();
            counts[index].blockers = u32::try_from(blockers).unwrap_or(u32::MAX);
        }
        let open_steps = counts.iter().filter(|counts| !counts.is_done()).count();
        Self {
            steps: counts,
            open_steps: u32::try_from(open_steps).unwrap_or(u32::MAX),
        }
    }
}

impl StepIndex {
    pub(super) fn new(spec: &PipelineSpec, progress: &PipelineProgress) -> Self {
        let mut dependents = vec![Vec::new(); spec.steps.len()];
        for (step, step_spec) in (0..).zip(&spec.steps) {
            for dependency in &step_spec.after {
                if let Some(dependents) = dependents.get_mut(*dependency as usize) {
                    dependents.push(step);
                }
            }
        }
        let occurrences = progress.occurrences.iter();
        let occurrences = occurrences
            .map(|(occurrence, steps)| (*occurrence, OccurrenceCounts::new(spec, steps)));
        Self {
            dependents,
            groups: find_groups(spec),
            occurrences: occurrences.collect(),
            next_occurrence: 0,
            occurrence_size: spec.occurrence_size(),
        }
    }

    fn step(&self, key: StepKey) -> Option<&StepCounts> {
        let occurrence = self.occurrences.get(&key.occurrence)?;
        occurrence.steps.get(key.step as usize)
    }

    /// Returns the group of a step.
    fn group(&self, key: StepKey) -> StepGroup {
        let first_step = self.groups.get(key.step as usize).copied();
        StepGroup {
            pipeline: key.pipeline,
            first_step: first_step.unwrap_or(key.step),
        }
    }

    /// Returns whether all tasks of a step are done.
    fn is_step_done(&self, key: StepKey) -> bool {
        let counts = self.step(key).copied();
        counts.is_none_or(StepCounts::is_done)
    }

    /// Returns whether all steps of an occurrence are done.
    fn is_occurrence_done(&self, occurrence: u32) -> bool {
        let counts = self.occurrences.get(&occurrence);
        counts.is_none_or(|counts| counts.open_steps == 0)
    }

    /// Moves a task of a step from one place to another.
    fn move_task(&mut self, key: StepKey, from: &TaskPlace, to: &TaskPlace) {
        let Some(occurrence) = self.occurrences.get_mut(&key.occurrence) else {
            return;
        };
        let step = key.step as usize;
        let Some(counts) = occurrence.steps.get_mut(step) else {
            return;
        };
        counts.move_task(from, to);
        // Tasks that are done stay so.
        if counts.is_done() && *from != TaskPlace::Done {
            occurrence.open_steps -= 1;
            for dependent in &self.dependents[step] {
                if let Some(counts) = occurrence.steps.get_mut(*dependent as usize) {
                    counts.blockers -= 1;
                }
            }
        }
    }
}

impl PipelineRecord {
    /// Sets where a task is placed.
    pub(super) fn set_place(&mut self, key: TaskKey, place: TaskPlace) {
        let Some(task) = self.progress.task_mut(key) else {
            return;
        };
        self.index.move_task(key.step, &task.place, &place);
        task.place = place;
    }

    /// Records that a task has succeeded.
    pub(super) fn complete_task(&mut self, key: TaskKey) {
        self.set_place(key, TaskPlace::Done);
        if let Some(task) = self.progress.task_mut(key) {
            task.checkpoint.clear();
        }
    }

    /// Adds the next occurrence if it is due and there is room for it. Returns its number.
    fn add_due_occurrence(&mut self, wall_ms: u64) -> Option<u32> {
        let due = self.spec.due_occurrences(wall_ms);
        let index = &mut self.index;
        while index.next_occurrence < due {
            let occurrence = index.next_occurrence;
            if !self.progress.has_occurrence(occurrence) {
                if !self.progress.has_room_for(index.occurrence_size) {
                    return None;
                }
                self.progress.add_occurrence(&self.spec, occurrence);
                let steps = self.progress.occurrences.get(&occurrence)?;
                let counts = OccurrenceCounts::new(&self.spec, steps);
                index.occurrences.insert(occurrence, counts);
                index.next_occurrence += 1;
                return Some(occurrence);
            }
            index.next_occurrence += 1;
        }
        None
    }

    /// Moves an occurrence whose steps are all done to `done`. Returns whether it was.
    fn retire_occurrence(&mut self, occurrence: u32) -> bool {
        let is_retired = self.index.is_occurrence_done(occurrence)
            && self.progress.occurrences.remove(&occurrence).is_some();
        if is_retired {
            self.index.occurrences.remove(&occurrence);
            self.progress.done.insert(occurrence);
        }
        is_retired
    }

    /// Returns the position of a step in the queue if it is ready.
    fn step_rank(&self, key: StepKey, wall_ms: u64) -> Option<StepRank> {
        let step_spec = self.spec.steps.get(key.step as usize)?;
        let counts = self.index.step(key)?;
        let is_ready = counts.is_ready(step_spec.gang) && !self.progress.phase.is_final();
        is_ready.then(|| self.timing.step_rank(&self.spec, key, wall_ms))
    }
}

impl PipelineState {
    /// Updates whether a step is ready, and its rank.
    pub(super) fn refresh_step(&mut self, key: StepKey) {
        self.refreshed_steps += 1;
        let Some(record) = self.pipelines.get_mut(&key.pipeline) else {
            return;
        };
        let current = record.step_rank(key, self.wall_ms).map(|step| StepRank {
            rank: self.scarcity.adjust_rank(key, step.rank),
            ..step
        });
        let former = match current {
            Some(step) => record.ready.insert(key, step),
            None => record.ready.remove(&key),
        };
        let group = record.index.group(key);
        let is_changed = former != current;
        if let Some(step) = former.filter(|_| is_changed) {
            self.ready.remove(group, step.rank, key);
            self.rank_changes.remove(&(step.changes_at, key));
        }
        if let Some(step) = current.filter(|_| is_changed) {
            self.ready.insert(group, step.rank, key);
            self.rank_changes.insert((step.changes_at, key));
        }
        self.is_placement_due |= current.is_some();
        if former.is_some() && current.is_none() {
            self.waits.remove(&key);
        }
    }

    /// Updates which steps of an occurrence are ready.
    fn refresh_occurrence(&mut self, pipeline: PipelineId, occurrence: u32) {
        let record = self.pipelines.get(&pipeline);
        let steps = record.map_or(0, |record| record.spec.steps.len());
        for step in (0..).take(steps) {
            self.refresh_step(StepKey {
                pipeline,
                occurrence,
                step,
            });
        }
    }

    /// Adds the occurrences of a job that have become due, and updates which steps of all its
    /// occurrences are ready.
    pub(super) fn refresh_pipeline(&mut self, id: PipelineId) {
        let record = self.pipelines.get(&id);
        let occurrences = record.map(|record| record.progress.occurrences.keys().copied());
        let occurrences: Vec<u32> = occurrences.into_iter().flatten().collect();
        for occurrence in occurrences {
            self.refresh_occurrence(id, occurrence);
        }
        self.add_due_occurrences(id);
    }

    /// Removes the steps of a job that has ended from the queue.
    pub(super) fn clear_ready_steps(&mut self, id: PipelineId) {
        let Some(record) = self.pipelines.get_mut(&id) else {
            return;
        };
        self.refreshed_steps += record.ready.len() as u64;
        for (key, step) in std::mem::take(&mut record.ready) {
            let group = record.index.group(key);
            self.ready.remove(group, step.rank, key);
            self.rank_changes.remove(&(step.changes_at, key));
            self.waits.remove(&key);
        }
    }

    /// Updates the queue after a run of a step has ended: the step itself, and if it is done, those
    /// that depend on it. Returns whether its occurrence is done with it.
    pub(super) fn refresh_after_end(&mut self, key: StepKey) -> bool {
        self.refresh_step(key);
        let Some(record) = self.pipelines.get_mut(&key.pipeline) else {
            return false;
        };
        if !record.index.is_step_done(key) {
            return false;
        }
        let is_retired = record.retire_occurrence(key.occurrence);
        let dependents = record.index.dependents.get(key.step as usize);
        let dependents = dependents.filter(|_| !is_retired);
        for step in dependents.cloned().unwrap_or_default() {
            self.refresh_step(StepKey { step, ..key });
        }
        is_retired
    }

    /// Adds the occurrences of a job that have become due.
    ///
    /// Load pattern: the tasks of a recurring job cannot run, or run more slowly than the
    /// occurrences become due. Occurrences beyond a limit are added when earlier ones are done.
    pub(super) fn add_due_occurrences(&mut self, id: PipelineId) {
        let wall_ms = self.wall_ms;
        while let Some(record) = self.pipelines.get_mut(&id)
            && !record.progress.phase.is_final()
            && let Some(occurrence) = record.add_due_occurrence(wall_ms)
        {
            if record.spec.schedule.is_some() {
                self.mark_dirty(id);
            }
            self.refresh_occurrence(id, occurrence);
        }
    }

    /// Adds the occurrences of recurring jobs that have become due.
    pub(super) fn refresh_recurring_jobs(&mut self) {
        let recurring = self.pipelines.iter();
        let recurring = recurring.filter(|(_, record)| record.spec.schedule.is_some());
        let recurring: Vec<PipelineId> = recurring.map(|(id, _)| *id).collect();
        for id in recurring {
            self.add_due_occurrences(id);
        }
    }

    /// Updates the ranks of the steps whose jobs have become late or expired, or of all steps if the
    /// wall clock was set back from `former_wall_ms`.
    pub(super) fn update_stale_ranks(&mut self, former_wall_ms: u64) {
        if self.wall_ms < former_wall_ms {
            let ready: Vec<StepKey> = self.ready.steps().map(|(_, key)| key).collect();
            for key in ready {
                self.refresh_step(key);
            }
        }
        while let Some(change) = self.rank_changes.first().copied()
            && change.0 <= self.wall_ms
        {
            self.rank_changes.remove(&change);
            self.refresh_step(change.1);
        }
    }
}
