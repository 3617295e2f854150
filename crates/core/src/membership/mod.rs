/*!
Which peer daemons are alive.

Every daemon judges its peers by the heartbeats that it receives. A peer that
was never heard from counts as alive for one suspicion time after it was
registered, so a start does not look like the death of everyone else. A peer
counts as dead only when more than half of its region's other registered
daemons suspect it.
*/

mod load;
mod messages;
mod registration;
mod state;
#[cfg(test)]
mod tests;
mod traffic;

pub use load::LoadReporter;
pub use messages::{Heartbeat, MemberRecord, OwnedDigest, ShardLoad, digest_owned};
pub use registration::{RegistrationAction, RegistrationEvent, RegistrationLease};
pub use state::{PeerConfig, PeerState, PeerTable};
pub use traffic::heartbeat_bytes_per_second;
