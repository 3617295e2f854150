//! Separate daemon processes on stand-ins for the users' platform.

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

use auburnsaddle_platform_standin::{StartRecord, StoreStandin, WorkerStandin};
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::{Value, json};

/// How long a test waits for what has to happen.
const PATIENCE: Duration = Duration::from_secs(40);

/// Time limit of one request of a caller.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);

struct DaemonProcess {
    child: Child,
    callers: u16,
    peers: u16,
    /// Standard output, until its lines are kept.
    output: Option<BufReader<ChildStdout>>,
    lines: Arc<Mutex<Vec<Value>>>,
}

/// Daemons, a store and workers. All processes end with it.
struct CellFixture {
    store: StoreStandin,
    workers: Vec<WorkerStandin>,
    daemons: Vec<DaemonProcess>,
    client: Client<HttpConnector, Full<Bytes>>,
    folder: PathBuf,
}

impl Drop for CellFixture {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            // It may have ended already.
            let _ = daemon.child.kill();
            let _ = daemon.child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns settings that leave the choice of ports to the system.
fn settings(name: &str, store: &str) -> Value {
    let address = "127.0.0.1:0";
    json!({
        "node-name": name, "zone": "z1", "an-unknown-field": [1, 2],
        "listen-addrs": {
            "frontend": address, "readiness": address, "control-plane": address,
        },
        "platform": {"address": store, "min-ttl-ms": 1_000},
        "bounds": {"max-hold-ms": 6_000, "grace-s": 6, "status_s": 120},
    })
}

fn manifest(version: u64, prefixes: &[&str]) -> Value {
    let routes = prefixes.iter().map(|prefix| {
        json!({
            "name": format!("queue-{prefix}"), "host": "jobs.test", "prefix": prefix,
            "service": "sales", "priority": 1, "max-attempts": 2, "stretch": 3.0,
            "target-latency-ms": 1_000, "kind": "unsafe", "timeout-ms": 3_000,
        })
    });
    json!({"version": version, "routes": routes.collect::<Vec<_>>(), "services": [], "limits": {}})
}

/// Returns a job of one step of so many tasks.
fn job(count: u32) -> Value {
    json!({
        "command": "sell",
        "pipeline": [{"count": count, "cpu": 1_000, "mem-mb": 100, "est-runtime-ms": 500}],
    })
}

async fn cell(daemons: usize, run_time: Duration) -> CellFixture {
    let store = StoreStandin::start().await;
    let mut workers = Vec::new();
    for id in ["w1", "w2"] {
        let worker = WorkerStandin::start(id, run_time).await;
        let (key, value) = worker.registration("sales");
        store.write(&key, &value);
        workers.push(worker);
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
        workers,
        daemons: Vec::new(),
        client: Client::builder(TokioExecutor::new()).build_http(),
        folder,
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
    fn launch(&mut self, name: &str) {
        self.launch_unread(name);
        self.read_output(self.daemons.len() - 1);
    }

    /// Keeps the log lines of a daemon from now on.
    fn read_output(&mut self, daemon: usize) {
        let daemon = &mut self.daemons[daemon];
        let output = daemon.output.take().unwrap();
        let kept = Arc::clone(&daemon.lines);
        thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                let line = serde_json::from_str(&line).unwrap();
                kept.lock().unwrap().push(line);
            }
        });
    }

    /// Starts a daemon whose standard output nobody reads once it listens.
    fn launch_unread(&mut self, name: &str) {
        let path = self.folder.join(format!("{name}.json"));
        let text = settings(name, &self.store.address()).to_string();
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
            assert!(length > 0, "{name} ended before it listened");
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
            callers: port("callers"),
            peers: port("peers"),
            output: Some(output),
            lines: Arc::default(),
        });
    }

    async fn wait_until_serving(&self, daemon: usize) {
        self.wait_for("a daemon to serve", || async {
            let answer = self.send(daemon, Method::GET, "/tokens/", None).await;
            answer.is_some_and(|(status, _)| status == StatusCode::OK)
        })
        .await;
    }

    async fn wait_for<F, A>(&self, what: &str, check: F)
    where
        F: Fn() -> A,
        A: Future<Output = bool>,
    {
        let started_at = Instant::now();
        while !check().await {
            assert!(started_at.elapsed() < PATIENCE, "waited in vain for {what}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Sends a request of a caller; `None` if there is no answer.
    async fn send(
        &self,
        daemon: usize,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Option<(StatusCode, Value)> {
        let port = self.daemons[daemon].callers;
        self.exchange(port, method, path, body).await
    }

    async fn exchange(
        &self,
        port: u16,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Option<(StatusCode, Value)> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://127.0.0.1:{port}{path}"))
            .header("host", "jobs.test")
            .body(Full::from(body.map(Value::to_string).unwrap_or_default()))
            .unwrap();
        let exchange = async {
            let answer = self.client.request(request).await.ok()?;
            let status = answer.status();
            let body = answer.into_body().collect().await.ok()?.to_bytes();
            let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
            Some((status, body))
        };
        tokio::time::timeout(REQUEST_TIMEOUT, exchange).await.ok()?
    }

    async fn submit(&self, daemon: usize, id: u64, body: &Value) -> Option<StatusCode> {
        let path = format!("/tokens/{id:016x}");
        let answer = self.send(daemon, Method::POST, &path, Some(body)).await;
        answer.map(|(status, _)| status)
    }

    async fn state(&self, daemon: usize, id: u64) -> Option<String> {
        let path = format!("/tokens/{id:016x}");
        let (status, body) = self.send(daemon, Method::GET, &path, None).await?;
        let state = body["state"].as_str().map(str::to_owned);
        (status == StatusCode::OK).then_some(state).flatten()
    }

    async fn wait_for_state(&self, daemon: usize, id: u64, state: &str) {
        let what = format!("the state {state}");
        self.wait_for(&what, || async {
            self.state(daemon, id).await.as_deref() == Some(state)
        })
        .await;
    }

    /// Returns the daemon that owns the service.
    async fn owner(&self) -> usize {
        let started_at = Instant::now();
        loop {
            for (index, daemon) in self.daemons.iter().enumerate() {
                let dump = self
                    .exchange(daemon.peers, Method::GET, "/dump", None)
                    .await;
                let owned = dump.map(|(_, body)| body["owned"].clone());
                if owned.is_some_and(|owned| owned.as_array().is_some_and(|rows| !rows.is_empty()))
                {
                    return index;
                }
            }
            assert!(
                started_at.elapsed() < PATIENCE,
                "no daemon owns the service"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    fn signal(&self, daemon: usize, name: &str) {
        let pid = self.daemons[daemon].child.id().to_string();
        let status = Command::new("kill").args([name, &pid]).status().unwrap();
        assert!(status.success());
    }

    fn starts(&self) -> Vec<StartRecord> {
        self.workers
            .iter()
            .flat_map(WorkerStandin::starts)
            .collect()
    }

    /// Checks that no task ran twice at a time, or again after it was done.
    fn assert_one_place_at_a_time(&self) {
        let mut tasks: BTreeMap<String, Vec<StartRecord>> = BTreeMap::new();
        for start in self.starts() {
            tasks.entry(start.task.clone()).or_default().push(start);
        }
        for (task, mut starts) in tasks {
            starts.sort_by_key(|start| start.began_at);
            for pair in starts.windows(2) {
                let (ended_at, end) = pair[0].ended.unwrap_or((Instant::now(), "running"));
                assert!(
                    pair[1].began_at >= ended_at,
                    "{task} ran twice at a time: {starts:?}"
                );
                assert_ne!(
                    end, "done",
                    "{task} ran again after it was done: {starts:?}"
                );
            }
        }
    }

    fn lines(&self, daemon: usize, message: &str) -> Vec<Value> {
        let lines = self.daemons[daemon].lines.lock().unwrap();
        let lines = lines.iter().filter(|line| line["message"] == message);
        lines.cloned().collect()
    }
}

/// Guards against states that are old at the daemons that do not own the service.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_daemon_shows_what_the_owner_knows() {
    let cell = cell(2, Duration::from_millis(200)).await;
    let owner = cell.owner().await;
    let other = 1 - owner;

    let mut states = Vec::new();
    for id in 1..6 {
        cell.submit(other, id, &job(1)).await;
        cell.wait_for_state(owner, id, "completed").await;
        states.push(cell.state(other, id).await);
    }

    assert_eq!(states, vec![Some("completed".to_owned()); 5]);
}

/// Guards against a broken path through the processes, a job that a repeated
/// request doubles, and states that only one daemon knows.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_runs_once_and_every_daemon_knows_its_state() {
    let cell = cell(2, Duration::from_millis(200)).await;

    let first = cell.submit(0, 1, &job(3)).await;
    let repeated = cell.submit(1, 1, &job(3)).await;
    cell.wait_for_state(0, 1, "completed").await;
    cell.wait_for_state(1, 1, "completed").await;
    let late = cell.submit(1, 1, &job(3)).await;
    tokio::time::sleep(Duration::from_millis(500)).await;

    assert_eq!(
        (first, repeated, late),
        (
            Some(StatusCode::OK),
            Some(StatusCode::OK),
            Some(StatusCode::OK)
        )
    );
    assert_eq!(cell.starts().len(), 3);
    cell.assert_one_place_at_a_time();
}

/// Guards against answers that hide what is not known: an unknown job, an unknown
/// queue, a body that is no job.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_that_name_nothing_are_told_so() {
    let cell = cell(1, Duration::from_millis(200)).await;

    let unknown = cell
        .send(0, Method::GET, "/tokens/00000000000000aa", None)
        .await;
    let no_queue = cell
        .send(0, Method::POST, "/rides/00000000000000aa", Some(&job(1)))
        .await;
    let no_job = cell.submit(0, 2, &json!({"pipeline": 3})).await;
    let pending = cell.send(0, Method::GET, "/tokens/", None).await;

    assert_eq!(unknown.map(|row| row.0), Some(StatusCode::GONE));
    assert_eq!(no_queue.map(|row| row.0), Some(StatusCode::NOT_FOUND));
    assert_eq!(no_job, Some(StatusCode::BAD_REQUEST));
    assert_eq!(pending, Some((StatusCode::OK, json!({"pending": 0}))));
}

/// Guards against a cancellation that only the daemon that took it knows.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_is_cancelled_at_any_daemon() {
    let cell = cell(2, Duration::from_secs(30)).await;
    cell.submit(0, 1, &job(2)).await;
    cell.wait_for("two starts", || async { cell.starts().len() == 2 })
        .await;

    let path = "/tokens/0000000000000001";
    let answer = cell.send(1, Method::DELETE, path, None).await;
    cell.wait_for("the end of all runs", || async {
        cell.starts().iter().all(|start| start.ended.is_some())
    })
    .await;
    cell.wait_for_state(0, 1, "cancelled").await;

    assert_eq!(answer.map(|row| row.0), Some(StatusCode::OK));
    assert_eq!(cell.starts().len(), 2);
}

/// Guards against accepted work that is lost with the owner, or run twice by its
/// successor.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_owner_loses_no_accepted_job() {
    let mut cell = cell(3, Duration::from_secs(2)).await;
    let owner = cell.owner().await;
    let other = (owner + 1) % 3;
    for id in 1..5 {
        assert_eq!(cell.submit(owner, id, &job(3)).await, Some(StatusCode::OK));
    }

    cell.daemons[owner].child.kill().unwrap();
    for id in 1..5 {
        cell.wait_for_state(other, id, "completed").await;
    }

    cell.assert_one_place_at_a_time();
}

/// Guards against a frozen owner that wakes and orders what its successor has
/// placed elsewhere.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_frozen_owner_that_wakes_is_harmless() {
    let cell = cell(3, Duration::from_millis(700)).await;
    let owner = cell.owner().await;
    let other = (owner + 1) % 3;
    for id in 1..5 {
        cell.submit(other, id, &job(3)).await;
    }

    cell.signal(owner, "-STOP");
    tokio::time::sleep(Duration::from_secs(4)).await;
    for id in 5..9 {
        assert_eq!(cell.submit(other, id, &job(3)).await, Some(StatusCode::OK));
    }
    cell.signal(owner, "-CONT");
    for id in 1..9 {
        cell.wait_for_state(other, id, "completed").await;
    }
    cell.wait_for_state(owner, 8, "completed").await;

    cell.assert_one_place_at_a_time();
}

