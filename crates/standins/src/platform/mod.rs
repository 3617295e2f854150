/*!
The platform's key-value store and list of hosts.

The store speaks the JSON form of a widely used key-value store's HTTP
interface: keys and values are base64 texts and 64-bit numbers are strings.
*/

mod messages;
mod state;

use std::sync::{Arc, Mutex, PoisonError};

use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;

pub use messages::{KeyValue, RangeReply, RangeRequest, TxnReply, TxnRequest};
pub use state::{PlatformState, StoreState};

use crate::http::{FullResponse, json, read_body, text};

/// The state that all connections share.
pub type SharedPlatform = Arc<Mutex<PlatformState>>;

/// Answers one request.
pub async fn handle(platform: SharedPlatform, request: Request<Incoming>) -> FullResponse {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let body = match read_body(request.into_body()).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    let mut state = platform.lock().unwrap_or_else(PoisonError::into_inner);
    match (&method, path.as_str()) {
        (&Method::POST, "/v3/kv/range") => respond(&body, |range| json(&state.store.range(&range))),
        (&Method::POST, "/v3/kv/txn") => respond(&body, |txn| json(&state.store.txn(txn))),
        (&Method::GET, "/hosts") => json(&state.hosts),
        (&Method::PUT, "/hosts") => respond(&body, |hosts| {
            state.hosts = hosts;
            text(StatusCode::NO_CONTENT, "")
        }),
        _ => text(StatusCode::NOT_FOUND, "no such path"),
    }
}

fn respond<T, F>(body: &[u8], apply: F) -> FullResponse
where
    T: DeserializeOwned,
    F: FnOnce(T) -> FullResponse,
{
    match serde_json::from_slice(body) {
        Ok(value) => apply(value),
        Err(error) => text(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}
