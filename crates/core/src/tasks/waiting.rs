//! Waiting jobs, in one queue per size class.
//!
//! When no worker fits the first jobs of a queue, the whole queue is blocked. It
//! is tried again for a worker whose available capacity fits the smallest job of
//! the class, or on a timer. A placement therefore does not look at every
//! waiting job.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use super::{messages::JobId, workers::saturating_subtract};
use crate::types::{ResourceVector, TeamId, UrgencyClass};

/// Size class of jobs: the binary logarithm of gang members, which is 0 for a
/// job that is no gang; the exact number of accelerators; the binary logarithms
/// of processors and memory; and whether a start waits for a record.
pub(super) type SizeClass = (u32, u64, u32, u32, bool);
/// Order of the jobs of one team in a queue: urgency, cost, arrival.
type JobOrder = (Reverse<UrgencyClass>, u64, u64);

/// Sort key of the first job of a team in a queue. The fields are compared in
/// the order of their declaration.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct HeadKey {
    urgency: Reverse<UrgencyClass>,
    share: u64,
    cost: u64,
    arrival: u64,
    pub(super) job: JobId,
    team: TeamId,
}

/// A waiting job with the values that determine its position in a queue.
#[derive(Clone, Debug)]
pub(super) struct WaitEntry {
    pub(super) job: JobId,
    pub(super) team: TeamId,
    pub(super) urgency: UrgencyClass,
    pub(super) cost: u64,
    pub(super) arrival: u64,
    pub(super) size_class: SizeClass,
    /// Total demand of the pending tasks of the job.
    pub(super) pending_demand: ResourceVector,
}

impl WaitEntry {
    /// Returns the sort key among the jobs of the same team.
    const fn order(&self) -> JobOrder {
        (Reverse(self.urgency), self.cost, self.arrival)
    }
}

/// Waiting jobs of one size class.
#[derive(Clone, Debug, Default)]
struct WaitQueue {
    /// Whether its first jobs could not be placed.
    is_blocked: bool,
    /// The first job of each team.
    heads: BTreeSet<HeadKey>,
    /// Waiting jobs of each team, in their order.
    jobs_by_team: BTreeMap<TeamId, BTreeMap<JobOrder, JobId>>,
}

/// All waiting jobs of a pool.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitQueues {
    queues: BTreeMap<SizeClass, WaitQueue>,
    /// The first head of each queue that is not blocked.
    unblocked: BTreeSet<(HeadKey, SizeClass)>,
    /// Weighted dominant share of each team; teams with a lower one go first.
    shares: BTreeMap<TeamId, u64>,
    /// Size classes in which a team has waiting jobs.
    team_classes: BTreeMap<TeamId, BTreeSet<SizeClass>>,
    /// Total demand of the waiting jobs without accelerators.
    cpu_only_demand: ResourceVector,
}

/// Returns the size class of a job.
pub(super) fn size_class_of(
    demand: &ResourceVector,
    members: u64,
    needs_record: bool,
) -> SizeClass {
    let size_log = |amount: u64| amount.checked_ilog2().map_or(0, |log| log + 1);
    let gang = if members > 1 { size_log(members) } else { 0 };
    (
        gang,
        demand.accelerators,
        size_log(demand.cpu_milli),
        size_log(demand.memory_mib),
        needs_record,
    )
}

