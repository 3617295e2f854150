//! The route to the store: direct, or relayed by another daemon.
//!
//! Failure mode: the store is unreachable for some daemons, or refuses their calls,
//! and serves the others. Without a relay the callers of the affected daemons would
//! be rejected, and an owner among them would lose its services.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use auburnsaddle_platform::{
    BufferedResponse, CallError, HttpEndpoint, StoreClient, StoreRequest, StoreTransport,
};
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

/// Time limit of a probe of the direct route. Longer than the slow phases of the store,
/// which last some hundred ms.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);

/// Part of a call's time limit for each of the two routes, while peers can relay it.
const ROUTE_SHARE: u32 = 2;

/// Added to the time limit of a relayed call for the exchange with the peer.
const RELAY_OVERHEAD: Duration = Duration::from_millis(150);

/// Path of a probe: reads a key that no daemon writes, so that the response is small.
const PROBE_PATH: &str = "/kv-key?key=auburnsaddle/probe";

/// Number of peers that are tried for one call.
const MAX_RELAY_ATTEMPTS: usize = 2;

/// Number of failed calls in a row after which the store counts as unavailable. The
/// lease, the manifest poll and the watches keep retrying, so a recovery is noticed
/// within a second.
const OUTAGE_FAILURE_COUNT: usize = 4;

/// Number of failures that a call counts for if no call was answered on either route since
/// it was sent. A store that gives no answer to several calls is silent, whereas single
/// answers are lost beside others that arrive.
const SILENT_FAILURE_COUNT: usize = 2;

/// Time between probes of the direct route while calls are relayed.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// A store client that falls back to a relay through peers.
pub(crate) type CellStore = StoreClient<StoreRoute>;

/// A store call in the form in which it is sent to a peer.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) struct RelayedCall {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) body: Option<String>,
    pub(crate) time_limit_ms: u64,
}

/// The outcome of a [`RelayedCall`], as the peer reports it.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum RelayedAnswer {
    /// The store answered.
    Answered {
        /// HTTP status of the store's answer.
        status: u16,
        /// Body of the store's answer.
        body: String,
    },
    /// The store did not answer in time and may have executed the call.
    Unanswered,
    /// The call did not reach the store.
    NotMade,
}

/// The outcome of all tries to relay a call.
#[derive(Debug, Default)]
struct RelayOutcome {
    answer: Option<BufferedResponse>,
    /// Whether a peer may have executed the call although no answer arrived.
    is_unresolved: bool,
}

/// The direct route to the store and the peers that can relay calls.
#[derive(Clone, Debug)]
pub(crate) struct StoreRoute {
    state: Arc<RouteState>,
}

#[derive(Debug)]
struct RouteState {
    direct: HttpEndpoint,
    peers: ArcSwap<Vec<HttpEndpoint>>,
    /// Whether calls are relayed, because the store serves peers but not this daemon.
    is_relaying: AtomicBool,
    /// Wakes the watches on the direct route when `is_relaying` becomes true.
    relay_started: Notify,
    /// Index of the peer that relays the next call, modulo the number of peers.
    next_peer: AtomicUsize,
    /// Number of calls that failed on both routes since the last success.
    failures: AtomicUsize,
    /// Whether a direct call got no answer and none was answered since it was sent.
    is_direct_silent: AtomicBool,
    created_at: Instant,
    /// Time of the last answer to a direct call, in ms since `created_at`; 0 before the first.
    direct_answer_ms: AtomicU64,
    /// The same for an answer on either route.
    answer_ms: AtomicU64,
}

impl StoreRoute {
    pub(crate) fn new(address: &str) -> Self {
        Self {
            state: Arc::new(RouteState {
                direct: HttpEndpoint::new(address),
                peers: ArcSwap::default(),
                is_relaying: AtomicBool::new(false),
                relay_started: Notify::new(),
                next_peer: AtomicUsize::new(0),
                failures: AtomicUsize::new(0),
                is_direct_silent: AtomicBool::new(false),
                created_at: Instant::now(),
                direct_answer_ms: AtomicU64::new(0),
                answer_ms: AtomicU64::new(0),
            }),
        }
    }

    /// Returns whether the store answers neither directly nor through a relay.
    ///
    /// During an outage each request would otherwise wait for its own time-out;
    /// callers check this to reject requests at once.
    pub(crate) fn is_unavailable(&self) -> bool {
        self.state.failures.load(Ordering::Relaxed) >= OUTAGE_FAILURE_COUNT
    }

