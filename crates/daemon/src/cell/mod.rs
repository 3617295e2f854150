/*!
The daemon on the users' platform. The daemons that share a store are a cell: one
process per host, all with the same role.

Each daemon serves callers and writes the jobs that it accepts to the store.
For each service one daemon is the owner, which places the tasks. The control
thread owns the state of the owned services, the job summaries and the lists of
daemons and owners. The traffic thread handles HTTP and the calls to the store.
*/

mod command;
mod control;
mod effects;
mod handover;
mod manifest;
mod membership;
mod messages;
mod metrics;
mod notes;
mod process;
mod teams;
#[cfg(test)]
mod tests;
mod witnesses;

pub use command::CellCommand;
pub(crate) use manifest::{CurrentManifest, ManifestCell};
pub(crate) use messages::{CellEvent, CellHandle};
pub(crate) use metrics::CellMetrics;
pub use process::CellError;
