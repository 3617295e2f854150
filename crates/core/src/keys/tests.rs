//! Tests of idempotency keys.

use std::{collections::BTreeMap, time::Duration};

use proptest::prelude::*;

use super::{
    KeyAction, KeyConfig, KeyDigest, KeyEvent, KeyOutcome, KeyRecord, KeyReply, KeyRequest,
    KeyResponse, KeyTable, RunnerAnswer,
};
use crate::types::{CallOutcome, NotRunReason, RequestId, UnknownReason};

const KEY: KeyDigest = [1; 16];
const FINGERPRINT: KeyDigest = [2; 16];

fn request(request: RequestId, key: KeyDigest) -> KeyEvent {
    KeyEvent::Requested(KeyRequest {
        request,
        key,
        fingerprint: FINGERPRINT,
        remaining: Duration::from_secs(5),
    })
}

fn response(bytes: usize) -> KeyResponse {
    KeyResponse {
        status: 200,
        content_type: None,
        body: Some(vec![7; bytes]),
    }
}

fn intent(key: KeyDigest) -> KeyRecord {
    KeyRecord::Intent {
        key,
        fingerprint: FINGERPRINT,
    }
}

fn outcome(key: KeyDigest, response: KeyResponse) -> KeyRecord {
    let outcome = KeyOutcome::Completed(response);
    KeyRecord::Outcome { key, outcome }
}

fn table(records: Vec<KeyRecord>) -> KeyTable {
    KeyTable::replay(KeyConfig::default(), records, Duration::ZERO)
}

fn handle(table: &mut KeyTable, event: KeyEvent) -> Vec<KeyAction> {
    table.handle(event, Duration::ZERO)
}

/// Returns a table in which the call of [`KEY`] is running for request 1.
fn running_table() -> KeyTable {
    let mut table = table(Vec::new());
    handle(&mut table, request(1, KEY));
    handle(&mut table, KeyEvent::IntentDurable(KEY));
    table
}

/// Guards against a call that is dispatched before its intent is durable, and
/// against a response that is sent before its outcome is durable.
#[test]
fn a_call_is_dispatched_and_answered_only_after_its_records_are_durable() {
    let mut table = table(Vec::new());

    let asked = handle(&mut table, request(1, KEY));
    let durable = handle(&mut table, KeyEvent::IntentDurable(KEY));
    let ended = KeyEvent::CallEnded(KEY, CallOutcome::Completed(response(1)));
    let ended = handle(&mut table, ended);
    let released = handle(&mut table, KeyEvent::OutcomeDurable(KEY));

    assert_eq!(asked, vec![KeyAction::Record(intent(KEY))]);
    assert_eq!(durable, vec![KeyAction::Dispatch(1, KEY)]);
    assert_eq!(ended, vec![KeyAction::Record(outcome(KEY, response(1)))]);
    let reply = KeyReply::Completed(response(1));
    assert_eq!(released, vec![KeyAction::Reply(1, reply)]);
}

/// Guards against a second dispatch of a running call, and against a request that
/// waits beyond its deadline.
#[test]
fn duplicate_requests_wait_for_a_running_call_until_their_deadline() {
    let mut table = running_table();

    let second = handle(&mut table, request(2, KEY));
    let overdue = table.handle(KeyEvent::TimerFired, Duration::from_secs(5));

    let replies = [1, 2].map(|request| KeyAction::Reply(request, KeyReply::StillRunning));
    assert_eq!(second, vec![]);
    assert_eq!(overdue, replies);
}

/// Guards against a request that gets the response of another one with the same
/// key.
#[test]
fn a_key_with_another_fingerprint_is_rejected() {
    let mut table = running_table();

    let other = KeyRequest {
        request: 2,
        key: KEY,
        fingerprint: [3; 16],
        remaining: Duration::from_secs(5),
    };
    let actions = handle(&mut table, KeyEvent::Requested(other));

    let reply = KeyReply::FingerprintMismatch;
    assert_eq!(actions, vec![KeyAction::Reply(2, reply)]);
}

/// Guards against a second dispatch of a call after a new owner has found its
/// intent without an outcome.
#[test]
fn an_intent_without_outcome_is_resolved_by_querying_runners() {
    let mut table = table(vec![intent(KEY)]);

    let asked = handle(&mut table, request(1, KEY));
    let unknown = handle(
        &mut table,
        KeyEvent::RunnerAnswered(KEY, RunnerAnswer::NotKnown),
    );
    let again = handle(&mut table, request(2, KEY));
    let answer = RunnerAnswer::Completed(response(1));
    handle(&mut table, KeyEvent::RunnerAnswered(KEY, answer));
    let released = handle(&mut table, KeyEvent::OutcomeDurable(KEY));

    let query = |request| vec![KeyAction::QueryRunners(request, KEY)];
    let reply = KeyReply::Unknown(UnknownReason::OwnerLost);
    assert_eq!(asked, query(1));
    assert_eq!(unknown, vec![KeyAction::Reply(1, reply)]);
    assert_eq!(again, query(2));
    let reply = KeyReply::Replayed(response(1));
    assert_eq!(released, vec![KeyAction::Reply(2, reply)]);
}

