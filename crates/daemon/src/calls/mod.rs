/*!
Short calls: the queues of the owned call shards, and the dispatch to runners.

The daemon that receives a call requests a slot from the owner of the call shard
and sends the call to the granted runner itself, so request and response bodies
do not pass through the owner.
*/

mod body;
mod dispatch;
mod dump;
mod messages;
mod state;
mod upload;

pub(crate) use body::RelayBody;
pub(crate) use dispatch::{CallDispatcher, CallHead, CallReply};
pub(crate) use dump::CallShardDump;
pub(crate) use messages::{CallCommand, LoanEnvelope, SlotReply};
pub(crate) use state::CallShards;
pub(crate) use upload::{BodyError, BodyLimits, CallBody};
