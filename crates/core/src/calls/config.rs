//! Bounds and periods of a call queue.

use std::time::Duration;

/// Sizes and periods of loans between zones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoanConfig {
    /// Free slots, less waiting calls, below which an owner asks for a loan.
    pub target: u32,
    /// Free slots above which it returns borrowed ones, down to the target.
    pub surplus: u32,
    /// Free slots that a lender keeps.
    pub reserve: u32,
    /// Least lead of a lender's free slots over the borrower's.
    pub least_difference: u32,
    /// Change of the free slots that is reported to the other owners.
    pub report_step: u32,
    /// Least time between two reports.
    pub report_period: Duration,
    /// Expected time to an own slot up to which a new call waits for one while
    /// borrowed slots are free.
    ///
    /// It is about half of the extra latency of a borrowed slot (3.9 ms), since
    /// the time to an own slot varies and that of a free borrowed one does not.
    pub own_wait_at_arrival: Duration,
    /// The same for calls that wait already when a borrowed slot becomes free:
    /// the extra latency of a borrowed slot.
    pub own_wait: Duration,
    /// Waiting time after which a call takes the first slot of either kind.
    pub longest_own_wait: Duration,
    /// Time in which a borrowed slot may be granted.
    pub term: Duration,
    /// Longest time that a call may run; a lender reclaims slots of a lost
    /// borrower once the term and this time have passed. A call that runs longer
    /// can outlive the loan; its runner then rejects calls beyond its slots.
    pub max_call_duration: Duration,
}

impl Default for LoanConfig {
    fn default() -> Self {
        // Chosen by the trials in docs/policy.md: a larger target moves more
        // slots, and slots in transit serve no call.
        Self {
            target: 8,
            surplus: 24,
            reserve: 2,
            least_difference: 2,
            report_step: 2,
            report_period: Duration::from_millis(2),
            own_wait_at_arrival: Duration::from_micros(1_800),
            own_wait: Duration::from_micros(3_900),
            longest_own_wait: Duration::from_millis(10),
            term: Duration::from_secs(2),
            max_call_duration: Duration::from_secs(30),
        }
    }
}

/// Bounds and periods of a call queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallConfig {
    /// Most calls that wait at once, counted apart for urgent and other calls.
    pub queue_limit: usize,
    /// Most slots that are kept for urgent calls, in percent; the reserve
    /// follows the observed urgent load up to it.
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
    /// Loans serve a short queue sooner, so only a queue that is as long as the
    /// extra latency of a redirect uses one.
    pub redirect_threshold: Duration,
    /// Sizes and periods of loans between zones.
    pub loans: LoanConfig,
}

impl Default for CallConfig {
    fn default() -> Self {
        Self {
            queue_limit: 4_096,
            urgent_share_percent: 0,
            promotion_period: Duration::from_millis(500),
            hold_off: Duration::ZERO,
            redirect_latency: Duration::from_millis(12),
            redirect_threshold: Duration::from_millis(12),
            loans: LoanConfig::default(),
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

/// Builds a configuration from its default values.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigBuilder<C> {
    pub(super) config: C,
}

impl<C: Copy> ConfigBuilder<C> {
    /// Returns the configuration.
    #[must_use]
    pub const fn build(self) -> C {
        self.config
    }
}

/// Builds a [`CallConfig`].
pub type CallConfigBuilder = ConfigBuilder<CallConfig>;

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

    /// Sets the sizes and periods of loans between zones.
    #[must_use]
    pub const fn loans(mut self, loans: LoanConfig) -> Self {
        self.config.loans = loans;
        self
    }
}
