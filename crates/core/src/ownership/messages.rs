//! Records, events and actions of shard ownership.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::types::{DaemonId, Epoch, ShardName, ZoneId};

/// The record of a shard's owner, as kept in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OwnerRecord {
    /// The daemon that owns the shard.
    pub daemon: DaemonId,
    /// The fencing token, incremented at each change of owner.
    pub epoch: Epoch,
}

/// Progress of a shard at its owner, from takeover to handover.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub enum ShardPhase {
    /// The owner is replaying the journal of the shard.
    Replaying,
    /// The owner is announcing the new epoch to the targets.
    Claiming,
    /// The owner may dispatch work of the shard.
    Active,
    /// The owner is flushing the journal before a handover; no new work starts.
    Flushing,
    /// The compare-and-swap of a handover is in flight; no new work starts.
    HandingOver,
}

/// An input of [`OwnerTable::handle`](super::OwnerTable::handle).
#[derive(Clone, Debug)]
pub enum OwnershipEvent {
    /// The set of all shards, derived from the configuration and the host list,
    /// changed.
    ShardsChanged(BTreeSet<ShardName>),
    /// The set of shards that need a store lease, as their targets cannot compare
    /// epochs, changed.
    LeaseShardsChanged(BTreeSet<ShardName>),
    /// The owner records of the shards were read from the store.
    OwnersRead(BTreeMap<ShardName, OwnerRecord>),
    /// The set of daemons that may own shards changed: all of them with their
    /// zones, this daemon included.
    CandidatesChanged(BTreeMap<DaemonId, ZoneId>),
    /// The set of daemons that are confirmed dead or no longer registered
    /// changed.
    DeadDaemonsChanged(BTreeSet<DaemonId>),
    /// The store answered a compare-and-swap with the record that it now holds.
    ClaimAnswered {
        /// The shard.
        shard: ShardName,
        /// The record in the store after the transaction.
        record: OwnerRecord,
    },
    /// A compare-and-swap or a read of an owner record failed or timed out.
    ClaimFailed(ShardName),
    /// An owner record was read back after a lost response or after fencing.
    OwnerRead {
        /// The shard.
        shard: ShardName,
        /// The record in the store, if there is one.
        record: Option<OwnerRecord>,
    },
    /// The journal of an acquired shard was replayed.
    Replayed(ShardName, Epoch),
    /// The journal of an acquired shard was read but cannot be replayed, for
    /// example because a value is corrupted.
    ReplayFailed(ShardName, Epoch),
    /// The epoch was announced to the targets of a shard. The slice that places
    /// work excludes the targets that have not responded.
    TargetsClaimed(ShardName, Epoch),
    /// A guarded write failed, or a target reported a higher epoch than this one.
    Fenced(ShardName, Epoch),
    /// This daemon is shutting down and must hand over its shards.
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
    /// The store refused a lease: another daemon holds one, or the lease of this
    /// daemon has expired.
    LeaseRefused(ShardName, Epoch),
    /// The periodic timer fired.
    TimerFired,
}

/// A request of [`OwnerTable::handle`](super::OwnerTable::handle) to the process
/// that runs it.
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
    /// Replays the journal of the shard and reports
    /// [`OwnershipEvent::Replayed`] or [`OwnershipEvent::ReplayFailed`]. Sent
    /// when this daemon has become the owner, and again after a failed replay.
    Acquired {
        /// The shard.
        shard: ShardName,
        /// The fencing token of all requests of this ownership.
        epoch: Epoch,
    },
    /// Announces the epoch to the targets and reports
    /// [`OwnershipEvent::TargetsClaimed`].
    ClaimTargets(ShardName, Epoch),
    /// Permits work of the shard under this epoch, for the first time or again
    /// after a failed handover.
    Activated(ShardName, Epoch),
    /// Stops starting work, writes the pending records and reports
    /// [`OwnershipEvent::Flushed`].
    Flush(ShardName, Epoch),
    /// Writes the lease key of the shard under a store lease, guarded by the
    /// owner record and by the absence of a lease of another epoch.
    RequestLease {
        /// The shard.
        shard: ShardName,
        /// The epoch that the owner record must have.
        epoch: Epoch,
        /// The time to pass back in [`OwnershipEvent::LeaseGranted`], read before
        /// the request is sent.
        sent_at: Duration,
    },
    /// Deletes the lease key of the shard if it still has this epoch.
    ReleaseLease(ShardName, Epoch),
    /// Stops all work for the shard: this daemon is no longer the owner.
    Lost(ShardName),
}
