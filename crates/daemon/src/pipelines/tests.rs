mod drains;
mod quotas;
mod records;
mod sessions;
mod team_values;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use auburnsaddle_core::{
    AdviceOrder, AdvicePolicy, Epoch, PipelineAction, PipelineConfig, PipelineEvent, PipelinePhase,
    PipelineProgress, QueuePolicy, RenewalFailure, RenewalOrder, RenewalReport, RenewalStamp,
    ResourceVector, RunKey, ServiceId, StartOrder, StartResult, StepKey, StepProgress, StepSpec,
    TaskKey, TaskProgress, WorkerListing,
};
use auburnsaddle_platform::{StoreItem, StoreTransaction, TransactionOutcome};
use auburnsaddle_platform_standin::WorkerStandin;
use tokio::{runtime::Handle, sync::mpsc};

use super::{
    acquire::{LoadedJob, LoadedShard},
    advisors::{AdvisorTable, count_advisors},
    log::{ProgressLog, ProgressRecord},
    notices::{JobChange, JobNotice},
    orders::WorkerOrders,
    records::{CellKey, SequenceEntry, encode_value},
    sessions::{OwnerSession, PredecessorList},
    shard::{CommitStatus, OwnedShard, ShardSettings},
};
use crate::{
    cell::CellEvent, job_table::REMOVAL_SLACK, pipelines::StoredJob, telemetry::BootClock,
    witness::WitnessList,
};

/// Largest value that the store of the tests accepts, in bytes.
const MAX_VALUE_BYTES: usize = 64 << 10;

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
        team: None,
    }
}

/// Returns an ownership of the service.
fn session(daemon: &str, epoch: u64, revision: u64) -> OwnerSession {
    OwnerSession {
        daemon: daemon.to_owned(),
        epoch,
        revision,
    }
}

/// Returns what a takeover of a service without jobs reads.
pub(crate) fn empty_shard() -> LoadedShard {
    LoadedShard {
        service: service_id(),
        epoch: 3,
        last_commit: 0,
        revision: 40,
        log: ProgressLog::default(),
        jobs: Vec::new(),
        workers: Vec::new(),
        jobs_revision: 40,
        workers_revision: 40,
        session: session("edge-0", 3, 0),
        predecessors: PredecessorList::default(),
        witnesses: WitnessList::default(),
    }
}

/// Returns the settings of the fixtures.
fn shard_settings() -> ShardSettings {
    let config = PipelineConfig {
        lease: Duration::from_secs(5),
        max_lease: Duration::from_secs(6),
        inherited_lease: Duration::from_secs(6),
        listing_interval: Duration::from_millis(1_500),
        renewal_wait: Duration::from_secs(1),
        manages_scarcity: false,
    };
    ShardSettings {
        config,
        summary_retention: Duration::from_mins(2),
        max_value_bytes: MAX_VALUE_BYTES,
        enforces_caps: false,
    }
}

/// Returns the shard after a takeover.
fn shard_with(loaded: LoadedShard) -> OwnedShard {
    OwnedShard::new(loaded, shard_settings(), Duration::ZERO)
}

/// Returns a job that was cancelled.
fn cancelled_job() -> LoadedJob {
    LoadedJob {
        id: 1,
        revision: 30,
        spec: Arc::new(job()),
        progress: None,
        is_cancelled: true,
    }
}

