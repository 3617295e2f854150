//! Tests of the pipelines of one service, in virtual time.

mod fixtures;
mod health;
mod leases;
mod load;
mod placement;
mod recovery;
