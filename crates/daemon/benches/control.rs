//! Measures the cost of the control plane per event: bytes and store calls per
//! heartbeat, lease renewal, configuration change, takeover and task record.
//! The counts come from real daemons on loopback.
//!
//! Run with `cargo bench --bench control`. No bounded value depends on the speed
//! of the machine; processor time is printed for information only. Memory is
//! bounded for an idle daemon and otherwise printed for information.

#[path = "../../core/benches/support/table.rs"]
#[allow(
    dead_code,
    reason = "all benches share the table, and each uses only some of it"
)]
mod table;

#[path = "records/mod.rs"]
mod records;

#[path = "../tests/support/mod.rs"]
mod support;

use std::{
    collections::BTreeMap,
    process::Command,
    sync::Arc,
    time::{Duration, Instant},
};

use records::{
    RecordRates, bytes_per_record, measure_records, simulate_commits_per_second,
    snapshot_bytes_per_daemon, snapshot_interval_seconds,
};
use support::{
    CallResult, TestCluster, WAIT_TIMEOUT, count::ByteCount, load::CallerLoad,
    versions::wait_for_version,
};
use table::BoundTable;

/// Seed printed in the table. The daemons seed their generators themselves, and
/// no counted value depends on them.
const SEED: u64 = 0;

/// Number of daemons of the measured cluster, each with one call shard.
const DAEMONS: usize = 3;

/// [`DAEMONS`] as a divisor.
const DAEMON_COUNT: f64 = 3.0;

/// Time over which an idle cluster is measured: five renewals of each lease.
const IDLE_WINDOW: Duration = Duration::from_secs(15);

/// Time between two renewals of a daemon's lease.
const RENEWAL_SECONDS: f64 = 3.0;

/// Time without a shard move after which no further move is expected, as moves
/// are 10 s apart.
const STABLE_PERIOD: Duration = Duration::from_secs(12);

/// Longest wait for [`STABLE_PERIOD`]: enough for a move of each of the 35
/// shards.
const STABLE_TIMEOUT: Duration = Duration::from_secs(400);

/// Number of configuration changes that are published.
const CHANGES: u32 = 20;

/// Hosts added to the list of hosts, as many as 6,200 workers and 400 runners.
const ADDED_HOSTS: usize = 6_600;

/// Time over which the processor time for these hosts is measured.
const HOST_LIST_WINDOW: Duration = Duration::from_secs(10);

/// Duration of the load of calls, each of which needs one slot grant.
const CALL_LOAD_DURATION: Duration = Duration::from_secs(3);

/// The full size for which the cost is extrapolated, and its targets.
mod full_size {
    pub const DAEMONS: f64 = 48.0;
    pub const REGION_PEERS: f64 = 7.0;
    pub const OTHER_REGIONS: f64 = 5.0;
    pub const WORKERS: f64 = 130.0;
    pub const REGION_HEARTBEATS_PER_SECOND: f64 = 2.0;
    pub const RELAY_HEARTBEATS_PER_SECOND: f64 = 0.2;
    pub const SYNC_SECONDS: f64 = 15.0;
    pub const CHANGES_PER_SECOND: f64 = 2_300.0 / 86_400.0;
    /// Task starts of each daemon. There are as many ends.
    pub const STARTS_PER_SECOND: f64 = 460.0 / DAEMONS;
    /// Starts of long-running tasks of each daemon, assumed to be a fifth of all.
    pub const PROMPT_STARTS_PER_SECOND: f64 = STARTS_PER_SECOND / 5.0;

    /// Highest permitted control traffic of one daemon.
    pub const CONTROL_BYTES_PER_SECOND: f64 = 3_000.0;
    /// Highest permitted write rate of all daemons together.
    pub const STORE_WRITES_PER_SECOND: f64 = 200.0;
    /// Highest permitted read rate of all daemons together.
    pub const STORE_READS_PER_SECOND: f64 = 1_000.0;
    /// Highest permitted resident memory of an idle daemon.
    pub const MEMORY_MIB: f64 = 64.0;
}

