//! Tests of [`PipelineState`](super::PipelineState) in virtual time.

mod clock_steps;
mod crashes;
mod fixtures;
mod former_clocks;
mod health;
mod instance_faults;
mod large;
mod last_attempts;
mod leases;
mod liveness;
mod load;
mod placement;
mod preemption;
mod probation;
mod quotas;
mod recovery;
mod recurring;
mod responses;
mod restarts;
mod restoration;
mod review_holders;
mod scarcity;
mod shares;
mod sim_worker;
mod simulation;
mod waiting;
