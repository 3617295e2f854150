//! What tests set and read at a runner.

use serde::{Deserialize, Serialize};

/// How a runner answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RunnerBehaviour {
    /// Time from the admission of a call to its response, in milliseconds.
    pub work_ms: u64,
    /// Number of parts of the body; `0` sends the body whole, with its length.
    pub chunks: u32,
    /// The response breaks off after this number of parts.
    pub cut_after: Option<u32>,
    /// Announces the length of a body that is sent in parts.
    pub announce_length: bool,
    /// Calls are reset with `REFUSED_STREAM` before anything runs.
    pub refuse_stream: bool,
    /// Calls of an owner that was replaced run as well, which is the fault that
    /// epochs prevent.
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

/// One call that was started, with the shard and epoch under which it came.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct RunnerStart {
    /// The request id.
    pub request: String,
    /// The shard whose owner granted the slot.
    pub shard: String,
    /// The epoch of that owner.
    pub epoch: u64,
}

/// Counters of a runner.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct RunnerCounts {
    /// Calls that run at present.
    pub busy: u32,
    /// Most calls that ran at once.
    pub busy_peak: u32,
    /// Connections that are open at present.
    pub connections: usize,
    /// Most connections that were open at once.
    pub connections_peak: usize,
}

/// The answer to a query by idempotency key.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct KeyReply {
    /// `unknown`, `running` or `completed`.
    pub state: String,
    /// The response body of a completed call.
    pub body: String,
}
