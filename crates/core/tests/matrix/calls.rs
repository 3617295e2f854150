//! Keyed calls within a daemon: key shards, and the call shard with its slots.

use super::prelude::*;

pub(crate) struct CallOwner {
    epoch: Epoch,
    queue: CallQueue,
}

const fn not_run(key: KeyDigest, reason: NotRunReason) -> KeyEvent {
    KeyEvent::CallEnded(key, CallOutcome::NotRun(reason))
}

/// The owner of the keys.
impl Daemon {
    pub(crate) fn open_keys(&mut self, records: &[JournalRecord]) {
        let records = decode_all(records);
        self.keys = Some(KeyTable::replay(KeyConfig::default(), records, self.now));
    }

    pub(crate) fn key_event(&mut self, event: KeyEvent) {
        let Some(keys) = &mut self.keys else {
            return;
        };
        for action in keys.handle(event, self.now) {
            match action {
                KeyAction::Record(record) => self.record_key(&record),
                KeyAction::Dispatch(request, key) => self.ask_slot(request, key),
                KeyAction::QueryRunners(_, key) => {
                    for index in 0..RUNNERS {
                        self.ask(Node::Runner(index), Request::Query(key));
                    }
                }
                KeyAction::Reply(request, reply) => self.answer(request, Answer::Called(reply)),
            }
        }
    }

    fn record_key(&mut self, record: &KeyRecord) {
        let (written, failed) = match *record {
            KeyRecord::Intent { key, .. } => {
                (KeyEvent::IntentDurable(key), KeyEvent::IntentFailed(key))
            }
            KeyRecord::Outcome { key, .. } => {
                (KeyEvent::OutcomeDurable(key), KeyEvent::OutcomeFailed(key))
            }
        };
        if self.has(Mutation::SkipIntent) && matches!(record, KeyRecord::Intent { .. }) {
            self.key_event(written);
            return;
        }
        let events = [written, failed].map(Event::Key);
        if let Some(failed) = self.append(&key_shard(), record, events) {
            self.apply(failed);
        }
    }

    fn ask_slot(&mut self, request: RequestId, key: KeyDigest) {
        let owner = self.owners.owner(&call_shard());
        match owner.map(|owner| Node::Daemon(index_of(&owner.daemon))) {
            Some(owner) => self.ask(owner, Request::Slot(key, request)),
            None => self.key_event(not_run(key, NotRunReason::NoOwner)),
        }
    }

    /// Sends a call to the runner whose slot was granted.
    pub(crate) fn dispatch(&mut self, call: RunnerCall) {
        if self.owners.owned_epoch(&key_shard()).is_none() {
            self.return_slot(&call, GrantResult::Unused);
            self.key_event(not_run(call.key, NotRunReason::Fenced));
            return;
        }
        self.reach(Step::Dispatch, None);
        let runner = Node::Runner(index_of(&call.grant.runner));
        self.ask(runner, Request::Call(call));
    }

    pub(crate) fn return_slot(&mut self, call: &RunnerCall, result: GrantResult) {
        let message = Message::ReturnSlot(call.epoch, call.grant.grant, result);
        self.send(call.granted_by, message);
    }

    pub(crate) fn end_call(&mut self, call: &RunnerCall, event: KeyEvent) {
        let result = match &event {
            KeyEvent::CallEnded(_, CallOutcome::Completed(_)) => GrantResult::Answered,
            KeyEvent::CallEnded(_, CallOutcome::NotRun(_)) => GrantResult::Rejected,
            _ => GrantResult::Failed,
        };
        self.return_slot(call, result);
        self.key_event(event);
    }

    /// Passes on the first answer that knows the key, or that none does.
    pub(crate) fn end_query(&mut self, key: KeyDigest, event: KeyEvent) {
        let is_query = |call: &PendingCall| matches!(call.request, Request::Query(k) if k == key);
        let unknown = matches!(event, KeyEvent::RunnerAnswered(_, RunnerAnswer::NotKnown));
        if unknown && self.calls.values().any(is_query) {
            return;
        }
        self.calls.retain(|_, call| !is_query(call));
        self.key_event(event);
    }

