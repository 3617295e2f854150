//! Callers, which submit, query and cancel jobs over HTTP.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use auburnsaddle_platform_standin::LASTING_COMMAND;
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::{Value, json};

use crate::{
    HOST,
    history::{BrokenRequest, JobId, JobRecord, SubmitOutcome},
};

/// Time limit of a request until its response is complete, also sent as its deadline.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of requests to submit one job.
const MAX_SUBMIT_ATTEMPTS: u32 = 5;

/// Maximum number of requests to cancel one job.
const MAX_CANCEL_ATTEMPTS: u32 = 30;

/// Time between two attempts at a request, and between two polls of a daemon's manifest
/// version.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Time after which every daemon must know an accepted job.
const VISIBILITY_DELAY: Duration = Duration::from_secs(3);

/// Path prefix of the queue to which jobs are submitted. Every manifest version has it.
pub(crate) const QUEUE_PREFIX: &str = "/jobs/";

/// Keys of the team with a cap and of the one without.
pub(crate) const CAPPED_KEY: &str = "key-of-the-capped-team";
pub(crate) const UNCAPPED_KEY: &str = "key-of-the-other-team";

/// Port and number of starts of a daemon.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct DaemonEndpoint {
    /// Port for callers. `None` before the first start, and from a kill to the restart.
    pub(crate) port: Option<u16>,
    /// Number of starts of the daemon so far.
    pub(crate) start_count: u64,
}

/// State that the callers share: the daemons that they can reach and what they observed.
#[derive(Debug, Default)]
struct CallerState {
    daemons: Vec<DaemonEndpoint>,
    jobs: BTreeMap<JobId, JobRecord>,
    broken_requests: Vec<BrokenRequest>,
    /// Index of the daemon, version before and version after.
    manifest_reverts: Vec<(usize, u64, u64)>,
}

/// The callers of a run. Clones share their state.
#[derive(Clone, Debug)]
pub(crate) struct SoakCallers {
    client: Client<HttpConnector, Full<Bytes>>,
    state: Arc<Mutex<CallerState>>,
}

