//! The keys of one key shard.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use super::{
    entry::{KeyEntry, KeyPhase, KeyWaiter},
    messages::{
        KeyAction, KeyDigest, KeyEvent, KeyOutcome, KeyRecord, KeyReply, KeyRequest, KeyResponse,
        RunnerAnswer,
    },
};
use crate::types::{CallOutcome, NotRunReason, UnknownReason};

/// Interval of the queries for a call that is still running.
const QUERY_INTERVAL: Duration = Duration::from_secs(1);

/// Limits of a key shard.
#[derive(Clone, Copy, Debug)]
pub struct KeyConfig {
    /// Time for which a key is kept after its call has ended or become unknown.
    pub retention: Duration,
    /// Maximum number of keys of a shard; with 32 shards a region holds 524,288.
    pub key_limit: usize,
    /// Maximum size of a body that is kept, with its content type.
    pub max_body_bytes: usize,
    /// Maximum size of all kept bodies of a shard, with their content types.
    pub max_total_body_bytes: usize,
}

impl Default for KeyConfig {
    fn default() -> Self {
        Self {
            retention: Duration::from_hours(24),
            key_limit: 16_384,
            max_body_bytes: 2 << 10,
            max_total_body_bytes: 256 << 10,
        }
    }
}

/// The keys of a shard that this daemon owns.
#[derive(Clone, Debug)]
pub struct KeyTable {
    config: KeyConfig,
    entries: BTreeMap<KeyDigest, KeyEntry>,
    /// Keys that may have waiting requests or scheduled queries.
    active_keys: BTreeSet<KeyDigest>,
    /// Keys in the order in which they expire.
    expiry_queue: VecDeque<(Duration, KeyDigest)>,
    /// Keys with a kept body, oldest first.
    body_queue: VecDeque<KeyDigest>,
    /// Size of all kept bodies and their content types.
    kept_bytes: usize,
    is_store_available: bool,
}

impl KeyTable {
    /// Returns a table with the state that the records of earlier owners describe.
    ///
    /// The age of the records is not known, as only monotonic time is used, so
    /// each key is kept for the full retention from `now`.
    #[must_use]
    pub fn replay(
        config: KeyConfig,
        records: impl IntoIterator<Item = KeyRecord>,
        now: Duration,
    ) -> Self {
        let mut table = Self {
            config,
            entries: BTreeMap::new(),
            active_keys: BTreeSet::new(),
            expiry_queue: VecDeque::new(),
            body_queue: VecDeque::new(),
            kept_bytes: 0,
            is_store_available: true,
        };
        for record in records {
            table.replay_record(record, now);
        }
        table
    }

    fn replay_record(&mut self, record: KeyRecord, now: Duration) {
        match record {
            KeyRecord::Intent { key, fingerprint } => {
                let mut entry = KeyEntry::new(fingerprint);
                entry.phase = KeyPhase::Unknown(None);
                self.entries.insert(key, entry);
                self.schedule_expiry(key, now);
            }
            KeyRecord::Outcome {
                key,
                outcome: KeyOutcome::NotRun,
            } => {
                self.entries.remove(&key);
            }
            KeyRecord::Outcome {
                key,
                outcome: KeyOutcome::Completed(response),
            } => {
                self.store_response(key, response, now);
            }
        }
    }

    /// Returns whether any call is between its intent and its durable outcome.
    #[must_use]
    pub fn has_pending_call(&self) -> bool {
        self.entries.values().any(|entry| {
            matches!(
                entry.phase,
                KeyPhase::RecordingIntent | KeyPhase::Running | KeyPhase::RecordingOutcome(_)
            )
        })
    }

    /// Returns the number of keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table has no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the size of all kept bodies and their content types in bytes.
    #[must_use]
    pub const fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    /// Returns the records that describe all keys, for a snapshot of the journal.
    #[must_use]
    pub fn snapshot(&self) -> Vec<KeyRecord> {
        let mut records = Vec::new();
        for (&key, entry) in &self.entries {
            let fingerprint = entry.fingerprint;
            records.push(KeyRecord::Intent { key, fingerprint });
            let outcome = match &entry.phase {
                KeyPhase::RecordingOutcome(outcome) => outcome.clone(),
                KeyPhase::Completed(response) => KeyOutcome::Completed(response.clone()),
                _ => continue,
            };
            records.push(KeyRecord::Outcome { key, outcome });
        }
        records
    }

