//! Requests for tasks, passed on to the owner of the pool shard.

use std::time::{Duration, Instant};

use auburnsaddle_core::{NotRunReason, ShardName, TaskRefusal, TaskReply, TaskRequest};
use tokio::sync::oneshot;

use super::messages::TaskCommand;
use crate::{
    control::{ControlEvent, ControlHandle},
    peers::{PeerError, PeerReply, PeerRequest, PeerRouter},
};

/// Time after which a request that found no owner is sent again. A takeover
/// takes seconds, so this adds little to it.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time that a watch waits for a change.
const WATCH_TIME: Duration = Duration::from_secs(20);

/// Finds the owner of a pool shard and asks it.
#[derive(Clone, Debug)]
pub(crate) struct TaskDispatcher {
    control: ControlHandle,
    router: PeerRouter,
}

/// One attempt to ask an owner.
enum AskResult {
    Replied(TaskReply),
    /// The request was certainly not run.
    NotRun(NotRunReason),
    /// The owner may have acted on the request.
    Broken,
}

impl TaskDispatcher {
    /// Returns a dispatcher of a daemon.
    pub(crate) const fn new(control: ControlHandle, router: PeerRouter) -> Self {
        Self { control, router }
    }

    /// Asks the owner of a shard, again after a takeover, until the time is up.
    ///
    /// A job is known by its identifier, so submitting it again to the next
    /// owner does not run it twice.
    pub(crate) async fn dispatch(
        &self,
        shard: &ShardName,
        request: &TaskRequest,
        time_limit: Duration,
    ) -> TaskReply {
        let give_up_at = Instant::now() + time_limit;
        let mut refusal = TaskRefusal::NotRun(NotRunReason::NoOwner);
        loop {
            let left = give_up_at.saturating_duration_since(Instant::now());
            match tokio::time::timeout(left, self.ask_once(shard, request)).await {
                Ok(AskResult::Replied(reply)) => return reply,
                Ok(AskResult::NotRun(reason)) if refusal != TaskRefusal::Unknown => {
                    refusal = TaskRefusal::NotRun(reason);
                }
                Ok(AskResult::NotRun(_)) => {}
                Ok(AskResult::Broken) | Err(_) => refusal = TaskRefusal::Unknown,
            }
            if Instant::now() + RETRY_INTERVAL >= give_up_at {
                return TaskReply::Refused(refusal);
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    /// Waits for a change of a task; after a while shows it as it is.
    pub(crate) async fn watch(
        &self,
        shard: &ShardName,
        request: &TaskRequest,
        time_limit: Duration,
    ) -> TaskReply {
        let TaskRequest::Watch(task, _) = request else {
            return self.dispatch(shard, request, time_limit).await;
        };
        let watching = self.dispatch(shard, request, WATCH_TIME);
        match watching.await {
            TaskReply::Refused(TaskRefusal::Unknown | TaskRefusal::NotRun(_)) => {
                self.dispatch(shard, &TaskRequest::Get(*task), time_limit)
                    .await
            }
            reply => reply,
        }
    }

    /// Asks the shard's queue in this daemon.
    pub(crate) async fn dispatch_locally(
        &self,
        shard: ShardName,
        request: TaskRequest,
    ) -> TaskReply {
        let submits = matches!(request, TaskRequest::Submit(_));
        let (reply, receiver) = oneshot::channel();
        let command = TaskCommand::Request {
            shard,
            request,
            reply,
        };
        self.control.send(ControlEvent::Tasks(command)).await;
        receiver.await.unwrap_or({
            // The shard was lost while the request waited.
            TaskReply::Refused(if submits {
                TaskRefusal::Unknown
            } else {
                TaskRefusal::NotRun(NotRunReason::NoOwner)
            })
        })
    }

    async fn ask_once(&self, shard: &ShardName, request: &TaskRequest) -> AskResult {
        let snapshot = self.control.snapshot();
        let Some(owner) = snapshot.owners.get(shard) else {
            return AskResult::NotRun(NotRunReason::NoOwner);
        };
        let reply = if owner.daemon == snapshot.daemon {
            self.dispatch_locally(shard.clone(), request.clone()).await
        } else {
            let message = PeerRequest::Task(shard.clone(), request.clone());
            match self.router.ask_owner(shard, owner, &message).await {
                Ok(PeerReply::Task(reply)) => reply,
                Err(PeerError::Unreachable { .. }) => {
                    return AskResult::NotRun(NotRunReason::NoOwner);
                }
                Ok(_) | Err(_) => return AskResult::Broken,
            }
        };
        match reply {
            TaskReply::Refused(TaskRefusal::NotRun(reason)) => AskResult::NotRun(reason),
            TaskReply::Refused(TaskRefusal::Unknown) => AskResult::Broken,
            reply => AskResult::Replied(reply),
        }
    }
}
