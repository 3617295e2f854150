//! The way to the store: direct, or through another daemon.
//!
//! Load pattern: the store is cut off from some daemons, or turns them away, and
//! serves the others. Their callers would be rejected, and an owner among them
//! would lose its services.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use auburnsaddle_platform::{
    BufferedResponse, CallError, HttpEndpoint, StoreClient, StoreRequest, StoreTransport,
};
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

/// Time limit of a direct call, if others can carry it: above a slow spell of the
/// store of some hundred ms.
const DIRECT_LIMIT: Duration = Duration::from_millis(600);

/// Added to a time limit for the way to the other daemon.
const RELAY_SLACK: Duration = Duration::from_millis(150);

/// Daemons that are tried for one call.
const RELAY_TRIES: usize = 2;

/// Calls in a row without success after which the store counts as away. The lease,
/// the manifest and the feeds keep trying, so its return shows within a second.
const FAILURES_OF_OUTAGE: usize = 4;

/// Time between tries of the direct way while it is not used.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// A client of the store that knows both ways.
pub(crate) type CellStore = StoreClient<StoreRoute>;

/// A call that another daemon makes.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) struct RelayedCall {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) body: Option<String>,
    pub(crate) time_limit_ms: u64,
}

/// What became of a [`RelayedCall`].
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum RelayedAnswer {
    /// The store answered.
    Answered {
        /// The status.
        status: u16,
        /// The body.
        body: String,
    },
    /// The store gave no answer and may have carried out the call.
    Unanswered,
    /// The call did not reach the store.
    NotMade,
}

/// What became of a call on the way through other daemons.
#[derive(Debug, Default)]
struct RelayOutcome {
    answer: Option<BufferedResponse>,
    /// Whether a daemon may have made the call although its answer is missing.
    is_open: bool,
}

/// Both ways to the store.
#[derive(Clone, Debug)]
pub(crate) struct StoreRoute {
    state: Arc<RouteState>,
}

#[derive(Debug)]
struct RouteState {
    direct: HttpEndpoint,
    peers: ArcSwap<Vec<HttpEndpoint>>,
    /// Whether the store serves others and not this daemon.
    is_cut: AtomicBool,
    cut: Notify,
    next_peer: AtomicUsize,
    /// Calls without success on any way since the last success.
    failures: AtomicUsize,
}

impl StoreRoute {
    pub(crate) fn new(address: &str) -> Self {
        Self {
            state: Arc::new(RouteState {
                direct: HttpEndpoint::new(address),
                peers: ArcSwap::default(),
                is_cut: AtomicBool::new(false),
                cut: Notify::new(),
                next_peer: AtomicUsize::new(0),
                failures: AtomicUsize::new(0),
            }),
        }
    }

    /// Tells whether the store answers on no way.
    ///
    /// Load pattern: in an outage every request would wait for its own failure. What
    /// is known not to work is rejected at once instead.
    pub(crate) fn is_away(&self) -> bool {
        self.state.failures.load(Ordering::Relaxed) >= FAILURES_OF_OUTAGE
    }

    /// Uses another address of the store from the next call on.
    pub(crate) fn set_address(&self, address: &str) {
        self.state.direct.set_address(address);
    }

    /// Sets the daemons that can carry calls.
    pub(crate) fn set_peers(&self, peers: Vec<HttpEndpoint>) {
        self.state.peers.store(Arc::new(peers));
    }

    /// Carries a call of another daemon, on the direct way only.
    pub(crate) async fn carry(&self, call: RelayedCall) -> RelayedAnswer {
        let Ok(method) = Method::from_bytes(call.method.as_bytes()) else {
            log::warn!(method = call.method.as_str(); "a peer's call has an unknown method");
            return RelayedAnswer::NotMade;
        };
        if self.is_cut() {
            return RelayedAnswer::NotMade;
        }
        let request = StoreRequest {
            method,
            path: call.path,
            body: call.body.map(String::into_bytes),
            time_limit: Duration::from_millis(call.time_limit_ms),
            is_watch: false,
        };
        // The calling daemon logs the failure.
        match self.state.direct.exchange(request).await {
            Ok(answer) => RelayedAnswer::Answered {
                status: answer.status.as_u16(),
                body: String::from_utf8_lossy(&answer.body).into_owned(),
            },
            Err(CallError::Unanswered { .. }) => RelayedAnswer::Unanswered,
            Err(_) => RelayedAnswer::NotMade,
        }
    }

