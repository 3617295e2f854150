//! Unit tests of rate limits, backoff, cached views and decoders.

use std::time::Duration;

use proptest::prelude::*;

use super::{
    limits::{RateLimiter, RateLimits, StoreBackoff, StoreCallKind, StoreRates},
    messages::{StoreChange, StoreEntry, StoreSnapshot},
    view::StoreView,
    watch_wire::decode_changes,
    wire::{RangeReply, TxnReply},
};

fn entry(key: &str, value: &str) -> StoreEntry {
    StoreEntry {
        key: key.to_owned(),
        value: value.as_bytes().to_vec(),
    }
}

fn change(revision: i64, key: &str, value: Option<&str>) -> StoreChange {
    StoreChange {
        revision,
        key: key.to_owned(),
        value: value.map(|value| value.as_bytes().to_vec()),
    }
}

fn view_at(revision: i64, entries: Vec<StoreEntry>) -> StoreView {
    let mut view = StoreView::default();
    view.replace(StoreSnapshot { revision, entries }, false);
    view
}

/// Guards against a delayed watch event that overwrites a newer snapshot.
#[test]
fn changes_older_than_the_snapshot_are_ignored() {
    let mut view = view_at(7, vec![entry("owners/a", "new")]);

    let changed = view.apply(vec![change(6, "owners/a", Some("old"))]);

    assert!(!changed);
    assert_eq!(view.entries(), vec![entry("owners/a", "new")]);
}

/// Guards against dropping the second change of a transaction because it has
/// the same revision as the first.
#[test]
fn all_changes_of_one_revision_are_applied() {
    let mut view = view_at(7, vec![entry("a", "1"), entry("b", "1")]);

    let changed = view.apply(vec![change(8, "a", None), change(8, "b", Some("2"))]);

    assert!(changed);
    assert_eq!(view.entries(), vec![entry("b", "2")]);
}

/// Guards against exceeding the daemon's share of the store's call rate.
#[test]
fn limiter_permits_a_burst_and_then_the_rate() {
    let mut limiter = RateLimiter::new(20);
    let now = Duration::from_secs(100);

    let waits: Vec<_> = (0..60).map(|_| limiter.reserve(now)).collect();

    assert!(waits[..20].iter().all(Duration::is_zero));
    assert_eq!(waits[59], Duration::from_secs(2));
}

/// Guards against shares whose sum exceeds the total rate, and against a
/// configured rate that the number of daemons overrides.
#[test]
fn rate_shares_follow_the_daemon_count_unless_configured() {
    let rates = StoreRates {
        writes: None,
        reads: Some(7),
    };
    let now = Duration::from_secs(100);
    let burst = |daemon_count, kind| {
        let mut limits = RateLimits::new(rates);
        limits.set_daemon_count(daemon_count);
        (0..2_000)
            .take_while(|_| limits.reserve(kind, now).is_zero())
            .count()
    };

    let writes = [1, 8, 48].map(|daemon_count| burst(daemon_count, StoreCallKind::Lease));

    assert_eq!(writes, [200, 25, 4]);
    assert_eq!(burst(48, StoreCallKind::Read), 7);
}

/// Guards against retry waits that grow without bound.
#[test]
fn backoff_grows_to_its_bound() {
    let mut backoff = StoreBackoff::default();

    let waits: Vec<_> = (0..20).map(|_| backoff.next(1.0)).collect();

    assert_eq!(waits[0], Duration::from_millis(100));
    assert_eq!(waits[19], Duration::from_secs(5));
}

proptest! {
    /// Guards against a panic of the decoders on corrupted responses.
    #[test]
    fn decoders_return_errors_for_any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode_changes(&bytes);
        let _ = serde_json::from_slice::<RangeReply>(&bytes).map(RangeReply::into_entries);
    }

    /// Guards against a panic on valid JSON with malformed keys, values or
    /// revisions.
    #[test]
    fn decoders_return_errors_for_any_texts(key in ".{0,12}", value in ".{0,12}", revision in ".{0,6}") {
        let kv = serde_json::json!({"key": key, "value": value, "mod_revision": revision});
        let watch = serde_json::json!({"result": {"events": [{"kv": kv}], "compact_revision": revision}});
        let txn = serde_json::json!({"header": {"revision": revision}, "responses": [{"response_range": {"kvs": [kv]}}]});

        let _ = decode_changes(watch.to_string().as_bytes());
        let reply: TxnReply = serde_json::from_value(txn).expect("the shape is that of a reply");
        let _ = reply.into_snapshot();
    }
}
