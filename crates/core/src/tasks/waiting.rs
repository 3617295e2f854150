//! Waiting jobs, in lanes of similar size.
//!
//! When a job of a lane finds no room, its whole lane is closed until a worker
//! has room for the lane's smallest job, so that no decision looks at each
//! waiting job.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use super::{messages::JobId, workers::subtract};
use crate::types::{ResourceVector, TeamId, UrgencyClass};

/// Size class of jobs: binary logarithms of members, processors and memory,
/// the exact number of accelerators, and whether a start waits for a record.
pub(super) type LaneKey = (u32, u64, u32, u32, bool);
/// Order of the jobs of one team in a lane.
type TeamOrder = (Reverse<UrgencyClass>, u64, u64);

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
    pub(super) lane: LaneKey,
    /// What all waiting tasks of the job need.
    pub(super) volume: ResourceVector,
}

impl WaitEntry {
    const fn order(&self) -> TeamOrder {
        (Reverse(self.urgency), self.cost, self.arrival)
    }
}

/// Jobs of one size class.
#[derive(Clone, Debug, Default)]
struct WaitLane {
    closed: bool,
    heads: BTreeSet<HeadKey>,
    teams: BTreeMap<TeamId, BTreeMap<TeamOrder, JobId>>,
}

/// All waiting jobs of a pool.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitLanes {
    lanes: BTreeMap<LaneKey, WaitLane>,
    open: BTreeSet<(HeadKey, LaneKey)>,
    shares: BTreeMap<TeamId, u64>,
    team_lanes: BTreeMap<TeamId, BTreeSet<LaneKey>>,
    /// What the waiting jobs without accelerators need.
    volume: ResourceVector,
}

/// Returns the lane of jobs of this size.
pub(super) fn lane_of(demand: &ResourceVector, members: u64, recorded: bool) -> LaneKey {
    let log = |amount: u64| amount.checked_ilog2().map_or(0, |log| log + 1);
    let gang = if members > 1 { log(members) } else { 0 };
    (
        gang,
        demand.accelerators,
        log(demand.cpu_milli),
        log(demand.memory_mib),
        recorded,
    )
}

/// Returns the smallest demand of a lane.
const fn smallest(lane: &LaneKey) -> ResourceVector {
    const fn floor(log: u32) -> u64 {
        if log == 0 { 0 } else { 1 << (log - 1) }
    }
    ResourceVector::new(floor(lane.2), floor(lane.3), lane.1)
}

impl WaitLanes {
    pub(super) fn insert(&mut self, entry: &WaitEntry) {
        self.change(entry.lane, &entry.team, |jobs| {
            jobs.insert(entry.order(), entry.job);
        });
        let lanes = self.team_lanes.entry(entry.team.clone()).or_default();
        lanes.insert(entry.lane);
        self.add_volume(entry);
    }

    pub(super) fn remove(&mut self, entry: &WaitEntry) {
        self.change(entry.lane, &entry.team, |jobs| {
            jobs.remove(&entry.order());
        });
        self.take_volume(entry);
    }

    pub(super) fn add_volume(&mut self, entry: &WaitEntry) {
        if entry.volume.accelerators == 0 {
            self.volume = self.volume.plus(&entry.volume);
        }
    }

    pub(super) fn take_volume(&mut self, entry: &WaitEntry) {
        if entry.volume.accelerators == 0 {
            self.volume = subtract(&self.volume, &entry.volume);
        }
    }

    /// Returns what the waiting jobs without accelerators need.
    pub(super) const fn volume(&self) -> &ResourceVector {
        &self.volume
    }

