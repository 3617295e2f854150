//! Tests of the failure detector.

use std::{collections::BTreeSet, time::Duration};

use super::{Heartbeat, MemberRecord, PeerConfig, PeerTable};

const LATER: Duration = Duration::from_secs(10);

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
    }
}

fn table(names: &[&str]) -> PeerTable {
    let mut table = PeerTable::new(PeerConfig::default());
    table.set_members(
        names.iter().map(|name| record(name)).collect(),
        Duration::ZERO,
    );
    table
}

/// Guards against taking a cut between two daemons for a death.
#[test]
fn silence_needs_confirmation_by_most_peers() {
    let mut table = table(&["b", "c", "d"]);
    table.note_heartbeat(heartbeat("c", &[]), LATER);
    table.note_heartbeat(heartbeat("d", &["b"]), LATER);

    let before = table.is_confirmed_dead(&"b".into(), LATER);
    table.note_heartbeat(heartbeat("c", &["b"]), LATER);
    let after = table.is_confirmed_dead(&"b".into(), LATER);

    assert!(!before);
    assert!(after);
}

/// Guards against suspecting peers that were only just registered.
#[test]
fn new_members_are_not_suspected() {
    let table = table(&["b"]);

    let suspected = table.suspected(Duration::from_secs(1));

    assert_eq!(suspected, BTreeSet::new());
}
