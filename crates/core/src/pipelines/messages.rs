//! Events and actions of [`PipelineState`](super::PipelineState).

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{
    progress::PipelineProgress,
    spec::{AdvicePolicy, PipelineId, PipelineSpec, RunKey, StepKey},
    wait::StepWait,
};
use crate::{
    quotas::{QuotaOutcome, StoredQuota, TeamUsage},
    teams::TeamTable,
    types::{Epoch, RackId, ResourceVector, TeamId, WorkerId},
};

/// A worker's own entry in the platform's registry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerListing {
    /// Identifier of the worker.
    pub worker: WorkerId,
    /// Start time in ms since 1970 of the instance that wrote the entry, if the entry has it.
    pub started_unix_ms: Option<u64>,
    /// Address at which the worker accepts orders.
    pub address: String,
    /// Total resources of the worker.
    pub capacity: ResourceVector,
    /// Labels, matched by [`StepSpec::required_label`](super::StepSpec::required_label).
    pub labels: Vec<String>,
    /// Rack of the worker, if known.
    pub rack: Option<RackId>,
    /// Whether the worker is about to leave and accepts no more tasks.
    pub is_draining: bool,
    /// Minimum time until the worker leaves, if it has announced one.
    pub leaves_in: Option<Duration>,
}

/// A run that a worker reports as present.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ObservedRun {
    /// The run that is present.
    pub run: RunKey,
    /// Latest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Progress in percent; for a long-running task, its availability in percent.
    pub percent: u32,
    /// Tail latency in ms of a serving task; CPU in use, in thousandths of a core,
    /// of any other task.
    pub load: Option<u64>,
}

/// How a run ended, as its worker reports it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RunEnd {
    /// The task succeeded.
    Done,
    /// The task failed.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The lease of the worker lapsed.
    Lapsed,
    /// Another member of the gang ended.
    GangBroken,
    /// The other members of the gang did not start in time.
    GangIncomplete,
}

impl RunEnd {
    /// Returns the name in logs and metrics.
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

/// A run that a worker reports as ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndedRun {
    /// Sequence number of the end, counted from one by each worker instance.
    pub number: u64,
    /// The run that ended.
    pub run: RunKey,
    /// How the run ended.
    pub end: RunEnd,
    /// Latest checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// A worker's answer to the renewal of its lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RenewalReport {
    /// Start time of the worker instance in ms since 1970. It changes when the
    /// worker is restarted.
    pub started_unix_ms: u64,
    /// Reading of the worker's own clock in ms.
    pub clock_ms: u64,
    /// Runs that are present on the worker.
    pub running: Vec<ObservedRun>,
    /// Ends that have not been acknowledged, by ascending number.
    pub ended: Vec<EndedRun>,
    /// Whether the worker may have more ends than it lists.
    pub has_more_ends: bool,
}

/// Which renewal a worker has answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RenewalStamp {
    /// Fencing token of the renewal. The worker rejects orders with lower ones from then on.
    pub token: Epoch,
    /// When the renewal was sent.
    pub sent_at: Duration,
}

/// Why the renewal of a lease failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RenewalFailure {
    /// There was no answer in time, or the connection broke.
    Unanswered,
    /// The address belongs to another worker or another instance of the worker.
    OtherInstance,
    /// The worker has seen a higher fencing token, as after a takeover.
    Fenced,
    /// The worker is unhealthy and did not carry out the order.
    Unhealthy,
}

/// The outcome of an order to start a run.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum StartResult {
    /// The run is present on the worker.
    Started,
    /// The worker has seen a higher fencing token, as after a takeover.
    Fenced,
    /// This or a later attempt has already ended or been stopped on the worker.
    Outdated,
    /// The deadline of the order had passed when the worker received it.
    Late,
    /// The worker has too few free resources.
    NoRoom,
    /// The worker did not accept the ticket.
    BadTicket,
    /// The worker is unhealthy and did not carry out the order.
    Unhealthy,
    /// The address belongs to another worker or another instance of the worker.
    OtherInstance,
    /// The order is malformed.
    Invalid,
    /// The order was not sent, because the ownership was not confirmed any more when it
    /// would have been, or the worker is claimed anew.
    NotSent,
    /// There was no answer: the worker may have started the run or may still do so.
    Unanswered,
}

impl StartResult {
    /// Returns the name in logs and metrics.
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
            Self::NotSent => "not_sent",
            Self::Unanswered => "unanswered",
        }
    }
}

