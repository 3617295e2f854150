//! Handles the requests of callers that submit, query and cancel tasks.

use std::time::Duration;

use auburnsaddle_core::{
    CancelReply, NotRunReason, ShardName, SubmitRequest, TaskId, TaskList, TaskRefusal, TaskReply,
    TaskRequest, TeamId, UnknownReason, WatchReply,
};
use futures::future::join_all;
use http::{HeaderMap, Method, Request, StatusCode};
use hyper::body::Incoming;

use super::{
    keyed::parse_key,
    messages::{
        FrontError, FrontResponse, json_response, mark_not_run, not_run_response, unknown_response,
    },
    service::{FrontService, header_value},
};
use crate::{
    calls::{BodyError, BodyLimits, CallBody},
    store::StoreClient,
    tasks::{build_job, find_pool},
};

/// Path of the task collection, and prefix of the paths of single tasks.
pub(super) const TASKS_PATH: &str = "/v1/tasks";

/// Size limit of the body of a submission.
const MAX_SUBMISSION_BYTES: u64 = 64 << 10;

/// Time limit of a request whose caller sets none. It covers a takeover, which takes
/// about 2 s.
const DEFAULT_TIME_LIMIT: Duration = Duration::from_secs(10);

/// A parsed path below `/v1/tasks`.
enum TaskPath<'a> {
    /// The task collection.
    All,
    /// Cancellation of all tasks with a label.
    Cancel,
    /// A single task.
    One(TaskId),
    /// A watch that waits for a change of a task.
    Watch(TaskId),
    /// The statement that the attempt of an unresolved task has stopped.
    Resolve(TaskId),
    /// A path without a valid task identifier.
    Other(&'a str),
}

impl<S: StoreClient> FrontService<S> {
    /// Handles a request below `/v1/tasks`.
    pub(super) async fn handle_tasks(
        &self,
        request: Request<Incoming>,
    ) -> Result<FrontResponse, FrontError> {
        log::debug!("request for tasks received");
        let time_limit = parse_time_limit(request.headers())?;
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or_default().to_owned();
        match (request.method().clone(), parse_task_path(&path)) {
            (Method::POST, TaskPath::All) => self.submit_job(request, time_limit).await,
            (Method::GET, TaskPath::All) => {
                let team = header_team(request.headers());
                self.list_tasks(&query, team, time_limit).await
            }
            (Method::POST, TaskPath::Cancel) => self.cancel_by_label(&query, time_limit).await,
            (Method::GET, TaskPath::One(task)) => {
                self.forward_to_owner(task, TaskRequest::Get(task), time_limit)
                    .await
            }
            (Method::DELETE, TaskPath::One(task)) => {
                self.forward_to_owner(task, TaskRequest::Cancel(task), time_limit)
                    .await
            }
            (Method::POST, TaskPath::Resolve(task)) => {
                self.forward_to_owner(task, TaskRequest::Resolve(task), time_limit)
                    .await
            }
            (Method::GET, TaskPath::Watch(task)) => {
                let after = query_value(&query, "after").and_then(|text| text.parse().ok());
                let request = TaskRequest::Watch(task, after.unwrap_or(0));
                self.forward_to_owner(task, request, time_limit).await
            }
            (_, TaskPath::Other(text)) => Err(FrontError::new(
                StatusCode::NOT_FOUND,
                &format!("`{text}` names no task"),
                "use the identifier from the submission, a UUID",
            )),
            _ => Err(FrontError::new(
                StatusCode::METHOD_NOT_ALLOWED,
                "no such request for tasks",
                "use POST or GET on /v1/tasks, and GET or DELETE on /v1/tasks/ID",
            )),
        }
    }

    /// Builds a job from a submission and sends it to the owner of its pool.
    async fn submit_job(
        &self,
        request: Request<Incoming>,
        time_limit: Duration,
    ) -> Result<FrontResponse, FrontError> {
        let key = parse_key(request.headers())?;
        let team = header_team(request.headers());
        let limits = BodyLimits {
            bytes: MAX_SUBMISSION_BYTES,
            time: time_limit.min(self.limits.body_timeout),
        };
        let submission = parse_submission(request, limits).await?;
        let snapshot = self.configured_snapshot("task")?;
        let (shard, job) =
            build_job(&snapshot.objects, &submission, key.as_deref()).map_err(|error| {
                FrontError::new(
                    StatusCode::UNPROCESSABLE_ENTITY,
                    &error.to_string(),
                    error.remedy(),
                )
            })?;
        check_team(team.as_ref(), Some(&job.team))?;
        let request = TaskRequest::Submit(job);
        let reply = self.tasks.dispatch(&shard, &request, time_limit).await;
        match &reply {
            TaskReply::Refused(TaskRefusal::NotRun(reason)) => {
                self.metrics.record_rejection("task", reason);
            }
            TaskReply::Refused(TaskRefusal::Rejected(reason)) => {
                self.metrics.record_rejection("task", reason.name());
            }
            _ => {}
        }
        Ok(encode_reply(reply))
    }

