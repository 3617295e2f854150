//! Keys and values of configuration versions in the store.

use auburnsaddle_core::{
    ConfigDelta, ConfigHead, ConfigSnapshot, ConfigUpdate, ConfigVersion, SNAPSHOT_INTERVAL,
};
use serde::{Serialize, de::DeserializeOwned};

use crate::store::{StoreCompare, StoreEntry, StorePut, StoreRange, StoreTxn};

/// Store key of the newest version's number and digest.
pub(crate) const HEAD_KEY: &str = "config/head";

/// Largest part of a snapshot in bytes: half of what a store value holds.
const PART_LIMIT: usize = 512 << 10;

/// Returns the store key of a delta. Numbers have a fixed width, so that no key
/// is a prefix of another one and keys sort by version.
pub(super) fn delta_key(version: ConfigVersion) -> String {
    format!("config/delta/{version:020}")
}

/// Returns the store prefix of a snapshot's parts.
pub(super) fn snapshot_prefix(version: ConfigVersion) -> String {
    format!("config/snapshot/{version:020}/")
}

/// Returns the head among entries; a corrupted one is logged and passed over.
pub(crate) fn decode_head(entries: &[StoreEntry]) -> Option<ConfigHead> {
    let entry = entries.iter().find(|entry| entry.key == HEAD_KEY)?;
    decode(&entry.key, &entry.value)
}

/// Returns a delta among entries; a corrupted one is logged and passed over.
pub(super) fn read_delta(entries: &[StoreEntry], version: ConfigVersion) -> Option<ConfigDelta> {
    let key = delta_key(version);
    let entry = entries.iter().find(|entry| entry.key == key)?;
    let delta: ConfigDelta = decode(&key, &entry.value)?;
    (delta.version == version).then_some(delta)
}

/// Returns a snapshot from its parts in key order.
pub(super) fn read_snapshot(entries: &[StoreEntry]) -> Option<ConfigSnapshot> {
    let first = entries.first()?;
    let parts = entries.iter().map(|entry| entry.value.as_slice());
    decode(&first.key, &parts.collect::<Vec<_>>().concat())
}

/// Returns the transaction that publishes a version and, with a snapshot,
/// deletes what the two newest snapshots make superfluous.
pub(super) fn publish_transaction(update: &ConfigUpdate) -> StoreTxn {
    let compare = match update.previous.version {
        0 => StoreCompare::Absent(HEAD_KEY.to_owned()),
        _ => StoreCompare::ValueEquals(HEAD_KEY.to_owned(), encode(&update.previous)),
    };
    let mut puts = vec![
        StorePut {
            key: HEAD_KEY.to_owned(),
            value: encode(&update.head),
        },
        StorePut {
            key: delta_key(update.head.version),
            value: encode(&update.delta),
        },
    ];
    puts.extend(update.snapshot.iter().flat_map(snapshot_parts));
    StoreTxn {
        compares: vec![compare],
        puts,
        deletes: update
            .snapshot
            .iter()
            .flat_map(|snapshot| superseded(snapshot.version))
            .collect(),
        reads_on_conflict: vec![HEAD_KEY.to_owned()],
        ..StoreTxn::default()
    }
}

/// Returns the keys of one interval that became superfluous with a snapshot.
/// The snapshot before it stays with the deltas since, so that a corrupted new
/// one does not keep a late daemon from catching up.
fn superseded(version: ConfigVersion) -> Vec<StoreRange> {
    let Some(kept) = version.checked_sub(SNAPSHOT_INTERVAL) else {
        return Vec::new();
    };
    let Some(dropped) = kept.checked_sub(SNAPSHOT_INTERVAL) else {
        return Vec::new();
    };
    let deltas = (dropped + 1..=kept).map(|version| StoreRange::Key(delta_key(version)));
    let snapshot = StoreRange::Prefix(snapshot_prefix(dropped));
    deltas.chain([snapshot]).collect()
}

fn snapshot_parts(snapshot: &ConfigSnapshot) -> Vec<StorePut> {
    let prefix = snapshot_prefix(snapshot.version);
    let value = encode(snapshot);
    let parts = value.chunks(PART_LIMIT).enumerate();
    parts
        .map(|(index, part)| StorePut {
            key: format!("{prefix}{index:04}"),
            value: part.to_vec(),
        })
        .collect()
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("a configuration has only text keys")
}

fn decode<T: DeserializeOwned>(key: &str, value: &[u8]) -> Option<T> {
    match serde_json::from_slice(value) {
        Ok(value) => Some(value),
        Err(error) => {
            log::error!(
                "store value {key} is malformed: {error}; the version in force stays until a peer \
                 passes the value on, see \"A corrupted version\" in docs/OPERATIONS.md"
            );
            None
        }
    }
}
