//! Placement of waiting jobs on workers, and upkeep of their queue entries.

use std::time::Duration;

use super::{
    messages::{JobId, TaskAction, TaskRecord, TaskState, WaitReason},
    policy::{PlacementPolicy, WorkerCandidate},
    state::TaskQueue,
    table::PendingRecord,
    waiting::{SizeClass, WaitEntry, size_class_of},
};
use crate::types::{ResourceVector, RestartPolicy, TaskId, TeamId, WorkerId};

/// Jobs of one wait queue that are tried before the queue is blocked.
const TRIES_PER_CLASS: usize = 2;

/// Result of one attempt to place a job.
enum PlaceResult {
    /// The next tasks of the job are placed.
    Placed,
    /// The job exceeds the free quota of its team and left its queue.
    Deferred,
    /// No worker has enough available capacity.
    NoRoom,
}

impl<P: PlacementPolicy> TaskQueue<P> {
    /// Places waiting jobs until all wait queues are empty or blocked, and all
    /// workers with freed capacity have been tried.
    pub(super) fn place_waiting(&mut self, now: Duration) {
        self.start_reserved(now);
        while let Some(class) = self.wait_queues.first_unblocked() {
            self.workers.work.steps += 1;
            if !self.try_queue_heads(&class, now) {
                self.wait_queues.block(&class);
            }
        }
        self.try_joined_jobs(now);
        while let Some(name) = self.freed_workers.pop_first() {
            while self.place_on_freed_worker(&name, now) {}
        }
        self.reserve_for_first_job(now);
    }

    /// Tries jobs that joined a blocked queue. The queue stays blocked, but a
    /// new job may be smaller than those that did not fit.
    fn try_joined_jobs(&mut self, now: Duration) {
        while let Some(id) = self.joined_jobs.pop_first() {
            let entry = self
                .table
                .jobs
                .get(&id)
                .and_then(|job| job.wait_entry.as_ref());
            let Some(class) = entry.map(|entry| entry.size_class) else {
                continue;
            };
            // The last component is whether a start needs a record.
            if class.4 && self.is_store_down {
                self.set_reason(id, WaitReason::StoreUnavailable);
                continue;
            }
            while let PlaceResult::Placed = self.try_place(id, now) {}
        }
    }

    /// Places the first job of a blocked queue that fits a worker with freed
    /// capacity. Only this worker is considered, since no other has changed.
    /// Returns whether to try again.
    fn place_on_freed_worker(&mut self, name: &WorkerId, now: Duration) -> bool {
        let available = self.workers.free_for(name, &ResourceVector::new(0, 0, 1));
        self.workers.work.steps += self.wait_queues.len();
        for class in self.wait_queues.blocked_fitting(&available) {
            // The last component is whether a start needs a record.
            if class.4 && self.is_store_down {
                continue;
            }
            for id in self.wait_queues.heads(&class, TRIES_PER_CLASS) {
                self.workers.work.steps += 1;
                if self.try_place_on(id, name, now) {
                    return true;
                }
            }
        }
        false
    }

    /// Places the next task of a job on a worker if it fits, or defers the job.
    /// Returns whether the job was placed or deferred.
    fn try_place_on(&mut self, id: JobId, name: &WorkerId, now: Duration) -> bool {
        let Some(job) = self.table.jobs.get(&id) else {
            return false;
        };
        let demand = job.spec.demand;
        let Some(task) = job.pending.first().copied() else {
            return false;
        };
        let backfill = self.backfill_candidates(id, &demand, now).contains(name);
        if !backfill && !demand.fits_in(&self.workers.available_for(name, &demand)) {
            return false;
        }
        if !self.has_team_quota(id, &demand) {
            self.defer_job(id);
            return true;
        }
        self.workers.allocate(name, task, &demand);
        self.commit_placement(id, &[(task, name.clone())], now);
        true
    }

    /// Places or defers one of the first jobs of a wait queue. Returns `false`
    /// if none fits, so that the queue has to be blocked.
    fn try_queue_heads(&mut self, class: &SizeClass, now: Duration) -> bool {
        let needs_record = class.4;
        if needs_record && self.is_store_down {
            for job in self.wait_queues.heads(class, TRIES_PER_CLASS) {
                self.set_reason(job, WaitReason::StoreUnavailable);
            }
            return false;
        }
        for job in self.wait_queues.heads(class, TRIES_PER_CLASS) {
            match self.try_place(job, now) {
                PlaceResult::Placed | PlaceResult::Deferred => return true,
                PlaceResult::NoRoom => self.set_reason(job, WaitReason::NoRoom),
            }
        }
        false
    }

    /// Sets why the pending tasks of a job wait.
    fn set_reason(&mut self, job: JobId, reason: WaitReason) {
        if let Some(job) = self.table.jobs.get_mut(&job) {
            job.reason = reason;
        }
    }

