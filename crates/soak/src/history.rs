//! Records of what callers and workers observed during a run.

use std::{collections::BTreeMap, time::Instant};

/// Identifier of a job, assigned by its caller.
pub type JobId = u64;

/// Outcome of one request to submit a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SubmitOutcome {
    /// The daemon accepted the job.
    Accepted,
    /// The daemon responded that it did not accept the job.
    Refused,
    /// There was no response, or one that does not tell whether the job was accepted.
    Unknown,
}

/// A job, as its caller observed it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct JobRecord {
    /// Number of tasks of each step. A step starts after the previous one has completed.
    pub tasks_per_step: Vec<u32>,
    /// Whether its tasks last: they run until the job is cancelled.
    pub is_lasting: bool,
    /// Whether it belongs to the team with a cap.
    pub is_capped: bool,
    /// Processor request of each task, in thousandths of a core.
    pub cpu: usize,
    /// Largest number of its tasks on one worker, if there is a limit.
    pub max_per_worker: Option<usize>,
    /// Label that the workers of its tasks must have.
    pub required_label: Option<&'static str>,
    /// Time of the response that accepted the job.
    pub accepted_at: Option<Instant>,
    /// Outcomes of the submit requests, in the order in which they were sent.
    pub outcomes: Vec<SubmitOutcome>,
    /// Time at which the caller first asked for a cancellation, whether or not it succeeded.
    pub cancel_requested_at: Option<Instant>,
    /// Whether a daemon responded with 410 (Gone) to a query for the job, which means that it
    /// does not exist. Only accepted jobs are queried.
    pub has_gone_response: bool,
    /// State in the last successful query, or `None` before the first one.
    pub state: Option<String>,
}

/// One run of a task on a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunRecord {
    /// Index of the worker.
    pub worker: usize,
    /// Job, step, and index of the task within the step.
    pub task: (JobId, u32, u32),
    /// Time at which the worker started the task.
    pub began_at: Instant,
    /// End time and result, such as `done`; `None` while the task runs.
    pub ended: Option<(Instant, &'static str)>,
    /// Label of the kind of the worker's instance.
    pub kind: String,
    /// Whether it was started by an order for a former instance of the worker.
    pub is_for_former_instance: bool,
    /// Time at which the instance first answered a renewal, if that was before the start.
    pub renewed_at: Option<Instant>,
}

/// A request whose connection failed before the response was complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BrokenRequest {
    /// Index of the daemon.
    pub daemon: usize,
    /// Time at which the request was sent.
    pub sent_at: Instant,
    /// Time at which the connection failed.
    pub broke_at: Instant,
}

/// Time span of a fault or of a planned stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FaultSpan {
    /// Index of the daemon or the worker that it affects.
    pub index: usize,
    /// First instant of the span.
    pub from: Instant,
    /// Last instant of the span.
    pub to: Instant,
}

/// Observations of one run, which [`check_history`](crate::check_history) examines.
#[derive(Clone, Debug, Default)]
pub struct SoakHistory {
    /// Jobs that callers tried to submit.
    pub jobs: BTreeMap<JobId, JobRecord>,
    /// Runs of tasks on all workers.
    pub runs: Vec<RunRecord>,
    /// Requests whose connection failed.
    pub broken_requests: Vec<BrokenRequest>,
    /// Planned stops, from SIGTERM to the exit of the process.
    pub planned_stops: Vec<FaultSpan>,
    /// Kills and pauses of daemons, and faults of their connections to the store. A kill for
    /// good has no duration.
    pub daemon_faults: Vec<FaultSpan>,
    /// Faults of the connections to workers, cuts, late starts of tasks, restarts of workers, and
    /// losses for good, which have no duration.
    pub worker_faults: Vec<FaultSpan>,
    /// Those of the worker faults that keep calls from a worker, or its answers from the daemons.
    pub worker_link_faults: Vec<FaultSpan>,
    /// Faults of the store. Their index is 0.
    pub store_faults: Vec<FaultSpan>,
    /// Cap of the team that has one, in thousandths of a core.
    pub team_cap: usize,
    /// Time at which all faults had ended, also those whose span is longer.
    pub faults_ended_at: Option<Instant>,
    /// Daemons that went back to an older manifest: index of the daemon, version before
    /// and version after.
    pub manifest_reverts: Vec<(usize, u64, u64)>,
    /// Time after the last fault from which no task of a cancelled job may run. `None` until
    /// all faults have ended.
    pub settled_at: Option<Instant>,
}

impl SoakHistory {
    /// Returns whether this is a run of a task that lasts.
    pub(crate) fn is_lasting(&self, run: &RunRecord) -> bool {
        self.jobs.get(&run.task.0).is_some_and(|job| job.is_lasting)
    }
}
