//! Keys, values and transactions of configuration versions in the store.

use auburnsaddle_core::{
    ConfigDelta, ConfigHead, ConfigSnapshot, ConfigUpdate, ConfigVersion, SNAPSHOT_INTERVAL,
};
use serde::{Serialize, de::DeserializeOwned};

use crate::store::{StoreCompare, StoreEntry, StorePut, StoreRange, StoreTxn};

/// Store key of the head: number and digest of the newest version.
pub(crate) const HEAD_KEY: &str = "config/head";

/// Bounds the parts into which a snapshot is split: half of the largest value
/// that the store accepts.
const PART_LIMIT_BYTES: usize = 512 << 10;

/// Returns the store key of a delta. Version numbers are zero-padded, so that no
/// key is a prefix of another one and keys sort by version.
pub(super) fn delta_key(version: ConfigVersion) -> String {
    format!("config/delta/{version:020}")
}

/// Returns the store prefix of the parts of a snapshot.
pub(super) fn snapshot_prefix(version: ConfigVersion) -> String {
    format!("config/snapshot/{version:020}/")
}

/// Finds and decodes the head among entries. Returns `None` if it is absent or,
/// after logging it, malformed.
pub(crate) fn decode_head(entries: &[StoreEntry]) -> Option<ConfigHead> {
    let entry = entries.iter().find(|entry| entry.key == HEAD_KEY)?;
    decode(&entry.key, &entry.value)
}

/// Finds and decodes the delta of a version among entries. Returns `None` if it
/// is absent, contains another version or, after logging it, is malformed.
pub(super) fn decode_delta(entries: &[StoreEntry], version: ConfigVersion) -> Option<ConfigDelta> {
    let key = delta_key(version);
    let entry = entries.iter().find(|entry| entry.key == key)?;
    let delta: ConfigDelta = decode(&key, &entry.value)?;
    (delta.version == version).then_some(delta)
}

/// Joins the parts of a snapshot, given in key order, and decodes it. Returns
/// `None` if there are no parts or, after logging it, if it is malformed.
pub(super) fn decode_snapshot(entries: &[StoreEntry]) -> Option<ConfigSnapshot> {
    let first = entries.first()?;
    let parts = entries.iter().map(|entry| entry.value.as_slice());
    decode(&first.key, &parts.collect::<Vec<_>>().concat())
}

/// Returns the transaction that publishes a version. If the version has a
/// snapshot, the transaction also deletes the snapshot and the deltas that are
/// superseded by the two newest snapshots.
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
            .flat_map(|snapshot| superseded_ranges(snapshot.version))
            .collect(),
        reads_on_conflict: vec![HEAD_KEY.to_owned()],
        ..StoreTxn::default()
    }
}

/// Returns the keys that the snapshot of a version supersedes: the snapshot two
/// intervals earlier and the deltas from there to the previous snapshot. The
/// previous snapshot and the deltas since are kept, so that a lagging daemon can
/// catch up even if the new snapshot is corrupted.
fn superseded_ranges(version: ConfigVersion) -> Vec<StoreRange> {
    let Some(retained) = version.checked_sub(SNAPSHOT_INTERVAL) else {
        return Vec::new();
    };
    let Some(superseded) = retained.checked_sub(SNAPSHOT_INTERVAL) else {
        return Vec::new();
    };
    let deltas = (superseded + 1..=retained).map(|version| StoreRange::Key(delta_key(version)));
    let snapshot = StoreRange::Prefix(snapshot_prefix(superseded));
    deltas.chain([snapshot]).collect()
}

fn snapshot_parts(snapshot: &ConfigSnapshot) -> Vec<StorePut> {
    let prefix = snapshot_prefix(snapshot.version);
    let value = encode(snapshot);
    let parts = value.chunks(PART_LIMIT_BYTES).enumerate();
    parts
        .map(|(index, part)| StorePut {
            key: format!("{prefix}{index:04}"),
            value: part.to_vec(),
        })
        .collect()
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value)
        .expect("a configuration serializes to JSON, as all its map keys are strings")
}

fn decode<T: DeserializeOwned>(key: &str, value: &[u8]) -> Option<T> {
    match serde_json::from_slice(value) {
        Ok(value) => Some(value),
        Err(error) => {
            log::error!(
                "store value {key} is malformed: {error}; the version in force is kept until a peer \
                 sends the value, see \"A corrupted version\" in docs/OPERATIONS.md"
            );
            None
        }
    }
}
