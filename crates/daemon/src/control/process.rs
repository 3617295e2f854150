//! Startup and shutdown of the daemon, and the loop of the control thread.

use std::{io, sync::Arc, thread, time::Duration};

use arc_swap::ArcSwap;
use auburnsaddle_core::MemberRecord;
use snafu::{ResultExt, Snafu};
use tokio::{
    net::TcpListener,
    runtime::{Builder, Runtime},
    sync::{mpsc, watch},
    time::MissedTickBehavior,
};

use super::{
    drain::{DaemonDrain, wait_for_sigterm},
    effects::EffectRunner,
    feed::{discover_members, follow_store, keep_registered, poll_hosts},
    messages::{ControlEvent, ControlHandle, RoutingSnapshot},
    state::ControlState,
};
use crate::{
    calls::CallDispatcher,
    front::{FrontService, serve_front},
    hosts::HostClient,
    keys::{KeyExecutor, KeyForwarder},
    peers::{PeerClient, PeerRouter, serve_peers},
    settings::DaemonSettings,
    store::{CoordinationClient, HttpStore, StoreRates},
    tasks::TaskDispatcher,
    telemetry::{ProcessClock, ProcessMetrics, init_logger},
    workers::HttpWorkers,
};

/// Maximum number of events queued for the control thread; further senders wait.
const CONTROL_QUEUE_CAPACITY: usize = 4_096;

/// Interval at which the control state processes its timers.
const TIMER_INTERVAL: Duration = Duration::from_millis(50);

/// An error that keeps the daemon from starting.
#[derive(Debug)]
#[derive(Snafu)]
#[non_exhaustive]
pub enum DaemonError {
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {address}: {source}; choose another address"))]
    Listen {
        /// The address from the settings.
        address: String,
        /// The error of the socket call.
        source: io::Error,
    },
    /// A thread or runtime cannot be started.
    #[snafu(display("cannot start threads: {source}; raise the process's thread limit"))]
    Threads {
        /// The error of the operating system.
        source: io::Error,
    },
}

/// Runs a daemon until it has drained after a `SIGTERM`.
///
/// # Errors
///
/// Returns an error if an address cannot be listened on or a thread cannot be
/// started.
pub fn run(settings: &DaemonSettings) -> Result<(), DaemonError> {
    init_logger(&settings.name, settings.log_level);
    let traffic = Builder::new_multi_thread()
        .thread_name("traffic")
        .enable_all()
        .build()
        .context(ThreadsSnafu)?;
    let front_listener = listen(&traffic, &settings.listen.to_string())?;
    let peer_listener = listen(&traffic, &settings.peer_listen.to_string())?;
    let record = member_record(settings, &front_listener, &peer_listener)?;
    log::info!(
        "serving callers on {} and peers on {}",
        record.caller_address,
        local_address(&peer_listener)?
    );
    let (sender, receiver) = mpsc::channel(CONTROL_QUEUE_CAPACITY);
    let snapshot = Arc::new(ArcSwap::from_pointee(RoutingSnapshot::default()));
    let control = ControlHandle::new(sender, Arc::clone(&snapshot));
    let peers = PeerClient::default();
    let store = HttpStore::new(
        settings.store,
        StoreRates {
            writes: settings.store_writes,
            reads: settings.store_reads,
        },
    );
    let metrics = ProcessMetrics::new(store.counts(), peers.traffic());
    let router = PeerRouter::new(control.clone(), peers.clone());
    let dispatcher = CallDispatcher::new(control.clone(), router.clone(), metrics.clone());
    let keys = KeyExecutor::new(control.clone(), dispatcher.clone());
    let tasks = TaskDispatcher::new(control.clone(), router.clone());
    let service = FrontService::new(
        control.clone(),
        dispatcher,
        KeyForwarder::new(control.clone(), router),
        tasks,
        store.clone(),
        metrics.clone(),
        settings.limits,
    );
    traffic.spawn(serve_peers(
        peer_listener,
        service.clone(),
        peers.traffic().clone(),
    ));
    traffic.spawn(poll_hosts(
        control.clone(),
        HostClient::new(settings.hosts),
        settings.poll_interval,
    ));
    traffic.spawn(discover_members(
        control.clone(),
        peers.clone(),
        record.clone(),
        settings.peers.clone(),
    ));
    let (stop, stopped) = watch::channel(false);
    let registration = keep_registered(store.clone(), record.clone(), stopped);
    let registration = traffic.spawn(registration);
    traffic.spawn(follow_store(control.clone(), store.clone()));
    let runner = EffectRunner {
        daemon: record.daemon.clone(),
        keys,
        traffic: traffic.handle().clone(),
        control: control.clone(),
        peers,
        store,
        workers: HttpWorkers::new(),
        metrics: metrics.clone(),
    };
    let state = ControlState::new(record, settings.commit_interval, settings.sync_interval);
    let interval = settings.heartbeat_interval;
    let thread = thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || run_control_thread(state, receiver, &runner, &snapshot, interval))
        .context(ThreadsSnafu)?;
    let drain = DaemonDrain {
        control,
        stop,
        registration,
    };
    traffic.block_on(serve_until_drained(
        settings,
        front_listener,
        service,
        drain,
    ));
    log::info!("stopped");
    drop(thread);
    traffic.shutdown_background();
    Ok(())
}

