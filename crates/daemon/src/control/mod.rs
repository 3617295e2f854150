/*!
The control thread, which owns all control state of the daemon.

[`run`] starts the traffic threads and the control thread. Traffic sends
[`ControlEvent`]s over a bounded channel; the control thread applies them one by
one, publishes a [`RoutingSnapshot`] after each change and hands effects such as
store transactions back to the traffic threads.
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
