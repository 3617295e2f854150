//! The runners of one call shard: their slots and their health.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    messages::{GrantResult, RunnerEntry},
    view::{RunnerHealth, RunnerView},
};
use crate::types::RunnerId;

/// Consecutive failures that put a runner on probation.
const FAILURES_TO_PROBATION: u32 = 3;
/// Consecutive successes that end a probation.
const SUCCESSES_TO_RESTORE: u32 = 3;
/// Maximum share of the live runners that are on probation at once.
///
/// When more runners fail, the calls or the network are the more likely cause.
const MAX_PROBATION_PERCENT: usize = 20;
/// Delay before the first probe of a runner on probation.
///
/// It doubles with each further probation of the runner until one ends in
/// success.
const PROBATION_BASE_DELAY: Duration = Duration::from_secs(1);
/// Delay after a rejected grant; it doubles with each further rejection.
const REJECTION_BASE_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of doublings of either delay.
const MAX_DOUBLINGS: u32 = 5;

/// Sort key for the selection of a runner: suspect runners come last, then the
/// fewest busy slots come first.
type SelectionKey = (bool, u32, RunnerId);

/// How many slots of a runner are offered to calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AdmissionState {
    /// All slots are offered.
    Open,
    /// No slot is offered before the given time, after a rejected grant.
    Backoff(Duration),
    /// One slot is offered, after the delay of a rejected grant.
    Retrying,
    /// No slot is offered before the given time, after repeated failures.
    Probation(Duration),
    /// One slot is offered, after the delay of a probation.
    Probing,
}

impl AdmissionState {
    const fn is_probation(self) -> bool {
        matches!(self, Self::Probation(_) | Self::Probing)
    }

    const fn health(self) -> RunnerHealth {
        match self {
            Self::Open => RunnerHealth::Open,
            Self::Backoff(_) | Self::Retrying => RunnerHealth::Backoff,
            Self::Probation(_) | Self::Probing => RunnerHealth::Probation,
        }
    }

    const fn offered_slots(self, slots: u32) -> u32 {
        match self {
            Self::Open => slots,
            Self::Retrying | Self::Probing if slots > 0 => 1,
            _ => 0,
        }
    }

    const fn delayed_until(self) -> Option<Duration> {
        match self {
            Self::Backoff(until) | Self::Probation(until) => Some(until),
            _ => None,
        }
    }
}

/// Slots and health of one runner.
#[derive(Clone, Debug)]
struct RunnerSlots {
    slots: u32,
    busy: u32,
    is_live: bool,
    state: AdmissionState,
    /// Failures since the last success.
    failures: u32,
    /// Successes since the last failure.
    successes: u32,
    /// Probations since the runner last recovered.
    probations: u32,
    /// Rejections since the last success.
    rejections: u32,
    /// The runner's entry in the candidates of the table, if it has idle slots.
    selection_key: Option<SelectionKey>,
    /// Idle slots that the totals of the table include for this runner.
    idle_slots: u32,
    /// Offered slots that the totals of the table include for this runner.
    capacity: u32,
}

impl RunnerSlots {
    const fn new() -> Self {
        Self {
            slots: 0,
            busy: 0,
            is_live: true,
            state: AdmissionState::Open,
            failures: 0,
            successes: 0,
            probations: 0,
            rejections: 0,
            selection_key: None,
            idle_slots: 0,
            capacity: 0,
        }
    }

    const fn record_success(&mut self) {
        self.failures = 0;
        self.rejections = 0;
        self.successes = self.successes.saturating_add(1);
        match self.state {
            AdmissionState::Retrying => self.state = AdmissionState::Open,
            AdmissionState::Probing if self.successes >= SUCCESSES_TO_RESTORE => {
                self.state = AdmissionState::Open;
                self.probations = 0;
            }
            _ => {}
        }
    }

