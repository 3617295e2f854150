//! Requests of callers that submit, query or cancel jobs.

use std::{
    ops::RangeInclusive,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use auburnsaddle_core::{PipelineId, PipelinePhase, PipelineSpec, ServiceId, TeamId};
use auburnsaddle_platform::{
    JobIdError, Manifest, QueueRoute, StoreItem, StoreTransaction, TransactionOutcome, decode_job,
    encode_pending, encode_phase, parse_job_id,
};
use http::{Method, Request, StatusCode, header};
use hyper::body::Incoming;

use super::access::{AccessDenial, AccessPolicy, is_visible, unauthorized_response};
use super::cancellations::{stored_mark, stored_summary};
use super::intake::{BodyError, read_body, request_intake};
use super::peers::fetch_summary;
use super::serve::{HttpService, IngressResponse, empty_response, json_response, retry_response};
use super::unresolved::UnresolvedJobs;
use crate::{
    cell::{CellHandle, CellMetrics, CurrentManifest, ManifestCell},
    job_table::JobSummary,
    pipelines::{CellKey, JobChange, JobNotice, decode_team_value, encode_team_value},
    session::{CellStore, StoreRoute},
    telemetry::unix_ms,
};

/// Time limit for receiving the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time for which a write is retried, and the default if the caller gives no
/// time limit.
const MAX_WRITE_DURATION: Duration = Duration::from_millis(2_400);

/// Part of the caller's time limit that is reserved for sending the response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(300);

/// Delay before a write that the store refused is sent again.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(120);

/// Largest number of retries of a write that the store only refused.
const MAX_REFUSED_RETRIES: u32 = 2;

/// Range of the `Retry-After` values of a daemon without a manifest or a store, in
/// seconds. They are random, so that callers do not all retry at the same time.
const RETRY_SECONDS: RangeInclusive<u64> = 1..=3;

/// Longest time for which a write is retried while the store is unavailable.
const MAX_WRITE_DURATION_IN_OUTAGE: Duration = Duration::from_millis(700);

/// Header with the time in ms for which the caller waits for a response.
const TIMEOUT_HEADER: &str = "x-deadline-ms";

/// Handles the requests of callers that submit, query or cancel jobs.
#[derive(Clone, Debug)]
pub(crate) struct JobService {
    pub(crate) manifest: Arc<ManifestCell>,
    pub(crate) access: AccessPolicy,
    pub(crate) store: CellStore,
    pub(crate) route: StoreRoute,
    pub(crate) control: CellHandle,
    pub(crate) draining: Arc<AtomicBool>,
    pub(crate) metrics: CellMetrics,
    /// Jobs that this daemon may have stored without learning it.
    pub(crate) unresolved: UnresolvedJobs,
}

/// The outcome of a write after all retries.
pub(super) enum WriteOutcome {
    /// The transaction was committed at this revision.
    Done(u64),
    /// A condition failed because an earlier write has stored the keys. Contains their items.
    Exists(Vec<StoreItem>),
    /// Nothing was written.
    Refused,
    /// The transaction may have been committed, or may still be.
    Unknown,
}

impl HttpService for JobService {
    async fn handle(&self, request: Request<Incoming>) -> IngressResponse {
        let started_at = Instant::now();
        let method = request.method().clone();
        let response = self.dispatch_request(request).await;
        let status = response.status();
        self.metrics
            .record_request(method.as_str(), status, started_at.elapsed());
        response
    }

    fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }
}

