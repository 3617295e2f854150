//! Logs as JSON lines and the process's monotonic clock.

mod clock;
mod logger;

pub(crate) use clock::ProcessClock;
pub(crate) use logger::init_logger;