/// Guards against a second run beside an order that is carried out late.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_start_that_is_carried_out_late_runs_once() {
    let cell = cell(1, Duration::from_millis(400)).await;
    for worker in &cell.workers {
        worker.delay_starts(4, Duration::from_millis(2_500));
    }

    cell.submit(0, 1, &job(4)).await;
    cell.wait_for_state(0, 1, "completed").await;
    tokio::time::sleep(Duration::from_secs(3)).await;

    cell.assert_one_place_at_a_time();
    let done = cell
        .starts()
        .into_iter()
        .filter(|start| start.ended.is_some_and(|(_, end)| end == "done"));
    assert_eq!(done.count(), 4);
}

/// Guards against a rejection that is not true, and work that does not go on after
/// an outage of the store.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_outage_of_the_store_rejects_and_recovers() {
    let cell = cell(2, Duration::from_secs(1)).await;
    cell.submit(0, 1, &job(2)).await;
    cell.wait_for("two starts", || async { cell.starts().len() == 2 })
        .await;

    cell.store.set_unavailable(true);
    let rejected = cell.submit(0, 2, &job(1)).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    cell.store.set_unavailable(false);
    cell.wait_for_state(0, 1, "completed").await;
    cell.wait_for("an accepted job", || async {
        cell.submit(1, 3, &job(1)).await == Some(StatusCode::OK)
    })
    .await;
    cell.wait_for_state(1, 3, "completed").await;

    assert_eq!(rejected, Some(StatusCode::SERVICE_UNAVAILABLE));
    let of_rejected = "0000000000000002";
    assert!(
        !cell
            .starts()
            .iter()
            .any(|start| start.task.starts_with(of_rejected))
    );
    cell.assert_one_place_at_a_time();
}

