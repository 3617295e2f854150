/*!
Requests of a pool's owner to its workers.

[`WorkerClient`] is what the rest of the daemon sees; [`HttpWorkers`] speaks JSON
over HTTP/2, on one connection to each worker. Each request ends as admitted,
rejected or unknown; the judgement is the one that calls use.
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
