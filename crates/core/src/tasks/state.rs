//! The task queue of one pool shard.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use super::{
    messages::{
        JobId, JobRejection, JobSpec, TaskAction, TaskEvent, TaskOutcome, TaskRecord, TaskState,
        TeamQuota, WaitReason,
    },
    policy::PlacementPolicy,
    reserve::JobReservation,
    table::{FitClass, JobEntry, PendingRecord, TaskEntry, TaskTable, TeamEntry},
    waiting::WaitQueues,
    workers::WorkerTable,
};
use crate::{
    health::{HealthConfig, HealthTable},
    journal::RecordId,
    types::{NotRunReason, ResourceVector, RestartPolicy, TaskId, TeamId, UrgencyClass, WorkerId},
};

/// Limits of a task queue.
#[derive(Clone, Copy, Debug)]
pub struct TaskConfig {
    /// Share of accelerator hosts that is open to work without accelerators, in
    /// percent.
    pub accelerator_host_share: u64,
    /// Time for which a task runs without a renewal of its lease.
    pub lease: Duration,
    /// Time between two renewals of a worker's leases.
    pub renew_interval: Duration,
    /// Waiting time after which a job is promoted by one urgency class.
    pub promote_after: Duration,
    /// Waiting time after which capacity is reserved for the first job.
    pub reserve_after: Duration,
    /// Time between two retries of failed records and of blocked wait queues,
    /// which includes all gangs that did not fit.
    pub retry_interval: Duration,
    /// Maximum number of tasks that have not ended.
    pub task_limit: usize,
    /// Maximum number of ended tasks that remain visible.
    pub ended_task_limit: usize,
    /// Time for which duplicates of an accepted job are detected. The same as
    /// for the idempotency keys of calls.
    pub accepted_retention: Duration,
    /// Limits for the detection of failing workers and failing jobs.
    pub health: HealthConfig,
}

impl Default for TaskConfig {
    fn default() -> Self {
        Self {
            accelerator_host_share: 50,
            lease: Duration::from_mins(1),
            renew_interval: Duration::from_secs(15),
            promote_after: Duration::from_mins(10),
            reserve_after: Duration::from_secs(30),
            retry_interval: Duration::from_secs(1),
            task_limit: 200_000,
            ended_task_limit: 10_000,
            accepted_retention: Duration::from_hours(24),
            health: HealthConfig::default(),
        }
    }
}

/// State machine of the tasks of one pool and the capacity of its workers.
///
/// The caller of [`handle`](Self::handle) must make records durable in the order
/// of their ids. It may claim a worker only when no start to it is in flight:
/// each start was answered, or its connection is closed.
#[derive(Clone, Debug)]
pub struct TaskQueue<P> {
    pub(super) config: TaskConfig,
    pub(super) policy: P,
    pub(super) table: TaskTable,
    pub(super) workers: WorkerTable,
    pub(super) wait_queues: WaitQueues,
    pub(super) health: HealthTable<WorkerId, JobId>,
    pub(super) reservation: Option<JobReservation>,
    /// Earliest time of the next attempt to plan a reservation.
    pub(super) next_plan_at: Duration,
    /// Workers whose available capacity may have grown since the last placement.
    pub(super) freed_workers: BTreeSet<WorkerId>,
    /// Jobs that joined a blocked wait queue and have not been tried.
    pub(super) joined_jobs: BTreeSet<JobId>,
    /// Jobs to queue again, since a predecessor has ended.
    pub(super) released_jobs: BTreeSet<JobId>,
    /// Whether records cannot be written, as of the last result or retry. Tasks
    /// that need a record before their start wait meanwhile.
    pub(super) is_store_down: bool,
    pub(super) actions: Vec<TaskAction>,
    next_record: RecordId,
    next_arrival: u64,
    next_renewal: Duration,
    next_retry: Duration,
    /// When leases granted before the latest change of their length expire.
    pub(super) former_leases_expiry: Duration,
}

impl<P: PlacementPolicy> TaskQueue<P> {
    /// Returns an empty queue without workers.
    #[must_use]
    pub fn new(config: TaskConfig, policy: P) -> Self {
        Self {
            config,
            policy,
            table: TaskTable::default(),
            workers: WorkerTable::new(config.accelerator_host_share),
            wait_queues: WaitQueues::default(),
            health: HealthTable::new(config.health),
            reservation: None,
            next_plan_at: Duration::ZERO,
            freed_workers: BTreeSet::new(),
            joined_jobs: BTreeSet::new(),
            released_jobs: BTreeSet::new(),
            is_store_down: false,
            actions: Vec::new(),
            next_record: 1,
            next_arrival: 0,
            next_renewal: Duration::ZERO,
            next_retry: Duration::ZERO,
            former_leases_expiry: Duration::ZERO,
        }
    }

