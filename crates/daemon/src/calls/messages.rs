//! Messages about slots between traffic and control.

use auburnsaddle_core::{
    CallRequest, Epoch, GrantId, GrantResult, LoanMessage, NotRunReason, RequestId, ShardName,
    SlotGrant, ZoneId,
};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

/// A slot of a runner with the fencing token to use it under.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) struct GrantedSlot {
    /// The shard whose owner granted the slot.
    pub(crate) shard: ShardName,
    /// The owner's epoch.
    pub(crate) epoch: Epoch,
    /// The runner and the identifier of the grant.
    pub(crate) grant: SlotGrant,
}

impl GrantedSlot {
    /// Returns the shard and epoch that the runner is to see: the lender's for a
    /// borrowed slot.
    pub(crate) fn fence(&self) -> (ShardName, Epoch) {
        match (&self.grant.lender, &self.shard) {
            (Some(lender), ShardName::Call(service, _)) => {
                let shard = ShardName::Call(service.clone(), lender.zone.clone());
                (shard, lender.epoch)
            }
            _ => (self.shard.clone(), self.epoch),
        }
    }
}

/// Why an owner granted no slot.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) enum SlotRefusal {
    /// The call was not run.
    NotRun(NotRunReason),
    /// The owner of this zone has more free slots.
    Redirected(ZoneId),
}

/// A slot, or why there is none.
pub(crate) type SlotReply = Result<GrantedSlot, SlotRefusal>;

/// A message about loans on its way to the owner of a shard.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) struct LoanEnvelope {
    /// The shard whose owner receives the message.
    pub(crate) shard: ShardName,
    /// The sender's zone.
    pub(crate) from: ZoneId,
    /// The message.
    pub(crate) message: LoanMessage,
}

/// Something that traffic asks of the owned call queues.
#[derive(Debug)]
pub(crate) enum CallCommand {
    /// Queues a call.
    Request {
        /// The call shard.
        shard: ShardName,
        /// The call.
        call: CallRequest,
        /// Receives the slot.
        reply: oneshot::Sender<SlotReply>,
    },
    /// Delivers a message about loans.
    Loan(LoanEnvelope),
    /// Removes a call whose requester went away.
    Cancel {
        /// The call shard.
        shard: ShardName,
        /// The call.
        request: RequestId,
    },
    /// Returns a slot; one of another epoch is ignored.
    Return {
        /// The call shard.
        shard: ShardName,
        /// The epoch of the grant.
        epoch: Epoch,
        /// The grant.
        grant: GrantId,
        /// How the call ended.
        result: GrantResult,
    },
}
