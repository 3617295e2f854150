//! Tests of jobs built from objects, and of an owned pool.

use std::time::Duration;

use auburnsaddle_core::{
    HostEntry, HostKind, HostState, ObjectLoader, ObjectSet, PoolObjective, RecordId,
    ResourceVector, ShardName, SubmitRequest, TaskReply, TaskRequest, UnknownReason,
};
use tokio::sync::oneshot::{self, error::TryRecvError};

use super::{
    PoolOutput, PoolSetup, PoolShards, TaskCommand, build_job, find_pool,
    messages::{ClaimedWorker, WorkerRequest, WorkerResponse},
};
use crate::workers::{ClaimReport, SyncReport, WorkerOutcome};

const OBJECTS: &str = r#"
[[pool]]
name = "general"
region = "namibia"
zones = ["namibia-a"]
shapes = [{ count = 1, rack_size = 1, capacity = { cpu_milli = 4000, memory_mib = 4096 } }]

[[team]]
name = "stock"
quota = { cpu_milli = 8000, memory_mib = 8192 }

[[batch]]
name = "grading"
pool = "general"
team = "stock"
count = 2
request = { cpu_milli = 1000, memory_mib = 1024 }
run_time_seconds = 60

[[batch]]
name = "seasoning"
pool = "general"
team = "stock"
count = 1
request = { cpu_milli = 4000, memory_mib = 4096 }
run_time_seconds = 60
"#;

fn objects() -> ObjectSet {
    let mut loader = ObjectLoader::default();
    loader.add("test.toml", OBJECTS);
    let report = loader.finish();
    assert!(report.is_valid(), "{:?}", report.problems);
    report.set
}

fn request(object: &str) -> SubmitRequest {
    SubmitRequest {
        object: object.to_owned(),
        ..SubmitRequest::default()
    }
}

fn shard() -> ShardName {
    ShardName::Pool("general".into())
}

fn host() -> HostEntry {
    HostEntry {
        name: "w1".into(),
        kind: HostKind::Worker,
        pool: "general".into(),
        zone: "namibia-a".into(),
        rack: "r1".into(),
        address: "127.0.0.1:1".into(),
        state: HostState::Live,
        capacity: ResourceVector::new(4_000, 4_096, 0),
        ..HostEntry::default()
    }
}

/// Returns an active pool with one worker that is not claimed yet.
fn open_pool() -> (PoolShards, PoolOutput) {
    let mut pools = PoolShards::new(Duration::from_secs(1));
    let objects = objects();
    let setup = PoolSetup {
        spec: &objects.pools["general"],
        objects: &objects,
        hosts: Some(vec![host()]),
        records: Vec::new(),
    };
    let output = pools.open(&shard(), 1, setup, Duration::ZERO);
    pools.set_active(&shard(), true);
    (pools, output)
}

fn submit(pools: &mut PoolShards, object: &str) -> (oneshot::Receiver<TaskReply>, Vec<RecordId>) {
    let (shard, job) = build_job(&objects(), &request(object), Some("k")).unwrap();
    let (reply, receiver) = oneshot::channel();
    let command = TaskCommand::Request {
        shard: shard.clone(),
        request: TaskRequest::Submit(job),
        reply,
    };
    let output = pools.handle(command, Duration::ZERO);
    let ids: Vec<_> = output.records.iter().map(|record| record.id).collect();
    for id in &ids {
        pools.handle_record_appended(&shard, *id, *id);
    }
    (receiver, ids)
}

fn claim_response(outcome: WorkerOutcome<ClaimedWorker>) -> TaskCommand {
    TaskCommand::WorkerResponded {
        shard: shard(),
        epoch: 1,
        worker: "w1".into(),
        response: WorkerResponse::Claimed(outcome),
    }
}

fn idle_worker() -> ClaimedWorker {
    ClaimedWorker {
        claim: ClaimReport {
            capacity: host().capacity,
            running: Vec::new(),
        },
        sync: SyncReport {
            usage: ResourceVector::default(),
            completions: Vec::new(),
        },
    }
}

