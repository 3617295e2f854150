//! Tests of [`PipelineState`](super::PipelineState) in virtual time.

mod fixtures;
mod health;
mod leases;
mod load;
mod placement;
mod recovery;
mod waiting;
