//! Dispatch of calls with keys, and queries of runners by key.

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
    BODY_LIMIT, KeyCommand, KeyEffect, KeyEffectKind, KeyedCall, WholeResponse, header_entries,
};
use crate::{
    calls::{CallDispatcher, CallReply},
    control::{ControlEvent, ControlHandle},
    telemetry::trace_request,
};

/// Time for a runner to answer a query; it looks up one key in memory.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// A runner's answer to a query by key.
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct RunnerKeyState {
    /// `unknown`, `running` or `completed`.
    state: String,
    /// The status of a completed call, if the runner keeps it.
    status: Option<u16>,
    /// The `Content-Type` of its body, if the runner keeps it.
    content_type: Option<String>,
    body: String,
}

/// Carries out the effects of key shards.
#[derive(Clone, Debug)]
pub(crate) struct KeyExecutor {
    control: ControlHandle,
    dispatcher: CallDispatcher,
    runners: Client<HttpConnector, Full<Bytes>>,
}

impl KeyExecutor {
    /// Returns a runner of effects without connections.
    pub(crate) fn new(control: ControlHandle, dispatcher: CallDispatcher) -> Self {
        let runners = Client::builder(TokioExecutor::new())
            .http2_only(true)
            .build_http();
        Self {
            control,
            dispatcher,
            runners,
        }
    }

    /// Carries out an effect and reports its result.
    pub(crate) async fn execute(&self, effect: KeyEffect) {
        let request = effect.call.request();
        trace_request(request, self.run_traced(effect)).await;
    }

    async fn run_traced(&self, effect: KeyEffect) {
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

    async fn dispatch(&self, call: &KeyedCall) -> CallOutcome<WholeResponse> {
        let snapshot = self.control.snapshot();
        let service = snapshot.objects.services.get(&call.service);
        let (Some(service), Some(head)) = (service, call.head()) else {
            return CallOutcome::NotRun(NotRunReason::NoTarget);
        };
        let started_at = Instant::now();
        // The intent allows one run, so only what was not run is tried again.
        match self.dispatcher.dispatch(service, head, false).await {
            CallOutcome::Completed(reply) => {
                let remaining = call.remaining.saturating_sub(started_at.elapsed());
                match tokio::time::timeout(remaining, collect(reply)).await {
                    Ok(outcome) => outcome,
                    Err(_) => CallOutcome::Unknown(UnknownReason::DeadlinePassed),
                }
            }
            CallOutcome::NotRun(reason) => CallOutcome::NotRun(reason),
            CallOutcome::Unknown(reason) => CallOutcome::Unknown(reason),
        }
    }

    /// Asks all live runners of the service; the intent names none.
    async fn query(&self, call: &KeyedCall) -> RunnerAnswer {
        let snapshot = self.control.snapshot();
        let runners = snapshot
            .hosts
            .values()
            .filter(|host| host.kind == HostKind::Runner && host.state == HostState::Live)
            .filter(|host| host.service.as_ref() == Some(&call.service));
        let queries = runners.map(|host| self.query_runner(host, call));
        let answers = join_all(queries).await;
        let completed = |answer: &RunnerAnswer| matches!(answer, RunnerAnswer::Completed(_));
        let running = answers.contains(&RunnerAnswer::Running);
        match answers.into_iter().find(completed) {
            Some(answer) => answer,
            None if running => RunnerAnswer::Running,
            None => RunnerAnswer::NotKnown,
        }
    }

    async fn query_runner(&self, host: &HostEntry, call: &KeyedCall) -> RunnerAnswer {
        let asked = tokio::time::timeout(QUERY_TIMEOUT, self.ask_runner(host, call)).await;
        let state = asked.ok().flatten().unwrap_or_default();
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

    /// Returns what a runner says, or `None` if it cannot be asked.
    async fn ask_runner(&self, host: &HostEntry, call: &KeyedCall) -> Option<RunnerKeyState> {
        let uri = format!("http://{}/auburnsaddle/requests/{}", host.address, call.key);
        let mut request = Request::get(uri);
        // Teams do not share keys.
        if let Some(team) = &call.team {
            request = request.header("auburnsaddle-team", &**team);
        }
        let request = request.body(Full::default()).ok()?;
        let response = self.runners.request(request).await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        let body = Limited::new(response.into_body(), BODY_LIMIT);
        let body = body.collect().await.ok()?.to_bytes();
        serde_json::from_slice(&body).ok()
    }
}

/// Reads a whole response; a body over the limit is left out.
async fn collect(reply: CallReply) -> CallOutcome<WholeResponse> {
    let (parts, body) = reply.into_parts();
    let body = match Limited::new(body, BODY_LIMIT).collect().await {
        Ok(collected) => Some(collected.to_bytes().to_vec()),
        Err(error) if error.is::<LengthLimitError>() => None,
        Err(_) => return CallOutcome::Unknown(UnknownReason::ConnectionLost),
    };
    CallOutcome::Completed(WholeResponse {
        status: parts.status.as_u16(),
        headers: header_entries(&parts.headers),
        body,
    })
}
