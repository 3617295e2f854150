//! Generation of the faults of a run from its seed.

use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time without faults at the start of a run, so that the daemons can take ownership of
/// the service.
const WARM_UP_TIME: Duration = Duration::from_secs(3);

/// Exclusive upper bound of the time between the starts of two consecutive faults.
const MAX_FAULT_GAP_MS: u64 = 1_400;

/// Range of the duration of a fault.
const FAULT_DURATION_MS: std::ops::Range<u64> = 300..4_500;

/// Size of a run: its processes, its workers and its duration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SoakSize {
    /// Number of daemon processes.
    pub daemons: usize,
    /// Number of workers, each behind a proxy.
    pub workers: usize,
    /// Time during which jobs are submitted and faults are injected.
    pub load_duration: Duration,
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

/// A fault. A `usize` is the index of a daemon or a worker.
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
    loop {
        at += Duration::from_millis(rng.random_range(0..MAX_FAULT_GAP_MS));
        if at >= size.load_duration {
            return faults;
        }
        let lasts = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
        let fault = generate_fault(&mut rng, size);
        faults.push(PlannedFault { at, lasts, fault });
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
