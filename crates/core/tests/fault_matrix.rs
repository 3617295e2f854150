//! Every fault at every step of the path, alone and in pairs, against the
//! invariants of the design; and one mutation per invariant that is seen to
//! violate it.
//!
//! `AUBURNSADDLE_MATRIX_SEEDS=N` adds N further seeds to each test.

mod matrix;

use matrix::{
    RunOptions,
    faults::{FAULTS, Fault, Injection, Mutation, STEPS, Step, draw_pair},
    invariants::Invariant,
    run,
};

/// Seeds of the fixed list.
const SEEDS: [u64; 2] = [11, 12];

/// First of the further seeds.
const FRESH_SEED: u64 = 1_000;

fn seeds() -> Vec<u64> {
    let fresh = std::env::var("AUBURNSADDLE_MATRIX_SEEDS");
    let fresh = fresh.ok().and_then(|text| text.parse().ok()).unwrap_or(0);
    SEEDS
        .into_iter()
        .chain(FRESH_SEED..FRESH_SEED + fresh)
        .collect()
}

/// Runs a fault at every step with every seed and reports the first violation.
fn run_at_every_step(fault: Fault) {
    let mut missed = 0;
    for seed in seeds() {
        for step in STEPS {
            let options = RunOptions {
                seed,
                injections: vec![Injection::new(fault, step, seed)],
                mutation: None,
            };
            match run(&options) {
                Ok(summary) => missed += summary.missed,
                Err((_, report)) => panic!("{report}"),
            }
        }
    }

    assert_eq!(missed, 0, "injections whose step was not reached");
}

/// Tells whether some run of a mutated system violates an invariant.
fn is_caught(mutation: Mutation, invariant: Invariant, faults: &[Fault], steps: &[Step]) -> bool {
    (0..40).any(|seed| {
        faults.iter().any(|fault| {
            let step = steps[usize::try_from(seed).unwrap_or(0) % steps.len()];
            let options = RunOptions {
                seed,
                injections: vec![Injection::new(*fault, step, seed)],
                mutation: Some(mutation),
            };
            matches!(run(&options), Err((violated, _)) if violated == invariant)
        })
    })
}

macro_rules! fault_tests {
    ($($name:ident: $fault:ident,)*) => {$(
        /// Guards against an invariant that does not hold under this fault.
        #[test]
        fn $name() {
            run_at_every_step(Fault::$fault);
        }
    )*};
}

fault_tests! {
    kill_at_every_step: Kill,
    pause_at_every_step: Pause,
    partition_both_ways_at_every_step: PartitionBothWays,
    partition_one_way_at_every_step: PartitionOneWay,
    delay_at_every_step: Delay,
    drop_at_every_step: Drop,
    duplicate_at_every_step: Duplicate,
    reorder_at_every_step: Reorder,
    store_down_at_every_step: StoreDown,
    store_slow_at_every_step: StoreSlow,
    response_lost_at_every_step: ResponseLost,
    lease_expired_at_every_step: LeaseExpired,
    worker_dead_at_every_step: WorkerDead,
    worker_fails_all_at_every_step: WorkerFailsAll,
    host_leaving_at_every_step: HostLeaving,
    cancel_burst_at_every_step: CancelBurst,
    two_operators_at_every_step: TwoOperators,
    clock_fast_at_every_step: ClockFast,
    clock_slow_at_every_step: ClockSlow,
}

macro_rules! mutation_tests {
    ($($name:ident: $mutation:ident, $invariant:ident, [$($fault:ident),*], $steps:expr;)*) => {$(
        /// Guards against a matrix that does not see this defect.
        #[test]
        fn $name() {
            let faults = [$(Fault::$fault),*];

            let caught = is_caught(Mutation::$mutation, Invariant::$invariant, &faults, &$steps);

            assert!(caught);
        }
    )*};
}

mutation_tests! {
    fence_off_is_caught: FenceOff, OnePlace, [Pause], [Step::Record, Step::Choose];
    retry_unknown_is_caught: RetryUnknown, NotRun, [Drop, PartitionOneWay], STEPS;
    skip_record_is_caught: SkipRecord, OnePlace, [Kill], STEPS;
    second_start_is_caught: SkipRecord, AtMostOnce, [Kill, StoreDown, StoreSlow], STEPS;
    hide_running_is_caught: HideRunning, Size, [Kill, Drop], STEPS;
    older_config_is_caught: OlderConfig, NoRevert, [TwoOperators, Delay], STEPS;
    answer_by_position_is_caught: AnswerByPosition, OwnAnswer, [StoreSlow, Drop], STEPS;
    ignore_leaving_is_caught: IgnoreLeaving, Leaving, [HostLeaving], STEPS;
    busy_retries_are_caught: BusyRetries, StoreRate, [StoreDown], STEPS;
    no_fetch_is_caught: NoFetch, InForce, [TwoOperators], STEPS;
    skipped_intent_is_caught: SkipIntent, AtMostOnce, [Kill, Pause], STEPS;
    forget_journal_is_caught: ForgetJournal, Settled, [Kill], STEPS;
}

/// Runs pairs of faults drawn from seeds and reports the first violation.
fn run_pairs(fixed: std::ops::Range<u64>) {
    let fresh = seeds().into_iter().filter(|seed| *seed >= FRESH_SEED);
    for seed in fixed
        .clone()
        .chain(fresh.map(|seed| seed * 10_000 + fixed.start))
    {
        let options = RunOptions {
            seed,
            injections: draw_pair(seed),
            mutation: None,
        };
        if let Err((_, report)) = run(&options) {
            panic!("{report}");
        }
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

/// Guards against a matrix that proves nothing because nothing runs in it.
#[test]
fn a_run_without_faults_completes_everything() {
    let summary = run(&RunOptions::default()).expect("no invariant is violated");

    assert_eq!((summary.missed, summary.version), (0, 4));
    assert_eq!((summary.accepted, summary.rejected), (23, 3));
    assert!(summary.succeeded >= 23 && summary.starts >= summary.succeeded);
}

/// Guards against a drain that cuts open calls: all get a response or an
/// explicit rejection although the owner of their keys is drained.
#[test]
fn a_drain_cuts_no_open_call() {
    let summaries = [None, Some(Mutation::DrainCuts)].map(|mutation| {
        let options = RunOptions {
            mutation,
            ..RunOptions::default()
        };
        run(&options).expect("no invariant is violated")
    });

    assert_eq!(summaries[0].cut, 0);
    assert!(summaries[1].cut > 0);
}

/// Guards against a run that depends on anything but its seed.
#[test]
fn runs_are_deterministic() {
    let options = RunOptions {
        seed: 5,
        injections: draw_pair(5),
        mutation: Some(Mutation::FenceOff),
    };

    let reports: Vec<_> = (0..2).map(|_| run(&options)).collect();

    assert_eq!(reports[0], reports[1]);
    assert_eq!(FAULTS.len(), 19);
}
