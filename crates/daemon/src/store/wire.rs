//! JSON wire format of reads and transactions.

use base64::{Engine, prelude::BASE64_STANDARD};
use serde::{Deserialize, Serialize};

use super::messages::{
    LeaseId, StoreCompare, StoreEntry, StoreError, StorePut, StoreRange, StoreSnapshot, StoreTxn,
};

/// A half-open key range, or a single key without `range_end`. Fields with
/// default values are omitted, as the protocol permits, because they would make
/// up a large part of a small request.
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

/// A transaction in the shortest form that holds its parts.
#[derive(Debug)]
#[derive(Serialize)]
#[serde(untagged)]
pub(super) enum TxnRequest {
    /// A transaction with preconditions that reads keys on a conflict.
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
    /// An unconditional read.
    Read { success: Vec<OperationItem> },
}

/// A precondition. The comparison operator is omitted because equality is the
/// protocol's default.
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
    reason = "the protocol prescribes the names"
)]
#[derive(Debug)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum OperationItem {
    RequestPut(PutRequest),
    RequestDeleteRange(RangeRequest),
    RequestRange(RangeRequest),
}

/// A write with or without a lease; the field is omitted if there is none.
#[derive(Debug)]
#[derive(Serialize)]
#[serde(untagged)]
pub(super) enum PutRequest {
    /// The key is deleted when its lease ends.
    Leased {
        key: String,
        value: String,
        lease: String,
    },
    /// The key stays until it is deleted.
    Lasting { key: String, value: String },
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
    /// Returns the range of all keys with a prefix.
    pub(super) fn prefix(prefix: &str) -> Self {
        let mut end = prefix.as_bytes().to_vec();
        if let Some(last) = end.last_mut() {
            // Keys are ASCII, so incrementing the last byte cannot overflow.
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
    /// Returns a transaction that reads several ranges at one revision.
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
    /// Decodes the keys and values from base64.
    pub(super) fn into_entries(self) -> Result<Vec<StoreEntry>, StoreError> {
        self.kvs.into_iter().map(KeyValue::into_entry).collect()
    }
}

impl TxnReply {
    /// Decodes the entries of all ranges and the revision of the store.
    pub(super) fn into_snapshot(self) -> Result<StoreSnapshot, StoreError> {
        Ok(StoreSnapshot {
            revision: parse_number(&self.header.revision)?,
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

/// Parses a decimal number; an empty text is zero, which the protocol omits.
pub(super) fn parse_number(text: &str) -> Result<i64, StoreError> {
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
