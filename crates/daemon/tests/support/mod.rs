//! A test cluster of real daemon processes. The platform, the runners and the
//! workers are stand-ins inside the test process. All sockets are on loopback,
//! and dropping the cluster kills the daemons.

#![allow(
    dead_code,
    reason = "each test file is a separate crate and uses only some of the helpers"
)]

pub mod acquainted;
pub mod child;
pub mod count;
pub mod load;
pub mod process;
pub mod proxy;
pub mod versions;
pub mod work;

use std::{
    collections::{BTreeMap, BTreeSet},
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use auburnsaddle_core::{ObjectLoader, ObjectSet};
use auburnsaddle_standins::{
    http::serve,
    platform::{self, SharedPlatform},
    runner::{self, RunnerStart, SharedRunner},
};
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
};

use self::{
    load::AddressBook,
    proxy::{NetworkFaults, start_peer_proxy},
};

/// Configuration objects that a cluster publishes unless the test passes others.
pub const SETTLEMENT_OBJECTS: &str = r#"
[[pool]]
name = "sales"
region = "nordeste"
zones = ["nordeste-a", "nordeste-b", "nordeste-c"]

[[service]]
name = "settlement"
pool = "sales"
urgency = "urgent"
deadline_ms = 2000
idempotent = true

[[service]]
name = "orders"
pool = "sales"
"#;

/// Deadline setting of `settlement` in [`SETTLEMENT_OBJECTS`], which
/// [`TestCluster::apply`] replaces.
const DEADLINE_SETTING: &str = "deadline_ms = 2000";

/// Number of key shards of the region, all of which need an owner before a
/// test starts.
const KEY_SHARDS: usize = 32;

/// Longest wait for any condition or response. It is far above the expected
/// time, so that a test does not fail on a busy machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Number of slots of each runner.
const RUNNER_SLOTS: u32 = 8;

/// The result of one HTTP exchange with a daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallResult {
    /// The complete response: status, outcome header (empty if absent) and body.
    Answered(StatusCode, String, String),
    /// The connection was refused, so the call was not sent.
    NotConnected,
    /// The connection failed or [`WAIT_TIMEOUT`] passed before the complete
    /// response arrived. Holds the error text.
    Incomplete(String),
}

/// Violations of the guarantees for call starts, from the logs of the runners.
#[derive(Debug, Default, Eq, PartialEq)]
pub struct RunnerFaults {
    /// Second and later starts of a call, at the same runner or at another.
    pub duplicate_starts: Vec<RunnerStart>,
    /// Highest number of concurrent calls of each runner that exceeded its slots.
    pub excess_peaks: Vec<u32>,
    /// Starts with a lower epoch than an earlier start of the same shard at the
    /// same runner.
    pub outdated_starts: Vec<RunnerStart>,
}

/// A running daemon process, killed on drop.
pub struct DaemonProcess {
    pub address: SocketAddr,
    pub peer_address: SocketAddr,
    pub child: Child,
    /// Log lines since the daemon reported its addresses, parsed as JSON.
    log: Arc<Mutex<Vec<Value>>>,
}

/// The proxy in front of a daemon's peer address.
struct PeerProxy {
    /// Address that the daemon advertises to its peers.
    address: SocketAddr,
    /// Peer address of the current daemon process; none before the first start.
    target: watch::Sender<Option<SocketAddr>>,
}

