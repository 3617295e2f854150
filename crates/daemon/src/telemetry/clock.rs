//! Monotonic clocks of the process and the wall-clock time.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Monotonic clock, which does not advance while the machine is suspended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProcessClock {
    origin: Instant,
}

impl ProcessClock {
    /// Returns a clock that starts at zero now.
    pub(crate) fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the time since the clock was started.
    pub(crate) fn now(self) -> Duration {
        self.origin.elapsed()
    }
}

/// Monotonic clock that also advances while the machine is suspended.
///
/// Leases keep expiring during suspension, so every time limit that depends on
/// a lease uses this clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BootClock {
    origin: Duration,
}

impl BootClock {
    /// Returns a clock that starts at zero now.
    pub(crate) fn start() -> Self {
        Self {
            origin: Self::read_boot_time(),
        }
    }

    /// Returns the time since the clock was started.
    pub(crate) fn now(self) -> Duration {
        Self::read_boot_time().saturating_sub(self.origin)
    }

    fn read_boot_time() -> Duration {
        match nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME) {
            Ok(time) => Duration::from(time),
            // Linux has provided the clock since 2.6.39.
            Err(error) => panic!("failed to read CLOCK_BOOTTIME: {error}"),
        }
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub(crate) fn unix_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
