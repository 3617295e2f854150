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

/// Time after which an owner that is short repeats an unchanged request, in
/// case it was lost.
const REPEAT_PERIOD: Duration = Duration::from_millis(100);

/// A slot of another zone's runner that this owner may grant.
///
/// The order is by expiry, so that the last one has the longest time left.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct BorrowedSlot {
    expires_at: Duration,
    lender: ZoneId,
    loan: LoanKey,
    index: u32,
    pub(super) runner: RunnerId,
}

impl BorrowedSlot {
    /// Returns the shard and epoch that the runner is to see.
    pub(super) fn slot_lender(&self) -> SlotLender {
        SlotLender {
            zone: self.lender.clone(),
            epoch: self.loan.epoch,
        }
    }
}

/// What was exchanged with the owner in another zone.
#[derive(Clone, Debug, Default)]
struct ZoneView {
    epoch: Epoch,
    /// Free slots less waiting calls, as last reported.
    balance: i64,
    /// Slots that the other owner still wants.
    wanted: u32,
    /// Time of the latest request, on the other owner's clock.
    asked_at: Duration,
    /// Transfers of slots that were sent, with their sizes, until acknowledged.
    unacked: BTreeMap<u64, u32>,
    sent: u64,
    received: u64,
    /// Balance in the last message to the other owner, and its time.
    told: Option<(i64, Duration)>,
}

impl ZoneView {
    /// Returns the balance that the other owner will have.
    fn expected_balance(&self) -> i64 {
        self.balance + i64::from(self.unacked.values().sum::<u32>())
    }
}

/// Slots of own runners that another owner may grant.
#[derive(Clone, Debug)]
struct LentSlots {
    runners: BTreeMap<u32, RunnerId>,
}

/// The loans that one owner has given and taken.
#[derive(Clone, Debug)]
pub(super) struct LoanBook {
    config: LoanConfig,
    epoch: Epoch,
    zones: BTreeMap<ZoneId, ZoneView>,
    lent: BTreeMap<u64, LentSlots>,
    lent_len: u32,
    reclaims: BTreeSet<(Duration, u64)>,
    stock: BTreeSet<BorrowedSlot>,
    in_use: u32,
    /// Loans that were taken over, until no call on their slots can run.
    known: BTreeMap<(ZoneId, LoanKey), Duration>,
    /// Slots to be returned with the next messages.
    returns: BTreeMap<(ZoneId, LoanKey), Vec<u32>>,
    next_loan: u64,
}

impl LoanBook {
    /// Returns a book without loans for an owner's epoch.
    pub(super) const fn new(config: LoanConfig, epoch: Epoch) -> Self {
        Self {
            config,
            epoch,
            zones: BTreeMap::new(),
            lent: BTreeMap::new(),
            lent_len: 0,
            reclaims: BTreeSet::new(),
            stock: BTreeSet::new(),
            in_use: 0,
            known: BTreeMap::new(),
            returns: BTreeMap::new(),
            next_loan: 1,
        }
    }

    /// Takes over the longest time that a call may run.
    ///
    /// Calls on the slots that are lent may run longer from now on, so a longer
    /// time defers their reclaim. A shorter one does not bring it forward, since
    /// calls that were granted before may still run.
    pub(super) fn set_longest_call(&mut self, time: Duration) {
        let added = time.saturating_sub(self.config.max_call_duration);
        self.config.max_call_duration = time;
        let reclaims = std::mem::take(&mut self.reclaims);
        let reclaims = reclaims.into_iter();
        self.reclaims = reclaims.map(|(at, number)| (at + added, number)).collect();
        self.known.values_mut().for_each(|until| *until += added);
    }

