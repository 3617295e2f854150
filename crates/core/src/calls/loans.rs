//! Loans of runner slots between the owners of one service in different zones.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    config::LoanConfig,
    messages::{CallAction, LoanBody, LoanKey, LoanMessage, SlotLender},
};
use crate::types::{Epoch, RunnerId, ZoneId};

/// Time after which an owner that wants slots repeats an unchanged request, in
/// case the message was lost.
const ASK_REPEAT_INTERVAL: Duration = Duration::from_millis(100);

/// A slot of another zone's runner that this owner may grant.
///
/// The order is by expiry, so the last slot has the longest time left.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct BorrowedSlot {
    expires_at: Duration,
    lender: ZoneId,
    loan: LoanKey,
    /// Position of the slot in the offer.
    index: u32,
    pub(super) runner: RunnerId,
}

impl BorrowedSlot {
    /// Returns the shard and epoch that the runner checks.
    pub(super) fn slot_lender(&self) -> SlotLender {
        SlotLender {
            zone: self.lender.clone(),
            epoch: self.loan.epoch,
        }
    }
}

/// State of the message exchange with the owner in another zone.
#[derive(Clone, Debug, Default)]
struct ZoneState {
    epoch: Epoch,
    /// Free slots less waiting calls, as last reported by the other owner.
    balance: i64,
    /// Slots that the other owner has requested and not yet been offered.
    wanted: u32,
    /// Time of the latest request, on the other owner's clock.
    asked_at: Duration,
    /// Number of slots in each offer or return that the other owner has not
    /// acknowledged, by sequence number.
    unacked: BTreeMap<u64, u32>,
    /// Sequence number of the last offer or return to the other owner.
    last_sent: u64,
    /// Highest sequence number received from the other owner.
    last_received: u64,
    /// Balance in the last request to the other owner, and its time.
    last_report: Option<(i64, Duration)>,
}

impl ZoneState {
    /// Returns the balance of the other owner once it has received all offers and
    /// returns in flight.
    fn expected_balance(&self) -> i64 {
        self.balance + i64::from(self.unacked.values().sum::<u32>())
    }
}

/// Slots of local runners that another owner may grant.
#[derive(Clone, Debug)]
struct LentSlots {
    /// The runner of each slot, by the slot's position in the offer.
    runners: BTreeMap<u32, RunnerId>,
}

/// The slots that one owner has lent and borrowed.
#[derive(Clone, Debug)]
pub(super) struct LoanTable {
    config: LoanConfig,
    epoch: Epoch,
    zones: BTreeMap<ZoneId, ZoneState>,
    /// Loans to other owners by number.
    lent: BTreeMap<u64, LentSlots>,
    lent_len: u32,
    /// When each loan to another owner is reclaimed, with its number.
    reclaims: BTreeSet<(Duration, u64)>,
    free_borrowed: BTreeSet<BorrowedSlot>,
    borrowed_in_use: u32,
    /// Loans that were accepted, with the time until which a call may run on
    /// their slots.
    accepted: BTreeMap<(ZoneId, LoanKey), Duration>,
    /// Slots to be returned with the next messages.
    pending_returns: BTreeMap<(ZoneId, LoanKey), Vec<u32>>,
    next_loan: u64,
}

impl LoanTable {
    /// Returns an empty table for an owner's epoch.
    pub(super) const fn new(config: LoanConfig, epoch: Epoch) -> Self {
        Self {
            config,
            epoch,
            zones: BTreeMap::new(),
            lent: BTreeMap::new(),
            lent_len: 0,
            reclaims: BTreeSet::new(),
            free_borrowed: BTreeSet::new(),
            borrowed_in_use: 0,
            accepted: BTreeMap::new(),
            pending_returns: BTreeMap::new(),
            next_loan: 1,
        }
    }

    /// Sets the longest time that a call may run.
    ///
    /// New calls on lent slots may run for that time, so a longer time defers the
    /// reclaim of existing loans. A shorter one does not bring it forward, since
    /// calls that were granted before may still run.
    pub(super) fn set_max_call_duration(&mut self, time: Duration) {
        let added = time.saturating_sub(self.config.max_call_duration);
        self.config.max_call_duration = time;
        let reclaims = std::mem::take(&mut self.reclaims);
        let reclaims = reclaims.into_iter();
        self.reclaims = reclaims.map(|(at, number)| (at + added, number)).collect();
        self.accepted.values_mut().for_each(|until| *until += added);
    }

