//! Generation of the faults of a run from its seed.

use std::time::Duration;

use auburnsaddle_platform_standin::{FIRST_KIND, HostClock};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time without faults at the start of a run, so that the daemons can take ownership of
/// the service.
const WARM_UP_TIME: Duration = Duration::from_secs(3);

/// Exclusive upper bound of the time between the starts of two consecutive faults.
const MAX_FAULT_GAP_MS: u64 = 1_400;

/// Range of the duration of a fault.
const FAULT_DURATION_MS: std::ops::Range<u64> = 300..4_500;

/// Time at the end of the load in which workers are lost together with the owner, and no other
/// fault begins, so that the bound for tasks that last is not put off by other faults.
const LOSS_TIME: Duration = Duration::from_secs(6);

/// Range of the duration of a suspension or a cut of the owner that follows the loss of a worker.
/// The lease of a daemon takes 2 s, so most of them change the owner.
const OWNER_FAULT_MS: std::ops::Range<u64> = 2_000..6_000;

/// Exclusive upper bound of the time from the loss of a worker to the fault of the owner.
const MAX_OWNER_DELAY_MS: u64 = 1_500;

/// Share of the other faults that half of the plans with restarts keep. An owner that is replaced,
/// or has no store, takes other decisions about a restarted worker than one that stays.
const KEPT_SHARE: f64 = 0.2;

/// Exclusive upper bounds of the time from a restart of a worker to its cut: just after the first
/// orders to the new instance, and any time. The pending renewal of the former instance fails
/// after 1.9 s, so the owner has met the new instance in some cases and not in others.
const MAX_CUT_DELAYS_MS: [u64; 2] = [600, 3_000];

/// Ranges of the duration of a cut: any time, and longer than a worker holds its runs, which is at
/// most 6 s.
const CUT_DURATIONS_MS: [std::ops::Range<u64>; 2] = [300..6_000, 6_000..9_500];

/// Exclusive upper bound of the delay of a late order. It is longer than the lease of a daemon
/// and than most of the lease of a worker.
const MAX_ORDER_DELAY_MS: u64 = 6_000;

/// Exclusive upper bound of the reading at which a clock begins: one day.
const MAX_CLOCK_MS: u64 = 24 * 60 * 60 * 1_000;

/// Share of the plans with clock steps that have few other faults. Another change of the owner within
/// some 8 s hides that the first successor waited for too short a time.
const SPARSE_SHARE: f64 = 0.75;

/// Range of the time from a restart on a host with a wrong clock to the fault of the owner. A takeover
/// and the granted lease take some 8.5 s, so that after a later fault they outlast the longest lease.
const EARLY_OWNER_DELAY_MS: std::ops::Range<u64> = 200..800;

/// Range of the time by which the clock of a host is wrong: up to far above the age, of about 17 s,
/// after which a worker can no longer hold runs by orders for its former instance.
const CLOCK_ERROR_MS: std::ops::Range<u64> = 1_000..60_000;

/// Range of the duration of a cut after a restart on a host with a wrong clock. It is longer than the
/// longest lease of 10 s, so that an owner that starts tasks elsewhere too early is seen.
const LONG_CUT_MS: std::ops::Range<u64> = 10_500..14_500;

/// Longest lease that workers accept, counted from an order, in runs without clock steps and in those
/// with them. Only the second is far above the 5.4 s that an owner waits after its own orders and
/// the 2 s of a takeover.
const MAX_LEASES: [Duration; 2] = [Duration::from_secs(6), Duration::from_secs(10)];

/// Label of workers that were restarted as another kind.
const OTHER_KIND: &str = "b";

/// Size of a run: its processes, its workers and its duration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SoakSize {
    /// Number of daemon processes.
    pub daemons: usize,
    /// Number of workers, each behind a proxy.
    pub workers: usize,
    /// Time during which jobs are submitted and faults are injected.
    pub load_duration: Duration,
    /// Number of tasks that last until the end of the run. Without them, no worker is lost or
    /// restarted, and no daemon is killed for good. Beside them and the other jobs, the workers
    /// that are left need room for the tasks of those that are lost.
    pub lasting_tasks: usize,
    /// Number of series of restarts of a worker under its identifier, with other clocks and
    /// labels, late orders and cuts. Some jobs require a label then.
    pub restart_series: usize,
    /// Number of series of restarts of workers on hosts whose clocks were set to a wrong time, each
    /// with long cuts and a fault of the owner. Workers accept longer leases then.
    pub clock_steps: usize,
}