    /// Returns the number of borrowed slots that are free.
    pub(super) fn stock_len(&self) -> u32 {
        u32::try_from(self.stock.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of borrowed slots, free or in use.
    pub(super) fn borrowed_len(&self) -> u32 {
        self.stock_len() + self.in_use
    }

    /// Returns the number of slots that are lent to other owners.
    pub(super) const fn lent_len(&self) -> u32 {
        self.lent_len
    }

    /// Returns when a loan ends or a short queue repeats its request.
    pub(super) fn next_timer(&self, is_short: bool) -> Option<Duration> {
        let expiry = self.stock.first().map(|slot| slot.expires_at);
        let reclaim = self.reclaims.first().map(|(at, _)| *at);
        let told = self.zones.values().filter_map(|view| view.told);
        let repeat = told.filter(|_| is_short).map(|(_, at)| at + REPEAT_PERIOD);
        [expiry, reclaim, repeat.min()].into_iter().flatten().min()
    }

    /// Takes the borrowed slot with the longest time left.
    pub(super) fn take(&mut self) -> Option<BorrowedSlot> {
        let slot = self.stock.pop_last()?;
        self.in_use += 1;
        Some(slot)
    }

    /// Takes back a borrowed slot whose call has ended.
    pub(super) fn release(&mut self, slot: BorrowedSlot, is_usable: bool, now: Duration) {
        self.in_use -= 1;
        let is_current = self.is_current(&slot.lender, slot.loan.epoch);
        match () {
            () if is_usable && is_current && slot.expires_at > now => {
                self.stock.insert(slot);
            }
            () => self.give_back(slot),
        }
    }

    /// Forgets the free slots of a lender whose epoch a runner has rejected.
    pub(super) fn drop_lender(&mut self, lender: &SlotLender) {
        self.stock.retain(|slot| slot.slot_lender() != *lender);
    }

    /// Notes what another owner reports; tells whether its epoch is current.
    pub(super) fn note_sender(&mut self, zone: &ZoneId, message: &LoanMessage) -> bool {
        let view = self.zones.entry(zone.clone()).or_default();
        if message.epoch < view.epoch {
            return false;
        }
        if message.epoch > view.epoch {
            // A successor knows nothing of the loans of its predecessor.
            *view = ZoneView {
                epoch: message.epoch,
                ..ZoneView::default()
            };
            let (epoch, zone) = (message.epoch, zone.clone());
            self.stock
                .retain(|slot| slot.lender != zone || slot.loan.epoch >= epoch);
        }
        let view = self.zones.entry(zone.clone()).or_default();
        view.received = view.received.max(message.sequence);
        view.unacked = view.unacked.split_off(&(message.acked + 1));
        view.balance = i64::from(message.balance);
        true
    }

    /// Notes that a zone has an owner; its first message is answered with ours.
    pub(super) fn note_zone(&mut self, zone: &ZoneId) {
        self.zones.entry(zone.clone()).or_default();
    }

    /// Notes what another owner wants; a late request changes nothing.
    pub(super) fn note_ask(&mut self, zone: &ZoneId, sent_at: Duration, wanted: u32) {
        let view = self.zones.entry(zone.clone()).or_default();
        if sent_at >= view.asked_at {
            view.asked_at = sent_at;
            view.wanted = wanted;
        }
    }

    /// Returns the zone that is shortest of slots and how many it should get.
    ///
    /// Half of the difference leaves both sides with the same number, so two
    /// owners that ask each other do not pass slots back and forth.
    pub(super) fn next_transfer(&self, balance: i64) -> Option<(ZoneId, u32)> {
        let views = self.zones.iter().filter(|(_, view)| view.wanted > 0);
        let (zone, view) = views.min_by_key(|(_, view)| view.expected_balance())?;
        let difference = balance - view.expected_balance();
        let spare = balance - i64::from(self.config.reserve);
        let amount = (difference / 2).min(spare).min(i64::from(view.wanted));
        let is_worth_it = difference >= i64::from(self.config.least_difference);
        let amount = u32::try_from(amount).ok();
        let amount = amount.filter(|amount| *amount > 0 && is_worth_it);
        amount.map(|amount| (zone.clone(), amount))
    }

    /// Gives back free slots that the zone has lent; returns how many.
    pub(super) fn recall(&mut self, lender: &ZoneId, wanted: u32) -> u32 {
        let own = self.stock.iter().filter(|slot| slot.lender == *lender);
        let slots: Vec<_> = own.take(wanted as usize).cloned().collect();
        let count = u32::try_from(slots.len()).unwrap_or(u32::MAX);
        for slot in slots {
            self.stock.remove(&slot);
            self.give_back(slot);
        }
        count
    }

    /// Notes slots as lent and returns the message with them.
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
        let view = self.zones.entry(zone.clone()).or_default();
        view.wanted = view.wanted.saturating_sub(count);
        let body = LoanBody::Offer {
            ask_epoch: view.epoch,
            asked_at: view.asked_at,
            loan: LoanKey {
                epoch: self.epoch,
                number,
            },
            runners,
        };
        self.transfer(zone, count, balance, body)
    }

    /// Takes over the slots of an offer to this owner.
    ///
    /// The term counts from the request and so ends here before it ends at the
    /// lender. A repeated offer is ignored, since its slots may be in use.
    pub(super) fn accept(
        &mut self,
        lender: &ZoneId,
        (ask_epoch, asked_at): (Epoch, Duration),
        (loan, runners): (LoanKey, Vec<RunnerId>),
        now: Duration,
    ) {
        let expires_at = asked_at + self.config.term;
        self.known.retain(|_, until| *until > now);
        let key = (lender.clone(), loan);
        if ask_epoch != self.epoch || self.known.contains_key(&key) {
            return;
        }
        self.known
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
            self.stock.extend(slots);
        } else {
            for slot in slots {
                self.give_back(slot);
            }
        }
    }

