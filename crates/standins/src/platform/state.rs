//! The stored keys and the list of hosts.

use std::collections::BTreeMap;

use base64::{Engine, prelude::BASE64_STANDARD};
use serde_json::Value;

use super::messages::{
    CompareItem, KeyValue, OperationItem, PutRequest, RangeReply, RangeRequest, ResponseItem,
    TxnReply, TxnRequest,
};

/// Everything that the platform keeps.
#[derive(Debug, Default)]
pub struct PlatformState {
    /// The key-value store.
    pub store: StoreState,
    /// The list of hosts, as it was put.
    pub hosts: Vec<Value>,
}

/// A value with its change counters.
#[derive(Clone, Debug)]
struct StoredValue {
    value: Vec<u8>,
    version: u64,
    mod_revision: u64,
}

/// The key-value store.
#[derive(Debug, Default)]
pub struct StoreState {
    entries: BTreeMap<Vec<u8>, StoredValue>,
    revision: u64,
}

impl StoreState {
    /// Reads a range.
    #[must_use]
    pub fn range(&self, request: &RangeRequest) -> RangeReply {
        let kvs = self
            .keys_in(request)
            .into_iter()
            .filter_map(|key| self.entries.get_key_value(&key))
            .map(|(key, stored)| KeyValue {
                key: BASE64_STANDARD.encode(key),
                value: BASE64_STANDARD.encode(&stored.value),
                mod_revision: stored.mod_revision.to_string(),
            })
            .collect();
        RangeReply { kvs }
    }

    /// Applies a transaction atomically.
    pub fn txn(&mut self, request: TxnRequest) -> TxnReply {
        let succeeded = request.compare.iter().all(|compare| self.holds(compare));
        let operations = if succeeded {
            request.success
        } else {
            request.failure
        };
        self.revision += 1;
        let responses = operations
            .into_iter()
            .map(|operation| self.apply(operation))
            .collect();
        TxnReply {
            succeeded,
            responses,
        }
    }

    fn holds(&self, compare: &CompareItem) -> bool {
        let stored = self.entries.get(&decode(&compare.key));
        match compare.target.as_str() {
            "VALUE" => {
                let expected = compare.value.as_deref().map(decode);
                stored.is_some_and(|stored| Some(&stored.value) == expected.as_ref())
            }
            "VERSION" => {
                let version = stored.map_or(0, |stored| stored.version);
                compare.version.as_deref().unwrap_or("0") == version.to_string()
            }
            "MOD" => {
                let revision = stored.map_or(0, |stored| stored.mod_revision);
                compare.mod_revision.as_deref().unwrap_or("0") == revision.to_string()
            }
            _ => false,
        }
    }

    fn apply(&mut self, operation: OperationItem) -> ResponseItem {
        match operation {
            OperationItem {
                request_put: Some(put),
                ..
            } => self.put(&put),
            OperationItem {
                request_delete_range: Some(range),
                ..
            } => {
                for key in self.keys_in(&range) {
                    self.entries.remove(&key);
                }
            }
            OperationItem {
                request_range: Some(range),
                ..
            } => {
                return ResponseItem {
                    response_range: Some(self.range(&range)),
                };
            }
            OperationItem { .. } => {}
        }
        ResponseItem::default()
    }

    fn put(&mut self, put: &PutRequest) {
        let key = decode(&put.key);
        let version = self.entries.get(&key).map_or(0, |stored| stored.version) + 1;
        let value = decode(&put.value);
        self.entries.insert(
            key,
            StoredValue {
                value,
                version,
                mod_revision: self.revision,
            },
        );
    }

    fn keys_in(&self, request: &RangeRequest) -> Vec<Vec<u8>> {
        let start = decode(&request.key);
        let end = decode(&request.range_end);
        self.entries
            .range(start.clone()..)
            .map(|(key, _)| key)
            .take_while(|key| {
                if end.is_empty() {
                    **key == start
                } else {
                    **key < end
                }
            })
            .cloned()
            .collect()
    }
}

/// Decodes base64; an invalid text names no key, so it is read as empty.
fn decode(text: &str) -> Vec<u8> {
    BASE64_STANDARD.decode(text).unwrap_or_default()
}
