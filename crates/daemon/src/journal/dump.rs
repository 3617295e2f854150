//! The journals of the owned shards as shown to operators.

use std::collections::BTreeMap;

use serde::Serialize;

use super::state::ShardJournals;

/// The journals of all owned shards.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct JournalDump {
    store_available: bool,
    /// Bytes of the records that are not in the store yet.
    pending_bytes: usize,
    /// Records that are not in the store yet, by shard.
    unwritten: BTreeMap<String, usize>,
    /// Shards that are flushed for a handover.
    flushing: Vec<String>,
}

impl ShardJournals {
    /// Describes all journals.
    pub(crate) fn dump(&self) -> JournalDump {
        let mut unwritten = BTreeMap::new();
        for shard in self.waiting.values() {
            *unwritten.entry(shard.to_string()).or_default() += 1;
        }
        let flushing = self.flushing.iter().map(|(shard, _)| shard.to_string());
        JournalDump {
            store_available: self.store_available,
            pending_bytes: self.log.pending_bytes(),
            unwritten,
            flushing: flushing.collect(),
        }
    }
}
