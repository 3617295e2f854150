//! Placement of waiting jobs.

use std::time::Duration;

use super::{
    ledger::PendingRecord,
    messages::{JobId, TaskAction, TaskRecord, TaskState, WaitReason},
    policy::{PlacementPolicy, WorkerCandidate},
    state::TaskQueue,
    waiting::{LaneKey, WaitEntry, lane_of},
};
use crate::types::{ResourceVector, RestartPolicy, TaskId, TeamId, WorkerId};

/// Jobs of one lane that are tried before the lane is closed.
const TRIES_PER_LANE: usize = 2;

/// Result of one try to place a job.
enum PlaceResult {
    Placed,
    Parked,
    NoRoom,
}

impl<P: PlacementPolicy> TaskQueue<P> {
    /// Places waiting jobs until no open lane is left.
    pub(super) fn place_waiting(&mut self, now: Duration) {
        self.start_reserved(now);
        while let Some(lane) = self.lanes.first_lane() {
            self.workers.work.steps += 1;
            if !self.place_first(&lane, now) {
                self.lanes.close(&lane);
            }
        }
        self.place_joined(now);
        while let Some(name) = self.freed.pop_first() {
            while self.place_freed(&name, now) {}
        }
        self.reserve_for_first(now);
    }

    /// Tries jobs that joined a closed lane: the others of the lane wait for a
    /// release, but a smaller one may find room.
    fn place_joined(&mut self, now: Duration) {
        while let Some(id) = self.joined.pop_first() {
            let entry = self.ledger.jobs.get(&id).and_then(|job| job.entry.as_ref());
            let Some(lane) = entry.map(|entry| entry.lane) else {
                continue;
            };
            if lane.4 && self.store_down {
                self.set_reason(id, WaitReason::StoreUnavailable);
                continue;
            }
            while let PlaceResult::Placed = self.try_place(id, now) {}
        }
    }

    /// Places the first closed job that fits a worker with new room. No other
    /// worker is searched, because only this one has changed.
    fn place_freed(&mut self, name: &WorkerId, now: Duration) -> bool {
        let room = self.workers.free_for(name, &ResourceVector::new(0, 0, 1));
        self.workers.work.steps += self.lanes.len();
        for lane in self.lanes.closed_fitting(&room) {
            if lane.4 && self.store_down {
                continue;
            }
            for id in self.lanes.heads(&lane, TRIES_PER_LANE) {
                self.workers.work.steps += 1;
                if self.place_here(id, name, now) {
                    return true;
                }
            }
        }
        false
    }

    fn place_here(&mut self, id: JobId, name: &WorkerId, now: Duration) -> bool {
        let Some(job) = self.ledger.jobs.get(&id) else {
            return false;
        };
        let demand = job.spec.demand;
        let Some(task) = job.pending.first().copied() else {
            return false;
        };
        let backfill = self.backfill_candidates(id, &demand, now).contains(name);
        if !backfill && !demand.fits_in(&self.workers.room_for(name, &demand)) {
            return false;
        }
        if !self.within_quota(id, &demand) {
            self.park(id);
            return true;
        }
        self.workers.allocate(name, task, &demand);
        self.commit(id, &[(task, name.clone())], now);
        true
    }

    /// Places one of the first jobs of a lane, or finds the team at its quota.
    fn place_first(&mut self, lane: &LaneKey, now: Duration) -> bool {
        let needs_record = lane.4;
        if needs_record && self.store_down {
            for job in self.lanes.heads(lane, TRIES_PER_LANE) {
                self.set_reason(job, WaitReason::StoreUnavailable);
            }
            return false;
        }
        for job in self.lanes.heads(lane, TRIES_PER_LANE) {
            match self.try_place(job, now) {
                PlaceResult::Placed | PlaceResult::Parked => return true,
                PlaceResult::NoRoom => self.set_reason(job, WaitReason::NoRoom),
            }
        }
        false
    }

    fn set_reason(&mut self, job: JobId, reason: WaitReason) {
        if let Some(job) = self.ledger.jobs.get_mut(&job) {
            job.reason = reason;
        }
    }

