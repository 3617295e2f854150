//! Requests of callers for tasks.

use std::{sync::Arc, time::Duration};

use auburnsaddle_core::{
    CancelReply, NotRunReason, ShardName, SubmitRequest, TaskId, TaskList, TaskRefusal, TaskReply,
    TaskRequest, TeamId, UnknownReason, WatchReply,
};
use futures::future::join_all;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use super::{
    keyed::key_of,
    messages::{
        FrontError, FrontResponse, json_response, mark_not_run, not_run_response, unknown_response,
    },
    service::{FrontService, header_text},
};
use crate::{
    store::StoreClient,
    tasks::{build_job, find_pool},
};

/// Path of all tasks.
pub(super) const TASKS_PATH: &str = "/v1/tasks";

/// Largest body of a submission in bytes.
const BODY_LIMIT: usize = 64 << 10;

/// Time for an answer if the caller names none. A takeover takes about 2 s.
const DEFAULT_TIME: Duration = Duration::from_secs(10);

/// A path below `/v1/tasks`.
enum TaskPath<'a> {
    All,
    Cancel,
    One(TaskId),
    Watch(TaskId),
    Resolve(TaskId),
    Other(&'a str),
}

impl<S: StoreClient> FrontService<S> {
    /// Answers a request for tasks.
    pub(super) async fn handle_tasks(
        &self,
        request: Request<Incoming>,
    ) -> Result<FrontResponse, FrontError> {
        log::debug!("request for tasks received");
        let time = time_limit(request.headers())?;
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or_default().to_owned();
        match (request.method().clone(), task_path(&path)) {
            (Method::POST, TaskPath::All) => self.submit(request, time).await,
            (Method::GET, TaskPath::All) => {
                let team = team_of(request.headers());
                self.list(&query, team, time).await
            }
            (Method::POST, TaskPath::Cancel) => self.cancel_label(&query, time).await,
            (Method::GET, TaskPath::One(task)) => {
                self.ask_owner(task, TaskRequest::Get(task), time).await
            }
            (Method::DELETE, TaskPath::One(task)) => {
                self.ask_owner(task, TaskRequest::Cancel(task), time).await
            }
            (Method::POST, TaskPath::Resolve(task)) => {
                self.ask_owner(task, TaskRequest::Resolve(task), time).await
            }
            (Method::GET, TaskPath::Watch(task)) => {
                let after = field(&query, "after").and_then(|text| text.parse().ok());
                let request = TaskRequest::Watch(task, after.unwrap_or(0));
                self.ask_owner(task, request, time).await
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

    async fn submit(
        &self,
        request: Request<Incoming>,
        time: Duration,
    ) -> Result<FrontResponse, FrontError> {
        let key = key_of(request.headers())?;
        let team = team_of(request.headers());
        let submission = read_submission(request, time).await?;
        let objects = Arc::clone(&self.control.snapshot().objects);
        let (shard, job) = build_job(&objects, &submission, key.as_deref()).map_err(|error| {
            FrontError::new(
                StatusCode::UNPROCESSABLE_ENTITY,
                &error.to_string(),
                error.remedy(),
            )
        })?;
        check_team(team.as_ref(), Some(&job.team))?;
        let request = TaskRequest::Submit(job);
        let reply = self.tasks.dispatch(&shard, &request, time).await;
        match &reply {
            TaskReply::Refused(TaskRefusal::NotRun(reason)) => {
                self.metrics.note_rejection("task", reason);
            }
            TaskReply::Refused(TaskRefusal::Rejected(reason)) => {
                self.metrics.note_rejection("task", reason.name());
            }
            _ => {}
        }
        Ok(respond(reply))
    }

    async fn ask_owner(
        &self,
        task: TaskId,
        request: TaskRequest,
        time: Duration,
    ) -> Result<FrontResponse, FrontError> {
        let shard = self.shard_of(task)?;
        let is_watch = matches!(request, TaskRequest::Watch(..));
        let reply = if is_watch {
            self.tasks.watch(&shard, &request, time).await
        } else {
            self.tasks.dispatch(&shard, &request, time).await
        };
        Ok(match reply {
            TaskReply::Status(status) if is_watch => {
                json_response(StatusCode::OK, &WatchReply::new(status))
            }
            reply => respond(reply),
        })
    }

    fn shard_of(&self, task: TaskId) -> Result<ShardName, FrontError> {
        let pool = find_pool(&self.control.snapshot().objects, task);
        pool.map(ShardName::Pool).ok_or_else(unknown_task)
    }

    async fn list(
        &self,
        query: &str,
        caller: Option<TeamId>,
        time: Duration,
    ) -> Result<FrontResponse, FrontError> {
        let labels = fields(query, "label").map(Into::into).collect();
        let team: Option<TeamId> = field(query, "team").map(Into::into);
        check_team(caller.as_ref(), team.as_ref())?;
        let request = TaskRequest::List(labels, team.or(caller));
        let mut list = TaskList::default();
        for reply in self.ask_all(&request, time).await {
            match reply {
                TaskReply::Listed(part) => {
                    list.tasks.extend(part.tasks);
                    list.truncated |= part.truncated;
                }
                reply => return Ok(respond(reply)),
            }
        }
        Ok(json_response(StatusCode::OK, &list))
    }

    async fn cancel_label(&self, query: &str, time: Duration) -> Result<FrontResponse, FrontError> {
        let label = field(query, "label").ok_or_else(|| {
            FrontError::new(
                StatusCode::BAD_REQUEST,
                "no label is named",
                "write /v1/tasks/cancel?label=KEY%3DVALUE",
            )
        })?;
        let request = TaskRequest::CancelLabel(label.into());
        let mut cancelled = CancelReply::default();
        for reply in self.ask_all(&request, time).await {
            match reply {
                TaskReply::Cancelled(part) => cancelled.tasks.extend(part.tasks),
                reply => return Ok(respond(reply)),
            }
        }
        Ok(json_response(StatusCode::OK, &cancelled))
    }

    /// Asks the owners of all pools at the same time.
    async fn ask_all(&self, request: &TaskRequest, time: Duration) -> Vec<TaskReply> {
        let objects = Arc::clone(&self.control.snapshot().objects);
        let shards: Vec<_> = objects.pools.keys().cloned().map(ShardName::Pool).collect();
        let asked = shards
            .iter()
            .map(|shard| self.tasks.dispatch(shard, request, time));
        join_all(asked).await
    }
}

/// Returns the team that the caller names in the header.
fn team_of(headers: &HeaderMap) -> Option<TeamId> {
    header_text(headers, "auburnsaddle-team").map(Into::into)
}

/// Rejects a request whose header names another team than the rest of it does.
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

fn task_path(path: &str) -> TaskPath<'_> {
    let rest = path.strip_prefix(TASKS_PATH).unwrap_or_default();
    let parts: Vec<_> = rest.split('/').filter(|part| !part.is_empty()).collect();
    let named = |text: &str| TaskId::try_parse(text).ok();
    match parts[..] {
        [] => TaskPath::All,
        ["cancel"] => TaskPath::Cancel,
        [id] => named(id).map_or(TaskPath::Other(id), TaskPath::One),
        [id, "watch"] => named(id).map_or(TaskPath::Other(id), TaskPath::Watch),
        [id, "resolve"] => named(id).map_or(TaskPath::Other(id), TaskPath::Resolve),
        _ => TaskPath::Other(rest),
    }
}

fn unknown_task() -> FrontError {
    FrontError::new(
        StatusCode::NOT_FOUND,
        "no such task",
        "use the identifier from the submission; ended tasks are kept for a while only",
    )
}

/// Encodes the reply of an owner.
fn respond(reply: TaskReply) -> FrontResponse {
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

async fn read_submission(
    request: Request<Incoming>,
    time: Duration,
) -> Result<SubmitRequest, FrontError> {
    let body = Limited::new(request.into_body(), BODY_LIMIT).collect();
    let Ok(Ok(body)) = tokio::time::timeout(time, body).await else {
        return Err(FrontError::new(
            StatusCode::BAD_REQUEST,
            "the body is too long or did not arrive",
            "send a whole submission of at most 64 KiB",
        ));
    };
    serde_json::from_slice(&body.to_bytes()).map_err(|error| {
        FrontError::new(
            StatusCode::BAD_REQUEST,
            &format!("the submission is malformed: {error}"),
            "send {\"object\": NAME} with an optional count and labels",
        )
    })
}

fn time_limit(headers: &HeaderMap) -> Result<Duration, FrontError> {
    match header_text(headers, "auburnsaddle-deadline-ms").map(str::parse) {
        None => Ok(DEFAULT_TIME),
        Some(Ok(milliseconds)) => Ok(Duration::from_millis(milliseconds)),
        Some(Err(_)) => Err(FrontError::new(
            StatusCode::BAD_REQUEST,
            "Auburnsaddle-Deadline-Ms is not a whole number",
            "send the time left in milliseconds",
        )),
    }
}

fn field(query: &str, name: &str) -> Option<String> {
    fields(query, name).next()
}

/// Returns the decoded values of a query field.
fn fields<'a>(query: &'a str, name: &'a str) -> impl Iterator<Item = String> + 'a {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let values = pairs.filter(move |(key, _)| *key == name);
    values.map(|(_, value)| percent_decode(value))
}

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
