//! Store leases of the shards in lease mode, whose targets cannot compare epochs.

use std::{collections::BTreeSet, time::Duration};

use auburnsaddle_core::{Epoch, FencingMode, OwnershipEvent, ShardName};

use super::{effects::ControlEffect, state::ControlState};
use crate::store::LeaseId;

/// The response to a [`ControlEffect::RequestLease`].
#[derive(Debug)]
pub(crate) struct LeaseResponse {
    pub(super) shard: ShardName,
    /// The epoch that the lease was requested with.
    pub(super) epoch: Epoch,
    /// The time given in the request.
    pub(super) sent_at: Duration,
    /// The lease, or `None` if the store refused it or did not answer.
    pub(super) lease: Option<LeaseId>,
}

impl ControlState {
    /// Returns those of `shards` that the configuration sets to lease mode.
    pub(super) fn find_lease_mode_shards(
        &self,
        shards: &BTreeSet<ShardName>,
    ) -> BTreeSet<ShardName> {
        let objects = self.config.objects();
        let fencing = |shard: &ShardName| match shard {
            ShardName::Call(service, _) => objects.services.get(service).map(|spec| spec.fencing),
            ShardName::Pool(pool) => objects.pools.get(pool).map(|spec| spec.fencing),
            // Key shards are fenced by the guards of their store transactions.
            ShardName::Key(..) => None,
        };
        let is_lease_mode = |shard: &&ShardName| fencing(shard) == Some(FencingMode::Lease);
        shards.iter().filter(is_lease_mode).cloned().collect()
    }

    /// Returns the effect that renews the lease of a shard, or requests a new one if
    /// none is held for this epoch.
    pub(super) fn lease_request(
        &self,
        shard: ShardName,
        epoch: Epoch,
        sent_at: Duration,
    ) -> ControlEffect {
        let held = self.held_leases.get(&shard);
        let current_lease = held
            .filter(|(held_epoch, _)| *held_epoch == epoch)
            .map(|(_, lease)| *lease);
        ControlEffect::RequestLease {
            shard,
            epoch,
            sent_at,
            current_lease,
        }
    }

    /// Removes the lease of a shard that is no longer owned, and returns the effect
    /// that revokes it.
    pub(super) fn end_lease(&mut self, shard: &ShardName, epoch: Epoch) -> Option<ControlEffect> {
        let (_, lease) = self
            .held_leases
            .remove(shard)
            .filter(|(held_epoch, _)| *held_epoch == epoch)?;
        Some(ControlEffect::ReleaseLease(lease))
    }

    /// Applies the response to a lease request. A lease granted after its shard was
    /// lost is revoked at once, so that the next owner need not wait until it
    /// expires.
    pub(super) fn apply_lease_response(
        &mut self,
        response: LeaseResponse,
        now: Duration,
    ) -> Vec<ControlEffect> {
        let LeaseResponse {
            shard,
            epoch,
            sent_at,
            lease,
        } = response;
        let owned = self.owners.owned_epoch(&shard) == Some(epoch);
        let event = match lease {
            Some(lease) if !owned => return vec![ControlEffect::ReleaseLease(lease)],
            Some(lease) => {
                self.held_leases.insert(shard.clone(), (epoch, lease));
                OwnershipEvent::LeaseGranted {
                    shard,
                    epoch,
                    sent_at,
                }
            }
            None => OwnershipEvent::LeaseRefused(shard, epoch),
        };
        self.apply_ownership_event(event, now)
    }

    /// Permits slot grants of each call shard in lease mode only while its lease is
    /// valid. Must be called just before anything that may grant a slot.
    pub(super) fn update_dispatch_permissions(&mut self, now: Duration) {
        for shard in &self.lease_mode_shards {
            let allowed = self.owners.may_dispatch(shard, now);
            self.calls.set_may_dispatch(shard, allowed);
        }
    }
}
