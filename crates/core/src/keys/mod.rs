/*!
Idempotency keys of one key shard.

A key goes through a slot, a durable intent, one dispatch and a durable outcome,
in this order. Requests with the same key and fingerprint wait for the outcome
or get the recorded one. An intent without an outcome, found after a takeover,
is resolved by asking its runner; its call is never dispatched again.
*/

mod entry;
mod messages;
mod state;
#[cfg(test)]
mod tests;

pub use messages::{KeyAction, KeyDigest, KeyEvent, KeyOutcome, KeyRecord, KeyReply};
pub use messages::{KeyRequest, KeyResponse, RunnerAnswer, digest_key, key_shard_index};
pub use state::{KeyConfig, KeyTable};
