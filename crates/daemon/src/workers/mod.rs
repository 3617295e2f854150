/*!
Requests from a pool's owner to its workers.

The rest of the daemon uses the trait [`WorkerClient`]; [`HttpWorkers`] implements
it with JSON over HTTP/2, on one connection per worker. The outcome of a request
is admitted, rejected or unknown. Failed exchanges are classified by the same
rules as those of calls.
*/

mod client;
mod messages;
#[cfg(test)]
mod tests;
mod wire;

pub(crate) use client::HttpWorkers;
pub(crate) use messages::{
    AttemptEnd, AttemptName, AttemptStart, ClaimReport, CompletionReport, EventSequence,
    RejectReason, SyncReport, WorkerClient, WorkerOutcome, WorkerTarget,
};
