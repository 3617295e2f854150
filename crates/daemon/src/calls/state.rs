//! The call queues of the call shards that this daemon owns.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use auburnsaddle_core::{
    CallAction, CallConfig, CallEvent, CallLoad, CallQueue, DaemonId, Epoch, FencingMode,
    GrantResult, LoanConfig, NotRunReason, RequestId, RunnerEntry, ServiceId, ServiceSpec,
    ShardLoad, ShardName, TeamId,
};
use tokio::sync::oneshot;

use super::messages::{CallCommand, GrantedSlot, LoanEnvelope, SlotRefusal, SlotReply};

/// The queue of an owned shard and the requesters that wait for slots.
#[derive(Debug)]
pub(super) struct OwnedQueue {
    pub(super) epoch: Epoch,
    /// Whether slots may be granted. In lease fencing mode this needs a valid lease.
    pub(super) may_dispatch: bool,
    pub(super) queue: CallQueue,
    /// Senders of the replies to queued calls.
    replies: BTreeMap<RequestId, oneshot::Sender<SlotReply>>,
}

/// All call shards that this daemon owns.
#[derive(Debug, Default)]
pub(crate) struct CallShards {
    pub(super) queues: BTreeMap<ShardName, OwnedQueue>,
    /// Messages to the owners of other shards that are not sent yet.
    loan_outbox: Vec<LoanEnvelope>,
    /// Daemons that are confirmed dead.
    lost_daemons: BTreeSet<DaemonId>,
    /// Weights of the teams.
    weights: BTreeMap<TeamId, u32>,
}

/// Returns the share of slots for urgent calls, in percent.
fn urgent_share(service: &ServiceSpec) -> u32 {
    u32::try_from(service.urgent_share_percent).unwrap_or(100)
}

/// Returns the configuration of a service's queues.
///
/// Runners that do not check epochs may still run calls of a previous owner, also
/// on slots that it has lent. A new owner of such a service grants no slots until
/// its loans and calls must have ended.
fn queue_config(service: &ServiceSpec) -> CallConfig {
    let loans = LoanConfig {
        max_call_duration: service.deadline(),
        ..LoanConfig::default()
    };
    let hold_off = match service.fencing {
        FencingMode::Epoch => Duration::ZERO,
        FencingMode::Lease => loans.term + loans.max_call_duration,
    };
    CallConfig::builder()
        .urgent_share_percent(urgent_share(service))
        .hold_off(hold_off)
        .loans(loans)
        .build()
}

impl CallShards {
    /// Opens an empty queue for a shard under a new epoch.
    pub(crate) fn open_queue(
        &mut self,
        shard: ShardName,
        epoch: Epoch,
        service: &ServiceSpec,
        now: Duration,
    ) {
        let queue = CallQueue::new_at(queue_config(service), now);
        let mut queue = queue.with_epoch(epoch);
        queue.handle(CallEvent::WeightsChanged(self.weights.clone()), now);
        self.queues.insert(
            shard,
            OwnedQueue {
                epoch,
                may_dispatch: true,
                queue,
                replies: BTreeMap::new(),
            },
        );
    }

    /// Sets whether the slots of a shard may be granted.
    pub(crate) fn set_may_dispatch(&mut self, shard: &ShardName, allowed: bool) {
        if let Some(owned) = self.queues.get_mut(shard) {
            owned.may_dispatch = allowed;
        }
    }

    /// Returns whether the queue of a shard is open under an epoch.
    pub(crate) fn owns(&self, shard: &ShardName, epoch: Epoch) -> bool {
        self.queues
            .get(shard)
            .is_some_and(|owned| owned.epoch == epoch)
    }

    /// Drops the queue of a shard and rejects its waiting calls.
    pub(crate) fn drop_shard(&mut self, shard: &ShardName) {
        for (_, reply) in self
            .queues
            .remove(shard)
            .into_iter()
            .flat_map(|owned| owned.replies)
        {
            // The send fails if the requester has disconnected.
            let _ = reply.send(Err(SlotRefusal::NotRun(NotRunReason::NoOwner)));
        }
    }

    /// Applies the shares for urgent calls and the call deadlines of services.
    pub(crate) fn set_services(
        &mut self,
        services: &BTreeMap<ServiceId, ServiceSpec>,
        now: Duration,
    ) {
        for (shard, owned) in &mut self.queues {
            let ShardName::Call(name, _) = shard else {
                continue;
            };
            if let Some(service) = services.get(name) {
                let share = CallEvent::UrgentShareChanged(urgent_share(service));
                owned.apply(shard, share, &mut self.loan_outbox, now);
                let deadline = CallEvent::MaxCallDurationChanged(service.deadline());
                owned.apply(shard, deadline, &mut self.loan_outbox, now);
            }
        }
    }

    /// Applies the weights of teams.
    pub(crate) fn set_weights(&mut self, weights: BTreeMap<TeamId, u32>, now: Duration) {
        if self.weights != weights {
            self.weights.clone_from(&weights);
            self.apply_to_all(&CallEvent::WeightsChanged(weights), now);
        }
    }

    /// Applies the set of daemons that are confirmed dead.
    pub(crate) fn set_lost_daemons(&mut self, lost: &BTreeSet<DaemonId>, now: Duration) {
        for daemon in lost.difference(&self.lost_daemons.clone()) {
            self.apply_to_all(&CallEvent::RequesterLost(daemon.clone()), now);
        }
        self.lost_daemons.clone_from(lost);
    }

