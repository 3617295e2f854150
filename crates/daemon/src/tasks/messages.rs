//! Commands, effects and news of the owned pools.

use std::time::Duration;

use auburnsaddle_core::{
    Epoch, RecordId, RecordUrgency, ShardName, TaskRecord, TaskReply, TaskRequest, WorkerId,
};
use tokio::sync::oneshot;

use crate::workers::{
    AttemptName, AttemptStart, ClaimReport, CompletionReport, EventSequence, SyncReport,
    WorkerOutcome, WorkerTarget,
};

/// Something that traffic asks of the owned pools or reports to them.
#[derive(Debug)]
pub(crate) enum TaskCommand {
    /// A caller's request.
    Request {
        /// The pool shard.
        shard: ShardName,
        /// The request.
        request: TaskRequest,
        /// Receives the reply; dropped if the shard is lost meanwhile.
        reply: oneshot::Sender<TaskReply>,
    },
    /// A worker answered; ignored if the epoch is no longer the owner's.
    News {
        /// The pool shard.
        shard: ShardName,
        /// The epoch of the request.
        epoch: Epoch,
        /// The worker.
        worker: WorkerId,
        /// What it answered.
        news: WorkerNews,
    },
}

/// What a claimed worker has, runs and has ended.
#[derive(Clone, Debug)]
pub(crate) struct ClaimedWorker {
    pub(super) claim: ClaimReport,
    /// Read after the claim, so that nothing ends unseen between the two.
    pub(super) sync: SyncReport,
}

/// The answer of a worker.
#[derive(Clone, Debug)]
pub(crate) enum WorkerNews {
    /// To a claim.
    Claimed(WorkerOutcome<ClaimedWorker>),
    /// To a start.
    StartAnswered(AttemptName, WorkerOutcome<()>),
    /// To a stop.
    StopAnswered(AttemptName, WorkerOutcome<bool>),
    /// To a checkpoint or throttle.
    Adjusted(WorkerOutcome<bool>),
    /// To a synchronisation.
    Synced(WorkerOutcome<SyncReport>),
    /// To a long poll for completions.
    Polled(WorkerOutcome<Vec<CompletionReport>>),
}

/// A request to a worker.
#[derive(Clone, Debug)]
pub(crate) struct TaskEffect {
    /// The worker.
    pub(super) worker: WorkerId,
    /// Its address and the fencing token.
    pub(super) target: WorkerTarget,
    /// What is asked.
    pub(super) request: WorkerRequest,
    /// For the first start of a task, how long it has waited.
    pub(crate) waited: Option<Duration>,
}

/// What a worker is asked.
#[derive(Clone, Debug)]
pub(super) enum WorkerRequest {
    Claim(Duration),
    Start(AttemptStart),
    Stop(AttemptName),
    Checkpoint(AttemptName),
    Throttle(AttemptName, u64),
    Sync(Duration, EventSequence),
    Poll(EventSequence),
}

/// A record of a pool for the journal.
#[derive(Clone, Debug)]
pub(crate) struct PoolRecord {
    /// The pool shard.
    pub(crate) shard: ShardName,
    /// The number that the task queue gave it.
    pub(crate) id: RecordId,
    /// The content.
    pub(crate) record: TaskRecord,
    /// Who waits for it.
    pub(crate) urgency: RecordUrgency,
}

/// What follows from an event.
#[derive(Debug, Default)]
pub(crate) struct PoolOutput {
    /// To be carried out on the traffic threads.
    pub(crate) effects: Vec<TaskEffect>,
    /// To be appended to the journal, in order.
    pub(crate) records: Vec<PoolRecord>,
    /// Shards for which a worker has seen a newer owner.
    pub(crate) fenced: Vec<(ShardName, Epoch)>,
}
