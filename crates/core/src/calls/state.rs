//! The queue of one call shard.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::messages::{CallAction, CallEvent, CallRequest, GrantResult, RunnerEntry, SlotGrant};
use crate::types::{GrantId, NotRunReason, RequestId, RunnerId, UrgencyClass};

/// Bounds of a call queue.
#[derive(Clone, Copy, Debug)]
pub struct CallConfig {
    /// Most calls that wait at once.
    pub queue_limit: usize,
}

impl Default for CallConfig {
    fn default() -> Self {
        Self { queue_limit: 4_096 }
    }
}

/// Position of a waiting call: greatest urgency first, then arrival order.
type QueuePosition = (std::cmp::Reverse<UrgencyClass>, u64);

/// A call that waits for a slot.
#[derive(Clone, Debug)]
struct WaitingCall {
    request: RequestId,
    deadline: Duration,
}

/// Slots of one runner.
#[derive(Clone, Debug)]
struct RunnerSlots {
    slots: u32,
    busy: u32,
    live: bool,
}

/// The calls of one shard that wait or run, and the slots of its runners.
#[derive(Clone, Debug)]
pub struct CallQueue {
    config: CallConfig,
    runners: BTreeMap<RunnerId, RunnerSlots>,
    free: BTreeSet<(u32, RunnerId)>,
    waiting: BTreeMap<QueuePosition, WaitingCall>,
    positions: BTreeMap<RequestId, QueuePosition>,
    grants: BTreeMap<GrantId, RunnerId>,
    next_position: u64,
    next_grant: GrantId,
}

impl CallQueue {
    /// Returns an empty queue without runners.
    #[must_use]
    pub const fn new(config: CallConfig) -> Self {
        Self {
            config,
            runners: BTreeMap::new(),
            free: BTreeSet::new(),
            waiting: BTreeMap::new(),
            positions: BTreeMap::new(),
            grants: BTreeMap::new(),
            next_position: 0,
            next_grant: 1,
        }
    }

    /// Returns the number of calls that wait.
    #[must_use]
    pub fn waiting_len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of slots in use.
    #[must_use]
    pub fn granted_len(&self) -> usize {
        self.grants.len()
    }

    /// Applies an event and returns what is to be done.
    pub fn handle(&mut self, event: CallEvent, now: Duration) -> Vec<CallAction> {
        let mut actions = Vec::new();
        match event {
            CallEvent::Requested(call) => self.enqueue(&call, now, &mut actions),
            CallEvent::Cancelled(request) => self.cancel(request),
            CallEvent::Returned(grant, result) => self.return_grant(grant, result),
            CallEvent::RunnersChanged(runners) => self.replace_runners(runners),
            CallEvent::TimerFired => self.expire(now, &mut actions),
        }
        self.grant_free(now, &mut actions);
        actions
    }

    fn enqueue(&mut self, call: &CallRequest, now: Duration, actions: &mut Vec<CallAction>) {
        let rejection = match () {
            () if self.runners.values().all(|runner| !runner.live) => Some(NotRunReason::NoTarget),
            () if self.waiting.len() >= self.config.queue_limit => Some(NotRunReason::QueueFull),
            () if call.remaining.is_zero() => Some(NotRunReason::DeadlineUnmeetable),
            () => None,
        };
        if let Some(reason) = rejection {
            actions.push(CallAction::Reject(call.request, reason));
            return;
        }
        let position = (std::cmp::Reverse(call.urgency), self.next_position);
        self.next_position += 1;
        self.positions.insert(call.request, position);
        let waiting = WaitingCall {
            request: call.request,
            deadline: now + call.remaining,
        };
        self.waiting.insert(position, waiting);
    }

    fn cancel(&mut self, request: RequestId) {
        if let Some(position) = self.positions.remove(&request) {
            self.waiting.remove(&position);
        }
    }

    fn return_grant(&mut self, grant: GrantId, _result: GrantResult) {
        let Some(name) = self.grants.remove(&grant) else {
            return;
        };
        let Some(runner) = self.runners.get_mut(&name) else {
            return;
        };
        self.free.remove(&(runner.busy, name.clone()));
        runner.busy -= 1;
        if runner.live && runner.busy < runner.slots {
            self.free.insert((runner.busy, name));
        } else if !runner.live && runner.busy == 0 {
            self.runners.remove(&name);
        }
    }

    fn replace_runners(&mut self, entries: Vec<RunnerEntry>) {
        for runner in self.runners.values_mut() {
            runner.live = false;
        }
        for entry in entries {
            let runner = self.runners.entry(entry.runner).or_insert(RunnerSlots {
                slots: 0,
                busy: 0,
                live: true,
            });
            runner.live = true;
            runner.slots = entry.slots;
        }
        self.runners
            .retain(|_, runner| runner.live || runner.busy > 0);
        self.free = self
            .runners
            .iter()
            .filter(|(_, runner)| runner.live && runner.busy < runner.slots)
            .map(|(name, runner)| (runner.busy, name.clone()))
            .collect();
    }

    fn expire(&mut self, now: Duration, actions: &mut Vec<CallAction>) {
        let expired: Vec<_> = self
            .waiting
            .iter()
            .filter(|(_, call)| call.deadline <= now)
            .map(|(position, call)| (*position, call.request))
            .collect();
        for (position, request) in expired {
            self.waiting.remove(&position);
            self.positions.remove(&request);
            actions.push(CallAction::Reject(
                request,
                NotRunReason::DeadlineUnmeetable,
            ));
        }
    }

    fn grant_free(&mut self, now: Duration, actions: &mut Vec<CallAction>) {
        while !self.waiting.is_empty() {
            let Some((busy, name)) = self.free.pop_first() else {
                return;
            };
            let Some((_, call)) = self.waiting.pop_first() else {
                return;
            };
            self.positions.remove(&call.request);
            if call.deadline <= now {
                self.free.insert((busy, name));
                actions.push(CallAction::Reject(
                    call.request,
                    NotRunReason::DeadlineUnmeetable,
                ));
                continue;
            }
            let grant = self.next_grant;
            self.next_grant += 1;
            self.occupy(&name);
            self.grants.insert(grant, name.clone());
            let grant = SlotGrant {
                grant,
                request: call.request,
                runner: name,
            };
            actions.push(CallAction::Grant(grant));
        }
    }

    fn occupy(&mut self, name: &RunnerId) {
        if let Some(runner) = self.runners.get_mut(name) {
            runner.busy += 1;
            if runner.busy < runner.slots {
                self.free.insert((runner.busy, name.clone()));
            }
        }
    }
}
