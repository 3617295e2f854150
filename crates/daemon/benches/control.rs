//! Control cost as slopes: bytes and store calls per heartbeat, renewal,
//! change, takeover and record, counted at real daemons on loopback.
//!
//! Run with `cargo bench --bench control`. Nothing that is bounded depends on
//! the speed of the machine; processor time and memory are information.

#[path = "../../core/benches/support/table.rs"]
#[allow(
    dead_code,
    reason = "all benches share the table; each uses a part of it"
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
    RecordLoad, measure_records, record_slope, snapshot_seconds, snapshot_size, virtual_commits,
};
use support::{
    CallResult, TestCluster, WAIT_TIMEOUT, count::ByteCount, load::CallerLoad,
    versions::wait_for_version,
};
use table::BoundTable;

/// The daemons draw random numbers of their own; no counted value depends on
/// them.
const SEED: u64 = 0;

/// Daemons of the measured cluster, each the owner of one call shard.
const DAEMONS: usize = 3;

const DAEMON_COUNT: f64 = 3.0;

/// Time over which a cluster at rest is counted: five renewals.
const REST_TIME: Duration = Duration::from_secs(15);

const RENEWAL_SECONDS: f64 = 3.0;

/// Time without a move after which none follows: moves come 10 s apart.
const SETTLED_TIME: Duration = Duration::from_secs(12);

/// Longest wait for that: a move of each of the 35 shards.
const SETTLE_LIMIT: Duration = Duration::from_secs(400);

/// Published configuration changes.
const CHANGES: u32 = 20;

/// Hosts that are added to the list: 6,200 workers and 400 runners.
const HOSTS: usize = 6_600;

/// Time over which the processor time for these hosts is counted.
const HOSTS_TIME: Duration = Duration::from_secs(10);

/// Calls of which each needs one grant.
const GRANT_TIME: Duration = Duration::from_secs(3);

/// The size of section 1.7 of the design.
mod size {
    pub const DAEMONS: f64 = 48.0;
    pub const REGION_PEERS: f64 = 7.0;
    pub const OTHER_REGIONS: f64 = 5.0;
    pub const WORKERS: f64 = 130.0;
    pub const REGION_HEARTBEATS_PER_SECOND: f64 = 2.0;
    pub const RELAY_HEARTBEATS_PER_SECOND: f64 = 0.2;
    pub const SYNC_SECONDS: f64 = 15.0;
    pub const CHANGES_PER_SECOND: f64 = 2_300.0 / 86_400.0;
    /// Starts, with as many ends, of each daemon.
    pub const STARTS_PER_SECOND: f64 = 460.0 / DAEMONS;
    /// Starts of long-running services, of each daemon: a fifth is assumed.
    pub const PROMPT_STARTS_PER_SECOND: f64 = STARTS_PER_SECOND / 5.0;

    /// The targets.
    pub const CONTROL_BYTES_PER_SECOND: f64 = 3_000.0;
    pub const STORE_WRITES_PER_SECOND: f64 = 200.0;
    pub const STORE_READS_PER_SECOND: f64 = 1_000.0;
    pub const MEMORY_MIB: f64 = 64.0;
}

/// Bytes of a worker sync after header compression. Not measured here, since
/// the worker client of the daemon is not reachable from a bench; it is the
/// figure of section 2.12 of the design.
const SYNC_BYTES: f64 = 120.0;

/// Bytes of a heartbeat that section 2.12 plans with.
const HEARTBEAT_BYTES: f64 = 60.0;

/// Bytes of a record that section 2.5 plans with.
const RECORD_BYTES: f64 = 40.0;

/// Base64 writes 3 bytes as 4.
const BASE64: f64 = 4.0 / 3.0;

/// The counters of all daemons and of the platform at one moment.
#[derive(Clone, Debug, Default)]
struct CounterReading {
    peer_bytes: f64,
    heartbeats: f64,
    store_bytes: f64,
    store_write_bytes: f64,
    store_calls: BTreeMap<&'static str, f64>,
    processor_seconds: f64,
}

/// What was counted between two readings.
impl CounterReading {
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
            processor_seconds: self.processor_seconds - before.processor_seconds,
        }
    }

    fn calls(&self, kind: &str) -> f64 {
        self.store_calls.get(kind).copied().unwrap_or_default()
    }
}

/// The cluster with the count of the bytes that its daemons send to the store.
struct MeasuredCluster {
    cluster: Arc<TestCluster>,
    store: ByteCount,
}

