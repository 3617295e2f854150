//! The process's monotonic clock.

use std::time::{Duration, Instant};

/// Measures time since the start of the process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProcessClock {
    origin: Instant,
}

impl ProcessClock {
    /// Starts the clock.
    pub(crate) fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the time since the start.
    pub(crate) fn now(self) -> Duration {
        self.origin.elapsed()
    }
}
