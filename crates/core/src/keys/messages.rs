//! Events, actions and records of idempotency keys.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::types::UnknownReason;
use crate::types::{CallOutcome, NotRunReason, RequestId, RunnerId, ServiceId, TeamId};

/// Digest of a service, a team and a key, or of a request.
pub type KeyDigest = [u8; 16];

/// Key shards of a region.
const KEY_SHARDS: u8 = 32;

/// Returns the digest that names a key; teams and services do not share keys.
#[must_use]
pub fn digest_key(service: &ServiceId, team: Option<&TeamId>, key: &str) -> KeyDigest {
    let mut hasher = Sha256::new();
    let team = team.map_or("", |team| &**team);
    for part in [service, team, key] {
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
    /// Identifier of the caller's request.
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
    /// The body; `None` if it is too large to be kept or was dropped.
    pub body: Option<Vec<u8>>,
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
    /// The call is about to be sent to a runner.
    Intent {
        /// The key.
        key: KeyDigest,
        /// The fingerprint of its request.
        fingerprint: KeyDigest,
        /// The runner.
        runner: RunnerId,
    },
    /// The call has ended.
    Outcome {
        /// The key.
        key: KeyDigest,
        /// How it ended.
        outcome: KeyOutcome,
    },
}

/// What a runner says of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum RunnerAnswer {
    /// The call has ended with this response.
    Completed(KeyResponse),
    /// The call is still running.
    Running,
    /// The runner does not know the key or cannot be asked. The call may
    /// still have run.
    NotKnown,
}

/// Something that happens to a key shard.
#[derive(Clone, Debug)]
pub enum KeyEvent {
    /// A call with a key arrived.
    Requested(KeyRequest),
    /// A slot was granted for a key.
    SlotGranted(KeyDigest, RunnerId),
    /// No slot was granted for a key.
    SlotRejected(KeyDigest, NotRunReason),
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
    /// A runner was asked about a key.
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
    /// The response, for a request that waited for it.
    Completed(KeyResponse),
    /// The recorded response of an earlier request.
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
    /// Asks the call shard for a slot for this request.
    RequestSlot(RequestId, KeyDigest),
    /// Gives a granted slot back unused.
    ReturnSlot(KeyDigest),
    /// Writes a record and reports whether it is durable.
    Record(KeyRecord),
    /// Sends the call of this request to its runner.
    Dispatch(RequestId, KeyDigest),
    /// Asks the runner about a key.
    QueryRunner(KeyDigest, RunnerId),
    /// Answers a request.
    Reply(RequestId, KeyReply),
}