    /// Places the next task of a job, or all members of a gang.
    fn try_place(&mut self, id: JobId, now: Duration) -> PlaceResult {
        let Some(job) = self.table.jobs.get(&id) else {
            return PlaceResult::NoRoom;
        };
        let (demand, members) = (job.spec.demand, job.member_count());
        let count = usize::try_from(members).unwrap_or(usize::MAX);
        let tasks: Vec<_> = job.pending.iter().take(count).copied().collect();
        if tasks.is_empty() {
            return PlaceResult::NoRoom;
        }
        if !self.has_team_quota(id, &demand.times(members)) {
            self.defer_job(id);
            return PlaceResult::Deferred;
        }
        let mut placed = Vec::new();
        for task in tasks {
            let Some(worker) = self.choose_worker(id, &demand, now) else {
                self.release_placed(&placed, &demand);
                return PlaceResult::NoRoom;
            };
            self.workers.allocate(&worker, task, &demand);
            placed.push((task, worker));
        }
        self.commit_placement(id, &placed, now);
        PlaceResult::Placed
    }

    /// Returns whether the team of a job has free quota for `amount`.
    fn has_team_quota(&self, id: JobId, amount: &ResourceVector) -> bool {
        let team = self.table.jobs.get(&id).map(|job| &job.spec.team);
        team.and_then(|team| self.table.teams.get(team))
            .is_some_and(|team| team.has_quota_for(amount))
    }

    /// Releases the capacity of a placement that was not completed.
    fn release_placed(&mut self, placed: &[(TaskId, WorkerId)], demand: &ResourceVector) {
        for (task, worker) in placed {
            self.workers.release(worker, *task, demand);
        }
    }

    /// Returns the worker with the lowest cost for a task, if any fits it.
    /// Reserved workers are considered for backfill only if no other fits.
    fn choose_worker(
        &mut self,
        id: JobId,
        demand: &ResourceVector,
        now: Duration,
    ) -> Option<WorkerId> {
        let spread = self.table.jobs.get(&id)?.spec.spread;
        let searches_whole_pool = spread || self.policy.searches_whole_pool();
        let mut names = self.workers.candidates(demand, searches_whole_pool);
        if !searches_whole_pool && demand.accelerators == 0 {
            names.extend(self.workers.shared_host_candidates(demand));
        }
        let best = self.cheapest_worker(id, demand, names);
        if best.is_some() {
            return best;
        }
        let names = self.backfill_candidates(id, demand, now);
        self.cheapest_worker(id, demand, names)
    }

    /// Returns the worker with the lowest cost; ties are broken by name.
    fn cheapest_worker(
        &mut self,
        id: JobId,
        demand: &ResourceVector,
        names: Vec<WorkerId>,
    ) -> Option<WorkerId> {
        self.workers.work.steps += names.len() as u64;
        names
            .into_iter()
            .filter_map(|name| Some((self.worker_cost(id, demand, &name)?, name)))
            .min()
            .map(|(_, name)| name)
    }

    /// Returns the cost of a worker. Workers on which the job failed before cost
    /// more than all others.
    fn worker_cost(
        &self,
        id: JobId,
        demand: &ResourceVector,
        name: &WorkerId,
    ) -> Option<(bool, u64)> {
        let info = self.workers.get(name)?;
        let job = self.table.jobs.get(&id)?;
        let candidate = WorkerCandidate {
            capacity: info.entry.capacity,
            free: self.workers.free_for(name, demand),
            is_idle: info.tasks.is_empty(),
            needs_idle_workers: self.needs_idle_workers(),
            same_rack: job.rack_counts.get(&info.entry.rack).copied().unwrap_or(0),
            same_zone: job.zone_counts.get(&info.entry.zone).copied().unwrap_or(0),
        };
        let cost = self.policy.worker_cost(demand, &candidate);
        Some((self.health.has_failed_on(&id, name), cost))
    }

    /// Returns whether the waiting work without accelerators exceeds the
    /// available capacity of the busy workers, so that idle workers are needed
    /// however the tasks are placed.
    fn needs_idle_workers(&self) -> bool {
        !self
            .wait_queues
            .cpu_only_demand()
            .fits_in(self.workers.busy_cpu_only_available())
    }

