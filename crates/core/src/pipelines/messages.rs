//! Events and actions of the pipelines of one service.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{
    progress::PipelineProgress,
    spec::{AdvicePolicy, PipelineId, PipelineSpec, RunKey, StepKey},
};
use crate::types::{Epoch, RackId, ResourceVector, WorkerId};

/// A worker as it describes itself in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerListing {
    /// The worker.
    pub worker: WorkerId,
    /// Address of its interface for orders.
    pub address: String,
    /// What it has.
    pub capacity: ResourceVector,
    /// Its labels.
    pub labels: Vec<String>,
    /// Its rack.
    pub rack: Option<RackId>,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// Least time until it leaves, if it tells.
    pub leaves_in: Option<Duration>,
}

/// A run that a worker lists as present.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ObservedRun {
    /// The run.
    pub run: RunKey,
    /// Its latest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Its progress or, for tasks that last, its availability, in percent.
    pub percent: u32,
    /// The tail latency in ms of a task that serves its own users, or the
    /// processors in use in thousandths of a core of any other.
    pub load: Option<u64>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RunEnd {
    /// It did its work.
    Done,
    /// It failed.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease lapsed.
    Lapsed,
    /// Another member of its gang ended.
    GangBroken,
    /// The other members of its gang did not arrive in time.
    GangIncomplete,
}

impl RunEnd {
    /// Returns the name in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Lapsed => "lapsed",
            Self::GangBroken => "broken",
            Self::GangIncomplete => "alone",
        }
    }
}

/// A run that a worker lists as ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndedRun {
    /// Number of the end at its worker, counted from one in each life.
    pub number: u64,
    /// The run.
    pub run: RunKey,
    /// How it ended.
    pub end: RunEnd,
    /// Its latest checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// A worker's answer to the renewal of its lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RenewalReport {
    /// Start of the worker's life in ms since 1970, which tells two lives apart.
    pub started_unix_ms: u64,
    /// The worker's own clock in ms.
    pub clock_ms: u64,
    /// What is present.
    pub running: Vec<ObservedRun>,
    /// Ends that were not acknowledged, in order.
    pub ended: Vec<EndedRun>,
}

/// Why a renewal has no report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RenewalFailure {
    /// No answer in time, or a broken connection.
    Unanswered,
    /// The address belongs to another worker or another life.
    OtherInstance,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The worker is unhealthy and did nothing.
    Unhealthy,
}

/// The outcome of an order to start a run.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum StartResult {
    /// The run is there.
    Started,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The run or a later one has ended or was stopped there.
    Outdated,
    /// The lease of the order had lapsed.
    Late,
    /// The worker has no room.
    NoRoom,
    /// The ticket is not valid.
    BadTicket,
    /// The worker is unhealthy and did nothing.
    Unhealthy,
    /// The address belongs to another worker or another life.
    OtherInstance,
    /// The order is malformed.
    Invalid,
    /// No answer: it may be carried out, also later.
    Unanswered,
}

impl StartResult {
    /// Returns the name in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::Fenced => "fenced",
            Self::Outdated => "outdated",
            Self::Late => "late",
            Self::NoRoom => "no_room",
            Self::BadTicket => "bad_ticket",
            Self::Unhealthy => "unhealthy",
            Self::OtherInstance => "other_instance",
            Self::Invalid => "invalid",
            Self::Unanswered => "unanswered",
        }
    }
}

/// An order to start a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartOrder {
    /// The worker.
    pub worker: WorkerId,
    /// Its address.
    pub address: String,
    /// The run.
    pub run: RunKey,
    /// The job, for its command.
    pub command: Arc<str>,
    /// End of the worker's lease, on the worker's clock in ms.
    pub deadline_ms: u64,
    /// The fencing token.
    pub token: Epoch,
    /// Where to resume; empty for the beginning.
    pub checkpoint: String,
    /// The ticket, if the queue needs one.
    pub ticket: Option<String>,
}

/// An order to stop a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StopOrder {
    /// The worker.
    pub worker: WorkerId,
    /// Its address.
    pub address: String,
    /// The run.
    pub run: RunKey,
    /// The fencing token.
    pub token: Epoch,
}

/// An order to limit the share at which a run works.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PaceOrder {
    /// The run and its worker.
    pub target: StopOrder,
    /// The share, 0 to 100.
    pub percent: u32,
}

/// A renewal of a worker's lease, which also asks for its runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RenewalOrder {
    /// The worker.
    pub worker: WorkerId,
    /// Its address.
    pub address: String,
    /// The fencing token.
    pub token: Epoch,
    /// Number of the latest end that is durable.
    pub acked_end: u64,
    /// New end of the lease on the worker's clock in ms, if it is known.
    pub deadline_ms: Option<u64>,
    /// How long the worker may wait for an end before it answers.
    pub wait: Duration,
}

/// A question which workers may run a step.
#[derive(Clone, Debug, PartialEq)]
pub struct AdviceOrder {
    /// The step.
    pub step: StepKey,
    /// The workers to decide about.
    pub workers: Vec<WorkerId>,
    /// The cost of the answer.
    pub policy: AdvicePolicy,
}

/// The answer to an [`AdviceOrder`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdviceReport {
    /// Tickets of the workers that may run the step.
    pub tickets: BTreeMap<WorkerId, String>,
    /// How long the tickets are valid from their issue.
    pub valid: Duration,
}