impl SoakSize {
    /// Returns the maximum number of daemons that are killed for good: a minority.
    const fn max_lost_daemons(&self) -> usize {
        self.daemons.saturating_sub(1) / 2
    }

    /// Returns the longest lease that workers accept, counted from an order.
    pub(crate) const fn max_lease(&self) -> Duration {
        let [usual, long] = MAX_LEASES;
        match self.clock_steps {
            0 => usual,
            _ => long,
        }
    }

    /// Returns the maximum number of workers that are lost: a quarter, and at least one.
    const fn max_lost_workers(&self) -> usize {
        if self.workers < 8 {
            1
        } else {
            self.workers / 4
        }
    }
}

/// How a proxy handles the bytes of its connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkState {
    /// Bytes are forwarded immediately.
    #[default]
    Open,
    /// No bytes are forwarded in either direction. Connections stay open.
    Silent,
    /// Requests are forwarded and responses are not. Connections stay open.
    AnswersSilent,
    /// Bytes are forwarded after this delay.
    Delayed(Duration),
    /// Open and new connections are reset.
    Reset,
}

/// Reading at which the clock of a restarted worker begins.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InstanceClock {
    /// This far behind the clock of the former instance, or zero if that reads less.
    Behind(Duration),
    /// This far ahead of the clock of the former instance.
    Ahead(Duration),
    /// At this reading.
    At(Duration),
}

/// A fault. A `usize` is the index of a daemon or a worker, except where it is a rank: where
/// tasks run and which daemon is the owner is known only when the fault begins.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SoakFault {
    /// SIGKILL to a daemon, and a restart at the end of the fault.
    Kill(usize),
    /// SIGTERM to a daemon, and a restart once the process has exited.
    Stop(usize),
    /// SIGSTOP to a daemon, and SIGCONT at the end of the fault.
    Pause(usize),
    /// SIGKILL to all daemons at once, and a restart at the end of the fault.
    KillAll,
    /// State of the connections of a daemon to the store.
    StoreLink(usize, LinkState),
    /// State of the connections of all daemons to a worker.
    WorkerLink(usize, LinkState),
    /// The store refuses all requests.
    StoreAway,
    /// The store executes this number of transactions without sending a response.
    LostAnswers(u32),
    /// The store revokes all leases at once.
    RevokedLeases,
    /// SIGKILL to a daemon, without a restart.
    LoseDaemon(usize),
    /// SIGKILL to the owner of the service, without a restart.
    LoseOwner,
    /// SIGKILL to the owner of the service, and a restart at the end of the fault.
    KillOwner,
    /// SIGSTOP to the owner of the service, and SIGCONT at the end of the fault.
    PauseOwner,
    /// State of the connections of the owner of the service to the store.
    OwnerStoreLink(LinkState),
    /// A worker is lost for good: its runs end, it answers nothing, and its entry in the store
    /// is removed after three heartbeats. The rank is that among the workers that are up, by
    /// their tasks that last, the largest number first.
    LoseWorker(usize, LinkState),
    /// A worker is lost, and starts again under its identifier at the end of the fault. Ranks
    /// are those of [`Self::LoseWorker`].
    RestartWorker(usize),
    /// A worker is restarted under its identifier at once, with this clock and this label of its
    /// kind. It writes its entry in the store at the end of the fault. The `usize` is an index.
    RestartInstance(usize, InstanceClock, &'static str),
    /// The clock of a worker's host is set. It gives the start times of the instances that begin
    /// later.
    SetHostClock(usize, HostClock),
    /// A worker is cut off from all daemons: requests have no effect and no response, while its
    /// runs and its lease go on.
    CutWorker(usize),
    /// The next orders to start a task, this many, reach a worker after this delay, without a
    /// response, also if it was restarted since.
    LateOrders(usize, u32, Duration),
    /// A worker executes its next two starts after this delay, without sending a response.
    LateStarts(usize, Duration),
    /// A new version of the manifest is published.
    Manifest,
    /// The settings file of a daemon is rewritten, and the daemon gets SIGHUP.
    Hangup(usize),
    /// Each accepted job that was not queried yet is cancelled with this probability, in
    /// percent.
    Cancellations(u32),
}

/// A fault with its start and duration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlannedFault {
    /// Start of the fault, relative to the start of the load.
    pub at: Duration,
    /// Duration of the fault. Ignored for faults without one, such as a new manifest.
    pub lasts: Duration,
    /// Kind of the fault, with what it affects.
    pub fault: SoakFault,
}

