//! Registrations of the daemons in the store, and the dump of known peers.

mod dump;
mod state;

pub(crate) use dump::{MemberDump, dump_members};
pub(crate) use state::{MEMBER_PREFIX, decode_members, register_transaction};
