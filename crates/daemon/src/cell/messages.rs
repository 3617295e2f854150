//! Events and queries that other tasks send to the control thread.

use std::{sync::Arc, time::Duration};

use auburnsaddle_core::{AdviceReport, PipelineEvent, PipelineId, ServiceId, StepKey};
use auburnsaddle_platform::{HttpEndpoint, Manifest, StoreItem, TransactionOutcome};
use tokio::sync::{mpsc, oneshot};

use crate::{
    job_table::JobSummary,
    pipelines::{AcquireOutcome, JobNotice, WriteNumber},
    session::{LeaseUpdate, PrefixUpdate},
    witness::{EpochNotice, EpochReply},
};

/// The outcome of a request for advice about a step, and the daemon that sent it.
#[derive(Debug)]
pub(crate) struct AdviceOutcome {
    /// The daemon that sent the request to the advice service.
    pub(crate) daemon: String,
    /// Expected time of the request, which is subtracted from the daemon's backlog.
    pub(crate) cost_ms: u64,
    pub(crate) step: StepKey,
    /// The answer, or `None` if the request failed.
    pub(crate) report: Option<AdviceReport>,
    pub(crate) arrived_at: Duration,
}

/// The known state of a job, and the daemon that has a newer one.
#[derive(Clone, Debug, Default)]
pub(crate) struct JobLookup {
    pub(crate) summary: Option<JobSummary>,
    /// The owner of its service, unless that is this daemon or the job has ended.
    pub(crate) owner: Option<HttpEndpoint>,
}

/// An answer of the store about the quota records of teams.
#[derive(Debug)]
pub(crate) enum QuotaUpdate {
    /// Records changed.
    Changed(PrefixUpdate),
    /// The reading with this number has ended. `None` if the store did not answer.
    Read(u64, Option<Vec<StoreItem>>),
    /// The outcome of a change that this owner has sent.
    Written(TransactionOutcome),
}

/// An input to the control thread. Events of an owned service carry the service and
/// the epoch of the ownership; events of an earlier epoch are ignored.
#[derive(Debug)]
pub(crate) enum CellEvent {
    /// An input to the scheduling state of an owned service.
    Pipeline(ServiceId, u64, PipelineEvent),
    /// The daemon's lease was granted, extended or lost.
    Lease(LeaseUpdate),
    /// Replies once all earlier events are handled.
    Flush(oneshot::Sender<()>),
    /// The owners of the services and the members of the cell changed.
    Membership(PrefixUpdate),
    /// Job summaries changed.
    Summaries(PrefixUpdate),
    /// Jobs of an owned service were stored or cancelled.
    Jobs(ServiceId, u64, PrefixUpdate),
    /// The platform's list of workers changed.
    Workers(ServiceId, u64, PrefixUpdate),
    /// The manifest was read at this revision. Contains its newer version, unless that is invalid.
    Manifest(Option<Arc<Manifest>>, u64),
    /// An input to the quotas of an owned service.
    Quotas(ServiceId, u64, QuotaUpdate),
    /// The outcome of a takeover under the lease with this identifier.
    Acquired(ServiceId, u64, AcquireOutcome),
    /// The outcome of a commit of an owned service.
    Committed(ServiceId, u64, TransactionOutcome),
    /// The outcome of the release of an owned service.
    Released(ServiceId, u64, TransactionOutcome),
    /// The outcome of a write of job summaries.
    SummariesWritten(ServiceId, u64, WriteNumber, TransactionOutcome),
    /// The outcome of a removal of summaries that no owner removed with its commits.
    SummariesRemoved(TransactionOutcome),
    /// The outcome of a request for advice.
    Advised(ServiceId, u64, AdviceOutcome),
    /// This daemon has stored a job or a cancellation request.
    JobStored(JobNotice),
    /// Other daemons have stored jobs or cancellation requests of services that this daemon
    /// owns.
    PeerNotices(Vec<JobNotice>),
    /// A job was accepted by this daemon, or its summary was read from a peer or the
    /// store.
    JobAccepted(PipelineId, JobSummary),
    /// Another daemon announces its ownership of a service. Replies as a witness.
    EpochAnnounced(EpochNotice, oneshot::Sender<EpochReply>),
    /// A witness has answered the announcement of an owned service that was sent at the given
    /// time.
    EpochAnswered(ServiceId, u64, Duration, EpochReply),
    /// Query: the summary of a job.
    GetSummary(PipelineId, oneshot::Sender<Option<JobSummary>>),
    /// Query: the summary of a job, and the owner of its service until the job ends.
    FindJob(PipelineId, oneshot::Sender<JobLookup>),
    /// Query: the daemon that owns a service, if that is another one.
    FindOwner(ServiceId, oneshot::Sender<Option<HttpEndpoint>>),
    /// Query: the number of jobs of a queue that have not started.
    CountWaiting(String, oneshot::Sender<u64>),
    /// Query: the state of the control thread as JSON, for operators.
    Dump(oneshot::Sender<String>),
    /// The process is about to stop: release the owned services and reply when that is
    /// done.
    Drain(oneshot::Sender<()>),
}

