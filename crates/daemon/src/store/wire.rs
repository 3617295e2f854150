//! The JSON messages of the store's HTTP interface.

use base64::{Engine, prelude::BASE64_STANDARD};
use serde::{Deserialize, Serialize};

use super::messages::{
    LeaseId, StoreCompare, StoreEntry, StoreError, StorePut, StoreRange, StoreReading, StoreTxn,
};

#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct RangeRequest {
    pub(super) key: String,
    pub(super) range_end: String,
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
pub(super) struct TxnRequest {
    compare: Vec<CompareItem>,
    success: Vec<OperationItem>,
    failure: Vec<OperationItem>,
}

#[derive(Debug)]
#[derive(Serialize)]
#[serde(untagged)]
enum CompareItem {
    Value {
        key: String,
        target: &'static str,
        result: &'static str,
        value: String,
    },
    Version {
        key: String,
        target: &'static str,
        result: &'static str,
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
enum OperationItem {
    RequestPut {
        key: String,
        value: String,
        lease: String,
    },
    RequestDeleteRange(RangeRequest),
    RequestRange(RangeRequest),
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
        Self {
            key: BASE64_STANDARD.encode(prefix),
            range_end: BASE64_STANDARD.encode(end),
        }
    }

    fn key(key: &str) -> Self {
        Self {
            key: BASE64_STANDARD.encode(key),
            range_end: String::new(),
        }
    }
}

impl From<StoreTxn> for TxnRequest {
    fn from(transaction: StoreTxn) -> Self {
        let reads = transaction.reads_on_conflict.iter();
        let lease = transaction.lease.unwrap_or(0);
        let puts = transaction
            .puts
            .into_iter()
            .map(|put| OperationItem::put(put, lease));
        let deletes = transaction
            .deletes
            .iter()
            .map(|range| OperationItem::RequestDeleteRange(range.into()));
        Self {
            compare: transaction
                .compares
                .into_iter()
                .map(CompareItem::from)
                .collect(),
            success: puts.chain(deletes).collect(),
            failure: reads
                .map(|key| OperationItem::RequestRange(RangeRequest::key(key)))
                .collect(),
        }
    }
}

impl From<StoreCompare> for CompareItem {
    fn from(compare: StoreCompare) -> Self {
        match compare {
            StoreCompare::Absent(key) => Self::Version {
                key: BASE64_STANDARD.encode(key),
                target: "VERSION",
                result: "EQUAL",
                version: "0",
            },
            StoreCompare::ValueEquals(key, value) => Self::Value {
                key: BASE64_STANDARD.encode(key),
                target: "VALUE",
                result: "EQUAL",
                value: BASE64_STANDARD.encode(value),
            },
        }
    }
}

impl OperationItem {
    fn put(put: StorePut, lease: LeaseId) -> Self {
        Self::RequestPut {
            key: BASE64_STANDARD.encode(put.key),
            value: BASE64_STANDARD.encode(put.value),
            lease: lease.to_string(),
        }
    }
}

impl From<&StoreRange> for RangeRequest {
    fn from(range: &StoreRange) -> Self {
        match range {
            StoreRange::Key(key) => Self::key(key),
            StoreRange::Prefix(prefix) => Self::prefix(prefix),
        }
    }
}

impl TxnRequest {
    /// Returns an unconditional transaction that reads ranges.
    pub(super) fn read(ranges: &[StoreRange]) -> Self {
        Self {
            compare: Vec::new(),
            success: ranges
                .iter()
                .map(|range| OperationItem::RequestRange(range.into()))
                .collect(),
            failure: Vec::new(),
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
