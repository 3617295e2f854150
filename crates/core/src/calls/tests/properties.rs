//! Properties of the call queue under any sequence of events.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use proptest::{collection::vec, prelude::*};

use crate::calls::{
    CallAction, CallConfig, CallEvent, CallLoad, CallQueue, CallRequest, GrantResult, RunnerEntry,
};
use crate::types::{GrantId, RequestId, RunnerId, UrgencyClass};

const SLOTS: u32 = 2;
const DAEMONS: [&str; 3] = ["d0", "d1", "d2"];

/// One step; its choices are reduced to the range that the model has.
#[derive(Clone, Debug)]
enum Step {
    Request(u8, u8, u16),
    Cancel(u8),
    Return(u8, u8),
    ReplaceRunners(u8),
    LoseDaemon(u8),
    ZoneLoad(u32),
    Wait(u16),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..3u8, 0..3u8, 0..400u16).prop_map(|(a, b, c)| Step::Request(a, b, c)),
        1 => any::<u8>().prop_map(Step::Cancel),
        4 => (any::<u8>(), 0..4u8).prop_map(|(a, b)| Step::Return(a, b)),
        1 => any::<u8>().prop_map(Step::ReplaceRunners),
        1 => (0..3u8).prop_map(Step::LoseDaemon),
        1 => (0..4u32).prop_map(Step::ZoneLoad),
        2 => (0..300u16).prop_map(Step::Wait),
    ]
}

/// A queue and the state that follows from its events and actions.
#[derive(Debug)]
struct QueueModel {
    queue: CallQueue,
    now: Duration,
    /// All requests, each with the index of its daemon.
    requests: Vec<(RequestId, usize)>,
    /// How often each call was granted, rejected, redirected or cancelled.
    end_counts: BTreeMap<RequestId, u32>,
    /// Runner and request of each grant that is in use.
    held: BTreeMap<GrantId, (RunnerId, RequestId)>,
    grant_counts: BTreeMap<RequestId, u32>,
    deadlines: BTreeMap<RequestId, Duration>,
    /// Grants whose runner is no longer listed or whose requester is lost.
    abandoned: BTreeSet<GrantId>,
}

impl QueueModel {
    fn new() -> Self {
        let config = CallConfig::builder()
            .queue_limit(6)
            .urgent_share_percent(25)
            .promotion_period(Duration::from_millis(50));
        let mut model = Self {
            queue: CallQueue::new(config.build()),
            now: Duration::ZERO,
            requests: Vec::new(),
            end_counts: BTreeMap::new(),
            held: BTreeMap::new(),
            grant_counts: BTreeMap::new(),
            deadlines: BTreeMap::new(),
            abandoned: BTreeSet::new(),
        };
        model.apply(&Step::ReplaceRunners(u8::MAX));
        model
    }

    fn apply(&mut self, step: &Step) {
        let event = match step {
            Step::Request(daemon, class, remaining) => self.request(*daemon, *class, *remaining),
            Step::Cancel(choice) => self.cancel(*choice),
            Step::Return(choice, result) => self.return_grant(*choice, *result),
            Step::ReplaceRunners(mask) => self.replace_runners(*mask),
            Step::LoseDaemon(daemon) => self.lose_daemon(usize::from(*daemon)),
            Step::ZoneLoad(free) => {
                let load = CallLoad {
                    free: *free,
                    waiting: 0,
                };
                CallEvent::ZoneLoadChanged("z2".into(), load)
            }
            Step::Wait(millis) => {
                self.now += Duration::from_millis(u64::from(*millis));
                CallEvent::TimerFired
            }
        };
        self.end_abandoned();
        for action in self.queue.handle(event, self.now) {
            self.record_action(action);
        }
    }

    fn request(&mut self, daemon: u8, class: u8, remaining: u16) -> CallEvent {
        let request = self.requests.len() as RequestId;
        let daemon = usize::from(daemon);
        self.requests.push((request, daemon));
        let remaining = Duration::from_millis(u64::from(remaining));
        self.deadlines.insert(request, self.now + remaining);
        let mut call = CallRequest::new(request, remaining);
        call.requester = Some(DAEMONS[daemon].into());
        call.urgency = [
            UrgencyClass::Batch,
            UrgencyClass::Normal,
            UrgencyClass::Urgent,
        ][usize::from(class)];
        CallEvent::Requested(call)
    }

    fn cancel(&mut self, choice: u8) -> CallEvent {
        let waiting = self.waiting();
        let Some(&(request, _)) = waiting.get(usize::from(choice) % waiting.len().max(1)) else {
            return CallEvent::TimerFired;
        };
        // The queue applies due timers before an event, so a call that is due to be
        // rejected is not cancelled.
        for action in self.queue.handle(CallEvent::TimerFired, self.now) {
            self.record_action(action);
        }
        self.end_counts.entry(request).or_insert(1);
        CallEvent::Cancelled(request)
    }

