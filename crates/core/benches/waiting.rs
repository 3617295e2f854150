//! Waiting time of short calls, compared with direct selection and an ideal queue.

#![allow(clippy::cast_precision_loss, reason = "all counts are far below 2^52")]

mod support;

use std::{collections::VecDeque, time::Duration};

use auburnsaddle_core::{
    CallAction, CallConfig, CallEvent, CallQueue, CallRequest, GrantId, GrantResult, LoanConfig,
    LoanMessage, RunnerEntry, UrgencyClass,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::times::{WaitingTimes, quantile_ms};
use support::{EventClock, sample_exponential, sample_lognormal, table::BoundTable};

const SEED: u64 = 20_261_204;
/// Seeds that show whether a rule fits more than the first one.
const FURTHER_SEEDS: [u64; 7] = [1, 2, 3, 4, 5, 6, 7];
const ZONES: usize = 3;
const DAEMONS: usize = 8;
const RUNNERS: usize = 35;
const SLOTS: u32 = 8;
const MEAN_SERVICE: Duration = Duration::from_millis(100);
/// Spread of the lognormal service time; its p99 is about 7 times its median.
const SERVICE_SIGMA: f64 = 0.85;
const RUN_TIME: Duration = Duration::from_secs(30);
const WARM_UP: Duration = Duration::from_secs(3);
const CALLER_HOP: Duration = Duration::from_millis(1);
const ZONE_HOP: Duration = Duration::from_micros(500);
const CROSS_HOP: Duration = Duration::from_millis(4);
/// Mean of the exponential part added to each hop, relative to the hop.
const JITTER: f64 = 0.1;
const URGENT_PART: f64 = 0.2;
const DEADLINE: Duration = Duration::from_secs(10);
/// Period of load reports between the owners of one service.
///
/// The heartbeat period of 500 ms leaves reports stale for longer than a burst.
const LOAD_PERIOD: Duration = Duration::from_millis(50);
/// When daemon 0 crashes in a run with a crash.
const CRASH_TIME: Duration = Duration::from_secs(10);
/// Time from the crash after which the cell counts as steady again.
///
/// In 2.1 s without an owner zone 0 gathers about 1,870 calls, and a cell at
/// 85 % can serve 420 calls per second beyond its load: 4.5 s more at best.
const RECOVERY: Duration = Duration::from_secs(10);
/// Suspicion, random delay and compare-and-swap after a refused connection.
const REFUSED_TAKEOVER: Duration = Duration::from_millis(600);
/// The same when the owner falls silent, after 1.5 s without a heartbeat.
const SILENT_TAKEOVER: Duration = Duration::from_millis(2_100);
/// Mean time between two attempts of an entry to reach an owner or a slot.
const RESUBMIT: Duration = Duration::from_millis(50);
const TICK: Duration = Duration::from_millis(20);

/// How a runner is chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Policy {
    /// The `CallQueue` of each zone, with its grant hop and redirects.
    Owners,
    /// One queue that knows all slots without any delay.
    Central,
    /// Any runner, with a queue at the runner.
    Random,
    /// Each entry takes all runners in turn.
    RoundRobin,
    /// The runner with the fewest calls of the same entry.
    LeastOutstanding,
    /// The one of two random runners with fewer calls of the same entry.
    TwoChoices,
}

/// One call of the load, the same for every policy.
#[derive(Clone, Copy, Debug)]
struct LoadCall {
    at: Duration,
    entry: usize,
    service: Duration,
    is_urgent: bool,
}

#[derive(Clone, Debug)]
enum Event {
    Arrived(usize),
    AtEntry(usize),
    AtOwner(usize, usize, bool),
    Granted(usize, usize, UsedGrant),
    AtRunner(usize, usize),
    Ended(usize, usize),
    AnsweredAtEntry(usize, usize),
    ReturnedAtOwner(UsedGrant, GrantResult),
    /// A message about loans arrives at a zone from another one.
    LoanAt(usize, usize, LoanMessage),
    LoadDue,
    LoadAt(usize, usize, u32, u32),
    Crashed,
    TakenOver,
    Tick,
}

/// A grant in use: the zone and epoch of its owner and its identifier.
#[derive(Clone, Copy, Debug)]
struct UsedGrant {
    zone: usize,
    epoch: u64,
    grant: GrantId,
    /// Epoch of the owner of the runner's zone when the grant was made.
    fence: u64,
}