/// Guards against an answer that says less, or a job that is doubled, when the
/// store made a write and its answer is lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_answer_of_the_store_does_not_show() {
    let cell = cell(1, Duration::from_millis(200)).await;

    cell.store.drop_commit_responses(1);
    let answer = cell.submit(0, 1, &job(2)).await;
    cell.store.drop_commit_responses(1);
    cell.wait_for_state(0, 1, "completed").await;

    assert_eq!(answer, Some(StatusCode::OK));
    assert_eq!(cell.starts().len(), 2);
}

/// Guards against an owner that goes on after the store has ended its lease.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn revoked_leases_lead_to_a_new_ownership() {
    let cell = cell(2, Duration::from_millis(500)).await;
    cell.submit(0, 1, &job(3)).await;

    cell.store.revoke_leases();
    cell.wait_for_state(1, 1, "completed").await;
    cell.submit(0, 2, &job(3)).await;
    cell.wait_for_state(1, 2, "completed").await;

    cell.assert_one_place_at_a_time();
}

/// Guards against requests that a planned stop cuts, and a service without an owner
/// after it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopped_owner_hands_over_and_answers_until_it_ends() {
    let mut cell = cell(2, Duration::from_millis(300)).await;
    let owner = cell.owner().await;
    let other = 1 - owner;

    cell.signal(owner, "-TERM");
    let mut answers = 0;
    for id in 1..20 {
        // A refused connection is no cut request.
        if let Some(status) = cell.submit(owner, id, &job(1)).await {
            assert_eq!(status, StatusCode::OK);
            answers += 1;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    cell.submit(other, 30, &job(2)).await;
    cell.wait_for_state(other, 30, "completed").await;
    let status = cell.daemons[owner].child.wait().unwrap();

    assert!(status.success());
    assert!(answers > 10, "{answers} answers");
}

/// Guards against routes that come into force late, stay after their removal, or
/// are lost with a manifest that cannot be read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_version_of_the_manifest_comes_into_force() {
    let cell = cell(1, Duration::from_millis(200)).await;

    cell.store.write("op/config", &manifest(5, &["/rides/"]));
    cell.wait_for("the removal of a queue", || async {
        cell.submit(0, 1, &job(1)).await == Some(StatusCode::NOT_FOUND)
    })
    .await;
    cell.store.write("op/config", &json!({"version": "broken"}));
    tokio::time::sleep(Duration::from_secs(2)).await;
    let added = cell.send(0, Method::GET, "/rides/", None).await;

    assert_eq!(added.map(|row| row.0), Some(StatusCode::OK));
}

