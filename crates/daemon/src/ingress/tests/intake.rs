//! Tests of the limits of the listeners.

use super::super::{
    HostLimits, IntakeGate, IntakeRole,
    intake::{BodyError, RequestIntake},
};

/// Returns the limits of the smallest host.
const fn smallest_host() -> HostLimits {
    HostLimits {
        memory_mb: Some(120),
        descriptors: Some(3_075),
    }
}

/// Returns how many connections a listener keeps open.
fn count_kept(role: IntakeRole, host: HostLimits) -> usize {
    let gate = IntakeGate::new(role, host, None);
    let mut opened: Vec<_> = (0..4_000).filter_map(|_| gate.open()).collect();
    let kept = opened.iter_mut().filter_map(|(_, shed)| {
        // A connection that was shed has no sender any more.
        let is_open = shed.try_recv() == Err(tokio::sync::oneshot::error::TryRecvError::Empty);
        is_open.then_some(())
    });
    kept.count()
}

/// Guards against limits by which the connections of callers and of other daemons together use up the
/// memory or the descriptors of the smallest host.
#[test]
fn the_listeners_of_the_smallest_host_keep_to_its_limits() {
    let callers = count_kept(IntakeRole::Callers, smallest_host());
    let peers = count_kept(IntakeRole::Peers, smallest_host());
    let probes = count_kept(IntakeRole::Probes, smallest_host());

    // Each connection counts as 48 KiB, and each of the two listeners has 30 MiB.
    assert!(callers <= 640 && peers <= 640, "{callers}, {peers}");
    assert!(callers >= 500 && peers >= 500, "{callers}, {peers}");
    assert!(probes <= 64, "{probes}");
}

/// Guards against a request that is stored although there is no memory for what becomes of it.
#[test]
fn a_body_whose_decoded_form_does_not_fit_is_refused() {
    let host = HostLimits {
        memory_mb: Some(4),
        descriptors: None,
    };
    let gate = IntakeGate::new(IntakeRole::Callers, host, None);
    let (connection, _shed) = gate.open().unwrap();
    let intake = RequestIntake::begin(&connection);

    let large = intake.protect(262_144);
    let small = intake.protect(2_400);

    assert_eq!(large, Err(BodyError::NoMemory));
    assert_eq!(small, Ok(()));
}