impl MeasuredCluster {
    /// Reads the counters of the first `daemons`.
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
            reading.peer_bytes += metric(&page, "auburnsaddle_peer_bytes_written_total");
            reading.heartbeats += metric(&page, "auburnsaddle_heartbeats_sent_total");
            for kind in ["read", "write", "lease", "watch"] {
                let name = format!("auburnsaddle_store_calls_total{{kind=\"{kind}\"");
                *reading.store_calls.entry(kind).or_default() += metric(&page, &name);
            }
            let process = cluster.daemons[daemon].child.id();
            reading.processor_seconds += processor_seconds(process);
        }
        reading
    }

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

    /// Waits until no shard has moved for longer than the time between two
    /// moves, so that none moves on the edge of a measured window.
    async fn wait_until_settled(&self) {
        let started_at = Instant::now();
        let (mut owners, mut since) = (self.owners().await, started_at);
        while since.elapsed() < SETTLED_TIME {
            assert!(
                started_at.elapsed() < SETTLE_LIMIT,
                "not settled: {owners:?}"
            );
            tokio::time::sleep(Duration::from_millis(200)).await;
            let now = self.owners().await;
            if now != owners {
                (owners, since) = (now, Instant::now());
            }
        }
    }
}

/// The slopes from which the cost at full size is worked out.
#[derive(Clone, Copy, Debug, Default)]
struct ControlSlopes {
    heartbeat_bytes: f64,
    rest_store_bytes: f64,
    rest_writes: f64,
    rest_reads: f64,
    change_bytes: f64,
    change_writes: f64,
    change_reads: f64,
    claim_bytes: f64,
    record_bytes: f64,
    rest_processor: f64,
    load: RecordLoad,
}

