//! Requests and replies between daemons.

use auburnsaddle_core::{
    CallRequest, ConfigPull, ConfigVersion, Epoch, GrantId, GrantResult, Heartbeat, ShardName,
};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::calls::{LoanLetter, SlotReply};

/// A request to another daemon.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) enum PeerRequest {
    /// The sender is alive.
    Heartbeat(Heartbeat),
    /// Asks the owner of a call shard for a slot; the reply comes once a slot is
    /// granted or the call is rejected.
    RequestSlot(ShardName, CallRequest),
    /// Returns a slot.
    ReturnSlot(ShardName, Epoch, GrantId, GrantResult),
    /// A message about loans for the owner of a call shard.
    Loan(LoanLetter),
    /// Asks for the configuration versions after the one named.
    PullConfig(ConfigVersion),
}

/// The reply to a [`PeerRequest`].
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) enum PeerReply {
    /// The request was noted.
    Noted,
    /// The slot that was asked for, or why there is none.
    Slot(SlotReply),
    /// The configuration versions that were asked for.
    Config(ConfigPull),
}

/// A message that was not exchanged with a peer.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Snafu)]
#[non_exhaustive]
pub(crate) enum PeerError {
    /// The peer was not reached; nothing was sent.
    #[snafu(display("peer {address} refused the connection: {message}; check that it runs"))]
    Unreachable {
        /// The peer's address.
        address: String,
        /// The cause.
        message: String,
    },
    /// The exchange broke off; the peer may have acted on the request.
    #[snafu(display("exchange with a peer broke off: {message}; check the network"))]
    Interrupted {
        /// The cause.
        message: String,
    },
    /// A body has another protocol version.
    #[snafu(display(
        "peer protocol version {found} instead of {expected}; run one version of auburnsaddled"
    ))]
    Version {
        /// The version of the body.
        found: u8,
        /// The version of this daemon.
        expected: u8,
    },
    /// A body is longer than the limit.
    #[snafu(display("peer message of over {limit} bytes; run one version of auburnsaddled"))]
    TooLong {
        /// The limit in bytes.
        limit: usize,
    },
    /// A body cannot be decoded.
    #[snafu(display("malformed peer message: {message}; run one version of auburnsaddled"))]
    Malformed {
        /// The decoder's message.
        message: String,
    },
}
