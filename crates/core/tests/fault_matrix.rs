//! Fault injection in a simulated cell: every fault at every step of a request,
//! and pairs of faults, must violate no invariant. Mutation tests check that the
//! matrix detects a violation of each invariant. The tables of steps, faults and
//! mutations are below.
//!
//! `AUBURNSADDLE_MATRIX_SEEDS=N` adds N further seeds to the tests of single
//! faults and of pairs.

mod matrix;

use std::ops::Range;

use matrix::prelude::*;

/// Seeds that every test of a single fault runs with.
const SEEDS: [u64; 2] = [11, 12];

/// First of the seeds that `AUBURNSADDLE_MATRIX_SEEDS` adds.
const FIRST_EXTRA_SEED: u64 = 1_000;

fn extra_seeds() -> Range<u64> {
    let extra = std::env::var("AUBURNSADDLE_MATRIX_SEEDS");
    let extra = extra.ok().and_then(|text| text.parse().ok()).unwrap_or(0);
    FIRST_EXTRA_SEED..FIRST_EXTRA_SEED + extra
}

/// Runs a case without a mutation.
///
/// # Panics
///
/// Panics with the report if an invariant is violated.
fn run_case(seed: u64, injections: Vec<Injection>) -> RunSummary {
    let outcome = run(RunOptions::new(seed, injections, None));
    outcome.unwrap_or_else(|(_, report)| panic!("{report}"))
}

/// Runs a fault at every step with every seed, and returns the summaries.
fn run_at_every_step(fault: Fault) -> Vec<RunSummary> {
    let seeds = SEEDS.into_iter().chain(extra_seeds());
    let cases = seeds.flat_map(|seed| STEPS.map(|step| (seed, Injection::new(fault, step, seed))));
    let summaries = cases.map(|(seed, injection)| run_case(seed, vec![injection]));
    summaries.collect()
}

/// Returns whether any run with a mutation violates the invariant. The 40 seeds
/// are spread over the steps, and each runs with every fault.
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
        /// A step in the processing of a request at which a fault can start.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub(crate) enum Step {$($step,)*}

        pub(crate) const STEPS: [Step; [$(Step::$step),*].len()] = [$(Step::$step),*];
    };
}

// The steps: the owner accepts a request, writes records to the journal, chooses
// a target for it (a task) or enqueues it for a slot (a call), and dispatches it;
// the target starts it, serves requests while it runs, and reports its end; the
// caller gets an answer. Ownership of a shard is handed over or taken over, and a
// configuration version is published.
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
            /// Guards against a violation of an invariant under this fault, and
            /// against a case in which the fault never starts.
            #[test]
            fn $name() {
                let summaries = run_at_every_step(Fault::$fault);

                assert!(summaries.iter().all(|summary| summary.unreached_faults == 0));
            }
        )*
    };
}

// The faults, their durations in seconds, and their tests. A pause is longer
// than the 10 s lease of a registration. Clocks run 5 % fast or slow. Steps of
// the wall clock are not injected because no code under test reads it:
// crates/core/src does not use `SystemTime`.
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
        /// A defect of the simulated system that must violate an invariant.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub(crate) enum Mutation {$($(#[$doc])* $mutation,)*}

        $($(
            /// Guards against a matrix that does not detect this defect.
            #[test]
            fn $name() {
                let faults = [$(Fault::$fault),*];

                let caught = is_caught(Mutation::$mutation, Invariant::$invariant, &faults, &$steps);

                assert!(caught);
            }
        )*)*
    };
}

