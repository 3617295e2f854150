//! Tests of ownership.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

use super::{OwnerRecord, OwnerTable, OwnershipAction, OwnershipConfig, OwnershipEvent};
use crate::types::ShardName;

const SEED: u64 = 7;

/// After the hold and the longest random delay of a takeover.
const AFTER_HOLD: Duration = Duration::from_millis(500);
const AFTER_DELAY: Duration = Duration::from_millis(701);

fn shard() -> ShardName {
    ShardName::Pool("sales".into())
}

fn record(daemon: &str, epoch: u64) -> OwnerRecord {
    OwnerRecord {
        daemon: daemon.into(),
        epoch,
    }
}

fn candidates(names: &[&str]) -> OwnershipEvent {
    let zones = names.iter().map(|&name| (name.into(), "z1".into()));
    OwnershipEvent::CandidatesChanged(zones.collect())
}

fn dead(names: &[&str]) -> OwnershipEvent {
    OwnershipEvent::DeadDaemonsChanged(names.iter().map(|&name| name.into()).collect())
}

fn answered(record: OwnerRecord) -> OwnershipEvent {
    OwnershipEvent::ClaimAnswered {
        shard: shard(),
        record,
    }
}

fn claim(expected: Option<OwnerRecord>, next: OwnerRecord) -> OwnershipAction {
    OwnershipAction::Claim {
        shard: shard(),
        expected,
        next,
    }
}

fn table(shards: BTreeSet<ShardName>, owner: &OwnerRecord) -> OwnerTable<ChaCha8Rng> {
    let generator = ChaCha8Rng::seed_from_u64(SEED);
    let mut table = OwnerTable::new("a".into(), OwnershipConfig::default(), generator);
    let owners = shards
        .iter()
        .map(|shard| (shard.clone(), owner.clone()))
        .collect();
    table.handle(candidates(&["a"]), Duration::ZERO);
    table.handle(OwnershipEvent::ShardsChanged(shards), Duration::ZERO);
    table.handle(OwnershipEvent::OwnersRead(owners), Duration::ZERO);
    table
}

/// Returns a table that has claimed the shard of the dead `b` at epoch 5.
fn claiming_table() -> OwnerTable<ChaCha8Rng> {
    let mut table = table([shard()].into(), &record("b", 4));
    table.handle(dead(&["b"]), Duration::ZERO);
    table.handle(OwnershipEvent::TimerFired, AFTER_HOLD);
    table.handle(OwnershipEvent::TimerFired, AFTER_DELAY);
    table
}

fn active_table() -> OwnerTable<ChaCha8Rng> {
    let mut table = claiming_table();
    table.handle(answered(record("a", 5)), AFTER_DELAY);
    table.handle(OwnershipEvent::Replayed(shard(), 5), AFTER_DELAY);
    table.handle(OwnershipEvent::TargetsClaimed(shard(), 5), AFTER_DELAY);
    table
}

/// Guards against two owners with one epoch, and against a takeover before the
/// hold and the random delay have passed.
#[test]
fn takeover_waits_and_raises_the_epoch() {
    let mut table = table([shard()].into(), &record("b", 4));

    let at_once = table.handle(dead(&["b"]), Duration::ZERO);
    let early = table.handle(OwnershipEvent::TimerFired, Duration::from_millis(499));
    let held = table.handle(OwnershipEvent::TimerFired, AFTER_HOLD);
    let after = table.handle(OwnershipEvent::TimerFired, AFTER_DELAY);

    assert_eq!((at_once, early, held), (vec![], vec![], vec![]));
    assert_eq!(after, vec![claim(Some(record("b", 4)), record("a", 5))]);
}

/// Guards against a takeover from a daemon whose suspicion flaps.
#[test]
fn daemon_heard_again_starts_the_hold_anew() {
    let mut table = table([shard()].into(), &record("b", 4));

    let mut actions = Vec::new();
    for round in 0..20 {
        let now = Duration::from_millis(400) * round;
        let event = if round % 2 == 0 {
            dead(&["b"])
        } else {
            dead(&[])
        };
        actions.extend(table.handle(event, now));
    }

    assert_eq!(actions, vec![]);
}

/// Guards against a delayed reading that brings a former owner back.
#[test]
fn older_epochs_are_ignored() {
    let mut table = active_table();

    let owners = BTreeMap::from([(shard(), record("b", 4))]);
    let actions = table.handle(OwnershipEvent::OwnersRead(owners), AFTER_DELAY);

    assert_eq!(actions, vec![]);
    assert_eq!(table.owned_epoch(&shard()), Some(5));
}

