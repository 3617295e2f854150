/*!
Calls with an idempotency key.

The daemon that receives such a call forwards it to the owner of its key shard
with [`KeyForwarder`]. The owner keeps the keys in [`KeyShards`] on its control
thread; [`KeyExecutor`] dispatches calls and asks runners on the traffic threads.
*/

mod dump;
mod forward;
mod messages;
mod run;
mod state;

pub(crate) use dump::KeyShardDump;
pub(crate) use forward::KeyForwarder;
pub(crate) use messages::{
    BODY_LIMIT, ForwardReply, KeyCommand, KeyEffect, KeyedAnswer, KeyedCall,
};
pub(crate) use run::KeyExecutor;
pub(crate) use state::KeyShards;
