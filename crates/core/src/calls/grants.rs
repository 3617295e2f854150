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

/// Time from the deadline of a call to the reclaim of its slot if a live requester
/// has not returned it.
///
/// A lost return is rare, as entry daemons repeat it, and costs one slot for this
/// time. The deadline bounds the start of a response, not its end: if a response
/// streams for longer than this past the deadline, its slot is granted to another
/// call too early, and the runner rejects that call.
const RETURN_GRACE_PERIOD: Duration = Duration::from_secs(30);

/// A grant that has not been returned.
#[derive(Clone, Debug)]
pub(super) struct GrantEntry {
    request: RequestId,
    requester: Option<DaemonId>,
    pub(super) slot: GrantedSlot,
    is_urgent: bool,
    /// Whether the requester is lost, so that the grant is never returned.
    is_orphaned: bool,
    pub(super) granted_at: Duration,
    deadline: Duration,
}

impl GrantEntry {
    /// Returns when the slot is reclaimed although the requester is live.
    const fn return_deadline(&self) -> Duration {
        self.deadline.saturating_add(RETURN_GRACE_PERIOD)
    }
}

/// Where the slot of a grant comes from.
#[derive(Clone, Debug)]
pub(super) enum GrantedSlot {
    /// A runner of this shard.
    Local(RunnerId),
    /// Another zone's runner.
    Borrowed(BorrowedSlot),
}

impl GrantedSlot {
    /// Returns whether the slot's runner is no longer a live one of this shard.
    fn is_departed(&self, runners: &RunnerTable) -> bool {
        match self {
            Self::Local(runner) => !runners.is_live(runner),
            Self::Borrowed(_) => false,
        }
    }
}

/// The grants that have not been returned.
#[derive(Clone, Debug)]
pub(super) struct GrantTable {
    entries: BTreeMap<GrantId, GrantEntry>,
    grant_by_request: BTreeMap<RequestId, GrantId>,
    grants_by_requester: BTreeSet<(DaemonId, GrantId)>,
    urgent_len: u32,
    /// Times at which a grant is checked for reclaim.
    reclaim_times: BTreeSet<(Duration, GrantId)>,
    next_grant: GrantId,
}

impl GrantTable {
    /// Returns a table without grants.
    pub(super) const fn new() -> Self {
        Self {
            entries: BTreeMap::new(),
            grant_by_request: BTreeMap::new(),
            grants_by_requester: BTreeSet::new(),
            urgent_len: 0,
            reclaim_times: BTreeSet::new(),
            next_grant: 1,
        }
    }

    /// Returns the number of grants.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the number of grants to urgent calls.
    pub(super) const fn urgent_len(&self) -> u32 {
        self.urgent_len
    }

    /// Returns whether a request has a grant.
    pub(super) fn has_request(&self, request: RequestId) -> bool {
        self.grant_by_request.contains_key(&request)
    }

    /// Returns when a grant is next checked for reclaim.
    pub(super) fn next_reclaim(&self) -> Option<Duration> {
        self.reclaim_times.first().map(|(at, _)| *at)
    }

    /// Grants a slot to a call.
    pub(super) fn insert(
        &mut self,
        call: CallRequest,
        slot: GrantedSlot,
        deadline: Duration,
        now: Duration,
    ) -> SlotGrant {
        let grant = self.next_grant;
        self.next_grant += 1;
        let is_urgent = call.urgency == UrgencyClass::Urgent;
        self.urgent_len += u32::from(is_urgent);
        self.grant_by_request.insert(call.request, grant);
        let (runner, lender) = match &slot {
            GrantedSlot::Local(runner) => (runner.clone(), None),
            GrantedSlot::Borrowed(slot) => (slot.runner.clone(), Some(slot.slot_lender())),
        };
        let requester = call.requester.clone();
        self.grants_by_requester
            .extend(requester.map(|daemon| (daemon, grant)));
        let entry = GrantEntry {
            request: call.request,
            requester: call.requester,
            slot,
            is_urgent,
            is_orphaned: false,
            granted_at: now,
            deadline,
        };
        self.reclaim_times.insert((entry.return_deadline(), grant));
        self.entries.insert(grant, entry);
        SlotGrant {
            grant,
            request: call.request,
            runner,
            lender,
        }
    }

    /// Ends a grant; returns `None` if it has already ended.
    pub(super) fn remove(&mut self, grant: GrantId) -> Option<GrantEntry> {
        let entry = self.entries.remove(&grant)?;
        self.grant_by_request.remove(&entry.request);
        if let Some(daemon) = entry.requester.clone() {
            self.grants_by_requester.remove(&(daemon, grant));
        }
        self.reclaim_times.remove(&(entry.deadline, grant));
        self.reclaim_times.remove(&(entry.return_deadline(), grant));
        self.urgent_len -= u32::from(entry.is_urgent);
        Some(entry)
    }

    /// Schedules the grants of a lost daemon for reclaim at their deadlines.
    pub(super) fn orphan_requester(&mut self, daemon: &DaemonId) {
        let grants = (daemon.clone(), GrantId::MIN)..=(daemon.clone(), GrantId::MAX);
        for (_, grant) in self.grants_by_requester.range(grants) {
            if let Some(entry) = self.entries.get_mut(grant) {
                entry.is_orphaned = true;
                self.reclaim_times.insert((entry.deadline, *grant));
            }
        }
    }

    /// Schedules the grants on departed runners for reclaim at their deadlines, in
    /// case they are never returned.
    pub(super) fn schedule_departed(&mut self, runners: &RunnerTable) {
        let departed = self.entries.iter();
        let departed = departed.filter(|(_, entry)| entry.slot.is_departed(runners));
        let reclaim_times = departed.map(|(grant, entry)| (entry.deadline, *grant));
        self.reclaim_times.extend(reclaim_times);
    }

    /// Removes the next grant to reclaim from the schedule and returns it.
    pub(super) fn pop_reclaimable(
        &mut self,
        runners: &RunnerTable,
        now: Duration,
    ) -> Option<GrantId> {
        while let Some((at, grant)) = self.reclaim_times.first().copied() {
            if at > now {
                return None;
            }
            self.reclaim_times.pop_first();
            // A runner that is listed again still runs the calls of live requesters.
            let is_due = |entry: &GrantEntry| {
                entry.is_orphaned
                    || entry.slot.is_departed(runners)
                    || entry.return_deadline() <= now
            };
            if self.entries.get(&grant).is_some_and(is_due) {
                return Some(grant);
            }
        }
        None
    }
}
