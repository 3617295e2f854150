//! Which steps use workers on probation, and when.
//!
//! Load pattern: a worker fails each run within moments of its start, or a few jobs fail on each worker
//! within moments of their starts. Both look alike until some other run holds. So a worker on
//! probation gets one run at a time, tasks that have not failed come first, and no step leaves the
//! workers of a service unused for long because of them.

use std::{cmp::Reverse, collections::BTreeMap, sync::Arc, time::Duration};

use super::{
    place::PlacementTable,
    progress::StepProgress,
    proven::ProvenUse,
    schedule::PlacementPass,
    search::StepSearch,
    spec::{StepKey, StepSpec, TaskKey},
    state::PipelineState,
};
use crate::{streaks::FailurePlace, types::WorkerId};

/// Longest time for which a step leaves workers unused that are on probation, if they are at least half
/// of those that it may use. A job must not be without a run for 3 s while capacity for it is idle.
const MAX_PROBATION_WAIT: Duration = Duration::from_secs(2);

/// Maximum number of steps with failed tasks that get the turns which others have left, in a pass.
const MAX_RETRIES: usize = 64;

/// How a search for workers treats those on probation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ProbationUse {
    /// It leaves them to others.
    Excluded,
    /// It places one run on each whose turn has come.
    InTurn,
    /// It uses them like others.
    Unrestricted,
}

impl PipelineState {
    /// Returns the tasks of a step that have failed since a run of them held, with where the
    /// latest of them failed; for a gang, its first task.
    fn failing_tasks(&self, key: StepKey) -> impl Iterator<Item = (u32, &FailurePlace)> {
        let first = TaskKey {
            step: key,
            index: 0,
        };
        let streaks = self.streaks.streaks_from(first);
        let streaks = streaks.take_while(move |(task, _)| task.step == key);
        streaks.map(|(task, streak)| (task.index, &streak.latest.place))
    }

    /// Returns whether a task of a step has failed since a run of it held.
    pub(super) fn has_failing_task(&self, key: StepKey) -> bool {
        self.failing_tasks(key).next().is_some()
    }

    /// Returns whether all waiting tasks of a step have failed since a run of them held.
    fn are_all_failing(&self, key: StepKey, step_spec: &StepSpec) -> bool {
        let failing: BTreeMap<u32, &FailurePlace> = self.failing_tasks(key).collect();
        let pipeline = self.pipelines.get(&key.pipeline);
        let progress = pipeline.and_then(|pipeline| pipeline.progress.step(key));
        let mut waiting = progress.into_iter().flat_map(StepProgress::waiting_tasks);
        !failing.is_empty() && (step_spec.gang || waiting.all(|index| failing.contains_key(&index)))
    }

    /// Returns how a step uses workers on probation. `is_behind` tells whether many steps of its queue
    /// wait before it.
    pub(super) fn probation_use(
        &self,
        key: StepKey,
        step_spec: &StepSpec,
        is_behind: bool,
        table: &PlacementTable,
        now: Duration,
    ) -> ProbationUse {
        if table.probation_count() == 0 {
            return ProbationUse::InTurn;
        }
        let has_waited = self.waited_time(key, now) >= MAX_PROBATION_WAIT;
        match () {
            // Thousands of steps may be behind, so their own workers are not looked up.
            () if has_waited && is_behind && table.is_half_on_probation() => {
                ProbationUse::Unrestricted
            }
            () if has_waited && !is_behind && self.needs_probation(key, step_spec, table) => {
                ProbationUse::Unrestricted
            }
            () if self.are_all_failing(key, step_spec) => ProbationUse::Excluded,
            () => ProbationUse::InTurn,
        }
    }

    /// Returns whether at least half of the workers that a step may use are on probation. Workers fail
    /// one by one, so the jobs are rather at fault then.
    fn needs_probation(&self, key: StepKey, step_spec: &StepSpec, table: &PlacementTable) -> bool {
        let cache = self.ticket_caches.get(&key);
        let task_allowance = |worker: &WorkerId| self.task_allowance(worker, key, step_spec);
        let eligible = table.eligible(step_spec, ProbationUse::Unrestricted, task_allowance);
        let mut standings = eligible.filter_map(|candidate| {
            let row = table.row(&candidate);
            let is_refused = cache.is_some_and(|cache| cache.is_refused(row.instance));
            (!is_refused).then(|| row.is_on_probation())
        });
        let limit = table.probation_count();
        let (mut on_probation, mut others) = (0, 0);
        while others <= limit
            && let Some(is_on_probation) = standings.next()
        {
            on_probation += usize::from(is_on_probation);
            others += usize::from(!is_on_probation);
        }
        on_probation > 0 && on_probation >= others
    }

