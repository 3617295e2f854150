/*!
Idempotency keys of one key shard.

For each key, a durable intent comes before the only dispatch of its call, and a
durable outcome before its response. Requests with the same key and fingerprint
wait for the outcome or get the recorded one. An intent names no runner, so no
slot is idle while the intent is written. If a new owner of the shard finds an
intent without an outcome, it queries the live runners for the outcome and never
dispatches the call again.
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