#[derive(Debug)]
struct CellRun<'a> {
    policy: Policy,
    fleet: Fleet,
    calls: &'a [LoadCall],
    clock: EventClock<Event>,
    random: ChaCha8Rng,
    owners: Vec<CallQueue>,
    busy: Vec<u32>,
    queued: Vec<VecDeque<usize>>,
    central: [VecDeque<usize>; 2],
    outstanding: Vec<[u32; RUNNERS]>,
    turns: [usize; DAEMONS],
    grants: Vec<Option<UsedGrant>>,
    /// Zone whose owner holds a call in its queue.
    waiting: Vec<Option<usize>>,
    epochs: [u64; ZONES],
    /// Highest epoch that each runner has seen.
    fences: Vec<u64>,
    has_owner: bool,
    /// Calls for the zone without an owner.
    orphans: Vec<usize>,
    times: WaitingTimes,
}

const fn zone_of(index: usize) -> usize {
    index % ZONES
}

/// Which daemons live during a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fleet {
    Whole,
    /// Daemon 0 is dead for the whole run, so its shard has its successor as owner.
    WithoutFirst,
    /// Daemon 0 crashes in mid-run; its successor owns the shard after a time.
    Crash(Duration),
}

impl Fleet {
    /// Returns the owner of a zone's shard: its first live daemon.
    fn owner_of(self, zone: usize, now: Duration) -> usize {
        match (self, zone) {
            (Self::WithoutFirst, 0) => ZONES,
            (Self::Crash(_), 0) if now >= CRASH_TIME => ZONES,
            _ => zone,
        }
    }

    /// Returns the first daemon that callers reach.
    fn first_daemon(self, at: Duration) -> usize {
        match self {
            Self::Whole => 0,
            Self::WithoutFirst => 1,
            Self::Crash(_) => usize::from(at >= CRASH_TIME),
        }
    }
}

impl<'a> CellRun<'a> {
    fn new(policy: Policy, fleet: Fleet, seed: u64, calls: &'a [LoadCall]) -> Self {
        Self {
            policy,
            fleet,
            calls,
            clock: EventClock::new(),
            random: ChaCha8Rng::seed_from_u64(seed + 1),
            owners: (0..ZONES)
                .map(|zone| owner_queue(zone, 1, Duration::ZERO))
                .collect(),
            busy: vec![0; RUNNERS],
            queued: vec![VecDeque::new(); RUNNERS],
            central: [VecDeque::new(), VecDeque::new()],
            outstanding: vec![[0; RUNNERS]; DAEMONS],
            turns: [0; DAEMONS],
            grants: vec![None; calls.len()],
            waiting: vec![None; calls.len()],
            epochs: [1; ZONES],
            fences: vec![1; RUNNERS],
            has_owner: true,
            orphans: Vec::new(),
            times: WaitingTimes::new(),
        }
    }

    fn run(mut self) -> WaitingTimes {
        self.clock
            .schedule_after(self.calls[0].at, Event::Arrived(0));
        if self.policy == Policy::Owners {
            self.clock.schedule_after(LOAD_PERIOD, Event::LoadDue);
            self.clock.schedule_after(TICK, Event::Tick);
        }
        if let Fleet::Crash(takeover) = self.fleet {
            self.clock.schedule_after(CRASH_TIME, Event::Crashed);
            self.clock
                .schedule_after(CRASH_TIME + takeover, Event::TakenOver);
        }
        while let Some(event) = self.clock.pop() {
            self.apply(event);
        }
        self.times
    }

    fn owner_of(&self, zone: usize) -> usize {
        self.fleet.owner_of(zone, self.clock.now())
    }

    /// Drops the state of daemon 0: its queue, and the calls that it carried.
    fn crash(&mut self) {
        self.has_owner = false;
        let waiting = (0..self.calls.len()).filter(|call| self.waiting[*call] == Some(0));
        self.orphans = waiting.collect();
    }

    /// Starts the successor, which knows nothing of the calls in progress.
    fn take_over(&mut self) {
        self.has_owner = true;
        self.epochs[0] += 1;
        let now = self.clock.now();
        self.owners[0] = owner_queue(0, self.epochs[0], now);
        for call in std::mem::take(&mut self.orphans) {
            self.resubmit(call);
        }
    }

    /// Sends a call that was not run to the owner of its zone again.
    fn resubmit(&mut self, call: usize) {
        let entry = self.calls[call].entry;
        if self.has_crashed(entry) {
            self.times.lost += 1;
            return;
        }
        let wait = RESUBMIT.mul_f64(self.random.random_range(0.0..1.0));
        let zone = zone_of(entry);
        let delay = wait + self.daemon_hop(entry, self.owner_of(zone));
        self.clock
            .schedule_after(delay, Event::AtOwner(zone, call, false));
    }