/// Bytes of a worker sync after header compression. This is the planned figure,
/// since a bench cannot access the worker client of the daemon.
const SYNC_BYTES: f64 = 120.0;

/// Highest permitted size of a heartbeat.
const HEARTBEAT_BYTES: f64 = 60.0;

/// Highest permitted size of a journal record.
const RECORD_BYTES: f64 = 40.0;

/// Growth by base64, which encodes 3 bytes as 4 characters.
const BASE64: f64 = 4.0 / 3.0;

/// Sums of the counters of several daemons and of the store relay at one time.
#[derive(Clone, Debug, Default)]
struct CounterReading {
    peer_bytes: f64,
    heartbeats: f64,
    store_bytes: f64,
    store_write_bytes: f64,
    store_calls: BTreeMap<&'static str, f64>,
    cpu_seconds: f64,
}

impl CounterReading {
    /// Returns the differences from an earlier reading.
    fn since(&self, before: &Self) -> Self {
        let calls = self.store_calls.iter().map(|(kind, calls)| {
            let earlier = before.store_calls.get(kind).copied().unwrap_or_default();
            (*kind, calls - earlier)
        });
        Self {
            peer_bytes: self.peer_bytes - before.peer_bytes,
            heartbeats: self.heartbeats - before.heartbeats,
            store_bytes: self.store_bytes - before.store_bytes,
            store_write_bytes: self.store_write_bytes - before.store_write_bytes,
            store_calls: calls.collect(),
            cpu_seconds: self.cpu_seconds - before.cpu_seconds,
        }
    }

    /// Returns the number of store calls of a kind.
    fn calls(&self, kind: &str) -> f64 {
        self.store_calls.get(kind).copied().unwrap_or_default()
    }
}

/// The measured cluster, with the counters of the bytes that its daemons send to
/// the store.
struct MeasuredCluster {
    cluster: Arc<TestCluster>,
    store: ByteCount,
}

impl MeasuredCluster {
    /// Reads the counters of the first `daemons` daemons.
    async fn read(&self, daemons: usize) -> CounterReading {
        Self::read_daemons(&self.cluster, &self.store, daemons).await
    }

    async fn read_daemons(
        cluster: &TestCluster,
        store: &ByteCount,
        daemons: usize,
    ) -> CounterReading {
        let mut reading = CounterReading {
            store_bytes: as_float(store.bytes()),
            store_write_bytes: as_float(store.write_bytes()),
            ..CounterReading::default()
        };
        for daemon in 0..daemons {
            let CallResult::Answered(_, _, page) = cluster.get(daemon, "/metrics").await else {
                continue;
            };
            reading.peer_bytes += parse_metric(&page, "auburnsaddle_peer_bytes_written_total");
            reading.heartbeats += parse_metric(&page, "auburnsaddle_heartbeats_sent_total");
            for kind in ["read", "write", "lease", "watch"] {
                let name = format!("auburnsaddle_store_calls_total{{kind=\"{kind}\"");
                *reading.store_calls.entry(kind).or_default() += parse_metric(&page, &name);
            }
            let process = cluster.daemons[daemon].child.id();
            reading.cpu_seconds += cpu_seconds(process);
        }
        reading
    }

    /// Returns the mean resident memory of the daemons.
    fn resident_mib(&self) -> f64 {
        let daemons = self.cluster.daemons.iter();
        let total: f64 = daemons.map(|daemon| resident_mib(daemon.child.id())).sum();
        total / DAEMON_COUNT
    }

    /// Returns the owner of each shard as the first daemon knows it.
    async fn owners(&self) -> BTreeMap<String, String> {
        let owners = self.cluster.owners(0).await;
        serde_json::from_value(owners).unwrap_or_default()
    }

