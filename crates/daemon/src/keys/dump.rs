//! Description of the owned key shards for the state dump.

use auburnsaddle_core::Epoch;
use serde::Serialize;

use super::state::KeyShards;

/// The state of an owned key shard.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct KeyShardDump {
    shard: String,
    /// The epoch of the ownership.
    epoch: Epoch,
    /// Whether new calls are accepted.
    active: bool,
    /// Number of keys in the table.
    keys: usize,
    /// Total size of the recorded bodies in bytes.
    kept_bytes: usize,
    /// Number of requests that wait for their answer.
    waiting: usize,
    /// Number of records that are not in the store yet.
    unwritten: usize,
}

impl KeyShards {
    /// Returns a description of each owned key shard.
    pub(crate) fn dump(&self) -> Vec<KeyShardDump> {
        let shards = self.shards.iter().map(|(shard, owned)| KeyShardDump {
            shard: shard.to_string(),
            epoch: owned.epoch,
            active: owned.is_active,
            keys: owned.table.len(),
            kept_bytes: owned.table.kept_bytes(),
            waiting: owned.waiting.len(),
            unwritten: owned.pending_records.len(),
        });
        shards.collect()
    }
}
