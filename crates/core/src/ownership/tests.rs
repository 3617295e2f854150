//! Tests of shard ownership.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

use super::{OwnerRecord, OwnerTable, OwnershipAction, OwnershipConfig, OwnershipEvent};
use crate::types::ShardName;

const SEED: u64 = 7;

/// The end of the hold-down of a daemon that is confirmed dead at zero.
const AFTER_HOLD_DOWN: Duration = Duration::from_millis(500);

/// Past the hold-down and the longest random delay of a takeover.
const AFTER_JITTER: Duration = Duration::from_millis(701);

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
    let rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut table = OwnerTable::new("a".into(), OwnershipConfig::default(), rng);
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
    table.handle(OwnershipEvent::TimerFired, AFTER_HOLD_DOWN);
    table.handle(OwnershipEvent::TimerFired, AFTER_JITTER);
    table
}

fn active_table() -> OwnerTable<ChaCha8Rng> {
    let mut table = claiming_table();
    table.handle(answered(record("a", 5)), AFTER_JITTER);
    table.handle(OwnershipEvent::Replayed(shard(), 5), AFTER_JITTER);
    table.handle(OwnershipEvent::TargetsClaimed(shard(), 5), AFTER_JITTER);
    table
}

/// Guards against two owners with the same epoch, and against a takeover before
/// the hold-down and the random delay have passed.
#[test]
fn takeover_waits_for_the_hold_down_and_increments_the_epoch() {
    let mut table = table([shard()].into(), &record("b", 4));

    let at_once = table.handle(dead(&["b"]), Duration::ZERO);
    let early = table.handle(OwnershipEvent::TimerFired, Duration::from_millis(499));
    let after_hold_down = table.handle(OwnershipEvent::TimerFired, AFTER_HOLD_DOWN);
    let after = table.handle(OwnershipEvent::TimerFired, AFTER_JITTER);

    assert_eq!((at_once, early, after_hold_down), (vec![], vec![], vec![]));
    assert_eq!(after, vec![claim(Some(record("b", 4)), record("a", 5))]);
}

