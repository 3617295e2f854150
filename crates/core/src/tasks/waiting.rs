//! Waiting jobs, in lanes of similar size.
//!
//! When a job of a lane finds no room, its whole lane is closed until a worker
//! has room for the lane's smallest job, so that no decision looks at each
//! waiting job.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use super::{messages::JobId, workers::saturating_subtract};
use crate::types::{ResourceVector, TeamId, UrgencyClass};

/// Size class of jobs: binary logarithms of members, processors and memory,
/// the exact number of accelerators, and whether a start waits for a record.
pub(super) type SizeClass = (u32, u64, u32, u32, bool);
/// Order of the jobs of one team in a lane.
type JobOrder = (Reverse<UrgencyClass>, u64, u64);

/// Place of a team's first job in its lane: urgency, share of the team, cost,
/// arrival.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct HeadKey {
    urgency: Reverse<UrgencyClass>,
    share: u64,
    cost: u64,
    arrival: u64,
    pub(super) job: JobId,
    team: TeamId,
}

/// A waiting job as the lanes see it.
#[derive(Clone, Debug)]
pub(super) struct WaitEntry {
    pub(super) job: JobId,
    pub(super) team: TeamId,
    pub(super) urgency: UrgencyClass,
    pub(super) cost: u64,
    pub(super) arrival: u64,
    pub(super) size_class: SizeClass,
    /// What all waiting tasks of the job need.
    pub(super) pending_demand: ResourceVector,
}

impl WaitEntry {
    const fn order(&self) -> JobOrder {
        (Reverse(self.urgency), self.cost, self.arrival)
    }
}

/// Jobs of one size class.
#[derive(Clone, Debug, Default)]
struct WaitQueue {
    is_blocked: bool,
    heads: BTreeSet<HeadKey>,
    teams: BTreeMap<TeamId, BTreeMap<JobOrder, JobId>>,
}

/// All waiting jobs of a pool.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitQueues {
    queues: BTreeMap<SizeClass, WaitQueue>,
    unblocked: BTreeSet<(HeadKey, SizeClass)>,
    shares: BTreeMap<TeamId, u64>,
    team_classes: BTreeMap<TeamId, BTreeSet<SizeClass>>,
    /// What the waiting jobs without accelerators need.
    cpu_only_demand: ResourceVector,
}

/// Returns the lane of jobs of this size.
pub(super) fn size_class_of(
    demand: &ResourceVector,
    members: u64,
    needs_record: bool,
) -> SizeClass {
    let log = |amount: u64| amount.checked_ilog2().map_or(0, |log| log + 1);
    let gang = if members > 1 { log(members) } else { 0 };
    (
        gang,
        demand.accelerators,
        log(demand.cpu_milli),
        log(demand.memory_mib),
        needs_record,
    )
}

/// Returns the smallest demand of a lane.
const fn smallest_demand(class: &SizeClass) -> ResourceVector {
    const fn floor(log: u32) -> u64 {
        if log == 0 { 0 } else { 1 << (log - 1) }
    }
    ResourceVector::new(floor(class.2), floor(class.3), class.1)
}

impl WaitQueues {
    pub(super) fn insert(&mut self, entry: &WaitEntry) {
        self.update_jobs(entry.size_class, &entry.team, |jobs| {
            jobs.insert(entry.order(), entry.job);
        });
        let classes = self.team_classes.entry(entry.team.clone()).or_default();
        classes.insert(entry.size_class);
        self.add_demand(entry);
    }

    pub(super) fn remove(&mut self, entry: &WaitEntry) {
        self.update_jobs(entry.size_class, &entry.team, |jobs| {
            jobs.remove(&entry.order());
        });
        self.subtract_demand(entry);
    }

    pub(super) fn add_demand(&mut self, entry: &WaitEntry) {
        if entry.pending_demand.accelerators == 0 {
            self.cpu_only_demand = self.cpu_only_demand.plus(&entry.pending_demand);
        }
    }

    pub(super) fn subtract_demand(&mut self, entry: &WaitEntry) {
        if entry.pending_demand.accelerators == 0 {
            self.cpu_only_demand =
                saturating_subtract(&self.cpu_only_demand, &entry.pending_demand);
        }
    }

    /// Returns what the waiting jobs without accelerators need.
    pub(super) const fn cpu_only_demand(&self) -> &ResourceVector {
        &self.cpu_only_demand
    }

