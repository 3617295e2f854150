//! Requests and replies of callers, shared by the daemon and the tool.

use std::{collections::BTreeMap, fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use super::messages::{
    CancelResult, JobId, JobRejection, JobSpec, TaskOutcome, TaskState, TaskView, WaitReason,
};
use crate::types::{Attempt, NotRunReason, ObjectName, TaskId, TeamId, WorkerId};

/// Asks for the work of an object.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct SubmitRequest {
    /// The batch run, gang job or long-running task; `KIND/NAME` if objects of
    /// several kinds have the name.
    pub object: String,
    /// Number of tasks, if it differs from that of the object.
    pub count: Option<u64>,
    /// Labels in addition to those of the object.
    pub labels: BTreeMap<String, String>,
}

/// An accepted job.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SubmitReply {
    /// The job.
    pub job: JobId,
    /// Its tasks.
    pub tasks: Vec<TaskId>,
}

/// Phase of a task as shown to callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskPhase {
    /// It waits for a start.
    Waiting,
    /// It has a place, and its start is being recorded or was sent.
    Starting,
    /// It runs.
    Running,
    /// It was told to stop.
    Stopping,
    /// It may run on a worker that does not respond.
    Unresolved,
    /// It ended.
    Ended,
}

/// A task as shown to callers.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TaskStatus {
    /// The task.
    pub id: TaskId,
    /// Its phase.
    pub state: TaskPhase,
    /// Why it waits.
    pub reason: Option<WaitReason>,
    /// Its worker.
    pub worker: Option<WorkerId>,
    /// How it ended.
    pub outcome: Option<TaskOutcome>,
    /// Number of the latest attempt; zero before the first.
    pub attempt: Attempt,
    /// Number of changes that the present owner knows.
    pub sequence: u64,
    /// Its object; not kept once the whole job has ended.
    pub object: Option<ObjectName>,
    /// Its team; not kept once the whole job has ended.
    pub team: Option<TeamId>,
}

/// The state of a task after a change.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct WatchReply {
    /// The task.
    pub status: TaskStatus,
    /// Position to watch from.
    pub sequence: u64,
    /// Whether no change follows.
    pub r#final: bool,
}

/// Tasks that match a query.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TaskList {
    /// The tasks.
    pub tasks: Vec<TaskStatus>,
    /// Whether more tasks match than are listed.
    pub truncated: bool,
}

/// What a cancellation did to one task.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CancelItem {
    /// The task.
    pub id: TaskId,
    /// The effect.
    pub result: CancelResult,
}

/// What a cancellation did.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CancelReply {
    /// The tasks.
    pub tasks: Vec<CancelItem>,
}

/// A request to the owner of a pool shard.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub enum TaskRequest {
    /// Accepts a job; the same job again gives the same reply.
    Submit(JobSpec),
    /// Shows a task.
    Get(TaskId),
    /// Shows a task when its position differs from the one named.
    Watch(TaskId, u64),
    /// Lists unfinished tasks with all labels, of a team if one is named.
    List(Vec<Arc<str>>, Option<TeamId>),
    /// Cancels a task.
    Cancel(TaskId),
    /// Cancels all tasks with a label.
    CancelLabel(Arc<str>),
    /// States that the attempt of an unresolved task has stopped.
    Resolve(TaskId),
}

/// Why an owner does not do what was asked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum TaskRefusal {
    /// The job is not accepted.
    Rejected(JobRejection),
    /// The request was not run.
    NotRun(NotRunReason),
    /// The job may have been accepted: its record was perhaps written.
    Unknown,
    /// No such task is known.
    NotFound,
}

/// The reply to a [`TaskRequest`].
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub enum TaskReply {
    /// The job is durable.
    Accepted(SubmitReply),
    /// The task.
    Status(TaskStatus),
    /// The tasks.
    Listed(TaskList),
    /// What the cancellation did.
    Cancelled(CancelReply),
    /// Why nothing was done.
    Refused(TaskRefusal),
}

impl TaskStatus {
    /// Returns the status of a task and its job, as far as that is known.
    #[must_use]
    pub fn new(view: &TaskView, job: Option<&JobSpec>) -> Self {
        let (state, reason, worker, outcome) = match view.state.clone() {
            TaskState::Waiting(reason) => (TaskPhase::Waiting, Some(reason), None, None),
            TaskState::Recording(worker) | TaskState::Starting(worker) => {
                (TaskPhase::Starting, None, Some(worker), None)
            }
            TaskState::Running(worker) => (TaskPhase::Running, None, Some(worker), None),
            TaskState::Stopping(worker) => (TaskPhase::Stopping, None, Some(worker), None),
            TaskState::Unresolved(worker) => (TaskPhase::Unresolved, None, Some(worker), None),
            TaskState::Ended(outcome) => (TaskPhase::Ended, None, None, Some(outcome)),
        };
        Self {
            id: view.task,
            state,
            reason,
            worker,
            outcome,
            attempt: view.attempt,
            sequence: view.revision,
            object: job.map(|job| job.object.clone()),
            team: job.map(|job| job.team.clone()),
        }
    }
}

impl WatchReply {
    /// Returns the reply that shows a status.
    #[must_use]
    pub const fn new(status: TaskStatus) -> Self {
        Self {
            sequence: status.sequence,
            r#final: matches!(status.state, TaskPhase::Ended),
            status,
        }
    }
}

impl JobRejection {
    /// Returns the name of the reason in metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Duplicate => "duplicate",
            Self::NeverFits => "never-fits",
            Self::GangNeverFits => "gang-never-fits",
            Self::AboveQuota => "above-quota",
            Self::UnknownTeam => "unknown-team",
            Self::Empty => "empty",
            Self::QueueFull => "queue-full",
            Self::StoreUnavailable => "store-unavailable",
        }
    }

    /// Returns what the caller can do next.
    #[must_use]
    pub const fn remedy(self) -> &'static str {
        match self {
            Self::Duplicate => "use the job that was accepted before",
            Self::NeverFits => "lower the request of the object, or add larger hosts to the pool",
            Self::GangNeverFits => "lower the count of the gang, or add hosts to the pool",
            Self::AboveQuota => "lower the request or the count, or raise the quota of the team",
            Self::UnknownTeam => "apply a configuration that defines the team",
            Self::Empty => "ask for at least one task with a request above zero",
            Self::QueueFull => NotRunReason::QueueFull.remedy(),
            Self::StoreUnavailable => NotRunReason::StoreUnavailable.remedy(),
        }
    }
}

impl fmt::Display for JobRejection {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Duplicate => "a job with its identifier exists",
            Self::NeverFits => "no worker of the pool can ever hold one of its tasks",
            Self::GangNeverFits => "the workers of the pool can never hold the whole gang",
            Self::AboveQuota => "it needs more than its team may ever hold",
            Self::UnknownTeam => "its team is not configured",
            Self::Empty => "it has no tasks or requests no resources",
            Self::QueueFull => "the queue is full",
            Self::StoreUnavailable => "its acceptance cannot be recorded",
        })
    }
}