    fn record_failure(&mut self, can_enter_probation: bool, now: Duration) {
        self.failures = self.failures.saturating_add(1);
        self.successes = 0;
        let is_probation_due = match self.state {
            AdmissionState::Open | AdmissionState::Retrying => {
                self.failures >= FAILURES_TO_PROBATION && can_enter_probation
            }
            AdmissionState::Probing => true,
            AdmissionState::Backoff(_) | AdmissionState::Probation(_) => false,
        };
        if is_probation_due {
            self.state = AdmissionState::Probation(
                now + exponential_delay(PROBATION_BASE_DELAY, self.probations),
            );
            self.probations += 1;
        }
    }

    fn record_rejection(&mut self, now: Duration) {
        match self.state {
            AdmissionState::Open | AdmissionState::Retrying => {
                self.state = AdmissionState::Backoff(
                    now + exponential_delay(REJECTION_BASE_DELAY, self.rejections),
                );
                self.rejections += 1;
            }
            AdmissionState::Probing => {
                self.state = AdmissionState::Probation(
                    now + exponential_delay(PROBATION_BASE_DELAY, self.probations),
                );
                self.probations += 1;
            }
            // A grant from before the delay fails for the same reason and must
            // not lengthen the delay.
            AdmissionState::Backoff(_) | AdmissionState::Probation(_) => {}
        }
    }
}

/// Returns the base delay after a number of doublings, up to the maximum.
fn exponential_delay(base: Duration, doublings: u32) -> Duration {
    base * (1 << doublings.min(MAX_DOUBLINGS))
}

/// The runners of a call shard, live or with granted slots.
#[derive(Clone, Debug, Default)]
pub(super) struct RunnerTable {
    runners: BTreeMap<RunnerId, RunnerSlots>,
    /// Runners with an idle slot, best one first.
    candidates: BTreeSet<SelectionKey>,
    /// Ends of the delays after rejections and failures.
    delays: BTreeSet<(Duration, RunnerId)>,
    live_len: usize,
    probation_len: usize,
    /// Sum of the idle slots of all runners.
    idle_slots: u32,
    /// Sum of the offered slots of all runners.
    capacity: u32,
}

impl RunnerTable {
    /// Returns whether any runner is live.
    pub(super) const fn has_live(&self) -> bool {
        self.live_len > 0
    }

    /// Returns the number of runners on probation.
    pub(super) const fn probation_len(&self) -> usize {
        self.probation_len
    }

    /// Returns the number of offered slots that are free.
    pub(super) const fn idle_slots(&self) -> u32 {
        self.idle_slots
    }

    /// Returns the number of offered slots, free or busy.
    pub(super) const fn capacity(&self) -> u32 {
        self.capacity
    }

    /// Returns the runners for the operators' dump.
    pub(super) fn views(&self) -> Vec<RunnerView> {
        let runners = self.runners.iter().map(|(name, runner)| RunnerView {
            runner: name.clone(),
            slots: runner.slots,
            busy: runner.busy,
            live: runner.is_live,
            health: runner.state.health(),
        });
        runners.collect()
    }

    /// Returns when the next delay of a runner ends.
    pub(super) fn next_delay_end(&self) -> Option<Duration> {
        self.delays.first().map(|(until, _)| *until)
    }

    /// Returns whether a runner is in the list of live runners.
    pub(super) fn is_live(&self, name: &RunnerId) -> bool {
        self.runners.get(name).is_some_and(|runner| runner.is_live)
    }

    /// Replaces the list of live runners.
    ///
    /// A runner that is no longer listed is kept while it has grants, so that its
    /// slots are not granted twice when it is listed again.
    pub(super) fn replace_runners(&mut self, entries: Vec<RunnerEntry>) {
        for runner in self.runners.values_mut() {
            runner.is_live = false;
        }
        for entry in entries {
            let runner = self.runners.entry(entry.runner);
            let runner = runner.or_insert_with(RunnerSlots::new);
            runner.is_live = true;
            runner.slots = entry.slots;
        }
        self.runners
            .retain(|_, runner| runner.is_live || runner.busy > 0);
        self.rebuild_indexes();
    }

    /// Occupies a slot of the best candidate and returns its runner.
    pub(super) fn take_slot(&mut self) -> Option<RunnerId> {
        let (_, _, name) = self.candidates.first()?.clone();
        self.update_runner(&name, |runner| runner.busy += 1);
        Some(name)
    }

