//! Tests of [`IntakeTable`](super::IntakeTable) in virtual time.

use std::{collections::BTreeSet, time::Duration};

use proptest::prelude::*;

use super::{IntakeLimits, IntakeRefusal, IntakeTable};

const NOW: Duration = Duration::from_secs(100);

/// Returns limits of ten connections that hold nothing else.
const fn limits() -> IntakeLimits {
    IntakeLimits {
        budget_bytes: 1_000,
        connections: 10,
        connection_bytes: 100,
        head_timeout: Duration::from_secs(10),
    }
}

/// Returns a table with connections that were opened one second apart.
fn table_of(count: u64) -> IntakeTable {
    let mut table = IntakeTable::new(limits());
    for number in 0..count {
        table.open(NOW + Duration::from_secs(number)).unwrap();
    }
    table
}

/// Failure: an ordinary request is turned away while others hold bodies open.
#[test]
fn a_body_that_is_held_open_is_shed_for_an_ordinary_request() {
    let mut table = table_of(2);
    let later = NOW + Duration::from_secs(5);
    table.hold(1, 700, later).unwrap();
    table.finish_request(2, later);

    let shed = table
        .hold(2, 200, later + Duration::from_millis(50))
        .unwrap();

    assert_eq!(shed, [1]);
}

/// Failure: a connection is closed whose request may be stored, so its caller cannot know the outcome.
#[test]
fn a_request_that_may_be_stored_is_not_shed() {
    let mut table = table_of(2);
    let later = NOW + Duration::from_secs(5);
    table.hold(1, 700, later).unwrap();
    assert!(table.protect(1));

    let refused = table.hold(2, 200, later);

    assert_eq!(refused, Err(IntakeRefusal::Memory));
    assert_eq!(table.len(), 2);
}

/// Failure: a client that holds the most makes others give way to it.
#[test]
fn the_costliest_connection_is_refused_itself() {
    let mut table = table_of(2);
    let later = NOW + Duration::from_secs(5);
    table.hold(1, 700, later).unwrap();
    table.finish_request(2, later);

    let refused = table.hold(1, 200, later);

    assert_eq!(refused, Err(IntakeRefusal::Memory));
    assert_eq!(table.len(), 2);
}

/// Failure: clients that open connections and send nothing keep all others out.
#[test]
fn the_oldest_idle_connection_gives_way_to_a_new_one() {
    let mut table = IntakeTable::new(IntakeLimits {
        connections: 3,
        ..limits()
    });
    for number in 0..3 {
        table.open(NOW + Duration::from_secs(number)).unwrap();
    }

    let (opened, shed) = table.open(NOW + Duration::from_secs(9)).unwrap();

    assert_eq!((opened, shed), (4, vec![1]));
    assert_eq!(table.len(), 3);
}

/// Failure: a connection is added although all others may have stored requests.
#[test]
fn a_connection_is_refused_if_none_can_be_shed() {
    let mut table = IntakeTable::new(IntakeLimits {
        connections: 1,
        ..limits()
    });
    table.open(NOW).unwrap();
    table.protect(1);

    let refused = table.open(NOW);

    assert_eq!(refused, Err(IntakeRefusal::Connections));
}

/// Failure: heads without end keep their connections, or idle ones count as late heads.
#[test]
fn only_connections_with_late_heads_expire() {
    let mut table = table_of(3);
    table.begin_head(1, NOW);
    table.begin_head(2, NOW);
    table.finish_head(2);

    let early = table.expire(NOW + Duration::from_secs(9));
    let late = table.expire(NOW + Duration::from_secs(10));

    assert_eq!(early, Vec::<u64>::new());
    assert_eq!(late, [1]);
}

/// Failure: what a request held is not free after its end, so the budget runs out.
#[test]
fn a_request_that_has_ended_holds_nothing() {
    let mut table = table_of(1);
    table.hold(1, 900, NOW).unwrap();

    table.finish_request(1, NOW);
    let free = table.held_bytes();
    table.close(1);

    assert_eq!(free, 100);
    assert_eq!(table.held_bytes(), 0);
}

/// An event of a connection, chosen by its place among the numbers so far.
#[derive(Clone, Debug)]
enum ConnectionStep {
    Open,
    Hold(u64, u64),
    Protect(u64),
    Finish(u64),
    Close(u64),
    Expire,
}

fn any_step() -> impl Strategy<Value = ConnectionStep> {
    let number = 1_u64..60;
    prop_oneof![
        Just(ConnectionStep::Open),
        (number.clone(), 1_u64..900).prop_map(|(of, bytes)| ConnectionStep::Hold(of, bytes)),
        number.clone().prop_map(ConnectionStep::Protect),
        number.clone().prop_map(ConnectionStep::Finish),
        number.prop_map(ConnectionStep::Close),
        Just(ConnectionStep::Expire),
    ]
}

proptest! {
    /// Failure: some sequence of events brings the held bytes above the budget or the connections
    /// above their number, or sheds a protected connection.
    #[test]
    fn no_sequence_of_events_exceeds_the_limits(
        steps in prop::collection::vec((any_step(), 0_u64..2_000), 1..200)
    ) {
        let mut table = IntakeTable::new(limits());
        let (mut open, mut protected) = (BTreeSet::new(), BTreeSet::new());
        let mut now = NOW;
        for (step, delay_ms) in steps {
            now += Duration::from_millis(delay_ms);
            let shed = match step {
                ConnectionStep::Open => match table.open(now) {
                    Ok((number, shed)) => {
                        open.insert(number);
                        shed
                    }
                    Err(_) => Vec::new(),
                },
                ConnectionStep::Hold(of, bytes) => table.hold(of, bytes, now).unwrap_or_default(),
                ConnectionStep::Protect(of) => {
                    if table.protect(of) {
                        protected.insert(of);
                    }
                    Vec::new()
                }
                ConnectionStep::Finish(of) => {
                    table.finish_request(of, now);
                    protected.remove(&of);
                    Vec::new()
                }
                ConnectionStep::Close(of) => {
                    table.close(of);
                    open.remove(&of);
                    protected.remove(&of);
                    Vec::new()
                }
                ConnectionStep::Expire => table.expire(now),
            };
            open.retain(|number| !shed.contains(number));
            prop_assert!(table.held_bytes() <= 1_000);
            prop_assert!(table.len() <= 10);
            // A connection that is shed and not named stays open outside the table.
            prop_assert_eq!(table.len(), open.len());
            prop_assert!(shed.iter().all(|number| !protected.contains(number)));
        }
    }
}