    /// Applies an event and returns the actions to carry out, in order.
    pub fn handle(&mut self, event: TaskEvent, now: Duration) -> Vec<TaskAction> {
        match event {
            TaskEvent::Submitted(spec) => self.submit_job(spec, now),
            TaskEvent::Recorded(ids) => self.handle_recorded(&ids, now),
            TaskEvent::RecordsFailed(ids) => self.handle_failed_records(&ids, now),
            TaskEvent::Replayed(records) => self.replay_records(records, now),
            TaskEvent::WorkerClaimed(name, running) => self.handle_claim(&name, &running, now),
            TaskEvent::WorkerReported(name, report) => self.handle_report(&name, &report, now),
            TaskEvent::WorkerUnresponsive(name) => self.handle_unresponsive(&name, now),
            TaskEvent::WorkerLeaving(name) => self.close_leaving_worker(&name, now),
            TaskEvent::WorkerStaying(name) => self.reopen_worker(&name),
            TaskEvent::WorkerRemoved(name) => self.remove_worker(&name, now),
            TaskEvent::WorkersChanged(entries) => self.set_workers(entries, now),
            TaskEvent::PoolChanged {
                accelerator_host_share,
                lease,
            } => self.set_pool_limits(accelerator_host_share, lease, now),
            TaskEvent::TeamsChanged(teams) => self.set_teams(teams, now),
            TaskEvent::StartAccepted(task, attempt) => self.confirm_start(task, attempt, now),
            TaskEvent::StartRejected(task, attempt) => self.handle_rejection(task, attempt, now),
            TaskEvent::StartUnknown(task, attempt) => self.settle_unknown_start(task, attempt),
            TaskEvent::Cancel(task) => self.cancel_task(task, now),
            TaskEvent::CancelLabel(label) => self.cancel_by_label(&label, now),
            TaskEvent::Resolved(task) => self.resolve_task(task, now),
            TaskEvent::TimerFired => {
                self.table.accepted_jobs.evict_expired(now);
                self.run_timers(now);
            }
        }
        for job in std::mem::take(&mut self.released_jobs) {
            self.enqueue(job, now);
        }
        self.place_waiting(now);
        std::mem::take(&mut self.actions)
    }

    /// Requests that a record is made durable, and keeps `pending` until then.
    pub(super) fn record(&mut self, record: TaskRecord, pending: PendingRecord) {
        let id = self.next_record;
        self.next_record += 1;
        self.table.pending_records.insert(id, pending);
        self.actions.push(TaskAction::Record(id, record));
    }

    /// Accepts or rejects a submitted job.
    fn submit_job(&mut self, spec: JobSpec, now: Duration) {
        if let Some(reason) = self.find_rejection(&spec) {
            self.actions.push(TaskAction::Reject(spec.job, reason));
            return;
        }
        let job = spec.job;
        self.record(
            TaskRecord::Accepted(spec.clone()),
            PendingRecord::Accept(job),
        );
        self.insert_job(spec, false, now);
        self.enqueue(job, now);
    }

    /// Returns why a submitted job is rejected, if it is.
    fn find_rejection(&self, spec: &JobSpec) -> Option<JobRejection> {
        let distinct: BTreeSet<_> = spec.tasks.iter().collect();
        let is_known = spec
            .tasks
            .iter()
            .any(|task| self.table.tasks.contains_key(task));
        let is_full = self.table.tasks.len() - self.table.ended_tasks.len() + spec.tasks.len()
            > self.config.task_limit;
        match () {
            () if is_known || self.table.accepted_jobs.task_count(spec.job).is_some() => {
                Some(JobRejection::Duplicate)
            }
            () if distinct.len() < spec.tasks.len() => Some(JobRejection::Duplicate),
            () if spec.tasks.is_empty() || spec.demand.is_zero() => Some(JobRejection::Empty),
            () if is_full => Some(JobRejection::QueueFull),
            () => self.find_infeasibility(&FitClass::new(spec)),
        }
    }

