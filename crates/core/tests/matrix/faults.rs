//! Faults, the steps of the path at which they begin, and mutations.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

/// A fault and how long it lasts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    Kill,
    Pause,
    PartitionBothWays,
    PartitionOneWay,
    Delay,
    Drop,
    Duplicate,
    Reorder,
    StoreDown,
    StoreSlow,
    ResponseLost,
    LeaseExpired,
    WorkerDead,
    WorkerFailsAll,
    HostLeaving,
    CancelBurst,
    TwoOperators,
    /// A monotonic clock that runs 5 % fast. Steps of the wall clock are not
    /// among the faults, because no code reads it.
    ClockFast,
    ClockSlow,
}

/// A step of the path of a request at which a fault begins.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Step {
    Accept,
    Record,
    Choose,
    Dispatch,
    Start,
    Run,
    Report,
    Answer,
    Handover,
    Takeover,
    Publish,
}

pub(crate) const FAULTS: [Fault; 19] = [
    Fault::Kill,
    Fault::Pause,
    Fault::PartitionBothWays,
    Fault::PartitionOneWay,
    Fault::Delay,
    Fault::Drop,
    Fault::Duplicate,
    Fault::Reorder,
    Fault::StoreDown,
    Fault::StoreSlow,
    Fault::ResponseLost,
    Fault::LeaseExpired,
    Fault::WorkerDead,
    Fault::WorkerFailsAll,
    Fault::HostLeaving,
    Fault::CancelBurst,
    Fault::TwoOperators,
    Fault::ClockFast,
    Fault::ClockSlow,
];

pub(crate) const STEPS: [Step; 11] = [
    Step::Accept,
    Step::Record,
    Step::Choose,
    Step::Dispatch,
    Step::Start,
    Step::Run,
    Step::Report,
    Step::Answer,
    Step::Handover,
    Step::Takeover,
    Step::Publish,
];

/// A defect of the assembled system that an invariant must reveal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Mutation {
    /// Workers take requests of any epoch.
    FenceOff,
    /// A start without a response counts as not run.
    RetryUnknown,
    /// A start is sent before its record is written.
    SkipRecord,
    /// A keyed call is dispatched without a record of its intent.
    SkipIntent,
    /// Workers list nothing when claimed, and admit more than their size.
    HideRunning,
    /// A daemon takes over the older version of a peer.
    OlderConfig,
    /// An answer goes to the request that has waited longest.
    AnswerByPosition,
    /// The list of leaving hosts is not read.
    IgnoreLeaving,
    /// A failed store call is repeated at once.
    BusyRetries,
    /// A daemon fetches no version.
    NoFetch,
    /// A drain hands over while calls are open.
    DrainCuts,
    /// A new owner does not read the journal.
    ForgetJournal,
}

impl Fault {
    pub(crate) const fn duration(self) -> Duration {
        let seconds = match self {
            // Past the 10 s lease of a registration.
            Self::Pause => 12,
            Self::StoreDown | Self::StoreSlow | Self::WorkerDead | Self::WorkerFailsAll => 8,
            _ => 6,
        };
        Duration::from_secs(seconds)
    }
}

/// A fault that begins when a step is reached for the nth time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Injection {
    pub(crate) fault: Fault,
    pub(crate) step: Step,
    /// Earlier occurrences of the step that pass without the fault.
    pub(crate) skip: u32,
}

impl Injection {
    /// Returns an injection whose occurrence follows from the seed.
    pub(crate) fn new(fault: Fault, step: Step, seed: u64) -> Self {
        let skip = ChaCha8Rng::seed_from_u64(seed).random_range(0..4);
        // These steps are reached only a few times in a run.
        let rare = matches!(step, Step::Handover | Step::Publish);
        let skip = if rare { 0 } else { skip };
        Self { fault, step, skip }
    }
}

/// Returns two injections drawn from a seed.
pub(crate) fn draw_pair(seed: u64) -> Vec<Injection> {
    let mut generator = ChaCha8Rng::seed_from_u64(seed);
    let draw = |generator: &mut ChaCha8Rng| {
        let fault = FAULTS[generator.random_range(0..FAULTS.len())];
        let step = STEPS[generator.random_range(0..STEPS.len())];
        Injection::new(fault, step, generator.random())
    };
    vec![draw(&mut generator), draw(&mut generator)]
}