    fn has_crashed(&self, daemon: usize) -> bool {
        daemon < self.fleet.first_daemon(self.clock.now())
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Arrived(call) => self.arrive(call),
            Event::AtEntry(call) => self.enter(call),
            Event::AtOwner(zone, call, redirected) => self.request(zone, call, redirected),
            Event::Granted(call, runner, grant) => {
                self.grants[call] = Some(grant);
                self.send(call, runner);
            }
            Event::AtRunner(call, runner) => self.reach_runner(call, runner),
            Event::Ended(call, runner) => self.end(call, runner),
            Event::AnsweredAtEntry(call, runner) => self.answer(call, runner),
            Event::ReturnedAtOwner(used, result) => {
                if used.epoch == self.epochs[used.zone] {
                    self.drive(used.zone, CallEvent::Returned(used.grant, result));
                }
            }
            Event::Crashed => self.crash(),
            Event::TakenOver => self.take_over(),
            Event::LoanAt(zone, from, message) => {
                let from = format!("z{from}").as_str().into();
                self.drive(zone, CallEvent::LoanReceived(from, message));
            }
            Event::LoadDue => self.report_loads(),
            Event::LoadAt(zone, from, free, waiting) => {
                let load = auburnsaddle_core::CallLoad { free, waiting };
                let from = format!("z{from}").as_str().into();
                self.drive(zone, CallEvent::ZoneLoadChanged(from, load));
            }
            Event::Tick => {
                for zone in 0..ZONES {
                    self.drive(zone, CallEvent::TimerFired);
                }
                self.again(TICK, Event::Tick);
            }
        }
    }

    fn again(&mut self, period: Duration, event: Event) {
        if self.clock.now() < RUN_TIME + DEADLINE {
            self.clock.schedule_after(period, event);
        }
    }

    fn hop(&mut self, base: Duration) -> Duration {
        base + sample_exponential(&mut self.random, 1.0 / (base.as_secs_f64() * JITTER))
    }

    fn zone_hop(&mut self, from: usize, to: usize) -> Duration {
        self.hop(if from == to { ZONE_HOP } else { CROSS_HOP })
    }

    fn daemon_hop(&mut self, from: usize, to: usize) -> Duration {
        if from == to {
            return Duration::ZERO;
        }
        self.zone_hop(zone_of(from), zone_of(to))
    }

    fn arrive(&mut self, call: usize) {
        let delay = self.hop(CALLER_HOP);
        self.clock.schedule_after(delay, Event::AtEntry(call));
        if let Some(next) = self.calls.get(call + 1) {
            let delay = next.at.saturating_sub(self.clock.now());
            self.clock.schedule_after(delay, Event::Arrived(call + 1));
        }
    }

    fn enter(&mut self, call: usize) {
        let entry = self.calls[call].entry;
        match self.policy {
            Policy::Owners => {
                let zone = zone_of(entry);
                let delay = self.daemon_hop(entry, self.owner_of(zone));
                self.clock
                    .schedule_after(delay, Event::AtOwner(zone, call, false));
            }
            Policy::Central => {
                self.central[usize::from(!self.calls[call].is_urgent)].push_back(call);
                self.serve_central();
            }
            _ => {
                let runner = self.choose(entry);
                self.outstanding[entry][runner] += 1;
                self.send(call, runner);
            }
        }
    }

    fn choose(&mut self, entry: usize) -> usize {
        let first = self.random.random_range(0..RUNNERS);
        let second = self.random.random_range(0..RUNNERS);
        let outstanding = &self.outstanding[entry];
        match self.policy {
            Policy::RoundRobin => {
                self.turns[entry] += 1;
                (self.turns[entry] + entry * RUNNERS / DAEMONS) % RUNNERS
            }
            // The search starts anywhere, so that ties do not favour one runner.
            Policy::LeastOutstanding => (first..first + RUNNERS)
                .map(|runner| runner % RUNNERS)
                .min_by_key(|runner| outstanding[*runner])
                .unwrap_or(first),
            Policy::TwoChoices if outstanding[second] < outstanding[first] => second,
            _ => first,
        }
    }

    /// Starts waiting calls on free runners, those in the entry's zone first.
    fn serve_central(&mut self) {
        while let Some(class) = self.central.iter().position(|queue| !queue.is_empty()) {
            let call = self.central[class][0];
            let zone = zone_of(self.calls[call].entry);
            let free = (0..RUNNERS).filter(|runner| self.busy[*runner] < SLOTS);
            let Some(runner) = free.min_by_key(|r| (zone_of(*r) != zone, self.busy[*r])) else {
                return;
            };
            self.central[class].pop_front();
            self.busy[runner] += 1;
            self.send(call, runner);
        }
    }

    fn request(&mut self, zone: usize, call: usize, redirected: bool) {
        if zone == 0 && !self.has_owner {
            self.orphans.push(call);
            return;
        }
        self.waiting[call] = Some(zone);
        let mut request = CallRequest::new(call as u128, DEADLINE);
        request.redirected = redirected;
        if self.calls[call].is_urgent {
            request.urgency = UrgencyClass::Urgent;
        }
        self.drive(zone, CallEvent::Requested(request));
    }

    fn drive(&mut self, zone: usize, event: CallEvent) {
        if zone == 0 && !self.has_owner {
            return;
        }
        for action in self.owners[zone].handle(event, self.clock.now()) {
            self.carry_out(zone, action);
        }
    }

    fn carry_out(&mut self, zone: usize, action: CallAction) {
        let index = |request: u128| usize::try_from(request).expect("requests are indexes");
        match action {
            CallAction::Grant(grant) => {
                let call = index(grant.request);
                self.waiting[call] = None;
                let delay = self.daemon_hop(self.owner_of(zone), self.calls[call].entry);
                let runner = grant.runner[1..].parse().expect("names end with the index");
                let epoch = self.epochs[zone];
                let used = UsedGrant {
                    zone,
                    epoch,
                    grant: grant.grant,
                    fence: grant.lender.map_or(epoch, |lender| lender.epoch),
                };
                let event = Event::Granted(call, runner, used);
                self.clock.schedule_after(delay, event);
            }
            CallAction::SendLoan(other, message) => {
                self.times.loan_messages += 1;
                let other = other[1..].parse().expect("names end with the index");
                let delay = self.zone_hop(zone, other);
                self.clock
                    .schedule_after(delay, Event::LoanAt(other, zone, message));
            }
            CallAction::Reject(..) => self.times.rejected += 1,
            CallAction::Redirect(request, other) => {
                self.times.redirected += 1;
                let call = index(request);
                self.waiting[call] = None;
                let entry = self.calls[call].entry;
                let other = other[1..].parse().expect("names end with the index");
                let delay = self.daemon_hop(self.owner_of(zone), entry);
                let delay = delay + self.daemon_hop(entry, self.owner_of(other));
                self.clock
                    .schedule_after(delay, Event::AtOwner(other, call, true));
            }
        }
    }

    fn send(&mut self, call: usize, runner: usize) {
        let delay = self.zone_hop(zone_of(self.calls[call].entry), zone_of(runner));
        self.clock
            .schedule_after(delay, Event::AtRunner(call, runner));
    }

    fn reach_runner(&mut self, call: usize, runner: usize) {
        if let Some(used) = self.grants[call] {
            self.fences[runner] = self.fences[runner].max(used.fence);
            if self.busy[runner] >= SLOTS || used.fence < self.fences[runner] {
                self.refuse(call, runner);
                return;
            }
            self.busy[runner] += 1;
        }
        let is_granted = matches!(self.policy, Policy::Owners | Policy::Central);
        if !is_granted && self.busy[runner] >= SLOTS {
            self.queued[runner].push_back(call);
            return;
        }
        self.busy[runner] += u32::from(!is_granted);
        self.start(call, runner);
    }

    /// Tells the entry that its call was not run.
    fn refuse(&mut self, call: usize, runner: usize) {
        self.times.refused += 1;
        let Some(used) = self.grants[call].take() else {
            return;
        };
        let entry = self.calls[call].entry;
        let back = self.zone_hop(zone_of(runner), zone_of(entry));
        let delay = back + self.daemon_hop(entry, self.owner_of(used.zone));
        let event = Event::ReturnedAtOwner(used, GrantResult::Rejected);
        self.clock.schedule_after(delay, event);
        self.resubmit(call);
    }

    fn start(&mut self, call: usize, runner: usize) {
        let LoadCall {
            at,
            service,
            is_urgent,
            ..
        } = self.calls[call];
        self.clock
            .schedule_after(service, Event::Ended(call, runner));
        if at < WARM_UP {
            return;
        }
        let waited = self.clock.now().saturating_sub(at).as_micros();
        let waited = u64::try_from(waited).expect("a run is short").max(1);
        self.times.all.record(waited).expect("a wait is in bounds");
        if at >= CRASH_TIME + RECOVERY {
            let steady = &mut self.times.steady;
            steady.record(waited).expect("a wait is in bounds");
        }
        if is_urgent {
            let urgent = &mut self.times.urgent;
            urgent.record(waited).expect("a wait is in bounds");
        }
    }

    fn end(&mut self, call: usize, runner: usize) {
        let delay = self.zone_hop(zone_of(runner), zone_of(self.calls[call].entry));
        self.clock
            .schedule_after(delay, Event::AnsweredAtEntry(call, runner));
        self.busy[runner] -= 1;
        if self.policy == Policy::Owners {
            return;
        }
        if self.policy == Policy::Central {
            self.serve_central();
        } else if let Some(next) = self.queued[runner].pop_front() {
            self.busy[runner] += 1;
            self.start(next, runner);
        }
    }

    fn answer(&mut self, call: usize, runner: usize) {
        let entry = self.calls[call].entry;
        if let Some(used) = self.grants[call].take() {
            let delay = self.daemon_hop(entry, self.owner_of(used.zone));
            let event = Event::ReturnedAtOwner(used, GrantResult::Answered);
            // The grants of a crashed entry are reclaimed at their deadline.
            if !self.has_crashed(entry) {
                self.clock.schedule_after(delay, event);
            }
        } else if self.policy != Policy::Central {
            self.outstanding[entry][runner] -= 1;
        }
    }

    fn report_loads(&mut self) {
        for from in 0..ZONES {
            let load = self.owners[from].load();
            for zone in (0..ZONES).filter(|zone| *zone != from) {
                let delay = self.zone_hop(from, zone);
                let event = Event::LoadAt(zone, from, load.free, load.waiting);
                self.clock.schedule_after(delay, event);
            }
        }
        self.again(LOAD_PERIOD, Event::LoadDue);
    }
}

