//! Routing of requests to shard owners, directly or through a relay.

use std::time::Duration;

use auburnsaddle_core::{DaemonId, OwnerRecord, ShardName};
use rand::seq::IteratorRandom;

use super::{
    PeerClient, PeerError, PeerReply, PeerRequest,
    client::unreachable_error,
    codec::{decode, encode},
    messages::RelayResult,
};
use crate::control::{ControlHandle, RoutingSnapshot};

/// Interval of the checks of the route to an owner that has not replied yet. It
/// adds little to a takeover, which takes seconds, and most replies arrive before
/// the first check.
const ROUTE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Sends requests to other daemons, through a relay if the direct link is down.
///
/// A partition between two daemons changes no owner while the other daemons
/// receive heartbeats from both. Without a relay, calls from one of the two to
/// shards of the other would wait until the partition heals.
#[derive(Clone, Debug)]
pub(crate) struct PeerRouter {
    control: ControlHandle,
    peers: PeerClient,
}

impl PeerRouter {
    /// Returns a router that uses the connections of a peer client.
    pub(crate) const fn new(control: ControlHandle, peers: PeerClient) -> Self {
        Self { control, peers }
    }

    /// Sends a request to the owner of a shard and waits for the reply.
    ///
    /// The wait ends early if the shard gets another owner or the direct link to
    /// the owner goes down. A paused process keeps its connections open, so that
    /// otherwise the wait would last until the deadline. The caller can then
    /// retry the request.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::Unreachable`] or [`PeerError::Refused`] if nothing
    /// was sent, and another error if the owner may have acted on the request.
    pub(crate) async fn send_to_owner(
        &self,
        shard: &ShardName,
        owner: &OwnerRecord,
        request: &PeerRequest,
    ) -> Result<PeerReply, PeerError> {
        let was_partitioned = self.control.snapshot().partitioned.contains(&owner.daemon);
        tokio::select! {
            reply = self.send(&owner.daemon, request) => reply,
            message = self.wait_for_route_change(shard, owner, was_partitioned) => Err(PeerError::Interrupted {
                message: message.to_owned(),
            }),
        }
    }

    /// Sends a request to a daemon, through a relay if the direct link to it is
    /// down.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Self::send_to_owner`].
    pub(crate) async fn send(
        &self,
        daemon: &DaemonId,
        request: &PeerRequest,
    ) -> Result<PeerReply, PeerError> {
        let snapshot = self.control.snapshot();
        let Some(address) = snapshot.peer_address(daemon) else {
            return Err(unreachable_error(daemon, &"it is not registered"));
        };
        let relay = choose_relay(&snapshot, daemon);
        match relay.and_then(|relay| snapshot.peer_address(relay)) {
            Some(relay) if snapshot.partitioned.contains(daemon) => {
                let body = encode(request)?.to_vec();
                let wrapped = PeerRequest::Relay(daemon.clone(), body);
                match self.peers.send(relay, &wrapped).await? {
                    PeerReply::Relayed(result) => decode_relayed(daemon, result),
                    _ => Err(unreachable_error(daemon, &"the relay did not pass it on")),
                }
            }
            _ => self.peers.send(address, request).await,
        }
    }

    /// Forwards an encoded request to a daemon over the direct link only.
    pub(crate) async fn relay(&self, daemon: &DaemonId, body: Vec<u8>) -> PeerReply {
        let snapshot = self.control.snapshot();
        let result = match snapshot.peer_address(daemon) {
            Some(address) if !snapshot.partitioned.contains(daemon) => {
                match self.peers.send_encoded(address, body.into()).await {
                    Ok(reply) => RelayResult::Replied(reply.to_vec()),
                    Err(PeerError::Refused { .. } | PeerError::Unreachable { .. }) => {
                        RelayResult::NotSent
                    }
                    Err(error) => RelayResult::Interrupted(error.to_string()),
                }
            }
            _ => RelayResult::NotSent,
        };
        PeerReply::Relayed(result)
    }

    /// Waits until the shard's owner or the link to it changes, and returns what
    /// changed. `was_partitioned` tells whether the link was already down when
    /// the request was sent.
    async fn wait_for_route_change(
        &self,
        shard: &ShardName,
        owner: &OwnerRecord,
        was_partitioned: bool,
    ) -> &'static str {
        loop {
            tokio::time::sleep(ROUTE_CHECK_INTERVAL).await;
            let snapshot = self.control.snapshot();
            match snapshot.owners.get(shard) {
                Some(current) if current != owner => return "the shard has another owner",
                None => return "the shard has no owner",
                Some(_) if !was_partitioned && snapshot.partitioned.contains(&owner.daemon) => {
                    return "the link to the owner is down";
                }
                Some(_) => {}
            }
        }
    }
}

/// Picks a random daemon in the receiver's region to which the direct link is
/// up.
fn choose_relay<'a>(snapshot: &'a RoutingSnapshot, receiver: &DaemonId) -> Option<&'a DaemonId> {
    let region = &snapshot.members.get(receiver)?.region;
    let members = snapshot.members.values();
    let relays = members
        .filter(|member| member.region == *region && member.daemon != *receiver)
        .map(|member| &member.daemon)
        .filter(|daemon| !snapshot.partitioned.contains(*daemon));
    relays.choose(&mut rand::rng())
}

fn decode_relayed(daemon: &DaemonId, result: RelayResult) -> Result<PeerReply, PeerError> {
    match result {
        RelayResult::Replied(body) => decode(&body),
        RelayResult::NotSent => Err(unreachable_error(daemon, &"no relay reaches it")),
        RelayResult::Interrupted(message) => Err(PeerError::Interrupted { message }),
    }
}