/// Returns the faults of a run, ordered by start. The same seed and size give the same
/// faults.
#[must_use]
pub fn generate_plan(seed: u64, size: &SoakSize) -> Vec<PlannedFault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let mut at = WARM_UP_TIME;
    let end = match size.lasting_tasks {
        0 => size.load_duration,
        _ => size.load_duration.saturating_sub(LOSS_TIME),
    };
    loop {
        at += Duration::from_millis(rng.random_range(0..MAX_FAULT_GAP_MS));
        if at >= end {
            break;
        }
        let lasts = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
        let fault = generate_fault(&mut rng, size);
        faults.push(PlannedFault { at, lasts, fault });
    }
    if size.lasting_tasks > 0 {
        faults.extend(generate_losses(&mut rng, size, end));
    }
    // A stream of its own leaves the other faults of a seed as they are.
    rng.set_stream(1);
    if size.restart_series > 0 && rng.random_bool(0.5) {
        faults.retain(|_| rng.random_bool(KEPT_SHARE));
        faults.extend(generate_single_restarts(&mut rng, size, end));
    } else {
        for _ in 0..size.restart_series {
            faults.extend(generate_restarts(&mut rng, size, end));
        }
    }
    rng.set_stream(2);
    if size.clock_steps > 0 {
        if rng.random_bool(SPARSE_SHARE) {
            faults.retain(|_| rng.random_bool(KEPT_SHARE));
        }
        faults.extend((0..size.workers).map(|worker| PlannedFault {
            at: Duration::ZERO,
            lasts: Duration::ZERO,
            fault: SoakFault::SetHostClock(worker, generate_host_clock(&mut rng)),
        }));
    }
    for _ in 0..size.clock_steps {
        faults.extend(generate_clock_steps(&mut rng, size));
    }
    faults.sort_by_key(|planned| planned.at);
    faults
}

/// Returns restarts of up to three workers at once on hosts whose clocks were set. The workers are cut
/// off just after the first orders to their new instances, and a fault of the owner follows.
/// They come in the first half of the load, so that a successor that starts tasks elsewhere too early
/// does so before all faults end.
fn generate_clock_steps(rng: &mut impl Rng, size: &SoakSize) -> Vec<PlannedFault> {
    let mut rows = Vec::new();
    let first_worker = rng.random_range(0..size.workers);
    let worker_count = rng.random_range(1..=size.workers.min(3));
    let end = WARM_UP_TIME.max(size.load_duration / 2);
    let at_ms = rng.random_range(as_millis(WARM_UP_TIME)..as_millis(end) + 1);
    for worker in (first_worker..).take(worker_count) {
        let worker = worker % size.workers;
        let host_clock = SoakFault::SetHostClock(worker, generate_host_clock(rng));
        rows.push((at_ms, 0, host_clock));
        // Only a clock that is behind takes the deadlines of orders for the former instance.
        let clock = match rng.random_range(0..4) {
            0 => generate_clock(rng),
            _ => InstanceClock::Behind(Duration::from_millis(
                rng.random_range(60_000..MAX_CLOCK_MS / 2),
            )),
        };
        let restart = SoakFault::RestartInstance(worker, clock, FIRST_KIND);
        rows.push((at_ms, rng.random_range(0..1_500), restart));
        let cut_at_ms = at_ms + rng.random_range(50..MAX_CUT_DELAYS_MS[0]);
        let cut_ms = rng.random_range(LONG_CUT_MS);
        rows.push((cut_at_ms, cut_ms, SoakFault::CutWorker(worker)));
    }
    let fault = match rng.random_range(0..4) {
        0..=1 => SoakFault::KillOwner,
        2 => SoakFault::PauseOwner,
        _ => SoakFault::OwnerStoreLink(generate_cut_state(rng)),
    };
    let owner_at_ms = at_ms + rng.random_range(EARLY_OWNER_DELAY_MS);
    rows.push((owner_at_ms, rng.random_range(OWNER_FAULT_MS), fault));
    let rows = rows
        .into_iter()
        .map(|(at_ms, lasts_ms, fault)| PlannedFault {
            at: Duration::from_millis(at_ms),
            lasts: Duration::from_millis(lasts_ms),
            fault,
        });
    rows.collect()
}

/// Returns a time of day that is wrong in either direction.
fn generate_host_clock(rng: &mut impl Rng) -> HostClock {
    let error = Duration::from_millis(rng.random_range(CLOCK_ERROR_MS));
    // Only a clock that is behind makes an instance look older than it is.
    match rng.random_range(0..3) {
        0 => HostClock::Ahead(error),
        _ => HostClock::Behind(error),
    }
}

