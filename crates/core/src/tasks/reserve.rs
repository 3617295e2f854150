//! Reservation of capacity for the first waiting job, and backfill around it.

use std::{collections::BTreeMap, time::Duration};

use super::{
    messages::{JobId, WaitReason},
    policy::PlacementPolicy,
    state::TaskQueue,
    workers::count_fitting,
};
use crate::types::{ResourceVector, TaskId, WorkerId};

/// Expected ends that one plan considers at most, which bounds its cost.
const PLAN_END_LIMIT: usize = 4_096;
/// Reserved workers that one backfill considers at most.
const BACKFILL_WORKER_LIMIT: usize = 16;
/// Minimum time between two plans for the first job.
const PLAN_INTERVAL: Duration = Duration::from_secs(5);
/// Delay past the planned start after which a reservation is planned again.
const PLAN_GRACE: Duration = Duration::from_mins(1);

/// Capacity that is reserved for the first job until its planned start.
#[derive(Clone, Debug)]
pub(super) struct JobReservation {
    job: JobId,
    /// Number of its tasks to place on each worker.
    pub(super) workers: BTreeMap<WorkerId, u64>,
    /// Planned start; other jobs may use the capacity if they end before it.
    start_at: Duration,
    /// Whether capacity on one of the workers was released since the last check.
    pub(super) is_changed: bool,
}

impl<P: PlacementPolicy> TaskQueue<P> {
    /// Places the reserved job if all of its reserved capacity is free. Cancels
    /// the reservation if the job no longer waits or the plan is overdue.
    pub(super) fn start_reserved(&mut self, now: Duration) {
        let Some(reservation) = &mut self.reservation else {
            return;
        };
        let is_changed = std::mem::take(&mut reservation.is_changed);
        let is_late = now > reservation.start_at + PLAN_GRACE;
        let (id, workers) = (reservation.job, reservation.workers.clone());
        let waiting = self
            .table
            .jobs
            .get(&id)
            .filter(|job| job.wait_entry.is_some());
        let Some((demand, members)) = waiting.map(|job| (job.spec.demand, job.member_count()))
        else {
            self.cancel_reservation();
            return;
        };
        if is_changed && self.has_capacity(&workers, &demand) {
            self.cancel_reservation();
            self.place_reserved(id, &workers, &demand, members, now);
        } else if is_late {
            self.cancel_reservation();
            self.next_plan_at = now;
        }
    }

    /// Returns whether all workers have free capacity for their tasks.
    fn has_capacity(&mut self, workers: &BTreeMap<WorkerId, u64>, demand: &ResourceVector) -> bool {
        self.workers.work.steps += workers.len() as u64;
        workers.iter().all(|(name, count)| {
            let free = self.workers.free_for(name, demand);
            demand.times(*count).fits_in(&free)
        })
    }

    /// Places the pending tasks of a job on its reserved workers.
    fn place_reserved(
        &mut self,
        id: JobId,
        workers: &BTreeMap<WorkerId, u64>,
        demand: &ResourceVector,
        members: u64,
        now: Duration,
    ) {
        let team = self.table.jobs.get(&id).map(|job| job.spec.team.clone());
        let is_allowed = team
            .and_then(|team| self.table.teams.get(&team))
            .is_some_and(|team| team.has_quota_for(&demand.times(members)));
        if !is_allowed {
            return;
        }
        let names = workers
            .iter()
            .flat_map(|(name, count)| (0..*count).map(move |_| name.clone()));
        let placed: Vec<(TaskId, WorkerId)> =
            self.pending_tasks(id).into_iter().zip(names).collect();
        for (task, worker) in &placed {
            self.workers.allocate(worker, *task, demand);
        }
        self.commit_placement(id, &placed, now);
    }

    /// Cancels the reservation and makes its capacity available again.
    pub(super) fn cancel_reservation(&mut self) {
        let Some(reservation) = self.reservation.take() else {
            return;
        };
        for name in reservation.workers.keys() {
            self.workers.set_reserved(name, ResourceVector::default());
            self.freed_workers.insert(name.clone());
        }
    }

