//! Waiting times of the calls of one run.

use hdrhistogram::Histogram;

/// Upper bound of the histograms, in microseconds.
const LONGEST_WAIT_US: u64 = 120_000_000;

/// Waiting times in microseconds.
#[derive(Debug)]
pub struct WaitingTimes {
    pub all: Histogram<u64>,
    pub urgent: Histogram<u64>,
    pub rejected: u64,
    pub redirected: u64,
    pub loan_messages: u64,
    /// Calls whose caller lost its connection to the crashed daemon.
    pub lost: u64,
    /// Calls that a runner rejected for want of a slot or for their epoch.
    pub refused: u64,
    pub steady: Histogram<u64>,
}

impl WaitingTimes {
    /// Returns times without a call.
    pub fn new() -> Self {
        // Fixed bounds: a histogram that starts small clamps what it saturates.
        let histogram = || Histogram::new_with_bounds(1, LONGEST_WAIT_US, 3).expect("valid bounds");
        Self {
            all: histogram(),
            urgent: histogram(),
            rejected: 0,
            redirected: 0,
            loan_messages: 0,
            lost: 0,
            refused: 0,
            steady: histogram(),
        }
    }
}

/// Returns a quantile in milliseconds.
#[allow(clippy::cast_precision_loss, reason = "waits are far below 2^52 us")]
pub fn millis(times: &Histogram<u64>, quantile: f64) -> f64 {
    times.value_at_quantile(quantile) as f64 / 1_000.0
}