/// Guards against a takeover from a daemon whose confirmed death is withdrawn
/// and reported again within the hold-down.
#[test]
fn recovered_daemon_restarts_the_hold_down() {
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

/// Guards against a delayed read that reinstates a former owner.
#[test]
fn owner_records_of_older_epochs_are_ignored() {
    let mut table = active_table();

    let owners = BTreeMap::from([(shard(), record("b", 4))]);
    let actions = table.handle(OwnershipEvent::OwnersRead(owners), AFTER_JITTER);

    assert_eq!(actions, vec![]);
    assert_eq!(table.owned_epoch(&shard()), Some(5));
}

/// Guards against too many simultaneous takeovers when a zone is lost.
#[test]
fn concurrent_takeovers_are_limited() {
    let shards = (0..32).map(|index| ShardName::Key("r1".into(), index));
    let mut table = table(shards.collect(), &record("b", 1));
    table.handle(dead(&["b"]), Duration::ZERO);
    table.handle(OwnershipEvent::TimerFired, AFTER_HOLD_DOWN);

    let actions = table.handle(OwnershipEvent::TimerFired, AFTER_JITTER);

    assert_eq!(actions.len(), 8);
}

/// Guards against a claim that took effect but whose response was lost, so that
/// the daemon does not know that it owns the shard.
#[test]
fn lost_claim_response_is_read_back() {
    let mut table = claiming_table();

    let failed = table.handle(OwnershipEvent::ClaimFailed(shard()), AFTER_JITTER);
    let read = OwnershipEvent::OwnerRead {
        shard: shard(),
        record: Some(record("a", 5)),
    };
    let resolved = table.handle(read, AFTER_JITTER);

    let acquired = OwnershipAction::Acquired {
        shard: shard(),
        epoch: 5,
    };
    assert_eq!(failed, vec![OwnershipAction::ReadOwner(shard())]);
    assert_eq!(resolved, vec![acquired]);
}

/// Guards against reads in a tight loop from a store that refuses connections.
#[test]
fn failed_reads_wait_for_the_timer() {
    let mut table = claiming_table();
    table.handle(OwnershipEvent::ClaimFailed(shard()), AFTER_JITTER);

    let again = table.handle(OwnershipEvent::ClaimFailed(shard()), AFTER_JITTER);
    let later = AFTER_JITTER + OwnershipConfig::default().claim_timeout;
    let retried = table.handle(OwnershipEvent::TimerFired, later);

    assert_eq!(again, vec![]);
    assert!(retried.contains(&OwnershipAction::ReadOwner(shard())));
}

/// Guards against dispatch before the journal is replayed and the epoch is
/// announced to the targets.
#[test]
fn dispatch_waits_for_replay_and_target_claims() {
    let mut table = claiming_table();
    table.handle(answered(record("a", 5)), AFTER_JITTER);

    let acquired = table.may_dispatch(&shard(), AFTER_JITTER);
    table.handle(OwnershipEvent::Replayed(shard(), 5), AFTER_JITTER);
    let replayed = table.may_dispatch(&shard(), AFTER_JITTER);
    let actions = table.handle(OwnershipEvent::TargetsClaimed(shard(), 5), AFTER_JITTER);

    assert!(!acquired && !replayed);
    assert_eq!(actions, vec![OwnershipAction::Activated(shard(), 5)]);
    assert!(table.may_dispatch(&shard(), AFTER_JITTER));
}

/// Guards against a former owner that dispatches under its old epoch after a
/// pause. Fencing ends the ownership before any other action.
#[test]
fn fenced_owner_steps_down_until_it_has_a_higher_epoch() {
    let mut table = active_table();

    let fenced = table.handle(OwnershipEvent::Fenced(shard(), 5), AFTER_JITTER);
    let read = OwnershipEvent::OwnerRead {
        shard: shard(),
        record: Some(record("b", 6)),
    };
    let later = table.handle(read, AFTER_JITTER);

    let expected = vec![
        OwnershipAction::Lost(shard()),
        OwnershipAction::ReadOwner(shard()),
    ];
    assert_eq!(fenced, expected);
    assert!(!table.may_dispatch(&shard(), AFTER_JITTER));
    assert_eq!(later, vec![]);
    assert_eq!(table.owned_epoch(&shard()), None);
}

/// Guards against a restarted process that reuses the epoch of its predecessor,
/// whose messages may still be in flight.
#[test]
fn restarted_process_claims_its_shards_under_a_new_epoch() {
    let mut table = table([shard()].into(), &record("a", 3));

    let now = Duration::from_millis(201);
    let actions = table.handle(OwnershipEvent::TimerFired, now);

    assert_eq!(actions, vec![claim(Some(record("a", 3)), record("a", 4))]);
}

/// Guards against an owner that was replaced during a pause and does not learn
/// of it.
#[test]
fn owner_reads_its_record_after_a_pause() {
    let mut table = active_table();

    let now = AFTER_JITTER + Duration::from_secs(30);
    let actions = table.handle(OwnershipEvent::TimerFired, now);

    assert_eq!(actions, vec![OwnershipAction::ReadOwner(shard())]);
}

/// Guards against a drain that hands a shard over before its records are
/// written, or that still dispatches work.
#[test]
fn drain_flushes_before_the_handover() {
    let mut table = active_table();
    table.handle(candidates(&["a", "c"]), AFTER_JITTER);

    let drained = table.handle(OwnershipEvent::DrainRequested, AFTER_JITTER);
    let stopped = !table.may_dispatch(&shard(), AFTER_JITTER);
    let flushed = table.handle(OwnershipEvent::Flushed(shard(), 5), AFTER_JITTER);
    let moved = table.handle(answered(record("c", 6)), AFTER_JITTER);

    assert_eq!(drained, vec![OwnershipAction::Flush(shard(), 5)]);
    assert!(stopped);
    assert_eq!(flushed, vec![claim(Some(record("a", 5)), record("c", 6))]);
    assert_eq!(moved, vec![OwnershipAction::Lost(shard())]);
    assert!(table.is_drained());
}

/// Guards against handovers of all shards at once when a daemon joins, and of
/// shards whose successor has not changed.
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
            AFTER_JITTER,
        );
        table.handle(OwnershipEvent::Replayed(shard.clone(), 2), AFTER_JITTER);
        table.handle(OwnershipEvent::TargetsClaimed(shard, 2), AFTER_JITTER);
    }

    table.handle(candidates(&["a", "c"]), AFTER_JITTER);
    let early = table.handle(OwnershipEvent::TimerFired, AFTER_JITTER);
    let later = AFTER_JITTER + Duration::from_secs(10);
    let actions = table.handle(dead(&[]), later);

    assert_eq!(early, vec![]);
    let [OwnershipAction::Flush(moved, 2)] = &actions[..] else {
        panic!("one flush expected, found {actions:?}");
    };
    assert_eq!(table.successor(moved), Some(&"c".into()));
}

/// Guards against a damaged journal that blocks the takeover of other shards
/// forever, or whose replay is repeated without backoff.
#[test]
fn failed_replay_does_not_block_takeovers_and_is_retried() {
    let shards = (0..9).map(|index| ShardName::Key("r1".into(), index));
    let mut table = table(shards.collect(), &record("a", 1));
    let claims = table.handle(OwnershipEvent::TimerFired, AFTER_JITTER);
    for action in &claims {
        if let OwnershipAction::Claim { shard, next, .. } = action {
            let (shard, record) = (shard.clone(), next.clone());
            table.handle(
                OwnershipEvent::ClaimAnswered { shard, record },
                AFTER_JITTER,
            );
        }
    }
    let OwnershipAction::Claim { shard, .. } = claims[0].clone() else {
        panic!("a claim expected, found {claims:?}");
    };
    let failed = OwnershipEvent::ReplayFailed(shard.clone(), 2);
    let again = OwnershipAction::Acquired { shard, epoch: 2 };
    let mut at = |event: &OwnershipEvent, seconds| {
        table.handle(event.clone(), AFTER_JITTER + Duration::from_secs(seconds))
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

/// Guards against a lease counted from the arrival of its response: a late
/// response must not extend it.
#[test]
fn lease_is_counted_from_the_request() {
    let mut table = active_table();
    let lease_shards = [shard()].into();
    table.handle(
        OwnershipEvent::LeaseShardsChanged(lease_shards),
        AFTER_JITTER,
    );
    let unleased = table.may_dispatch(&shard(), AFTER_JITTER);

    let granted = OwnershipEvent::LeaseGranted {
        shard: shard(),
        epoch: 5,
        sent_at: AFTER_JITTER,
    };
    table.handle(granted, AFTER_JITTER + Duration::from_secs(5));

    let last = AFTER_JITTER + Duration::from_millis(8_999);
    assert!(!unleased);
    assert!(table.may_dispatch(&shard(), last));
    assert!(!table.may_dispatch(&shard(), last + Duration::from_millis(1)));
}
