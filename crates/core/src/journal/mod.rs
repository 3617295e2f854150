/*!
A write-ahead journal per shard, written in group commits.

The records of all shards that a daemon owns go to the store in one transaction
per commit interval, one segment per shard, each guarded by the shard's owner
epoch. A record waits for further records as long as its [`RecordUrgency`]
permits, and is included in any earlier commit. Only one transaction is in
flight at a time. If its response is lost, the transaction is read back and, if
it did not take effect, sent again unchanged, so a delayed first copy has no
further effect.

Segments are compacted into a snapshot: its parts are written one by one, then a
manifest that lists the parts and the last segment that they cover. Replay
ignores parts that no manifest lists and segments that the manifest covers, so a
delayed write of a deleted value has no effect either.
*/

mod compaction;
mod messages;
mod replay;
mod state;
#[cfg(test)]
mod tests;
mod value;

pub use messages::{BatchNumber, JournalAction, JournalBatch, JournalEvent, JournalRecord};
pub use messages::{JournalKey, RecordId, RecordKind, RecordUrgency, SegmentBody, SegmentWrite};
pub use messages::{SegmentPosition, SnapshotManifest};
pub use replay::{JournalReplay, replay_journal};
pub use state::{JournalConfig, RecordLog};
pub use value::{JournalCodec, JournalError, decode_envelope, encode_envelope};
