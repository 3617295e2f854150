//! The results of targets and jobs, and the targets on probation.

use std::collections::{BTreeMap, BTreeSet};

use super::messages::{HealthAction, HealthEvent};

/// Thresholds of a health table.
#[derive(Clone, Copy, Debug)]
pub struct HealthConfig {
    /// Number of different jobs that fail on a target without a success in between
    /// and put it on probation.
    pub failures_to_probation: usize,
    /// Consecutive successes that end the probation of a target.
    pub successes_to_restore: u32,
    /// Number of targets on which a job fails before it is failed itself.
    pub targets_to_fail_job: usize,
    /// Maximum share of the targets of a pool on probation.
    pub probation_percent: usize,
    /// Minimum number of results of a target for its failure rate to be used.
    pub min_rate_results: u32,
    /// Multiple of the pool's failure rate at which a target is put on probation.
    pub failure_rate_multiple: u32,
}

impl Default for HealthConfig {
    fn default() -> Self {
        Self {
            failures_to_probation: 3,
            successes_to_restore: 3,
            targets_to_fail_job: 3,
            probation_percent: 20,
            min_rate_results: 16,
            failure_rate_multiple: 4,
        }
    }
}

/// Number of results at which the counters of a target are halved, so that old
/// results lose weight.
const RESULT_WINDOW: u32 = 64;

/// Failures among the results of a target or a pool.
#[derive(Clone, Copy, Debug, Default)]
struct ResultCount {
    failures: u32,
    total: u32,
}

impl ResultCount {
    /// Counts a result; halves the counters first if they have reached the limit.
    const fn count_result(&mut self, is_failure: bool, limit: u32) {
        if self.total >= limit {
            self.total /= 2;
            self.failures /= 2;
        }
        self.total += 1;
        self.failures += is_failure as u32;
    }

    /// Removes a failure that was counted.
    const fn undo_failure(&mut self) {
        self.failures = self.failures.saturating_sub(1);
        self.total = self.total.saturating_sub(1);
    }
}

/// Results and probation of one target.
#[derive(Clone, Debug)]
struct TargetHealth<J> {
    results: ResultCount,
    /// Jobs that have failed since the last success.
    failed_jobs: BTreeSet<J>,
    /// Successes since the last failure.
    successes: u32,
    is_on_probation: bool,
}

impl<J> Default for TargetHealth<J> {
    fn default() -> Self {
        Self {
            results: ResultCount::default(),
            failed_jobs: BTreeSet::new(),
            successes: 0,
            is_on_probation: false,
        }
    }
}

/// The health of the targets of one pool.
#[derive(Clone, Debug)]
pub struct HealthTable<T, J> {
    config: HealthConfig,
    targets: BTreeMap<T, TargetHealth<J>>,
    /// Targets on which each job has failed, until the job ends.
    failed_targets: BTreeMap<J, BTreeSet<T>>,
    pool_results: ResultCount,
    probation_len: usize,
}

impl<T: Clone + Ord, J: Clone + Ord> HealthTable<T, J> {
    /// Returns a table without targets.
    #[must_use]
    pub fn new(config: HealthConfig) -> Self {
        Self {
            config,
            targets: BTreeMap::new(),
            failed_targets: BTreeMap::new(),
            pool_results: ResultCount::default(),
            probation_len: 0,
        }
    }

    /// Returns whether a target is on probation.
    #[must_use]
    pub fn is_on_probation(&self, target: &T) -> bool {
        self.targets
            .get(target)
            .is_some_and(|health| health.is_on_probation)
    }

    /// Returns whether a job has failed on a target and has not ended.
    #[must_use]
    pub fn has_failed_on(&self, job: &J, target: &T) -> bool {
        self.failed_targets
            .get(job)
            .is_some_and(|targets| targets.contains(target))
    }

    /// Returns the number of targets on probation.
    #[must_use]
    pub const fn probation_len(&self) -> usize {
        self.probation_len
    }

    /// Applies an event and returns the resulting actions.
    pub fn handle(&mut self, event: HealthEvent<T, J>) -> Vec<HealthAction<T, J>> {
        match event {
            HealthEvent::TargetAdded(target) => {
                self.targets.entry(target).or_default();
                Vec::new()
            }
            HealthEvent::TargetRemoved(target) => self.remove_target(&target),
            HealthEvent::Succeeded(target, _) => self.record_success(&target),
            HealthEvent::Failed(target, job) => self.record_failure(&target, job),
            HealthEvent::JobEnded(job) => {
                self.failed_targets.remove(&job);
                Vec::new()
            }
        }
    }

