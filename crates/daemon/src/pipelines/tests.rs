use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use auburnsaddle_core::{
    AdviceOrder, AdvicePolicy, PipelineConfig, PipelineEvent, PipelinePhase, QueuePolicy,
    RenewalReport, ResourceVector, RunKey, ServiceId, StartResult, StepKey, StepSpec, TaskKey,
    WorkerListing,
};
use auburnsaddle_platform::{StoreItem, TransactionOutcome};

use super::{
    acquire::{LoadedJob, LoadedShard},
    advisors::{AdvisorTable, count_advisors},
    log::{ProgressLog, ProgressRecord},
    records::{CellKey, SequenceEntry, decode_value, encode_value},
    shard::{CommitStatus, OwnedShard},
};
use crate::pipelines::StoredJob;

fn advice_order(decision_ms: f64) -> AdviceOrder {
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

fn service_id() -> ServiceId {
    "sales".into()
}

fn job() -> StoredJob {
    StoredJob {
        command: "run".to_owned(),
        steps: Vec::new(),
        schedule: None,
        policy: QueuePolicy {
            queue: "tokens".to_owned(),
            service: service_id(),
            priority: 0,
            max_attempts: 1,
            stretch: 1.0,
            target_latency_ms: 0,
            advice: None,
        },
        accepted_unix_ms: 0,
    }
}

/// Returns a shard with one cancelled job. The next commit writes the end of the job.
fn shard_with_cancelled_job() -> OwnedShard {
    let loaded = LoadedShard {
        service: service_id(),
        epoch: 3,
        last_commit: 0,
        revision: 40,
        log: ProgressLog::default(),
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
        max_lease: Duration::from_secs(6),
        renewal_wait: Duration::from_secs(1),
    };
    let mut shard = OwnedShard::new(loaded, config, Duration::from_mins(2), Duration::ZERO);
    shard.handle(PipelineEvent::Cancelled(1), Duration::ZERO);
    shard
}

/// Returns the conflict of a commit that finds this sequence in the store.
fn sequence_conflict(epoch: u64, commit: u64) -> TransactionOutcome {
    TransactionOutcome::Conflict(vec![StoreItem {
        key: CellKey::Sequence(service_id()).path(),
        value: encode_value(&SequenceEntry { epoch, commit }),
        revision: 50,
    }])
}

/// Guards against keys that one daemon writes and another cannot parse.
#[test]
fn keys_are_parsed_back_from_their_text() {
    let keys = [
        CellKey::Owner(service_id()),
        CellKey::Member("edge-1".to_owned()),
        CellKey::Summary(0xab),
        CellKey::Sequence(service_id()),
        CellKey::Job(service_id(), 1),
        CellKey::Cancellation(service_id(), u64::MAX),
        CellKey::Record(service_id(), 3),
    ];

    for key in keys {
        assert_eq!(CellKey::parse(&key.path()), Some(key));
    }
    assert_eq!(CellKey::parse("auburnsaddle/job/sales/y1"), None);
}

/// Guards against an owner that gives up its service because its own commit, whose
/// response was lost, conflicts with the next attempt.
#[test]
fn a_commit_that_an_earlier_attempt_made_is_durable() {
    let mut shard = shard_with_cancelled_job();
    let transaction = shard.next_commit(Duration::ZERO).unwrap();

    let first = shard
        .finish_commit(&TransactionOutcome::Unknown, Duration::ZERO)
        .status;
    let second = shard
        .finish_commit(&sequence_conflict(3, 1), Duration::ZERO)
        .status;

    assert_eq!(transaction.expected[0].1, 40);
    assert_eq!(first, CommitStatus::Retry);
    assert_eq!(second, CommitStatus::Durable);
    assert!(shard.is_durable());
}

/// Guards against reporting a phase before it is durable.
#[test]
fn summaries_are_returned_only_when_their_commit_is_durable() {
    let mut shard = shard_with_cancelled_job();
    shard.next_commit(Duration::ZERO).unwrap();

    let open = shard.finish_commit(&TransactionOutcome::Unknown, Duration::ZERO);
    let durable = shard.finish_commit(&TransactionOutcome::Done(50), Duration::ZERO);

    assert!(open.summaries.is_empty());
    assert_eq!(durable.summaries[0].1.phase, PipelinePhase::Cancelled);
}

/// Guards against an owner that continues after the takeover by a successor.
#[test]
fn a_commit_after_a_takeover_ends_the_ownership() {
    let mut shard = shard_with_cancelled_job();
    shard.next_commit(Duration::ZERO).unwrap();

    let status = shard
        .finish_commit(&sequence_conflict(4, 0), Duration::ZERO)
        .status;

    assert_eq!(status, CommitStatus::Replaced);
}

/// Guards against keys that remain in the store after the end of a job.
#[test]
fn the_end_of_a_job_removes_its_keys() {
    let mut shard = shard_with_cancelled_job();

    let transaction = shard.next_commit(Duration::ZERO).unwrap();

    let removed: BTreeSet<String> = transaction.removals.into_iter().collect();
    let expected = [
        CellKey::Job(service_id(), 1),
        CellKey::Cancellation(service_id(), 1),
    ];
    assert_eq!(removed, expected.iter().map(CellKey::path).collect());
}

/// Returns a shard with one large worker and `jobs` additional jobs of one task each.
fn shard_with_jobs(jobs: u64) -> OwnedShard {
    let step = StepSpec {
        count: 1,
        demand: ResourceVector::new(10, 1, 0),
        estimate_ms: 1_000,
        ..StepSpec::default()
    };
    let spec = Arc::new(StoredJob {
        steps: vec![step],
        ..job()
    });
    let mut shard = shard_with_cancelled_job();
    let confirmed_until = Duration::from_hours(1);
    let listing = WorkerListing {
        worker: "w1".into(),
        address: "w1:1".to_owned(),
        capacity: ResourceVector::new(1_000_000, 1_000_000, 0),
        labels: Vec::new(),
        rack: None,
        is_draining: false,
        leaves_in: None,
    };
    let report = RenewalReport {
        started_unix_ms: 1,
        clock_ms: 1,
        running: Vec::new(),
        ended: Vec::new(),
    };
    let stored = (10..10 + jobs).map(|id| PipelineEvent::Stored(id, spec.clone(), None));
    let events = [
        PipelineEvent::OwnershipConfirmed(confirmed_until),
        PipelineEvent::Tick(1_000),
        PipelineEvent::Listed(listing),
        PipelineEvent::LeaseRenewed("w1".into(), Duration::ZERO, report),
    ];
    for event in events.into_iter().chain(stored) {
        shard.handle(event, Duration::ZERO);
    }
    shard
}

/// Commits until nothing is left and applies the transactions to the items of a
/// store. Returns the number of commits.
fn commit_all(shard: &mut OwnedShard, items: &mut BTreeMap<String, Vec<u8>>) -> usize {
    let mut commit_count = 0;
    while let Some(transaction) = shard.next_commit(Duration::ZERO) {
        let entries = [
            transaction.expected.len(),
            transaction.puts.len(),
            transaction.removals.len(),
        ];
        assert!(entries.iter().sum::<usize>() <= 32, "{entries:?}");
        commit_count += 1;
        items.extend(transaction.puts.into_iter().map(|put| (put.0, put.1)));
        for key in transaction.removals {
            items.remove(&key);
        }
        shard.finish_commit(&TransactionOutcome::Done(50), Duration::ZERO);
    }
    commit_count
}

/// Returns the progress records among the items of a store.
fn records(items: &BTreeMap<String, Vec<u8>>) -> Vec<(u64, ProgressRecord)> {
    let records = items.iter().filter_map(|(key, value)| {
        let Some(CellKey::Record(_, number)) = CellKey::parse(key) else {
            return None;
        };
        Some((number, decode_value(key, value)?))
    });
    records.collect()
}

/// Guards against commits with only a few jobs each: after a burst, placements then
/// waited for seconds until they were durable, and their tickets expired.
#[test]
fn the_placements_of_a_burst_become_durable_in_few_commits() {
    let mut shard = shard_with_jobs(200);
    let mut items = BTreeMap::new();
    commit_all(&mut shard, &mut items);

    shard.state.schedule(Duration::ZERO);
    let commit_count = commit_all(&mut shard, &mut items);

    assert_eq!(shard.load().runs, 200);
    // Each job also has its first summary written, and a transaction takes 26 of them.
    assert_eq!(commit_count, 200_usize.div_ceil(26));
}

/// Guards against a log from which a successor reads missing or outdated progress.
#[test]
fn the_log_holds_the_latest_progress_of_each_job() {
    let mut shard = shard_with_jobs(40);
    let mut items = BTreeMap::new();
    shard.state.schedule(Duration::ZERO);
    commit_all(&mut shard, &mut items);
    for id in 10..20 {
        shard.handle(PipelineEvent::Cancelled(id), Duration::ZERO);
        let run = RunKey {
            task: TaskKey {
                step: StepKey {
                    pipeline: id,
                    occurrence: 0,
                    step: 0,
                },
                index: 0,
            },
            attempt: 1,
        };
        let rejected = PipelineEvent::StartAnswered("w1".into(), run, StartResult::OtherInstance);
        shard.handle(rejected, Duration::ZERO);
        commit_all(&mut shard, &mut items);
    }

    let (_, jobs) = ProgressLog::replay(records(&items));

    let phases = jobs.values().map(|progress| progress.phase);
    let cancelled = phases.filter(|phase| *phase == PipelinePhase::Cancelled);
    let known = usize::try_from(shard.load().pipelines).unwrap();
    assert_eq!(cancelled.count() + 30, known);
    assert!((20..50).all(|id| jobs.contains_key(&id)));
}

/// Guards against a log that grows as long as one job runs: the record with the
/// progress of another job, which does not change, would never be removed.
#[test]
fn a_long_running_job_does_not_keep_the_log_from_being_truncated() {
    let mut shard = shard_with_jobs(2);
    let mut items = BTreeMap::new();
    shard.state.schedule(Duration::ZERO);
    commit_all(&mut shard, &mut items);

    for _ in 0..1_000 {
        shard.state.request_rewrite(11);
        commit_all(&mut shard, &mut items);
    }

    let (_, jobs) = ProgressLog::replay(records(&items));
    assert!(records(&items).len() <= 130);
    assert!(jobs.contains_key(&10) && jobs.contains_key(&11));
}

/// Guards against quick advice requests that share a daemon with slow ones and wait
/// half a second behind them.
#[test]
fn quick_advice_requests_do_not_wait_behind_slow_ones() {
    let names: Vec<String> = (0..8).map(|index| format!("edge-{index}")).collect();
    let daemons: BTreeSet<&String> = names.iter().collect();
    let mut table = AdvisorTable::default();

    let slow: BTreeSet<String> = (0..12)
        .filter_map(|_| table.assign(&daemons, &advice_order(500.0)))
        .map(|(daemon, _)| daemon)
        .collect();
    let quick: BTreeSet<String> = (0..4)
        .filter_map(|_| table.assign(&daemons, &advice_order(20.0)))
        .map(|(daemon, _)| daemon)
        .collect();

    assert_eq!((slow.len(), quick.len()), (6, 2));
    assert!(slow.is_disjoint(&quick));
    assert_eq!(count_advisors(8), (2, 6));
}

/// Guards against a single daemon that assigns its requests to no advisor.
#[test]
fn a_single_daemon_sends_all_advice_requests() {
    let name = "edge-0".to_owned();
    let daemons: BTreeSet<&String> = [&name].into_iter().collect();
    let mut table = AdvisorTable::default();

    let asked = [20.0, 500.0].map(|cost| table.assign(&daemons, &advice_order(cost)).is_some());

    assert_eq!(asked, [true, true]);
    assert_eq!(count_advisors(1), (1, 1));
}

/// Guards against running an ended job again: a listing of all jobs that was requested
/// before the end of the job may arrive after it.
#[test]
fn a_job_that_is_over_is_not_stored_again() {
    let mut shard = shard_with_cancelled_job();
    shard.next_commit(Duration::ZERO).unwrap();
    shard.finish_commit(&TransactionOutcome::Done(50), Duration::ZERO);

    let stale = PipelineEvent::Stored(1, Arc::new(job()), None);
    shard.handle(stale, Duration::ZERO);

    assert!(!shard.state.contains(1));
}
