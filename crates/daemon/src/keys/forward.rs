//! Forwarding of calls with keys to the owner of their key shard.

use std::time::{Duration, Instant};

use auburnsaddle_core::{KeyReply, NotRunReason, ShardName, UnknownReason};
use tokio::sync::oneshot;

use super::messages::{ForwardReply, KeyCommand, KeyedAnswer, KeyedCall};
use crate::{
    control::{ControlEvent, ControlHandle},
    peers::{PeerError, PeerReply, PeerRequest, PeerRouter},
};

/// Time that a call waits for its shard to get an owner. A takeover takes
/// longer, and its calls are rejected as not run.
const OWNER_PATIENCE: Duration = Duration::from_secs(1);

/// Mean time between two attempts.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(50);

/// Time beyond the deadline for the owner's own answer about the deadline.
const ANSWER_GRACE: Duration = Duration::from_millis(500);

/// Sends calls with keys to the owners of their key shards.
#[derive(Clone, Debug)]
pub(crate) struct KeyForwarder {
    control: ControlHandle,
    router: PeerRouter,
}

impl KeyForwarder {
    /// Returns a forwarder that shares the connections to peers.
    pub(crate) const fn new(control: ControlHandle, router: PeerRouter) -> Self {
        Self { control, router }
    }

    /// Sends a call to the owner of its shard and waits for the answer. A call
    /// whose owner was lost is sent to the next one, which knows from the
    /// journal whether it may have run.
    pub(crate) async fn submit(&self, shard: &ShardName, mut call: KeyedCall) -> KeyedAnswer {
        let started_at = Instant::now();
        let allowed = call.remaining;
        let mut may_have_run = false;
        let mut patience = allowed.min(OWNER_PATIENCE);
        loop {
            call.remaining = allowed.saturating_sub(started_at.elapsed());
            let asking = self.ask_owner(shard, call.clone());
            let limit = call.remaining + ANSWER_GRACE;
            let reply = tokio::time::timeout(limit, asking).await;
            match reply {
                Ok(ForwardReply::Answered(answer)) => match answer.reply {
                    KeyReply::NotRun(NotRunReason::NoOwner) => {}
                    // The owner hands the shard over once its running calls
                    // have ended, which may take as long as a call.
                    KeyReply::NotRun(NotRunReason::Draining) => patience = allowed,
                    _ => return answer,
                },
                Ok(ForwardReply::Moved) => may_have_run = true,
                Err(_) => return unknown(UnknownReason::DeadlinePassed),
            }
            let passed = started_at.elapsed();
            match may_have_run {
                true if passed >= allowed => return unknown(UnknownReason::OwnerLost),
                false if passed >= patience => return without_owner(),
                _ => {}
            }
            let wait = ATTEMPT_INTERVAL.mul_f64(rand::random_range(0.5..1.5));
            tokio::time::sleep(wait).await;
        }
    }

    async fn ask_owner(&self, shard: &ShardName, call: KeyedCall) -> ForwardReply {
        let snapshot = self.control.snapshot();
        let Some(owner) = snapshot.owners.get(shard) else {
            return ForwardReply::Answered(without_owner());
        };
        if owner.daemon == snapshot.daemon {
            return self.ask_here(shard.clone(), call).await;
        }
        let request = PeerRequest::KeyedCall(shard.clone(), call);
        match self.router.ask_owner(shard, owner, &request).await {
            Ok(PeerReply::Keyed(reply)) => reply,
            // Nothing was sent.
            Err(PeerError::Unreachable { .. }) => ForwardReply::Answered(without_owner()),
            Ok(_) => ForwardReply::Moved,
            Err(error) => {
                log::debug!("asking {} for a key failed: {error}", owner.daemon);
                ForwardReply::Moved
            }
        }
    }

    /// Asks the key shards of this daemon.
    pub(crate) async fn ask_here(&self, shard: ShardName, call: KeyedCall) -> ForwardReply {
        let (reply, receiver) = oneshot::channel();
        let command = KeyCommand::Request { shard, call, reply };
        self.control.send(ControlEvent::Keys(command)).await;
        match receiver.await {
            Ok(answer) => ForwardReply::Answered(answer),
            Err(_) => ForwardReply::Moved,
        }
    }
}

fn without_owner() -> KeyedAnswer {
    KeyedAnswer::without_headers(KeyReply::NotRun(NotRunReason::NoOwner))
}

fn unknown(reason: UnknownReason) -> KeyedAnswer {
    KeyedAnswer::without_headers(KeyReply::Unknown(reason))
}
