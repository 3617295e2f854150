/*!
Short calls: the owned queues and the dispatch of calls to runners.

The daemon that receives a call asks the owner of the call shard for a slot and
sends the call to the granted runner itself; the owner never carries bodies.
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
