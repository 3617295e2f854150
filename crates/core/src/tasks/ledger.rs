//! Jobs, their tasks and what teams hold.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use super::{
    accepted::AcceptedJobs,
    messages::{GangMode, JobId, JobSpec, TaskState, TaskView, TeamQuota, WaitReason},
    policy::PlacementPolicy,
    waiting::WaitEntry,
    workers::dominant_part,
};
use crate::{
    journal::RecordId,
    types::{
        Attempt, ObjectName, RackId, ResourceVector, TaskId, TeamId, UrgencyClass, WorkerId, ZoneId,
    },
};

/// A job and its tasks that wait.
#[derive(Clone, Debug)]
pub(super) struct JobEntry {
    pub(super) spec: JobSpec,
    /// Urgency after promotion.
    pub(super) urgency: UrgencyClass,
    /// Whether it has waited so long that it goes before larger work.
    pub(super) promoted: bool,
    pub(super) pending: BTreeSet<TaskId>,
    pub(super) active: usize,
    pub(super) ended: usize,
    pub(super) durable: bool,
    /// Why its tasks wait.
    pub(super) reason: WaitReason,
    pub(super) arrival: u64,
    pub(super) accepted_at: Duration,
    pub(super) waiting_since: Duration,
    pub(super) entry: Option<WaitEntry>,
    pub(super) racks: BTreeMap<RackId, u32>,
    pub(super) zones: BTreeMap<ZoneId, u32>,
}

impl JobEntry {
    pub(super) fn is_gang(&self) -> bool {
        self.spec.gang == GangMode::AllOrNothing && self.spec.tasks.len() > 1
    }

    /// Returns how many tasks the next placement takes.
    pub(super) fn members(&self) -> u64 {
        if self.is_gang() {
            self.pending.len() as u64
        } else {
            1
        }
    }

    /// Returns what its waiting tasks need.
    pub(super) fn volume(&self) -> ResourceVector {
        self.spec.demand.times(self.pending.len() as u64)
    }

    /// Rates it for the order of the queue; one promoted goes first.
    pub(super) fn cost<P: PlacementPolicy>(&self, policy: &P, total: &ResourceVector) -> u64 {
        /// Scale of a job's part of the pool.
        const MILLIONTHS: u64 = 1_000_000;
        if self.promoted {
            return 0;
        }
        let amount = self.spec.demand.times(self.members());
        policy.job_cost(dominant_part(&amount, total, MILLIONTHS))
    }

    /// Tells whether a placement is possible: a gang waits for all members.
    pub(super) fn is_placeable(&self) -> bool {
        !self.pending.is_empty() && (!self.is_gang() || self.active == 0)
    }
}

/// Why a task is told to stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StopReason {
    /// The caller cancelled it.
    Cancel,
    /// It is to run elsewhere.
    Move,
    /// Its job is failed.
    FailJob,
}

/// One task.
#[derive(Clone, Debug)]
pub(super) struct TaskEntry {
    pub(super) job: JobId,
    pub(super) attempt: Attempt,
    pub(super) revision: u64,
    pub(super) state: TaskState,
    pub(super) started_at: Duration,
    pub(super) expected_end: Option<Duration>,
    /// When an unresolved attempt has certainly stopped, if that is known.
    pub(super) expiry: Option<Duration>,
    pub(super) stop: Option<StopReason>,
    pub(super) start_sent: bool,
}

impl TaskEntry {
    pub(super) const fn new(job: JobId) -> Self {
        Self {
            job,
            attempt: 0,
            revision: 1,
            state: TaskState::Waiting(WaitReason::Queued),
            started_at: Duration::ZERO,
            expected_end: None,
            expiry: None,
            stop: None,
            start_sent: false,
        }
    }

    /// Returns the worker that the task occupies.
    pub(super) const fn worker(&self) -> Option<&WorkerId> {
        match &self.state {
            TaskState::Recording(worker)
            | TaskState::Starting(worker)
            | TaskState::Running(worker)
            | TaskState::Stopping(worker)
            | TaskState::Unresolved(worker) => Some(worker),
            TaskState::Waiting(_) | TaskState::Ended(_) => None,
        }
    }

    pub(super) fn view(&self, task: TaskId) -> TaskView {
        TaskView {
            task,
            revision: self.revision,
            attempt: self.attempt,
            state: self.state.clone(),
        }
    }
}

/// What a team may hold and holds.
#[derive(Clone, Debug)]
pub(super) struct TeamEntry {
    pub(super) quota: TeamQuota,
    pub(super) used: ResourceVector,
    /// Jobs that wait for the quota, by arrival.
    pub(super) parked: BTreeSet<(u64, JobId)>,
    pub(super) configured: bool,
}

impl TeamEntry {
    pub(super) const fn new(quota: TeamQuota) -> Self {
        Self {
            quota,
            used: ResourceVector::new(0, 0, 0),
            parked: BTreeSet::new(),
            configured: true,
        }
    }

    pub(super) const fn allows(&self, demand: &ResourceVector) -> bool {
        self.configured && self.used.plus(demand).fits_in(&self.quota.quota)
    }
}

/// Observed run times of a class of work relative to declared ones.
#[derive(Clone, Debug, Default)]
pub(super) struct RunTimes {
    permille: BTreeMap<(ObjectName, TeamId), u64>,
}

/// Ratio of 1 in thousandths.
const EXACT: u64 = 1_000;
/// Weight of the newest run in the average, as a divisor.
const NEWEST: u64 = 4;
/// Largest ratio that one run may contribute; declared times are off by up to
/// four times, so a greater one is an outlier.
const RATIO_LIMIT: u64 = 8 * EXACT;

