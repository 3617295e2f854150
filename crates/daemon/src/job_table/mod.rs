//! Each daemon's in-memory copy of the job summaries in the store.

mod state;
#[cfg(test)]
mod tests;

pub(crate) use state::{JobSummary, JobTable};