/// The answer to a start order, or how the order failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StartAnswer {
    /// The outcome of the order.
    pub result: StartResult,
    /// When the order was sent.
    pub sent_at: Duration,
    /// Reading of the worker's own clock in ms, if the answer has one.
    pub clock_ms: Option<u64>,
}

impl From<StartResult> for StartAnswer {
    /// Returns an answer without a reading of the worker's clock.
    fn from(result: StartResult) -> Self {
        Self {
            result,
            sent_at: Duration::ZERO,
            clock_ms: None,
        }
    }
}

/// An order to start a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartOrder {
    /// The worker that receives the order.
    pub worker: WorkerId,
    /// Address of the worker.
    pub address: String,
    /// The run to start.
    pub run: RunKey,
    /// Command of the job.
    pub command: Arc<str>,
    /// End of the worker's lease, in ms on the worker's clock.
    pub deadline_ms: u64,
    /// Fencing token of the claim under which the order is sent.
    pub token: Epoch,
    /// Checkpoint to resume from; empty to start from the beginning.
    pub checkpoint: String,
    /// Ticket for the step, if its queue requires one.
    pub ticket: Option<String>,
    /// Time after which the order counts as unanswered.
    pub time_limit: Duration,
}

/// An order to stop a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StopOrder {
    /// The worker that receives the order.
    pub worker: WorkerId,
    /// Address of the worker.
    pub address: String,
    /// The run to stop.
    pub run: RunKey,
    /// Fencing token of the claim under which the order is sent.
    pub token: Epoch,
}

/// An order to limit the CPU share of a best-effort run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PaceOrder {
    /// The run and its worker, addressed in the same way as by a stop.
    pub target: StopOrder,
    /// Maximum share, 0 to 100.
    pub percent: u32,
}

/// An order to renew a worker's lease. The answer reports the worker's runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RenewalOrder {
    /// The worker that receives the order.
    pub worker: WorkerId,
    /// Address of the worker.
    pub address: String,
    /// Fencing token of the claim under which the order is sent.
    pub token: Epoch,
    /// Number of the latest durable end. It acknowledges all ends up to it.
    pub acked_end: u64,
    /// New end of the lease in ms on the worker's clock; `None` leaves the lease as it
    /// is.
    pub deadline_ms: Option<u64>,
    /// How long the worker may wait for a run to end before it answers.
    pub wait: Duration,
    /// Time after which the order counts as unanswered, with `wait`.
    pub time_limit: Duration,
}

/// A request to the advice service: which workers may run a step.
#[derive(Clone, Debug, PartialEq)]
pub struct AdviceOrder {
    /// The step to place.
    pub step: StepKey,
    /// The workers on which the service decides.
    pub workers: Vec<WorkerId>,
    /// Cost of the decision, from which its duration is estimated.
    pub policy: AdvicePolicy,
}

/// The answer to an [`AdviceOrder`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdviceReport {
    /// Tickets of the workers that may run the step; the others may not.
    pub tickets: BTreeMap<WorkerId, String>,
    /// Validity of the tickets after their issue.
    pub valid: Duration,
}