impl RunTimes {
    pub(super) fn learn(&mut self, spec: &JobSpec, took: Duration) {
        let Some(declared) = spec.run_time.filter(|time| !time.is_zero()) else {
            return;
        };
        let ratio = took.as_millis() * u128::from(EXACT) / declared.as_millis().max(1);
        let ratio = u64::try_from(ratio).unwrap_or(RATIO_LIMIT).min(RATIO_LIMIT);
        let key = (spec.object.clone(), spec.team.clone());
        let average = self.permille.entry(key).or_insert(ratio);
        *average = (*average * (NEWEST - 1) + ratio) / NEWEST;
    }

    /// Returns the expected run time; `None` for long-running work.
    pub(super) fn expect(&self, spec: &JobSpec) -> Option<Duration> {
        let declared = spec.run_time?;
        let key = (spec.object.clone(), spec.team.clone());
        let permille = self.permille.get(&key).copied().unwrap_or(EXACT);
        let millis = declared.as_millis() * u128::from(permille) / u128::from(EXACT);
        Some(Duration::from_millis(
            u64::try_from(millis).unwrap_or(u64::MAX),
        ))
    }
}

/// What a pending record confirms.
#[derive(Clone, Debug)]
pub(super) enum PendingRecord {
    /// The acceptance of a job.
    Accept(JobId),
    /// The start of these attempts, which waits for the record.
    Start(Vec<(TaskId, Attempt)>),
    /// The end of a task, which is shown when it is durable.
    End(TaskId),
    /// A record that nothing waits for.
    Late(super::messages::TaskRecord),
}

/// Jobs of one team and size; they can all run some time, or none of them.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct FitClass {
    pub(super) team: TeamId,
    pub(super) demand: ResourceVector,
    /// Tasks that must fit at the same time.
    pub(super) members: u64,
}

impl FitClass {
    pub(super) fn new(spec: &JobSpec) -> Self {
        let gang = spec.gang == GangMode::AllOrNothing;
        Self {
            team: spec.team.clone(),
            demand: spec.demand,
            members: if gang { spec.tasks.len() as u64 } else { 1 },
        }
    }
}

/// Indexes of jobs and tasks.
#[derive(Clone, Debug, Default)]
pub(super) struct TaskLedger {
    pub(super) jobs: BTreeMap<JobId, JobEntry>,
    pub(super) tasks: BTreeMap<TaskId, TaskEntry>,
    pub(super) labels: BTreeMap<Arc<str>, BTreeSet<JobId>>,
    /// Jobs that have not ended, by object and arrival.
    pub(super) objects: BTreeMap<ObjectName, BTreeSet<(u64, JobId)>>,
    /// Jobs that have not ended, by what decides whether they can ever run.
    pub(super) classes: BTreeMap<FitClass, BTreeSet<JobId>>,
    /// Jobs that wait for those of an object to end.
    pub(super) successors: BTreeMap<ObjectName, BTreeSet<JobId>>,
    pub(super) teams: BTreeMap<TeamId, TeamEntry>,
    pub(super) run_times: RunTimes,
    pub(super) records: BTreeMap<RecordId, PendingRecord>,
    /// Failed records that are written again.
    pub(super) unwritten: Vec<PendingRecord>,
    /// Expected ends of running tasks.
    pub(super) ends: BTreeSet<(Duration, TaskId)>,
    /// Times at which unresolved tasks have certainly stopped.
    pub(super) expiries: BTreeSet<(Duration, TaskId)>,
    /// Times at which waiting jobs are promoted.
    pub(super) promotions: BTreeSet<(Duration, JobId)>,
    /// All accepted jobs, for a day.
    pub(super) accepted: AcceptedJobs,
    /// Ended tasks, oldest first.
    pub(super) ended: std::collections::VecDeque<TaskId>,
}

impl TaskLedger {
    /// Returns an object with an earlier job that must end before `id` starts.
    pub(super) fn predecessor(&self, id: JobId) -> Option<ObjectName> {
        let job = self.jobs.get(&id)?;
        let mut names = job.spec.after.iter();
        let name = names.find(|name| {
            let first = self.objects.get(*name).and_then(BTreeSet::first);
            first.is_some_and(|(arrival, _)| *arrival < job.arrival)
        });
        name.cloned()
    }

    /// Adds a job to the indexes by object and by class.
    pub(super) fn index_job(&mut self, spec: &JobSpec, arrival: u64) {
        let jobs = self.objects.entry(spec.object.clone()).or_default();
        jobs.insert((arrival, spec.job));
        let jobs = self.classes.entry(FitClass::new(spec)).or_default();
        jobs.insert(spec.job);
    }

    /// Removes a job from these indexes and returns the jobs to try again
    /// because they waited for its object.
    pub(super) fn unindex_job(&mut self, id: JobId, job: &JobEntry) -> BTreeSet<JobId> {
        let class = FitClass::new(&job.spec);
        if let Some(jobs) = self.classes.get_mut(&class) {
            jobs.remove(&id);
            if jobs.is_empty() {
                self.classes.remove(&class);
            }
        }
        let object = &job.spec.object;
        if let Some(jobs) = self.objects.get_mut(object) {
            jobs.remove(&(job.arrival, id));
            if jobs.is_empty() {
                self.objects.remove(object);
            }
        }
        self.successors.remove(object).unwrap_or_default()
    }

    /// Notes when an unresolved attempt has certainly stopped.
    pub(super) fn set_expiry(&mut self, task: TaskId, expiry: Option<Duration>) {
        let Some(entry) = self.tasks.get_mut(&task) else {
            return;
        };
        if let Some(old) = std::mem::replace(&mut entry.expiry, expiry) {
            self.expiries.remove(&(old, task));
        }
        self.expiries.extend(expiry.map(|at| (at, task)));
    }
}
