//! The granted slots of one call shard, until they are returned.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    loans::BorrowedSlot,
    messages::{CallRequest, SlotGrant},
    runners::RunnerTable,
};
use crate::types::{DaemonId, GrantId, RequestId, RunnerId, UrgencyClass};

/// Time from the deadline of a call to the reclaim of its slot when its requester
/// lives but has not returned it.
///
/// A lost return is rare, as entries repeat it, and costs one slot for this time.
/// The deadline bounds the start of a response, not its end: a response that
/// streams for longer than this past the deadline can cost another call a grant,
/// which its runner rejects.
const RETURN_MARGIN: Duration = Duration::from_secs(30);

/// A slot that is granted to a call.
#[derive(Clone, Debug)]
pub(super) struct HeldSlot {
    request: RequestId,
    requester: Option<DaemonId>,
    pub(super) slot: TakenSlot,
    is_urgent: bool,
    is_orphaned: bool,
    pub(super) granted_at: Duration,
    deadline: Duration,
}

impl HeldSlot {
    const fn overdue_at(&self) -> Duration {
        self.deadline.saturating_add(RETURN_MARGIN)
    }
}

/// Where the slot of a grant comes from.
#[derive(Clone, Debug)]
pub(super) enum TakenSlot {
    /// A runner of this shard.
    Own(RunnerId),
    /// Another zone's runner.
    Borrowed(BorrowedSlot),
}

impl TakenSlot {
    /// Tells whether the runner has left this shard's list.
    fn is_departed(&self, runners: &RunnerTable) -> bool {
        match self {
            Self::Own(runner) => !runners.is_live(runner),
            Self::Borrowed(_) => false,
        }
    }
}

/// All grants that have not been returned.
#[derive(Clone, Debug)]
pub(super) struct GrantTable {
    held: BTreeMap<GrantId, HeldSlot>,
    of_request: BTreeMap<RequestId, GrantId>,
    of_daemon: BTreeSet<(DaemonId, GrantId)>,
    urgent: u32,
    /// When a grant is looked at in case it is never returned.
    reclaims: BTreeSet<(Duration, GrantId)>,
    next: GrantId,
}

impl GrantTable {
    /// Returns a table without grants.
    pub(super) const fn new() -> Self {
        Self {
            held: BTreeMap::new(),
            of_request: BTreeMap::new(),
            of_daemon: BTreeSet::new(),
            urgent: 0,
            reclaims: BTreeSet::new(),
            next: 1,
        }
    }

    /// Returns the number of grants.
    pub(super) fn len(&self) -> usize {
        self.held.len()
    }

    /// Returns the number of grants to urgent calls.
    pub(super) const fn urgent_len(&self) -> u32 {
        self.urgent
    }

    /// Tells whether a request has a grant.
    pub(super) fn has_request(&self, request: RequestId) -> bool {
        self.of_request.contains_key(&request)
    }

    /// Returns when a grant may have to be reclaimed.
    pub(super) fn next_reclaim(&self) -> Option<Duration> {
        self.reclaims.first().map(|(at, _)| *at)
    }

    /// Notes a slot as granted to a call.
    pub(super) fn hold(
        &mut self,
        call: CallRequest,
        slot: TakenSlot,
        deadline: Duration,
        now: Duration,
    ) -> SlotGrant {
        let grant = self.next;
        self.next += 1;
        let is_urgent = call.urgency == UrgencyClass::Urgent;
        self.urgent += u32::from(is_urgent);
        self.of_request.insert(call.request, grant);
        let (runner, lender) = match &slot {
            TakenSlot::Own(runner) => (runner.clone(), None),
            TakenSlot::Borrowed(slot) => (slot.runner.clone(), Some(slot.slot_lender())),
        };
        let requester = call.requester.clone();
        self.of_daemon
            .extend(requester.map(|daemon| (daemon, grant)));
        let held = HeldSlot {
            request: call.request,
            requester: call.requester,
            slot,
            is_urgent,
            is_orphaned: false,
            granted_at: now,
            deadline,
        };
        self.reclaims.insert((held.overdue_at(), grant));
        self.held.insert(grant, held);
        SlotGrant {
            grant,
            request: call.request,
            runner,
            lender,
        }
    }

    /// Ends a grant; `None` if it has ended before.
    pub(super) fn remove(&mut self, grant: GrantId) -> Option<HeldSlot> {
        let held = self.held.remove(&grant)?;
        self.of_request.remove(&held.request);
        if let Some(daemon) = held.requester.clone() {
            self.of_daemon.remove(&(daemon, grant));
        }
        self.reclaims.remove(&(held.deadline, grant));
        self.reclaims.remove(&(held.overdue_at(), grant));
        self.urgent -= u32::from(held.is_urgent);
        Some(held)
    }

    /// Schedules the grants of a lost daemon for their deadline.
    pub(super) fn orphan(&mut self, daemon: &DaemonId) {
        let grants = (daemon.clone(), GrantId::MIN)..=(daemon.clone(), GrantId::MAX);
        for (_, grant) in self.of_daemon.range(grants) {
            if let Some(held) = self.held.get_mut(grant) {
                held.is_orphaned = true;
                self.reclaims.insert((held.deadline, *grant));
            }
        }
    }

    /// Schedules the grants at runners that left, in case they are never returned.
    pub(super) fn note_departed(&mut self, runners: &RunnerTable) {
        let departed = self.held.iter();
        let departed = departed.filter(|(_, held)| held.slot.is_departed(runners));
        let reclaims = departed.map(|(grant, held)| (held.deadline, *grant));
        self.reclaims.extend(reclaims);
    }

    /// Takes the next grant that is to be reclaimed from the schedule.
    pub(super) fn next_reclaimed(
        &mut self,
        runners: &RunnerTable,
        now: Duration,
    ) -> Option<GrantId> {
        while let Some((at, grant)) = self.reclaims.first().copied() {
            if at > now {
                return None;
            }
            self.reclaims.pop_first();
            // A runner that came back still runs the calls of live requesters.
            let is_due = |held: &HeldSlot| {
                held.is_orphaned || held.slot.is_departed(runners) || held.overdue_at() <= now
            };
            if self.held.get(&grant).is_some_and(is_due) {
                return Some(grant);
            }
        }
        None
    }
}
