//! Tests of one owner and the records that it writes.

use std::{collections::BTreeMap, time::Duration};

use super::super::{QuotaAllotment, QuotaLedger, QuotaOutcome, QuotaRecord, StoredQuota};
use crate::{
    teams::{ResourceCap, TeamTable, TeamTerms},
    types::{ResourceVector, TeamId},
};

const NOW: Duration = Duration::from_secs(100);

/// A time at which the next change may follow one at [`NOW`].
const LATER: Duration = Duration::from_millis(100_100);

/// Returns a demand of accelerators only.
const fn accelerators(count: u64) -> ResourceVector {
    ResourceVector::new(0, 0, count)
}

/// Returns the terms of a team whose cap is on accelerators.
fn caps(count: u64) -> TeamTable {
    let terms = TeamTerms {
        weight: 1,
        cap: ResourceCap {
            accelerators: Some(count),
            ..ResourceCap::default()
        },
    };
    TeamTable::from([("red".into(), terms)])
}

fn red() -> TeamId {
    "red".into()
}

/// Returns a record with an allotment of the service `other`.
fn record_of_other(allotted: u64, wanted: u64, revision: u64) -> BTreeMap<TeamId, StoredQuota> {
    let allotment = QuotaAllotment {
        allotted: accelerators(allotted),
        wanted: accelerators(wanted),
    };
    let record = QuotaRecord {
        services: BTreeMap::from([("other".into(), allotment)]),
    };
    BTreeMap::from([(red(), StoredQuota { record, revision })])
}

/// Returns the next record, in which this service has an allotment and another one wants capacity.
fn records_with_want(allotted: u64, wanted: u64) -> BTreeMap<TeamId, StoredQuota> {
    let mut records = record_of_other(0, wanted, 8);
    let own = QuotaAllotment {
        allotted: accelerators(allotted),
        wanted: accelerators(0),
    };
    let record = &mut records.get_mut("red").unwrap().record;
    record.services.insert("own".into(), own);
    records
}

/// Returns a ledger that has read these records.
fn loaded_ledger(cap: u64, records: BTreeMap<TeamId, StoredQuota>) -> QuotaLedger {
    let mut ledger = QuotaLedger::new("own".into());
    ledger.set_caps(&caps(cap));
    let number = ledger.due_read().unwrap();
    ledger.finish_read(number, records);
    ledger
}

/// Lets tasks wait and makes the change that they need. Returns the allotment that was written.
fn raise(ledger: &mut QuotaLedger, lacking: u64, revision: u64) -> u64 {
    ledger.add_lacking(Some(&red()), &accelerators(1), lacking);
    let change = ledger.next_change(NOW).unwrap();
    ledger.finish_change(QuotaOutcome::Written(revision));
    let services = &change.writes[0].record.services;
    services["own"].allotted.accelerators
}

/// Failure: an owner that has just taken over places tasks of a team whose allotments it has not
/// read.
#[test]
fn nothing_is_admitted_before_the_records_are_read() {
    let mut ledger = QuotaLedger::new("own".into());
    ledger.set_caps(&caps(8));

    let admitted = ledger.admit(Some(&red()), &accelerators(1), 4);

    assert_eq!(admitted, 0);
    assert_eq!(ledger.due_read(), Some(1));
    assert_eq!(ledger.next_change(NOW), None);
}

/// Failure: tasks of jobs without a team, or of a team without a cap, wait for records.
#[test]
fn work_without_a_cap_is_admitted_at_once() {
    let mut ledger = QuotaLedger::new("own".into());
    ledger.set_caps(&TeamTable::from([("red".into(), TeamTerms::default())]));

    let unlimited = ledger.admit(Some(&red()), &accelerators(9), 4);
    let without_team = ledger.admit(None, &accelerators(9), 4);
    let disabled = QuotaLedger::default().admit(Some(&red()), &accelerators(9), 4);

    assert_eq!((unlimited, without_team, disabled), (4, 4, 4));
    assert_eq!(ledger.next_change(NOW), None);
}

/// Failure: an owner allots itself what another service holds.
#[test]
fn a_raise_leaves_the_allotments_of_the_other_services() {
    let mut ledger = loaded_ledger(16, record_of_other(10, 0, 7));

    let allotted = raise(&mut ledger, 12, 8);

    assert_eq!(allotted, 6);
    assert_eq!(ledger.admit(Some(&red()), &accelerators(1), 12), 6);
}

/// Failure: urgent tasks wait for a write each time, as the owner asks for no more than it needs.
#[test]
fn a_raise_includes_a_reserve() {
    let mut ledger = loaded_ledger(16, BTreeMap::new());

    let allotted = raise(&mut ledger, 2, 8);

    assert_eq!(allotted, 6);
}

/// Failure: a service uses up what a team owns elsewhere, and a team under half of its cap waits.
#[test]
fn capacity_that_another_service_wants_is_returned() {
    let mut ledger = loaded_ledger(16, BTreeMap::new());
    raise(&mut ledger, 16, 7);
    ledger.charge(Some(&red()), &accelerators(2));
    ledger.begin_pass();
    ledger.update_records(records_with_want(16, 4));

    let change = ledger.next_change(LATER).unwrap();

    let services = &change.writes[0].record.services;
    assert_eq!(services["own"].allotted, accelerators(12));
    assert!(!change.is_raise);
    assert_eq!(ledger.admit(Some(&red()), &accelerators(1), 16), 6);
}

