//! Measures the store writes of one daemon at the peak rate of task records.

use std::{collections::BTreeSet, time::Duration};

use auburnsaddle_core::{
    GangMode, JobSpec, JournalAction, JournalCodec, JournalConfig, JournalError, JournalEvent,
    JournalKey, JournalRecord, RecordKind, RecordLog, RecordUrgency, ResourceVector, RestartPolicy,
    SegmentBody, SegmentPosition, ShardName, SnapshotManifest, TaskId, TaskOutcome, TaskRecord,
    UrgencyClass, encode_envelope,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde::Serialize;

use crate::{
    CounterReading, MeasuredCluster, as_float, full_size,
    support::{count::ByteCount, work::WorkCluster},
};

/// One pool with two teams: `photo-checks` starts about 7.7 tasks per second,
/// `watches` about 1.9. At full size a fifth of the running tasks are
/// long-running. The load assumes that they are also a fifth of the starts,
/// which overestimates the cost, since long-running tasks start far less often.
const LOAD_OBJECTS: &str = r#"
[[pool]]
name = "general"
region = "nordeste"
zones = ["zone-0", "zone-1", "zone-2"]
shapes = [{ count = 4, rack_size = 1, capacity = { cpu_milli = 8000, memory_mib = 8192 } }]

[[team]]
name = "nightly"
quota = { cpu_milli = 13000, memory_mib = 65536 }

[[team]]
name = "settlement"
quota = { cpu_milli = 3000, memory_mib = 65536 }

[[batch]]
name = "photo-checks"
pool = "general"
team = "nightly"
urgency = "batch"
count = 600
request = { cpu_milli = 1000, memory_mib = 1024 }
run_time_seconds = 1

[[batch]]
name = "watches"
pool = "general"
team = "settlement"
count = 200
request = { cpu_milli = 1000, memory_mib = 1024 }
run_time_seconds = 1
"#;

/// Commit interval of the journal in a region of 48 daemons.
const COMMIT_INTERVAL_MS: &str = "300";

/// Number of workers of the pool.
const WORKERS: usize = 4;

/// Time before the measurement in which the load becomes steady.
const WARM_UP: Duration = Duration::from_secs(4);

/// Duration of the measurement.
const LOAD_SECONDS: u64 = 25;

/// Rates per second of one daemon while it recorded starts and ends of tasks.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecordRates {
    /// Starts of tasks of all urgencies.
    pub starts: f64,
    /// Starts of tasks of normal urgency, whose records are committed promptly.
    pub prompt_starts: f64,
    /// Store transactions.
    pub commits: f64,
    /// Request bytes of these transactions.
    pub bytes: f64,
}

/// Runs the load on one daemon with the commit interval of 48 daemons and
/// returns its rates.
pub async fn measure_records() -> RecordRates {
    let settings = ["--commit-interval-ms", COMMIT_INTERVAL_MS];
    let (cluster, store) = WorkCluster::start_counted(WORKERS, LOAD_OBJECTS, &settings).await;
    let prompt = cluster.submit_accepted(0, "watches", "a").await;
    cluster.submit_accepted(0, "photo-checks", "b").await;
    tokio::time::sleep(WARM_UP).await;

    let starts_before = count_starts(&cluster, &prompt);
    let before = read_counters(&cluster, &store).await;
    tokio::time::sleep(Duration::from_secs(LOAD_SECONDS)).await;
    let counted = read_counters(&cluster, &store).await.since(&before);
    let starts_after = self::count_starts(&cluster, &prompt);

    let per_second = |count: f64| count / as_float(LOAD_SECONDS);
    RecordRates {
        starts: per_second(starts_after.0 - starts_before.0),
        prompt_starts: per_second(starts_after.1 - starts_before.1),
        commits: per_second(counted.calls("write")),
        bytes: per_second(counted.store_write_bytes),
    }
}

async fn read_counters(cluster: &WorkCluster, store: &ByteCount) -> CounterReading {
    MeasuredCluster::read_daemons(&cluster.cluster, store, 1).await
}

/// Returns the number of tasks started so far, and how many of them are in
/// `named`.
fn count_starts(cluster: &WorkCluster, named: &[String]) -> (f64, f64) {
    let named: BTreeSet<_> = named.iter().collect();
    let starts = cluster.starts();
    let prompt = starts.keys().filter(|task| named.contains(task)).count();
    (as_float(starts.len() as u64), as_float(prompt as u64))
}

/// Returns the number of bytes that one record of a start or an end of a task
/// adds to a segment, as a mean over equally many of both.
pub fn bytes_per_record() -> f64 {
    const RECORDS: u32 = 1_000;
    let more = segment_bytes(2 * RECORDS);
    let fewer = segment_bytes(RECORDS);
    as_float(more - fewer) / f64::from(RECORDS)
}

fn segment_bytes(records: u32) -> u64 {
    encoded_bytes((0..records).map(task_record).collect())
}

/// Returns a record of a task's start for even numbers, and of its end for odd
/// numbers.
fn task_record(number: u32) -> JournalRecord {
    let task = TaskId::from_u128(u128::from(number / 2) << 64);
    let (kind, record) = if number.is_multiple_of(2) {
        let worker = format!("worker-{:04}", number % 6_200).into();
        let starts = vec![(task, 1, worker)];
        (RecordKind::TaskStarted, TaskRecord::Started(starts))
    } else {
        let record = TaskRecord::Ended(task, TaskOutcome::Succeeded);
        (RecordKind::TaskEnded, record)
    };
    journal_record(kind, &record)
}

