//! The connections of a listener: what they hold, and which of them are closed for others.

use std::{
    collections::BTreeMap,
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use auburnsaddle_core::{ConnectionNumber, IntakeLimits, IntakeRefusal, IntakeTable};
use http::Request;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    sync::oneshot,
};

use crate::cell::CellMetrics;

/// Largest read buffer of a connection. It holds a head of 16,384 bytes, the largest that the
/// platform's clients send, and some more.
pub(super) const READ_BUFFER_BYTES: usize = 24 << 10;

/// What an open connection is charged: its read buffer, which may be held twice while it grows, and
/// the state of its request.
const CONNECTION_BYTES: u64 = 2 * READ_BUFFER_BYTES as u64;

/// What a complete body is charged as a multiple of its size, beside its buffer: its decoded form and
/// the transaction that stores it.
const DECODED_FACTOR: u64 = 8;

/// Time from the first byte of a request to its complete head. The platform's clients take at most
/// 3 s, and their links may be slow.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Size of the first buffer of a body.
const FIRST_BODY_BYTES: usize = 4 << 10;

/// Budget of a listener whose host's memory is not in the settings.
const DEFAULT_BUDGET_BYTES: u64 = 64 << 20;

/// Number of descriptors that are not sockets.
const FILE_DESCRIPTORS: u32 = 200;

/// Sockets of a daemon whose descriptors are not in the settings.
const DEFAULT_SOCKETS: usize = 12_288;

/// Connections of a listener for readiness checks or metrics.
const PROBE_CONNECTIONS: usize = 64;

/// Smallest number of connections of a listener.
const MIN_CONNECTIONS: usize = 16;

/// Shortest time between two log lines about connections that were closed or refused.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Which clients a listener is for. Each has a part of the host's memory and sockets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum IntakeRole {
    /// Callers, which nobody controls.
    Callers,
    /// Other daemons.
    Peers,
    /// Readiness checks and metrics.
    Probes,
}

/// Memory and descriptors of a daemon, as far as the settings have them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HostLimits {
    pub(crate) memory_mb: Option<u32>,
    pub(crate) descriptors: Option<u32>,
}

/// Opens and closes the connections of a listener within its limits. Clones share the
/// connections.
#[derive(Clone, Debug)]
pub(crate) struct IntakeGate {
    shared: Arc<Mutex<GateState>>,
    metrics: Option<CellMetrics>,
}

#[derive(Debug)]
struct GateState {
    table: IntakeTable,
    /// Closes the connection when it is dropped.
    signals: BTreeMap<ConnectionNumber, oneshot::Sender<()>>,
    started_at: Instant,
    /// Earliest time of the next log line, and what it will count.
    log_due: Instant,
    shed: u64,
    refused: u64,
}

/// An open connection. Dropping it frees what it holds.
#[derive(Debug)]
pub(super) struct IntakeConnection {
    gate: IntakeGate,
    number: ConnectionNumber,
    /// Whether bytes of a request have arrived whose head is not complete.
    is_reading_head: AtomicBool,
}

/// The request of a connection, which charges the connection for what it holds.
#[derive(Clone, Debug)]
pub(super) struct RequestIntake {
    connection: Arc<IntakeConnection>,
}

/// A stream that tells its connection when bytes of a request arrive.
pub(super) struct IntakeStream<T> {
    inner: T,
    connection: Arc<IntakeConnection>,
}

/// Why a body was not read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum BodyError {
    /// It is larger than the limit.
    TooLarge,
    /// The connection broke.
    Broken,
    /// The budget is used up.
    NoMemory,
}

impl IntakeRole {
    /// Returns the limits of a listener on a host.
    fn limits(self, host: HostLimits) -> IntakeLimits {
        let budget = host
            .memory_mb
            .map(|memory_mb| (u64::from(memory_mb) << 20) / 4);
        let budget = budget.unwrap_or(DEFAULT_BUDGET_BYTES);
        let sockets = host.descriptors.map_or(DEFAULT_SOCKETS, |descriptors| {
            descriptors.saturating_sub(FILE_DESCRIPTORS) as usize
        });
        let (connections, budget_bytes) = match self {
            Self::Callers => (sockets / 3, budget),
            Self::Peers => (sockets / 4, budget),
            Self::Probes => (
                PROBE_CONNECTIONS,
                PROBE_CONNECTIONS as u64 * CONNECTION_BYTES,
            ),
        };
        IntakeLimits {
            budget_bytes,
            connections: connections.max(MIN_CONNECTIONS),
            connection_bytes: CONNECTION_BYTES,
            head_timeout: HEAD_TIMEOUT,
        }
    }
}

impl GateState {
    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Closes connections that the table has shed.
    fn close(&mut self, shed: &[ConnectionNumber]) {
        for number in shed {
            // Dropping the sender ends the task of the connection.
            self.signals.remove(number);
        }
        self.shed += shed.len() as u64;
    }

    /// Logs what was closed and refused, at a bounded rate.
    fn log(&mut self) {
        let now = Instant::now();
        if now < self.log_due || self.shed + self.refused == 0 {
            return;
        }
        log::warn!(
            shed = self.shed, refused = self.refused, connections = self.table.len(),
            held_bytes = self.table.held_bytes();
            "closed or refused connections: their memory or number is limited"
        );
        self.log_due = now + LOG_INTERVAL;
        (self.shed, self.refused) = (0, 0);
    }
}

