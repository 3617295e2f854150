//! The monotonic clock of a daemon.

use std::time::Duration;

/// A monotonic clock with its own rate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DaemonClock {
    base: Duration,
    local: Duration,
    percent: u32,
}

impl DaemonClock {
    pub(crate) const fn new(base: Duration) -> Self {
        Self {
            base,
            local: Duration::ZERO,
            percent: 100,
        }
    }

    pub(crate) fn read(&self, now: Duration) -> Duration {
        self.local + now.saturating_sub(self.base) * self.percent / 100
    }

    /// Changes the rate; the reading does not jump.
    pub(crate) fn set_rate(&mut self, now: Duration, percent: u32) {
        self.local = self.read(now);
        self.base = now;
        self.percent = percent;
    }
}
