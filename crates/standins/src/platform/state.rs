//! The key-value store: keys with their revisions, transactions and leases.

use std::{collections::BTreeMap, time::Instant};

use base64::{Engine, prelude::BASE64_STANDARD};

use super::{
    changes::ChangeLog,
    leases::{LeaseId, LeaseTable},
    messages::{
        CompareItem, KeyValue, OperationItem, PutRequest, RangeReply, RangeRequest, ReplyHeader,
        ResponseItem, TxnReply, TxnRequest,
    },
};

/// A value with its version, revision and lease.
#[derive(Clone, Debug)]
struct StoredValue {
    value: Vec<u8>,
    version: u64,
    mod_revision: u64,
    lease: LeaseId,
}

/// The key-value store with its change log and leases.
#[derive(Debug, Default)]
pub struct StoreState {
    entries: BTreeMap<Vec<u8>, StoredValue>,
    changes: ChangeLog,
    leases: LeaseTable,
    revision: u64,
}

impl StoreState {
    /// Returns the entries of a range in key order.
    #[must_use]
    pub fn read_range(&self, request: &RangeRequest) -> RangeReply {
        let kvs = self
            .keys_in_range(request)
            .into_iter()
            .filter_map(|key| self.entries.get_key_value(&key))
            .map(|(key, stored)| KeyValue {
                key: BASE64_STANDARD.encode(key),
                value: BASE64_STANDARD.encode(&stored.value),
                mod_revision: stored.mod_revision.to_string(),
                lease: stored.lease.to_string(),
            })
            .collect();
        RangeReply {
            header: self.header(),
            kvs,
        }
    }

    /// Returns the current revision, which increases with every change.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns a reply header with the current revision.
    #[must_use]
    pub fn header(&self) -> ReplyHeader {
        ReplyHeader {
            revision: self.revision.to_string(),
        }
    }

    /// Returns the lease table, for grants and renewals.
    pub const fn leases(&mut self) -> &mut LeaseTable {
        &mut self.leases
    }

    /// Returns the log of changes, which serves watches.
    #[must_use]
    pub const fn changes(&self) -> &ChangeLog {
        &self.changes
    }

    /// Compacts the change log up to the current revision.
    pub fn compact(&mut self) {
        self.changes.compact(self.revision);
    }

    /// Removes expired leases and deletes their keys.
    pub fn expire_leases(&mut self, now: Instant) {
        for lease in self.leases.take_expired(now) {
            self.delete_leased_keys(lease);
        }
    }

    /// Revokes a lease and deletes its keys.
    pub fn revoke_lease(&mut self, lease: LeaseId) {
        self.leases.remove(lease);
        self.delete_leased_keys(lease);
    }

    fn delete_leased_keys(&mut self, lease: LeaseId) {
        let leased_keys: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, stored)| stored.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !leased_keys.is_empty() {
            self.revision += 1;
        }
        for key in leased_keys {
            self.delete_key(&key);
        }
    }

    fn delete_key(&mut self, key: &[u8]) {
        if self.entries.remove(key).is_some() {
            self.changes.append(self.revision, key, None);
        }
    }

    /// Applies a transaction atomically.
    pub fn apply_txn(&mut self, request: TxnRequest) -> TxnReply {
        let succeeded = request
            .compare
            .iter()
            .all(|compare| self.is_satisfied(compare));
        let operations = if succeeded {
            request.success
        } else {
            request.failure
        };
        if operations.iter().any(OperationItem::is_write) {
            self.revision += 1;
        }
        let responses = operations
            .into_iter()
            .map(|operation| self.apply_operation(operation))
            .collect();
        TxnReply {
            header: self.header(),
            succeeded,
            responses,
        }
    }

    fn is_satisfied(&self, compare: &CompareItem) -> bool {
        let stored = self.entries.get(&decode_base64(&compare.key));
        match compare.target.as_str() {
            "VALUE" => {
                let expected = compare.value.as_deref().map(decode_base64);
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

    fn apply_operation(&mut self, operation: OperationItem) -> ResponseItem {
        match operation {
            OperationItem {
                request_put: Some(put),
                ..
            } => self.put_key(&put),
            OperationItem {
                request_delete_range: Some(range),
                ..
            } => {
                for key in self.keys_in_range(&range) {
                    self.delete_key(&key);
                }
            }
            OperationItem {
                request_range: Some(range),
                ..
            } => {
                return ResponseItem {
                    response_range: Some(self.read_range(&range)),
                };
            }
            OperationItem { .. } => {}
        }
        ResponseItem::default()
    }

    fn put_key(&mut self, put: &PutRequest) {
        let key = decode_base64(&put.key);
        let version = self.entries.get(&key).map_or(0, |stored| stored.version) + 1;
        let stored = StoredValue {
            value: decode_base64(&put.value),
            version,
            mod_revision: self.revision,
            lease: put.lease.parse().unwrap_or(0),
        };
        self.changes
            .append(self.revision, &key, Some(&stored.value));
        self.entries.insert(key, stored);
    }

    fn keys_in_range(&self, request: &RangeRequest) -> Vec<Vec<u8>> {
        let start = decode_base64(&request.key);
        let end = decode_base64(&request.range_end);
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

/// Decodes base64. Invalid input is treated as empty, which is not the name of
/// any key.
pub(super) fn decode_base64(text: &str) -> Vec<u8> {
    BASE64_STANDARD.decode(text).unwrap_or_default()
}
