//! Logs as JSON lines, request identifiers, metrics and the process's monotonic clock.

mod clock;
mod logger;
mod measures;
mod metrics;
mod output;
mod request;

pub(crate) use clock::{BootClock, ProcessClock, unix_ms};
pub(crate) use logger::{init_logger, init_output_logger};
pub(crate) use measures::{ControlStats, PoolLoad, ProcessStats};
pub(crate) use metrics::ProcessMetrics;
pub(crate) use request::{
    current_request_id, format_request_id, parse_request_id, trace_function, trace_request,
};