    /// Applies an event and returns the resulting actions.
    pub fn handle(&mut self, event: KeyEvent, now: Duration) -> Vec<KeyAction> {
        let mut actions = Vec::new();
        match event {
            KeyEvent::Requested(request) => self.handle_request(&request, now, &mut actions),
            KeyEvent::IntentDurable(key) => self.dispatch(key, &mut actions),
            KeyEvent::IntentFailed(key) => self.reject_failed_intent(key, &mut actions),
            KeyEvent::CallEnded(key, outcome) => self.end_call(key, outcome, now, &mut actions),
            KeyEvent::OutcomeDurable(key) | KeyEvent::OutcomeFailed(key) => {
                // A daemon that has lost the shard still has the response and sends
                // it to the waiting requests; the new owner queries the runners.
                self.reply_with_outcome(key, now, &mut actions);
            }
            KeyEvent::RunnerAnswered(key, answer) => {
                self.handle_runner_answer(key, answer, now, &mut actions);
            }
            KeyEvent::StoreChanged { available } => {
                self.is_store_available = available;
                if !available {
                    self.reject_unrecorded(&mut actions);
                }
            }
            KeyEvent::TimerFired => self.apply_due(now, &mut actions),
        }
        self.evict_expired(now);
        actions
    }

    fn handle_request(
        &mut self,
        request: &KeyRequest,
        now: Duration,
        actions: &mut Vec<KeyAction>,
    ) {
        let waiter = KeyWaiter {
            request: request.request,
            deadline: now + request.remaining,
        };
        let reply = match self.entries.get_mut(&request.key) {
            None => return self.admit(request, waiter, actions),
            Some(entry) if entry.fingerprint != request.fingerprint => {
                KeyReply::FingerprintMismatch
            }
            Some(entry) => match &mut entry.phase {
                KeyPhase::Completed(response) if response.body.is_some() => {
                    KeyReply::Replayed(response.clone())
                }
                KeyPhase::Completed(response) => KeyReply::BodyDropped(response.status),
                KeyPhase::RecordingIntent if !self.is_store_available => {
                    KeyReply::NotRun(NotRunReason::StoreUnavailable)
                }
                phase => {
                    if let KeyPhase::Unknown(query @ None) = phase {
                        *query = Some(now + QUERY_INTERVAL);
                        actions.push(KeyAction::QueryRunners(request.request, request.key));
                    }
                    entry.waiters.push(waiter);
                    self.active_keys.insert(request.key);
                    return;
                }
            },
        };
        actions.push(KeyAction::Reply(request.request, reply));
    }

    /// Adds a new key and requests its intent, or rejects the request.
    ///
    /// At the limit new keys are rejected, since no key may be evicted early.
    fn admit(&mut self, request: &KeyRequest, waiter: KeyWaiter, actions: &mut Vec<KeyAction>) {
        let reason = match () {
            () if !self.is_store_available => Some(NotRunReason::StoreUnavailable),
            () if self.entries.len() >= self.config.key_limit => Some(NotRunReason::QueueFull),
            () => None,
        };
        if let Some(reason) = reason {
            let reply = KeyReply::NotRun(reason);
            actions.push(KeyAction::Reply(request.request, reply));
            return;
        }
        let mut entry = KeyEntry::new(request.fingerprint);
        entry.waiters.push(waiter);
        self.entries.insert(request.key, entry);
        self.active_keys.insert(request.key);
        actions.push(KeyAction::Record(KeyRecord::Intent {
            key: request.key,
            fingerprint: request.fingerprint,
        }));
    }

    fn entry_in_phase(&mut self, key: KeyDigest, phase: &KeyPhase) -> Option<&mut KeyEntry> {
        self.entries
            .get_mut(&key)
            .filter(|entry| entry.phase == *phase)
    }

    /// Rejects the requests of a key whose intent could not be written.
    fn reject_failed_intent(&mut self, key: KeyDigest, actions: &mut Vec<KeyAction>) {
        if self
            .entry_in_phase(key, &KeyPhase::RecordingIntent)
            .is_none()
        {
            return;
        }
        let reply = KeyReply::NotRun(NotRunReason::StoreUnavailable);
        self.reply_all(key, &reply, actions);
        self.remove_key(key);
    }

