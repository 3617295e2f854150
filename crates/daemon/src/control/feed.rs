//! Background tasks that exchange control data with the platform and with peers:
//! the list of hosts, the registration of this daemon, the control keys of the
//! store and, at startup, the members known to peers.

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

/// Time to live of the lease that holds this daemon's registration.
const MEMBER_LEASE_TTL: Duration = Duration::from_secs(10);

/// Interval between full reads of the control keys. It bounds how stale the
/// control state becomes when a watch hangs without an error.
const FULL_READ_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum time to wait for the members from one peer.
const MEMBERS_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Polls the list of hosts and sends each changed list to the control thread.
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

/// Requests the members and owners from the peers in the settings and from the
/// members that these return, and repeats this until a peer has responded. A
/// daemon that starts while the store is down has no other source for them.
pub(super) async fn discover_members(
    control: ControlHandle,
    peers: PeerClient,
    record: MemberRecord,
    seed_addresses: Vec<SocketAddr>,
) {
    let mut responders = BTreeSet::new();
    let mut backoff = StoreBackoff::default();
    while !seed_addresses.is_empty() && responders.is_empty() {
        let mut pending = seed_addresses.clone();
        while let Some(address) = pending.pop() {
            if responders.contains(&address) {
                continue;
            }
            if let Some(others) = request_members(&control, &peers, &record, address).await {
                responders.insert(address);
                pending.extend(others);
            }
        }
        tokio::time::sleep(backoff.next(rand::random())).await;
    }
}

/// Sends this daemon's registration to a peer, forwards the members and owners in
/// the response to the control thread, and returns the addresses of the members.
async fn request_members(
    control: &ControlHandle,
    peers: &PeerClient,
    record: &MemberRecord,
    address: SocketAddr,
) -> Option<Vec<SocketAddr>> {
    let request = PeerRequest::Introduce(record.clone());
    let response = tokio::time::timeout(MEMBERS_REQUEST_TIMEOUT, peers.send(address, &request));
    match response.await {
        Ok(Ok(PeerReply::Members(members, owners))) => {
            let others = members.iter().filter(|member| *member != record);
            let addresses = others.filter_map(|member| member.peer_address.parse().ok());
            let addresses = addresses.collect();
            control
                .send(ControlEvent::MembersReceived(members, owners))
                .await;
            return Some(addresses);
        }
        Ok(Ok(_)) => log::warn!("peer {address} sent a response without members"),
        Ok(Err(error)) => log::info!("cannot request the members from a peer: {error}"),
        Err(_) => log::info!("peer {address} did not send its members in time"),
    }
    None
}

/// Keeps the daemon registered under a lease until `stop` changes, then
/// deregisters it by revoking the lease.
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
            event = match run_registration_action(&store, &record, action, &mut lease).await {
                Ok(event) => event,
                Err(error) => {
                    log::warn!("cannot register the daemon: {error}");
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
        log::warn!("cannot deregister the daemon: {error}; the store will expire its lease");
    }
}

/// Renews the lease, or registers the daemon under a new one.
async fn run_registration_action<S: CoordinationClient>(
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
            let granted = store.grant_lease(MEMBER_LEASE_TTL).await?;
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

/// Watches the control keys and sends them to the control thread after each
/// change. A failed watch is restarted after a backoff.
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
        log::warn!("watch of the store failed: {error}");
        tokio::time::sleep(backoff.next(rand::random())).await;
    }
}

/// Reads all control keys and follows a watch until it fails. Returns the error
/// and sets `connected` once the watch is established.
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
    send_store_view(control, store, view).await;
    let mut watch = match store.watch(ranges, view.revision() + 1).await {
        Ok(watch) => watch,
        Err(error) => return error,
    };
    *connected = true;
    log::info!("watching the store from revision {}", view.revision() + 1);
    let mut read_timer = interval(FULL_READ_INTERVAL);
    // The first tick is immediate, and all keys have just been read.
    read_timer.tick().await;
    loop {
        let changed = tokio::select! {
            changes = watch.next() => match changes {
                Ok(changes) => view.apply(changes),
                Err(error) => return error,
            },
            _ = read_timer.tick() => match store.read_ranges(ranges).await {
                Ok(reading) => {
                    view.replace(reading, false);
                    true
                }
                Err(error) => return error,
            },
        };
        if changed {
            send_store_view(control, store, view).await;
        }
    }
}

/// Sends the control keys to the control thread and sets the number of daemons
/// that share the store's rates: the registered daemons, or the daemons in the
/// last snapshot if these are more, since all registrations may have expired
/// during an outage of the store.
async fn send_store_view<S: CoordinationClient>(
    control: &ControlHandle,
    store: &S,
    view: &StoreView,
) {
    let entries = view.entries();
    let known = control.snapshot().members.len() + 1;
    let daemons = decode_members(&entries).len().max(known);
    store.set_daemon_count(u32::try_from(daemons).unwrap_or(u32::MAX));
    control.send(ControlEvent::StoreRead(entries)).await;
}

/// Returns the ranges of the control keys: members, owners and the newest
/// configuration version.
fn control_ranges() -> Vec<StoreRange> {
    vec![
        StoreRange::Prefix(MEMBER_PREFIX.to_owned()),
        StoreRange::Prefix(OWNER_PREFIX.to_owned()),
        StoreRange::Key(HEAD_KEY.to_owned()),
    ]
}
