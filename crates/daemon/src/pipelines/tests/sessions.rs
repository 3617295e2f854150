//! Tests of the ownerships that are known to have ended.

use std::{collections::BTreeMap, time::Duration};

use auburnsaddle_core::{
    MAX_PREDECESSOR_TIME, PipelineAction, PipelineEvent, RenewalReport, RenewalStamp,
    ResourceVector, WorkerListing,
};
use auburnsaddle_platform::{StoreItem, TransactionOutcome};
use auburnsaddle_platform_standin::StoreStandin;
use serde::Serialize;

use super::{cancelled_job, empty_shard, first_token, service_id, session, shard_with};
use crate::{
    pipelines::{
        AcquireOutcome, CellKey, DaemonRegistration, LoadedShard, acquire_shard, decode_value,
        encode_value,
        records::SequenceEntry,
        sessions::{OwnerSession, PredecessorList},
        shard::OwnedShard,
    },
    session::{CellStore, StoreRoute},
    witness::{EXTENSION_END_DELAY, WitnessEntry, WitnessList, WitnessRecord},
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
            let mut registrations = registrations(&[("edge-1", 31)]);
            for registration in registrations.values_mut() {
                registration.seen_at = now;
            }
            shard.update_predecessors(&registrations);
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
        is_alone: false,
    }
}

/// Returns the predecessors of `edge-0`, which takes over after epoch 5.
fn witnessed_predecessors(sessions: &[OwnerSession], lists: &[WitnessList]) -> PredecessorList {
    let record = WitnessRecord::default();
    let lists = lists.iter().cloned();
    predecessors_of(sessions, &lists.fold(record, WitnessRecord::with_list))
}

/// Like [`witnessed_predecessors`], for any recorded value.
fn predecessors_of<T: Serialize>(sessions: &[OwnerSession], witnesses: &T) -> PredecessorList {
    let item = sessions_item(sessions, 50);
    let witnesses = StoreItem {
        key: CellKey::Witnesses(service_id()).path(),
        value: encode_value(witnesses),
        revision: 50,
    };
    PredecessorList::read(Some(&item), Some(&witnesses), 5, "edge-0")
}

/// Guards against tasks that stay away for 20 s because their worker is lost together with an owner
/// whose daemon does not return: its witnesses show that it extends no lease.
#[test]
fn an_owner_that_does_not_return_has_ended_once_its_witnesses_know_of_the_takeover() {
    let lists = [witness_list(5, &["edge-0", "edge-2", "edge-3", "edge-4"])];
    let mut predecessors = witnessed_predecessors(&[session("edge-1", 5, 0)], &lists);
    let acked_at = |seconds| TAKEN_OVER_AT + Duration::from_secs(seconds);

    let unacked = predecessors.unacked_witnesses().len();
    predecessors.record_ack("edge-0", acked_at(0));
    predecessors.record_ack("edge-0", acked_at(1));
    predecessors.record_ack("edge-9", acked_at(1));
    predecessors.record_ack("edge-4", acked_at(1));
    let half = predecessors.ended_at(TAKEN_OVER_AT);
    predecessors.record_ack("edge-3", acked_at(2));

    assert_eq!((unacked, half), (4, None));
    let ended_at = predecessors.ended_at(TAKEN_OVER_AT);
    assert_eq!(ended_at, Some(acked_at(2) + EXTENSION_END_DELAY));
}

/// Guards against tasks that stay away for 20 s because most witnesses are lost together with the
/// owner: one that does not confirm it limits the time for which the others permit extensions.
#[test]
fn an_owner_that_lacks_a_witness_has_ended_after_a_limited_time() {
    let lists = [witness_list(5, &["edge-0", "edge-2", "edge-3", "edge-4"])];
    let mut predecessors = witnessed_predecessors(&[session("edge-1", 5, 0)], &lists);
    let limit = lists[0].partly_fenced_at(TAKEN_OVER_AT, |_| Some(TAKEN_OVER_AT));
    let limit = limit.unwrap();
    let ended_at = |predecessors: &mut PredecessorList, now| {
        predecessors.remove_partly_fenced(TAKEN_OVER_AT, now);
        predecessors.ended_at(TAKEN_OVER_AT)
    };

    let unacked = ended_at(&mut predecessors, limit * 2);
    predecessors.record_ack("edge-0", TAKEN_OVER_AT);
    let early = ended_at(
        &mut predecessors,
        limit.saturating_sub(Duration::from_millis(1)),
    );
    let late = ended_at(&mut predecessors, limit);

    assert_eq!((unacked, early, late), (None, None, Some(limit)));
}

