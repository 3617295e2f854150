//! Messages with which tests control and inspect a runner.

use serde::{Deserialize, Serialize};

/// The way in which a runner processes calls, including injected faults.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RunnerBehaviour {
    /// Time between reading the request body and responding, in milliseconds.
    pub work_ms: u64,
    /// Number of chunks, each a copy of the response body; `0` sends the body
    /// once, with its length.
    pub chunks: u32,
    /// Number of chunks after which the response is aborted; `None` to send all.
    pub cut_after: Option<u32>,
    /// Whether a response in chunks has a `Content-Length` header.
    pub announce_length: bool,
    /// Whether calls are reset with `REFUSED_STREAM` before they run.
    pub refuse_stream: bool,
    /// Whether calls with an outdated epoch are admitted. Simulates a runner
    /// without fencing.
    pub ignore_epochs: bool,
}

impl Default for RunnerBehaviour {
    fn default() -> Self {
        Self {
            work_ms: 20,
            chunks: 0,
            cut_after: None,
            announce_length: false,
            refuse_stream: false,
            ignore_epochs: false,
        }
    }
}

/// An admitted call, with the shard and epoch of its slot.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct RunnerStart {
    /// The id in the `Auburnsaddle-Request-Id` header.
    pub request: String,
    /// The shard whose owner granted the slot.
    pub shard: String,
    /// The epoch of the owner that granted the slot.
    pub epoch: u64,
}

/// Counters of the running calls and connections of a runner.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct RunnerCounts {
    /// Number of running calls.
    pub busy: u32,
    /// Highest number of calls running at the same time.
    pub busy_peak: u32,
    /// Number of open connections.
    pub connections: usize,
    /// Highest number of connections open at the same time.
    pub connections_peak: usize,
}

/// The reply to a status query by idempotency key.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct KeyReply {
    /// `unknown`, `running` or `completed`.
    pub state: String,
    /// The response body of a completed call; empty in other states.
    pub body: String,
}
