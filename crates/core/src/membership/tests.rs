//! Tests of registration, heartbeats and the failure detector.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand::RngExt;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

use super::{
    Heartbeat, LoadReporter, MemberRecord, PeerConfig, PeerTable, RegistrationAction,
    RegistrationEvent, RegistrationLease, ShardLoad, heartbeat_bytes_per_second,
};
use crate::types::ShardName;

const SEED: u64 = 7;

/// Past the suspicion timeout of a peer registered at zero.
const AFTER_TIMEOUT: Duration = Duration::from_secs(10);

fn record(name: &str) -> MemberRecord {
    MemberRecord {
        daemon: name.into(),
        region: "r1".into(),
        zone: "z1".into(),
        peer_address: "127.0.0.1:1".into(),
        caller_address: "127.0.0.1:2".into(),
    }
}

fn heartbeat(name: &str, suspected: &[&str]) -> Heartbeat {
    Heartbeat {
        daemon: name.into(),
        config_version: 1,
        suspected: suspected.iter().map(|&daemon| daemon.into()).collect(),
        draining: false,
        owned_digest: 0,
        loads: BTreeMap::new(),
    }
}

fn members(names: &[&str]) -> Vec<MemberRecord> {
    names.iter().map(|name| record(name)).collect()
}

fn table(names: &[&str]) -> PeerTable {
    let mut table = PeerTable::new(PeerConfig::default(), "r1".into());
    table.set_members(members(names), Duration::ZERO);
    table
}

/// Guards against a daemon that restarted during a store outage and is still
/// contacted at the addresses of its earlier process.
#[test]
fn own_record_of_a_daemon_replaces_its_old_registration() {
    let mut table = table(&["b"]);
    table.record_refused_connection(&"b".into());
    let restarted = MemberRecord {
        peer_address: "127.0.0.1:3".into(),
        ..record("b")
    };

    table.update_member(restarted.clone(), AFTER_TIMEOUT);

    assert_eq!(
        table.iter().map(|peer| &peer.record).collect::<Vec<_>>(),
        [&restarted]
    );
    assert!(table.suspected(AFTER_TIMEOUT).is_empty());
}

/// Guards against a death confirmed because of a partition between two daemons,
/// and against a vote that does not count this daemon.
#[test]
fn death_needs_suspicion_by_a_majority() {
    let mut table = table(&["b", "c", "d"]);
    table.record_heartbeat(heartbeat("c", &[]), AFTER_TIMEOUT);
    table.record_heartbeat(heartbeat("d", &[]), AFTER_TIMEOUT);

    let before = table.is_confirmed_dead(&"b".into(), AFTER_TIMEOUT);
    table.record_heartbeat(heartbeat("c", &["b"]), AFTER_TIMEOUT);
    let after = table.is_confirmed_dead(&"b".into(), AFTER_TIMEOUT);

    assert!(!before);
    assert!(after);
}

/// Guards against a minority side of a partition that confirms the majority dead.
#[test]
fn minority_does_not_confirm_deaths() {
    let mut table = table(&["b", "c", "d", "e"]);
    table.record_heartbeat(heartbeat("b", &["c", "d", "e"]), AFTER_TIMEOUT);

    let dead = ["c", "d", "e"].map(|name| table.is_confirmed_dead(&name.into(), AFTER_TIMEOUT));

    assert_eq!(dead, [false; 3]);
}

/// Guards against suspicion of peers that have just been registered.
#[test]
fn new_members_are_not_suspected() {
    let table = table(&["b"]);

    let suspected = table.suspected(Duration::from_secs(1));

    assert_eq!(suspected, BTreeSet::new());
}

/// Guards against a wait of 1.5 s for a process that has ended, as its host
/// refuses connections.
#[test]
fn peer_that_refuses_connections_is_suspected_at_once() {
    let mut table = table(&["b"]);

    table.record_refused_connection(&"b".into());
    let refused = table.suspected(Duration::ZERO);
    table.record_heartbeat(heartbeat("b", &[]), Duration::ZERO);
    let heard = table.suspected(Duration::ZERO);

    assert_eq!(refused, ["b".into()].into());
    assert_eq!(heard, BTreeSet::new());
}

/// Guards against suspicion of a peer with slow heartbeats, and of all peers after
/// a pause of this process.
#[test]
fn slow_heartbeats_and_own_pauses_cause_no_suspicion() {
    let mut table = table(&["b"]);
    let mut suspected = BTreeSet::new();
    for round in 1..10 {
        let now = Duration::from_millis(1_400) * round;
        suspected.extend(table.suspected(now));
        table.record_heartbeat(heartbeat("b", &[]), now);
        table.handle_timer(now);
    }

    let resumed = Duration::from_mins(1);
    table.handle_timer(resumed);
    suspected.extend(table.suspected(resumed));

    assert_eq!(suspected, BTreeSet::new());
}

/// Guards against a pause of this process that is not reported, and against
/// timers on time that are reported as pauses.
#[test]
fn only_pauses_above_the_threshold_are_reported() {
    let mut table = table(&["b"]);
    let times = [0, 50, 1_050, 3_050].map(Duration::from_millis);

    let pauses = times.map(|now| table.handle_timer(now));

    assert_eq!(pauses, [None, None, None, Some(Duration::from_secs(2))]);
}

