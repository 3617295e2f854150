//! Request handlers of the store, the list of hosts and the `/control` paths.

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
use crate::http::{
    HandlerResult, StandinResponse, json_response, read_body, stream_response, text_response,
};

type ChunkSender = UnboundedSender<Result<Frame<Bytes>, io::Error>>;

/// Handles one request.
///
/// # Errors
///
/// Returns an error, which resets the stream, to simulate a lost response.
pub async fn handle(platform: SharedPlatform, request: Request<Incoming>) -> HandlerResult {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let if_none_match = request.headers().get(header::IF_NONE_MATCH).cloned();
    let body = match read_body(request.into_body()).await {
        Ok(body) => body,
        Err(response) => return Ok(response),
    };
    if path.starts_with("/v3/") {
        return handle_store(platform, &path, &body).await;
    }
    let mut state = platform.lock();
    Ok(match (&method, path.as_str()) {
        (&Method::GET, "/hosts") => hosts_response(&mut state, if_none_match.as_ref()),
        (&Method::PUT, "/hosts") => parse_and_respond(&body, |hosts| {
            state.replace_hosts(hosts, Instant::now());
            text_response(StatusCode::NO_CONTENT, "")
        }),
        (&Method::GET, "/control/calls") => json_response(state.calls.by_path()),
        (&Method::PUT, "/control/faults") => parse_and_respond(&body, |faults| {
            state.faults = faults;
            // Wakes open watches, which end if the store becomes unavailable.
            platform.changed.send_replace(());
            text_response(StatusCode::NO_CONTENT, "")
        }),
        (&Method::POST, "/control/compact") => {
            state.store.compact();
            text_response(StatusCode::NO_CONTENT, "")
        }
        _ => text_response(StatusCode::NOT_FOUND, "no such path"),
    })
}

/// Returns the list of hosts, or `304 Not Modified` if the client's entity tag
/// is current.
fn hosts_response(
    state: &mut PlatformState,
    if_none_match: Option<&HeaderValue>,
) -> StandinResponse {
    let mut hasher = DefaultHasher::new();
    state.visible_hosts(Instant::now()).hash(&mut hasher);
    let etag = format!("\"{:016x}\"", hasher.finish());
    let mut response = if if_none_match.is_some_and(|value| value.as_bytes() == etag.as_bytes()) {
        text_response(StatusCode::NOT_MODIFIED, "")
    } else {
        json_response(&state.hosts)
    };
    let etag = HeaderValue::from_str(&etag).expect("hexadecimal digits are valid in a header");
    response.headers_mut().insert(header::ETAG, etag);
    response
}

async fn handle_store(platform: SharedPlatform, path: &str, body: &Bytes) -> HandlerResult {
    let faults = platform.lock().faults;
    let latency = Duration::from_millis(faults.latency_ms);
    tokio::time::sleep(latency).await;
    let now = Instant::now();
    let is_admitted = platform
        .lock()
        .calls
        .admit(path, faults.calls_per_second, now);
    if faults.unavailable {
        let message = "the store is switched off";
        return Ok(text_response(StatusCode::SERVICE_UNAVAILABLE, message));
    }
    if !is_admitted {
        let message = "over the rate limit";
        return Ok(text_response(StatusCode::TOO_MANY_REQUESTS, message));
    }
    if path == "/v3/watch" {
        return Ok(start_watch(platform, body));
    }
    let response = apply_call(&mut platform.lock(), path, body, now);
    platform.changed.send_replace(());
    if path.starts_with("/v3/lease/") {
        schedule_expiry(platform.clone());
    }
    if path == "/v3/kv/txn" && platform.lock().take_lost_response() {
        return Err(h2::Error::from(h2::Reason::INTERNAL_ERROR));
    }
    Ok(response)
}

/// Applies one unary call to the store.
fn apply_call(state: &mut PlatformState, path: &str, body: &[u8], now: Instant) -> StandinResponse {
    let store = &mut state.store;
    store.expire_leases(now);
    match path {
        "/v3/kv/range" => parse_and_respond(body, |range: RangeRequest| {
            json_response(&store.read_range(&range))
        }),
        "/v3/kv/txn" => {
            parse_and_respond(body, |txn: TxnRequest| json_response(&store.apply_txn(txn)))
        }
        "/v3/lease/grant" => parse_and_respond(body, |lease: LeaseMessage| {
            let id = store.leases().grant(lease_duration(&lease), now);
            json_response(&LeaseMessage {
                ID: id.to_string(),
                ..lease
            })
        }),
        "/v3/lease/keepalive" => parse_and_respond(body, |lease: LeaseMessage| {
            let id = lease.ID.parse().unwrap_or(0);
            let ttl = store.leases().renew(id, now).unwrap_or_default();
            let result = LeaseMessage {
                ID: lease.ID,
                TTL: ttl.as_secs().to_string(),
            };
            json_response(&StreamItem { result })
        }),
        "/v3/lease/revoke" => parse_and_respond(body, |lease: LeaseMessage| {
            store.revoke_lease(lease.ID.parse().unwrap_or(0));
            json_response(&LeaseMessage::default())
        }),
        _ => text_response(StatusCode::NOT_FOUND, "no such path"),
    }
}

