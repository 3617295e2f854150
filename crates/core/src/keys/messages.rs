//! Events, actions and records of idempotency keys.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::types::UnknownReason;
use crate::types::{CallOutcome, NotRunReason, RequestId, ServiceId, TeamId};

/// Digest of a service, a team and a key, or of a request.
pub type KeyDigest = [u8; 16];

/// Key shards of a region.
pub const KEY_SHARDS: u8 = 32;

/// Returns the digest that names a key; teams and services do not share keys.
#[must_use]
pub fn digest_key(service: &ServiceId, team: Option<&TeamId>, key: &str) -> KeyDigest {
    let team = team.map_or("", |team| &**team);
    digest_parts([service.as_bytes(), team.as_bytes(), key.as_bytes()])
}

/// Returns the digest that tells different requests with the same key apart.
#[must_use]
pub fn digest_request(method: &str, path: &str, body: &[u8]) -> KeyDigest {
    digest_parts([method.as_bytes(), path.as_bytes(), body])
}

fn digest_parts(parts: [&[u8]; 3]) -> KeyDigest {
    let mut hasher = Sha256::new();
    for part in parts {
        // The length keeps different splits of the same text apart.
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

/// A call with an idempotency key.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct KeyRequest {
    /// Identifier of the request, unique among those that wait.
    pub request: RequestId,
    /// The key.
    pub key: KeyDigest,
    /// Digest of the method, path and body.
    pub fingerprint: KeyDigest,
    /// Time left until the caller's deadline.
    pub remaining: Duration,
}

/// A response as far as it is kept.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct KeyResponse {
    /// The HTTP status.
    pub status: u16,
    /// The `Content-Type` of the body, if it has one.
    pub content_type: Option<String>,
    /// The body; `None` if it is too large to be kept or was dropped.
    pub body: Option<Vec<u8>>,
}

impl KeyResponse {
    /// Returns the response without its body if the body and its type are over
    /// a limit.
    #[must_use]
    pub(super) fn limited(mut self, bytes: usize) -> Self {
        if self.kept_bytes() > bytes {
            self.drop_body();
        }
        self
    }

    /// Returns the bytes of the body and its type.
    pub(super) fn kept_bytes(&self) -> usize {
        let kind = self.content_type.as_ref().map_or(0, String::len);
        kind + self.body.as_ref().map_or(0, Vec::len)
    }

    /// Keeps the status only.
    pub(super) fn drop_body(&mut self) {
        self.body = None;
        self.content_type = None;
    }
}

/// A recorded outcome.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum KeyOutcome {
    /// The runner answered.
    Completed(KeyResponse),
    /// The call was certainly not run; the key may be used again.
    NotRun,
}

/// A durable statement about a key.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum KeyRecord {
    /// The call is about to be dispatched.
    Intent {
        /// The key.
        key: KeyDigest,
        /// The fingerprint of its request.
        fingerprint: KeyDigest,
    },
    /// The call has ended.
    Outcome {
        /// The key.
        key: KeyDigest,
        /// How it ended.
        outcome: KeyOutcome,
    },
}

/// What the live runners say of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum RunnerAnswer {
    /// The call has ended with this response.
    Completed(KeyResponse),
    /// The call is still running.
    Running,
    /// No runner that can be asked knows the key. The call may still have run.
    NotKnown,
}

/// Something that happens to a key shard.
#[derive(Clone, Debug)]
pub enum KeyEvent {
    /// A call with a key arrived.
    Requested(KeyRequest),
    /// The intent of a key is in the store.
    IntentDurable(KeyDigest),
    /// The intent was not written by this daemon.
    IntentFailed(KeyDigest),
    /// The dispatched call of a key ended.
    CallEnded(KeyDigest, CallOutcome<KeyResponse>),
    /// The outcome of a key is in the store.
    OutcomeDurable(KeyDigest),
    /// The outcome was not written by this daemon, which lost the shard.
    OutcomeFailed(KeyDigest),
    /// The live runners were asked about a key.
    RunnerAnswered(KeyDigest, RunnerAnswer),
    /// The store accepts writes again, or does not.
    StoreChanged {
        /// Whether it does.
        available: bool,
    },
    /// Time has passed.
    TimerFired,
}

/// The result for one request.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum KeyReply {
    /// The response, for the request that was dispatched.
    Completed(KeyResponse),
    /// The recorded response, for any other request.
    Replayed(KeyResponse),
    /// An earlier request ended with this status; its body is not kept (409).
    BodyDropped(u16),
    /// The deadline passed while the call was running (409).
    StillRunning,
    /// It is not known whether the call ran (409).
    Unknown(UnknownReason),
    /// The key was used with another request (422).
    FingerprintMismatch,
    /// The request was certainly not run.
    NotRun(NotRunReason),
}

/// What a key shard asks its surroundings to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyAction {
    /// Writes a record and reports whether it is durable.
    Record(KeyRecord),
    /// Gets a slot for the call of this request and sends it to a runner.
    Dispatch(RequestId, KeyDigest),
    /// Asks the live runners about the key of this request.
    QueryRunners(RequestId, KeyDigest),
    /// Answers a request.
    Reply(RequestId, KeyReply),
}