/// Returns a shard with one cancelled job. The next commit writes the end of the job.
fn shard_with_cancelled_job() -> OwnedShard {
    let mut shard = shard_with(LoadedShard {
        jobs: vec![cancelled_job()],
        ..empty_shard()
    });
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
        CellKey::Sessions(service_id()),
        CellKey::Job(service_id(), 1),
        CellKey::Cancellation(service_id(), u64::MAX),
        CellKey::Record(service_id(), 3),
        CellKey::Quota("red/day".into()),
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

/// Makes the pending change of the shard durable.
fn commit_once(shard: &mut OwnedShard) {
    shard.next_commit(Duration::ZERO).unwrap();
    shard.finish_commit(&TransactionOutcome::Done(50), Duration::ZERO);
}

/// Guards against keys that remain in the store after the end of a job.
#[test]
fn the_end_of_a_job_removes_its_keys() {
    let mut shard = shard_with_cancelled_job();
    commit_once(&mut shard);

    let (_, transaction) = shard.next_summary_write(true, Duration::ZERO).unwrap();

    let removed: BTreeSet<String> = transaction.removals.into_iter().collect();
    let expected = [
        CellKey::Job(service_id(), 1),
        CellKey::Cancellation(service_id(), 1),
    ];
    assert_eq!(removed, expected.iter().map(CellKey::path).collect());
}

/// Guards against a write of a summary that the store executes late, after the job has
/// ended: each write expects the key that the last one removes.
#[test]
fn summaries_expect_the_key_of_their_job() {
    let mut shard = shard_with_cancelled_job();
    commit_once(&mut shard);

    let (_, transaction) = shard.next_summary_write(true, Duration::ZERO).unwrap();

    let key = CellKey::Job(service_id(), 1).path();
    assert_eq!(transaction.expected, vec![(key, 30)]);
}

/// Guards against keys of an ended job that are removed, or a summary that is written,
/// before the end is durable.
#[test]
fn no_summary_is_written_before_its_commit_is_durable() {
    let mut shard = shard_with_cancelled_job();
    shard.next_commit(Duration::ZERO).unwrap();

    let early = shard.next_summary_write(true, Duration::ZERO);
    shard.finish_commit(&TransactionOutcome::Unknown, Duration::ZERO);
    let unknown = shard.next_summary_write(true, Duration::ZERO);

    assert_eq!((early, unknown), (None, None));
}

/// Guards against a summary that is lost because the owner ended between the commit of the
/// last phase and the write of the summary.
#[test]
fn a_successor_writes_the_final_summary() {
    let mut shard = shard_with_cancelled_job();
    let mut items = BTreeMap::new();
    commit_once_into(&mut shard, &mut items);
    let (log, mut progress) = ProgressLog::replay(records(&items));
    let job = LoadedJob {
        id: 1,
        revision: 30,
        spec: Arc::new(job()),
        progress: progress.remove(&1),
        is_cancelled: true,
    };

    let mut successor = shard_with(LoadedShard {
        log,
        jobs: vec![job],
        epoch: 4,
        ..empty_shard()
    });
    let (number, transaction) = successor.next_summary_write(true, Duration::ZERO).unwrap();
    let removed = transaction.removals.clone();
    successor.finish_summary_write(number, &TransactionOutcome::Done(60), Duration::ZERO);

    assert!(!successor.state.contains(1));
    assert!(removed.contains(&CellKey::Job(service_id(), 1).path()));
    assert!(successor.has_stored_summaries());
}

/// Guards against a final summary that is written again and again, because an earlier
/// attempt, whose response was lost, has removed the key that the write expects.
#[test]
fn a_summary_that_an_earlier_attempt_wrote_is_stored() {
    let mut shard = shard_with_cancelled_job();
    commit_once(&mut shard);
    let (number, _) = shard.next_summary_write(true, Duration::ZERO).unwrap();

    let conflict = TransactionOutcome::Conflict(Vec::new());
    shard.finish_summary_write(number, &conflict, Duration::ZERO);

    assert!(shard.has_stored_summaries());
}

/// Returns the fencing token of the first claim of a worker in an ownership.
const fn first_token(epoch: Epoch) -> Epoch {
    epoch << 8
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
        started_unix_ms: None,
    };
    let report = RenewalReport {
        started_unix_ms: 1,
        clock_ms: 1,
        running: Vec::new(),
        ended: Vec::new(),
        has_more_ends: false,
    };
    let stamp = RenewalStamp {
        token: first_token(shard.epoch()),
        sent_at: Duration::ZERO,
    };
    let stored = (10..10 + jobs).map(|id| PipelineEvent::Stored(id, spec.clone(), None));
    let events = [
        PipelineEvent::OwnershipConfirmed(confirmed_until),
        PipelineEvent::ExtensionsPermitted(confirmed_until),
        PipelineEvent::Tick(1_000),
        PipelineEvent::Listed(listing),
        PipelineEvent::LeaseRenewed("w1".into(), stamp, report),
    ];
    for event in events.into_iter().chain(stored) {
        shard.handle(event, Duration::ZERO);
    }
    shard
}

