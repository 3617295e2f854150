//! Dispatches requests about tasks to the owner of the pool shard.

use std::time::{Duration, Instant};

use auburnsaddle_core::{NotRunReason, ShardName, TaskRefusal, TaskReply, TaskRequest};
use tokio::sync::oneshot;

use super::messages::TaskCommand;
use crate::{
    control::{ControlEvent, ControlHandle},
    peers::{PeerError, PeerReply, PeerRequest, PeerRouter},
};

/// Delay before a request is sent again. A takeover takes seconds, so the delay
/// adds little to it.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time for which a watch waits for a change.
const WATCH_TIME_LIMIT: Duration = Duration::from_secs(20);

/// Sends requests about tasks to the owner of their pool shard.
#[derive(Clone, Debug)]
pub(crate) struct TaskDispatcher {
    control: ControlHandle,
    router: PeerRouter,
}

/// The result of one attempt to send a request.
enum AttemptResult {
    Replied(TaskReply),
    /// The owner has not run the request.
    NotRun(NotRunReason),
    /// The owner may have run the request.
    OutcomeUnknown,
}

impl TaskDispatcher {
    /// Returns a dispatcher that sends to the owners in the routing snapshots of
    /// `control`.
    pub(crate) const fn new(control: ControlHandle, router: PeerRouter) -> Self {
        Self { control, router }
    }

    /// Sends a request to the owner of a shard and retries until the time limit,
    /// also with a new owner after a takeover.
    ///
    /// Owners deduplicate jobs by their identifier, so a job that is submitted
    /// again does not run twice.
    pub(crate) async fn dispatch(
        &self,
        shard: &ShardName,
        request: &TaskRequest,
        time_limit: Duration,
    ) -> TaskReply {
        let deadline = Instant::now() + time_limit;
        let mut refusal = TaskRefusal::NotRun(NotRunReason::NoOwner);
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            match tokio::time::timeout(remaining, self.attempt_dispatch(shard, request)).await {
                Ok(AttemptResult::Replied(reply)) => return reply,
                Ok(AttemptResult::NotRun(reason)) if refusal != TaskRefusal::Unknown => {
                    refusal = TaskRefusal::NotRun(reason);
                }
                Ok(AttemptResult::NotRun(_)) => {}
                Ok(AttemptResult::OutcomeUnknown) | Err(_) => refusal = TaskRefusal::Unknown,
            }
            if Instant::now() + RETRY_INTERVAL >= deadline {
                return TaskReply::Refused(refusal);
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    /// Waits for a change of a task. Without a reply within [`WATCH_TIME_LIMIT`],
    /// returns the current status.
    pub(crate) async fn watch(
        &self,
        shard: &ShardName,
        request: &TaskRequest,
        time_limit: Duration,
    ) -> TaskReply {
        let TaskRequest::Watch(task, _) = request else {
            return self.dispatch(shard, request, time_limit).await;
        };
        let change = self.dispatch(shard, request, WATCH_TIME_LIMIT);
        match change.await {
            TaskReply::Refused(TaskRefusal::Unknown | TaskRefusal::NotRun(_)) => {
                self.dispatch(shard, &TaskRequest::Get(*task), time_limit)
                    .await
            }
            reply => reply,
        }
    }

    /// Sends a request to the queue of a shard that this daemon owns.
    pub(crate) async fn dispatch_locally(
        &self,
        shard: ShardName,
        request: TaskRequest,
    ) -> TaskReply {
        let is_submission = matches!(request, TaskRequest::Submit(_));
        let (reply, receiver) = oneshot::channel();
        let command = TaskCommand::Request {
            shard,
            request,
            reply,
        };
        self.control.send(ControlEvent::Tasks(command)).await;
        receiver.await.unwrap_or({
            // This daemon lost the shard before the reply.
            TaskReply::Refused(if is_submission {
                TaskRefusal::Unknown
            } else {
                TaskRefusal::NotRun(NotRunReason::NoOwner)
            })
        })
    }

    async fn attempt_dispatch(&self, shard: &ShardName, request: &TaskRequest) -> AttemptResult {
        let snapshot = self.control.snapshot();
        let Some(owner) = snapshot.owners.get(shard) else {
            return AttemptResult::NotRun(NotRunReason::NoOwner);
        };
        let reply = if owner.daemon == snapshot.daemon {
            self.dispatch_locally(shard.clone(), request.clone()).await
        } else {
            let message = PeerRequest::Task(shard.clone(), request.clone());
            match self.router.send_to_owner(shard, owner, &message).await {
                Ok(PeerReply::Task(reply)) => reply,
                Err(PeerError::Unreachable { .. }) => {
                    return AttemptResult::NotRun(NotRunReason::NoOwner);
                }
                Ok(_) | Err(_) => return AttemptResult::OutcomeUnknown,
            }
        };
        match reply {
            TaskReply::Refused(TaskRefusal::NotRun(reason)) => AttemptResult::NotRun(reason),
            TaskReply::Refused(TaskRefusal::Unknown) => AttemptResult::OutcomeUnknown,
            reply => AttemptResult::Replied(reply),
        }
    }
}