    /// Tells whether calls of this daemon are open, which a drain waits for.
    pub(crate) fn has_open_calls(&self) -> bool {
        let mut calls = self.calls.values();
        calls.any(|call| matches!(call.request, Request::Slot(..) | Request::Call(_)))
    }

    /// Forgets calls whose shard is lost; a slot that is granted to them later
    /// is returned.
    pub(crate) fn lose_calls(&mut self, shard: &ShardName) {
        if *shard == key_shard() {
            self.keys = None;
            let is_slot = |call: &PendingCall| matches!(call.request, Request::Slot(..));
            self.calls.retain(|_, call| !is_slot(call));
        }
        if *shard == call_shard() {
            self.call_owner = None;
            self.asked.clear();
        }
    }
}

/// The owner of the call shard.
impl Daemon {
    pub(crate) fn open_calls(&mut self, epoch: Epoch) {
        self.call_owner = Some(CallOwner {
            epoch,
            queue: CallQueue::new_at(CallConfig::default(), self.now),
        });
        let runners = (0..RUNNERS).map(|index| RunnerEntry::new(&format!("r{index}"), SLOTS));
        self.call_event(CallEvent::RunnersChanged(runners.collect()));
    }

    pub(crate) fn call_event(&mut self, event: CallEvent) {
        let Some(calls) = &mut self.call_owner else {
            return;
        };
        let epoch = calls.epoch;
        for action in calls.queue.handle(event, self.now) {
            let (request, result) = match action {
                CallAction::Grant(grant) => (grant.request, Ok(grant)),
                CallAction::Reject(request, reason) => (request, Err(reason)),
                CallAction::Redirect(request, _) => (request, Err(NotRunReason::NoTarget)),
                // There is no other zone to borrow from.
                CallAction::SendLoan(..) => continue,
            };
            if let Some((to, id, key)) = self.asked.remove(&request) {
                let event = match result {
                    Ok(grant) => Event::Granted(RunnerCall {
                        key,
                        epoch,
                        grant,
                        granted_by: Node::Daemon(index_of(&self.name)),
                    }),
                    Err(reason) => Event::Key(not_run(key, reason)),
                };
                self.send(to, Message::Reply(id, event));
            }
        }
    }

    /// Tells whether a call runs in a slot, whose grant can arrive twice.
    pub(crate) fn uses(&self, call: &RunnerCall) -> bool {
        let mut requests = self.calls.values().map(|pending| &pending.request);
        requests
            .any(|request| matches!(request, Request::Call(running) if running.grant == call.grant))
    }

    /// Queues the request of a slot.
    pub(crate) fn queue_call(&mut self, asked: (Node, CallId, KeyDigest), request: RequestId) {
        let (from, id, key) = asked;
        if self.owners.phase(&call_shard()) != Some(ShardPhase::Active) {
            let event = Event::Key(not_run(key, NotRunReason::NoOwner));
            self.send(from, Message::Reply(id, event));
            return;
        }
        // A request that arrives twice waits once.
        if self.asked.insert(request, asked).is_some() {
            return;
        }
        self.reach(Step::Choose, None);
        let mut call = CallRequest::new(request, Duration::from_millis(800));
        if let Node::Daemon(index) = from {
            call.requester = Some(daemon_name(index));
        }
        self.call_event(CallEvent::Requested(call));
    }

    pub(crate) fn granted_len(&self) -> usize {
        let owner = self.call_owner.as_ref();
        owner.map_or(0, |calls| calls.queue.granted_len())
    }

    pub(crate) fn take_back(&mut self, epoch: Epoch, grant: GrantId, result: GrantResult) {
        let calls = self.call_owner.as_ref();
        if calls.is_some_and(|calls| calls.epoch == epoch) {
            self.call_event(CallEvent::Returned(grant, result));
        }
    }
}