/// Sends events and queries to the control thread.
#[derive(Clone, Debug)]
pub(crate) struct CellHandle {
    events: mpsc::Sender<CellEvent>,
}

impl CellHandle {
    pub(crate) const fn new(events: mpsc::Sender<CellEvent>) -> Self {
        Self { events }
    }

    /// Returns the summary of a job, if this daemon has it.
    pub(crate) async fn summary(&self, id: PipelineId) -> Option<JobSummary> {
        self.send_request(|reply| CellEvent::GetSummary(id, reply))
            .await
            .flatten()
    }

    /// Returns the summary of a job, and the owner to ask for a newer one.
    pub(crate) async fn lookup(&self, id: PipelineId) -> JobLookup {
        let lookup = self
            .send_request(|reply| CellEvent::FindJob(id, reply))
            .await;
        lookup.unwrap_or_default()
    }

    /// Returns the owner of a service, if that is another daemon.
    pub(crate) async fn owner(&self, service: &ServiceId) -> Option<HttpEndpoint> {
        let service = service.clone();
        self.send_request(|reply| CellEvent::FindOwner(service, reply))
            .await
            .flatten()
    }

    /// Returns the number of jobs of a queue that have not started.
    pub(crate) async fn waiting_jobs(&self, queue: &str) -> u64 {
        let queue = queue.to_owned();
        let count = self
            .send_request(|reply| CellEvent::CountWaiting(queue, reply))
            .await;
        count.unwrap_or_default()
    }

    /// Returns the state of the control thread as JSON.
    pub(crate) async fn dump(&self) -> String {
        self.send_request(CellEvent::Dump).await.unwrap_or_default()
    }

    /// Makes the control thread release the owned services. Returns when their commits
    /// are durable or the time for a drain is over.
    pub(crate) async fn drain(&self) {
        let _ = self.send_request(CellEvent::Drain).await;
    }

    /// Adds the summary of an accepted job, before the watch delivers it.
    pub(crate) async fn add_accepted_job(&self, id: PipelineId, summary: JobSummary) {
        // The send fails only if the control thread has ended, as the process stops.
        let _ = self.events.send(CellEvent::JobAccepted(id, summary)).await;
    }

    /// Passes a job or a cancellation request that was stored on to the owner.
    pub(crate) async fn notify_owner(&self, notice: JobNotice) {
        let _ = self.events.send(CellEvent::JobStored(notice)).await;
    }

    /// Handles the notices of another daemon.
    pub(crate) async fn add_peer_notices(&self, notices: Vec<JobNotice>) {
        let _ = self.events.send(CellEvent::PeerNotices(notices)).await;
    }

    /// Handles the announcement of another daemon. Returns `None` if the control thread has
    /// ended.
    pub(crate) async fn announce_epoch(&self, notice: EpochNotice) -> Option<EpochReply> {
        self.send_request(|reply| CellEvent::EpochAnnounced(notice, reply))
            .await
    }

    /// Sends a query and waits for its reply; `None` if the control thread has ended.
    async fn send_request<T>(
        &self,
        event: impl FnOnce(oneshot::Sender<T>) -> CellEvent,
    ) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.events.send(event(reply)).await.ok()?;
        answer.await.ok()
    }
}
