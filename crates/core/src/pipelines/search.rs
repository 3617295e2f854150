//! The search of a step for workers.

use std::time::Duration;

use super::{
    place::TableRow,
    probation::ProbationUse,
    proven::ProvenUse,
    spec::{PipelineSpec, StepKey, StepSpec},
};
use crate::streaks::FailurePlace;

/// A ready step with waiting tasks, and which workers it may use.
pub(super) struct StepSearch<'a> {
    pub(super) key: StepKey,
    pub(super) spec: &'a PipelineSpec,
    pub(super) step_spec: &'a StepSpec,
    /// Whether the step leaves the headroom free for urgent jobs.
    pub(super) withholds_headroom: bool,
    /// Whether workers with the fewest runs are preferred.
    pub(super) prefers_idle: bool,
    pub(super) proven_use: ProvenUse,
    pub(super) probation_use: ProbationUse,
    /// Whether the search is for tasks that have failed, in the turns that others have left.
    pub(super) is_retry: bool,
    /// Where the tasks have failed; the worker is used last.
    pub(super) avoided: Option<&'a FailurePlace>,
    pub(super) now: Duration,
}

impl<'a> StepSearch<'a> {
    /// Returns the search of a step that uses the headroom.
    pub(super) const fn new(
        key: StepKey,
        spec: &'a PipelineSpec,
        step_spec: &'a StepSpec,
        now: Duration,
    ) -> Self {
        Self {
            key,
            spec,
            step_spec,
            withholds_headroom: false,
            prefers_idle: false,
            proven_use: ProvenUse::Indifferent,
            probation_use: ProbationUse::InTurn,
            is_retry: false,
            avoided: None,
            now,
        }
    }

    /// Returns whether the step leaves all but proven workers unused.
    pub(super) fn needs_proven(&self) -> bool {
        self.proven_use == ProvenUse::Required
    }

    /// Returns whether the step may use a worker if its queue allows it.
    pub(super) fn may_use(&self, row: &TableRow) -> bool {
        !(self.withholds_headroom && row.is_headroom) && (row.is_proven() || !self.needs_proven())
    }
}
