//! Tests of the admission, fencing and leases of the worker.

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

fn start_request(task: &str, epoch: u64) -> StartRequest {
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

fn event_names(worker: &WorkerState) -> Vec<&str> {
    worker
        .log()
        .iter()
        .map(|line| line.event.as_str())
        .collect()
}

/// Guards against a stand-in that runs an attempt twice or exceeds its capacity,
/// which would hide or fake faults of the scheduler under test.
#[test]
fn starts_are_idempotent_and_bounded_by_capacity() {
    let now = Instant::now();
    let mut worker = WorkerState::new(capacity(), now);

    let first = worker.start(start_request("a", 1), now);
    let again = worker.start(start_request("a", 1), now);
    let second = worker.start(start_request("b", 1), now);
    let third = worker.start(start_request("c", 1), now);

    assert_eq!([first, again, second], [Ok(()); 3]);
    assert_eq!(third, Err(RejectReason::Full));
    assert_eq!(event_names(&worker), ["start", "start"]);
}

/// Guards against a stand-in that accepts requests of a replaced owner.
#[test]
fn lower_epochs_are_fenced() {
    let now = Instant::now();
    let mut worker = WorkerState::new(capacity(), now);
    let claim = ClaimRequest {
        shard: "pool/general".to_owned(),
        epoch: 2,
    };

    let claimed = worker.claim(&claim).map(|reply| reply.capacity);
    let outdated = worker.start(start_request("a", 1), now);

    assert_eq!(claimed, Ok(capacity()));
    assert_eq!(outdated, Err(RejectReason::Fenced));
}

/// Guards against tasks that run after their lease has expired, and against
/// renewals without effect.
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
    let _ = worker.start(start_request("a", 1), now);

    worker.finish_due_attempts(now + Duration::from_secs(4));
    let renewed = worker.sync(&sync, now + Duration::from_secs(4));
    worker.finish_due_attempts(now + Duration::from_secs(8));
    let count_before_expiry = worker.completions_after(0).len();
    worker.finish_due_attempts(now + Duration::from_secs(10));

    assert!(renewed.is_ok());
    assert_eq!(count_before_expiry, 0);
    assert_eq!(event_names(&worker), ["start", "lease-expired"]);
    assert_eq!(worker.log()[1].at_ms, 9_000);
}
