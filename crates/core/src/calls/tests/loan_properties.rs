//! Properties of loans between two owners under any order of messages.

use std::{collections::BTreeMap, time::Duration};

use proptest::{collection::vec, prelude::*};

use crate::calls::{
    CallAction, CallConfig, CallEvent, CallLoad, CallQueue, CallRequest, GrantResult, LoanConfig,
    LoanMessage, RunnerEntry, SlotGrant,
};
use crate::types::{Epoch, RequestId, RunnerId};

const SLOTS: u32 = 2;
const ZONES: [&str; 2] = ["z0", "z1"];
const TERM: Duration = Duration::from_millis(50);
const MAX_CALL_DURATION: Duration = Duration::from_millis(100);

/// One step; its indexes are reduced to the range that the model has.
#[derive(Clone, Debug)]
enum Step {
    Request(usize, u64),
    Return(usize, bool),
    Deliver(usize),
    Duplicate(usize),
    Drop(usize),
    ReplaceOwner(usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..2usize, 20..100u64).prop_map(|(a, b)| Step::Request(a, b)),
        4 => (any::<usize>(), any::<bool>()).prop_map(|(a, b)| Step::Return(a, b)),
        8 => any::<usize>().prop_map(Step::Deliver),
        2 => any::<usize>().prop_map(Step::Duplicate),
        1 => any::<usize>().prop_map(Step::Drop),
        1 => (0..2usize).prop_map(Step::ReplaceOwner),
        4 => (0..40u64).prop_map(Step::Wait),
    ]
}

/// A grant and the call that runs with it.
#[derive(Debug)]
struct HeldGrant {
    zone: usize,
    grant: SlotGrant,
    is_returned: bool,
    /// The runner ends the call by its deadline.
    ends_at: Duration,
}

/// Two owners, the messages between them and the calls at the runners.
#[derive(Debug)]
struct LoanModel {
    queues: [CallQueue; 2],
    epochs: [Epoch; 2],
    now: Duration,
    /// Messages in flight, each with the index of the receiving zone.
    network: Vec<(usize, LoanMessage)>,
    /// The deadline of each request.
    deadlines: Vec<Duration>,
    held: Vec<HeldGrant>,
    grant_counts: BTreeMap<RequestId, u32>,
    /// Number of grants of borrowed slots.
    borrowed: u32,
}

fn owner_queue(zone: usize, epoch: Epoch, hold_off: Duration, now: Duration) -> CallQueue {
    let loans = LoanConfig {
        low_watermark: 3,
        high_watermark: 3,
        lender_reserve: 0,
        min_difference: 1,
        report_threshold: 1,
        min_report_interval: Duration::ZERO,
        arrival_wait_threshold: Duration::from_millis(20),
        queued_wait_threshold: Duration::from_millis(40),
        max_local_wait: Duration::from_millis(20),
        term: TERM,
        max_call_duration: MAX_CALL_DURATION,
    };
    let config = CallConfig::builder().loans(loans).hold_off(hold_off);
    let mut queue = CallQueue::new_at(config.build(), now).with_epoch(epoch);
    let names = (0..2).map(|index| format!("{}-r{index}", ZONES[zone]));
    let runners = names.map(|name| RunnerEntry::new(&name, SLOTS)).collect();
    queue.handle(CallEvent::RunnersChanged(runners), now);
    queue
}

impl LoanModel {
    fn new() -> Self {
        let mut model = Self {
            queues: [0, 1].map(|zone| owner_queue(zone, 1, Duration::ZERO, Duration::ZERO)),
            epochs: [1, 1],
            now: Duration::ZERO,
            network: Vec::new(),
            deadlines: Vec::new(),
            held: Vec::new(),
            grant_counts: BTreeMap::new(),
            borrowed: 0,
        };
        (0..2).for_each(|zone| model.report_zone(zone));
        model
    }