// The mutations and their tests. Each test lists the invariant that must be
// violated, the faults under which this happens, and the steps at which the
// faults start.
mutation_table! {
    /// Workers accept requests of any epoch.
    DisableFencing: disabled_fencing_is_caught(SinglePlace, [Pause], [Step::Record, Step::Choose]);
    /// A start or a call without a response counts as not run.
    RetryUnknown: retry_unknown_is_caught(NotRun, [Drop, PartitionOneWay], STEPS);
    /// A start is sent without a record in the journal.
    SkipRecord: skip_record_is_caught(SinglePlace, [Kill], STEPS),
        second_start_is_caught(AtMostOnce, [Kill, StoreDown, StoreSlow], STEPS);
    /// Workers run a task again when its start is repeated.
    RepeatStart: repeated_start_is_caught(AtMostOnce, [Duplicate], STEPS);
    /// A keyed call is dispatched without a record of its intent.
    SkipIntent: skipped_intent_is_caught(AtMostOnce, [Kill, Pause], STEPS);
    /// Workers report no running tasks when claimed, and admit tasks beyond their
    /// capacity.
    HideRunning: hide_running_is_caught(Capacity, [Kill, Drop], STEPS);
    /// A daemon discards its configuration when a peer has an older version.
    OlderConfig: older_config_is_caught(NoRevert, [TwoOperators, Delay], STEPS);
    /// An answer is sent to the oldest waiting request instead of its own.
    AnswerByPosition: answer_by_position_is_caught(MatchingAnswer, [StoreSlow, Drop], STEPS);
    /// Daemons ignore the list of leaving hosts.
    IgnoreLeaving: ignore_leaving_is_caught(Leaving, [HostLeaving], STEPS);
    /// A failed store call causes another one immediately.
    BusyRetries: busy_retries_are_caught(StoreRate, [StoreDown], STEPS);
    /// Daemons do not fetch configuration versions.
    DisableFetch: disabled_fetch_is_caught(Applied, [TwoOperators], STEPS);
    /// A new owner ignores the contents of the journal.
    ForgetJournal: forget_journal_is_caught(Settled, [Kill], STEPS);
    /// A drain hands shards over while calls are open; tested by
    /// `a_drain_cuts_no_open_call`.
    DrainCuts: ;
}

/// Runs pairs of faults that are drawn from a range of seeds and from the
/// additional seeds.
fn run_pairs(fixed: Range<u64>) {
    let start = fixed.start;
    let extra = extra_seeds().map(|seed| seed * 10_000 + start);
    for seed in fixed.chain(extra) {
        run_case(seed, draw_pair(seed));
    }
}

macro_rules! pair_tests {
    ($($name:ident: $seeds:expr,)*) => {$(
        /// Guards against invariants that hold under each fault alone but not
        /// under two faults together.
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

/// Guards against a start that is sent to a leaving host: the host begins to
/// leave while the record of the start waits for the store.
#[test]
fn no_start_is_sent_to_a_host_that_leaves_during_its_record() {
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

/// Guards against slots that stay granted forever after the daemon that uses
/// them is killed.
#[test]
fn slots_of_a_killed_daemon_become_free() {
    let summaries = run_at_every_step(Fault::Kill);

    assert!(summaries.iter().all(|summary| summary.granted_slots == 0));
}

/// Guards against a slot that stays granted forever after the message that
/// returns it is lost.
#[test]
fn slots_become_free_after_a_lost_return() {
    let summaries = run_at_every_step(Fault::ReturnLost);

    assert!(summaries.iter().all(|summary| summary.granted_slots == 0));
}

/// Guards against a simulation that checks nothing because no work runs in it.
#[test]
fn a_run_without_faults_completes_everything() {
    let summary = run_case(0, Vec::new());

    assert_eq!((summary.unreached_faults, summary.config_version), (0, 4));
    assert_eq!((summary.accepted, summary.rejected), (23, 3));
    assert!(summary.succeeded >= 23 && summary.starts >= summary.succeeded);
}

/// Guards against a drain that interrupts open calls: every call must get a
/// response or an explicit rejection while the owner of its key is drained.
#[test]
fn a_drain_cuts_no_open_call() {
    let summaries = [None, Some(Mutation::DrainCuts)].map(|mutation| {
        let options = RunOptions::new(0, Vec::new(), mutation);
        run(options).expect("no invariant is violated")
    });

    assert_eq!(summaries[0].unanswered_calls, 0);
    assert!(summaries[1].unanswered_calls > 0);
}

/// Guards against runs that depend on anything but their options, such as map
/// order or the real clock.
#[test]
fn runs_are_deterministic() {
    let options = || RunOptions::new(5, draw_pair(5), Some(Mutation::DisableFencing));

    let reports: Vec<_> = (0..2).map(|_| run(options())).collect();

    assert_eq!(reports[0], reports[1]);
    assert_eq!(FAULTS.len(), 20);
}
