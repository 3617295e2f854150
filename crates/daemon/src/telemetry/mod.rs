//! Logs as JSON lines, request IDs, metrics and clocks.

mod clock;
mod logger;
mod metrics;
mod output;
mod request;
mod stats;

pub(crate) use clock::{BootClock, ProcessClock, unix_ms};
pub(crate) use logger::{init_logger, init_output_logger};
pub(crate) use metrics::ProcessMetrics;
pub(crate) use request::{
    current_request_id, format_request_id, parse_request_id, trace_function, trace_request,
};
pub(crate) use stats::{ControlStats, PoolLoad, ProcessStats};
