//! Logs as JSON lines, request identifiers, metrics and the process's monotonic clock.

mod clock;
mod logger;
mod measures;
mod metrics;
mod request;

pub(crate) use clock::ProcessClock;
pub(crate) use logger::init_logger;
pub(crate) use measures::{ControlMeasures, PoolLoad, ProcessMeasures};
pub(crate) use metrics::ProcessMetrics;
pub(crate) use request::{
    current_request, format_request, parse_request, trace_request, trace_step,
};
