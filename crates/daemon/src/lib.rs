/*!
The auburnsaddle daemon: the edges around the decisions of `auburnsaddle-core`.

One *control thread* owns all control state: configuration, peers, owners and
the queues of the shards that this daemon owns. *Traffic threads* carry HTTP,
peer streams and store calls. They read the published [`routing
snapshot`](control) and send events to the control thread over a bounded
channel, so no lock is held across an await and no decision runs concurrently
with another one.

# Slices

* `settings`: flags and environment variables.
* `telemetry`: logs as JSON lines.
* `store`: the platform's key-value store.
* `hosts`: the platform's list of hosts, and the outcome of failed exchanges.
* `workers`: requests to workers.
* `peers`: `h2` streams with `bincode` messages between daemons.
* `tasks`: the owned pools, their workers and waiting callers.
* `membership`, `ownership`, `publication`, `calls`: the control state of each
  decision slice and its messages.
* `journal`: durable records of the owned shards.
* `keys`: calls with idempotency keys.
* `control`: the control thread.
* `front`: HTTP for callers and operators.

On the users' platform the daemon runs with these slices instead, and speaks to
the platform through the crate `auburnsaddle-platform`:

* `cell`: the control thread, start and end of the process.
* `session`: the daemon's lease, and what it follows in the store.
* `job_table`: the phases of all jobs.
* `pipelines`: the owned services, their commits and orders.
* `ingress`: HTTP for callers of jobs, the balancer and peers.

# Use

The binary `auburnsaddled` reads its settings and calls [`run`]:

```no_run
use auburnsaddle_daemon::{DaemonCommand, run};

if let DaemonCommand::Run(settings) = DaemonCommand::from_environment()? {
    run(&settings)?;
}
# Ok::<(), Box<dyn std::error::Error>>(())
```
*/

mod calls;
mod cell;
mod control;
mod front;
mod hosts;
mod ingress;
mod job_table;
mod journal;
mod keys;
mod membership;
mod ownership;
mod peers;
mod pipelines;
mod publication;
mod session;
mod settings;
mod store;
mod tasks;
mod telemetry;
mod workers;

pub use cell::{CellCommand, CellError};
pub use control::{DaemonError, run};
pub use settings::{CallerLimits, DaemonCommand, DaemonSettings, SettingsError};
