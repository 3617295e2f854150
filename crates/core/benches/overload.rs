//! Goodput of one call shard under overload, with and without faults.

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

/// Seed of the load, which all runs share.
const SEED: u64 = 20_261_205;
const RUNNER_COUNT: u32 = 35;
const SLOTS_PER_RUNNER: u32 = 8;
const MEAN_SERVICE_TIME: Duration = Duration::from_millis(100);
/// Sigma of the lognormal service time.
const SERVICE_SIGMA: f64 = 0.85;
const RUN_TIME: Duration = Duration::from_secs(30);
const WARM_UP: Duration = Duration::from_secs(5);
const DEADLINE: Duration = Duration::from_secs(2);
const URGENT_FRACTION: f64 = 0.1;
/// Fraction of urgent calls that exceeds the urgent share, so that some are rejected.
const HIGH_URGENT_FRACTION: f64 = 0.5;
/// Share of the slots reserved for urgent calls, equal to their fraction of the load.
const URGENT_SHARE_PERCENT: u32 = 10;
/// Share above the urgent load; its idle slots count as lost capacity.
const LARGE_URGENT_SHARE_PERCENT: u32 = 20;
/// Time that a failing runner takes to fail a call.
const FAILURE_LATENCY: Duration = Duration::from_millis(2);
const BLACKOUT_START: Duration = Duration::from_secs(12);
const BLACKOUT_END: Duration = Duration::from_secs(17);
const RECOVERY_END: Duration = Duration::from_secs(20);
const BURST_START: Duration = Duration::from_secs(15);
const BURST_SIZE: u32 = 10_000;
const TIMER_INTERVAL: Duration = Duration::from_millis(20);

/// Fault that is injected into a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    /// Five of the 35 runners fail every call after `FAILURE_LATENCY`.
    FailingRunners,
    /// 10,000 calls arrive at the same time and are cancelled immediately.
    CancellationBurst,
    /// No runner is live for 5 s.
    Blackout,
}

/// State of one call at its caller.
#[derive(Clone, Copy, Debug)]
struct ShardCall {
    arrived: Duration,
    is_urgent: bool,
    attempts: u32,
}

/// Simulated event. Calls are given by their index.
#[derive(Clone, Copy, Debug)]
enum Event {
    Arrived,
    Retried(usize),
    /// A runner ended the call under the grant, with success or a failure.
    Ended(usize, GrantId, bool),
    Burst,
    /// A blackout begins (`true`) or ends.
    RunnersChanged(bool),
    Tick,
}

/// Counts of one run.
#[derive(Clone, Copy, Debug, Default)]
struct ShardCounts {
    first_attempts: u64,
    retries: u64,
    /// Calls answered before their deadline, after the warm-up.
    good: u64,
    /// Calls answered before their deadline between the end of the blackout and
    /// `RECOVERY_END`.
    good_in_recovery: u64,
    /// Urgent calls rejected outside a blackout.
    urgent_rejected: u64,
    /// Those of them that were rejected while fewer urgent calls ran than the
    /// urgent share has slots.
    urgent_rejected_below_share: u64,
}

/// Simulation of one call shard with its callers and runners.
#[derive(Debug)]
struct ShardRun {
    fault: Fault,
    /// Slots reserved for urgent calls.
    urgent_slots: u32,
    urgent_fraction: f64,
    /// Mean rate of first attempts.
    arrivals_per_second: f64,
    clock: EventClock<Event>,
    random: ChaCha8Rng,
    queue: CallQueue,
    budget: RetryBudget,
    calls: Vec<ShardCall>,
    /// Urgent calls that run now.
    urgent_running: u32,
    is_blackout: bool,
    counts: ShardCounts,
}

/// Returns the calls per second that all runners can serve.
fn capacity_per_second() -> f64 {
    f64::from(RUNNER_COUNT * SLOTS_PER_RUNNER) / MEAN_SERVICE_TIME.as_secs_f64()
}

