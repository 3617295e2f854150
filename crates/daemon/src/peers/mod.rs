/*!
Communication between daemons: HTTP/2 streams with `bincode` bodies.

Each request is a stream of its own on a long-lived connection. All heartbeats
to a peer share one long-lived stream. Every message starts with a protocol
version byte, so that a message of an incompatible version is rejected instead
of being misinterpreted.
*/

mod client;
mod codec;
mod heartbeats;
mod messages;
mod router;
mod server;
#[cfg(test)]
mod tests;
mod traffic;

pub(crate) use client::PeerClient;
pub(crate) use messages::{PeerError, PeerReply, PeerRequest};
pub(crate) use router::PeerRouter;
pub(crate) use server::{PeerHandler, serve_peers};
pub(crate) use traffic::PeerTraffic;
