//! CPU share of best-effort tasks that run on the same worker as serving tasks.
//!
//! Load pattern: best-effort tasks slow down the serving tasks on the same worker
//! by an amount that changes within seconds.

/// Tail latency, in percent of its objective, above which best-effort tasks are
/// slowed down.
const SLOW_DOWN_ABOVE_PERCENT: u64 = 80;

/// Tail latency, in percent of its objective, below which best-effort tasks are
/// sped up.
const SPEED_UP_BELOW_PERCENT: u64 = 55;

/// Increase of the share of a best-effort task that is sped up, in percentage points.
const SPEED_UP_STEP_PERCENT: u32 = 15;

/// Smallest share other than zero to which a best-effort task is slowed down, in
/// percent.
const MIN_SHARE_PERCENT: u32 = 20;

/// Returns the next share of the best-effort tasks of a worker, in percent.
///
/// `tail_percent` is the highest tail latency among the worker's serving tasks, in
/// percent of its objective.
pub(super) fn next_share_percent(share: u32, tail_percent: u64) -> u32 {
    match tail_percent {
        100.. => 0,
        tail if tail > SLOW_DOWN_ABOVE_PERCENT && share / 2 < MIN_SHARE_PERCENT => 0,
        tail if tail > SLOW_DOWN_ABOVE_PERCENT => share / 2,
        tail if tail < SPEED_UP_BELOW_PERCENT => (share + SPEED_UP_STEP_PERCENT).min(100),
        _ => share,
    }
}
