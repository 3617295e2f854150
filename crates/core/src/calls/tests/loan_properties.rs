//! Properties of loans between two owners over any order of messages.

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
const LONGEST_CALL: Duration = Duration::from_millis(100);

/// One event, with choices that are resolved against the state of the model.
#[derive(Clone, Debug)]
enum Step {
    Request(usize, u64),
    Return(usize, bool),
    Deliver(usize),
    Duplicate(usize),
    Drop(usize),
    Restart(usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..2usize, 20..100u64).prop_map(|(a, b)| Step::Request(a, b)),
        4 => (any::<usize>(), any::<bool>()).prop_map(|(a, b)| Step::Return(a, b)),
        8 => any::<usize>().prop_map(Step::Deliver),
        2 => any::<usize>().prop_map(Step::Duplicate),
        1 => any::<usize>().prop_map(Step::Drop),
        1 => (0..2usize).prop_map(Step::Restart),
        4 => (0..40u64).prop_map(Step::Wait),
    ]
}

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
    network: Vec<(usize, LoanMessage)>,
    deadlines: Vec<Duration>,
    held: Vec<HeldGrant>,
    granted: BTreeMap<RequestId, u32>,
    borrowed: u32,
}

fn owner(zone: usize, epoch: Epoch, hold_off: Duration, now: Duration) -> CallQueue {
    let loans = LoanConfig {
        target: 3,
        surplus: 3,
        reserve: 0,
        least_difference: 1,
        report_step: 1,
        report_period: Duration::ZERO,
        own_wait_at_arrival: Duration::from_millis(20),
        own_wait: Duration::from_millis(40),
        longest_own_wait: Duration::from_millis(20),
        term: TERM,
        max_call_duration: LONGEST_CALL,
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
            queues: [0, 1].map(|zone| owner(zone, 1, Duration::ZERO, Duration::ZERO)),
            epochs: [1, 1],
            now: Duration::ZERO,
            network: Vec::new(),
            deadlines: Vec::new(),
            held: Vec::new(),
            granted: BTreeMap::new(),
            borrowed: 0,
        };
        (0..2).for_each(|zone| model.meet(zone));
        model
    }

    /// Tells an owner that the other zone has one, as its load summary does.
    fn meet(&mut self, zone: usize) {
        let load = CallLoad::default();
        let event = CallEvent::ZoneLoadChanged(ZONES[1 - zone].into(), load);
        self.drive(zone, event);
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Request(zone, millis) => {
                let remaining = Duration::from_millis(millis);
                let request = self.deadlines.len() as RequestId;
                self.deadlines.push(self.now + remaining);
                let call = CallRequest::new(request, remaining);
                self.drive(zone, CallEvent::Requested(call));
            }
            Step::Return(choice, is_answered) => self.return_one(choice, is_answered),
            Step::Deliver(choice) => {
                if let Some((zone, message)) = self.pick(choice, true) {
                    let from = ZONES[1 - zone].into();
                    self.drive(zone, CallEvent::LoanReceived(from, message));
                }
            }
            Step::Duplicate(choice) => {
                let message = self.pick(choice, false);
                self.network.extend(message);
            }
            Step::Drop(choice) => drop(self.pick(choice, true)),
            Step::Restart(zone) => self.restart(zone),
            Step::Wait(millis) => {
                self.now += Duration::from_millis(millis);
                (0..2).for_each(|zone| self.drive(zone, CallEvent::TimerFired));
            }
        }
    }

    fn pick(&mut self, choice: usize, is_removed: bool) -> Option<(usize, LoanMessage)> {
        let index = choice.checked_rem(self.network.len())?;
        if is_removed {
            Some(self.network.remove(index))
        } else {
            Some(self.network[index].clone())
        }
    }

    fn return_one(&mut self, choice: usize, is_answered: bool) {
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
        self.drive(zone, CallEvent::Returned(grant, result));
    }

    /// Replaces an owner by a successor that waits for the calls of the old one.
    fn restart(&mut self, zone: usize) {
        self.epochs[zone] += 1;
        let hold_off = TERM + LONGEST_CALL;
        self.queues[zone] = owner(zone, self.epochs[zone], hold_off, self.now);
        let lost = self.held.iter_mut().filter(|held| held.zone == zone);
        lost.for_each(|held| held.is_returned = true);
        self.meet(zone);
    }

    fn drive(&mut self, zone: usize, event: CallEvent) {
        for action in self.queues[zone].handle(event, self.now) {
            match action {
                CallAction::Grant(grant) => self.note_grant(zone, grant),
                CallAction::SendLoan(_, message) => self.network.push((1 - zone, message)),
                CallAction::Reject(..) | CallAction::Redirect(..) => {}
            }
        }
    }

    fn note_grant(&mut self, zone: usize, grant: SlotGrant) {
        *self.granted.entry(grant.request).or_default() += 1;
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
        prop_assert!(self.granted.values().all(|grants| *grants == 1));
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_024))]

    /// Guards against a slot used by lender and borrower at once, when loan
    /// messages are late, lost, repeated or out of order or an owner is replaced.
    #[test]
    fn no_runner_is_overbooked_by_loans(steps in vec(step(), 1..200)) {
        let mut model = LoanModel::new();

        for step in &steps {
            model.apply(step);
            model.check()?;
        }
    }
}

/// Guards against a zone that stays full while its neighbour has free slots.
#[test]
fn a_full_zone_borrows_and_returns() {
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

/// Guards against a call that crosses zones although an own slot is due at
/// once, and against one that waits for an own slot without end.
#[test]
fn a_call_waits_a_short_time_for_an_own_slot() {
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

/// Guards against a lender that reclaims a slot while a call still runs on it
/// under a deadline that was raised after the loan.
#[test]
fn a_longer_deadline_reaches_the_slots_that_are_lent() {
    let mut model = LoanModel::new();
    (0..6).for_each(|_| model.apply(&Step::Request(0, 90)));
    (0..50).for_each(|_| model.apply(&Step::Deliver(0)));
    model.drive(1, CallEvent::MaxCallDurationChanged(2 * LONGEST_CALL));

    let waits = [Duration::ZERO, LONGEST_CALL + TERM, LONGEST_CALL];
    let free = waits.map(|wait| {
        model.now += wait;
        model.drive(1, CallEvent::TimerFired);
        model.queues[1].load().free
    });

    assert_eq!(free[1], free[0]);
    assert!(free[2] > free[1], "{free:?}");
}