fn count_requests(output: &PoolOutput, is_counted: fn(&WorkerRequest) -> bool) -> usize {
    let requests = output.effects.iter().map(|effect| &effect.request);
    requests.filter(|request| is_counted(request)).count()
}

/// Guards against a repeated submission that runs twice, and against two keys that
/// give the same job.
#[test]
fn the_same_key_and_object_give_the_same_job() {
    let objects = objects();

    let (_, first) = build_job(&objects, &request("grading"), Some("k")).unwrap();
    let (_, again) = build_job(&objects, &request("batch/grading"), Some("k")).unwrap();
    let (_, other) = build_job(&objects, &request("grading"), Some("l")).unwrap();

    assert_eq!(first, again);
    assert_ne!(first.job, other.job);
    assert_eq!(
        find_pool(&objects, first.tasks[1]).as_deref(),
        Some("general")
    );
}

/// Guards against an accepted job that is lost when its owner crashes.
#[test]
fn a_job_is_not_accepted_before_its_record_is_durable() {
    let (mut pools, _) = open_pool();

    let (mut first, ids) = submit(&mut pools, "grading");
    let (mut again, repeated) = submit(&mut pools, "grading");
    let early = first.try_recv();
    pools.handle_records_durable(&shard(), &ids, Duration::ZERO);

    assert!(matches!(early, Err(TryRecvError::Empty)));
    assert!(repeated.is_empty());
    assert!(matches!(first.try_recv(), Ok(TaskReply::Accepted(_))));
    assert!(matches!(again.try_recv(), Ok(TaskReply::Accepted(_))));
}

/// Guards against a start on a worker whose running tasks are unknown.
#[test]
fn no_task_starts_before_the_claim_succeeds() {
    let (mut pools, opened) = open_pool();
    let (_receiver, ids) = submit(&mut pools, "grading");
    let accepted = pools.handle_records_durable(&shard(), &ids, Duration::ZERO);
    let unknown = WorkerOutcome::Unknown(UnknownReason::ConnectionLost);

    let failed = pools.handle(claim_response(unknown), Duration::ZERO);
    let claimed = pools.handle(
        claim_response(WorkerOutcome::Admitted(idle_worker())),
        Duration::from_secs(2),
    );

    let starts =
        |output| count_requests(output, |request| matches!(request, WorkerRequest::Start(_)));
    let claims = count_requests(&opened, |request| {
        matches!(request, WorkerRequest::Claim(_))
    });
    assert_eq!(claims, 1);
    assert_eq!(starts(&accepted) + starts(&failed), 0);
    let placed = claimed.records.iter();
    assert_eq!(placed.filter(|record| record.shard == shard()).count(), 2);
}

/// Guards against a changed objective and lease that take effect only after the
/// next change of owner. Under the old objective the job that was submitted first
/// starts first.
#[test]
fn a_changed_pool_objective_and_lease_apply_at_once() {
    let (mut pools, _) = open_pool();
    for object in ["grading", "seasoning"] {
        let (_, ids) = submit(&mut pools, object);
        pools.handle_records_durable(&shard(), &ids, Duration::ZERO);
    }
    let mut changed = objects();
    let spec = changed.pools.get_mut("general").expect("it is configured");
    spec.objective = PoolObjective::Packing;
    let work = changed.batches.get_mut("grading");
    work.expect("it is configured").lease_seconds = 90;

    pools.set_objects(&changed, Duration::ZERO);

    let outcome = WorkerOutcome::Admitted(idle_worker());
    let output = pools.handle(claim_response(outcome), Duration::ZERO);
    let ids: Vec<_> = output.records.iter().map(|record| record.id).collect();
    for id in &ids {
        pools.handle_record_appended(&shard(), *id, *id);
    }
    let output = pools.handle_records_durable(&shard(), &ids, Duration::ZERO);
    let effects = output.effects.iter();
    let started: Vec<_> = effects
        .filter_map(|effect| match &effect.request {
            WorkerRequest::Start(start) => Some((start.resources.cpu_milli, start.lease)),
            _ => None,
        })
        .collect();
    assert_eq!(started, vec![(4_000, Duration::from_secs(90))]);
}
