//! The keys of one shard.

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

/// Time between two queries for a call that is still running.
const QUERY_TIME: Duration = Duration::from_secs(1);

/// Limits of a key shard.
#[derive(Clone, Copy, Debug)]
pub struct KeyConfig {
    /// How long a key is kept after its call is over.
    pub retention: Duration,
    /// Keys of a shard; with 32 shards a region holds 524,288.
    pub key_limit: usize,
    /// Largest body that is kept, its type included.
    pub body_bytes: usize,
    /// Bytes of all kept bodies and their types.
    pub total_body_bytes: usize,
}

impl Default for KeyConfig {
    fn default() -> Self {
        Self {
            retention: Duration::from_hours(24),
            key_limit: 16_384,
            body_bytes: 2 << 10,
            total_body_bytes: 256 << 10,
        }
    }
}

/// All keys of a shard that this daemon owns.
#[derive(Clone, Debug)]
pub struct KeyTable {
    config: KeyConfig,
    entries: BTreeMap<KeyDigest, KeyEntry>,
    /// Keys with waiters or planned queries, which the timer looks at.
    busy: BTreeSet<KeyDigest>,
    /// Keys in the order in which they may be forgotten.
    expiry: VecDeque<(Duration, KeyDigest)>,
    /// Keys with a kept body, oldest first.
    bodies: VecDeque<KeyDigest>,
    kept_bytes: usize,
    store_available: bool,
}

