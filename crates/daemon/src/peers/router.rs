//! Routes to the owner of a shard: directly, or through a third daemon.

use std::time::Duration;

use auburnsaddle_core::{DaemonId, OwnerRecord, ShardName};
use rand::seq::IteratorRandom;

use super::{
    PeerClient, PeerError, PeerReply, PeerRequest,
    client::unreachable,
    codec::{decode, encode},
    messages::RelayResult,
};
use crate::control::{ControlHandle, RoutingSnapshot};

/// Time between two checks of the route to an owner that has not answered yet. A
/// takeover takes seconds, so this adds little to it, and most requests are
/// answered before the first check.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Sends requests to other daemons over the route that is up.
///
/// A partition between two daemons changes no owner while the others hear both,
/// so without a relay the calls of one of them would wait for its end.
#[derive(Clone, Debug)]
pub(crate) struct PeerRouter {
    control: ControlHandle,
    peers: PeerClient,
}

impl PeerRouter {
    /// Returns a router that shares the connections to peers.
    pub(crate) const fn new(control: ControlHandle, peers: PeerClient) -> Self {
        Self { control, peers }
    }

    /// Sends a request to the owner of a shard and waits for the reply.
    ///
    /// The wait ends early when the shard gets another owner, or when the direct
    /// link to the owner goes down: a paused process keeps its connections open, so
    /// nothing else would end it before the deadline. The request can then be
    /// sent again.
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
        let partitioned = self.control.snapshot().partitioned.contains(&owner.daemon);
        tokio::select! {
            reply = self.send(&owner.daemon, request) => reply,
            message = self.route_changed(shard, owner, partitioned) => Err(PeerError::Interrupted {
                message: message.to_owned(),
            }),
        }
    }

    /// Sends a request to a daemon, through a third one if the direct link to
    /// it is down.
    ///
    /// # Errors
    ///
    /// Returns the same as [`Self::ask_owner`].
    pub(crate) async fn send(
        &self,
        daemon: &DaemonId,
        request: &PeerRequest,
    ) -> Result<PeerReply, PeerError> {
        let snapshot = self.control.snapshot();
        let Some(address) = snapshot.peer_address(daemon) else {
            return Err(unreachable(daemon, &"it is not registered"));
        };
        let relay = choose_relay(&snapshot, daemon);
        match relay.and_then(|relay| snapshot.peer_address(relay)) {
            Some(relay) if snapshot.partitioned.contains(daemon) => {
                let body = encode(request)?.to_vec();
                let wrapped = PeerRequest::Relay(daemon.clone(), body);
                match self.peers.send(relay, &wrapped).await? {
                    PeerReply::Relayed(result) => read_relayed(daemon, result),
                    _ => Err(unreachable(daemon, &"the relay did not pass it on")),
                }
            }
            _ => self.peers.send(address, request).await,
        }
    }

    /// Passes an encoded request on to a daemon, directly.
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

    /// Waits until the route to an owner changes and returns why.
    async fn route_changed(
        &self,
        shard: &ShardName,
        owner: &OwnerRecord,
        partitioned: bool,
    ) -> &'static str {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let snapshot = self.control.snapshot();
            match snapshot.owners.get(shard) {
                Some(present) if present != owner => return "the shard has another owner",
                None => return "the shard has no owner",
                Some(_) if !partitioned && snapshot.partitioned.contains(&owner.daemon) => {
                    return "the link to the owner is down";
                }
                Some(_) => {}
            }
        }
    }
}

/// Chooses a daemon of the receiver's region that this daemon hears.
fn choose_relay<'a>(snapshot: &'a RoutingSnapshot, receiver: &DaemonId) -> Option<&'a DaemonId> {
    let region = &snapshot.members.get(receiver)?.region;
    let members = snapshot.members.values();
    let relays = members
        .filter(|member| member.region == *region && member.daemon != *receiver)
        .map(|member| &member.daemon)
        .filter(|daemon| !snapshot.partitioned.contains(*daemon));
    relays.choose(&mut rand::rng())
}

fn read_relayed(daemon: &DaemonId, result: RelayResult) -> Result<PeerReply, PeerError> {
    match result {
        RelayResult::Replied(body) => decode(&body),
        RelayResult::NotSent => Err(unreachable(daemon, &"no relay reaches it")),
        RelayResult::Interrupted(message) => Err(PeerError::Interrupted { message }),
    }
}
