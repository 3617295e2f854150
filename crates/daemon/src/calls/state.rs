//! The call queues of the shards that this daemon owns.

use std::{collections::BTreeMap, time::Duration};

use auburnsaddle_core::{
    CallAction, CallConfig, CallEvent, CallQueue, Epoch, GrantResult, NotRunReason, RequestId,
    RunnerEntry, ShardName,
};
use tokio::sync::oneshot;

use super::messages::{CallCommand, GrantedSlot, SlotReply};

/// One owned queue and the requesters that wait for it.
#[derive(Debug)]
struct OwnedQueue {
    epoch: Epoch,
    /// Whether slots may be granted; not without a lease in lease mode.
    may_dispatch: bool,
    queue: CallQueue,
    replies: BTreeMap<RequestId, oneshot::Sender<SlotReply>>,
}

/// All call shards that this daemon owns.
#[derive(Debug, Default)]
pub(crate) struct CallShards {
    queues: BTreeMap<ShardName, OwnedQueue>,
}

impl CallShards {
    /// Starts an empty queue under a new epoch.
    pub(crate) fn acquire(&mut self, shard: ShardName, epoch: Epoch) {
        let queue = CallQueue::new(CallConfig::default());
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

    /// Permits or stops grants of a shard.
    pub(crate) fn set_dispatch(&mut self, shard: &ShardName, allowed: bool) {
        if let Some(owned) = self.queues.get_mut(shard) {
            owned.may_dispatch = allowed;
        }
    }

    /// Tells whether this daemon has the queue of a shard under an epoch.
    pub(crate) fn owns(&self, shard: &ShardName, epoch: Epoch) -> bool {
        self.queues
            .get(shard)
            .is_some_and(|owned| owned.epoch == epoch)
    }

    /// Drops the queue of a shard; its waiting calls were not run.
    pub(crate) fn lose(&mut self, shard: &ShardName) {
        for (_, reply) in self
            .queues
            .remove(shard)
            .into_iter()
            .flat_map(|owned| owned.replies)
        {
            // The requester may have gone away meanwhile.
            let _ = reply.send(Err(NotRunReason::NoOwner));
        }
    }

    /// Takes over the live runners of each owned shard.
    pub(crate) fn set_runners<F>(&mut self, runners_of: F, now: Duration)
    where
        F: Fn(&ShardName) -> Vec<RunnerEntry>,
    {
        for (shard, owned) in &mut self.queues {
            owned.apply(shard, CallEvent::RunnersChanged(runners_of(shard)), now);
        }
    }

    /// Applies a command of the traffic threads.
    pub(crate) fn handle(&mut self, command: CallCommand, now: Duration) {
        match command {
            CallCommand::Request { shard, call, reply } => match self.queues.get_mut(&shard) {
                Some(owned) => {
                    owned.replies.insert(call.request, reply);
                    owned.apply(&shard, CallEvent::Requested(call), now);
                }
                None => {
                    let _ = reply.send(Err(NotRunReason::NoOwner));
                }
            },
            CallCommand::Cancel { shard, request } => {
                if let Some(owned) = self.queues.get_mut(&shard) {
                    owned.replies.remove(&request);
                    owned.apply(&shard, CallEvent::Cancelled(request), now);
                }
            }
            CallCommand::Return {
                shard,
                epoch,
                grant,
                result,
            } => match self.queues.get_mut(&shard) {
                Some(owned) if owned.epoch == epoch => {
                    owned.apply(&shard, CallEvent::Returned(grant, result), now);
                }
                _ => {}
            },
        }
    }

    /// Rejects calls whose deadline has passed.
    pub(crate) fn fire_timers(&mut self, now: Duration) {
        for (shard, owned) in &mut self.queues {
            owned.apply(shard, CallEvent::TimerFired, now);
        }
    }
}

impl OwnedQueue {
    fn apply(&mut self, shard: &ShardName, event: CallEvent, now: Duration) {
        let mut actions = self.queue.handle(event, now);
        while let Some(action) = actions.pop() {
            match action {
                CallAction::Reject(request, reason) => {
                    if let Some(reply) = self.replies.remove(&request) {
                        let _ = reply.send(Err(reason));
                    }
                }
                // No load of other zones is passed to the queue yet, so this does not occur.
                CallAction::Redirect(request, _) => {
                    if let Some(reply) = self.replies.remove(&request) {
                        let _ = reply.send(Err(NotRunReason::NoOwner));
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
                    // Without a lease the call waits at its entry daemon.
                    let answer = if self.may_dispatch {
                        Ok(slot)
                    } else {
                        Err(NotRunReason::NoOwner)
                    };
                    let delivered = reply.is_some_and(|reply| reply.send(answer).is_ok());
                    if !delivered || !self.may_dispatch {
                        // No call uses the slot, so it is free again.
                        let event = CallEvent::Returned(id, GrantResult::Unused);
                        actions.extend(self.queue.handle(event, now));
                    }
                }
            }
        }
    }
}
