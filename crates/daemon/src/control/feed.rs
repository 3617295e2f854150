//! Keeps the control state current with the platform: the registration of this
//! daemon, the control keys of the store and the list of hosts.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use auburnsaddle_core::{MemberRecord, RegistrationAction, RegistrationEvent, RegistrationLease};
use rand::rngs::StdRng;
use tokio::sync::watch;

use super::{
    messages::{ControlEvent, ControlHandle},
    process::interval,
};
use crate::{
    hosts::HostSource,
    membership::{MEMBER_PREFIX, decode_members, register_transaction},
    ownership::OWNER_PREFIX,
    peers::{PeerClient, PeerReply, PeerRequest},
    publication::HEAD_KEY,
    store::{
        CoordinationClient, LeaseId, StoreBackoff, StoreError, StoreRange, StoreTxn, StoreView,
        StoreWatch,
    },
    telemetry::ProcessClock,
};

/// Duration of the lease of a registration.
const MEMBER_LEASE: Duration = Duration::from_secs(10);

/// Time between whole readings, which bounds the effect of a watch that hangs.
const READ_INTERVAL: Duration = Duration::from_secs(5);

/// Time in which a peer answers with the members it knows.
const ASK_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads the list of hosts again and again.
pub(super) async fn poll_hosts<H: HostSource>(
    control: ControlHandle,
    mut source: H,
    period: Duration,
) {
    let mut interval = interval(period);
    loop {
        interval.tick().await;
        match source.read().await {
            Ok(Some(entries)) => control.send(ControlEvent::HostsRead(entries)).await,
            Ok(None) => {}
            Err(error) => log::warn!("{error}"),
        }
    }
}

/// Asks the peers named in the settings, and those that they name, for the
/// members and owners, until one has answered. A daemon that starts while the
/// store is down learns them only in this way.
pub(super) async fn ask_peers(
    control: ControlHandle,
    peers: PeerClient,
    record: MemberRecord,
    named: Vec<SocketAddr>,
) {
    let mut answered = BTreeSet::new();
    let mut backoff = StoreBackoff::default();
    while !named.is_empty() && answered.is_empty() {
        let mut waiting = named.clone();
        while let Some(address) = waiting.pop() {
            if answered.contains(&address) {
                continue;
            }
            if let Some(others) = introduce(&control, &peers, &record, address).await {
                answered.insert(address);
                waiting.extend(others);
            }
        }
        tokio::time::sleep(backoff.next(rand::random())).await;
    }
}

/// Introduces this daemon to a peer and returns the addresses of the members
/// that the peer knows.
async fn introduce(
    control: &ControlHandle,
    peers: &PeerClient,
    record: &MemberRecord,
    address: SocketAddr,
) -> Option<Vec<SocketAddr>> {
    let request = PeerRequest::Introduce(record.clone());
    let asking = tokio::time::timeout(ASK_TIMEOUT, peers.send(address, &request));
    match asking.await {
        Ok(Ok(PeerReply::Members(members, owners))) => {
            let others = members.iter().filter(|member| *member != record);
            let addresses = others.filter_map(|member| member.peer_address.parse().ok());
            let addresses = addresses.collect();
            control
                .send(ControlEvent::MembersTold(members, owners))
                .await;
            return Some(addresses);
        }
        Ok(Ok(_)) => log::warn!("peer {address} sent no members"),
        Ok(Err(error)) => log::info!("asking for the members: {error}"),
        Err(_) => log::info!("asking {address} for the members took too long"),
    }
    None
}

