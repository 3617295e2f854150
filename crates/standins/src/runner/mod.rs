/*!
A runner, which is a target for calls.

A runner rejects a call if all of its slots are busy, or if the call has a lower
epoch than the highest one seen for the shard. In both cases the call has not
run, and the response says so in the `Auburnsaddle-Not-Run` header. Tests read
`GET /starts` and `GET /counts` and set a [`RunnerBehaviour`] with
`PUT /control/behaviour`.
*/

mod messages;
mod serve;
mod state;

pub use messages::{KeyReply, RunnerBehaviour, RunnerCounts, RunnerStart};
pub use serve::{SharedRunner, handle};
pub use state::{AdmissionError, RunnerState};
