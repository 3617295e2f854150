//! Tests of the store client's parts that need no store.

use std::time::Duration;

use proptest::prelude::*;

use super::{
    limits::{RateLimiter, RateLimits, StoreBackoff, StoreCallKind, StoreRates},
    messages::{StoreChange, StoreEntry, StoreReading},
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
    view.replace(StoreReading { revision, entries }, false);
    view
}

/// Guards against a delayed watch that undoes what a whole reading has shown.
#[test]
fn changes_older_than_the_reading_are_ignored() {
    let mut view = view_at(7, vec![entry("owners/a", "new")]);

    let changed = view.apply(vec![change(6, "owners/a", Some("old"))]);

    assert!(!changed);
    assert_eq!(view.entries(), vec![entry("owners/a", "new")]);
}

/// Guards against losing the second change of one transaction, which has the
/// same revision as the first.
#[test]
fn all_changes_of_one_revision_are_applied() {
    let mut view = view_at(7, vec![entry("a", "1"), entry("b", "1")]);

    let changed = view.apply(vec![change(8, "a", None), change(8, "b", Some("2"))]);

    assert!(changed);
    assert_eq!(view.entries(), vec![entry("b", "2")]);
}

/// Guards against exceeding the daemon's share of the store's rate.
#[test]
fn limiter_permits_a_burst_and_then_the_rate() {
    let mut limiter = RateLimiter::new(20);
    let now = Duration::from_secs(100);

    let waits: Vec<_> = (0..60).map(|_| limiter.book(now)).collect();

    assert!(waits[..20].iter().all(Duration::is_zero));
    assert_eq!(waits[59], Duration::from_secs(2));
}

/// Guards against shares whose sum exceeds the store's limits, and against a
/// flag that the number of daemons overrides.
#[test]
fn shares_follow_the_number_of_daemons_unless_set() {
    let rates = StoreRates {
        writes: None,
        reads: Some(7),
    };
    let now = Duration::from_secs(100);
    let burst = |daemons, kind| {
        let mut limits = RateLimits::new(rates);
        limits.set_daemon_count(daemons);
        (0..2_000)
            .take_while(|_| limits.book(kind, now).is_zero())
            .count()
    };

    let writes = [1, 8, 48].map(|daemons| burst(daemons, StoreCallKind::Lease));

    assert_eq!(writes, [200, 25, 4]);
    assert_eq!(burst(48, StoreCallKind::Read), 7);
}

/// Guards against waits that grow without bound.
#[test]
fn backoff_grows_to_its_bound() {
    let mut backoff = StoreBackoff::default();

    let waits: Vec<_> = (0..20).map(|_| backoff.next(1.0)).collect();

    assert_eq!(waits[0], Duration::from_millis(100));
    assert_eq!(waits[19], Duration::from_secs(5));
}

proptest! {
    /// Guards against a panic of the decoders on damaged store answers.
    #[test]
    fn decoders_return_errors_for_any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode_changes(&bytes);
        let _ = serde_json::from_slice::<RangeReply>(&bytes).map(RangeReply::into_entries);
    }

    /// Guards against a panic on well-formed JSON with damaged texts inside.
    #[test]
    fn decoders_return_errors_for_any_texts(key in ".{0,12}", value in ".{0,12}", revision in ".{0,6}") {
        let kv = serde_json::json!({"key": key, "value": value, "mod_revision": revision});
        let watch = serde_json::json!({"result": {"events": [{"kv": kv}], "compact_revision": revision}});
        let txn = serde_json::json!({"header": {"revision": revision}, "responses": [{"response_range": {"kvs": [kv]}}]});

        let _ = decode_changes(watch.to_string().as_bytes());
        let reply: TxnReply = serde_json::from_value(txn).expect("the shape is that of a reply");
        let _ = reply.into_reading();
    }
}
