//! Shard owners as shown in the operators' dump.

use std::collections::BTreeSet;

use auburnsaddle_core::{DaemonId, Epoch, OwnerTable, ShardName, ShardPhase};
use rand::rngs::StdRng;
use serde::Serialize;

/// A shard with its owner in the operators' dump.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct ShardDump {
    shard: String,
    owner: DaemonId,
    epoch: Epoch,
    /// Phase of a shard that this daemon owns; `None` for a shard of another
    /// owner.
    phase: Option<ShardPhase>,
    /// Whether the owner may act only under a lease, because the targets cannot
    /// compare epochs.
    needs_lease: bool,
}

/// Returns all shards that have an owner.
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
