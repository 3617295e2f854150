//! Notices to the owner of a service about jobs that were stored or cancelled.
//!
//! Failure mode: the store's watches are silent for seconds while keys change, and the owner
//! places nothing that was accepted meanwhile. The daemon that has stored a job therefore
//! notifies the owner, which also learns of the job earlier than by its watch. Notices are
//! not repeated: the watch delivers the jobs whose notices are lost.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use auburnsaddle_core::{MAX_OPEN_TASKS, PipelineId, ServiceId, TeamId};
use auburnsaddle_platform::HttpEndpoint;
use futures::future::join_all;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use super::records::StoredJob;

/// Path at which a daemon accepts notices.
pub(crate) const NOTICE_PATH: &str = "/jobs";

/// Time limit of a request with notices. Until it has passed, further notices wait for an
/// owner that does not answer.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(300);

/// Number of notices that wait to be sent. Further ones are dropped.
const NOTICE_QUEUE_CAPACITY: usize = 1_024;

/// Largest number of notices in one request. A job has at most the size of a request of a
/// caller.
const MAX_NOTICES_PER_REQUEST: usize = 64;

/// A change of a job that is durable in the store.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) struct JobNotice {
    pub(crate) service: ServiceId,
    pub(crate) id: PipelineId,
    /// Revision of the write that made the change.
    pub(crate) revision: u64,
    /// Team of an accepted job, which the encoding of the job leaves out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) team: Option<TeamId>,
    pub(crate) change: JobChange,
}

/// How a job changed.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum JobChange {
    /// The job was accepted.
    Accepted(Arc<StoredJob>),
    /// Its caller cancelled the job.
    Cancelled,
}

impl JobNotice {
    /// Sets the team of the job in a notice that was received from another daemon.
    pub(crate) fn restore_team(&mut self) {
        if let JobChange::Accepted(spec) = &mut self.change {
            Arc::make_mut(spec).team = self.team.take();
        }
    }

    /// Returns whether the job is of a size that daemons accept.
    pub(super) fn has_accepted_size(&self) -> bool {
        match &self.change {
            JobChange::Accepted(spec) => spec.occurrence_size() <= MAX_OPEN_TASKS,
            JobChange::Cancelled => true,
        }
    }
}

/// Queues notices for other daemons. Clones share the queue.
#[derive(Clone, Debug)]
pub(crate) struct NoticeSender {
    queue: mpsc::Sender<(HttpEndpoint, JobNotice)>,
}

impl NoticeSender {
    /// Returns a sender, and the receiving end of its queue for [`deliver_notices`].
    pub(crate) fn new() -> (Self, mpsc::Receiver<(HttpEndpoint, JobNotice)>) {
        let (queue, notices) = mpsc::channel(NOTICE_QUEUE_CAPACITY);
        (Self { queue }, notices)
    }

    /// Queues a notice for the owner of its service. Drops it if the queue is full.
    pub(crate) fn send(&self, owner: HttpEndpoint, notice: JobNotice) {
        let request_id = format!("{:016x}", notice.id);
        if self.queue.try_send((owner, notice)).is_err() {
            log::debug!(request_id = request_id.as_str(); "dropped a notice for the owner");
        }
    }
}

/// Sends queued notices until all senders are dropped. Those that wait for the same daemon
/// share a request.
pub(crate) async fn deliver_notices(mut notices: mpsc::Receiver<(HttpEndpoint, JobNotice)>) {
    let mut batch = Vec::new();
    while notices.recv_many(&mut batch, MAX_NOTICES_PER_REQUEST).await > 0 {
        let mut by_owner: BTreeMap<String, (HttpEndpoint, Vec<JobNotice>)> = BTreeMap::new();
        for (owner, notice) in batch.drain(..) {
            let address = owner.address().to_string();
            let entry = by_owner.entry(address);
            entry.or_insert((owner, Vec::new())).1.push(notice);
        }
        let requests = by_owner.into_values().map(send_notices);
        join_all(requests).await;
    }
}

async fn send_notices((owner, notices): (HttpEndpoint, Vec<JobNotice>)) {
    let body = match serde_json::to_vec(&notices) {
        Ok(body) => body,
        Err(error) => {
            log::error!("notices cannot be encoded: {error}");
            return;
        }
    };
    let jobs = notices.len();
    let response = owner.post_json(NOTICE_PATH, body, NOTICE_TIMEOUT).await;
    if !matches!(response, Ok(Some(_))) {
        // The owner's watch delivers the jobs.
        let owner = owner.address();
        log::debug!(owner = owner.as_str(), jobs; "the owner did not accept notices");
    }
}
