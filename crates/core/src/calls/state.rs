//! The queue of one call shard.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    config::CallConfig,
    grants::{GrantTable, GrantedSlot},
    lanes::{ArrivalNumber, CallLanes, LaneName},
    loans::LoanTable,
    messages::{CallAction, CallEvent, CallLoad, CallRequest, GrantResult},
    messages::{LoanBody, LoanMessage},
    runners::RunnerTable,
};
use crate::types::{DaemonId, Epoch, GrantId, NotRunReason, RequestId, UrgencyClass, ZoneId};

/// Smoothing factor of the mean service time: the weight of the newest sample.
///
/// Service times are heavy-tailed, so with a larger weight single calls would
/// move the mean.
const SERVICE_TIME_SMOOTHING: f64 = 1.0 / 64.0;

/// Minimum time between the expected start of an admitted call and its deadline,
/// in mean service times.
///
/// With heavy-tailed service times most calls end within four means; with less
/// time, many would hold a slot past their deadline and be of no use.
const START_MARGIN_SERVICE_TIMES: f64 = 4.0;

/// Smoothing factor of the wait ratio: the weight of the newest sample.
const WAIT_RATIO_SMOOTHING: f64 = 1.0 / 256.0;

/// Time constant of the mean number of urgent calls that run or wait.
///
/// It is ten mean service times of a short call, so that single calls do not
/// change the urgent reserve.
const URGENT_LOAD_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Bounds of a sample of the wait ratio, so that faulty samples cannot reject or
/// admit every call.
const WAIT_RATIO_RANGE: (f64, f64) = (0.5, 8.0);

/// Divisor of another zone's reported free slots; the quotient is the number of
/// calls that may be redirected there before its next report.
///
/// The zone's own callers and a third zone use the same slots in the meantime.
const REDIRECT_DIVISOR: u32 = 2;

/// A call that waits for a slot.
#[derive(Clone, Debug)]
struct WaitingCall {
    call: CallRequest,
    /// The current lane, which may be above that of the call's class.
    lane: LaneName,
    deadline: Duration,
    promote_at: Duration,
    arrived_at: Duration,
    /// Expected waiting time on arrival, if no later call overtakes this one.
    drain_time: Duration,
}

/// The waiting and running calls of one shard, and the slots of its runners.
#[derive(Clone, Debug)]
pub struct CallQueue {
    config: CallConfig,
    /// End of the hold-off; `None` once it has passed.
    grants_start_at: Option<Duration>,
    pub(super) runners: RunnerTable,
    pub(super) loans: LoanTable,
    lanes: CallLanes,
    waiting: BTreeMap<ArrivalNumber, WaitingCall>,
    pub(super) waiting_urgent: usize,
    arrival_by_request: BTreeMap<RequestId, ArrivalNumber>,
    /// Deadlines of the waiting calls.
    deadlines: BTreeSet<(Duration, ArrivalNumber)>,
    /// When waiting calls are promoted next.
    promotions: BTreeSet<(Duration, ArrivalNumber)>,
    /// Waiting calls that have not been redirected and may still be.
    redirectable: BTreeSet<ArrivalNumber>,
    waiting_by_requester: BTreeSet<(DaemonId, ArrivalNumber)>,
    grants: GrantTable,
    /// Calls that may be redirected to a zone before its next load report.
    redirect_credits: BTreeMap<ZoneId, u32>,
    /// In seconds; `None` until a runner has answered a call.
    mean_service_time: Option<f64>,
    /// Moving average of the urgent calls that run or wait, at most the urgent
    /// share.
    mean_urgent_load: f64,
    urgent_load_updated_at: Duration,
    /// Mean ratio of the actual waiting time to the drain time, over calls that
    /// are not urgent.
    wait_ratio: f64,
    next_arrival: ArrivalNumber,
}

impl CallQueue {
    /// Returns an empty queue without runners, created at time zero.
    #[must_use]
    pub fn new(config: CallConfig) -> Self {
        Self::new_at(config, Duration::ZERO)
    }

