//! The keys of the shards that this daemon owns.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use auburnsaddle_core::{
    CallOutcome, Epoch, JournalError, JournalRecord, KeyAction, KeyConfig, KeyDigest, KeyEvent,
    KeyRecord, KeyReply, KeyResponse, KeyTable, NotRunReason, RecordId, RecordKind, RequestId,
    ShardName,
};
use tokio::sync::oneshot;

use super::messages::{
    KeyCommand, KeyEffect, KeyEffectKind, KeyedAnswer, KeyedCall, WholeResponse,
};
use crate::{
    journal::{ShardJournals, decode_payload, encode_payload},
    telemetry::trace_step,
};

/// A request that waits for its answer.
#[derive(Debug)]
pub(super) struct WaitingRequest {
    call: Arc<KeyedCall>,
    reply: oneshot::Sender<KeyedAnswer>,
}

/// One owned key shard.
#[derive(Debug)]
pub(super) struct OwnedKeys {
    pub(super) epoch: Epoch,
    /// Whether new requests are taken; not before activation and in a handover.
    pub(super) active: bool,
    pub(super) table: KeyTable,
    pub(super) waiting: BTreeMap<RequestId, WaitingRequest>,
    next_request: RequestId,
    /// Records that are not durable yet.
    pub(super) records: BTreeMap<RecordId, KeyEvents>,
    /// Whole responses until the outcome is recorded.
    responses: BTreeMap<KeyDigest, WholeResponse>,
}

/// The events that follow when a record is written or is not.
#[derive(Debug)]
pub(super) struct KeyEvents {
    durable: KeyEvent,
    failed: KeyEvent,
}

/// All key shards that this daemon owns.
#[derive(Debug, Default)]
pub(crate) struct KeyShards {
    pub(super) shards: BTreeMap<ShardName, OwnedKeys>,
}

impl KeyShards {
    /// Takes over the records of an acquired shard.
    ///
    /// # Errors
    ///
    /// Returns an error if a record is malformed; the shard must not be served.
    pub(crate) fn open(
        &mut self,
        shard: ShardName,
        epoch: Epoch,
        records: &[JournalRecord],
        now: Duration,
    ) -> Result<(), JournalError> {
        let records = records
            .iter()
            .map(|record| decode_payload(&record.payload))
            .collect::<Result<Vec<KeyRecord>, _>>()?;
        let owned = OwnedKeys {
            epoch,
            active: false,
            table: KeyTable::replay(KeyConfig::default(), records, now),
            waiting: BTreeMap::new(),
            next_request: 0,
            records: BTreeMap::new(),
            responses: BTreeMap::new(),
        };
        self.shards.insert(shard, owned);
        Ok(())
    }

    /// Takes new requests, or none during a handover.
    pub(crate) fn set_active(&mut self, shard: &ShardName, active: bool) {
        if let Some(owned) = self.shards.get_mut(shard) {
            owned.active = active;
        }
    }

    /// Tells whether no call of a shard is under way.
    pub(crate) fn is_idle(&self, shard: &ShardName) -> bool {
        let owned = self.shards.get(shard);
        owned.is_none_or(|owned| !owned.table.has_pending_call())
    }

    /// Drops a shard; its waiting requests are sent on to the next owner.
    pub(crate) fn remove_shard(&mut self, shard: &ShardName) {
        self.shards.remove(shard);
    }

    /// Applies a command of the traffic threads.
    pub(crate) fn handle(
        &mut self,
        command: KeyCommand,
        journals: &mut ShardJournals,
        now: Duration,
    ) -> Vec<KeyEffect> {
        match command {
            KeyCommand::Request { shard, call, reply } => match self.shards.get_mut(&shard) {
                Some(owned) if owned.active => trace_step(call.request(), || {
                    let event = owned.admit(call, reply);
                    owned.apply(&shard, event, journals, now)
                }),
                owned => {
                    // A handover ends soon; another daemon may have no owner.
                    let reason = match owned {
                        Some(_) => NotRunReason::Draining,
                        None => NotRunReason::NoOwner,
                    };
                    let answer = KeyedAnswer::without_headers(KeyReply::NotRun(reason));
                    // The requester may have gone away meanwhile.
                    let _ = reply.send(answer);
                    Vec::new()
                }
            },
            KeyCommand::Ended {
                shard,
                epoch,
                key,
                outcome,
            } => self.apply_at(&shard, epoch, journals, now, |owned| {
                KeyEvent::CallEnded(key, owned.keep_whole(key, outcome))
            }),
            KeyCommand::Answered {
                shard,
                epoch,
                key,
                answer,
            } => self.apply_at(&shard, epoch, journals, now, |_| {
                KeyEvent::RunnerAnswered(key, answer)
            }),
        }
    }

