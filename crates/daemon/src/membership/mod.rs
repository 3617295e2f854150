//! Registration of this daemon and heartbeats between daemons.

mod dump;
mod state;

pub(crate) use dump::{MemberDump, dump_members};
pub(crate) use state::{MEMBER_PREFIX, decode_members, register_transaction};
