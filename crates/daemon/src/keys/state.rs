//! The key shards that this daemon owns, on its control thread.

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
    BufferedResponse, KeyCommand, KeyEffect, KeyEffectKind, KeyedAnswer, KeyedCall,
};
use crate::{
    journal::{ShardJournals, decode_payload, encode_payload},
    telemetry::trace_function,
};

/// A request that waits for its answer.
#[derive(Debug)]
pub(super) struct WaitingRequest {
    call: Arc<KeyedCall>,
    reply: oneshot::Sender<KeyedAnswer>,
}

/// An owned key shard.
#[derive(Debug)]
pub(super) struct OwnedKeys {
    /// The epoch of the ownership.
    pub(super) epoch: Epoch,
    /// Whether new requests are accepted. False before the activation and during a
    /// handover.
    pub(super) is_active: bool,
    pub(super) table: KeyTable,
    /// Requests without an answer, by their number in this shard.
    pub(super) waiting: BTreeMap<RequestId, WaitingRequest>,
    /// The number of the last request of this shard.
    last_request: RequestId,
    /// Events of the records that are not durable yet.
    pub(super) pending_records: BTreeMap<RecordId, RecordEvents>,
    /// Responses of runners with headers and body, kept until the outcome is durable or
    /// its write has failed.
    responses: BTreeMap<KeyDigest, BufferedResponse>,
}

/// The events to apply when a record is durable and when its write fails.
#[derive(Debug)]
pub(super) struct RecordEvents {
    durable: KeyEvent,
    failed: KeyEvent,
}

/// All key shards that this daemon owns.
#[derive(Debug, Default)]
pub(crate) struct KeyShards {
    pub(super) shards: BTreeMap<ShardName, OwnedKeys>,
}

