//! Events, actions and records of a task queue.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    journal::RecordId,
    types::{
        Attempt, NotRunReason, ObjectName, RackId, ResourceVector, RestartPolicy, TaskId, TeamId,
        UrgencyClass, WorkerId, ZoneId,
    },
};

/// Identifier of a job; its tasks share labels, size and restart policy.
pub type JobId = u64;
/// Whether the tasks of a job start together.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum GangMode {
    /// Each task starts by itself.
    #[default]
    Independent,
    /// All tasks start, or none.
    AllOrNothing,
}

/// A job: one or more equal tasks.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct JobSpec {
    /// Identifier of the job.
    pub job: JobId,
    /// Identifiers of its tasks.
    pub tasks: Vec<TaskId>,
    /// The operators' object that the job belongs to.
    pub object: ObjectName,
    /// The team that is charged.
    pub team: TeamId,
    /// How urgent the job is.
    pub urgency: UrgencyClass,
    /// Labels of the form `key=value`.
    pub labels: Vec<Arc<str>>,
    /// Size of each task.
    pub demand: ResourceVector,
    /// Run time as declared; `None` for a long-running task.
    pub run_time: Option<Duration>,
    /// When its tasks may be started again.
    pub restart: RestartPolicy,
    /// Whether the tasks start together.
    pub gang: GangMode,
    /// Whether the tasks are spread over racks and zones.
    pub spread: bool,
    /// Whether the tasks can save their progress.
    pub checkpoint: bool,
    /// Objects whose jobs, accepted before this one, end before it starts.
    pub after: Vec<ObjectName>,
}

/// A worker of the pool.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct WorkerEntry {
    /// Name of the worker.
    pub worker: WorkerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its rack.
    pub rack: RackId,
    /// What it has.
    pub capacity: ResourceVector,
}

/// The most that a team may hold and its share of contended resources.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct TeamQuota {
    /// Name of the team.
    pub team: TeamId,
    /// Share relative to other teams.
    pub weight: u32,
    /// The most that its tasks may hold at once.
    pub quota: ResourceVector,
}

/// A task that a worker reports as running.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ReportedTask {
    /// The task.
    pub task: TaskId,
    /// The attempt that runs.
    pub attempt: Attempt,
    /// What the worker set aside for it.
    pub demand: ResourceVector,
}

/// What a worker reports in one exchange.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct WorkerReport {
    /// The tasks that run.
    pub running: Vec<ReportedTask>,
    /// Measured usage of all tasks together.
    pub usage: ResourceVector,
    /// Attempts that ended, with whether each succeeded.
    pub completions: Vec<(TaskId, Attempt, bool)>,
}

/// How a task ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskOutcome {
    /// It ran to its end.
    Succeeded,
    /// It failed, or its job failed on several workers.
    Failed,
    /// It was cancelled.
    Cancelled,
    /// It was certainly not run.
    NotRun(NotRunReason),
    /// It may have run; a `never` task is not started again to find out.
    Unknown,
}

/// Why a task waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaitReason {
    /// No worker has room at the moment.
    NoRoom,
    /// Other work goes first.
    Queued,
    /// A job that has to end before this one has not ended.
    Predecessor,
    /// The team holds as much as its quota allows.
    Quota,
    /// The head of the queue holds a reservation for this job.
    Reserved,
    /// Records cannot be written, and the task needs one before its start.
    StoreUnavailable,
}

/// State of a task.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum TaskState {
    /// It waits for a start.
    Waiting(WaitReason),
    /// It has a place; its start is not yet durable, and not sent.
    Recording(WorkerId),
    /// Its start was sent.
    Starting(WorkerId),
    /// It runs.
    Running(WorkerId),
    /// It was told to stop.
    Stopping(WorkerId),
    /// It may run on a worker that does not respond.
    Unresolved(WorkerId),
    /// It ended.
    Ended(TaskOutcome),
}

/// A task as shown to a watcher.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct TaskView {
    /// The task.
    pub task: TaskId,
    /// Number of changes so far.
    pub revision: u64,
    /// Number of the latest attempt; zero before the first.
    pub attempt: Attempt,
    /// Its state.
    pub state: TaskState,
}

