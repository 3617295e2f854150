//! Start and end of the process.

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

use arc_swap::ArcSwapOption;
use auburnsaddle_core::PipelineConfig;
use auburnsaddle_platform::{
    AdviceClient, MANIFEST_KEY, Manifest, PlatformSettings, SettingsFileError, StoreItem,
};
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
    messages::{CellEvent, CellHandle},
    metrics::CellMetrics,
};
use crate::{
    ingress::{JobService, PeerService, ReadyService, serve_http},
    pipelines::{MemberEntry, PUBLIC_PREFIX, SUMMARY_PREFIX, encode_record},
    session::{CellStore, RetryDelay, StoreRoute, follow_prefix, keep_session},
    telemetry::{BootClock, init_output_logger},
};

/// Events that may wait for the control thread; senders wait beyond that.
const EVENT_QUEUE: usize = 4_096;

/// Lease of a worker after each renewal, if the platform allows it.
const WORKER_LEASE: Duration = Duration::from_secs(5);

/// How long a worker may keep a renewal open until a run ends.
const HOLD_WAIT: Duration = Duration::from_secs(1);

/// Pause after changes of owners and members, so that one call brings several.
const PUBLIC_PACE: Duration = Duration::from_millis(20);

/// The same for summaries, which may be 2 s old. Each daemon makes a call for each
/// pause, and the owner of a service tells newer ones.
const SUMMARY_PACE: Duration = Duration::from_millis(400);

/// Time between readings of the manifest, a quarter of the time in which a
/// version must be in force.
const MANIFEST_INTERVAL: Duration = Duration::from_millis(500);

/// Time between looks at the settings file.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a stopping daemon takes new connections: the balancer notices
/// after two missed checks, one each second.
const LINGER_TIME: Duration = Duration::from_millis(2_500);

/// Part of the grace time that is left when the process ends.
const GRACE_MARGIN: Duration = Duration::from_millis(700);

/// A daemon that could not start.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(super)))]
#[non_exhaustive]
pub enum CellError {
    /// A flag has a wrong value.
    #[snafu(display("{source}; see the page on operations"))]
    Flag {
        /// The cause.
        source: pico_args::Error,
    },
    /// The settings file cannot be used.
    #[snafu(display("{source}"))]
    Settings {
        /// The cause.
        source: SettingsFileError,
    },
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {address}: {source}; choose another address"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// A thread, a runtime or a signal handler could not be set up.
    #[snafu(display("cannot start: {source}; raise the limits of the process"))]
    Start {
        /// The cause.
        source: io::Error,
    },
}

impl CellError {
    /// Tells whether the settings or flags have to be corrected.
    #[must_use]
    pub const fn is_of_settings(&self) -> bool {
        matches!(self, Self::Flag { .. } | Self::Settings { .. })
    }
}

