//! Callers: they hand jobs in, ask for their states and cancel them.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::{Value, json};

use crate::history::{BrokenRequest, JobId, JobRecord, SubmitOutcome};

/// Time limit of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Requests that hand in one job at most.
const SUBMIT_TRIES: u32 = 5;

/// Requests that cancel one job at most.
const CANCEL_TRIES: u32 = 30;

/// Pause between two requests about one job.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Time after which every daemon must know a job that was accepted.
const VISIBLE_AFTER: Duration = Duration::from_secs(3);

/// Prefix of the queue that all versions of the manifest have.
pub(crate) const QUEUE_PREFIX: &str = "/jobs/";

/// A daemon as callers see it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct DaemonView {
    /// Its port, while it takes connections.
    pub(crate) port: Option<u16>,
    /// Counts its starts.
    pub(crate) life: u64,
}

#[derive(Debug, Default)]
struct CallerState {
    daemons: Vec<DaemonView>,
    jobs: BTreeMap<JobId, JobRecord>,
    broken: Vec<BrokenRequest>,
    reverted: Vec<(usize, u64, u64)>,
}

/// All callers; clones share their state.
#[derive(Clone, Debug)]
pub(crate) struct SoakCallers {
    client: Client<HttpConnector, Full<Bytes>>,
    state: Arc<Mutex<CallerState>>,
}

impl SoakCallers {
    pub(crate) fn new(daemons: usize) -> Self {
        let state = CallerState {
            daemons: vec![DaemonView::default(); daemons],
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

    pub(crate) fn set_daemon(&self, daemon: usize, port: Option<u16>) {
        let mut state = self.state();
        let view = &mut state.daemons[daemon];
        view.life += u64::from(port.is_some() && view.port != port);
        view.port = port;
    }

    pub(crate) fn jobs(&self) -> BTreeMap<JobId, JobRecord> {
        self.state().jobs.clone()
    }

    pub(crate) fn broken(&self) -> Vec<BrokenRequest> {
        self.state().broken.clone()
    }

    pub(crate) fn reverted(&self) -> Vec<(usize, u64, u64)> {
        self.state().reverted.clone()
    }

    /// Returns a daemon that takes connections.
    fn any_daemon(&self) -> Option<(usize, u16)> {
        let state = self.state();
        let up = state.daemons.iter().enumerate();
        let up = up.filter_map(|(index, view)| Some((index, view.port?)));
        let up: Vec<(usize, u16)> = up.collect();
        let index = rand::random_range(0..up.len().max(1));
        up.get(index).copied()
    }

    /// Sends a request; `None` if there is no whole answer.
    async fn send(
        &self,
        (daemon, port): (usize, u16),
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Option<(StatusCode, Value)> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://127.0.0.1:{port}{path}"))
            .header("host", "jobs.test")
            .header("x-deadline-ms", REQUEST_TIMEOUT.as_millis().to_string())
            .body(Full::from(body.map(Value::to_string).unwrap_or_default()))
            .ok()?;
        let sent_at = Instant::now();
        let exchange = async {
            // A connection that was not made has cut no answer.
            let answer = match self.client.request(request).await {
                Ok(answer) => answer,
                Err(error) => return Err(error.is_connect()),
            };
            let status = answer.status();
            let body = answer.into_body().collect().await.map_err(|_| false)?;
            let body = serde_json::from_slice(&body.to_bytes()).unwrap_or(Value::Null);
            Ok((status, body))
        };
        match tokio::time::timeout(REQUEST_TIMEOUT, exchange).await {
            Ok(Ok(answer)) => Some(answer),
            Ok(Err(is_connect)) => {
                if !is_connect {
                    self.state().broken.push(BrokenRequest {
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

    /// Hands a job in, with retries at other daemons, and asks for it once.
    pub(crate) async fn run_job(self, id: JobId, steps: Vec<u32>) {
        let rows = steps.iter().enumerate().map(|(index, count)| {
            let mut step = json!({
                "count": count, "cpu": 1_000, "mem-mb": 100, "est-runtime-ms": 200,
            });
            if let Some(before) = index.checked_sub(1) {
                step["after"] = json!([before]);
            }
            step
        });
        let rows: Vec<Value> = rows.collect();
        let body = json!({"command": format!("run {id}"), "pipeline": rows});
        let record = JobRecord {
            steps,
            ..JobRecord::default()
        };
        self.state().jobs.insert(id, record);
        let path = format!("{QUEUE_PREFIX}{id:016x}");
        for _ in 0..SUBMIT_TRIES {
            let Some(daemon) = self.any_daemon() else {
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            };
            // The outcome is open until the answer is there.
            self.note(id, |job| job.outcomes.push(SubmitOutcome::Unknown));
            let answer = self.send(daemon, Method::POST, &path, Some(&body)).await;
            let outcome = match answer.map(|(status, _)| status.as_u16()) {
                Some(200..300) => SubmitOutcome::Accepted,
                Some(429 | 503) => SubmitOutcome::Refused,
                _ => SubmitOutcome::Unknown,
            };
            self.note(id, |job| {
                job.outcomes.pop();
                job.outcomes.push(outcome);
            });
            if outcome == SubmitOutcome::Accepted {
                tokio::time::sleep(VISIBLE_AFTER).await;
                self.look(id).await;
                return;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    fn note(&self, id: JobId, change: impl FnOnce(&mut JobRecord)) {
        if let Some(job) = self.state().jobs.get_mut(&id) {
            change(job);
        }
    }

    /// Asks any daemon for the state of a job.
    pub(crate) async fn look(&self, id: JobId) {
        let Some(daemon) = self.any_daemon() else {
            return;
        };
        let path = format!("{QUEUE_PREFIX}{id:016x}");
        match self.send(daemon, Method::GET, &path, None).await {
            Some((StatusCode::GONE, _)) => self.note(id, |job| job.was_gone = true),
            Some((StatusCode::OK, body)) => {
                let state = body["state"].as_str().map(str::to_owned);
                self.note(id, |job| job.state = state);
            }
            _ => {}
        }
    }

    /// Cancels a job, with retries at other daemons.
    pub(crate) async fn cancel(self, id: JobId) {
        let path = format!("{QUEUE_PREFIX}{id:016x}");
        self.note(id, |job| job.is_cancelled = true);
        for _ in 0..CANCEL_TRIES {
            if let Some(daemon) = self.any_daemon() {
                let answer = self.send(daemon, Method::DELETE, &path, None).await;
                if answer.is_some_and(|(status, _)| status.is_success()) {
                    return;
                }
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Follows which version of the manifest a daemon uses.
    pub(crate) async fn follow_manifest(self, daemon: usize) {
        let (mut life, mut seen) = (0, 0);
        loop {
            tokio::time::sleep(RETRY_PAUSE).await;
            let view = self.state().daemons[daemon];
            if view.life != life {
                (life, seen) = (view.life, 0);
            }
            let Some(port) = view.port else { continue };
            for version in seen.max(1)..=seen + 1 {
                let path = format!("/v{version}/");
                let answer = self.send((daemon, port), Method::GET, &path, None).await;
                let is_same = self.state().daemons[daemon] == view;
                match answer.map(|(status, _)| status) {
                    Some(StatusCode::OK) if is_same => seen = version,
                    Some(StatusCode::NOT_FOUND) if is_same && version <= seen => {
                        self.state().reverted.push((daemon, seen, version - 1));
                    }
                    _ => {}
                }
            }
        }
    }
}
