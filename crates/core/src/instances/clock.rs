//! The clock of a worker instance, on which its lease is granted.

use std::time::Duration;

/// Lowest assumed rate of a worker's clock relative to that of the owner, in percent.
const MIN_CLOCK_RATE_PERCENT: u32 = 98;

/// Allowance for the delay of the worker's timers after the end of a lease.
const LEASE_LAPSE_SLACK: Duration = Duration::from_millis(300);

/// Largest difference between two readings of one clock that is not explained by the time
/// between them: readings are whole milliseconds, and threads are scheduled late.
const READING_SLACK: Duration = Duration::from_millis(50);

/// Longest time of an answer whose reading tells how far a clock is behind. With
/// [`READING_SLACK`] it is less than [`LEASE_LAPSE_SLACK`].
const MAX_READING_TIME: Duration = Duration::from_millis(200);

/// Returns the time on the clock of the owner after which a lease of this length on
/// the clock of a worker has lapsed.
pub(crate) fn lapse_time(lease: Duration) -> Duration {
    lease * 100 / MIN_CLOCK_RATE_PERCENT + LEASE_LAPSE_SLACK
}

/// Returns a time in whole milliseconds, which saturate.
pub(super) fn whole_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// A reading of a worker's clock, taken at some time between an order and its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ClockReading {
    /// Reading in ms.
    pub(crate) clock_ms: u64,
    /// When the order was sent.
    pub(crate) sent_at: Duration,
    /// When the answer arrived.
    pub(crate) read_at: Duration,
}

impl ClockReading {
    /// Returns an estimate of the clock, which is ahead of it by at most the drift since the
    /// reading.
    pub(super) fn clock_at(self, now: Duration) -> u64 {
        let elapsed = whole_ms(now.saturating_sub(self.read_at));
        self.clock_ms.saturating_add(elapsed)
    }

    /// Returns whether the reading was taken at most [`MAX_READING_TIME`] after its order was sent.
    /// A lease on a clock with such a reading that agrees with a known one lapses in time also if
    /// it is another clock.
    pub(crate) fn is_exact(self) -> bool {
        self.read_at <= self.sent_at + MAX_READING_TIME
    }

    /// Returns whether another reading may be one of the same clock.
    pub(crate) fn agrees_with(self, other: Self) -> bool {
        let shortest = other.sent_at.saturating_sub(self.read_at) * MIN_CLOCK_RATE_PERCENT / 100;
        let overlap = self.read_at.saturating_sub(other.sent_at);
        let longest = other.read_at.saturating_sub(self.sent_at) * 100 / MIN_CLOCK_RATE_PERCENT;
        let earliest = self.clock_ms.saturating_add(whole_ms(shortest));
        let earliest = earliest.saturating_sub(whole_ms(overlap + READING_SLACK));
        let latest = self
            .clock_ms
            .saturating_add(whole_ms(longest + READING_SLACK));
        (earliest..=latest).contains(&other.clock_ms)
    }
}
