//! Requests of the balancer and of other daemons.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use auburnsaddle_core::PipelineId;
use auburnsaddle_platform::{AdviceClient, HttpEndpoint};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use super::serve::{HttpService, IngressResponse, empty, json};
use crate::{
    board::JobSummary,
    cell::{CellHandle, CellMetrics},
    pipelines::{PeerAnswer, PeerQuestion},
    session::{RelayedCall, StoreRoute},
};

/// Largest question: an identifier and a hundred workers.
const QUESTION_LIMIT: usize = 64 << 10;

/// Where a daemon tells what it knows of a job.
const PHASE_PATH: &str = "/phase";

/// Time for the owner of a service to tell a phase: two ways between zones.
const PHASE_LIMIT: Duration = Duration::from_millis(150);

/// Largest call to the store: a few jobs in one transaction.
const CALL_LIMIT: usize = 4 << 20;

/// Answers the balancer.
#[derive(Clone, Debug)]
pub(crate) struct ReadyService {
    pub(crate) ready: Arc<AtomicBool>,
}

/// Answers other daemons and operators.
#[derive(Clone, Debug)]
pub(crate) struct PeerService {
    pub(crate) advice: Option<AdviceClient>,
    pub(crate) route: StoreRoute,
    pub(crate) control: CellHandle,
    pub(crate) metrics: CellMetrics,
}

impl HttpService for ReadyService {
    async fn answer(&self, _: Request<Incoming>) -> IngressResponse {
        if self.ready.load(Ordering::Relaxed) {
            empty(StatusCode::OK)
        } else {
            empty(StatusCode::SERVICE_UNAVAILABLE)
        }
    }
}

impl HttpService for PeerService {
    async fn answer(&self, request: Request<Incoming>) -> IngressResponse {
        match request.uri().path() {
            "/advice" => self.advise(request).await,
            "/store" => self.relay(request).await,
            PHASE_PATH => self.tell_phase(request).await,
            "/metrics" => json(StatusCode::OK, self.metrics.page().into_bytes()),
            "/dump" => json(StatusCode::OK, self.control.dump().await.into_bytes()),
            _ => empty(StatusCode::NOT_FOUND),
        }
    }
}

/// Asks the owner of a job's service for its summary; nothing if it does not answer.
pub(super) async fn ask_owner(owner: &HttpEndpoint, id: PipelineId) -> Option<JobSummary> {
    let body = serde_json::to_vec(&id).ok()?;
    // Without an answer the caller is told what this daemon knows.
    let answer = owner
        .post_json(PHASE_PATH, body, PHASE_LIMIT)
        .await
        .ok()??;
    match serde_json::from_slice(&answer) {
        Ok(summary) => Some(summary),
        Err(error) => {
            log::warn!("a peer's summary cannot be decoded: {error}");
            None
        }
    }
}

impl PeerService {
    /// Tells what this daemon knows of a job.
    async fn tell_phase(&self, request: Request<Incoming>) -> IngressResponse {
        let body = Limited::new(request.into_body(), QUESTION_LIMIT).collect();
        let Ok(body) = body.await else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let Ok(id) = serde_json::from_slice(&body.to_bytes()) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let summary = self.control.summary(id).await;
        match summary.map(|summary| serde_json::to_vec(&summary)) {
            Some(Ok(body)) => json(StatusCode::OK, body),
            Some(Err(_)) | None => empty(StatusCode::NOT_FOUND),
        }
    }

    /// Makes a call to the store for a daemon that does not reach it.
    async fn relay(&self, request: Request<Incoming>) -> IngressResponse {
        let body = Limited::new(request.into_body(), CALL_LIMIT).collect();
        let Ok(body) = body.await else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let call: RelayedCall = match serde_json::from_slice(&body.to_bytes()) {
            Ok(call) => call,
            Err(error) => {
                log::warn!("a peer's call cannot be decoded: {error}");
                return empty(StatusCode::BAD_REQUEST);
            }
        };
        let answer = self.route.carry(call).await;
        match serde_json::to_vec(&answer) {
            Ok(body) => json(StatusCode::OK, body),
            Err(error) => {
                log::error!("the answer to a peer's call cannot be encoded: {error}");
                empty(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }

    async fn advise(&self, request: Request<Incoming>) -> IngressResponse {
        let body = Limited::new(request.into_body(), QUESTION_LIMIT).collect();
        let Ok(body) = body.await else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let question: PeerQuestion = match serde_json::from_slice(&body.to_bytes()) {
            Ok(question) => question,
            Err(error) => {
                log::warn!("a peer's question cannot be decoded: {error}");
                return empty(StatusCode::BAD_REQUEST);
            }
        };
        let Some(service) = &self.advice else {
            return empty(StatusCode::SERVICE_UNAVAILABLE);
        };
        let time_limit = Duration::from_millis(question.time_limit_ms);
        let answer = service
            .request_advice(&question.step, &question.workers, time_limit)
            .await;
        match answer.map(|report| serde_json::to_vec(&PeerAnswer::from(report))) {
            Some(Ok(body)) => json(StatusCode::OK, body),
            Some(Err(_)) | None => empty(StatusCode::SERVICE_UNAVAILABLE),
        }
    }
}
