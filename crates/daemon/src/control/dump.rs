//! The whole control state as shown to operators.

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

/// The control state of a daemon; each part is described by its slice.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct ControlDump {
    daemon: MemberRecord,
    configuration: ConfigDump,
    members: Vec<MemberDump>,
    /// Entries in the platform's list of hosts.
    hosts: usize,
    shards: Vec<ShardDump>,
    calls: Vec<CallShardDump>,
    pools: Vec<PoolDump>,
    keys: Vec<KeyShardDump>,
    journal: JournalDump,
}

impl ControlState {
    /// Returns the values that the metrics show.
    pub(super) fn measures(&self) -> ControlStats {
        ControlStats {
            calls: self.calls.views(),
            pools: self.pools.loads(),
            takeovers: self.takeovers,
        }
    }

    /// Describes the whole state.
    pub(super) fn dump(&self, now: Duration) -> ControlDump {
        ControlDump {
            daemon: self.record.clone(),
            configuration: ConfigDump::new(&self.config),
            members: dump_members(&self.peers, now),
            hosts: self.hosts.iter().count(),
            shards: dump_shards(&self.owners, &self.leased),
            calls: self.calls.dump(),
            pools: self.pools.dump(),
            keys: self.keys.dump(),
            journal: self.journals.dump(),
        }
    }
}
