//! Messages about slots between the traffic threads and the control thread.

use auburnsaddle_core::{
    CallRequest, Epoch, GrantId, GrantResult, LoanMessage, NotRunReason, RequestId, ShardName,
    SlotGrant, ZoneId,
};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

/// A granted slot of a runner, with the shard and epoch as fencing token.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) struct GrantedSlot {
    /// The shard whose owner granted the slot.
    pub(crate) shard: ShardName,
    /// The epoch of that owner.
    pub(crate) epoch: Epoch,
    /// The runner and the identifier of the grant.
    pub(crate) grant: SlotGrant,
}

impl GrantedSlot {
    /// Returns the shard and epoch to send to the runner. For a borrowed slot they
    /// are those of the lender.
    pub(crate) fn fencing_token(&self) -> (ShardName, Epoch) {
        match (&self.grant.lender, &self.shard) {
            (Some(lender), ShardName::Call(service, _)) => {
                let shard = ShardName::Call(service.clone(), lender.zone.clone());
                (shard, lender.epoch)
            }
            _ => (self.shard.clone(), self.epoch),
        }
    }
}

/// The reason why an owner granted no slot.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) enum SlotRefusal {
    /// The call was not run, for this reason.
    NotRun(NotRunReason),
    /// The request should go to the owner for this zone, which has more free slots.
    Redirected(ZoneId),
}

/// The reply to a slot request.
pub(crate) type SlotReply = Result<GrantedSlot, SlotRefusal>;

/// A message about slot loans, addressed to the owner of a shard.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) struct LoanEnvelope {
    /// The shard whose owner receives the message.
    pub(crate) shard: ShardName,
    /// The zone of the shard whose owner sent the message.
    pub(crate) from: ZoneId,
    /// The message for the queue of the receiving shard.
    pub(crate) message: LoanMessage,
}

/// A command from the traffic threads to the owned call queues.
#[derive(Debug)]
pub(crate) enum CallCommand {
    /// Enqueues a call.
    Request {
        /// The call shard.
        shard: ShardName,
        /// The call that needs a slot.
        call: CallRequest,
        /// Receives the slot or the refusal.
        reply: oneshot::Sender<SlotReply>,
    },
    /// Delivers a message about slot loans.
    Loan(LoanEnvelope),
    /// Removes a queued call whose requester has disconnected.
    Cancel {
        /// The call shard.
        shard: ShardName,
        /// The identifier of the slot request.
        request: RequestId,
    },
    /// Returns a slot. It is ignored unless the shard is owned under the same epoch.
    Return {
        /// The call shard.
        shard: ShardName,
        /// The epoch under which the slot was granted.
        epoch: Epoch,
        /// The identifier of the grant.
        grant: GrantId,
        /// How the call ended.
        result: GrantResult,
    },
}
