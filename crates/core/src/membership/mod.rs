/*!
Cluster membership: registration of daemons and failure detection.

Every daemon monitors its peers by the heartbeats that it receives, and suspects
a peer that has been silent for the suspicion timeout. A newly registered peer
counts as alive for one suspicion timeout, so a daemon that starts does not
suspect all others. A peer is confirmed dead only when more than half of the
other registered daemons of its region suspect it.
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
