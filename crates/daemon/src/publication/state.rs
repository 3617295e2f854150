//! Reading and writing configuration versions.

use auburnsaddle_core::{ConfigVersion, ObjectSet};

use super::messages::{PublishError, PublishedConfig};
use crate::store::{StoreCompare, StoreEntry, StorePut, StoreTxn};

/// Store key of the configuration.
pub(crate) const CONFIG_KEY: &str = "config/current";

/// Decodes the configuration; a corrupted value is logged and not taken over.
pub(crate) fn read_config(entry: &StoreEntry) -> Option<PublishedConfig> {
    match serde_json::from_slice(&entry.value) {
        Ok(config) => Some(config),
        Err(error) => {
            log::error!(
                "the configuration in the store is malformed: {error}; apply it again from \
                 version control"
            );
            None
        }
    }
}

/// Returns the transaction that replaces `current` by the next version.
pub(crate) fn publish_transaction(
    current: &PublishedConfig,
    base: ConfigVersion,
    objects: ObjectSet,
) -> Result<StoreTxn, PublishError> {
    if current.version != base {
        return Err(PublishError::Conflict {
            base,
            found: current.version,
        });
    }
    let next = PublishedConfig {
        version: base + 1,
        objects,
    };
    let compare = match base {
        0 => StoreCompare::Absent(CONFIG_KEY.to_owned()),
        _ => StoreCompare::ValueEquals(CONFIG_KEY.to_owned(), encode(current)),
    };
    Ok(StoreTxn {
        compares: vec![compare],
        puts: vec![StorePut {
            key: CONFIG_KEY.to_owned(),
            value: encode(&next),
        }],
        reads_on_conflict: vec![CONFIG_KEY.to_owned()],
        ..StoreTxn::default()
    })
}

fn encode(config: &PublishedConfig) -> Vec<u8> {
    serde_json::to_vec(config).expect("a configuration has only text keys")
}
