use super::ResourceCap;
use crate::types::ResourceVector;

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