/// Keeps the daemon registered under a lease until `stop` changes, then
/// deregisters it by ending the lease.
pub(super) async fn keep_registered<S: CoordinationClient>(
    store: S,
    record: MemberRecord,
    mut stop: watch::Receiver<bool>,
) {
    let clock = ProcessClock::start();
    let mut registration = RegistrationLease::new(rand::make_rng::<StdRng>());
    let mut lease = None;
    let mut event = RegistrationEvent::TimerFired;
    loop {
        if let Some(action) = registration.handle(event, clock.now()) {
            event = match carry_out(&store, &record, action, &mut lease).await {
                Ok(event) => event,
                Err(error) => {
                    log::warn!("registering the daemon: {error}");
                    RegistrationEvent::Failed
                }
            };
            continue;
        }
        let due = registration.due().unwrap_or_default();
        tokio::select! {
            () = tokio::time::sleep(due.saturating_sub(clock.now())) => {}
            _ = stop.changed() => break,
        }
        event = RegistrationEvent::TimerFired;
    }
    let Some(lease) = lease else {
        return;
    };
    if let Err(error) = store.revoke_lease(lease).await {
        log::warn!("deregistering the daemon: {error}; its lease expires by itself");
    }
}

/// Renews the lease, or registers under a new one.
async fn carry_out<S: CoordinationClient>(
    store: &S,
    record: &MemberRecord,
    action: RegistrationAction,
    lease: &mut Option<LeaseId>,
) -> Result<RegistrationEvent, StoreError> {
    match (action, *lease) {
        (RegistrationAction::Renew, Some(held)) => {
            let alive = store.renew_lease(held).await?;
            Ok(if alive {
                RegistrationEvent::Granted
            } else {
                RegistrationEvent::Expired
            })
        }
        (RegistrationAction::Register | RegistrationAction::Renew, _) => {
            let granted = store.grant_lease(MEMBER_LEASE).await?;
            let transaction = StoreTxn {
                lease: Some(granted),
                ..register_transaction(record)
            };
            store.commit(transaction).await?;
            *lease = Some(granted);
            Ok(RegistrationEvent::Granted)
        }
    }
}

/// Sends the control keys to the control thread after each change.
pub(super) async fn follow_store<S: CoordinationClient>(control: ControlHandle, store: S) {
    let ranges = control_ranges();
    let mut view = StoreView::default();
    let mut backoff = StoreBackoff::default();
    loop {
        let mut connected = false;
        let error = follow_watch(&control, &store, &ranges, &mut view, &mut connected).await;
        if connected {
            backoff = StoreBackoff::default();
        }
        log::warn!("following the store: {error}");
        tokio::time::sleep(backoff.next(rand::random())).await;
    }
}

/// Reads all keys, then follows a watch until it fails.
async fn follow_watch<S: CoordinationClient>(
    control: &ControlHandle,
    store: &S,
    ranges: &[StoreRange],
    view: &mut StoreView,
    connected: &mut bool,
) -> StoreError {
    match store.read_ranges(ranges).await {
        Ok(reading) => view.replace(reading, true),
        Err(error) => return error,
    }
    show_store(control, store, view).await;
    let mut watch = match store.watch(ranges, view.revision() + 1).await {
        Ok(watch) => watch,
        Err(error) => return error,
    };
    *connected = true;
    let mut reading = interval(READ_INTERVAL);
    // The first tick is immediate, and all keys have just been read.
    reading.tick().await;
    loop {
        let changed = tokio::select! {
            changes = watch.next() => match changes {
                Ok(changes) => view.apply(changes),
                Err(error) => return error,
            },
            _ = reading.tick() => match store.read_ranges(ranges).await {
                Ok(reading) => {
                    view.replace(reading, false);
                    true
                }
                Err(error) => return error,
            },
        };
        if changed {
            show_store(control, store, view).await;
        }
    }
}

/// Hands the control keys to the control thread, and divides the store's rates
/// by the registered daemons, or by those known before if they are more: all
/// registrations may have expired after an outage of the store.
async fn show_store<S: CoordinationClient>(control: &ControlHandle, store: &S, view: &StoreView) {
    let entries = view.entries();
    let known = control.snapshot().members.len() + 1;
    let daemons = decode_members(&entries).len().max(known);
    store.set_daemon_count(u32::try_from(daemons).unwrap_or(u32::MAX));
    control.send(ControlEvent::StoreRead(entries)).await;
}

fn control_ranges() -> Vec<StoreRange> {
    vec![
        StoreRange::Prefix(MEMBER_PREFIX.to_owned()),
        StoreRange::Prefix(OWNER_PREFIX.to_owned()),
        StoreRange::Key(HEAD_KEY.to_owned()),
    ]
}
