//! The worker's requests and replies.

use serde::{Deserialize, Serialize};

/// An amount of each resource.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct ResourceAmounts {
    /// Processors in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// Whole accelerators.
    pub accelerators: u64,
}

impl ResourceAmounts {
    /// Returns the sum.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli + other.cpu_milli,
            memory_mib: self.memory_mib + other.memory_mib,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// Tells whether this amount fits into a capacity.
    #[must_use]
    pub const fn fits_in(self, capacity: Self) -> bool {
        self.cpu_milli <= capacity.cpu_milli
            && self.memory_mib <= capacity.memory_mib
            && self.accelerators <= capacity.accelerators
    }
}

/// Makes a new owner known to the worker.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct ClaimRequest {
    /// The shard of the worker's pool.
    pub shard: String,
    /// The owner's epoch.
    pub epoch: u64,
}

/// What the worker has and runs.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct ClaimReply {
    /// The worker's whole capacity.
    pub capacity: ResourceAmounts,
    /// All attempts that run.
    pub running: Vec<RunningTask>,
}

/// An attempt that runs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct RunningTask {
    /// The task.
    pub task: String,
    /// Number of the attempt.
    pub attempt: u32,
    /// What the attempt occupies.
    pub resources: ResourceAmounts,
}

/// Starts an attempt.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct StartRequest {
    /// The shard of the worker's pool.
    pub shard: String,
    /// The owner's epoch.
    pub epoch: u64,
    /// The task.
    pub task: String,
    /// Number of the attempt.
    pub attempt: u32,
    /// What the attempt occupies.
    pub resources: ResourceAmounts,
    /// Time in milliseconds after which the attempt stops unless renewed.
    pub lease_ms: u64,
    /// What to run.
    pub payload: WorkPayload,
}

/// What a task does on this stand-in.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct WorkPayload {
    /// Run time in milliseconds.
    pub run_ms: u64,
    /// Whether the attempt runs until it is stopped.
    pub endless: bool,
    /// Whether the attempt fails at its end.
    pub fails: bool,
}

/// Names an attempt to be stopped, checkpointed or throttled.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct AttemptRequest {
    /// The shard of the worker's pool.
    pub shard: String,
    /// The owner's epoch.
    pub epoch: u64,
    /// The task.
    pub task: String,
    /// Number of the attempt.
    pub attempt: u32,
    /// Processors left to a throttled attempt, in thousandths of a core.
    pub cpu_milli: u64,
}

/// Whether the named attempt was running.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct AttemptReply {
    /// Whether the attempt was running.
    pub found: bool,
}

/// Renews the leases of all attempts and asks for news.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct SyncRequest {
    /// The shard of the worker's pool.
    pub shard: String,
    /// The owner's epoch.
    pub epoch: u64,
    /// New duration of all leases in milliseconds.
    pub lease_ms: u64,
    /// The last completion that the owner knows.
    pub after: u64,
}

/// Usage and completions.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct SyncReply {
    /// What the running attempts use.
    pub usage: ResourceAmounts,
    /// The completions after the one that the owner knows.
    pub completions: Vec<CompletionEvent>,
}

/// The end of an attempt.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct CompletionEvent {
    /// Position in the worker's series of completions, counted from one.
    pub sequence: u64,
    /// The task.
    pub task: String,
    /// Number of the attempt.
    pub attempt: u32,
    /// `succeeded`, `failed`, `stopped` or `lease-expired`.
    pub result: String,
}

/// A start or an end, as read by tests.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct LogLine {
    /// Milliseconds since the start of the worker.
    pub at_ms: u64,
    /// `start` or the result of an end.
    pub event: String,
    /// The task.
    pub task: String,
    /// Number of the attempt.
    pub attempt: u32,
    /// What is occupied after the event.
    pub occupied: ResourceAmounts,
}

/// What the worker does wrong at present.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerFaults {
    /// Every attempt fails at once.
    pub fail_all: bool,
    /// Every request takes this much longer.
    pub latency_ms: u64,
    /// Every start is rejected.
    pub refuse: bool,
    /// Epochs are not compared.
    pub no_fencing: bool,
}
