//! The faults of a run, drawn from its seed.

use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time without faults at the start, in which the daemons take over the service.
const WARM_UP: Duration = Duration::from_secs(3);

/// Longest time between the beginnings of two faults.
const LONGEST_GAP_MS: u64 = 1_400;

/// Shortest and longest time of a fault.
const FAULT_MS: std::ops::Range<u64> = 300..4_500;

/// Sizes of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SoakSize {
    /// Daemon processes.
    pub daemons: usize,
    /// Workers, each behind a proxy.
    pub workers: usize,
    /// Time with load and faults.
    pub load_duration: Duration,
}

/// How a proxy treats its connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkState {
    /// Bytes pass.
    #[default]
    Open,
    /// Nothing passes in either direction, and nothing is reset.
    Silent,
    /// Requests pass and answers do not.
    AnswersSilent,
    /// Bytes pass after this delay.
    Delayed(Duration),
    /// Connections are reset, open ones and new ones.
    Reset,
}

/// A fault; daemons and workers are named by their index.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SoakFault {
    /// SIGKILL, and a new start at the end of the fault.
    Kill(usize),
    /// SIGTERM, and a new start after the process has ended.
    Stop(usize),
    /// SIGSTOP, and SIGCONT at the end of the fault.
    Pause(usize),
    /// SIGKILL to all daemons at once.
    KillAll,
    /// The link of a daemon to the store.
    StoreLink(usize, LinkState),
    /// The link of all daemons to a worker.
    WorkerLink(usize, LinkState),
    /// The store answers nothing but refusals.
    StoreAway,
    /// Transactions that are carried out without an answer.
    LostAnswers(u32),
    /// All leases of the store end at once.
    RevokedLeases,
    /// Starts that a worker carries out late, without an answer.
    LateStarts(usize, Duration),
    /// A new version of the manifest.
    Manifest,
    /// The settings file of a daemon is written again, and SIGHUP is sent.
    Hangup(usize),
    /// Callers cancel a part of their jobs, in percent.
    Cancellations(u32),
}

/// A fault with its time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlannedFault {
    /// Since the start of the load.
    pub at: Duration,
    /// How long it lasts, where that means anything.
    pub lasts: Duration,
    /// The fault.
    pub fault: SoakFault,
}

/// Returns the faults of a run in the order of their times. The same seed and size
/// give the same faults.
#[must_use]
pub fn draw_plan(seed: u64, size: &SoakSize) -> Vec<PlannedFault> {
    let mut generator = ChaCha8Rng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let mut at = WARM_UP;
    loop {
        at += Duration::from_millis(generator.random_range(0..LONGEST_GAP_MS));
        if at >= size.load_duration {
            return faults;
        }
        let lasts = Duration::from_millis(generator.random_range(FAULT_MS));
        let fault = draw_fault(&mut generator, size);
        faults.push(PlannedFault { at, lasts, fault });
    }
}

fn draw_fault(generator: &mut impl Rng, size: &SoakSize) -> SoakFault {
    let daemon = generator.random_range(0..size.daemons);
    let worker = generator.random_range(0..size.workers);
    match generator.random_range(0..26) {
        0..=3 => SoakFault::Kill(daemon),
        4..=6 => SoakFault::Stop(daemon),
        7..=8 => SoakFault::Pause(daemon),
        9 => SoakFault::KillAll,
        10..=12 => SoakFault::StoreLink(daemon, draw_link(generator)),
        13..=15 => SoakFault::WorkerLink(worker, draw_link(generator)),
        16 => SoakFault::StoreAway,
        17..=18 => SoakFault::LostAnswers(generator.random_range(1..6)),
        19 => SoakFault::RevokedLeases,
        20..=21 => {
            let late_by = Duration::from_millis(generator.random_range(500..6_000));
            SoakFault::LateStarts(worker, late_by)
        }
        22 => SoakFault::Manifest,
        23 => SoakFault::Hangup(daemon),
        _ => SoakFault::Cancellations(generator.random_range(10..60)),
    }
}

fn draw_link(generator: &mut impl Rng) -> LinkState {
    match generator.random_range(0..4) {
        0 => LinkState::Silent,
        1 => LinkState::AnswersSilent,
        2 => LinkState::Delayed(Duration::from_millis(generator.random_range(50..900))),
        _ => LinkState::Reset,
    }
}