impl KeyTable {
    /// Returns the table after the records of earlier owners. Their age is not
    /// known, as only monotonic time is used, so each is kept for the full
    /// retention from `now`.
    #[must_use]
    pub fn replay(
        config: KeyConfig,
        records: impl IntoIterator<Item = KeyRecord>,
        now: Duration,
    ) -> Self {
        let mut table = Self {
            config,
            entries: BTreeMap::new(),
            busy: BTreeSet::new(),
            expiry: VecDeque::new(),
            bodies: VecDeque::new(),
            kept_bytes: 0,
            store_available: true,
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
                self.retain(key, now);
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
                self.keep_response(key, response, now);
            }
        }
    }

    /// Tells whether a call is between its intent and its durable outcome.
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

    /// Tells whether there are no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the bytes of all kept bodies.
    #[must_use]
    pub const fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    /// Returns the records that describe all keys, for a journal snapshot.
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

    /// Applies an event and returns what is to be done.
    pub fn handle(&mut self, event: KeyEvent, now: Duration) -> Vec<KeyAction> {
        let mut actions = Vec::new();
        match event {
            KeyEvent::Requested(request) => self.request(&request, now, &mut actions),
            KeyEvent::IntentDurable(key) => self.dispatch(key, &mut actions),
            KeyEvent::IntentFailed(key) => self.abandon(key, &mut actions),
            KeyEvent::CallEnded(key, outcome) => self.end_call(key, outcome, now, &mut actions),
            KeyEvent::OutcomeDurable(key) | KeyEvent::OutcomeFailed(key) => {
                // A daemon that lost the shard still knows the response, and
                // its waiting callers get it; the next owner asks the runner.
                self.release_outcome(key, now, &mut actions);
            }
            KeyEvent::RunnerAnswered(key, answer) => {
                self.note_answer(key, answer, now, &mut actions);
            }
            KeyEvent::StoreChanged { available } => {
                self.store_available = available;
                if !available {
                    self.reject_unrecorded(&mut actions);
                }
            }
            KeyEvent::TimerFired => self.fire_timers(now, &mut actions),
        }
        self.forget_expired(now);
        actions
    }

    fn request(&mut self, request: &KeyRequest, now: Duration, actions: &mut Vec<KeyAction>) {
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
                KeyPhase::RecordingIntent if !self.store_available => {
                    KeyReply::NotRun(NotRunReason::StoreUnavailable)
                }
                phase => {
                    if let KeyPhase::Unknown(query @ None) = phase {
                        *query = Some(now + QUERY_TIME);
                        actions.push(KeyAction::QueryRunners(request.request, request.key));
                    }
                    entry.waiters.push(waiter);
                    self.busy.insert(request.key);
                    return;
                }
            },
        };
        actions.push(KeyAction::Reply(request.request, reply));
    }

    /// Takes a new key in, or rejects it: no key is forgotten early, and none
    /// is dispatched without a record.
    fn admit(&mut self, request: &KeyRequest, waiter: KeyWaiter, actions: &mut Vec<KeyAction>) {
        let reason = match () {
            () if !self.store_available => Some(NotRunReason::StoreUnavailable),
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
        self.busy.insert(request.key);
        actions.push(KeyAction::Record(KeyRecord::Intent {
            key: request.key,
            fingerprint: request.fingerprint,
        }));
    }

    fn entry_in(&mut self, key: KeyDigest, phase: &KeyPhase) -> Option<&mut KeyEntry> {
        self.entries
            .get_mut(&key)
            .filter(|entry| entry.phase == *phase)
    }

    /// Ends a key whose intent was not written.
    fn abandon(&mut self, key: KeyDigest, actions: &mut Vec<KeyAction>) {
        if self.entry_in(key, &KeyPhase::RecordingIntent).is_none() {
            return;
        }
        let reply = KeyReply::NotRun(NotRunReason::StoreUnavailable);
        self.reply_all(key, &reply, actions);
        self.remove(key);
    }

    /// Answers the requests whose intent waits for a store that is away. With
    /// no request left, the call is not dispatched once the intent is written.
    fn reject_unrecorded(&mut self, actions: &mut Vec<KeyAction>) {
        let keys: Vec<_> = self.busy.iter().copied().collect();
        for key in keys {
            if self.entry_in(key, &KeyPhase::RecordingIntent).is_some() {
                let reply = KeyReply::NotRun(NotRunReason::StoreUnavailable);
                self.reply_all(key, &reply, actions);
            }
        }
    }

    fn dispatch(&mut self, key: KeyDigest, actions: &mut Vec<KeyAction>) {
        let Some(entry) = self.entry_in(key, &KeyPhase::RecordingIntent) else {
            return;
        };
        if let Some(waiter) = entry.waiters.first() {
            entry.phase = KeyPhase::Running;
            entry.dispatched = Some(waiter.request);
            actions.push(KeyAction::Dispatch(waiter.request, key));
        } else {
            entry.not_run = NotRunReason::StoreUnavailable;
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
        let Some(entry) = self.entry_in(key, &KeyPhase::Running) else {
            return;
        };
        match outcome {
            CallOutcome::Completed(response) => {
                self.record_outcome(key, KeyOutcome::Completed(response), actions);
            }
            CallOutcome::NotRun(reason) => {
                entry.not_run = reason;
                self.record_outcome(key, KeyOutcome::NotRun, actions);
            }
            CallOutcome::Unknown(_) => {
                let waiter = entry.waiters.first();
                entry.phase = KeyPhase::Unknown(waiter.map(|_| now + QUERY_TIME));
                let query = waiter.map(|waiter| KeyAction::QueryRunners(waiter.request, key));
                actions.extend(query);
                self.retain(key, now);
            }
        }
    }

    fn record_outcome(
        &mut self,
        key: KeyDigest,
        outcome: KeyOutcome,
        actions: &mut Vec<KeyAction>,
    ) {
        let limit = self.config.body_bytes;
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        let outcome = match outcome {
            KeyOutcome::Completed(response) => KeyOutcome::Completed(response.limited(limit)),
            KeyOutcome::NotRun => KeyOutcome::NotRun,
        };
        entry.phase = KeyPhase::RecordingOutcome(outcome.clone());
        entry.expires_at = None;
        actions.push(KeyAction::Record(KeyRecord::Outcome { key, outcome }));
    }

    fn release_outcome(&mut self, key: KeyDigest, now: Duration, actions: &mut Vec<KeyAction>) {
        let Some(entry) = self.entries.get(&key) else {
            return;
        };
        let not_run = entry.not_run;
        match entry.phase.clone() {
            KeyPhase::RecordingOutcome(KeyOutcome::Completed(response)) => {
                self.reply_completed(key, &response, actions);
                self.keep_response(key, response, now);
            }
            KeyPhase::RecordingOutcome(KeyOutcome::NotRun) => {
                self.reply_all(key, &KeyReply::NotRun(not_run), actions);
                self.remove(key);
            }
            _ => {}
        }
    }

    /// Answers the dispatched request with its response and the others with
    /// the recorded one.
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
                _ if entry.dispatched == Some(waiter.request) => {
                    KeyReply::Completed(response.clone())
                }
                Some(_) => KeyReply::Replayed(response.clone()),
                None => KeyReply::BodyDropped(response.status),
            };
            actions.push(KeyAction::Reply(waiter.request, reply));
        }
        self.busy.remove(&key);
    }

    fn note_answer(
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
            RunnerAnswer::Running => entry.phase = KeyPhase::Unknown(Some(now + QUERY_TIME)),
            RunnerAnswer::NotKnown => {
                entry.phase = KeyPhase::Unknown(None);
                let reply = KeyReply::Unknown(UnknownReason::OwnerLost);
                self.reply_all(key, &reply, actions);
            }
        }
    }

    /// Answers overdue requests and asks runners again for the others.
    fn fire_timers(&mut self, now: Duration, actions: &mut Vec<KeyAction>) {
        let entries = &mut self.entries;
        self.busy.retain(|key| {
            let Some(entry) = entries.get_mut(key) else {
                return false;
            };
            let reply = entry.overdue_reply();
            for waiter in entry.take_overdue(now) {
                actions.push(KeyAction::Reply(waiter.request, reply.clone()));
            }
            query_again(*key, entry, now, actions);
            !entry.waiters.is_empty()
        });
    }

    fn reply_all(&mut self, key: KeyDigest, reply: &KeyReply, actions: &mut Vec<KeyAction>) {
        let entry = self.entries.get_mut(&key);
        let waiters = entry.map(|entry| std::mem::take(&mut entry.waiters));
        for waiter in waiters.into_iter().flatten() {
            actions.push(KeyAction::Reply(waiter.request, reply.clone()));
        }
        self.busy.remove(&key);
    }

    fn remove(&mut self, key: KeyDigest) {
        self.entries.remove(&key);
        self.busy.remove(&key);
    }

    /// Keeps a response, and drops the oldest bodies beyond the limit.
    fn keep_response(&mut self, key: KeyDigest, response: KeyResponse, now: Duration) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        if response.body.is_some() {
            self.kept_bytes += response.kept_bytes();
            self.bodies.push_back(key);
        }
        entry.phase = KeyPhase::Completed(response);
        self.retain(key, now);
        while self.kept_bytes > self.config.total_body_bytes {
            let Some(oldest) = self.bodies.pop_front() else {
                return;
            };
            self.drop_body(oldest);
        }
    }

    fn drop_body(&mut self, key: KeyDigest) {
        let phase = self.entries.get_mut(&key).map(|entry| &mut entry.phase);
        if let Some(KeyPhase::Completed(response)) = phase
            && response.body.is_some()
        {
            self.kept_bytes -= response.kept_bytes();
            response.drop_body();
        }
    }

    fn retain(&mut self, key: KeyDigest, now: Duration) {
        let expires_at = now + self.config.retention;
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.expires_at = Some(expires_at);
            self.expiry.push_back((expires_at, key));
        }
    }

    fn forget_expired(&mut self, now: Duration) {
        while let Some((expires_at, key)) = self.expiry.pop_front_if(|(at, _)| now >= *at) {
            let entry = self.entries.get(&key);
            // A key whose outcome came later has a later place in the queue.
            if entry.is_some_and(|entry| entry.expires_at == Some(expires_at)) {
                self.drop_body(key);
                self.bodies.pop_front_if(|oldest| *oldest == key);
                self.remove(key);
            }
        }
    }
}

fn query_again(key: KeyDigest, entry: &mut KeyEntry, now: Duration, actions: &mut Vec<KeyAction>) {
    match (&mut entry.phase, entry.waiters.first()) {
        (KeyPhase::Unknown(query), None) => *query = None,
        (KeyPhase::Unknown(Some(at)), Some(waiter)) if now >= *at => {
            *at = now + QUERY_TIME;
            actions.push(KeyAction::QueryRunners(waiter.request, key));
        }
        _ => {}
    }
}