/// What the pipelines of a service react to.
#[derive(Clone, Debug, PartialEq)]
pub enum PipelineEvent {
    /// A job is in the store; with its progress, if there is any.
    Stored(PipelineId, Arc<PipelineSpec>, Option<PipelineProgress>),
    /// The caller cancelled a job.
    Cancelled(PipelineId),
    /// A worker is in the platform's list.
    Listed(WorkerListing),
    /// A worker is no longer in the list.
    Delisted(WorkerId),
    /// A worker answered a renewal that was sent at the given time.
    LeaseRenewed(WorkerId, Duration, RenewalReport),
    /// A renewal has no report.
    RenewalFailed(WorkerId, RenewalFailure),
    /// The outcome of a start.
    StartAnswered(WorkerId, RunKey, StartResult),
    /// A stop was carried out (true) or its outcome is unknown.
    StopAnswered(WorkerId, RunKey, bool),
    /// An answer about a step, or none, that arrived at the given time.
    AdviceAnswered(StepKey, Option<AdviceReport>, Duration),
    /// How many daemons ask questions with quick and with slow decisions.
    AdvisorsCounted(usize, usize),
    /// The store has confirmed the ownership until then.
    OwnershipConfirmed(Duration),
    /// Time has passed; with the wall clock in ms since 1970.
    Tick(u64),
}

impl PipelineEvent {
    /// Returns the worker that the event is about, if it is about one.
    pub(super) const fn worker(&self) -> Option<&WorkerId> {
        match self {
            Self::Listed(listing) => Some(&listing.worker),
            Self::Delisted(worker)
            | Self::LeaseRenewed(worker, ..)
            | Self::RenewalFailed(worker, _)
            | Self::StartAnswered(worker, ..)
            | Self::StopAnswered(worker, ..) => Some(worker),
            _ => None,
        }
    }
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum PipelineAction {
    /// Send a start.
    Start(StartOrder),
    /// Send a stop.
    Stop(StopOrder),
    /// Renew a lease.
    Renew(RenewalOrder),
    /// Limit a run.
    Pace(PaceOrder),
    /// Ask which workers may run a step.
    Ask(AdviceOrder),
    /// Log a decision.
    Note(PipelineNote),
}

/// A decision that explains what happened to a job, or what the owner believes
/// of a worker. The daemon writes it to its log.
#[derive(Clone, Debug, PartialEq)]
pub enum PipelineNote {
    /// The first task of a job has a worker.
    Placed {
        /// The job.
        pipeline: PipelineId,
        /// Its queue.
        queue: String,
        /// Time since its acceptance in ms.
        waited_ms: u64,
        /// The first worker.
        worker: WorkerId,
    },
    /// All tasks of a job are done.
    Completed {
        /// The job.
        pipeline: PipelineId,
        /// Its queue.
        queue: String,
        /// Time since its acceptance in ms.
        age_ms: u64,
        /// Time after its latency objective in ms.
        late_ms: u64,
    },
    /// A task of a job has used up its attempts.
    Failed {
        /// The task and its latest attempt.
        run: RunKey,
        /// Failed runs.
        failures: u32,
        /// Runs that may fail.
        max_attempts: u32,
    },
    /// A job was cancelled by its caller.
    Cancelled {
        /// The job.
        pipeline: PipelineId,
    },
    /// A run ended without a result.
    RunEnded {
        /// The run.
        run: RunKey,
        /// Its worker.
        worker: WorkerId,
        /// How it ended; `None` if it was not there any more.
        end: Option<RunEnd>,
        /// Time since its placement.
        age: Duration,
    },
    /// A start was not carried out.
    StartRejected {
        /// The run.
        run: RunKey,
        /// The worker.
        worker: WorkerId,
        /// The worker's answer.
        result: StartResult,
    },
    /// A worker lists a run that is not placed there; it is stopped.
    UnexpectedRun {
        /// The run.
        run: RunKey,
        /// The worker.
        worker: WorkerId,
    },
    /// A worker answers, and its runs are known.
    WorkerClaimed {
        /// The worker.
        worker: WorkerId,
        /// Runs that are present.
        running: usize,
        /// Ends that were not acknowledged.
        ended: usize,
    },
    /// A renewal of a worker's lease failed.
    WorkerSuspected {
        /// The worker.
        worker: WorkerId,
        /// Runs that may be there.
        runs: usize,
        /// Why there is no report.
        failure: RenewalFailure,
        /// When its lease lapses, from now.
        lapses_in: Duration,
    },
    /// A run that makes no progress is stopped, to start elsewhere.
    RunStalled {
        /// The run.
        run: RunKey,
        /// The worker.
        worker: WorkerId,
        /// Its progress in percent.
        percent: u32,
        /// How long the progress has not changed.
        since: Duration,
    },
    /// The runs of a worker that is about to leave are stopped, to start elsewhere.
    WorkerEvacuated {
        /// The worker.
        worker: WorkerId,
        /// Runs that were there.
        runs: usize,
    },
    /// All runs of a worker have ended for certain.
    WorkerLost {
        /// The worker.
        worker: WorkerId,
        /// Runs that were there.
        runs: usize,
        /// Why they have ended.
        cause: LossCause,
    },
}

/// Why the runs of a worker have ended for certain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LossCause {
    /// Its lease lapsed without contact.
    LeaseLapsed,
    /// It was started again.
    Reborn,
    /// Another instance answers at its address.
    Replaced,
}
