//! A simulated worker: its runs, its lease and the ends that it reports.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::fixtures::ended;
use crate::{
    EndedRun, ObservedRun, RenewalFailure, RenewalOrder, RenewalReport, RenewalStamp,
    ResourceVector, RunEnd, RunKey, StartOrder, StartResult, StepKey, StepSpec, StopOrder, TaskKey,
    WorkerListing,
    types::{Attempt, Epoch},
};

/// Time within which all members of a gang must be present.
const GANG_START_TIME: Duration = Duration::from_secs(3);

/// One attempt of a gang.
pub(super) type GangAttempt = (StepKey, Attempt);

/// A run on a simulated worker.
#[derive(Clone, Debug)]
pub(super) struct SimulatedRun {
    pub(super) step_spec: StepSpec,
    pub(super) is_failing: bool,
    pub(super) is_stalling: bool,
    /// Whether all members of its gang, if it has one, have been present.
    is_complete: bool,
    /// When the task began to run: for a gang, when it was complete.
    started_at: Duration,
}

/// A renewal that waits for a run to end.
#[derive(Clone, Debug)]
struct WaitingRenewal {
    epoch: Epoch,
    stamp: RenewalStamp,
    answer_at: Duration,
}

/// A simulated worker.
#[derive(Clone, Debug)]
pub(super) struct SimulatedWorker {
    pub(super) listing: WorkerListing,
    pub(super) is_listed: bool,
    /// Until when no order reaches the worker.
    pub(super) unreachable_until: Duration,
    pub(super) runs: BTreeMap<RunKey, SimulatedRun>,
    started_unix_ms: u64,
    token: Epoch,
    lease_until: Duration,
    ended: Vec<EndedRun>,
    end_count: u64,
    latest_attempts: BTreeMap<TaskKey, Attempt>,
    renewals: Vec<WaitingRenewal>,
}

impl SimulatedWorker {
    pub(super) const fn new(listing: WorkerListing, started_unix_ms: u64) -> Self {
        Self {
            listing,
            is_listed: true,
            unreachable_until: Duration::ZERO,
            runs: BTreeMap::new(),
            started_unix_ms,
            token: 0,
            lease_until: Duration::ZERO,
            ended: Vec::new(),
            end_count: 0,
            latest_attempts: BTreeMap::new(),
            renewals: Vec::new(),
        }
    }

    /// Replaces the worker by a new instance without runs.
    pub(super) fn restart(&mut self) {
        let is_listed = self.is_listed;
        *self = Self::new(self.listing.clone(), self.started_unix_ms + 1_000);
        self.is_listed = is_listed;
    }

    /// Drops the renewals that wait, and returns the epochs of their owners.
    pub(super) fn drop_renewals(&mut self) -> Vec<Epoch> {
        let renewals = std::mem::take(&mut self.renewals).into_iter();
        renewals.map(|renewal| renewal.epoch).collect()
    }

    /// Returns a ticket for this instance.
    pub(super) fn ticket(&self, expires_at: Duration) -> String {
        format!("{} {}", self.started_unix_ms, expires_at.as_millis())
    }

    fn can_accept_ticket(&self, ticket: Option<&str>, now: Duration) -> bool {
        let parts = ticket.and_then(|ticket| ticket.split_once(' '));
        parts.is_some_and(|(instance, expiry)| {
            let expiry: Option<u128> = expiry.parse().ok();
            instance.parse() == Ok(self.started_unix_ms) && expiry > Some(now.as_millis())
        })
    }

    /// Returns the resources that no run occupies.
    pub(super) fn free(&self) -> ResourceVector {
        let runs = self.runs.values();
        runs.fold(self.listing.capacity, |free, run| {
            free.minus(&run.step_spec.occupied()).unwrap_or_default()
        })
    }

    fn is_reachable(&self, now: Duration) -> bool {
        now >= self.unreachable_until
    }

    pub(super) fn start(
        &mut self,
        order: &StartOrder,
        step_spec: &StepSpec,
        needs_ticket: bool,
        now: Duration,
    ) -> StartResult {
        let deadline = Duration::from_millis(order.deadline_ms);
        let latest = self.latest_attempts.get(&order.run.task).copied();
        match () {
            () if !self.is_reachable(now) => return StartResult::Unanswered,
            () if order.address != self.listing.address => return StartResult::OtherInstance,
            () if order.token < self.token => return StartResult::Fenced,
            () if self.runs.contains_key(&order.run) => return StartResult::Started,
            () if latest.is_some_and(|latest| latest >= order.run.attempt) => {
                return StartResult::Outdated;
            }
            () if deadline <= now => return StartResult::Late,
            () if needs_ticket && !self.can_accept_ticket(order.ticket.as_deref(), now) => {
                return StartResult::BadTicket;
            }
            () if !step_spec.occupied().fits_in(&self.free()) => return StartResult::NoRoom,
            () => {}
        }
        self.token = order.token;
        self.lease_until = self.lease_until.max(deadline);
        self.latest_attempts
            .insert(order.run.task, order.run.attempt);
        let run = SimulatedRun {
            step_spec: step_spec.clone(),
            is_failing: false,
            is_stalling: false,
            is_complete: !step_spec.gang,
            started_at: now,
        };
        self.runs.insert(order.run, run);
        StartResult::Started
    }

