/*!
Detection of faulty targets and faulty jobs.

A target on which several different jobs fail, or whose failure rate is far above
that of its pool, is put on probation. A job that fails on several targets is
failed itself, and its failures no longer count against the targets. The table is
generic over the identifiers of targets and jobs.
*/

mod messages;
mod state;
#[cfg(test)]
mod tests;

pub use messages::{HealthAction, HealthEvent};
pub use state::{HealthConfig, HealthTable};
