/*!
Workers, which run tasks under leases.

A worker rejects a request with an epoch lower than the highest one it has seen
for the shard, and a start that does not fit its free resources. Both rejections
happen before anything runs and say so in the `Auburnsaddle-Not-Run` header.
Tests read all starts and ends with `GET /log` and set [`WorkerFaults`] with
`PUT /control/faults`.
*/

mod messages;
mod serve;
mod state;
#[cfg(test)]
mod tests;

pub use messages::{
    AttemptReply, AttemptRequest, ClaimReply, ClaimRequest, CompletionEvent, LogLine,
    ResourceAmounts, RunningTask, StartRequest, SyncReply, SyncRequest, WorkPayload, WorkerFaults,
};
pub use serve::{SharedWorker, handle};
pub use state::{RejectReason, WorkerState};
