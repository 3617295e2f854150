//! Starts the threads, tasks and listeners of the process, and stops them on SIGTERM.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use auburnsaddle_core::PipelineConfig;
use auburnsaddle_platform::{AdviceClient, MANIFEST_KEY, PlatformSettings, SettingsFileError};
use hyper_util::server::graceful::GracefulShutdown;
use log::LevelFilter;
use snafu::{ResultExt, Snafu};
use tokio::{
    net::TcpListener,
    runtime::Builder,
    signal::unix::{SignalKind, signal},
    sync::{mpsc, watch},
    task::JoinHandle,
    time::{Instant, timeout_at},
};

use super::{
    control::{CellControl, ControlSettings},
    effects::CellEffects,
    manifest::ManifestCell,
    messages::{CellEvent, CellHandle},
    metrics::CellMetrics,
};
use crate::{
    ingress::{
        AccessPolicy, HostLimits, IntakeGate, IntakeRole, JobService, PeerService, ReadyService,
        UnresolvedJobs, serve_http,
    },
    pipelines::{
        MemberEntry, NoticeSender, PUBLIC_PREFIX, SUMMARY_PREFIX, ShardSettings, deliver_notices,
        encode_value,
    },
    session::{CellStore, RetryDelay, StoreRoute, WatchTiming, maintain_lease, watch_prefix},
    telemetry::{BootClock, init_output_logger},
};

/// Capacity of the queue of events to the control thread. Senders wait while it is
/// full.
const EVENT_QUEUE_CAPACITY: usize = 4_096;

/// Longest term of a worker's lease that a daemon of any version grants. The successor of its
/// owner waits for it, so it must be raised in a version before that of [`WORKER_LEASE`].
const LONGEST_GRANTED_LEASE: Duration = Duration::from_secs(5);

/// Term of a worker's lease after each renewal, unless the platform allows less.
const WORKER_LEASE: Duration = Duration::from_secs(5);

/// How long a worker may delay its answer to a renewal until a run ends.
const MAX_RENEWAL_WAIT: Duration = Duration::from_secs(1);

/// Pause after changes of owners and members, so that one call returns several
/// changes together.
const MEMBERSHIP_BATCH_DELAY: Duration = Duration::from_millis(20);

/// Pause after changes of summaries, so that one call returns several changes
/// together. Each daemon makes a call after each pause. Summaries may be 2 s old, and
/// the owner of a service answers requests for newer ones.
const SUMMARY_BATCH_DELAY: Duration = Duration::from_millis(400);

/// Interval between polls of the manifest: a quarter of the time within which a new
/// version must be in force.
const MANIFEST_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between reads of the settings file.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// How long a stopping daemon still accepts connections. The load balancer removes it
/// after two failed readiness checks, which it makes once a second.
const ACCEPT_LINGER: Duration = Duration::from_millis(2_500);

/// Part of the grace time that is reserved for the end of the process.
const GRACE_MARGIN: Duration = Duration::from_millis(700);

