/*!
The control thread, which owns all control state of the daemon.

[`run`] starts the control thread and the traffic threads, a multi-threaded
runtime for all network I/O. Tasks on the traffic threads send [`ControlEvent`]s
over a bounded channel. The control thread applies the events one by one,
publishes a [`RoutingSnapshot`] after those that may change it, and hands effects
such as store transactions back to the traffic threads.
*/

mod drain;
mod dump;
mod effects;
mod feed;
mod keys;
mod leases;
mod loans;
mod messages;
mod process;
mod shards;
mod state;
mod tasks;

pub(crate) use dump::ControlDump;
pub(crate) use messages::{ControlEvent, ControlHandle, RoutingSnapshot};
pub use process::{DaemonError, run};
