//! Requests to workers. They run on the traffic threads.

use super::messages::{ClaimedWorker, TaskCommand, TaskEffect, WorkerRequest, WorkerResponse};
use crate::workers::{WorkerClient, WorkerOutcome, WorkerTarget};

/// Sends a request to a worker and returns the outcome as a command for the
/// control thread.
pub(crate) async fn run_effect<W: WorkerClient>(client: &W, effect: TaskEffect) -> TaskCommand {
    let target = &effect.target;
    let response = match effect.request {
        WorkerRequest::Claim(lease) => WorkerResponse::Claimed(claim(client, target, lease).await),
        WorkerRequest::Start(start) => {
            WorkerResponse::StartAnswered(start.name, client.start(target, &start).await)
        }
        WorkerRequest::Stop(name) => {
            WorkerResponse::StopAnswered(name, client.stop(target, name).await)
        }
        WorkerRequest::Checkpoint(name) => {
            WorkerResponse::Adjusted(client.checkpoint(target, name).await)
        }
        WorkerRequest::Throttle(name, cpu_milli) => {
            WorkerResponse::Adjusted(client.throttle(target, name, cpu_milli).await)
        }
        WorkerRequest::Sync(lease, after) => {
            WorkerResponse::Synced(client.sync(target, lease, after).await)
        }
        WorkerRequest::Poll(after) => WorkerResponse::Polled(client.events(target, after).await),
    };
    TaskCommand::WorkerResponded {
        shard: effect.target.shard,
        epoch: effect.target.epoch,
        worker: effect.worker,
        response,
    }
}

/// Claims a worker, then reads all completions that it has stored. The claim
/// comes first because it fences the previous owner: no task can start between
/// the two requests without being in the report.
async fn claim<W: WorkerClient>(
    client: &W,
    target: &WorkerTarget,
    lease: std::time::Duration,
) -> WorkerOutcome<ClaimedWorker> {
    let claim = match client.claim(target).await {
        WorkerOutcome::Admitted(claim) => claim,
        WorkerOutcome::Rejected(reason) => return WorkerOutcome::Rejected(reason),
        WorkerOutcome::Unknown(reason) => return WorkerOutcome::Unknown(reason),
    };
    let sync = client.sync(target, lease, 0).await;
    sync.map(|sync| ClaimedWorker { claim, sync })
}
