//! Load summaries, sent when they change.

use std::collections::BTreeMap;

use super::messages::ShardLoad;
use crate::types::ShardName;

/// Heartbeats after which all loads are sent again, so that a receiver that
/// joined late or lost one knows them after 10 s.
const FULL_REPORT_HEARTBEATS: u32 = 20;

/// Chooses the loads for each heartbeat.
#[derive(Clone, Debug, Default)]
pub struct LoadReporter {
    reported: BTreeMap<ShardName, ShardLoad>,
    heartbeats: u32,
}

impl LoadReporter {
    /// Returns the loads that the next heartbeat is to carry.
    pub fn report(
        &mut self,
        current: BTreeMap<ShardName, ShardLoad>,
    ) -> BTreeMap<ShardName, ShardLoad> {
        let full = self.heartbeats.is_multiple_of(FULL_REPORT_HEARTBEATS);
        self.heartbeats = self.heartbeats.wrapping_add(1);
        let changed = current
            .iter()
            .filter(|(shard, load)| full || self.reported.get(shard) != Some(load))
            .map(|(shard, load)| (shard.clone(), *load))
            .collect();
        self.reported = current;
        changed
    }
}