    /// Returns an empty queue without runners whose hold-off starts now.
    #[must_use]
    pub fn new_at(config: CallConfig, now: Duration) -> Self {
        Self {
            config,
            grants_start_at: Some(now + config.hold_off),
            runners: RunnerTable::default(),
            loans: LoanTable::new(config.loans, 0),
            lanes: CallLanes::default(),
            waiting: BTreeMap::new(),
            waiting_urgent: 0,
            arrival_by_request: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            promotions: BTreeSet::new(),
            redirectable: BTreeSet::new(),
            waiting_by_requester: BTreeSet::new(),
            grants: GrantTable::new(),
            redirect_credits: BTreeMap::new(),
            mean_service_time: None,
            // The whole urgent share is reserved until the load is known.
            mean_urgent_load: f64::INFINITY,
            urgent_load_updated_at: now,
            wait_ratio: 1.0,
            next_arrival: 0,
        }
    }

    /// Sets the owner's epoch, which is part of its loans and loan messages.
    #[must_use]
    pub fn with_epoch(mut self, epoch: Epoch) -> Self {
        self.loans = LoanTable::new(self.config.loans, epoch);
        self
    }

    /// Returns the number of waiting calls.
    #[must_use]
    pub fn waiting_len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of slots that calls of this shard hold, borrowed ones
    /// included.
    #[must_use]
    pub fn granted_len(&self) -> usize {
        self.grants.len()
    }

    /// Returns the number of runners on probation.
    #[must_use]
    pub const fn probation_len(&self) -> usize {
        self.runners.probation_len()
    }

    /// Returns the load to report to other zones.
    #[must_use]
    pub fn load(&self) -> CallLoad {
        CallLoad {
            free: self.unreserved_slots(),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
        }
    }

    /// Returns when [`CallEvent::TimerFired`] is due next.
    #[must_use]
    pub fn next_timer(&self) -> Option<Duration> {
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        let promotion = self.promotions.first().map(|(at, _)| *at);
        let reclaim = self.grants.next_reclaim();
        let delay = self.runners.next_delay_end();
        let start = self.grants_start_at.filter(|_| !self.waiting.is_empty());
        let loan = self.loans.next_timer(!self.waiting.is_empty());
        let first = self.waiting.first_key_value();
        let first = first.filter(|_| self.loans.free_borrowed_len() > 0);
        let overdue = first.map(|(_, first)| first.arrived_at + self.config.loans.max_local_wait);
        let times = [deadline, promotion, reclaim, delay, start, loan, overdue];
        times.into_iter().flatten().min()
    }

    /// Applies an event and returns the resulting actions.
    pub fn handle(&mut self, event: CallEvent, now: Duration) -> Vec<CallAction> {
        let mut actions = Vec::new();
        self.apply_due(now, &mut actions);
        match event {
            CallEvent::Requested(call) => self.enqueue(call, now, &mut actions),
            CallEvent::Cancelled(request) => self.cancel_waiting(request),
            CallEvent::Returned(grant, result) => self.return_grant(grant, result, now),
            CallEvent::RunnersChanged(runners) => {
                self.runners.replace_runners(runners);
                self.grants.schedule_departed(&self.runners);
            }
            CallEvent::RequesterLost(daemon) => self.remove_requester(&daemon),
            CallEvent::WeightsChanged(weights) => self.lanes.set_weights(weights),
            CallEvent::UrgentShareChanged(percent) => {
                self.config.urgent_share_percent = percent.min(100);
            }
            CallEvent::MaxCallDurationChanged(time) => self.loans.set_max_call_duration(time),
            CallEvent::ZoneLoadChanged(zone, load) => {
                self.loans.add_zone(&zone);
                self.redirect_credits
                    .insert(zone, load.free.div_ceil(REDIRECT_DIVISOR));
            }
            CallEvent::LoanReceived(zone, message) => {
                self.handle_loan_message(&zone, message, now);
            }
            CallEvent::TimerFired => {}
        }
        self.reclaim_due(now);
        self.grant_free_slots(now, &mut actions);
        self.lend_slots(now, &mut actions);
        self.loans
            .return_and_report(self.balance(), now, &mut actions);
        self.redirect_calls(now, &mut actions);
        actions
    }