    /// Waits until no shard has moved for [`STABLE_PERIOD`], so that no move falls
    /// into a measurement.
    async fn wait_until_stable(&self) {
        let started_at = Instant::now();
        let (mut owners, mut since) = (self.owners().await, started_at);
        while since.elapsed() < STABLE_PERIOD {
            assert!(
                started_at.elapsed() < STABLE_TIMEOUT,
                "shards still move: {owners:?}"
            );
            tokio::time::sleep(Duration::from_millis(200)).await;
            let now = self.owners().await;
            if now != owners {
                (owners, since) = (now, Instant::now());
            }
        }
    }
}

/// Measured costs per event, from which the cost at full size is extrapolated.
#[derive(Clone, Copy, Debug, Default)]
struct ControlSlopes {
    heartbeat_bytes: f64,
    idle_store_bytes: f64,
    idle_writes: f64,
    idle_reads: f64,
    change_bytes: f64,
    change_writes: f64,
    change_reads: f64,
    claim_bytes: f64,
    record_bytes: f64,
    idle_processor_percent: f64,
    load: RecordRates,
}

#[tokio::main]
async fn main() {
    let mut table = BoundTable::start(&[
        "Control cost per event, counted at three daemons on loopback, and at 48 daemons",
        "worked out from these slopes. Bytes are those written to sockets.",
    ]);
    let mut slopes = ControlSlopes {
        record_bytes: bytes_per_record(),
        ..ControlSlopes::default()
    };
    table.at_most(
        "journal bytes per record",
        slopes.record_bytes,
        RECORD_BYTES,
        SEED,
    );
    let (cluster, store) = TestCluster::start_counted(DAEMONS).await;
    let measured = MeasuredCluster {
        cluster: Arc::new(cluster),
        store,
    };
    measured.wait_until_stable().await;
    measure_idle_cluster(&measured, &mut slopes, &mut table).await;
    measure_changes(&measured, &mut slopes, &mut table).await;
    measure_grants(&measured, &table).await;
    measure_host_list(&measured, &slopes, &table).await;
    measure_takeover(&measured, &mut slopes, &mut table).await;
    slopes.load = measure_records().await;
    check_full_size_targets(&slopes, &mut table);
    // `finish` exits the process on an exceeded bound, which would leave the
    // daemons running.
    drop(measured);
    table.finish();
}

async fn measure_idle_cluster(
    measured: &MeasuredCluster,
    slopes: &mut ControlSlopes,
    table: &mut BoundTable,
) {
    let owners = measured.owners().await;
    let before = measured.read(DAEMONS).await;
    let started_at = Instant::now();
    tokio::time::sleep(IDLE_WINDOW).await;
    let counted = measured.read(DAEMONS).await.since(&before);
    let moves = count_moved_shards(&owners, &measured.owners().await);
    let seconds = started_at.elapsed().as_secs_f64() * DAEMON_COUNT;

    slopes.heartbeat_bytes = counted.peer_bytes / counted.heartbeats;
    let renewals = counted.calls("lease");
    // Related to the number of renewals, which are periodic, instead of the
    // elapsed time.
    slopes.idle_reads = counted.calls("read") / renewals;
    // Excludes the write of each shard move; takeovers have a row of their own.
    let writes = (counted.calls("write") - moves).max(0.0);
    slopes.idle_writes = (renewals + writes) / renewals;
    slopes.idle_store_bytes = counted.store_bytes / renewals;
    table.note(
        "heartbeats counted",
        &format!("{}", counted.heartbeats),
        SEED,
    );
    table.at_most(
        "bytes per heartbeat and peer",
        slopes.heartbeat_bytes,
        HEARTBEAT_BYTES,
        SEED,
    );
    table.note("lease renewals counted", &format!("{renewals}"), SEED);
    table.at_most(
        "store writes per daemon and renewal period at rest",
        slopes.idle_writes,
        1.0,
        SEED,
    );
    table.at_most(
        "store reads per daemon and renewal period at rest",
        slopes.idle_reads,
        1.0,
        SEED,
    );
    print_value(
        table,
        "store request bytes per daemon and renewal period at rest",
        slopes.idle_store_bytes,
    );
    slopes.idle_processor_percent = counted.cpu_seconds / seconds * 100.0;
    print_value(
        table,
        "processor per daemon at rest, % of a core",
        slopes.idle_processor_percent,
    );
    let per_heartbeat = counted.cpu_seconds / counted.heartbeats * 1e6;
    print_value(
        table,
        "processor at rest per heartbeat sent, us",
        per_heartbeat,
    );
    let resident = measured.resident_mib();
    print_value(table, "resident memory of a daemon at rest, MiB", resident);
    table.at_most(
        "resident memory of a daemon at rest against its limit, MiB",
        resident,
        full_size::MEMORY_MIB,
        SEED,
    );
}

