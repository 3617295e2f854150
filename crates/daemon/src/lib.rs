/*!
The auburnsaddle daemon: I/O and threads around the decision logic of
`auburnsaddle-core`.

One *control thread* owns all control state: configuration, peers, owners and
the queues of the shards that this daemon owns. *Traffic threads* handle HTTP
requests, peer streams and store calls. They read the routing snapshot that the
control thread publishes, and send events to it over a bounded channel. Therefore
no lock is held across an await, and no two decisions run concurrently.

# Modules

* `settings`: flags and environment variables.
* `telemetry`: logs, request IDs, metrics and clocks.
* `store`: client of the platform's key-value store.
* `hosts`: client of the platform's list of hosts, and the classification of
  failed exchanges with targets.
* `workers`: client for requests to workers.
* `peers`: requests and heartbeats between daemons, over HTTP/2 with `bincode`.
* `membership`: registrations of the daemons in the store.
* `ownership`: owner records and shard leases in the store.
* `publication`: configuration versions in the store.
* `calls`: queues, slots and dispatch of calls.
* `tasks`: the owned pools, their workers and the requests that wait for them.
* `journal`: durable records of the owned shards.
* `keys`: calls with idempotency keys.
* `control`: the control thread.
* `front`: HTTP server for callers and operators.

If the environment variable `AUBURNSADDLE_SETTINGS` names a settings file of the
platform, the daemon runs with the following modules instead and reaches the
platform through the crate `auburnsaddle-platform`:

* `cell`: the control thread, startup and shutdown.
* `session`: the daemon's lease and its watches in the store.
* `job_table`: the phases of all jobs.
* `pipelines`: the owned services, with their commits and worker orders.
* `witness`: announcements of ownerships to other daemons.
* `ingress`: HTTP server for callers of jobs, the load balancer and peers.

# Use

The binary `auburnsaddled` parses its settings and calls [`run`]:

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
mod witness;
mod workers;

pub use cell::{CellCommand, CellError};
pub use control::{DaemonError, run};
pub use settings::{CallerLimits, DaemonCommand, DaemonSettings, SettingsError};
