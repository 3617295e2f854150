//! Tests of the log of suspected peers.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use auburnsaddle_core::{Heartbeat, MemberRecord, PeerConfig, PeerTable};

use super::{
    SuspicionLog,
    suspicion::{PeerChange, SuspicionCause},
};

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

fn table(names: &[&str]) -> PeerTable {
    let mut table = PeerTable::new(PeerConfig::default(), "r1".into());
    let members = names.iter().map(|name| record(name));
    table.set_members(members.collect(), Duration::ZERO);
    table
}

fn heartbeat(name: &str) -> Heartbeat {
    Heartbeat {
        daemon: name.into(),
        config_version: 1,
        suspected: BTreeSet::new(),
        draining: false,
        owned_digest: 0,
        loads: BTreeMap::new(),
    }
}

fn suspected(name: &str, cause: SuspicionCause) -> PeerChange {
    PeerChange::Suspected(name.into(), cause)
}

/// Guards against a log that does not tell a peer that is paused from one whose
/// process has ended, and against lines repeated at each check.
#[test]
fn each_change_of_a_suspicion_is_reported_once() {
    let mut table = table(&["a", "b"]);
    let mut log = SuspicionLog::default();

    let at_start = log.update(&table, Duration::ZERO);
    let silent = log.update(&table, AFTER_TIMEOUT);
    let repeated = log.update(&table, AFTER_TIMEOUT);
    table.record_refused_connection(&"a".into());
    let refusing = log.update(&table, AFTER_TIMEOUT);
    table.record_heartbeat(heartbeat("a"), AFTER_TIMEOUT);
    let returned = log.update(&table, AFTER_TIMEOUT);

    assert_eq!(at_start, []);
    assert_eq!(
        silent,
        [
            suspected("a", SuspicionCause::Silence),
            suspected("b", SuspicionCause::Silence)
        ]
    );
    assert_eq!(repeated, []);
    assert_eq!(refusing, [suspected("a", SuspicionCause::Refusal)]);
    assert_eq!(returned, [PeerChange::Returned("a".into())]);
}

/// Guards against a log in which a peer whose registration has expired seems to
/// have returned.
#[test]
fn an_expired_registration_is_not_reported_as_a_return() {
    let mut table = table(&["a"]);
    let mut log = SuspicionLog::default();
    log.update(&table, AFTER_TIMEOUT);

    table.set_members(Vec::new(), AFTER_TIMEOUT);
    let removed = log.update(&table, AFTER_TIMEOUT);

    assert_eq!(removed, [PeerChange::Removed("a".into())]);
}
