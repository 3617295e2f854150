//! Requests of the load balancer, of other daemons and of operators.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use auburnsaddle_core::{PipelineId, TeamId};
use auburnsaddle_platform::{AdviceClient, HttpEndpoint};
use http::{Request, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use super::intake::read_body;
use super::serve::{HttpService, IngressResponse, empty_response, json_response};
use crate::{
    cell::{CellHandle, CellMetrics},
    job_table::JobSummary,
    pipelines::{AdviceRequest, AdviceResponse, JobNotice, NOTICE_PATH},
    session::{RelayedCall, StoreRoute},
    witness::{EpochNotice, WITNESS_PATH},
};

/// Largest body of a summary or advice request: an identifier and a hundred workers.
const MAX_REQUEST_BYTES: usize = 64 << 10;

/// Path at which a daemon returns its summary of a job.
const SUMMARY_PATH: &str = "/phase";

/// Time limit for a summary from the owner of its service: the request and the response
/// may each cross zones.
const SUMMARY_TIMEOUT: Duration = Duration::from_millis(150);

/// Largest body of a relayed store call, a few jobs in one transaction, or of a request with
/// notices.
const MAX_JOB_REQUEST_BYTES: usize = 4 << 20;

/// A summary as one daemon sends it to another. Versions without teams ignore the team.
#[derive(Deserialize, Serialize)]
struct SummaryBody {
    #[serde(flatten)]
    summary: JobSummary,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    team: Option<TeamId>,
}

/// Handles the readiness checks of the load balancer.
#[derive(Clone, Debug)]
pub(crate) struct ReadyService {
    /// Set by the control thread.
    pub(crate) ready: Arc<AtomicBool>,
}

/// Handles the requests of other daemons and of operators.
#[derive(Clone, Debug)]
pub(crate) struct PeerService {
    pub(crate) advice: Option<AdviceClient>,
    pub(crate) route: StoreRoute,
    pub(crate) control: CellHandle,
    pub(crate) metrics: CellMetrics,
}

impl HttpService for ReadyService {
    async fn handle(&self, _: Request<Incoming>) -> IngressResponse {
        if self.ready.load(Ordering::Relaxed) {
            empty_response(StatusCode::OK)
        } else {
            empty_response(StatusCode::SERVICE_UNAVAILABLE)
        }
    }
}

impl HttpService for PeerService {
    async fn handle(&self, request: Request<Incoming>) -> IngressResponse {
        match request.uri().path() {
            "/advice" => self.relay_advice_request(request).await,
            "/store" => self.relay_store_call(request).await,
            SUMMARY_PATH => self.send_summary(request).await,
            NOTICE_PATH => self.accept_notices(request).await,
            WITNESS_PATH => self.confirm_epoch(request).await,
            "/metrics" => json_response(StatusCode::OK, self.metrics.encode_text().into_bytes()),
            "/dump" => json_response(StatusCode::OK, self.control.dump().await.into_bytes()),
            _ => empty_response(StatusCode::NOT_FOUND),
        }
    }
}

/// Fetches the summary of a job from the owner of its service. Returns `None` if the
/// owner does not respond in time or does not know the job.
pub(super) async fn fetch_summary(owner: &HttpEndpoint, id: PipelineId) -> Option<JobSummary> {
    let body = serde_json::to_vec(&id).ok()?;
    // Without a response, the caller receives the phase that this daemon knows.
    let response = owner
        .post_json(SUMMARY_PATH, body, SUMMARY_TIMEOUT)
        .await
        .ok()??;
    match serde_json::from_slice(&response) {
        Ok(SummaryBody { summary, team }) => Some(JobSummary { team, ..summary }),
        Err(error) => {
            log::warn!("a peer's summary cannot be decoded: {error}");
            None
        }
    }
}

impl PeerService {
    /// Returns this daemon's summary of a job.
    async fn send_summary(&self, request: Request<Incoming>) -> IngressResponse {
        let body = read_body(request, MAX_REQUEST_BYTES);
        let Ok(body) = body.await else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let Ok(id) = serde_json::from_slice(&body) else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let summary = self.control.summary(id).await;
        let body = summary.map(|mut summary| {
            let team = summary.team.take();
            serde_json::to_vec(&SummaryBody { summary, team })
        });
        match body {
            Some(Ok(body)) => json_response(StatusCode::OK, body),
            Some(Err(_)) | None => empty_response(StatusCode::NOT_FOUND),
        }
    }

    /// Accepts notices about jobs of the services that this daemon owns.
    async fn accept_notices(&self, request: Request<Incoming>) -> IngressResponse {
        let body = read_body(request, MAX_JOB_REQUEST_BYTES);
        let Ok(body) = body.await else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let mut notices: Vec<JobNotice> = match serde_json::from_slice(&body) {
            Ok(notices) => notices,
            Err(error) => {
                log::warn!("a peer's notices cannot be decoded: {error}");
                return empty_response(StatusCode::BAD_REQUEST);
            }
        };
        notices.iter_mut().for_each(JobNotice::restore_team);
        self.control.add_peer_notices(notices).await;
        empty_response(StatusCode::OK)
    }

    /// Answers the announcement of an ownership as a witness.
    async fn confirm_epoch(&self, request: Request<Incoming>) -> IngressResponse {
        let body = read_body(request, MAX_REQUEST_BYTES);
        let Ok(body) = body.await else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let notice: EpochNotice = match serde_json::from_slice(&body) {
            Ok(notice) => notice,
            Err(error) => {
                log::warn!("a peer's announcement cannot be decoded: {error}");
                return empty_response(StatusCode::BAD_REQUEST);
            }
        };
        let reply = self.control.announce_epoch(notice).await;
        match reply.map(|reply| serde_json::to_vec(&reply)) {
            Some(Ok(body)) => json_response(StatusCode::OK, body),
            Some(Err(_)) | None => empty_response(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    /// Makes a store call for a daemon that cannot reach the store.
    async fn relay_store_call(&self, request: Request<Incoming>) -> IngressResponse {
        let body = read_body(request, MAX_JOB_REQUEST_BYTES);
        let Ok(body) = body.await else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let call: RelayedCall = match serde_json::from_slice(&body) {
            Ok(call) => call,
            Err(error) => {
                log::warn!("a peer's store call cannot be decoded: {error}");
                return empty_response(StatusCode::BAD_REQUEST);
            }
        };
        let response = self.route.execute_for_peer(call).await;
        match serde_json::to_vec(&response) {
            Ok(body) => json_response(StatusCode::OK, body),
            Err(error) => {
                log::error!("the result of a peer's store call cannot be encoded: {error}");
                empty_response(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }

    /// Sends a request to the advice service for the owner of a service.
    async fn relay_advice_request(&self, request: Request<Incoming>) -> IngressResponse {
        let body = read_body(request, MAX_REQUEST_BYTES);
        let Ok(body) = body.await else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let request: AdviceRequest = match serde_json::from_slice(&body) {
            Ok(request) => request,
            Err(error) => {
                log::warn!("a peer's advice request cannot be decoded: {error}");
                return empty_response(StatusCode::BAD_REQUEST);
            }
        };
        let Some(service) = &self.advice else {
            return empty_response(StatusCode::SERVICE_UNAVAILABLE);
        };
        let time_limit = Duration::from_millis(request.time_limit_ms);
        let response = service
            .request_advice(&request.step, &request.workers, time_limit)
            .await;
        match response.map(|report| serde_json::to_vec(&AdviceResponse::from(report))) {
            Some(Ok(body)) => json_response(StatusCode::OK, body),
            Some(Err(_)) | None => empty_response(StatusCode::SERVICE_UNAVAILABLE),
        }
    }
}
