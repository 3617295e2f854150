//! The queue of one call shard.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    config::CallConfig,
    grants::{GrantTable, TakenSlot},
    lanes::{Arrival, CallLanes, LaneName},
    loans::LoanBook,
    messages::{CallAction, CallEvent, CallLoad, CallRequest, GrantResult},
    messages::{LoanBody, LoanMessage},
    runners::RunnerTable,
};
use crate::types::{DaemonId, Epoch, GrantId, NotRunReason, RequestId, UrgencyClass, ZoneId};

/// Weight of the newest sample in the mean service time.
///
/// Service times are heavy-tailed, so a short average would follow single calls.
const SERVICE_TIME_GAIN: f64 = 1.0 / 64.0;

/// Mean service times that a call admitted to the queue should have left at its start.
///
/// With heavy-tailed service times most calls end within four means; with less
/// time, many would hold a slot past their deadline and be of no use.
const START_MARGIN: f64 = 4.0;

/// Weight of the newest sample in the bias of the expected waiting time.
const BIAS_GAIN: f64 = 1.0 / 256.0;

/// Time constant of the mean number of urgent calls that run or wait.
///
/// It is ten mean service times of a short call, so that single calls do not
/// move the reserve.
const URGENT_PERIOD: Duration = Duration::from_secs(1);

/// Bounds of the bias, so that a fault cannot make it reject or admit everything.
const BIAS_RANGE: (f64, f64) = (0.5, 8.0);

/// Part of the free slots of another zone that one load report lets calls use.
///
/// Its own callers and a third zone use the same slots before the next report.
const REDIRECT_DIVISOR: u32 = 2;

/// A call that waits for a slot.
#[derive(Clone, Debug)]
struct WaitingCall {
    call: CallRequest,
    lane: LaneName,
    deadline: Duration,
    promote_at: Duration,
    arrived_at: Duration,
    /// Time in which the slots alone would serve the calls ahead.
    drain_time: Duration,
}

/// The calls of one shard that wait or run, and the slots of its runners.
#[derive(Clone, Debug)]
pub struct CallQueue {
    config: CallConfig,
    /// When grants begin; `None` once they have.
    granting_from: Option<Duration>,
    pub(super) runners: RunnerTable,
    pub(super) loans: LoanBook,
    lanes: CallLanes,
    waiting: BTreeMap<Arrival, WaitingCall>,
    pub(super) waiting_urgent: usize,
    arrivals: BTreeMap<RequestId, Arrival>,
    deadlines: BTreeSet<(Duration, Arrival)>,
    promotions: BTreeSet<(Duration, Arrival)>,
    redirectable: BTreeSet<Arrival>,
    waiting_of: BTreeSet<(DaemonId, Arrival)>,
    grants: GrantTable,
    zone_credits: BTreeMap<ZoneId, u32>,
    service_time: Option<f64>,
    /// Mean number of urgent calls that run or wait, at most their share.
    urgent_mean: f64,
    urgent_noted_at: Duration,
    /// Measured waiting time relative to the drain time, for calls that are not urgent.
    wait_bias: f64,
    next_arrival: Arrival,
}

impl CallQueue {
    /// Returns an empty queue without runners, created at time zero.
    #[must_use]
    pub fn new(config: CallConfig) -> Self {
        Self::new_at(config, Duration::ZERO)
    }

    /// Returns an empty queue that grants nothing before its hold-off has passed.
    #[must_use]
    pub fn new_at(config: CallConfig, now: Duration) -> Self {
        Self {
            config,
            granting_from: Some(now + config.hold_off),
            runners: RunnerTable::default(),
            loans: LoanBook::new(config.loans, 0),
            lanes: CallLanes::default(),
            waiting: BTreeMap::new(),
            waiting_urgent: 0,
            arrivals: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            promotions: BTreeSet::new(),
            redirectable: BTreeSet::new(),
            waiting_of: BTreeSet::new(),
            grants: GrantTable::new(),
            zone_credits: BTreeMap::new(),
            service_time: None,
            // The whole share is kept until the load has been observed.
            urgent_mean: f64::INFINITY,
            urgent_noted_at: now,
            wait_bias: 1.0,
            next_arrival: 0,
        }
    }

    /// Sets the epoch that the loans of this queue carry.
    #[must_use]
    pub fn with_epoch(mut self, epoch: Epoch) -> Self {
        self.loans = LoanBook::new(self.config.loans, epoch);
        self
    }

    /// Returns the number of calls that wait.
    #[must_use]
    pub fn waiting_len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of slots in use.
    #[must_use]
    pub fn granted_len(&self) -> usize {
        self.grants.len()
    }

