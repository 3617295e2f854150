//! Phases of jobs by identifier, and the jobs of each queue that wait.

use std::collections::BTreeMap;

use auburnsaddle_core::{PipelineId, PipelinePhase, PipelineSpec, ServiceId};
use serde::{Deserialize, Serialize};

/// What every daemon knows of a job.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) struct JobSummary {
    /// The service whose workers run its tasks.
    pub(crate) service: ServiceId,
    /// Its queue.
    pub(crate) queue: String,
    /// How far it is.
    pub(crate) phase: PipelinePhase,
    /// Whether its tasks are due at set times.
    pub(crate) is_scheduled: bool,
}

impl JobSummary {
    /// Returns the summary of a job.
    pub(crate) fn new(spec: &PipelineSpec, phase: PipelinePhase) -> Self {
        Self {
            service: spec.policy.service.clone(),
            queue: spec.policy.queue.clone(),
            phase,
            is_scheduled: spec.schedule.is_some(),
        }
    }
}

/// The jobs that this daemon knows.
#[derive(Clone, Debug, Default)]
pub(crate) struct JobBoard {
    jobs: BTreeMap<PipelineId, JobSummary>,
    waiting: BTreeMap<String, u64>,
}

impl JobBoard {
    pub(crate) fn get(&self, id: PipelineId) -> Option<&JobSummary> {
        self.jobs.get(&id)
    }

    /// Returns how many jobs of a queue have not begun.
    pub(crate) fn waiting(&self, queue: &str) -> u64 {
        self.waiting.get(queue).copied().unwrap_or(0)
    }

    pub(crate) fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Takes a summary. A phase never goes back, as news may arrive out of order.
    pub(crate) fn insert(&mut self, id: PipelineId, summary: JobSummary) {
        match self.jobs.get(&id) {
            Some(known) if known.phase >= summary.phase => return,
            _ => {}
        }
        self.remove(id);
        if is_waiting(&summary) {
            *self.waiting.entry(summary.queue.clone()).or_default() += 1;
        }
        self.jobs.insert(id, summary);
    }

    pub(crate) fn remove(&mut self, id: PipelineId) {
        let Some(known) = self.jobs.remove(&id) else {
            return;
        };
        if let (true, Some(count)) = (is_waiting(&known), self.waiting.get_mut(&known.queue)) {
            *count = count.saturating_sub(1);
        }
    }
}

fn is_waiting(summary: &JobSummary) -> bool {
    summary.phase == PipelinePhase::Queued && !summary.is_scheduled
}
