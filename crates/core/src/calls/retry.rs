//! The retry budget that the calls of one service share at an entry daemon.

use std::time::Duration;

use rand::{Rng, RngExt};

use super::config::ConfigBuilder;
use crate::types::CallOutcome;

/// Budget units of one retry; a first attempt earns a percentage of it.
const RETRY_COST: u64 = 100;

/// Bounds of the retries of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryConfig {
    /// Retries allowed per hundred first attempts.
    pub budget_percent: u64,
    /// Retries that can be saved up for a burst.
    pub burst: u64,
    /// Upper bound of the delay before the first retry.
    pub base_delay: Duration,
    /// Factor of the upper bound for each further retry.
    pub factor: u32,
    /// Most attempts of one call, the first one counted.
    pub attempt_limit: u32,
}

impl Default for RetryConfig {
    fn default() -> Self {
        Self {
            budget_percent: 10,
            burst: 10,
            base_delay: Duration::from_millis(25),
            factor: 2,
            attempt_limit: 3,
        }
    }
}

impl RetryConfig {
    /// Returns a builder that starts from the default values.
    #[must_use]
    pub fn builder() -> RetryConfigBuilder {
        RetryConfigBuilder::default()
    }
}

/// Builds a [`RetryConfig`].
pub type RetryConfigBuilder = ConfigBuilder<RetryConfig>;

impl RetryConfigBuilder {
    /// Sets the retries allowed per hundred first attempts.
    #[must_use]
    pub const fn budget_percent(mut self, percent: u64) -> Self {
        self.config.budget_percent = percent;
        self
    }

    /// Sets the retries that can be saved up.
    #[must_use]
    pub const fn burst(mut self, burst: u64) -> Self {
        self.config.burst = burst;
        self
    }

    /// Sets the most attempts of one call.
    #[must_use]
    pub const fn attempt_limit(mut self, limit: u32) -> Self {
        self.config.attempt_limit = limit;
        self
    }
}

/// Whether a call is tried again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// The call is tried again after a delay.
    After(Duration),
    /// The call has ended with the outcome of its last attempt.
    NoRetry,
}

/// A token bucket that first attempts fill and retries empty.
///
/// The bucket starts empty, so retries never exceed their share of the first
/// attempts, not even after a start.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    config: RetryConfig,
    tokens: u64,
}

impl RetryBudget {
    /// Returns an empty budget.
    #[must_use]
    pub const fn new(config: RetryConfig) -> Self {
        Self { config, tokens: 0 }
    }

    /// Returns the retries that may be made at once.
    #[must_use]
    pub const fn available_retries(&self) -> u64 {
        self.tokens / RETRY_COST
    }

    /// Notes a first attempt.
    pub fn record_first_attempt(&mut self) {
        let limit = self.config.burst * RETRY_COST;
        self.tokens = (self.tokens + self.config.budget_percent).min(limit);
    }

    /// Decides about a further attempt of a call.
    ///
    /// `attempts` counts those made so far, and `remaining` is the time left
    /// until the caller's deadline.
    pub fn decide<T, R: Rng>(
        &mut self,
        outcome: &CallOutcome<T>,
        is_idempotent: bool,
        attempts: u32,
        remaining: Duration,
        random: &mut R,
    ) -> RetryDecision {
        let is_safe = match outcome {
            CallOutcome::Completed(_) => false,
            CallOutcome::NotRun(_) => true,
            CallOutcome::Unknown(_) => is_idempotent,
        };
        if !is_safe || attempts >= self.config.attempt_limit || self.tokens < RETRY_COST {
            return RetryDecision::NoRetry;
        }
        let doublings = attempts.saturating_sub(1);
        let bound = self.config.base_delay * self.config.factor.saturating_pow(doublings);
        let delay = bound.mul_f64(random.random::<f64>());
        if delay >= remaining {
            return RetryDecision::NoRetry;
        }
        self.tokens -= RETRY_COST;
        RetryDecision::After(delay)
    }
}