    /// Returns the number of runners on probation.
    #[must_use]
    pub const fn probation_len(&self) -> usize {
        self.runners.on_probation()
    }

    /// Returns the load to report to other zones.
    #[must_use]
    pub fn load(&self) -> CallLoad {
        CallLoad {
            free: self.open_slots(),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
        }
    }

    /// Returns when [`CallEvent::TimerFired`] is due next.
    #[must_use]
    pub fn next_timer(&self) -> Option<Duration> {
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        let promotion = self.promotions.first().map(|(at, _)| *at);
        let reclaim = self.grants.next_reclaim();
        let pause = self.runners.next_pause();
        let start = self.granting_from.filter(|_| !self.waiting.is_empty());
        let loan = self.loans.next_timer(!self.waiting.is_empty());
        let first = self.waiting.first_key_value();
        let first = first.filter(|_| self.loans.stock_len() > 0);
        let overdue = first.map(|(_, first)| first.arrived_at + self.config.loans.longest_own_wait);
        let times = [deadline, promotion, reclaim, pause, start, loan, overdue];
        times.into_iter().flatten().min()
    }

    /// Applies an event and returns what is to be done.
    pub fn handle(&mut self, event: CallEvent, now: Duration) -> Vec<CallAction> {
        let mut actions = Vec::new();
        self.advance(now, &mut actions);
        match event {
            CallEvent::Requested(call) => self.enqueue(call, now, &mut actions),
            CallEvent::Cancelled(request) => self.cancel(request),
            CallEvent::Returned(grant, result) => self.return_grant(grant, result, now),
            CallEvent::RunnersChanged(runners) => {
                self.runners.replace(runners);
                self.grants.note_departed(&self.runners);
            }
            CallEvent::RequesterLost(daemon) => self.lose_requester(&daemon),
            CallEvent::WeightsChanged(weights) => self.lanes.set_weights(weights),
            CallEvent::UrgentShareChanged(percent) => {
                self.config.urgent_share_percent = percent.min(100);
            }
            CallEvent::MaxCallDurationChanged(time) => self.loans.set_longest_call(time),
            CallEvent::ZoneLoadChanged(zone, load) => {
                self.loans.note_zone(&zone);
                self.zone_credits
                    .insert(zone, load.free.div_ceil(REDIRECT_DIVISOR));
            }
            CallEvent::LoanReceived(zone, message) => {
                self.note_loan(&zone, message, now);
            }
            CallEvent::TimerFired => {}
        }
        self.reclaim(now);
        self.grant_free(now, &mut actions);
        self.lend(now, &mut actions);
        self.loans.settle(self.balance(), now, &mut actions);
        self.redirect(now, &mut actions);
        actions
    }

    /// Applies everything that became due since the last event.
    fn advance(&mut self, now: Duration, actions: &mut Vec<CallAction>) {
        self.granting_from = self.granting_from.filter(|from| *from > now);
        self.runners.end_pauses(now);
        self.note_urgent_load(now);
        self.expire(now, actions);
        self.promote(now);
    }

    fn enqueue(&mut self, call: CallRequest, now: Duration, actions: &mut Vec<CallAction>) {
        let is_known =
            self.arrivals.contains_key(&call.request) || self.grants.has_request(call.request);
        if is_known {
            // A repeated message must not obtain a second slot.
            return;
        }
        if let Some(reason) = self.rejection(&call, now) {
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
            drain_time: self.drain_time(self.lanes.len_from(call.urgency.into()) + 1),
            call,
        };
        self.index(arrival, &waiting);
        self.waiting.insert(arrival, waiting);
        self.borrow_at_once(arrival, now, actions);
    }

