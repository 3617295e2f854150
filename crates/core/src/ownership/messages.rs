//! Events and actions of ownership.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::types::{DaemonId, Epoch, ShardName, ZoneId};

/// The store's record of a shard's owner.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OwnerRecord {
    /// The daemon that owns the shard.
    pub daemon: DaemonId,
    /// The fencing token of this ownership.
    pub epoch: Epoch,
}

/// How far a new owner has come.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub enum ShardPhase {
    /// The journal of the shard is being read.
    Replaying,
    /// The targets are being told the new epoch.
    Claiming,
    /// The owner may act for the shard.
    Active,
    /// The journal is being flushed before a handover; nothing new starts.
    Flushing,
    /// The compare-and-swap of a handover is under way; nothing new starts.
    HandingOver,
}

/// Something that may change ownership.
#[derive(Clone, Debug)]
pub enum OwnershipEvent {
    /// The configuration or the list of hosts names these shards.
    ShardsChanged(BTreeSet<ShardName>),
    /// The shards whose targets cannot compare epochs.
    LeaseShardsChanged(BTreeSet<ShardName>),
    /// The store's owner records were read.
    OwnersRead(BTreeMap<ShardName, OwnerRecord>),
    /// The daemons that may own shards, this one included, with their zones.
    CandidatesChanged(BTreeMap<DaemonId, ZoneId>),
    /// These daemons are confirmed dead or no longer registered.
    DeadDaemonsChanged(BTreeSet<DaemonId>),
    /// A compare-and-swap was answered with the record now in the store.
    ClaimAnswered {
        /// The shard.
        shard: ShardName,
        /// The record in the store after the transaction.
        record: OwnerRecord,
    },
    /// A compare-and-swap or a reading of an owner record was not answered.
    ClaimFailed(ShardName),
    /// One owner record was read after a lost response or a fence.
    OwnerRead {
        /// The shard.
        shard: ShardName,
        /// The record in the store, if there is one.
        record: Option<OwnerRecord>,
    },
    /// The journal of an acquired shard was read completely.
    Replayed(ShardName, Epoch),
    /// The journal of an acquired shard is there but cannot be replayed.
    ReplayFailed(ShardName, Epoch),
    /// The targets of a shard were asked to take the epoch; those that have
    /// not responded stay excluded by the slice that places work.
    TargetsClaimed(ShardName, Epoch),
    /// A guarded write failed, or a target has seen a higher epoch than this.
    Fenced(ShardName, Epoch),
    /// This daemon is about to end and gives up its shards.
    DrainRequested,
    /// All records of a shard are in the store.
    Flushed(ShardName, Epoch),
    /// The store granted or renewed the lease of a shard.
    LeaseGranted {
        /// The shard.
        shard: ShardName,
        /// The epoch that the lease was requested with.
        epoch: Epoch,
        /// The time given in the request.
        sent_at: Duration,
    },
    /// The store refused a lease: another daemon holds one, or the own one
    /// has expired.
    LeaseRefused(ShardName, Epoch),
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
    /// Reads one owner record and reports [`OwnershipEvent::OwnerRead`].
    ReadOwner(ShardName),
    /// This daemon became the owner, or tries again after a failed replay:
    /// reads the journal of the shard and reports
    /// [`OwnershipEvent::Replayed`] or [`OwnershipEvent::ReplayFailed`].
    Acquired {
        /// The shard.
        shard: ShardName,
        /// The fencing token for everything sent from now on.
        epoch: Epoch,
    },
    /// Claims the targets with the epoch and reports
    /// [`OwnershipEvent::TargetsClaimed`].
    ClaimTargets(ShardName, Epoch),
    /// The shard may start work under this epoch, for the first time or again
    /// after a handover that did not take effect.
    Activated(ShardName, Epoch),
    /// Starts nothing new, writes the pending records and reports
    /// [`OwnershipEvent::Flushed`].
    Flush(ShardName, Epoch),
    /// Writes the lease key of the shard under a store lease, guarded by the
    /// owner record and by the absence of a lease of another epoch.
    RequestLease {
        /// The shard.
        shard: ShardName,
        /// The epoch that the owner record must have.
        epoch: Epoch,
        /// The time to report back, taken before the request is sent.
        sent_at: Duration,
    },
    /// Deletes the lease key if it still has this epoch.
    ReleaseLease(ShardName, Epoch),
    /// This daemon is no longer the owner and must stop acting for the shard.
    Lost(ShardName),
}
