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

/// Failures in a row that put a runner on probation.
const FAILURE_LIMIT: u32 = 3;
/// Successes in a row that end a probation.
const RECOVERY_COUNT: u32 = 3;
/// Most runners on probation at once, in percent of the live ones.
///
/// When more fail, the cause is more likely the calls or the network than the
/// runners.
const PROBATION_PERCENT: usize = 20;
/// Time until the first probe of a runner on probation; doubles at each relapse.
const PROBATION_BASE: Duration = Duration::from_secs(1);
/// Pause after a rejected grant; doubles with each further rejection.
const REJECTION_BASE: Duration = Duration::from_millis(50);
/// Most doublings of either pause.
const DOUBLING_LIMIT: u32 = 5;

/// Place of a runner in the order of selection: suspects last, fewest busy first.
type OfferKey = (bool, u32, RunnerId);

/// Whether a runner takes calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RunnerGate {
    /// All slots are offered.
    Open,
    /// No slot is offered until a time, after a rejected grant.
    Backoff(Duration),
    /// One slot is offered after a rejected grant.
    Retrying,
    /// No slot is offered until a time, after repeated failures.
    Probation(Duration),
    /// One slot is offered after repeated failures.
    Probing,
}

impl RunnerGate {
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

    const fn allowed(self, slots: u32) -> u32 {
        match self {
            Self::Open => slots,
            Self::Retrying | Self::Probing if slots > 0 => 1,
            _ => 0,
        }
    }

    const fn until(self) -> Option<Duration> {
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
    live: bool,
    gate: RunnerGate,
    failures: u32,
    successes: u32,
    relapses: u32,
    rejections: u32,
    /// What the table counts for this runner now.
    offer: Option<OfferKey>,
    spare: u32,
    capacity: u32,
}

impl RunnerSlots {
    const fn new() -> Self {
        Self {
            slots: 0,
            busy: 0,
            live: true,
            gate: RunnerGate::Open,
            failures: 0,
            successes: 0,
            relapses: 0,
            rejections: 0,
            offer: None,
            spare: 0,
            capacity: 0,
        }
    }

    const fn note_success(&mut self) {
        self.failures = 0;
        self.rejections = 0;
        self.successes = self.successes.saturating_add(1);
        match self.gate {
            RunnerGate::Retrying => self.gate = RunnerGate::Open,
            RunnerGate::Probing if self.successes >= RECOVERY_COUNT => {
                self.gate = RunnerGate::Open;
                self.relapses = 0;
            }
            _ => {}
        }
    }

    fn note_failure(&mut self, can_leave: bool, now: Duration) {
        self.failures = self.failures.saturating_add(1);
        self.successes = 0;
        let is_due = match self.gate {
            RunnerGate::Open | RunnerGate::Retrying => self.failures >= FAILURE_LIMIT && can_leave,
            RunnerGate::Probing => true,
            RunnerGate::Backoff(_) | RunnerGate::Probation(_) => false,
        };
        if is_due {
            self.gate = RunnerGate::Probation(now + doubled(PROBATION_BASE, self.relapses));
            self.relapses += 1;
        }
    }

    fn note_rejection(&mut self, now: Duration) {
        match self.gate {
            RunnerGate::Open | RunnerGate::Retrying => {
                self.gate = RunnerGate::Backoff(now + doubled(REJECTION_BASE, self.rejections));
                self.rejections += 1;
            }
            RunnerGate::Probing => {
                self.gate = RunnerGate::Probation(now + doubled(PROBATION_BASE, self.relapses));
                self.relapses += 1;
            }
            // Grants made before the pause fail with it and say nothing new.
            RunnerGate::Backoff(_) | RunnerGate::Probation(_) => {}
        }
    }
}

fn doubled(base: Duration, times: u32) -> Duration {
    base * (1 << times.min(DOUBLING_LIMIT))
}

/// All runners of a call shard.
#[derive(Clone, Debug, Default)]
pub(super) struct RunnerTable {
    runners: BTreeMap<RunnerId, RunnerSlots>,
    offers: BTreeSet<OfferKey>,
    pauses: BTreeSet<(Duration, RunnerId)>,
    live: usize,
    on_probation: usize,
    spare: u32,
    capacity: u32,
}

impl RunnerTable {
    /// Tells whether any runner is live.
    pub(super) const fn has_live(&self) -> bool {
        self.live > 0
    }

    /// Returns the number of runners on probation.
    pub(super) const fn on_probation(&self) -> usize {
        self.on_probation
    }

    /// Returns the number of offered slots that are free.
    pub(super) const fn spare(&self) -> u32 {
        self.spare
    }

    /// Returns the number of offered slots, free or busy.
    pub(super) const fn capacity(&self) -> u32 {
        self.capacity
    }

    /// Returns all runners as operators see them.
    pub(super) fn views(&self) -> Vec<RunnerView> {
        let runners = self.runners.iter().map(|(name, runner)| RunnerView {
            runner: name.clone(),
            slots: runner.slots,
            busy: runner.busy,
            live: runner.live,
            health: runner.gate.health(),
        });
        runners.collect()
    }

