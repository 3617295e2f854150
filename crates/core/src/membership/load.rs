//! Incremental reports of shard loads.

use std::collections::BTreeMap;

use super::messages::ShardLoad;
use crate::types::ShardName;

/// Heartbeats from one full report to the next, so that a receiver that joined
/// late or missed a heartbeat has all loads within 10 s.
const HEARTBEATS_PER_FULL_REPORT: u32 = 20;

/// Selects the loads that each heartbeat carries: changed ones, and all of them at
/// regular intervals.
#[derive(Clone, Debug, Default)]
pub struct LoadReporter {
    reported: BTreeMap<ShardName, ShardLoad>,
    heartbeats: u32,
}

impl LoadReporter {
    /// Returns the loads for the next heartbeat and records `current` as reported.
    pub fn report(
        &mut self,
        current: BTreeMap<ShardName, ShardLoad>,
    ) -> BTreeMap<ShardName, ShardLoad> {
        let is_full_report = self.heartbeats.is_multiple_of(HEARTBEATS_PER_FULL_REPORT);
        self.heartbeats = self.heartbeats.wrapping_add(1);
        let changed = current
            .iter()
            .filter(|(shard, load)| is_full_report || self.reported.get(shard) != Some(load))
            .map(|(shard, load)| (shard.clone(), *load))
            .collect();
        self.reported = current;
        changed
    }
}
