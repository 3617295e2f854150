//! Exponential backoff with jitter, for calls to any dependency that fails.

use std::time::Duration;

/// Delay after the first failure, before jitter.
const FIRST_DELAY: Duration = Duration::from_millis(60);

/// Upper bound of a delay, and so of the time until a recovery is noticed.
const LONGEST_DELAY: Duration = Duration::from_millis(800);

/// The delays between retries: they double with each failure in a row.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetryDelay {
    failures: u32,
}

impl RetryDelay {
    /// Resets the delay after a success. Returns whether failures preceded it.
    pub(crate) const fn reset(&mut self) -> bool {
        let was_lost = self.failures > 0;
        self.failures = 0;
        was_lost
    }

    /// Counts a failure. Returns the delay until the next try, and whether this is the
    /// first failure in a row. `jitter` is from 0 to 1: with 0 the delay is halved, with
    /// 1 it stays whole.
    pub(crate) fn next_delay(&mut self, jitter: f64) -> (Duration, bool) {
        let doubled = FIRST_DELAY * 2_u32.saturating_pow(self.failures.min(10));
        let is_first = self.failures == 0;
        self.failures = self.failures.saturating_add(1);
        let delay = doubled.min(LONGEST_DELAY).mul_f64(0.5 + jitter / 2.0);
        (delay, is_first)
    }
}
