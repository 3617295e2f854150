//! Speed of a worker instance, from the progress of its runs.

use std::time::Duration;

/// Run time ratio of a worker, in percent of the typical ratio, above which other workers
/// are preferred.
const SLOW_RATIO_PERCENT: u64 = 220;

/// Divisor of the weight of a new sample in the moving average of a worker.
pub(crate) const SAMPLE_WEIGHT_DIVISOR: u64 = 6;

/// Time in which the excess of a worker's ratio over the typical one is halved. A slow
/// worker that is avoided yields no samples, so its ratio must decay by itself.
const RATIO_HALF_LIFE: Duration = Duration::from_secs(3);

/// Ratio of run time to estimate that is assumed before the first sample, in percent.
const INITIAL_RATIO_PERCENT: u64 = 100;

/// Moving average of the ratio of run time to estimate on a worker, in percent. A
/// higher ratio means a slower worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RuntimeRatio {
    percent: u64,
    sampled_at: Duration,
}

impl Default for RuntimeRatio {
    fn default() -> Self {
        Self {
            percent: INITIAL_RATIO_PERCENT,
            sampled_at: Duration::ZERO,
        }
    }
}

impl RuntimeRatio {
    /// Returns the ratio after its decay towards `typical` since the latest sample.
    fn decayed_percent(self, typical: u64, now: Duration) -> u64 {
        let halvings =
            now.saturating_sub(self.sampled_at).as_millis() / RATIO_HALF_LIFE.as_millis();
        let halvings = u32::try_from(halvings).unwrap_or(u32::MAX).min(16);
        if self.percent > typical {
            typical + ((self.percent - typical) >> halvings)
        } else {
            self.percent
        }
    }

    pub(crate) fn add_sample(&mut self, sample: u64, typical: u64, now: Duration) {
        let previous = self.decayed_percent(typical, now);
        self.percent = (previous * (SAMPLE_WEIGHT_DIVISOR - 1) + sample) / SAMPLE_WEIGHT_DIVISOR;
        self.sampled_at = now;
    }

    /// Returns whether the worker is much slower than typical.
    pub(crate) fn is_slow(self, typical: u64, now: Duration) -> bool {
        self.decayed_percent(typical, now) * 100 > typical * SLOW_RATIO_PERCENT
    }
}
