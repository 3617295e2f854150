//! The retry budget that the calls of a service share at one entry daemon.

use std::time::Duration;

use rand::{Rng, RngExt};

use super::config::ConfigBuilder;
use crate::types::CallOutcome;

/// Tokens that one retry takes; a first attempt adds `budget_percent` tokens.
const RETRY_COST_TOKENS: u64 = 100;

/// Limits and delays of the retries of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryConfig {
    /// Retries allowed per hundred first attempts.
    pub budget_percent: u64,
    /// Maximum number of retries that unused budget can accumulate to.
    pub burst: u64,
    /// Upper bound of the delay before the first retry.
    pub base_delay: Duration,
    /// Factor by which the upper bound of the delay grows with each further retry.
    pub backoff_factor: u32,
    /// Maximum number of attempts of one call, the first one included.
    pub attempt_limit: u32,
}

impl Default for RetryConfig {
    fn default() -> Self {
        Self {
            budget_percent: 10,
            burst: 10,
            base_delay: Duration::from_millis(25),
            backoff_factor: 2,
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

    /// Sets the maximum number of accumulated retries.
    #[must_use]
    pub const fn burst(mut self, burst: u64) -> Self {
        self.config.burst = burst;
        self
    }

    /// Sets the maximum number of attempts of one call.
    #[must_use]
    pub const fn attempt_limit(mut self, limit: u32) -> Self {
        self.config.attempt_limit = limit;
        self
    }
}

/// Whether a call is retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// The call is retried after a delay.
    After(Duration),
    /// The call ends with the outcome of its last attempt.
    NoRetry,
}

/// A token bucket to which first attempts add and from which retries take tokens.
///
/// The bucket starts empty, so retries never exceed their share of the first
/// attempts, even right after the daemon has started.
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

    /// Returns the number of retries that the budget allows now.
    #[must_use]
    pub const fn available_retries(&self) -> u64 {
        self.tokens / RETRY_COST_TOKENS
    }

    /// Adds the tokens of a first attempt.
    pub fn record_first_attempt(&mut self) {
        let limit = self.config.burst * RETRY_COST_TOKENS;
        self.tokens = (self.tokens + self.config.budget_percent).min(limit);
    }

    /// Decides whether to retry a call; a retry takes its tokens.
    ///
    /// `attempts` is the number of attempts so far, and `remaining` is the time
    /// left until the caller's deadline. The delay is uniformly distributed below
    /// its upper bound.
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
        if !is_safe || attempts >= self.config.attempt_limit || self.tokens < RETRY_COST_TOKENS {
            return RetryDecision::NoRetry;
        }
        let doublings = attempts.saturating_sub(1);
        let bound = self.config.base_delay * self.config.backoff_factor.saturating_pow(doublings);
        let delay = bound.mul_f64(random.random::<f64>());
        if delay >= remaining {
            return RetryDecision::NoRetry;
        }
        self.tokens -= RETRY_COST_TOKENS;
        RetryDecision::After(delay)
    }
}
