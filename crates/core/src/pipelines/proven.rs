//! Steps with a last attempt, which prefer workers on which no run has failed.
//!
//! Load pattern: a worker fails each run within moments of its start, and as the idlest one it is
//! given the next attempts as well, until the job has failed. Other workers are preferred for the
//! last attempt, for a limited time: nothing but other work shows that a worker is sound again.

use std::time::Duration;

use super::{
    place::{PlacementTable, TableRow},
    probation::ProbationUse,
    search::StepSearch,
    spec::{PipelineSpec, StepKey, StepSpec},
    state::PipelineState,
};
use crate::{streaks::FailurePlace, types::WorkerId};

/// Longest time for which a step with a last attempt leaves workers unused that are not proven. A
/// job must not be without a run for 3 s while capacity for it is idle.
const MAX_PROVEN_WAIT: Duration = Duration::from_secs(2);

/// How a step treats proven workers, on which no run has failed since the latest success.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ProvenUse {
    /// It uses any worker.
    Indifferent,
    /// It uses any worker, and proven ones first.
    Preferred,
    /// It uses proven workers only.
    Required,
}

impl PipelineState {
    /// Returns whether a waiting task of a step has failed and has one attempt left, with which the
    /// job fails.
    fn has_last_attempt(&self, key: StepKey, spec: &PipelineSpec, step_spec: &StepSpec) -> bool {
        let pipeline = self.pipelines.get(&key.pipeline);
        let progress = pipeline.and_then(|pipeline| pipeline.progress.step(key));
        let max_attempts = spec.policy.max_attempts;
        let has_last_attempt = progress.is_some_and(|progress| {
            let mut waiting = progress.waiting_tasks();
            waiting.any(|index| {
                let failures = progress.failures(index, step_spec.gang);
                failures > 0 && failures + 1 >= max_attempts
            })
        });
        has_last_attempt && !step_spec.long_running
    }

    /// Returns how a step treats proven workers.
    pub(super) fn proven_use(
        &self,
        key: StepKey,
        spec: &PipelineSpec,
        step_spec: &StepSpec,
        table: &PlacementTable,
        now: Duration,
    ) -> ProvenUse {
        match self.has_last_attempt(key, spec, step_spec) {
            true if self.can_await_proven(key, step_spec, table, now) => ProvenUse::Required,
            true => ProvenUse::Preferred,
            false => ProvenUse::Indifferent,
        }
    }

    /// Returns whether a step may leave all but proven workers unused: there is a proven worker that
    /// may run it, and the step has not waited for long.
    ///
    /// This holds for the whole step, also for its requests for tickets. If they named other workers,
    /// the step would wait for tickets that it does not use, and the steps behind it with it.
    fn can_await_proven(
        &self,
        key: StepKey,
        step_spec: &StepSpec,
        table: &PlacementTable,
        now: Duration,
    ) -> bool {
        let waited = self.waited_time(key, now);
        if waited >= MAX_PROVEN_WAIT {
            return false;
        }
        self.has_eligible(key, step_spec, table, TableRow::is_proven)
    }

    /// Returns whether a step with a last attempt may leave the worker unused on which its tasks have
    /// failed: there is another one that may run it, or will once it has answered to this owner, and the
    /// step has not waited for long.
    pub(super) fn can_await_other(
        &self,
        search: &StepSearch<'_>,
        place: &FailurePlace,
        table: &PlacementTable,
    ) -> bool {
        let (key, step_spec) = (search.key, search.step_spec);
        search.proven_use != ProvenUse::Indifferent
            && self.waited_time(key, search.now) < MAX_PROVEN_WAIT
            && (self.has_eligible(key, step_spec, table, |row| !row.is_at(place))
                || self.has_unmet_worker(step_spec))
    }

    /// Returns whether a worker with the label of a step has not answered to this owner yet.
    fn has_unmet_worker(&self, step_spec: &StepSpec) -> bool {
        self.workers.iter().any(|(worker, record)| {
            let listing = record.listing.as_ref();
            let is_listed = listing.is_some_and(|listing| !listing.is_draining);
            is_listed && record.instance.is_none() && self.has_label(worker, step_spec)
        })
    }

    /// Returns whether one of the selected workers may run a step.
    fn has_eligible(
        &self,
        key: StepKey,
        step_spec: &StepSpec,
        table: &PlacementTable,
        is_selected: impl Fn(&TableRow) -> bool,
    ) -> bool {
        let cache = self.ticket_caches.get(&key);
        let task_allowance = |worker: &WorkerId| self.task_allowance(worker, key, step_spec);
        let mut eligible = table.eligible(step_spec, ProbationUse::Unrestricted, task_allowance);
        eligible.any(|candidate| {
            let row = table.row(&candidate);
            is_selected(row) && !cache.is_some_and(|cache| cache.is_refused(row.instance))
        })
    }
}
