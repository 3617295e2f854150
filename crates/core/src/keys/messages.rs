//! Events, actions and records of idempotency keys.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::types::UnknownReason;
use crate::types::{CallOutcome, NotRunReason, RequestId, ServiceId, TeamId};

/// Digest that identifies a key of a service and team, or the content of a request.
pub type KeyDigest = [u8; 16];

/// Number of key shards of a region.
pub const KEY_SHARDS: u8 = 32;

/// Returns the digest that identifies a key; equal keys of different teams or
/// services have different digests.
#[must_use]
pub fn digest_key(service: &ServiceId, team: Option<&TeamId>, key: &str) -> KeyDigest {
    let team = team.map_or("", |team| &**team);
    digest_parts([service.as_bytes(), team.as_bytes(), key.as_bytes()])
}

/// Returns the fingerprint of a request, which detects different requests with the
/// same key.
#[must_use]
pub fn digest_request(method: &str, path: &str, body: &[u8]) -> KeyDigest {
    digest_parts([method.as_bytes(), path.as_bytes(), body])
}

fn digest_parts(parts: [&[u8]; 3]) -> KeyDigest {
    let mut hasher = Sha256::new();
    for part in parts {
        // Without the lengths, different parts with the same concatenation would
        // have the same digest.
        hasher.update(part.len().to_be_bytes());
        hasher.update(part);
    }
    let mut digest = KeyDigest::default();
    let length = digest.len();
    digest.copy_from_slice(&hasher.finalize()[..length]);
    digest
}

/// Returns the index of the key shard of a key.
#[must_use]
pub const fn key_shard_index(key: &KeyDigest) -> u8 {
    key[0] % KEY_SHARDS
}

/// A request for a call with an idempotency key.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct KeyRequest {
    /// Identifier of the request, unique among the waiting requests.
    pub request: RequestId,
    /// Digest of the service, team and key.
    pub key: KeyDigest,
    /// Digest of the method, path and body.
    pub fingerprint: KeyDigest,
    /// Time left until the caller's deadline.
    pub remaining: Duration,
}

/// The parts of a response that are recorded.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct KeyResponse {
    /// The HTTP status.
    pub status: u16,
    /// The `Content-Type` of the body, if it has one.
    pub content_type: Option<String>,
    /// The body; `None` if it is too large to be kept or has been evicted.
    pub body: Option<Vec<u8>>,
}

impl KeyResponse {
    /// Returns the response, without its body and content type if these are larger
    /// than a limit.
    #[must_use]
    pub(super) fn with_body_limit(mut self, bytes: usize) -> Self {
        if self.kept_bytes() > bytes {
            self.drop_body();
        }
        self
    }

    /// Returns the size of the body and its content type in bytes.
    pub(super) fn kept_bytes(&self) -> usize {
        let kind = self.content_type.as_ref().map_or(0, String::len);
        kind + self.body.as_ref().map_or(0, Vec::len)
    }

    /// Removes the body and its content type.
    pub(super) fn drop_body(&mut self) {
        self.body = None;
        self.content_type = None;
    }
}

/// The recorded outcome of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum KeyOutcome {
    /// The runner has answered with this response.
    Completed(KeyResponse),
    /// The call was definitely not run; the key may be used again.
    NotRun,
}

/// A journal record of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum KeyRecord {
    /// The call may be dispatched once this record is durable.
    Intent {
        /// Digest of the key.
        key: KeyDigest,
        /// Fingerprint of the request.
        fingerprint: KeyDigest,
    },
    /// The call has ended.
    Outcome {
        /// Digest of the key.
        key: KeyDigest,
        /// How the call ended.
        outcome: KeyOutcome,
    },
}

/// The combined answer of the live runners to a query for a key.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum RunnerAnswer {
    /// The call has ended with this response.
    Completed(KeyResponse),
    /// The call is still running.
    Running,
    /// No reachable runner knows the key. The call may still have run.
    NotKnown,
}

/// Input of a key table.
#[derive(Clone, Debug)]
pub enum KeyEvent {
    /// A request for a call with a key has arrived.
    Requested(KeyRequest),
    /// The intent of a key is durable.
    IntentDurable(KeyDigest),
    /// This daemon could not write the intent of a key.
    IntentFailed(KeyDigest),
    /// The dispatched call of a key has ended.
    CallEnded(KeyDigest, CallOutcome<KeyResponse>),
    /// The outcome of a key is durable.
    OutcomeDurable(KeyDigest),
    /// This daemon could not write the outcome of a key, because it has lost the
    /// shard.
    OutcomeFailed(KeyDigest),
    /// The query of the live runners for a key has returned.
    RunnerAnswered(KeyDigest, RunnerAnswer),
    /// The availability of the store has changed.
    StoreChanged {
        /// Whether the store accepts writes.
        available: bool,
    },
    /// The periodic timer has fired, for deadlines, queries and evictions.
    TimerFired,
}

/// The reply to one request.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum KeyReply {
    /// The response, to the request whose call was dispatched.
    Completed(KeyResponse),
    /// The recorded response, to any other request.
    Replayed(KeyResponse),
    /// The call has ended with this status, but its body is not kept (409).
    BodyDropped(u16),
    /// The deadline passed while the call was running (409).
    StillRunning,
    /// The call may or may not have run (409).
    Unknown(UnknownReason),
    /// The key was used for a request with another fingerprint (422).
    FingerprintMismatch,
    /// The call was definitely not run.
    NotRun(NotRunReason),
}

/// Output of a key table, to be carried out by the daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyAction {
    /// Writes a record to the journal and reports whether it is durable.
    Record(KeyRecord),
    /// Obtains a slot for the call of this request and sends the call to a runner.
    Dispatch(RequestId, KeyDigest),
    /// Queries the live runners for the key of this request.
    QueryRunners(RequestId, KeyDigest),
    /// Sends the reply to a request.
    Reply(RequestId, KeyReply),
}