async fn measure_changes(
    measured: &MeasuredCluster,
    slopes: &mut ControlSlopes,
    table: &mut BoundTable,
) {
    let before = measured.read(DAEMONS).await;
    let mut slowest = Duration::ZERO;
    for change in 1..=CHANGES {
        let base = u64::from(change);
        measured.cluster.apply(0, base, 3_000 + change).await;
        let elapsed = wait_for_version(&measured.cluster, &[0, 1, 2], base + 1).await;
        slowest = slowest.max(elapsed);
    }
    let counted = measured.read(DAEMONS).await.since(&before);

    let changes = f64::from(CHANGES);
    let all = changes * DAEMON_COUNT;
    let renewals = counted.calls("lease");
    let heartbeats = counted.heartbeats * slopes.heartbeat_bytes;
    let idle_bytes = renewals * slopes.idle_store_bytes;
    let store_bytes = (counted.store_bytes - idle_bytes).max(0.0);
    slopes.change_bytes = ((counted.peer_bytes - heartbeats).max(0.0) + store_bytes) / all;
    slopes.change_writes = counted.calls("write") / changes;
    slopes.change_reads = (counted.calls("read") - renewals * slopes.idle_reads).max(0.0) / all;
    // The bound allows for a delta of the size of the objects, written once and
    // read by each daemon.
    table.at_most(
        "bytes per configuration change and daemon",
        slopes.change_bytes,
        2_000.0,
        SEED,
    );
    table.at_most(
        "store writes per configuration change",
        slopes.change_writes,
        1.0,
        SEED,
    );
    table.at_most(
        "store reads per configuration change and daemon",
        slopes.change_reads,
        2.0,
        SEED,
    );
    let milliseconds = slowest.as_secs_f64() * 1e3;
    print_value(
        table,
        "slowest change in force at all three daemons, ms",
        milliseconds,
    );
}

async fn measure_grants(measured: &MeasuredCluster, table: &BoundTable) {
    let before = measured.read(DAEMONS).await;
    let load = CallerLoad::start(&measured.cluster, &[0, 1, 2], 8);
    tokio::time::sleep(CALL_LOAD_DURATION).await;
    let calls = as_float(load.finish().await.len() as u64);
    let counted = measured.read(DAEMONS).await.since(&before);
    let microseconds = counted.cpu_seconds / calls * 1e6;
    print_value(table, "calls counted", calls);
    print_value(table, "processor per call with its grant, us", microseconds);
    let store = counted.calls("write") / calls;
    print_value(table, "store writes per plain call", store);
}

/// Measures the cost of a long list of hosts for each daemon, which polls the
/// list once per second and transfers it only if it has changed. The hosts are
/// in pools that are not configured: an owner also claims the workers of its own
/// pools, about 130, and that cost does not belong to the list.
async fn measure_host_list(measured: &MeasuredCluster, slopes: &ControlSlopes, table: &BoundTable) {
    let before = measured.resident_mib();
    {
        let mut platform = measured.cluster.platform.lock();
        for index in 0..ADDED_HOSTS {
            platform.hosts.push(serde_json::json!({
                "name": format!("worker-{index}"), "kind": "worker",
                "pool": format!("pool-{}", index / 130),
                "zone": "zone-0", "rack": format!("rack-{}", index / 5),
                "address": "127.0.0.1:9", "state": "live",
            }));
        }
    }
    // Waits for several polls of the list, until buffers have their final size.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let after = measured.resident_mib();
    let started = measured.read(DAEMONS).await;
    let started_at = Instant::now();
    tokio::time::sleep(HOST_LIST_WINDOW).await;
    let counted = measured.read(DAEMONS).await.since(&started);
    let seconds = started_at.elapsed().as_secs_f64() * DAEMON_COUNT;
    let added = counted.cpu_seconds / seconds * 100.0 - slopes.idle_processor_percent;
    print_value(
        table,
        "resident memory for 6,600 hosts, MiB",
        after - before,
    );
    print_value(
        table,
        "processor per daemon for 6,600 hosts, % of a core",
        added,
    );
}

