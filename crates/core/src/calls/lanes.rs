//! Waiting calls in priority lanes, with fair queueing between teams in a lane.

use std::collections::{BTreeMap, BTreeSet};

use crate::types::{TeamId, UrgencyClass};

/// Number of a waiting call in the order of arrival at its shard.
pub(super) type ArrivalNumber = u64;

/// Virtual time that one call of a team of weight one takes; a team of weight `w`
/// is charged this time divided by `w`.
const CALL_VIRTUAL_TIME: u64 = 1 << 20;

/// Number of unreserved slots of which one goes to a promoted call while urgent
/// calls wait.
///
/// Promoted calls must not starve. In an overload, however, most waiting calls
/// are promoted, and they must not delay urgent calls.
const PROMOTED_TURN_INTERVAL: u64 = 8;

/// The lanes, in ascending order of priority.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum LaneName {
    /// Calls of class batch.
    Batch,
    /// Calls of class normal, and batch calls promoted once.
    Normal,
    /// Calls promoted from the normal lane; they may not use the slots reserved
    /// for urgent calls.
    Promoted,
    /// Calls of class urgent.
    Urgent,
}

impl LaneName {
    /// Returns the next higher lane, if calls of this lane can be promoted.
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
    /// Virtual start time of the team's next call.
    start_tag: u64,
    calls: BTreeSet<ArrivalNumber>,
}

/// A lane with start-time fair queueing between teams.
///
/// Start tags belong to teams and not to calls, so a cancelled call is not
/// charged to its team.
#[derive(Clone, Debug, Default)]
struct FairLane {
    virtual_time: u64,
    /// Number of waiting calls of all teams.
    len: usize,
    teams: BTreeMap<Option<TeamId>, TeamQueue>,
    /// Teams with waiting calls, by start tag.
    active: BTreeSet<(u64, Option<TeamId>)>,
}

impl FairLane {
    fn push(&mut self, team: Option<TeamId>, arrival: ArrivalNumber) {
        let queue = self.teams.entry(team.clone()).or_default();
        if queue.calls.is_empty() {
            queue.start_tag = queue.start_tag.max(self.virtual_time);
            self.active.insert((queue.start_tag, team));
        }
        queue.calls.insert(arrival);
        self.len += 1;
    }

    fn pop(&mut self, weights: &BTreeMap<TeamId, u32>) -> Option<ArrivalNumber> {
        let (tag, team) = self.active.pop_first()?;
        let queue = self.teams.get_mut(&team)?;
        let arrival = queue.calls.pop_first()?;
        let weight = team.as_ref().and_then(|team| weights.get(team));
        let weight = u64::from(weight.copied().unwrap_or(1).max(1));
        self.virtual_time = tag;
        queue.start_tag = tag + CALL_VIRTUAL_TIME / weight;
        if !queue.calls.is_empty() {
            self.active.insert((queue.start_tag, team));
        }
        self.len -= 1;
        self.reset_if_empty();
        Some(arrival)
    }

    fn remove(&mut self, team: Option<TeamId>, arrival: ArrivalNumber) {
        let Some(queue) = self.teams.get_mut(&team) else {
            return;
        };
        if queue.calls.remove(&arrival) {
            self.len -= 1;
        }
        if queue.calls.is_empty() {
            self.active.remove(&(queue.start_tag, team));
        }
        self.reset_if_empty();
    }

    /// Drops the start tags of all teams once no call waits, which bounds memory.
    fn reset_if_empty(&mut self) {
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
    /// Calls taken with an unreserved slot; decides when promoted calls go first.
    unreserved_pops: u64,
}

impl CallLanes {
    /// Replaces the weights of teams; a team without one has weight one.
    pub(super) fn set_weights(&mut self, weights: BTreeMap<TeamId, u32>) {
        self.weights = weights;
    }

    /// Adds a call to a lane.
    pub(super) fn push(&mut self, name: LaneName, team: Option<TeamId>, arrival: ArrivalNumber) {
        self.lane_mut(name).push(team, arrival);
    }

    /// Removes a call from its lane.
    pub(super) fn remove(&mut self, name: LaneName, team: Option<TeamId>, arrival: ArrivalNumber) {
        self.lane_mut(name).remove(team, arrival);
    }

    /// Removes and returns the next call; without an unreserved slot, only an
    /// urgent one.
    pub(super) fn pop(&mut self, has_unreserved_slot: bool) -> Option<ArrivalNumber> {
        let name = self.next_lane(has_unreserved_slot)?;
        if has_unreserved_slot {
            self.unreserved_pops += 1;
        }
        let lane = match name {
            LaneName::Batch => &mut self.batch,
            LaneName::Normal => &mut self.normal,
            LaneName::Promoted => &mut self.promoted,
            LaneName::Urgent => &mut self.urgent,
        };
        lane.pop(&self.weights)
    }

    /// Returns the number of waiting calls in a lane and all higher ones.
    pub(super) const fn len_at_or_above(&self, name: LaneName) -> usize {
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

    fn next_lane(&self, has_unreserved_slot: bool) -> Option<LaneName> {
        let is_promoted_turn = self.unreserved_pops.is_multiple_of(PROMOTED_TURN_INTERVAL);
        match () {
            () if !has_unreserved_slot => (self.urgent.len > 0).then_some(LaneName::Urgent),
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