    fn rejection(&self, call: &CallRequest, now: Duration) -> Option<NotRunReason> {
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
            () if self.expected_time(call, now) > call.remaining => {
                Some(NotRunReason::DeadlineUnmeetable)
            }
            () => None,
        }
    }

    fn has_slot_for(&self, is_urgent: bool, now: Duration) -> bool {
        let slots = if is_urgent {
            self.free_slots()
        } else {
            self.open_slots()
        };
        slots > 0 && self.hold_off(now).is_zero()
    }

    /// Returns the time until grants begin.
    fn hold_off(&self, now: Duration) -> Duration {
        self.granting_from.unwrap_or_default().saturating_sub(now)
    }

    /// Returns the expected waiting time of a new call and its start margin.
    ///
    /// The margin takes at most half of the remaining time, so that calls with
    /// a short deadline are still admitted to a short queue.
    fn expected_time(&self, call: &CallRequest, now: Duration) -> Duration {
        let ahead = self.lanes.len_from(call.urgency.into());
        let drain_time = self.drain_time(ahead + 1);
        let waiting_time = match call.urgency {
            UrgencyClass::Urgent => drain_time,
            _ => drain_time.mul_f64(self.wait_bias),
        };
        let margin = START_MARGIN * self.service_time.unwrap_or_default();
        let margin = Duration::from_secs_f64(margin).min(call.remaining / 2);
        self.hold_off(now) + waiting_time + margin
    }

    /// Corrects the bias, which more urgent calls and their share raise.
    fn note_waiting_time(&mut self, waiting: &WaitingCall, now: Duration) {
        let is_urgent = waiting.call.urgency == UrgencyClass::Urgent;
        let expected = waiting.drain_time;
        if is_urgent || expected < self.config.redirect_threshold {
            return;
        }
        let waited = now.saturating_sub(waiting.arrived_at).as_secs_f64();
        let sample = waited / expected.as_secs_f64();
        let (low, high) = BIAS_RANGE;
        self.wait_bias += (sample.clamp(low, high) - self.wait_bias) * BIAS_GAIN;
    }

    /// Returns the time in which a number of waiting calls get their slots.
    fn drain_time(&self, calls: usize) -> Duration {
        let capacity = self.capacity();
        match self.service_time {
            Some(service_time) if capacity > 0 => {
                let calls = u32::try_from(calls).unwrap_or(u32::MAX);
                Duration::from_secs_f64(service_time * f64::from(calls) / f64::from(capacity))
            }
            _ => Duration::ZERO,
        }
    }

    fn index(&mut self, arrival: Arrival, waiting: &WaitingCall) {
        let call = &waiting.call;
        self.lanes.push(waiting.lane, call.team.clone(), arrival);
        self.arrivals.insert(call.request, arrival);
        self.deadlines.insert((waiting.deadline, arrival));
        if waiting.lane.promoted().is_some() {
            self.promotions.insert((waiting.promote_at, arrival));
        }
        if !call.redirected {
            self.redirectable.insert(arrival);
        }
        let requester = call.requester.clone();
        self.waiting_of
            .extend(requester.map(|daemon| (daemon, arrival)));
        self.waiting_urgent += usize::from(call.urgency == UrgencyClass::Urgent);
    }

    /// Removes a waiting call that is still in its lane.
    fn remove(&mut self, arrival: Arrival) -> Option<WaitingCall> {
        let waiting = self.remove_popped(arrival)?;
        let team = waiting.call.team.clone();
        self.lanes.remove(waiting.lane, team, arrival);
        Some(waiting)
    }

    /// Removes a waiting call whose lane has given it out.
    fn remove_popped(&mut self, arrival: Arrival) -> Option<WaitingCall> {
        let waiting = self.waiting.remove(&arrival)?;
        let call = &waiting.call;
        self.arrivals.remove(&call.request);
        self.deadlines.remove(&(waiting.deadline, arrival));
        self.promotions.remove(&(waiting.promote_at, arrival));
        self.redirectable.remove(&arrival);
        if let Some(daemon) = &call.requester {
            self.waiting_of.remove(&(daemon.clone(), arrival));
        }
        self.waiting_urgent -= usize::from(call.urgency == UrgencyClass::Urgent);
        Some(waiting)
    }

    fn cancel(&mut self, request: RequestId) {
        if let Some(arrival) = self.arrivals.get(&request).copied() {
            self.remove(arrival);
        }
    }

    fn expire(&mut self, now: Duration, actions: &mut Vec<CallAction>) {
        while let Some((deadline, arrival)) = self.deadlines.first().copied() {
            if deadline > now {
                return;
            }
            let Some(waiting) = self.remove(arrival) else {
                continue;
            };
            self.note_waiting_time(&waiting, now);
            let reason = NotRunReason::DeadlineUnmeetable;
            actions.push(CallAction::Reject(waiting.call.request, reason));
        }
    }

    fn promote(&mut self, now: Duration) {
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

    fn grant_free(&mut self, now: Duration, actions: &mut Vec<CallAction>) {
        while self.free_slots() > 0 && self.hold_off(now).is_zero() {
            let arrival = if self.runners.spare() > 0 || self.has_overdue(now) {
                self.lanes.pop(self.open_slots() > 0)
            } else {
                self.next_borrower()
            };
            let Some(arrival) = arrival else {
                return;
            };
            let waiting = self.remove_popped(arrival);
            actions.extend(waiting.and_then(|waiting| self.grant(waiting, now)));
        }
    }

    /// Grants a borrowed slot to a new call that finds enough calls waiting.
    fn borrow_at_once(&mut self, arrival: Arrival, now: Duration, actions: &mut Vec<CallAction>) {
        let is_offered = self.runners.spare() == 0 && self.loans.stock_len() > 0;
        let is_open = self.open_slots() > 0 && self.hold_off(now).is_zero();
        let waiters = self.own_waiters(self.config.loans.own_wait_at_arrival);
        if is_offered && is_open && self.waiting.len() > waiters {
            let waiting = self.remove(arrival);
            actions.extend(waiting.and_then(|waiting| self.grant(waiting, now)));
        }
    }

    /// Takes the call that should use a borrowed slot from its lane.
    ///
    /// It is the newest one, since the first ones get an own slot soonest, and
    /// an own slot needs no hop between zones. Only urgent calls may use the
    /// slots kept for them, in their order.
    fn next_borrower(&mut self) -> Option<Arrival> {
        if self.waiting.len() <= self.own_waiters(self.config.loans.own_wait) {
            return None;
        }
        if self.open_slots() == 0 {
            return self.lanes.pop(false);
        }
        let (arrival, waiting) = self.waiting.last_key_value()?;
        let team = waiting.call.team.clone();
        self.lanes.remove(waiting.lane, team, *arrival);
        Some(*arrival)
    }

    /// Returns how many calls are expected to get an own slot within a time.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the quotient is finite and not negative, and a cast saturates"
    )]
    fn own_waiters(&self, time: Duration) -> usize {
        let own = self.runners.capacity();
        let own = f64::from(own.saturating_sub(self.loans.lent_len()));
        let service_time = self.service_time.filter(|mean| *mean > 0.0);
        service_time.map_or(0, |mean| (own * time.as_secs_f64() / mean) as usize)
    }

    /// Tells whether the first call has waited too long for an own slot.
    fn has_overdue(&self, now: Duration) -> bool {
        let first = self.waiting.first_key_value();
        first.is_some_and(|(_, first)| first.arrived_at + self.config.loans.longest_own_wait <= now)
    }

    fn grant(&mut self, waiting: WaitingCall, now: Duration) -> Option<CallAction> {
        self.note_waiting_time(&waiting, now);
        let slot = self.take_slot()?;
        let grant = self.grants.hold(waiting.call, slot, waiting.deadline, now);
        Some(CallAction::Grant(grant))
    }

    /// Takes an own slot, or a borrowed one if no own slot is free.
    fn take_slot(&mut self) -> Option<TakenSlot> {
        let own = self.runners.take().map(TakenSlot::Own);
        own.or_else(|| self.loans.take().map(TakenSlot::Borrowed))
    }

    /// Returns the free slots, own and borrowed.
    fn free_slots(&self) -> u32 {
        self.runners.spare() + self.loans.stock_len()
    }

    /// Returns the slots that serve this queue, free or busy.
    fn capacity(&self) -> u32 {
        let own = self.runners.capacity();
        own.saturating_sub(self.loans.lent_len()) + self.loans.borrowed_len()
    }

    /// Returns the open slots less the waiting calls.
    fn balance(&self) -> i64 {
        let waiting = i64::try_from(self.waiting.len()).unwrap_or(i64::MAX);
        i64::from(self.open_slots()) - waiting
    }

    fn note_loan(&mut self, zone: &ZoneId, message: LoanMessage, now: Duration) {
        let is_current = self.loans.note_sender(zone, &message);
        match message.body {
            LoanBody::Return { loan, slots } => {
                for runner in self.loans.take_back(loan, &slots) {
                    self.runners.release(&runner, GrantResult::Unused, now);
                }
            }
            LoanBody::Offer {
                ask_epoch,
                asked_at,
                loan,
                runners,
            } if is_current => {
                let ask = (ask_epoch, asked_at);
                self.loans.accept(zone, ask, (loan, runners), now);
            }
            LoanBody::Ask { sent_at, wanted } if is_current => {
                self.loans.note_ask(zone, sent_at, wanted);
            }
            LoanBody::Offer { .. } | LoanBody::Ask { .. } => {}
        }
    }

    /// Gives back and lends open slots to owners that are shorter of them.
    ///
    /// Borrowed slots are not lent on, since their lender could not follow them.
    fn lend(&mut self, now: Duration, actions: &mut Vec<CallAction>) {
        if !self.hold_off(now).is_zero() {
            return;
        }
        while let Some((zone, amount)) = self.loans.next_transfer(self.balance()) {
            let returned = self.loans.recall(&zone, amount);
            let amount = amount - returned;
            let runners: Vec<_> = (0..amount).map_while(|_| self.runners.take()).collect();
            if runners.is_empty() {
                return;
            }
            let balance = self.balance();
            actions.push(self.loans.lend(&zone, runners, balance, now));
        }
    }

    /// Returns the free slots that are not kept for urgent calls.
    fn open_slots(&self) -> u32 {
        let kept = self
            .urgent_reserve()
            .saturating_sub(self.grants.urgent_len());
        self.free_slots().saturating_sub(kept)
    }

    /// Returns the slots that urgent calls may use at most before others.
    fn urgent_share(&self) -> u32 {
        (self.capacity() * self.config.urgent_share_percent).div_ceil(100)
    }

    /// Returns the slots that are kept for urgent calls, in use or free.
    ///
    /// The margin of one standard deviation of a Poisson load covers most of
    /// its variation; more would leave slots idle.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the mean is between zero and twice the number of slots"
    )]
    fn urgent_reserve(&self) -> u32 {
        let share = self.urgent_share();
        let mean = self.urgent_mean.min(f64::from(share));
        let needed = mean + mean.sqrt();
        (needed.ceil() as u32).min(share)
    }

    /// Moves the mean of the urgent load towards its value since the last event.
    fn note_urgent_load(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.urgent_noted_at);
        self.urgent_noted_at = now;
        if self.capacity() == 0 {
            // Without runners nothing can be observed.
            return;
        }
        let share = f64::from(self.urgent_share());
        let waiting = u32::try_from(self.waiting_urgent).unwrap_or(u32::MAX);
        let load = f64::from(self.grants.urgent_len().saturating_add(waiting)).min(share);
        let kept = (-elapsed.as_secs_f64() / URGENT_PERIOD.as_secs_f64()).exp();
        self.urgent_mean = load + (self.urgent_mean.min(share) - load) * kept;
    }

    fn return_grant(&mut self, grant: GrantId, result: GrantResult, now: Duration) {
        let Some(held) = self.grants.remove(grant) else {
            return;
        };
        if result == GrantResult::Answered {
            self.note_service_time(now.saturating_sub(held.granted_at));
        }
        match held.slot {
            TakenSlot::Own(runner) => self.runners.release(&runner, result, now),
            TakenSlot::Borrowed(slot) => {
                if result == GrantResult::Rejected {
                    self.loans.drop_lender(&slot.slot_lender());
                }
                let is_usable = matches!(result, GrantResult::Answered | GrantResult::Unused);
                self.loans.release(slot, is_usable, now);
            }
        }
    }

    fn note_service_time(&mut self, sample: Duration) {
        let sample = sample.as_secs_f64();
        let mean = self.service_time.unwrap_or(sample);
        self.service_time = Some(mean + (sample - mean) * SERVICE_TIME_GAIN);
    }

    fn lose_requester(&mut self, daemon: &DaemonId) {
        let waiting = (daemon.clone(), Arrival::MIN)..=(daemon.clone(), Arrival::MAX);
        let waiting: Vec<_> = self.waiting_of.range(waiting).cloned().collect();
        for (_, arrival) in waiting {
            self.remove(arrival);
        }
        self.grants.orphan(daemon);
    }

    fn reclaim(&mut self, now: Duration) {
        for runner in self.loans.reclaim(now) {
            self.runners.release(&runner, GrantResult::Unused, now);
        }
        while let Some(grant) = self.grants.next_reclaimed(&self.runners, now) {
            self.return_grant(grant, GrantResult::Unused, now);
        }
    }

    /// Redirects the oldest calls while the queue is longer than the threshold.
    fn redirect(&mut self, now: Duration, actions: &mut Vec<CallAction>) {
        while let Some(arrival) = self.redirectable.first().copied() {
            let is_worth_it = self.drain_time(self.waiting.len()) >= self.config.redirect_threshold;
            let is_blocked = self.capacity() == 0;
            let zone = self.zone_credits.iter().max_by_key(|(_, free)| **free);
            let zone = zone.filter(|(_, free)| **free > 0);
            let Some(zone) = zone
                .filter(|_| is_worth_it || is_blocked)
                .map(|(zone, _)| zone.clone())
            else {
                return;
            };
            self.redirectable.remove(&arrival);
            let deadline = self.waiting.get(&arrival).map(|waiting| waiting.deadline);
            let latest = now + self.config.redirect_latency;
            if deadline.is_none_or(|deadline| deadline <= latest) {
                continue;
            }
            if let Some(free) = self.zone_credits.get_mut(&zone) {
                *free -= 1;
            }
            let waiting = self.remove(arrival);
            actions.extend(waiting.map(|waiting| CallAction::Redirect(waiting.call.request, zone)));
        }
    }
}
