/*!
Randomized soak test of the daemon binary.

A run starts several daemon processes on one machine. The store and the workers are
stand-ins from `platform/standin`, which the daemons reach through loopback proxies.
While callers submit jobs, the run injects faults from outside the daemons:

* processes are killed, stopped, paused and restarted, and a minority is killed for good;
* connections are delayed, stalled in one or both directions, or reset;
* the store refuses requests, drops responses and revokes leases;
* workers execute starts late, restart under their identifiers, and are lost for good;
* workers restart under their identifiers with other clocks and labels, get orders for their
  former instances, and are cut off from all daemons;
* the clocks of the workers' hosts are set to a wrong time before such a restart, and the owner of the
  service fails after it.

Faults overlap. A run with tasks that last ends with the loss of workers together with a fault of
the owner of the service. The same seed and size give the same faults at the same times.

Callers and workers record what they observe in a [`SoakHistory`]. [`check_history`]
returns the promises that the history breaks. A promise is a property that must hold
in every run, such as "accepted work is kept". A run signals only processes that it
started itself, by their process ids.
*/

mod callers;
mod checks;
mod error;
mod history;
mod plan;
mod process;
mod proxy;
mod run;
#[cfg(test)]
mod tests;

/// Loopback address of the daemons and of what they call. Other tests listen on 127.0.0.1, and
/// may get the port of a daemon that was killed; calls to its former port must not reach them.
pub(crate) const HOST: &str = "127.0.0.2";

pub use checks::{BrokenPromise, check_history};
pub use error::SoakError;
pub use history::{BrokenRequest, JobId, JobRecord, RunRecord};
pub use history::{FaultSpan, SoakHistory, SubmitOutcome};
pub use plan::{InstanceClock, LinkState, PlannedFault, SoakFault, SoakSize, generate_plan};
pub use run::{SoakReport, SoakRun};