impl SoakCallers {
    pub(crate) fn new(daemon_count: usize) -> Self {
        let state = CallerState {
            daemons: vec![DaemonEndpoint::default(); daemon_count],
            ..CallerState::default()
        };
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            state: Arc::new(Mutex::new(state)),
        }
    }

    fn state(&self) -> MutexGuard<'_, CallerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the port of a daemon, or `None` after a kill. A new port counts as a start.
    pub(crate) fn set_daemon_port(&self, daemon: usize, port: Option<u16>) {
        let mut state = self.state();
        let endpoint = &mut state.daemons[daemon];
        endpoint.start_count += u64::from(port.is_some() && endpoint.port != port);
        endpoint.port = port;
    }

    pub(crate) fn jobs(&self) -> BTreeMap<JobId, JobRecord> {
        self.state().jobs.clone()
    }

    pub(crate) fn broken_requests(&self) -> Vec<BrokenRequest> {
        self.state().broken_requests.clone()
    }

    pub(crate) fn manifest_reverts(&self) -> Vec<(usize, u64, u64)> {
        self.state().manifest_reverts.clone()
    }

    /// Returns the index and the port of a random daemon that has a port.
    fn random_daemon(&self) -> Option<(usize, u16)> {
        let state = self.state();
        let reachable = state.daemons.iter().enumerate();
        let reachable = reachable.filter_map(|(index, endpoint)| Some((index, endpoint.port?)));
        let reachable: Vec<(usize, u16)> = reachable.collect();
        let index = rand::random_range(0..reachable.len().max(1));
        reachable.get(index).copied()
    }

    /// Sends a request. Returns the status and the body, or `None` if there was no complete
    /// response. Records a connection that failed after it was established.
    async fn send_request(
        &self,
        (daemon, port): (usize, u16),
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Option<(StatusCode, Value)> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{HOST}:{port}{path}"))
            .header("host", "jobs.test")
            .header("x-deadline-ms", REQUEST_TIMEOUT.as_millis().to_string())
            .header("authorization", format!("Bearer {}", self.key(path)))
            .body(Full::from(body.map(Value::to_string).unwrap_or_default()))
            .ok()?;
        let sent_at = Instant::now();
        let exchange = async {
            // A connection that could not be established has not cut off a response.
            let response = match self.client.request(request).await {
                Ok(response) => response,
                Err(error) => return Err(error.is_connect()),
            };
            let status = response.status();
            let body = response.into_body().collect().await.map_err(|_| false)?;
            let body = serde_json::from_slice(&body.to_bytes()).unwrap_or(Value::Null);
            Ok((status, body))
        };
        match tokio::time::timeout(REQUEST_TIMEOUT, exchange).await {
            Ok(Ok(response)) => Some(response),
            Ok(Err(is_connect_error)) => {
                if !is_connect_error {
                    self.state().broken_requests.push(BrokenRequest {
                        daemon,
                        sent_at,
                        broke_at: Instant::now(),
                    });
                }
                None
            }
            Err(_) => None,
        }
    }

    /// Returns the key of the team of the job at a path.
    fn key(&self, path: &str) -> &'static str {
        let id = path.strip_prefix(QUEUE_PREFIX);
        let id = id.and_then(|id| JobId::from_str_radix(id, 16).ok());
        let is_capped = id.is_some_and(|id| {
            let state = self.state();
            state.jobs.get(&id).is_some_and(|job| job.is_capped)
        });
        if is_capped { CAPPED_KEY } else { UNCAPPED_KEY }
    }

    /// Submits a job of which nothing was observed yet, retrying at random daemons, and queries it once after its acceptance.
    pub(crate) async fn submit_job(self, id: JobId, record: JobRecord) {
        let is_lasting = record.is_lasting;
        let pipeline = record
            .tasks_per_step
            .iter()
            .enumerate()
            .map(|(index, count)| {
                let mut step = json!({
                    "count": count, "cpu": record.cpu, "mem-mb": 100, "est-runtime-ms": 200,
                });
                if let Some(max_per_worker) = record.max_per_worker {
                    step["anti-affinity"] = json!(max_per_worker);
                }
                if let Some(previous) = index.checked_sub(1) {
                    step["after"] = json!([previous]);
                }
                if let Some(label) = record.required_label {
                    step["required-label"] = json!(label);
                }
                if is_lasting {
                    step["long-running"] = json!(true);
                }
                step
            });
        let pipeline: Vec<Value> = pipeline.collect();
        let command = if is_lasting {
            LASTING_COMMAND.to_owned()
        } else {
            format!("run {id}")
        };
        let body = json!({"command": command, "pipeline": pipeline});
        self.state().jobs.insert(id, record);
        let path = format!("{QUEUE_PREFIX}{id:016x}");
        for _ in 0..MAX_SUBMIT_ATTEMPTS {
            let Some(daemon) = self.random_daemon() else {
                tokio::time::sleep(RETRY_INTERVAL).await;
                continue;
            };
            // The outcome is unknown until the response has arrived.
            self.update_job(id, |job| job.outcomes.push(SubmitOutcome::Unknown));
            let response = self
                .send_request(daemon, Method::POST, &path, Some(&body))
                .await;
            let outcome = match response.map(|(status, _)| status.as_u16()) {
                Some(200..300) => SubmitOutcome::Accepted,
                Some(429 | 503) => SubmitOutcome::Refused,
                _ => SubmitOutcome::Unknown,
            };
            self.update_job(id, |job| {
                job.outcomes.pop();
                job.outcomes.push(outcome);
            });
            if outcome == SubmitOutcome::Accepted {
                self.update_job(id, |job| job.accepted_at = Some(Instant::now()));
                tokio::time::sleep(VISIBILITY_DELAY).await;
                self.query_job(id).await;
                return;
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    /// Applies a change to the record of a job.
    fn update_job(&self, id: JobId, change: impl FnOnce(&mut JobRecord)) {
        if let Some(job) = self.state().jobs.get_mut(&id) {
            change(job);
        }
    }

    /// Queries a random daemon for the state of a job.
    pub(crate) async fn query_job(&self, id: JobId) {
        let Some(daemon) = self.random_daemon() else {
            return;
        };
        let path = format!("{QUEUE_PREFIX}{id:016x}");
        match self.send_request(daemon, Method::GET, &path, None).await {
            Some((StatusCode::GONE, _)) => self.update_job(id, |job| job.has_gone_response = true),
            Some((StatusCode::OK, body)) => {
                let state = body["state"].as_str().map(str::to_owned);
                self.update_job(id, |job| job.state = state);
            }
            _ => {}
        }
    }

    /// Cancels a job, retrying at random daemons.
    pub(crate) async fn cancel_job(self, id: JobId) {
        let path = format!("{QUEUE_PREFIX}{id:016x}");
        self.update_job(id, |job| {
            job.cancel_requested_at.get_or_insert_with(Instant::now);
        });
        for _ in 0..MAX_CANCEL_ATTEMPTS {
            if let Some(daemon) = self.random_daemon() {
                let response = self.send_request(daemon, Method::DELETE, &path, None).await;
                if response.is_some_and(|(status, _)| status.is_success()) {
                    return;
                }
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    /// Polls the manifest version that a daemon uses, and records each return to an older
    /// version within one start of the daemon. Version N of the manifest has the routes
    /// `/v1/` to `/vN/`.
    pub(crate) async fn poll_manifest_version(self, daemon: usize) {
        let (mut start_count, mut seen_version) = (0, 0);
        loop {
            tokio::time::sleep(RETRY_INTERVAL).await;
            let endpoint = self.state().daemons[daemon];
            if endpoint.start_count != start_count {
                (start_count, seen_version) = (endpoint.start_count, 0);
            }
            let Some(port) = endpoint.port else { continue };
            for version in seen_version.max(1)..=seen_version + 1 {
                let path = format!("/v{version}/");
                let response = self
                    .send_request((daemon, port), Method::GET, &path, None)
                    .await;
                let is_unchanged = self.state().daemons[daemon] == endpoint;
                match response.map(|(status, _)| status) {
                    Some(StatusCode::OK) if is_unchanged => seen_version = version,
                    Some(StatusCode::NOT_FOUND) if is_unchanged && version <= seen_version => {
                        self.state()
                            .manifest_reverts
                            .push((daemon, seen_version, version - 1));
                    }
                    _ => {}
                }
            }
        }
    }
}
