//! Metrics and dump of the control state.

use std::time::Duration;

use auburnsaddle_core::MemberRecord;
use serde::Serialize;

use super::state::ControlState;
use crate::{
    calls::CallShardDump,
    journal::JournalDump,
    keys::KeyShardDump,
    membership::{MemberDump, dump_members},
    ownership::{ShardDump, dump_shards},
    publication::ConfigDump,
    tasks::PoolDump,
    telemetry::ControlStats,
};

/// A dump of the control state of a daemon for operators. Each module describes
/// its own part.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct ControlDump {
    daemon: MemberRecord,
    configuration: ConfigDump,
    members: Vec<MemberDump>,
    /// Number of entries in the platform's list of hosts.
    hosts: usize,
    shards: Vec<ShardDump>,
    calls: Vec<CallShardDump>,
    pools: Vec<PoolDump>,
    keys: Vec<KeyShardDump>,
    journal: JournalDump,
}

impl ControlState {
    /// Returns the values that are exported as metrics.
    pub(super) fn measures(&self) -> ControlStats {
        ControlStats {
            calls: self.calls.views(),
            pools: self.pools.loads(),
            takeovers: self.takeovers,
        }
    }

    /// Returns a dump of the control state.
    pub(super) fn dump(&self, now: Duration) -> ControlDump {
        ControlDump {
            daemon: self.record.clone(),
            configuration: ConfigDump::new(&self.config),
            members: dump_members(&self.peers, now),
            hosts: self.hosts.iter().count(),
            shards: dump_shards(&self.owners, &self.lease_mode_shards),
            calls: self.calls.dump(),
            pools: self.pools.dump(),
            keys: self.keys.dump(),
            journal: self.journals.dump(),
        }
    }
}
