//! Goodput of one call shard in overload, with faults.

#![allow(clippy::cast_precision_loss, reason = "all counts are far below 2^52")]

mod support;

use std::time::Duration;

use auburnsaddle_core::{
    CallAction, CallConfig, CallEvent, CallOutcome, CallQueue, CallRequest, GrantId, GrantResult,
    NotRunReason, RetryBudget, RetryConfig, RetryDecision, RunnerEntry, UnknownReason,
    UrgencyClass,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{EventClock, sample_exponential, sample_lognormal, table::BoundTable};

const SEED: u64 = 20_261_205;
const RUNNERS: u32 = 35;
const SLOTS: u32 = 8;
const MEAN_SERVICE: Duration = Duration::from_millis(100);
const SERVICE_SIGMA: f64 = 0.85;
const RUN_TIME: Duration = Duration::from_secs(30);
const WARM_UP: Duration = Duration::from_secs(5);
const DEADLINE: Duration = Duration::from_secs(2);
const URGENT_PART: f64 = 0.1;
/// Part of urgent calls that exceeds their share, so that some are rejected.
const LARGE_URGENT_PART: f64 = 0.5;
/// Share of the slots for urgent calls, equal to their part of the load.
const URGENT_SHARE_PERCENT: u32 = 10;
/// A share above the urgent load, whose idle slots count as lost capacity.
const LARGE_SHARE_PERCENT: u32 = 20;
/// Time in which a failing runner fails a call.
const FAILURE_TIME: Duration = Duration::from_millis(2);
const BLACKOUT_START: Duration = Duration::from_secs(12);
const BLACKOUT_END: Duration = Duration::from_secs(17);
const RECOVERY_END: Duration = Duration::from_secs(20);
const BURST_TIME: Duration = Duration::from_secs(15);
const BURST_SIZE: u32 = 10_000;
const TICK: Duration = Duration::from_millis(20);

/// What goes wrong in a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    /// Five of the 35 runners fail every call quickly.
    FailingRunners,
    /// 10,000 calls arrive at once and are cancelled at once.
    CancellationBurst,
    /// No runner is live for 5 s.
    Blackout,
}

#[derive(Clone, Copy, Debug)]
struct ShardCall {
    arrived: Duration,
    is_urgent: bool,
    attempts: u32,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrived,
    Retried(usize),
    Ended(usize, GrantId, bool),
    Burst,
    RunnersChanged(bool),
    Tick,
}

#[derive(Clone, Copy, Debug, Default)]
struct ShardCounts {
    first_attempts: u64,
    retries: u64,
    good: u64,
    good_in_recovery: u64,
    urgent_rejected: u64,
    urgent_rejected_with_share: u64,
}

#[derive(Debug)]
struct ShardRun {
    fault: Fault,
    share: u32,
    urgent_part: f64,
    per_second: f64,
    clock: EventClock<Event>,
    random: ChaCha8Rng,
    queue: CallQueue,
    budget: RetryBudget,
    calls: Vec<ShardCall>,
    urgent_running: u32,
    is_dark: bool,
    counts: ShardCounts,
}

fn capacity_per_second() -> f64 {
    f64::from(RUNNERS * SLOTS) / MEAN_SERVICE.as_secs_f64()
}

fn runners(is_dark: bool) -> CallEvent {
    let live = if is_dark { 0 } else { RUNNERS };
    let entries = (0..live).map(|index| RunnerEntry::new(&format!("r{index}"), SLOTS));
    CallEvent::RunnersChanged(entries.collect())
}

impl ShardRun {
    fn new(load: f64, fault: Fault, share_percent: u32) -> Self {
        let config = CallConfig::builder().urgent_share_percent(share_percent);
        let config = config.queue_limit(20_000).build();
        let mut queue = CallQueue::new(config);
        queue.handle(runners(false), Duration::ZERO);
        Self {
            fault,
            share: RUNNERS * SLOTS * share_percent / 100,
            urgent_part: URGENT_PART,
            per_second: capacity_per_second() * load,
            clock: EventClock::new(),
            random: ChaCha8Rng::seed_from_u64(SEED),
            queue,
            budget: RetryBudget::new(RetryConfig::default()),
            calls: Vec::new(),
            urgent_running: 0,
            is_dark: false,
            counts: ShardCounts::default(),
        }
    }

