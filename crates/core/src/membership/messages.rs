//! Registration records and heartbeats.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::types::{ConfigVersion, DaemonId, Epoch, RegionId, ShardName, ZoneId};

/// Digest of the shards that a daemon owns, with their epochs.
pub type OwnedDigest = u64;

/// The registration of a daemon, which it writes to the store under its lease.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MemberRecord {
    /// Name of the daemon.
    pub daemon: DaemonId,
    /// The daemon's region.
    pub region: RegionId,
    /// The daemon's availability zone.
    pub zone: ZoneId,
    /// Address for other daemons as `IP:PORT`.
    pub peer_address: String,
    /// Address for callers as `IP:PORT`.
    pub caller_address: String,
}

/// Load of a shard, by which other daemons redirect waiting calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ShardLoad {
    /// Number of queued requests.
    pub queued: u32,
    /// Number of free slots.
    pub free: u32,
}

/// The periodic message of a daemon to every other daemon of its region.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Heartbeat {
    /// The daemon that sends the heartbeat.
    pub daemon: DaemonId,
    /// The configuration version in force at the sender.
    pub config_version: ConfigVersion,
    /// The peers that the sender suspects.
    pub suspected: BTreeSet<DaemonId>,
    /// Whether the sender is draining and hands over its shards.
    pub draining: bool,
    /// Digest of the shards that the sender owns. If it differs from the digest of
    /// the known owner records, the receiver reads these again.
    pub owned_digest: OwnedDigest,
    /// Loads of the sender's shards that changed since its last heartbeat, or all
    /// of them in a full report.
    pub loads: BTreeMap<ShardName, ShardLoad>,
}

/// Returns the digest of owned shards. It depends on their order, which must be
/// the same at all daemons.
#[must_use]
pub fn digest_owned<'a>(shards: impl IntoIterator<Item = (&'a ShardName, Epoch)>) -> OwnedDigest {
    let mut hasher = Sha256::new();
    for (shard, epoch) in shards {
        hasher.update(format!("{shard}={epoch};"));
    }
    let digest = hasher.finalize();
    digest[..8]
        .iter()
        .fold(0, |sum, byte| sum << 8 | OwnedDigest::from(*byte))
}
