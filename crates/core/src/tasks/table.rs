//! Tables and indexes of jobs, tasks, teams and pending records.

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
    workers::dominant_share,
};
use crate::{
    journal::RecordId,
    types::{
        Attempt, ObjectName, RackId, ResourceVector, TaskId, TeamId, UrgencyClass, WorkerId, ZoneId,
    },
};

/// A job that has tasks that have not ended.
#[derive(Clone, Debug)]
pub(super) struct JobEntry {
    pub(super) spec: JobSpec,
    /// Urgency after promotion.
    pub(super) urgency: UrgencyClass,
    /// Whether it waited long enough to go before larger jobs of its urgency.
    pub(super) is_promoted: bool,
    /// Tasks that wait for a placement.
    pub(super) pending: BTreeSet<TaskId>,
    /// Number of tasks that occupy a worker.
    pub(super) placed_count: usize,
    pub(super) ended_count: usize,
    /// Whether the record of its acceptance is durable.
    pub(super) is_durable: bool,
    /// Why its pending tasks wait.
    pub(super) reason: WaitReason,
    /// Sequence number in order of acceptance.
    pub(super) arrival: u64,
    pub(super) accepted_at: Duration,
    /// When it was last put into a wait queue.
    pub(super) waiting_since: Duration,
    /// Its entry in the wait queues; `None` if it is in none of them.
    pub(super) wait_entry: Option<WaitEntry>,
    /// Number of placed tasks in each rack; counted for spread jobs only.
    pub(super) rack_counts: BTreeMap<RackId, u32>,
    /// Number of placed tasks in each zone; counted for spread jobs only.
    pub(super) zone_counts: BTreeMap<ZoneId, u32>,
}

impl JobEntry {
    pub(super) fn is_gang(&self) -> bool {
        self.spec.gang == GangMode::AllOrNothing && self.spec.tasks.len() > 1
    }

    /// Returns the number of tasks that the next placement must start together:
    /// all pending members of a gang, otherwise one.
    pub(super) fn member_count(&self) -> u64 {
        if self.is_gang() {
            self.pending.len() as u64
        } else {
            1
        }
    }

    /// Returns the total demand of its pending tasks.
    pub(super) fn pending_demand(&self) -> ResourceVector {
        self.spec.demand.times(self.pending.len() as u64)
    }

    /// Returns its cost in the wait queue; lower costs are placed first, and a
    /// promoted job has the lowest.
    pub(super) fn cost<P: PlacementPolicy>(&self, policy: &P, total: &ResourceVector) -> u64 {
        /// Scale of the job's share of the pool.
        const MILLIONTHS: u64 = 1_000_000;
        if self.is_promoted {
            return 0;
        }
        let amount = self.spec.demand.times(self.member_count());
        policy.job_cost(dominant_share(&amount, total, MILLIONTHS))
    }

    /// Returns whether it has tasks to place. A gang is placed as a whole, so
    /// none of its members may occupy a worker.
    pub(super) fn is_placeable(&self) -> bool {
        !self.pending.is_empty() && (!self.is_gang() || self.placed_count == 0)
    }
}

/// Why a stop of a task was requested.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StopReason {
    /// The caller cancelled it.
    Cancel,
    /// The task is queued again and may start on another worker.
    Reschedule,
    /// The whole job has failed.
    FailJob,
}

/// State of one task.
#[derive(Clone, Debug)]
pub(super) struct TaskEntry {
    pub(super) job: JobId,
    /// Number of the latest attempt; zero before the first.
    pub(super) attempt: Attempt,
    /// Number of the current state; starts at 1 and grows with each change.
    pub(super) revision: u64,
    pub(super) state: TaskState,
    /// When the start of the latest attempt was sent.
    pub(super) started_at: Duration,
    pub(super) expected_end: Option<Duration>,
    /// When the lease of an unresolved attempt has certainly expired; `None`
    /// while that is not known.
    pub(super) lease_expiry: Option<Duration>,
    /// Set when a stop of the latest attempt was requested.
    pub(super) stop_reason: Option<StopReason>,
    /// Whether the start of the latest attempt may have reached its worker.
    pub(super) is_start_sent: bool,
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
            lease_expiry: None,
            stop_reason: None,
            is_start_sent: false,
        }
    }

    /// Returns the worker on which the task has capacity allocated.
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

    /// Returns the task as shown to watchers.
    pub(super) fn view(&self, task: TaskId) -> TaskView {
        TaskView {
            task,
            revision: self.revision,
            attempt: self.attempt,
            state: self.state.clone(),
        }
    }
}

