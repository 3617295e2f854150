//! Requests and replies of the store's key-value interface.

use serde::{Deserialize, Serialize};

/// A key or a range of keys to read, delete or watch.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct RangeRequest {
    /// First key, in base64.
    pub key: String,
    /// First key after the range, in base64; empty for the single key.
    pub range_end: String,
}

/// A stored key with its value, revision and lease.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct KeyValue {
    /// Key, in base64.
    pub key: String,
    /// Value, in base64.
    pub value: String,
    /// Store revision of the last change, as a decimal number.
    pub mod_revision: String,
    /// Lease to which the key is attached, as a decimal number; `0` for none.
    pub lease: String,
}

/// The header of each reply.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct ReplyHeader {
    /// Store revision at the time of the reply, as a decimal number.
    pub revision: String,
}

/// The result of a range read.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct RangeReply {
    /// Store revision at the time of the reply.
    pub header: ReplyHeader,
    /// The entries in key order.
    pub kvs: Vec<KeyValue>,
}

/// A transaction: evaluates comparisons, then applies one of two lists of
/// operations.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct TxnRequest {
    /// Comparisons that select the list to apply.
    pub compare: Vec<CompareItem>,
    /// Operations applied if all comparisons hold.
    pub success: Vec<OperationItem>,
    /// Operations applied if any comparison fails.
    pub failure: Vec<OperationItem>,
}

/// One comparison; only equality is supported.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct CompareItem {
    /// Key, in base64.
    pub key: String,
    /// `VALUE`, `VERSION` or `MOD`.
    pub target: String,
    /// Expected value in base64, for the target `VALUE`.
    pub value: Option<String>,
    /// Expected number of writes since the key was created, for the target
    /// `VERSION`; `0` for an absent key.
    pub version: Option<String>,
    /// Expected revision of the last change, for the target `MOD`.
    pub mod_revision: Option<String>,
}

/// One operation of a transaction; exactly one field is present.
#[expect(
    clippy::struct_field_names,
    reason = "the protocol defines these names"
)]
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct OperationItem {
    /// Writes a key.
    pub request_put: Option<PutRequest>,
    /// Deletes a range.
    pub request_delete_range: Option<RangeRequest>,
    /// Reads a range.
    pub request_range: Option<RangeRequest>,
}

impl OperationItem {
    /// Returns whether the operation writes to the store.
    #[must_use]
    pub const fn is_write(&self) -> bool {
        self.request_put.is_some() || self.request_delete_range.is_some()
    }
}

/// A request to write a key.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct PutRequest {
    /// Key, in base64.
    pub key: String,
    /// Value, in base64.
    pub value: String,
    /// Lease to which the key is attached, as a decimal number; `0` for none.
    pub lease: String,
}

/// The result of a transaction.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct TxnReply {
    /// Store revision at the time of the reply.
    pub header: ReplyHeader,
    /// Whether all comparisons held.
    pub succeeded: bool,
    /// One response for each applied operation, in the same order.
    pub responses: Vec<ResponseItem>,
}

/// The response to one operation of a transaction.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct ResponseItem {
    /// Result of a range operation; `None` for writes.
    pub response_range: Option<RangeReply>,
}