/// Guards against a call that runs without a durable intent during a store outage,
/// and against an outage that makes recorded responses unavailable.
#[test]
fn a_store_outage_rejects_only_new_keys() {
    let mut table = table(vec![intent(KEY), outcome(KEY, response(1))]);
    handle(&mut table, KeyEvent::StoreChanged { available: false });

    let known = handle(&mut table, request(1, KEY));
    let new = handle(&mut table, request(2, [9; 16]));

    let replayed = KeyReply::Replayed(response(1));
    let rejected = KeyReply::NotRun(NotRunReason::StoreUnavailable);
    assert_eq!(known, vec![KeyAction::Reply(1, replayed)]);
    assert_eq!(new, vec![KeyAction::Reply(2, rejected)]);
}

/// Guards against a request that waits for an unavailable store until its
/// deadline, and against a dispatch of its call after it was answered as not run.
#[test]
fn a_store_outage_rejects_keys_without_a_durable_intent() {
    let mut table = table(Vec::new());
    handle(&mut table, request(1, KEY));

    let outage = handle(&mut table, KeyEvent::StoreChanged { available: false });
    let retry = handle(&mut table, request(2, KEY));
    let written = handle(&mut table, KeyEvent::IntentDurable(KEY));

    let rejected = KeyReply::NotRun(NotRunReason::StoreUnavailable);
    let outcome = KeyOutcome::NotRun;
    let record = KeyRecord::Outcome { key: KEY, outcome };
    assert_eq!(outage, vec![KeyAction::Reply(1, rejected.clone())]);
    assert_eq!(retry, vec![KeyAction::Reply(2, rejected)]);
    assert_eq!(written, vec![KeyAction::Record(record)]);
}

/// Guards against a duplicate request that is answered as the dispatched one, and
/// against a dispatched one that is answered as a duplicate when its body is too
/// large to be kept.
#[test]
fn only_the_dispatched_request_gets_the_completed_reply() {
    let mut table = running_table();
    handle(&mut table, request(2, KEY));

    let ended = KeyEvent::CallEnded(KEY, CallOutcome::Completed(response(3 << 10)));
    handle(&mut table, ended);
    let released = handle(&mut table, KeyEvent::OutcomeDurable(KEY));

    let kept = KeyResponse {
        content_type: None,
        status: 200,
        body: None,
    };
    let replies = [KeyReply::Completed(kept), KeyReply::BodyDropped(200)];
    let replies = [1, 2].into_iter().zip(replies);
    let replies = replies.map(|(request, reply)| KeyAction::Reply(request, reply));
    assert_eq!(released, replies.collect::<Vec<_>>());
}

/// Guards against bodies that exceed their memory limit, and against keys that are
/// evicted before their retention ends to make room for others.
#[test]
fn bodies_are_evicted_early_and_keys_are_not() {
    let digest = |index: u32| {
        let mut key = KeyDigest::default();
        key[..4].copy_from_slice(&index.to_be_bytes());
        key
    };
    let records = (0..16_384).flat_map(|index| {
        let key = digest(index);
        [intent(key), outcome(key, response(2 << 10))]
    });
    let mut table = table(records.collect());

    let oldest = handle(&mut table, request(1, digest(0)));
    let new = handle(&mut table, request(2, [255; 16]));
    let later = Duration::from_hours(24);
    table.handle(KeyEvent::TimerFired, later);

    let rejected = KeyReply::NotRun(NotRunReason::QueueFull);
    assert_eq!(
        oldest,
        vec![KeyAction::Reply(1, KeyReply::BodyDropped(200))]
    );
    assert_eq!(new, vec![KeyAction::Reply(2, rejected)]);
    assert!(table.is_empty());
    assert_eq!(table.kept_bytes(), 0);
}

/// Successive owners of a key shard; the former ones still handle late events.
struct KeyModel {
    /// The table of each owner; the last one is that of the current owner.
    tables: Vec<KeyTable>,
    /// Actions that have not been performed, with the index of their table.
    actions: Vec<(usize, KeyAction)>,
    /// Events that have not been handled, with the index of their table.
    events: Vec<(usize, KeyEvent)>,
    journal: Vec<KeyRecord>,
    /// Number of calls of each key that may have run.
    may_have_run: BTreeMap<KeyDigest, usize>,
    /// The key of each request.
    requests: Vec<KeyDigest>,
    /// Replies of the current owner that a call was not run although it may have.
    false_not_run_replies: usize,
    now: Duration,
}

