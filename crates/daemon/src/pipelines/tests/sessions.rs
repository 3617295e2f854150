//! Tests of the ownerships that are known to have ended.

use std::{collections::BTreeMap, time::Duration};

use auburnsaddle_core::{MAX_PREDECESSOR_TIME, PipelineEvent};
use auburnsaddle_platform::StoreItem;

use super::{cancelled_job, empty_shard, service_id, session, shard_with};
use crate::{
    pipelines::{
        CellKey, DaemonRegistration, LoadedShard, decode_value, encode_value,
        sessions::{OwnerSession, PredecessorList},
    },
    witness::{EXTENSION_END_DELAY, WitnessEntry, WitnessList},
};

/// Time at which the registrations of the tests were read.
const SEEN_AT: Duration = Duration::from_secs(70);

/// Time of the takeover in the tests.
const TAKEN_OVER_AT: Duration = Duration::from_secs(80);

/// Returns the item that the takeover at this revision wrote.
fn sessions_item(sessions: &[OwnerSession], revision: u64) -> StoreItem {
    StoreItem {
        key: CellKey::Sessions(service_id()).path(),
        value: encode_value(&sessions),
        revision,
    }
}

/// Returns the registrations of daemons at these revisions.
fn registrations(revisions: &[(&str, u64)]) -> BTreeMap<String, DaemonRegistration> {
    let registrations = revisions.iter().map(|(daemon, revision)| {
        let registration = DaemonRegistration {
            revision: *revision,
            seen_at: SEEN_AT,
        };
        ((*daemon).to_owned(), registration)
    });
    registrations.collect()
}

/// Returns when the predecessors of `edge-0`, which takes over after epoch 5, had ended.
fn ended_at(sessions: &[OwnerSession], revisions: &[(&str, u64)]) -> Option<Duration> {
    let item = sessions_item(sessions, 50);
    let mut predecessors = PredecessorList::read(Some(&item), None, 5, "edge-0");
    predecessors.remove_ended(&registrations(revisions));
    predecessors.ended_at(TAKEN_OVER_AT)
}

/// Guards against a successor that takes a predecessor which only lost contact with the store for
/// one that has ended.
#[test]
fn an_ownership_has_ended_once_its_daemon_has_registered_again() {
    let sessions = [session("edge-1", 5, 0)];

    let absent = ended_at(&sessions, &[]);
    let before = ended_at(&sessions, &[("edge-1", 49)]);
    let other = ended_at(&sessions, &[("edge-2", 60)]);
    let after = ended_at(&sessions, &[("edge-1", 51)]);

    assert_eq!((absent, before, other), (None, None, None));
    assert_eq!(after, Some(SEEN_AT));
}

/// Guards against a chain of takeovers in which only the last owner is known to have ended.
#[test]
fn each_of_several_predecessors_must_have_ended() {
    let sessions = [session("edge-1", 3, 30), session("edge-2", 5, 0)];

    let last_only = ended_at(&sessions, &[("edge-1", 29), ("edge-2", 51)]);
    let both = ended_at(&sessions, &[("edge-1", 31), ("edge-2", 51)]);

    assert_eq!((last_only, both), (None, Some(SEEN_AT)));
}

/// Guards against counting the wait of a restarted owner from a time before its restart.
#[test]
fn an_earlier_process_of_the_daemon_has_ended_by_the_takeover() {
    let own = ended_at(&[session("edge-0", 5, 0)], &[]);
    let own_and_other = ended_at(
        &[session("edge-1", 4, 40), session("edge-0", 5, 0)],
        &[("edge-1", 41)],
    );

    assert_eq!(own, Some(TAKEN_OVER_AT));
    assert_eq!(own_and_other, Some(TAKEN_OVER_AT));
}

/// Guards against a predecessor of an earlier version, which has recorded nothing.
#[test]
fn an_unrecorded_predecessor_is_not_known_to_have_ended() {
    let every_daemon = [("edge-0", 99), ("edge-1", 99)];
    let stale = ended_at(&[session("edge-1", 4, 0)], &[("edge-1", 99)]);
    let mut missing = PredecessorList::read(None, None, 5, "edge-0");
    missing.remove_ended(&registrations(&every_daemon));
    let first = PredecessorList::read(None, None, 0, "edge-0");

    let written = missing.followed_by(&session("edge-0", 6, 0));

    assert_eq!((stale, missing.ended_at(TAKEN_OVER_AT)), (None, None));
    assert_eq!(first.ended_at(TAKEN_OVER_AT), Some(Duration::ZERO));
    assert_eq!((written.len(), written[0].epoch), (2, 5));
}

/// Guards against a list that grows, and against predecessors that are waited for in each later
/// takeover because their daemons never return.
#[test]
fn predecessors_that_have_ended_are_removed_from_the_store() {
    let item = sessions_item(&[session("edge-1", 2, 0)], 30);
    let predecessors = || PredecessorList::read(Some(&item), None, 2, "edge-0");
    let written = |now: Duration, is_registered: bool| {
        let mut shard = shard_with(LoadedShard {
            predecessors: predecessors(),
            jobs: vec![cancelled_job()],
            ..empty_shard()
        });
        if is_registered {
            shard.update_predecessors(&registrations(&[("edge-1", 31)]));
        }
        shard.handle(PipelineEvent::Cancelled(1), now);
        let transaction = shard.next_commit(now).unwrap();
        let key = CellKey::Sessions(service_id()).path();
        let mut puts = transaction.puts.into_iter();
        let put = puts.find(|(put_key, ..)| *put_key == key);
        put.and_then(|(key, value, _)| decode_value::<Vec<OwnerSession>>(&key, &value))
    };

    let early = written(Duration::from_secs(1), false);
    let known = written(Duration::from_secs(1), true);
    let late = written(MAX_PREDECESSOR_TIME, false);

    let only_present = Some(vec![session("edge-0", 3, 0)]);
    assert_eq!(early, None);
    assert_eq!((&known, &late), (&only_present, &only_present));
}

