//! Randomized tests of several owners that share the caps of teams.

use std::time::Duration;

use super::simulation::QuotaSimulation;

/// Seeds of the random choices.
const SEEDS: std::ops::Range<u64> = 0..40;

/// Failure: two services together start more than a team's cap and one task, over owners that are
/// replaced, transactions that are carried out late and caps that change; or tasks of a team under
/// half of its cap wait for more than 3 s.
#[test]
fn services_together_keep_to_the_caps_over_faults() {
    for seed in SEEDS {
        let mut simulation = QuotaSimulation::new(seed);

        let result = simulation.run(Duration::from_mins(1), 60);

        assert_eq!(result, Ok(()), "seed {seed}");
        assert!(simulation.start_count > 1_000, "seed {seed}");
    }
}

/// Failure: allotments go back and forth between services that compete for the caps, without a limit
/// on the calls to the store.
#[test]
fn competing_services_change_their_allotments_at_a_bounded_rate() {
    let mut simulation = QuotaSimulation::new(1);

    let result = simulation.run(Duration::from_mins(1), 0);

    assert_eq!(result, Ok(()));
    // Ten changes a second for each of three owners.
    let per_second = simulation.change_count / 60;
    assert!(per_second <= 30, "{per_second} changes a second");
}
