//! Keyed calls within a daemon: key shards, and the call shard with its slots.

use std::{collections::BTreeMap, time::Duration};

use auburnsaddle_core::{
    CallAction, CallConfig, CallEvent, CallOutcome, CallQueue, CallRequest, Epoch, GrantResult,
    JournalRecord, KeyAction, KeyConfig, KeyDigest, KeyEvent, KeyRecord, KeyReply, KeyRequest,
    KeyResponse, KeyTable, NotRunReason, RecordId, RecordKind, RequestId, RunnerAnswer,
    RunnerEntry, RunnerId, ShardName, SlotGrant, UnknownReason,
};

use super::{
    RUNNERS, SLOTS, call_shard,
    daemon::{Daemon, Outbox, Purpose, daemon_index},
    faults::{Mutation, Step},
    key_shard,
    network::{Answer, Message, Node},
    runner::{RunnerReply, RunnerRequest},
};

/// A slot that was granted for a key.
#[derive(Clone, Debug)]
pub(crate) struct GrantedSlot {
    pub(crate) owner: Node,
    pub(crate) epoch: Epoch,
    pub(crate) grant: SlotGrant,
}

pub(crate) struct KeyOwner {
    table: KeyTable,
    slots: BTreeMap<KeyDigest, GrantedSlot>,
    fingerprints: BTreeMap<KeyDigest, KeyDigest>,
    /// Runners that have not answered yet, by the key they were asked about.
    queries: BTreeMap<KeyDigest, usize>,
}

pub(crate) struct CallOwner {
    epoch: Epoch,
    queue: CallQueue,
    asked: BTreeMap<RequestId, (Node, u64)>,
}

fn runner_index(name: &RunnerId) -> usize {
    name[1..].parse().unwrap_or_default()
}

impl Daemon {
    pub(crate) fn open_keys(&mut self, records: &[JournalRecord], out: &Outbox) {
        let records = records.iter().map(|record| {
            serde_json::from_slice(&record.payload).expect("a record that a daemon wrote")
        });
        let records: Vec<KeyRecord> = records.collect();
        self.keys = Some(KeyOwner {
            table: KeyTable::replay(KeyConfig::default(), records, out.local),
            slots: BTreeMap::new(),
            fingerprints: BTreeMap::new(),
            queries: BTreeMap::new(),
        });
    }

    pub(crate) fn open_calls(&mut self, epoch: Epoch, out: &mut Outbox) {
        let config = CallConfig::default();
        self.call_owner = Some(CallOwner {
            epoch,
            queue: CallQueue::acquired(config, out.local),
            asked: BTreeMap::new(),
        });
        let runners = (0..RUNNERS).map(|index| RunnerEntry::new(&format!("r{index}"), SLOTS));
        self.call_event(CallEvent::RunnersChanged(runners.collect()), out);
    }

    /// Serves a keyed call or passes it on, once, to the owner of its key.
    pub(crate) fn route_call(&mut self, from: Node, request: KeyRequest, out: &mut Outbox) {
        let owner = self.owners.owner(&key_shard());
        let owner = owner.map(|record| record.daemon.clone());
        match owner {
            _ if self.is_active(&key_shard()) => {
                out.reach(Step::Accept, None);
                if let Some(keys) = &mut self.keys {
                    keys.fingerprints.insert(request.key, request.fingerprint);
                }
                self.key_event(KeyEvent::Requested(request), out);
            }
            Some(owner) if from == Node::Caller && owner != self.name => {
                let to = Node::Daemon(daemon_index(&owner));
                out.send(to, Message::Call(request));
            }
            _ => {
                let reply = KeyReply::NotRun(NotRunReason::NoOwner);
                out.answer(request.request, Answer::Called(reply));
            }
        }
    }

    pub(crate) fn key_event(&mut self, event: KeyEvent, out: &mut Outbox) {
        let Some(keys) = &mut self.keys else {
            return;
        };
        for action in keys.table.handle(event, out.local) {
            self.key_action(action, out);
        }
    }

    fn key_action(&mut self, action: KeyAction, out: &mut Outbox) {
        match action {
            KeyAction::Record(record) => self.record_key(&record, out),
            KeyAction::Dispatch(request, key) => self.ask_slot(request, key, out),
            KeyAction::QueryRunners(_, key) => self.query_runners(key, out),
            KeyAction::Reply(request, reply) => out.answer(request, Answer::Called(reply)),
        }
    }

    fn query_runners(&mut self, key: KeyDigest, out: &mut Outbox) {
        if let Some(keys) = &mut self.keys {
            keys.queries.insert(key, RUNNERS);
        }
        for index in 0..RUNNERS {
            let to = Node::Runner(index);
            let id = self.note_call(to, Purpose::Query(key), out);
            out.send(to, Message::AskRunner(id, RunnerRequest::Query(key)));
        }
    }