/// Failure: a busy service places the next tasks as its runs end, so another service that wants
/// capacity gets none.
#[test]
fn a_busy_service_places_no_task_in_what_another_one_wants() {
    let mut ledger = loaded_ledger(16, BTreeMap::new());
    raise(&mut ledger, 16, 7);
    ledger.charge(Some(&red()), &accelerators(16));
    ledger.update_records(records_with_want(16, 4));

    ledger.release(Some(&red()), &accelerators(4));
    let admitted = ledger.admit(Some(&red()), &accelerators(1), 16);
    let change = ledger.next_change(LATER).unwrap();

    let services = &change.writes[0].record.services;
    assert_eq!(admitted, 0);
    assert_eq!(services["own"].allotted, accelerators(12));
}

/// Failure: the answer to a write that lowers an allotment is lost, the owner uses the former one,
/// and the write is carried out later.
#[test]
fn a_lowered_allotment_stays_in_force_until_its_record_is_replaced() {
    let mut ledger = loaded_ledger(16, BTreeMap::new());
    raise(&mut ledger, 16, 7);
    ledger.begin_pass();
    let idle_at = NOW + Duration::from_secs(1);
    let returned_at = idle_at + Duration::from_secs(3);
    assert_eq!(ledger.next_change(idle_at), None);
    let lowered = ledger.next_change(returned_at).unwrap();

    ledger.finish_change(QuotaOutcome::Unknown);
    let admitted = ledger.admit(Some(&red()), &accelerators(1), 4);
    ledger.add_lacking(Some(&red()), &accelerators(1), 4);
    let repeated = ledger
        .next_change(returned_at + Duration::from_millis(100))
        .unwrap();

    assert!(!lowered.is_raise);
    assert_eq!(admitted, 0);
    assert!(repeated.is_raise);
    assert_eq!(repeated.writes[0].expected_revision, 7);
}

/// Failure: the cap is lowered while the owner does not know of a raise by another service.
#[test]
fn a_lowered_cap_needs_the_records_to_be_read_again() {
    let mut ledger = loaded_ledger(16, BTreeMap::new());
    raise(&mut ledger, 2, 7);

    ledger.set_caps(&caps(8));
    let before = ledger.admit(Some(&red()), &accelerators(1), 4);
    let number = ledger.due_read().unwrap();
    ledger.finish_read(number, record_of_other(7, 0, 8));
    let own_is_gone = ledger.admit(Some(&red()), &accelerators(1), 4);

    assert_eq!(before, 0);
    assert_eq!(own_is_gone, 0);
    assert_eq!(ledger.due_read(), None);
}

/// Failure: two services start a task above the cap each, or a task larger than the cap never
/// starts.
#[test]
fn only_a_service_that_holds_the_whole_cap_exceeds_it_by_one_task() {
    let large = accelerators(8);
    let mut whole = loaded_ledger(4, BTreeMap::new());
    let mut part = loaded_ledger(4, record_of_other(1, 0, 7));
    for ledger in [&mut whole, &mut part] {
        ledger.add_lacking(Some(&red()), &large, 2);
        ledger.next_change(NOW).unwrap();
        ledger.finish_change(QuotaOutcome::Written(8));
    }

    let above = whole.admit(Some(&red()), &large, 4);
    let below = part.admit(Some(&red()), &large, 4);

    assert_eq!((above, below), (1, 0));
}

/// Failure: a cap is lowered below the allotments of two services, and neither starts a task any
/// more.
#[test]
fn allotments_above_a_lowered_cap_shrink_to_equal_parts() {
    let mut ledger = loaded_ledger(100, record_of_other(60, 0, 7));
    raise(&mut ledger, 40, 8);
    ledger.set_caps(&caps(50));
    let number = ledger.due_read().unwrap();
    ledger.finish_read(number, BTreeMap::new());
    ledger.begin_pass();
    ledger.add_lacking(Some(&red()), &accelerators(1), 30);

    let change = ledger.next_change(LATER).unwrap();

    let services = &change.writes[0].record.services;
    assert_eq!(services["own"].allotted, accelerators(25));
}

/// Failure: two owners change the records of many teams at once, and neither gets through.
#[test]
fn a_change_after_a_conflict_is_made_for_one_team() {
    let mut table = caps(16);
    table.insert("blue".into(), table["red"]);
    let mut ledger = QuotaLedger::new("own".into());
    ledger.set_caps(&table);
    ledger.finish_read(1, BTreeMap::new());
    let blue: TeamId = "blue".into();
    for team in [&blue, &red()] {
        ledger.add_lacking(Some(team), &accelerators(1), 2);
    }

    let first = ledger.next_change(NOW).unwrap();
    ledger.finish_change(QuotaOutcome::Conflict(record_of_other(3, 0, 9)));
    let second = ledger.next_change(NOW).unwrap();

    assert_eq!(first.writes.len(), 2);
    assert_eq!(second.writes.len(), 1);
}
