/*!
A randomized soak of the real daemons on the users' platform.

A run starts daemons as separate processes on one machine, with a store and workers
of `platform/standin` behind loopback proxies, hands in jobs, and injects faults from
outside: processes are killed, stopped, paused and started again; connections are
delayed, silenced, cut one way or reset; the store refuses, loses answers and ends
leases; workers carry orders out late. Faults overlap, and a seed gives the same ones.

Meanwhile callers and workers keep a [`SoakHistory`], and [`check_history`] tells which
promises it breaks. Only processes that the run started are ended, by their ids.
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

pub use checks::{BrokenPromise, check_history};
pub use error::SoakError;
pub use history::{BrokenRequest, JobId, JobRecord, RunRecord};
pub use history::{SoakHistory, SubmitOutcome, TimeSpan};
pub use plan::{LinkState, PlannedFault, SoakFault, SoakSize, draw_plan};
pub use run::{SoakReport, SoakRun};
