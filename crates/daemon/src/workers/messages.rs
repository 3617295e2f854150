//! Requests from a pool's owner to its workers, independent of their wire
//! format.

use std::{future::Future, net::SocketAddr, time::Duration};

use auburnsaddle_core::{Attempt, Epoch, ResourceVector, ShardName, TaskId, UnknownReason};

/// Sequence number of a completion; each worker numbers its own, in increasing
/// order.
pub(crate) type EventSequence = u64;

/// Address of a worker, and the shard and epoch that fence requests to it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct WorkerTarget {
    /// Address of the worker's HTTP/2 server.
    pub(crate) address: SocketAddr,
    /// Shard of the worker's pool.
    pub(crate) shard: ShardName,
    /// Epoch of the sending owner; a worker rejects an epoch older than the
    /// latest one it knows for the shard.
    pub(crate) epoch: Epoch,
}

/// Outcome of a request to a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum WorkerOutcome<T> {
    /// The worker carried out the request.
    Admitted(T),
    /// The worker certainly did not act on the request.
    Rejected(RejectReason),
    /// The worker may or may not have acted on the request.
    Unknown(UnknownReason),
}

/// Why a worker did not act on a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RejectReason {
    /// The worker knows a newer epoch of the shard.
    Fenced,
    /// The worker's free resources do not suffice for the attempt.
    Full,
    /// The worker gave another reason, or the request was not processed.
    Refused,
    /// No connection to the worker could be established.
    Unreachable,
}

/// Identifies an attempt of a task.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct AttemptName {
    /// ID of the task.
    pub(crate) task: TaskId,
    /// Number of the attempt within its task.
    pub(crate) attempt: Attempt,
}

/// Parameters of a request to start an attempt.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct AttemptStart {
    /// The attempt to start.
    pub(crate) name: AttemptName,
    /// Resources reserved for the attempt.
    pub(crate) resources: ResourceVector,
    /// Time after which the worker stops the attempt unless its lease is renewed.
    pub(crate) lease: Duration,
    /// What to run, passed to the worker without interpretation.
    pub(crate) payload: serde_json::Value,
}

/// Capacity and running attempts of a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ClaimReport {
    /// Total capacity of the worker, including what running attempts occupy.
    pub(crate) capacity: ResourceVector,
    /// All running attempts with the resources reserved for them.
    pub(crate) running: Vec<(AttemptName, ResourceVector)>,
}

/// Resource usage and recent completions of a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct SyncReport {
    /// Resources that the running attempts use.
    pub(crate) usage: ResourceVector,
    /// Completions later than the sequence number of the request.
    pub(crate) completions: Vec<CompletionReport>,
}

/// Reason for the end of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AttemptEnd {
    /// It completed successfully.
    Succeeded,
    /// It ended with a failure of its own.
    Failed,
    /// It was stopped on request.
    Stopped,
    /// The worker stopped it because its lease expired.
    LeaseExpired,
}

/// Report of a worker on an attempt that ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct CompletionReport {
    /// Sequence number of the completion at its worker.
    pub(crate) sequence: EventSequence,
    /// The attempt that ended.
    pub(crate) name: AttemptName,
    /// Reason for its end.
    pub(crate) end: AttemptEnd,
}

/// Requests to a worker, each fenced by the epoch of its target.
pub(crate) trait WorkerClient: Clone + Send + Sync + 'static {
    /// Announces the epoch of a new owner and returns the running attempts.
    fn claim(
        &self,
        target: &WorkerTarget,
    ) -> impl Future<Output = WorkerOutcome<ClaimReport>> + Send;

    /// Starts an attempt. Idempotent: an attempt that was already started is not
    /// started again.
    fn start(
        &self,
        target: &WorkerTarget,
        start: &AttemptStart,
    ) -> impl Future<Output = WorkerOutcome<()>> + Send;

    /// Stops an attempt. Returns whether it was running.
    fn stop(
        &self,
        target: &WorkerTarget,
        name: AttemptName,
    ) -> impl Future<Output = WorkerOutcome<bool>> + Send;

    /// Has an attempt write a checkpoint. Returns whether it was running.
    fn checkpoint(
        &self,
        target: &WorkerTarget,
        name: AttemptName,
    ) -> impl Future<Output = WorkerOutcome<bool>> + Send;

    /// Limits an attempt to a processor share in thousandths of a core. Returns
    /// whether it was running.
    fn throttle(
        &self,
        target: &WorkerTarget,
        name: AttemptName,
        cpu_milli: u64,
    ) -> impl Future<Output = WorkerOutcome<bool>> + Send;

    /// Renews the leases of all attempts and returns usage and new completions.
    fn sync(
        &self,
        target: &WorkerTarget,
        lease: Duration,
        after: EventSequence,
    ) -> impl Future<Output = WorkerOutcome<SyncReport>> + Send;

    /// Waits for completions later than a sequence number; returns an empty list
    /// if there are none within the worker's time limit.
    fn events(
        &self,
        target: &WorkerTarget,
        after: EventSequence,
    ) -> impl Future<Output = WorkerOutcome<Vec<CompletionReport>>> + Send;
}
