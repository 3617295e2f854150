//! Results of targets and jobs, and the targets on probation.

use std::collections::{BTreeMap, BTreeSet};

use super::messages::{HealthAction, HealthEvent};

/// Limits of a health table.
#[derive(Clone, Copy, Debug)]
pub struct HealthConfig {
    /// Consecutive failures of different jobs that put a target on probation.
    pub failures_to_probation: usize,
    /// Consecutive successes that restore a target.
    pub successes_to_restore: u32,
    /// Targets on which a job fails before the job itself is failed.
    pub targets_to_fail_job: usize,
    /// Largest part of a pool on probation, in percent.
    pub probation_percent: usize,
    /// Results of a target before its failure rate is judged.
    pub rate_min_results: u32,
    /// A target's failure rate is far above the pool's at this multiple of it.
    pub rate_multiple: u32,
}

impl Default for HealthConfig {
    fn default() -> Self {
        Self {
            failures_to_probation: 3,
            successes_to_restore: 3,
            targets_to_fail_job: 3,
            probation_percent: 20,
            rate_min_results: 16,
            rate_multiple: 4,
        }
    }
}

/// Counters are halved at this many results so that old results fade.
const RESULTS_KEPT: u32 = 64;

/// Results counted with exponential fading.
#[derive(Clone, Copy, Debug, Default)]
struct ResultCount {
    failures: u32,
    total: u32,
}

impl ResultCount {
    const fn add(&mut self, failed: bool, limit: u32) {
        if self.total >= limit {
            self.total /= 2;
            self.failures /= 2;
        }
        self.total += 1;
        self.failures += failed as u32;
    }

    const fn take_back_failure(&mut self) {
        self.failures = self.failures.saturating_sub(1);
        self.total = self.total.saturating_sub(1);
    }
}

/// What is known about one target.
#[derive(Clone, Debug)]
struct TargetHealth<J> {
    results: ResultCount,
    failed_jobs: BTreeSet<J>,
    successes: u32,
    probation: bool,
}

impl<J> Default for TargetHealth<J> {
    fn default() -> Self {
        Self {
            results: ResultCount::default(),
            failed_jobs: BTreeSet::new(),
            successes: 0,
            probation: false,
        }
    }
}

/// The health of the targets of one pool.
#[derive(Clone, Debug)]
pub struct HealthTable<T, J> {
    config: HealthConfig,
    targets: BTreeMap<T, TargetHealth<J>>,
    jobs: BTreeMap<J, BTreeSet<T>>,
    pool: ResultCount,
    probation_len: usize,
}

impl<T: Clone + Ord, J: Clone + Ord> HealthTable<T, J> {
    /// Returns a table without targets.
    #[must_use]
    pub fn new(config: HealthConfig) -> Self {
        Self {
            config,
            targets: BTreeMap::new(),
            jobs: BTreeMap::new(),
            pool: ResultCount::default(),
            probation_len: 0,
        }
    }

    /// Tells whether a target takes one task at a time.
    #[must_use]
    pub fn on_probation(&self, target: &T) -> bool {
        self.targets
            .get(target)
            .is_some_and(|health| health.probation)
    }

    /// Tells whether a job failed on a target.
    #[must_use]
    pub fn has_failed_on(&self, job: &J, target: &T) -> bool {
        self.jobs
            .get(job)
            .is_some_and(|targets| targets.contains(target))
    }

    /// Returns the number of targets on probation.
    #[must_use]
    pub const fn probation_len(&self) -> usize {
        self.probation_len
    }

    /// Applies a result and returns what follows from it.
    pub fn handle(&mut self, event: HealthEvent<T, J>) -> Vec<HealthAction<T, J>> {
        match event {
            HealthEvent::TargetAdded(target) => {
                self.targets.entry(target).or_default();
                Vec::new()
            }
            HealthEvent::TargetRemoved(target) => self.remove(&target),
            HealthEvent::Succeeded(target, _) => self.succeed(&target),
            HealthEvent::Failed(target, job) => self.fail(&target, job),
            HealthEvent::JobEnded(job) => {
                self.jobs.remove(&job);
                Vec::new()
            }
        }
    }

