//! Request handlers of the worker.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use http::{HeaderValue, Method, Request, StatusCode};
use hyper::body::Incoming;
use serde::{Serialize, de::DeserializeOwned};
use tokio::sync::Notify;

use super::{
    messages::{AttemptReply, ResourceAmounts},
    state::{RejectReason, WorkerState},
};
use crate::http::{HandlerResult, StandinResponse, json_response, read_body, text_response};

/// Time after which a long poll for events returns an empty list.
const EVENT_POLL_TIMEOUT: Duration = Duration::from_secs(20);

/// A worker shared by all of its connections.
#[derive(Clone, Debug)]
pub struct SharedWorker {
    state: Arc<Mutex<WorkerState>>,
    changed: Arc<Notify>,
}

impl SharedWorker {
    /// Returns an idle worker with the given capacity.
    #[must_use]
    pub fn new(capacity: ResourceAmounts) -> Self {
        Self {
            state: Arc::new(Mutex::new(WorkerState::new(capacity, Instant::now()))),
            changed: Arc::new(Notify::new()),
        }
    }

    /// Locks the state and finishes the attempts that are due.
    pub fn lock(&self) -> MutexGuard<'_, WorkerState> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.finish_due_attempts(Instant::now());
        state
    }
}

/// Handles one request.
///
/// # Errors
///
/// Never returns an error; the return type is common to all handlers.
pub async fn handle(worker: SharedWorker, request: Request<Incoming>) -> HandlerResult {
    let latency = Duration::from_millis(worker.lock().faults.latency_ms);
    tokio::time::sleep(latency).await;
    let method = request.method().clone();
    let uri = request.uri().clone();
    let body = match read_body(request.into_body()).await {
        Ok(body) => body,
        Err(response) => return Ok(response),
    };
    if (&method, uri.path()) == (&Method::GET, "/v1/events") {
        return Ok(wait_for_events(worker, uri.query().unwrap_or_default()).await);
    }
    let response = apply_request(&mut worker.lock(), &method, uri.path(), &body);
    worker.changed.notify_waiters();
    Ok(response)
}

fn apply_request(
    worker: &mut WorkerState,
    method: &Method,
    path: &str,
    body: &[u8],
) -> StandinResponse {
    let now = Instant::now();
    match (method, path) {
        (&Method::POST, "/v1/claim") => parse_and_respond(body, |claim| worker.claim(&claim)),
        (&Method::POST, "/v1/start") => parse_and_respond(body, |start| worker.start(start, now)),
        (&Method::POST, "/v1/stop") => parse_and_respond(body, |request| {
            worker
                .stop(request, now)
                .map(|found| AttemptReply { found })
        }),
        (&Method::POST, "/v1/checkpoint" | "/v1/throttle") => parse_and_respond(body, |request| {
            worker
                .check_running(request)
                .map(|found| AttemptReply { found })
        }),
        (&Method::POST, "/v1/sync") => parse_and_respond(body, |sync| worker.sync(&sync, now)),
        (&Method::GET, "/log") => json_response(&worker.log()),
        (&Method::PUT, "/control/faults") => parse_and_respond(body, |faults| {
            worker.faults = faults;
            Ok::<(), RejectReason>(())
        }),
        _ => text_response(StatusCode::NOT_FOUND, "no such path"),
    }
}

/// Waits for completions after the sequence number in the query, for at most
/// [`EVENT_POLL_TIMEOUT`].
async fn wait_for_events(worker: SharedWorker, query: &str) -> StandinResponse {
    let after = query.strip_prefix("after=").unwrap_or_default();
    let after = after.parse().unwrap_or(0);
    let deadline = Instant::now() + EVENT_POLL_TIMEOUT;
    loop {
        let changed = worker.changed.notified();
        let (events, next_end_time) = {
            let state = worker.lock();
            (state.completions_after(after), state.next_end_time())
        };
        let now = Instant::now();
        if !events.is_empty() || now >= deadline {
            return json_response(&events);
        }
        let wake_at = next_end_time.unwrap_or(deadline).min(deadline);
        tokio::select! {
            () = changed => {}
            () = tokio::time::sleep_until(wake_at.into()) => {}
        }
    }
}

fn parse_and_respond<Q, R, F>(body: &[u8], apply: F) -> StandinResponse
where
    Q: DeserializeOwned,
    R: Serialize,
    F: FnOnce(Q) -> Result<R, RejectReason>,
{
    match serde_json::from_slice(body).map(apply) {
        Ok(Ok(reply)) => json_response(&reply),
        Ok(Err(reason)) => {
            let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, reason.as_str());
            let value = HeaderValue::from_static(reason.as_str());
            response.headers_mut().insert("auburnsaddle-not-run", value);
            response
        }
        Err(error) => text_response(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}
