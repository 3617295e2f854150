//! Events, actions, records and views of a task queue.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    journal::RecordId,
    types::{
        Attempt, NotRunReason, ObjectName, RackId, ResourceVector, RestartPolicy, TaskId, TeamId,
        UrgencyClass, WorkerId, ZoneId,
    },
};

/// Identifier of a job; a digest of the idempotency key if the caller sent one.
pub type JobId = u64;

/// Whether the tasks of a job start together.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum GangMode {
    /// Each task is placed and started separately.
    #[default]
    Independent,
    /// All tasks are placed and started together.
    AllOrNothing,
}

/// A job: one or more tasks with the same labels, demand and restart policy.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct JobSpec {
    /// Identifier of the job.
    pub job: JobId,
    /// Identifiers of its tasks.
    pub tasks: Vec<TaskId>,
    /// The configuration object from which the job was submitted.
    pub object: ObjectName,
    /// The team whose quota the tasks count against.
    pub team: TeamId,
    /// Urgency as submitted, before any promotion.
    pub urgency: UrgencyClass,
    /// Labels of the form `key=value`.
    pub labels: Vec<Arc<str>>,
    /// Resources that each task needs.
    pub demand: ResourceVector,
    /// Declared run time; `None` for a long-running task.
    pub run_time: Option<Duration>,
    /// When a task may be started again after an attempt.
    pub restart: RestartPolicy,
    /// Whether the tasks start together.
    pub gang: GangMode,
    /// Whether the tasks are spread over racks and zones.
    pub spread: bool,
    /// Whether the tasks can save their progress on request.
    pub checkpoint: bool,
    /// Objects whose jobs, if accepted before this one, must end before it
    /// starts.
    pub after: Vec<ObjectName>,
}

/// A worker of the pool.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct WorkerEntry {
    /// Name of the worker, unique in the pool.
    pub worker: WorkerId,
    /// Availability zone of its host.
    pub zone: ZoneId,
    /// Rack of its host.
    pub rack: RackId,
    /// Total resources for tasks.
    pub capacity: ResourceVector,
}

/// Quota of a team and its weight in fair sharing.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct TeamQuota {
    /// The team that is limited.
    pub team: TeamId,
    /// Share of contended resources relative to other teams.
    pub weight: u32,
    /// Upper bound on the total demand of its placed tasks.
    pub quota: ResourceVector,
}

/// A task that a worker reports as running.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ReportedTask {
    /// Identifier of the task.
    pub task: TaskId,
    /// The attempt that runs.
    pub attempt: Attempt,
    /// Resources that the worker has allocated to it.
    pub demand: ResourceVector,
}

/// The periodic report of a worker.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct WorkerReport {
    /// The tasks that run at the time of the report.
    pub running: Vec<ReportedTask>,
    /// Actual resource usage of all tasks together.
    pub usage: ResourceVector,
    /// Attempts that ended, each with whether it succeeded.
    pub completions: Vec<(TaskId, Attempt, bool)>,
}

/// How a task ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskOutcome {
    /// It completed successfully.
    Succeeded,
    /// Its attempts failed, or its job was failed as a whole.
    Failed,
    /// It was cancelled by a caller.
    Cancelled,
    /// It was certainly not run.
    NotRun(NotRunReason),
    /// It is a `never` task that was started and lost, and may have run.
    Unknown,
}

/// Why a task waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaitReason {
    /// No worker has enough available capacity.
    NoRoom,
    /// Other jobs go first.
    Queued,
    /// A job that must end before this one has not ended.
    Predecessor,
    /// The free quota of the team does not cover it.
    Quota,
    /// It is first in the queue, and capacity is reserved for it.
    Reserved,
    /// The store does not accept the record that must precede its start.
    StoreUnavailable,
}

/// Lifecycle state of a task.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum TaskState {
    /// It waits to be placed.
    Waiting(WaitReason),
    /// It is placed on a worker. The record of its start is not yet durable, so
    /// the start has not been sent.
    Recording(WorkerId),
    /// Its start was sent and not yet confirmed.
    Starting(WorkerId),
    /// The worker accepted the start or reports the task.
    Running(WorkerId),
    /// A stop was requested.
    Stopping(WorkerId),
    /// It may run on a worker that does not respond.
    Unresolved(WorkerId),
    /// It ended and will not be started again.
    Ended(TaskOutcome),
}