    /// Reserves capacity for the first waiting job once it has waited for
    /// `reserve_after`.
    pub(super) fn reserve_for_first_job(&mut self, now: Duration) {
        if self.reservation.is_some() || self.is_store_down || now < self.next_plan_at {
            return;
        }
        let Some(id) = self.wait_queues.first_job() else {
            return;
        };
        let Some(job) = self.table.jobs.get_mut(&id) else {
            return;
        };
        if now < job.waiting_since + self.config.reserve_after {
            return;
        }
        self.next_plan_at = now + PLAN_INTERVAL;
        let (demand, members) = (job.spec.demand, job.member_count());
        let Some((workers, start_at)) = self.plan_start(&demand, members, now) else {
            return;
        };
        for (name, count) in &workers {
            self.workers.set_reserved(name, demand.times(*count));
        }
        if let Some(job) = self.table.jobs.get_mut(&id) {
            job.reason = WaitReason::Reserved;
        }
        self.reservation = Some(JobReservation {
            job: id,
            workers,
            start_at,
            is_changed: true,
        });
    }

    /// Returns the earliest time at which all members fit, assuming that running
    /// tasks end as expected, and the number of members on each worker.
    fn plan_start(
        &mut self,
        demand: &ResourceVector,
        members: u64,
        now: Duration,
    ) -> Option<(BTreeMap<WorkerId, u64>, Duration)> {
        let mut free_by_worker = BTreeMap::new();
        let mut counts = BTreeMap::new();
        let mut total = 0;
        for name in self.workers.candidates(demand, false) {
            let free = self.workers.free_for(&name, demand);
            total += count_fitting(demand, &free);
            counts.insert(name.clone(), count_fitting(demand, &free));
            free_by_worker.insert(name, free);
        }
        let mut start_at = now;
        for (end, task) in self.table.expected_ends.iter().take(PLAN_END_LIMIT) {
            if total >= members {
                break;
            }
            self.workers.work.steps += 1;
            let Some((name, freed)) = self.capacity_freed_by(*task, demand) else {
                continue;
            };
            let free = free_by_worker
                .entry(name.clone())
                .or_insert_with(|| self.workers.free_for(&name, demand));
            *free = free.plus(&freed);
            let fitting_count = count_fitting(demand, free);
            let before = counts.insert(name, fitting_count).unwrap_or(0);
            total += fitting_count - before.min(fitting_count);
            start_at = start_at.max(*end);
        }
        (total >= members).then(|| (assign_members(counts, members), start_at))
    }

    /// Returns the capacity that the end of a task frees for `demand`, with its
    /// worker; `None` if the worker is closed or `demand` may not use it.
    fn capacity_freed_by(
        &self,
        task: TaskId,
        demand: &ResourceVector,
    ) -> Option<(WorkerId, ResourceVector)> {
        let entry = self.table.tasks.get(&task)?;
        let name = entry.worker()?.clone();
        let info = self.workers.get(&name)?;
        let freed = self.table.jobs.get(&entry.job)?.spec.demand;
        let is_shared_host = info.entry.capacity.accelerators > 0 && demand.accelerators == 0;
        let is_usable = !is_shared_host || freed.accelerators == 0;
        (info.is_open() && is_usable).then_some((name, freed))
    }

    /// Returns reserved workers on which a job may be backfilled, because it is
    /// expected to end before the planned start.
    pub(super) fn backfill_candidates(
        &self,
        id: JobId,
        demand: &ResourceVector,
        now: Duration,
    ) -> Vec<WorkerId> {
        let (Some(reservation), Some(job)) = (&self.reservation, self.table.jobs.get(&id)) else {
            return Vec::new();
        };
        let run_time = self.table.run_times.expected_run_time(&job.spec);
        if run_time.is_none_or(|time| now + time > reservation.start_at) {
            return Vec::new();
        }
        let names = reservation.workers.keys().take(BACKFILL_WORKER_LIMIT);
        names
            .filter(|name| demand.fits_in(&self.workers.free_for(name, demand)))
            .cloned()
            .collect()
    }
}

/// Assigns members to workers, those that fit the most first.
fn assign_members(counts: BTreeMap<WorkerId, u64>, members: u64) -> BTreeMap<WorkerId, u64> {
    let mut order: Vec<_> = counts.into_iter().collect();
    order.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    let mut remaining = members;
    let mut assignment = BTreeMap::new();
    for (name, count) in order {
        let assigned = count.min(remaining);
        remaining -= assigned;
        if assigned > 0 {
            assignment.insert(name, assigned);
        }
    }
    assignment
}
