//! The JSON messages of the store's HTTP interface.

use base64::{Engine, prelude::BASE64_STANDARD};
use serde::{Deserialize, Serialize};

use super::messages::{
    LeaseId, StoreCompare, StoreEntry, StoreError, StorePut, StoreRange, StoreReading, StoreTxn,
};

/// The keys from one on to the end, or a single key. The protocol leaves out
/// fields with default values, which are a good part of a small request.
#[derive(Debug)]
#[derive(Serialize)]
#[serde(untagged)]
pub(super) enum RangeRequest {
    Span { key: String, range_end: String },
    Key { key: String },
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct RangeReply {
    kvs: Vec<KeyValue>,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct ReplyHeader {
    revision: String,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct KeyValue {
    pub(super) key: String,
    pub(super) value: String,
    pub(super) mod_revision: String,
}

#[derive(Debug)]
#[derive(Serialize)]
#[serde(untagged)]
pub(super) enum TxnRequest {
    Guarded {
        compare: Vec<CompareItem>,
        success: Vec<OperationItem>,
        failure: Vec<OperationItem>,
    },
    /// A transaction that reads nothing on a conflict.
    Write {
        compare: Vec<CompareItem>,
        success: Vec<OperationItem>,
    },
    Read {
        success: Vec<OperationItem>,
    },
}

/// A comparison for equality, which is the protocol's default.
#[derive(Debug)]
#[derive(Serialize)]
#[serde(untagged)]
pub(super) enum CompareItem {
    Value {
        key: String,
        target: &'static str,
        value: String,
    },
    Version {
        key: String,
        target: &'static str,
        version: &'static str,
    },
}

#[expect(
    clippy::enum_variant_names,
    reason = "the names are those of the protocol"
)]
#[derive(Debug)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum OperationItem {
    RequestPut(PutRequest),
    RequestDeleteRange(RangeRequest),
    RequestRange(RangeRequest),
}

#[derive(Debug)]
#[derive(Serialize)]
#[serde(untagged)]
pub(super) enum PutRequest {
    Leased {
        key: String,
        value: String,
        lease: String,
    },
    Lasting {
        key: String,
        value: String,
    },
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct TxnReply {
    header: ReplyHeader,
    pub(super) succeeded: bool,
    responses: Vec<ResponseItem>,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct ResponseItem {
    response_range: Option<RangeReply>,
}

impl RangeRequest {
    /// Returns a request for all keys with a prefix.
    pub(super) fn prefix(prefix: &str) -> Self {
        let mut end = prefix.as_bytes().to_vec();
        if let Some(last) = end.last_mut() {
            // Keys are ASCII, so the last byte has a successor.
            *last += 1;
        }
        Self::Span {
            key: BASE64_STANDARD.encode(prefix),
            range_end: BASE64_STANDARD.encode(end),
        }
    }

    fn key(key: &str) -> Self {
        Self::Key {
            key: BASE64_STANDARD.encode(key),
        }
    }
}

impl From<StoreTxn> for TxnRequest {
    fn from(transaction: StoreTxn) -> Self {
        let lease = transaction.lease;
        let puts = transaction.puts.into_iter();
        let puts = puts.map(|put| OperationItem::put(put, lease));
        let deletes = transaction.deletes.iter();
        let deletes = deletes.map(|range| OperationItem::RequestDeleteRange(range.into()));
        let success = puts.chain(deletes).collect();
        let compares = transaction.compares.into_iter();
        let compare = compares.map(CompareItem::from).collect();
        let reads = transaction.reads_on_conflict.iter();
        let reads = reads.map(|key| OperationItem::RequestRange(RangeRequest::key(key)));
        let failure: Vec<_> = reads.collect();
        if failure.is_empty() {
            return Self::Write { compare, success };
        }
        Self::Guarded {
            compare,
            success,
            failure,
        }
    }
}

impl From<StoreCompare> for CompareItem {
    fn from(compare: StoreCompare) -> Self {
        match compare {
            StoreCompare::Absent(key) => Self::Version {
                key: BASE64_STANDARD.encode(key),
                target: "VERSION",
                version: "0",
            },
            StoreCompare::ValueEquals(key, value) => Self::Value {
                key: BASE64_STANDARD.encode(key),
                target: "VALUE",
                value: BASE64_STANDARD.encode(value),
            },
        }
    }
}

impl OperationItem {
    fn put(put: StorePut, lease: Option<LeaseId>) -> Self {
        let key = BASE64_STANDARD.encode(put.key);
        let value = BASE64_STANDARD.encode(put.value);
        Self::RequestPut(match lease {
            Some(lease) => PutRequest::Leased {
                key,
                value,
                lease: lease.to_string(),
            },
            None => PutRequest::Lasting { key, value },
        })
    }
}

impl From<&StoreRange> for RangeRequest {
    fn from(range: &StoreRange) -> Self {
        match range {
            StoreRange::Key(key) => Self::key(key),
            StoreRange::Prefix(prefix) => Self::prefix(prefix),
            StoreRange::Span(first, end) => Self::Span {
                key: BASE64_STANDARD.encode(first),
                range_end: BASE64_STANDARD.encode(end),
            },
        }
    }
}

impl TxnRequest {
    /// Returns an unconditional transaction that reads ranges.
    pub(super) fn read(ranges: &[StoreRange]) -> Self {
        let reads = ranges.iter();
        Self::Read {
            success: reads
                .map(|range| OperationItem::RequestRange(range.into()))
                .collect(),
        }
    }
}

impl RangeReply {
    /// Decodes the entries.
    pub(super) fn into_entries(self) -> Result<Vec<StoreEntry>, StoreError> {
        self.kvs.into_iter().map(KeyValue::into_entry).collect()
    }
}

impl TxnReply {
    /// Decodes the entries of all ranges and the revision of the store.
    pub(super) fn into_reading(self) -> Result<StoreReading, StoreError> {
        Ok(StoreReading {
            revision: number(&self.header.revision)?,
            entries: self.into_entries()?,
        })
    }

    /// Decodes the entries of all ranges that were read.
    pub(super) fn into_entries(self) -> Result<Vec<StoreEntry>, StoreError> {
        let ranges = self
            .responses
            .into_iter()
            .filter_map(|response| response.response_range);
        ranges
            .flat_map(|range| range.kvs)
            .map(KeyValue::into_entry)
            .collect()
    }
}

impl KeyValue {
    pub(super) fn into_entry(self) -> Result<StoreEntry, StoreError> {
        let key = decode(&self.key)?;
        let key = String::from_utf8(key).map_err(|error| StoreError::Malformed {
            message: error.to_string(),
        })?;
        Ok(StoreEntry {
            key,
            value: decode(&self.value)?,
        })
    }
}

/// Parses a decimal number; the protocol leaves out a zero.
pub(super) fn number(text: &str) -> Result<i64, StoreError> {
    match text {
        "" => Ok(0),
        text => text.parse().map_err(|_| StoreError::Malformed {
            message: format!("`{text}` is not a number"),
        }),
    }
}

fn decode(text: &str) -> Result<Vec<u8>, StoreError> {
    BASE64_STANDARD
        .decode(text)
        .map_err(|error| StoreError::Malformed {
            message: error.to_string(),
        })
}