/// Expires the latest lease on time and notifies watches, since leases are
/// otherwise only expired on the next call.
fn schedule_expiry(platform: SharedPlatform) {
    let Some(expires_at) = platform.lock().store.leases().last_renewal_expiry() else {
        return;
    };
    tokio::spawn(async move {
        tokio::time::sleep_until(expires_at.into()).await;
        platform.lock().store.expire_leases(Instant::now());
        platform.changed.send_replace(());
    });
}

fn lease_duration(lease: &LeaseMessage) -> Duration {
    Duration::from_secs(lease.TTL.parse().unwrap_or(0))
}

/// Starts a watch on all ranges of the request body, from the lowest start
/// revision among them.
fn start_watch(platform: SharedPlatform, body: &Bytes) -> StandinResponse {
    let requests = serde_json::Deserializer::from_slice(body).into_iter::<WatchRequest>();
    let requests: Result<Vec<_>, _> = requests.collect();
    let requests = match requests {
        Ok(requests) => requests,
        Err(error) => return text_response(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let start_revision = requests
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
    let (sender, chunks) = unbounded();
    tokio::spawn(send_changes(platform, ranges, start_revision, sender));
    stream_response(chunks)
}

/// Sends changes until the client disconnects, the start revision turns out to
/// be compacted, or the store becomes unavailable.
async fn send_changes(
    platform: SharedPlatform,
    ranges: Vec<RangeRequest>,
    start_revision: u64,
    sender: ChunkSender,
) {
    let mut changed = platform.changed.subscribe();
    let mut reply = WatchReply {
        created: true,
        ..WatchReply::default()
    };
    let mut next_revision = match start_revision {
        0 => platform.lock().store.revision() + 1,
        start_revision => start_revision,
    };
    loop {
        {
            let state = platform.lock();
            if state.faults.unavailable {
                let _ = sender.unbounded_send(Err(io::ErrorKind::ConnectionReset.into()));
                return;
            }
            let store = &state.store;
            if reply.created && store.changes().compacted_revision() >= next_revision {
                reply.canceled = true;
                reply.compact_revision = store.changes().compacted_revision().to_string();
            }
            reply.header = store.header();
            if !state.faults.silent_watches {
                reply.events = store.changes().events_since(next_revision, &ranges);
                next_revision = store.revision() + 1;
            }
        }
        if (reply.created || !reply.events.is_empty()) && !send_reply(&sender, &reply) {
            return;
        }
        if reply.canceled {
            return;
        }
        reply = WatchReply::default();
        tokio::select! {
            _ = changed.changed() => {}
            // Detects a client that disconnected while there were no changes.
            () = tokio::time::sleep(Duration::from_secs(1)) => {}
        }
        if sender.is_closed() {
            return;
        }
    }
}

fn send_reply(sender: &ChunkSender, reply: &WatchReply) -> bool {
    let item = StreamItem { result: reply };
    let mut line = serde_json::to_vec(&item).unwrap_or_default();
    line.push(b'\n');
    sender
        .unbounded_send(Ok(Frame::data(Bytes::from(line))))
        .is_ok()
}

fn parse_and_respond<T, F>(body: &[u8], apply: F) -> StandinResponse
where
    T: DeserializeOwned,
    F: FnOnce(T) -> StandinResponse,
{
    match serde_json::from_slice(body) {
        Ok(value) => apply(value),
        Err(error) => text_response(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

impl SharedPlatform {
    /// Locks the state, also after a panic in another holder of the lock.
    pub fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the faults and wakes waiting watches.
    pub fn set_faults(&self, faults: super::StoreFaults) {
        self.lock().faults = faults;
        self.changed.send_replace(());
    }
}

impl PlatformState {
    /// Replaces the list of hosts; readers see it after
    /// [`StoreFaults::host_lag_ms`](super::StoreFaults::host_lag_ms).
    pub fn replace_hosts(&mut self, hosts: Vec<serde_json::Value>, now: Instant) {
        let lag = Duration::from_millis(self.faults.host_lag_ms);
        self.pending_hosts = Some((now + lag, hosts));
    }

    /// Applies a pending list of hosts that is due and returns the current list.
    pub fn visible_hosts(&mut self, now: Instant) -> &[serde_json::Value] {
        match self.pending_hosts.take() {
            Some((visible_at, hosts)) if visible_at <= now => self.hosts = hosts,
            pending => self.pending_hosts = pending,
        }
        &self.hosts
    }

    /// Returns whether to drop the response of this transaction, and decrements
    /// the number of responses still to be dropped.
    fn take_lost_response(&mut self) -> bool {
        let is_lost = self.faults.lose_responses > 0;
        self.faults.lose_responses = self.faults.lose_responses.saturating_sub(1);
        is_lost
    }
}
