use std::{collections::BTreeSet, sync::Arc, time::Duration};

use auburnsaddle_core::{
    AdviceOrder, AdvicePolicy, PipelineConfig, PipelineEvent, QueuePolicy, ServiceId, StepKey,
};
use auburnsaddle_platform::{StoreItem, TransactionOutcome};

use super::{
    acquire::{LoadedJob, LoadedShard},
    advisors::{AdvisorTable, split_advisors},
    records::{CellKey, SequenceEntry, encode_record},
    shard::{CommitVerdict, OwnedShard},
};
use crate::pipelines::StoredJob;

fn question(decision_ms: f64) -> AdviceOrder {
    AdviceOrder {
        step: StepKey {
            pipeline: 7,
            occurrence: 0,
            step: 0,
        },
        workers: vec!["w1".into()],
        policy: AdvicePolicy {
            decision_ms,
            per_worker_ms: 1.0,
            valid_ms: 2_000,
        },
    }
}

fn service() -> ServiceId {
    "sales".into()
}

fn job() -> StoredJob {
    StoredJob {
        command: "run".to_owned(),
        steps: Vec::new(),
        schedule: None,
        policy: QueuePolicy {
            queue: "tokens".to_owned(),
            service: service(),
            priority: 0,
            max_attempts: 1,
            stretch: 1.0,
            target_latency_ms: 0,
            advice: None,
        },
        accepted_unix_ms: 0,
    }
}

/// Returns a shard with one cancelled job, whose end is the next commit.
fn shard() -> OwnedShard {
    let loaded = LoadedShard {
        service: service(),
        epoch: 3,
        revision: 40,
        jobs: vec![LoadedJob {
            id: 1,
            spec: Arc::new(job()),
            progress: None,
            is_cancelled: true,
        }],
        workers: Vec::new(),
        jobs_revision: 40,
        workers_revision: 40,
    };
    let config = PipelineConfig {
        lease: Duration::from_secs(5),
        longest_lease: Duration::from_secs(6),
        hold_wait: Duration::from_secs(1),
    };
    let mut shard = OwnedShard::new(loaded, config, Duration::from_mins(2), Duration::ZERO);
    shard.handle(PipelineEvent::Cancelled(1), Duration::ZERO);
    shard
}

fn stored(epoch: u64, commit: u64) -> TransactionOutcome {
    TransactionOutcome::Conflict(vec![StoreItem {
        key: CellKey::Sequence(service()).path(),
        value: encode_record(&SequenceEntry { epoch, commit }),
        revision: 50,
    }])
}

/// Guards against keys that one daemon writes and another cannot read.
#[test]
fn every_key_is_read_back() {
    let keys = [
        CellKey::Owner(service()),
        CellKey::Member("edge-1".to_owned()),
        CellKey::Summary(0xab),
        CellKey::Sequence(service()),
        CellKey::Job(service(), 1),
        CellKey::Cancellation(service(), u64::MAX),
        CellKey::Progress(service(), 3),
    ];

    for key in keys {
        assert_eq!(CellKey::parse(&key.path()), Some(key));
    }
    assert_eq!(CellKey::parse("auburnsaddle/job/sales/y1"), None);
}

/// Guards against an owner that takes its own commit, whose answer was lost, for
/// that of a successor.
#[test]
fn a_commit_that_an_earlier_try_made_is_durable() {
    let mut shard = shard();
    let transaction = shard.next_commit(Duration::ZERO).unwrap();

    let (first, ..) = shard.finish_commit(&TransactionOutcome::Unknown, Duration::ZERO);
    let (second, ..) = shard.finish_commit(&stored(3, 1), Duration::ZERO);

    assert_eq!(transaction.expected[0].1, 40);
    assert_eq!(first, CommitVerdict::Repeat);
    assert_eq!(second, CommitVerdict::Durable);
    assert!(shard.is_durable());
}

/// Guards against an owner that goes on after its successor's takeover.
#[test]
fn a_commit_after_a_takeover_ends_the_ownership() {
    let mut shard = shard();
    shard.next_commit(Duration::ZERO).unwrap();

    let (verdict, ..) = shard.finish_commit(&stored(4, 0), Duration::ZERO);

    assert_eq!(verdict, CommitVerdict::Replaced);
}

/// Guards against keys that stay in the store after the end of a job.
#[test]
fn the_end_of_a_job_removes_its_keys() {
    let mut shard = shard();

    let transaction = shard.next_commit(Duration::ZERO).unwrap();

    let removed: BTreeSet<String> = transaction.removals.into_iter().collect();
    let expected = [
        CellKey::Job(service(), 1),
        CellKey::Cancellation(service(), 1),
        CellKey::Progress(service(), 1),
    ];
    assert_eq!(removed, expected.iter().map(CellKey::path).collect());
}

/// Replays a mix of questions: a quick one would wait half a second behind slow
/// ones at the same daemon.
#[test]
fn quick_questions_do_not_wait_behind_slow_ones() {
    let names: Vec<String> = (0..8).map(|index| format!("edge-{index}")).collect();
    let daemons: BTreeSet<&String> = names.iter().collect();
    let mut table = AdvisorTable::default();

    let slow: BTreeSet<String> = (0..12)
        .filter_map(|_| table.choose(&daemons, &question(500.0)))
        .map(|(daemon, _)| daemon)
        .collect();
    let quick: BTreeSet<String> = (0..4)
        .filter_map(|_| table.choose(&daemons, &question(20.0)))
        .map(|(daemon, _)| daemon)
        .collect();

    assert_eq!((slow.len(), quick.len()), (6, 2));
    assert!(slow.is_disjoint(&quick));
    assert_eq!(split_advisors(8), (2, 6));
}

/// Guards against a single daemon that asks nobody.
#[test]
fn a_single_daemon_asks_all_questions() {
    let name = "edge-0".to_owned();
    let daemons: BTreeSet<&String> = [&name].into_iter().collect();
    let mut table = AdvisorTable::default();

    let asked = [20.0, 500.0].map(|cost| table.choose(&daemons, &question(cost)).is_some());

    assert_eq!(asked, [true, true]);
    assert_eq!(split_advisors(1), (1, 1));
}

/// Guards against running a job again that is over: a reading of all jobs that
/// began before its end arrives after it.
#[test]
fn a_job_that_is_over_is_not_stored_again() {
    let mut shard = shard();
    shard.next_commit(Duration::ZERO).unwrap();
    shard.finish_commit(&TransactionOutcome::Done(50), Duration::ZERO);

    let stale = PipelineEvent::Stored(1, Arc::new(job()), None);
    shard.handle(stale, Duration::ZERO);

    assert!(!shard.state.contains(1));
}