    /// Rejects the requests whose intent is not durable when the store becomes
    /// unavailable.
    ///
    /// Without a waiting request, the call is not dispatched if the intent becomes
    /// durable later.
    fn reject_unrecorded(&mut self, actions: &mut Vec<KeyAction>) {
        let keys: Vec<_> = self.active_keys.iter().copied().collect();
        for key in keys {
            if self
                .entry_in_phase(key, &KeyPhase::RecordingIntent)
                .is_some()
            {
                let reply = KeyReply::NotRun(NotRunReason::StoreUnavailable);
                self.reply_all(key, &reply, actions);
            }
        }
    }

    /// Dispatches the call of a key whose intent is durable, if a request waits.
    fn dispatch(&mut self, key: KeyDigest, actions: &mut Vec<KeyAction>) {
        let Some(entry) = self.entry_in_phase(key, &KeyPhase::RecordingIntent) else {
            return;
        };
        if let Some(waiter) = entry.waiters.first() {
            entry.phase = KeyPhase::Running;
            entry.dispatched_request = Some(waiter.request);
            actions.push(KeyAction::Dispatch(waiter.request, key));
        } else {
            entry.not_run_reason = NotRunReason::StoreUnavailable;
            self.record_outcome(key, KeyOutcome::NotRun, actions);
        }
    }

    fn end_call(
        &mut self,
        key: KeyDigest,
        outcome: CallOutcome<KeyResponse>,
        now: Duration,
        actions: &mut Vec<KeyAction>,
    ) {
        let Some(entry) = self.entry_in_phase(key, &KeyPhase::Running) else {
            return;
        };
        match outcome {
            CallOutcome::Completed(response) => {
                self.record_outcome(key, KeyOutcome::Completed(response), actions);
            }
            CallOutcome::NotRun(reason) => {
                entry.not_run_reason = reason;
                self.record_outcome(key, KeyOutcome::NotRun, actions);
            }
            CallOutcome::Unknown(_) => {
                let waiter = entry.waiters.first();
                entry.phase = KeyPhase::Unknown(waiter.map(|_| now + QUERY_INTERVAL));
                let query = waiter.map(|waiter| KeyAction::QueryRunners(waiter.request, key));
                actions.extend(query);
                self.schedule_expiry(key, now);
            }
        }
    }

    fn record_outcome(
        &mut self,
        key: KeyDigest,
        outcome: KeyOutcome,
        actions: &mut Vec<KeyAction>,
    ) {
        let limit = self.config.max_body_bytes;
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        let outcome = match outcome {
            KeyOutcome::Completed(response) => {
                KeyOutcome::Completed(response.with_body_limit(limit))
            }
            KeyOutcome::NotRun => KeyOutcome::NotRun,
        };
        entry.phase = KeyPhase::RecordingOutcome(outcome.clone());
        entry.expires_at = None;
        actions.push(KeyAction::Record(KeyRecord::Outcome { key, outcome }));
    }

    /// Answers the waiting requests of a key whose outcome was written or could not
    /// be written.
    fn reply_with_outcome(&mut self, key: KeyDigest, now: Duration, actions: &mut Vec<KeyAction>) {
        let Some(entry) = self.entries.get(&key) else {
            return;
        };
        let not_run_reason = entry.not_run_reason;
        match entry.phase.clone() {
            KeyPhase::RecordingOutcome(KeyOutcome::Completed(response)) => {
                self.reply_completed(key, &response, actions);
                self.store_response(key, response, now);
            }
            KeyPhase::RecordingOutcome(KeyOutcome::NotRun) => {
                self.reply_all(key, &KeyReply::NotRun(not_run_reason), actions);
                self.remove_key(key);
            }
            _ => {}
        }
    }

