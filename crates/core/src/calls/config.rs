//! Bounds and periods of a call queue.

use std::time::Duration;

/// Bounds and periods of a call queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallConfig {
    /// Most calls that wait at once, counted apart for urgent and other calls.
    pub queue_limit: usize,
    /// Part of the slots that only urgent calls may use, in percent.
    pub urgent_share_percent: u32,
    /// Time after which a waiting call is promoted by one class.
    pub promotion_period: Duration,
    /// Time without grants after the queue is created.
    ///
    /// Runners that cannot compare epochs may still run calls of an earlier
    /// owner, so a new owner waits for the longest call deadline.
    pub hold_off: Duration,
    /// Extra latency of a call that is redirected to another zone.
    pub redirect_latency: Duration,
    /// Expected queueing time from which calls are redirected.
    ///
    /// It is shorter than the extra latency: by the time the queue has grown to
    /// that latency, more calls wait than the redirects of one report can take.
    pub redirect_threshold: Duration,
}

impl Default for CallConfig {
    fn default() -> Self {
        Self {
            queue_limit: 4_096,
            urgent_share_percent: 0,
            promotion_period: Duration::from_millis(500),
            hold_off: Duration::ZERO,
            redirect_latency: Duration::from_millis(12),
            redirect_threshold: Duration::from_millis(2),
        }
    }
}

impl CallConfig {
    /// Returns a builder that starts from the default values.
    #[must_use]
    pub fn builder() -> CallConfigBuilder {
        CallConfigBuilder::default()
    }
}

/// Builds a [`CallConfig`].
#[derive(Clone, Copy, Debug, Default)]
pub struct CallConfigBuilder {
    config: CallConfig,
}

impl CallConfigBuilder {
    /// Sets the most calls that wait at once.
    #[must_use]
    pub const fn queue_limit(mut self, limit: usize) -> Self {
        self.config.queue_limit = limit;
        self
    }

    /// Sets the share of the slots for urgent calls; above 100 it counts as 100.
    #[must_use]
    pub const fn urgent_share_percent(mut self, percent: u32) -> Self {
        self.config.urgent_share_percent = if percent > 100 { 100 } else { percent };
        self
    }

    /// Sets the time after which a waiting call is promoted.
    #[must_use]
    pub const fn promotion_period(mut self, period: Duration) -> Self {
        self.config.promotion_period = period;
        self
    }

    /// Sets the time without grants after the queue is created.
    #[must_use]
    pub const fn hold_off(mut self, hold_off: Duration) -> Self {
        self.config.hold_off = hold_off;
        self
    }

    /// Sets the extra latency of a redirected call.
    #[must_use]
    pub const fn redirect_latency(mut self, latency: Duration) -> Self {
        self.config.redirect_latency = latency;
        self
    }

    /// Sets the expected queueing time from which calls are redirected.
    #[must_use]
    pub const fn redirect_threshold(mut self, threshold: Duration) -> Self {
        self.config.redirect_threshold = threshold;
        self
    }

    /// Returns the configuration.
    #[must_use]
    pub const fn build(self) -> CallConfig {
        self.config
    }
}
