//! Tests of configuration publication.

use std::time::Duration;

use proptest::prelude::*;

use super::{
    ConfigAction, ConfigEvent, ConfigPull, ConfigRejection, ConfigSource, ConfigState,
    ConfigUpdate, PublishError, SNAPSHOT_INTERVAL, digest_objects,
};
use crate::{
    objects::{ObjectLoader, ObjectSet},
    types::ConfigVersion,
};

fn set_with_teams(count: u64) -> ObjectSet {
    let mut loader = ObjectLoader::default();
    for index in 0..count {
        let text = format!("[[team]]\nname = 'team-{index}'\nquota = {{ cpu_milli = 1 }}\n");
        loader.add("teams.toml", &text);
    }
    loader.finish().set
}

fn deltas(updates: &[ConfigUpdate]) -> ConfigPull {
    ConfigPull {
        snapshot: None,
        deltas: updates.iter().map(|update| update.delta.clone()).collect(),
    }
}

fn fetch(state: &mut ConfigState, pull: ConfigPull) -> Vec<ConfigAction> {
    state.handle(ConfigEvent::Fetched(pull), Duration::ZERO)
}

/// Returns a state after a number of publications, and their updates.
fn published(versions: u64) -> (ConfigState, Vec<ConfigUpdate>) {
    let mut state = ConfigState::default();
    let mut updates = Vec::new();
    for version in 0..versions {
        let update = state.prepare(version, set_with_teams(version + 1)).unwrap();
        fetch(&mut state, deltas(std::slice::from_ref(&update)));
        updates.push(update);
    }
    (state, updates)
}

/// Guards against a corrupted delta that is accepted.
#[test]
fn corrupted_delta_leaves_the_last_valid_version_in_force() {
    let (mut state, _) = published(2);
    let mut update = state.prepare(2, set_with_teams(9)).unwrap();
    update.delta.delta.puts.pop();

    let actions = fetch(&mut state, deltas(&[update]));

    assert_eq!(
        actions,
        [ConfigAction::Rejected(3, ConfigRejection::Corrupted)]
    );
    assert_eq!((state.version(), state.objects().teams.len()), (2, 2));
}

/// Guards against an invalid set that is accepted because its digest matches.
#[test]
fn invalid_set_leaves_the_last_valid_version_in_force() {
    let (mut state, _) = published(1);
    let mut update = state.prepare(1, set_with_teams(2)).unwrap();
    let mut objects = set_with_teams(2);
    for team in objects.teams.values_mut() {
        team.weight = 0;
    }
    update.delta.delta = crate::objects::ObjectDelta::between(state.objects(), &objects);
    update.delta.digest = digest_objects(2, &objects);

    let actions = fetch(&mut state, deltas(&[update]));

    assert!(
        matches!(
            actions[..],
            [ConfigAction::Rejected(
                2,
                ConfigRejection::CheckFailed { .. }
            )]
        ),
        "{actions:?}"
    );
    assert_eq!(state.version(), 1);
}

/// Guards against a conflict that does not list the objects that the other
/// operator changed.
#[test]
fn conflict_lists_the_changed_objects() {
    let (state, _) = published(3);

    let error = state.prepare(1, set_with_teams(7)).unwrap_err();

    let PublishError::Conflict { found, changes, .. } = error else {
        panic!("no conflict: {error:?}");
    };
    let changes: Vec<_> = changes.iter().map(ToString::to_string).collect();
    assert_eq!(found, 3);
    assert_eq!(changes, ["added team `team-1`", "added team `team-2`"]);
}

/// Guards against a daemon that needs every delta since the first version to
/// start.
#[test]
fn every_32nd_version_has_a_snapshot() {
    let (state, updates) = published(SNAPSHOT_INTERVAL + 2);
    let snapshots = updates.iter().filter_map(|update| update.snapshot.clone());
    let snapshots: Vec<_> = snapshots.collect();
    let mut late_state = ConfigState::default();

    fetch(
        &mut late_state,
        ConfigPull {
            snapshot: snapshots.last().cloned(),
            ..deltas(&updates[32..])
        },
    );

    assert_eq!(snapshots.len(), 1);
    assert_eq!(late_state.head(), state.head());
}

/// Guards against a pull with a gap from a peer whose history does not reach back
/// far enough.
#[test]
fn peer_without_the_deltas_sends_a_snapshot() {
    let (state, updates) = published(SNAPSHOT_INTERVAL + 2);
    let mut partial_state = ConfigState::default();
    fetch(
        &mut partial_state,
        ConfigPull {
            snapshot: updates[31].snapshot.clone(),
            ..deltas(&updates[32..])
        },
    );
    let mut new_state = ConfigState::default();

    fetch(&mut new_state, partial_state.pull(0));

    assert_eq!(new_state.head(), state.head());
}

/// Guards against a pull that exceeds the size of a peer message.
#[test]
fn large_deltas_are_replaced_by_a_snapshot() {
    let (mut state, _) = published(2);
    for (base, teams) in [(2, 200), (3, 1), (4, 200)] {
        let update = state.prepare(base, set_with_teams(teams)).unwrap();
        fetch(&mut state, deltas(&[update]));
    }

    let pulls = [state.pull(2), state.pull(3), state.pull(5)];

    let shapes = pulls.map(|pull| (pull.snapshot.is_some(), pull.deltas.len()));
    assert_eq!(shapes, [(true, 0), (true, 0), (false, 0)]);
    assert_eq!(state.pull(4).deltas.len(), 1);
}

/// Guards against repeated fetches while one is in flight, against waiting
/// forever for a lost one, and against fetching a version only from the store
/// although it is corrupted there.
#[test]
fn fetch_without_result_is_retried_from_a_peer_first() {
    let mut state = ConfigState::default();
    let seen = |source| ConfigEvent::VersionSeen(5, source);
    let store = || seen(ConfigSource::Store(5));
    let peer = || seen(ConfigSource::Peer("daemon-2".into()));
    let steps = [
        (store(), 0),
        (peer(), 1_999),
        (store(), 2_000),
        (peer(), 2_000),
        (peer(), 5_999),
        (peer(), 6_000),
        (store(), 8_000),
    ];

    let counts = steps.map(|(event, millis)| {
        let actions = state.handle(event, Duration::from_millis(millis));
        actions.len()
    });

    assert_eq!(counts, [1, 0, 0, 1, 0, 1, 1]);
}

proptest! {
    /// Guards against a version that decreases when deltas are lost, duplicated
    /// or reordered.
    #[test]
    fn versions_never_decrease(order in prop::collection::vec(0..6_usize, 0..30)) {
        let (_, updates) = published(6);
        let mut state = ConfigState::default();
        let mut highest: ConfigVersion = 0;

        for index in order {
            fetch(&mut state, deltas(&updates[index..=index]));

            prop_assert!(state.version() >= highest);
            highest = state.version();
            prop_assert_eq!(state.objects().teams.len() as u64, highest);
        }
    }
}
