//! Answers the requests of a worker's owner.

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
use crate::http::{HandlerResult, StandinResponse, json, read_body, text};

/// How long a request for events waits when there is no news.
const EVENT_WAIT: Duration = Duration::from_secs(20);

/// The worker that all connections share.
#[derive(Clone, Debug)]
pub struct SharedWorker {
    state: Arc<Mutex<WorkerState>>,
    changed: Arc<Notify>,
}

impl SharedWorker {
    /// Returns a worker with a capacity.
    #[must_use]
    pub fn new(capacity: ResourceAmounts) -> Self {
        Self {
            state: Arc::new(Mutex::new(WorkerState::new(capacity, Instant::now()))),
            changed: Arc::new(Notify::new()),
        }
    }

    /// Locks the state after ending what is over by now.
    pub fn lock(&self) -> MutexGuard<'_, WorkerState> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.advance(Instant::now());
        state
    }
}

/// Answers one request.
///
/// # Errors
///
/// Never returns an error; the type is that of all handlers.
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
    let response = apply(&mut worker.lock(), &method, uri.path(), &body);
    worker.changed.notify_waiters();
    Ok(response)
}

fn apply(worker: &mut WorkerState, method: &Method, path: &str, body: &[u8]) -> StandinResponse {
    let now = Instant::now();
    match (method, path) {
        (&Method::POST, "/v1/claim") => answer(body, |claim| worker.claim(&claim)),
        (&Method::POST, "/v1/start") => answer(body, |start| worker.start(start, now)),
        (&Method::POST, "/v1/stop") => answer(body, |request| {
            worker
                .stop(request, now)
                .map(|found| AttemptReply { found })
        }),
        (&Method::POST, "/v1/checkpoint" | "/v1/throttle") => answer(body, |request| {
            worker.find(request).map(|found| AttemptReply { found })
        }),
        (&Method::POST, "/v1/sync") => answer(body, |sync| worker.sync(&sync, now)),
        (&Method::GET, "/log") => json(&worker.log()),
        (&Method::PUT, "/control/faults") => answer(body, |faults| {
            worker.faults = faults;
            Ok::<(), RejectReason>(())
        }),
        _ => text(StatusCode::NOT_FOUND, "no such path"),
    }
}

/// Waits until there is a completion after the one named in the query.
async fn wait_for_events(worker: SharedWorker, query: &str) -> StandinResponse {
    let after = query.strip_prefix("after=").unwrap_or_default();
    let after = after.parse().unwrap_or(0);
    let give_up_at = Instant::now() + EVENT_WAIT;
    loop {
        let changed = worker.changed.notified();
        let (events, next_change) = {
            let state = worker.lock();
            (state.completions_after(after), state.next_change())
        };
        let now = Instant::now();
        if !events.is_empty() || now >= give_up_at {
            return json(&events);
        }
        let wake_at = next_change.unwrap_or(give_up_at).min(give_up_at);
        tokio::select! {
            () = changed => {}
            () = tokio::time::sleep_until(wake_at.into()) => {}
        }
    }
}

fn answer<Q, R, F>(body: &[u8], apply: F) -> StandinResponse
where
    Q: DeserializeOwned,
    R: Serialize,
    F: FnOnce(Q) -> Result<R, RejectReason>,
{
    match serde_json::from_slice(body).map(apply) {
        Ok(Ok(reply)) => json(&reply),
        Ok(Err(reason)) => {
            let mut response = text(StatusCode::SERVICE_UNAVAILABLE, reason.as_str());
            let value = HeaderValue::from_static(reason.as_str());
            response.headers_mut().insert("auburnsaddle-not-run", value);
            response
        }
        Err(error) => text(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}
