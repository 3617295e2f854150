/*!
Messages between daemons: `h2` streams with `bincode` bodies.

Each request is one stream on a long-lived connection; heartbeats follow each
other on one long-lived stream. A body starts with a
protocol version byte, so a daemon of another version is rejected with a clear
error instead of being misread.
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