fn journal_record(kind: RecordKind, record: &TaskRecord) -> JournalRecord {
    let payload = encode(record);
    JournalRecord { kind, payload }
}

fn encoded_bytes(records: Vec<JournalRecord>) -> u64 {
    let body = SegmentBody {
        shard: ShardName::Pool("sales".into()),
        daemon: "daemon-0".into(),
        key: JournalKey::Segment(SegmentPosition {
            epoch: 3,
            sequence: 1,
        }),
        records,
    };
    encode_envelope(&encode(&body)).len() as u64
}

/// Returns the bytes of a snapshot of one daemon's share: 875 running tasks in
/// jobs of ten, which is an assumption, and the 10,000 ended tasks that a pool
/// keeps.
pub fn snapshot_bytes_per_daemon() -> f64 {
    const RUNNING: u32 = 875;
    const ENDED: u32 = 10_000;
    let running = (0..RUNNING).map(|number| task_record(2 * number));
    let jobs = (0..RUNNING / 10).map(job_record);
    let ended = (RUNNING..RUNNING + ENDED).map(|number| task_record(2 * number + 1));
    as_float(encoded_bytes(jobs.chain(running).chain(ended).collect()))
}

/// Simulates a record log with the configuration of 48 daemons in virtual time,
/// and returns its commits per second. Records arrive independently of each
/// other at the peak rate of one daemon. In the load on a real daemon, records
/// arrive in step with the daemon's commits, so that it needs fewer.
pub fn simulate_commits_per_second(seed: u64) -> f64 {
    const SECONDS: u32 = 2_000;
    const STEP: Duration = Duration::from_millis(10);
    let shard = ShardName::Pool("sales".into());
    let mut log = RecordLog::new(
        "daemon-0".into(),
        JournalConfig::for_daemons(48),
        SegmentCodec,
    );
    let opened = JournalEvent::Opened {
        shard: shard.clone(),
        epoch: 1,
        manifest: None,
        keys: Vec::new(),
    };
    log.handle(opened, Duration::ZERO);
    let mut generator = StdRng::seed_from_u64(seed);
    let prompt = full_size::PROMPT_STARTS_PER_SECOND * STEP.as_secs_f64();
    let deferred = 2.0 * full_size::STARTS_PER_SECOND * STEP.as_secs_f64() - prompt;
    let (mut now, mut commits) = (Duration::ZERO, 0);
    while now < Duration::from_secs(u64::from(SECONDS)) {
        let arrivals = [
            (prompt, RecordUrgency::Prompt),
            (deferred, RecordUrgency::Deferred),
        ];
        for (chance, urgency) in arrivals {
            if generator.random_bool(chance) {
                let appended = log.append_with(&shard, task_record(0), urgency);
                appended.expect("the shard is open");
            }
        }
        for action in log.handle(JournalEvent::TimerFired, now) {
            if let JournalAction::Commit(batch) = action {
                commits += 1;
                log.handle(JournalEvent::Committed(batch.number), now);
            }
        }
        now += STEP;
    }
    f64::from(commits) / f64::from(SECONDS)
}

/// Encodes segments and manifests. Decoding always fails, as the bench reads
/// nothing back.
#[derive(Clone, Debug)]
struct SegmentCodec;

impl JournalCodec for SegmentCodec {
    fn encode_segment(&self, body: &SegmentBody) -> Vec<u8> {
        encode(body)
    }

    fn encode_manifest(&self, manifest: &SnapshotManifest) -> Vec<u8> {
        encode(manifest)
    }

    fn decode_segment(&self, _: &[u8]) -> Result<SegmentBody, JournalError> {
        Err(JournalError::Truncated)
    }

    fn decode_manifest(&self, _: &[u8]) -> Result<SnapshotManifest, JournalError> {
        Err(JournalError::Truncated)
    }
}

/// Returns the time between two snapshots of one pool at full size, whichever
/// of the limits on segments and bytes is reached first.
pub fn snapshot_interval_seconds(commits: f64, record_bytes: f64) -> f64 {
    let config = JournalConfig::for_daemons(48);
    let empty = as_float(segment_bytes(0));
    let bytes = 2.0 * full_size::STARTS_PER_SECOND * record_bytes + commits * empty;
    let by_count = as_float(config.snapshot_segments as u64) / commits;
    by_count.min(as_float(config.snapshot_bytes as u64) / bytes)
}

/// Returns a record of the acceptance of a job of ten tasks.
fn job_record(number: u32) -> JournalRecord {
    let first = u128::from(number) << 64;
    let spec = JobSpec {
        job: u64::from(number),
        tasks: (0..10)
            .map(|task| TaskId::from_u128(first + task))
            .collect(),
        object: "photo-checks".into(),
        team: "nightly".into(),
        urgency: UrgencyClass::Batch,
        labels: vec!["kind=photo-checks".into()],
        demand: ResourceVector::default(),
        run_time: Some(Duration::from_mins(1)),
        restart: RestartPolicy::default(),
        gang: GangMode::default(),
        spread: false,
        checkpoint: false,
        after: Vec::new(),
    };
    journal_record(RecordKind::TaskAccepted, &TaskRecord::Accepted(spec))
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .expect("journal values can be encoded")
}