    /// Sends a request for a task to the owner of its pool.
    async fn forward_to_owner(
        &self,
        task: TaskId,
        request: TaskRequest,
        time_limit: Duration,
    ) -> Result<FrontResponse, FrontError> {
        let shard = self.task_shard(task)?;
        let is_watch = matches!(request, TaskRequest::Watch(..));
        let reply = if is_watch {
            self.tasks.watch(&shard, &request, time_limit).await
        } else {
            self.tasks.dispatch(&shard, &request, time_limit).await
        };
        Ok(match reply {
            TaskReply::Status(status) if is_watch => {
                json_response(StatusCode::OK, &WatchReply::new(status))
            }
            reply => encode_reply(reply),
        })
    }

    /// Returns the pool shard of a task.
    fn task_shard(&self, task: TaskId) -> Result<ShardName, FrontError> {
        let pool = find_pool(&self.configured_snapshot("task")?.objects, task);
        pool.map(ShardName::Pool).ok_or_else(unknown_task)
    }

    /// Lists the tasks that have all labels from the query, limited to a team if the
    /// query or the header names one.
    async fn list_tasks(
        &self,
        query: &str,
        caller: Option<TeamId>,
        time_limit: Duration,
    ) -> Result<FrontResponse, FrontError> {
        let labels = query_values(query, "label").map(Into::into).collect();
        let team: Option<TeamId> = query_value(query, "team").map(Into::into);
        check_team(caller.as_ref(), team.as_ref())?;
        let request = TaskRequest::List(labels, team.or(caller));
        let mut list = TaskList::default();
        for reply in self.forward_to_all_pools(&request, time_limit).await? {
            match reply {
                TaskReply::Listed(part) => {
                    list.tasks.extend(part.tasks);
                    list.truncated |= part.truncated;
                }
                reply => return Ok(encode_reply(reply)),
            }
        }
        Ok(json_response(StatusCode::OK, &list))
    }

    /// Cancels all tasks with the label from the query.
    async fn cancel_by_label(
        &self,
        query: &str,
        time_limit: Duration,
    ) -> Result<FrontResponse, FrontError> {
        let label = query_value(query, "label").ok_or_else(|| {
            FrontError::new(
                StatusCode::BAD_REQUEST,
                "no label is named",
                "write /v1/tasks/cancel?label=KEY%3DVALUE",
            )
        })?;
        let request = TaskRequest::CancelLabel(label.into());
        let mut cancelled = CancelReply::default();
        for reply in self.forward_to_all_pools(&request, time_limit).await? {
            match reply {
                TaskReply::Cancelled(part) => cancelled.tasks.extend(part.tasks),
                reply => return Ok(encode_reply(reply)),
            }
        }
        Ok(json_response(StatusCode::OK, &cancelled))
    }

    /// Sends a request to the owners of all pools at the same time.
    async fn forward_to_all_pools(
        &self,
        request: &TaskRequest,
        time_limit: Duration,
    ) -> Result<Vec<TaskReply>, FrontError> {
        let snapshot = self.configured_snapshot("task")?;
        let pools = snapshot.objects.pools.keys();
        let shards: Vec<_> = pools.cloned().map(ShardName::Pool).collect();
        let replies = shards
            .iter()
            .map(|shard| self.tasks.dispatch(shard, request, time_limit));
        Ok(join_all(replies).await)
    }
}

/// Returns the team from the caller's header.
fn header_team(headers: &HeaderMap) -> Option<TeamId> {
    header_value(headers, "auburnsaddle-team").map(Into::into)
}

/// Rejects a request whose header names another team than its body or query.
fn check_team(header: Option<&TeamId>, other: Option<&TeamId>) -> Result<(), FrontError> {
    match (header, other) {
        (Some(header), Some(other)) if header != other => Err(FrontError::new(
            StatusCode::BAD_REQUEST,
            &format!("Auburnsaddle-Team names `{header}`, but the request is for `{other}`"),
            "name one team, or leave the header out",
        )),
        _ => Ok(()),
    }
}