    /// Changes the jobs of a team in a lane and moves the heads accordingly.
    fn update_jobs(
        &mut self,
        class: SizeClass,
        team: &TeamId,
        change: impl FnOnce(&mut BTreeMap<JobOrder, JobId>),
    ) {
        let share = self.shares.get(team).copied().unwrap_or(0);
        self.remove_from_unblocked(&class);
        let queue = self.queues.entry(class).or_default();
        let jobs = queue.teams.entry(team.clone()).or_default();
        if let Some(head) = head_of(jobs, share, team) {
            queue.heads.remove(&head);
        }
        change(jobs);
        if let Some(head) = head_of(jobs, share, team) {
            queue.heads.insert(head);
        } else {
            queue.teams.remove(team);
            if let Some(classes) = self.team_classes.get_mut(team) {
                classes.remove(&class);
            }
        }
        if queue.heads.is_empty() {
            self.queues.remove(&class);
        }
        self.add_to_unblocked(&class);
    }

    fn remove_from_unblocked(&mut self, class: &SizeClass) {
        let head = self.queues.get(class).and_then(|queue| queue.heads.first());
        if let Some(head) = head {
            self.unblocked.remove(&(head.clone(), *class));
        }
    }

    fn add_to_unblocked(&mut self, class: &SizeClass) {
        match self.queues.get(class) {
            Some(queue) if !queue.is_blocked => {
                if let Some(head) = queue.heads.first() {
                    self.unblocked.insert((head.clone(), *class));
                }
            }
            _ => {}
        }
    }

    /// Moves a team's jobs when its share has changed.
    pub(super) fn set_share(&mut self, team: &TeamId, share: u64) {
        let old = self.shares.insert(team.clone(), share).unwrap_or(0);
        if old == share {
            return;
        }
        let classes = self.team_classes.get(team).cloned().unwrap_or_default();
        for class in classes {
            self.remove_from_unblocked(&class);
            if let Some(queue) = self.queues.get_mut(&class) {
                let jobs = &queue.teams[team];
                if let Some(head) = head_of(jobs, old, team) {
                    queue.heads.remove(&head);
                }
                queue.heads.extend(head_of(jobs, share, team));
            }
            self.add_to_unblocked(&class);
        }
    }

    /// Returns the lane of the first job in an open lane.
    pub(super) fn first_unblocked(&self) -> Option<SizeClass> {
        self.unblocked.first().map(|(_, class)| *class)
    }

    /// Returns the first jobs of a lane, one of each team.
    pub(super) fn heads(&self, class: &SizeClass, limit: usize) -> Vec<JobId> {
        self.queues.get(class).map_or_else(Vec::new, |queue| {
            queue
                .heads
                .iter()
                .take(limit)
                .map(|head| head.job)
                .collect()
        })
    }

    /// Returns the first job of all lanes, open or closed.
    pub(super) fn first_job(&self) -> Option<JobId> {
        self.queues
            .values()
            .filter_map(|queue| queue.heads.first())
            .min()
            .map(|head| head.job)
    }

    pub(super) fn block(&mut self, class: &SizeClass) {
        self.remove_from_unblocked(class);
        if let Some(queue) = self.queues.get_mut(class) {
            queue.is_blocked = true;
        }
    }

    /// Opens one lane.
    pub(super) fn unblock(&mut self, class: &SizeClass) {
        if let Some(queue) = self.queues.get_mut(class) {
            queue.is_blocked = false;
        }
        self.add_to_unblocked(class);
    }

    /// Returns the closed lanes whose smallest single task fits into `available`, in
    /// the order of their first jobs. Gangs are tried on the timer: a try costs
    /// a search per member.
    pub(super) fn blocked_fitting(&self, available: &ResourceVector) -> Vec<SizeClass> {
        let fitting = self.queues.iter().filter(|(class, queue)| {
            queue.is_blocked && class.0 == 0 && smallest_demand(class).fits_in(available)
        });
        let mut keys: Vec<_> = fitting
            .filter_map(|(class, queue)| Some((queue.heads.first()?, *class)))
            .collect();
        keys.sort();
        keys.into_iter().map(|(_, class)| class).collect()
    }

    /// Tells whether a lane is closed, so that its jobs wait for a release.
    pub(super) fn is_class_blocked(&self, class: &SizeClass) -> bool {
        self.queues.get(class).is_some_and(|queue| queue.is_blocked)
    }

    pub(super) fn len(&self) -> u64 {
        self.queues.len() as u64
    }

    pub(super) fn unblock_all(&mut self) {
        let keys: Vec<_> = self.queues.keys().copied().collect();
        for class in keys {
            self.unblock(&class);
        }
    }
}

fn head_of(jobs: &BTreeMap<JobOrder, JobId>, share: u64, team: &TeamId) -> Option<HeadKey> {
    let (order, job) = jobs.first_key_value()?;
    Some(HeadKey {
        urgency: order.0,
        share,
        cost: order.1,
        arrival: order.2,
        job: *job,
        team: team.clone(),
    })
}
