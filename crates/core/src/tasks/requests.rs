//! Requests and replies of the task API, shared by the daemon and the
//! command-line tool.

use std::{collections::BTreeMap, fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use super::messages::{
    CancelResult, JobId, JobRejection, JobSpec, TaskOutcome, TaskState, TaskView, WaitReason,
};
use crate::types::{Attempt, NotRunReason, ObjectName, TaskId, TeamId, WorkerId};

/// Submission of the work that a configuration object defines.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct SubmitRequest {
    /// Name of the batch run, gang job or long-running task; `KIND/NAME` if
    /// objects of several kinds have the name.
    pub object: String,
    /// Number of tasks; `None` for the number in the object.
    pub count: Option<u64>,
    /// Labels that are added to those of the object.
    pub labels: BTreeMap<String, String>,
}

/// Reply to an accepted submission.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SubmitReply {
    /// Identifier of the accepted job.
    pub job: JobId,
    /// Identifiers of its tasks.
    pub tasks: Vec<TaskId>,
}

/// Phase of a task as shown to callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskPhase {
    /// It waits to be placed.
    Waiting,
    /// It is placed, and its start is being recorded or was sent.
    Starting,
    /// It runs on its worker.
    Running,
    /// A stop was requested.
    Stopping,
    /// It may run on a worker that does not respond.
    Unresolved,
    /// It ended with an outcome.
    Ended,
}

/// A task as shown to callers.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TaskStatus {
    /// Identifier of the task.
    pub id: TaskId,
    /// Current phase.
    pub state: TaskPhase,
    /// Why it waits; set in phase `Waiting`.
    pub reason: Option<WaitReason>,
    /// The worker on which it is placed.
    pub worker: Option<WorkerId>,
    /// How it ended; set in phase `Ended`.
    pub outcome: Option<TaskOutcome>,
    /// Number of the latest attempt; zero before the first.
    pub attempt: Attempt,
    /// Number of this state, as counted by the current owner.
    pub sequence: u64,
    /// Its object; `None` once the whole job has ended.
    pub object: Option<ObjectName>,
    /// Its team; `None` once the whole job has ended.
    pub team: Option<TeamId>,
}

/// Reply to a watch: the state of a task after a change.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct WatchReply {
    /// Status after the change.
    pub status: TaskStatus,
    /// Number of the state, to send in the next watch.
    pub sequence: u64,
    /// Whether the task ended, so that no change follows.
    pub r#final: bool,
}

/// Reply to a list request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TaskList {
    /// The matching tasks.
    pub tasks: Vec<TaskStatus>,
    /// Whether more tasks match than are listed.
    pub truncated: bool,
}

/// Effect of a cancellation on one task.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CancelItem {
    /// Identifier of the task.
    pub id: TaskId,
    /// What the cancellation did to it.
    pub result: CancelResult,
}

/// Reply to a cancellation.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CancelReply {
    /// The tasks that the cancellation applied to.
    pub tasks: Vec<CancelItem>,
}

/// A request to the owner of a pool shard.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub enum TaskRequest {
    /// Submits a job. A retry with the same job gets the same reply.
    Submit(JobSpec),
    /// Returns the status of a task.
    Get(TaskId),
    /// Returns the status of a task once its sequence number differs from the
    /// given one.
    Watch(TaskId, u64),
    /// Lists the tasks of unfinished jobs that have all of the labels, limited to
    /// a team if one is given.
    List(Vec<Arc<str>>, Option<TeamId>),
    /// Cancels a task, or the whole gang that it belongs to.
    Cancel(TaskId),
    /// Cancels all tasks of unfinished jobs with a label.
    CancelLabel(Arc<str>),
    /// States that the attempt of an unresolved task has stopped.
    Resolve(TaskId),
}

/// Why an owner refuses a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum TaskRefusal {
    /// The job was rejected.
    Rejected(JobRejection),
    /// The request was certainly not run.
    NotRun(NotRunReason),
    /// The job may have been accepted, as its record may have been written.
    Unknown,
    /// The owner knows no such task.
    NotFound,
}

/// The reply to a [`TaskRequest`].
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub enum TaskReply {
    /// The job was accepted durably.
    Accepted(SubmitReply),
    /// Status of the task.
    Status(TaskStatus),
    /// The matching tasks.
    Listed(TaskList),
    /// Effect of the cancellation.
    Cancelled(CancelReply),
    /// The request was refused.
    Refused(TaskRefusal),
}

impl TaskStatus {
    /// Returns the status of a task; `job` is `None` once the whole job has
    /// ended.
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
    /// Returns the reply for a changed status.
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
    /// Returns the name of the reason, as used in metrics.
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

    /// Returns advice for the caller on how to get the job accepted.
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