    /// Returns why the jobs of a class can never run under the current
    /// configuration, if that is so.
    fn find_infeasibility(&self, class: &FitClass) -> Option<JobRejection> {
        let FitClass {
            team,
            demand,
            members,
        } = class;
        let max_task_count = self.workers.max_task_count(demand);
        let is_pool_known = !self.workers.is_empty();
        let Some(team) = self.table.teams.get(team) else {
            return Some(JobRejection::UnknownTeam);
        };
        match () {
            () if !team.is_configured => Some(JobRejection::UnknownTeam),
            () if !demand.times(*members).fits_in(&team.quota.quota) => {
                Some(JobRejection::AboveQuota)
            }
            () if is_pool_known && max_task_count == 0 => Some(JobRejection::NeverFits),
            () if is_pool_known && max_task_count < *members => Some(JobRejection::GangNeverFits),
            () => None,
        }
    }

    /// Adds a new or replayed job to the tables without queueing it.
    pub(super) fn insert_job(&mut self, spec: JobSpec, is_durable: bool, now: Duration) {
        self.retain_accepted_job(spec.job, spec.tasks.len(), now);
        for task in &spec.tasks {
            self.table.tasks.insert(*task, TaskEntry::new(spec.job));
        }
        for label in &spec.labels {
            let jobs = self.table.jobs_by_label.entry(label.clone()).or_default();
            jobs.insert(spec.job);
        }
        let arrival = self.next_arrival;
        self.next_arrival += 1;
        self.table.index_job(&spec, arrival);
        let entry = JobEntry {
            urgency: spec.urgency,
            is_promoted: false,
            pending: spec.tasks.iter().copied().collect(),
            placed_count: 0,
            ended_count: 0,
            is_durable,
            reason: WaitReason::Queued,
            arrival,
            accepted_at: now,
            waiting_since: now,
            wait_entry: None,
            rack_counts: std::collections::BTreeMap::new(),
            zone_counts: std::collections::BTreeMap::new(),
            spec,
        };
        self.table.jobs.insert(entry.spec.job, entry);
    }

    /// Replaces the placement policy and reorders the waiting jobs.
    pub fn set_policy(&mut self, policy: P) {
        self.policy = policy;
        let total = self.workers.total_capacity();
        for job in self.table.jobs.values_mut() {
            let cost = job.cost(&self.policy, &total);
            if let Some(entry) = &mut job.wait_entry {
                self.wait_queues.remove(entry);
                entry.cost = cost;
                self.wait_queues.insert(entry);
            }
        }
        self.wait_queues.unblock_all();
    }

    /// Applies changed limits of the pool.
    fn set_pool_limits(&mut self, share: u64, lease: Duration, now: Duration) {
        if lease != self.config.lease {
            let end = now + lease_with_margin(self.config.lease);
            self.former_leases_expiry = self.former_leases_expiry.max(end);
            self.config.lease = lease;
        }
        if share != self.config.accelerator_host_share {
            self.config.accelerator_host_share = share;
            self.workers.set_host_share_percent(share);
            self.cancel_reservation();
            self.reject_infeasible(now);
            self.wait_queues.unblock_all();
        }
    }

    /// Replaces the teams and quotas. Teams that are no longer configured keep
    /// their usage, and their waiting jobs are rejected.
    fn set_teams(&mut self, teams: Vec<TeamQuota>, now: Duration) {
        for team in self.table.teams.values_mut() {
            team.is_configured = false;
        }
        for quota in teams {
            let name = quota.team.clone();
            let team = self
                .table
                .teams
                .entry(name)
                .or_insert_with(|| TeamEntry::new(quota.clone()));
            team.quota = quota;
            team.is_configured = true;
        }
        self.reject_infeasible(now);
        self.requeue_all_deferred(now);
    }

    /// Rejects waiting jobs that exceed the pool or their quota after a change of
    /// the configuration. Each feasibility class is checked once, so the cost
    /// grows with the number of classes, not of jobs.
    pub(super) fn reject_infeasible(&mut self, now: Duration) {
        let jobs_by_class = self.table.jobs_by_class.iter();
        let infeasible: Vec<_> = jobs_by_class
            .filter_map(|(class, jobs)| Some((jobs, self.find_infeasibility(class)?)))
            .flat_map(|(jobs, reason)| jobs.iter().map(move |job| (*job, reason)))
            .filter(|(job, _)| {
                let job = self.table.jobs.get(job);
                job.is_some_and(|job| !job.pending.is_empty())
            })
            .collect();
        for (job, reason) in infeasible {
            self.actions.push(TaskAction::Reject(job, reason));
            for task in self.pending_tasks(job) {
                let outcome = self.infeasible_outcome(task);
                self.end_task(task, outcome, now);
            }
        }
    }