    /// Returns when the next pause of a runner ends.
    pub(super) fn next_pause(&self) -> Option<Duration> {
        self.pauses.first().map(|(until, _)| *until)
    }

    /// Tells whether a runner is known and live.
    pub(super) fn is_live(&self, name: &RunnerId) -> bool {
        self.runners.get(name).is_some_and(|runner| runner.live)
    }

    /// Takes over the list of live runners.
    ///
    /// A runner that left stays known while it has grants, so that its slots
    /// are not granted twice when it returns.
    pub(super) fn replace(&mut self, entries: Vec<RunnerEntry>) {
        for runner in self.runners.values_mut() {
            runner.live = false;
        }
        for entry in entries {
            let runner = self.runners.entry(entry.runner);
            let runner = runner.or_insert_with(RunnerSlots::new);
            runner.live = true;
            runner.slots = entry.slots;
        }
        self.runners
            .retain(|_, runner| runner.live || runner.busy > 0);
        self.rebuild();
    }

    /// Occupies a slot of the best runner.
    pub(super) fn take(&mut self) -> Option<RunnerId> {
        let (_, _, name) = self.offers.first()?.clone();
        self.update(&name, |runner| runner.busy += 1);
        Some(name)
    }

    /// Frees a slot and notes how its call ended.
    pub(super) fn release(&mut self, name: &RunnerId, result: GrantResult, now: Duration) {
        let can_leave = self.on_probation < self.probation_limit();
        self.update(name, |runner| {
            runner.busy -= 1;
            match result {
                GrantResult::Answered => runner.note_success(),
                GrantResult::Failed => runner.note_failure(can_leave, now),
                GrantResult::Rejected => runner.note_rejection(now),
                GrantResult::Unused => {}
            }
        });
        let is_gone = |runner: &RunnerSlots| !runner.live && runner.busy == 0;
        if self.runners.get(name).is_some_and(is_gone)
            && let Some(runner) = self.runners.remove(name)
        {
            // A pause left behind would never end, as no runner could change it.
            self.withdraw(name, &runner);
        }
    }

    /// Lets runners whose pause has ended take one call.
    pub(super) fn end_pauses(&mut self, now: Duration) {
        while let Some((until, name)) = self.pauses.first().cloned() {
            if until > now {
                return;
            }
            self.update(&name, |runner| {
                runner.gate = match runner.gate {
                    RunnerGate::Probation(_) => RunnerGate::Probing,
                    _ => RunnerGate::Retrying,
                };
            });
        }
    }

    const fn probation_limit(&self) -> usize {
        self.live * PROBATION_PERCENT / 100
    }

    /// Changes a runner and what the table counts for it.
    fn update(&mut self, name: &RunnerId, change: impl FnOnce(&mut RunnerSlots)) {
        let Some(mut runner) = self.runners.remove(name) else {
            return;
        };
        self.withdraw(name, &runner);
        change(&mut runner);
        self.offer(name, &mut runner);
        self.runners.insert(name.clone(), runner);
    }

    fn withdraw(&mut self, name: &RunnerId, runner: &RunnerSlots) {
        if let Some(key) = &runner.offer {
            self.offers.remove(key);
        }
        if let Some(until) = runner.gate.until() {
            self.pauses.remove(&(until, name.clone()));
        }
        self.on_probation -= usize::from(runner.live && runner.gate.is_probation());
        self.spare -= runner.spare;
        self.capacity -= runner.capacity;
    }

    fn offer(&mut self, name: &RunnerId, runner: &mut RunnerSlots) {
        let slots = if runner.live { runner.slots } else { 0 };
        runner.capacity = runner.gate.allowed(slots);
        runner.spare = runner.capacity.saturating_sub(runner.busy);
        // A runner that is probed is not ranked last, or it would never recover at low load.
        let is_suspect = runner.gate == RunnerGate::Open && runner.failures >= FAILURE_LIMIT;
        runner.offer = (runner.spare > 0).then(|| (is_suspect, runner.busy, name.clone()));
        self.offers.extend(runner.offer.clone());
        let until = runner.gate.until();
        self.pauses.extend(until.map(|until| (until, name.clone())));
        self.on_probation += usize::from(runner.live && runner.gate.is_probation());
        self.spare += runner.spare;
        self.capacity += runner.capacity;
    }

    fn rebuild(&mut self) {
        let runners = std::mem::take(&mut self.runners);
        *self = Self::default();
        self.live = runners.values().filter(|runner| runner.live).count();
        for (name, mut runner) in runners {
            // A smaller fleet allows fewer runners on probation.
            let is_over_limit = self.on_probation >= self.probation_limit();
            if runner.live && runner.gate.is_probation() && is_over_limit {
                runner.gate = RunnerGate::Open;
            }
            self.offer(&name, &mut runner);
            self.runners.insert(name, runner);
        }
    }
}
