//! Logs as JSON lines, request identifiers, metrics and the process's monotonic clock.

mod clock;
mod logger;
mod measures;
mod metrics;
mod output;
mod request;

pub(crate) use clock::{BootClock, ProcessClock, unix_ms};
pub(crate) use logger::{init_logger, init_output_logger};
pub(crate) use measures::{ControlMeasures, PoolLoad, ProcessMeasures};
pub(crate) use metrics::ProcessMetrics;
pub(crate) use request::{
    current_request, format_request, parse_request, trace_request, trace_step,
};
