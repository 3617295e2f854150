//! The owners of all shards as shown to operators.

use std::collections::BTreeSet;

use auburnsaddle_core::{DaemonId, Epoch, OwnerTable, ShardName, ShardPhase};
use rand::rngs::StdRng;
use serde::Serialize;

/// A shard and its owner.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct ShardDump {
    shard: String,
    owner: DaemonId,
    epoch: Epoch,
    /// How far this daemon has come with a shard of its own.
    phase: Option<ShardPhase>,
    /// Whether the owner needs a lease.
    needs_lease: bool,
}

/// Describes all shards with an owner.
pub(crate) fn dump_shards(
    owners: &OwnerTable<StdRng>,
    leased: &BTreeSet<ShardName>,
) -> Vec<ShardDump> {
    let shards = owners.iter().map(|(shard, record)| ShardDump {
        shard: shard.to_string(),
        owner: record.daemon.clone(),
        epoch: record.epoch,
        phase: owners.phase(shard),
        needs_lease: leased.contains(shard),
    });
    shards.collect()
}
