//! Selection of the preferred owner of a shard by rendezvous hashing.

use std::collections::{BTreeMap, BTreeSet};

use sha2::{Digest, Sha256};

use crate::types::{DaemonId, ShardName, ZoneId};

/// Returns the candidate that should own a shard: the one with the greatest
/// rendezvous weight, where candidates in the shard's zone precede all others.
pub(super) fn select_successor<'a>(
    shard: &ShardName,
    candidates: &'a BTreeMap<DaemonId, ZoneId>,
    excluded: &BTreeSet<DaemonId>,
) -> Option<&'a DaemonId> {
    let name = shard.to_string();
    let zone = match shard {
        ShardName::Call(_, zone) => Some(zone),
        ShardName::Key(..) | ShardName::Pool(_) => None,
    };
    candidates
        .iter()
        .filter(|(daemon, _)| !excluded.contains(*daemon))
        .max_by_key(|(daemon, daemon_zone)| {
            (zone == Some(*daemon_zone), rendezvous_weight(&name, daemon))
        })
        .map(|(daemon, _)| daemon)
}

/// Returns the rendezvous weight of a daemon for a shard.
fn rendezvous_weight(shard: &str, daemon: &str) -> [u8; 32] {
    let mut hasher = Sha256::new();
    hasher.update(shard.as_bytes());
    hasher.update([0]);
    hasher.update(daemon.as_bytes());
    hasher.finalize().into()
}
