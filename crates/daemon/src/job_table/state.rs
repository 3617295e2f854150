//! Job summaries by identifier, and the number of waiting jobs of each queue.

use std::collections::BTreeMap;

use auburnsaddle_core::{PipelineId, PipelinePhase, PipelineSpec, ServiceId, TeamId};
use serde::{Deserialize, Serialize};

/// The part of a job that is stored under its own key and read by every daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) struct JobSummary {
    /// The service whose workers run its tasks.
    pub(crate) service: ServiceId,
    /// Name of the queue that accepted the job; empty in the mark of a job that was cancelled
    /// while the store had none.
    pub(crate) queue: String,
    /// Phase of the job when the summary was written. Phases only advance.
    pub(crate) phase: PipelinePhase,
    /// Whether the job has a schedule. Scheduled jobs are not counted as waiting.
    pub(crate) is_scheduled: bool,
    /// Team that the job or the mark belongs to. It is stored behind the summary, as versions
    /// without teams decode the other fields only.
    #[serde(skip)]
    pub(crate) team: Option<TeamId>,
}

impl JobSummary {
    /// Returns the summary of a job in the given phase.
    pub(crate) fn new(spec: &PipelineSpec, phase: PipelinePhase) -> Self {
        Self {
            service: spec.policy.service.clone(),
            queue: spec.policy.queue.clone(),
            phase,
            is_scheduled: spec.schedule.is_some(),
            team: spec.team.clone(),
        }
    }

    /// Returns the mark of a job that is cancelled while the store has none.
    ///
    /// Failure mode: the store carries out a submission seconds after its caller has cancelled
    /// the job. The mark stands under the key of the summary, which each submission expects
    /// not to exist, so a later one fails. Versions without marks show the job as cancelled.
    pub(crate) const fn mark(service: ServiceId, team: Option<TeamId>) -> Self {
        Self {
            service,
            queue: String::new(),
            phase: PipelinePhase::Cancelled,
            is_scheduled: false,
            team,
        }
    }

    /// Returns whether this is a mark: no accepted job is known under its identifier.
    pub(crate) fn is_mark(&self) -> bool {
        self.queue.is_empty() && self.phase == PipelinePhase::Cancelled
    }
}

/// The summaries that this daemon has received.
#[derive(Clone, Debug, Default)]
pub(crate) struct JobTable {
    jobs: BTreeMap<PipelineId, JobSummary>,
    /// Number of queued jobs without a schedule, by queue.
    waiting_by_queue: BTreeMap<String, u64>,
}

impl JobTable {
    pub(crate) fn get(&self, id: PipelineId) -> Option<&JobSummary> {
        self.jobs.get(&id)
    }

    /// Returns how many jobs of a queue have not started; scheduled ones are left out.
    pub(crate) fn waiting(&self, queue: &str) -> u64 {
        self.waiting_by_queue.get(queue).copied().unwrap_or(0)
    }

    pub(crate) fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Adds or updates a summary. Ignores one whose phase is not later than the known
    /// phase, because updates may arrive out of order, and a mark, which is no job.
    pub(crate) fn insert(&mut self, id: PipelineId, summary: JobSummary) {
        match self.jobs.get(&id) {
            Some(known) if known.phase >= summary.phase => return,
            _ if summary.is_mark() => return,
            _ => {}
        }
        self.remove(id);
        if is_waiting(&summary) {
            *self
                .waiting_by_queue
                .entry(summary.queue.clone())
                .or_default() += 1;
        }
        self.jobs.insert(id, summary);
    }

    /// Removes a summary, and its job from the number of waiting ones.
    pub(crate) fn remove(&mut self, id: PipelineId) {
        let Some(known) = self.jobs.remove(&id) else {
            return;
        };
        if let (true, Some(count)) = (
            is_waiting(&known),
            self.waiting_by_queue.get_mut(&known.queue),
        ) {
            *count = count.saturating_sub(1);
        }
    }
}

fn is_waiting(summary: &JobSummary) -> bool {
    summary.phase == PipelinePhase::Queued && !summary.is_scheduled
}