    /// Sets the address of the store for the following calls.
    pub(crate) fn set_address(&self, address: &str) {
        self.state.direct.set_address(address);
    }

    /// Sets the peers that can relay calls, in order of preference.
    pub(crate) fn set_peers(&self, peers: Vec<HttpEndpoint>) {
        self.state.peers.store(Arc::new(peers));
    }

    /// Executes a call for another daemon. Uses the direct route only, so that calls are
    /// never relayed in a circle, and does not let the peer wait for a silent store.
    pub(crate) async fn execute_for_peer(&self, call: RelayedCall) -> RelayedAnswer {
        let Ok(method) = Method::from_bytes(call.method.as_bytes()) else {
            log::warn!(method = call.method.as_str(); "a peer's call has an unknown method");
            return RelayedAnswer::NotMade;
        };
        if self.is_relaying() || self.state.is_direct_silent.load(Ordering::Relaxed) {
            return RelayedAnswer::NotMade;
        }
        let request = StoreRequest {
            method,
            path: call.path,
            body: call.body.map(String::into_bytes),
            time_limit: Duration::from_millis(call.time_limit_ms),
            is_watch: false,
        };
        // A failure is logged by the daemon that sent the call.
        match self.call_direct(request).await {
            Ok(answer) => RelayedAnswer::Answered {
                status: answer.status.as_u16(),
                body: String::from_utf8_lossy(&answer.body).into_owned(),
            },
            Err(CallError::Unanswered { .. }) => RelayedAnswer::Unanswered,
            Err(_) => RelayedAnswer::NotMade,
        }
    }

    /// Returns the time since the route was created, in ms, and at least 1.
    fn elapsed_ms(&self) -> u64 {
        let elapsed = self.state.created_at.elapsed().as_millis();
        u64::try_from(elapsed).map_or(u64::MAX, |elapsed| elapsed.saturating_add(1))
    }

    /// Sends a call directly and records whether the store answers.
    async fn call_direct(&self, request: StoreRequest) -> Result<BufferedResponse, CallError> {
        let sent_ms = self.elapsed_ms();
        let answer = self.state.direct.exchange(request).await;
        let is_silent = match &answer {
            Ok(_) => {
                let answer_ms = &self.state.direct_answer_ms;
                answer_ms.fetch_max(self.elapsed_ms(), Ordering::Relaxed);
                false
            }
            Err(_) => self.state.direct_answer_ms.load(Ordering::Relaxed) < sent_ms,
        };
        let silence = &self.state.is_direct_silent;
        silence.store(is_silent, Ordering::Relaxed);
        answer
    }

    fn is_relaying(&self) -> bool {
        self.state.is_relaying.load(Ordering::Relaxed)
    }

    /// Sends the call to peers until one returns the store's answer.
    async fn relay(&self, request: &StoreRequest) -> RelayOutcome {
        let mut outcome = RelayOutcome::default();
        let peers = self.state.peers.load_full();
        let Some(body) = encode_call(request) else {
            return outcome;
        };
        let limit = route_limit(request) + RELAY_OVERHEAD;
        for _ in 0..MAX_RELAY_ATTEMPTS.min(peers.len()) {
            let index = self.state.next_peer.load(Ordering::Relaxed) % peers.len();
            match peers[index].post_json("/store", body.clone(), limit).await {
                Ok(Some(body)) => match decode_answer(&body) {
                    Some(RelayedAnswer::Answered { status, body }) => {
                        outcome.answer = StatusCode::from_u16(status).ok().map(|status| {
                            let body = body.into();
                            BufferedResponse { status, body }
                        });
                        return outcome;
                    }
                    Some(RelayedAnswer::NotMade) => {}
                    Some(RelayedAnswer::Unanswered) => {
                        // The store is silent for others as well.
                        outcome.is_unresolved = true;
                        return outcome;
                    }
                    None => outcome.is_unresolved = true,
                },
                Ok(None) | Err(CallError::Refused { .. } | CallError::Malformed { .. }) => {}
                Err(_) => outcome.is_unresolved = true,
            }
            // This peer does not reach the store either; the next try uses another one.
            self.state.next_peer.fetch_add(1, Ordering::Relaxed);
        }
        outcome
    }