fn owner_queue(zone: usize, epoch: u64, now: Duration) -> CallQueue {
    let config = CallConfig::builder().urgent_share_percent(5);
    let loans = LoanConfig {
        max_call_duration: DEADLINE,
        ..LoanConfig::default()
    };
    let config = config.loans(loans);
    let mut queue = CallQueue::new_at(config.build(), now).with_epoch(epoch);
    let runners = (0..RUNNERS).filter(|runner| zone_of(*runner) == zone);
    let entries = runners.map(|runner| RunnerEntry::new(&format!("r{runner}"), SLOTS));
    let event = CallEvent::RunnersChanged(entries.collect());
    queue.handle(event, now);
    queue
}

fn load_calls(percent: u32, fleet: Fleet, seed: u64) -> Vec<LoadCall> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let slots = f64::from(SLOTS) * RUNNERS as f64;
    let per_second = slots / MEAN_SERVICE.as_secs_f64() * f64::from(percent) / 100.0;
    let mut calls = Vec::new();
    let mut at = Duration::ZERO;
    while at < RUN_TIME {
        at += sample_exponential(&mut random, per_second);
        calls.push(LoadCall {
            at,
            entry: random.random_range(fleet.first_daemon(at)..DAEMONS),
            service: sample_lognormal(&mut random, MEAN_SERVICE, SERVICE_SIGMA),
            is_urgent: random.random::<f64>() < URGENT_PART,
        });
    }
    calls
}

