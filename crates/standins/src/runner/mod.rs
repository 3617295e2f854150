/*!
Runners, which answer short calls.

A runner rejects a call when all of its slots are busy or when the call carries
an epoch lower than the highest one it has seen for the shard. Both rejections
happen before anything runs and say so in the `Auburnsaddle-Not-Run` header.
Tests read `GET /starts` and `GET /counts` and set a [`RunnerBehaviour`] with
`PUT /control/behaviour`.
*/

mod messages;
mod serve;
mod state;

pub use messages::{KeyReply, RunnerBehaviour, RunnerCounts, RunnerStart};
pub use serve::{SharedRunner, handle};
pub use state::{AdmissionError, RunnerState};
