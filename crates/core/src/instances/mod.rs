/*!
Instances of workers: what an owner knows of one life of a worker.

A worker may be restarted under its identifier. The new instance has no runs, has seen no
fencing token, counts its ends from one and has another clock. [`WorkerInstance`] holds
everything that an owner infers from the reports of one instance, and is replaced as a whole
when a report names another start time. What outlives an instance (the entry in the registry,
the fencing token, the runs that may be on any instance) is in the records of
[`pipelines`](crate::pipelines).

Orders may reach an instance that the owner has not met. Their deadlines are on the clock of
another instance, so a worker may hold a run for the longest lease that it accepts.
*/

mod clock;
mod ends;
mod ratio;
mod reliability;
mod state;
#[cfg(test)]
mod tests;

pub(crate) use clock::{ClockReading, lapse_time};
pub(crate) use ratio::SAMPLE_WEIGHT_DIVISOR;
pub(crate) use reliability::{PROBE_TIME, WorkerStanding};
pub(crate) use state::{InstanceNumber, WorkerInstance};
