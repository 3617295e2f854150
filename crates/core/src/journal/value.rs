//! The envelope of stored values: a format version and a checksum.

use sha2::{Digest, Sha256};
use snafu::{Snafu, ensure};

use super::messages::{JournalKey, SegmentBody, SegmentPosition, SnapshotManifest};

/// Version of the format of stored values; other versions are rejected.
const FORMAT_VERSION: u8 = 1;

/// Length to which the SHA-256 digest is truncated: sufficient to detect
/// accidental corruption, and small compared with the 40 bytes of a record.
const CHECKSUM_BYTES: usize = 8;

const HEADER_BYTES: usize = 1 + CHECKSUM_BYTES;

/// Why a record cannot be appended or a journal cannot be replayed.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Snafu)]
#[snafu(visibility(pub(super)))]
#[non_exhaustive]
pub enum JournalError {
    /// The records that wait for a commit exceed their limit in bytes.
    #[snafu(display("too many records wait for the store; try again when it is back"))]
    Backlog,
    /// The record exceeds the maximum size of a transaction.
    #[snafu(display("a record of {bytes} bytes is too large; send less in one request"))]
    RecordTooLarge {
        /// Size of the payload.
        bytes: usize,
    },
    /// This daemon does not own the shard, or has not opened its journal.
    #[snafu(display("the shard is not open here; send the request to its owner"))]
    NotOpen,
    /// The value is shorter than the header of its envelope.
    #[snafu(display("a stored value is cut off; restore the key from a backup"))]
    Truncated,
    /// This version does not support the format of the value.
    #[snafu(display("format version {found} is unknown; run the version that wrote it"))]
    UnknownFormat {
        /// The version found.
        found: u8,
    },
    /// The checksum does not match.
    #[snafu(display("a stored value has a wrong checksum; restore the key from a backup"))]
    WrongChecksum,
    /// The codec cannot decode the content.
    #[snafu(display("a stored value is malformed: {message}; restore the key from a backup"))]
    Malformed {
        /// The codec's message.
        message: String,
    },
    /// The content was written under another key or for another shard.
    #[snafu(display("the value of {key} was written for another key; restore it"))]
    Misplaced {
        /// The key under which the value was found.
        key: JournalKey,
    },
    /// A part that the manifest lists is missing.
    #[snafu(display("snapshot part {key} is missing; restore it from a backup"))]
    MissingPart {
        /// The key of the part.
        key: JournalKey,
    },
    /// A segment is missing from the sequence of its epoch.
    #[snafu(display(
        "segment {}/{} is missing; restore it from a backup",
        position.epoch,
        position.sequence
    ))]
    MissingSegment {
        /// The position of the segment.
        position: SegmentPosition,
    },
}

/// The encoding of journal values, provided by the process that runs the journal.
pub trait JournalCodec {
    /// Encodes a segment or a snapshot part.
    fn encode_segment(&self, body: &SegmentBody) -> Vec<u8>;

    /// Encodes a manifest.
    fn encode_manifest(&self, manifest: &SnapshotManifest) -> Vec<u8>;

    /// Decodes a segment or a snapshot part.
    ///
    /// # Errors
    ///
    /// Returns [`JournalError::Malformed`] if the bytes do not encode a segment.
    fn decode_segment(&self, bytes: &[u8]) -> Result<SegmentBody, JournalError>;

    /// Decodes a manifest.
    ///
    /// # Errors
    ///
    /// Returns [`JournalError::Malformed`] if the bytes do not encode a manifest.
    fn decode_manifest(&self, bytes: &[u8]) -> Result<SnapshotManifest, JournalError>;
}

/// Prepends the format version and the checksum to an encoded value.
#[must_use]
pub fn encode_envelope(encoded: &[u8]) -> Vec<u8> {
    let mut value = Vec::with_capacity(HEADER_BYTES + encoded.len());
    value.push(FORMAT_VERSION);
    value.extend(checksum(encoded));
    value.extend(encoded);
    value
}

/// Verifies the envelope of a stored value and returns the encoded content.
///
/// # Errors
///
/// Returns an error if the value is truncated, has an unknown format version or a
/// wrong checksum.
pub fn decode_envelope(value: &[u8]) -> Result<&[u8], JournalError> {
    let (header, encoded) = value
        .split_at_checked(HEADER_BYTES)
        .ok_or(JournalError::Truncated)?;
    let found = header[0];
    ensure!(found == FORMAT_VERSION, UnknownFormatSnafu { found });
    ensure!(header[1..] == checksum(encoded), WrongChecksumSnafu);
    Ok(encoded)
}

fn checksum(encoded: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let digest = Sha256::digest(encoded);
    let mut checksum = [0; CHECKSUM_BYTES];
    checksum.copy_from_slice(&digest[..CHECKSUM_BYTES]);
    checksum
}