    /// Places as many of the given waiting tasks of a step as fit, those that have failed after the
    /// others and rather on other workers than before. Returns their number.
    pub(super) fn place_by_streak(
        &mut self,
        search: &StepSearch<'_>,
        waiting: &[u32],
        pass: &mut PlacementPass,
    ) -> usize {
        let is_gang = search.step_spec.gang;
        let failing = self.failing_tasks(search.key);
        let failing = failing.map(|(index, place)| (index, FailurePlace::clone(place)));
        let failing: BTreeMap<u32, FailurePlace> = failing.collect();
        if failing.is_empty() {
            return self.place_waiting(search, waiting, pass);
        }
        let mut others = Vec::new();
        let mut by_place: BTreeMap<&FailurePlace, Vec<u32>> = BTreeMap::new();
        for index in waiting {
            let streak_index = if is_gang { 0 } else { *index };
            match failing.get(&streak_index) {
                Some(place) => by_place.entry(place).or_default().push(*index),
                None => others.push(*index),
            }
        }
        let mut placed_count = self.place_waiting(search, &others, pass);
        for (place, tasks) in by_place {
            let probation_use = match search.probation_use {
                ProbationUse::InTurn if !search.is_retry => ProbationUse::Excluded,
                probation_use => probation_use,
            };
            let retry = StepSearch {
                probation_use,
                avoided: Some(place),
                ..*search
            };
            let count = self.place_waiting(&retry, &tasks, pass);
            placed_count += count;
            // The avoided worker is used as well, so there is no room for the others either.
            if count < tasks.len() && search.proven_use == ProvenUse::Indifferent {
                break;
            }
        }
        placed_count
    }

    /// Gives the turns on workers on probation that are left after a pass to tasks that have failed,
    /// the step that has waited longest first.
    pub(super) fn place_retries(&mut self, pass: &mut PlacementPass, now: Duration) {
        let mut retries = std::mem::take(&mut pass.retries);
        retries.sort_by_cached_key(|key| (Reverse(self.waited_time(*key, now)), *key));
        for key in retries.into_iter().take(MAX_RETRIES) {
            if !pass.table.has_turn() {
                return;
            }
            self.place_retry(key, pass, now);
        }
    }

    /// Places one task of a step that has failed, or its gang, on workers on probation, or requests
    /// tickets for that.
    fn place_retry(&mut self, key: StepKey, pass: &mut PlacementPass, now: Duration) {
        let Some(record) = self.pipelines.get(&key.pipeline) else {
            return;
        };
        let spec = Arc::clone(&record.spec);
        let (Some(step_spec), Some(progress)) =
            (spec.steps.get(key.step as usize), record.progress.step(key))
        else {
            return;
        };
        let mut waiting: Vec<u32> = progress.waiting_tasks().collect();
        if !step_spec.gang {
            let failing: BTreeMap<u32, &FailurePlace> = self.failing_tasks(key).collect();
            waiting.retain(|index| failing.contains_key(index));
        }
        self.remove_paused_tasks(key, step_spec, &mut waiting, now);
        if !step_spec.gang {
            waiting.truncate(1);
        }
        self.limit_by_quota(&spec, step_spec, &mut waiting);
        if waiting.is_empty() {
            return;
        }
        let search = StepSearch {
            is_retry: true,
            proven_use: self.proven_use(key, &spec, step_spec, &pass.table, now),
            ..StepSearch::new(key, &spec, step_spec, now)
        };
        let placed_count = self.place_by_suspicion(&search, &waiting, pass);
        pass.placed_tasks += placed_count;
        if placed_count == 0 {
            self.request_tickets(&search, waiting.len(), pass);
        }
    }
}