/// An error that prevents the daemon from starting.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(super)))]
#[non_exhaustive]
pub enum CellError {
    /// A flag has an invalid value.
    #[snafu(display("{source}; see the page on operations"))]
    Flag {
        /// The error of the command line parser, which names the flag.
        source: pico_args::Error,
    },
    /// The settings file cannot be read or has invalid values.
    #[snafu(display("{source}"))]
    Settings {
        /// The error, which names the file or the setting.
        source: SettingsFileError,
    },
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {address}: {source}; choose another address"))]
    Bind {
        /// The address from the settings.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A thread, a runtime or a signal handler could not be set up.
    #[snafu(display("cannot start: {source}; raise the limits of the process"))]
    Start {
        /// The error of the operating system.
        source: io::Error,
    },
}

impl CellError {
    /// Returns whether the operator has to correct the settings or flags.
    #[must_use]
    pub const fn is_settings_error(&self) -> bool {
        matches!(self, Self::Flag { .. } | Self::Settings { .. })
    }
}

/// Runs the daemon until SIGTERM, and flushes the log at the end.
pub(super) fn run_cell(
    settings: PlatformSettings,
    path: PathBuf,
    metrics_port: Option<u16>,
) -> Result<(), CellError> {
    init_output_logger(&settings.daemon_name, LevelFilter::Info);
    log::info!(
        zone = settings.zone.as_str(), callers:% = settings.caller_address,
        store = settings.store_address.as_str();
        "starting"
    );
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .context(StartSnafu)?;
    runtime.block_on(serve_cell(settings, path, metrics_port))?;
    log::info!("stopped");
    log::logger().flush();
    Ok(())
}

/// Starts all parts of the daemon, waits for SIGTERM, releases the owned services and
/// drains the open requests.
async fn serve_cell(
    settings: PlatformSettings,
    path: PathBuf,
    metrics_port: Option<u16>,
) -> Result<(), CellError> {
    let mut terminate = signal(SignalKind::terminate()).context(StartSnafu)?;
    let callers = bind(settings.caller_address).await?;
    let readiness = bind(settings.readiness_address).await?;
    let peers = bind(settings.peer_address).await?;
    let peer_address = local_address(&peers)?;
    log::info!(
        callers:% = local_address(&callers)?, readiness:% = local_address(&readiness)?,
        peers:% = peer_address;
        "listening"
    );
    let (sender, receiver) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let control = CellHandle::new(sender.clone());
    let clock = BootClock::start();
    let route = StoreRoute::new(&settings.store_address);
    let store = CellStore::new(route.clone());
    let advice = settings.advice_address.as_deref().map(AdviceClient::new);
    let metrics = CellMetrics::new(store.counters());
    let ready = Arc::new(AtomicBool::new(false));
    let draining = Arc::new(AtomicBool::new(false));
    let manifest = Arc::new(ManifestCell::new(clock));
    let effects = CellEffects {
        runtime: tokio::runtime::Handle::current(),
        events: sender.clone(),
        clock,
        store: store.clone(),
        route: route.clone(),
        advice: advice.clone(),
        notices: start_notices(),
        metrics: metrics.clone(),
    };
    start_control(&settings, effects, Arc::clone(&ready), receiver)?;
    let (stop, stopped) = watch::channel(false);
    let member = MemberEntry {
        address: peer_address.to_string(),
        cpu_milli: settings.cpu_milli,
    };
    let lease_task = tokio::spawn(maintain_lease(
        store.clone(),
        settings.daemon_name.clone(),
        encode_value(&member),
        settings.min_store_lease,
        clock,
        sender.clone(),
        stopped,
    ));
    watch_store(&store, &manifest, clock, sender);
    tokio::spawn(watch_settings(
        path,
        settings.clone(),
        route.clone(),
        advice.clone(),
    ));
    let peer_service = PeerService {
        advice,
        route: route.clone(),
        control: control.clone(),
        metrics: metrics.clone(),
    };
    let host = HostLimits {
        memory_mb: settings.memory_mb,
        descriptors: settings.max_descriptors,
    };
    serve_peers(peers, peer_service, host, metrics_port).await?;
    tokio::spawn(serve_http(
        readiness,
        ReadyService { ready },
        IntakeGate::new(IntakeRole::Probes, host, None),
        std::future::pending(),
    ));
    let caller_gate = IntakeGate::new(IntakeRole::Callers, host, Some(metrics.clone()));
    let jobs = JobService {
        manifest,
        access: AccessPolicy::from(&settings),
        store,
        route,
        control: control.clone(),
        draining: Arc::clone(&draining),
        metrics,
        unresolved: UnresolvedJobs::default(),
    };
    let (stop_accepting, mut accept_stopped) = watch::channel(false);
    let caller_server = tokio::spawn(serve_http(callers, jobs, caller_gate, async move {
        let _ = accept_stopped.changed().await;
    }));
    terminate.recv().await;
    log::info!(grace_ms = settings.shutdown_grace.as_millis(); "stopping: releasing services and draining");
    let deadline = Instant::now() + settings.shutdown_grace.saturating_sub(GRACE_MARGIN);
    draining.store(true, Ordering::Relaxed);
    control.drain().await;
    stop.send_replace(true);
    if lease_task.await.is_err() {
        log::error!("the task that renews the lease panicked");
    }
    tokio::time::sleep(ACCEPT_LINGER.min(settings.shutdown_grace / 2)).await;
    stop_accepting.send_replace(true);
    finish_requests(caller_server, deadline).await;
    Ok(())
}

/// Serves other daemons and operators, the latter also on the port for metrics.
async fn serve_peers(
    peers: TcpListener,
    service: PeerService,
    host: HostLimits,
    metrics_port: Option<u16>,
) -> Result<(), CellError> {
    if let Some(port) = metrics_port {
        let listener = bind(SocketAddr::from((Ipv4Addr::UNSPECIFIED, port))).await?;
        tokio::spawn(serve_http(
            listener,
            service.clone(),
            IntakeGate::new(IntakeRole::Probes, host, None),
            std::future::pending(),
        ));
    }
    let gate = IntakeGate::new(IntakeRole::Peers, host, None);
    tokio::spawn(serve_http(peers, service, gate, std::future::pending()));
    Ok(())
}

/// Starts the delivery of notices to other daemons.
fn start_notices() -> NoticeSender {
    let (notices, queue) = NoticeSender::new();
    tokio::spawn(deliver_notices(queue));
    notices
}

/// Starts the watches on owners, members and summaries, and the poll of the manifest.
fn watch_store(
    store: &CellStore,
    manifest: &Arc<ManifestCell>,
    clock: BootClock,
    events: mpsc::Sender<CellEvent>,
) {
    let manifest = Arc::clone(manifest);
    tokio::spawn(poll_manifest(
        store.clone(),
        manifest,
        clock,
        events.clone(),
    ));
    tokio::spawn(watch_prefix(
        store.clone(),
        PUBLIC_PREFIX.to_owned(),
        None,
        WatchTiming::batched(MEMBERSHIP_BATCH_DELAY),
        events.clone(),
        CellEvent::Membership,
    ));
    tokio::spawn(watch_prefix(
        store.clone(),
        SUMMARY_PREFIX.to_owned(),
        None,
        WatchTiming::batched(SUMMARY_BATCH_DELAY),
        events,
        CellEvent::Summaries,
    ));
}

/// Waits until the open requests of callers are answered or the deadline has passed.
async fn finish_requests(caller_server: JoinHandle<GracefulShutdown>, deadline: Instant) {
    let open = match caller_server.await {
        Ok(open) => open,
        Err(error) => {
            log::error!("the task that serves callers panicked: {error}");
            return;
        }
    };
    if timeout_at(deadline, open.shutdown()).await.is_err() {
        log::warn!("requests are still open at the end of the grace time");
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, CellError> {
    TcpListener::bind(address)
        .await
        .context(BindSnafu { address })
}

/// Returns the bound address. Its port was assigned by the operating system if the
/// settings have port 0.
fn local_address(listener: &TcpListener) -> Result<SocketAddr, CellError> {
    listener.local_addr().context(StartSnafu)
}

/// Starts the control thread.
fn start_control(
    settings: &PlatformSettings,
    effects: CellEffects,
    ready: Arc<AtomicBool>,
    events: mpsc::Receiver<CellEvent>,
) -> Result<(), CellError> {
    let settings = ControlSettings {
        daemon: settings.daemon_name.clone(),
        shard: ShardSettings {
            config: PipelineConfig {
                lease: WORKER_LEASE.min(settings.max_worker_lease),
                max_lease: settings.max_worker_lease,
                inherited_lease: LONGEST_GRANTED_LEASE.min(settings.max_worker_lease),
                listing_interval: settings.worker_heartbeat,
                renewal_wait: MAX_RENEWAL_WAIT,
                manages_scarcity: settings.is_under_pressure,
            },
            summary_retention: settings.status_retention,
            max_value_bytes: settings.max_value_bytes,
            enforces_caps: settings.enforces_caps,
        },
        cpu_milli: settings.cpu_milli,
    };
    let runtime = Builder::new_current_thread()
        .enable_time()
        .build()
        .context(StartSnafu)?;
    let control = CellControl::new(settings, effects, ready);
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || runtime.block_on(control.run(events)))
        .context(StartSnafu)?;
    Ok(())
}

/// Reads the manifest when it has changed, and applies each newer version.
///
/// The key is polled, not watched: a watch may deliver nothing although the key
/// changes. A poll transfers the manifest only if it has changed, as it may have 1 MB and
/// some hosts have slow links.
async fn poll_manifest(
    store: CellStore,
    manifest: Arc<ManifestCell>,
    clock: BootClock,
    events: mpsc::Sender<CellEvent>,
) {
    let mut delay = RetryDelay::default();
    let mut revision = 0;
    loop {
        let sent_at = clock.now();
        let outcome = store.read_newer(MANIFEST_KEY, revision).await;
        let elapsed = clock.now().saturating_sub(sent_at);
        let item = match outcome {
            Ok(item) => item,
            Err(error) => {
                manifest.record_failure();
                let (pause, is_first) = delay.next_delay(rand::random());
                if is_first {
                    log::warn!(
                        revision, read_ms = elapsed.as_millis();
                        "the manifest was not read: {error}"
                    );
                }
                tokio::time::sleep(pause).await;
                continue;
            }
        };
        if delay.reset() {
            log::info!("the manifest is read again");
        }
        if let Some(item) = item {
            revision = item.revision;
            let next = manifest.apply(&item, elapsed);
            // The send fails only if the control thread has ended, as the process stops.
            let _ = events.send(CellEvent::Manifest(next, revision)).await;
        }
        manifest.confirm(sent_at);
        manifest.wait_for_poll(MANIFEST_POLL_INTERVAL).await;
    }
}

/// Applies the addresses of the store and the advice service from the settings file,
/// at once on SIGHUP and otherwise every [`SETTINGS_POLL_INTERVAL`].
async fn watch_settings(
    path: PathBuf,
    mut known: PlatformSettings,
    route: StoreRoute,
    advice: Option<AdviceClient>,
) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        log::error!("SIGHUP cannot be handled; changes of the settings file have no effect");
        return;
    };
    let mut was_invalid = false;
    loop {
        let is_signal = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => false,
        };
        let next = match PlatformSettings::from_file(&path) {
            Ok(next) => next,
            Err(error) => {
                if is_signal || !was_invalid {
                    log::error!(
                        "invalid settings file; the current settings stay in force: {error}"
                    );
                }
                was_invalid = true;
                continue;
            }
        };
        was_invalid = false;
        if is_signal || next != known {
            log::info!(is_changed = next != known, is_signal; "settings reloaded");
        }
        route.set_address(&next.store_address);
        if let (Some(client), Some(address)) = (&advice, &next.advice_address) {
            client.set_address(address);
        }
        known = next;
    }
}