impl IntakeGate {
    pub(crate) fn new(role: IntakeRole, host: HostLimits, metrics: Option<CellMetrics>) -> Self {
        let now = Instant::now();
        let state = GateState {
            table: IntakeTable::new(role.limits(host)),
            signals: BTreeMap::new(),
            started_at: now,
            log_due: now,
            shed: 0,
            refused: 0,
        };
        Self {
            shared: Arc::new(Mutex::new(state)),
            metrics,
        }
    }

    /// Adds a connection. Returns it with a receiver that fails when the connection must be closed, or
    /// `None` if there is no room.
    pub(super) fn open(&self) -> Option<(Arc<IntakeConnection>, oneshot::Receiver<()>)> {
        let mut state = self.lock();
        let now = state.now();
        let opened = state.table.open(now);
        let (number, shed) = match opened {
            Ok(opened) => opened,
            Err(refusal) => {
                self.count_refusal(&mut state, refusal);
                return None;
            }
        };
        self.close_shed(&mut state, &shed);
        let (sender, receiver) = oneshot::channel();
        state.signals.insert(number, sender);
        let connection = IntakeConnection {
            gate: self.clone(),
            number,
            is_reading_head: AtomicBool::new(false),
        };
        Some((Arc::new(connection), receiver))
    }

    /// Closes the connections whose heads are late, and logs what was closed since the latest time.
    pub(super) fn check(&self) {
        let mut state = self.lock();
        let now = state.now();
        let late = state.table.expire(now);
        if let Some(metrics) = self.metrics.as_ref().filter(|_| !late.is_empty()) {
            metrics.record_shed("head_late", late.len() as u64);
        }
        state.close(&late);
        state.log();
    }

    fn close_shed(&self, state: &mut GateState, shed: &[ConnectionNumber]) {
        if let Some(metrics) = self.metrics.as_ref().filter(|_| !shed.is_empty()) {
            metrics.record_shed("room", shed.len() as u64);
        }
        state.close(shed);
        state.log();
    }

    fn count_refusal(&self, state: &mut GateState, refusal: IntakeRefusal) {
        if let Some(metrics) = &self.metrics {
            metrics.record_refusal(match refusal {
                IntakeRefusal::Memory => "intake_memory",
                IntakeRefusal::Connections => "intake_connections",
            });
        }
        state.refused += 1;
        state.log();
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for IntakeConnection {
    fn drop(&mut self) {
        let mut state = self.gate.lock();
        state.table.close(self.number);
        state.signals.remove(&self.number);
    }
}

impl IntakeConnection {
    /// Records that bytes have arrived.
    fn record_read(&self) {
        if !self.is_reading_head.swap(true, Ordering::Relaxed) {
            let mut state = self.gate.lock();
            let now = state.now();
            state.table.begin_head(self.number, now);
        }
    }
}

impl RequestIntake {
    /// Records that the head of a request is complete.
    pub(super) fn begin(connection: &Arc<IntakeConnection>) -> Self {
        connection.gate.lock().table.finish_head(connection.number);
        Self {
            connection: Arc::clone(connection),
        }
    }

    /// Records that the request has ended.
    pub(super) fn finish(&self) {
        let connection = &self.connection;
        let mut state = connection.gate.lock();
        let now = state.now();
        state.table.finish_request(connection.number, now);
        connection.is_reading_head.store(false, Ordering::Relaxed);
    }

    /// Charges bytes to the connection. Fails if the budget does not allow it.
    fn hold(&self, bytes: u64) -> Result<(), BodyError> {
        let connection = &self.connection;
        let mut state = connection.gate.lock();
        let now = state.now();
        match state.table.hold(connection.number, bytes, now) {
            Ok(shed) => {
                connection.gate.close_shed(&mut state, &shed);
                Ok(())
            }
            Err(refusal) => {
                connection.gate.count_refusal(&mut state, refusal);
                Err(BodyError::NoMemory)
            }
        }
    }

    /// Charges the connection for what becomes of a complete body, and protects it, as the request
    /// may be stored from now on. Fails if the budget does not allow it; nothing may be stored then.
    pub(super) fn protect(&self, body_bytes: usize) -> Result<(), BodyError> {
        self.hold(DECODED_FACTOR * body_bytes as u64)?;
        let connection = &self.connection;
        let is_open = connection.gate.lock().table.protect(connection.number);
        is_open.then_some(()).ok_or(BodyError::NoMemory)
    }
}

/// Returns the intake of a request that was accepted by a listener with a gate.
pub(super) fn request_intake<B>(request: &Request<B>) -> Option<RequestIntake> {
    request.extensions().get().cloned()
}

/// Reads the body of a request, up to a limit. Chunks are copied together, as each would otherwise
/// keep a buffer of its own.
pub(super) async fn read_body(
    request: Request<Incoming>,
    max_bytes: usize,
) -> Result<Vec<u8>, BodyError> {
    let intake = request_intake(&request);
    let mut body = request.into_body();
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Broken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = bytes.len() + data.len();
        if length > max_bytes {
            return Err(BodyError::TooLarge);
        }
        if length > bytes.capacity() {
            let doubled = length.next_power_of_two().max(FIRST_BODY_BYTES);
            let capacity = doubled.min(max_bytes).max(length);
            if let Some(intake) = &intake {
                intake.hold((capacity - bytes.capacity()) as u64)?;
            }
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes)
}

impl<T> IntakeStream<T> {
    pub(super) const fn new(inner: T, connection: Arc<IntakeConnection>) -> Self {
        Self { inner, connection }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for IntakeStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = ready!(Pin::new(&mut self.inner).poll_read(context, buffer));
        if buffer.filled().len() > before {
            self.connection.record_read();
        }
        Poll::Ready(result)
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for IntakeStream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