/// Quota and usage of a team.
#[derive(Clone, Debug)]
pub(super) struct TeamEntry {
    pub(super) quota: TeamQuota,
    /// Total demand of its placed tasks.
    pub(super) used: ResourceVector,
    /// Jobs that exceed the free quota, in order of arrival.
    pub(super) deferred: BTreeSet<(u64, JobId)>,
    /// Whether the current configuration defines the team.
    pub(super) is_configured: bool,
}

impl TeamEntry {
    pub(super) const fn new(quota: TeamQuota) -> Self {
        Self {
            quota,
            used: ResourceVector::new(0, 0, 0),
            deferred: BTreeSet::new(),
            is_configured: true,
        }
    }

    /// Returns whether the free quota covers `demand`.
    pub(super) const fn has_quota_for(&self, demand: &ResourceVector) -> bool {
        self.is_configured && self.used.plus(demand).fits_in(&self.quota.quota)
    }
}

/// Moving averages of observed run times relative to declared ones.
#[derive(Clone, Debug, Default)]
pub(super) struct RunTimes {
    /// Average ratio for the jobs of an object and team.
    ratios_permille: BTreeMap<(ObjectName, TeamId), u64>,
}

/// A ratio of 1, for runs that take the declared time.
const UNIT_PERMILLE: u64 = 1_000;
/// Inverse weight of the newest run in the moving average.
const SMOOTHING_DIVISOR: u64 = 4;
/// Largest ratio that one run contributes. Declared times are wrong by a factor
/// of up to four, so larger ratios are outliers.
const RATIO_LIMIT_PERMILLE: u64 = 8 * UNIT_PERMILLE;

impl RunTimes {
    /// Adds the run time of a successful attempt to the average.
    pub(super) fn observe(&mut self, spec: &JobSpec, run_time: Duration) {
        let Some(declared) = spec.run_time.filter(|time| !time.is_zero()) else {
            return;
        };
        let ratio = run_time.as_millis() * u128::from(UNIT_PERMILLE) / declared.as_millis().max(1);
        let ratio = u64::try_from(ratio)
            .unwrap_or(RATIO_LIMIT_PERMILLE)
            .min(RATIO_LIMIT_PERMILLE);
        let key = (spec.object.clone(), spec.team.clone());
        let average = self.ratios_permille.entry(key).or_insert(ratio);
        *average = (*average * (SMOOTHING_DIVISOR - 1) + ratio) / SMOOTHING_DIVISOR;
    }

    /// Returns the declared run time times the average ratio; `None` for
    /// long-running work.
    pub(super) fn expected_run_time(&self, spec: &JobSpec) -> Option<Duration> {
        let declared = spec.run_time?;
        let key = (spec.object.clone(), spec.team.clone());
        let permille = self
            .ratios_permille
            .get(&key)
            .copied()
            .unwrap_or(UNIT_PERMILLE);
        let millis = declared.as_millis() * u128::from(permille) / u128::from(UNIT_PERMILLE);
        Some(Duration::from_millis(
            u64::try_from(millis).unwrap_or(u64::MAX),
        ))
    }
}

/// A record that is not yet durable, and what follows once it is.
#[derive(Clone, Debug)]
pub(super) enum PendingRecord {
    /// Acceptance of a job, which the caller waits for.
    Accept(JobId),
    /// Start of attempts, whose starts are sent afterwards.
    Start(Vec<(TaskId, Attempt)>),
    /// End of a task, which is published to watchers afterwards.
    End(TaskId),
    /// A record that takes effect without being durable. It is kept so that it
    /// can be written again after a failure.
    Unawaited(super::messages::TaskRecord),
}

/// Equivalence class of jobs for the feasibility check: the configuration
/// allows either all jobs of a class to run, or none.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct FitClass {
    pub(super) team: TeamId,
    pub(super) demand: ResourceVector,
    /// Number of tasks that must run at the same time.
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