fn report(table: &mut BoundTable, percent: u32) {
    let calls = load_calls(percent, Fleet::Whole, SEED);
    let run = |policy| CellRun::new(policy, Fleet::Whole, SEED, &calls).run();
    let policies = [
        Policy::Central,
        Policy::Owners,
        Policy::Random,
        Policy::RoundRobin,
        Policy::LeastOutstanding,
        Policy::TwoChoices,
    ];
    let runs = policies.map(|policy| (policy, run(policy)));
    for (policy, times) in &runs {
        let [p50, p99, p999] = [0.5, 0.99, 0.999].map(|q| quantile_ms(&times.all, q));
        let value = format!(
            "{p50:.2} / {p99:.2} / {p999:.2} ms, {} redirected, {} rejected",
            times.redirected, times.rejected
        );
        let name = format!("{percent} % {policy:?}: p50 / p99 / p99.9");
        table.note(&name, &value, SEED);
    }
    let [(_, _), (_, owners), ..] = &runs;
    let rate = owners.loan_messages as f64 / RUN_TIME.as_secs_f64();
    let name = format!("{percent} % loan messages/s, all owners");
    table.note(&name, &format!("{rate:.1}"), SEED);
    let name = format!("{percent} % calls rejected by runners, no fault");
    table.at_most(&name, owners.refused as f64, 0.0, SEED);
    let [(_, central), (_, owners), ..] = &runs;
    let ratio = quantile_ms(&owners.all, 0.99) / quantile_ms(&central.all, 0.99);
    let name = format!("{percent} % p99, owners relative to central");
    if percent == 85 {
        table.at_most(&name, ratio, 1.25, SEED);
        table.note("goal for the same", "1.10", SEED);
        report_further_seeds(table, ratio);
        report_dead_daemon(table, percent, quantile_ms(&central.all, 0.99));
        report_crash(table, "refused", REFUSED_TAKEOVER, central);
        report_crash(table, "silent", SILENT_TAKEOVER, central);
    } else {
        table.note(&name, &format!("{ratio:.3}"), SEED);
    }
    let name = format!("{percent} % latest start of an urgent call, s");
    let latest = owners.urgent.max() as f64 / 1e6;
    table.at_most(&name, latest, 1.8, SEED);
}

