//! The daemon's lease, to which its membership key and its ownership keys are bound.

use std::time::Duration;

use auburnsaddle_platform::{KeyLease, StoreTransaction, TransactionOutcome};
use tokio::sync::{mpsc, oneshot, watch};

use super::{retry::RetryDelay, route::CellStore};
use crate::{cell::CellEvent, pipelines::CellKey, telemetry::BootClock};

/// Term of the lease. The services of a daemon that crashed are free for a takeover
/// after this time.
const LEASE_TERM: Duration = Duration::from_secs(2);

/// Time between two renewals of the lease.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// Subtracted from the term, so that this daemon stops relying on the lease
/// before the store ends it.
const LEASE_MARGIN: Duration = Duration::from_millis(200);

/// A change of the daemon's lease.
#[derive(Clone, Copy, Debug)]
pub(crate) enum LeaseUpdate {
    /// The store granted a new lease, and holds the daemon's registration under it at the given
    /// revision. Ownerships under an earlier lease have ended.
    Granted(KeyLease, u64),
    /// The store has confirmed the lease.
    Extended(LeaseConfirmation),
    /// The lease expired or was revoked, and with it all ownerships.
    Lost,
}

/// A confirmation of the lease by the store.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LeaseConfirmation {
    /// When it was requested.
    pub(crate) sent_at: Duration,
    /// The lease is valid at least until this time.
    pub(crate) valid_until: Duration,
}

impl LeaseConfirmation {
    /// Returns the confirmation of a lease of this term.
    const fn new(sent_at: Duration, term: Duration) -> Self {
        Self {
            sent_at,
            valid_until: sent_at.saturating_add(term.saturating_sub(LEASE_MARGIN)),
        }
    }
}

/// Acquires a lease, registers the daemon under it and renews it until `stop` turns
/// true; then revokes it. A lost lease is replaced by a new one.
pub(crate) async fn maintain_lease(
    store: CellStore,
    daemon: String,
    member: Vec<u8>,
    min_term: Duration,
    clock: BootClock,
    events: mpsc::Sender<CellEvent>,
    mut stop: watch::Receiver<bool>,
) {
    let mut delay = RetryDelay::default();
    let term = LEASE_TERM.max(min_term);
    while !*stop.borrow() {
        let requested_at = clock.now();
        let Ok(lease) = store.grant_lease(term).await else {
            wait_before_retry(&mut delay, &mut stop).await;
            continue;
        };
        let registration = StoreTransaction {
            puts: vec![(
                CellKey::Member(daemon.clone()).path(),
                member.clone(),
                lease.id,
            )],
            ..StoreTransaction::default()
        };
        let TransactionOutcome::Done(revision) = store.commit(&registration).await else {
            wait_before_retry(&mut delay, &mut stop).await;
            continue;
        };
        if delay.reset() {
            log::info!("regained contact with the store");
        }
        let confirmation = LeaseConfirmation::new(requested_at, lease.ttl);
        for update in [
            LeaseUpdate::Granted(lease, revision),
            LeaseUpdate::Extended(confirmation),
        ] {
            let _ = events.send(CellEvent::Lease(update)).await;
        }
        renew_until_lost(&store, lease, clock, &events, &mut stop).await;
        if *stop.borrow() {
            if store.revoke_lease(lease).await.is_err() {
                log::warn!("the lease was not revoked; it expires at the end of its term");
            }
            return;
        }
        log::warn!(lease = lease.id; "the store has ended this daemon's lease");
        let _ = events.send(CellEvent::Lease(LeaseUpdate::Lost)).await;
        // The next registration shows others that the ownerships under this lease have ended.
        let (reply, is_released) = oneshot::channel();
        let _ = events.send(CellEvent::Flush(reply)).await;
        // An error means that the control thread has ended.
        let _ = is_released.await;
    }
}

/// Renews the lease until the store reports it as ended or `stop` changes.
async fn renew_until_lost(
    store: &CellStore,
    lease: KeyLease,
    clock: BootClock,
    events: &mpsc::Sender<CellEvent>,
    stop: &mut watch::Receiver<bool>,
) {
    let mut delay = RetryDelay::default();
    loop {
        tokio::select! {
            () = tokio::time::sleep(RENEWAL_INTERVAL) => {}
            _ = stop.changed() => return,
        }
        loop {
            let sent_at = clock.now();
            match store.renew_lease(lease).await {
                Ok(true) => {
                    if delay.reset() {
                        log::info!(lease = lease.id; "the lease is renewed again");
                    }
                    let confirmation = LeaseConfirmation::new(sent_at, lease.ttl);
                    let update = CellEvent::Lease(LeaseUpdate::Extended(confirmation));
                    let _ = events.send(update).await;
                    break;
                }
                Ok(false) => return,
                Err(_) if *stop.borrow() => return,
                Err(error) => {
                    let (wait, is_first) = delay.next_delay(rand::random());
                    if is_first {
                        log::warn!(lease = lease.id; "the lease was not renewed: {error}");
                    }
                    tokio::time::sleep(wait).await;
                }
            }
        }
    }
}

/// Waits for the next retry delay, or until `stop` changes.
async fn wait_before_retry(delay: &mut RetryDelay, stop: &mut watch::Receiver<bool>) {
    let (wait, is_first) = delay.next_delay(rand::random());
    if is_first {
        log::warn!("the store granted no lease; retrying");
    }
    tokio::select! {
        () = tokio::time::sleep(wait) => {}
        _ = stop.changed() => {}
    }
}
