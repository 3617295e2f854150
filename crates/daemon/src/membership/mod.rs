//! Registrations of the daemons in the store, the dump of known peers and the log
//! of suspected ones.

mod dump;
mod state;
mod suspicion;
#[cfg(test)]
mod tests;

pub(crate) use dump::{MemberDump, dump_members};
pub(crate) use state::{MEMBER_PREFIX, decode_members, register_transaction};
pub(crate) use suspicion::SuspicionLog;
