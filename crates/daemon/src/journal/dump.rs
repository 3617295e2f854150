//! Dump of the journals for operators.

use std::collections::BTreeMap;

use serde::Serialize;

use super::state::ShardJournals;

/// The state of the journals of all owned shards.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct JournalDump {
    /// Whether the last write to the store was answered.
    store_available: bool,
    /// Total size of the records that are not in the store yet.
    pending_bytes: usize,
    /// Number of records that are not in the store yet, by shard.
    unwritten: BTreeMap<String, usize>,
    /// Shards whose journals are being flushed for a handover.
    flushing: Vec<String>,
}

impl ShardJournals {
    /// Returns a dump of the journals of all owned shards.
    pub(crate) fn dump(&self) -> JournalDump {
        let mut unwritten = BTreeMap::new();
        for shard in self.pending_records.values() {
            *unwritten.entry(shard.to_string()).or_default() += 1;
        }
        let flushing = self.flushing.iter().map(|(shard, _)| shard.to_string());
        JournalDump {
            store_available: self.is_store_available,
            pending_bytes: self.log.pending_bytes(),
            unwritten,
            flushing: flushing.collect(),
        }
    }
}