    /// Passes on the first answer that knows the key, or that none does.
    fn note_query(&mut self, key: KeyDigest, answer: RunnerAnswer, out: &mut Outbox) {
        let Some(keys) = &mut self.keys else {
            return;
        };
        let Some(pending) = keys.queries.get_mut(&key) else {
            return;
        };
        *pending -= 1;
        if answer == RunnerAnswer::NotKnown && *pending > 0 {
            return;
        }
        keys.queries.remove(&key);
        self.key_event(KeyEvent::RunnerAnswered(key, answer), out);
    }

    fn ask_slot(&mut self, request: RequestId, key: KeyDigest, out: &mut Outbox) {
        let owner = self.owners.owner(&call_shard());
        let Some(owner) = owner.map(|record| daemon_index(&record.daemon)) else {
            self.end_unrun(key, NotRunReason::NoOwner, out);
            return;
        };
        let to = Node::Daemon(owner);
        let id = self.note_call(to, Purpose::Slot(key, request), out);
        out.send(to, Message::AskSlot(id, request));
    }

    fn end_unrun(&mut self, key: KeyDigest, reason: NotRunReason, out: &mut Outbox) {
        let outcome = CallOutcome::NotRun(reason);
        self.key_event(KeyEvent::CallEnded(key, outcome), out);
    }

    fn record_key(&mut self, record: &KeyRecord, out: &mut Outbox) {
        let (key, kind) = match record {
            KeyRecord::Intent { key, .. } => (*key, RecordKind::KeyIntent),
            KeyRecord::Outcome { key, .. } => (*key, RecordKind::KeyOutcome),
        };
        let skipped = self.mutation == Some(Mutation::SkipIntent) && kind == RecordKind::KeyIntent;
        if skipped {
            self.key_event(KeyEvent::IntentDurable(key), out);
            return;
        }
        let payload = serde_json::to_vec(record).expect("a record has only text keys");
        match self
            .log
            .append(&key_shard(), JournalRecord { kind, payload })
        {
            Ok(number) => {
                self.key_records.insert(number, (key, kind));
            }
            Err(_) => self.key_event(failed(key, kind), out),
        }
    }

    /// Reports written or failed records of keys.
    pub(crate) fn key_recorded(&mut self, numbers: &[RecordId], durable: bool, out: &mut Outbox) {
        for number in numbers {
            match self.key_records.remove(number) {
                Some((key, RecordKind::KeyIntent)) if durable => {
                    self.key_event(KeyEvent::IntentDurable(key), out);
                }
                Some((key, _)) if durable => self.key_event(KeyEvent::OutcomeDurable(key), out),
                Some((key, kind)) => self.key_event(failed(key, kind), out),
                None => {}
            }
        }
    }

    fn dispatch_call(&mut self, request: RequestId, key: KeyDigest, out: &mut Outbox) {
        let active = self.owners.owned_epoch(&key_shard()).is_some();
        let slot = self.keys.as_ref().and_then(|keys| {
            let slot = keys.slots.get(&key)?.clone();
            Some((slot, *keys.fingerprints.get(&key)?))
        });
        let Some((slot, fingerprint)) = slot.filter(|_| active) else {
            self.return_slot(key, GrantResult::Unused, out);
            self.end_unrun(key, NotRunReason::Fenced, out);
            return;
        };
        out.reach(Step::Dispatch, None);
        let to = Node::Runner(runner_index(&slot.grant.runner));
        let id = self.note_call(to, Purpose::Dispatch(key), out);
        let call = RunnerRequest::Call {
            epoch: slot.epoch,
            request,
            key,
            fingerprint,
        };
        out.send(to, Message::AskRunner(id, call));
    }

    fn return_slot(&mut self, key: KeyDigest, result: GrantResult, out: &mut Outbox) {
        let slot = self.keys.as_mut().and_then(|keys| keys.slots.remove(&key));
        if let Some(slot) = slot {
            let message = Message::ReturnSlot(slot.epoch, slot.grant.grant, result);
            out.send(slot.owner, message);
        }
    }

    pub(crate) fn runner_answered(
        &mut self,
        purpose: Purpose,
        reply: RunnerReply,
        out: &mut Outbox,
    ) {
        match (purpose, reply) {
            (Purpose::Dispatch(key), RunnerReply::Response(body)) => {
                self.return_slot(key, GrantResult::Answered, out);
                let body = Some(body);
                let response = KeyResponse {
                    status: 200,
                    content_type: None,
                    body,
                };
                let outcome = CallOutcome::Completed(response);
                self.key_event(KeyEvent::CallEnded(key, outcome), out);
            }
            (Purpose::Dispatch(key), _) => {
                self.return_slot(key, GrantResult::Rejected, out);
                let outcome = CallOutcome::NotRun(NotRunReason::RejectedByTarget);
                self.key_event(KeyEvent::CallEnded(key, outcome), out);
            }
            (Purpose::Query(key), reply) => {
                let answer = match reply {
                    RunnerReply::Response(body) => RunnerAnswer::Completed(KeyResponse {
                        content_type: None,
                        status: 200,
                        body: Some(body),
                    }),
                    RunnerReply::Running => RunnerAnswer::Running,
                    RunnerReply::Rejected | RunnerReply::NotKnown => RunnerAnswer::NotKnown,
                };
                self.note_query(key, answer, out);
            }
            _ => {}
        }
    }