    /// Commits a placement: assigns the tasks and records their start. The start
    /// of `anytime` tasks is sent at once, that of other tasks after the record
    /// is durable.
    pub(super) fn commit_placement(
        &mut self,
        id: JobId,
        placed: &[(TaskId, WorkerId)],
        now: Duration,
    ) {
        let Some(job) = self.table.jobs.get(&id) else {
            return;
        };
        let (restart, demand) = (job.spec.restart, job.spec.demand);
        let mut starts = Vec::with_capacity(placed.len());
        for (task, worker) in placed {
            self.assign_task(id, *task, worker, &demand);
            if let Some(entry) = self.table.tasks.get_mut(task) {
                entry.attempt += 1;
                entry.is_start_sent = false;
                entry.stop_reason = None;
                starts.push((*task, entry.attempt, worker.clone()));
            }
        }
        self.workers.work.placed += placed.len() as u64;
        self.update_queueing(id, now);
        let record = TaskRecord::Started(starts.clone());
        if restart == RestartPolicy::Anytime {
            self.record(record.clone(), PendingRecord::Unawaited(record));
            for (task, _, _) in starts {
                self.send_start(task, now);
            }
        } else {
            let waiting = starts.iter().map(|(task, attempt, _)| (*task, *attempt));
            self.record(record, PendingRecord::Start(waiting.collect()));
        }
    }

    /// Assigns a task to a worker, and adds it to the counts of its job and to
    /// the usage of its team.
    pub(super) fn assign_task(
        &mut self,
        id: JobId,
        task: TaskId,
        worker: &WorkerId,
        demand: &ResourceVector,
    ) {
        let Some(job) = self.table.jobs.get_mut(&id) else {
            return;
        };
        job.pending.remove(&task);
        job.placed_count += 1;
        if let (true, Some(info)) = (job.spec.spread, self.workers.get(worker)) {
            *job.rack_counts.entry(info.entry.rack.clone()).or_default() += 1;
            *job.zone_counts.entry(info.entry.zone.clone()).or_default() += 1;
        }
        let team = job.spec.team.clone();
        if let Some(entry) = self.table.teams.get_mut(&team) {
            entry.used = entry.used.plus(demand);
        }
        self.workers.allocate(worker, task, demand);
        self.set_state(task, TaskState::Recording(worker.clone()));
        self.update_share(&team);
    }

    /// Sends the start of a placed task to its worker.
    pub(super) fn send_start(&mut self, task: TaskId, now: Duration) {
        let Some(entry) = self.table.tasks.get_mut(&task) else {
            return;
        };
        let Some(worker) = entry.worker().cloned() else {
            return;
        };
        entry.is_start_sent = true;
        entry.started_at = now;
        let attempt = entry.attempt;
        self.set_state(task, TaskState::Starting(worker.clone()));
        self.actions.push(TaskAction::Start(task, attempt, worker));
        self.set_expected_end(task, now);
    }

    /// Sets the expected end of a task that starts now.
    pub(super) fn set_expected_end(&mut self, task: TaskId, now: Duration) {
        let Some(entry) = self.table.tasks.get_mut(&task) else {
            return;
        };
        let Some(job) = self.table.jobs.get(&entry.job) else {
            return;
        };
        if let Some(old) = entry.expected_end.take() {
            self.table.expected_ends.remove(&(old, task));
        }
        if let Some(time) = self.table.run_times.expected_run_time(&job.spec) {
            entry.expected_end = Some(now + time);
            self.table.expected_ends.insert((now + time, task));
        }
    }

    /// Releases the capacity of a task on its worker.
    pub(super) fn release_task(&mut self, task: TaskId, now: Duration) {
        let Some((id, demand)) = self.demand_of(task) else {
            return;
        };
        let Some(entry) = self.table.tasks.get_mut(&task) else {
            return;
        };
        let Some(worker) = entry.worker().cloned() else {
            return;
        };
        if let Some(end) = entry.expected_end.take() {
            self.table.expected_ends.remove(&(end, task));
        }
        self.table.set_lease_expiry(task, None);
        self.workers.release(&worker, task, &demand);
        self.subtract_usage(id, &worker, &demand, now);
        self.freed_workers.insert(worker.clone());
        if let Some(reservation) = &mut self.reservation {
            reservation.is_changed |= reservation.workers.contains_key(&worker);
        }
    }

    /// Removes a task from the counts of its job and the usage of its team, and
    /// queues deferred jobs of the team again.
    fn subtract_usage(
        &mut self,
        id: JobId,
        worker: &WorkerId,
        demand: &ResourceVector,
        now: Duration,
    ) {
        let Some(job) = self.table.jobs.get_mut(&id) else {
            return;
        };
        job.placed_count -= 1;
        if let Some(info) = self.workers.get(worker) {
            let racks = job.rack_counts.get_mut(&info.entry.rack);
            let zones = job.zone_counts.get_mut(&info.entry.zone);
            for count in racks.into_iter().chain(zones) {
                *count = count.saturating_sub(1);
            }
        }
        let team = job.spec.team.clone();
        if let Some(entry) = self.table.teams.get_mut(&team) {
            entry.used = super::workers::saturating_subtract(&entry.used, demand);
        }
        self.update_share(&team);
        self.requeue_deferred(&team, now);
    }

