/*!
The daemon on the users' platform: one process a host, all alike.

Each daemon serves callers, and writes the jobs that it accepts to the store.
For each service one of them is the owner, which places the tasks. The control
thread owns the state of the owned services and what is known of jobs and
daemons; the traffic thread carries HTTP and the store.
*/

mod command;
mod control;
mod effects;
mod messages;
mod metrics;
mod notes;
mod process;
#[cfg(test)]
mod tests;

pub use command::CellCommand;
pub(crate) use messages::{CellEvent, CellHandle};
pub(crate) use metrics::CellMetrics;
pub use process::CellError;
