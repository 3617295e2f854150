//! Requests to workers, carried out on the traffic threads.

use super::messages::{ClaimedWorker, TaskCommand, TaskEffect, WorkerNews, WorkerRequest};
use crate::workers::{WorkerClient, WorkerOutcome, WorkerTarget};

/// Sends a request to a worker and returns its answer as a command.
pub(crate) async fn run_effect<W: WorkerClient>(client: &W, effect: TaskEffect) -> TaskCommand {
    let target = &effect.target;
    let news = match effect.request {
        WorkerRequest::Claim(lease) => WorkerNews::Claimed(claim(client, target, lease).await),
        WorkerRequest::Start(start) => {
            WorkerNews::StartAnswered(start.name, client.start(target, &start).await)
        }
        WorkerRequest::Stop(name) => {
            WorkerNews::StopAnswered(name, client.stop(target, name).await)
        }
        WorkerRequest::Checkpoint(name) => {
            WorkerNews::Adjusted(client.checkpoint(target, name).await)
        }
        WorkerRequest::Throttle(name, cpu_milli) => {
            WorkerNews::Adjusted(client.throttle(target, name, cpu_milli).await)
        }
        WorkerRequest::Sync(lease, after) => {
            WorkerNews::Synced(client.sync(target, lease, after).await)
        }
        WorkerRequest::Poll(after) => WorkerNews::Polled(client.events(target, after).await),
    };
    TaskCommand::News {
        shard: effect.target.shard,
        epoch: effect.target.epoch,
        worker: effect.worker,
        news,
    }
}

/// Claims a worker, then reads all completions that it remembers. The claim
/// goes first: it fences the former owner, so no start is missed in between.
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
