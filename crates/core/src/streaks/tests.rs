//! Tests of the failures of tasks.

use std::time::Duration;

use super::{FailurePlace, RunFailure, StreakTable};

/// Returns a run that was placed on a worker at this time in s and failed.
fn failure(worker: &str, placed_s: u64) -> RunFailure {
    RunFailure {
        place: FailurePlace::Worker(worker.into(), 1),
        placed_at: Duration::from_secs(placed_s),
        failed_at: Duration::from_secs(placed_s),
    }
}

/// Guards against a sound worker that is blamed for a task which fails everywhere, and against a
/// sound task that is blamed for workers of which nothing is known.
#[test]
fn a_task_is_at_fault_once_it_has_failed_on_a_sound_worker() {
    // The workers of the failures, the one that is known to be sound, and the verdict.
    let cases = [
        (["w1", "w2", "w3"], None, false),
        (["w1", "w2", "w3"], Some("w1"), true),
        (["w1", "w2", "w3"], Some("w3"), true),
        (["w1", "w1", "w1"], Some("w2"), false),
    ];
    for (workers, sound, is_at_fault) in cases {
        let mut table = StreakTable::default();
        let is_sound_since =
            |failure: &RunFailure| sound.is_some_and(|sound| failure.place.is_on(&sound.into(), 0));

        for (worker, placed_s) in workers.into_iter().zip(0..) {
            table.record_failure(7, failure(worker, placed_s), is_sound_since);
        }

        let streak = table.streak(7).unwrap();
        assert_eq!(streak.is_at_fault, is_at_fault, "{workers:?} {sound:?}");
        assert_eq!(streak.failures, 3);
    }
}

/// Guards against a task that is blamed for ever, although it runs again.
#[test]
fn a_run_that_holds_ends_the_streak() {
    let mut table = StreakTable::default();
    table.record_failure(7, failure("w1", 1), |_| true);

    table.end_streak(7);
    table.record_failure(7, failure("w1", 2), |_| false);

    let streak = table.streak(7).unwrap();
    assert_eq!((streak.failures, streak.is_at_fault), (1, false));
}
