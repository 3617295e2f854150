//! One schedule of delays for every dependency that does not answer.

use std::time::Duration;

/// First delay.
const FIRST_DELAY: Duration = Duration::from_millis(60);

/// Longest delay; a dependency that is back is noticed within this time.
const LONGEST_DELAY: Duration = Duration::from_millis(800);

/// Growing delays with jitter, and whether the dependency is lost.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetryDelay {
    failures: u32,
}

impl RetryDelay {
    /// Notes a success; tells whether failures preceded it.
    pub(crate) const fn reset(&mut self) -> bool {
        let was_lost = self.failures > 0;
        self.failures = 0;
        was_lost
    }

    /// Notes a failure; returns the next delay and whether it is the first failure.
    /// `jitter` is from 0 to 1.
    pub(crate) fn next(&mut self, jitter: f64) -> (Duration, bool) {
        let doubled = FIRST_DELAY * 2_u32.saturating_pow(self.failures.min(10));
        let is_first = self.failures == 0;
        self.failures = self.failures.saturating_add(1);
        let delay = doubled.min(LONGEST_DELAY).mul_f64(0.5 + jitter / 2.0);
        (delay, is_first)
    }
}