/// Guards against a storm of takeovers when a zone is lost.
#[test]
fn takeovers_are_limited() {
    let shards = (0..32).map(|index| ShardName::Key("r1".into(), index));
    let mut table = table(shards.collect(), &record("b", 1));
    table.handle(dead(&["b"]), Duration::ZERO);
    table.handle(OwnershipEvent::TimerFired, AFTER_HOLD);

    let actions = table.handle(OwnershipEvent::TimerFired, AFTER_DELAY);

    assert_eq!(actions.len(), 8);
}

/// Guards against a claim that took effect without its daemon noticing.
#[test]
fn lost_claim_response_is_read_back() {
    let mut table = claiming_table();

    let failed = table.handle(OwnershipEvent::ClaimFailed(shard()), AFTER_DELAY);
    let read = OwnershipEvent::OwnerRead {
        shard: shard(),
        record: Some(record("a", 5)),
    };
    let resolved = table.handle(read, AFTER_DELAY);

    let acquired = OwnershipAction::Acquired {
        shard: shard(),
        epoch: 5,
    };
    assert_eq!(failed, vec![OwnershipAction::ReadOwner(shard())]);
    assert_eq!(resolved, vec![acquired]);
}

/// Guards against a store that refuses connections being asked without pause.
#[test]
fn failed_readings_wait_for_the_timer() {
    let mut table = claiming_table();
    table.handle(OwnershipEvent::ClaimFailed(shard()), AFTER_DELAY);

    let again = table.handle(OwnershipEvent::ClaimFailed(shard()), AFTER_DELAY);
    let later = AFTER_DELAY + OwnershipConfig::default().claim_retry_time;
    let retried = table.handle(OwnershipEvent::TimerFired, later);

    assert_eq!(again, vec![]);
    assert!(retried.contains(&OwnershipAction::ReadOwner(shard())));
}

/// Guards against dispatch before the journal is read and targets are claimed.
#[test]
fn dispatch_waits_for_replay_and_claims() {
    let mut table = claiming_table();
    table.handle(answered(record("a", 5)), AFTER_DELAY);

    let acquired = table.may_dispatch(&shard(), AFTER_DELAY);
    table.handle(OwnershipEvent::Replayed(shard(), 5), AFTER_DELAY);
    let replayed = table.may_dispatch(&shard(), AFTER_DELAY);
    let actions = table.handle(OwnershipEvent::TargetsClaimed(shard(), 5), AFTER_DELAY);

    assert!(!acquired && !replayed);
    assert_eq!(actions, vec![OwnershipAction::Activated(shard(), 5)]);
    assert!(table.may_dispatch(&shard(), AFTER_DELAY));
}

/// Guards against a former owner that acts again at its old epoch after a
/// pause: the fence ends the ownership before anything else.
#[test]
fn fenced_owner_steps_down_and_returns_only_with_a_higher_epoch() {
    let mut table = active_table();

    let fenced = table.handle(OwnershipEvent::Fenced(shard(), 5), AFTER_DELAY);
    let read = OwnershipEvent::OwnerRead {
        shard: shard(),
        record: Some(record("b", 6)),
    };
    let later = table.handle(read, AFTER_DELAY);

    let expected = vec![
        OwnershipAction::Lost(shard()),
        OwnershipAction::ReadOwner(shard()),
    ];
    assert_eq!(fenced, expected);
    assert!(!table.may_dispatch(&shard(), AFTER_DELAY));
    assert_eq!(later, vec![]);
    assert_eq!(table.owned_epoch(&shard()), None);
}

/// Guards against a process that acts with the epoch of its predecessor, whose
/// messages may still be under way.
#[test]
fn restarted_process_claims_its_own_shards_again() {
    let mut table = table([shard()].into(), &record("a", 3));

    let now = Duration::from_millis(201);
    let actions = table.handle(OwnershipEvent::TimerFired, now);

    assert_eq!(actions, vec![claim(Some(record("a", 3)), record("a", 4))]);
}

/// Guards against a paused owner that is never told of its replacement.
#[test]
fn pause_makes_the_owner_read_its_record() {
    let mut table = active_table();

    let now = AFTER_DELAY + Duration::from_secs(30);
    let actions = table.handle(OwnershipEvent::TimerFired, now);

    assert_eq!(actions, vec![OwnershipAction::ReadOwner(shard())]);
}

