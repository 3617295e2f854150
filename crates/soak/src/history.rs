//! What callers and workers saw during a run.

use std::{collections::BTreeMap, time::Instant};

/// Identifier of a job, chosen by its caller.
pub type JobId = u64;

/// The outcome of one request to hand a job in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SubmitOutcome {
    /// The daemon accepted the job.
    Accepted,
    /// The daemon said that the job was not accepted.
    Refused,
    /// There was no answer, or one that leaves it open.
    Unknown,
}

/// A job as its caller sees it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct JobRecord {
    /// Tasks of each step; each step needs the one before.
    pub steps: Vec<u32>,
    /// Outcomes of the requests to hand it in.
    pub outcomes: Vec<SubmitOutcome>,
    /// Whether the caller sent a cancellation, whatever became of it.
    pub is_cancelled: bool,
    /// Whether a daemon answered that no such job exists after it was accepted.
    pub was_gone: bool,
    /// The state at the end of the run.
    pub state: Option<String>,
}

/// A run of a task at a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunRecord {
    /// The worker.
    pub worker: usize,
    /// The job, the step and the index of the task.
    pub task: (JobId, u32, u32),
    /// When it began.
    pub began_at: Instant,
    /// When it ended, and how; `None` while it runs.
    pub ended: Option<(Instant, &'static str)>,
}

/// A request whose connection broke.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BrokenRequest {
    /// The daemon.
    pub daemon: usize,
    /// When it was sent.
    pub sent_at: Instant,
    /// When the connection broke.
    pub broke_at: Instant,
}

/// A time in which something was disturbed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TimeSpan {
    /// The daemon or the worker.
    pub target: usize,
    /// Its begin.
    pub from: Instant,
    /// Its end.
    pub to: Instant,
}

/// Everything that the checks need.
#[derive(Clone, Debug, Default)]
pub struct SoakHistory {
    /// All jobs.
    pub jobs: BTreeMap<JobId, JobRecord>,
    /// All runs.
    pub runs: Vec<RunRecord>,
    /// Requests without a whole answer.
    pub broken: Vec<BrokenRequest>,
    /// Stops by SIGTERM, from the signal to the end of the process.
    pub stops: Vec<TimeSpan>,
    /// Kills and pauses of daemons and faults of their links.
    pub daemon_faults: Vec<TimeSpan>,
    /// Faults of links to workers, and late orders.
    pub worker_faults: Vec<TimeSpan>,
    /// Daemons that answered by an older manifest than before, with both versions.
    pub reverted: Vec<(usize, u64, u64)>,
    /// When no fault was left for some seconds.
    pub settled_at: Option<Instant>,
}
