//! Every fault at every step of the path, alone and in pairs, against the
//! invariants of the design; and one mutation per invariant that is seen to
//! violate it. The tables of faults, steps and mutations are below.
//!
//! `AUBURNSADDLE_MATRIX_SEEDS=N` adds N further seeds to each test.

mod matrix;

use std::ops::Range;

use matrix::prelude::*;

/// Seeds of the fixed list.
const SEEDS: [u64; 2] = [11, 12];

/// First of the further seeds.
const FRESH_SEED: u64 = 1_000;

fn fresh_seeds() -> Range<u64> {
    let fresh = std::env::var("AUBURNSADDLE_MATRIX_SEEDS");
    let fresh = fresh.ok().and_then(|text| text.parse().ok()).unwrap_or(0);
    FRESH_SEED..FRESH_SEED + fresh
}

/// Runs a case without a mutation; a violation is printed with its trace.
fn run_case(seed: u64, injections: Vec<Injection>) -> RunSummary {
    let outcome = run(RunOptions::new(seed, injections, None));
    outcome.unwrap_or_else(|(_, report)| panic!("{report}"))
}

/// Runs a fault at every step with every seed.
fn run_at_every_step(fault: Fault) -> Vec<RunSummary> {
    let seeds = SEEDS.into_iter().chain(fresh_seeds());
    let cases = seeds.flat_map(|seed| STEPS.map(|step| (seed, Injection::new(fault, step, seed))));
    let summaries = cases.map(|(seed, injection)| run_case(seed, vec![injection]));
    summaries.collect()
}

/// Tells whether some run of a mutated system violates an invariant.
fn is_caught(mutation: Mutation, invariant: Invariant, faults: &[Fault], steps: &[Step]) -> bool {
    let cases = (0..40).zip(steps.iter().cycle());
    let mut cases =
        cases.flat_map(|(seed, step)| faults.iter().map(move |fault| (seed, *fault, *step)));
    cases.any(|(seed, fault, step)| {
        let injections = vec![Injection::new(fault, step, seed)];
        let options = RunOptions::new(seed, injections, Some(mutation));
        matches!(run(options), Err((violated, _)) if violated == invariant)
    })
}

macro_rules! step_table {
    ($($step:ident,)*) => {
        /// A step of the path of a request at which a fault begins.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub(crate) enum Step {$($step,)*}

        pub(crate) const STEPS: [Step; [$(Step::$step),*].len()] = [$(Step::$step),*];
    };
}

step_table! {
    Accept, Record, Choose, Dispatch, Start, Run, Report, Answer, Handover, Takeover, Publish,
}

macro_rules! fault_table {
    ($($fault:ident $seconds:literal $name:ident,)*) => {
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub(crate) enum Fault {$($fault,)*}

        pub(crate) const FAULTS: [Fault; [$(Fault::$fault),*].len()] = [$(Fault::$fault),*];

        impl Fault {
            pub(crate) const fn duration(self) -> Duration {
                match self {
                    $(Self::$fault => Duration::from_secs($seconds),)*
                }
            }
        }

        $(
            /// Guards against an invariant that does not hold under this fault.
            #[test]
            fn $name() {
                let summaries = run_at_every_step(Fault::$fault);

                assert!(summaries.iter().all(|summary| summary.missed == 0));
            }
        )*
    };
}

// The faults, how many seconds they last, and their tests. A pause outlasts
// the 10 s lease of a registration. Clocks run 5 % fast or slow; steps of the
// wall clock are not among the faults, because no code reads it: `SystemTime` is
// not used in crates/core/src.
fault_table! {
    Kill 6 kill_at_every_step,
    Pause 12 pause_at_every_step,
    PartitionBothWays 6 partition_both_ways_at_every_step,
    PartitionOneWay 6 partition_one_way_at_every_step,
    Delay 6 delay_at_every_step,
    Drop 6 drop_at_every_step,
    Duplicate 6 duplicate_at_every_step,
    Reorder 6 reorder_at_every_step,
    StoreDown 8 store_down_at_every_step,
    StoreSlow 8 store_slow_at_every_step,
    ResponseLost 6 response_lost_at_every_step,
    ReturnLost 6 return_lost_at_every_step,
    LeaseExpired 6 lease_expired_at_every_step,
    WorkerDead 8 worker_dead_at_every_step,
    WorkerFailsAll 8 worker_fails_all_at_every_step,
    HostLeaving 6 host_leaving_at_every_step,
    CancelBurst 6 cancel_burst_at_every_step,
    TwoOperators 6 two_operators_at_every_step,
    ClockFast 6 clock_fast_at_every_step,
    ClockSlow 6 clock_slow_at_every_step,
}

