//! A cluster with workers instead of runners, and requests to the task API.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use auburnsaddle_standins::worker::{self, ResourceAmounts, SharedWorker, WorkerFaults};
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};

use super::{
    Arc, CallResult, SocketAddr, TestCluster, WAIT_TIMEOUT, count::ByteCount, listen, serve,
};

/// Configuration objects with one pool, one team, and jobs for the tests to
/// submit.
const WORK_OBJECTS: &str = r#"
[[pool]]
name = "general"
region = "nordeste"
zones = ["zone-0", "zone-1", "zone-2"]
objective = "packing"
shapes = [{ count = 4, rack_size = 1, capacity = { cpu_milli = 8000, memory_mib = 8192 } }]

[[team]]
name = "stock"
quota = { cpu_milli = 64000, memory_mib = 65536 }

[[batch]]
name = "grading"
pool = "general"
team = "stock"
count = 6
request = { cpu_milli = 1000, memory_mib = 1024 }
run_time_seconds = 2
labels = { kind = "grading" }

[[batch]]
name = "plan"
pool = "general"
team = "stock"
request = { cpu_milli = 1000, memory_mib = 1024 }
run_time_seconds = 1
after = ["grading"]

[[gang]]
name = "training"
pool = "general"
team = "stock"
count = 3
request = { cpu_milli = 6000, memory_mib = 4096 }
run_time_seconds = 1

[[task]]
name = "watch"
pool = "general"
team = "stock"
count = 2
request = { cpu_milli = 500, memory_mib = 512 }
labels = { kind = "watch" }
"#;

/// Daemon processes with stand-ins for the workers of one pool.
pub struct WorkCluster {
    pub cluster: TestCluster,
    pub workers: Vec<SharedWorker>,
}

impl WorkCluster {
    /// Starts daemons and workers and waits until all daemons know an owner of the
    /// pool.
    pub async fn start(daemons: usize, workers: usize) -> Self {
        let cluster = TestCluster::start_stand_ins(0).await;
        Self::start_on(cluster, (daemons, workers), WORK_OBJECTS, &[]).await
    }

    /// Starts one daemon with other objects and additional settings, and counts
    /// the bytes that it sends to the store.
    pub async fn start_counted(
        workers: usize,
        objects: &str,
        settings: &[&str],
    ) -> (Self, ByteCount) {
        let mut cluster = TestCluster::start_stand_ins(0).await;
        let bytes = cluster.start_store_relay().await;
        let cluster = Self::start_on(cluster, (1, workers), objects, settings).await;
        (cluster, bytes)
    }

    /// Adds workers and daemons to a cluster that has no daemons yet.
    async fn start_on(
        mut cluster: TestCluster,
        (daemons, workers): (usize, usize),
        objects: &str,
        settings: &[&str],
    ) -> Self {
        let mut started = Vec::new();
        let mut hosts = Vec::new();
        for index in 0..workers {
            let worker = SharedWorker::new(ResourceAmounts {
                cpu_milli: 8_000,
                memory_mib: 8_192,
                accelerators: 0,
            });
            hosts.push(worker_entry(index, serve_worker(worker.clone()).await));
            started.push(worker);
        }
        cluster.platform.lock().hosts = hosts;
        cluster.daemons = (0..daemons)
            .map(|index| cluster.start_daemon(index, settings))
            .collect();
        cluster.apply_objects(objects).await;
        let cluster = Self {
            cluster,
            workers: started,
        };
        for daemon in 0..daemons {
            cluster.wait_for_owner(daemon, None).await;
        }
        cluster
    }