async fn measure_takeover(
    measured: &MeasuredCluster,
    slopes: &mut ControlSlopes,
    table: &mut BoundTable,
) {
    let killed = DAEMONS - 1;
    let killed_name = format!("daemon-{killed}");
    let owners = measured.owners().await;
    // Leaves out the killed daemon, whose counters are lost.
    let before = measured.read(killed).await;
    let process = measured.cluster.daemons[killed].child.id().to_string();
    let status = Command::new("kill").args(["-KILL", &process]).status();
    assert!(status.is_ok_and(|status| status.success()));
    let started_at = Instant::now();
    while measured
        .owners()
        .await
        .values()
        .any(|owner| *owner == killed_name)
    {
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "no takeover");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let counted = measured.read(killed).await.since(&before);

    let claims = counted.calls("write");
    let changed = count_moved_shards(&owners, &measured.owners().await);
    slopes.claim_bytes = counted.store_write_bytes / claims.max(1.0);
    table.note("shards taken over", &format!("{changed}"), SEED);
    table.at_most(
        "store writes per shard taken over",
        claims / changed.max(1.0),
        1.0,
        SEED,
    );
    print_value(table, "store request bytes of a claim", slopes.claim_bytes);
    let seconds = started_at.elapsed().as_secs_f64();
    print_value(
        table,
        "time to the takeover of a killed owner, s",
        seconds - 1.0,
    );
}

/// Returns the number of shards in `after` whose owner differs from `before`.
fn count_moved_shards(before: &BTreeMap<String, String>, after: &BTreeMap<String, String>) -> f64 {
    let changed = after
        .iter()
        .filter(|(shard, owner)| before.get(*shard) != Some(owner));
    changed.map(|_| 1.0).sum()
}

/// Extrapolates the cost to full size and checks it against the targets.
fn check_full_size_targets(slopes: &ControlSlopes, table: &mut BoundTable) {
    let heartbeats = full_size::REGION_PEERS * full_size::REGION_HEARTBEATS_PER_SECOND
        + full_size::OTHER_REGIONS * full_size::RELAY_HEARTBEATS_PER_SECOND;
    let heartbeats = heartbeats * slopes.heartbeat_bytes;
    let syncs = full_size::WORKERS / full_size::SYNC_SECONDS * SYNC_BYTES;
    let changes = full_size::CHANGES_PER_SECOND * slopes.change_bytes;
    let records = 2.0 * full_size::STARTS_PER_SECOND * slopes.record_bytes * BASE64;
    let idle = slopes.idle_store_bytes / RENEWAL_SECONDS;
    let planned = heartbeats + syncs + changes + records;
    print_value(
        table,
        "48 daemons: heartbeat bytes/s per daemon",
        heartbeats,
    );
    print_value(
        table,
        "48 daemons: worker sync bytes/s per daemon, 120 B each assumed",
        syncs,
    );
    print_value(
        table,
        "48 daemons: configuration bytes/s per daemon",
        changes,
    );
    print_value(
        table,
        "48 daemons: journal record bytes/s per daemon, in base64",
        records,
    );
    print_value(
        table,
        "48 daemons: store requests at rest, bytes/s per daemon",
        idle,
    );
    let envelope = print_record_load(slopes, table);
    let commits = simulate_commits_per_second(SEED).max(commits_at_full_size(&slopes.load));
    print_value(table, "48 daemons: commits/s per daemon", commits);
    let envelopes = commits * envelope;
    print_value(
        table,
        "48 daemons: commit envelopes bytes/s per daemon",
        envelopes,
    );
    let snapshots = snapshot_bytes_per_daemon() * BASE64
        / snapshot_interval_seconds(commits, slopes.record_bytes);
    print_value(
        table,
        "48 daemons: snapshots bytes/s per daemon, worked out for 10,000 ended tasks",
        snapshots,
    );
    table.at_most(
        "48 daemons: control bytes/s, as section 2.12 adds them",
        planned,
        full_size::CONTROL_BYTES_PER_SECOND,
        SEED,
    );
    table.at_most(
        "48 daemons: control bytes/s with all store requests, a fifth of the starts not batch",
        planned + idle + envelopes + snapshots,
        full_size::CONTROL_BYTES_PER_SECOND,
        SEED,
    );
    let writes = full_size::DAEMONS * (slopes.idle_writes / RENEWAL_SECONDS + commits)
        + full_size::CHANGES_PER_SECOND * slopes.change_writes;
    table.at_most(
        "48 daemons: store writes/s",
        writes,
        full_size::STORE_WRITES_PER_SECOND,
        SEED,
    );
    let reads = full_size::DAEMONS
        * (slopes.idle_reads / RENEWAL_SECONDS
            + full_size::CHANGES_PER_SECOND * slopes.change_reads);
    table.at_most(
        "48 daemons: store reads/s",
        reads,
        full_size::STORE_READS_PER_SECOND,
        SEED,
    );
}