    /// Applies everything that has become due since the last event.
    fn apply_due(&mut self, now: Duration, actions: &mut Vec<CallAction>) {
        self.grants_start_at = self.grants_start_at.filter(|from| *from > now);
        self.runners.end_delays(now);
        self.update_urgent_load(now);
        self.reject_expired(now, actions);
        self.promote_due(now);
    }

    fn enqueue(&mut self, call: CallRequest, now: Duration, actions: &mut Vec<CallAction>) {
        let is_known = self.arrival_by_request.contains_key(&call.request)
            || self.grants.has_request(call.request);
        if is_known {
            // A duplicate message must not obtain a second slot.
            return;
        }
        if let Some(reason) = self.rejection_reason(&call, now) {
            actions.push(CallAction::Reject(call.request, reason));
            return;
        }
        let arrival = self.next_arrival;
        self.next_arrival += 1;
        let waiting = WaitingCall {
            lane: call.urgency.into(),
            deadline: now.saturating_add(call.remaining),
            promote_at: now.saturating_add(self.config.promotion_period),
            arrived_at: now,
            drain_time: self.drain_time(self.lanes.len_at_or_above(call.urgency.into()) + 1),
            call,
        };
        self.index_call(arrival, &waiting);
        self.waiting.insert(arrival, waiting);
        self.grant_borrowed_at_arrival(arrival, now, actions);
    }

    /// Returns why a new call is not admitted, if it is not.
    fn rejection_reason(&self, call: &CallRequest, now: Duration) -> Option<NotRunReason> {
        let is_urgent = call.urgency == UrgencyClass::Urgent;
        let waiting = if is_urgent {
            self.waiting_urgent
        } else {
            self.waiting.len() - self.waiting_urgent
        };
        match () {
            () if !self.runners.has_live() => Some(NotRunReason::NoTarget),
            () if call.remaining.is_zero() => Some(NotRunReason::DeadlineUnmeetable),
            () if self.has_slot_for(is_urgent, now) => None,
            () if waiting >= self.config.queue_limit => Some(NotRunReason::QueueFull),
            () if self.required_time(call, now) > call.remaining => {
                Some(NotRunReason::DeadlineUnmeetable)
            }
            () => None,
        }
    }

    /// Returns whether a call can be granted a free slot now.
    fn has_slot_for(&self, is_urgent: bool, now: Duration) -> bool {
        let slots = if is_urgent {
            self.free_slots()
        } else {
            self.unreserved_slots()
        };
        slots > 0 && self.remaining_hold_off(now).is_zero()
    }

    /// Returns the time until the hold-off ends.
    fn remaining_hold_off(&self, now: Duration) -> Duration {
        self.grants_start_at.unwrap_or_default().saturating_sub(now)
    }

    /// Returns the time that a new call needs before its deadline: its expected
    /// waiting time and the start margin.
    ///
    /// The margin is at most half of the remaining time, so that calls with
    /// a short deadline are still admitted to a short queue.
    fn required_time(&self, call: &CallRequest, now: Duration) -> Duration {
        let ahead = self.lanes.len_at_or_above(call.urgency.into());
        let drain_time = self.drain_time(ahead + 1);
        let waiting_time = match call.urgency {
            UrgencyClass::Urgent => drain_time,
            _ => drain_time.mul_f64(self.wait_ratio),
        };
        let margin = START_MARGIN_SERVICE_TIMES * self.mean_service_time.unwrap_or_default();
        let margin = Duration::from_secs_f64(margin).min(call.remaining / 2);
        self.remaining_hold_off(now) + waiting_time + margin
    }