impl JobService {
    /// Calls the handler for the method and path of a request.
    async fn dispatch_request(&self, request: Request<Incoming>) -> IngressResponse {
        let Some(current) = self.current_manifest().await else {
            self.metrics.record_refusal("no_manifest");
            return retry_response(StatusCode::SERVICE_UNAVAILABLE, retry_seconds());
        };
        let manifest = &current.manifest;
        let host = request.headers().get(header::HOST);
        let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
        let path = request.uri().path().to_owned();
        let Some(route) = manifest.route(host, &path) else {
            log::debug!(host, path = path.as_str(), version = manifest.version; "no such queue");
            self.metrics.record_refusal("no_queue");
            return empty_response(StatusCode::NOT_FOUND);
        };
        let id_text = path.strip_prefix(&route.prefix).unwrap_or_default();
        let team = match self.access.caller_team(request.headers(), route, &current) {
            Ok(team) => team,
            Err(denial) => return self.deny(id_text, &route.policy.queue, denial),
        };
        let id = parse_job_id(id_text);
        match (request.method().clone(), id) {
            (Method::POST, Ok(id)) => self.submit(request, manifest, route, id, team).await,
            (Method::GET, Ok(id)) => self.report_phase(id, team.as_ref()).await,
            (Method::DELETE, Ok(id)) => self.cancel(&request, route, id, team).await,
            (Method::GET, Err(_)) if id_text.is_empty() => {
                let waiting = self.control.waiting_jobs(&route.policy.queue).await;
                json_response(StatusCode::OK, encode_pending(waiting))
            }
            (Method::POST, Err(JobIdError::UpperCaseId)) => {
                self.reject(id_text, "upper_case_id", StatusCode::BAD_REQUEST)
            }
            // No job of such an identifier is ever accepted.
            (Method::GET | Method::DELETE, Err(JobIdError::UpperCaseId)) => {
                empty_response(StatusCode::GONE)
            }
            (Method::POST | Method::GET | Method::DELETE, Err(_)) => {
                log::info!(path = path.as_str(); "rejected a request: its path ends with no job id");
                self.metrics.record_refusal("no_id");
                empty_response(StatusCode::NOT_FOUND)
            }
            _ => empty_response(StatusCode::METHOD_NOT_ALLOWED),
        }
    }

    /// Returns the manifest by which a request is handled. If callers have keys, it waits for a short
    /// time for a confirmation of a version that was read long ago.
    async fn current_manifest(&self) -> Option<CurrentManifest> {
        let known = self.manifest.load()?;
        if self.access.needs_keys(&known) {
            self.manifest.load_confirmed().await
        } else {
            Some(known)
        }
    }

    /// Logs and counts a request without a valid key; returns the response. The key is not logged.
    fn deny(&self, id_text: &str, queue: &str, denial: AccessDenial) -> IngressResponse {
        let reason = denial.name();
        log::info!(request_id = id_text, queue, reason; "denied a request");
        self.metrics.record_refusal(reason);
        match denial {
            AccessDenial::MissingKey | AccessDenial::UnknownKey => unauthorized_response(),
            AccessDenial::UnconfirmedKeys => {
                retry_response(StatusCode::SERVICE_UNAVAILABLE, retry_seconds())
            }
        }
    }

