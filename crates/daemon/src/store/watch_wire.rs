//! JSON wire format of leases and watches.

use serde::{Deserialize, Serialize};

use super::{
    messages::{LeaseId, StoreChange, StoreError, StoreRange, StoreRevision},
    wire::{KeyValue, RangeRequest, parse_number},
};

/// Event type of a deletion; every other type is a write.
const DELETE: &str = "DELETE";

/// Requests a lease; the ID 0 lets the store assign one.
#[derive(Debug)]
#[derive(Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub(super) struct GrantRequest {
    ttl: String,
    id: String,
}

/// Renews or revokes a lease.
#[derive(Debug)]
#[derive(Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub(super) struct LeaseRequest {
    id: String,
}

/// The response to all lease requests.
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default, rename_all = "UPPERCASE")]
pub(super) struct LeaseReply {
    id: String,
    ttl: String,
}

/// Envelope of one message of a streaming response.
#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct StreamItem<T> {
    pub(super) result: T,
}

#[derive(Debug)]
#[derive(Serialize)]
struct WatchRequest {
    create_request: WatchRange,
}

#[derive(Debug)]
#[derive(Serialize)]
struct WatchRange {
    key: String,
    range_end: String,
    start_revision: String,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct WatchReply {
    canceled: bool,
    compact_revision: String,
    events: Vec<ChangeItem>,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct ChangeItem {
    r#type: String,
    kv: KeyValue,
}

impl GrantRequest {
    pub(super) fn new(seconds: u64) -> Self {
        Self {
            ttl: seconds.to_string(),
            id: "0".to_owned(),
        }
    }
}

impl LeaseRequest {
    pub(super) fn new(lease: LeaseId) -> Self {
        Self {
            id: lease.to_string(),
        }
    }
}

impl LeaseReply {
    /// Returns the ID of the granted lease.
    pub(super) fn lease(&self) -> Result<LeaseId, StoreError> {
        parse_number(&self.id)
    }

    /// Returns whether the renewed lease is alive; an expired one has a
    /// time-to-live of zero.
    pub(super) fn is_alive(&self) -> Result<bool, StoreError> {
        Ok(parse_number(&self.ttl)? > 0)
    }
}

/// Encodes the request body of a watch: one JSON object per line and range.
pub(super) fn encode_watch_request(
    ranges: &[StoreRange],
    start: StoreRevision,
) -> Result<Vec<u8>, serde_json::Error> {
    let mut body = Vec::new();
    for range in ranges {
        let (key, range_end) = match RangeRequest::from(range) {
            RangeRequest::Span { key, range_end } => (key, range_end),
            RangeRequest::Key { key } => (key, String::new()),
        };
        let create_request = WatchRange {
            key,
            range_end,
            start_revision: start.to_string(),
        };
        serde_json::to_writer(&mut body, &WatchRequest { create_request })?;
        body.push(b'\n');
    }
    Ok(body)
}

/// Decodes one line of a watch response.
pub(super) fn decode_changes(line: &[u8]) -> Result<Vec<StoreChange>, StoreError> {
    let item: StreamItem<WatchReply> =
        serde_json::from_slice(line).map_err(|error| StoreError::Malformed {
            message: error.to_string(),
        })?;
    let reply = item.result;
    match parse_number(&reply.compact_revision)? {
        0 if reply.canceled => Err(StoreError::Unavailable {
            message: "the store ended the watch".to_owned(),
        }),
        0 => reply
            .events
            .into_iter()
            .map(ChangeItem::into_change)
            .collect(),
        revision => Err(StoreError::Compacted { revision }),
    }
}

impl ChangeItem {
    fn into_change(self) -> Result<StoreChange, StoreError> {
        let revision = parse_number(&self.kv.mod_revision)?;
        let entry = self.kv.into_entry()?;
        let value = (self.r#type != DELETE).then_some(entry.value);
        Ok(StoreChange {
            revision,
            key: entry.key,
            value,
        })
    }
}