/// Guards against accepted jobs that nobody owns once no queue names their service.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_is_finished_although_its_service_has_left_the_manifest() {
    let mut cell = cell(1, Duration::from_secs(2)).await;
    cell.submit(0, 1, &job(2)).await;
    let mut without = manifest(2, &["/tokens/"]);
    without["routes"][0]["service"] = json!("settlement");
    cell.store.write("op/config", &without);

    cell.daemons[0].child.kill().unwrap();
    cell.launch("daemon-later");
    cell.wait_until_serving(1).await;
    cell.wait_for_state(1, 1, "completed").await;

    cell.assert_one_place_at_a_time();
}

/// Guards against a decision that on-call engineers cannot find by its request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn decisions_about_a_job_are_logged_with_its_id() {
    let cell = cell(1, Duration::from_millis(100)).await;

    cell.submit(0, 0xab, &job(1)).await;
    cell.wait_for_state(0, 0xab, "completed").await;

    for message in ["job accepted", "job placed", "job completed"] {
        cell.wait_for(message, || async { !cell.lines(0, message).is_empty() })
            .await;
        let line = &cell.lines(0, message)[0];
        assert_eq!(line["fields"]["request_id"], "00000000000000ab", "{line}");
    }
    let placed = &cell.lines(0, "job placed")[0]["fields"];
    assert!(
        placed["waited_ms"].is_string() && placed["worker"].is_string(),
        "{placed}"
    );
}

