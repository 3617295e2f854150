/*!
Idempotency keys of one key shard.

A key goes through a durable intent, one dispatch and a durable outcome, in this
order. Requests with the same key and fingerprint wait for the outcome or get
the recorded one. An intent names no runner, so no slot is idle while it is
written. One without an outcome, found after a takeover, is resolved by asking
the live runners; its call is never dispatched again.
*/

mod entry;
mod messages;
mod state;
#[cfg(test)]
mod tests;

pub use messages::{
    KEY_SHARDS, KeyRequest, KeyResponse, RunnerAnswer, digest_key, digest_request, key_shard_index,
};
pub use messages::{KeyAction, KeyDigest, KeyEvent, KeyOutcome, KeyRecord, KeyReply};
pub use state::{KeyConfig, KeyTable};