    /// Restores targets when a smaller pool permits fewer on probation.
    fn remove(&mut self, target: &T) -> Vec<HealthAction<T, J>> {
        if let Some(health) = self.targets.remove(target) {
            self.probation_len -= usize::from(health.probation);
        }
        let mut actions = Vec::new();
        while self.probation_len > self.probation_limit() {
            let Some(name) = self.first_on_probation() else {
                break;
            };
            self.restore(&name);
            actions.push(HealthAction::Restored(name));
        }
        actions
    }

    fn first_on_probation(&self) -> Option<T> {
        self.targets
            .iter()
            .find(|(_, health)| health.probation)
            .map(|(name, _)| name.clone())
    }

    fn probation_limit(&self) -> usize {
        self.targets.len() * self.config.probation_percent / 100
    }

    fn restore(&mut self, target: &T) {
        if let Some(health) = self.targets.get_mut(target) {
            self.probation_len -= usize::from(health.probation);
            *health = TargetHealth::default();
        }
    }

    fn succeed(&mut self, target: &T) -> Vec<HealthAction<T, J>> {
        let Some(health) = self.targets.get_mut(target) else {
            return Vec::new();
        };
        self.pool.add(false, u32::MAX);
        health.results.add(false, RESULTS_KEPT);
        health.failed_jobs.clear();
        health.successes += 1;
        if !health.probation || health.successes < self.config.successes_to_restore {
            return Vec::new();
        }
        self.restore(target);
        vec![HealthAction::Restored(target.clone())]
    }

    fn fail(&mut self, target: &T, job: J) -> Vec<HealthAction<T, J>> {
        let Some(health) = self.targets.get_mut(target) else {
            return Vec::new();
        };
        self.pool.add(true, u32::MAX);
        health.results.add(true, RESULTS_KEPT);
        health.failed_jobs.insert(job.clone());
        health.successes = 0;
        let failed_on = self.jobs.entry(job.clone()).or_default();
        failed_on.insert(target.clone());
        if failed_on.len() >= self.config.targets_to_fail_job {
            return self.fail_job(job);
        }
        self.judge(target)
    }

    /// Takes the failures of a bad job back from the targets it failed on.
    fn fail_job(&mut self, job: J) -> Vec<HealthAction<T, J>> {
        let limit = self.config.failures_to_probation;
        let mut actions = Vec::new();
        for name in self.jobs.remove(&job).unwrap_or_default() {
            let Some(health) = self.targets.get_mut(&name) else {
                continue;
            };
            health.failed_jobs.remove(&job);
            health.results.take_back_failure();
            self.pool.take_back_failure();
            if health.probation && health.failed_jobs.len() < limit {
                self.restore(&name);
                actions.push(HealthAction::Restored(name));
            }
        }
        actions.push(HealthAction::FailJob(job));
        actions
    }

    fn judge(&mut self, target: &T) -> Vec<HealthAction<T, J>> {
        let full = self.probation_len >= self.probation_limit();
        let rate_far_above = self.rate_far_above(target);
        let Some(health) = self.targets.get_mut(target) else {
            return Vec::new();
        };
        let in_a_row = health.failed_jobs.len() >= self.config.failures_to_probation;
        if health.probation || full || !(in_a_row || rate_far_above) {
            return Vec::new();
        }
        health.probation = true;
        self.probation_len += 1;
        vec![HealthAction::Probation(target.clone())]
    }

    fn rate_far_above(&self, target: &T) -> bool {
        let Some(health) = self.targets.get(target) else {
            return false;
        };
        let own = health.results;
        let own_rate = u64::from(own.failures) * u64::from(self.pool.total);
        let pool_rate = u64::from(self.pool.failures) * u64::from(own.total);
        own.total >= self.config.rate_min_results
            && self.pool.total > own.total
            && own_rate >= pool_rate * u64::from(self.config.rate_multiple)
    }
}