    /// Updates the wait ratio with the waiting time of a call.
    ///
    /// Calls of a higher class that arrive later and the slots reserved for
    /// urgent calls raise the ratio above one.
    fn update_wait_ratio(&mut self, waiting: &WaitingCall, now: Duration) {
        let is_urgent = waiting.call.urgency == UrgencyClass::Urgent;
        let expected = waiting.drain_time;
        if is_urgent || expected < self.config.redirect_threshold {
            return;
        }
        let waited = now.saturating_sub(waiting.arrived_at).as_secs_f64();
        let sample = waited / expected.as_secs_f64();
        let (low, high) = WAIT_RATIO_RANGE;
        self.wait_ratio += (sample.clamp(low, high) - self.wait_ratio) * WAIT_RATIO_SMOOTHING;
    }

    /// Returns the time until the given number of waiting calls have their slots.
    fn drain_time(&self, calls: usize) -> Duration {
        let capacity = self.capacity();
        match self.mean_service_time {
            Some(service_time) if capacity > 0 => {
                let calls = u32::try_from(calls).unwrap_or(u32::MAX);
                Duration::from_secs_f64(service_time * f64::from(calls) / f64::from(capacity))
            }
            _ => Duration::ZERO,
        }
    }

    /// Adds a waiting call to its lane and to the indexes.
    fn index_call(&mut self, arrival: ArrivalNumber, waiting: &WaitingCall) {
        let call = &waiting.call;
        self.lanes.push(waiting.lane, call.team.clone(), arrival);
        self.arrival_by_request.insert(call.request, arrival);
        self.deadlines.insert((waiting.deadline, arrival));
        if waiting.lane.promoted().is_some() {
            self.promotions.insert((waiting.promote_at, arrival));
        }
        if !call.redirected {
            self.redirectable.insert(arrival);
        }
        let requester = call.requester.clone();
        self.waiting_by_requester
            .extend(requester.map(|daemon| (daemon, arrival)));
        self.waiting_urgent += usize::from(call.urgency == UrgencyClass::Urgent);
    }

    /// Removes a waiting call from its lane and from the indexes.
    fn remove_waiting(&mut self, arrival: ArrivalNumber) -> Option<WaitingCall> {
        let waiting = self.remove_popped(arrival)?;
        let team = waiting.call.team.clone();
        self.lanes.remove(waiting.lane, team, arrival);
        Some(waiting)
    }

    /// Removes a waiting call, already taken from its lane, from the indexes.
    fn remove_popped(&mut self, arrival: ArrivalNumber) -> Option<WaitingCall> {
        let waiting = self.waiting.remove(&arrival)?;
        let call = &waiting.call;
        self.arrival_by_request.remove(&call.request);
        self.deadlines.remove(&(waiting.deadline, arrival));
        self.promotions.remove(&(waiting.promote_at, arrival));
        self.redirectable.remove(&arrival);
        if let Some(daemon) = &call.requester {
            self.waiting_by_requester.remove(&(daemon.clone(), arrival));
        }
        self.waiting_urgent -= usize::from(call.urgency == UrgencyClass::Urgent);
        Some(waiting)
    }

    fn cancel_waiting(&mut self, request: RequestId) {
        if let Some(arrival) = self.arrival_by_request.get(&request).copied() {
            self.remove_waiting(arrival);
        }
    }

    /// Rejects the waiting calls whose deadline has passed.
    fn reject_expired(&mut self, now: Duration, actions: &mut Vec<CallAction>) {
        while let Some((deadline, arrival)) = self.deadlines.first().copied() {
            if deadline > now {
                return;
            }
            let Some(waiting) = self.remove_waiting(arrival) else {
                continue;
            };
            self.update_wait_ratio(&waiting, now);
            let reason = NotRunReason::DeadlineUnmeetable;
            actions.push(CallAction::Reject(waiting.call.request, reason));
        }
    }

