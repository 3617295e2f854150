//! The keyed-call parts of a daemon: the key shard, and the call shard that
//! grants runner slots.

use super::prelude::*;

pub(crate) struct CallOwner {
    epoch: Epoch,
    queue: CallQueue,
}

const fn not_run(key: KeyDigest, reason: NotRunReason) -> KeyEvent {
    KeyEvent::CallEnded(key, CallOutcome::NotRun(reason))
}

/// Handlers of the key shard.
impl Daemon {
    pub(crate) fn open_key_table(&mut self, records: &[JournalRecord]) {
        let records = decode_all(records);
        self.keys = Some(KeyTable::replay(KeyConfig::default(), records, self.now));
    }

    pub(crate) fn handle_key_event(&mut self, event: KeyEvent) {
        let Some(keys) = &mut self.keys else {
            return;
        };
        for action in keys.handle(event, self.now) {
            match action {
                KeyAction::Record(record) => self.record_key(&record),
                KeyAction::Dispatch(request, key) => self.request_slot(request, key),
                KeyAction::QueryRunners(_, key) => {
                    for index in 0..RUNNERS {
                        self.request(Node::Runner(index), Request::Query(key));
                    }
                }
                KeyAction::Reply(request, reply) => self.respond(request, Answer::Called(reply)),
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
            self.handle_key_event(written);
            return;
        }
        let events = [written, failed].map(Event::Key);
        if let Some(failed) = self.append_record(&key_shard(), record, events) {
            self.apply(failed);
        }
    }

    fn request_slot(&mut self, request: RequestId, key: KeyDigest) {
        let owner = self.owners.owner(&call_shard());
        match owner.map(|owner| Node::Daemon(name_index(&owner.daemon))) {
            Some(owner) => self.request(owner, Request::Slot(key, request)),
            None => self.handle_key_event(not_run(key, NotRunReason::NoOwner)),
        }
    }

    /// Sends a call to the runner whose slot was granted.
    pub(crate) fn dispatch(&mut self, call: RunnerCall) {
        if self.owners.owned_epoch(&key_shard()).is_none() {
            self.return_slot(&call, GrantResult::Unused);
            self.handle_key_event(not_run(call.key, NotRunReason::Fenced));
            return;
        }
        self.report_step(Step::Dispatch, None);
        let runner = Node::Runner(name_index(&call.grant.runner));
        self.request(runner, Request::Call(call));
    }

    pub(crate) fn return_slot(&mut self, call: &RunnerCall, result: GrantResult) {
        let message = Message::ReturnSlot(call.epoch, call.grant.grant, result);
        self.send(call.granted_by, message);
    }

    pub(crate) fn complete_call(&mut self, call: &RunnerCall, event: KeyEvent) {
        let result = match &event {
            KeyEvent::CallEnded(_, CallOutcome::Completed(_)) => GrantResult::Answered,
            KeyEvent::CallEnded(_, CallOutcome::NotRun(_)) => GrantResult::Rejected,
            _ => GrantResult::Failed,
        };
        self.return_slot(call, result);
        self.handle_key_event(event);
    }

    /// Reports the first answer of a runner that knows the key, or, after all
    /// runners have answered, that none does.
    pub(crate) fn complete_query(&mut self, key: KeyDigest, event: KeyEvent) {
        let is_query = |rpc: &PendingRpc| matches!(rpc.request, Request::Query(k) if k == key);
        let unknown = matches!(event, KeyEvent::RunnerAnswered(_, RunnerAnswer::NotKnown));
        if unknown && self.pending_rpcs.values().any(is_query) {
            return;
        }
        self.pending_rpcs.retain(|_, rpc| !is_query(rpc));
        self.handle_key_event(event);
    }

    /// Returns whether this daemon has open calls; a drain waits for them.
    pub(crate) fn has_open_calls(&self) -> bool {
        let mut rpcs = self.pending_rpcs.values();
        rpcs.any(|rpc| matches!(rpc.request, Request::Slot(..) | Request::Call(_)))
    }

    /// Discards the state of a shard that this daemon no longer owns. Slots
    /// granted later to the discarded requests are returned unused.
    pub(crate) fn discard_shard_calls(&mut self, shard: &ShardName) {
        if *shard == key_shard() {
            self.keys = None;
            let is_slot = |rpc: &PendingRpc| matches!(rpc.request, Request::Slot(..));
            self.pending_rpcs.retain(|_, rpc| !is_slot(rpc));
        }
        if *shard == call_shard() {
            self.call_owner = None;
            self.slot_requests.clear();
        }
    }
}

/// Handlers of the call shard.
impl Daemon {
    pub(crate) fn open_call_queue(&mut self, epoch: Epoch) {
        self.call_owner = Some(CallOwner {
            epoch,
            queue: CallQueue::new_at(CallConfig::default(), self.now),
        });
        let runners =
            (0..RUNNERS).map(|index| RunnerEntry::new(&format!("r{index}"), SLOTS_PER_RUNNER));
        self.handle_call_event(CallEvent::RunnersChanged(runners.collect()));
    }

