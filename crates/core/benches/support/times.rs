//! Waiting times and call counts of one simulated run.

use hdrhistogram::Histogram;

/// Largest wait that the histograms accept; a longer one fails the bench.
const MAX_WAIT_US: u64 = 120_000_000;

/// Waiting times, in microseconds, and call counts of one run.
#[derive(Debug)]
pub struct WaitingTimes {
    /// Waits of all calls that arrived after the warm-up.
    pub all: Histogram<u64>,
    /// Waits of the urgent calls among them.
    pub urgent: Histogram<u64>,
    /// Calls that a call queue rejected.
    pub rejected: u64,
    /// Redirects of calls to the owner of another zone.
    pub redirected: u64,
    /// Messages about slot loans between the owners of the zones.
    pub loan_messages: u64,
    /// Calls whose caller lost its connection to the crashed daemon.
    pub lost: u64,
    /// Calls that a runner refused because it had no free slot or the grant was
    /// from an earlier epoch.
    pub refused: u64,
    /// Waits of the calls that arrived after the recovery from a crash.
    pub steady: Histogram<u64>,
}

impl WaitingTimes {
    /// Creates empty histograms and zero counts.
    pub fn new() -> Self {
        // The bounds are fixed because a histogram that starts small clamps saturated values.
        let histogram = || Histogram::new_with_bounds(1, MAX_WAIT_US, 3).expect("valid bounds");
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

/// Returns the given quantile of the waiting times, in milliseconds.
#[allow(clippy::cast_precision_loss, reason = "waits are far below 2^52 us")]
pub fn quantile_ms(times: &Histogram<u64>, quantile: f64) -> f64 {
    times.value_at_quantile(quantile) as f64 / 1_000.0
}