    /// Stops a run. Returns whether the order was carried out.
    pub(super) fn stop(&mut self, order: &StopOrder, now: Duration) -> bool {
        if !self.is_reachable(now) || order.token < self.token {
            return false;
        }
        self.token = order.token;
        let latest = self.latest_attempts.entry(order.run.task).or_default();
        *latest = (*latest).max(order.run.attempt);
        self.end_run(order.run, RunEnd::Stopped);
        true
    }

    pub(super) fn renew(
        &mut self,
        order: &RenewalOrder,
        sent_at: Duration,
        epoch: Epoch,
        now: Duration,
    ) -> Result<(), RenewalFailure> {
        match () {
            () if !self.is_reachable(now) => return Err(RenewalFailure::Unanswered),
            () if order.address != self.listing.address => {
                return Err(RenewalFailure::OtherInstance);
            }
            () if order.token < self.token => return Err(RenewalFailure::Fenced),
            () => {}
        }
        self.token = order.token;
        self.ended.retain(|end| end.number > order.acked_end);
        if let Some(deadline_ms) = order.deadline_ms {
            self.lease_until = Duration::from_millis(deadline_ms);
        }
        self.renewals.push(WaitingRenewal {
            epoch,
            stamp: RenewalStamp {
                token: order.token,
                sent_at,
            },
            answer_at: now + order.wait,
        });
        Ok(())
    }

    /// Removes a renewal whose answer is due, and returns its report.
    pub(super) fn pop_due_report(
        &mut self,
        now: Duration,
    ) -> Option<(Epoch, RenewalStamp, RenewalReport)> {
        let has_ends = !self.ended.is_empty();
        let is_due = |renewal: &WaitingRenewal| has_ends || now >= renewal.answer_at;
        let index = self.renewals.iter().position(is_due)?;
        let renewal = self.renewals.remove(index);
        let running = self.runs.iter().map(|(run, entry)| {
            let elapsed = now.saturating_sub(entry.started_at).as_millis();
            let percent = elapsed * 100 / u128::from(entry.step_spec.estimate_ms.max(1));
            ObservedRun {
                run: *run,
                checkpoint: String::new(),
                percent: if entry.is_stalling {
                    0
                } else {
                    u32::try_from(percent).unwrap()
                },
                load: None,
            }
        });
        let report = RenewalReport {
            started_unix_ms: self.started_unix_ms,
            clock_ms: u64::try_from(now.as_millis()).unwrap(),
            running: running.collect(),
            ended: self.ended.clone(),
            has_more_ends: false,
        };
        Some((renewal.epoch, renewal.stamp, report))
    }

    /// Ends the runs that are over. Returns the gangs of which a member failed or lapsed.
    pub(super) fn end_runs(&mut self, now: Duration) -> Vec<GangAttempt> {
        let has_lapsed = now >= self.lease_until;
        let ends = self.runs.iter().filter_map(|(run, entry)| {
            let run_time = Duration::from_millis(entry.step_spec.estimate_ms);
            let can_end = entry.is_complete && !entry.is_stalling;
            let is_over = can_end && now >= entry.started_at + run_time;
            match () {
                () if has_lapsed => Some((*run, RunEnd::Lapsed)),
                () if is_over && entry.is_failing => Some((*run, RunEnd::Failed)),
                () if is_over && !entry.step_spec.long_running => Some((*run, RunEnd::Done)),
                () => None,
            }
        });
        let ends: Vec<(RunKey, RunEnd)> = ends.collect();
        let mut broken_gangs = Vec::new();
        for (run, end) in ends {
            let is_gang = self.runs.get(&run).is_some_and(|run| run.step_spec.gang);
            if is_gang && end != RunEnd::Done {
                broken_gangs.push((run.task.step, run.attempt));
            }
            self.end_run(run, end);
        }
        broken_gangs
    }

    /// Ends the members of broken gangs.
    pub(super) fn break_gangs(&mut self, broken_gangs: &BTreeSet<GangAttempt>) {
        let runs = self.runs.keys();
        let broken = runs.filter(|run| broken_gangs.contains(&(run.task.step, run.attempt)));
        let broken: Vec<RunKey> = broken.copied().collect();
        for run in broken {
            self.end_run(run, RunEnd::GangBroken);
        }
    }

    /// Ends the members of gangs whose other members did not start in time.
    pub(super) fn check_gangs(&mut self, members: &BTreeMap<GangAttempt, u32>, now: Duration) {
        let mut incomplete = Vec::new();
        for (run, entry) in &mut self.runs {
            let count = members.get(&(run.task.step, run.attempt)).copied();
            match () {
                () if entry.is_complete => {}
                () if count.unwrap_or(0) >= entry.step_spec.count => {
                    entry.is_complete = true;
                    entry.started_at = now;
                }
                () if now >= entry.started_at + GANG_START_TIME => incomplete.push(*run),
                () => {}
            }
        }
        for run in incomplete {
            self.end_run(run, RunEnd::GangIncomplete);
        }
    }

    fn end_run(&mut self, run: RunKey, end: RunEnd) {
        if self.runs.remove(&run).is_some() {
            self.end_count += 1;
            self.ended.push(ended(self.end_count, run, end));
        }
    }
}
