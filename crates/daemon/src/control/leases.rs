//! Leases of the shards whose targets cannot compare epochs.

use std::{collections::BTreeSet, time::Duration};

use auburnsaddle_core::{Epoch, FencingMode, OwnershipEvent, ShardName};

use super::{effects::ControlEffect, state::ControlState};
use crate::store::LeaseId;

/// The answer to a request for a lease.
#[derive(Debug)]
pub(crate) struct LeaseAnswer {
    /// The shard.
    pub(super) shard: ShardName,
    /// The epoch that the lease was requested with.
    pub(super) epoch: Epoch,
    /// When the request was made.
    pub(super) sent_at: Duration,
    /// The lease, or `None` if it was refused or the store did not answer.
    pub(super) lease: Option<LeaseId>,
}

impl ControlState {
    /// Returns the shards that the configuration declares to be in lease mode.
    pub(super) fn lease_shards(&self, shards: &BTreeSet<ShardName>) -> BTreeSet<ShardName> {
        let objects = self.config.objects();
        let fencing = |shard: &ShardName| match shard {
            ShardName::Call(service, _) => objects.services.get(service).map(|it| it.fencing),
            ShardName::Pool(pool) => objects.pools.get(pool).map(|it| it.fencing),
            // The store's guards fence key shards.
            ShardName::Key(..) => None,
        };
        let leased = |shard: &&ShardName| fencing(shard) == Some(FencingMode::Lease);
        shards.iter().filter(leased).cloned().collect()
    }

    /// Returns the request for a lease that the owner table asks for.
    pub(super) fn lease_request(
        &self,
        shard: ShardName,
        epoch: Epoch,
        sent_at: Duration,
    ) -> ControlEffect {
        let held = self.leases.get(&shard);
        let known = held.filter(|(at, _)| *at == epoch).map(|(_, lease)| *lease);
        ControlEffect::RequestLease {
            shard,
            epoch,
            sent_at,
            known,
        }
    }

    /// Returns the end of the lease of a shard that is no longer owned.
    pub(super) fn lease_release(
        &mut self,
        shard: &ShardName,
        epoch: Epoch,
    ) -> Option<ControlEffect> {
        let (_, lease) = self.leases.remove(shard).filter(|(at, _)| *at == epoch)?;
        Some(ControlEffect::ReleaseLease(lease))
    }

    /// Notes the answer to a request. A lease that comes after the loss of its
    /// shard is ended at once, so that the next owner need not wait for it.
    pub(super) fn apply_lease(&mut self, answer: LeaseAnswer, now: Duration) -> Vec<ControlEffect> {
        let LeaseAnswer {
            shard,
            epoch,
            sent_at,
            lease,
        } = answer;
        let owned = self.owners.owned_epoch(&shard) == Some(epoch);
        let event = match lease {
            Some(lease) if !owned => return vec![ControlEffect::ReleaseLease(lease)],
            Some(lease) => {
                self.leases.insert(shard.clone(), (epoch, lease));
                OwnershipEvent::LeaseGranted {
                    shard,
                    epoch,
                    sent_at,
                }
            }
            None => OwnershipEvent::LeaseRefused(shard, epoch),
        };
        self.apply_ownership(event, now)
    }

    /// Permits or stops grants of the call shards in lease mode. It is called
    /// just before anything that may grant a slot.
    pub(super) fn check_leases(&mut self, now: Duration) {
        for shard in &self.leased {
            let allowed = self.owners.may_dispatch(shard, now);
            self.calls.set_may_dispatch(shard, allowed);
        }
    }
}
