//! Messages between the owned pools and the traffic threads.

use std::time::Duration;

use auburnsaddle_core::{
    Epoch, RecordId, RecordUrgency, ShardName, TaskRecord, TaskReply, TaskRequest, WorkerId,
};
use tokio::sync::oneshot;

use crate::workers::{
    AttemptName, AttemptStart, ClaimReport, CompletionReport, EventSequence, SyncReport,
    WorkerOutcome, WorkerTarget,
};

/// A command from the traffic threads to the owned pools.
#[derive(Debug)]
pub(crate) enum TaskCommand {
    /// Handles a caller's request.
    Request {
        /// The pool shard.
        shard: ShardName,
        /// The request, to be run by the queue of the shard.
        request: TaskRequest,
        /// Receives the reply; dropped without one if the daemon loses the shard.
        reply: oneshot::Sender<TaskReply>,
    },
    /// Applies a worker's response. It is ignored if the shard is now owned under
    /// another epoch, or not at all.
    WorkerResponded {
        /// The pool shard.
        shard: ShardName,
        /// The epoch under which the request was sent.
        epoch: Epoch,
        /// The worker that responded.
        worker: WorkerId,
        /// Its response, or the failure of the exchange.
        response: WorkerResponse,
    },
}

/// The state of a worker when it was claimed.
#[derive(Clone, Debug)]
pub(crate) struct ClaimedWorker {
    pub(super) claim: ClaimReport,
    /// Read after the claim, so that it includes tasks that ended in between.
    pub(super) sync: SyncReport,
}

/// The response of a worker to a [`WorkerRequest`].
#[derive(Clone, Debug)]
pub(crate) enum WorkerResponse {
    /// Response to a claim.
    Claimed(WorkerOutcome<ClaimedWorker>),
    /// Response to a start.
    StartAnswered(AttemptName, WorkerOutcome<()>),
    /// Response to a stop.
    StopAnswered(AttemptName, WorkerOutcome<bool>),
    /// Response to a checkpoint or throttle.
    Adjusted(WorkerOutcome<bool>),
    /// Response to a sync.
    Synced(WorkerOutcome<SyncReport>),
    /// Response to a long poll for completions.
    Polled(WorkerOutcome<Vec<CompletionReport>>),
}

/// A request to a worker, to be sent by the traffic threads.
#[derive(Clone, Debug)]
pub(crate) struct TaskEffect {
    /// The worker that receives the request.
    pub(super) worker: WorkerId,
    /// Its address, with the shard and epoch as fencing token.
    pub(super) target: WorkerTarget,
    /// The request itself.
    pub(super) request: WorkerRequest,
    /// Time since the task was accepted; set only for its first start.
    pub(crate) waited: Option<Duration>,
}

/// The kinds of request to a worker.
#[derive(Clone, Debug)]
pub(super) enum WorkerRequest {
    /// Claims the worker, then renews its leases for the given time.
    Claim(Duration),
    Start(AttemptStart),
    Stop(AttemptName),
    Checkpoint(AttemptName),
    /// Limits an attempt to the given CPU in thousandths of a core.
    Throttle(AttemptName, u64),
    /// Renews all leases for the given time, and reads the usage and the
    /// completions after the sequence number.
    Sync(Duration, EventSequence),
    /// Waits for completions after the sequence number.
    Poll(EventSequence),
}

/// A record to be appended to the journal of a pool shard.
#[derive(Clone, Debug)]
pub(crate) struct PoolRecord {
    /// The pool shard.
    pub(crate) shard: ShardName,
    /// The identifier that the task queue gave it; the journal gives another.
    pub(crate) id: RecordId,
    /// The record as replayed by the next owner.
    pub(crate) record: TaskRecord,
    /// How soon it must be committed.
    pub(crate) urgency: RecordUrgency,
}

/// The results of an event in one or more pools.
#[derive(Debug, Default)]
pub(crate) struct PoolOutput {
    /// Requests to be sent by the traffic threads.
    pub(crate) effects: Vec<TaskEffect>,
    /// Records to be appended to the journal, in order.
    pub(crate) records: Vec<PoolRecord>,
    /// Shards for which a worker has seen a higher epoch, with the epoch of this
    /// owner.
    pub(crate) fenced: Vec<(ShardName, Epoch)>,
}