/// Runs the daemon until it is stopped.
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
    let (sender, receiver) = mpsc::channel(EVENT_QUEUE);
    let control = CellHandle::new(sender.clone());
    let clock = BootClock::start();
    let route = StoreRoute::new(&settings.store_address);
    let store = CellStore::new(route.clone());
    let advice = settings.advice_address.as_deref().map(AdviceClient::new);
    let metrics = CellMetrics::new(store.counters());
    let ready = Arc::new(AtomicBool::new(false));
    let draining = Arc::new(AtomicBool::new(false));
    let manifest: Arc<ArcSwapOption<Manifest>> = Arc::default();
    let effects = CellEffects {
        runtime: tokio::runtime::Handle::current(),
        events: sender.clone(),
        clock,
        store: store.clone(),
        route: route.clone(),
        advice: advice.clone(),
        metrics: metrics.clone(),
    };
    start_control(&settings, effects, Arc::clone(&ready), receiver)?;
    let (stop, stopped) = watch::channel(false);
    let member = MemberEntry {
        address: peer_address.to_string(),
        cpu_milli: settings.cpu_milli,
    };
    let session = tokio::spawn(keep_session(
        store.clone(),
        settings.daemon_name.clone(),
        encode_record(&member),
        settings.min_store_lease,
        clock,
        sender.clone(),
        stopped,
    ));
    follow_store(&store, &manifest, sender);
    tokio::spawn(follow_settings(
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
    if let Some(port) = metrics_port {
        let listener = bind(SocketAddr::from((Ipv4Addr::UNSPECIFIED, port))).await?;
        tokio::spawn(serve_http(
            listener,
            peer_service.clone(),
            std::future::pending(),
        ));
    }
    tokio::spawn(serve_http(peers, peer_service, std::future::pending()));
    tokio::spawn(serve_http(
        readiness,
        ReadyService { ready },
        std::future::pending(),
    ));
    let jobs = JobService {
        manifest,
        store,
        route,
        control: control.clone(),
        draining: Arc::clone(&draining),
        metrics,
    };
    let (linger_over, mut is_over) = watch::channel(false);
    let front = tokio::spawn(serve_http(callers, jobs, async move {
        let _ = is_over.changed().await;
    }));
    terminate.recv().await;
    log::info!(grace_ms = settings.shutdown_grace.as_millis(); "stopping: handing over and draining");
    let deadline = Instant::now() + settings.shutdown_grace.saturating_sub(GRACE_MARGIN);
    draining.store(true, Ordering::Relaxed);
    control.drain().await;
    stop.send_replace(true);
    if session.await.is_err() {
        log::error!("the task of the lease failed");
    }
    tokio::time::sleep(LINGER_TIME.min(settings.shutdown_grace / 2)).await;
    linger_over.send_replace(true);
    finish_requests(front, deadline).await;
    Ok(())
}

/// Follows the owners, members and summaries, and the manifest.
fn follow_store(
    store: &CellStore,
    manifest: &Arc<ArcSwapOption<Manifest>>,
    events: mpsc::Sender<CellEvent>,
) {
    let manifest = Arc::clone(manifest);
    tokio::spawn(follow_manifest(store.clone(), manifest, events.clone()));
    tokio::spawn(follow_prefix(
        store.clone(),
        PUBLIC_PREFIX.to_owned(),
        None,
        PUBLIC_PACE,
        events.clone(),
        CellEvent::Public,
    ));
    tokio::spawn(follow_prefix(
        store.clone(),
        SUMMARY_PREFIX.to_owned(),
        None,
        SUMMARY_PACE,
        events,
        CellEvent::Summaries,
    ));
}

/// Lets open requests finish until the deadline.
async fn finish_requests(front: JoinHandle<GracefulShutdown>, deadline: Instant) {
    let open = match front.await {
        Ok(open) => open,
        Err(error) => {
            log::error!("the task that serves callers failed: {error}");
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

/// Returns the address with the port that the system chose, if the settings leave
/// that to it.
fn local_address(listener: &TcpListener) -> Result<SocketAddr, CellError> {
    listener.local_addr().context(StartSnafu)
}

fn start_control(
    settings: &PlatformSettings,
    effects: CellEffects,
    ready: Arc<AtomicBool>,
    events: mpsc::Receiver<CellEvent>,
) -> Result<(), CellError> {
    let settings = ControlSettings {
        daemon: settings.daemon_name.clone(),
        config: PipelineConfig {
            lease: WORKER_LEASE.min(settings.max_worker_lease),
            max_lease: settings.max_worker_lease,
            renewal_wait: HOLD_WAIT,
        },
        status_retention: settings.status_retention,
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

/// Puts each version of the manifest in force; versions never go back.
///
/// The key is read, not watched: a watch may be silent while changes are made.
async fn follow_manifest(
    store: CellStore,
    manifest: Arc<ArcSwapOption<Manifest>>,
    events: mpsc::Sender<CellEvent>,
) {
    let mut delay = RetryDelay::default();
    let mut revision = 0;
    loop {
        let item = match store.read(MANIFEST_KEY).await {
            Ok(item) => item,
            Err(error) => {
                let (pause, is_first) = delay.next(rand::random());
                if is_first {
                    log::warn!(revision; "the manifest was not read: {error}");
                }
                tokio::time::sleep(pause).await;
                continue;
            }
        };
        if delay.reset() {
            log::info!("the manifest is read again");
        }
        match item {
            Some(item) if item.revision > revision => {
                revision = item.revision;
                put_in_force(&item, &manifest, &events).await;
            }
            _ => {}
        }
        tokio::time::sleep(MANIFEST_INTERVAL).await;
    }
}

async fn put_in_force(
    item: &StoreItem,
    manifest: &ArcSwapOption<Manifest>,
    events: &mpsc::Sender<CellEvent>,
) {
    let next = match Manifest::decode(&item.value) {
        Ok(next) => Arc::new(next),
        Err(error) => {
            log::error!(revision = item.revision; "{error}");
            return;
        }
    };
    let known = manifest.load().as_ref().map(|known| known.version);
    if known.is_some_and(|known| known >= next.version) {
        return;
    }
    log::info!(
        version = next.version, routes = next.routes.len(), before:? = known;
        "a version of the manifest is in force"
    );
    manifest.store(Some(Arc::clone(&next)));
    let _ = events.send(CellEvent::Manifest(next)).await;
}

/// Takes up changes of the settings file, announced by SIGHUP or not.
async fn follow_settings(
    path: PathBuf,
    mut known: PlatformSettings,
    route: StoreRoute,
    advice: Option<AdviceClient>,
) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        log::error!("SIGHUP cannot be handled; the settings file is still read every second");
        return;
    };
    let mut was_bad = false;
    loop {
        let is_signal = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(SETTINGS_INTERVAL) => false,
        };
        let next = match PlatformSettings::from_file(&path) {
            Ok(next) => next,
            Err(error) => {
                if is_signal || !was_bad {
                    log::error!("the settings stay as they are: {error}");
                }
                was_bad = true;
                continue;
            }
        };
        was_bad = false;
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