/// Daemon processes with the stand-ins of the runners and the platform.
pub struct TestCluster {
    pub platform: SharedPlatform,
    pub runners: Vec<SharedRunner>,
    pub daemons: Vec<DaemonProcess>,
    /// Blocks links between daemons. Has an effect only if the cluster was
    /// started with proxies.
    pub network: NetworkFaults,
    platform_address: SocketAddr,
    /// Store address passed to the daemons: the platform itself, or the counting
    /// relay in front of it.
    store_address: SocketAddr,
    proxies: Vec<PeerProxy>,
    /// Stops the server of each runner.
    runner_stops: Vec<watch::Sender<bool>>,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl TestCluster {
    /// Starts `count` daemons, each in its own zone with one runner, publishes
    /// [`SETTLEMENT_OBJECTS`] and waits until all daemons serve calls.
    pub async fn start(count: usize) -> Self {
        Self::start_with_objects(count, SETTLEMENT_OBJECTS).await
    }

    /// Starts a cluster like [`Self::start`], with other objects.
    pub async fn start_with_objects(count: usize, objects: &str) -> Self {
        Self::start_with_settings(count, objects, &[]).await
    }

    /// Starts a cluster like [`Self::start`], with other objects and additional
    /// command-line settings for all daemons.
    pub async fn start_with_settings(count: usize, objects: &str, settings: &[&str]) -> Self {
        let mut cluster = Self::start_stand_ins(count).await;
        cluster.daemons = (0..count)
            .map(|index| cluster.start_daemon(index, settings))
            .collect();
        cluster.apply_objects(objects).await;
        cluster.wait_until_serving().await;
        cluster
    }

    /// Waits until a daemon has received a configuration version from each of
    /// `count` daemons, itself included.
    async fn wait_for_peers(&self, daemon: usize, count: usize) {
        let started_at = Instant::now();
        loop {
            let status = self.status(daemon).await;
            if status["versions"].as_object().map(serde_json::Map::len) == Some(count) {
                return;
            }
            assert!(
                started_at.elapsed() < WAIT_TIMEOUT,
                "daemon {daemon} does not know {count} daemons: {status}"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Starts a cluster like [`Self::start`], but the first daemon owns all
    /// shards, since the others start after the shards have owners.
    pub async fn start_with_one_owner(count: usize) -> Self {
        Self::start_stand_ins(count)
            .await
            .start_first_as_owner(count)
            .await
    }

    /// Starts a cluster like [`Self::start_with_one_owner`], with a proxy in front
    /// of the peer address of each daemon.
    pub async fn start_with_proxies(count: usize) -> Self {
        let mut cluster = Self::start_stand_ins(count).await;
        for index in 0..count {
            let (address, target) = start_peer_proxy(index, cluster.network.clone()).await;
            cluster.proxies.push(PeerProxy { address, target });
        }
        cluster.start_first_as_owner(count).await
    }

    /// Starts the first daemon, and the others once it owns all shards.
    async fn start_first_as_owner(mut self, count: usize) -> Self {
        let first = self.start_daemon(0, &[]);
        self.daemons.push(first);
        self.apply_objects(SETTLEMENT_OBJECTS).await;
        self.wait_until_serving().await;
        let others: Vec<_> = (1..count)
            .map(|index| self.start_daemon(index, &[]))
            .collect();
        self.daemons.extend(others);
        self.wait_until_serving().await;
        self
    }

    /// Starts a daemon with additional settings. The caller adds it to `daemons`.
    pub fn start_daemon(&self, index: usize, settings: &[&str]) -> DaemonProcess {
        let proxy = self.proxies.get(index);
        let advertised = proxy.map(|proxy| proxy.address.to_string());
        let mut settings = settings.to_vec();
        if let Some(advertised) = &advertised {
            settings.extend(["--peer-advertise", advertised]);
        }
        let daemon = start_daemon(index, self.store_address, self.platform_address, &settings);
        if let Some(proxy) = proxy {
            proxy.target.send_replace(Some(daemon.peer_address));
        }
        daemon
    }

    /// Starts the platform and `count` runners, but no daemons.
    pub async fn start_stand_ins(count: usize) -> Self {
        let platform = SharedPlatform::default();
        let platform_address = serve_platform(platform.clone()).await;
        let mut runners = Vec::new();
        let mut hosts = Vec::new();
        let mut runner_stops = Vec::new();
        for index in 0..count {
            let runner = SharedRunner::new(RUNNER_SLOTS);
            let (address, stop) = serve_runner(runner.clone()).await;
            runner_stops.push(stop);
            hosts.push(host_entry(index, address));
            runners.push(runner);
        }
        platform.lock().hosts = hosts;
        Self {
            platform,
            runners,
            daemons: Vec::new(),
            network: NetworkFaults::default(),
            platform_address,
            store_address: platform_address,
            proxies: Vec::new(),
            runner_stops,
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Returns a new list of the addresses at which the daemons accept calls.
    pub fn address_book(&self) -> AddressBook {
        let addresses = self.daemons.iter().map(|daemon| daemon.address);
        Arc::new(Mutex::new(addresses.collect()))
    }

    /// Checks the logs of call starts of all runners for violations.
    pub fn runner_faults(&self) -> RunnerFaults {
        let mut faults = RunnerFaults::default();
        let mut seen = BTreeSet::new();
        for runner in &self.runners {
            let runner = runner.lock();
            let mut epochs = BTreeMap::new();
            for start in runner.starts() {
                let highest = epochs.entry(start.shard.clone()).or_insert(start.epoch);
                if start.epoch < *highest {
                    faults.outdated_starts.push(start.clone());
                }
                *highest = start.epoch.max(*highest);
                if !seen.insert(start.request.clone()) {
                    faults.duplicate_starts.push(start.clone());
                }
            }
            faults.excess_peaks.push(runner.busy_counts().1);
        }
        faults.excess_peaks.retain(|peak| *peak > RUNNER_SLOTS);
        faults
    }

    /// Returns the number of calls that runners rejected for an outdated epoch.
    pub fn fenced_calls(&self) -> u64 {
        self.runners
            .iter()
            .map(|runner| runner.lock().fenced_count())
            .sum()
    }

    /// Sends a call of `settlement` to a daemon.
    pub async fn call(&self, daemon: usize, body: &str) -> CallResult {
        self.call_at(self.daemons[daemon].address, body).await
    }

    /// Sends a call of `settlement` to the daemon at an address.
    pub async fn call_at(&self, address: SocketAddr, body: &str) -> CallResult {
        let uri = format!("http://{address}/v1/services/settlement/redeem");
        self.send(Method::POST, uri, body.to_owned()).await
    }

    /// Sends a call with an additional header, and no deadline, to the first daemon.
    pub async fn call_with_header(&self, name: &str, value: &str) -> CallResult {
        let address = self.daemons[0].address;
        let request = Request::post(format!("http://{address}/v1/services/settlement/redeem"))
            .header(name, value)
            .body(Full::new(Bytes::from_static(b"token")))
            .expect("the request is well-formed");
        self.exchange(request).await
    }

    /// Sends raw bytes to the first daemon and returns what it sends until it
    /// closes the connection.
    pub async fn send_raw(&self, bytes: &str) -> String {
        let address = self.daemons[0].address;
        let exchange = async {
            let mut stream = TcpStream::connect(address).await.expect("the daemon runs");
            // The daemon may close the connection before it has read all bytes.
            let _ = stream.write_all(bytes.as_bytes()).await;
            let mut response = Vec::new();
            let _ = stream.read_to_end(&mut response).await;
            String::from_utf8_lossy(&response).into_owned()
        };
        let response = tokio::time::timeout(WAIT_TIMEOUT, exchange).await;
        response.expect("the daemon closes the connection")
    }

    /// Sends a GET request to a daemon.
    pub async fn get(&self, daemon: usize, path: &str) -> CallResult {
        let uri = format!("http://{}{path}", self.daemons[daemon].address);
        self.send(Method::GET, uri, String::new()).await
    }

    /// Returns the owner of each shard according to a daemon's status page.
    pub async fn owners(&self, daemon: usize) -> Value {
        self.status(daemon).await["owners"].clone()
    }

    /// Returns the configuration version in force at a daemon, or `None` if the
    /// daemon does not answer.
    pub async fn version(&self, daemon: usize) -> Option<u64> {
        let status = self.status(daemon).await;
        let name = status["daemon"].as_str()?;
        status["versions"][name].as_u64()
    }

    /// Returns the status page of a daemon, or null if the daemon does not answer.
    pub async fn status(&self, daemon: usize) -> Value {
        match self.get(daemon, "/admin/status").await {
            CallResult::Answered(_, _, body) => serde_json::from_str(&body).unwrap_or_default(),
            _ => Value::Null,
        }
    }

    /// Publishes [`SETTLEMENT_OBJECTS`] with another deadline of `settlement`, as
    /// the version after `base`.
    pub async fn apply(&self, daemon: usize, base: u64, deadline_ms: u32) -> CallResult {
        let text =
            SETTLEMENT_OBJECTS.replace(DEADLINE_SETTING, &format!("deadline_ms = {deadline_ms}"));
        self.publish(daemon, base, &parse_objects(&text)).await
    }

    async fn publish(&self, daemon: usize, base: u64, objects: &ObjectSet) -> CallResult {
        let publication = json!({ "base": base, "objects": objects });
        let address = self.daemons[daemon].address;
        let uri = format!("http://{address}/admin/config");
        self.send(Method::POST, uri, publication.to_string()).await
    }

    async fn send(&self, method: Method, uri: String, body: String) -> CallResult {
        let request = Request::builder()
            .method(method)
            .uri(uri)
            .header(
                "auburnsaddle-deadline-ms",
                WAIT_TIMEOUT.as_millis().to_string(),
            )
            .body(Full::new(Bytes::from(body)))
            .expect("the request is well-formed");
        self.exchange(request).await
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> CallResult {
        let exchange = async {
            let response = match self.client.request(request).await {
                Ok(response) => response,
                Err(error) if error.is_connect() => return CallResult::NotConnected,
                Err(error) => return CallResult::Incomplete(format!("{error:?}")),
            };
            let status = response.status();
            let outcome = response.headers().get("auburnsaddle-outcome");
            let outcome = outcome.map_or("", |value| value.to_str().unwrap_or_default());
            let outcome = outcome.to_owned();
            match response.into_body().collect().await {
                Ok(body) => {
                    let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
                    CallResult::Answered(status, outcome, body)
                }
                Err(error) => CallResult::Incomplete(error.to_string()),
            }
        };
        match tokio::time::timeout(WAIT_TIMEOUT, exchange).await {
            Ok(result) => result,
            Err(_) => CallResult::Incomplete("no complete response within 30 s".to_owned()),
        }
    }

    /// Publishes the first configuration, retrying until it is accepted.
    pub async fn apply_objects(&self, text: &str) {
        let objects = parse_objects(text);
        let started_at = Instant::now();
        loop {
            match self.publish(0, 0, &objects).await {
                CallResult::Answered(StatusCode::OK, _, _) => return,
                other => assert!(
                    started_at.elapsed() < WAIT_TIMEOUT,
                    "the objects were not accepted: {other:?}"
                ),
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until the daemon at an address answers calls.
    pub async fn wait_until_answering(&self, address: SocketAddr) {
        let started_at = Instant::now();
        loop {
            let result = self.call_at(address, "warm-up").await;
            if matches!(result, CallResult::Answered(StatusCode::OK, _, _)) {
                return;
            }
            assert!(
                started_at.elapsed() < WAIT_TIMEOUT,
                "{address} does not answer calls: {result:?}"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Simulates the crash of a runner: its connections are closed and new ones
    /// are refused.
    pub fn kill_runner(&self, runner: usize) {
        self.runner_stops[runner].send_replace(true);
    }

    /// Waits until each daemon answers calls and knows an owner of each shard.
    async fn wait_until_serving(&self) {
        for daemon in 0..self.daemons.len() {
            let started_at = Instant::now();
            loop {
                let result = self.call(daemon, "warm-up").await;
                let owners = self.owners(daemon).await;
                let known = owners
                    .as_object()
                    .into_iter()
                    .flat_map(serde_json::Map::keys);
                // Pools also have owners, but are not needed to serve calls.
                let known = known.filter(|shard| !shard.starts_with("pool/")).count();
                let shards = self.runners.len() + KEY_SHARDS;
                let serving = matches!(result, CallResult::Answered(StatusCode::OK, _, _));
                if serving && known == shards {
                    break;
                }
                assert!(
                    started_at.elapsed() < WAIT_TIMEOUT,
                    "daemon {daemon} does not serve calls: {result:?}, {known} of {shards} shards have owners"
                );
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

impl DaemonProcess {
    /// Returns the messages of the log lines with a request's ID, in log order.
    pub fn request_messages(&self, request: u128) -> Vec<String> {
        let id = format!("{request:032x}");
        let log = self
            .log
            .lock()
            .expect("no thread panics with the lock held");
        let lines = log
            .iter()
            .filter(|line| line["fields"]["request_id"] == *id);
        let messages = lines.filter_map(|line| line["message"].as_str());
        messages.map(ToOwned::to_owned).collect()
    }

    /// Sends SIGTERM, on which the daemon drains and exits.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Suspends the process with SIGSTOP.
    pub fn pause(&self) {
        self.signal("-STOP");
    }

    /// Resumes a suspended process with SIGCONT.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Sends a signal, such as `-KILL`, to the process, which must not have ended.
    pub fn signal(&self, name: &str) {
        self.assert_not_ended();
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([name, &id]).status();
        assert!(status.is_ok_and(|status| status.success()));
    }

    /// Waits for the process to exit without blocking other tasks, and returns
    /// its exit code.
    pub async fn wait_for_exit_async(&mut self) -> Option<i32> {
        let started_at = Instant::now();
        loop {
            match self.child.try_wait() {
                Ok(Some(status)) => return status.code(),
                _ => assert!(
                    started_at.elapsed() < WAIT_TIMEOUT,
                    "the daemon does not exit"
                ),
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Blocks until the process exits, and returns its exit code.
    pub fn wait_for_exit(&mut self) -> Option<i32> {
        let started_at = Instant::now();
        loop {
            match self.child.try_wait() {
                Ok(Some(status)) => return status.code(),
                _ => assert!(
                    started_at.elapsed() < WAIT_TIMEOUT,
                    "the daemon does not exit"
                ),
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

async fn serve_platform(platform: SharedPlatform) -> SocketAddr {
    let (listener, address) = listen().await;
    tokio::spawn(serve(listener, Arc::default(), move |request| {
        platform::handle(platform.clone(), request)
    }));
    address
}

/// Serves a runner on a separate runtime. A message to the returned sender shuts
/// the runtime down, which closes all connections of the runner.
async fn serve_runner(runner: SharedRunner) -> (SocketAddr, watch::Sender<bool>) {
    let (listener, address) = listen().await;
    let listener = listener.into_std().expect("a bound socket");
    let (stop, mut stopped) = watch::channel(false);
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        runtime.block_on(async {
            let listener = TcpListener::from_std(listener).expect("a bound socket");
            let server = serve(listener, runner.connections(), move |request| {
                runner::handle(runner.clone(), request)
            });
            tokio::select! {
                _ = server => {}
                // Also completes when the cluster drops the sender.
                _ = stopped.changed() => {}
            }
        });
    });
    (address, stop)
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = listener.local_addr().expect("a bound socket");
    (listener, address)
}

fn host_entry(index: usize, address: SocketAddr) -> Value {
    json!({
        "name": format!("runner-{index}"), "kind": "runner", "pool": "sales",
        "service": "settlement", "zone": format!("zone-{index}"), "rack": format!("rack-{index}"),
        "address": address.to_string(), "state": "live", "slots": RUNNER_SLOTS,
    })
}

/// Starts a daemon on free ports and reads its addresses from its log.
fn start_daemon(
    index: usize,
    store: SocketAddr,
    hosts: SocketAddr,
    settings: &[&str],
) -> DaemonProcess {
    let (store, hosts) = (store.to_string(), hosts.to_string());
    let (name, zone) = (format!("daemon-{index}"), format!("zone-{index}"));
    let mut child = Command::new(env!("CARGO_BIN_EXE_auburnsaddled"))
        .args(["--name", &name, "--region", "nordeste", "--zone", &zone])
        .args(["--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0"])
        .args(["--store", &store, "--hosts", &hosts])
        .args(settings)
        .stderr(Stdio::piped())
        .spawn()
        .expect("the daemon's binary is built");
    let log = child.stderr.take().expect("standard error is piped");
    let mut lines = BufReader::new(log).lines().map_while(Result::ok);
    let (address, peer_address) = lines
        .find_map(|line| listen_addresses(&line))
        .expect("the daemon logs its address");
    // Copies the rest of the log to the test's output. Without a reader the pipe
    // would fill up and block the daemon.
    let log = Arc::<Mutex<Vec<Value>>>::default();
    let thread_log = Arc::clone(&log);
    thread::spawn(move || {
        for line in lines {
            eprintln!("{line}");
            let line = serde_json::from_str(&line).unwrap_or_default();
            thread_log
                .lock()
                .expect("no thread panics with the lock held")
                .push(line);
        }
    });
    DaemonProcess {
        address,
        peer_address,
        child,
        log,
    }
}

/// Parses the addresses for callers and peers from a log line, if it has them.
fn listen_addresses(line: &str) -> Option<(SocketAddr, SocketAddr)> {
    let (_, rest) = line.split_once("serving callers on ")?;
    let (caller, rest) = rest.split_once(" and peers on ")?;
    let peer = rest.split_once('"')?.0;
    Some((caller.parse().ok()?, peer.parse().ok()?))
}

/// Parses configuration objects, which must be valid.
fn parse_objects(text: &str) -> ObjectSet {
    let mut loader = ObjectLoader::default();
    loader.add("settlement.toml", text);
    let report = loader.finish();
    assert!(report.is_valid(), "{:?}", report.problems);
    report.set
}
