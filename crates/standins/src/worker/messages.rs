//! Requests and replies of the worker.

use serde::{Deserialize, Serialize};

/// An amount of each resource.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct ResourceAmounts {
    /// CPU in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

impl ResourceAmounts {
    /// Returns the sum of two amounts, resource by resource.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli + other.cpu_milli,
            memory_mib: self.memory_mib + other.memory_mib,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// Returns whether no resource exceeds the capacity.
    #[must_use]
    pub const fn fits_in(self, capacity: Self) -> bool {
        self.cpu_milli <= capacity.cpu_milli
            && self.memory_mib <= capacity.memory_mib
            && self.accelerators <= capacity.accelerators
    }
}

/// A request to register a new owner with the worker.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct ClaimRequest {
    /// Shard of the worker's pool.
    pub shard: String,
    /// Epoch of the owner that sends the request.
    pub epoch: u64,
}

/// The capacity and running attempts of the worker.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct ClaimReply {
    /// The total capacity, including what is occupied.
    pub capacity: ResourceAmounts,
    /// All running attempts.
    pub running: Vec<RunningTask>,
}

/// A running attempt.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct RunningTask {
    /// Id of the task.
    pub task: String,
    /// Number of the attempt.
    pub attempt: u32,
    /// The resources that the attempt occupies.
    pub resources: ResourceAmounts,
}

/// A request to start an attempt.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct StartRequest {
    /// Shard of the worker's pool.
    pub shard: String,
    /// Epoch of the owner that sends the request.
    pub epoch: u64,
    /// Id of the task.
    pub task: String,
    /// Number of the attempt.
    pub attempt: u32,
    /// The resources that the attempt occupies.
    pub resources: ResourceAmounts,
    /// Duration of the lease in milliseconds. The attempt stops when the lease
    /// expires without a renewal.
    pub lease_ms: u64,
    /// The simulated work.
    pub payload: WorkPayload,
}

/// The work that an attempt simulates.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct WorkPayload {
    /// Run time in milliseconds, before the worker's speed is applied.
    pub run_ms: u64,
    /// Whether the attempt runs until it is stopped.
    pub endless: bool,
    /// Whether the attempt fails at its end.
    pub fails: bool,
}

/// A request to stop, checkpoint or throttle an attempt.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct AttemptRequest {
    /// Shard of the worker's pool.
    pub shard: String,
    /// Epoch of the owner that sends the request.
    pub epoch: u64,
    /// Id of the task.
    pub task: String,
    /// Number of the attempt.
    pub attempt: u32,
    /// CPU limit of a throttled attempt, in thousandths of a core.
    pub cpu_milli: u64,
}

/// The reply to an [`AttemptRequest`].
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct AttemptReply {
    /// Whether the attempt was running.
    pub found: bool,
}

/// A request to renew the leases of all attempts and return new completions.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct SyncRequest {
    /// Shard of the worker's pool.
    pub shard: String,
    /// Epoch of the owner that sends the request.
    pub epoch: u64,
    /// New duration of all leases in milliseconds.
    pub lease_ms: u64,
    /// Sequence number of the last completion that the owner has received.
    pub after: u64,
}

/// Resource usage and the completions that are new to the owner.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct SyncReply {
    /// Resources occupied by running attempts.
    pub usage: ResourceAmounts,
    /// The completions after [`SyncRequest::after`].
    pub completions: Vec<CompletionEvent>,
}

/// The end of an attempt.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct CompletionEvent {
    /// Sequence number among the worker's completions, starting at 1.
    pub sequence: u64,
    /// Id of the task.
    pub task: String,
    /// Number of the attempt.
    pub attempt: u32,
    /// `succeeded`, `failed`, `stopped` or `lease-expired`.
    pub result: String,
}

/// The start or end of an attempt, for assertions in tests.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct LogEntry {
    /// Time since the start of the worker, in milliseconds.
    pub at_ms: u64,
    /// `start`, or the result of an attempt that ended.
    pub event: String,
    /// Id of the task.
    pub task: String,
    /// Number of the attempt.
    pub attempt: u32,
    /// Resources occupied by running attempts after the event.
    pub occupied: ResourceAmounts,
}

/// The faults that the worker injects.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerFaults {
    /// Every attempt fails as soon as it starts.
    pub fail_all: bool,
    /// Delay before each request is processed, in milliseconds.
    pub latency_ms: u64,
    /// Every start is rejected.
    pub refuse: bool,
    /// Requests with an outdated epoch are accepted.
    pub no_fencing: bool,
}
