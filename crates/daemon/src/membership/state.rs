//! Keys and values of the registrations in the store.

use auburnsaddle_core::MemberRecord;

use crate::store::{StoreEntry, StorePut, StoreTxn};

/// Store prefix of the registrations; the daemon's name follows.
pub(crate) const MEMBER_PREFIX: &str = "members/";

/// Decodes the registrations among entries; a malformed one is logged and
/// skipped.
pub(crate) fn decode_members(entries: &[StoreEntry]) -> Vec<MemberRecord> {
    let members = entries
        .iter()
        .filter(|entry| entry.key.starts_with(MEMBER_PREFIX));
    members
        .filter_map(|entry| match serde_json::from_slice(&entry.value) {
            Ok(record) => Some(record),
            Err(error) => {
                log::error!(
                    "registration {} is malformed: {error}; delete the key",
                    entry.key
                );
                None
            }
        })
        .collect()
}

/// Returns the transaction that writes the registration of a daemon.
pub(crate) fn register_transaction(record: &MemberRecord) -> StoreTxn {
    let value = serde_json::to_vec(record)
        .expect("a registration serializes to JSON, as all its map keys are strings");
    let key = format!("{MEMBER_PREFIX}{}", record.daemon);
    StoreTxn {
        puts: vec![StorePut { key, value }],
        ..StoreTxn::default()
    }
}