/// Guards against confirming all owners dead when their registrations expire
/// during a store outage.
#[test]
fn unregistered_peer_with_heartbeats_is_alive() {
    let mut table = table(&["b", "c"]);
    table.record_heartbeat(heartbeat("b", &[]), AFTER_TIMEOUT);

    table.set_members(Vec::new(), AFTER_TIMEOUT);

    assert!(!table.is_confirmed_dead(&"b".into(), AFTER_TIMEOUT));
    assert!(table.is_confirmed_dead(&"c".into(), AFTER_TIMEOUT));
}

/// Guards against takeovers caused by jitter and message loss. In one hour with
/// 20 % of the heartbeats lost and the others up to 200 ms late, none of eight
/// daemons stays confirmed dead for the 0.5 s of the takeover hold-down.
#[test]
fn lost_heartbeats_do_not_confirm_deaths() {
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let peers_of = |name| names.into_iter().filter(move |other| *other != name);
    let tables = names.map(|name| (name, table(&peers_of(name).collect::<Vec<_>>())));
    let mut tables = BTreeMap::from(tables);
    let mut arrivals = BTreeMap::new();
    let mut streaks = BTreeMap::<_, u32>::new();
    let (mut longest, mut suspicions) = (0, 0);

    for tick in 0..36_000_u64 {
        let now = Duration::from_millis(tick * 100);
        for (sender, table) in tables.iter().filter(|_| tick % 5 == 0) {
            let suspected: Vec<_> = table.suspected(now).into_iter().collect();
            let suspected: Vec<&str> = suspected.iter().map(|name| &**name).collect();
            for receiver in peers_of(sender) {
                if rng.random_bool(0.8) {
                    let at = tick + rng.random_range(0..=2);
                    let message = heartbeat(sender, &suspected);
                    arrivals.insert((at, receiver, *sender), message);
                }
            }
        }
        while let Some(entry) = arrivals.first_entry().filter(|entry| entry.key().0 <= tick) {
            let ((_, receiver, _), message) = entry.remove_entry();
            let table = tables.get_mut(receiver).expect("a daemon");
            table.record_heartbeat(message, now);
        }
        for (&at, table) in &tables {
            for of in table.suspected(now) {
                suspicions += 1;
                let streak = streaks.entry((at, of.clone())).or_default();
                let dead = table.is_confirmed_dead(&of, now);
                *streak = if dead { *streak + 1 } else { 0 };
                longest = longest.max(*streak);
            }
        }
    }

    assert!(suspicions > 1_000, "{suspicions} suspicions");
    assert!(longest < 5, "confirmed for {longest} ticks of 100 ms");
}

/// Guards against a registration that is not renewed within its lease of 10 s, or
/// not written again after the lease has expired.
#[test]
fn registration_is_renewed_and_rewritten_after_expiry() {
    let mut lease = RegistrationLease::new(ChaCha8Rng::seed_from_u64(SEED));
    let mut at = |event, seconds| lease.handle(event, Duration::from_secs(seconds));

    let actions = [
        at(RegistrationEvent::TimerFired, 0),
        at(RegistrationEvent::TimerFired, 1),
        at(RegistrationEvent::Granted, 1),
        at(RegistrationEvent::TimerFired, 4),
        at(RegistrationEvent::Failed, 5),
        at(RegistrationEvent::TimerFired, 6),
        at(RegistrationEvent::Expired, 20),
    ];

    let renew = Some(RegistrationAction::Renew);
    let register = Some(RegistrationAction::Register);
    assert_eq!(
        actions,
        [register, None, None, renew, None, renew, register]
    );
}

/// Guards against daemons that retry at short intervals, or all at the same time,
/// while the store is down.
#[test]
fn failed_registrations_are_retried_with_backoff_and_jitter() {
    let mut lease = RegistrationLease::new(ChaCha8Rng::seed_from_u64(SEED));

    let delays = [(); 200].map(|()| {
        lease.handle(RegistrationEvent::Failed, Duration::ZERO);
        lease.due().expect("a delay")
    });

    let longest = |delays: &[Duration]| delays.iter().max().copied().unwrap_or_default();
    let shortest = delays[100..].iter().min().copied().unwrap_or_default();
    assert!(longest(&delays[..1]) <= Duration::from_millis(100));
    assert!(longest(&delays) > Duration::from_secs(4));
    assert!(longest(&delays) <= Duration::from_secs(5));
    assert!(shortest < Duration::from_secs(1));
}

/// Guards against heartbeats that repeat unchanged loads, and against a wrong
/// estimate of the heartbeat traffic.
#[test]
fn heartbeats_carry_only_changed_loads() {
    let mut reporter = LoadReporter::default();
    let load = |queued| {
        let load = ShardLoad { queued, free: 1 };
        BTreeMap::from([(ShardName::Pool("sales".into()), load)])
    };

    let reports = [1, 1, 2, 2].map(|queued| reporter.report(load(queued)).len());

    assert_eq!(reports, [1, 0, 1, 0]);
    assert_eq!(heartbeat_bytes_per_second(7, 5, 60), 900);
}