    fn is_cut(&self) -> bool {
        self.state.is_cut.load(Ordering::Relaxed)
    }

    /// Makes the call through other daemons.
    async fn relay(&self, request: &StoreRequest) -> RelayOutcome {
        let mut outcome = RelayOutcome::default();
        let peers = self.state.peers.load_full();
        let Some(body) = encode_call(request) else {
            return outcome;
        };
        for _ in 0..RELAY_TRIES.min(peers.len()) {
            let index = self.state.next_peer.load(Ordering::Relaxed) % peers.len();
            let limit = request.time_limit + RELAY_SLACK;
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
                    Some(RelayedAnswer::Unanswered) | None => outcome.is_open = true,
                },
                Ok(None) | Err(CallError::Refused { .. } | CallError::Malformed { .. }) => {}
                Err(_) => outcome.is_open = true,
            }
            // This daemon does not reach the store either; the next call tries another.
            self.state.next_peer.fetch_add(1, Ordering::Relaxed);
        }
        outcome
    }

    /// Uses the other way from now on, until a try of the direct way succeeds.
    fn leave_direct_way(&self) {
        if self.state.is_cut.swap(true, Ordering::Relaxed) {
            return;
        }
        log::warn!(
            store = self.state.direct.address().as_str();
            "the store serves other daemons but not this one; calls go through them"
        );
        self.state.cut.notify_waiters();
        let route = self.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(PROBE_INTERVAL).await;
                let probe = StoreRequest {
                    method: Method::GET,
                    path: format!("/kv-key?key={}", auburnsaddle_platform::MANIFEST_KEY),
                    body: None,
                    time_limit: DIRECT_LIMIT,
                    is_watch: false,
                };
                let answer = route.state.direct.exchange(probe).await;
                if answer.is_ok_and(|answer| !is_refusal(answer.status)) {
                    route.state.is_cut.store(false, Ordering::Relaxed);
                    log::info!("the store serves this daemon again");
                    return;
                }
            }
        });
    }

    async fn exchange_direct(&self, request: &StoreRequest) -> Result<BufferedResponse, CallError> {
        let has_peers = !self.state.peers.load().is_empty();
        let mut direct = request.clone();
        if has_peers && !request.is_watch {
            direct.time_limit = direct.time_limit.min(DIRECT_LIMIT);
        }
        let cut = self.state.cut.notified();
        tokio::select! {
            answer = self.state.direct.exchange(direct) => answer,
            // A watch that waits on a way that is cut would hear nothing.
            () = cut, if request.is_watch => Err(CallError::Unanswered {
                address: self.address(),
            }),
        }
    }
}

impl StoreTransport for StoreRoute {
    async fn exchange(&self, request: StoreRequest) -> Result<BufferedResponse, CallError> {
        let answer = self.exchange_any_way(request).await;
        match &answer {
            Ok(answer) if !is_refusal(answer.status) => {
                self.state.failures.store(0, Ordering::Relaxed);
            }
            _ => {
                self.state.failures.fetch_add(1, Ordering::Relaxed);
            }
        }
        answer
    }

    fn address(&self) -> String {
        self.state.direct.address().to_string()
    }
}

impl StoreRoute {
    async fn exchange_any_way(&self, request: StoreRequest) -> Result<BufferedResponse, CallError> {
        let direct = if self.is_cut() {
            None
        } else {
            match self.exchange_direct(&request).await {
                Ok(answer) if !is_refusal(answer.status) => return Ok(answer),
                outcome => Some(outcome),
            }
        };
        let relayed = self.relay(&request).await;
        let is_open = relayed.is_open || matches!(direct, Some(Err(CallError::Unanswered { .. })));
        match relayed.answer {
            Some(answer) if !is_refusal(answer.status) => {
                if direct.is_some() && !request.is_watch {
                    self.leave_direct_way();
                }
                Ok(answer)
            }
            // A refusal on one way does not tell what became of the call on the other.
            _ if is_open => Err(CallError::Unanswered {
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

/// Encodes a call for another daemon; nothing if its body is no text.
fn encode_call(request: &StoreRequest) -> Option<Vec<u8>> {
    let body = request.body.clone().map(String::from_utf8).transpose();
    let call = RelayedCall {
        method: request.method.to_string(),
        path: request.path.clone(),
        body: body.ok()?,
        time_limit_ms: u64::try_from(request.time_limit.as_millis()).ok()?,
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

const fn is_refusal(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    )
}