    /// Relays all calls from now on, until a probe of the direct route succeeds.
    fn start_relaying(&self) {
        if self.state.is_relaying.swap(true, Ordering::Relaxed) {
            return;
        }
        log::warn!(
            store = self.state.direct.address().as_str();
            "the store serves other daemons but not this one; calls go through them"
        );
        self.state.relay_started.notify_waiters();
        let route = self.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(PROBE_INTERVAL).await;
                let probe = StoreRequest {
                    method: Method::GET,
                    path: PROBE_PATH.to_owned(),
                    body: None,
                    time_limit: PROBE_TIMEOUT,
                    is_watch: false,
                };
                let answer = route.call_direct(probe).await;
                if answer.is_ok_and(|answer| !is_refusal(answer.status)) {
                    route.state.is_relaying.store(false, Ordering::Relaxed);
                    log::info!("the store serves this daemon again; calls go to it directly");
                    return;
                }
            }
        });
    }

    /// Sends a call directly. Its time limit is shortened while peers can relay it.
    async fn exchange_direct(&self, request: &StoreRequest) -> Result<BufferedResponse, CallError> {
        let has_peers = !self.state.peers.load().is_empty();
        let mut direct = request.clone();
        if has_peers {
            direct.time_limit = route_limit(request);
        }
        let relay_started = self.state.relay_started.notified();
        tokio::select! {
            answer = self.call_direct(direct) => answer,
            // A watch that is open on the failed direct route would receive no changes.
            () = relay_started, if request.is_watch => Err(CallError::Unanswered {
                address: self.address(),
            }),
        }
    }
}

impl StoreTransport for StoreRoute {
    async fn exchange(&self, request: StoreRequest) -> Result<BufferedResponse, CallError> {
        let sent_ms = self.elapsed_ms();
        let answer = self.exchange_with_fallback(request).await;
        let state = &self.state;
        let failures = match &answer {
            Ok(answer) if !is_refusal(answer.status) => {
                state
                    .answer_ms
                    .fetch_max(self.elapsed_ms(), Ordering::Relaxed);
                state.failures.store(0, Ordering::Relaxed);
                0
            }
            Err(CallError::Unanswered { .. })
                if state.answer_ms.load(Ordering::Relaxed) < sent_ms =>
            {
                SILENT_FAILURE_COUNT
            }
            _ => 1,
        };
        state.failures.fetch_add(failures, Ordering::Relaxed);
        answer
    }

    fn address(&self) -> String {
        self.state.direct.address().to_string()
    }
}

impl StoreRoute {
    /// Sends a call directly and, if that fails, through a relay.
    async fn exchange_with_fallback(
        &self,
        request: StoreRequest,
    ) -> Result<BufferedResponse, CallError> {
        let direct = if self.is_relaying() {
            None
        } else {
            match self.exchange_direct(&request).await {
                Ok(answer) if !is_refusal(answer.status) => return Ok(answer),
                outcome => Some(outcome),
            }
        };
        let relayed = self.relay(&request).await;
        let is_unresolved =
            relayed.is_unresolved || matches!(direct, Some(Err(CallError::Unanswered { .. })));
        match relayed.answer {
            Some(answer) if !is_refusal(answer.status) => {
                if direct.is_some() && !request.is_watch {
                    self.start_relaying();
                }
                Ok(answer)
            }
            // A refusal on one route says nothing about the outcome on the other one.
            _ if is_unresolved => Err(CallError::Unanswered {
                address: self.address(),
            }),
            Some(answer) => Ok(answer),
            None => direct.unwrap_or_else(|| {
                Err(CallError::Refused {
                    address: self.address(),
                })
            }),
        }
    }
}

/// Returns the time limit of a call on one of its two routes. The store delays the response
/// to a watch, so a watch keeps its whole limit.
fn route_limit(request: &StoreRequest) -> Duration {
    if request.is_watch {
        request.time_limit
    } else {
        request.time_limit / ROUTE_SHARE
    }
}

/// Encodes a call for a peer. Returns `None` if the body is not UTF-8.
fn encode_call(request: &StoreRequest) -> Option<Vec<u8>> {
    let body = request.body.clone().map(String::from_utf8).transpose();
    let call = RelayedCall {
        method: request.method.to_string(),
        path: request.path.clone(),
        body: body.ok()?,
        time_limit_ms: u64::try_from(route_limit(request).as_millis()).ok()?,
    };
    serde_json::to_vec(&call).ok()
}

fn decode_answer(body: &[u8]) -> Option<RelayedAnswer> {
    match serde_json::from_slice(body) {
        Ok(answer) => Some(answer),
        Err(error) => {
            log::warn!("a peer's answer cannot be decoded: {error}");
            None
        }
    }
}

/// Returns whether the store turned the call away without executing it.
const fn is_refusal(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    )
}