    /// Sends the response to the dispatched request, and the recorded response to
    /// all other waiting ones.
    fn reply_completed(
        &mut self,
        key: KeyDigest,
        response: &KeyResponse,
        actions: &mut Vec<KeyAction>,
    ) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        for waiter in std::mem::take(&mut entry.waiters) {
            let reply = match response.body {
                _ if entry.dispatched_request == Some(waiter.request) => {
                    KeyReply::Completed(response.clone())
                }
                Some(_) => KeyReply::Replayed(response.clone()),
                None => KeyReply::BodyDropped(response.status),
            };
            actions.push(KeyAction::Reply(waiter.request, reply));
        }
        self.active_keys.remove(&key);
    }

    fn handle_runner_answer(
        &mut self,
        key: KeyDigest,
        answer: RunnerAnswer,
        now: Duration,
        actions: &mut Vec<KeyAction>,
    ) {
        let entry = self.entries.get_mut(&key);
        let Some(entry) = entry.filter(|entry| matches!(entry.phase, KeyPhase::Unknown(_))) else {
            return;
        };
        match answer {
            RunnerAnswer::Completed(response) => {
                self.record_outcome(key, KeyOutcome::Completed(response), actions);
            }
            RunnerAnswer::Running => entry.phase = KeyPhase::Unknown(Some(now + QUERY_INTERVAL)),
            RunnerAnswer::NotKnown => {
                entry.phase = KeyPhase::Unknown(None);
                let reply = KeyReply::Unknown(UnknownReason::OwnerLost);
                self.reply_all(key, &reply, actions);
            }
        }
    }

    /// Answers overdue requests and repeats due queries for the others.
    fn apply_due(&mut self, now: Duration, actions: &mut Vec<KeyAction>) {
        let entries = &mut self.entries;
        self.active_keys.retain(|key| {
            let Some(entry) = entries.get_mut(key) else {
                return false;
            };
            let reply = entry.overdue_reply();
            for waiter in entry.take_overdue(now) {
                actions.push(KeyAction::Reply(waiter.request, reply.clone()));
            }
            repeat_due_query(*key, entry, now, actions);
            !entry.waiters.is_empty()
        });
    }

    fn reply_all(&mut self, key: KeyDigest, reply: &KeyReply, actions: &mut Vec<KeyAction>) {
        let entry = self.entries.get_mut(&key);
        let waiters = entry.map(|entry| std::mem::take(&mut entry.waiters));
        for waiter in waiters.into_iter().flatten() {
            actions.push(KeyAction::Reply(waiter.request, reply.clone()));
        }
        self.active_keys.remove(&key);
    }

    fn remove_key(&mut self, key: KeyDigest) {
        self.entries.remove(&key);
        self.active_keys.remove(&key);
    }

    /// Completes a key with its response and evicts the oldest bodies over the limit.
    fn store_response(&mut self, key: KeyDigest, response: KeyResponse, now: Duration) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        if response.body.is_some() {
            self.kept_bytes += response.kept_bytes();
            self.body_queue.push_back(key);
        }
        entry.phase = KeyPhase::Completed(response);
        self.schedule_expiry(key, now);
        while self.kept_bytes > self.config.max_total_body_bytes {
            let Some(oldest) = self.body_queue.pop_front() else {
                return;
            };
            self.evict_body(oldest);
        }
    }

    fn evict_body(&mut self, key: KeyDigest) {
        let phase = self.entries.get_mut(&key).map(|entry| &mut entry.phase);
        if let Some(KeyPhase::Completed(response)) = phase
            && response.body.is_some()
        {
            self.kept_bytes -= response.kept_bytes();
            response.drop_body();
        }
    }

    /// Schedules the eviction of a key after the retention.
    fn schedule_expiry(&mut self, key: KeyDigest, now: Duration) {
        let expires_at = now + self.config.retention;
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.expires_at = Some(expires_at);
            self.expiry_queue.push_back((expires_at, key));
        }
    }

    fn evict_expired(&mut self, now: Duration) {
        while let Some((expires_at, key)) = self.expiry_queue.pop_front_if(|(at, _)| now >= *at) {
            let entry = self.entries.get(&key);
            // A key whose outcome was recorded later has another, later entry.
            if entry.is_some_and(|entry| entry.expires_at == Some(expires_at)) {
                self.evict_body(key);
                self.body_queue.pop_front_if(|oldest| *oldest == key);
                self.remove_key(key);
            }
        }
    }
}

/// Queries the runners again if it is due; cancels the query if no request waits.
fn repeat_due_query(
    key: KeyDigest,
    entry: &mut KeyEntry,
    now: Duration,
    actions: &mut Vec<KeyAction>,
) {
    match (&mut entry.phase, entry.waiters.first()) {
        (KeyPhase::Unknown(query), None) => *query = None,
        (KeyPhase::Unknown(Some(at)), Some(waiter)) if now >= *at => {
            *at = now + QUERY_INTERVAL;
            actions.push(KeyAction::QueryRunners(waiter.request, key));
        }
        _ => {}
    }
}
