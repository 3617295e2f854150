//! Calls with keys and their answers.

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

/// Largest body of a call with a key or of its response; with the headers it
/// fits into a peer message of 1 MB.
pub(crate) const BODY_LIMIT: usize = (1 << 20) - (64 << 10);

/// A header as sent between daemons.
type HeaderEntry = (String, Vec<u8>);

/// A whole call with a key.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) struct KeyedCall {
    /// The service.
    pub(crate) service: ServiceId,
    /// The key as the caller sent it.
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
    /// Returns a call as received from its caller.
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
            headers: header_entries(&head.headers),
            body: head.body.to_vec(),
        }
    }

    /// Returns the identifier of the caller's request.
    pub(super) const fn request(&self) -> RequestId {
        self.request
    }

    /// Returns the digest that names the key.
    pub(crate) fn key_digest(&self) -> KeyDigest {
        digest_key(&self.service, self.team.as_ref(), &self.key)
    }

    /// Returns the request for the key table under the identifier given.
    pub(super) fn key_request(&self, request: RequestId) -> KeyRequest {
        KeyRequest {
            request,
            key: self.key_digest(),
            fingerprint: digest_request(&self.method, &self.path, &self.body),
            remaining: self.remaining,
        }
    }

    /// Returns the call for the dispatcher, or `None` if its method is
    /// malformed.
    pub(super) fn head(&self) -> Option<CallHead> {
        Some(CallHead {
            request: self.request,
            team: self.team.clone(),
            urgency: self.urgency,
            remaining: self.remaining,
            method: Method::from_bytes(self.method.as_bytes()).ok()?,
            path: self.path.clone(),
            headers: header_map(&self.headers),
            body: CallBody::Whole(self.body.clone().into()),
        })
    }
}

/// A runner's response as a whole.
#[derive(Clone, Debug)]
pub(crate) struct WholeResponse {
    /// The HTTP status.
    pub(super) status: u16,
    /// The headers.
    pub(super) headers: Vec<HeaderEntry>,
    /// The body; `None` if it is over [`BODY_LIMIT`].
    pub(super) body: Option<Vec<u8>>,
}

/// The answer of a key shard's owner.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) struct KeyedAnswer {
    /// The result; that of the dispatched request has the whole body.
    pub(crate) reply: KeyReply,
    headers: Vec<HeaderEntry>,
}

impl WholeResponse {
    /// Returns the response as it is recorded.
    pub(super) fn recorded(&self) -> KeyResponse {
        let kind = CONTENT_TYPE.as_str();
        let mut kinds = self.headers.iter().filter(|(name, _)| name == kind);
        let kind = kinds
            .next()
            .and_then(|(_, value)| std::str::from_utf8(value).ok());
        KeyResponse {
            status: self.status,
            content_type: kind.map(ToOwned::to_owned),
            body: self.body.clone(),
        }
    }
}

impl KeyedAnswer {
    /// Returns an answer that is not a response of a runner to this request.
    pub(super) const fn without_headers(reply: KeyReply) -> Self {
        Self {
            reply,
            headers: Vec::new(),
        }
    }

    /// Returns the answer to the dispatched request.
    pub(super) const fn with_headers(reply: KeyReply, headers: Vec<HeaderEntry>) -> Self {
        Self { reply, headers }
    }

    /// Returns the headers of the runner's response.
    pub(crate) fn headers(&self) -> HeaderMap {
        header_map(&self.headers)
    }
}

/// The reply of the daemon that was asked.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) enum ForwardReply {
    /// The answer of the owner.
    Answered(KeyedAnswer),
    /// The daemon lost the shard while the call may have been running; the
    /// next owner knows more.
    Moved,
}

/// Something that traffic reports to the owned key shards.
#[derive(Debug)]
pub(crate) enum KeyCommand {
    /// A call with a key arrived.
    Request {
        /// The key shard.
        shard: ShardName,
        /// The call.
        call: KeyedCall,
        /// Receives the answer; dropped if the shard is lost.
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
        outcome: CallOutcome<WholeResponse>,
    },
    /// The live runners were asked about a key.
    Answered {
        /// The key shard.
        shard: ShardName,
        /// The epoch under which they were asked.
        epoch: Epoch,
        /// The key.
        key: KeyDigest,
        /// What they know.
        answer: RunnerAnswer,
    },
}

/// What a key shard needs from the traffic threads.
#[derive(Clone, Debug)]
pub(crate) struct KeyEffect {
    /// The key shard.
    pub(super) shard: ShardName,
    /// The epoch of the ownership.
    pub(super) epoch: Epoch,
    /// The call whose key is meant.
    pub(super) call: Arc<KeyedCall>,
    /// What is to be done.
    pub(super) kind: KeyEffectKind,
}

/// The kind of a [`KeyEffect`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum KeyEffectKind {
    /// Sends the call to a runner.
    Dispatch,
    /// Asks all live runners of the service about the key.
    Query,
}

/// Returns headers as sent between daemons.
pub(super) fn header_entries(headers: &HeaderMap) -> Vec<HeaderEntry> {
    headers
        .iter()
        .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
        .collect()
}

fn header_map(entries: &[HeaderEntry]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in entries {
        let name = HeaderName::from_bytes(name.as_bytes());
        // Names and values were parsed by the sender already.
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(value)) {
            headers.append(name, value);
        }
    }
    headers
}
