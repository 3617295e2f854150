//! The owner records in the store.

use std::collections::BTreeMap;

use auburnsaddle_core::{OwnerRecord, ShardName};

use crate::store::{StoreCompare, StoreEntry, StorePut, StoreTxn};

/// Store prefix of the owner records.
pub(crate) const OWNER_PREFIX: &str = "owners/";

/// Decodes the owner records; a corrupted one is logged and passed over.
pub(crate) fn decode_owners(entries: &[StoreEntry]) -> BTreeMap<ShardName, OwnerRecord> {
    entries.iter().filter_map(decode_owner).collect()
}

/// Decodes one owner record; keys of other kinds give `None`.
pub(crate) fn decode_owner(entry: &StoreEntry) -> Option<(ShardName, OwnerRecord)> {
    let shard = entry.key.strip_prefix(OWNER_PREFIX)?;
    match (shard.parse(), serde_json::from_slice(&entry.value)) {
        (Ok(shard), Ok(record)) => Some((shard, record)),
        (Err(error), _) => {
            log::error!("owner key {}: {error}", entry.key);
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

/// Returns the condition that a shard still has this owner and epoch.
pub(crate) fn owner_condition(shard: &ShardName, record: &OwnerRecord) -> StoreCompare {
    StoreCompare::ValueEquals(owner_key(shard), encode(record))
}

/// Returns the compare-and-swap that replaces an owner.
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
    serde_json::to_vec(record).expect("an owner record has only text keys")
}
