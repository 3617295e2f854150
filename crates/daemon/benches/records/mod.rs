//! The store requests of one daemon under its peak load of task records.

use std::{collections::BTreeSet, time::Duration};

use crate::{
    CounterReading, MeasuredCluster, as_float,
    support::{count::ByteCount, work::WorkCluster},
};

/// One pool with two teams: the nightly runs start about 7.7 tasks a second,
/// the watches about 1.9. A fifth of the running tasks at full size are
/// long-running; that they are a fifth of the starts as well is an assumption
/// on the safe side, since a long-running task starts far less often.
const RECORD_OBJECTS: &str = r#"
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

/// Commit interval at 48 daemons.
const COMMIT_INTERVAL_MS: &str = "300";

const WORKERS: usize = 4;

/// Time for the load to become steady.
const WARM_UP: Duration = Duration::from_secs(4);

const LOAD_SECONDS: u64 = 25;

/// What one daemon sent to the store while it recorded starts and ends.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecordLoad {
    /// Starts of tasks per second.
    pub starts: f64,
    /// Starts of tasks of normal urgency per second.
    pub prompt_starts: f64,
    /// Store transactions per second.
    pub commits: f64,
    /// Bytes of these transactions per second.
    pub bytes: f64,
}

/// Runs the load on a daemon with the commit interval of 48 daemons.
pub async fn measure_records() -> RecordLoad {
    let settings = ["--commit-interval-ms", COMMIT_INTERVAL_MS];
    let (cluster, store) = WorkCluster::start_counted(WORKERS, RECORD_OBJECTS, &settings).await;
    let prompt = cluster.accepted(0, "watches", "a").await;
    cluster.accepted(0, "photo-checks", "b").await;
    tokio::time::sleep(WARM_UP).await;

    let started = started(&cluster, &prompt);
    let before = read(&cluster, &store).await;
    tokio::time::sleep(Duration::from_secs(LOAD_SECONDS)).await;
    let counted = read(&cluster, &store).await.since(&before);
    let ended = self::started(&cluster, &prompt);

    let per_second = |count: f64| count / as_float(LOAD_SECONDS);
    RecordLoad {
        starts: per_second(ended.0 - started.0),
        prompt_starts: per_second(ended.1 - started.1),
        commits: per_second(counted.calls("write")),
        bytes: per_second(counted.store_write_bytes),
    }
}

async fn read(cluster: &WorkCluster, store: &ByteCount) -> CounterReading {
    MeasuredCluster::read_daemons(&cluster.cluster, store, 1).await
}

/// Returns the starts so far, and those of the tasks named.
fn started(cluster: &WorkCluster, named: &[String]) -> (f64, f64) {
    let named: BTreeSet<_> = named.iter().collect();
    let starts = cluster.starts();
    let prompt = starts.keys().filter(|task| named.contains(task)).count();
    (as_float(starts.len() as u64), as_float(prompt as u64))
}
