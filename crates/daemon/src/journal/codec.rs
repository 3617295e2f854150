//! Encoding of journal values and of their keys in the store.

use auburnsaddle_core::{
    JournalCodec, JournalError, JournalKey, SegmentBody, SegmentPosition, ShardName,
    SnapshotManifest,
};
use bincode::config::{self, Configuration};
use serde::{Serialize, de::DeserializeOwned};

/// Prefix of the store keys of all journals.
const JOURNAL_PREFIX: &str = "journal/";

const BINCODE_CONFIG: Configuration = config::standard();

/// A [`JournalCodec`] that encodes journal values with `bincode`.
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

/// Encodes the payload of a record.
///
/// # Panics
///
/// Panics if the type contains a sequence of unknown length, which `bincode`
/// cannot encode. No record type does.
pub(crate) fn encode_payload<T: Serialize>(content: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(content, BINCODE_CONFIG)
        .expect("records contain no sequence of unknown length")
}

/// Decodes the payload of a record.
///
/// # Errors
///
/// Returns [`JournalError::Malformed`] if the bytes are not exactly one value,
/// without trailing bytes.
pub(crate) fn decode_payload<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, JournalError> {
    let decoded = bincode::serde::decode_from_slice(bytes, BINCODE_CONFIG);
    let (content, length) = decoded.map_err(|error| malformed_error(&error))?;
    if length == bytes.len() {
        Ok(content)
    } else {
        Err(malformed_error(&"bytes after the value"))
    }
}

/// Returns the prefix of the store keys of a shard's journal.
pub(super) fn shard_prefix(shard: &ShardName) -> String {
    format!("{JOURNAL_PREFIX}{shard}/")
}

/// Returns the store key of a journal value.
pub(super) fn store_key(shard: &ShardName, key: JournalKey) -> String {
    format!("{}{key}", shard_prefix(shard))
}

/// Parses the store key of a journal value of `shard`. Returns `None` if the
/// text is no such key.
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

fn malformed_error<E: ToString + ?Sized>(cause: &E) -> JournalError {
    JournalError::Malformed {
        message: cause.to_string(),
    }
}