    /// Adds a job with tasks to place to its wait queue, unless it waits for a
    /// predecessor. An `anytime` job is queued only once its acceptance is
    /// durable, because its starts do not wait for a record.
    pub(super) fn enqueue(&mut self, id: JobId, now: Duration) {
        let total = self.workers.total_capacity();
        let predecessor = self.table.unfinished_predecessor(id);
        let Some(job) = self.table.jobs.get_mut(&id) else {
            return;
        };
        if let Some(object) = predecessor {
            job.reason = WaitReason::Predecessor;
            let successors = self.table.successors.entry(object).or_default();
            successors.insert(id);
            return;
        }
        let is_anytime = job.spec.restart == RestartPolicy::Anytime;
        if !job.is_placeable() || job.wait_entry.is_some() || (is_anytime && !job.is_durable) {
            return;
        }
        let members = job.member_count();
        let entry = WaitEntry {
            job: id,
            team: job.spec.team.clone(),
            urgency: job.urgency,
            cost: job.cost(&self.policy, &total),
            arrival: job.arrival,
            size_class: size_class_of(&job.spec.demand, members, !is_anytime),
            pending_demand: job.pending_demand(),
        };
        job.waiting_since = now;
        job.reason = WaitReason::Queued;
        job.wait_entry = Some(entry.clone());
        let promote_at = (now + self.config.promote_after, id);
        self.table.promotion_times.insert(promote_at);
        if self.wait_queues.is_class_blocked(&entry.size_class) {
            self.joined_jobs.insert(id);
        }
        self.wait_queues.insert(&entry);
    }

    /// Removes a job from its wait queue and from the deferred jobs of its team.
    pub(super) fn dequeue(&mut self, id: JobId) {
        let Some(job) = self.table.jobs.get_mut(&id) else {
            return;
        };
        let promote_at = job.waiting_since + self.config.promote_after;
        self.table.promotion_times.remove(&(promote_at, id));
        if let Some(team) = self.table.teams.get_mut(&job.spec.team) {
            team.deferred.remove(&(job.arrival, id));
        }
        if let Some(entry) = job.wait_entry.take() {
            self.wait_queues.remove(&entry);
        }
    }

    /// Updates the queue entry of a job after its pending tasks changed.
    pub(super) fn update_queueing(&mut self, id: JobId, now: Duration) {
        let is_placeable = self
            .table
            .jobs
            .get(&id)
            .is_some_and(super::table::JobEntry::is_placeable);
        if is_placeable {
            self.update_pending_demand(id);
            self.enqueue(id, now);
        } else {
            self.dequeue(id);
        }
    }

    /// Updates the demand of a queued job after its pending tasks changed.
    fn update_pending_demand(&mut self, id: JobId) {
        let Some(job) = self.table.jobs.get_mut(&id) else {
            return;
        };
        let pending_demand = job.pending_demand();
        if let Some(entry) = &mut job.wait_entry {
            self.wait_queues.subtract_demand(entry);
            entry.pending_demand = pending_demand;
            self.wait_queues.add_demand(entry);
        }
    }

    /// Removes a job from its wait queue until its team has more free quota.
    fn defer_job(&mut self, id: JobId) {
        let Some(job) = self.table.jobs.get_mut(&id) else {
            return;
        };
        job.reason = WaitReason::Quota;
        let entry = job.wait_entry.take();
        let (team, arrival) = (job.spec.team.clone(), job.arrival);
        if let Some(team) = self.table.teams.get_mut(&team) {
            team.deferred.insert((arrival, id));
        }
        if let Some(entry) = entry {
            self.wait_queues.remove(&entry);
        }
    }

    /// Queues the oldest deferred jobs of a team again.
    fn requeue_deferred(&mut self, team: &TeamId, now: Duration) {
        /// Jobs that are queued again for each task that releases quota.
        const REQUEUE_LIMIT: usize = 4;
        for _ in 0..REQUEUE_LIMIT {
            let deferred = self.table.teams.get_mut(team);
            let Some((_, id)) = deferred.and_then(|team| team.deferred.pop_first()) else {
                return;
            };
            self.enqueue(id, now);
        }
    }

    /// Queues all deferred jobs again and unblocks all wait queues.
    pub(super) fn requeue_all_deferred(&mut self, now: Duration) {
        let deferred: Vec<_> = self
            .table
            .teams
            .values_mut()
            .flat_map(|team| std::mem::take(&mut team.deferred))
            .collect();
        for (_, id) in deferred {
            self.enqueue(id, now);
        }
        self.wait_queues.unblock_all();
    }
}
