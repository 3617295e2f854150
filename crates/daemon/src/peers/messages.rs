//! Request, reply and error types between daemons.

use std::collections::BTreeMap;

use auburnsaddle_core::{
    CallRequest, ConfigPull, ConfigVersion, DaemonId, Epoch, GrantId, GrantResult, Heartbeat,
    MemberRecord, OwnerRecord, ShardName, TaskReply, TaskRequest,
};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::{
    calls::{LoanEnvelope, SlotReply},
    keys::{ForwardReply, KeyedCall},
};

/// Header with the ID of the caller's request on whose behalf a peer request is
/// sent.
pub(super) const REQUEST_ID_HEADER: &str = "auburnsaddle-request-id";

/// A request to another daemon.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) enum PeerRequest {
    /// Periodic liveness message with the sender's state; the reply is ignored.
    Heartbeat(Heartbeat),
    /// Requests a slot from the owner of a call shard. The owner replies once it
    /// grants the slot or rejects the call.
    RequestSlot(ShardName, CallRequest),
    /// Returns a granted slot to the owner, with the result of the call.
    ReturnSlot(ShardName, Epoch, GrantId, GrantResult),
    /// Submits, reads or changes a task at the owner of a pool shard.
    Task(ShardName, TaskRequest),
    /// A message about lent slots between the owners of a service's call shards.
    Loan(LoanEnvelope),
    /// Requests the configuration versions after the given one.
    PullConfig(ConfigVersion),
    /// Asks the owner of a key shard to run a call once for its idempotency key.
    /// The owner replies with the outcome.
    KeyedCall(ShardName, KeyedCall),
    /// Announces a sender that has not read the store yet, and requests the
    /// members and owners known to the receiver.
    Introduce(MemberRecord),
    /// Has the receiver forward an encoded request to a daemon that the sender
    /// cannot reach. The relay does not decode the request, so nested relay
    /// requests cannot exhaust its memory.
    Relay(DaemonId, Vec<u8>),
}

/// The reply to a [`PeerRequest`].
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) enum PeerReply {
    /// The request was received; there is no other result.
    Noted,
    /// The granted slot, or the reason of the rejection.
    Slot(SlotReply),
    /// The result of a [`PeerRequest::Task`].
    Task(TaskReply),
    /// The requested configuration versions.
    Config(ConfigPull),
    /// The outcome of a call with an idempotency key.
    Keyed(ForwardReply),
    /// The known members, including the replying daemon, and the known owners.
    Members(Vec<MemberRecord>, BTreeMap<ShardName, OwnerRecord>),
    /// The result of a [`PeerRequest::Relay`].
    Relayed(RelayResult),
}

/// Result of a request that a third daemon was asked to forward.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) enum RelayResult {
    /// The receiver replied; holds its encoded reply.
    Replied(Vec<u8>),
    /// The relay could not reach the receiver; nothing was sent.
    NotSent,
    /// The connection failed after the request was sent; the receiver may have
    /// acted on it.
    Interrupted(String),
}

/// Failure of an exchange with a peer.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Snafu)]
#[non_exhaustive]
pub(crate) enum PeerError {
    /// The peer's host refused the connection because no process listens on the
    /// port; nothing was sent.
    #[snafu(display("peer {address} refused the connection; check that it runs"))]
    Refused {
        /// The peer's address.
        address: String,
    },
    /// There is no connection to the peer; nothing was sent.
    #[snafu(display("peer {address} was not reached: {message}; check the network"))]
    Unreachable {
        /// The peer's address or daemon name.
        address: String,
        /// Text of the underlying error.
        message: String,
    },
    /// The exchange failed after the request was sent; the peer may have acted on
    /// it.
    #[snafu(display("exchange with a peer broke off: {message}; check the network"))]
    Interrupted {
        /// Text of the underlying error.
        message: String,
    },
    /// The body has a different protocol version.
    #[snafu(display(
        "peer protocol version {found} instead of {expected}; run one version of auburnsaddled"
    ))]
    Version {
        /// Version byte of the body.
        found: u8,
        /// Protocol version of this daemon.
        expected: u8,
    },
    /// The body exceeds the size limit.
    #[snafu(display("peer message of over {limit} bytes; run one version of auburnsaddled"))]
    TooLong {
        /// The limit in bytes.
        limit: usize,
    },
    /// The body cannot be encoded or decoded.
    #[snafu(display("malformed peer message: {message}; run one version of auburnsaddled"))]
    Malformed {
        /// Error text of the codec.
        message: String,
    },
}