/// Applies a transaction to the items of a store.
fn apply(transaction: StoreTransaction, items: &mut BTreeMap<String, Vec<u8>>) {
    let entries = [
        transaction.expected.len(),
        transaction.puts.len(),
        transaction.removals.len(),
    ];
    assert!(entries.iter().sum::<usize>() <= 32, "{entries:?}");
    items.extend(transaction.puts.into_iter().map(|put| (put.0, put.1)));
    for key in transaction.removals {
        items.remove(&key);
    }
}

/// Commits once and applies the transaction to the items of a store.
fn commit_once_into(shard: &mut OwnedShard, items: &mut BTreeMap<String, Vec<u8>>) {
    apply(shard.next_commit(Duration::ZERO).unwrap(), items);
    shard.finish_commit(&TransactionOutcome::Done(50), Duration::ZERO);
}

/// Commits until nothing is left, writes the summaries and applies the transactions to the
/// items of a store. Returns the number of commits.
fn commit_all(shard: &mut OwnedShard, items: &mut BTreeMap<String, Vec<u8>>) -> usize {
    let mut commit_count = 0;
    while let Some(transaction) = shard.next_commit(Duration::ZERO) {
        commit_count += 1;
        apply(transaction, items);
        shard.finish_commit(&TransactionOutcome::Done(50), Duration::ZERO);
    }
    while let Some((number, transaction)) = shard.next_summary_write(true, Duration::ZERO) {
        apply(transaction, items);
        shard.finish_summary_write(number, &TransactionOutcome::Done(50), Duration::ZERO);
    }
    commit_count
}

