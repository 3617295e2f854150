//! Tests of the worker.

use std::time::{Duration, Instant};

use super::{
    ClaimRequest, RejectReason, ResourceAmounts, StartRequest, SyncRequest, WorkPayload,
    WorkerState,
};

fn capacity() -> ResourceAmounts {
    ResourceAmounts {
        cpu_milli: 2_000,
        memory_mib: 1_024,
        accelerators: 0,
    }
}

fn start(task: &str, epoch: u64) -> StartRequest {
    StartRequest {
        shard: "pool/general".to_owned(),
        epoch,
        task: task.to_owned(),
        attempt: 1,
        resources: ResourceAmounts {
            cpu_milli: 1_000,
            ..ResourceAmounts::default()
        },
        lease_ms: 5_000,
        payload: WorkPayload {
            run_ms: 60_000,
            fails: false,
            ..WorkPayload::default()
        },
    }
}

fn events(worker: &WorkerState) -> Vec<&str> {
    worker
        .log()
        .iter()
        .map(|line| line.event.as_str())
        .collect()
}

/// Guards against a stand-in that hides doubles or overload from tests.
#[test]
fn starts_are_idempotent_and_bounded_by_capacity() {
    let now = Instant::now();
    let mut worker = WorkerState::new(capacity(), now);

    let first = worker.start(start("a", 1), now);
    let again = worker.start(start("a", 1), now);
    let second = worker.start(start("b", 1), now);
    let third = worker.start(start("c", 1), now);

    assert_eq!([first, again, second], [Ok(()); 3]);
    assert_eq!(third, Err(RejectReason::Full));
    assert_eq!(events(&worker), ["start", "start"]);
}

/// Guards against a stand-in that accepts a former owner.
#[test]
fn lower_epochs_are_fenced() {
    let now = Instant::now();
    let mut worker = WorkerState::new(capacity(), now);
    let claim = ClaimRequest {
        shard: "pool/general".to_owned(),
        epoch: 2,
    };

    let claimed = worker.claim(&claim).map(|reply| reply.capacity);
    let late = worker.start(start("a", 1), now);

    assert_eq!(claimed, Ok(capacity()));
    assert_eq!(late, Err(RejectReason::Fenced));
}

/// Guards against tasks that outlive their leases, and against a renewal that
/// has no effect.
#[test]
fn leases_stop_tasks_unless_renewed() {
    let now = Instant::now();
    let mut worker = WorkerState::new(capacity(), now);
    let sync = SyncRequest {
        shard: "pool/general".to_owned(),
        epoch: 1,
        lease_ms: 5_000,
        after: 0,
    };
    let _ = worker.start(start("a", 1), now);

    worker.advance(now + Duration::from_secs(4));
    let renewed = worker.sync(&sync, now + Duration::from_secs(4));
    worker.advance(now + Duration::from_secs(8));
    let before = worker.completions_after(0).len();
    worker.advance(now + Duration::from_secs(10));

    assert!(renewed.is_ok());
    assert_eq!(before, 0);
    assert_eq!(events(&worker), ["start", "lease-expired"]);
    assert_eq!(worker.log()[1].at_ms, 9_000);
}