    /// Stores a new job. A job that was accepted before is accepted again without effect,
    /// also while the store is unavailable.
    async fn submit(
        &self,
        request: Request<Incoming>,
        manifest: &Manifest,
        route: &QueueRoute,
        id: PipelineId,
        team: Option<TeamId>,
    ) -> IngressResponse {
        let request_id = format!("{id:016x}");
        let started_at = Instant::now();
        let write_timeout = write_timeout(&request);
        if self.route.is_unavailable() {
            return self
                .answer_without_store(id, &route.policy.service, team.as_ref())
                .await;
        }
        let intake = request_intake(&request);
        let body = read_body(request, manifest.limits.max_body_bytes);
        let body = match tokio::time::timeout(BODY_TIMEOUT, body).await {
            Ok(Ok(body)) => body,
            Ok(Err(BodyError::TooLarge)) => {
                return self.reject(&request_id, "body_too_large", StatusCode::PAYLOAD_TOO_LARGE);
            }
            Ok(Err(BodyError::Broken)) => {
                return self.reject(&request_id, "body_broken", StatusCode::BAD_REQUEST);
            }
            Ok(Err(BodyError::NoMemory)) => return self.refuse(id, "memory"),
            Err(_) => return self.reject(&request_id, "body_late", StatusCode::REQUEST_TIMEOUT),
        };
        let protection = intake.map_or(Ok(()), |intake| intake.protect(body.len()));
        if protection.is_err() {
            return self.refuse(id, "memory");
        }
        let spec = match decode_job(&body, &route.policy, unix_ms()) {
            Ok(spec) => PipelineSpec { team, ..spec },
            Err(error) => {
                log::info!(request_id = request_id.as_str(); "rejected a job: {error}");
                return self.reject(&request_id, "malformed", StatusCode::BAD_REQUEST);
            }
        };
        if let Some(known) = self.control.summary(id).await {
            return self.accept_again(id, &known, spec.team.as_ref());
        }
        let summary = JobSummary::new(&spec, PipelinePhase::Queued);
        let transaction = submission(id, &spec, &summary, 0);
        let queue = route.policy.queue.as_str();
        // From here on the job may be stored, also if the caller closes its connection and this
        // function does not continue.
        let was_unresolved = self.unresolved.contains(id, started_at);
        self.unresolved.insert(id, started_at);
        let mut outcome = self.commit_with_retries(&transaction, write_timeout).await;
        if let Some(revision) = foreign_mark(&outcome, spec.team.as_ref()) {
            let transaction = submission(id, &spec, &summary, revision);
            let write_timeout = write_timeout.saturating_sub(started_at.elapsed());
            outcome = self.commit_with_retries(&transaction, write_timeout).await;
        }
        match outcome {
            WriteOutcome::Done(revision) => {
                self.unresolved.remove(id);
                log::info!(
                    request_id = request_id.as_str(), queue, steps = spec.steps.len(),
                    team = spec.team.as_deref(), version = manifest.version;
                    "job accepted"
                );
                self.control.add_accepted_job(id, summary).await;
                let notice = JobNotice {
                    service: spec.policy.service.clone(),
                    id,
                    revision,
                    team: spec.team.clone(),
                    change: JobChange::Accepted(Arc::new(spec)),
                };
                self.control.notify_owner(notice).await;
                empty_response(StatusCode::OK)
            }
            WriteOutcome::Exists(items) => {
                self.unresolved.remove(id);
                match stored_summary(&items) {
                    Some((known, _)) if !known.is_mark() => {
                        self.accept_again(id, &known, spec.team.as_ref())
                    }
                    Some((mark, revision)) if is_visible(&mark, spec.team.as_ref()) => {
                        let write_timeout = write_timeout.saturating_sub(started_at.elapsed());
                        self.accept_cancelled_job(id, &spec, revision, write_timeout)
                            .await
                    }
                    // The key has changed while a mark was replaced. The caller submits again.
                    _ => empty_response(StatusCode::GATEWAY_TIMEOUT),
                }
            }
            WriteOutcome::Refused => {
                if !was_unresolved {
                    self.unresolved.remove(id);
                }
                self.refuse(id, "store")
            }
            WriteOutcome::Unknown => {
                log::warn!(
                    request_id = request_id.as_str(), queue,
                    patience_ms = write_timeout.as_millis();
                    "job may have been accepted: the store did not answer in time"
                );
                self.metrics.record_refusal("unknown");
                empty_response(StatusCode::GATEWAY_TIMEOUT)
            }
        }
    }

    /// Answers the submission of a job that is stored already.
    fn accept_again(
        &self,
        id: PipelineId,
        known: &JobSummary,
        team: Option<&TeamId>,
    ) -> IngressResponse {
        if is_visible(known, team) {
            return empty_response(StatusCode::OK);
        }
        self.reject(
            &format!("{id:016x}"),
            "id_of_other_team",
            StatusCode::CONFLICT,
        )
    }

