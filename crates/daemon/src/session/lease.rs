//! The daemon's lease, under which its membership and its ownerships stand.

use std::time::Duration;

use auburnsaddle_platform::{KeyLease, StoreTransaction, TransactionOutcome};
use tokio::sync::{mpsc, watch};

use super::{retry::RetryDelay, route::CellStore};
use crate::{cell::CellEvent, pipelines::CellKey, telemetry::BootClock};

/// Term of the lease; a daemon that is gone loses its services after this time.
const LEASE_TERM: Duration = Duration::from_secs(2);

/// Time between two renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// Part of the term that is not relied on.
const TERM_MARGIN: Duration = Duration::from_millis(200);

/// Changes of the lease.
#[derive(Clone, Copy, Debug)]
pub(crate) enum SessionNews {
    /// A new lease; ownerships under an earlier one have ended.
    Opened(KeyLease),
    /// The lease holds until this time at least.
    Confirmed(Duration),
    /// The store has ended the lease.
    Lost,
}

/// Keeps a lease until `stop` turns true, and then ends it.
pub(crate) async fn keep_session(
    store: CellStore,
    daemon: String,
    member: Vec<u8>,
    shortest_term: Duration,
    clock: BootClock,
    events: mpsc::Sender<CellEvent>,
    mut stop: watch::Receiver<bool>,
) {
    let mut delay = RetryDelay::default();
    let term = LEASE_TERM.max(shortest_term);
    while !*stop.borrow() {
        let opened_at = clock.now();
        let Ok(lease) = store.grant_lease(term).await else {
            pause(&mut delay, &mut stop).await;
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
        if !matches!(
            store.commit(&registration).await,
            TransactionOutcome::Done(_)
        ) {
            pause(&mut delay, &mut stop).await;
            continue;
        }
        if delay.reset() {
            log::info!("regained contact with the store");
        }
        let until = opened_at + lease.ttl.saturating_sub(TERM_MARGIN);
        for news in [SessionNews::Opened(lease), SessionNews::Confirmed(until)] {
            let _ = events.send(CellEvent::Session(news)).await;
        }
        renew_until_lost(&store, lease, clock, &events, &mut stop).await;
        if *stop.borrow() {
            if store.revoke_lease(lease).await.is_err() {
                log::warn!("the lease could not be ended; it expires by itself");
            }
            return;
        }
        log::warn!(lease = lease.id; "the store has ended this daemon's lease");
        let _ = events.send(CellEvent::Session(SessionNews::Lost)).await;
    }
}

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
                    let until = sent_at + lease.ttl.saturating_sub(TERM_MARGIN);
                    let news = CellEvent::Session(SessionNews::Confirmed(until));
                    let _ = events.send(news).await;
                    break;
                }
                Ok(false) => return,
                Err(_) if *stop.borrow() => return,
                Err(error) => {
                    let (wait, is_first) = delay.next(rand::random());
                    if is_first {
                        log::warn!(lease = lease.id; "the lease was not renewed: {error}");
                    }
                    tokio::time::sleep(wait).await;
                }
            }
        }
    }
}

async fn pause(delay: &mut RetryDelay, stop: &mut watch::Receiver<bool>) {
    let (wait, is_first) = delay.next(rand::random());
    if is_first {
        log::warn!("no lease from the store; retrying");
    }
    tokio::select! {
        () = tokio::time::sleep(wait) => {}
        _ = stop.changed() => {}
    }
}