    /// Removes a target and restores others if the smaller pool permits fewer on
    /// probation.
    fn remove_target(&mut self, target: &T) -> Vec<HealthAction<T, J>> {
        if let Some(health) = self.targets.remove(target) {
            self.probation_len -= usize::from(health.is_on_probation);
        }
        let mut actions = Vec::new();
        while self.probation_len > self.probation_limit() {
            let Some(name) = self.first_on_probation() else {
                break;
            };
            self.restore_target(&name);
            actions.push(HealthAction::Restored(name));
        }
        actions
    }

    fn first_on_probation(&self) -> Option<T> {
        self.targets
            .iter()
            .find(|(_, health)| health.is_on_probation)
            .map(|(name, _)| name.clone())
    }

    fn probation_limit(&self) -> usize {
        self.targets.len() * self.config.probation_percent / 100
    }

    /// Ends the probation of a target and clears its results.
    fn restore_target(&mut self, target: &T) {
        if let Some(health) = self.targets.get_mut(target) {
            self.probation_len -= usize::from(health.is_on_probation);
            *health = TargetHealth::default();
        }
    }

    fn record_success(&mut self, target: &T) -> Vec<HealthAction<T, J>> {
        let Some(health) = self.targets.get_mut(target) else {
            return Vec::new();
        };
        self.pool_results.count_result(false, u32::MAX);
        health.results.count_result(false, RESULT_WINDOW);
        health.failed_jobs.clear();
        health.successes += 1;
        if !health.is_on_probation || health.successes < self.config.successes_to_restore {
            return Vec::new();
        }
        self.restore_target(target);
        vec![HealthAction::Restored(target.clone())]
    }

    fn record_failure(&mut self, target: &T, job: J) -> Vec<HealthAction<T, J>> {
        let Some(health) = self.targets.get_mut(target) else {
            return Vec::new();
        };
        self.pool_results.count_result(true, u32::MAX);
        health.results.count_result(true, RESULT_WINDOW);
        health.failed_jobs.insert(job.clone());
        health.successes = 0;
        let failed_targets = self.failed_targets.entry(job.clone()).or_default();
        failed_targets.insert(target.clone());
        if failed_targets.len() >= self.config.targets_to_fail_job {
            return self.fail_job(job);
        }
        self.evaluate_target(target)
    }

    /// Fails a job, removes its failures from the targets' results and restores
    /// those that are on probation without enough other failures.
    fn fail_job(&mut self, job: J) -> Vec<HealthAction<T, J>> {
        let limit = self.config.failures_to_probation;
        let mut actions = Vec::new();
        for name in self.failed_targets.remove(&job).unwrap_or_default() {
            let Some(health) = self.targets.get_mut(&name) else {
                continue;
            };
            health.failed_jobs.remove(&job);
            health.results.undo_failure();
            self.pool_results.undo_failure();
            if health.is_on_probation && health.failed_jobs.len() < limit {
                self.restore_target(&name);
                actions.push(HealthAction::Restored(name));
            }
        }
        actions.push(HealthAction::FailJob(job));
        actions
    }

    /// Puts a target on probation if its failures require it and the limit permits
    /// it.
    fn evaluate_target(&mut self, target: &T) -> Vec<HealthAction<T, J>> {
        let is_limit_reached = self.probation_len >= self.probation_limit();
        let has_high_failure_rate = self.has_high_failure_rate(target);
        let Some(health) = self.targets.get_mut(target) else {
            return Vec::new();
        };
        let has_failure_streak = health.failed_jobs.len() >= self.config.failures_to_probation;
        if health.is_on_probation
            || is_limit_reached
            || !(has_failure_streak || has_high_failure_rate)
        {
            return Vec::new();
        }
        health.is_on_probation = true;
        self.probation_len += 1;
        vec![HealthAction::Probation(target.clone())]
    }

    /// Returns whether a target has enough results and a failure rate far above its
    /// pool's.
    fn has_high_failure_rate(&self, target: &T) -> bool {
        let Some(health) = self.targets.get(target) else {
            return false;
        };
        let own = health.results;
        let own_rate = u64::from(own.failures) * u64::from(self.pool_results.total);
        let pool_rate = u64::from(self.pool_results.failures) * u64::from(own.total);
        own.total >= self.config.min_rate_results
            && self.pool_results.total > own.total
            && own_rate >= pool_rate * u64::from(self.config.failure_rate_multiple)
    }
}
