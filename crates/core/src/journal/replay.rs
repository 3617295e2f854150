//! Replay of a shard's journal after a takeover.

use std::collections::BTreeMap;

use super::{
    messages::{JournalKey, JournalRecord, SegmentPosition, SnapshotManifest},
    value::{JournalCodec, JournalError, decode_envelope},
};
use crate::types::ShardName;

/// A position before the first segment of any epoch.
const BEFORE_FIRST_SEGMENT: SegmentPosition = SegmentPosition {
    epoch: 0,
    sequence: 0,
};

/// The result of a replay.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct JournalReplay {
    /// The records of the snapshot and of all later segments, oldest first.
    pub records: Vec<JournalRecord>,
}

/// Decodes all values of a shard's journal. Parts that the manifest does not list
/// and segments that it covers are ignored.
///
/// # Errors
///
/// Returns an error if a value is corrupted, or if a part or a segment is missing.
/// The shard must not be served in that case, as accepted work would be lost.
pub fn replay_journal<C: JournalCodec>(
    codec: &C,
    shard: &ShardName,
    values: &BTreeMap<JournalKey, Vec<u8>>,
) -> Result<JournalReplay, JournalError> {
    let manifest = read_manifest(codec, shard, values)?;
    let mut replay = JournalReplay::default();
    let mut last = BEFORE_FIRST_SEGMENT;
    if let Some(manifest) = manifest {
        last = manifest.through;
        for key in manifest.parts {
            let value = values.get(&key).ok_or(JournalError::MissingPart { key })?;
            replay
                .records
                .extend(read_records(codec, shard, key, value)?);
        }
    }
    for (key, value) in values {
        match *key {
            JournalKey::Segment(position) if position > last => {
                check_order(last, position)?;
                replay
                    .records
                    .extend(read_records(codec, shard, *key, value)?);
                last = position;
            }
            _ => {}
        }
    }
    Ok(replay)
}

/// Checks that `position` follows `last`. The segments of an epoch are committed
/// in sequence, so a gap means that a value is missing.
fn check_order(last: SegmentPosition, position: SegmentPosition) -> Result<(), JournalError> {
    let sequence = if position.epoch == last.epoch {
        last.sequence + 1
    } else {
        1
    };
    let expected = SegmentPosition {
        sequence,
        ..position
    };
    if position == expected {
        Ok(())
    } else {
        Err(JournalError::MissingSegment { position: expected })
    }
}

fn read_manifest<C: JournalCodec>(
    codec: &C,
    shard: &ShardName,
    values: &BTreeMap<JournalKey, Vec<u8>>,
) -> Result<Option<SnapshotManifest>, JournalError> {
    let key = JournalKey::Manifest;
    let Some(value) = values.get(&key) else {
        return Ok(None);
    };
    let manifest = codec.decode_manifest(decode_envelope(value)?)?;
    if manifest.shard == *shard {
        Ok(Some(manifest))
    } else {
        Err(JournalError::Misplaced { key })
    }
}

fn read_records<C: JournalCodec>(
    codec: &C,
    shard: &ShardName,
    key: JournalKey,
    value: &[u8],
) -> Result<Vec<JournalRecord>, JournalError> {
    let body = codec.decode_segment(decode_envelope(value)?)?;
    if body.shard == *shard && body.key == key {
        Ok(body.records)
    } else {
        Err(JournalError::Misplaced { key })
    }
}