/// Creates the event that reports all runners as live, or none in a blackout.
fn create_runners_event(is_blackout: bool) -> CallEvent {
    let live = if is_blackout { 0 } else { RUNNER_COUNT };
    let entries = (0..live).map(|index| RunnerEntry::new(&format!("r{index}"), SLOTS_PER_RUNNER));
    CallEvent::RunnersChanged(entries.collect())
}

impl ShardRun {
    fn new(load: f64, fault: Fault, share_percent: u32) -> Self {
        let config = CallConfig::builder().urgent_share_percent(share_percent);
        let config = config.queue_limit(20_000).build();
        let mut queue = CallQueue::new(config);
        queue.handle(create_runners_event(false), Duration::ZERO);
        Self {
            fault,
            urgent_slots: RUNNER_COUNT * SLOTS_PER_RUNNER * share_percent / 100,
            urgent_fraction: URGENT_FRACTION,
            arrivals_per_second: capacity_per_second() * load,
            clock: EventClock::new(),
            random: ChaCha8Rng::seed_from_u64(SEED),
            queue,
            budget: RetryBudget::new(RetryConfig::default()),
            calls: Vec::new(),
            urgent_running: 0,
            is_blackout: false,
            counts: ShardCounts::default(),
        }
    }

    fn run(mut self) -> ShardCounts {
        self.clock.schedule_after(Duration::ZERO, Event::Arrived);
        self.clock.schedule_after(TIMER_INTERVAL, Event::Tick);
        match self.fault {
            Fault::CancellationBurst => self.clock.schedule_after(BURST_START, Event::Burst),
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
            self.handle_event(event);
        }
        self.counts
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrived => {
                let delay = sample_exponential(&mut self.random, self.arrivals_per_second);
                self.clock.schedule_after(delay, Event::Arrived);
                let is_urgent = self.random.random::<f64>() < self.urgent_fraction;
                let call = self.add_call(is_urgent);
                self.counts.first_attempts += 1;
                self.budget.record_first_attempt();
                self.submit_attempt(call);
            }
            Event::Retried(call) => self.submit_attempt(call),
            Event::Ended(call, grant, is_good) => self.end_call(call, grant, is_good),
            Event::Burst => self.submit_cancelled_burst(),
            Event::RunnersChanged(is_blackout) => {
                self.is_blackout = is_blackout;
                self.handle_queue_event(create_runners_event(is_blackout));
            }
            Event::Tick => {
                self.handle_queue_event(CallEvent::TimerFired);
                self.clock.schedule_after(TIMER_INTERVAL, Event::Tick);
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

    fn submit_attempt(&mut self, call: usize) {
        self.calls[call].attempts += 1;
        let mut request = CallRequest::new(call as u128, self.remaining(call));
        if self.calls[call].is_urgent {
            request.urgency = UrgencyClass::Urgent;
        }
        self.handle_queue_event(CallEvent::Requested(request));
    }

    fn submit_cancelled_burst(&mut self) {
        let calls: Vec<_> = (0..BURST_SIZE).map(|_| self.add_call(false)).collect();
        for call in &calls {
            self.submit_attempt(*call);
        }
        for call in calls {
            self.handle_queue_event(CallEvent::Cancelled(call as u128));
        }
    }

    fn handle_queue_event(&mut self, event: CallEvent) {
        for action in self.queue.handle(event, self.clock.now()) {
            match action {
                CallAction::Grant(grant) => {
                    let call = usize::try_from(grant.request).expect("requests are indexes");
                    self.start_call(call, grant.grant, &grant.runner);
                }
                CallAction::Reject(request, reason) => {
                    let call = usize::try_from(request).expect("requests are indexes");
                    self.count_rejection(call);
                    self.schedule_retry(call, &CallOutcome::NotRun(reason));
                }
                CallAction::Redirect(..) | CallAction::SendLoan(..) => {
                    unreachable!("the shard knows no other zone")
                }
            }
        }
    }

    fn start_call(&mut self, call: usize, grant: GrantId, runner: &str) {
        self.urgent_running += u32::from(self.calls[call].is_urgent);
        let index: u32 = runner[1..].parse().expect("names end with the index");
        let is_good = self.fault != Fault::FailingRunners || index >= 5;
        let service = if is_good {
            sample_lognormal(&mut self.random, MEAN_SERVICE_TIME, SERVICE_SIGMA)
        } else {
            FAILURE_LATENCY
        };
        self.clock
            .schedule_after(service, Event::Ended(call, grant, is_good));
    }

    fn end_call(&mut self, call: usize, grant: GrantId, is_good: bool) {
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
        self.handle_queue_event(CallEvent::Returned(grant, result));
        if !is_good {
            self.schedule_retry(call, &CallOutcome::Unknown(UnknownReason::TargetReset));
        }
    }

    fn count_rejection(&mut self, call: usize) {
        if !self.calls[call].is_urgent || self.is_blackout {
            return;
        }
        self.counts.urgent_rejected += 1;
        let is_below_share = self.urgent_running < self.urgent_slots;
        self.counts.urgent_rejected_below_share += u64::from(is_below_share);
    }

    /// Schedules a retry by the rules of an entry daemon for idempotent calls.
    fn schedule_retry(&mut self, call: usize, outcome: &CallOutcome<NotRunReason>) {
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

/// Runs one load with a fault and prints its rows.
fn report_fault(table: &mut BoundTable, load: f64, fault: Fault) {
    let counts = ShardRun::new(load, fault, URGENT_SHARE_PERCENT).run();
    let name = |what: &str| format!("{load} x {fault:?}: {what}");
    let healthy = if fault == Fault::FailingRunners {
        f64::from(RUNNER_COUNT - 5) / f64::from(RUNNER_COUNT)
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
    let rejected = counts.urgent_rejected_below_share as f64;
    let what = "urgent calls rejected while their share is free";
    table.at_most(&name(what), rejected, 0.0, SEED);
    let rejected = counts.urgent_rejected.to_string();
    table.note(&name("urgent calls rejected in all"), &rejected, SEED);
    let retries = counts.retries as f64 / counts.first_attempts as f64;
    table.at_most(&name("retries / first attempts"), retries, 0.10, SEED);
}

/// Bounds the goodput lost to an urgent share that exceeds the urgent load.
fn report_large_share(table: &mut BoundTable, load: f64) {
    let counts = ShardRun::new(load, Fault::None, LARGE_URGENT_SHARE_PERCENT).run();
    let period = RUN_TIME.saturating_sub(WARM_UP);
    let goodput = counts.good as f64 / (capacity_per_second() * period.as_secs_f64());
    let name =
        format!("{load} x None, urgent share {LARGE_URGENT_SHARE_PERCENT} %: goodput / capacity");
    table.at_least(&name, goodput, 0.95, SEED);
}

/// Checks the rejections when the urgent load exceeds the urgent share and the
/// capacity.
///
/// Requires at least one rejected urgent call, because the check is vacuous
/// without one.
fn report_high_urgent_fraction(table: &mut BoundTable, load: f64) {
    let mut run = ShardRun::new(load, Fault::None, URGENT_SHARE_PERCENT);
    run.urgent_fraction = HIGH_URGENT_FRACTION;
    let counts = run.run();
    let name = |what: &str| format!("{load} x None, half of the calls urgent: {what}");
    let what = "urgent calls rejected while their share is free";
    let rejected = counts.urgent_rejected_below_share as f64;
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
        report_fault(&mut table, load, Fault::None);
        report_fault(&mut table, load, Fault::FailingRunners);
        report_large_share(&mut table, load);
    }
    report_high_urgent_fraction(&mut table, 4.0);
    report_fault(&mut table, 1.5, Fault::CancellationBurst);
    report_fault(&mut table, 1.5, Fault::Blackout);
    table.finish();
}
