//! The state machines of several daemons, joined through an in-memory network
//! and store in virtual time.
//!
//! A run is deterministic: it depends only on its seed, its injected faults and
//! its mutation. Connections behave like TCP: messages in flight on a
//! connection are lost when the connection is closed.

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

/// Imports shared by the modules of the fault matrix.
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