macro_rules! mutation_table {
    ($(
        $(#[$doc:meta])*
        $mutation:ident: $($name:ident($invariant:ident, [$($fault:ident),*], $steps:expr)),*;
    )*) => {
        /// A defect of the assembled system that an invariant must reveal.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub(crate) enum Mutation {$($(#[$doc])* $mutation,)*}

        $($(
            /// Guards against a matrix that does not see this defect.
            #[test]
            fn $name() {
                let faults = [$(Fault::$fault),*];

                let caught = is_caught(Mutation::$mutation, Invariant::$invariant, &faults, &$steps);

                assert!(caught);
            }
        )*)*
    };
}

// The mutations with their tests: the invariant that reveals them, the faults
// under which it does, and the steps at which these begin.
mutation_table! {
    /// Workers take requests of any epoch.
    FenceOff: fence_off_is_caught(OnePlace, [Pause], [Step::Record, Step::Choose]);
    /// A start or a call without a response counts as not run.
    RetryUnknown: retry_unknown_is_caught(NotRun, [Drop, PartitionOneWay], STEPS);
    /// A start is sent before its record is written.
    SkipRecord: skip_record_is_caught(OnePlace, [Kill], STEPS),
        second_start_is_caught(AtMostOnce, [Kill, StoreDown, StoreSlow], STEPS);
    /// Workers run a start again that they get twice.
    RepeatStart: repeated_start_is_caught(AtMostOnce, [Duplicate], STEPS);
    /// A keyed call is dispatched without a record of its intent.
    SkipIntent: skipped_intent_is_caught(AtMostOnce, [Kill, Pause], STEPS);
    /// Workers list nothing when claimed, and admit more than their size.
    HideRunning: hide_running_is_caught(Size, [Kill, Drop], STEPS);
    /// A daemon takes over the older version of a peer.
    OlderConfig: older_config_is_caught(NoRevert, [TwoOperators, Delay], STEPS);
    /// An answer goes to the request that has waited longest.
    AnswerByPosition: answer_by_position_is_caught(OwnAnswer, [StoreSlow, Drop], STEPS);
    /// The list of leaving hosts is not read.
    IgnoreLeaving: ignore_leaving_is_caught(Leaving, [HostLeaving], STEPS);
    /// A failed store call is repeated at once.
    BusyRetries: busy_retries_are_caught(StoreRate, [StoreDown], STEPS);
    /// A daemon fetches no version.
    NoFetch: no_fetch_is_caught(InForce, [TwoOperators], STEPS);
    /// A new owner does not read the journal.
    ForgetJournal: forget_journal_is_caught(Settled, [Kill], STEPS);
    /// A drain hands over while calls are open: `a_drain_cuts_no_open_call`.
    DrainCuts: ;
}

/// Runs pairs of faults drawn from seeds.
fn run_pairs(fixed: Range<u64>) {
    let start = fixed.start;
    let fresh = fresh_seeds().map(|seed| seed * 10_000 + start);
    for seed in fixed.chain(fresh) {
        run_case(seed, draw_pair(seed));
    }
}

macro_rules! pair_tests {
    ($($name:ident: $seeds:expr,)*) => {$(
        /// Guards against invariants that hold under one fault but not under
        /// two.
        #[test]
        fn $name() {
            run_pairs($seeds);
        }
    )*};
}

pair_tests! {
    pairs_of_faults_0_to_39: 0..40,
    pairs_of_faults_40_to_79: 40..80,
    pairs_of_faults_80_to_119: 80..120,
    pairs_of_faults_120_to_159: 120..160,
}

/// Guards against faults that fresh seeds found: a start whose record waits for
/// the store is sent to a host that began to leave meanwhile.
#[test]
fn cases_that_failed_before() {
    let cases = [(
        10_570_000,
        [
            (Fault::HostLeaving, Step::Accept, 3),
            (Fault::StoreDown, Step::Record, 1),
        ],
    )];
    for (seed, faults) in cases {
        let injections = faults.map(|(fault, step, skip)| Injection { fault, step, skip });
        run_case(seed, injections.to_vec());
    }
}

/// Guards against slots that a daemon's death takes away for good.
#[test]
fn slots_of_a_killed_daemon_become_free() {
    let summaries = run_at_every_step(Fault::Kill);

    assert!(summaries.iter().all(|summary| summary.granted == 0));
}

/// Guards against a slot that a lost message takes away for good.
#[test]
fn slots_become_free_after_a_lost_return() {
    let summaries = run_at_every_step(Fault::ReturnLost);

    assert!(summaries.iter().all(|summary| summary.granted == 0));
}

/// Guards against a matrix that proves nothing because nothing runs in it.
#[test]
fn a_run_without_faults_completes_everything() {
    let summary = run_case(0, Vec::new());

    assert_eq!((summary.missed, summary.version), (0, 4));
    assert_eq!((summary.accepted, summary.rejected), (23, 3));
    assert!(summary.succeeded >= 23 && summary.starts >= summary.succeeded);
}

/// Guards against a drain that cuts open calls: all get a response or an
/// explicit rejection although the owner of their keys is drained.
#[test]
fn a_drain_cuts_no_open_call() {
    let summaries = [None, Some(Mutation::DrainCuts)].map(|mutation| {
        let options = RunOptions::new(0, Vec::new(), mutation);
        run(options).expect("no invariant is violated")
    });

    assert_eq!(summaries[0].cut, 0);
    assert!(summaries[1].cut > 0);
}

/// Guards against a run that depends on anything but its seed.
#[test]
fn runs_are_deterministic() {
    let options = || RunOptions::new(5, draw_pair(5), Some(Mutation::FenceOff));

    let reports: Vec<_> = (0..2).map(|_| run(options())).collect();

    assert_eq!(reports[0], reports[1]);
    assert_eq!(FAULTS.len(), 20);
}