    fn return_grant(&mut self, choice: u8, result: u8) -> CallEvent {
        let grants: Vec<_> = self.held.keys().copied().collect();
        let Some(&grant) = grants.get(usize::from(choice) % grants.len().max(1)) else {
            return CallEvent::TimerFired;
        };
        self.held.remove(&grant);
        let results = [
            GrantResult::Answered,
            GrantResult::Rejected,
            GrantResult::Failed,
            GrantResult::Unused,
        ];
        CallEvent::Returned(grant, results[usize::from(result)])
    }

    fn lose_daemon(&mut self, daemon: usize) -> CallEvent {
        for action in self.queue.handle(CallEvent::TimerFired, self.now) {
            self.record_action(action);
        }
        let lost = self.waiting().into_iter();
        for (request, _) in lost.filter(|(_, owner)| *owner == daemon) {
            self.end_counts.insert(request, 1);
        }
        // The runner stops the calls of a lost daemon by their deadline, not at once.
        let requests = &self.requests;
        let is_lost = |request: RequestId| requests.contains(&(request, daemon));
        let lost = self.held.iter().filter(|(_, held)| is_lost(held.1));
        self.abandoned.extend(lost.map(|(grant, _)| *grant));
        CallEvent::RequesterLost(DAEMONS[daemon].into())
    }

    /// Makes the runners whose bits are set in the mask the live ones.
    fn replace_runners(&mut self, mask: u8) -> CallEvent {
        let live = (0..4).filter(|index| mask & (1 << index) != 0);
        let names: Vec<_> = live.map(|index| format!("r{index}")).collect();
        let is_live = |runner: &RunnerId| names.iter().any(|name| **name == **runner);
        let departed = self.held.iter().filter(|(_, held)| !is_live(&held.0));
        self.abandoned.extend(departed.map(|(grant, _)| *grant));
        let entries = names.iter().map(|name| RunnerEntry::new(name, SLOTS));
        CallEvent::RunnersChanged(entries.collect())
    }

    /// Ends the abandoned calls whose deadline has passed, and the others once their
    /// grace period has passed.
    fn end_abandoned(&mut self) {
        let (abandoned, deadlines, now) = (&self.abandoned, &self.deadlines, self.now);
        let is_over = |grant: &GrantId, request: &RequestId| {
            let margin = Duration::from_secs(if abandoned.contains(grant) { 0 } else { 30 });
            deadlines[request] + margin <= now
        };
        self.held
            .retain(|grant, (_, request)| !is_over(grant, request));
    }

    fn waiting(&self) -> Vec<(RequestId, usize)> {
        let is_open = |request| !self.end_counts.contains_key(&request);
        let waiting = self.requests.iter().copied();
        waiting.filter(|(request, _)| is_open(*request)).collect()
    }

    fn record_action(&mut self, action: CallAction) {
        let request = match action {
            CallAction::Grant(grant) => {
                *self.grant_counts.entry(grant.request).or_default() += 1;
                self.held.insert(grant.grant, (grant.runner, grant.request));
                grant.request
            }
            CallAction::Reject(request, _) | CallAction::Redirect(request, _) => request,
            CallAction::SendLoan(..) => return,
        };
        *self.end_counts.entry(request).or_default() += 1;
    }

    fn check(&self) -> Result<(), TestCaseError> {
        let mut busy: BTreeMap<&RunnerId, u32> = BTreeMap::new();
        for (runner, _) in self.held.values() {
            *busy.entry(runner).or_default() += 1;
        }
        prop_assert!(busy.values().all(|busy| *busy <= SLOTS), "{busy:?}");
        prop_assert!(self.grant_counts.values().all(|count| *count == 1));
        prop_assert!(self.end_counts.values().all(|count| *count == 1));
        prop_assert_eq!(self.waiting().len(), self.queue.waiting_len());
        Ok(())
    }
}

proptest! {
    /// Guards against a slot granted twice, and against a call that ends twice or
    /// never.
    #[test]
    fn each_call_ends_once_and_no_runner_exceeds_its_slots(steps in vec(step(), 1..200)) {
        let mut model = QueueModel::new();

        for step in &steps {
            model.apply(step);
            model.check()?;
        }

        model.apply(&Step::Wait(400));
        prop_assert_eq!(model.queue.waiting_len(), 0);
        prop_assert_eq!(model.end_counts.len(), model.requests.len());
    }
}
