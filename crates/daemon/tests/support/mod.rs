//! A cluster of real daemon processes with stand-ins inside the test process.
//! All sockets are on loopback, and all processes end with the cluster.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use auburnsaddle_core::ObjectLoader;
use auburnsaddle_standins::{
    http::serve,
    platform::{self, SharedPlatform},
    runner::{self, SharedRunner},
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
};

/// The objects that the tests apply.
const SETTLEMENT_OBJECTS: &str = r#"
[[pool]]
name = "sales"
region = "nordeste"
zones = ["nordeste-a", "nordeste-b", "nordeste-c"]

[[service]]
name = "settlement"
pool = "sales"
urgency = "urgent"
deadline_ms = 2000
"#;

/// Time for anything to happen; far above what is expected, so that a busy
/// machine does not fail a test.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// What became of one call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallResult {
    /// A whole response with its status, outcome header and body.
    Answered(StatusCode, String, String),
    /// The connection was refused, so the call was not sent.
    NotConnected,
    /// The exchange broke off after the call was sent.
    BrokenOff(String),
}

/// One daemon process.
pub struct DaemonProcess {
    pub address: SocketAddr,
    pub child: Child,
}

/// Daemons, runners and the platform.
pub struct TestCluster {
    pub platform: SharedPlatform,
    pub runners: Vec<SharedRunner>,
    pub daemons: Vec<DaemonProcess>,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl TestCluster {
    /// Starts `count` daemons, each in its own zone with one runner, and applies
    /// a configuration with the service `settlement`.
    pub async fn start(count: usize) -> Self {
        let (mut cluster, platform) = Self::without_daemons(count).await;
        cluster.daemons = (0..count)
            .map(|index| start_daemon(index, platform))
            .collect();
        cluster.apply_settlement().await;
        cluster.wait_until_serving().await;
        cluster
    }

    /// Does the same, but the first daemon owns all shards.
    pub async fn start_with_one_owner(count: usize) -> Self {
        let (mut cluster, platform) = Self::without_daemons(count).await;
        cluster.daemons.push(start_daemon(0, platform));
        cluster.apply_settlement().await;
        cluster.wait_until_serving().await;
        let others = (1..count).map(|index| start_daemon(index, platform));
        cluster.daemons.extend(others);
        cluster.wait_until_serving().await;
        cluster
    }

    async fn without_daemons(count: usize) -> (Self, SocketAddr) {
        let platform = SharedPlatform::default();
        let platform_address = serve_platform(platform.clone()).await;
        let mut runners = Vec::new();
        let mut hosts = Vec::new();
        for index in 0..count {
            let runner = SharedRunner::new(8);
            let address = serve_runner(runner.clone()).await;
            hosts.push(host_entry(index, address));
            runners.push(runner);
        }
        platform.lock().hosts = hosts;
        let cluster = Self {
            platform,
            runners,
            daemons: Vec::new(),
            client: Client::builder(TokioExecutor::new()).build_http(),
        };
        (cluster, platform_address)
    }

    /// Sends a call of the service to a daemon.
    pub async fn call(&self, daemon: usize, body: &str) -> CallResult {
        let address = self.daemons[daemon].address;
        let uri = format!("http://{address}/v1/services/settlement/redeem");
        self.send(Method::POST, uri, body.to_owned()).await
    }

    /// Sends a call with one more header to the first daemon.
    pub async fn call_with_header(&self, name: &str, value: &str) -> CallResult {
        let address = self.daemons[0].address;
        let request = Request::post(format!("http://{address}/v1/services/settlement/redeem"))
            .header(name, value)
            .body(Full::new(Bytes::from_static(b"token")))
            .expect("the fixture's requests are valid");
        self.exchange(request).await
    }

    /// Sends bytes to the first daemon and returns the text that comes back
    /// before the daemon closes the connection.
    pub async fn send_raw(&self, bytes: &str) -> String {
        let address = self.daemons[0].address;
        let exchange = async {
            let mut stream = TcpStream::connect(address).await.expect("the daemon runs");
            // The daemon may close the connection before it has read all bytes.
            let _ = stream.write_all(bytes.as_bytes()).await;
            let mut answer = Vec::new();
            let _ = stream.read_to_end(&mut answer).await;
            String::from_utf8_lossy(&answer).into_owned()
        };
        let answer = tokio::time::timeout(PATIENCE, exchange).await;
        answer.expect("the daemon closes the connection")
    }

    /// Reads a page of a daemon.
    pub async fn get(&self, daemon: usize, path: &str) -> CallResult {
        let uri = format!("http://{}{path}", self.daemons[daemon].address);
        self.send(Method::GET, uri, String::new()).await
    }

    /// Returns the owners by shard as a daemon knows them.
    pub async fn owners(&self, daemon: usize) -> Value {
        match self.get(daemon, "/admin/status").await {
            CallResult::Answered(_, _, body) => {
                let status: Value = serde_json::from_str(&body).unwrap_or_default();
                status["owners"].clone()
            }
            _ => Value::Null,
        }
    }

    async fn send(&self, method: Method, uri: String, body: String) -> CallResult {
        let request = Request::builder()
            .method(method)
            .uri(uri)
            .header("auburnsaddle-deadline-ms", PATIENCE.as_millis().to_string())
            .body(Full::new(Bytes::from(body)))
            .expect("the fixture's requests are valid");
        self.exchange(request).await
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> CallResult {
        let exchange = async {
            let response = match self.client.request(request).await {
                Ok(response) => response,
                Err(error) if error.is_connect() => return CallResult::NotConnected,
                Err(error) => return CallResult::BrokenOff(error.to_string()),
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
                Err(error) => CallResult::BrokenOff(error.to_string()),
            }
        };
        match tokio::time::timeout(PATIENCE, exchange).await {
            Ok(result) => result,
            Err(_) => CallResult::BrokenOff("no answer in time".to_owned()),
        }
    }

    async fn apply_settlement(&self) {
        let mut loader = ObjectLoader::default();
        loader.add("settlement.toml", SETTLEMENT_OBJECTS);
        let report = loader.finish();
        assert!(report.is_valid(), "{:?}", report.problems);
        let objects = report.set;
        let service = json!({
            "base": 0,
            "objects": objects,
        });
        let address = self.daemons[0].address;
        let uri = format!("http://{address}/admin/config");
        let started_at = Instant::now();
        loop {
            let result = self
                .send(Method::POST, uri.clone(), service.to_string())
                .await;
            match result {
                CallResult::Answered(StatusCode::OK, _, _) => return,
                other => assert!(started_at.elapsed() < PATIENCE, "not applied: {other:?}"),
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until each daemon answers calls and knows an owner of each shard.
    async fn wait_until_serving(&self) {
        for daemon in 0..self.daemons.len() {
            let started_at = Instant::now();
            loop {
                let result = self.call(daemon, "warm-up").await;
                let owners = self.owners(daemon).await;
                let known = owners.as_object().map_or(0, serde_json::Map::len);
                let serving = matches!(result, CallResult::Answered(StatusCode::OK, _, _));
                if serving && known == self.runners.len() {
                    break;
                }
                assert!(started_at.elapsed() < PATIENCE, "{daemon}: {result:?}");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

impl DaemonProcess {
    /// Asks the daemon to drain.
    pub fn terminate(&self) {
        let id = i32::try_from(self.child.id()).expect("process ids fit");
        let status = Command::new("kill")
            .args(["-TERM", &id.to_string()])
            .status();
        assert!(status.is_ok_and(|status| status.success()));
    }

    /// Waits for the end of the process and returns its exit code.
    pub fn wait_for_exit(&mut self) -> Option<i32> {
        let started_at = Instant::now();
        loop {
            match self.child.try_wait() {
                Ok(Some(status)) => return status.code(),
                _ => assert!(started_at.elapsed() < PATIENCE, "the daemon does not end"),
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

async fn serve_runner(runner: SharedRunner) -> SocketAddr {
    let (listener, address) = listen().await;
    tokio::spawn(serve(listener, runner.connections(), move |request| {
        runner::handle(runner.clone(), request)
    }));
    address
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
        "address": address.to_string(), "state": "live", "slots": 8,
    })
}

/// Starts a daemon on free ports and learns its address from its log.
fn start_daemon(index: usize, platform: SocketAddr) -> DaemonProcess {
    let platform = platform.to_string();
    let (name, zone) = (format!("daemon-{index}"), format!("zone-{index}"));
    let mut child = Command::new(env!("CARGO_BIN_EXE_auburnsaddled"))
        .args(["--name", &name, "--region", "nordeste", "--zone", &zone])
        .args(["--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0"])
        .args(["--store", &platform, "--hosts", &platform])
        .stderr(Stdio::piped())
        .spawn()
        .expect("the daemon's binary is built");
    let log = child.stderr.take().expect("standard error is piped");
    let mut lines = BufReader::new(log).lines().map_while(Result::ok);
    let address = lines
        .find_map(|line| caller_address(&line))
        .expect("the daemon logs its address");
    // The rest of the log goes to the test's output, read so that the pipe
    // never fills.
    thread::spawn(move || lines.for_each(|line| eprintln!("{line}")));
    DaemonProcess { address, child }
}

fn caller_address(line: &str) -> Option<SocketAddr> {
    let (_, rest) = line.split_once("serving callers on ")?;
    rest.split_once(' ')?.0.parse().ok()
}