/// Why a job is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobRejection {
    /// A job with this id exists.
    Duplicate,
    /// No worker of the pool can ever hold one of its tasks.
    NeverFits,
    /// The workers of the pool can never hold the whole gang.
    GangNeverFits,
    /// The job needs more than its team may ever hold.
    AboveQuota,
    /// The team is not configured.
    UnknownTeam,
    /// The job has no tasks.
    Empty,
    /// The queue is at its bound.
    QueueFull,
    /// The acceptance could not be recorded.
    StoreUnavailable,
}

/// What a request for cancellation did.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CancelResult {
    /// The task will never start.
    NotStarted,
    /// A start was sent; the task is told to stop.
    Stopping,
    /// The task had ended before.
    AlreadyEnded,
    /// No such task is known.
    NotFound,
}

/// A durable record.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum TaskRecord {
    /// A job was accepted.
    Accepted(JobSpec),
    /// Tasks of one job start together on workers.
    Started(Vec<(TaskId, Attempt, WorkerId)>),
    /// An attempt stopped without an outcome; the task waits again.
    Requeued(TaskId, Attempt),
    /// A task ended.
    Ended(TaskId, TaskOutcome),
    /// A job with this number of tasks was accepted, in a snapshot.
    Remembered(JobId, u32),
}

/// Something that happens to a task queue.
#[derive(Clone, Debug)]
pub enum TaskEvent {
    /// A caller submits a job.
    Submitted(JobSpec),
    /// Records are durable.
    Recorded(BTreeSet<RecordId>),
    /// Records were certainly not written.
    RecordsFailed(BTreeSet<RecordId>),
    /// Records of former owners, in order, into an empty queue.
    Replayed(Vec<TaskRecord>),
    /// A worker answered the claim and named what it runs.
    WorkerClaimed(WorkerId, Vec<ReportedTask>),
    /// A worker reported. Before its claim only its completions count: those
    /// of a former owner's time are passed on before the claim settles what the
    /// worker no longer runs.
    WorkerReported(WorkerId, WorkerReport),
    /// A worker does not respond.
    WorkerUnresponsive(WorkerId),
    /// A worker is leaving and takes no new work.
    WorkerLeaving(WorkerId),
    /// A worker that was leaving stays and takes new work.
    WorkerStaying(WorkerId),
    /// The list of hosts dropped a worker.
    WorkerRemoved(WorkerId),
    /// The workers of the pool changed; absent ones are gone.
    WorkersChanged(Vec<WorkerEntry>),
    /// The limits of the pool changed.
    PoolChanged {
        /// Part of accelerator hosts open to work without accelerators, in percent.
        accelerator_host_share: u64,
        /// Lease of a task without a renewal, as granted from now on.
        lease: Duration,
    },
    /// The teams and their quotas changed.
    TeamsChanged(Vec<TeamQuota>),
    /// A worker accepted a start.
    StartAccepted(TaskId, Attempt),
    /// A worker rejected a start before running anything.
    StartRejected(TaskId, Attempt),
    /// The response to a start was lost.
    StartUnknown(TaskId, Attempt),
    /// A caller cancels a task.
    Cancel(TaskId),
    /// A caller cancels all tasks with a label.
    CancelLabel(Arc<str>),
    /// An operator states that the attempt of an unresolved task has stopped.
    Resolved(TaskId),
    /// Time has passed.
    TimerFired,
}

/// What a task queue asks its surroundings to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TaskAction {
    /// Makes a record durable and reports it with its number.
    Record(RecordId, TaskRecord),
    /// Tells the caller that the job is durable.
    Accepted(JobId),
    /// Tells the caller that the job was not accepted, or is removed.
    Reject(JobId, JobRejection),
    /// Asks a worker what it runs, because the response to a start was lost.
    Claim(WorkerId),
    /// Starts an attempt.
    Start(TaskId, Attempt, WorkerId),
    /// Stops an attempt.
    Stop(TaskId, Attempt, WorkerId),
    /// Saves the progress of a task.
    Checkpoint(TaskId, WorkerId),
    /// Slows a task down.
    Throttle(TaskId, WorkerId),
    /// Renews the leases of all tasks of a worker.
    RenewLeases(WorkerId),
    /// Answers a request for cancellation.
    Cancelled(TaskId, CancelResult),
    /// Shows a new state to watchers.
    Changed(TaskView),
}