/// Returns the progress records among the items of a store.
fn records(items: &BTreeMap<String, Vec<u8>>) -> Vec<(u64, ProgressRecord)> {
    let records = items.iter().filter_map(|(key, value)| {
        let Some(CellKey::Record(_, number)) = CellKey::parse(key) else {
            return None;
        };
        Some((number, ProgressRecord::decode(key, value)?))
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
    assert_eq!(commit_count, 1);
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
        let rejected =
            PipelineEvent::StartAnswered("w1".into(), run, StartResult::OtherInstance.into());
        shard.handle(rejected, Duration::ZERO);
        commit_all(&mut shard, &mut items);
    }

    let (_, mut jobs) = ProgressLog::replay(records(&items));

    // Of a job that has ended, only the phase is kept.
    jobs.retain(|_, progress| progress.steps().next().is_some());
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

/// Returns a record with the progress of these jobs, of `tasks` tasks each.
fn record_with_jobs(jobs: impl IntoIterator<Item = u64>, tasks: usize) -> ProgressRecord {
    let step = StepProgress {
        tasks: vec![TaskProgress::default(); tasks],
        ..StepProgress::default()
    };
    let progress = PipelineProgress {
        occurrences: BTreeMap::from([(0, vec![step])]),
        ..PipelineProgress::default()
    };
    let entries = jobs.into_iter().map(|id| (id, Some(progress.clone())));
    ProgressRecord {
        entries: entries.collect(),
    }
}

/// Guards against a takeover that reads megabytes of superseded progress: commits with many
/// jobs each make large records, and a limit for their number alone keeps all of them.
#[test]
fn a_log_of_large_records_is_truncated_before_a_takeover_has_to_read_much() {
    let mut log = ProgressLog::default();
    let mut stored = BTreeMap::new();
    // Job 0 does not change and keeps the oldest record.
    let mut most_tasks = 0;

    for number in 0..100 {
        let rewritten = log.jobs_to_rewrite();
        let changed = if number == 0 { 0..40 } else { 1..40 };
        let jobs: BTreeSet<u64> = changed.chain(rewritten).collect();
        let removed = log.superseded_records(29);
        let record = record_with_jobs(jobs, 25);
        log.truncate(&removed);
        stored.retain(|number, _| !removed.contains(number));
        log.append(number, &record);
        stored.insert(number, record.entries.len() * 25);
        most_tasks = most_tasks.max(stored.values().sum());
    }

    // The limit for superseded tasks, the latest ones, and two records.
    assert!(most_tasks <= 4_096 + 3 * 1_000, "{most_tasks}");
}

/// Guards against a successor that does not know the runs of a cancelled job, and against
/// records that stay in the log for ever: the keys of a job are removed when none of its runs
/// is left, which is after its last phase was written.
#[test]
fn a_cancelled_job_keeps_its_keys_until_its_runs_have_ended() {
    let mut shard = shard_with_jobs(2);
    let mut items = BTreeMap::new();
    shard.state.schedule(Duration::ZERO);
    commit_all(&mut shard, &mut items);
    let job_key = CellKey::Job(service_id(), 10).path();
    items.insert(job_key.clone(), Vec::new());

    shard.handle(PipelineEvent::Cancelled(10), Duration::ZERO);
    commit_all(&mut shard, &mut items);
    let has_key_before = items.contains_key(&job_key);
    let replaced = PipelineEvent::RenewalFailed("w1".into(), RenewalFailure::OtherInstance);
    shard.handle(replaced, Duration::ZERO);
    commit_all(&mut shard, &mut items);
    for _ in 0..1_000 {
        shard.state.request_rewrite(11);
        commit_all(&mut shard, &mut items);
    }

    assert_eq!(
        (has_key_before, items.contains_key(&job_key)),
        (true, false)
    );
    assert!(records(&items).len() <= 130);
}

/// Guards against the last summaries of an idle service, which no commit removes, and against two
/// removals of a summary, by a commit and by a write of its own.
#[test]
fn a_summary_that_no_commit_removes_is_released() {
    let mut shard = shard_with_cancelled_job();
    commit_all(&mut shard, &mut BTreeMap::new());
    let expiry = Duration::from_mins(2);

    shard.release_expired_summaries(expiry);
    let is_kept_for_commits = shard.keeps_summary(1);
    shard.release_expired_summaries(expiry + REMOVAL_SLACK);

    assert_eq!((is_kept_for_commits, shard.keeps_summary(1)), (true, false));
}

/// Guards against quick advice requests that share a daemon with slow ones and wait
/// half a second behind them.
#[test]
fn quick_advice_requests_do_not_wait_behind_slow_ones() {
    let names: Vec<String> = (0..8).map(|index| format!("edge-{index}")).collect();
    let daemons: BTreeSet<&String> = names.iter().collect();
    let mut table = AdvisorTable::default();

    let slow: BTreeSet<String> = (0..12)
        .filter_map(|_| table.assign(&daemons, &advice_order(500.0), Duration::ZERO))
        .map(|(daemon, _)| daemon)
        .collect();
    let quick: BTreeSet<String> = (0..4)
        .filter_map(|_| table.assign(&daemons, &advice_order(20.0), Duration::ZERO))
        .map(|(daemon, _)| daemon)
        .collect();

    assert_eq!((slow.len(), quick.len()), (6, 2));
    assert!(slow.is_disjoint(&quick));
    assert_eq!(count_advisors(8), (2, 6));
}

/// Guards against a daemon that has ended and gets all requests, because it refuses each of
/// them at once and has the smallest backlog.
#[test]
fn a_daemon_that_refuses_requests_does_not_attract_them() {
    let names: Vec<String> = (0..8).map(|index| format!("daemon-{index}")).collect();
    let daemons: BTreeSet<&String> = names.iter().collect();
    let mut table = AdvisorTable::default();
    let (ended, _) = table
        .assign(&daemons, &advice_order(500.0), Duration::ZERO)
        .unwrap();

    let mut assigned = Vec::new();
    for round in 0..10 {
        let now = Duration::from_millis(round * 200);
        table.finish(&ended, 501, false, now);
        assigned.extend(table.assign(&daemons, &advice_order(500.0), now));
    }
    let later = table.assign(&daemons, &advice_order(500.0), Duration::from_secs(10));

    assert!(assigned.iter().all(|(daemon, _)| *daemon != ended));
    assert_eq!(later.map(|(daemon, _)| daemon), Some(ended));
}

/// Guards against a single daemon that assigns its requests to no advisor.
#[test]
fn a_single_daemon_sends_all_advice_requests() {
    let name = "edge-0".to_owned();
    let daemons: BTreeSet<&String> = [&name].into_iter().collect();
    let mut table = AdvisorTable::default();

    let asked = [20.0, 500.0].map(|cost| {
        table
            .assign(&daemons, &advice_order(cost), Duration::ZERO)
            .is_some()
    });

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

/// Returns an order to start a task on the worker.
fn start_order(worker: &WorkerStandin) -> StartOrder {
    let (_, registration) = worker.registration("sales");
    StartOrder {
        worker: "w1".into(),
        address: registration["address"].as_str().unwrap().to_owned(),
        run: RunKey {
            task: TaskKey {
                step: StepKey {
                    pipeline: 1,
                    occurrence: 0,
                    step: 0,
                },
                index: 0,
            },
            attempt: 1,
        },
        command: "run".into(),
        deadline_ms: 60_000,
        token: 1,
        checkpoint: String::new(),
        ticket: None,
        time_limit: Duration::from_millis(700),
    }
}

/// Returns the outcome of the order that was sent last.
async fn next_start_result(events: &mut mpsc::Receiver<CellEvent>) -> Option<StartResult> {
    match events.recv().await {
        Some(CellEvent::Pipeline(_, _, PipelineEvent::StartAnswered(_, _, answer))) => {
            Some(answer.result)
        }
        _ => None,
    }
}

/// Guards against orders that were decided before a suspension or a hand-over and are sent
/// after the ownership has run out.
#[tokio::test]
async fn a_start_is_not_sent_after_the_ownership_has_run_out() {
    let worker = WorkerStandin::start("w1", Duration::from_secs(1)).await;
    let (events, mut received) = mpsc::channel(8);
    let clock = BootClock::start();
    let mut orders = WorkerOrders::new(Handle::current(), events, clock, service_id(), 1);
    let start = || PipelineAction::Start(start_order(&worker));

    orders.permit_until(clock.now());
    orders.send(start());
    let expired = next_start_result(&mut received).await;
    orders.permit_until(clock.now() + Duration::from_mins(1));
    orders.send(start());
    // The order is decided, and the service is released before it is sent.
    drop(orders);
    let released = next_start_result(&mut received).await;

    assert_eq!(expired, Some(StartResult::NotSent));
    assert_eq!(released, Some(StartResult::NotSent));
    assert!(worker.starts().is_empty());
}

/// Guards against a lease that lasts longer than the owner waits: an order that has waited for a
/// connection for long is sent, and the lease counts from its arrival.
#[tokio::test]
async fn a_start_that_has_waited_for_a_connection_for_long_is_not_sent() {
    let worker = WorkerStandin::start("w1", Duration::from_secs(1)).await;
    worker.cut_off();
    let (events, mut received) = mpsc::channel(16);
    let clock = BootClock::start();
    let mut orders = WorkerOrders::new(Handle::current(), events, clock, service_id(), 1);
    orders.permit_until(clock.now() + Duration::from_mins(1));

    // Three orders are sent at a time, and each takes 0.7 s without an answer.
    for _ in 0..9 {
        orders.send(PipelineAction::Start(start_order(&worker)));
    }
    let mut results = Vec::new();
    for _ in 0..9 {
        results.extend(next_start_result(&mut received).await);
    }

    let unsent = results
        .iter()
        .filter(|result| **result == StartResult::NotSent);
    assert_eq!(unsent.count(), 3);
}

/// Guards against a second run of a task: an order that waits for a connection while its worker
/// is cut off is sent after the owner has given up the claim, and a restarted worker carries it
/// out.
#[tokio::test]
async fn a_start_of_a_former_claim_is_not_sent() {
    let worker = WorkerStandin::start("w1", Duration::from_secs(1)).await;
    let (events, mut received) = mpsc::channel(8);
    let clock = BootClock::start();
    let mut orders = WorkerOrders::new(Handle::current(), events, clock, service_id(), 1);
    orders.permit_until(clock.now() + Duration::from_mins(1));
    let order = start_order(&worker);
    let renewal = RenewalOrder {
        worker: order.worker.clone(),
        address: order.address.clone(),
        token: order.token + 1,
        acked_end: 0,
        deadline_ms: None,
        wait: Duration::from_mins(1),
        time_limit: Duration::from_secs(2),
    };

    orders.send(PipelineAction::Start(order));
    // Neither order is sent before the test waits.
    orders.send(PipelineAction::Renew(renewal));
    let result = next_start_result(&mut received).await;

    assert_eq!(result, Some(StartResult::NotSent));
    assert!(worker.starts().is_empty());
}

/// Returns a notice about job 1.
fn notice(revision: u64, change: JobChange) -> JobNotice {
    JobNotice {
        service: service_id(),
        id: 1,
        revision,
        team: None,
        change,
    }
}

/// Guards against a job that runs again because a notice about it arrives after the owner
/// has been replaced: its key was removed before the takeover.
#[test]
fn a_notice_of_a_write_before_the_takeover_has_no_effect() {
    let mut shard = shard_with(empty_shard());
    let change = JobChange::Accepted(Arc::new(job()));

    let late = shard.apply_notice(notice(40, change.clone()));
    let new = shard.apply_notice(notice(41, change));

    assert_eq!(late, None);
    assert!(matches!(new, Some(PipelineEvent::Stored(1, _, None))));
}

/// Guards against a job that its owner has ended and that a late notice adds again.
#[test]
fn a_notice_of_a_job_that_has_ended_adds_nothing() {
    let mut shard = shard_with_cancelled_job();
    shard.next_commit(Duration::ZERO).unwrap();
    shard.finish_commit(&TransactionOutcome::Done(41), Duration::ZERO);
    let change = JobChange::Accepted(Arc::new(job()));

    let event = shard.apply_notice(notice(50, change)).unwrap();
    shard.handle(event, Duration::ZERO);

    assert!(!shard.state.contains(1));
}

/// Guards against a cancellation whose key is removed because its notice arrives before the
/// job.
#[test]
fn a_notice_of_a_cancellation_waits_for_the_watch_if_the_job_is_unknown() {
    let mut shard = shard_with(empty_shard());

    let unknown = shard.apply_notice(notice(42, JobChange::Cancelled));
    let stored = shard.apply_notice(notice(41, JobChange::Accepted(Arc::new(job()))));
    shard.handle(stored.unwrap(), Duration::ZERO);
    let known = shard.apply_notice(notice(42, JobChange::Cancelled));

    assert_eq!(unknown, None);
    assert_eq!(known, Some(PipelineEvent::Cancelled(1)));
}
