//! Calls with keys, their answers, and the messages between the control thread and
//! the traffic threads.

use std::{sync::Arc, time::Duration};

use auburnsaddle_core::{
    CallOutcome, Epoch, KeyDigest, KeyReply, KeyRequest, KeyResponse, RequestId, RunnerAnswer,
    ServiceId, ShardName, TeamId, UrgencyClass, digest_key, digest_request,
};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, header::CONTENT_TYPE};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::calls::{CallBody, CallHead};

/// Size limit of the body of a call with a key, and of its response. It leaves 64 KiB
/// for the headers in a peer message of 1 MB.
pub(crate) const MAX_KEYED_BODY_BYTES: usize = (1 << 20) - (64 << 10);

/// Name and value of a header, as encoded in messages between daemons.
type HeaderEntry = (String, Vec<u8>);

/// A call with a key, with its complete body.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) struct KeyedCall {
    /// The service that is called.
    pub(crate) service: ServiceId,
    /// The key from the caller's `Idempotency-Key` header.
    pub(crate) key: String,
    /// Time left until the caller's deadline.
    pub(crate) remaining: Duration,
    /// The team that is charged.
    pub(super) team: Option<TeamId>,
    request: RequestId,
    urgency: Option<UrgencyClass>,
    method: String,
    path: String,
    headers: Vec<HeaderEntry>,
    body: Vec<u8>,
}

impl KeyedCall {
    /// Returns the call that a caller sent with a key.
    pub(crate) fn new(service: ServiceId, key: String, head: CallHead<Bytes>) -> Self {
        Self {
            service,
            key,
            remaining: head.remaining,
            team: head.team,
            request: head.request,
            urgency: head.urgency,
            method: head.method.to_string(),
            path: head.path,
            headers: encode_headers(&head.headers),
            body: head.body.to_vec(),
        }
    }

    /// Returns the identifier of the caller's request.
    pub(super) const fn request(&self) -> RequestId {
        self.request
    }

    /// Returns the digest that identifies the key within its service and team.
    pub(crate) fn key_digest(&self) -> KeyDigest {
        digest_key(&self.service, self.team.as_ref(), &self.key)
    }

    /// Returns the request for the key table, identified by `request`.
    pub(super) fn key_request(&self, request: RequestId) -> KeyRequest {
        KeyRequest {
            request,
            key: self.key_digest(),
            fingerprint: digest_request(&self.method, &self.path, &self.body),
            remaining: self.remaining,
        }
    }

    /// Returns the call as the dispatcher takes it, or `None` if the method is malformed.
    pub(super) fn call_head(&self) -> Option<CallHead> {
        Some(CallHead {
            request: self.request,
            team: self.team.clone(),
            urgency: self.urgency,
            remaining: self.remaining,
            method: Method::from_bytes(self.method.as_bytes()).ok()?,
            path: self.path.clone(),
            headers: decode_headers(&self.headers),
            body: CallBody::Whole(self.body.clone().into()),
        })
    }
}

/// A runner's response, held in memory.
#[derive(Clone, Debug)]
pub(crate) struct BufferedResponse {
    /// The HTTP status code.
    pub(super) status: u16,
    /// The headers.
    pub(super) headers: Vec<HeaderEntry>,
    /// The body, or `None` if it is larger than [`MAX_KEYED_BODY_BYTES`].
    pub(super) body: Option<Vec<u8>>,
}

/// The answer to a call with a key.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) struct KeyedAnswer {
    /// The result. The request that was dispatched gets the complete body, also if
    /// the body is too large to be recorded.
    pub(crate) reply: KeyReply,
    headers: Vec<HeaderEntry>,
}

impl BufferedResponse {
    /// Returns the part of the response that the key table records.
    pub(super) fn to_key_response(&self) -> KeyResponse {
        let header = CONTENT_TYPE.as_str();
        let mut values = self.headers.iter().filter(|(name, _)| name == header);
        let content_type = values
            .next()
            .and_then(|(_, value)| std::str::from_utf8(value).ok());
        KeyResponse {
            status: self.status,
            content_type: content_type.map(ToOwned::to_owned),
            body: self.body.clone(),
        }
    }
}

impl KeyedAnswer {
    /// Returns an answer that does not come from a runner's response to this request.
    pub(super) const fn without_headers(reply: KeyReply) -> Self {
        Self {
            reply,
            headers: Vec::new(),
        }
    }

    /// Returns an answer with the headers of the runner's response.
    pub(super) const fn with_headers(reply: KeyReply, headers: Vec<HeaderEntry>) -> Self {
        Self { reply, headers }
    }

    /// Returns the headers of the runner's response.
    pub(crate) fn headers(&self) -> HeaderMap {
        decode_headers(&self.headers)
    }
}

/// The reply of a daemon to a forwarded call.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) enum ForwardReply {
    /// The daemon owns the shard, or rejected the call as not run.
    Answered(KeyedAnswer),
    /// The daemon lost the shard while the call may have been running. The next
    /// owner reads from the journal whether the call may have run.
    Moved,
}

/// A command from the traffic threads to the owned key shards.
#[derive(Debug)]
pub(crate) enum KeyCommand {
    /// A call with a key arrived.
    Request {
        /// The key shard.
        shard: ShardName,
        /// The call, with its key.
        call: KeyedCall,
        /// Receives the answer, or is dropped if the daemon loses the shard.
        reply: oneshot::Sender<KeyedAnswer>,
    },
    /// A dispatched call ended.
    Ended {
        /// The key shard.
        shard: ShardName,
        /// The epoch under which the call was dispatched.
        epoch: Epoch,
        /// The key.
        key: KeyDigest,
        /// How the call ended.
        outcome: CallOutcome<BufferedResponse>,
    },
    /// The live runners were queried by key.
    Answered {
        /// The key shard.
        shard: ShardName,
        /// The epoch under which the runners were queried.
        epoch: Epoch,
        /// The key.
        key: KeyDigest,
        /// The combined answer of the runners.
        answer: RunnerAnswer,
    },
}

/// Work that a key shard hands to the traffic threads.
#[derive(Clone, Debug)]
pub(crate) struct KeyEffect {
    /// The key shard.
    pub(super) shard: ShardName,
    /// The epoch of the ownership.
    pub(super) epoch: Epoch,
    /// The call to dispatch, or whose key to query.
    pub(super) call: Arc<KeyedCall>,
    /// The kind of work.
    pub(super) kind: KeyEffectKind,
}

/// The work to do for a [`KeyEffect`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum KeyEffectKind {
    /// Sends the call to a runner.
    Dispatch,
    /// Queries all live runners of the service by key.
    Query,
}

/// Encodes headers for a message between daemons.
pub(super) fn encode_headers(headers: &HeaderMap) -> Vec<HeaderEntry> {
    headers
        .iter()
        .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
        .collect()
}

/// Decodes the headers of a message between daemons.
fn decode_headers(entries: &[HeaderEntry]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in entries {
        let name = HeaderName::from_bytes(name.as_bytes());
        // The sender has parsed these names and values, so none is invalid.
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(value)) {
            headers.append(name, value);
        }
    }
    headers
}
