//! Each daemon's in-memory copy of the job summaries in the store, and the removal of those of
//! ended jobs.

mod ended;
mod state;
#[cfg(test)]
mod tests;

pub(crate) use ended::{EndedJobs, REMOVAL_SLACK};
pub(crate) use state::{JobSummary, JobTable};
