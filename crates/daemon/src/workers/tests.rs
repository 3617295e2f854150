//! Tests of the worker client against the stand-in worker.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use auburnsaddle_core::{ResourceVector, ShardName, TaskId};
use auburnsaddle_standins::{
    http::serve,
    worker::{self, ResourceAmounts, SharedWorker},
};
use proptest::prelude::*;
use tokio::net::TcpListener;

use super::{
    HttpWorkers,
    messages::{
        AttemptEnd, AttemptName, AttemptStart, RejectReason, WorkerClient, WorkerOutcome,
        WorkerTarget,
    },
    wire::{ClaimReply, CompletionItem, SyncReply},
};

async fn start_worker() -> SocketAddr {
    let worker = SharedWorker::new(ResourceAmounts {
        cpu_milli: 1_000,
        memory_mib: 1_024,
        accelerators: 0,
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = listener.local_addr().expect("a bound socket");
    tokio::spawn(serve(listener, Arc::default(), move |request| {
        worker::handle(worker.clone(), request)
    }));
    address
}

fn target(address: SocketAddr, epoch: u64) -> WorkerTarget {
    WorkerTarget {
        address,
        shard: ShardName::Pool("general".into()),
        epoch,
    }
}

fn start(task: u128, run_ms: u64) -> AttemptStart {
    AttemptStart {
        name: AttemptName {
            task: TaskId::from_u128(task),
            attempt: 1,
        },
        resources: ResourceVector::new(1_000, 512, 0),
        lease: Duration::from_mins(1),
        payload: serde_json::json!({ "run_ms": run_ms }),
    }
}

/// Guards against message formats that differ between client and worker, and
/// against a rejection that is reported as an unknown outcome.
#[tokio::test]
async fn an_attempt_is_started_listed_and_stopped() {
    let workers = HttpWorkers::new();
    let target = target(start_worker().await, 2);
    let first = start(1, 60_000);

    let started = workers.start(&target, &first).await;
    let full = workers.start(&target, &start(2, 0)).await;
    let claimed = workers.claim(&target).await;
    let throttled = workers.throttle(&target, first.name, 500).await;
    let synced = workers.sync(&target, Duration::from_mins(1), 0).await;
    let stopped = workers.stop(&target, first.name).await;
    let events = workers.events(&target, 0).await;

    assert_eq!(started, WorkerOutcome::Admitted(()));
    assert_eq!(full, WorkerOutcome::Rejected(RejectReason::Full));
    assert!(matches!(claimed, WorkerOutcome::Admitted(report)
        if report.running == [(first.name, first.resources)]));
    assert_eq!(throttled, WorkerOutcome::Admitted(true));
    assert!(matches!(synced, WorkerOutcome::Admitted(report)
        if report.usage == first.resources && report.completions.is_empty()));
    assert_eq!(stopped, WorkerOutcome::Admitted(true));
    assert!(matches!(events, WorkerOutcome::Admitted(events)
        if events.len() == 1 && events[0].end == AttemptEnd::Stopped));
}

/// Guards against a former owner whose fenced request is reported as admitted.
#[tokio::test]
async fn a_former_owner_is_fenced() {
    let workers = HttpWorkers::new();
    let address = start_worker().await;
    let _ = workers.claim(&target(address, 2)).await;

    let former = target(address, 1);
    let late = workers.checkpoint(&former, start(1, 0).name).await;

    let fenced = WorkerOutcome::Rejected(RejectReason::Fenced);
    assert_eq!(late, fenced);
}

proptest! {
    /// Guards against a panic of the decoders on corrupted responses.
    #[test]
    fn decoders_return_errors_for_any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = serde_json::from_slice::<ClaimReply>(&bytes);
        let _ = serde_json::from_slice::<SyncReply>(&bytes);
        let _ = serde_json::from_slice::<Vec<CompletionItem>>(&bytes);
    }
}
