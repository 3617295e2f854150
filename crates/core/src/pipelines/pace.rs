//! How fast filling tasks may work beside tasks with users of their own.
//!
//! Load pattern: tasks that use leftover processors slow down the serving tasks
//! on the same worker by amounts that change within seconds.

/// Part of the latency objective, in percent, above which filling tasks are
/// slowed down.
const SLOW_ABOVE_PERCENT: u64 = 80;

/// Part of the latency objective, in percent, below which they are sped up.
const SPEED_BELOW_PERCENT: u64 = 55;

/// Added to the share of a filling task while there is headroom, in percent.
const SPEED_STEP: u32 = 15;

/// Shares below this are set to zero, in percent.
const LEAST_SHARE: u32 = 20;

/// Returns the new share of the filling tasks of a worker.
///
/// `tail_percent` is the highest tail of the serving tasks, as a part of its
/// objective.
pub(super) fn next_share(share: u32, tail_percent: u64) -> u32 {
    match tail_percent {
        100.. => 0,
        tail if tail > SLOW_ABOVE_PERCENT && share / 2 < LEAST_SHARE => 0,
        tail if tail > SLOW_ABOVE_PERCENT => share / 2,
        tail if tail < SPEED_BELOW_PERCENT => (share + SPEED_STEP).min(100),
        _ => share,
    }
}