    /// Returns the outcome of a waiting task that can no longer start. Only a
    /// task without any attempt was certainly not run.
    fn infeasible_outcome(&self, task: TaskId) -> TaskOutcome {
        match self.table.tasks.get(&task) {
            Some(entry) if entry.attempt > 0 => TaskOutcome::Failed,
            _ => TaskOutcome::NotRun(NotRunReason::NoTarget),
        }
    }

    /// Returns the tasks of a job that wait for a placement.
    pub(super) fn pending_tasks(&self, job: JobId) -> Vec<TaskId> {
        let job = self.table.jobs.get(&job);
        job.map_or_else(Vec::new, |job| job.pending.iter().copied().collect())
    }

    /// Returns the job of a task and the demand of the task.
    pub(super) fn demand_of(&self, task: TaskId) -> Option<(JobId, ResourceVector)> {
        let job = self.table.tasks.get(&task)?.job;
        Some((job, self.table.jobs.get(&job)?.spec.demand))
    }

    /// Returns the restart policy of a task.
    pub(super) fn restart_of(&self, task: TaskId) -> Option<RestartPolicy> {
        let job = self.table.tasks.get(&task)?.job;
        Some(self.table.jobs.get(&job)?.spec.restart)
    }

    /// Sets the state of a task and publishes it to watchers.
    pub(super) fn set_state(&mut self, task: TaskId, state: TaskState) {
        let Some(entry) = self.table.tasks.get_mut(&task) else {
            return;
        };
        if entry.state == state {
            return;
        }
        entry.state = state;
        entry.revision += 1;
        // An end is published once its record is durable.
        if !matches!(entry.state, TaskState::Ended(_)) {
            self.actions.push(TaskAction::Changed(entry.view(task)));
        }
    }

    /// Runs the periodic work that is due.
    fn run_timers(&mut self, now: Duration) {
        self.expire_leases(now);
        self.promote_jobs(now);
        if now >= self.next_retry {
            self.next_retry = now + self.config.retry_interval;
            self.is_store_down = false;
            self.retry_records();
            self.wait_queues.unblock_all();
        }
        if now >= self.next_renewal {
            self.next_renewal = now + self.config.renew_interval;
            self.renew_leases(now);
        }
    }

    /// Renews the leases on all responding workers.
    fn renew_leases(&mut self, now: Duration) {
        let renewed_workers = self.workers.mark_renewed(now);
        self.actions
            .extend(renewed_workers.into_iter().map(TaskAction::RenewLeases));
    }

    /// Promotes jobs that have waited for `promote_after` to the next urgency
    /// class, ahead of larger jobs of that class, which prevents starvation.
    fn promote_jobs(&mut self, now: Duration) {
        while let Some((at, id)) = self.table.promotion_times.first().copied() {
            if at > now {
                return;
            }
            self.table.promotion_times.remove(&(at, id));
            self.dequeue(id);
            if let Some(job) = self.table.jobs.get_mut(&id) {
                job.is_promoted = true;
                job.urgency = match job.urgency {
                    UrgencyClass::Batch => UrgencyClass::Normal,
                    UrgencyClass::Normal | UrgencyClass::Urgent => UrgencyClass::Urgent,
                };
                self.enqueue(id, now);
            }
        }
    }

    /// Updates the share of a team after its usage changed: its dominant share
    /// of the pool divided by its weight.
    pub(super) fn update_share(&mut self, team: &TeamId) {
        /// Resolution of the share. Teams within the same sixteenth of the pool
        /// count as equal, so that the policy decides among their jobs.
        const SHARE_STEPS: u64 = 16;
        let Some(entry) = self.table.teams.get(team) else {
            return;
        };
        let total = self.workers.total_capacity();
        let share = super::workers::dominant_share(&entry.used, &total, SHARE_STEPS);
        let weight = u64::from(entry.quota.weight.max(1));
        self.wait_queues.set_share(team, share / weight);
    }

    /// Returns the unfinished jobs with a label.
    pub(super) fn jobs_with_label(&self, label: &Arc<str>) -> Vec<JobId> {
        let jobs = self.table.jobs_by_label.get(label);
        jobs.into_iter().flatten().copied().collect()
    }
}

/// Returns the time after a renewal at which the lease has certainly expired on
/// the worker: the lease plus a margin of 10 %.
pub(super) fn lease_with_margin(lease: Duration) -> Duration {
    lease * 11 / 10
}
