//! Requests and replies of the store's lease and watch interfaces.

use serde::{Deserialize, Serialize};

use super::messages::{KeyValue, ReplyHeader};

/// A request to grant, renew or revoke a lease, or the reply to it.
#[expect(non_snake_case, reason = "the protocol defines these names")]
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct LeaseMessage {
    /// Lease identifier, as a decimal number.
    pub ID: String,
    /// Duration in seconds, as a decimal number; `0` if the lease has expired.
    pub TTL: String,
}

/// The envelope of each message of a streamed reply.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct StreamItem<T> {
    /// The enclosed message.
    pub result: T,
}

/// One message of a watch's request body.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct WatchRequest {
    /// The range to watch.
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
    /// First revision to report, as a decimal number; `0` reports only changes
    /// after the watch is created.
    pub start_revision: String,
}

/// One message of a watch's response body.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct WatchReply {
    /// Store revision at the time of the reply.
    pub header: ReplyHeader,
    /// Whether this message confirms the creation of the watch.
    pub created: bool,
    /// Whether the server has canceled the watch.
    pub canceled: bool,
    /// The compacted revision, as a decimal number, if the watch was canceled
    /// because its start revision is compacted; empty otherwise.
    pub compact_revision: String,
    /// Changes in revision order.
    pub events: Vec<ChangeItem>,
}

/// One change of a key.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct ChangeItem {
    /// `PUT` or `DELETE`.
    pub r#type: String,
    /// The key with its new value, which is empty after a deletion.
    pub kv: KeyValue,
}
