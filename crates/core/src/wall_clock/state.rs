//! The offset of the time of day from a monotonic clock.

use std::time::Duration;

/// Largest change of the offset between two readings that counts as the adjustment of a clock that
/// is not set.
const MAX_ADJUSTMENT: Duration = Duration::from_millis(500);

/// Time for which an offset must last until a clock that is ahead of the former one counts.
const SETTLE_TIME: Duration = Duration::from_secs(30);

/// Time of day relative to the start of a monotonic clock, in ms since 1970.
type ClockOffset = u64;

/// Time of day without the steps ahead that do not last.
///
/// A step back counts at once, as it makes work late and not early.
#[derive(Clone, Copy, Debug, Default)]
pub struct WallClock {
    /// Offset that has lasted, or that of the first reading.
    settled: Option<ClockOffset>,
    /// Another offset, and since when it has lasted.
    candidate: Option<(ClockOffset, Duration)>,
}

impl WallClock {
    /// Returns the time of day in ms since 1970 for a reading of the host's clock, taken at `now` on
    /// a clock that also advances while the host is suspended.
    pub fn read(&mut self, unix_ms: u64, now: Duration) -> u64 {
        let now_ms = whole_ms(now);
        let measured = unix_ms.saturating_sub(now_ms);
        let settled = match self.settled {
            Some(settled) if !is_adjustment(settled, measured) => {
                self.settle(settled, measured, now)
            }
            _ => {
                self.candidate = None;
                measured
            }
        };
        self.settled = Some(settled);
        now_ms.saturating_add(settled.min(measured))
    }

    /// Returns the offset that counts as settled after a reading with another one.
    fn settle(
        &mut self,
        settled: ClockOffset,
        measured: ClockOffset,
        now: Duration,
    ) -> ClockOffset {
        match self.candidate {
            Some((candidate, since)) if is_adjustment(candidate, measured) => {
                if now < since + SETTLE_TIME {
                    return settled;
                }
                self.candidate = None;
                measured
            }
            _ => {
                self.candidate = Some((measured, now));
                settled
            }
        }
    }
}

fn is_adjustment(known: ClockOffset, measured: ClockOffset) -> bool {
    u128::from(known.abs_diff(measured)) <= MAX_ADJUSTMENT.as_millis()
}

/// Returns a time in whole milliseconds, which saturate.
fn whole_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
