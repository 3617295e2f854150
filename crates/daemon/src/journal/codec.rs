//! Encoding of journal values and their names in the store.

use auburnsaddle_core::{
    JournalCodec, JournalError, JournalKey, SegmentBody, SegmentPosition, ShardName,
    SnapshotManifest,
};
use bincode::config::{self, Configuration};
use serde::{Serialize, de::DeserializeOwned};

/// Store prefix of all journals.
const JOURNAL_PREFIX: &str = "journal/";

const CODEC: Configuration = config::standard();

/// The `bincode` form of journal values.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BincodeCodec;

impl JournalCodec for BincodeCodec {
    fn encode_segment(&self, body: &SegmentBody) -> Vec<u8> {
        encode_payload(body)
    }

    fn encode_manifest(&self, manifest: &SnapshotManifest) -> Vec<u8> {
        encode_payload(manifest)
    }

    fn decode_segment(&self, bytes: &[u8]) -> Result<SegmentBody, JournalError> {
        decode_payload(bytes)
    }

    fn decode_manifest(&self, bytes: &[u8]) -> Result<SnapshotManifest, JournalError> {
        decode_payload(bytes)
    }
}

/// Encodes the content of a record.
///
/// # Panics
///
/// Panics if the type has a part without a known length, which no record has.
pub(crate) fn encode_payload<T: Serialize>(content: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(content, CODEC).expect("records have parts of known length")
}

/// Decodes the content of a record.
///
/// # Errors
///
/// Returns [`JournalError::Malformed`] if the bytes are not exactly one value.
pub(crate) fn decode_payload<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, JournalError> {
    let decoded = bincode::serde::decode_from_slice(bytes, CODEC);
    let (content, length) = decoded.map_err(|error| malformed(&error))?;
    if length == bytes.len() {
        Ok(content)
    } else {
        Err(malformed(&"bytes after the value"))
    }
}

/// Returns the prefix of a shard's journal.
pub(super) fn shard_prefix(shard: &ShardName) -> String {
    format!("{JOURNAL_PREFIX}{shard}/")
}

/// Returns the name of a journal value in the store.
pub(super) fn store_key(shard: &ShardName, key: JournalKey) -> String {
    format!("{}{key}", shard_prefix(shard))
}

/// Parses the name of a journal value of a shard.
pub(super) fn parse_store_key(shard: &ShardName, text: &str) -> Option<JournalKey> {
    let rest = text.strip_prefix(&shard_prefix(shard))?;
    let parts: Vec<&str> = rest.split('/').collect();
    match parts[..] {
        ["manifest"] => Some(JournalKey::Manifest),
        ["part", epoch, snapshot, index] => Some(JournalKey::Part {
            epoch: epoch.parse().ok()?,
            snapshot: snapshot.parse().ok()?,
            index: index.parse().ok()?,
        }),
        [epoch, sequence] => Some(JournalKey::Segment(SegmentPosition {
            epoch: epoch.parse().ok()?,
            sequence: u64::from_str_radix(sequence, 16).ok()?,
        })),
        _ => None,
    }
}

fn malformed<E: ToString + ?Sized>(cause: &E) -> JournalError {
    JournalError::Malformed {
        message: cause.to_string(),
    }
}
