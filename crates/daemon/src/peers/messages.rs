//! Requests and replies between daemons.

use std::collections::BTreeMap;

use auburnsaddle_core::{
    CallRequest, ConfigPull, ConfigVersion, DaemonId, Epoch, GrantId, GrantResult, Heartbeat,
    MemberRecord, OwnerRecord, ShardName, TaskReply, TaskRequest,
};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::{
    calls::{LoanEnvelope, SlotReply},
    keys::{KeyedCall, KeyedReply},
};

/// Header with the identifier of the caller's request to which a peer request
/// belongs.
pub(super) const REQUEST_HEADER: &str = "auburnsaddle-request-id";

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
    /// Asks the owner of a pool shard.
    Task(ShardName, TaskRequest),
    /// A message about loans for the owner of a call shard.
    Loan(LoanEnvelope),
    /// Asks for the configuration versions after the one named.
    PullConfig(ConfigVersion),
    /// Asks the owner of a key shard to run a call once; the reply comes with
    /// its outcome.
    KeyedCall(ShardName, KeyedCall),
    /// Introduces the sender, which has not read the store yet, and asks for the
    /// members and owners that the receiver knows.
    Introduce(MemberRecord),
    /// Passes an encoded request on to a daemon that the sender does not hear.
    /// The relay does not decode it, so relays cannot nest in its memory.
    Relay(DaemonId, Vec<u8>),
}

/// The reply to a [`PeerRequest`].
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) enum PeerReply {
    /// The request was noted.
    Noted,
    /// The slot that was asked for, or why there is none.
    Slot(SlotReply),
    /// What the owner of a pool shard replied.
    Task(TaskReply),
    /// The configuration versions that were asked for.
    Config(ConfigPull),
    /// The answer to a call with a key.
    Keyed(KeyedReply),
    /// The known members, the replying daemon among them, and the owners.
    Members(Vec<MemberRecord>, BTreeMap<ShardName, OwnerRecord>),
    /// What became of a relayed request.
    Relayed(RelayResult),
}

/// What became of a request that a third daemon passed on.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) enum RelayResult {
    /// The encoded reply.
    Replied(Vec<u8>),
    /// The relay does not reach the receiver; nothing was sent.
    NotSent,
    /// The exchange broke off; the receiver may have acted on the request.
    Interrupted(String),
}

/// A message that was not exchanged with a peer.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Snafu)]
#[non_exhaustive]
pub(crate) enum PeerError {
    /// The peer's host refused the connection: no process listens there.
    #[snafu(display("peer {address} refused the connection; check that it runs"))]
    Refused {
        /// The peer's address.
        address: String,
    },
    /// The peer was not reached; nothing was sent.
    #[snafu(display("peer {address} was not reached: {message}; check the network"))]
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