    /// Applies what follows from records that are in the store, or are not.
    pub(crate) fn apply_write_result(
        &mut self,
        shard: &ShardName,
        records: &[RecordId],
        durable: bool,
        journals: &mut ShardJournals,
        now: Duration,
    ) -> Vec<KeyEffect> {
        let Some(owned) = self.shards.get_mut(shard) else {
            return Vec::new();
        };
        let mut effects = Vec::new();
        for id in records {
            let Some(events) = owned.records.remove(id) else {
                continue;
            };
            let event = if durable {
                events.durable
            } else {
                events.failed
            };
            effects.extend(owned.apply(shard, event, journals, now));
        }
        effects
    }

    /// Returns the records that describe a shard.
    pub(crate) fn export(&self, shard: &ShardName) -> Vec<JournalRecord> {
        let owned = self.shards.get(shard);
        let records = owned.map(|owned| owned.table.snapshot());
        records.iter().flatten().map(journal_record).collect()
    }

    /// Notes whether the store takes records.
    pub(crate) fn set_store_available(
        &mut self,
        available: bool,
        journals: &mut ShardJournals,
        now: Duration,
    ) -> Vec<KeyEffect> {
        self.apply_all(&KeyEvent::StoreChanged { available }, journals, now)
    }

    /// Answers overdue requests and asks runners again.
    pub(crate) fn fire_timers(
        &mut self,
        journals: &mut ShardJournals,
        now: Duration,
    ) -> Vec<KeyEffect> {
        self.apply_all(&KeyEvent::TimerFired, journals, now)
    }

    fn apply_all(
        &mut self,
        event: &KeyEvent,
        journals: &mut ShardJournals,
        now: Duration,
    ) -> Vec<KeyEffect> {
        let mut effects = Vec::new();
        for (shard, owned) in &mut self.shards {
            effects.extend(owned.apply(shard, event.clone(), journals, now));
        }
        effects
    }

    /// Applies an event of one ownership; one of another epoch is late.
    fn apply_at<F: FnOnce(&mut OwnedKeys) -> KeyEvent>(
        &mut self,
        shard: &ShardName,
        epoch: Epoch,
        journals: &mut ShardJournals,
        now: Duration,
        event: F,
    ) -> Vec<KeyEffect> {
        let owned = self.shards.get_mut(shard);
        let Some(owned) = owned.filter(|owned| owned.epoch == epoch) else {
            return Vec::new();
        };
        let event = event(owned);
        owned.apply(shard, event, journals, now)
    }
}

impl OwnedKeys {
    fn admit(&mut self, call: KeyedCall, reply: oneshot::Sender<KeyedAnswer>) -> KeyEvent {
        // Callers may repeat a request with the same identifier, so requests
        // are told apart by a number of the shard.
        self.next_request += 1;
        let event = KeyEvent::Requested(call.key_request(self.next_request));
        let call = Arc::new(call);
        self.waiting
            .insert(self.next_request, WaitingRequest { call, reply });
        event
    }

    /// Keeps the whole response for the caller of the dispatched request.
    fn keep_whole(
        &mut self,
        key: KeyDigest,
        outcome: CallOutcome<WholeResponse>,
    ) -> CallOutcome<KeyResponse> {
        match outcome {
            CallOutcome::Completed(response) => {
                let kept = response.recorded();
                self.responses.insert(key, response);
                CallOutcome::Completed(kept)
            }
            CallOutcome::NotRun(reason) => CallOutcome::NotRun(reason),
            CallOutcome::Unknown(reason) => CallOutcome::Unknown(reason),
        }
    }