/// Returns a series of restarts of up to three workers at once, such as those of a zone, each
/// with late orders before some of them and with cuts that may overlap the next restart.
fn generate_restarts(rng: &mut impl Rng, size: &SoakSize, end: Duration) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    let first_worker = rng.random_range(0..size.workers);
    let worker_count = rng.random_range(1..=size.workers.min(3));
    let begin_ms = rng.random_range(as_millis(WARM_UP_TIME)..as_millis(end.max(WARM_UP_TIME)) + 1);
    for worker in (first_worker..).take(worker_count) {
        let worker = worker % size.workers;
        let mut at_ms = begin_ms;
        for _ in 0..rng.random_range(1..4) {
            let mut push_fault = |at_ms, lasts_ms, fault| {
                let (at, lasts) = (
                    Duration::from_millis(at_ms),
                    Duration::from_millis(lasts_ms),
                );
                if at < end {
                    faults.push(PlannedFault { at, lasts, fault });
                }
            };
            if rng.random_bool(0.5) {
                let late_by_ms = rng.random_range(200..MAX_ORDER_DELAY_MS);
                let late_by = Duration::from_millis(late_by_ms);
                let fault = SoakFault::LateOrders(worker, rng.random_range(1..5), late_by);
                let before_ms = rng.random_range(0..late_by_ms.min(1_500));
                push_fault(
                    at_ms.saturating_sub(before_ms),
                    before_ms + late_by_ms,
                    fault,
                );
            }
            // Workers with even indices keep their kind, so that some have each label.
            let kind = match worker % 2 {
                1 if rng.random_bool(0.5) => OTHER_KIND,
                _ => FIRST_KIND,
            };
            let fault = SoakFault::RestartInstance(worker, generate_clock(rng), kind);
            push_fault(at_ms, rng.random_range(0..1_500), fault);
            if rng.random_bool(0.75) {
                let max_delay_ms = MAX_CUT_DELAYS_MS[rng.random_range(0..2)];
                let cut_at_ms = at_ms + rng.random_range(0..max_delay_ms);
                let [short_ms, long_ms] = CUT_DURATIONS_MS;
                let duration_ms = if rng.random_bool(0.5) {
                    short_ms
                } else {
                    long_ms
                };
                let lasts_ms = rng.random_range(duration_ms);
                push_fault(cut_at_ms, lasts_ms, SoakFault::CutWorker(worker));
            }
            at_ms += rng.random_range(500..8_000);
        }
    }
    faults
}

/// Returns restarts of different workers, one each, with clocks behind that of the former
/// instance. Each worker is cut off just after the first orders to the new instance, for longer
/// than it holds its runs.
fn generate_single_restarts(
    rng: &mut impl Rng,
    size: &SoakSize,
    end: Duration,
) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    let first_worker = rng.random_range(0..size.workers);
    let worker_count = (size.restart_series * 2).min(size.workers);
    let mut at_ms = as_millis(WARM_UP_TIME);
    for worker in (first_worker..).take(worker_count) {
        let worker = worker % size.workers;
        let clock = InstanceClock::Behind(Duration::from_millis(
            rng.random_range(1_000..MAX_CLOCK_MS / 2),
        ));
        let restart = SoakFault::RestartInstance(worker, clock, FIRST_KIND);
        let cut_at_ms = at_ms + rng.random_range(100..MAX_CUT_DELAYS_MS[0]);
        let rows = [
            (at_ms, rng.random_range(0..1_500), restart),
            (
                cut_at_ms,
                rng.random_range(CUT_DURATIONS_MS[1].clone()),
                SoakFault::CutWorker(worker),
            ),
        ];
        let rows = rows.map(|(at_ms, lasts_ms, fault)| PlannedFault {
            at: Duration::from_millis(at_ms),
            lasts: Duration::from_millis(lasts_ms),
            fault,
        });
        faults.extend(rows.into_iter().filter(|row| row.at < end));
        at_ms += rng.random_range(0..3_000);
    }
    faults
}

fn generate_clock(rng: &mut impl Rng) -> InstanceClock {
    let any_time = Duration::from_millis(rng.random_range(0..MAX_CLOCK_MS));
    let short_time = Duration::from_millis(rng.random_range(0..10_000));
    match rng.random_range(0..5) {
        0 => InstanceClock::Behind(any_time),
        1 => InstanceClock::Behind(short_time),
        2 => InstanceClock::Ahead(any_time),
        3 => InstanceClock::Ahead(short_time),
        _ => InstanceClock::At(any_time),
    }
}