/// Prints the rates of the load of records, and returns the bytes of a commit in
/// addition to its records.
fn print_record_load(slopes: &ControlSlopes, table: &BoundTable) -> f64 {
    let load = &slopes.load;
    let records = 2.0 * load.starts * slopes.record_bytes * BASE64;
    let envelope = (load.bytes - records) / load.commits;
    print_value(table, "load of records: starts/s", load.starts);
    let prompt = load.prompt_starts;
    print_value(table, "load of records: starts/s not batch", prompt);
    print_value(table, "load of records: commits/s", load.commits);
    let name = "load of records: bytes of commits/s, as sent";
    print_value(table, name, load.bytes);
    let name = "load of records: bytes of a commit beside the records";
    print_value(table, name, envelope);
    envelope
}

/// Returns the commits per second of a daemon at full size. A smaller load is
/// scaled up in proportion, which overestimates the commits, as more records
/// share a commit at a higher rate.
fn commits_at_full_size(load: &RecordRates) -> f64 {
    let all = full_size::STARTS_PER_SECOND / load.starts;
    let prompt = full_size::PROMPT_STARTS_PER_SECOND / load.prompt_starts;
    load.commits * all.max(prompt).max(1.0)
}

/// Returns the value of the first metric line that starts with `name`, or 0.
fn parse_metric(page: &str, name: &str) -> f64 {
    let line = page.lines().find(|line| line.starts_with(name));
    let value = line.and_then(|line| line.rsplit(' ').next());
    value.and_then(|text| text.parse().ok()).unwrap_or_default()
}

/// Returns the resident memory of a process.
fn resident_mib(process: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kibibytes = line.and_then(|line| line.split_whitespace().nth(1));
    let kibibytes: f64 = kibibytes
        .and_then(|text| text.parse().ok())
        .unwrap_or_default();
    kibibytes / 1_024.0
}

/// Returns the user and system time of a process. The kernel counts 100 ticks per
/// second.
fn cpu_seconds(process: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    // Of the fields after the parenthesized name, the 12th and 13th are the user
    // and system time.
    let fields = status.rsplit_once(')').map_or("", |(_, fields)| fields);
    let ticks = fields.split_whitespace().skip(11).take(2);
    ticks
        .filter_map(|text| text.parse::<f64>().ok())
        .sum::<f64>()
        / 100.0
}

/// Prints a value that has no bound.
fn print_value(table: &BoundTable, name: &str, value: f64) {
    table.note(name, &format!("{value:.3}"), SEED);
}

#[allow(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn as_float(count: u64) -> f64 {
    count as f64
}