/// An input to [`PipelineState::handle`](super::PipelineState::handle).
#[derive(Clone, Debug, PartialEq)]
pub enum PipelineEvent {
    /// A job is in the store, with its durable progress if there is any.
    Stored(PipelineId, Arc<PipelineSpec>, Option<PipelineProgress>),
    /// The caller cancelled a job.
    Cancelled(PipelineId),
    /// A worker was added to the platform's registry, or its entry changed.
    Listed(WorkerListing),
    /// A worker was removed from the registry.
    Delisted(WorkerId),
    /// A worker answered a renewal of its lease.
    LeaseRenewed(WorkerId, RenewalStamp, RenewalReport),
    /// The renewal of a worker's lease failed.
    RenewalFailed(WorkerId, RenewalFailure),
    /// The outcome of a start order.
    StartAnswered(WorkerId, RunKey, StartAnswer),
    /// The outcome of a stop order: `true` if it was carried out, `false` if that is
    /// unknown.
    StopAnswered(WorkerId, RunKey, bool),
    /// The answer to a request for advice about a step, or `None` if it failed, and
    /// the time of its arrival.
    AdviceAnswered(StepKey, Option<AdviceReport>, Duration),
    /// Number of daemons that send requests for quick and for slow decisions to the
    /// advice service.
    AdvisorsCounted(usize, usize),
    /// All earlier owners of the service had ended their ownership by the given time.
    PredecessorsEnded(Duration),
    /// The store has confirmed the ownership of the service until the given time.
    OwnershipConfirmed(Duration),
    /// Leases of workers may be extended until the given time, which may be earlier than a
    /// previous one: no later owner of the service assumes by then that they have lapsed.
    ExtensionsPermitted(Duration),
    /// The terms of the teams have changed.
    TeamsChanged(Arc<TeamTable>),
    /// The quota records of all teams were read after
    /// [`QuotaLedger::due_read`](crate::QuotaLedger::due_read) returned this number.
    QuotasRead(u64, BTreeMap<TeamId, StoredQuota>),
    /// Quota records of teams have changed.
    QuotasChanged(BTreeMap<TeamId, StoredQuota>),
    /// The outcome of a change of allotments.
    QuotaWritten(QuotaOutcome),
    /// Time has passed. Carries the wall clock in ms since 1970.
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

/// An action that the caller of [`PipelineState`](super::PipelineState) performs.
#[derive(Clone, Debug, PartialEq)]
pub enum PipelineAction {
    /// Send a start order.
    Start(StartOrder),
    /// Send a stop order.
    Stop(StopOrder),
    /// Renew a worker's lease.
    Renew(RenewalOrder),
    /// Limit the CPU share of a run.
    Pace(PaceOrder),
    /// Send a request to the advice service.
    Ask(AdviceOrder),
    /// Log a decision.
    Log(PipelineNote),
}

/// A log entry: what happened to a job or a run, or a change in the owner's view of
/// a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum PipelineNote {
    /// The first task of a job was placed.
    Placed {
        /// Identifier of the job.
        pipeline: PipelineId,
        /// Queue of the job.
        queue: String,
        /// Time since the acceptance of the job in ms.
        waited_ms: u64,
        /// The worker of the first task.
        worker: WorkerId,
    },
    /// All tasks of a job are done.
    Completed {
        /// Identifier of the job.
        pipeline: PipelineId,
        /// Queue of the job.
        queue: String,
        /// Time since the acceptance of the job in ms.
        age_ms: u64,
        /// Time by which the job missed its latency objective, in ms.
        late_ms: u64,
    },
    /// A task of a job has used up its attempts.
    Failed {
        /// The run that failed last.
        run: RunKey,
        /// Number of failed runs of the task or its gang.
        failures: u32,
        /// Number of failed runs at which the job fails.
        max_attempts: u32,
    },
    /// Workers have crashed under a task.
    CrashBlamed {
        /// The run that was on the worker.
        run: RunKey,
        /// The worker that crashed.
        worker: WorkerId,
        /// Suspicion that the task crashes its workers, with this crash.
        suspicion: u32,
        /// Suspicion at which the job fails.
        max_suspicion: u32,
    },
    /// A job failed, because workers crashed under one of its tasks again and again.
    GivenUp {
        /// The run under which the last of the workers crashed.
        run: RunKey,
    },
    /// A job was cancelled by its caller.
    Cancelled {
        /// Identifier of the job.
        pipeline: PipelineId,
    },
    /// Tasks of a step have waited for long.
    StepWaiting {
        /// The step whose tasks wait.
        step: StepKey,
        /// Queue of the job.
        queue: String,
        /// What keeps the tasks from being placed.
        wait: StepWait,
    },
    /// A task has failed on a worker that is known to be sound. Its failures do not count against
    /// workers until a run of it holds.
    TaskAtFault {
        /// The run that failed last.
        run: RunKey,
        /// Number of failures in a row.
        failures: u32,
    },
    /// Runs of several jobs have failed on a worker in a row. It gets one run after another until one
    /// holds.
    WorkerOnProbation {
        /// The worker.
        worker: WorkerId,
    },
    /// Runs that resume from a checkpoint are stopped, as urgent work has too little room.
    RunsPreempted {
        /// Number of runs.
        runs: u64,
        /// Their CPU in thousandths of a core.
        cpu_milli: u64,
        /// CPU that waiting urgent steps lack.
        unplaced_cpu_milli: u64,
        /// CPU that was free.
        free_cpu_milli: u64,
    },
    /// A job is beyond the rate of its team, and waits behind those that are not.
    JobBeyondRate {
        /// The team.
        team: TeamId,
        /// Queue of the job.
        queue: String,
    },
    /// Tasks of a team wait for its cap.
    TeamCapped {
        /// The team.
        team: TeamId,
        /// What it uses of its cap in this service.
        usage: TeamUsage,
    },
    /// A run ended without a result.
    RunEnded {
        /// The run that ended.
        run: RunKey,
        /// The worker that reported the end.
        worker: WorkerId,
        /// How the run ended; `None` if it disappeared without a reported end.
        end: Option<RunEnd>,
        /// Time since the placement of the run; zero if the placement is unknown.
        age: Duration,
    },
    /// A worker did not carry out a start order.
    StartRejected {
        /// The run that was not started.
        run: RunKey,
        /// The worker that received the order.
        worker: WorkerId,
        /// Answer of the worker.
        result: StartResult,
    },
    /// A worker reports a run that is not placed on it. The run is stopped.
    UnexpectedRun {
        /// The run that was reported.
        run: RunKey,
        /// The worker that reported it.
        worker: WorkerId,
    },
    /// A worker answered a renewal for the first time or again after a failure. Its
    /// runs are known.
    WorkerClaimed {
        /// The worker that answered.
        worker: WorkerId,
        /// Number of runs that are present.
        running: usize,
        /// Number of ends that have not been acknowledged.
        ended: usize,
        /// Start time of the worker instance in ms since 1970.
        started_unix_ms: u64,
        /// Fencing token of the claim.
        token: Epoch,
        /// Time until the lease lapses if it is not renewed.
        lapses_in: Duration,
    },
    /// The answer to a start order has a reading of the worker's clock that does not fit that
    /// of the known instance.
    ClockDiffers {
        /// The worker that answered.
        worker: WorkerId,
        /// The run that was ordered.
        run: RunKey,
        /// The outcome of the order.
        result: StartResult,
        /// Reading of the clock in the answer, in ms.
        clock_ms: u64,
        /// Reading of the clock of the known instance that was expected, in ms.
        expected_ms: u64,
    },
    /// The renewal of a worker's lease failed. Nothing is placed on the worker until
    /// it answers.
    WorkerSuspected {
        /// The worker that did not answer or rejected the renewal.
        worker: WorkerId,
        /// Number of runs that may be on the worker.
        runs: usize,
        /// Why the renewal failed.
        failure: RenewalFailure,
        /// Time until the lease lapses.
        lapses_in: Duration,
    },
    /// A worker with runs of an earlier owner has not answered since the takeover. Its runs are
    /// kept until its lease has lapsed.
    WorkerUnreached {
        /// The worker that has not answered.
        worker: WorkerId,
        /// Number of runs that may be on the worker.
        runs: usize,
        /// Number of these runs that last until their jobs are cancelled.
        long_running: usize,
        /// Whether all earlier owners are known to have ended their ownership.
        have_predecessors_ended: bool,
        /// Time until the runs whose holder is known count as ended.
        lapses_in: Duration,
        /// Number of the other runs, which may be on an instance that no owner has met.
        unlocated: usize,
        /// Time until all runs count as ended.
        unlocated_lapse_in: Duration,
    },
    /// A run makes no progress. It is stopped, and its task is placed again.
    RunStalled {
        /// The run that is stopped.
        run: RunKey,
        /// The worker of the run.
        worker: WorkerId,
        /// Progress of the run in percent.
        percent: u32,
        /// Time for which the progress has not changed.
        stalled_for: Duration,
    },
    /// A worker is about to leave. Its runs are stopped, and their tasks are placed
    /// again.
    WorkerEvacuated {
        /// The worker that leaves.
        worker: WorkerId,
        /// Number of runs that are stopped.
        runs: usize,
    },
    /// A worker was restarted. Runs that may be on its new instance are kept until it is
    /// claimed.
    WorkerRestarted {
        /// The worker that was restarted.
        worker: WorkerId,
        /// Number of runs that have ended with the former instance.
        lost: usize,
        /// Number of runs that are present on the new instance.
        running: usize,
        /// Number of ends on the new instance.
        ended: usize,
        /// Start time of the new instance in ms since 1970.
        started_unix_ms: u64,
        /// Start time of the former instance in ms since 1970.
        former_started_unix_ms: u64,
    },
    /// Runs of a worker are known to have ended without a report.
    WorkerLost {
        /// The worker whose runs have ended.
        worker: WorkerId,
        /// Number of runs that have ended.
        runs: usize,
        /// Number of other runs, which may be on an instance that the owner has not met.
        kept: usize,
        /// Number of the ended runs that last until their jobs are cancelled.
        long_running: usize,
        /// Time for which this owner had waited for an answer.
        silent_for: Duration,
        /// Number of the runs that were ordered since the latest answered renewal was sent.
        unreported: usize,
        /// Time since the latest order with a deadline, if this owner has sent one.
        ordered_ago: Option<Duration>,
        /// Why the runs have ended.
        cause: LossCause,
    },
}

/// Why runs of a worker are known to have ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LossCause {
    /// Its lease lapsed without a renewal.
    LeaseLapsed,
    /// Another worker or instance answers at its address.
    Replaced,
}