    /// Waits until a daemon knows an owner of the pool other than `former`, and
    /// returns the index of the owner.
    pub async fn wait_for_owner(&self, daemon: usize, former: Option<usize>) -> usize {
        let started_at = Instant::now();
        loop {
            let owners = self.cluster.owners(daemon).await;
            let owner = owners["pool/general"].as_str().unwrap_or_default();
            let number = owner.strip_prefix("daemon-").map(str::parse);
            match number {
                Some(Ok(number)) if Some(number) != former => return number,
                _ => assert!(
                    started_at.elapsed() < WAIT_TIMEOUT,
                    "daemon {daemon} does not know a new owner of the pool: {owners}"
                ),
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Submits a configured object to a daemon, with an idempotency key.
    pub async fn submit(&self, daemon: usize, object: &str, key: &str) -> CallResult {
        self.submit_body(daemon, &json!({ "object": object }), key)
            .await
    }

    /// Submits a request body to a daemon, without a team header.
    pub async fn submit_body(&self, daemon: usize, body: &Value, key: &str) -> CallResult {
        self.submit_as(daemon, body, key, None).await
    }

    /// Submits a request body to a daemon, with a team header if `team` is given.
    pub async fn submit_as(
        &self,
        daemon: usize,
        body: &Value,
        key: &str,
        team: Option<&str>,
    ) -> CallResult {
        let address = self.cluster.daemons[daemon].address;
        let mut request = Request::post(format!("http://{address}/v1/tasks"));
        if let Some(team) = team {
            request = request.header("auburnsaddle-team", team);
        }
        let request = request
            .header("idempotency-key", key)
            .body(Full::new(Bytes::from(body.to_string())))
            .expect("the request is well-formed");
        self.cluster.exchange(request).await
    }

    /// Submits an object, which must be accepted, and returns the IDs of its tasks.
    pub async fn submit_accepted(&self, daemon: usize, object: &str, key: &str) -> Vec<String> {
        match self.submit(daemon, object, key).await {
            CallResult::Answered(StatusCode::ACCEPTED, _, body) => {
                let reply: Value = serde_json::from_str(&body).expect("the response is JSON");
                let tasks = reply["tasks"].as_array().cloned().unwrap_or_default();
                let ids = tasks.iter().filter_map(Value::as_str);
                ids.map(str::to_owned).collect()
            }
            other => panic!("{object} was not accepted: {other:?}"),
        }
    }

    /// Sends a request without a body to a daemon.
    pub async fn send_request(&self, daemon: usize, method: Method, path: &str) -> CallResult {
        let address = self.cluster.daemons[daemon].address;
        let uri = format!("http://{address}{path}");
        self.cluster.send(method, uri, String::new()).await
    }

    /// Waits until each task has been in a state, and returns the statuses that
    /// showed it.
    pub async fn wait_for_state(&self, daemon: usize, tasks: &[String], state: &str) -> Vec<Value> {
        let started_at = Instant::now();
        let mut statuses = Vec::new();
        for task in tasks {
            loop {
                let path = format!("/v1/tasks/{task}");
                let result = self.cluster.get(daemon, &path).await;
                if let CallResult::Answered(StatusCode::OK, _, body) = &result {
                    let status: Value = serde_json::from_str(body).expect("the response is JSON");
                    if status["state"] == state {
                        statuses.push(status);
                        break;
                    }
                }
                assert!(
                    started_at.elapsed() < WAIT_TIMEOUT,
                    "task {task} is not {state}: {result:?}"
                );
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        statuses
    }

    /// Delays all responses of a worker, and removes its other faults.
    pub fn delay_worker(&self, worker: usize, delay: Duration) {
        let latency_ms = u64::try_from(delay.as_millis()).expect("the delay fits in 64 bits");
        self.workers[worker].lock().faults = WorkerFaults {
            latency_ms,
            ..WorkerFaults::default()
        };
    }

    /// Sends a signal, such as `-KILL`, to a daemon process.
    pub fn signal(&self, daemon: usize, signal: &str) {
        self.cluster.daemons[daemon].signal(signal);
    }

    /// Returns the number of starts of each task, from the logs of the workers.
    pub fn starts(&self) -> BTreeMap<String, usize> {
        let mut starts = BTreeMap::new();
        for worker in &self.workers {
            for line in worker.lock().log() {
                if line.event == "start" {
                    *starts.entry(line.task.clone()).or_insert(0) += 1;
                }
            }
        }
        starts
    }

    /// Sets the state of a worker in the platform's list of hosts.
    pub fn set_host_state(&self, worker: usize, state: &str) {
        self.cluster.platform.lock().hosts[worker]["state"] = json!(state);
    }
}

async fn serve_worker(worker: SharedWorker) -> SocketAddr {
    let (listener, address) = listen().await;
    tokio::spawn(serve(listener, Arc::default(), move |request| {
        worker::handle(worker.clone(), request)
    }));
    address
}

fn worker_entry(index: usize, address: SocketAddr) -> Value {
    json!({
        "name": format!("worker-{index}"), "kind": "worker", "pool": "general",
        "zone": format!("zone-{}", index % 3), "rack": format!("rack-{index}"),
        "address": address.to_string(), "state": "live",
        "capacity": { "cpu_milli": 8000, "memory_mib": 8192 },
    })
}
