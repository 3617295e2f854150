//! Messages to the control thread.

use std::{sync::Arc, time::Duration};

use auburnsaddle_core::{AdviceReport, PipelineEvent, PipelineId, ServiceId, StepKey};
use auburnsaddle_platform::{HttpEndpoint, Manifest, TransactionOutcome};
use tokio::sync::{mpsc, oneshot};

use crate::{
    job_table::JobSummary,
    pipelines::AcquireOutcome,
    session::{FeedNews, SessionNews},
};

/// An answer about a step, and the daemon that asked for it.
#[derive(Debug)]
pub(crate) struct AdviceOutcome {
    pub(crate) daemon: String,
    pub(crate) cost_ms: u64,
    pub(crate) step: StepKey,
    pub(crate) report: Option<AdviceReport>,
    pub(crate) arrived_at: Duration,
}

/// What this daemon knows of a job.
#[derive(Clone, Debug, Default)]
pub(crate) struct JobLookup {
    pub(crate) summary: Option<JobSummary>,
    /// The owner of its service, unless that is this daemon or the job is over.
    pub(crate) owner: Option<HttpEndpoint>,
}

/// What the control thread reacts to. Events of an owned service name it and
/// its epoch, so that those of an earlier ownership have no effect.
#[derive(Debug)]
pub(crate) enum CellEvent {
    /// An event for the decisions of an owned service.
    Pipeline(ServiceId, u64, PipelineEvent),
    /// The daemon's lease.
    Session(SessionNews),
    /// Owners and members.
    Public(FeedNews),
    /// Summaries of jobs.
    Summaries(FeedNews),
    /// Jobs and cancellations of an owned service.
    Jobs(ServiceId, u64, FeedNews),
    /// The list of workers.
    Workers(ServiceId, u64, FeedNews),
    /// A version of the manifest is in force.
    Manifest(Arc<Manifest>),
    /// The end of a takeover.
    Acquired(ServiceId, AcquireOutcome),
    /// The outcome of a commit.
    Committed(ServiceId, u64, TransactionOutcome),
    /// An answer about a step.
    Advised(ServiceId, u64, AdviceOutcome),
    /// A job is in the store.
    Accepted(PipelineId, JobSummary),
    /// What is known of a job.
    Summary(PipelineId, oneshot::Sender<Option<JobSummary>>),
    /// The same, and the daemon that knows more while the job is not over.
    Lookup(PipelineId, oneshot::Sender<JobLookup>),
    /// How many jobs of a queue wait.
    Waiting(String, oneshot::Sender<u64>),
    /// The state of the process.
    Dump(oneshot::Sender<String>),
    /// The process is to end: owned services are released.
    Drain(oneshot::Sender<()>),
}

/// Sends events to the control thread.
#[derive(Clone, Debug)]
pub(crate) struct CellHandle {
    events: mpsc::Sender<CellEvent>,
}

impl CellHandle {
    pub(crate) const fn new(events: mpsc::Sender<CellEvent>) -> Self {
        Self { events }
    }

    pub(crate) async fn summary(&self, id: PipelineId) -> Option<JobSummary> {
        self.ask(|reply| CellEvent::Summary(id, reply))
            .await
            .flatten()
    }

    pub(crate) async fn lookup(&self, id: PipelineId) -> JobLookup {
        let lookup = self.ask(|reply| CellEvent::Lookup(id, reply)).await;
        lookup.unwrap_or_default()
    }

    pub(crate) async fn waiting_jobs(&self, queue: &str) -> u64 {
        let queue = queue.to_owned();
        let count = self.ask(|reply| CellEvent::Waiting(queue, reply)).await;
        count.unwrap_or_default()
    }

    pub(crate) async fn dump(&self) -> String {
        self.ask(CellEvent::Dump).await.unwrap_or_default()
    }

    /// Releases the owned services; returns when peers can take them over.
    pub(crate) async fn drain(&self) {
        let _ = self.ask(CellEvent::Drain).await;
    }

    pub(crate) async fn add_accepted_job(&self, id: PipelineId, summary: JobSummary) {
        // Without a control thread the process is about to end.
        let _ = self.events.send(CellEvent::Accepted(id, summary)).await;
    }

    async fn ask<T>(&self, event: impl FnOnce(oneshot::Sender<T>) -> CellEvent) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.events.send(event(reply)).await.ok()?;
        answer.await.ok()
    }
}