    /// Moves the waiting calls whose promotion is due to the next higher lane.
    fn promote_due(&mut self, now: Duration) {
        while let Some((promote_at, arrival)) = self.promotions.first().copied() {
            if promote_at > now {
                return;
            }
            self.promotions.pop_first();
            let Some(waiting) = self.waiting.get_mut(&arrival) else {
                continue;
            };
            let Some(lane) = waiting.lane.promoted() else {
                continue;
            };
            let team = waiting.call.team.clone();
            self.lanes.remove(waiting.lane, team.clone(), arrival);
            waiting.lane = lane;
            waiting.promote_at = now.saturating_add(self.config.promotion_period);
            if lane.promoted().is_some() {
                self.promotions.insert((waiting.promote_at, arrival));
            }
            self.lanes.push(lane, team, arrival);
        }
    }

    /// Grants free slots to waiting calls.
    fn grant_free_slots(&mut self, now: Duration, actions: &mut Vec<CallAction>) {
        while self.free_slots() > 0 && self.remaining_hold_off(now).is_zero() {
            let arrival = if self.runners.idle_slots() > 0 || self.has_overdue_call(now) {
                self.lanes.pop(self.unreserved_slots() > 0)
            } else {
                self.pop_for_borrowed_slot()
            };
            let Some(arrival) = arrival else {
                return;
            };
            let waiting = self.remove_popped(arrival);
            actions.extend(waiting.and_then(|waiting| self.grant_slot(waiting, now)));
        }
    }

    /// Grants a borrowed slot to a new call if enough calls wait before it.
    fn grant_borrowed_at_arrival(
        &mut self,
        arrival: ArrivalNumber,
        now: Duration,
        actions: &mut Vec<CallAction>,
    ) {
        let has_only_borrowed =
            self.runners.idle_slots() == 0 && self.loans.free_borrowed_len() > 0;
        let can_grant = self.unreserved_slots() > 0 && self.remaining_hold_off(now).is_zero();
        let local_grants = self.expected_local_grants(self.config.loans.arrival_wait_threshold);
        if has_only_borrowed && can_grant && self.waiting.len() > local_grants {
            let waiting = self.remove_waiting(arrival);
            actions.extend(waiting.and_then(|waiting| self.grant_slot(waiting, now)));
        }
    }

    /// Removes the call that should use a borrowed slot from its lane.
    ///
    /// This is the newest call: the oldest ones get a local slot soonest, and a
    /// local slot needs no hop between zones. If only slots reserved for urgent
    /// calls are left, it is the first urgent call.
    fn pop_for_borrowed_slot(&mut self) -> Option<ArrivalNumber> {
        if self.waiting.len() <= self.expected_local_grants(self.config.loans.queued_wait_threshold)
        {
            return None;
        }
        if self.unreserved_slots() == 0 {
            return self.lanes.pop(false);
        }
        let (arrival, waiting) = self.waiting.last_key_value()?;
        let team = waiting.call.team.clone();
        self.lanes.remove(waiting.lane, team, *arrival);
        Some(*arrival)
    }

