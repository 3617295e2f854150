/*!
A worker, which is a target for tasks and runs them under leases.

A worker rejects a request with a lower epoch than the highest one seen for the
shard, and a start that does not fit into its free resources. In both cases
nothing has run, and the response says so in the `Auburnsaddle-Not-Run` header.
Tests read the starts and ends of attempts with `GET /log` and set
[`WorkerFaults`] with `PUT /control/faults`.
*/

mod messages;
mod serve;
mod state;
#[cfg(test)]
mod tests;

pub use messages::{
    AttemptReply, AttemptRequest, ClaimReply, ClaimRequest, CompletionEvent, LogEntry,
    ResourceAmounts, RunningTask, StartRequest, SyncReply, SyncRequest, WorkPayload, WorkerFaults,
};
pub use serve::{SharedWorker, handle};
pub use state::{RejectReason, WorkerState};
