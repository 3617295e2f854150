//! Messages between daemons about membership.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::types::{ConfigVersion, DaemonId, Epoch, RegionId, ShardName, ZoneId};

/// Digest of the shards that a daemon owns, with their epochs.
pub type OwnedDigest = u64;

/// What a daemon registers in the store under its lease.
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

/// How busy a shard is, for the redirection of waiting calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ShardLoad {
    /// Requests that wait.
    pub queued: u32,
    /// Free slots.
    pub free: u32,
}

/// The periodic message from each daemon to every other of its region.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Heartbeat {
    /// The sender.
    pub daemon: DaemonId,
    /// The configuration version in force at the sender.
    pub config_version: ConfigVersion,
    /// The peers that the sender does not hear.
    pub suspected: BTreeSet<DaemonId>,
    /// Whether the sender is draining and gives up its shards.
    pub draining: bool,
    /// Digest of the shards that the sender owns; another value than expected
    /// tells the receiver to read the owner records again.
    pub owned_digest: OwnedDigest,
    /// Loads of the sender's shards that changed.
    pub loads: BTreeMap<ShardName, ShardLoad>,
}

/// Returns the digest of owned shards; the order of the shards is part of it.
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