    fn run(mut self) -> ShardCounts {
        self.clock.schedule_after(Duration::ZERO, Event::Arrived);
        self.clock.schedule_after(TICK, Event::Tick);
        match self.fault {
            Fault::CancellationBurst => self.clock.schedule_after(BURST_TIME, Event::Burst),
            Fault::Blackout => {
                self.clock
                    .schedule_after(BLACKOUT_START, Event::RunnersChanged(true));
                self.clock
                    .schedule_after(BLACKOUT_END, Event::RunnersChanged(false));
            }
            Fault::None | Fault::FailingRunners => {}
        }
        while let Some(event) = self.clock.pop() {
            if self.clock.now() > RUN_TIME {
                break;
            }
            self.apply(event);
        }
        self.counts
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Arrived => {
                let delay = sample_exponential(&mut self.random, self.per_second);
                self.clock.schedule_after(delay, Event::Arrived);
                let is_urgent = self.random.random::<f64>() < self.urgent_part;
                let call = self.add_call(is_urgent);
                self.counts.first_attempts += 1;
                self.budget.record_first_attempt();
                self.request(call);
            }
            Event::Retried(call) => self.request(call),
            Event::Ended(call, grant, is_good) => self.end(call, grant, is_good),
            Event::Burst => self.burst(),
            Event::RunnersChanged(is_dark) => {
                self.is_dark = is_dark;
                self.drive(runners(is_dark));
            }
            Event::Tick => {
                self.drive(CallEvent::TimerFired);
                self.clock.schedule_after(TICK, Event::Tick);
            }
        }
    }

    fn add_call(&mut self, is_urgent: bool) -> usize {
        self.calls.push(ShardCall {
            arrived: self.clock.now(),
            is_urgent,
            attempts: 0,
        });
        self.calls.len() - 1
    }

    fn remaining(&self, call: usize) -> Duration {
        let deadline = self.calls[call].arrived + DEADLINE;
        deadline.saturating_sub(self.clock.now())
    }

    fn request(&mut self, call: usize) {
        self.calls[call].attempts += 1;
        let mut request = CallRequest::new(call as u128, self.remaining(call));
        if self.calls[call].is_urgent {
            request.urgency = UrgencyClass::Urgent;
        }
        self.drive(CallEvent::Requested(request));
    }

    fn burst(&mut self) {
        let calls: Vec<_> = (0..BURST_SIZE).map(|_| self.add_call(false)).collect();
        for call in &calls {
            self.request(*call);
        }
        for call in calls {
            self.drive(CallEvent::Cancelled(call as u128));
        }
    }

    fn drive(&mut self, event: CallEvent) {
        for action in self.queue.handle(event, self.clock.now()) {
            match action {
                CallAction::Grant(grant) => {
                    let call = usize::try_from(grant.request).expect("requests are indexes");
                    self.start(call, grant.grant, &grant.runner);
                }
                CallAction::Reject(request, reason) => {
                    let call = usize::try_from(request).expect("requests are indexes");
                    self.note_rejection(call);
                    self.retry(call, &CallOutcome::NotRun(reason));
                }
                CallAction::Redirect(..) | CallAction::SendLoan(..) => {
                    unreachable!("the shard knows no other zone")
                }
            }
        }
    }

    fn start(&mut self, call: usize, grant: GrantId, runner: &str) {
        self.urgent_running += u32::from(self.calls[call].is_urgent);
        let index: u32 = runner[1..].parse().expect("names end with the index");
        let is_good = self.fault != Fault::FailingRunners || index >= 5;
        let service = if is_good {
            sample_lognormal(&mut self.random, MEAN_SERVICE, SERVICE_SIGMA)
        } else {
            FAILURE_TIME
        };
        self.clock
            .schedule_after(service, Event::Ended(call, grant, is_good));
    }

    fn end(&mut self, call: usize, grant: GrantId, is_good: bool) {
        let now = self.clock.now();
        self.urgent_running -= u32::from(self.calls[call].is_urgent);
        let is_in_time = !self.remaining(call).is_zero();
        if is_good && is_in_time {
            self.counts.good += u64::from(now >= WARM_UP);
            self.counts.good_in_recovery += u64::from((BLACKOUT_END..RECOVERY_END).contains(&now));
        }
        let result = if is_good {
            GrantResult::Answered
        } else {
            GrantResult::Failed
        };
        self.drive(CallEvent::Returned(grant, result));
        if !is_good {
            self.retry(call, &CallOutcome::Unknown(UnknownReason::TargetReset));
        }
    }

    fn note_rejection(&mut self, call: usize) {
        if !self.calls[call].is_urgent || self.is_dark {
            return;
        }
        self.counts.urgent_rejected += 1;
        let has_share = self.urgent_running < self.share;
        self.counts.urgent_rejected_with_share += u64::from(has_share);
    }

    /// Retries as an entry daemon does; the calls are idempotent.
    fn retry(&mut self, call: usize, outcome: &CallOutcome<NotRunReason>) {
        let (attempts, remaining) = (self.calls[call].attempts, self.remaining(call));
        let random = &mut self.random;
        let decision = self
            .budget
            .decide(outcome, true, attempts, remaining, random);
        if let RetryDecision::After(delay) = decision {
            self.counts.retries += 1;
            self.clock.schedule_after(delay, Event::Retried(call));
        }
    }
}

