/*!
Failures of tasks in a row, and which of these tasks are at fault.

A failure is evidence about the task and about its worker. A task is at fault once it has failed on a
worker that is known to be sound: a run that was placed there later has held. The failures of such a
task say nothing about the workers on which it fails next.
*/

mod state;
#[cfg(test)]
mod tests;

pub(crate) use state::{FailurePlace, RunFailure, StreakTable};