    /// Applies an event and those that follow from it at once.
    fn apply(
        &mut self,
        shard: &ShardName,
        event: KeyEvent,
        journals: &mut ShardJournals,
        now: Duration,
    ) -> Vec<KeyEffect> {
        let mut effects = Vec::new();
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let released = match event {
                KeyEvent::OutcomeDurable(key) | KeyEvent::OutcomeFailed(key) => Some(key),
                _ => None,
            };
            for action in self.table.handle(event, now) {
                match action {
                    KeyAction::Record(record) => {
                        events.extend(self.record(shard, &record, journals));
                    }
                    KeyAction::Dispatch(request, _) => {
                        effects.extend(self.effect(shard, request, KeyEffectKind::Dispatch));
                    }
                    KeyAction::QueryRunners(request, _) => {
                        effects.extend(self.effect(shard, request, KeyEffectKind::Query));
                    }
                    KeyAction::Reply(request, reply) => self.answer(request, reply),
                }
            }
            // The dispatched request may have been answered at its deadline.
            released.and_then(|key| self.responses.remove(&key));
        }
        effects
    }

    /// Appends a record; returns what follows if the journal rejects it.
    fn record(
        &mut self,
        shard: &ShardName,
        record: &KeyRecord,
        journals: &mut ShardJournals,
    ) -> Option<KeyEvent> {
        let events = match record {
            KeyRecord::Intent { key, .. } => KeyEvents {
                durable: KeyEvent::IntentDurable(*key),
                failed: KeyEvent::IntentFailed(*key),
            },
            KeyRecord::Outcome { key, .. } => KeyEvents {
                durable: KeyEvent::OutcomeDurable(*key),
                failed: KeyEvent::OutcomeFailed(*key),
            },
        };
        let JournalRecord { kind, payload } = journal_record(record);
        match journals.append(shard, kind, payload) {
            Ok(id) => {
                self.records.insert(id, events);
                None
            }
            Err(error) => {
                log::warn!("recording a key of shard {shard}: {error}");
                Some(events.failed)
            }
        }
    }

    fn effect(
        &self,
        shard: &ShardName,
        request: RequestId,
        kind: KeyEffectKind,
    ) -> Option<KeyEffect> {
        let waiting = self.waiting.get(&request)?;
        Some(KeyEffect {
            shard: shard.clone(),
            epoch: self.epoch,
            call: Arc::clone(&waiting.call),
            kind,
        })
    }

    fn answer(&mut self, request: RequestId, reply: KeyReply) {
        let Some(waiting) = self.waiting.remove(&request) else {
            return;
        };
        let answer = match reply {
            KeyReply::Completed(response) => self.whole_answer(&waiting.call, response),
            reply => KeyedAnswer::without_headers(reply),
        };
        // The requester may have gone away meanwhile.
        let _ = waiting.reply.send(answer);
    }

    /// Returns the answer to the dispatched request, with its whole body.
    fn whole_answer(&mut self, call: &KeyedCall, response: KeyResponse) -> KeyedAnswer {
        let whole = self.responses.remove(&call.key_digest());
        match whole {
            Some(whole) if whole.body.is_some() => {
                let response = KeyResponse {
                    body: whole.body,
                    ..response
                };
                KeyedAnswer::with_headers(KeyReply::Completed(response), whole.headers)
            }
            _ if response.body.is_some() => {
                KeyedAnswer::without_headers(KeyReply::Completed(response))
            }
            _ => KeyedAnswer::without_headers(KeyReply::BodyDropped(response.status)),
        }
    }
}

fn journal_record(record: &KeyRecord) -> JournalRecord {
    let kind = match record {
        KeyRecord::Intent { .. } => RecordKind::KeyIntent,
        KeyRecord::Outcome { .. } => RecordKind::KeyOutcome,
    };
    let payload = encode_payload(record);
    JournalRecord { kind, payload }
}