/// Returns the smallest demand of a task in a size class.
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

    /// Adds a job to the total demand of the waiting work.
    pub(super) fn add_demand(&mut self, entry: &WaitEntry) {
        if entry.pending_demand.accelerators == 0 {
            self.cpu_only_demand = self.cpu_only_demand.plus(&entry.pending_demand);
        }
    }

    /// Subtracts a job from the total demand of the waiting work.
    pub(super) fn subtract_demand(&mut self, entry: &WaitEntry) {
        if entry.pending_demand.accelerators == 0 {
            self.cpu_only_demand =
                saturating_subtract(&self.cpu_only_demand, &entry.pending_demand);
        }
    }

    /// Returns the total demand of the waiting jobs without accelerators.
    pub(super) const fn cpu_only_demand(&self) -> &ResourceVector {
        &self.cpu_only_demand
    }

    /// Changes the jobs of a team in a queue and updates the heads accordingly.
    fn update_jobs(
        &mut self,
        class: SizeClass,
        team: &TeamId,
        change: impl FnOnce(&mut BTreeMap<JobOrder, JobId>),
    ) {
        let share = self.shares.get(team).copied().unwrap_or(0);
        self.remove_from_unblocked(&class);
        let queue = self.queues.entry(class).or_default();
        let jobs = queue.jobs_by_team.entry(team.clone()).or_default();
        if let Some(head) = head_of(jobs, share, team) {
            queue.heads.remove(&head);
        }
        change(jobs);
        if let Some(head) = head_of(jobs, share, team) {
            queue.heads.insert(head);
        } else {
            queue.jobs_by_team.remove(team);
            if let Some(classes) = self.team_classes.get_mut(team) {
                classes.remove(&class);
            }
        }
        if queue.heads.is_empty() {
            self.queues.remove(&class);
        }
        self.add_to_unblocked(&class);
    }

    /// Removes a queue from `unblocked`; called before its first head changes.
    fn remove_from_unblocked(&mut self, class: &SizeClass) {
        let head = self.queues.get(class).and_then(|queue| queue.heads.first());
        if let Some(head) = head {
            self.unblocked.remove(&(head.clone(), *class));
        }
    }

    /// Adds a queue to `unblocked`, unless it is blocked or empty.
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

    /// Sets the share of a team and reorders its jobs.
    pub(super) fn set_share(&mut self, team: &TeamId, share: u64) {
        let old = self.shares.insert(team.clone(), share).unwrap_or(0);
        if old == share {
            return;
        }
        let classes = self.team_classes.get(team).cloned().unwrap_or_default();
        for class in classes {
            self.remove_from_unblocked(&class);
            if let Some(queue) = self.queues.get_mut(&class) {
                let jobs = &queue.jobs_by_team[team];
                if let Some(head) = head_of(jobs, old, team) {
                    queue.heads.remove(&head);
                }
                queue.heads.extend(head_of(jobs, share, team));
            }
            self.add_to_unblocked(&class);
        }
    }

    /// Returns the size class of the first job in all queues that are not
    /// blocked.
    pub(super) fn first_unblocked(&self) -> Option<SizeClass> {
        self.unblocked.first().map(|(_, class)| *class)
    }

    /// Returns the first jobs of a queue, at most one of each team.
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

    /// Returns the first job of all queues, blocked or not.
    pub(super) fn first_job(&self) -> Option<JobId> {
        self.queues
            .values()
            .filter_map(|queue| queue.heads.first())
            .min()
            .map(|head| head.job)
    }

    /// Blocks a queue, so that its jobs are not tried until it is unblocked or a
    /// worker has freed capacity.
    pub(super) fn block(&mut self, class: &SizeClass) {
        self.remove_from_unblocked(class);
        if let Some(queue) = self.queues.get_mut(class) {
            queue.is_blocked = true;
        }
    }

    /// Unblocks a queue.
    pub(super) fn unblock(&mut self, class: &SizeClass) {
        if let Some(queue) = self.queues.get_mut(class) {
            queue.is_blocked = false;
        }
        self.add_to_unblocked(class);
    }

    /// Returns the blocked queues whose smallest task fits into `available`, in
    /// the order of their first jobs. Queues of gangs are left to the timer,
    /// since an attempt to place a gang costs one search per member.
    pub(super) fn blocked_fitting(&self, available: &ResourceVector) -> Vec<SizeClass> {
        let fitting = self.queues.iter().filter(|(class, queue)| {
            queue.is_blocked && class.0 == 0 && smallest_demand(class).fits_in(available)
        });
        let mut classes: Vec<_> = fitting
            .filter_map(|(class, queue)| Some((queue.heads.first()?, *class)))
            .collect();
        classes.sort();
        classes.into_iter().map(|(_, class)| class).collect()
    }

    /// Returns whether the queue of a size class is blocked.
    pub(super) fn is_class_blocked(&self, class: &SizeClass) -> bool {
        self.queues.get(class).is_some_and(|queue| queue.is_blocked)
    }

    /// Returns the number of queues.
    pub(super) fn len(&self) -> u64 {
        self.queues.len() as u64
    }

    /// Unblocks all queues.
    pub(super) fn unblock_all(&mut self) {
        let classes: Vec<_> = self.queues.keys().copied().collect();
        for class in classes {
            self.unblock(&class);
        }
    }
}

/// Returns the first of the waiting jobs of a team.
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
