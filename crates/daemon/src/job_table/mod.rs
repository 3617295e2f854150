//! The phases of all jobs, as each daemon knows them from the store.

mod state;
#[cfg(test)]
mod tests;

pub(crate) use state::{JobBoard, JobSummary};
