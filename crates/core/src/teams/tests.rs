use super::{ResourceCap, SubmissionRates};
use crate::types::{ResourceVector, TeamId};

/// Returns a cap on accelerators only.
fn accelerator_cap(accelerators: u64) -> ResourceCap {
    ResourceCap {
        accelerators: Some(accelerators),
        ..ResourceCap::default()
    }
}

/// Failure: a cap on one resource limits the others, or an amount above it passes.
#[test]
fn a_cap_limits_only_its_own_resources() {
    let cap = accelerator_cap(8);

    let within = cap.admits(&ResourceVector::new(u64::MAX, u64::MAX, 8));
    let above = cap.admits(&ResourceVector::new(0, 0, 9));

    assert!(within);
    assert!(!above);
}

/// Failure: a team without a cap counts as limited, which costs calls to the store.
#[test]
fn a_cap_without_bounds_is_unlimited() {
    let unlimited = ResourceCap::default();

    let largest = ResourceVector::new(u64::MAX, u64::MAX, u64::MAX);

    assert!(unlimited.is_unlimited());
    assert!(unlimited.admits(&largest));
    assert!(!accelerator_cap(0).is_unlimited());
}

/// Failure: a team that keeps to its rate counts as one that does not, or a second begins anew at a
/// fixed time, so that twice the rate passes around it.
#[test]
fn any_second_has_as_many_jobs_as_the_weight_allows() {
    let (mut rates, team) = (SubmissionRates::default(), TeamId::from("red"));

    let times = [0, 900, 950, 1_000, 1_850, 1_950];
    let excess = times.map(|offset| rates.record(&team, 50_000 + offset, 2));

    assert_eq!(excess, [false, false, true, false, true, false]);
}

/// Failure: a successor that learns of jobs out of order counts those of other seconds.
#[test]
fn jobs_that_are_learnt_out_of_order_count_in_their_own_seconds() {
    let (mut rates, team) = (SubmissionRates::default(), TeamId::from("red"));

    let later = rates.record(&team, 55_000, 1);
    let earlier = rates.record(&team, 50_000, 1);
    let same = rates.record(&team, 50_400, 1);

    assert_eq!((later, earlier, same), (false, false, true));
}