/// Jobs, tasks and teams with their indexes.
#[derive(Clone, Debug, Default)]
pub(super) struct TaskTable {
    /// Jobs with tasks that have not ended.
    pub(super) jobs: BTreeMap<JobId, JobEntry>,
    /// Tasks of these jobs, and the ended tasks that remain visible.
    pub(super) tasks: BTreeMap<TaskId, TaskEntry>,
    pub(super) jobs_by_label: BTreeMap<Arc<str>, BTreeSet<JobId>>,
    /// Jobs that have not ended, by object and in order of arrival.
    pub(super) jobs_by_object: BTreeMap<ObjectName, BTreeSet<(u64, JobId)>>,
    /// Jobs that have not ended, by feasibility class.
    pub(super) jobs_by_class: BTreeMap<FitClass, BTreeSet<JobId>>,
    /// Jobs that wait until earlier jobs of an object have ended.
    pub(super) successors: BTreeMap<ObjectName, BTreeSet<JobId>>,
    pub(super) teams: BTreeMap<TeamId, TeamEntry>,
    pub(super) run_times: RunTimes,
    pub(super) pending_records: BTreeMap<RecordId, PendingRecord>,
    /// Records that were not written and are retried.
    pub(super) failed_records: Vec<PendingRecord>,
    /// Expected ends of running tasks.
    pub(super) expected_ends: BTreeSet<(Duration, TaskId)>,
    /// Times at which the leases of unresolved tasks have certainly expired.
    pub(super) lease_expiries: BTreeSet<(Duration, TaskId)>,
    /// Times at which waiting jobs are promoted.
    pub(super) promotion_times: BTreeSet<(Duration, JobId)>,
    /// Accepted jobs, including ended ones within the retention.
    pub(super) accepted_jobs: AcceptedJobs,
    /// Ended tasks that remain visible, oldest first.
    pub(super) ended_tasks: std::collections::VecDeque<TaskId>,
}

impl TaskTable {
    /// Returns an object that `id` must wait for, because an earlier job of that
    /// object has not ended.
    pub(super) fn unfinished_predecessor(&self, id: JobId) -> Option<ObjectName> {
        let job = self.jobs.get(&id)?;
        let mut names = job.spec.after.iter();
        let name = names.find(|name| {
            let first = self.jobs_by_object.get(*name).and_then(BTreeSet::first);
            first.is_some_and(|(arrival, _)| *arrival < job.arrival)
        });
        name.cloned()
    }

    /// Adds a job to the indexes by object and by feasibility class.
    pub(super) fn index_job(&mut self, spec: &JobSpec, arrival: u64) {
        let jobs = self.jobs_by_object.entry(spec.object.clone()).or_default();
        jobs.insert((arrival, spec.job));
        let jobs = self.jobs_by_class.entry(FitClass::new(spec)).or_default();
        jobs.insert(spec.job);
    }

    /// Removes a job from these indexes and returns the jobs that waited for its
    /// object.
    pub(super) fn unindex_job(&mut self, id: JobId, job: &JobEntry) -> BTreeSet<JobId> {
        let class = FitClass::new(&job.spec);
        if let Some(jobs) = self.jobs_by_class.get_mut(&class) {
            jobs.remove(&id);
            if jobs.is_empty() {
                self.jobs_by_class.remove(&class);
            }
        }
        let object = &job.spec.object;
        if let Some(jobs) = self.jobs_by_object.get_mut(object) {
            jobs.remove(&(job.arrival, id));
            if jobs.is_empty() {
                self.jobs_by_object.remove(object);
            }
        }
        self.successors.remove(object).unwrap_or_default()
    }

    /// Sets or clears the time at which the lease of an unresolved attempt has
    /// certainly expired.
    pub(super) fn set_lease_expiry(&mut self, task: TaskId, lease_expiry: Option<Duration>) {
        let Some(entry) = self.tasks.get_mut(&task) else {
            return;
        };
        if let Some(old) = std::mem::replace(&mut entry.lease_expiry, lease_expiry) {
            self.lease_expiries.remove(&(old, task));
        }
        self.lease_expiries
            .extend(lease_expiry.map(|at| (at, task)));
    }
}