/// Repeats the row without a fault with other loads.
fn report_further_seeds(table: &mut BoundTable, first: f64) {
    let mut ratios = vec![first];
    let mut refused = 0;
    for seed in FURTHER_SEEDS {
        let calls = load_calls(85, Fleet::Whole, seed);
        let run = |policy| CellRun::new(policy, Fleet::Whole, seed, &calls).run();
        let (central, owners) = (run(Policy::Central), run(Policy::Owners));
        let ratio = quantile_ms(&owners.all, 0.99) / quantile_ms(&central.all, 0.99);
        let name = "85 % p99, owners relative to central";
        table.note(name, &format!("{ratio:.3}"), seed);
        ratios.push(ratio);
        refused += owners.refused;
    }
    ratios.sort_by(f64::total_cmp);
    let median = f64::midpoint(ratios[3], ratios[4]);
    let name = "85 % p99, owners relative to central, median of 8 seeds";
    table.at_most(name, median, 1.25, SEED);
    let name = "85 % calls rejected by runners, no fault, further seeds";
    table.at_most(name, refused as f64, 0.0, SEED);
}

/// Compares a cell that has lost a daemon with the central queue of a whole one.
fn report_dead_daemon(table: &mut BoundTable, percent: u32, central: f64) {
    let calls = load_calls(percent, Fleet::WithoutFirst, SEED);
    let times = CellRun::new(Policy::Owners, Fleet::WithoutFirst, SEED, &calls).run();
    let p99 = quantile_ms(&times.all, 0.99);
    let name = format!("{percent} % p99, one daemon dead throughout, owners relative to central");
    table.at_most(&name, p99 / central, 2.0, SEED);
}

/// Compares a cell whose daemon crashes in mid-run with the central queue.
fn report_crash(
    table: &mut BoundTable,
    detection: &str,
    takeover: Duration,
    central: &WaitingTimes,
) {
    let fleet = Fleet::Crash(takeover);
    let calls = load_calls(85, fleet, SEED);
    let times = CellRun::new(Policy::Owners, fleet, SEED, &calls).run();
    let name = |what: &str| format!("85 % crash at 10 s, {detection}: {what}");
    let value = format!(
        "{:.2} ms, {} rejected by runners, {} lost with the daemon",
        quantile_ms(&times.all, 0.99),
        times.refused,
        times.lost
    );
    table.note(&name("p99 of the whole run"), &value, SEED);
    let ratio = quantile_ms(&times.steady, 0.99) / quantile_ms(&central.steady, 0.99);
    let what = "p99 from 10 s after the crash, relative to central";
    table.at_most(&name(what), ratio, 2.0, SEED);
}

fn main() {
    let notes = [
        "Waiting is the time from the caller's send to the start on the runner, in virtual time.",
        "Owners: caller hop, request hop to the owner, queue, grant hop, hop to the runner, redirects.",
        "Central: caller hop, queue with instant knowledge of all slots, hop to the runner; no grant hop.",
        "Direct policies: caller hop, hop to the runner, queue at the runner.",
    ];
    let mut table = BoundTable::start(&notes);
    for percent in [50, 70, 85, 95] {
        report(&mut table, percent);
    }
    table.finish();
}
