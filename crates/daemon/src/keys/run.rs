//! Dispatches calls with keys, and queries runners by key.

use std::time::{Duration, Instant};

use auburnsaddle_core::{
    CallOutcome, HostEntry, HostKind, HostState, KeyResponse, NotRunReason, RunnerAnswer,
    UnknownReason,
};
use bytes::Bytes;
use futures::future::join_all;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::Deserialize;

use super::messages::{
    BufferedResponse, KeyCommand, KeyEffect, KeyEffectKind, KeyedCall, MAX_KEYED_BODY_BYTES,
    encode_headers,
};
use crate::{
    calls::{CallDispatcher, CallReply},
    control::{ControlEvent, ControlHandle},
    telemetry::trace_request,
};

/// Bounds the time that a runner takes to answer a query, which is a lookup of one key
/// in its memory.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// A runner's answer to a query by key.
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct RunnerKeyState {
    /// One of `unknown`, `running` and `completed`.
    state: String,
    /// The HTTP status code of a completed call, if the runner keeps it.
    status: Option<u16>,
    /// The `Content-Type` of the body, if the runner keeps it.
    content_type: Option<String>,
    /// The body of a completed call.
    body: String,
}

/// Executes the effects of key shards on the traffic threads.
#[derive(Clone, Debug)]
pub(crate) struct KeyExecutor {
    control: ControlHandle,
    dispatcher: CallDispatcher,
    runner_client: Client<HttpConnector, Full<Bytes>>,
}

impl KeyExecutor {
    /// Returns an executor that has no connections to runners yet.
    pub(crate) fn new(control: ControlHandle, dispatcher: CallDispatcher) -> Self {
        let runner_client = Client::builder(TokioExecutor::new())
            .http2_only(true)
            .build_http();
        Self {
            control,
            dispatcher,
            runner_client,
        }
    }

    /// Executes an effect and sends its result to the control thread.
    pub(crate) async fn execute(&self, effect: KeyEffect) {
        let request = effect.call.request();
        trace_request(request, self.execute_traced(effect)).await;
    }

    /// Executes an effect within the trace of its request.
    async fn execute_traced(&self, effect: KeyEffect) {
        let KeyEffect {
            shard,
            epoch,
            call,
            kind,
        } = effect;
        let key = call.key_digest();
        let command = match kind {
            KeyEffectKind::Dispatch => KeyCommand::Ended {
                shard,
                epoch,
                key,
                outcome: self.dispatch(&call).await,
            },
            KeyEffectKind::Query => KeyCommand::Answered {
                shard,
                epoch,
                key,
                answer: self.query(&call).await,
            },
        };
        self.control.send(ControlEvent::Keys(command)).await;
    }

    /// Dispatches a call and reads the runner's response.
    async fn dispatch(&self, call: &KeyedCall) -> CallOutcome<BufferedResponse> {
        let snapshot = self.control.snapshot();
        let service = snapshot.objects.services.get(&call.service);
        let (Some(service), Some(head)) = (service, call.call_head()) else {
            return CallOutcome::NotRun(NotRunReason::NoTarget);
        };
        let started_at = Instant::now();
        // The recorded intent covers one run, so the dispatcher may only retry an
        // attempt that has certainly not run.
        match self.dispatcher.dispatch(service, head, false).await {
            CallOutcome::Completed(reply) => {
                let remaining = call.remaining.saturating_sub(started_at.elapsed());
                match tokio::time::timeout(remaining, buffer_response(reply)).await {
                    Ok(outcome) => outcome,
                    Err(_) => CallOutcome::Unknown(UnknownReason::DeadlinePassed),
                }
            }
            CallOutcome::NotRun(reason) => CallOutcome::NotRun(reason),
            CallOutcome::Unknown(reason) => CallOutcome::Unknown(reason),
        }
    }

    /// Queries all live runners of the service, since the recorded intent does not
    /// name the runner. Returns the first `Completed` answer, else `Running` if any
    /// runner reports it.
    async fn query(&self, call: &KeyedCall) -> RunnerAnswer {
        let snapshot = self.control.snapshot();
        let runners = snapshot
            .hosts
            .values()
            .filter(|host| host.kind == HostKind::Runner && host.state == HostState::Live)
            .filter(|host| host.service.as_ref() == Some(&call.service));
        let queries = runners.map(|host| self.query_runner(host, call));
        let answers = join_all(queries).await;
        let is_completed = |answer: &RunnerAnswer| matches!(answer, RunnerAnswer::Completed(_));
        let is_running = answers.contains(&RunnerAnswer::Running);
        match answers.into_iter().find(is_completed) {
            Some(answer) => answer,
            None if is_running => RunnerAnswer::Running,
            None => RunnerAnswer::NotKnown,
        }
    }

    /// Queries a runner. A runner that cannot be reached counts as one that does not
    /// know the key.
    async fn query_runner(&self, host: &HostEntry, call: &KeyedCall) -> RunnerAnswer {
        let fetched = tokio::time::timeout(QUERY_TIMEOUT, self.fetch_key_state(host, call)).await;
        let state = fetched.ok().flatten().unwrap_or_default();
        match state.state.as_str() {
            "completed" => RunnerAnswer::Completed(KeyResponse {
                status: state.status.unwrap_or(StatusCode::OK.as_u16()),
                content_type: state.content_type,
                body: Some(state.body.into_bytes()),
            }),
            "running" => RunnerAnswer::Running,
            _ => RunnerAnswer::NotKnown,
        }
    }

    /// Fetches the state of the key from a runner, or returns `None` if the request
    /// fails.
    async fn fetch_key_state(&self, host: &HostEntry, call: &KeyedCall) -> Option<RunnerKeyState> {
        let uri = format!("http://{}/auburnsaddle/requests/{}", host.address, call.key);
        let mut request = Request::get(uri);
        // Equal keys of different teams are different keys.
        if let Some(team) = &call.team {
            request = request.header("auburnsaddle-team", &**team);
        }
        let request = request.body(Full::default()).ok()?;
        let response = self.runner_client.request(request).await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        let body = Limited::new(response.into_body(), MAX_KEYED_BODY_BYTES);
        let body = body.collect().await.ok()?.to_bytes();
        serde_json::from_slice(&body).ok()
    }
}

/// Reads a response into memory, without its body if that is over the limit.
async fn buffer_response(reply: CallReply) -> CallOutcome<BufferedResponse> {
    let (parts, body) = reply.into_parts();
    let body = match Limited::new(body, MAX_KEYED_BODY_BYTES).collect().await {
        Ok(collected) => Some(collected.to_bytes().to_vec()),
        Err(error) if error.is::<LengthLimitError>() => None,
        Err(_) => return CallOutcome::Unknown(UnknownReason::ConnectionLost),
    };
    CallOutcome::Completed(BufferedResponse {
        status: parts.status.as_u16(),
        headers: encode_headers(&parts.headers),
        body,
    })
}
