/*!
Which peer daemons are alive.

Every daemon judges its peers by the heartbeats that it receives. A peer that
was never heard from counts as alive for one suspicion time after it was
registered, so a start does not look like the death of everyone else.
*/

mod messages;
mod state;
#[cfg(test)]
mod tests;

pub use messages::{Heartbeat, MemberRecord};
pub use state::{PeerConfig, PeerState, PeerTable};
