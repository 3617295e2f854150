//! The owned key shards as shown to operators.

use auburnsaddle_core::Epoch;
use serde::Serialize;

use super::state::KeyShards;

/// An owned key shard.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct KeyShardDump {
    shard: String,
    epoch: Epoch,
    /// Whether new calls are taken.
    active: bool,
    keys: usize,
    /// Bytes of all recorded bodies.
    kept_bytes: usize,
    /// Requests that wait for their answer.
    waiting: usize,
    /// Records that are not in the store yet.
    unwritten: usize,
}

impl KeyShards {
    /// Describes all owned key shards.
    pub(crate) fn dump(&self) -> Vec<KeyShardDump> {
        let shards = self.shards.iter().map(|(shard, owned)| KeyShardDump {
            shard: shard.to_string(),
            epoch: owned.epoch,
            active: owned.active,
            keys: owned.table.len(),
            kept_bytes: owned.table.kept_bytes(),
            waiting: owned.waiting.len(),
            unwritten: owned.records.len(),
        });
        shards.collect()
    }
}