/// Guards against an event for each registration once the ends are known.
#[test]
fn the_end_of_the_predecessors_is_an_event_once() {
    let item = sessions_item(&[session("edge-1", 2, 0)], 30);
    let mut shard = shard_with(LoadedShard {
        predecessors: PredecessorList::read(Some(&item), None, 2, "edge-0"),
        ..empty_shard()
    });

    let before = shard.update_predecessors(&registrations(&[("edge-1", 29)]));
    let first = shard.update_predecessors(&registrations(&[("edge-1", 31)]));
    let second = shard.update_predecessors(&registrations(&[("edge-1", 33)]));

    let ended = Some(PipelineEvent::PredecessorsEnded(SEEN_AT));
    assert_eq!((before, first, second), (None, ended, None));
}

/// Returns the witnesses of an ownership, which have been registered at revision 10.
fn witness_list(epoch: u64, daemons: &[&str]) -> WitnessList {
    let entries = daemons.iter().map(|daemon| WitnessEntry {
        daemon: (*daemon).to_owned(),
        address: format!("{daemon}:1"),
        registration: 10,
    });
    WitnessList {
        epoch,
        entries: entries.collect(),
    }
}

/// Returns the predecessors of `edge-0`, which takes over after epoch 5.
fn witnessed_predecessors(sessions: &[OwnerSession], lists: &[WitnessList]) -> PredecessorList {
    let item = sessions_item(sessions, 50);
    let witnesses = StoreItem {
        key: CellKey::Witnesses(service_id()).path(),
        value: encode_value(&lists),
        revision: 50,
    };
    PredecessorList::read(Some(&item), Some(&witnesses), 5, "edge-0")
}

/// Guards against tasks that stay away for 20 s because their worker is lost together with an owner
/// whose daemon does not return: its witnesses show that it extends no lease.
#[test]
fn an_owner_that_does_not_return_has_ended_once_its_witnesses_are_told() {
    let lists = [witness_list(5, &["edge-0", "edge-2", "edge-3", "edge-4"])];
    let mut predecessors = witnessed_predecessors(&[session("edge-1", 5, 0)], &lists);
    let told_at = |seconds| TAKEN_OVER_AT + Duration::from_secs(seconds);

    let untold = predecessors.untold_witnesses().len();
    predecessors.record_told("edge-0", told_at(0));
    predecessors.record_told("edge-0", told_at(1));
    predecessors.record_told("edge-9", told_at(1));
    let minority = predecessors.ended_at(TAKEN_OVER_AT);
    predecessors.record_told("edge-3", told_at(2));

    assert_eq!((untold, minority), (4, None));
    let ended_at = predecessors.ended_at(TAKEN_OVER_AT);
    assert_eq!(ended_at, Some(told_at(2) + EXTENSION_END_DELAY));
}

/// Guards against a chain of takeovers in which the witnesses of only one owner are told, and against
/// witnesses that are recorded for another ownership.
#[test]
fn the_witnesses_of_each_predecessor_are_told() {
    let sessions = [session("edge-1", 3, 30), session("edge-2", 5, 0)];
    let lists = [witness_list(3, &["edge-3"]), witness_list(5, &["edge-4"])];
    let mut both = witnessed_predecessors(&sessions, &lists);
    let mut unrecorded = witnessed_predecessors(&sessions, &lists[1..]);
    let mut stale = witnessed_predecessors(&sessions[1..], &[witness_list(4, &["edge-4"])]);

    both.record_told("edge-4", TAKEN_OVER_AT);
    let last_only = both.ended_at(TAKEN_OVER_AT);
    both.record_told("edge-3", TAKEN_OVER_AT);
    for predecessors in [&mut unrecorded, &mut stale] {
        predecessors.record_told("edge-3", TAKEN_OVER_AT);
        predecessors.record_told("edge-4", TAKEN_OVER_AT);
    }

    let ended = Some(TAKEN_OVER_AT + EXTENSION_END_DELAY);
    assert_eq!((last_only, both.ended_at(TAKEN_OVER_AT)), (None, ended));
    assert_eq!(unrecorded.ended_at(TAKEN_OVER_AT), None);
    assert_eq!(stale.ended_at(TAKEN_OVER_AT), None);
}

/// Guards against witnesses that stay recorded after their daemons have left, so that an owner finds no
/// majority in an outage of the store, also while no job changes.
#[test]
fn a_change_of_the_witnesses_is_recorded_without_a_change_of_jobs() {
    let mut shard = shard_with(LoadedShard {
        witnesses: witness_list(3, &["edge-1"]),
        ..empty_shard()
    });
    let present = witness_list(3, &["edge-1", "edge-2"]);

    shard.set_witnesses(present.entries.clone(), Duration::ZERO);
    let early = shard.next_commit(Duration::from_millis(900));
    shard.set_witnesses(present.entries.clone(), Duration::from_millis(900));
    let transaction = shard.next_commit(Duration::from_secs(1)).unwrap();

    let key = CellKey::Witnesses(service_id()).path();
    let mut puts = transaction.puts.into_iter();
    let written = puts.find(|(put_key, ..)| *put_key == key);
    let written =
        written.and_then(|(key, value, _)| decode_value::<Vec<WitnessList>>(&key, &value));
    assert!(early.is_none());
    assert_eq!(written, Some(vec![present]));
}