#[tokio::main]
async fn main() {
    let mut table = BoundTable::start(&[
        "Control cost per event, counted at three daemons on loopback, and at 48 daemons",
        "worked out from these slopes. Bytes are those written to sockets.",
    ]);
    let mut slopes = ControlSlopes {
        record_bytes: record_slope(),
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
    measured.wait_until_settled().await;
    measure_rest(&measured, &mut slopes, &mut table).await;
    measure_changes(&measured, &mut slopes, &mut table).await;
    measure_grants(&measured, &table).await;
    measure_hosts(&measured, &slopes, &table).await;
    measure_takeover(&measured, &mut slopes, &mut table).await;
    slopes.load = measure_records().await;
    bound_full_size(&slopes, &mut table);
    // A broken bound ends the process, which would leave the daemons running.
    drop(measured);
    table.finish();
}

async fn measure_rest(
    measured: &MeasuredCluster,
    slopes: &mut ControlSlopes,
    table: &mut BoundTable,
) {
    let owners = measured.owners().await;
    let before = measured.read(DAEMONS).await;
    let started_at = Instant::now();
    tokio::time::sleep(REST_TIME).await;
    let counted = measured.read(DAEMONS).await.since(&before);
    let moves = count_changed(&owners, &measured.owners().await);
    let seconds = started_at.elapsed().as_secs_f64() * DAEMON_COUNT;

    slopes.heartbeat_bytes = counted.peer_bytes / counted.heartbeats;
    let renewals = counted.calls("lease");
    // Counted against the renewals, which keep the time, and not the clock.
    slopes.rest_reads = counted.calls("read") / renewals;
    // A move of a shard has its own row, as a takeover.
    let writes = (counted.calls("write") - moves).max(0.0);
    slopes.rest_writes = (renewals + writes) / renewals;
    slopes.rest_store_bytes = counted.store_bytes / renewals;
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
        slopes.rest_writes,
        1.0,
        SEED,
    );
    table.at_most(
        "store reads per daemon and renewal period at rest",
        slopes.rest_reads,
        1.0,
        SEED,
    );
    note(
        table,
        "store request bytes per daemon and renewal period at rest",
        slopes.rest_store_bytes,
    );
    slopes.rest_processor = counted.processor_seconds / seconds * 100.0;
    note(
        table,
        "processor per daemon at rest, % of a core",
        slopes.rest_processor,
    );
    let per_heartbeat = counted.processor_seconds / counted.heartbeats * 1e6;
    note(
        table,
        "processor at rest per heartbeat sent, us",
        per_heartbeat,
    );
    let resident = measured.resident_mib();
    note(table, "resident memory of a daemon at rest, MiB", resident);
    table.at_most(
        "resident memory of a daemon at rest against its limit, MiB",
        resident,
        size::MEMORY_MIB,
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
    let resting = renewals * slopes.rest_store_bytes;
    let store_bytes = (counted.store_bytes - resting).max(0.0);
    slopes.change_bytes = ((counted.peer_bytes - heartbeats).max(0.0) + store_bytes) / all;
    slopes.change_writes = counted.calls("write") / changes;
    slopes.change_reads = (counted.calls("read") - renewals * slopes.rest_reads).max(0.0) / all;
    // A delta of the objects' size, written once and asked for by each daemon.
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
    note(
        table,
        "slowest change in force at all three daemons, ms",
        milliseconds,
    );
}

async fn measure_grants(measured: &MeasuredCluster, table: &BoundTable) {
    let before = measured.read(DAEMONS).await;
    let load = CallerLoad::start(&measured.cluster, &[0, 1, 2], 8);
    tokio::time::sleep(GRANT_TIME).await;
    let calls = as_float(load.finish().await.len() as u64);
    let counted = measured.read(DAEMONS).await.since(&before);
    let microseconds = counted.processor_seconds / calls * 1e6;
    note(table, "calls counted", calls);
    note(table, "processor per call with its grant, us", microseconds);
    let store = counted.calls("write") / calls;
    note(table, "store writes per plain call", store);
}

/// Measures what each daemon pays for a long list of hosts, which it reads
/// once a second, without a transfer if it is unchanged. The
/// hosts are in pools that no configuration names: an owner claims only the
/// workers of its own pools, about 130, which is no cost of the list.
async fn measure_hosts(measured: &MeasuredCluster, slopes: &ControlSlopes, table: &BoundTable) {
    let before = measured.resident_mib();
    {
        let mut platform = measured.cluster.platform.lock();
        for index in 0..HOSTS {
            platform.hosts.push(serde_json::json!({
                "name": format!("worker-{index}"), "kind": "worker",
                "pool": format!("pool-{}", index / 130),
                "zone": "zone-0", "rack": format!("rack-{}", index / 5),
                "address": "127.0.0.1:9", "state": "live",
            }));
        }
    }
    // Several readings of the list, so that buffers have their final size.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let after = measured.resident_mib();
    let started = measured.read(DAEMONS).await;
    let started_at = Instant::now();
    tokio::time::sleep(HOSTS_TIME).await;
    let counted = measured.read(DAEMONS).await.since(&started);
    let seconds = started_at.elapsed().as_secs_f64() * DAEMON_COUNT;
    let added = counted.processor_seconds / seconds * 100.0 - slopes.rest_processor;
    note(
        table,
        "resident memory for 6,600 hosts, MiB",
        after - before,
    );
    note(
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
    let victim = format!("daemon-{killed}");
    let owners = measured.owners().await;
    // The counters of the killed daemon end with it.
    let before = measured.read(killed).await;
    let process = measured.cluster.daemons[killed].child.id().to_string();
    let status = Command::new("kill").args(["-KILL", &process]).status();
    assert!(status.is_ok_and(|status| status.success()));
    let started_at = Instant::now();
    while measured
        .owners()
        .await
        .values()
        .any(|owner| *owner == victim)
    {
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "no takeover");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let counted = measured.read(killed).await.since(&before);

    let claims = counted.calls("write");
    let changed = count_changed(&owners, &measured.owners().await);
    slopes.claim_bytes = counted.store_write_bytes / claims.max(1.0);
    table.note("shards taken over", &format!("{changed}"), SEED);
    table.at_most(
        "store writes per shard taken over",
        claims / changed.max(1.0),
        1.0,
        SEED,
    );
    note(table, "store request bytes of a claim", slopes.claim_bytes);
    let seconds = started_at.elapsed().as_secs_f64();
    note(
        table,
        "time to the takeover of a killed owner, s",
        seconds - 1.0,
    );
}

/// Counts the shards whose owner is another one.
fn count_changed(before: &BTreeMap<String, String>, after: &BTreeMap<String, String>) -> f64 {
    let changed = after
        .iter()
        .filter(|(shard, owner)| before.get(*shard) != Some(owner));
    changed.map(|_| 1.0).sum()
}

/// Works out the cost at full size and compares it with the targets.
fn bound_full_size(slopes: &ControlSlopes, table: &mut BoundTable) {
    let heartbeats = size::REGION_PEERS * size::REGION_HEARTBEATS_PER_SECOND
        + size::OTHER_REGIONS * size::RELAY_HEARTBEATS_PER_SECOND;
    let heartbeats = heartbeats * slopes.heartbeat_bytes;
    let syncs = size::WORKERS / size::SYNC_SECONDS * SYNC_BYTES;
    let changes = size::CHANGES_PER_SECOND * slopes.change_bytes;
    let records = 2.0 * size::STARTS_PER_SECOND * slopes.record_bytes * BASE64;
    let rest = slopes.rest_store_bytes / RENEWAL_SECONDS;
    let planned = heartbeats + syncs + changes + records;
    note(
        table,
        "48 daemons: heartbeat bytes/s per daemon",
        heartbeats,
    );
    note(
        table,
        "48 daemons: worker sync bytes/s per daemon, 120 B each assumed",
        syncs,
    );
    note(
        table,
        "48 daemons: configuration bytes/s per daemon",
        changes,
    );
    note(
        table,
        "48 daemons: journal record bytes/s per daemon, in base64",
        records,
    );
    note(
        table,
        "48 daemons: store requests at rest, bytes/s per daemon",
        rest,
    );
    let envelope = note_load(slopes, table);
    let commits = virtual_commits(SEED).max(full_commits(&slopes.load));
    note(table, "48 daemons: commits/s per daemon", commits);
    let envelopes = commits * envelope;
    note(
        table,
        "48 daemons: commit envelopes bytes/s per daemon",
        envelopes,
    );
    let snapshots = snapshot_size() * BASE64 / snapshot_seconds(commits, slopes.record_bytes);
    note(
        table,
        "48 daemons: snapshots bytes/s per daemon, worked out for 10,000 ended tasks",
        snapshots,
    );
    table.at_most(
        "48 daemons: control bytes/s, as section 2.12 adds them",
        planned,
        size::CONTROL_BYTES_PER_SECOND,
        SEED,
    );
    table.at_most(
        "48 daemons: control bytes/s with all store requests, a fifth of the starts not batch",
        planned + rest + envelopes + snapshots,
        size::CONTROL_BYTES_PER_SECOND,
        SEED,
    );
    let writes = size::DAEMONS * (slopes.rest_writes / RENEWAL_SECONDS + commits)
        + size::CHANGES_PER_SECOND * slopes.change_writes;
    table.at_most(
        "48 daemons: store writes/s",
        writes,
        size::STORE_WRITES_PER_SECOND,
        SEED,
    );
    let reads = size::DAEMONS
        * (slopes.rest_reads / RENEWAL_SECONDS + size::CHANGES_PER_SECOND * slopes.change_reads);
    table.at_most(
        "48 daemons: store reads/s",
        reads,
        size::STORE_READS_PER_SECOND,
        SEED,
    );
}

/// Prints what the load of records cost and returns the bytes of a commit
/// beside the records.
fn note_load(slopes: &ControlSlopes, table: &BoundTable) -> f64 {
    let load = &slopes.load;
    let records = 2.0 * load.starts * slopes.record_bytes * BASE64;
    let envelope = (load.bytes - records) / load.commits;
    note(table, "load of records: starts/s", load.starts);
    let prompt = load.prompt_starts;
    note(table, "load of records: starts/s not batch", prompt);
    note(table, "load of records: commits/s", load.commits);
    let name = "load of records: bytes of commits/s, as sent";
    note(table, name, load.bytes);
    let name = "load of records: bytes of a commit beside the records";
    note(table, name, envelope);
    envelope
}

/// Returns the commits of a daemon per second at full size. A load below the
/// full one is scaled up in proportion, which is above the truth, as more
/// records share a commit.
fn full_commits(load: &RecordLoad) -> f64 {
    let all = size::STARTS_PER_SECOND / load.starts;
    let prompt = size::PROMPT_STARTS_PER_SECOND / load.prompt_starts;
    load.commits * all.max(prompt).max(1.0)
}

/// Returns the value of the first line that starts with `name`.
fn metric(page: &str, name: &str) -> f64 {
    let line = page.lines().find(|line| line.starts_with(name));
    let value = line.and_then(|line| line.rsplit(' ').next());
    value.and_then(|text| text.parse().ok()).unwrap_or_default()
}

fn resident_mib(process: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kibibytes = line.and_then(|line| line.split_whitespace().nth(1));
    let kibibytes: f64 = kibibytes
        .and_then(|text| text.parse().ok())
        .unwrap_or_default();
    kibibytes / 1_024.0
}

/// Returns the processor time of a process; the system counts 100 ticks a
/// second.
fn processor_seconds(process: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    // The fields after the name in parentheses; user and system time are the
    // 12th and 13th of them.
    let fields = status.rsplit_once(')').map_or("", |(_, fields)| fields);
    let ticks = fields.split_whitespace().skip(11).take(2);
    ticks
        .filter_map(|text| text.parse::<f64>().ok())
        .sum::<f64>()
        / 100.0
}

fn note(table: &BoundTable, name: &str, value: f64) {
    table.note(name, &format!("{value:.3}"), SEED);
}

#[allow(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn as_float(count: u64) -> f64 {
    count as f64
}
