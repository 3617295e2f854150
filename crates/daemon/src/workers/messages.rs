//! What the owner of a pool asks of a worker, free of its encoding.

use std::{future::Future, net::SocketAddr, time::Duration};

use auburnsaddle_core::{Attempt, Epoch, ResourceVector, ShardName, TaskId, UnknownReason};

/// Position in a worker's series of completions.
pub(crate) type EventSequence = u64;

/// The address of a worker and the fencing token for it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct WorkerTarget {
    /// The worker's address.
    pub(crate) address: SocketAddr,
    /// The shard of the worker's pool.
    pub(crate) shard: ShardName,
    /// The owner's epoch.
    pub(crate) epoch: Epoch,
}

/// What became of a request to a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum WorkerOutcome<T> {
    /// The worker did what was asked.
    Admitted(T),
    /// The worker certainly did nothing.
    Rejected(RejectReason),
    /// The worker may have done what was asked.
    Unknown(UnknownReason),
}

/// Why a worker did nothing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RejectReason {
    /// A newer owner of the shard is known to the worker.
    Fenced,
    /// The free resources do not hold the attempt.
    Full,
    /// The worker gave another reason, or did not process the request.
    Refused,
    /// There is no connection to the worker.
    Unreachable,
}

/// One attempt of a task.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct AttemptName {
    /// The task.
    pub(crate) task: TaskId,
    /// Number of the attempt.
    pub(crate) attempt: Attempt,
}

/// An attempt to be started.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct AttemptStart {
    /// The attempt.
    pub(crate) name: AttemptName,
    /// What it occupies.
    pub(crate) resources: ResourceVector,
    /// Time after which it stops unless its lease is renewed.
    pub(crate) lease: Duration,
    /// What to run, in the worker's own terms.
    pub(crate) payload: serde_json::Value,
}

/// What a worker has and runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ClaimReport {
    /// The worker's whole capacity.
    pub(crate) capacity: ResourceVector,
    /// All attempts that run, with what they occupy.
    pub(crate) running: Vec<(AttemptName, ResourceVector)>,
}

/// Usage and completions of a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct SyncReport {
    /// What the running attempts use.
    pub(crate) usage: ResourceVector,
    /// The completions after the last known one.
    pub(crate) completions: Vec<CompletionReport>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AttemptEnd {
    /// It did its work.
    Succeeded,
    /// It failed by itself.
    Failed,
    /// It was told to stop.
    Stopped,
    /// Its lease was not renewed.
    LeaseExpired,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct CompletionReport {
    /// Position in the worker's series of completions.
    pub(crate) sequence: EventSequence,
    /// The attempt.
    pub(crate) name: AttemptName,
    /// How it ended.
    pub(crate) end: AttemptEnd,
}

/// Requests to workers.
pub(crate) trait WorkerClient: Clone + Send + Sync + 'static {
    /// Makes a new owner known and lists what runs.
    fn claim(
        &self,
        target: &WorkerTarget,
    ) -> impl Future<Output = WorkerOutcome<ClaimReport>> + Send;

    /// Starts an attempt; one that was started before is not started again.
    fn start(
        &self,
        target: &WorkerTarget,
        start: &AttemptStart,
    ) -> impl Future<Output = WorkerOutcome<()>> + Send;

    /// Stops an attempt and tells whether it was running.
    fn stop(
        &self,
        target: &WorkerTarget,
        name: AttemptName,
    ) -> impl Future<Output = WorkerOutcome<bool>> + Send;

    /// Has an attempt save its state, and tells whether it was running.
    fn checkpoint(
        &self,
        target: &WorkerTarget,
        name: AttemptName,
    ) -> impl Future<Output = WorkerOutcome<bool>> + Send;

    /// Bounds the processors of an attempt, in thousandths of a core, and tells
    /// whether it was running.
    fn throttle(
        &self,
        target: &WorkerTarget,
        name: AttemptName,
        cpu_milli: u64,
    ) -> impl Future<Output = WorkerOutcome<bool>> + Send;

    /// Renews the leases of all attempts and returns the news.
    fn sync(
        &self,
        target: &WorkerTarget,
        lease: Duration,
        after: EventSequence,
    ) -> impl Future<Output = WorkerOutcome<SyncReport>> + Send;

    /// Waits for completions after a known one; returns none after a while.
    fn events(
        &self,
        target: &WorkerTarget,
        after: EventSequence,
    ) -> impl Future<Output = WorkerOutcome<Vec<CompletionReport>>> + Send;
}