fn report(table: &mut BoundTable, load: f64, fault: Fault) {
    let counts = ShardRun::new(load, fault, URGENT_SHARE_PERCENT).run();
    let name = |what: &str| format!("{load} x {fault:?}: {what}");
    let healthy = if fault == Fault::FailingRunners {
        f64::from(RUNNERS - 5) / f64::from(RUNNERS)
    } else {
        1.0
    };
    let (good, period) = if fault == Fault::Blackout {
        (
            counts.good_in_recovery,
            RECOVERY_END.saturating_sub(BLACKOUT_END),
        )
    } else {
        (counts.good, RUN_TIME.saturating_sub(WARM_UP))
    };
    let capacity = capacity_per_second() * healthy * period.as_secs_f64();
    let goodput = good as f64 / capacity;
    table.at_least(&name("goodput / capacity"), goodput, 0.95, SEED);
    let rejected = counts.urgent_rejected_with_share as f64;
    let what = "urgent calls rejected while their share is free";
    table.at_most(&name(what), rejected, 0.0, SEED);
    let rejected = counts.urgent_rejected.to_string();
    table.note(&name("urgent calls rejected in all"), &rejected, SEED);
    let retries = counts.retries as f64 / counts.first_attempts as f64;
    table.at_most(&name("retries / first attempts"), retries, 0.10, SEED);
}

/// Bounds what a share above the urgent load costs.
fn report_large_share(table: &mut BoundTable, load: f64) {
    let counts = ShardRun::new(load, Fault::None, LARGE_SHARE_PERCENT).run();
    let period = RUN_TIME.saturating_sub(WARM_UP);
    let goodput = counts.good as f64 / (capacity_per_second() * period.as_secs_f64());
    let name = format!("{load} x None, urgent share {LARGE_SHARE_PERCENT} %: goodput / capacity");
    table.at_least(&name, goodput, 0.95, SEED);
}

/// Checks rejections at an urgent load above the share and the capacity.
///
/// The check says nothing unless some urgent calls are rejected, so at least
/// one rejection is required.
fn report_large_urgent_part(table: &mut BoundTable, load: f64) {
    let mut run = ShardRun::new(load, Fault::None, URGENT_SHARE_PERCENT);
    run.urgent_part = LARGE_URGENT_PART;
    let counts = run.run();
    let name = |what: &str| format!("{load} x None, half of the calls urgent: {what}");
    let what = "urgent calls rejected while their share is free";
    let rejected = counts.urgent_rejected_with_share as f64;
    table.at_most(&name(what), rejected, 0.0, SEED);
    let rejected = counts.urgent_rejected as f64;
    table.at_least(&name("urgent calls rejected in all"), rejected, 1.0, SEED);
}

fn main() {
    let notes = [
        "One shard of 35 runners with 8 slots, no hops, virtual time, deadline 2 s.",
        "Capacity is slots / mean service time, of the runners that do not fail.",
        "Goodput counts calls answered before their deadline, from 5 s to 30 s.",
        "The urgent share is 10 % and urgent calls are 10 % of the load.",
        "In a blackout it counts the first 3 s after the runners are back.",
    ];
    let mut table = BoundTable::start(&notes);
    for load in [1.0, 1.5, 2.0, 4.0] {
        report(&mut table, load, Fault::None);
        report(&mut table, load, Fault::FailingRunners);
        report_large_share(&mut table, load);
    }
    report_large_urgent_part(&mut table, 4.0);
    report(&mut table, 1.5, Fault::CancellationBurst);
    report(&mut table, 1.5, Fault::Blackout);
    table.finish();
}
