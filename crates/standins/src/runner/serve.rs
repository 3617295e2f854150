//! Request handlers of the runner.

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
    ConnectionCounts, HandlerResult, StandinResponse, json_response, read_body, stream_response,
    text_response,
};

/// Time before each chunk of a streamed response body.
const CHUNK_INTERVAL: Duration = Duration::from_millis(5);

/// A runner shared by all of its connections.
#[derive(Clone, Debug)]
pub struct SharedRunner {
    state: Arc<Mutex<RunnerState>>,
    connections: Arc<ConnectionCounts>,
}

/// Releases the slot of a call when dropped, which includes cancelled calls.
struct SlotGuard(SharedRunner);

impl SharedRunner {
    /// Returns an idle runner with the given number of slots.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            state: Arc::new(Mutex::new(RunnerState::new(slots))),
            connections: Arc::default(),
        }
    }

    /// Locks the state, also after a panic in another holder of the lock.
    pub fn lock(&self) -> MutexGuard<'_, RunnerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the connection counters, which the server updates.
    #[must_use]
    pub fn connections(&self) -> Arc<ConnectionCounts> {
        Arc::clone(&self.connections)
    }

    /// Returns a snapshot of all counters.
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

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.0.lock().release_slot();
    }
}

/// Handles one request.
///
/// # Errors
///
/// Returns an error, which resets the stream, if
/// [`RunnerBehaviour::refuse_stream`] is set.
pub async fn handle(runner: SharedRunner, request: Request<Incoming>) -> HandlerResult {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/starts") => Ok(json_response(&runner.lock().starts())),
        (&Method::GET, "/counts") => Ok(json_response(&runner.counts())),
        (&Method::PUT, "/control/behaviour") => Ok(set_behaviour(&runner, request).await),
        (&Method::GET, path) if path.starts_with("/auburnsaddle/requests/") => {
            let key = path.trim_start_matches("/auburnsaddle/requests/");
            Ok(json_response(&runner.lock().query_key(key)))
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
            text_response(StatusCode::NO_CONTENT, "")
        }
        Err(error) => text_response(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

async fn handle_call(runner: SharedRunner, request: Request<Incoming>) -> HandlerResult {
    let shard = header_text(&request, "auburnsaddle-shard");
    let epoch = header_text(&request, "auburnsaddle-epoch")
        .parse()
        .unwrap_or(0);
    let request_id = header_text(&request, "auburnsaddle-request-id");
    let key = header_text(&request, "idempotency-key");
    let content_type = request.headers().get(CONTENT_TYPE).cloned();
    let behaviour = runner.lock().behaviour;
    if behaviour.refuse_stream {
        return Err(h2::Error::from(h2::Reason::REFUSED_STREAM));
    }
    let admitted = runner.lock().admit(&shard, epoch, &request_id);
    if let Err(error) = admitted {
        return Ok(rejection_response(error));
    }
    let guard = SlotGuard(runner.clone());
    runner.lock().deadline_ms = header_text(&request, "auburnsaddle-deadline-ms")
        .parse()
        .ok();
    runner.lock().record_key(key.clone(), None);
    let body = match read_body(request.into_body()).await {
        Ok(body) => body,
        Err(response) => return Ok(response),
    };
    tokio::time::sleep(Duration::from_millis(behaviour.work_ms)).await;
    let body = format!("done: {}", String::from_utf8_lossy(&body));
    runner.lock().record_key(key, Some(body.clone()));
    let mut response = match behaviour.chunks {
        0 => text_response(StatusCode::OK, &body),
        _ => chunked_response(behaviour, body, guard),
    };
    // The response has the content type of the request.
    if let Some(content_type) = content_type {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    Ok(response)
}

/// Streams a body in chunks; the slot is released after the last chunk.
fn chunked_response(behaviour: RunnerBehaviour, body: String, guard: SlotGuard) -> StandinResponse {
    let length = body.len() * behaviour.chunks as usize;
    let chunk = Bytes::from(body);
    let (sender, chunks) = unbounded();
    tokio::spawn(async move {
        let _guard = guard;
        for index in 0..behaviour.chunks {
            tokio::time::sleep(CHUNK_INTERVAL).await;
            let frame = match behaviour.cut_after {
                Some(cut) if index >= cut => Err(io::ErrorKind::ConnectionReset.into()),
                _ => Ok(Frame::data(chunk.clone())),
            };
            let is_cut = frame.is_err();
            if sender.unbounded_send(frame).is_err() || is_cut {
                return;
            }
        }
    });
    let mut response = stream_response(chunks);
    if behaviour.announce_length {
        let headers = response.headers_mut();
        headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
    response
}

fn rejection_response(error: AdmissionError) -> StandinResponse {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, error.reason());
    let reason = HeaderValue::from_static(error.reason());
    response
        .headers_mut()
        .insert("auburnsaddle-not-run", reason);
    response
}

fn header_text(request: &Request<Incoming>, name: &str) -> String {
    let value = request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}
