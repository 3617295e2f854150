//! Registration of this daemon and heartbeats between daemons.

mod state;

pub(crate) use state::{MEMBER_PREFIX, read_members, register_transaction};
