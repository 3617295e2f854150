//! Forwards calls with keys to the owner of their key shard.

use std::time::{Duration, Instant};

use auburnsaddle_core::{KeyReply, NotRunReason, ShardName, UnknownReason};
use tokio::sync::oneshot;

use super::messages::{ForwardReply, KeyCommand, KeyedAnswer, KeyedCall};
use crate::{
    control::{ControlEvent, ControlHandle},
    peers::{PeerError, PeerReply, PeerRequest, PeerRouter},
};

/// Bounds the time that a call waits for its shard to get an owner. A takeover
/// takes longer than this, so calls that arrive during one are rejected as not run.
const OWNER_WAIT_TIMEOUT: Duration = Duration::from_secs(1);

/// Mean pause between two attempts. Each pause is between half and one and a half
/// times as long.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Time to wait beyond the deadline of the call for the owner's answer that the
/// deadline has passed.
const OWNER_REPLY_MARGIN: Duration = Duration::from_millis(500);

/// Forwards calls with keys to the owners of their key shards.
#[derive(Clone, Debug)]
pub(crate) struct KeyForwarder {
    control: ControlHandle,
    router: PeerRouter,
}

impl KeyForwarder {
    /// Returns a forwarder that uses the peer connections of `router`.
    pub(crate) const fn new(control: ControlHandle, router: PeerRouter) -> Self {
        Self { control, router }
    }

    /// Forwards a call to the owner of its shard and returns the answer. If the
    /// owner loses the shard meanwhile, the call is sent to the next owner, which
    /// reads from the journal whether the call may have run.
    pub(crate) async fn forward(&self, shard: &ShardName, mut call: KeyedCall) -> KeyedAnswer {
        let started_at = Instant::now();
        let time_limit = call.remaining;
        let mut may_have_run = false;
        let mut wait_timeout = time_limit.min(OWNER_WAIT_TIMEOUT);
        loop {
            call.remaining = time_limit.saturating_sub(started_at.elapsed());
            let attempt = self.call_owner(shard, call.clone());
            let reply_timeout = call.remaining + OWNER_REPLY_MARGIN;
            let reply = tokio::time::timeout(reply_timeout, attempt).await;
            match reply {
                Ok(ForwardReply::Answered(answer)) => match answer.reply {
                    KeyReply::NotRun(NotRunReason::NoOwner) => {}
                    // The owner hands the shard over when its running calls have
                    // ended, which can take as long as the time limit of a call.
                    KeyReply::NotRun(NotRunReason::Draining) => wait_timeout = time_limit,
                    _ => return answer,
                },
                Ok(ForwardReply::Moved) => may_have_run = true,
                Err(_) => return unknown_answer(UnknownReason::DeadlinePassed),
            }
            let elapsed = started_at.elapsed();
            match may_have_run {
                true if elapsed >= time_limit => return unknown_answer(UnknownReason::OwnerLost),
                false if elapsed >= wait_timeout => return no_owner_answer(),
                _ => {}
            }
            let wait = RETRY_INTERVAL.mul_f64(rand::random_range(0.5..1.5));
            tokio::time::sleep(wait).await;
        }
    }

    /// Sends a call to the current owner of its shard, once.
    async fn call_owner(&self, shard: &ShardName, call: KeyedCall) -> ForwardReply {
        let snapshot = self.control.snapshot();
        let Some(owner) = snapshot.owners.get(shard) else {
            return ForwardReply::Answered(no_owner_answer());
        };
        if owner.daemon == snapshot.daemon {
            return self.call_local(shard.clone(), call).await;
        }
        let request = PeerRequest::KeyedCall(shard.clone(), call);
        match self.router.send_to_owner(shard, owner, &request).await {
            Ok(PeerReply::Keyed(reply)) => reply,
            // The request was not sent, so the call cannot have run.
            Err(PeerError::Unreachable { .. }) => ForwardReply::Answered(no_owner_answer()),
            Ok(_) => ForwardReply::Moved,
            Err(error) => {
                log::debug!(
                    "forwarding a call with a key to {} failed: {error}",
                    owner.daemon
                );
                ForwardReply::Moved
            }
        }
    }

    /// Passes a call to the key shards of this daemon, once.
    pub(crate) async fn call_local(&self, shard: ShardName, call: KeyedCall) -> ForwardReply {
        let (reply, receiver) = oneshot::channel();
        let command = KeyCommand::Request { shard, call, reply };
        self.control.send(ControlEvent::Keys(command)).await;
        match receiver.await {
            Ok(answer) => ForwardReply::Answered(answer),
            Err(_) => ForwardReply::Moved,
        }
    }
}

fn no_owner_answer() -> KeyedAnswer {
    KeyedAnswer::without_headers(KeyReply::NotRun(NotRunReason::NoOwner))
}

fn unknown_answer(reason: UnknownReason) -> KeyedAnswer {
    KeyedAnswer::without_headers(KeyReply::Unknown(reason))
}