    /// Ends the loan of some slots; a repeated return frees nothing.
    pub(super) fn take_back(&mut self, loan: LoanKey, slots: &[u32]) -> Vec<RunnerId> {
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

    /// Ends the loans whose term and longest call have passed.
    pub(super) fn reclaim(&mut self, now: Duration) -> Vec<RunnerId> {
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

    /// Gives back expired and surplus slots and tells the other owners what changed.
    pub(super) fn settle(&mut self, balance: i64, now: Duration, actions: &mut Vec<CallAction>) {
        let has_expired = |slot: &BorrowedSlot| slot.expires_at <= now;
        while self.stock.first().is_some_and(has_expired) {
            if let Some(slot) = self.stock.pop_first() {
                self.give_back(slot);
            }
        }
        if balance > i64::from(self.config.surplus) {
            for _ in i64::from(self.config.target)..balance {
                let Some(slot) = self.stock.pop_first() else {
                    break;
                };
                self.give_back(slot);
            }
        }
        for ((zone, loan), slots) in std::mem::take(&mut self.returns) {
            let count = u32::try_from(slots.len()).unwrap_or(u32::MAX);
            let body = LoanBody::Return { loan, slots };
            actions.push(self.transfer(&zone, count, balance, body));
        }
        self.report(balance, now, actions);
    }

    /// Tells the other owners how many slots are wanted, if that has changed.
    fn report(&mut self, balance: i64, now: Duration, actions: &mut Vec<CallAction>) {
        let target = i64::from(self.config.target);
        let capped = balance.min(target);
        let wanted = u32::try_from(target - capped).unwrap_or(u32::MAX);
        let is_due = |view: &ZoneView| {
            let (told, at) = view.told.unwrap_or((target, Duration::ZERO));
            let change = (told.min(target) - capped).unsigned_abs();
            let period = if change >= u64::from(self.config.report_step) {
                self.config.report_period
            } else {
                REPEAT_PERIOD
            };
            now >= at + period && (change > 0 || wanted > 0)
        };
        let views = self.zones.iter().filter(|(_, view)| is_due(view));
        let zones: Vec<_> = views.map(|(zone, _)| zone.clone()).collect();
        for zone in zones {
            let body = LoanBody::Ask {
                sent_at: now,
                wanted,
            };
            if let Some(view) = self.zones.get_mut(&zone) {
                view.told = Some((balance, now));
            }
            actions.push(self.message(&zone, balance, body));
        }
    }

    /// Returns a message that moves a number of slots.
    fn transfer(&mut self, zone: &ZoneId, count: u32, balance: i64, body: LoanBody) -> CallAction {
        let view = self.zones.entry(zone.clone()).or_default();
        view.sent += 1;
        view.unacked.insert(view.sent, count);
        self.message(zone, balance, body)
    }

    fn message(&self, zone: &ZoneId, balance: i64, body: LoanBody) -> CallAction {
        let view = self.zones.get(zone);
        let limit = i64::from(i32::MAX);
        let message = LoanMessage {
            epoch: self.epoch,
            balance: i32::try_from(balance.clamp(-limit, limit)).unwrap_or(0),
            sequence: view.map_or(0, |view| view.sent),
            acked: view.map_or(0, |view| view.received),
            body,
        };
        CallAction::SendLoan(zone.clone(), message)
    }

    fn give_back(&mut self, slot: BorrowedSlot) {
        // A later owner does not know the loan, so it has nothing to take back.
        if self.is_current(&slot.lender, slot.loan.epoch) {
            let slots = self.returns.entry((slot.lender, slot.loan)).or_default();
            slots.push(slot.index);
        }
    }

    fn is_current(&self, zone: &ZoneId, epoch: Epoch) -> bool {
        self.zones.get(zone).is_some_and(|view| view.epoch == epoch)
    }
}