/// A task as shown to a watcher.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct TaskView {
    /// Identifier of the task.
    pub task: TaskId,
    /// Number of the state, which grows with each change.
    pub revision: u64,
    /// Number of the latest attempt; zero before the first.
    pub attempt: Attempt,
    /// State at this revision.
    pub state: TaskState,
}

/// Why a job is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobRejection {
    /// A job with this id, or a task with one of its ids, was accepted before.
    Duplicate,
    /// No worker of the pool fits one of its tasks, even when idle.
    NeverFits,
    /// The pool does not fit the whole gang, even when idle.
    GangNeverFits,
    /// The demand exceeds the whole quota of the team.
    AboveQuota,
    /// The configuration does not define the team.
    UnknownTeam,
    /// The job has no tasks, or its tasks need no resources.
    Empty,
    /// The queue has reached its limit of tasks.
    QueueFull,
    /// The record of the acceptance could not be written.
    StoreUnavailable,
}

/// Effect of a cancellation on one task.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CancelResult {
    /// The task ended before a start was sent.
    NotStarted,
    /// A start was sent, and a stop is requested.
    Stopping,
    /// The task had ended before the cancellation.
    AlreadyEnded,
    /// The queue knows no such task.
    NotFound,
}

/// A journal record of a task queue.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum TaskRecord {
    /// A job was accepted.
    Accepted(JobSpec),
    /// Tasks of one job are started on workers.
    Started(Vec<(TaskId, Attempt, WorkerId)>),
    /// An attempt stopped without an outcome, and the task was queued again.
    Requeued(TaskId, Attempt),
    /// A task ended with an outcome.
    Ended(TaskId, TaskOutcome),
    /// A job with this number of tasks was accepted before. Snapshots contain
    /// this record so that duplicates of the job are detected.
    Remembered(JobId, u32),
}

/// An input of a task queue.
#[derive(Clone, Debug)]
pub enum TaskEvent {
    /// A caller submits a job.
    Submitted(JobSpec),
    /// Records became durable.
    Recorded(BTreeSet<RecordId>),
    /// Records were certainly not written.
    RecordsFailed(BTreeSet<RecordId>),
    /// Records of former owners in their order, replayed into an empty queue.
    Replayed(Vec<TaskRecord>),
    /// A worker answered a claim with the tasks that it runs.
    WorkerClaimed(WorkerId, Vec<ReportedTask>),
    /// A worker sent its report. Before its claim only the completions count:
    /// those under a former owner must be handled before the claim settles the
    /// tasks that the worker no longer runs.
    WorkerReported(WorkerId, WorkerReport),
    /// A worker does not respond.
    WorkerUnresponsive(WorkerId),
    /// The host of a worker is leaving, so the worker takes no new work.
    WorkerLeaving(WorkerId),
    /// The host of a worker is no longer leaving.
    WorkerStaying(WorkerId),
    /// The list of hosts dropped a worker; its tasks are settled as stopped.
    WorkerRemoved(WorkerId),
    /// The complete list of workers changed; absent ones are removed.
    WorkersChanged(Vec<WorkerEntry>),
    /// The limits of the pool changed.
    PoolChanged {
        /// Share of accelerator hosts that is open to work without
        /// accelerators, in percent.
        accelerator_host_share: u64,
        /// Time for which a task runs without a renewal, for leases granted
        /// from now on.
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
    /// The periodic timer fired.
    TimerFired,
}

/// An output of a task queue, to be carried out in order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TaskAction {
    /// Makes a record durable; [`TaskEvent::Recorded`] confirms it by its id.
    Record(RecordId, TaskRecord),
    /// Reports to the caller that the job was accepted durably.
    Accepted(JobId),
    /// Reports to the caller that the job was not accepted, or that it was
    /// removed because it can no longer run.
    Reject(JobId, JobRejection),
    /// Claims a worker again to list its tasks, after the response to a start
    /// was lost.
    Claim(WorkerId),
    /// Sends the start of an attempt to a worker.
    Start(TaskId, Attempt, WorkerId),
    /// Sends the stop of an attempt to a worker.
    Stop(TaskId, Attempt, WorkerId),
    /// Requests that a task saves its progress.
    Checkpoint(TaskId, WorkerId),
    /// Requests that a worker throttles a task.
    Throttle(TaskId, WorkerId),
    /// Renews the leases of all tasks of a worker.
    RenewLeases(WorkerId),
    /// Reports the effect of a cancellation to the caller.
    Cancelled(TaskId, CancelResult),
    /// Publishes a new state to watchers.
    Changed(TaskView),
}