    /// Frees a slot and updates the runner's health by the result of the call.
    pub(super) fn release_slot(&mut self, name: &RunnerId, result: GrantResult, now: Duration) {
        let can_enter_probation = self.probation_len < self.probation_limit();
        self.update_runner(name, |runner| {
            runner.busy -= 1;
            match result {
                GrantResult::Answered => runner.record_success(),
                GrantResult::Failed => runner.record_failure(can_enter_probation, now),
                GrantResult::Rejected => runner.record_rejection(now),
                GrantResult::Unused => {}
            }
        });
        let is_removable = |runner: &RunnerSlots| !runner.is_live && runner.busy == 0;
        if self.runners.get(name).is_some_and(is_removable)
            && let Some(runner) = self.runners.remove(name)
        {
            // Without its runner, a delay in the set could never be ended.
            self.unindex_runner(name, &runner);
        }
    }

    /// Offers one slot of each runner whose delay has ended.
    pub(super) fn end_delays(&mut self, now: Duration) {
        while let Some((until, name)) = self.delays.first().cloned() {
            if until > now {
                return;
            }
            self.update_runner(&name, |runner| {
                runner.state = match runner.state {
                    AdmissionState::Probation(_) => AdmissionState::Probing,
                    _ => AdmissionState::Retrying,
                };
            });
        }
    }

    const fn probation_limit(&self) -> usize {
        self.live_len * MAX_PROBATION_PERCENT / 100
    }

    /// Changes a runner and updates the candidates, delays and totals.
    fn update_runner(&mut self, name: &RunnerId, change: impl FnOnce(&mut RunnerSlots)) {
        let Some(mut runner) = self.runners.remove(name) else {
            return;
        };
        self.unindex_runner(name, &runner);
        change(&mut runner);
        self.index_runner(name, &mut runner);
        self.runners.insert(name.clone(), runner);
    }

    /// Removes a runner from the candidates, delays and totals.
    fn unindex_runner(&mut self, name: &RunnerId, runner: &RunnerSlots) {
        if let Some(key) = &runner.selection_key {
            self.candidates.remove(key);
        }
        if let Some(until) = runner.state.delayed_until() {
            self.delays.remove(&(until, name.clone()));
        }
        self.probation_len -= usize::from(runner.is_live && runner.state.is_probation());
        self.idle_slots -= runner.idle_slots;
        self.capacity -= runner.capacity;
    }

    /// Adds a runner to the candidates, delays and totals.
    fn index_runner(&mut self, name: &RunnerId, runner: &mut RunnerSlots) {
        let slots = if runner.is_live { runner.slots } else { 0 };
        runner.capacity = runner.state.offered_slots(slots);
        runner.idle_slots = runner.capacity.saturating_sub(runner.busy);
        // A probed runner is not ranked last, or it would get no call and never
        // recover at low load.
        let is_suspect =
            runner.state == AdmissionState::Open && runner.failures >= FAILURES_TO_PROBATION;
        runner.selection_key =
            (runner.idle_slots > 0).then(|| (is_suspect, runner.busy, name.clone()));
        self.candidates.extend(runner.selection_key.clone());
        let until = runner.state.delayed_until();
        self.delays.extend(until.map(|until| (until, name.clone())));
        self.probation_len += usize::from(runner.is_live && runner.state.is_probation());
        self.idle_slots += runner.idle_slots;
        self.capacity += runner.capacity;
    }

    /// Rebuilds the candidates, delays and totals from the runners.
    fn rebuild_indexes(&mut self) {
        let runners = std::mem::take(&mut self.runners);
        *self = Self::default();
        self.live_len = runners.values().filter(|runner| runner.is_live).count();
        for (name, mut runner) in runners {
            // With fewer live runners, fewer may be on probation.
            let is_over_limit = self.probation_len >= self.probation_limit();
            if runner.is_live && runner.state.is_probation() && is_over_limit {
                runner.state = AdmissionState::Open;
            }
            self.index_runner(&name, &mut runner);
            self.runners.insert(name, runner);
        }
    }
}