    fn try_place(&mut self, id: JobId, now: Duration) -> PlaceResult {
        let Some(job) = self.ledger.jobs.get(&id) else {
            return PlaceResult::NoRoom;
        };
        let (demand, members) = (job.spec.demand, job.members());
        let count = usize::try_from(members).unwrap_or(usize::MAX);
        let tasks: Vec<_> = job.pending.iter().take(count).copied().collect();
        if tasks.is_empty() {
            return PlaceResult::NoRoom;
        }
        if !self.within_quota(id, &demand.times(members)) {
            self.park(id);
            return PlaceResult::Parked;
        }
        let mut placed = Vec::new();
        for task in tasks {
            let Some(worker) = self.choose_worker(id, &demand, now) else {
                self.undo(&placed, &demand);
                return PlaceResult::NoRoom;
            };
            self.workers.allocate(&worker, task, &demand);
            placed.push((task, worker));
        }
        self.commit(id, &placed, now);
        PlaceResult::Placed
    }

    fn within_quota(&self, id: JobId, amount: &ResourceVector) -> bool {
        let team = self.ledger.jobs.get(&id).map(|job| &job.spec.team);
        team.and_then(|team| self.ledger.teams.get(team))
            .is_some_and(|team| team.allows(amount))
    }

    fn undo(&mut self, placed: &[(TaskId, WorkerId)], demand: &ResourceVector) {
        for (task, worker) in placed {
            self.workers.release(worker, *task, demand);
        }
    }

    /// Returns the best worker for a task, if any has room.
    fn choose_worker(
        &mut self,
        id: JobId,
        demand: &ResourceVector,
        now: Duration,
    ) -> Option<WorkerId> {
        let spread = self.ledger.jobs.get(&id)?.spec.spread;
        let whole_pool = spread || self.policy.whole_pool();
        let mut names = self.workers.candidates(demand, whole_pool);
        if !whole_pool && demand.accelerators == 0 {
            names.extend(self.workers.shared_candidates(demand));
        }
        let chosen = self.cheapest(id, demand, names);
        if chosen.is_some() {
            return chosen;
        }
        let names = self.backfill_candidates(id, demand, now);
        self.cheapest(id, demand, names)
    }