    /// Answers the submission of a job that cannot be stored now: with success if the job
    /// is stored already, as this daemon or the owner of its service knows.
    async fn answer_without_store(
        &self,
        id: PipelineId,
        service: &ServiceId,
        team: Option<&TeamId>,
    ) -> IngressResponse {
        if let Some(known) = self.control.summary(id).await {
            return self.accept_again(id, &known, team);
        }
        if let Some(owner) = self.control.owner(service).await
            && let Some(known) = fetch_summary(&owner, id).await
        {
            let response = self.accept_again(id, &known, team);
            self.control.add_accepted_job(id, known).await;
            return response;
        }
        self.refuse(id, "store_away")
    }

    /// Answers a submission that was not stored. If an earlier one of the same job may have
    /// been, the answer is that the outcome is unknown.
    fn refuse(&self, id: PipelineId, reason: &'static str) -> IngressResponse {
        let request_id = format!("{id:016x}");
        if self.unresolved.contains(id, Instant::now()) {
            log::warn!(
                request_id = request_id.as_str(), reason;
                "job may have been accepted by an earlier request"
            );
            self.metrics.record_refusal("unknown");
            return empty_response(StatusCode::GATEWAY_TIMEOUT);
        }
        log::warn!(
            request_id = request_id.as_str(), reason;
            "job not accepted: there is no memory for it, or the store is unavailable or refused it"
        );
        self.metrics.record_refusal(reason);
        retry_response(StatusCode::SERVICE_UNAVAILABLE, retry_seconds())
    }

    /// Logs and counts a rejected job; returns the response.
    fn reject(&self, job_id: &str, reason: &'static str, status: StatusCode) -> IngressResponse {
        log::info!(request_id = job_id, reason, status = status.as_u16(); "rejected a job");
        self.metrics.record_refusal(reason);
        empty_response(status)
    }

    /// Returns the phase of a job, from the owner of its service if that is another
    /// daemon. A caller of another team learns nothing of the job.
    async fn report_phase(&self, id: PipelineId, team: Option<&TeamId>) -> IngressResponse {
        let lookup = self.control.lookup(id).await;
        if let Some(owner) = &lookup.owner
            && let Some(summary) = fetch_summary(owner, id).await
        {
            if !is_visible(&summary, team) {
                return empty_response(StatusCode::GONE);
            }
            let newest_phase = lookup
                .summary
                .map_or(summary.phase, |known| known.phase.max(summary.phase));
            self.control.add_accepted_job(id, summary).await;
            return json_response(StatusCode::OK, encode_phase(newest_phase));
        }
        match self.find_summary(id).await {
            Ok(Some(summary)) if summary.is_mark() || !is_visible(&summary, team) => {
                empty_response(StatusCode::GONE)
            }
            Ok(Some(summary)) => json_response(StatusCode::OK, encode_phase(summary.phase)),
            Ok(None) if self.unresolved.contains(id, Instant::now()) => {
                self.report_unknown_phase(id, "its submission has no outcome yet")
            }
            Ok(None) => empty_response(StatusCode::GONE),
            Err(()) => self.report_unknown_phase(id, "the store did not answer"),
        }
    }

    /// Logs and counts that the state of a job is not known; returns the response.
    fn report_unknown_phase(&self, id: PipelineId, reason: &'static str) -> IngressResponse {
        log::info!(
            request_id = format!("{id:016x}").as_str(), reason;
            "the state of a job is not known"
        );
        self.metrics.record_refusal("store");
        retry_response(StatusCode::SERVICE_UNAVAILABLE, retry_seconds())
    }