    /// Returns how many calls are expected to get a local slot within a time.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the quotient is finite and not negative, and a cast saturates"
    )]
    fn expected_local_grants(&self, time: Duration) -> usize {
        let local = self.runners.capacity();
        let local = f64::from(local.saturating_sub(self.loans.lent_len()));
        let service_time = self.mean_service_time.filter(|mean| *mean > 0.0);
        service_time.map_or(0, |mean| (local * time.as_secs_f64() / mean) as usize)
    }

    /// Returns whether the oldest call has waited too long for a local slot.
    fn has_overdue_call(&self, now: Duration) -> bool {
        let first = self.waiting.first_key_value();
        first.is_some_and(|(_, first)| first.arrived_at + self.config.loans.max_local_wait <= now)
    }

    fn grant_slot(&mut self, waiting: WaitingCall, now: Duration) -> Option<CallAction> {
        self.update_wait_ratio(&waiting, now);
        let slot = self.take_slot()?;
        let grant = self
            .grants
            .insert(waiting.call, slot, waiting.deadline, now);
        Some(CallAction::Grant(grant))
    }

    /// Takes a local slot, or a borrowed one if no local slot is free.
    fn take_slot(&mut self) -> Option<GrantedSlot> {
        let local = self.runners.take_slot().map(GrantedSlot::Local);
        local.or_else(|| self.loans.take_slot().map(GrantedSlot::Borrowed))
    }

    /// Returns the number of free slots, local and borrowed.
    fn free_slots(&self) -> u32 {
        self.runners.idle_slots() + self.loans.free_borrowed_len()
    }

    /// Returns the number of slots that serve this queue, free or busy.
    fn capacity(&self) -> u32 {
        let local = self.runners.capacity();
        local.saturating_sub(self.loans.lent_len()) + self.loans.borrowed_len()
    }

    /// Returns the number of unreserved free slots less that of waiting calls.
    fn balance(&self) -> i64 {
        let waiting = i64::try_from(self.waiting.len()).unwrap_or(i64::MAX);
        i64::from(self.unreserved_slots()) - waiting
    }

    fn handle_loan_message(&mut self, zone: &ZoneId, message: LoanMessage, now: Duration) {
        let is_current = self.loans.update_zone(zone, &message);
        match message.body {
            LoanBody::Return { loan, slots } => {
                for runner in self.loans.accept_return(loan, &slots) {
                    self.runners.release_slot(&runner, GrantResult::Unused, now);
                }
            }
            LoanBody::Offer {
                ask_epoch,
                asked_at,
                loan,
                runners,
            } if is_current => {
                let ask = (ask_epoch, asked_at);
                self.loans.accept_offer(zone, ask, (loan, runners), now);
            }
            LoanBody::Ask { sent_at, wanted } if is_current => {
                self.loans.record_ask(zone, sent_at, wanted);
            }
            LoanBody::Offer { .. } | LoanBody::Ask { .. } => {}
        }
    }

    /// Moves unreserved slots to owners with a lower balance.
    ///
    /// An owner first gets back the free slots that it has lent. Borrowed slots
    /// are not lent to a third owner, since their lender could not track them.
    fn lend_slots(&mut self, now: Duration, actions: &mut Vec<CallAction>) {
        if !self.remaining_hold_off(now).is_zero() {
            return;
        }
        while let Some((zone, amount)) = self.loans.next_transfer(self.balance()) {
            let returned = self.loans.return_free_slots(&zone, amount);
            let amount = amount - returned;
            let runners: Vec<_> = (0..amount)
                .map_while(|_| self.runners.take_slot())
                .collect();
            if runners.is_empty() {
                return;
            }
            let balance = self.balance();
            actions.push(self.loans.lend(&zone, runners, balance, now));
        }
    }

    /// Returns the number of free slots that are not reserved for urgent calls.
    fn unreserved_slots(&self) -> u32 {
        let reserved = self
            .urgent_reserve()
            .saturating_sub(self.grants.urgent_len());
        self.free_slots().saturating_sub(reserved)
    }

    /// Returns the maximum number of slots that are reserved for urgent calls.
    fn urgent_share(&self) -> u32 {
        (self.capacity() * self.config.urgent_share_percent).div_ceil(100)
    }

    /// Returns the number of slots that are reserved for urgent calls, in use or
    /// free.
    ///
    /// It is the mean urgent load and one standard deviation of a Poisson load,
    /// which covers most of its variation; a larger margin would leave slots idle.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the mean is between zero and twice the number of slots"
    )]
    fn urgent_reserve(&self) -> u32 {
        let share = self.urgent_share();
        let mean = self.mean_urgent_load.min(f64::from(share));
        let needed = mean + mean.sqrt();
        (needed.ceil() as u32).min(share)
    }

    /// Updates the moving average of the urgent load, which is constant between
    /// events.
    fn update_urgent_load(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.urgent_load_updated_at);
        self.urgent_load_updated_at = now;
        if self.capacity() == 0 {
            // Without slots no urgent call is admitted, so the load is not known.
            return;
        }
        let share = f64::from(self.urgent_share());
        let waiting = u32::try_from(self.waiting_urgent).unwrap_or(u32::MAX);
        let load = f64::from(self.grants.urgent_len().saturating_add(waiting)).min(share);
        let decay = (-elapsed.as_secs_f64() / URGENT_LOAD_TIME_CONSTANT.as_secs_f64()).exp();
        self.mean_urgent_load = load + (self.mean_urgent_load.min(share) - load) * decay;
    }

    fn return_grant(&mut self, grant: GrantId, result: GrantResult, now: Duration) {
        let Some(entry) = self.grants.remove(grant) else {
            return;
        };
        if result == GrantResult::Answered {
            self.update_service_time(now.saturating_sub(entry.granted_at));
        }
        match entry.slot {
            GrantedSlot::Local(runner) => self.runners.release_slot(&runner, result, now),
            GrantedSlot::Borrowed(slot) => {
                if result == GrantResult::Rejected {
                    self.loans.evict_lender(&slot.slot_lender());
                }
                let is_usable = matches!(result, GrantResult::Answered | GrantResult::Unused);
                self.loans.release_slot(slot, is_usable, now);
            }
        }
    }

    fn update_service_time(&mut self, sample: Duration) {
        let sample = sample.as_secs_f64();
        let mean = self.mean_service_time.unwrap_or(sample);
        self.mean_service_time = Some(mean + (sample - mean) * SERVICE_TIME_SMOOTHING);
    }

    /// Removes the waiting calls of a lost daemon and schedules its grants for
    /// reclaim.
    fn remove_requester(&mut self, daemon: &DaemonId) {
        let waiting = (daemon.clone(), ArrivalNumber::MIN)..=(daemon.clone(), ArrivalNumber::MAX);
        let waiting: Vec<_> = self.waiting_by_requester.range(waiting).cloned().collect();
        for (_, arrival) in waiting {
            self.remove_waiting(arrival);
        }
        self.grants.orphan_requester(daemon);
    }

    /// Frees the slots of expired loans and of grants that were not returned.
    fn reclaim_due(&mut self, now: Duration) {
        for runner in self.loans.reclaim_expired(now) {
            self.runners.release_slot(&runner, GrantResult::Unused, now);
        }
        while let Some(grant) = self.grants.pop_reclaimable(&self.runners, now) {
            self.return_grant(grant, GrantResult::Unused, now);
        }
    }

    /// Redirects the oldest calls while the drain time of the queue is at or above
    /// the threshold, or while no slot serves it.
    fn redirect_calls(&mut self, now: Duration, actions: &mut Vec<CallAction>) {
        while let Some(arrival) = self.redirectable.first().copied() {
            let is_queue_long =
                self.drain_time(self.waiting.len()) >= self.config.redirect_threshold;
            let is_blocked = self.capacity() == 0;
            let zone = self
                .redirect_credits
                .iter()
                .max_by_key(|(_, credits)| **credits);
            let zone = zone.filter(|(_, credits)| **credits > 0);
            let Some(zone) = zone
                .filter(|_| is_queue_long || is_blocked)
                .map(|(zone, _)| zone.clone())
            else {
                return;
            };
            self.redirectable.remove(&arrival);
            let deadline = self.waiting.get(&arrival).map(|waiting| waiting.deadline);
            let arrives_at = now + self.config.redirect_latency;
            if deadline.is_none_or(|deadline| deadline <= arrives_at) {
                continue;
            }
            if let Some(credits) = self.redirect_credits.get_mut(&zone) {
                *credits -= 1;
            }
            let waiting = self.remove_waiting(arrival);
            actions.extend(waiting.map(|waiting| CallAction::Redirect(waiting.call.request, zone)));
        }
    }
}
