//! A cell of real daemon processes. The platform's store and its workers are
//! stand-ins inside the test process.

#![allow(
    dead_code,
    reason = "each test file is a separate crate and uses only some of the helpers"
)]

mod child;
pub(crate) mod restarts;

use std::{
    collections::BTreeMap,
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, ChildStdout, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use auburnsaddle_platform_standin::{StartRecord, StoreStandin, WorkerSetup, WorkerStandin};
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::{Value, json};

use self::child::read_end;

/// Time that a test waits for an expected state.
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

/// Time limit of a request to a daemon, with its response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);

/// Time until all lasting tasks must be at work again, from the last event: `contact-ms` (3 s), 4 s
/// and 3 s of the rule LOST of the platform.
pub(crate) const RESTORE_BOUND: Duration = Duration::from_secs(10);

pub(crate) struct DaemonProcess {
    pub(crate) child: Child,
    pub(crate) caller_port: u16,
    pub(crate) peer_port: u16,
    /// Standard output; `None` once a thread collects its lines.
    unread_output: Option<BufReader<ChildStdout>>,
    /// Log lines collected so far.
    log_lines: Arc<Mutex<Vec<Value>>>,
}

/// Daemons, a store and workers. Dropping it kills the daemons and removes their
/// settings.
pub(crate) struct CellFixture {
    pub(crate) store: StoreStandin,
    pub(crate) workers: Vec<WorkerStandin>,
    pub(crate) daemons: Vec<DaemonProcess>,
    client: Client<HttpConnector, Full<Bytes>>,
    folder: PathBuf,
    setup: CellSetup,
}

impl Drop for CellFixture {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            // The process may have exited already.
            let _ = daemon.child.kill();
            let _ = daemon.child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// What differs between the cells of the tests.
#[derive(Clone, Copy, Debug)]
struct CellSetup {
    /// Setup of all workers. The daemons are told its longest lease.
    worker: WorkerSetup,
    /// Time in s for which the states of ended jobs are kept.
    status_s: u32,
    /// Memory of a daemon's host in MB, and the descriptors of a daemon; `None` leaves them out.
    limits: Option<(u64, usize)>,
    /// Cores of the hosts of the daemons that are launched next.
    cpu_share: f64,
}

impl Default for CellSetup {
    fn default() -> Self {
        Self {
            worker: WorkerSetup::default(),
            status_s: 120,
            limits: None,
            cpu_share: 1.0,
        }
    }
}

/// Returns settings of a daemon that listens on ephemeral ports.
fn daemon_settings(name: &str, store: &str, setup: &CellSetup) -> Value {
    let max_hold_ms = u64::try_from(setup.worker.max_lease.as_millis()).unwrap();
    let address = "127.0.0.1:0";
    let mut settings = json!({
        "node-name": name, "zone": "z1", "an-unknown-field": [1, 2],
        "listen-addrs": {
            "frontend": address, "readiness": address, "control-plane": address,
        },
        "platform": {"address": store, "min-ttl-ms": 1_000},
        "bounds": {"max-hold-ms": max_hold_ms, "grace-s": 6, "status_s": setup.status_s},
    });
    settings["limits"] = json!({"cpu-share": setup.cpu_share});
    if let Some((memory_mb, max_fds)) = setup.limits {
        settings["limits"]["memory-mb"] = memory_mb.into();
        settings["limits"]["max-fds"] = max_fds.into();
    }
    settings
}

pub(crate) fn manifest(version: u64, prefixes: &[&str]) -> Value {
    let routes = prefixes.iter().map(|prefix| {
        json!({
            "name": format!("queue-{prefix}"), "host": "jobs.test", "prefix": prefix,
            "service": "sales", "priority": 1, "max-attempts": 2, "stretch": 3.0,
            "target-latency-ms": 1_000, "kind": "unsafe", "timeout-ms": 3_000,
        })
    });
    json!({"version": version, "routes": routes.collect::<Vec<_>>(), "services": [], "limits": {}})
}

/// Returns a job with one step of `task_count` tasks.
pub(crate) fn job(task_count: u32) -> Value {
    json!({
        "command": "sell",
        "pipeline": [{"count": task_count, "cpu": 1_000, "mem-mb": 100, "est-runtime-ms": 500}],
    })
}

/// Returns a request to a port of this machine, without a body.
fn request(port: u16, method: Method, path: &str) -> http::request::Builder {
    Request::builder()
        .method(method)
        .uri(format!("http://127.0.0.1:{port}{path}"))
        .header("host", "jobs.test")
}

pub(crate) async fn start_cell(daemons: usize, run_time: Duration) -> CellFixture {
    start_cell_with_workers(daemons, 2, run_time).await
}

/// Like [`start_cell`], with any number of workers.
pub(crate) async fn start_cell_with_workers(
    daemons: usize,
    workers: usize,
    run_time: Duration,
) -> CellFixture {
    let setup = WorkerSetup {
        run_time,
        ..WorkerSetup::default()
    };
    start_cell_with_setup(daemons, workers, setup).await
}

/// Like [`start_cell_with_workers`], with any setup of the workers.
pub(crate) async fn start_cell_with_setup(
    daemons: usize,
    workers: usize,
    worker: WorkerSetup,
) -> CellFixture {
    let setup = CellSetup {
        worker,
        ..CellSetup::default()
    };
    launch_cell(daemons, workers, setup).await
}

/// Like [`start_cell`], with any time for which the states of ended jobs are kept.
pub(crate) async fn start_cell_with_retention(
    daemons: usize,
    run_time: Duration,
    status_s: u32,
) -> CellFixture {
    let worker = WorkerSetup {
        run_time,
        ..WorkerSetup::default()
    };
    let setup = CellSetup {
        worker,
        status_s,
        ..CellSetup::default()
    };
    launch_cell(daemons, 2, setup).await
}

/// Starts one daemon whose host has this memory in MB and this number of descriptors.
pub(crate) async fn start_cell_with_limits(memory_mb: u64, descriptors: usize) -> CellFixture {
    let worker = WorkerSetup {
        run_time: Duration::from_millis(200),
        ..WorkerSetup::default()
    };
    let setup = CellSetup {
        worker,
        limits: Some((memory_mb, descriptors)),
        ..CellSetup::default()
    };
    launch_cell(1, 2, setup).await
}

async fn launch_cell(daemons: usize, workers: usize, setup: CellSetup) -> CellFixture {
    let store = StoreStandin::start().await;
    let mut standins = Vec::new();
    for number in 1..=workers {
        let id = format!("w{number}");
        let worker = WorkerStandin::start_with(&id, setup.worker).await;
        let (key, value) = worker.registration("sales");
        store.write(&key, &value);
        standins.push(worker);
    }
    store.write("op/config", &manifest(1, &["/tokens/"]));
    let folder = std::env::temp_dir().join(format!(
        "cell-{}-{}",
        std::process::id(),
        store.address().replace(':', "-")
    ));
    fs::create_dir_all(&folder).unwrap();
    let mut cell = CellFixture {
        store,
        workers: standins,
        daemons: Vec::new(),
        client: Client::builder(TokioExecutor::new()).build_http(),
        folder,
        setup,
    };
    for index in 0..daemons {
        cell.launch(&format!("daemon-{index}"));
    }
    for index in 0..daemons {
        cell.wait_until_serving(index).await;
    }
    cell
}

impl CellFixture {
    /// Launches a daemon on a host with this number of cores.
    pub(crate) fn launch_on_cores(&mut self, name: &str, cpu_share: f64) {
        self.setup.cpu_share = cpu_share;
        self.launch(name);
    }

    pub(crate) fn launch(&mut self, name: &str) {
        self.launch_without_log_reader(name);
        self.collect_log_lines(self.daemons.len() - 1);
    }

    /// Collects the log lines that a daemon writes from now on.
    pub(crate) fn collect_log_lines(&mut self, daemon: usize) {
        let daemon = &mut self.daemons[daemon];
        let output = daemon.unread_output.take().unwrap();
        let log_lines = Arc::clone(&daemon.log_lines);
        thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                let line = serde_json::from_str(&line).unwrap();
                log_lines.lock().unwrap().push(line);
            }
        });
    }

    /// Starts a daemon and stops reading its standard output once it listens.
    pub(crate) fn launch_without_log_reader(&mut self, name: &str) {
        let path = self.folder.join(format!("{name}.json"));
        let text = daemon_settings(name, &self.store.address(), &self.setup).to_string();
        fs::write(&path, text).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_auburnsaddled"))
            .env("AUBURNSADDLE_SETTINGS", &path)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut output = BufReader::new(child.stdout.take().unwrap());
        let fields = loop {
            let mut line = String::new();
            let length = output.read_line(&mut line).unwrap();
            assert!(length > 0, "{name} exited before it listened");
            let line: Value = serde_json::from_str(&line).unwrap();
            if line["message"] == "listening" {
                break line["fields"].clone();
            }
        };
        let port = |field: &str| -> u16 {
            let address: SocketAddr = fields[field].as_str().unwrap().parse().unwrap();
            address.port()
        };
        self.daemons.push(DaemonProcess {
            child,
            caller_port: port("callers"),
            peer_port: port("peers"),
            unread_output: Some(output),
            log_lines: Arc::default(),
        });
    }

    pub(crate) async fn wait_until_serving(&self, daemon: usize) {
        self.wait_for("a daemon to serve", || async {
            let response = self.send(daemon, Method::GET, "/tokens/", None).await;
            response.is_some_and(|(status, _)| status == StatusCode::OK)
        })
        .await;
    }

    pub(crate) async fn wait_for<F, A>(&self, condition: &str, check: F)
    where
        F: Fn() -> A,
        A: Future<Output = bool>,
    {
        let started_at = Instant::now();
        while !check().await {
            assert!(
                started_at.elapsed() < WAIT_TIMEOUT,
                "timed out waiting for {condition}"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Sends a request to the caller port of a daemon. Returns `None` if there is no
    /// complete response within the time limit.
    pub(crate) async fn send(
        &self,
        daemon: usize,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Option<(StatusCode, Value)> {
        let port = self.daemons[daemon].caller_port;
        self.send_to_port(port, method, path, body).await
    }

    /// Like [`Self::send`], with the key of a team.
    pub(crate) async fn send_with_key(
        &self,
        daemon: usize,
        method: Method,
        path: &str,
        body: Option<&Value>,
        key: Option<&str>,
    ) -> Option<(StatusCode, Value)> {
        let port = self.daemons[daemon].caller_port;
        let request = request(port, method, path);
        let request = match key {
            Some(key) => request.header("authorization", format!("Bearer {key}")),
            None => request,
        };
        self.exchange(request, body).await
    }

    /// Like [`Self::send`], with a header that has no meaning.
    pub(crate) async fn send_with_header(
        &self,
        daemon: usize,
        method: Method,
        path: &str,
        filler: &str,
    ) -> Option<(StatusCode, Value)> {
        let port = self.daemons[daemon].caller_port;
        let request = request(port, method, path).header("x-filler", filler);
        self.exchange(request, None).await
    }

    /// Like [`Self::send`], to any port of this machine.
    pub(crate) async fn send_to_port(
        &self,
        port: u16,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Option<(StatusCode, Value)> {
        self.exchange(request(port, method, path), body).await
    }

    async fn exchange(
        &self,
        request: http::request::Builder,
        body: Option<&Value>,
    ) -> Option<(StatusCode, Value)> {
        let body = Full::from(body.map(Value::to_string).unwrap_or_default());
        let request = request.body(body).unwrap();
        let exchange = async {
            let response = self.client.request(request).await.ok()?;
            let status = response.status();
            let body = response.into_body().collect().await.ok()?.to_bytes();
            let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
            Some((status, body))
        };
        tokio::time::timeout(REQUEST_TIMEOUT, exchange).await.ok()?
    }

    pub(crate) async fn submit(&self, daemon: usize, id: u64, body: &Value) -> Option<StatusCode> {
        let path = format!("/tokens/{id:016x}");
        let response = self.send(daemon, Method::POST, &path, Some(body)).await;
        response.map(|(status, _)| status)
    }

    pub(crate) async fn job_state(&self, daemon: usize, id: u64) -> Option<String> {
        let path = format!("/tokens/{id:016x}");
        let (status, body) = self.send(daemon, Method::GET, &path, None).await?;
        let state = body["state"].as_str().map(str::to_owned);
        (status == StatusCode::OK).then_some(state).flatten()
    }

    pub(crate) async fn wait_for_job_state(&self, daemon: usize, id: u64, state: &str) {
        let condition = format!("the state {state}");
        self.wait_for(&condition, || async {
            self.job_state(daemon, id).await.as_deref() == Some(state)
        })
        .await;
    }

    /// Waits until a daemon owns the service and returns its index.
    pub(crate) async fn wait_for_owner(&self) -> usize {
        let started_at = Instant::now();
        loop {
            for (index, daemon) in self.daemons.iter().enumerate() {
                let dump = self
                    .send_to_port(daemon.peer_port, Method::GET, "/dump", None)
                    .await;
                let owned = dump.map(|(_, body)| body["owned"].clone());
                if owned.is_some_and(|owned| owned.as_array().is_some_and(|rows| !rows.is_empty()))
                {
                    return index;
                }
            }
            assert!(
                started_at.elapsed() < WAIT_TIMEOUT,
                "no daemon owns the service"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    pub(crate) fn signal(&self, daemon: usize, name: &str) {
        let child = &self.daemons[daemon].child;
        assert_eq!(read_end(child), None, "daemon {daemon} has ended");
        let pid = child.id().to_string();
        let status = Command::new("kill").args([name, &pid]).status().unwrap();
        assert!(status.success());
    }

    pub(crate) fn task_starts(&self) -> Vec<StartRecord> {
        self.workers
            .iter()
            .flat_map(WorkerStandin::starts)
            .collect()
    }

    /// Asserts that no two runs of a task overlap and that no task runs again after it
    /// was done.
    pub(crate) fn assert_no_conflicting_runs(&self) {
        let mut tasks: BTreeMap<String, Vec<StartRecord>> = BTreeMap::new();
        for start in self.task_starts() {
            tasks.entry(start.task.clone()).or_default().push(start);
        }
        for (task, mut starts) in tasks {
            starts.sort_by_key(|start| start.began_at);
            for pair in starts.windows(2) {
                let (ended_at, end) = pair[0].ended.unwrap_or((Instant::now(), "running"));
                assert!(
                    pair[1].began_at >= ended_at,
                    "runs of {task} overlap: {starts:?}"
                );
                assert_ne!(
                    end, "done",
                    "{task} ran again after it was done: {starts:?}"
                );
            }
        }
    }

    /// Returns the collected log lines of a daemon.
    pub(crate) fn log_lines(&self, daemon: usize) -> Vec<Value> {
        self.daemons[daemon].log_lines.lock().unwrap().clone()
    }

    /// Returns the collected log lines of a daemon with this message.
    pub(crate) fn log_lines_with(&self, daemon: usize, message: &str) -> Vec<Value> {
        let lines = self.daemons[daemon].log_lines.lock().unwrap();
        let lines = lines.iter().filter(|line| line["message"] == message);
        lines.cloned().collect()
    }
}
