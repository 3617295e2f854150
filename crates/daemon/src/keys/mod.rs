/*!
Calls with an idempotency key.

The daemon that receives such a call forwards it to the owner of its key shard
with [`KeyForwarder`]. The owner holds the keys in [`KeyShards`] on its control
thread, while [`KeyExecutor`] dispatches calls and queries runners on the traffic
threads.
*/

mod dump;
mod forward;
mod messages;
mod run;
mod state;

pub(crate) use dump::KeyShardDump;
pub(crate) use forward::KeyForwarder;
pub(crate) use messages::{
    ForwardReply, KeyCommand, KeyEffect, KeyedAnswer, KeyedCall, MAX_KEYED_BODY_BYTES,
};
pub(crate) use run::KeyExecutor;
pub(crate) use state::KeyShards;
