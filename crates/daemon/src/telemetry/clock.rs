//! The process's monotonic clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

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

/// Measures time since the start of the process, time in suspension included.
///
/// Leases go on while a machine is suspended, so whatever depends on one is
/// measured with this clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BootClock {
    origin: Duration,
}

impl BootClock {
    /// Starts the clock.
    pub(crate) fn start() -> Self {
        Self {
            origin: Self::reading(),
        }
    }

    /// Returns the time since the start.
    pub(crate) fn now(self) -> Duration {
        Self::reading().saturating_sub(self.origin)
    }

    fn reading() -> Duration {
        match nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME) {
            Ok(time) => Duration::from(time),
            // Linux has the clock since 2.6.39.
            Err(error) => panic!("the clock of the system cannot be read: {error}"),
        }
    }
}

/// Returns the wall-clock time in ms since 1970.
pub(crate) fn unix_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