/// Guards against a count from a time at which all witnesses may still have confirmed the owner: the
/// first of them acknowledges the takeover late.
#[test]
fn a_late_acknowledgement_delays_the_end_of_an_owner_that_lacks_a_witness() {
    let lists = [witness_list(5, &["edge-2", "edge-3"])];
    let mut predecessors = witnessed_predecessors(&[session("edge-1", 5, 0)], &lists);
    let acked_at = TAKEN_OVER_AT + Duration::from_secs(8);

    predecessors.record_ack("edge-2", acked_at);
    predecessors.remove_partly_fenced(TAKEN_OVER_AT, acked_at);
    let early = predecessors.ended_at(TAKEN_OVER_AT);
    predecessors.remove_partly_fenced(TAKEN_OVER_AT, acked_at * 2);

    assert_eq!(early, None);
    let ended_at = predecessors.ended_at(TAKEN_OVER_AT);
    assert_eq!(ended_at, Some(acked_at + EXTENSION_END_DELAY));
}

/// Guards against second runs of tasks while an owner of an earlier version extends leases for 10 s by
/// half of its witnesses, also after an owner of this version has recorded them again.
#[test]
fn an_owner_of_an_earlier_version_is_not_limited_by_one_witness() {
    let sessions = [session("edge-1", 5, 0)];
    let lists = vec![witness_list(5, &["edge-2", "edge-3", "edge-4"])];
    let earlier = predecessors_of(&sessions, &lists);
    let copied = earlier.witnesses_followed_by(&witness_list(6, &["edge-2"]));
    let copied = predecessors_of(&sessions, &copied);

    let ends = [earlier, copied].map(|mut predecessors| {
        predecessors.record_ack("edge-2", TAKEN_OVER_AT);
        predecessors.remove_partly_fenced(TAKEN_OVER_AT, TAKEN_OVER_AT * 2);
        let limited = predecessors.ended_at(TAKEN_OVER_AT);
        predecessors.record_ack("edge-3", TAKEN_OVER_AT);
        (limited, predecessors.ended_at(TAKEN_OVER_AT))
    });

    let ended_at = Some(TAKEN_OVER_AT + EXTENSION_END_DELAY);
    assert_eq!(ends, [(None, ended_at), (None, ended_at)]);
}

/// Guards against a takeover by an earlier version, in a rolling update, that cannot read the witnesses
/// of its predecessor.
#[test]
fn an_earlier_version_reads_the_recorded_witnesses() {
    let list = witness_list(5, &["edge-2"]);
    let value = encode_value(&WitnessRecord::default().with_list(list.clone()));

    let lists: Option<Vec<WitnessList>> = decode_value("wit", &value);

    assert_eq!(lists, Some(vec![list]));
}