impl KeyShards {
    /// Adds an acquired shard and rebuilds its key table from its journal records.
    ///
    /// # Errors
    ///
    /// Returns an error if a record is malformed. The shard must not be served then.
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
            is_active: false,
            table: KeyTable::replay(KeyConfig::default(), records, now),
            waiting: BTreeMap::new(),
            last_request: 0,
            pending_records: BTreeMap::new(),
            responses: BTreeMap::new(),
        };
        self.shards.insert(shard, owned);
        Ok(())
    }

    /// Sets whether a shard accepts new requests.
    pub(crate) fn set_active(&mut self, shard: &ShardName, active: bool) {
        if let Some(owned) = self.shards.get_mut(shard) {
            owned.is_active = active;
        }
    }

    /// Returns whether a shard has no pending call, so that it can be handed over.
    pub(crate) fn is_idle(&self, shard: &ShardName) -> bool {
        let owned = self.shards.get(shard);
        owned.is_none_or(|owned| !owned.table.has_pending_call())
    }

    /// Removes a shard. Its waiting requests are forwarded to the next owner by the
    /// daemons that received them.
    pub(crate) fn drop_shard(&mut self, shard: &ShardName) {
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
                Some(owned) if owned.is_active => trace_function(call.request(), || {
                    let event = owned.register_request(call, reply);
                    owned.apply(&shard, event, journals, now)
                }),
                owned => {
                    // Draining makes the requester retry for the whole time limit of
                    // the call, NoOwner only for the time limit without an owner.
                    let reason = match owned {
                        Some(_) => NotRunReason::Draining,
                        None => NotRunReason::NoOwner,
                    };
                    let answer = KeyedAnswer::without_headers(KeyReply::NotRun(reason));
                    // The send fails if the requester has stopped waiting.
                    let _ = reply.send(answer);
                    Vec::new()
                }
            },
            KeyCommand::Ended {
                shard,
                epoch,
                key,
                outcome,
            } => self.apply_if_current(&shard, epoch, journals, now, |owned| {
                KeyEvent::CallEnded(key, owned.retain_response(key, outcome))
            }),
            KeyCommand::Answered {
                shard,
                epoch,
                key,
                answer,
            } => self.apply_if_current(&shard, epoch, journals, now, |_| {
                KeyEvent::RunnerAnswered(key, answer)
            }),
        }
    }

    /// Applies the events of records that are durable, or whose write has failed.
    pub(crate) fn apply_write_result(
        &mut self,
        shard: &ShardName,
        records: &[RecordId],
        is_durable: bool,
        journals: &mut ShardJournals,
        now: Duration,
    ) -> Vec<KeyEffect> {
        let Some(owned) = self.shards.get_mut(shard) else {
            return Vec::new();
        };
        let mut effects = Vec::new();
        for id in records {
            let Some(events) = owned.pending_records.remove(id) else {
                continue;
            };
            let event = if is_durable {
                events.durable
            } else {
                events.failed
            };
            effects.extend(owned.apply(shard, event, journals, now));
        }
        effects
    }

    /// Returns journal records from which the key table of a shard can be rebuilt.
    pub(crate) fn export(&self, shard: &ShardName) -> Vec<JournalRecord> {
        let owned = self.shards.get(shard);
        let records = owned.map(|owned| owned.table.snapshot());
        records.iter().flatten().map(journal_record).collect()
    }

    /// Sets whether the store accepts records.
    pub(crate) fn set_store_available(
        &mut self,
        available: bool,
        journals: &mut ShardJournals,
        now: Duration,
    ) -> Vec<KeyEffect> {
        self.apply_all(&KeyEvent::StoreChanged { available }, journals, now)
    }

    /// Answers requests whose deadline has passed, and repeats queries of runners.
    pub(crate) fn fire_timers(
        &mut self,
        journals: &mut ShardJournals,
        now: Duration,
    ) -> Vec<KeyEffect> {
        self.apply_all(&KeyEvent::TimerFired, journals, now)
    }

    /// Applies an event to all shards.
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

    /// Applies an event if its epoch is that of the current ownership. An event of
    /// another epoch is stale and has no effect.
    fn apply_if_current<F: FnOnce(&mut OwnedKeys) -> KeyEvent>(
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
    /// Adds a request to the waiting requests and returns its event.
    fn register_request(
        &mut self,
        call: KeyedCall,
        reply: oneshot::Sender<KeyedAnswer>,
    ) -> KeyEvent {
        // Callers can send several requests with the same identifier, so requests
        // are distinguished by a number within the shard.
        self.last_request += 1;
        let event = KeyEvent::Requested(call.key_request(self.last_request));
        let call = Arc::new(call);
        self.waiting
            .insert(self.last_request, WaitingRequest { call, reply });
        event
    }

    /// Retains the complete response for the dispatched request and returns the outcome
    /// to record.
    fn retain_response(
        &mut self,
        key: KeyDigest,
        outcome: CallOutcome<BufferedResponse>,
    ) -> CallOutcome<KeyResponse> {
        match outcome {
            CallOutcome::Completed(response) => {
                let recorded = response.to_key_response();
                self.responses.insert(key, response);
                CallOutcome::Completed(recorded)
            }
            CallOutcome::NotRun(reason) => CallOutcome::NotRun(reason),
            CallOutcome::Unknown(reason) => CallOutcome::Unknown(reason),
        }
    }

    /// Applies an event and the events that result from rejected journal appends.
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
            let settled_key = match event {
                KeyEvent::OutcomeDurable(key) | KeyEvent::OutcomeFailed(key) => Some(key),
                _ => None,
            };
            for action in self.table.handle(event, now) {
                match action {
                    KeyAction::Record(record) => {
                        events.extend(self.append_record(shard, &record, journals));
                    }
                    KeyAction::Dispatch(request, _) => {
                        effects.extend(self.build_effect(shard, request, KeyEffectKind::Dispatch));
                    }
                    KeyAction::QueryRunners(request, _) => {
                        effects.extend(self.build_effect(shard, request, KeyEffectKind::Query));
                    }
                    KeyAction::Reply(request, reply) => self.send_answer(request, reply),
                }
            }
            // Usually the response left with the answer, but the dispatched request
            // may have been answered earlier, at its deadline.
            settled_key.and_then(|key| self.responses.remove(&key));
        }
        effects
    }

    /// Appends a record to the journal. Returns the event to apply if the journal
    /// rejects it.
    fn append_record(
        &mut self,
        shard: &ShardName,
        record: &KeyRecord,
        journals: &mut ShardJournals,
    ) -> Option<KeyEvent> {
        let events = match record {
            KeyRecord::Intent { key, .. } => RecordEvents {
                durable: KeyEvent::IntentDurable(*key),
                failed: KeyEvent::IntentFailed(*key),
            },
            KeyRecord::Outcome { key, .. } => RecordEvents {
                durable: KeyEvent::OutcomeDurable(*key),
                failed: KeyEvent::OutcomeFailed(*key),
            },
        };
        let JournalRecord { kind, payload } = journal_record(record);
        match journals.append(shard, kind, payload) {
            Ok(id) => {
                self.pending_records.insert(id, events);
                None
            }
            Err(error) => {
                log::warn!("appending a record of shard {shard} to the journal failed: {error}");
                Some(events.failed)
            }
        }
    }

    /// Returns an effect for a request, unless it was answered already.
    fn build_effect(
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

    /// Sends the answer of a waiting request.
    fn send_answer(&mut self, request: RequestId, reply: KeyReply) {
        let Some(waiting) = self.waiting.remove(&request) else {
            return;
        };
        let answer = match reply {
            KeyReply::Completed(response) => self.completed_answer(&waiting.call, response),
            reply => KeyedAnswer::without_headers(reply),
        };
        // The send fails if the requester has stopped waiting.
        let _ = waiting.reply.send(answer);
    }

    /// Returns the answer to the dispatched request, with the complete body and the
    /// headers if they are still in memory.
    fn completed_answer(&mut self, call: &KeyedCall, response: KeyResponse) -> KeyedAnswer {
        let buffered = self.responses.remove(&call.key_digest());
        match buffered {
            Some(buffered) if buffered.body.is_some() => {
                let response = KeyResponse {
                    body: buffered.body,
                    ..response
                };
                KeyedAnswer::with_headers(KeyReply::Completed(response), buffered.headers)
            }
            _ if response.body.is_some() => {
                KeyedAnswer::without_headers(KeyReply::Completed(response))
            }
            _ => KeyedAnswer::without_headers(KeyReply::BodyDropped(response.status)),
        }
    }
}

/// Encodes a key record for the journal.
fn journal_record(record: &KeyRecord) -> JournalRecord {
    let kind = match record {
        KeyRecord::Intent { .. } => RecordKind::KeyIntent,
        KeyRecord::Outcome { .. } => RecordKind::KeyOutcome,
    };
    let payload = encode_payload(record);
    JournalRecord { kind, payload }
}