impl KeyModel {
    fn new() -> Self {
        Self {
            tables: vec![table(Vec::new())],
            actions: Vec::new(),
            events: Vec::new(),
            journal: Vec::new(),
            may_have_run: BTreeMap::new(),
            requests: Vec::new(),
            false_not_run_replies: 0,
            now: Duration::ZERO,
        }
    }

    /// Applies a step; `choice` selects its object and `variant` its result.
    fn apply(&mut self, step: u8, choice: usize, variant: u8) {
        let owner = self.tables.len() - 1;
        match step {
            0..3 => {
                let key = [u8::from(choice.is_multiple_of(2)); 16];
                let at = if variant == 0 {
                    choice % (owner + 1)
                } else {
                    owner
                };
                let index = self.requests.len();
                self.requests.push(key);
                self.handle(at, request(index as RequestId, key));
            }
            3..13 if !self.actions.is_empty() => {
                let (at, action) = self.actions.remove(choice % self.actions.len());
                self.perform(at, action, variant);
            }
            13..23 if !self.events.is_empty() => {
                let (at, event) = self.events.remove(choice % self.events.len());
                self.handle(at, event);
            }
            23 => {
                self.now += Duration::from_secs(2);
                self.handle(owner, KeyEvent::TimerFired);
            }
            24 if variant == 0 => {
                let config = KeyConfig::default();
                let table = KeyTable::replay(config, self.journal.clone(), self.now);
                self.tables.push(table);
            }
            25 => {
                let available = variant != 0;
                self.handle(owner, KeyEvent::StoreChanged { available });
            }
            _ => {}
        }
    }

    fn handle(&mut self, at: usize, event: KeyEvent) {
        let is_owner = at + 1 == self.tables.len();
        for action in self.tables[at].handle(event, self.now) {
            if let KeyAction::Reply(request, KeyReply::NotRun(_)) = action {
                let key = self.requests[usize::try_from(request).expect("requests are indexes")];
                let is_false_reply = is_owner && self.may_have_run.contains_key(&key);
                self.false_not_run_replies += usize::from(is_false_reply);
            }
            self.actions.push((at, action));
        }
    }

    fn perform(&mut self, at: usize, action: KeyAction, variant: u8) {
        let event = match action {
            KeyAction::Record(record) => self.write(at, record),
            KeyAction::Dispatch(_, key) => self.run(key, variant),
            KeyAction::QueryRunners(_, key) => {
                let answer = match variant {
                    0 => RunnerAnswer::NotKnown,
                    1 => RunnerAnswer::Running,
                    _ if self.may_have_run.contains_key(&key) => {
                        RunnerAnswer::Completed(response(1))
                    }
                    _ => RunnerAnswer::NotKnown,
                };
                KeyEvent::RunnerAnswered(key, answer)
            }
            KeyAction::Reply(..) => return,
        };
        self.events.push((at, event));
    }

    /// Writes a record if its writer is still the owner.
    fn write(&mut self, at: usize, record: KeyRecord) -> KeyEvent {
        let is_durable = at + 1 == self.tables.len();
        let event = match (&record, is_durable) {
            (KeyRecord::Intent { key, .. }, true) => KeyEvent::IntentDurable(*key),
            (KeyRecord::Intent { key, .. }, false) => KeyEvent::IntentFailed(*key),
            (KeyRecord::Outcome { key, .. }, true) => KeyEvent::OutcomeDurable(*key),
            (KeyRecord::Outcome { key, .. }, false) => KeyEvent::OutcomeFailed(*key),
        };
        if is_durable {
            self.journal.push(record);
        }
        event
    }

    fn run(&mut self, key: KeyDigest, variant: u8) -> KeyEvent {
        let outcome = match variant {
            0 => CallOutcome::NotRun(NotRunReason::RejectedByTarget),
            1 => CallOutcome::Unknown(UnknownReason::ConnectionLost),
            _ => CallOutcome::Completed(response(1)),
        };
        if variant != 0 {
            *self.may_have_run.entry(key).or_default() += 1;
        }
        KeyEvent::CallEnded(key, outcome)
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]

    /// Guards against a key that is dispatched again although its call may have run,
    /// and against a reply that such a call was not run, under takeovers with
    /// replay, fenced owners and lost calls.
    #[test]
    fn a_key_runs_at_most_once(
        steps in prop::collection::vec((0_u8..26, any::<usize>(), 0_u8..5), 1..300),
    ) {
        let mut model = KeyModel::new();

        for (step, choice, variant) in steps {
            model.apply(step, choice, variant);
        }

        prop_assert!(model.may_have_run.values().all(|count| *count <= 1));
        prop_assert_eq!(model.false_not_run_replies, 0);
    }
}