/// Guards against a chain of takeovers in which the witnesses of only one owner know of the successor, and against
/// witnesses that are recorded for another ownership.
#[test]
fn the_witnesses_of_each_predecessor_must_know_of_the_takeover() {
    let sessions = [session("edge-1", 3, 30), session("edge-2", 5, 0)];
    let lists = [witness_list(3, &["edge-3"]), witness_list(5, &["edge-4"])];
    let mut both = witnessed_predecessors(&sessions, &lists);
    let mut unrecorded = witnessed_predecessors(&sessions, &lists[1..]);
    let mut stale = witnessed_predecessors(&sessions[1..], &[witness_list(4, &["edge-4"])]);

    both.record_ack("edge-4", TAKEN_OVER_AT);
    let last_only = both.ended_at(TAKEN_OVER_AT);
    both.record_ack("edge-3", TAKEN_OVER_AT);
    for predecessors in [&mut unrecorded, &mut stale] {
        predecessors.record_ack("edge-3", TAKEN_OVER_AT);
        predecessors.record_ack("edge-4", TAKEN_OVER_AT);
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

/// Guards against a predecessor that is waited for by time although its witnesses are known: the owner
/// removes its list from the store while the store still lists its ownership.
#[test]
fn each_recorded_ownership_keeps_its_witnesses() {
    let sessions = [session("edge-1", 1, 10), session("edge-2", 2, 0)];
    let lists = [witness_list(1, &["edge-3"]), witness_list(2, &["edge-4"])];
    let item = sessions_item(&sessions, 30);
    let witnesses = StoreItem {
        key: CellKey::Witnesses(service_id()).path(),
        value: encode_value(&lists.as_slice()),
        revision: 30,
    };
    let predecessors = PredecessorList::read(Some(&item), Some(&witnesses), 2, "edge-0");
    let recorded = predecessors.followed_by(&session("edge-0", 3, 0));
    let mut shard = shard_with(LoadedShard {
        predecessors,
        witnesses: witness_list(3, &[]),
        ..empty_shard()
    });

    shard.record_ack("edge-3", Duration::ZERO);
    shard.set_witnesses(witness_list(3, &["edge-3"]).entries, Duration::ZERO);
    let transaction = shard.next_commit(Duration::from_secs(1)).unwrap();

    let written = |key: CellKey| {
        let mut puts = transaction.puts.iter();
        let put = puts.find(|(put_key, ..)| *put_key == key.path());
        put.map(|(_, value, _)| value.clone())
    };
    let sessions = written(CellKey::Sessions(service_id()));
    let sessions = sessions.map_or(recorded, |value| decode_value("own", &value).unwrap());
    let lists = written(CellKey::Witnesses(service_id())).unwrap();
    let lists: Vec<WitnessList> = decode_value("wit", &lists).unwrap();
    let epochs = |sessions: &[OwnerSession]| -> Vec<u64> {
        sessions.iter().map(|session| session.epoch).collect()
    };
    let listed: Vec<u64> = lists.iter().map(|list| list.epoch).collect();
    assert_eq!(listed, epochs(&sessions));
}

/// Guards against an owner that asks other witnesses than its successor: the store has carried out an
/// earlier takeover of the same daemon late, which had other witnesses.
#[tokio::test]
async fn the_witnesses_of_a_takeover_are_those_in_the_store() {
    let standin = StoreStandin::start().await;
    let store = CellStore::new(StoreRoute::new(&standin.address()));
    let lease = store.grant_lease(Duration::from_secs(30)).await.unwrap();
    let take_over = |witness: &str| {
        let entries = witness_list(1, &[witness]).entries;
        acquire_shard(&store, service_id(), "edge-0", lease, 0, entries)
    };

    // The first one gets no answer in time; its transaction arrives after the reads of the second.
    let (_, second) = tokio::join!(take_over("edge-1"), take_over("edge-2"));
    let key = CellKey::Witnesses(service_id()).path();
    let item = store.read(&key).await.unwrap().unwrap();
    let stored: Vec<WitnessList> = decode_value(&item.key, &item.value).unwrap();

    // A takeover that fails is correct as well.
    if let AcquireOutcome::Acquired(loaded) = second {
        assert_eq!(stored, [loaded.witnesses]);
    }
}

/// Guards against a successor that tells the former witnesses of its predecessor: the predecessor's
/// last commit, which changes them, is carried out between the reads of the takeover.
#[tokio::test]
async fn the_witnesses_of_a_takeover_are_those_of_its_sequence() {
    let standin = StoreStandin::start().await;
    let store = CellStore::new(StoreRoute::new(&standin.address()));
    let lease = store.grant_lease(Duration::from_secs(30)).await.unwrap();
    let write = |key: CellKey, value: Vec<u8>| {
        standin.write_text(&key.path(), &String::from_utf8(value).unwrap());
    };
    let commit = |witness: &str, commit: u64| {
        let lists = [witness_list(1, &[witness])];
        let witnesses = encode_value(&lists.as_slice());
        write(CellKey::Witnesses(service_id()), witnesses);
        let sequence = encode_value(&SequenceEntry { epoch: 1, commit });
        write(CellKey::Sequence(service_id()), sequence);
    };
    let sessions = encode_value(&[session("edge-1", 1, 0)].as_slice());
    write(CellKey::Sessions(service_id()), sessions);
    commit("edge-2", 0);

    let key = CellKey::Witnesses(service_id()).path();
    let change = async {
        while standin.transfers(&key) == 0 {
            tokio::task::yield_now().await;
        }
        commit("edge-3", 1);
    };
    let take_over = acquire_shard(&store, service_id(), "edge-0", lease, 0, Vec::new());
    let (outcome, ()) = tokio::join!(take_over, change);

    // A takeover that fails is correct as well.
    if let AcquireOutcome::Acquired(loaded) = outcome {
        let unacked = loaded.predecessors.unacked_witnesses();
        assert_eq!(unacked, witness_list(1, &["edge-3"]).entries);
    }
}

/// Guards against a successor that counts from a time at which an earlier owner still extends leases:
/// the owner removes it from the store as soon as its witnesses know of the takeover, and restarts at once.
#[test]
fn an_ownership_is_recorded_until_it_extends_no_lease() {
    let lists = [witness_list(5, &["edge-3"])];
    let now = Duration::from_secs(1);
    let mut shard = shard_with(LoadedShard {
        predecessors: witnessed_predecessors(&[session("edge-1", 5, 0)], &lists),
        jobs: vec![cancelled_job()],
        ..empty_shard()
    });
    let written = |shard: &mut OwnedShard, now: Duration| {
        let transaction = shard.next_commit(now)?;
        let key = CellKey::Sessions(service_id()).path();
        let mut puts = transaction.puts.into_iter();
        puts.find(|(put_key, ..)| *put_key == key)
    };

    shard.record_ack("edge-3", now);
    shard.handle(PipelineEvent::Cancelled(1), now);
    let early = written(&mut shard, now);

    assert_eq!(early, None);
}

/// Returns whether the next renewal of the worker extends its lease.
fn extends_lease(shard: &mut OwnedShard, now: Duration) -> bool {
    let report = RenewalReport {
        started_unix_ms: 1,
        clock_ms: u64::try_from(now.as_millis()).unwrap(),
        running: Vec::new(),
        ended: Vec::new(),
        has_more_ends: false,
    };
    let stamp = RenewalStamp {
        token: first_token(shard.epoch()),
        sent_at: now,
    };
    let event = PipelineEvent::LeaseRenewed("w1".into(), stamp, report);
    let actions = shard.handle(event, now);
    let mut renewals = actions.iter().filter_map(|action| match action {
        PipelineAction::Renew(order) => Some(order.deadline_ms.is_some()),
        _ => None,
    });
    renewals.next().unwrap()
}

/// Returns a shard with this witness and one worker, confirmed by the store at time zero.
fn witnessed_shard(witness: &str) -> OwnedShard {
    let mut shard = shard_with(LoadedShard {
        witnesses: witness_list(3, &[witness]),
        ..empty_shard()
    });
    let confirmed_until = Duration::from_secs(2);
    shard.confirm_by_store(Duration::ZERO, confirmed_until);
    let listing = WorkerListing {
        worker: "w1".into(),
        address: "w1:1".to_owned(),
        capacity: ResourceVector::default(),
        labels: Vec::new(),
        rack: None,
        is_draining: false,
        leaves_in: None,
        started_unix_ms: None,
    };
    let events = [
        PipelineEvent::OwnershipConfirmed(confirmed_until),
        PipelineEvent::Listed(listing),
    ];
    for event in events {
        shard.handle(event, Duration::ZERO);
    }
    shard
}

/// Guards against leases that are extended long after the store has confirmed the ownership, and
/// against the end of all runs in an outage of the store.
#[test]
fn leases_are_extended_while_the_store_or_a_witness_confirms() {
    let mut shard = witnessed_shard("edge-1");
    let [confirmed, silent, witnessed] = [500, 1_500, 2_500].map(Duration::from_millis);

    let early_notices = shard.due_notices(confirmed);
    let by_store = extends_lease(&mut shard, confirmed);
    let notices = shard.due_notices(silent);
    let repeated = shard.due_notices(silent);
    let unconfirmed = extends_lease(&mut shard, silent);
    shard.confirm_by_witness("edge-1", 10, silent * 3 / 2);
    let by_witness = extends_lease(&mut shard, witnessed);

    assert!(early_notices.is_empty() && repeated.is_empty());
    assert!(notices.contains_key("edge-1"));
    assert_eq!((by_store, unconfirmed, by_witness), (true, false, true));
}

/// Guards against extensions that a successor does not know of, as it reads the witnesses of a commit
/// whose outcome the owner does not know.
#[test]
fn a_change_of_the_witnesses_binds_when_it_is_sent() {
    let mut shard = witnessed_shard("edge-1");
    let [sent_at, asked_at, now] = [1_100, 2_000, 2_500].map(Duration::from_millis);

    shard.set_witnesses(witness_list(3, &["edge-2"]).entries, Duration::ZERO);
    shard.next_commit(sent_at);
    shard.confirm_by_witness("edge-1", 10, asked_at);
    let by_former = extends_lease(&mut shard, now);
    shard.confirm_by_witness("edge-2", 10, asked_at);
    let by_both = extends_lease(&mut shard, now);
    shard.finish_commit(&TransactionOutcome::Done(41), now);
    shard.confirm_by_witness("edge-1", 10, now);
    let by_former_later = extends_lease(&mut shard, now + Duration::from_millis(500));
    shard.confirm_by_witness("edge-2", 10, now);
    let by_present = extends_lease(&mut shard, now + Duration::from_millis(500));

    assert_eq!((by_former, by_both), (false, true));
    assert_eq!((by_former_later, by_present), (false, true));
}

/// Guards against the end of all runs in an outage of the store at the only daemon, and against a
/// successor that waits for an owner which was alone for a moment after a restart of all daemons.
#[test]
fn an_owner_records_that_it_is_alone_after_a_while() {
    let mut shard = shard_with(LoadedShard {
        witnesses: witness_list(3, &[]),
        ..empty_shard()
    });

    let early = shard.next_commit(Duration::from_millis(9_900));
    let transaction = shard.next_commit(Duration::from_secs(10)).unwrap();

    let key = CellKey::Witnesses(service_id()).path();
    let mut puts = transaction.puts.into_iter();
    let written = puts.find(|(put_key, ..)| *put_key == key);
    let written =
        written.and_then(|(key, value, _)| decode_value::<Vec<WitnessList>>(&key, &value));
    let is_alone: Vec<bool> = written.unwrap().iter().map(|list| list.is_alone).collect();
    assert!(early.is_none());
    assert_eq!(is_alone, [true]);
}
