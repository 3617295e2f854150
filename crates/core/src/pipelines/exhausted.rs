//! Demands for which a placement pass has found no room.

use super::spec::StepSpec;
use crate::types::ResourceVector;

/// Maximum number of exhausted demands that are compared with the demand of a step.
const MAX_EXHAUSTED_DEMANDS: usize = 16;

/// Demands that fit on no worker with the label of a step for the rest of a placement
/// pass, in which free resources only decrease.
///
/// Load pattern: hundreds of similar steps wait for a full service. Once one of them fits
/// nowhere, those that need as much are skipped without a search for a worker.
#[derive(Clone, Debug, Default)]
pub(super) struct ExhaustedDemands {
    demands: Vec<ResourceVector>,
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
