//! Logs as JSON lines, metrics and the process's monotonic clock.

mod clock;
mod logger;
mod metrics;

pub(crate) use clock::ProcessClock;
pub(crate) use logger::init_logger;
pub(crate) use metrics::ProcessMetrics;
