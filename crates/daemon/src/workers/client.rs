//! HTTP client for requests to workers.

use std::time::Duration;

use auburnsaddle_core::{NotRunReason, UnknownReason};
use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Serialize, de::DeserializeOwned};

use super::{
    messages::{
        AttemptName, AttemptStart, ClaimReport, CompletionReport, EventSequence, RejectReason,
        SyncReport, WorkerClient, WorkerOutcome, WorkerTarget,
    },
    wire::{
        AttemptReply, AttemptRequest, ClaimReply, ClaimRequest, CompletionItem, StartRequest,
        SyncReply, SyncRequest,
    },
};
use crate::hosts::{ExchangeFailure, admission_rejection, classify_failure};

/// Bounds a request; its outcome is unknown if there is no response by then.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Bounds a long poll for events, which a worker holds open for up to 20 s.
const EVENTS_TIMEOUT: Duration = Duration::from_secs(25);

/// Bounds the response body that is buffered; a worker runs a few thousand
/// attempts at most.
const RESPONSE_LIMIT_BYTES: usize = 1 << 20;

/// Sends requests to workers over HTTP/2, with one pooled connection per worker.
#[derive(Clone, Debug)]
pub(crate) struct HttpWorkers {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpWorkers {
    /// Returns a client that opens connections on the first request to each
    /// worker.
    pub(crate) fn new() -> Self {
        let client = Client::builder(TokioExecutor::new())
            .http2_only(true)
            // Without this, the pool would resend a start whose outcome is
            // unknown, although it may have run.
            .retry_canceled_requests(false)
            .build_http();
        Self { client }
    }

    async fn post<Q, R>(&self, target: &WorkerTarget, path: &str, payload: &Q) -> WorkerOutcome<R>
    where
        Q: Serialize + Sync,
        R: DeserializeOwned,
    {
        match serde_json::to_vec(payload) {
            Ok(body) => {
                let request = Request::builder().method(Method::POST);
                let request = request.uri(format!("http://{}{path}", target.address));
                self.exchange(request.body(Full::from(body)), REQUEST_TIMEOUT)
                    .await
            }
            Err(error) => {
                log::error!("failed to encode a request to a worker: {error}");
                WorkerOutcome::Rejected(RejectReason::Refused)
            }
        }
    }

    async fn exchange<R: DeserializeOwned>(
        &self,
        request: Result<Request<Full<Bytes>>, http::Error>,
        time_limit: Duration,
    ) -> WorkerOutcome<R> {
        let Ok(request) = request else {
            return WorkerOutcome::Rejected(RejectReason::Unreachable);
        };
        let exchange = async {
            match self.client.request(request).await {
                Ok(response) => decode_response(response).await,
                Err(error) => failure_outcome(classify_failure(&error)),
            }
        };
        tokio::time::timeout(time_limit, exchange)
            .await
            .unwrap_or(WorkerOutcome::Unknown(UnknownReason::DeadlinePassed))
    }
}

impl WorkerClient for HttpWorkers {
    async fn claim(&self, target: &WorkerTarget) -> WorkerOutcome<ClaimReport> {
        let request = ClaimRequest::new(target);
        let outcome = self.post(target, "/v1/claim", &request).await;
        outcome.map(|reply: ClaimReply| reply.into())
    }

    async fn start(&self, target: &WorkerTarget, start: &AttemptStart) -> WorkerOutcome<()> {
        let request = StartRequest::new(target, start);
        self.post(target, "/v1/start", &request).await
    }

    async fn stop(&self, target: &WorkerTarget, name: AttemptName) -> WorkerOutcome<bool> {
        let request = AttemptRequest::new(target, name, 0);
        let outcome = self.post(target, "/v1/stop", &request).await;
        outcome.map(|reply: AttemptReply| reply.found)
    }

    async fn checkpoint(&self, target: &WorkerTarget, name: AttemptName) -> WorkerOutcome<bool> {
        let request = AttemptRequest::new(target, name, 0);
        let outcome = self.post(target, "/v1/checkpoint", &request).await;
        outcome.map(|reply: AttemptReply| reply.found)
    }

    async fn throttle(
        &self,
        target: &WorkerTarget,
        name: AttemptName,
        cpu_milli: u64,
    ) -> WorkerOutcome<bool> {
        let request = AttemptRequest::new(target, name, cpu_milli);
        let outcome = self.post(target, "/v1/throttle", &request).await;
        outcome.map(|reply: AttemptReply| reply.found)
    }

    async fn sync(
        &self,
        target: &WorkerTarget,
        lease: Duration,
        after: EventSequence,
    ) -> WorkerOutcome<SyncReport> {
        let request = SyncRequest::new(target, lease, after);
        let outcome = self.post(target, "/v1/sync", &request).await;
        outcome.map(|reply: SyncReply| reply.into())
    }

    async fn events(
        &self,
        target: &WorkerTarget,
        after: EventSequence,
    ) -> WorkerOutcome<Vec<CompletionReport>> {
        let uri = format!("http://{}/v1/events?after={after}", target.address);
        let request = Request::get(uri).body(Full::default());
        let outcome = self.exchange(request, EVENTS_TIMEOUT).await;
        outcome.map(|items: Vec<CompletionItem>| items.into_iter().map(Into::into).collect())
    }
}

impl<T> WorkerOutcome<T> {
    /// Transforms the value of an admitted request.
    pub(crate) fn map<U, F: FnOnce(T) -> U>(self, transform: F) -> WorkerOutcome<U> {
        match self {
            Self::Admitted(value) => WorkerOutcome::Admitted(transform(value)),
            Self::Rejected(reason) => WorkerOutcome::Rejected(reason),
            Self::Unknown(reason) => WorkerOutcome::Unknown(reason),
        }
    }
}

/// Decodes a response. The outcome is unknown if the response is incomplete or
/// malformed, because the worker may have acted on the request.
async fn decode_response<R: DeserializeOwned>(response: Response<Incoming>) -> WorkerOutcome<R> {
    match admission_rejection(&response) {
        Some("fenced") => return WorkerOutcome::Rejected(RejectReason::Fenced),
        Some("full") => return WorkerOutcome::Rejected(RejectReason::Full),
        Some(_) => return WorkerOutcome::Rejected(RejectReason::Refused),
        None => {}
    }
    if !response.status().is_success() {
        log::warn!("a worker responded with status {}", response.status());
        return WorkerOutcome::Unknown(UnknownReason::TargetReset);
    }
    let body = Limited::new(response.into_body(), RESPONSE_LIMIT_BYTES);
    let Ok(collected) = body.collect().await else {
        return WorkerOutcome::Unknown(UnknownReason::ConnectionLost);
    };
    match serde_json::from_slice(&collected.to_bytes()) {
        Ok(reply) => WorkerOutcome::Admitted(reply),
        Err(error) => {
            log::warn!("a worker's response is malformed: {error}; check the worker's version");
            WorkerOutcome::Unknown(UnknownReason::TargetReset)
        }
    }
}

const fn failure_outcome<R>(failure: ExchangeFailure) -> WorkerOutcome<R> {
    match failure {
        ExchangeFailure::NotRun(NotRunReason::TargetUnreachable) => {
            WorkerOutcome::Rejected(RejectReason::Unreachable)
        }
        ExchangeFailure::NotRun(_) => WorkerOutcome::Rejected(RejectReason::Refused),
        ExchangeFailure::Unknown(reason) => WorkerOutcome::Unknown(reason),
    }
}
