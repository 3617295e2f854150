//! Handles calls with an idempotency key.

use std::time::Instant;

use auburnsaddle_core::{
    KeyReply, KeyResponse, NotRunReason, ServiceSpec, ShardName, UnknownReason, key_shard_index,
};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use http_body_util::Full;

use super::{
    body::FrontBody,
    messages::{FrontError, FrontResponse, OUTCOME_HEADER, not_run_response, unknown_response},
    service::FrontService,
};
use crate::{
    calls::CallHead,
    control::RoutingSnapshot,
    keys::{KeyedAnswer, KeyedCall},
    store::StoreClient,
};

/// Size limit of a key, in bytes. A UUID has 36.
const MAX_KEY_BYTES: usize = 255;

/// Response header with `true` on a recorded response.
const REPLAYED_HEADER: &str = "auburnsaddle-replayed";

/// Returns the key of a call, which is required if the service is not idempotent.
pub(super) fn parse_call_key(
    headers: &HeaderMap,
    service: &ServiceSpec,
) -> Result<Option<String>, FrontError> {
    match parse_key(headers)? {
        None if !service.idempotent => Err(key_error(
            "the service is not idempotent and the call has no key",
        )),
        key => Ok(key),
    }
}

/// Returns the key of a request, if it has one.
pub(super) fn parse_key(headers: &HeaderMap) -> Result<Option<String>, FrontError> {
    let Some(value) = headers.get("idempotency-key") else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    // The key is part of the path in queries to runners, so it must not need escapes.
    let is_valid = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.~:".contains(&byte);
    if text.is_empty() || text.len() > MAX_KEY_BYTES || !text.bytes().all(is_valid) {
        return Err(key_error("the Idempotency-Key is malformed"));
    }
    Ok(Some(text.to_owned()))
}

/// Returns the error for a missing or malformed key.
fn key_error(error: &str) -> FrontError {
    let remedy = "send an Idempotency-Key of 1 to 255 letters, digits and -_.~: such as a UUID";
    FrontError::new(StatusCode::BAD_REQUEST, error, remedy)
}

impl<S: StoreClient> FrontService<S> {
    /// Forwards a call to the owner of its key shard and returns the response.
    pub(super) async fn handle_keyed_call(
        &self,
        snapshot: &RoutingSnapshot,
        service: &ServiceSpec,
        key: String,
        head: CallHead<Bytes>,
    ) -> FrontResponse {
        let call = KeyedCall::new(service.name.clone(), key, head);
        let Some(pool) = snapshot.objects.pools.get(&service.pool) else {
            return not_run_response(NotRunReason::NoTarget);
        };
        let shard = ShardName::Key(pool.region.clone(), key_shard_index(&call.key_digest()));
        let received_at = Instant::now();
        let answer = self.keys.forward(&shard, call).await;
        let outcome = outcome_name(&answer.reply);
        self.metrics.record_call(outcome, received_at.elapsed());
        log::debug!(outcome = outcome; "call with a key answered");
        match answer.reply {
            KeyReply::NotRun(reason) => self.metrics.record_rejection("call", reason),
            KeyReply::FingerprintMismatch => {
                self.metrics
                    .record_rejection("call", "fingerprint-mismatch");
            }
            _ => {}
        }
        encode_answer(answer)
    }
}

/// Returns the outcome of a call as metrics and log lines show it. A repeated request
/// has the outcome of the call.
const fn outcome_name(reply: &KeyReply) -> &'static str {
    match reply {
        KeyReply::Completed(_) | KeyReply::Replayed(_) | KeyReply::BodyDropped(_) => "completed",
        KeyReply::NotRun(_) | KeyReply::FingerprintMismatch => "not-run",
        KeyReply::StillRunning | KeyReply::Unknown(_) => "unknown",
    }
}

/// Encodes the answer of a key shard's owner.
fn encode_answer(answer: KeyedAnswer) -> FrontResponse {
    let headers = answer.headers();
    match answer.reply {
        KeyReply::Completed(response) => {
            let mut response = recorded_response(response);
            // There are no headers if the response is from a query of the runners,
            // which return only the content type.
            if !headers.is_empty() {
                *response.headers_mut() = headers;
            }
            response
        }
        KeyReply::Replayed(response) => {
            let mut response = recorded_response(response);
            let replayed = HeaderValue::from_static("true");
            response.headers_mut().insert(REPLAYED_HEADER, replayed);
            response
        }
        KeyReply::BodyDropped(status) => FrontResponse::from(FrontError::new(
            StatusCode::CONFLICT,
            &format!("the call was completed with status {status}; its body is not kept"),
            "ask the service for the result",
        )),
        KeyReply::StillRunning => conflict_response(UnknownReason::DeadlinePassed),
        KeyReply::Unknown(reason) => conflict_response(reason),
        KeyReply::FingerprintMismatch => {
            let mut response = FrontResponse::from(FrontError::new(
                StatusCode::UNPROCESSABLE_ENTITY,
                "the Idempotency-Key was used with another request",
                "send another key with this request",
            ));
            let outcome = HeaderValue::from_static("not-run");
            response.headers_mut().insert(OUTCOME_HEADER, outcome);
            response
        }
        KeyReply::NotRun(reason) => not_run_response(reason),
    }
}

/// Returns a response with the status, content type and body of a recorded one.
fn recorded_response(recorded: KeyResponse) -> FrontResponse {
    let body = Bytes::from(recorded.body.unwrap_or_default());
    let mut response = FrontResponse::new(FrontBody::Full(Full::new(body)));
    let content_type = recorded.content_type.as_deref().map(HeaderValue::from_str);
    if let Some(Ok(content_type)) = content_type {
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, content_type);
    }
    // The daemon that received the status has parsed it, so it is valid.
    *response.status_mut() = StatusCode::from_u16(recorded.status).unwrap_or_default();
    response
}

/// Returns the response to a request whose call may be running or may have run.
fn conflict_response(reason: UnknownReason) -> FrontResponse {
    let mut response = unknown_response(reason);
    *response.status_mut() = StatusCode::CONFLICT;
    response
}
