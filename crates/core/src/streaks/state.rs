//! The failures of each task since one of its runs has held.

use std::{collections::BTreeMap, time::Duration};

use crate::{instances::InstanceNumber, types::WorkerId};

/// Where a run failed.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum FailurePlace {
    Worker(WorkerId, InstanceNumber),
    /// Under an earlier owner, on a worker instance that started then, in ms since 1970.
    StartedAt(u64),
}

impl FailurePlace {
    /// Returns whether the run failed on this worker, whose present instance started then.
    pub(crate) fn is_on(&self, worker: &WorkerId, started_unix_ms: u64) -> bool {
        match self {
            Self::Worker(known, _) => known == worker,
            Self::StartedAt(known_ms) => *known_ms == started_unix_ms,
        }
    }
}

/// A run that failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct RunFailure {
    pub(crate) place: FailurePlace,
    /// When the run was placed.
    pub(crate) placed_at: Duration,
    pub(crate) failed_at: Duration,
}

/// Failures of a task in a row.
#[derive(Clone, Debug)]
pub(crate) struct FailureStreak {
    pub(crate) failures: u32,
    pub(crate) latest: RunFailure,
    /// Whether the task has failed on a worker that is known to be sound.
    pub(crate) is_at_fault: bool,
}

/// The tasks that have failed since one of their runs has held, by task.
///
/// The table has an entry for each of them, so it is empty while nothing fails.
#[derive(Clone, Debug)]
pub(crate) struct StreakTable<K> {
    streaks: BTreeMap<K, FailureStreak>,
}

impl<K> Default for StreakTable<K> {
    fn default() -> Self {
        let streaks = BTreeMap::new();
        Self { streaks }
    }
}

impl<K: Copy + Ord> StreakTable<K> {
    /// Records that a run of a task failed. Returns the streak with it.
    ///
    /// `is_sound_since` returns whether a run has held that was placed after a failed one on the same
    /// worker.
    pub(crate) fn record_failure(
        &mut self,
        task: K,
        failure: RunFailure,
        is_sound_since: impl Fn(&RunFailure) -> bool,
    ) -> &FailureStreak {
        let is_on_sound = is_sound_since(&failure);
        let streak = self.streaks.entry(task).or_insert_with(|| FailureStreak {
            failures: 0,
            latest: failure.clone(),
            is_at_fault: false,
        });
        streak.is_at_fault |= is_on_sound || is_sound_since(&streak.latest);
        streak.failures = streak.failures.saturating_add(1);
        streak.latest = failure;
        streak
    }

    /// Adds a task that has failed under an earlier owner.
    pub(crate) fn inherit_failure(&mut self, task: K, failure: RunFailure) {
        let streak = FailureStreak {
            failures: 1,
            latest: failure,
            is_at_fault: false,
        };
        self.streaks.insert(task, streak);
    }

    /// Ends the streak of a task, as a run of it has held.
    pub(crate) fn end_streak(&mut self, task: K) {
        self.streaks.remove(&task);
    }

    /// Removes the streaks of the tasks from `first` on, as far as they are selected.
    pub(crate) fn remove_from(&mut self, first: K, is_selected: impl Fn(K) -> bool) {
        let tasks = self.streaks_from(first).map(|(task, _)| task);
        let tasks: Vec<K> = tasks.take_while(|task| is_selected(*task)).collect();
        for task in tasks {
            self.streaks.remove(&task);
        }
    }

    pub(crate) fn streak(&self, task: K) -> Option<&FailureStreak> {
        self.streaks.get(&task)
    }

    /// Returns the streaks of the tasks from `first` on.
    pub(crate) fn streaks_from(&self, first: K) -> impl Iterator<Item = (K, &FailureStreak)> {
        let streaks = self.streaks.range(first..);
        streaks.map(|(task, streak)| (*task, streak))
    }

    /// Returns all streaks.
    pub(crate) fn streaks(&self) -> impl Iterator<Item = (K, &FailureStreak)> {
        self.streaks.iter().map(|(task, streak)| (*task, streak))
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.streaks.is_empty()
    }
}