    /// Returns the summary of a job, read from the store if this daemon does not have it
    /// yet. Fails if the store does not respond.
    ///
    /// The summary of a job that was cancelled while the store had none is a mark.
    pub(super) async fn find_summary(&self, id: PipelineId) -> Result<Option<JobSummary>, ()> {
        if let Some(summary) = self.control.summary(id).await {
            self.unresolved.remove(id);
            return Ok(Some(summary));
        }
        if self.route.is_unavailable() {
            return Err(());
        }
        let key = CellKey::Summary(id).path();
        // The store client counts and logs the failure.
        let item = self.store.read(&key).await.map_err(|_| ())?;
        let summary: Option<JobSummary> =
            item.and_then(|item| decode_team_value(&item.key, &item.value));
        if let Some(summary) = &summary {
            self.unresolved.remove(id);
            self.control.add_accepted_job(id, summary.clone()).await;
        }
        Ok(summary)
    }

    /// Commits a transaction, with retries until its outcome is known or the time limit
    /// is reached. The transaction must be safe to repeat: its conditions or its values
    /// keep a second commit from changing anything.
    pub(super) async fn commit_with_retries(
        &self,
        transaction: &StoreTransaction,
        write_timeout: Duration,
    ) -> WriteOutcome {
        let started_at = Instant::now();
        let mut refused_count = 0;
        let mut is_unknown = false;
        loop {
            match self.store.commit(transaction).await {
                TransactionOutcome::Done(revision) => return WriteOutcome::Done(revision),
                TransactionOutcome::Conflict(items) => return WriteOutcome::Exists(items),
                TransactionOutcome::Unknown => is_unknown = true,
                TransactionOutcome::Refused | TransactionOutcome::NoLease => {
                    refused_count += 1;
                    if refused_count > MAX_REFUSED_RETRIES && !is_unknown {
                        return WriteOutcome::Refused;
                    }
                    tokio::time::sleep(WRITE_RETRY_DELAY).await;
                }
            }
            let has_outage_timed_out =
                self.route.is_unavailable() && started_at.elapsed() > MAX_WRITE_DURATION_IN_OUTAGE;
            match started_at.elapsed() < write_timeout && !has_outage_timed_out {
                true => {}
                false if is_unknown => return WriteOutcome::Unknown,
                false => return WriteOutcome::Refused,
            }
        }
    }
}

/// Returns the transaction that stores a job, on the condition that its summary has the given
/// revision: 0 if there is none.
fn submission(
    id: PipelineId,
    spec: &PipelineSpec,
    summary: &JobSummary,
    expected_revision: u64,
) -> StoreTransaction {
    let summary_key = CellKey::Summary(id).path();
    let job_key = CellKey::Job(spec.policy.service.clone(), id).path();
    StoreTransaction {
        expected: vec![(summary_key.clone(), expected_revision)],
        puts: vec![
            (summary_key, encode_team_value(summary), 0),
            (job_key, encode_team_value(spec), 0),
        ],
        removals: Vec::new(),
    }
}

/// Returns the revision of a mark that a submission has met, if a caller of another team left it.
/// It does not concern this job.
fn foreign_mark(outcome: &WriteOutcome, team: Option<&TeamId>) -> Option<u64> {
    let WriteOutcome::Exists(items) = outcome else {
        return None;
    };
    let (mark, revision) = stored_mark(items)?;
    (!is_visible(&mark, team)).then_some(revision)
}

/// Returns a random value for the `Retry-After` header.
pub(super) fn retry_seconds() -> u64 {
    rand::random_range(RETRY_SECONDS)
}

/// Returns the time for which a write may be retried, from the header of the caller.
pub(super) fn write_timeout(request: &Request<Incoming>) -> Duration {
    let header = request.headers().get(TIMEOUT_HEADER);
    let text = header.and_then(|value| value.to_str().ok());
    let caller_timeout = text
        .and_then(|text| text.parse().ok())
        .map(Duration::from_millis);
    let write_timeout = caller_timeout.map_or(MAX_WRITE_DURATION, |caller_timeout| {
        caller_timeout.saturating_sub(RESPONSE_MARGIN)
    });
    write_timeout.min(MAX_WRITE_DURATION)
}
