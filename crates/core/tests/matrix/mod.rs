//! The state machines of several daemons, joined through an in-memory network
//! and store in virtual time.
//!
//! A run is decided by its seed, its injections and its mutation alone. The
//! connections are those of TCP: what was sent on a connection that was closed
//! does not arrive.

mod calls;
mod daemon;
mod faults;
mod invariants;
mod journal;
mod network;
mod pool;
mod store;
mod targets;
mod workload;
mod world;

/// The names that the files of the matrix share.
pub(crate) mod prelude {
    pub(crate) use std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    };

    pub(crate) use auburnsaddle_core::*;

    pub(crate) use super::{calls::*, daemon::*, faults::*, invariants::*, journal::*, network::*};
    pub(crate) use super::{pool::*, store::*, targets::*, workload::*, world::*};
    pub(crate) use crate::{FAULTS, Fault, Mutation, STEPS, Step};
}
