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

#[cfg_attr(
    not(test),
    expect(unused_imports, reason = "the slice for tasks is their user")
)]
pub(crate) use client::HttpWorkers;
