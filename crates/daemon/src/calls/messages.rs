//! Messages about slots between traffic and control.

use auburnsaddle_core::{
    CallRequest, Epoch, GrantId, GrantResult, NotRunReason, RequestId, ShardName, SlotGrant,
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

/// A slot, or why the call was not run.
pub(crate) type SlotReply = Result<GrantedSlot, NotRunReason>;

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
