//! Answers requests for the store, the list of hosts and the controls.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    io,
    sync::{MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures::channel::mpsc::{UnboundedSender, unbounded};
use http::{HeaderValue, Method, Request, StatusCode, header};
use hyper::body::{Frame, Incoming};
use serde::de::DeserializeOwned;

use super::{
    PlatformState, SharedPlatform,
    messages::{RangeRequest, TxnRequest},
    watch_messages::{LeaseMessage, StreamItem, WatchReply, WatchRequest},
};
use crate::http::{HandlerResult, StandinResponse, json, read_body, stream, text};

type PartSender = UnboundedSender<Result<Frame<Bytes>, io::Error>>;

/// Answers one request.
///
/// # Errors
///
/// Returns the reset that stands for a lost response.
pub async fn handle(platform: SharedPlatform, request: Request<Incoming>) -> HandlerResult {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let known = request.headers().get(header::IF_NONE_MATCH).cloned();
    let body = match read_body(request.into_body()).await {
        Ok(body) => body,
        Err(response) => return Ok(response),
    };
    if path.starts_with("/v3/") {
        return handle_store(platform, &path, &body).await;
    }
    let mut state = platform.lock();
    Ok(match (&method, path.as_str()) {
        (&Method::GET, "/hosts") => send_hosts(&mut state, known.as_ref()),
        (&Method::PUT, "/hosts") => respond(&body, |hosts| {
            state.replace_hosts(hosts, Instant::now());
            text(StatusCode::NO_CONTENT, "")
        }),
        (&Method::GET, "/control/calls") => json(state.calls.by_path()),
        (&Method::PUT, "/control/faults") => respond(&body, |faults| {
            state.faults = faults;
            // Open watches break off when the store is switched off.
            platform.changed.send_replace(());
            text(StatusCode::NO_CONTENT, "")
        }),
        (&Method::POST, "/control/compact") => {
            state.store.compact();
            text(StatusCode::NO_CONTENT, "")
        }
        _ => text(StatusCode::NOT_FOUND, "no such path"),
    })
}

/// Answers with the list of hosts, or only says that it is the known one.
fn send_hosts(state: &mut PlatformState, known: Option<&HeaderValue>) -> StandinResponse {
    let mut hasher = DefaultHasher::new();
    state.visible_hosts(Instant::now()).hash(&mut hasher);
    let tag = format!("\"{:016x}\"", hasher.finish());
    let mut response = if known.is_some_and(|known| known.as_bytes() == tag.as_bytes()) {
        text(StatusCode::NOT_MODIFIED, "")
    } else {
        json(&state.hosts)
    };
    let tag = HeaderValue::from_str(&tag).expect("hexadecimal digits");
    response.headers_mut().insert(header::ETAG, tag);
    response
}

async fn handle_store(platform: SharedPlatform, path: &str, body: &Bytes) -> HandlerResult {
    let faults = platform.lock().faults;
    let latency = Duration::from_millis(faults.latency_ms);
    tokio::time::sleep(latency).await;
    let now = Instant::now();
    let admitted = platform
        .lock()
        .calls
        .admit(path, faults.calls_per_second, now);
    if faults.unavailable {
        let message = "the store is switched off";
        return Ok(text(StatusCode::SERVICE_UNAVAILABLE, message));
    }
    if !admitted {
        let message = "over the rate limit";
        return Ok(text(StatusCode::TOO_MANY_REQUESTS, message));
    }
    if path == "/v3/watch" {
        return Ok(watch(platform, body));
    }
    let response = apply(&mut platform.lock(), path, body, now);
    platform.changed.send_replace(());
    if path.starts_with("/v3/lease/") {
        schedule_expiry(platform.clone());
    }
    if path == "/v3/kv/txn" && platform.lock().take_lost_response() {
        return Err(h2::Error::from(h2::Reason::INTERNAL_ERROR));
    }
    Ok(response)
}

/// Applies one call that is answered at once.
fn apply(state: &mut PlatformState, path: &str, body: &[u8], now: Instant) -> StandinResponse {
    let store = &mut state.store;
    store.expire_leases(now);
    match path {
        "/v3/kv/range" => respond(body, |range: RangeRequest| json(&store.range(&range))),
        "/v3/kv/txn" => respond(body, |txn: TxnRequest| json(&store.txn(txn))),
        "/v3/lease/grant" => respond(body, |lease: LeaseMessage| {
            let id = store.leases().grant(duration(&lease), now);
            json(&LeaseMessage {
                ID: id.to_string(),
                ..lease
            })
        }),
        "/v3/lease/keepalive" => respond(body, |lease: LeaseMessage| {
            let id = lease.ID.parse().unwrap_or(0);
            let left = store.leases().keep_alive(id, now).unwrap_or_default();
            let result = LeaseMessage {
                ID: lease.ID,
                TTL: left.as_secs().to_string(),
            };
            json(&StreamItem { result })
        }),
        "/v3/lease/revoke" => respond(body, |lease: LeaseMessage| {
            store.revoke(lease.ID.parse().unwrap_or(0));
            json(&LeaseMessage::default())
        }),
        _ => text(StatusCode::NOT_FOUND, "no such path"),
    }
}

/// Lets watches see the expiry of a lease without another call.
fn schedule_expiry(platform: SharedPlatform) {
    let Some(at) = platform.lock().store.leases().last_expiry() else {
        return;
    };
    tokio::spawn(async move {
        tokio::time::sleep_until(at.into()).await;
        platform.lock().store.expire_leases(Instant::now());
        platform.changed.send_replace(());
    });
}

fn duration(lease: &LeaseMessage) -> Duration {
    Duration::from_secs(lease.TTL.parse().unwrap_or(0))
}

/// Starts a watch on all ranges of the request body.
fn watch(platform: SharedPlatform, body: &Bytes) -> StandinResponse {
    let requests = serde_json::Deserializer::from_slice(body).into_iter::<WatchRequest>();
    let requests: Result<Vec<_>, _> = requests.collect();
    let requests = match requests {
        Ok(requests) => requests,
        Err(error) => return text(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let start = requests
        .iter()
        .filter_map(|request| request.create_request.start_revision.parse().ok())
        .min()
        .unwrap_or(0);
    let ranges = requests
        .into_iter()
        .map(|request| RangeRequest {
            key: request.create_request.key,
            range_end: request.create_request.range_end,
        })
        .collect();
    let (sender, parts) = unbounded();
    tokio::spawn(send_changes(platform, ranges, start, sender));
    stream(parts)
}

/// Sends changes until the client goes away or the store is switched off.
async fn send_changes(
    platform: SharedPlatform,
    ranges: Vec<RangeRequest>,
    start: u64,
    sender: PartSender,
) {
    let mut changed = platform.changed.subscribe();
    let mut reply = WatchReply {
        created: true,
        ..WatchReply::default()
    };
    let mut next = match start {
        0 => platform.lock().store.revision() + 1,
        start => start,
    };
    loop {
        {
            let state = platform.lock();
            if state.faults.unavailable {
                let _ = sender.unbounded_send(Err(io::ErrorKind::ConnectionReset.into()));
                return;
            }
            let store = &state.store;
            if reply.created && store.changes().compacted() >= next {
                reply.canceled = true;
                reply.compact_revision = store.changes().compacted().to_string();
            }
            reply.header = store.header();
            if !state.faults.silent_watches {
                reply.events = store.changes().since(next, &ranges);
                next = store.revision() + 1;
            }
        }
        if (reply.created || !reply.events.is_empty()) && !send_item(&sender, &reply) {
            return;
        }
        if reply.canceled {
            return;
        }
        reply = WatchReply::default();
        tokio::select! {
            _ = changed.changed() => {}
            // Notices a client that went away while nothing changed.
            () = tokio::time::sleep(Duration::from_secs(1)) => {}
        }
        if sender.is_closed() {
            return;
        }
    }
}

fn send_item(sender: &PartSender, reply: &WatchReply) -> bool {
    let item = StreamItem { result: reply };
    let mut line = serde_json::to_vec(&item).unwrap_or_default();
    line.push(b'\n');
    sender
        .unbounded_send(Ok(Frame::data(Bytes::from(line))))
        .is_ok()
}

fn respond<T, F>(body: &[u8], apply: F) -> StandinResponse
where
    T: DeserializeOwned,
    F: FnOnce(T) -> StandinResponse,
{
    match serde_json::from_slice(body) {
        Ok(value) => apply(value),
        Err(error) => text(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

impl SharedPlatform {
    /// Locks the state.
    pub fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the fault switches and wakes waiting watches.
    pub fn set_faults(&self, faults: super::StoreFaults) {
        self.lock().faults = faults;
        self.changed.send_replace(());
    }
}

impl PlatformState {
    /// Puts a new list of hosts, visible after the configured lag.
    pub fn replace_hosts(&mut self, hosts: Vec<serde_json::Value>, now: Instant) {
        let lag = Duration::from_millis(self.faults.host_lag_ms);
        self.next_hosts = Some((now + lag, hosts));
    }

    /// Returns the list of hosts that readers see.
    pub fn visible_hosts(&mut self, now: Instant) -> &[serde_json::Value] {
        match self.next_hosts.take() {
            Some((at, hosts)) if at <= now => self.hosts = hosts,
            waiting => self.next_hosts = waiting,
        }
        &self.hosts
    }

    /// Tells whether the response of this write is to be lost.
    fn take_lost_response(&mut self) -> bool {
        let lose = self.faults.lose_responses > 0;
        self.faults.lose_responses = self.faults.lose_responses.saturating_sub(1);
        lose
    }
}
