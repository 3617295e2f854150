//! Requests and replies about leases and watches.

use serde::{Deserialize, Serialize};

use super::messages::{KeyValue, ReplyHeader};

/// Grants, extends or revokes a lease.
#[expect(
    non_snake_case,
    reason = "the container's attributes cannot rename these two protocol names"
)]
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct LeaseMessage {
    /// The lease, as a decimal number.
    pub ID: String,
    /// Its duration in seconds, as a decimal number; `0` if it has expired.
    pub TTL: String,
}

/// One object of a streamed reply.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct StreamItem<T> {
    /// The reply.
    pub result: T,
}

/// One object of a watch's request body.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct WatchRequest {
    /// The range to be watched.
    pub create_request: WatchRange,
}

/// A watched range.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct WatchRange {
    /// First key, in base64.
    pub key: String,
    /// First key after the range, in base64; empty for the single key.
    pub range_end: String,
    /// First revision of interest, as a decimal number; `0` for new changes.
    pub start_revision: String,
}

/// One object of a watch's response body.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct WatchReply {
    /// The state of the store.
    pub header: ReplyHeader,
    /// Whether this is the reply to the creation.
    pub created: bool,
    /// Whether the watch has ended.
    pub canceled: bool,
    /// The compacted revision, if it lies after the start revision.
    pub compact_revision: String,
    /// The changes in order.
    pub events: Vec<ChangeItem>,
}

/// One change of a key.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct ChangeItem {
    /// `PUT` or `DELETE`.
    pub r#type: String,
    /// The key with its new value.
    pub kv: KeyValue,
}
