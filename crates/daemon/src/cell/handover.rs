//! Handover of services: of all of them when the daemon stops, and of one to a host with more
//! processors.
//!
//! Failure mode: all daemons lose their leases in an outage of the store, and a host with a tenth of a
//! core is the first to return and takes a service over. It decides too slowly for the load: tickets
//! expire before they are used, and jobs wait for the rest of the day although workers are idle.

use std::{collections::BTreeMap, time::Duration};

use auburnsaddle_core::ServiceId;
use auburnsaddle_platform::{StoreTransaction, TransactionOutcome};
use tokio::sync::oneshot;

use super::{
    control::CellControl,
    effects::{CellEffects, ShardHandle},
    messages::CellEvent,
};
use crate::pipelines::{CellKey, DaemonRegistration};

/// How long a drain waits until all changes are durable.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(900);

/// How long a drain waits for the summaries of durable phases. The successor writes those that are
/// missing, and nothing is placed meanwhile.
const DRAIN_SUMMARY_TIME: Duration = Duration::from_millis(100);

/// Multiple of this daemon's processors from which another daemon is a better owner. The handover
/// itself costs some tenths of a second, in which nothing is placed.
const CPU_FACTOR: u64 = 2;

/// Time for which an ownership, and the registration of the other daemon, must have lasted. In a
/// rolling restart, both change often.
const SETTLING_TIME: Duration = Duration::from_secs(2);

/// Shortest time between two handovers of a service by this daemon. If the others cannot take it,
/// it comes back.
const HANDOVER_INTERVAL: Duration = Duration::from_secs(30);

/// Longest time for which a service is not scheduled while its changes become durable.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(500);

/// A drain that waits until all changes before it are durable or its time is over.
#[derive(Debug)]
pub(super) struct PendingDrain {
    reply: oneshot::Sender<()>,
    until: Duration,
}

/// A handover that has begun.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingHandover {
    /// When it is given up unless it was released by then.
    until: Duration,
    /// Whether the release was sent.
    is_released: bool,
}

/// Returns whether a daemon that has been registered for long enough is a better owner.
pub(super) fn has_better_owner(
    daemon: &str,
    cpu_by_daemon: &BTreeMap<String, u64>,
    registrations: &BTreeMap<String, DaemonRegistration>,
    now: Duration,
) -> bool {
    let own_milli = cpu_by_daemon.get(daemon).copied().unwrap_or(u64::MAX);
    cpu_by_daemon.iter().any(|(other, cpu_milli)| {
        let registration = registrations.get(other);
        let is_settled = registration.is_some_and(|known| now >= known.seen_at + SETTLING_TIME);
        *cpu_milli / CPU_FACTOR >= own_milli && is_settled
    })
}

impl CellControl {
    /// Begins to release all services, as the process stops.
    pub(super) fn begin_drain(&mut self, reply: oneshot::Sender<()>, now: Duration) {
        self.is_draining = true;
        self.drain = Some(PendingDrain {
            reply,
            until: now + DRAIN_TIMEOUT,
        });
    }

    /// Completes a drain whose changes are durable or whose time is over.
    pub(super) fn continue_drain(&mut self, now: Duration) {
        let Some(mut drain) = self.drain.take() else {
            return;
        };
        let mut are_drained = true;
        for handle in self.shards.values_mut() {
            are_drained &= handle.shard.is_drained();
        }
        if are_drained {
            drain.until = drain.until.min(now + DRAIN_SUMMARY_TIME);
        }
        let mut shards = self.shards.values();
        let is_complete = are_drained && shards.all(|handle| handle.shard.has_stored_summaries());
        match drain {
            drain if is_complete || now >= drain.until => {
                let services: Vec<ServiceId> = self.shards.keys().cloned().collect();
                for service in services {
                    self.drop_shard(&service, "the daemon is stopping");
                }
                // The send fails only if the process no longer waits for the drain.
                let _ = drain.reply.send(());
            }
            open => self.drain = Some(open),
        }
    }

    /// Begins the handover of services that a better owner should have, and continues those that
    /// have begun.
    pub(super) fn hand_over_services(&mut self, now: Duration) {
        let daemon = self.settings.daemon.as_str();
        let has_better = has_better_owner(daemon, &self.cpu_by_daemon, &self.registrations, now);
        for (service, handle) in &mut self.shards {
            match &mut handle.handover {
                None => {
                    let last = self.handed_over_at.get(service);
                    let is_early = last.is_some_and(|last| now < *last + HANDOVER_INTERVAL);
                    let is_settled = now >= handle.owned_since + SETTLING_TIME;
                    if has_better && is_settled && !is_early && !self.effects.route.is_unavailable()
                    {
                        log::info!(
                            service = service.as_ref(), epoch = handle.shard.epoch();
                            "handing the service over to a host with more processors"
                        );
                        self.handed_over_at.insert(service.clone(), now);
                        handle.handover = Some(PendingHandover {
                            until: now + HANDOVER_TIMEOUT,
                            is_released: false,
                        });
                    }
                }
                Some(pending) if pending.is_released => {}
                Some(pending) if handle.shard.is_drained() => {
                    pending.is_released = true;
                    self.effects.release_service(handle);
                }
                Some(pending) if now >= pending.until => handle.resume(),
                Some(_) => {}
            }
        }
    }

    /// Handles the outcome of a release: the service has no owner, or goes on as before.
    pub(super) fn finish_release(
        &mut self,
        service: &ServiceId,
        epoch: u64,
        outcome: &TransactionOutcome,
    ) {
        let handle = self.shards.get_mut(service);
        let Some(handle) = handle.filter(|handle| handle.shard.epoch() == epoch) else {
            return;
        };
        match outcome {
            // The watch also reports an owner's key that an unknown outcome has removed.
            TransactionOutcome::Done(_) => {
                self.owners.remove(service);
                self.drop_shard(service, "it was handed over");
            }
            _ => handle.resume(),
        }
    }
}

impl ShardHandle {
    /// Goes on to schedule a service whose handover failed.
    fn resume(&mut self) {
        self.handover = None;
        self.shard.cancel_drain();
        self.has_new_events = true;
    }
}

impl CellEffects {
    /// Removes the owner's key of a service; the outcome arrives as an event.
    fn release_service(&self, handle: &ShardHandle) {
        let (service, epoch) = (handle.shard.service.clone(), handle.shard.epoch());
        let key = CellKey::Owner(service.clone()).path();
        let transaction = StoreTransaction {
            expected: vec![(key.clone(), handle.shard.owner_revision())],
            removals: vec![key],
            ..StoreTransaction::default()
        };
        let (store, events) = (self.store.clone(), self.events.clone());
        self.runtime.spawn(async move {
            let outcome = store.commit(&transaction).await;
            let _ = events
                .send(CellEvent::Released(service, epoch, outcome))
                .await;
        });
    }
}
