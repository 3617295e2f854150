//! Configuration of a call queue.

use std::time::Duration;

/// Limits and intervals of loans of slots between zones.
///
/// The balance of an owner is its free slots less its waiting calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoanConfig {
    /// Balance below which an owner requests a loan, up to this balance.
    ///
    /// A larger value moves more slots, and slots in transit serve no call.
    pub low_watermark: u32,
    /// Balance above which an owner returns free borrowed slots, down to
    /// `low_watermark`.
    pub high_watermark: u32,
    /// Balance that a lender keeps.
    pub lender_reserve: u32,
    /// Minimum difference between the lender's and the borrower's balance.
    pub min_difference: u32,
    /// Change of the balance that is reported to the other owners at once, at most
    /// every `min_report_interval`.
    pub report_threshold: u32,
    /// Minimum time between two reports to the same owner.
    pub min_report_interval: Duration,
    /// Expected wait for a local slot up to which a new call waits for one although
    /// a borrowed slot is free.
    ///
    /// It is about half of the extra latency of a borrowed slot (3.9 ms), since
    /// the wait for a local slot varies and that latency does not.
    pub arrival_wait_threshold: Duration,
    /// The same threshold for calls that already wait when a borrowed slot becomes
    /// free; it equals the extra latency of a borrowed slot.
    pub queued_wait_threshold: Duration,
    /// Waiting time after which the oldest call takes the next free slot, local or
    /// borrowed.
    pub max_local_wait: Duration,
    /// Time after the request in which a borrowed slot may be granted.
    pub term: Duration,
    /// Longest time that a call may run.
    ///
    /// A lender reclaims the slots of a lost borrower once the term and this time
    /// have passed. A call that runs longer can outlive the loan; its runner then
    /// rejects calls beyond its number of slots.
    pub max_call_duration: Duration,
}

impl Default for LoanConfig {
    fn default() -> Self {
        Self {
            low_watermark: 8,
            high_watermark: 24,
            lender_reserve: 2,
            min_difference: 2,
            report_threshold: 2,
            min_report_interval: Duration::from_millis(2),
            arrival_wait_threshold: Duration::from_micros(1_800),
            queued_wait_threshold: Duration::from_micros(3_900),
            max_local_wait: Duration::from_millis(10),
            term: Duration::from_secs(2),
            max_call_duration: Duration::from_secs(30),
        }
    }
}

/// Limits, thresholds and periods of a call queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallConfig {
    /// Maximum number of waiting calls, counted separately for urgent and other
    /// calls.
    pub queue_limit: usize,
    /// Maximum share of the slots that is reserved for urgent calls; the reserve
    /// follows the urgent load up to this share.
    pub urgent_share_percent: u32,
    /// Time after which a waiting call moves to the next higher lane.
    pub promotion_period: Duration,
    /// Time after the creation of the queue in which nothing is granted.
    ///
    /// Runners that cannot compare epochs may still run calls of an earlier
    /// owner, so a new owner waits until the latest of their deadlines.
    pub hold_off: Duration,
    /// Extra latency of a redirect to another zone; a call with less time left is
    /// not redirected.
    pub redirect_latency: Duration,
    /// Expected queueing time from which calls are redirected.
    ///
    /// Loans serve a shorter queue sooner, so calls are only redirected once the
    /// queueing time reaches the extra latency of a redirect.
    pub redirect_threshold: Duration,
    /// Limits and intervals of loans between zones.
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
    /// Sets the maximum number of waiting calls of each kind.
    #[must_use]
    pub const fn queue_limit(mut self, limit: usize) -> Self {
        self.config.queue_limit = limit;
        self
    }

    /// Sets the maximum share of the slots reserved for urgent calls; values above
    /// 100 are lowered to 100.
    #[must_use]
    pub const fn urgent_share_percent(mut self, percent: u32) -> Self {
        self.config.urgent_share_percent = if percent > 100 { 100 } else { percent };
        self
    }

    /// Sets the time after which a waiting call moves to the next higher lane.
    #[must_use]
    pub const fn promotion_period(mut self, period: Duration) -> Self {
        self.config.promotion_period = period;
        self
    }

    /// Sets the time after the creation of the queue in which nothing is granted.
    #[must_use]
    pub const fn hold_off(mut self, hold_off: Duration) -> Self {
        self.config.hold_off = hold_off;
        self
    }

    /// Sets the extra latency of a redirect to another zone.
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

    /// Sets the limits and intervals of loans between zones.
    #[must_use]
    pub const fn loans(mut self, loans: LoanConfig) -> Self {
        self.config.loans = loans;
        self
    }
}