    /// Returns the numbers of waiting calls and free slots by owned shard.
    pub(crate) fn loads(&self) -> BTreeMap<ShardName, ShardLoad> {
        let loads = self.queues.iter().map(|(shard, owned)| {
            let CallLoad { free, waiting } = owned.queue.load();
            let load = ShardLoad {
                queued: waiting,
                free,
            };
            (shard.clone(), load)
        });
        loads.collect()
    }

    /// Applies the loads that the owners for other zones report.
    pub(crate) fn set_zone_loads(&mut self, loads: &BTreeMap<ShardName, ShardLoad>, now: Duration) {
        for (shard, load) in loads {
            let ShardName::Call(service, zone) = shard else {
                continue;
            };
            let load = CallLoad {
                free: load.free,
                waiting: load.queued,
            };
            let event = CallEvent::ZoneLoadChanged(zone.clone(), load);
            for (own, owned) in &mut self.queues {
                if matches!(own, ShardName::Call(name, _) if name == service) && own != shard {
                    owned.apply(own, event.clone(), &mut self.loan_outbox, now);
                }
            }
        }
    }

    /// Removes and returns the unsent messages to the owners of other shards.
    pub(crate) fn take_loan_envelopes(&mut self) -> Vec<LoanEnvelope> {
        std::mem::take(&mut self.loan_outbox)
    }

    fn apply_to_all(&mut self, event: &CallEvent, now: Duration) {
        for (shard, owned) in &mut self.queues {
            owned.apply(shard, event.clone(), &mut self.loan_outbox, now);
        }
    }

    /// Applies the live runners of each owned shard.
    pub(crate) fn set_runners<F>(&mut self, runners_of: F, now: Duration)
    where
        F: Fn(&ShardName) -> Vec<RunnerEntry>,
    {
        for (shard, owned) in &mut self.queues {
            let event = CallEvent::RunnersChanged(runners_of(shard));
            owned.apply(shard, event, &mut self.loan_outbox, now);
        }
    }

    /// Applies a command of the traffic threads.
    pub(crate) fn handle(&mut self, command: CallCommand, now: Duration) {
        match command {
            CallCommand::Request { shard, call, reply } => match self.queues.get_mut(&shard) {
                Some(owned) => {
                    owned.replies.insert(call.request, reply);
                    let event = CallEvent::Requested(call);
                    owned.apply(&shard, event, &mut self.loan_outbox, now);
                }
                None => {
                    let _ = reply.send(Err(SlotRefusal::NotRun(NotRunReason::NoOwner)));
                }
            },
            CallCommand::Loan(envelope) => self.deliver(envelope, now),
            CallCommand::Cancel { shard, request } => {
                if let Some(owned) = self.queues.get_mut(&shard) {
                    owned.replies.remove(&request);
                    let event = CallEvent::Cancelled(request);
                    owned.apply(&shard, event, &mut self.loan_outbox, now);
                }
            }
            CallCommand::Return {
                shard,
                epoch,
                grant,
                result,
            } => match self.queues.get_mut(&shard) {
                Some(owned) if owned.epoch == epoch => {
                    let event = CallEvent::Returned(grant, result);
                    owned.apply(&shard, event, &mut self.loan_outbox, now);
                }
                _ => {}
            },
        }
    }

    /// Rejects calls whose deadline has passed.
    pub(crate) fn fire_timers(&mut self, now: Duration) {
        self.apply_to_all(&CallEvent::TimerFired, now);
    }

    /// Delivers a message to the queue of its shard. If this daemon does not own the
    /// shard, the message is dropped; loans end with their term even so.
    fn deliver(&mut self, envelope: LoanEnvelope, now: Duration) {
        let shard = envelope.shard;
        if let Some(owned) = self.queues.get_mut(&shard) {
            let event = CallEvent::LoanReceived(envelope.from, envelope.message);
            owned.apply(&shard, event, &mut self.loan_outbox, now);
        }
    }
}

impl OwnedQueue {
    fn apply(
        &mut self,
        shard: &ShardName,
        event: CallEvent,
        loan_outbox: &mut Vec<LoanEnvelope>,
        now: Duration,
    ) {
        let mut actions = self.queue.handle(event, now);
        while let Some(action) = actions.pop() {
            match action {
                CallAction::Reject(request, reason) => {
                    if let Some(reply) = self.replies.remove(&request) {
                        let _ = reply.send(Err(SlotRefusal::NotRun(reason)));
                    }
                }
                CallAction::Redirect(request, zone) => {
                    if let Some(reply) = self.replies.remove(&request) {
                        let _ = reply.send(Err(SlotRefusal::Redirected(zone)));
                    }
                }
                CallAction::SendLoan(to, message) => {
                    if let ShardName::Call(service, from) = shard {
                        loan_outbox.push(LoanEnvelope {
                            shard: ShardName::Call(service.clone(), to),
                            from: from.clone(),
                            message,
                        });
                    }
                }
                CallAction::Grant(grant) => {
                    let id = grant.grant;
                    let reply = self.replies.remove(&grant.request);
                    let slot = GrantedSlot {
                        shard: shard.clone(),
                        epoch: self.epoch,
                        grant,
                    };
                    // The daemon that received the call requests a slot again
                    // until this owner has a lease.
                    let answer = if self.may_dispatch {
                        Ok(slot)
                    } else {
                        Err(SlotRefusal::NotRun(NotRunReason::NoOwner))
                    };
                    let delivered = reply.is_some_and(|reply| reply.send(answer).is_ok());
                    if !delivered || !self.may_dispatch {
                        // No call uses the slot, so it is returned at once.
                        let event = CallEvent::Returned(id, GrantResult::Unused);
                        actions.extend(self.queue.handle(event, now));
                    }
                }
            }
        }
    }
}