/// Parses the path of a request for tasks.
fn parse_task_path(path: &str) -> TaskPath<'_> {
    let rest = path.strip_prefix(TASKS_PATH).unwrap_or_default();
    let parts: Vec<_> = rest.split('/').filter(|part| !part.is_empty()).collect();
    let parse_id = |text: &str| TaskId::try_parse(text).ok();
    match parts[..] {
        [] => TaskPath::All,
        ["cancel"] => TaskPath::Cancel,
        [id] => parse_id(id).map_or(TaskPath::Other(id), TaskPath::One),
        [id, "watch"] => parse_id(id).map_or(TaskPath::Other(id), TaskPath::Watch),
        [id, "resolve"] => parse_id(id).map_or(TaskPath::Other(id), TaskPath::Resolve),
        _ => TaskPath::Other(rest),
    }
}

/// Returns the error for a task that does not exist or is no longer kept.
fn unknown_task() -> FrontError {
    FrontError::new(
        StatusCode::NOT_FOUND,
        "no such task",
        "use the identifier from the submission; ended tasks are kept for a while only",
    )
}

/// Encodes the reply of a pool's owner.
fn encode_reply(reply: TaskReply) -> FrontResponse {
    match reply {
        TaskReply::Accepted(reply) => json_response(StatusCode::ACCEPTED, &reply),
        TaskReply::Status(status) => json_response(StatusCode::OK, &status),
        TaskReply::Listed(list) => json_response(StatusCode::OK, &list),
        TaskReply::Cancelled(reply) => json_response(StatusCode::OK, &reply),
        TaskReply::Refused(TaskRefusal::NotFound) => unknown_task().into(),
        TaskReply::Refused(TaskRefusal::NotRun(reason)) => not_run_response(reason),
        TaskReply::Refused(TaskRefusal::Unknown) => unknown_response(UnknownReason::OwnerLost),
        TaskReply::Refused(TaskRefusal::Rejected(reason)) => {
            use auburnsaddle_core::JobRejection;
            match reason {
                JobRejection::StoreUnavailable => not_run_response(NotRunReason::StoreUnavailable),
                JobRejection::QueueFull => not_run_response(NotRunReason::QueueFull),
                reason => mark_not_run(
                    FrontError::new(
                        StatusCode::UNPROCESSABLE_ENTITY,
                        &format!("the job is rejected: {reason}"),
                        reason.remedy(),
                    )
                    .into(),
                ),
            }
        }
    }
}

/// Reads and parses the body of a submission.
async fn parse_submission(
    request: Request<Incoming>,
    limits: BodyLimits,
) -> Result<SubmitRequest, FrontError> {
    let body = CallBody::read_whole(request.into_body(), limits).await;
    let body = body.map_err(|error| match error {
        BodyError::TooLarge => FrontError::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body is too large",
            "send a submission of at most 64 KiB",
        ),
        error => error.into(),
    })?;
    serde_json::from_slice(&body).map_err(|error| {
        FrontError::new(
            StatusCode::BAD_REQUEST,
            &format!("the submission is malformed: {error}"),
            "send {\"object\": NAME} with an optional count and labels",
        )
    })
}

/// Returns the time left until the caller's deadline, or the default.
fn parse_time_limit(headers: &HeaderMap) -> Result<Duration, FrontError> {
    match header_value(headers, "auburnsaddle-deadline-ms").map(str::parse) {
        None => Ok(DEFAULT_TIME_LIMIT),
        Some(Ok(milliseconds)) => Ok(Duration::from_millis(milliseconds)),
        Some(Err(_)) => Err(FrontError::new(
            StatusCode::BAD_REQUEST,
            "Auburnsaddle-Deadline-Ms is not a whole number",
            "send the time left in milliseconds",
        )),
    }
}

/// Returns the first decoded value of a query parameter.
fn query_value(query: &str, name: &str) -> Option<String> {
    query_values(query, name).next()
}

/// Returns the decoded values of a query parameter.
fn query_values<'a>(query: &'a str, name: &'a str) -> impl Iterator<Item = String> + 'a {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let values = pairs.filter(move |(key, _)| *key == name);
    values.map(|(_, value)| percent_decode(value))
}

/// Decodes percent escapes, and `+` as a space.
fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((byte, tail)) = rest.split_first() {
        let code = tail
            .get(..2)
            .and_then(|code| std::str::from_utf8(code).ok());
        let decoded = code.and_then(|code| u8::from_str_radix(code, 16).ok());
        rest = match (byte, decoded) {
            (b'%', Some(decoded)) => {
                bytes.push(decoded);
                &tail[2..]
            }
            (b'+', _) => {
                bytes.push(b' ');
                tail
            }
            _ => {
                bytes.push(*byte);
                tail
            }
        };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
