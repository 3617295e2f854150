//! Tests of the ownerships that are known to have ended.

use std::{collections::BTreeMap, time::Duration};

use auburnsaddle_core::{MAX_PREDECESSOR_TIME, PipelineEvent};
use auburnsaddle_platform::StoreItem;

use super::{cancelled_job, empty_shard, service_id, session, shard_with};
use crate::pipelines::{
    CellKey, DaemonRegistration, LoadedShard, decode_value, encode_value,
    sessions::{OwnerSession, PredecessorList},
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
    let mut predecessors = PredecessorList::read(Some(&item), 5, "edge-0");
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
    let mut missing = PredecessorList::read(None, 5, "edge-0");
    missing.remove_ended(&registrations(&every_daemon));
    let first = PredecessorList::read(None, 0, "edge-0");

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
    let predecessors = || PredecessorList::read(Some(&item), 2, "edge-0");
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
        predecessors: PredecessorList::read(Some(&item), 2, "edge-0"),
        ..empty_shard()
    });

    let before = shard.update_predecessors(&registrations(&[("edge-1", 29)]));
    let first = shard.update_predecessors(&registrations(&[("edge-1", 31)]));
    let second = shard.update_predecessors(&registrations(&[("edge-1", 33)]));

    let ended = Some(PipelineEvent::PredecessorsEnded(SEEN_AT));
    assert_eq!((before, first, second), (None, ended, None));
}
