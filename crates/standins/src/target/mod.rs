/*!
Runners, which answer short calls.

A runner rejects a call when all of its slots are busy or when the call carries
an epoch lower than the highest one it has seen for the shard. Both rejections
happen before anything runs and say so in the `Auburnsaddle-Not-Run` header.
*/

mod state;

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use http::{HeaderValue, Request, StatusCode};
use hyper::body::Incoming;

pub use state::{AdmissionError, RunnerState};

use crate::http::{FullResponse, json, read_body, text};

/// The state that all connections of a runner share.
pub type SharedRunner = Arc<Mutex<RunnerState>>;

/// Answers one call after `work_time`.
pub async fn handle_call(
    runner: SharedRunner,
    work_time: Duration,
    request: Request<Incoming>,
) -> FullResponse {
    let shard = header(&request, "auburnsaddle-shard");
    let epoch = header(&request, "auburnsaddle-epoch").parse().unwrap_or(0);
    let request_id = header(&request, "auburnsaddle-request-id");
    if request.uri().path() == "/starts" {
        return json(&lock(&runner).starts());
    }
    let admitted = lock(&runner).admit(&shard, epoch, &request_id);
    if let Err(error) = admitted {
        return rejected(error);
    }
    let body = read_body(request.into_body()).await;
    tokio::time::sleep(work_time).await;
    lock(&runner).finish();
    match body {
        Ok(body) => text(
            StatusCode::OK,
            &format!("done: {}", String::from_utf8_lossy(&body)),
        ),
        Err(response) => response,
    }
}

fn rejected(error: AdmissionError) -> FullResponse {
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

fn lock(runner: &SharedRunner) -> std::sync::MutexGuard<'_, RunnerState> {
    runner.lock().unwrap_or_else(PoisonError::into_inner)
}