/// Returns restarts and single losses before `end`, and after it the loss of workers together
/// with a fault of the owner.
fn generate_losses(rng: &mut impl Rng, size: &SoakSize, end: Duration) -> Vec<PlannedFault> {
    let mut losses = Vec::new();
    let mut push_loss = |at, lasts, fault| losses.push(PlannedFault { at, lasts, fault });
    let early_ms = as_millis(WARM_UP_TIME)..as_millis(end.max(WARM_UP_TIME)) + 1;
    let (mut daemons, mut workers) = (size.max_lost_daemons(), size.max_lost_workers());
    for _ in 0..rng.random_range(0..3) {
        let lasts = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
        let rank = rng.random_range(0..size.workers);
        let at = Duration::from_millis(rng.random_range(early_ms.clone()));
        push_loss(at, lasts, SoakFault::RestartWorker(rank));
    }
    if workers > 1 && rng.random_bool(0.5) {
        workers -= 1;
        let at = Duration::from_millis(rng.random_range(early_ms.clone()));
        let fault = SoakFault::LoseWorker(0, generate_loss_state(rng));
        push_loss(at, Duration::ZERO, fault);
    }
    if daemons > 1 {
        // One is left for the owner.
        let count = rng.random_range(0..daemons);
        daemons -= count;
        for _ in 0..count {
            let at = Duration::from_millis(rng.random_range(early_ms.clone()));
            let fault = SoakFault::LoseDaemon(rng.random_range(0..size.daemons));
            push_loss(at, Duration::ZERO, fault);
        }
    }
    let at = end.max(WARM_UP_TIME) + Duration::from_millis(rng.random_range(0..1_000));
    for _ in 0..rng.random_range(1..=workers.min(3)) {
        let fault = SoakFault::LoseWorker(0, generate_loss_state(rng));
        push_loss(at, Duration::ZERO, fault);
    }
    let fault = match rng.random_range(0..4) {
        0..=1 if daemons > 0 => SoakFault::LoseOwner,
        0..=2 => SoakFault::PauseOwner,
        _ => SoakFault::OwnerStoreLink(generate_cut_state(rng)),
    };
    let at = at + Duration::from_millis(rng.random_range(0..MAX_OWNER_DELAY_MS));
    let lasts = Duration::from_millis(rng.random_range(OWNER_FAULT_MS));
    push_loss(at, lasts, fault);
    losses
}

fn as_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Returns how connections to a lost worker behave: its host is gone, or only its process.
fn generate_loss_state(rng: &mut impl Rng) -> LinkState {
    match rng.random_range(0..2) {
        0 => LinkState::Silent,
        _ => LinkState::Reset,
    }
}

fn generate_cut_state(rng: &mut impl Rng) -> LinkState {
    match rng.random_range(0..3) {
        0 => LinkState::Silent,
        1 => LinkState::AnswersSilent,
        _ => LinkState::Reset,
    }
}

fn generate_fault(rng: &mut impl Rng, size: &SoakSize) -> SoakFault {
    let daemon = rng.random_range(0..size.daemons);
    let worker = rng.random_range(0..size.workers);
    match rng.random_range(0..26) {
        0..=3 => SoakFault::Kill(daemon),
        4..=6 => SoakFault::Stop(daemon),
        7..=8 => SoakFault::Pause(daemon),
        9 => SoakFault::KillAll,
        10..=12 => SoakFault::StoreLink(daemon, generate_link_state(rng)),
        13..=15 => SoakFault::WorkerLink(worker, generate_link_state(rng)),
        16 => SoakFault::StoreAway,
        17..=18 => SoakFault::LostAnswers(rng.random_range(1..6)),
        19 => SoakFault::RevokedLeases,
        20..=21 => {
            let late_by = Duration::from_millis(rng.random_range(500..6_000));
            SoakFault::LateStarts(worker, late_by)
        }
        22 => SoakFault::Manifest,
        23 => SoakFault::Hangup(daemon),
        _ => SoakFault::Cancellations(rng.random_range(10..60)),
    }
}

fn generate_link_state(rng: &mut impl Rng) -> LinkState {
    match rng.random_range(0..4) {
        0 => LinkState::Silent,
        1 => LinkState::AnswersSilent,
        2 => LinkState::Delayed(Duration::from_millis(rng.random_range(50..900))),
        _ => LinkState::Reset,
    }
}