/// Returns the record that the daemon registers in the store.
fn member_record(
    settings: &DaemonSettings,
    front_listener: &TcpListener,
    peer_listener: &TcpListener,
) -> Result<MemberRecord, DaemonError> {
    Ok(MemberRecord {
        daemon: settings.name.clone(),
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        peer_address: match settings.peer_advertise {
            Some(address) => address.to_string(),
            None => local_address(peer_listener)?,
        },
        caller_address: local_address(front_listener)?,
    })
}

/// Serves callers until `SIGTERM` arrives, then drains until the drain deadline.
async fn serve_until_drained<S: CoordinationClient>(
    settings: &DaemonSettings,
    front_listener: TcpListener,
    service: FrontService<S>,
    drain: DaemonDrain,
) {
    let deadline = settings.drain_deadline;
    let connections = serve_front(front_listener, service, wait_for_sigterm()).await;
    if tokio::time::timeout(deadline, drain.finish(connections))
        .await
        .is_err()
    {
        log::warn!("draining took longer than {deadline:?}; see --drain-deadline-ms");
    }
}

fn listen(traffic: &Runtime, address: &str) -> Result<TcpListener, DaemonError> {
    traffic
        .block_on(TcpListener::bind(address))
        .context(ListenSnafu { address })
}

fn local_address(listener: &TcpListener) -> Result<String, DaemonError> {
    let address = listener.local_addr().context(ListenSnafu {
        address: "a bound socket",
    })?;
    Ok(address.to_string())
}

/// Applies events and timers one by one on a single-threaded runtime, and starts
/// the effects that result. Timers and events on calls, keys and tasks publish no
/// snapshot by themselves; each heartbeat publishes one.
fn run_control_thread<S: CoordinationClient>(
    mut state: ControlState,
    mut receiver: mpsc::Receiver<ControlEvent>,
    runner: &EffectRunner<S>,
    snapshot: &ArcSwap<RoutingSnapshot>,
    heartbeat_interval: Duration,
) {
    let runtime = match Builder::new_current_thread().enable_time().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            log::error!("cannot start the control thread: {error}");
            return;
        }
    };
    let clock = ProcessClock::start();
    runtime.block_on(async {
        let mut timer = interval(TIMER_INTERVAL);
        let mut heartbeat = interval(heartbeat_interval);
        loop {
            let effects = tokio::select! {
                event = receiver.recv() => match event {
                    Some(event) => {
                        let is_snapshot_due = !matches!(
                            event,
                            ControlEvent::Calls(_) | ControlEvent::Keys(_) | ControlEvent::Tasks(_)
                        );
                        let effects = state.handle(event, clock.now());
                        if is_snapshot_due {
                            snapshot.store(Arc::new(state.snapshot(clock.now())));
                        }
                        effects
                    }
                    None => return,
                },
                _ = timer.tick() => state.fire_timers(clock.now()),
                _ = heartbeat.tick() => {
                    snapshot.store(Arc::new(state.snapshot(clock.now())));
                    vec![state.heartbeat(clock.now())]
                }
            };
            for effect in effects {
                runner.start(effect);
            }
        }
    });
}

/// Returns a timer that skips missed ticks: after a delayed tick, the next one is
/// due a full period later.
pub(super) fn interval(period: Duration) -> tokio::time::Interval {
    let mut interval = tokio::time::interval(period);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    interval
}
