/*!
Bad targets and bad jobs, told apart by who else fails.

A target that fails jobs which succeed elsewhere goes on probation; a job that
fails on several targets is failed itself, and its failures are taken back from
the targets. The slice is generic over the ids of targets and jobs, so workers
and runners use the same rules.
*/

mod messages;
mod state;
#[cfg(test)]
mod tests;

pub use messages::{HealthAction, HealthEvent};
pub use state::{HealthConfig, HealthTable};
