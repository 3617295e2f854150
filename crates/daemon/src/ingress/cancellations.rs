//! Requests of callers that cancel jobs, and submissions of jobs that were cancelled before.
//!
//! Failure mode: the store carries a submission out seconds after it was sent, and its caller
//! has cancelled the job by then. That no such job exists would be false. A cancellation of a
//! job that the store does not have therefore writes a mark under the key of its summary, on
//! which a late submission fails. The answer is 410 only once the mark is stored.
//!
//! The owner of the service removes marks after a time, as it does with the summaries of ended
//! jobs.

use std::time::Duration;

use auburnsaddle_core::{PipelineId, PipelinePhase, PipelineSpec, TeamId};
use auburnsaddle_platform::{QueueRoute, StoreItem, StoreTransaction};
use http::{Request, StatusCode};
use hyper::body::Incoming;

use super::access::is_visible;
use super::intake::request_intake;
use super::jobs::{JobService, WriteOutcome, retry_seconds, write_timeout};
use super::serve::{IngressResponse, empty_response, retry_response};
use crate::{
    job_table::JobSummary,
    pipelines::{CellKey, JobChange, JobNotice, decode_team_value, encode_team_value},
};

impl JobService {
    /// Stores a cancellation request, which the owner of the job's service carries out.
    /// A job that the store does not have is marked instead.
    pub(super) async fn cancel(
        &self,
        request: &Request<Incoming>,
        route: &QueueRoute,
        id: PipelineId,
        team: Option<TeamId>,
    ) -> IngressResponse {
        let request_id = format!("{id:016x}");
        let write_timeout = write_timeout(request);
        // From here on the cancellation may be stored.
        let protection = request_intake(request).map_or(Ok(()), |intake| intake.protect(0));
        if protection.is_err() {
            return failure_response(StatusCode::SERVICE_UNAVAILABLE);
        }
        let summary = match self.find_summary(id).await {
            Ok(Some(summary)) if !is_visible(&summary, team.as_ref()) => {
                return empty_response(StatusCode::GONE);
            }
            Ok(Some(summary)) => summary,
            Ok(None) => match self.mark_cancelled(id, route, team, write_timeout).await {
                Ok(summary) => summary,
                Err(status) => return failure_response(status),
            },
            Err(()) => return failure_response(StatusCode::SERVICE_UNAVAILABLE),
        };
        match summary.phase {
            _ if summary.is_mark() => return empty_response(StatusCode::GONE),
            phase if phase.is_final() => return empty_response(StatusCode::OK),
            _ => {}
        }
        let key = CellKey::Cancellation(summary.service.clone(), id).path();
        let transaction = StoreTransaction {
            puts: vec![(key, Vec::new(), 0)],
            ..StoreTransaction::default()
        };
        match self.commit_with_retries(&transaction, write_timeout).await {
            outcome @ (WriteOutcome::Done(_) | WriteOutcome::Exists(_)) => {
                log::info!(
                    request_id = request_id.as_str(), phase = summary.phase.name();
                    "cancellation accepted"
                );
                if let WriteOutcome::Done(revision) = outcome {
                    let notice = JobNotice {
                        service: summary.service,
                        id,
                        revision,
                        team: None,
                        change: JobChange::Cancelled,
                    };
                    self.control.notify_owner(notice).await;
                }
                empty_response(StatusCode::OK)
            }
            WriteOutcome::Refused => failure_response(StatusCode::SERVICE_UNAVAILABLE),
            WriteOutcome::Unknown => failure_response(StatusCode::GATEWAY_TIMEOUT),
        }
    }

    /// Marks a job as cancelled that the store does not have. Returns the mark, or the summary
    /// if the store has the job by now, or else the status of the response.
    async fn mark_cancelled(
        &self,
        id: PipelineId,
        route: &QueueRoute,
        team: Option<TeamId>,
        write_timeout: Duration,
    ) -> Result<JobSummary, StatusCode> {
        let mark = JobSummary::mark(route.policy.service.clone(), team);
        let key = CellKey::Summary(id).path();
        let transaction = StoreTransaction {
            expected: vec![(key.clone(), 0)],
            puts: vec![(key, encode_team_value(&mark), 0)],
            removals: Vec::new(),
        };
        match self.commit_with_retries(&transaction, write_timeout).await {
            WriteOutcome::Done(_) => {
                log::info!(
                    request_id = format!("{id:016x}").as_str();
                    "marked a job as cancelled that the store does not have"
                );
                self.unresolved.remove(id);
                Ok(mark)
            }
            WriteOutcome::Exists(items) => {
                self.unresolved.remove(id);
                let summary = stored_summary(&items).map(|(summary, _)| summary);
                // A job or a mark of another team counts as none.
                let visible = summary.map(|summary| {
                    if is_visible(&summary, mark.team.as_ref()) {
                        summary
                    } else {
                        mark
                    }
                });
                visible.ok_or(StatusCode::GATEWAY_TIMEOUT)
            }
            WriteOutcome::Refused => Err(StatusCode::SERVICE_UNAVAILABLE),
            WriteOutcome::Unknown => Err(StatusCode::GATEWAY_TIMEOUT),
        }
    }

    /// Accepts a job that was marked as cancelled, at this revision, in its final state: the
    /// cancellation was answered, so it must not run.
    pub(super) async fn accept_cancelled_job(
        &self,
        id: PipelineId,
        spec: &PipelineSpec,
        revision: u64,
        write_timeout: Duration,
    ) -> IngressResponse {
        let summary = JobSummary::new(spec, PipelinePhase::Cancelled);
        let key = CellKey::Summary(id).path();
        let transaction = StoreTransaction {
            expected: vec![(key.clone(), revision)],
            puts: vec![(key, encode_team_value(&summary), 0)],
            removals: Vec::new(),
        };
        match self.commit_with_retries(&transaction, write_timeout).await {
            WriteOutcome::Done(_) => {
                log::info!(
                    request_id = format!("{id:016x}").as_str(), queue = summary.queue.as_str();
                    "accepted a job that was cancelled before"
                );
                self.control.add_accepted_job(id, summary).await;
                empty_response(StatusCode::OK)
            }
            WriteOutcome::Exists(items) => match stored_summary(&items) {
                Some((summary, _)) if !summary.is_mark() => empty_response(StatusCode::OK),
                // The mark was removed meanwhile. The caller submits the job again.
                _ => failure_response(StatusCode::GATEWAY_TIMEOUT),
            },
            WriteOutcome::Refused => failure_response(StatusCode::SERVICE_UNAVAILABLE),
            WriteOutcome::Unknown => failure_response(StatusCode::GATEWAY_TIMEOUT),
        }
    }
}

/// Returns the mark and its revision if that is what a submission has met in the store.
pub(super) fn stored_mark(items: &[StoreItem]) -> Option<(JobSummary, u64)> {
    stored_summary(items).filter(|(summary, _)| summary.is_mark())
}

/// Returns the summary among the items of a failed condition, with its revision.
pub(super) fn stored_summary(items: &[StoreItem]) -> Option<(JobSummary, u64)> {
    let is_summary =
        |item: &&StoreItem| matches!(CellKey::parse(&item.key), Some(CellKey::Summary(_)));
    let item = items.iter().find(is_summary)?;
    Some((decode_team_value(&item.key, &item.value)?, item.revision))
}

/// Returns the response to a request whose write failed with this status.
fn failure_response(status: StatusCode) -> IngressResponse {
    match status {
        StatusCode::SERVICE_UNAVAILABLE => retry_response(status, retry_seconds()),
        _ => empty_response(status),
    }
}