    pub(crate) fn handle_call_event(&mut self, event: CallEvent) {
        let Some(owner) = &mut self.call_owner else {
            return;
        };
        let epoch = owner.epoch;
        for action in owner.queue.handle(event, self.now) {
            let (request, result) = match action {
                CallAction::Grant(grant) => (grant.request, Ok(grant)),
                CallAction::Reject(request, reason) => (request, Err(reason)),
                CallAction::Redirect(request, _) => (request, Err(NotRunReason::NoTarget)),
                // The cell has no second zone to borrow slots from.
                CallAction::SendLoan(..) => continue,
            };
            if let Some((to, id, key)) = self.slot_requests.remove(&request) {
                let event = match result {
                    Ok(grant) => Event::Granted(RunnerCall {
                        key,
                        epoch,
                        grant,
                        granted_by: Node::Daemon(name_index(&self.name)),
                    }),
                    Err(reason) => Event::Key(not_run(key, reason)),
                };
                self.send(to, Message::Reply(id, event));
            }
        }
    }

    /// Returns whether a call already uses the slot: a duplicate of its grant
    /// must not return the slot.
    pub(crate) fn has_running_call(&self, call: &RunnerCall) -> bool {
        let mut requests = self.pending_rpcs.values().map(|rpc| &rpc.request);
        requests
            .any(|request| matches!(request, Request::Call(running) if running.grant == call.grant))
    }

    /// Enqueues a request for a slot, or rejects it if the shard is not active
    /// here.
    pub(crate) fn enqueue_call(&mut self, origin: (Node, RpcId, KeyDigest), request: RequestId) {
        let (from, id, key) = origin;
        if self.owners.phase(&call_shard()) != Some(ShardPhase::Active) {
            let event = Event::Key(not_run(key, NotRunReason::NoOwner));
            self.send(from, Message::Reply(id, event));
            return;
        }
        // A duplicate of a waiting request is ignored.
        if self.slot_requests.insert(request, origin).is_some() {
            return;
        }
        self.report_step(Step::Choose, None);
        let mut call = CallRequest::new(request, Duration::from_millis(800));
        if let Node::Daemon(index) = from {
            call.requester = Some(daemon_name(index));
        }
        self.handle_call_event(CallEvent::Requested(call));
    }

    pub(crate) fn granted_slot_count(&self) -> usize {
        let owner = self.call_owner.as_ref();
        owner.map_or(0, |owner| owner.queue.granted_len())
    }

    pub(crate) fn release_slot(&mut self, epoch: Epoch, grant: GrantId, result: GrantResult) {
        let owner = self.call_owner.as_ref();
        if owner.is_some_and(|owner| owner.epoch == epoch) {
            self.handle_call_event(CallEvent::Returned(grant, result));
        }
    }
}