    /// Returns the number of borrowed slots that are free.
    pub(super) fn free_borrowed_len(&self) -> u32 {
        u32::try_from(self.free_borrowed.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of borrowed slots, free or in use.
    pub(super) fn borrowed_len(&self) -> u32 {
        self.free_borrowed_len() + self.borrowed_in_use
    }

    /// Returns the number of slots that are lent to other owners.
    pub(super) const fn lent_len(&self) -> u32 {
        self.lent_len
    }

    /// Returns when a loan expires or, with calls waiting, a request is repeated.
    pub(super) fn next_timer(&self, has_waiting: bool) -> Option<Duration> {
        let expiry = self.free_borrowed.first().map(|slot| slot.expires_at);
        let reclaim = self.reclaims.first().map(|(at, _)| *at);
        let reports = self.zones.values().filter_map(|state| state.last_report);
        let repeat = reports
            .filter(|_| has_waiting)
            .map(|(_, at)| at + ASK_REPEAT_INTERVAL);
        [expiry, reclaim, repeat.min()].into_iter().flatten().min()
    }

    /// Takes the borrowed slot with the longest time left.
    pub(super) fn take_slot(&mut self) -> Option<BorrowedSlot> {
        let slot = self.free_borrowed.pop_last()?;
        self.borrowed_in_use += 1;
        Some(slot)
    }

    /// Releases a borrowed slot whose call has ended; keeps it free or schedules
    /// its return.
    pub(super) fn release_slot(&mut self, slot: BorrowedSlot, is_usable: bool, now: Duration) {
        self.borrowed_in_use -= 1;
        let is_current = self.is_current(&slot.lender, slot.loan.epoch);
        match () {
            () if is_usable && is_current && slot.expires_at > now => {
                self.free_borrowed.insert(slot);
            }
            () => self.schedule_return(slot),
        }
    }

    /// Evicts the free slots of a lender whose epoch a runner has rejected.
    pub(super) fn evict_lender(&mut self, lender: &SlotLender) {
        self.free_borrowed
            .retain(|slot| slot.slot_lender() != *lender);
    }

    /// Updates the state of a zone from a message; returns whether the sender's
    /// epoch is current.
    pub(super) fn update_zone(&mut self, zone: &ZoneId, message: &LoanMessage) -> bool {
        let state = self.zones.entry(zone.clone()).or_default();
        if message.epoch < state.epoch {
            return false;
        }
        if message.epoch > state.epoch {
            // A new owner has no record of the loans of its predecessor.
            *state = ZoneState {
                epoch: message.epoch,
                ..ZoneState::default()
            };
            let (epoch, zone) = (message.epoch, zone.clone());
            self.free_borrowed
                .retain(|slot| slot.lender != zone || slot.loan.epoch >= epoch);
        }
        let state = self.zones.entry(zone.clone()).or_default();
        state.last_received = state.last_received.max(message.sequence);
        state.unacked = state.unacked.split_off(&(message.acked + 1));
        state.balance = i64::from(message.balance);
        true
    }

    /// Adds a zone that has an owner, so that requests are sent to it.
    pub(super) fn add_zone(&mut self, zone: &ZoneId) {
        self.zones.entry(zone.clone()).or_default();
    }

    /// Records the request of another owner, unless a later one has arrived.
    pub(super) fn record_ask(&mut self, zone: &ZoneId, sent_at: Duration, wanted: u32) {
        let state = self.zones.entry(zone.clone()).or_default();
        if sent_at >= state.asked_at {
            state.asked_at = sent_at;
            state.wanted = wanted;
        }
    }

    /// Returns the requesting zone with the lowest balance and the number of slots
    /// to transfer to it.
    ///
    /// At most half of the difference is transferred, which leaves both owners
    /// with the same balance, so that slots do not move back and forth between
    /// two owners that request slots from each other.
    pub(super) fn next_transfer(&self, balance: i64) -> Option<(ZoneId, u32)> {
        let states = self.zones.iter().filter(|(_, state)| state.wanted > 0);
        let (zone, state) = states.min_by_key(|(_, state)| state.expected_balance())?;
        let difference = balance - state.expected_balance();
        let spare = balance - i64::from(self.config.lender_reserve);
        let amount = (difference / 2).min(spare).min(i64::from(state.wanted));
        let is_difference_sufficient = difference >= i64::from(self.config.min_difference);
        let amount = u32::try_from(amount).ok();
        let amount = amount.filter(|amount| *amount > 0 && is_difference_sufficient);
        amount.map(|amount| (zone.clone(), amount))
    }

    /// Schedules the return of free slots to their lender, up to the number that
    /// it wants; returns how many.
    pub(super) fn return_free_slots(&mut self, lender: &ZoneId, wanted: u32) -> u32 {
        let borrowed = self
            .free_borrowed
            .iter()
            .filter(|slot| slot.lender == *lender);
        let slots: Vec<_> = borrowed.take(wanted as usize).cloned().collect();
        let count = u32::try_from(slots.len()).unwrap_or(u32::MAX);
        for slot in slots {
            self.free_borrowed.remove(&slot);
            self.schedule_return(slot);
        }
        count
    }

    /// Records a loan of slots and returns the offer to send.
    pub(super) fn lend(
        &mut self,
        zone: &ZoneId,
        runners: Vec<RunnerId>,
        balance: i64,
        now: Duration,
    ) -> CallAction {
        let number = self.next_loan;
        self.next_loan += 1;
        let count = u32::try_from(runners.len()).unwrap_or(u32::MAX);
        self.lent_len += count;
        let until = now + self.config.term + self.config.max_call_duration;
        self.reclaims.insert((until, number));
        let slots = (0..).zip(runners.iter().cloned()).collect();
        self.lent.insert(number, LentSlots { runners: slots });
        let state = self.zones.entry(zone.clone()).or_default();
        state.wanted = state.wanted.saturating_sub(count);
        let body = LoanBody::Offer {
            ask_epoch: state.epoch,
            asked_at: state.asked_at,
            loan: LoanKey {
                epoch: self.epoch,
                number,
            },
            runners,
        };
        self.build_transfer(zone, count, balance, body)
    }

    /// Adds the slots of an offer to the free borrowed slots.
    ///
    /// The term counts from the request, so it ends here before it ends at the
    /// lender. A duplicate offer is ignored, since its slots may be in use.
    pub(super) fn accept_offer(
        &mut self,
        lender: &ZoneId,
        (ask_epoch, asked_at): (Epoch, Duration),
        (loan, runners): (LoanKey, Vec<RunnerId>),
        now: Duration,
    ) {
        let expires_at = asked_at + self.config.term;
        self.accepted.retain(|_, until| *until > now);
        let key = (lender.clone(), loan);
        if ask_epoch != self.epoch || self.accepted.contains_key(&key) {
            return;
        }
        self.accepted
            .insert(key, expires_at + self.config.max_call_duration);
        let slots = (0..).zip(runners);
        let slots = slots.map(|(index, runner)| BorrowedSlot {
            expires_at,
            lender: lender.clone(),
            loan,
            index,
            runner,
        });
        if expires_at > now {
            self.free_borrowed.extend(slots);
        } else {
            for slot in slots {
                self.schedule_return(slot);
            }
        }
    }

    /// Ends the loan of the returned slots and returns their runners; a duplicate
    /// return frees nothing.
    pub(super) fn accept_return(&mut self, loan: LoanKey, slots: &[u32]) -> Vec<RunnerId> {
        let Some(lent) = self.lent.get_mut(&loan.number) else {
            return Vec::new();
        };
        if loan.epoch != self.epoch {
            return Vec::new();
        }
        let freed: Vec<_> = slots
            .iter()
            .filter_map(|index| lent.runners.remove(index))
            .collect();
        if lent.runners.is_empty() {
            self.lent.remove(&loan.number);
        }
        self.lent_len -= u32::try_from(freed.len()).unwrap_or(u32::MAX);
        freed
    }

    /// Ends the loans whose slots can no longer run a call and returns the runners
    /// of slots that were not returned.
    pub(super) fn reclaim_expired(&mut self, now: Duration) -> Vec<RunnerId> {
        let mut freed = Vec::new();
        while let Some((at, number)) = self.reclaims.first().copied() {
            if at > now {
                break;
            }
            self.reclaims.pop_first();
            let lent = self.lent.remove(&number);
            freed.extend(lent.into_iter().flat_map(|lent| lent.runners.into_values()));
        }
        self.lent_len -= u32::try_from(freed.len()).unwrap_or(u32::MAX);
        freed
    }

    /// Returns expired and surplus borrowed slots and reports the demand to the
    /// other owners.
    pub(super) fn return_and_report(
        &mut self,
        balance: i64,
        now: Duration,
        actions: &mut Vec<CallAction>,
    ) {
        let has_expired = |slot: &BorrowedSlot| slot.expires_at <= now;
        while self.free_borrowed.first().is_some_and(has_expired) {
            if let Some(slot) = self.free_borrowed.pop_first() {
                self.schedule_return(slot);
            }
        }
        if balance > i64::from(self.config.high_watermark) {
            for _ in i64::from(self.config.low_watermark)..balance {
                let Some(slot) = self.free_borrowed.pop_first() else {
                    break;
                };
                self.schedule_return(slot);
            }
        }
        for ((zone, loan), slots) in std::mem::take(&mut self.pending_returns) {
            let count = u32::try_from(slots.len()).unwrap_or(u32::MAX);
            let body = LoanBody::Return { loan, slots };
            actions.push(self.build_transfer(&zone, count, balance, body));
        }
        self.report_demand(balance, now, actions);
    }

    /// Sends the other owners the balance and the number of wanted slots, if a
    /// report is due.
    fn report_demand(&mut self, balance: i64, now: Duration, actions: &mut Vec<CallAction>) {
        let low_watermark = i64::from(self.config.low_watermark);
        let capped = balance.min(low_watermark);
        let wanted = u32::try_from(low_watermark - capped).unwrap_or(u32::MAX);
        let is_due = |state: &ZoneState| {
            let (last_balance, at) = state.last_report.unwrap_or((low_watermark, Duration::ZERO));
            let change = (last_balance.min(low_watermark) - capped).unsigned_abs();
            let interval = if change >= u64::from(self.config.report_threshold) {
                self.config.min_report_interval
            } else {
                ASK_REPEAT_INTERVAL
            };
            now >= at + interval && (change > 0 || wanted > 0)
        };
        let states = self.zones.iter().filter(|(_, state)| is_due(state));
        let zones: Vec<_> = states.map(|(zone, _)| zone.clone()).collect();
        for zone in zones {
            let body = LoanBody::Ask {
                sent_at: now,
                wanted,
            };
            if let Some(state) = self.zones.get_mut(&zone) {
                state.last_report = Some((balance, now));
            }
            actions.push(self.build_message(&zone, balance, body));
        }
    }

    /// Builds a message with the next sequence number for an offer or return of
    /// `count` slots.
    fn build_transfer(
        &mut self,
        zone: &ZoneId,
        count: u32,
        balance: i64,
        body: LoanBody,
    ) -> CallAction {
        let state = self.zones.entry(zone.clone()).or_default();
        state.last_sent += 1;
        state.unacked.insert(state.last_sent, count);
        self.build_message(zone, balance, body)
    }

    fn build_message(&self, zone: &ZoneId, balance: i64, body: LoanBody) -> CallAction {
        let state = self.zones.get(zone);
        let limit = i64::from(i32::MAX);
        let message = LoanMessage {
            epoch: self.epoch,
            balance: i32::try_from(balance.clamp(-limit, limit)).unwrap_or(0),
            sequence: state.map_or(0, |state| state.last_sent),
            acked: state.map_or(0, |state| state.last_received),
            body,
        };
        CallAction::SendLoan(zone.clone(), message)
    }

    fn schedule_return(&mut self, slot: BorrowedSlot) {
        // A new owner of the lender's shard has no record of the loan and would
        // ignore the return.
        if self.is_current(&slot.lender, slot.loan.epoch) {
            let slots = self
                .pending_returns
                .entry((slot.lender, slot.loan))
                .or_default();
            slots.push(slot.index);
        }
    }

    /// Returns whether an epoch is the latest known one of a zone's owner.
    fn is_current(&self, zone: &ZoneId, epoch: Epoch) -> bool {
        self.zones
            .get(zone)
            .is_some_and(|state| state.epoch == epoch)
    }
}
