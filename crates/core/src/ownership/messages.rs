//! Events and actions of ownership.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::types::{DaemonId, Epoch, ShardName, ZoneId};

/// The store's record of a shard's owner.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OwnerRecord {
    /// The daemon that owns the shard.
    pub daemon: DaemonId,
    /// The fencing token of this ownership.
    pub epoch: Epoch,
}

/// Something that may change ownership.
#[derive(Clone, Debug)]
pub enum OwnershipEvent {
    /// The configuration or the list of hosts names these shards.
    ShardsChanged(BTreeSet<ShardName>),
    /// The store's owner records were read.
    OwnersRead(BTreeMap<ShardName, OwnerRecord>),
    /// The daemons that may own shards, this one included, with their zones.
    CandidatesChanged(BTreeMap<DaemonId, ZoneId>),
    /// These daemons are confirmed dead or no longer registered.
    DaemonsDead(BTreeSet<DaemonId>),
    /// A compare-and-swap was answered with the record now in the store.
    ClaimAnswered {
        /// The shard.
        shard: ShardName,
        /// The record in the store after the transaction.
        record: OwnerRecord,
    },
    /// A compare-and-swap was not answered; its effect is unknown.
    ClaimFailed(ShardName),
    /// Time has passed.
    TimerFired,
}

/// What ownership asks its surroundings to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OwnershipAction {
    /// Replaces the owner record by compare-and-swap.
    Claim {
        /// The shard.
        shard: ShardName,
        /// The record that must be in the store, or none.
        expected: Option<OwnerRecord>,
        /// The record to write.
        next: OwnerRecord,
    },
    /// This daemon became the owner.
    Acquired {
        /// The shard.
        shard: ShardName,
        /// The fencing token for everything sent from now on.
        epoch: Epoch,
    },
    /// This daemon is no longer the owner and must stop acting for the shard.
    Lost(ShardName),
}