    /// Reports the other zone to an owner, as a load report of that zone does.
    fn report_zone(&mut self, zone: usize) {
        let load = CallLoad::default();
        let event = CallEvent::ZoneLoadChanged(ZONES[1 - zone].into(), load);
        self.handle_event(zone, event);
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Request(zone, millis) => {
                let remaining = Duration::from_millis(millis);
                let request = self.deadlines.len() as RequestId;
                self.deadlines.push(self.now + remaining);
                let call = CallRequest::new(request, remaining);
                self.handle_event(zone, CallEvent::Requested(call));
            }
            Step::Return(choice, is_answered) => self.return_grant(choice, is_answered),
            Step::Deliver(choice) => {
                if let Some((zone, message)) = self.pick_message(choice, true) {
                    let from = ZONES[1 - zone].into();
                    self.handle_event(zone, CallEvent::LoanReceived(from, message));
                }
            }
            Step::Duplicate(choice) => {
                let message = self.pick_message(choice, false);
                self.network.extend(message);
            }
            Step::Drop(choice) => drop(self.pick_message(choice, true)),
            Step::ReplaceOwner(zone) => self.replace_owner(zone),
            Step::Wait(millis) => {
                self.now += Duration::from_millis(millis);
                (0..2).for_each(|zone| self.handle_event(zone, CallEvent::TimerFired));
            }
        }
    }

    fn pick_message(&mut self, choice: usize, is_removed: bool) -> Option<(usize, LoanMessage)> {
        let index = choice.checked_rem(self.network.len())?;
        if is_removed {
            Some(self.network.remove(index))
        } else {
            Some(self.network[index].clone())
        }
    }

    fn return_grant(&mut self, choice: usize, is_answered: bool) {
        let open: Vec<_> = (0..self.held.len())
            .filter(|index| !self.held[*index].is_returned)
            .collect();
        let Some(choice) = choice.checked_rem(open.len()) else {
            return;
        };
        let held = &mut self.held[open[choice]];
        held.is_returned = true;
        held.ends_at = held.ends_at.min(self.now);
        let result = if is_answered {
            GrantResult::Answered
        } else {
            GrantResult::Failed
        };
        let (zone, grant) = (held.zone, held.grant.grant);
        self.handle_event(zone, CallEvent::Returned(grant, result));
    }

    /// Replaces an owner by a new one with a hold-off for the calls of the old one.
    fn replace_owner(&mut self, zone: usize) {
        self.epochs[zone] += 1;
        let hold_off = TERM + MAX_CALL_DURATION;
        self.queues[zone] = owner_queue(zone, self.epochs[zone], hold_off, self.now);
        let lost = self.held.iter_mut().filter(|held| held.zone == zone);
        lost.for_each(|held| held.is_returned = true);
        self.report_zone(zone);
    }

    fn handle_event(&mut self, zone: usize, event: CallEvent) {
        for action in self.queues[zone].handle(event, self.now) {
            match action {
                CallAction::Grant(grant) => self.record_grant(zone, grant),
                CallAction::SendLoan(_, message) => self.network.push((1 - zone, message)),
                CallAction::Reject(..) | CallAction::Redirect(..) => {}
            }
        }
    }

    fn record_grant(&mut self, zone: usize, grant: SlotGrant) {
        *self.grant_counts.entry(grant.request).or_default() += 1;
        self.borrowed += u32::from(grant.lender.is_some());
        let request = usize::try_from(grant.request).expect("requests are indexes");
        self.held.push(HeldGrant {
            zone,
            grant,
            is_returned: false,
            ends_at: self.deadlines[request],
        });
    }

    fn check(&self) -> Result<(), TestCaseError> {
        let mut busy: BTreeMap<&RunnerId, u32> = BTreeMap::new();
        for held in self.held.iter().filter(|held| held.ends_at > self.now) {
            *busy.entry(&held.grant.runner).or_default() += 1;
        }
        prop_assert!(busy.values().all(|busy| *busy <= SLOTS), "{busy:?}");
        prop_assert!(self.grant_counts.values().all(|count| *count == 1));
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_024))]

    /// Guards against a slot used by lender and borrower at once when loan messages
    /// are late, lost, duplicated or reordered or an owner is replaced.
    #[test]
    fn no_runner_exceeds_its_slots_through_loans(steps in vec(step(), 1..200)) {
        let mut model = LoanModel::new();

        for step in &steps {
            model.apply(step);
            model.check()?;
        }
    }
}

/// Guards against a zone that stays full while the other zone has free slots.
#[test]
fn a_full_zone_borrows_slots_and_returns_them() {
    let mut model = LoanModel::new();

    (0..6).for_each(|_| model.apply(&Step::Request(0, 90)));
    (0..50).for_each(|_| model.apply(&Step::Deliver(0)));
    let borrowed = model.borrowed;
    (0..6).for_each(|_| model.apply(&Step::Return(0, true)));
    model.apply(&Step::Wait(60));
    (0..50).for_each(|_| model.apply(&Step::Deliver(0)));

    assert_eq!(borrowed, 2);
    let free = model.queues.each_ref().map(|queue| queue.load().free);
    assert_eq!(free, [4, 4]);
}

/// Guards against a call that uses a borrowed slot although a local one is about
/// to become free, and against one that waits for a local slot indefinitely.
#[test]
fn a_call_waits_a_limited_time_for_a_local_slot() {
    let mut model = LoanModel::new();
    (0..4).for_each(|_| model.apply(&Step::Request(0, 90)));
    (0..50).for_each(|_| model.apply(&Step::Deliver(0)));
    model.apply(&Step::Wait(10));
    model.apply(&Step::Return(0, true));

    (0..2).for_each(|_| model.apply(&Step::Request(0, 90)));
    let early = (model.queues[0].waiting_len(), model.borrowed);
    model.apply(&Step::Wait(20));
    let late = (model.queues[0].waiting_len(), model.borrowed);

    assert_eq!((early, late), ((1, 0), (0, 1)));
}

/// Guards against a lender that reclaims a slot while a call still runs on it,
/// because the maximum call duration was raised after the loan.
#[test]
fn a_raised_call_duration_defers_the_reclaim_of_lent_slots() {
    let mut model = LoanModel::new();
    (0..6).for_each(|_| model.apply(&Step::Request(0, 90)));
    (0..50).for_each(|_| model.apply(&Step::Deliver(0)));
    model.handle_event(1, CallEvent::MaxCallDurationChanged(2 * MAX_CALL_DURATION));

    let waits = [Duration::ZERO, MAX_CALL_DURATION + TERM, MAX_CALL_DURATION];
    let free = waits.map(|wait| {
        model.now += wait;
        model.handle_event(1, CallEvent::TimerFired);
        model.queues[1].load().free
    });

    assert_eq!(free[1], free[0]);
    assert!(free[2] > free[1], "{free:?}");
}
