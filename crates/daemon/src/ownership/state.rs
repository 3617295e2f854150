//! Keys, values and transactions of the owner records in the store.

use std::collections::BTreeMap;

use auburnsaddle_core::{OwnerRecord, ShardName};

use crate::store::{StoreCompare, StoreEntry, StorePut, StoreTxn};

/// Store prefix of the owner records; the shard name follows.
pub(crate) const OWNER_PREFIX: &str = "owners/";

/// Decodes all owner records; a malformed one is logged and skipped.
pub(crate) fn decode_owners(entries: &[StoreEntry]) -> BTreeMap<ShardName, OwnerRecord> {
    entries.iter().filter_map(decode_owner).collect()
}

/// Decodes an owner record. Returns `None` for another kind of key and, after
/// logging it, for a malformed record.
pub(crate) fn decode_owner(entry: &StoreEntry) -> Option<(ShardName, OwnerRecord)> {
    let shard = entry.key.strip_prefix(OWNER_PREFIX)?;
    match (shard.parse(), serde_json::from_slice(&entry.value)) {
        (Ok(shard), Ok(record)) => Some((shard, record)),
        (Err(error), _) => {
            log::error!("owner key {} is malformed: {error}", entry.key);
            None
        }
        (_, Err(error)) => {
            log::error!(
                "owner record {} is malformed: {error}; delete the key",
                entry.key
            );
            None
        }
    }
}

/// Returns the store key of an owner record.
pub(crate) fn owner_key(shard: &ShardName) -> String {
    format!("{OWNER_PREFIX}{shard}")
}

/// Returns the precondition that a shard still has this owner and epoch.
pub(crate) fn owner_condition(shard: &ShardName, record: &OwnerRecord) -> StoreCompare {
    StoreCompare::ValueEquals(owner_key(shard), encode(record))
}

/// Returns the compare-and-swap that replaces the expected owner by the next one.
pub(crate) fn claim_transaction(
    shard: &ShardName,
    expected: Option<&OwnerRecord>,
    next: &OwnerRecord,
) -> StoreTxn {
    let key = owner_key(shard);
    let compare = match expected {
        None => StoreCompare::Absent(key.clone()),
        Some(record) => owner_condition(shard, record),
    };
    StoreTxn {
        compares: vec![compare],
        puts: vec![StorePut {
            key: key.clone(),
            value: encode(next),
        }],
        reads_on_conflict: vec![key],
        ..StoreTxn::default()
    }
}

fn encode(record: &OwnerRecord) -> Vec<u8> {
    serde_json::to_vec(record).expect("an owner record serializes to JSON")
}
