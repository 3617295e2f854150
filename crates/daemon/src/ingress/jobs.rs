//! Submission, state and cancellation of jobs.

use std::{
    ops::RangeInclusive,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwapOption;
use auburnsaddle_core::{PipelineId, PipelinePhase};
use auburnsaddle_platform::{
    Manifest, QueueRoute, StoreTransaction, TransactionOutcome, decode_job, encode_pending,
    encode_phase, parse_job_id,
};
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;

use super::peers::ask_owner;
use super::serve::{HttpService, IngressResponse, empty, json, retry_later};
use crate::{
    board::JobSummary,
    cell::{CellHandle, CellMetrics},
    pipelines::{CellKey, decode_record, encode_record},
    session::{CellStore, StoreRoute},
    telemetry::unix_ms,
};

/// Time for the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// How long the outcome of a write is pursued if the caller does not tell.
const DEFAULT_PATIENCE: Duration = Duration::from_millis(2_400);

/// Part of the caller's time that is left for the answer's way.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);

/// Delay before a write that the store refused is sent again.
const REFUSED_DELAY: Duration = Duration::from_millis(120);

/// Writes that are sent again after a refusal of the store.
const REFUSED_TRIES: u32 = 2;

/// Bounds of the Retry-After of a daemon without a manifest or a store, in seconds.
/// It is drawn, so that callers do not come back together.
const RETRY_SECONDS: RangeInclusive<u64> = 1..=3;

/// How long the outcome of a write is pursued once the store is away.
const OUTAGE_PATIENCE: Duration = Duration::from_millis(700);

/// How long the caller waits for an answer.
const PATIENCE_HEADER: &str = "x-deadline-ms";

/// Serves the callers of jobs.
#[derive(Clone, Debug)]
pub(crate) struct JobService {
    pub(crate) manifest: Arc<ArcSwapOption<Manifest>>,
    pub(crate) store: CellStore,
    pub(crate) route: StoreRoute,
    pub(crate) control: CellHandle,
    pub(crate) draining: Arc<AtomicBool>,
    pub(crate) metrics: CellMetrics,
}

/// The outcome of a write for a caller.
enum WriteOutcome {
    Done,
    Exists,
    /// Nothing was written.
    Refused,
    /// It may have been written, or may be written later.
    Unknown,
}

impl HttpService for JobService {
    async fn answer(&self, request: Request<Incoming>) -> IngressResponse {
        let started_at = Instant::now();
        let method = request.method().clone();
        let answer = self.route(request).await;
        let status = answer.status();
        self.metrics
            .note_request(method.as_str(), status, started_at.elapsed());
        answer
    }

    fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }
}

impl JobService {
    async fn route(&self, request: Request<Incoming>) -> IngressResponse {
        let Some(manifest) = self.manifest.load_full() else {
            self.metrics.note_refusal("no_manifest");
            return retry_later(StatusCode::SERVICE_UNAVAILABLE, retry_seconds());
        };
        let host = request.headers().get(header::HOST);
        let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
        let path = request.uri().path().to_owned();
        let Some(route) = manifest.route(host, &path) else {
            log::debug!(host, path = path.as_str(), version = manifest.version; "no such queue");
            self.metrics.note_refusal("no_queue");
            return empty(StatusCode::NOT_FOUND);
        };
        let name = path.strip_prefix(&route.prefix).unwrap_or_default();
        let id = parse_job_id(name);
        match (request.method().clone(), id) {
            (Method::POST, Some(id)) => self.submit(request, &manifest, route, id).await,
            (Method::GET, Some(id)) => self.show(id).await,
            (Method::DELETE, Some(id)) => self.cancel(&request, id).await,
            (Method::GET, None) if name.is_empty() => {
                let waiting = self.control.waiting(&route.policy.queue).await;
                json(StatusCode::OK, encode_pending(waiting))
            }
            (Method::POST | Method::GET | Method::DELETE, None) => {
                log::info!(path = path.as_str(); "rejected a request: its path ends with no job id");
                self.metrics.note_refusal("no_id");
                empty(StatusCode::NOT_FOUND)
            }
            _ => empty(StatusCode::METHOD_NOT_ALLOWED),
        }
    }

