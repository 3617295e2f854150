//! The task queue of one pool shard.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use super::{
    ledger::{FitClass, JobEntry, PendingRecord, TaskEntry, TaskLedger, TeamEntry},
    messages::{
        JobId, JobRejection, JobSpec, TaskAction, TaskEvent, TaskOutcome, TaskRecord, TaskState,
        TeamQuota, WaitReason,
    },
    policy::PlacementPolicy,
    reserve::GangReservation,
    waiting::WaitLanes,
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
    /// Part of accelerator hosts open to work without accelerators, in percent.
    pub accelerator_host_share: u64,
    /// Lease of a task without a renewal.
    pub lease: Duration,
    /// Time between two renewals of a worker's leases.
    pub renew_interval: Duration,
    /// Time after which a waiting job rises by one urgency class.
    pub promote_after: Duration,
    /// Time that the first job waits before room is reserved for it.
    pub reserve_after: Duration,
    /// Time between two tries of gangs and of records that failed.
    pub retry_interval: Duration,
    /// Most tasks that have not ended.
    pub task_limit: usize,
    /// Ended tasks that remain visible.
    pub ended_kept: usize,
    /// Time for which an accepted job is not accepted again, as for the keys of
    /// calls.
    pub accepted_kept: Duration,
    /// Limits for bad workers and bad jobs.
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
            ended_kept: 10_000,
            accepted_kept: Duration::from_hours(24),
            health: HealthConfig::default(),
        }
    }
}

/// Waiting and running tasks of one pool, and the room of its workers.
///
/// Records become durable in the order of their numbers. A claim of a worker is
/// sent only when no start to it is still on its way: each was answered, or its
/// connection is closed.
#[derive(Clone, Debug)]
pub struct TaskQueue<P> {
    pub(super) config: TaskConfig,
    pub(super) policy: P,
    pub(super) ledger: TaskLedger,
    pub(super) workers: WorkerTable,
    pub(super) lanes: WaitLanes,
    pub(super) health: HealthTable<WorkerId, JobId>,
    pub(super) reservation: Option<GangReservation>,
    pub(super) next_plan: Duration,
    /// Workers with more room than when the lanes were closed.
    pub(super) freed: BTreeSet<WorkerId>,
    /// Jobs that joined a closed lane and are tried by themselves.
    pub(super) joined: BTreeSet<JobId>,
    /// Jobs that may have waited for one that ended.
    pub(super) released: BTreeSet<JobId>,
    pub(super) store_down: bool,
    pub(super) actions: Vec<TaskAction>,
    next_record: RecordId,
    next_arrival: u64,
    next_renewal: Duration,
    next_retry: Duration,
    /// End of the leases granted before the latest change of their length.
    pub(super) former_leases_end: Duration,
}

impl<P: PlacementPolicy> TaskQueue<P> {
    /// Returns an empty queue without workers.
    #[must_use]
    pub fn new(config: TaskConfig, policy: P) -> Self {
        Self {
            config,
            policy,
            ledger: TaskLedger::default(),
            workers: WorkerTable::new(config.accelerator_host_share),
            lanes: WaitLanes::default(),
            health: HealthTable::new(config.health),
            reservation: None,
            next_plan: Duration::ZERO,
            freed: BTreeSet::new(),
            joined: BTreeSet::new(),
            released: BTreeSet::new(),
            store_down: false,
            actions: Vec::new(),
            next_record: 1,
            next_arrival: 0,
            next_renewal: Duration::ZERO,
            next_retry: Duration::ZERO,
            former_leases_end: Duration::ZERO,
        }
    }

    /// Applies an event and returns what is to be done, in order.
    pub fn handle(&mut self, event: TaskEvent, now: Duration) -> Vec<TaskAction> {
        match event {
            TaskEvent::Submitted(spec) => self.submit(spec, now),
            TaskEvent::Recorded(ids) => self.recorded(&ids, now),
            TaskEvent::RecordsFailed(ids) => self.records_failed(&ids, now),
            TaskEvent::Replayed(records) => self.replay(records, now),
            TaskEvent::WorkerClaimed(name, running) => self.claimed(&name, &running, now),
            TaskEvent::WorkerReported(name, report) => self.reported(&name, &report, now),
            TaskEvent::WorkerUnresponsive(name) => self.silent(&name, now),
            TaskEvent::WorkerLeaving(name) => self.leaving(&name, now),
            TaskEvent::WorkerStaying(name) => self.staying(&name),
            TaskEvent::WorkerRemoved(name) => self.gone(&name, now),
            TaskEvent::WorkersChanged(entries) => self.workers_changed(entries, now),
            TaskEvent::PoolChanged {
                accelerator_host_share,
                lease,
            } => self.pool_changed(accelerator_host_share, lease, now),
            TaskEvent::TeamsChanged(teams) => self.teams_changed(teams, now),
            TaskEvent::StartAccepted(task, attempt) => self.start_accepted(task, attempt, now),
            TaskEvent::StartRejected(task, attempt) => self.start_rejected(task, attempt, now),
            TaskEvent::StartUnknown(task, attempt) => self.start_unknown(task, attempt),
            TaskEvent::Cancel(task) => self.cancel(task, now),
            TaskEvent::CancelLabel(label) => self.cancel_label(&label, now),
            TaskEvent::Resolved(task) => self.resolved(task, now),
            TaskEvent::TimerFired => {
                self.ledger.accepted.expire(now);
                self.timer(now);
            }
        }
        for job in std::mem::take(&mut self.released) {
            self.enqueue(job, now);
        }
        self.place_waiting(now);
        std::mem::take(&mut self.actions)
    }