/// Guards against a drain that hands over before its records are written, or
/// goes on starting work.
#[test]
fn drain_flushes_then_hands_over() {
    let mut table = active_table();
    table.handle(candidates(&["a", "c"]), AFTER_DELAY);

    let drained = table.handle(OwnershipEvent::DrainRequested, AFTER_DELAY);
    let stopped = !table.may_dispatch(&shard(), AFTER_DELAY);
    let flushed = table.handle(OwnershipEvent::Flushed(shard(), 5), AFTER_DELAY);
    let moved = table.handle(answered(record("c", 6)), AFTER_DELAY);

    assert_eq!(drained, vec![OwnershipAction::Flush(shard(), 5)]);
    assert!(stopped);
    assert_eq!(flushed, vec![claim(Some(record("a", 5)), record("c", 6))]);
    assert_eq!(moved, vec![OwnershipAction::Lost(shard())]);
    assert!(table.is_drained());
}

/// Guards against a joining daemon that makes all its shards move at once, or
/// shards move whose successor has not changed.
#[test]
fn rebalancing_moves_one_shard_at_a_time_to_its_successor() {
    let shards: BTreeSet<_> = (0..8)
        .map(|index| ShardName::Key("r1".into(), index))
        .collect();
    let mut table = table(shards.clone(), &record("a", 1));
    table.handle(OwnershipEvent::TimerFired, Duration::from_millis(201));
    for shard in &shards {
        let record = record("a", 2);
        let shard = shard.clone();
        table.handle(
            OwnershipEvent::ClaimAnswered {
                shard: shard.clone(),
                record,
            },
            AFTER_DELAY,
        );
        table.handle(OwnershipEvent::Replayed(shard.clone(), 2), AFTER_DELAY);
        table.handle(OwnershipEvent::TargetsClaimed(shard, 2), AFTER_DELAY);
    }

    table.handle(candidates(&["a", "c"]), AFTER_DELAY);
    let early = table.handle(OwnershipEvent::TimerFired, AFTER_DELAY);
    let later = AFTER_DELAY + Duration::from_secs(10);
    let actions = table.handle(dead(&[]), later);

    assert_eq!(early, vec![]);
    let [OwnershipAction::Flush(moved, 2)] = &actions[..] else {
        panic!("one flush expected, found {actions:?}");
    };
    assert_eq!(table.successor(moved), Some(&"c".into()));
}

/// Guards against a journal that cannot be replayed and keeps other shards from
/// being taken over for ever, or is read again without a growing delay.
#[test]
fn a_failed_replay_frees_its_place_and_is_repeated() {
    let shards = (0..9).map(|index| ShardName::Key("r1".into(), index));
    let mut table = table(shards.collect(), &record("a", 1));
    let claims = table.handle(OwnershipEvent::TimerFired, AFTER_DELAY);
    for action in &claims {
        if let OwnershipAction::Claim { shard, next, .. } = action {
            let (shard, record) = (shard.clone(), next.clone());
            table.handle(OwnershipEvent::ClaimAnswered { shard, record }, AFTER_DELAY);
        }
    }
    let OwnershipAction::Claim { shard, .. } = claims[0].clone() else {
        panic!("a claim expected, found {claims:?}");
    };
    let failed = OwnershipEvent::ReplayFailed(shard.clone(), 2);
    let again = OwnershipAction::Acquired { shard, epoch: 2 };
    let mut at = |event: &OwnershipEvent, seconds| {
        table.handle(event.clone(), AFTER_DELAY + Duration::from_secs(seconds))
    };

    let full = at(&OwnershipEvent::TimerFired, 0);
    let freed = at(&failed, 0);
    let early = at(&OwnershipEvent::TimerFired, 4);
    let first = at(&OwnershipEvent::TimerFired, 5);
    at(&failed, 5);
    let second = [14, 15].map(|second| at(&OwnershipEvent::TimerFired, second).contains(&again));

    assert_eq!(claims.len(), 8);
    assert_eq!(full, vec![]);
    assert!(matches!(freed[..], [OwnershipAction::Claim { .. }]));
    assert!(!early.contains(&again) && first.contains(&again));
    assert_eq!(second, [false, true]);
}

/// Guards against a lease counted from its response: a response that comes
/// late must not extend it.
#[test]
fn lease_counts_from_before_its_request() {
    let mut table = active_table();
    let lease_shards = [shard()].into();
    table.handle(
        OwnershipEvent::LeaseShardsChanged(lease_shards),
        AFTER_DELAY,
    );
    let unleased = table.may_dispatch(&shard(), AFTER_DELAY);

    let granted = OwnershipEvent::LeaseGranted {
        shard: shard(),
        epoch: 5,
        sent_at: AFTER_DELAY,
    };
    table.handle(granted, AFTER_DELAY + Duration::from_secs(5));

    let last = AFTER_DELAY + Duration::from_millis(8_999);
    assert!(!unleased);
    assert!(table.may_dispatch(&shard(), last));
    assert!(!table.may_dispatch(&shard(), last + Duration::from_millis(1)));
}