    async fn submit(
        &self,
        request: Request<Incoming>,
        manifest: &Manifest,
        route: &QueueRoute,
        id: PipelineId,
    ) -> IngressResponse {
        let name = format!("{id:016x}");
        let patience = patience(&request);
        if self.route.is_away() {
            log::warn!(request_id = name.as_str(); "job not accepted: the store is away");
            self.metrics.note_refusal("store_away");
            return retry_later(StatusCode::SERVICE_UNAVAILABLE, retry_seconds());
        }
        let body = Limited::new(request.into_body(), manifest.limits.max_body_bytes).collect();
        let body = match tokio::time::timeout(BODY_TIMEOUT, body).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) if error.is::<LengthLimitError>() => {
                return self.reject(&name, "body_too_large", StatusCode::PAYLOAD_TOO_LARGE);
            }
            Ok(Err(_)) => return self.reject(&name, "body_broken", StatusCode::BAD_REQUEST),
            Err(_) => return self.reject(&name, "body_late", StatusCode::REQUEST_TIMEOUT),
        };
        let spec = match decode_job(&body, &route.policy, unix_ms()) {
            Ok(spec) => spec,
            Err(error) => {
                log::info!(request_id = name.as_str(); "rejected a job: {error}");
                return self.reject(&name, "malformed", StatusCode::BAD_REQUEST);
            }
        };
        if self.control.summary(id).await.is_some() {
            return empty(StatusCode::OK);
        }
        let summary = JobSummary::new(&spec, PipelinePhase::Queued);
        let summary_key = CellKey::Summary(id).path();
        let job_key = CellKey::Job(spec.policy.service.clone(), id).path();
        let transaction = StoreTransaction {
            expected: vec![(summary_key.clone(), 0)],
            puts: vec![
                (summary_key, encode_record(&summary), 0),
                (job_key, encode_record(&spec), 0),
            ],
            removals: Vec::new(),
        };
        let queue = route.policy.queue.as_str();
        match self.write(&transaction, patience).await {
            WriteOutcome::Done => {
                log::info!(
                    request_id = name.as_str(), queue, steps = spec.steps.len(),
                    version = manifest.version;
                    "job accepted"
                );
                self.control.note_accepted(id, summary).await;
                empty(StatusCode::OK)
            }
            WriteOutcome::Exists => empty(StatusCode::OK),
            WriteOutcome::Refused => {
                log::warn!(
                    request_id = name.as_str(), queue;
                    "job not accepted: the store refused the write"
                );
                self.metrics.note_refusal("store");
                retry_later(StatusCode::SERVICE_UNAVAILABLE, retry_seconds())
            }
            WriteOutcome::Unknown => {
                log::warn!(
                    request_id = name.as_str(), queue, patience_ms = patience.as_millis();
                    "job may have been accepted: the store did not answer in time"
                );
                self.metrics.note_refusal("unknown");
                empty(StatusCode::GATEWAY_TIMEOUT)
            }
        }
    }

    fn reject(&self, name: &str, reason: &'static str, status: StatusCode) -> IngressResponse {
        log::info!(request_id = name, reason, status = status.as_u16(); "rejected a job");
        self.metrics.note_refusal(reason);
        empty(status)
    }

    async fn show(&self, id: PipelineId) -> IngressResponse {
        let lookup = self.control.lookup(id).await;
        if let Some(owner) = &lookup.owner
            && let Some(summary) = ask_owner(owner, id).await
        {
            let newest = lookup
                .summary
                .map_or(summary.phase, |row| row.phase.max(summary.phase));
            self.control.note_accepted(id, summary).await;
            return json(StatusCode::OK, encode_phase(newest));
        }
        match self.find(id).await {
            Ok(Some(summary)) => json(StatusCode::OK, encode_phase(summary.phase)),
            Ok(None) => empty(StatusCode::GONE),
            Err(()) => {
                log::info!(
                    request_id = format!("{id:016x}").as_str();
                    "the state of a job is not known: the store did not answer"
                );
                self.metrics.note_refusal("store");
                retry_later(StatusCode::SERVICE_UNAVAILABLE, retry_seconds())
            }
        }
    }

    /// Returns the summary of a job, from the store if this daemon has none yet.
    async fn find(&self, id: PipelineId) -> Result<Option<JobSummary>, ()> {
        if let Some(summary) = self.control.summary(id).await {
            return Ok(Some(summary));
        }
        if self.route.is_away() {
            return Err(());
        }
        let key = CellKey::Summary(id).path();
        // The client counts and logs the failure.
        let item = self.store.read(&key).await.map_err(|_| ())?;
        let summary: Option<JobSummary> =
            item.and_then(|item| decode_record(&item.key, &item.value));
        if let Some(summary) = &summary {
            self.control.note_accepted(id, summary.clone()).await;
        }
        Ok(summary)
    }

    async fn cancel(&self, request: &Request<Incoming>, id: PipelineId) -> IngressResponse {
        let name = format!("{id:016x}");
        let patience = patience(request);
        let summary = match self.find(id).await {
            Ok(Some(summary)) => summary,
            Ok(None) => return empty(StatusCode::GONE),
            Err(()) => return retry_later(StatusCode::SERVICE_UNAVAILABLE, retry_seconds()),
        };
        if summary.phase.is_final() {
            return empty(StatusCode::OK);
        }
        let key = CellKey::Cancellation(summary.service.clone(), id).path();
        let transaction = StoreTransaction {
            puts: vec![(key, Vec::new(), 0)],
            ..StoreTransaction::default()
        };
        match self.write(&transaction, patience).await {
            WriteOutcome::Done | WriteOutcome::Exists => {
                log::info!(
                    request_id = name.as_str(), phase = summary.phase.name();
                    "cancellation accepted"
                );
                empty(StatusCode::OK)
            }
            WriteOutcome::Refused => retry_later(StatusCode::SERVICE_UNAVAILABLE, retry_seconds()),
            WriteOutcome::Unknown => empty(StatusCode::GATEWAY_TIMEOUT),
        }
    }

    /// Writes until the outcome is known or the caller's time is over. The
    /// conditions of the transaction make repeating it harmless.
    async fn write(&self, transaction: &StoreTransaction, patience: Duration) -> WriteOutcome {
        let started_at = Instant::now();
        let mut refusals = 0;
        let mut is_unknown = false;
        loop {
            match self.store.commit(transaction).await {
                TransactionOutcome::Done(_) => return WriteOutcome::Done,
                TransactionOutcome::Conflict(_) => return WriteOutcome::Exists,
                TransactionOutcome::Unknown => is_unknown = true,
                TransactionOutcome::Refused | TransactionOutcome::NoLease => {
                    refusals += 1;
                    if refusals > REFUSED_TRIES && !is_unknown {
                        return WriteOutcome::Refused;
                    }
                    tokio::time::sleep(REFUSED_DELAY).await;
                }
            }
            let is_hopeless = self.route.is_away() && started_at.elapsed() > OUTAGE_PATIENCE;
            match started_at.elapsed() < patience && !is_hopeless {
                true => {}
                false if is_unknown => return WriteOutcome::Unknown,
                false => return WriteOutcome::Refused,
            }
        }
    }
}

fn retry_seconds() -> u64 {
    rand::random_range(RETRY_SECONDS)
}

/// Returns how long the outcome of a write may be pursued.
fn patience(request: &Request<Incoming>) -> Duration {
    let header = request.headers().get(PATIENCE_HEADER);
    let text = header.and_then(|value| value.to_str().ok());
    let given = text
        .and_then(|text| text.parse().ok())
        .map(Duration::from_millis);
    let patience = given.map_or(DEFAULT_PATIENCE, |given| {
        given.saturating_sub(ANSWER_MARGIN)
    });
    patience.min(DEFAULT_PATIENCE)
}