    pub(super) fn record(&mut self, record: TaskRecord, pending: PendingRecord) {
        let id = self.next_record;
        self.next_record += 1;
        self.ledger.records.insert(id, pending);
        self.actions.push(TaskAction::Record(id, record));
    }

    fn submit(&mut self, spec: JobSpec, now: Duration) {
        if let Some(reason) = self.rejection(&spec) {
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

    fn rejection(&self, spec: &JobSpec) -> Option<JobRejection> {
        let distinct: BTreeSet<_> = spec.tasks.iter().collect();
        let known = spec
            .tasks
            .iter()
            .any(|task| self.ledger.tasks.contains_key(task));
        let full = self.ledger.tasks.len() - self.ledger.ended.len() + spec.tasks.len()
            > self.config.task_limit;
        match () {
            () if known || self.ledger.accepted.tasks(spec.job).is_some() => {
                Some(JobRejection::Duplicate)
            }
            () if distinct.len() < spec.tasks.len() => Some(JobRejection::Duplicate),
            () if spec.tasks.is_empty() || spec.demand.is_zero() => Some(JobRejection::Empty),
            () if full => Some(JobRejection::QueueFull),
            () => self.impossible(&FitClass::new(spec)),
        }
    }

    /// Returns why jobs can never run under the present configuration.
    fn impossible(&self, class: &FitClass) -> Option<JobRejection> {
        let FitClass {
            team,
            demand,
            members,
        } = class;
        let holdable = self.workers.holdable(demand);
        let pool_known = !self.workers.is_empty();
        let Some(team) = self.ledger.teams.get(team) else {
            return Some(JobRejection::UnknownTeam);
        };
        match () {
            () if !team.configured => Some(JobRejection::UnknownTeam),
            () if !demand.times(*members).fits_in(&team.quota.quota) => {
                Some(JobRejection::AboveQuota)
            }
            () if pool_known && holdable == 0 => Some(JobRejection::NeverFits),
            () if pool_known && holdable < *members => Some(JobRejection::GangNeverFits),
            () => None,
        }
    }

    pub(super) fn insert_job(&mut self, spec: JobSpec, durable: bool, now: Duration) {
        self.remember_job(spec.job, spec.tasks.len(), now);
        for task in &spec.tasks {
            self.ledger.tasks.insert(*task, TaskEntry::new(spec.job));
        }
        for label in &spec.labels {
            let jobs = self.ledger.labels.entry(label.clone()).or_default();
            jobs.insert(spec.job);
        }
        let arrival = self.next_arrival;
        self.next_arrival += 1;
        self.ledger.index_job(&spec, arrival);
        let entry = JobEntry {
            urgency: spec.urgency,
            promoted: false,
            pending: spec.tasks.iter().copied().collect(),
            active: 0,
            ended: 0,
            durable,
            reason: WaitReason::Queued,
            arrival,
            accepted_at: now,
            waiting_since: now,
            entry: None,
            racks: std::collections::BTreeMap::new(),
            zones: std::collections::BTreeMap::new(),
            spec,
        };
        self.ledger.jobs.insert(entry.spec.job, entry);
    }

    /// Puts another policy in force; the waiting jobs are ordered anew.
    pub fn set_policy(&mut self, policy: P) {
        self.policy = policy;
        let total = self.workers.total();
        for job in self.ledger.jobs.values_mut() {
            let cost = job.cost(&self.policy, &total);
            if let Some(entry) = &mut job.entry {
                self.lanes.remove(entry);
                entry.cost = cost;
                self.lanes.insert(entry);
            }
        }
        self.lanes.open_all();
    }

    fn pool_changed(&mut self, share: u64, lease: Duration, now: Duration) {
        if lease != self.config.lease {
            let end = now + lease_end(self.config.lease);
            self.former_leases_end = self.former_leases_end.max(end);
            self.config.lease = lease;
        }
        if share != self.config.accelerator_host_share {
            self.config.accelerator_host_share = share;
            self.workers.set_host_share(share);
            self.drop_reservation();
            self.reject_impossible(now);
            self.lanes.open_all();
        }
    }

    fn teams_changed(&mut self, teams: Vec<TeamQuota>, now: Duration) {
        for team in self.ledger.teams.values_mut() {
            team.configured = false;
        }
        for quota in teams {
            let name = quota.team.clone();
            let team = self
                .ledger
                .teams
                .entry(name)
                .or_insert_with(|| TeamEntry::new(quota.clone()));
            team.quota = quota;
            team.configured = true;
        }
        self.reject_impossible(now);
        self.unpark_all(now);
    }

    /// Rejects waiting jobs that no longer fit any worker or quota. The search
    /// grows with the number of classes, not with that of the jobs.
    pub(super) fn reject_impossible(&mut self, now: Duration) {
        let classes = self.ledger.classes.iter();
        let impossible: Vec<_> = classes
            .filter_map(|(class, jobs)| Some((jobs, self.impossible(class)?)))
            .flat_map(|(jobs, reason)| jobs.iter().map(move |job| (*job, reason)))
            .filter(|(job, _)| {
                let job = self.ledger.jobs.get(job);
                job.is_some_and(|job| !job.pending.is_empty())
            })
            .collect();
        for (job, reason) in impossible {
            self.actions.push(TaskAction::Reject(job, reason));
            for task in self.pending_tasks(job) {
                let outcome = self.impossible_outcome(task);
                self.end(task, outcome, now);
            }
        }
    }

    /// Returns the outcome of a waiting task that can never start again. Only a
    /// task without an attempt was certainly not run.
    fn impossible_outcome(&self, task: TaskId) -> TaskOutcome {
        match self.ledger.tasks.get(&task) {
            Some(entry) if entry.attempt > 0 => TaskOutcome::Failed,
            _ => TaskOutcome::NotRun(NotRunReason::NoTarget),
        }
    }

    pub(super) fn pending_tasks(&self, job: JobId) -> Vec<TaskId> {
        let job = self.ledger.jobs.get(&job);
        job.map_or_else(Vec::new, |job| job.pending.iter().copied().collect())
    }

    pub(super) fn demand_of(&self, task: TaskId) -> Option<(JobId, ResourceVector)> {
        let job = self.ledger.tasks.get(&task)?.job;
        Some((job, self.ledger.jobs.get(&job)?.spec.demand))
    }

    pub(super) fn restart_of(&self, task: TaskId) -> Option<RestartPolicy> {
        let job = self.ledger.tasks.get(&task)?.job;
        Some(self.ledger.jobs.get(&job)?.spec.restart)
    }

    /// Sets the state of a task and shows it to watchers.
    pub(super) fn set_state(&mut self, task: TaskId, state: TaskState) {
        let Some(entry) = self.ledger.tasks.get_mut(&task) else {
            return;
        };
        if entry.state == state {
            return;
        }
        entry.state = state;
        entry.revision += 1;
        // An end is shown when its record is durable.
        if !matches!(entry.state, TaskState::Ended(_)) {
            self.actions.push(TaskAction::Changed(entry.view(task)));
        }
    }

    fn timer(&mut self, now: Duration) {
        self.expire_leases(now);
        self.promote(now);
        if now >= self.next_retry {
            self.next_retry = now + self.config.retry_interval;
            self.store_down = false;
            self.retry_records();
            self.lanes.open_all();
        }
        if now >= self.next_renewal {
            self.next_renewal = now + self.config.renew_interval;
            self.renew_leases(now);
        }
    }

    fn renew_leases(&mut self, now: Duration) {
        let renewed = self.workers.renew_all(now);
        self.actions
            .extend(renewed.into_iter().map(TaskAction::RenewLeases));
    }

    /// Raises jobs that have waited for long by one class and puts them before
    /// larger jobs of that class, so that nothing starves.
    fn promote(&mut self, now: Duration) {
        while let Some((at, id)) = self.ledger.promotions.first().copied() {
            if at > now {
                return;
            }
            self.ledger.promotions.remove(&(at, id));
            self.dequeue(id);
            if let Some(job) = self.ledger.jobs.get_mut(&id) {
                job.promoted = true;
                job.urgency = match job.urgency {
                    UrgencyClass::Batch => UrgencyClass::Normal,
                    UrgencyClass::Normal | UrgencyClass::Urgent => UrgencyClass::Urgent,
                };
                self.enqueue(id, now);
            }
        }
    }

    /// Returns the part of the pool that a team holds, divided by its weight.
    pub(super) fn update_share(&mut self, team: &TeamId) {
        /// Shares closer than a sixteenth of the pool count as equal, so
        /// that the policy decides among them.
        const SHARE_STEPS: u64 = 16;
        let Some(entry) = self.ledger.teams.get(team) else {
            return;
        };
        let total = self.workers.total();
        let share = super::workers::dominant_part(&entry.used, &total, SHARE_STEPS);
        let weight = u64::from(entry.quota.weight.max(1));
        self.lanes.set_share(team, share / weight);
    }

    pub(super) fn has_label(&self, label: &Arc<str>) -> Vec<JobId> {
        let jobs = self.ledger.labels.get(label);
        jobs.into_iter().flatten().copied().collect()
    }
}

/// Returns the time after which a lease has certainly expired on its worker.
pub(super) fn lease_end(lease: Duration) -> Duration {
    lease * 11 / 10
}
