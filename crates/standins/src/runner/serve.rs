//! Answers calls.

use std::{
    io,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use futures::channel::mpsc::unbounded;
use http::{
    HeaderValue, Method, Request, StatusCode,
    header::{CONTENT_LENGTH, CONTENT_TYPE},
};
use hyper::body::{Frame, Incoming};

use super::{
    messages::{RunnerBehaviour, RunnerCounts},
    state::{AdmissionError, RunnerState},
};
use crate::http::{
    ConnectionCounts, HandlerResult, StandinResponse, json, read_body, stream, text,
};

/// Time between the parts of a body.
const PART_INTERVAL: Duration = Duration::from_millis(5);

/// The runner that all connections share.
#[derive(Clone, Debug)]
pub struct SharedRunner {
    state: Arc<Mutex<RunnerState>>,
    connections: Arc<ConnectionCounts>,
}

/// Frees the slot of a call, also when the call is cancelled.
struct SlotHold(SharedRunner);

impl SharedRunner {
    /// Returns a runner with free slots.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            state: Arc::new(Mutex::new(RunnerState::new(slots))),
            connections: Arc::default(),
        }
    }

    /// Locks the state.
    pub fn lock(&self) -> MutexGuard<'_, RunnerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the counters of the runner's connections.
    #[must_use]
    pub fn connections(&self) -> Arc<ConnectionCounts> {
        Arc::clone(&self.connections)
    }

    /// Returns all counters.
    #[must_use]
    pub fn counts(&self) -> RunnerCounts {
        let (busy, busy_peak) = self.lock().busy_counts();
        RunnerCounts {
            busy,
            busy_peak,
            connections: self.connections.open(),
            connections_peak: self.connections.peak(),
        }
    }
}

impl Drop for SlotHold {
    fn drop(&mut self) {
        self.0.lock().finish();
    }
}

/// Answers one request.
///
/// # Errors
///
/// Returns the reset that a refused call gets in place of a response.
pub async fn handle(runner: SharedRunner, request: Request<Incoming>) -> HandlerResult {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/starts") => Ok(json(&runner.lock().starts())),
        (&Method::GET, "/counts") => Ok(json(&runner.counts())),
        (&Method::PUT, "/control/behaviour") => Ok(set_behaviour(&runner, request).await),
        (&Method::GET, path) if path.starts_with("/auburnsaddle/requests/") => {
            let key = path.trim_start_matches("/auburnsaddle/requests/");
            Ok(json(&runner.lock().query(key)))
        }
        _ => handle_call(runner, request).await,
    }
}

async fn set_behaviour(runner: &SharedRunner, request: Request<Incoming>) -> StandinResponse {
    let body = match read_body(request.into_body()).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    match serde_json::from_slice(&body) {
        Ok(behaviour) => {
            runner.lock().behaviour = behaviour;
            text(StatusCode::NO_CONTENT, "")
        }
        Err(error) => text(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

async fn handle_call(runner: SharedRunner, request: Request<Incoming>) -> HandlerResult {
    let shard = header(&request, "auburnsaddle-shard");
    let epoch = header(&request, "auburnsaddle-epoch").parse().unwrap_or(0);
    let request_id = header(&request, "auburnsaddle-request-id");
    let key = header(&request, "idempotency-key");
    let kind = request.headers().get(CONTENT_TYPE).cloned();
    let behaviour = runner.lock().behaviour;
    if behaviour.refuse_stream {
        return Err(h2::Error::from(h2::Reason::REFUSED_STREAM));
    }
    let admitted = runner.lock().admit(&shard, epoch, &request_id);
    if let Err(error) = admitted {
        return Ok(rejected(error));
    }
    let hold = SlotHold(runner.clone());
    runner.lock().deadline_ms = header(&request, "auburnsaddle-deadline-ms").parse().ok();
    runner.lock().note_key(key.clone(), None);
    let body = match read_body(request.into_body()).await {
        Ok(body) => body,
        Err(response) => return Ok(response),
    };
    tokio::time::sleep(Duration::from_millis(behaviour.work_ms)).await;
    let body = format!("done: {}", String::from_utf8_lossy(&body));
    runner.lock().note_key(key, Some(body.clone()));
    let mut response = match behaviour.chunks {
        0 => text(StatusCode::OK, &body),
        _ => in_parts(behaviour, body, hold),
    };
    // The response has the type of its request.
    if let Some(kind) = kind {
        response.headers_mut().insert(CONTENT_TYPE, kind);
    }
    Ok(response)
}

/// Sends a body in parts; the slot stays occupied until its end.
fn in_parts(behaviour: RunnerBehaviour, body: String, hold: SlotHold) -> StandinResponse {
    let length = body.len() * behaviour.chunks as usize;
    let part = Bytes::from(body);
    let (sender, parts) = unbounded();
    tokio::spawn(async move {
        let _hold = hold;
        for index in 0..behaviour.chunks {
            tokio::time::sleep(PART_INTERVAL).await;
            let frame = match behaviour.cut_after {
                Some(cut) if index >= cut => Err(io::ErrorKind::ConnectionReset.into()),
                _ => Ok(Frame::data(part.clone())),
            };
            let is_cut = frame.is_err();
            if sender.unbounded_send(frame).is_err() || is_cut {
                return;
            }
        }
    });
    let mut response = stream(parts);
    if behaviour.announce_length {
        let headers = response.headers_mut();
        headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
    response
}

fn rejected(error: AdmissionError) -> StandinResponse {
    let mut response = text(StatusCode::SERVICE_UNAVAILABLE, error.reason());
    let reason = HeaderValue::from_static(error.reason());
    response
        .headers_mut()
        .insert("auburnsaddle-not-run", reason);
    response
}

fn header(request: &Request<Incoming>, name: &str) -> String {
    let value = request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}