    /// Changes the jobs of a team in a lane and moves the heads accordingly.
    fn change(
        &mut self,
        key: LaneKey,
        team: &TeamId,
        change: impl FnOnce(&mut BTreeMap<TeamOrder, JobId>),
    ) {
        let share = self.shares.get(team).copied().unwrap_or(0);
        self.detach(&key);
        let lane = self.lanes.entry(key).or_default();
        let jobs = lane.teams.entry(team.clone()).or_default();
        if let Some(head) = head_of(jobs, share, team) {
            lane.heads.remove(&head);
        }
        change(jobs);
        if let Some(head) = head_of(jobs, share, team) {
            lane.heads.insert(head);
        } else {
            lane.teams.remove(team);
            if let Some(lanes) = self.team_lanes.get_mut(team) {
                lanes.remove(&key);
            }
        }
        if lane.heads.is_empty() {
            self.lanes.remove(&key);
        }
        self.attach(&key);
    }

    fn detach(&mut self, key: &LaneKey) {
        let head = self.lanes.get(key).and_then(|lane| lane.heads.first());
        if let Some(head) = head {
            self.open.remove(&(head.clone(), *key));
        }
    }

    fn attach(&mut self, key: &LaneKey) {
        match self.lanes.get(key) {
            Some(lane) if !lane.closed => {
                if let Some(head) = lane.heads.first() {
                    self.open.insert((head.clone(), *key));
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
        let lanes = self.team_lanes.get(team).cloned().unwrap_or_default();
        for key in lanes {
            self.detach(&key);
            if let Some(lane) = self.lanes.get_mut(&key) {
                let jobs = &lane.teams[team];
                if let Some(head) = head_of(jobs, old, team) {
                    lane.heads.remove(&head);
                }
                lane.heads.extend(head_of(jobs, share, team));
            }
            self.attach(&key);
        }
    }

    /// Returns the lane of the first job in an open lane.
    pub(super) fn first_lane(&self) -> Option<LaneKey> {
        self.open.first().map(|(_, key)| *key)
    }

    /// Returns the first jobs of a lane, one of each team.
    pub(super) fn heads(&self, key: &LaneKey, limit: usize) -> Vec<JobId> {
        self.lanes.get(key).map_or_else(Vec::new, |lane| {
            lane.heads.iter().take(limit).map(|head| head.job).collect()
        })
    }

    /// Returns the first job of all lanes, open or closed.
    pub(super) fn first_job(&self) -> Option<JobId> {
        self.lanes
            .values()
            .filter_map(|lane| lane.heads.first())
            .min()
            .map(|head| head.job)
    }

    pub(super) fn close(&mut self, key: &LaneKey) {
        self.detach(key);
        if let Some(lane) = self.lanes.get_mut(key) {
            lane.closed = true;
        }
    }

    /// Opens one lane.
    pub(super) fn open_lane(&mut self, key: &LaneKey) {
        if let Some(lane) = self.lanes.get_mut(key) {
            lane.closed = false;
        }
        self.attach(key);
    }

    /// Returns the closed lanes whose smallest single task fits into `room`, in
    /// the order of their first jobs. Gangs are tried on the timer: a try costs
    /// a search per member.
    pub(super) fn closed_fitting(&self, room: &ResourceVector) -> Vec<LaneKey> {
        let fitting = self
            .lanes
            .iter()
            .filter(|(key, lane)| lane.closed && key.0 == 0 && smallest(key).fits_in(room));
        let mut keys: Vec<_> = fitting
            .filter_map(|(key, lane)| Some((lane.heads.first()?, *key)))
            .collect();
        keys.sort();
        keys.into_iter().map(|(_, key)| key).collect()
    }

    /// Tells whether a lane is closed, so that its jobs wait for a release.
    pub(super) fn is_closed(&self, key: &LaneKey) -> bool {
        self.lanes.get(key).is_some_and(|lane| lane.closed)
    }

    pub(super) fn len(&self) -> u64 {
        self.lanes.len() as u64
    }

    pub(super) fn open_all(&mut self) {
        let keys: Vec<_> = self.lanes.keys().copied().collect();
        for key in keys {
            self.open_lane(&key);
        }
    }
}

fn head_of(jobs: &BTreeMap<TeamOrder, JobId>, share: u64, team: &TeamId) -> Option<HeadKey> {
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
