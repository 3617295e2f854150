//! The announcements of ownerships: those of this daemon to its witnesses and to those of the
//! owners before it, and those of other daemons to this one.

use std::time::Duration;

use auburnsaddle_core::{Epoch, PipelineEvent, ServiceId};
use auburnsaddle_platform::HttpEndpoint;

use super::control::CellControl;
use crate::witness::{EpochNotice, EpochReply, WitnessEntry, choose_witnesses};

impl CellControl {
    /// Returns the present witnesses of an ownership of a service by this daemon.
    pub(super) fn witnesses(&self, service: &ServiceId) -> Vec<WitnessEntry> {
        let daemons = self.members.iter().filter_map(|(daemon, endpoint)| {
            let registration = self.registrations.get(daemon)?.revision;
            Some(WitnessEntry {
                daemon: daemon.clone(),
                address: endpoint.address().to_string(),
                registration,
            })
        });
        choose_witnesses(service, &self.settings.daemon, daemons)
    }

    /// Records the announcement of an owner.
    pub(super) fn answer_notice(&mut self, notice: &EpochNotice) -> EpochReply {
        EpochReply {
            daemon: self.settings.daemon.clone(),
            registration: self.registration,
            epoch: self.epochs.raise(notice),
        }
    }

    /// Announces the ownerships of this daemon to the witnesses that have to know them now.
    pub(super) fn announce_epochs(&mut self, now: Duration) {
        for (service, handle) in &mut self.shards {
            let notice = EpochNotice {
                service: service.clone(),
                epoch: handle.shard.epoch(),
            };
            for entry in handle.shard.due_notices(now).into_values() {
                let known = self.members.get(&entry.daemon).cloned();
                let witness = known.unwrap_or_else(|| HttpEndpoint::new(&entry.address));
                self.effects.announce_epoch(witness, notice.clone());
            }
        }
    }

    /// Handles the answer of a witness to an announcement of an ownership of this daemon.
    pub(super) fn handle_witness_reply(
        &mut self,
        service: &ServiceId,
        epoch: Epoch,
        sent_at: Duration,
        reply: &EpochReply,
    ) {
        let now = self.effects.clock.now();
        let handle = self.shards.get_mut(service);
        let Some(handle) = handle.filter(|handle| handle.shard.epoch() == epoch) else {
            return;
        };
        let shard = &mut handle.shard;
        if reply.epoch == epoch {
            shard.confirm_by_witness(&reply.daemon, reply.registration, sent_at);
        }
        if let Some(event) = shard.record_ack(&reply.daemon, now) {
            self.dispatch_predecessors_ended(service, epoch, event);
        }
    }

    /// Passes on that no predecessor extends a lease any more.
    fn dispatch_predecessors_ended(
        &mut self,
        service: &ServiceId,
        epoch: Epoch,
        event: PipelineEvent,
    ) {
        log::info!(
            service = service.as_ref(), epoch;
            "all earlier owners of the service have ended their ownership or extend no lease"
        );
        self.dispatch_event(service, epoch, event);
    }

    /// Passes the present witnesses to the owned services.
    pub(super) fn update_witnesses(&mut self) {
        let now = self.effects.clock.now();
        let services: Vec<ServiceId> = self.shards.keys().cloned().collect();
        for service in services {
            let witnesses = self.witnesses(&service);
            if let Some(handle) = self.shards.get_mut(&service) {
                handle.shard.set_witnesses(witnesses, now);
            }
        }
    }

    /// Checks whether the predecessors of this daemon as the owner of its services have ended their
    /// ownership or extend no lease any more.
    pub(super) fn update_predecessors(&mut self) {
        let now = self.effects.clock.now();
        let registrations = &self.registrations;
        let shards = self.shards.iter_mut();
        let events = shards.filter_map(|(service, handle)| {
            let shard = &mut handle.shard;
            let ended = shard.update_predecessors(registrations);
            let event = ended.or_else(|| shard.expire_predecessors(now))?;
            Some((service.clone(), shard.epoch(), event))
        });
        let events: Vec<(ServiceId, Epoch, PipelineEvent)> = events.collect();
        for (service, epoch, event) in events {
            self.dispatch_predecessors_ended(&service, epoch, event);
        }
    }
}
