//! Waiting calls in lanes by urgency, with fair queueing over teams in a lane.

use std::collections::{BTreeMap, BTreeSet};

use crate::types::{TeamId, UrgencyClass};

/// Arrival number of a waiting call.
pub(super) type Arrival = u64;

/// Virtual time that one call costs a team of weight one.
const CALL_COST: u64 = 1 << 20;

/// One in this many open slots goes to promoted calls while urgent calls wait.
///
/// Promoted calls must not starve, but in an overload most waiting calls are
/// promoted, and those must not delay urgent calls either.
const PROMOTED_INTERVAL: u64 = 8;

/// The lanes, in ascending order of service.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum LaneName {
    /// Calls of class batch.
    Batch,
    /// Calls of class normal, and batch calls promoted once.
    Normal,
    /// Calls promoted out of the normal lane; they may not use the urgent share.
    Promoted,
    /// Calls of class urgent.
    Urgent,
}

impl LaneName {
    /// Returns the lane above, if a call can be promoted from this one.
    pub(super) const fn promoted(self) -> Option<Self> {
        match self {
            Self::Batch => Some(Self::Normal),
            Self::Normal => Some(Self::Promoted),
            Self::Promoted | Self::Urgent => None,
        }
    }
}

impl From<UrgencyClass> for LaneName {
    fn from(urgency: UrgencyClass) -> Self {
        match urgency {
            UrgencyClass::Batch => Self::Batch,
            UrgencyClass::Normal => Self::Normal,
            UrgencyClass::Urgent => Self::Urgent,
        }
    }
}

/// Waiting calls of one team in one lane.
#[derive(Clone, Debug, Default)]
struct TeamQueue {
    start_tag: u64,
    calls: BTreeSet<Arrival>,
}

/// Start-time fair queueing over teams.
///
/// Tags belong to teams and not to calls, so a cancelled call costs its team
/// nothing.
#[derive(Clone, Debug, Default)]
struct FairLane {
    virtual_time: u64,
    len: usize,
    teams: BTreeMap<Option<TeamId>, TeamQueue>,
    active: BTreeSet<(u64, Option<TeamId>)>,
}

impl FairLane {
    fn push(&mut self, team: Option<TeamId>, arrival: Arrival) {
        let queue = self.teams.entry(team.clone()).or_default();
        if queue.calls.is_empty() {
            queue.start_tag = queue.start_tag.max(self.virtual_time);
            self.active.insert((queue.start_tag, team));
        }
        queue.calls.insert(arrival);
        self.len += 1;
    }

    fn pop(&mut self, weights: &BTreeMap<TeamId, u32>) -> Option<Arrival> {
        let (tag, team) = self.active.pop_first()?;
        let queue = self.teams.get_mut(&team)?;
        let arrival = queue.calls.pop_first()?;
        let weight = team.as_ref().and_then(|team| weights.get(team));
        let weight = u64::from(weight.copied().unwrap_or(1).max(1));
        self.virtual_time = tag;
        queue.start_tag = tag + CALL_COST / weight;
        if !queue.calls.is_empty() {
            self.active.insert((queue.start_tag, team));
        }
        self.len -= 1;
        self.end_busy_period();
        Some(arrival)
    }

    fn remove(&mut self, team: Option<TeamId>, arrival: Arrival) {
        let Some(queue) = self.teams.get_mut(&team) else {
            return;
        };
        if queue.calls.remove(&arrival) {
            self.len -= 1;
        }
        if queue.calls.is_empty() {
            self.active.remove(&(queue.start_tag, team));
        }
        self.end_busy_period();
    }

    /// Forgets the tags of all teams once nothing waits, which bounds memory.
    fn end_busy_period(&mut self) {
        if self.len == 0 {
            self.teams.clear();
            self.virtual_time = 0;
        }
    }
}

/// The lanes of one call shard.
#[derive(Clone, Debug, Default)]
pub(super) struct CallLanes {
    batch: FairLane,
    normal: FairLane,
    promoted: FairLane,
    urgent: FairLane,
    weights: BTreeMap<TeamId, u32>,
    turns: u64,
}

impl CallLanes {
    /// Replaces the weights of teams; a team without one has weight one.
    pub(super) fn set_weights(&mut self, weights: BTreeMap<TeamId, u32>) {
        self.weights = weights;
    }

    /// Appends a call to a lane.
    pub(super) fn push(&mut self, name: LaneName, team: Option<TeamId>, arrival: Arrival) {
        self.lane_mut(name).push(team, arrival);
    }

    /// Removes a call from its lane.
    pub(super) fn remove(&mut self, name: LaneName, team: Option<TeamId>, arrival: Arrival) {
        self.lane_mut(name).remove(team, arrival);
    }

    /// Takes the next call; without an open slot, only an urgent one.
    pub(super) fn pop(&mut self, has_open_slot: bool) -> Option<Arrival> {
        let name = self.next_lane(has_open_slot)?;
        if has_open_slot {
            self.turns += 1;
        }
        let lane = match name {
            LaneName::Batch => &mut self.batch,
            LaneName::Normal => &mut self.normal,
            LaneName::Promoted => &mut self.promoted,
            LaneName::Urgent => &mut self.urgent,
        };
        lane.pop(&self.weights)
    }

    /// Returns the number of calls that wait in a lane or above it.
    pub(super) const fn len_from(&self, name: LaneName) -> usize {
        let urgent = self.urgent.len;
        let promoted = urgent + self.promoted.len;
        let normal = promoted + self.normal.len;
        match name {
            LaneName::Urgent => urgent,
            LaneName::Promoted => promoted,
            LaneName::Normal => normal,
            LaneName::Batch => normal + self.batch.len,
        }
    }

    fn next_lane(&self, has_open_slot: bool) -> Option<LaneName> {
        let is_promoted_turn = self.turns.is_multiple_of(PROMOTED_INTERVAL);
        match () {
            () if !has_open_slot => (self.urgent.len > 0).then_some(LaneName::Urgent),
            () if self.promoted.len > 0 && is_promoted_turn => Some(LaneName::Promoted),
            () if self.urgent.len > 0 => Some(LaneName::Urgent),
            () if self.promoted.len > 0 => Some(LaneName::Promoted),
            () if self.normal.len > 0 => Some(LaneName::Normal),
            () if self.batch.len > 0 => Some(LaneName::Batch),
            () => None,
        }
    }

    const fn lane_mut(&mut self, name: LaneName) -> &mut FairLane {
        match name {
            LaneName::Batch => &mut self.batch,
            LaneName::Normal => &mut self.normal,
            LaneName::Promoted => &mut self.promoted,
            LaneName::Urgent => &mut self.urgent,
        }
    }
}