    /// A request about a call was not answered.
    pub(crate) fn call_failed(&mut self, purpose: &Purpose, out: &mut Outbox) {
        match *purpose {
            Purpose::Slot(key, _) => self.end_unrun(key, NotRunReason::NoOwner, out),
            Purpose::Dispatch(key) => {
                self.return_slot(key, GrantResult::Failed, out);
                let outcome = if self.mutation == Some(Mutation::RetryUnknown) {
                    CallOutcome::NotRun(NotRunReason::TargetUnreachable)
                } else {
                    CallOutcome::Unknown(UnknownReason::DeadlinePassed)
                };
                self.key_event(KeyEvent::CallEnded(key, outcome), out);
            }
            Purpose::Query(key) => {
                self.note_query(key, RunnerAnswer::NotKnown, out);
            }
            _ => {}
        }
    }

    /// Tells whether calls of this daemon are open, which a drain waits for.
    pub(crate) fn has_open_calls(&self) -> bool {
        let mut calls = self.calls.values();
        calls.any(|call| matches!(call.purpose, Purpose::Slot(..) | Purpose::Dispatch(_)))
    }
}

fn failed(key: KeyDigest, kind: RecordKind) -> KeyEvent {
    match kind {
        RecordKind::KeyIntent => KeyEvent::IntentFailed(key),
        _ => KeyEvent::OutcomeFailed(key),
    }
}

/// The call shard.
impl Daemon {
    pub(crate) fn call_event(&mut self, event: CallEvent, out: &mut Outbox) {
        let Some(calls) = &mut self.call_owner else {
            return;
        };
        for action in calls.queue.handle(event, out.local) {
            let (request, result) = match action {
                CallAction::Grant(grant) => (grant.request, Ok((calls.epoch, grant))),
                CallAction::Reject(request, reason) => (request, Err(reason)),
                CallAction::Redirect(request, _) => (request, Err(NotRunReason::NoTarget)),
                // There is no other zone to borrow from.
                CallAction::SendLoan(..) => continue,
            };
            if let Some((to, id)) = calls.asked.remove(&request) {
                out.send(to, Message::Slot(id, result));
            }
        }
    }

    pub(crate) fn slot_asked(&mut self, from: Node, id: u64, request: RequestId, out: &mut Outbox) {
        if !self.is_active(&call_shard()) {
            out.send(from, Message::Slot(id, Err(NotRunReason::NoOwner)));
            return;
        }
        out.reach(Step::Choose, None);
        if let Some(calls) = &mut self.call_owner {
            calls.asked.insert(request, (from, id));
        }
        let call = CallRequest::new(request, Duration::from_millis(800));
        self.call_event(CallEvent::Requested(call), out);
    }

    pub(crate) fn slot_answered(
        &mut self,
        from: Node,
        id: u64,
        result: Result<(Epoch, SlotGrant), NotRunReason>,
        out: &mut Outbox,
    ) {
        let call = self.calls.remove(&id);
        match (call.map(|call| call.purpose), result) {
            (Some(Purpose::Slot(key, request)), Ok((epoch, grant))) => {
                let owner = from;
                let slot = GrantedSlot {
                    owner,
                    epoch,
                    grant,
                };
                if let Some(keys) = &mut self.keys {
                    keys.slots.insert(key, slot);
                }
                self.dispatch_call(request, key, out);
            }
            (Some(Purpose::Slot(key, _)), Err(reason)) => self.end_unrun(key, reason, out),
            (_, Ok((epoch, grant))) => {
                let message = Message::ReturnSlot(epoch, grant.grant, GrantResult::Unused);
                out.send(from, message);
            }
            (_, Err(_)) => {}
        }
    }

    pub(crate) fn slot_returned(
        &mut self,
        epoch: Epoch,
        grant: u64,
        result: GrantResult,
        out: &mut Outbox,
    ) {
        if self
            .call_owner
            .as_ref()
            .is_some_and(|calls| calls.epoch == epoch)
        {
            self.call_event(CallEvent::Returned(grant, result), out);
        }
    }

    pub(crate) fn lose_calls(&mut self, shard: &ShardName) {
        if *shard == key_shard() {
            self.keys = None;
        }
        if *shard == call_shard() {
            self.call_owner = None;
        }
    }
}