/// Guards against requests that wait for the reader of the log, and against a log
/// that hides how much it left out.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_log_that_nobody_reads_delays_no_request() {
    let mut cell = cell(0, Duration::from_millis(100)).await;
    cell.launch_unread("daemon-0");
    cell.wait_until_serving(0).await;

    let started_at = Instant::now();
    let mut id = 0;
    // Far more than the buffer of the pipe holds.
    while started_at.elapsed() < Duration::from_secs(6) {
        id += 1;
        // A request that waited for the log would have no answer in time.
        let status = cell.submit(0, id, &json!({"pipeline": id})).await;
        assert_eq!(status, Some(StatusCode::BAD_REQUEST));
    }
    let accepted = cell.submit(0, id + 1, &job(1)).await;
    cell.wait_for_state(0, id + 1, "completed").await;
    cell.read_output(0);

    assert_eq!(accepted, Some(StatusCode::OK));
    cell.wait_for("the count of the lines that were left out", || async {
        !cell.lines(0, "log lines were left out").is_empty()
    })
    .await;
}

/// Guards against a daemon that starts with settings that it cannot use.
#[test]
fn wrong_settings_end_the_daemon_with_a_reason() {
    let path = std::env::temp_dir().join(format!("cell-bad-{}.json", std::process::id()));
    fs::write(&path, "{\"node-name\": 7}").unwrap();

    let output = Command::new(env!("CARGO_BIN_EXE_auburnsaddled"))
        .arg("--check-settings")
        .env("AUBURNSADDLE_SETTINGS", &path)
        .output()
        .unwrap();

    fs::remove_file(&path).unwrap();
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        text.contains("node-name") || text.contains("expected a string"),
        "{text}"
    );
}