    fn cheapest(
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

    /// Rates a worker; one on which the job failed before comes last.
    fn worker_cost(
        &self,
        id: JobId,
        demand: &ResourceVector,
        name: &WorkerId,
    ) -> Option<(bool, u64)> {
        let slot = self.workers.get(name)?;
        let job = self.ledger.jobs.get(&id)?;
        let candidate = WorkerCandidate {
            capacity: slot.entry.capacity,
            free: self.workers.free_for(name, demand),
            empty: slot.tasks.is_empty(),
            opening_needed: self.opens_hosts(),
            same_rack: job.racks.get(&slot.entry.rack).copied().unwrap_or(0),
            same_zone: job.zones.get(&slot.entry.zone).copied().unwrap_or(0),
        };
        let cost = self.policy.worker_cost(demand, &candidate);
        Some((self.health.failed_on(&id, name), cost))
    }

    /// Tells whether the work without accelerators that waits exceeds the room
    /// of the workers in use, so that empty ones are needed in any case.
    fn opens_hosts(&self) -> bool {
        !self.lanes.volume().fits_in(self.workers.room_in_use())
    }

    /// Makes a placement effective: charges the team and starts the tasks, or
    /// records their start first.
    pub(super) fn commit(&mut self, id: JobId, placed: &[(TaskId, WorkerId)], now: Duration) {
        let Some(job) = self.ledger.jobs.get(&id) else {
            return;
        };
        let (restart, demand) = (job.spec.restart, job.spec.demand);
        let mut starts = Vec::with_capacity(placed.len());
        for (task, worker) in placed {
            self.occupy(id, *task, worker, &demand);
            if let Some(entry) = self.ledger.tasks.get_mut(task) {
                entry.attempt += 1;
                entry.start_sent = false;
                entry.stop = None;
                starts.push((*task, entry.attempt, worker.clone()));
            }
        }
        self.workers.work.placed += placed.len() as u64;
        self.refresh(id, now);
        let record = TaskRecord::Started(starts.clone());
        if restart == RestartPolicy::Anytime {
            self.record(record.clone(), PendingRecord::Late(record));
            for (task, _, _) in starts {
                self.send_start(task, now);
            }
        } else {
            let waiting = starts.iter().map(|(task, attempt, _)| (*task, *attempt));
            self.record(record, PendingRecord::Start(waiting.collect()));
        }
    }

    /// Counts a task with its worker, rack, zone and team.
    pub(super) fn occupy(
        &mut self,
        id: JobId,
        task: TaskId,
        worker: &WorkerId,
        demand: &ResourceVector,
    ) {
        let Some(job) = self.ledger.jobs.get_mut(&id) else {
            return;
        };
        job.pending.remove(&task);
        job.active += 1;
        if let (true, Some(slot)) = (job.spec.spread, self.workers.get(worker)) {
            *job.racks.entry(slot.entry.rack.clone()).or_default() += 1;
            *job.zones.entry(slot.entry.zone.clone()).or_default() += 1;
        }
        let team = job.spec.team.clone();
        if let Some(entry) = self.ledger.teams.get_mut(&team) {
            entry.used = entry.used.plus(demand);
        }
        self.workers.allocate(worker, task, demand);
        self.set_state(task, TaskState::Recording(worker.clone()));
        self.update_share(&team);
    }

    /// Sends the start of a task that has a place.
    pub(super) fn send_start(&mut self, task: TaskId, now: Duration) {
        let Some(entry) = self.ledger.tasks.get_mut(&task) else {
            return;
        };
        let Some(worker) = entry.worker().cloned() else {
            return;
        };
        entry.start_sent = true;
        entry.started_at = now;
        let attempt = entry.attempt;
        self.set_state(task, TaskState::Starting(worker.clone()));
        self.actions.push(TaskAction::Start(task, attempt, worker));
        self.expect_end(task, now);
    }

    /// Notes when a task is expected to end.
    pub(super) fn expect_end(&mut self, task: TaskId, now: Duration) {
        let Some(entry) = self.ledger.tasks.get_mut(&task) else {
            return;
        };
        let Some(job) = self.ledger.jobs.get(&entry.job) else {
            return;
        };
        if let Some(old) = entry.expected_end.take() {
            self.ledger.ends.remove(&(old, task));
        }
        if let Some(time) = self.ledger.run_times.expect(&job.spec) {
            entry.expected_end = Some(now + time);
            self.ledger.ends.insert((now + time, task));
        }
    }

    /// Gives back the room of a task.
    pub(super) fn vacate(&mut self, task: TaskId, now: Duration) {
        let Some((id, demand)) = self.demand_of(task) else {
            return;
        };
        let Some(entry) = self.ledger.tasks.get_mut(&task) else {
            return;
        };
        let Some(worker) = entry.worker().cloned() else {
            return;
        };
        if let Some(end) = entry.expected_end.take() {
            self.ledger.ends.remove(&(end, task));
        }
        self.ledger.set_expiry(task, None);
        self.workers.release(&worker, task, &demand);
        self.leave_job(id, &worker, &demand, now);
        self.freed.insert(worker.clone());
        if let Some(reservation) = &mut self.reservation {
            reservation.changed |= reservation.workers.contains_key(&worker);
        }
    }

    fn leave_job(&mut self, id: JobId, worker: &WorkerId, demand: &ResourceVector, now: Duration) {
        let Some(job) = self.ledger.jobs.get_mut(&id) else {
            return;
        };
        job.active -= 1;
        if let Some(slot) = self.workers.get(worker) {
            let racks = job.racks.get_mut(&slot.entry.rack);
            let zones = job.zones.get_mut(&slot.entry.zone);
            for count in racks.into_iter().chain(zones) {
                *count = count.saturating_sub(1);
            }
        }
        let team = job.spec.team.clone();
        if let Some(entry) = self.ledger.teams.get_mut(&team) {
            entry.used = super::workers::subtract(&entry.used, demand);
        }
        self.update_share(&team);
        self.unpark(&team, now);
    }

    /// Puts a job with tasks to place into its lane.
    pub(super) fn enqueue(&mut self, id: JobId, now: Duration) {
        let total = self.workers.total();
        let predecessor = self.ledger.predecessor(id);
        let Some(job) = self.ledger.jobs.get_mut(&id) else {
            return;
        };
        if let Some(object) = predecessor {
            job.reason = WaitReason::Predecessor;
            let successors = self.ledger.successors.entry(object).or_default();
            successors.insert(id);
            return;
        }
        let anytime = job.spec.restart == RestartPolicy::Anytime;
        if !job.is_placeable() || job.entry.is_some() || (anytime && !job.durable) {
            return;
        }
        let members = job.members();
        let entry = WaitEntry {
            job: id,
            team: job.spec.team.clone(),
            urgency: job.urgency,
            cost: job.cost(&self.policy, &total),
            arrival: job.arrival,
            lane: lane_of(&job.spec.demand, members, !anytime),
            volume: job.volume(),
        };
        job.waiting_since = now;
        job.reason = WaitReason::Queued;
        job.entry = Some(entry.clone());
        let promote_at = (now + self.config.promote_after, id);
        self.ledger.promotions.insert(promote_at);
        if self.lanes.is_closed(&entry.lane) {
            self.joined.insert(id);
        }
        self.lanes.insert(&entry);
    }

    /// Takes a job out of its lane.
    pub(super) fn dequeue(&mut self, id: JobId) {
        let Some(job) = self.ledger.jobs.get_mut(&id) else {
            return;
        };
        let promote_at = job.waiting_since + self.config.promote_after;
        self.ledger.promotions.remove(&(promote_at, id));
        if let Some(team) = self.ledger.teams.get_mut(&job.spec.team) {
            team.parked.remove(&(job.arrival, id));
        }
        if let Some(entry) = job.entry.take() {
            self.lanes.remove(&entry);
        }
    }

    /// Brings a job's place in the lanes in line with its waiting tasks.
    pub(super) fn refresh(&mut self, id: JobId, now: Duration) {
        let placeable = self
            .ledger
            .jobs
            .get(&id)
            .is_some_and(super::ledger::JobEntry::is_placeable);
        if placeable {
            self.resize(id);
            self.enqueue(id, now);
        } else {
            self.dequeue(id);
        }
    }

    /// Brings the volume of a job in a lane in line with its waiting tasks.
    fn resize(&mut self, id: JobId) {
        let Some(job) = self.ledger.jobs.get_mut(&id) else {
            return;
        };
        let volume = job.volume();
        if let Some(entry) = &mut job.entry {
            self.lanes.take_volume(entry);
            entry.volume = volume;
            self.lanes.add_volume(entry);
        }
    }

    /// Sets a job aside until its team holds less.
    fn park(&mut self, id: JobId) {
        let Some(job) = self.ledger.jobs.get_mut(&id) else {
            return;
        };
        job.reason = WaitReason::Quota;
        let entry = job.entry.take();
        let (team, arrival) = (job.spec.team.clone(), job.arrival);
        if let Some(team) = self.ledger.teams.get_mut(&team) {
            team.parked.insert((arrival, id));
        }
        if let Some(entry) = entry {
            self.lanes.remove(&entry);
        }
    }

    /// Queues the oldest parked jobs of a team again.
    fn unpark(&mut self, team: &TeamId, now: Duration) {
        /// Jobs tried after each release of a team's task.
        const UNPARKED_AT_ONCE: usize = 4;
        for _ in 0..UNPARKED_AT_ONCE {
            let parked = self.ledger.teams.get_mut(team);
            let Some((_, id)) = parked.and_then(|team| team.parked.pop_first()) else {
                return;
            };
            self.enqueue(id, now);
        }
    }

    pub(super) fn unpark_all(&mut self, now: Duration) {
        let parked: Vec<_> = self
            .ledger
            .teams
            .values_mut()
            .flat_map(|team| std::mem::take(&mut team.parked))
            .collect();
        for (_, id) in parked {
            self.enqueue(id, now);
        }
        self.lanes.open_all();
    }
}
