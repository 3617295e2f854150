//! Requests of callers and peers.

use std::{
    convert::Infallible,
    future::Future,
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use auburnsaddle_core::{CallOutcome, RequestId, ServiceSpec};
use futures::FutureExt;
use http::{HeaderMap, HeaderValue, Request, StatusCode, Version, header};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo},
    server::{conn::auto, graceful::GracefulShutdown},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::oneshot,
};

use super::{
    body::FrontBody,
    keyed::read_key,
    messages::{
        DumpReply, FrontError, FrontResponse, json_response, mark_not_run, not_run_response,
        text_response, unknown_response,
    },
    tasks::TASKS_PATH,
    timer::ConnectionTimer,
};
use crate::{
    calls::{BodyLimits, CallBody, CallCommand, CallDispatcher, CallHead},
    control::{ControlEvent, ControlHandle},
    keys::{BODY_LIMIT as KEYED_BODY_LIMIT, KeyForwarder},
    peers::{PeerHandler, PeerReply, PeerRequest},
    settings::CallerLimits,
    store::StoreClient,
    tasks::TaskDispatcher,
    telemetry::{ProcessMeasures, ProcessMetrics, format_request, parse_request, trace_request},
};

/// Time in which callers of a draining daemon get a response that asks them to
/// close their connection; callers in a row wait far less between two calls.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// Header with the identifier of a request.
const REQUEST_HEADER: &str = "auburnsaddle-request-id";

const SERVICE_PREFIX: &str = "/v1/services/";

/// Largest body that is read before a slot is requested, so that its call can be
/// retried; larger ones would take too much memory and are streamed.
const BUFFERED_BODY_BYTES: u64 = 64 << 10;

/// Most headers of a request.
const MAX_HEADERS: usize = 100;

/// Serves callers, operators and peers.
#[derive(Clone, Debug)]
pub(crate) struct FrontService<S> {
    pub(super) control: ControlHandle,
    dispatcher: CallDispatcher,
    pub(super) keys: KeyForwarder,
    pub(super) tasks: TaskDispatcher,
    pub(super) store: S,
    pub(super) metrics: ProcessMetrics,
    limits: CallerLimits,
    draining: Arc<AtomicBool>,
}

impl<S: StoreClient> FrontService<S> {
    /// Returns the service of a daemon.
    pub(crate) fn new(
        control: ControlHandle,
        dispatcher: CallDispatcher,
        keys: KeyForwarder,
        tasks: TaskDispatcher,
        store: S,
        metrics: ProcessMetrics,
        limits: CallerLimits,
    ) -> Self {
        Self {
            control,
            dispatcher,
            keys,
            tasks,
            store,
            metrics,
            limits,
            draining: Arc::default(),
        }
    }

    /// Answers one request; while the daemon drains, the response asks the
    /// caller to close an HTTP/1.1 connection.
    async fn handle_exchange(&self, request: Request<Incoming>) -> FrontResponse {
        let closes = request.version() <= Version::HTTP_11;
        let mut response = match request_id(request.headers()) {
            Ok(id) => {
                let handled = trace_request(id, self.handle_request(request, id)).await;
                with_request_id(handled, id)
            }
            Err(error) => mark_not_run(error.into()),
        };
        if closes && self.draining.load(Ordering::Relaxed) {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }

    async fn handle_request(&self, request: Request<Incoming>, id: RequestId) -> FrontResponse {
        let path = request.uri().path().to_owned();
        let result = match path.as_str() {
            // An error of these is a rejection before anything was run.
            path if path.starts_with(SERVICE_PREFIX) => {
                let handled = self.handle_call(request, id).await;
                Ok(handled.unwrap_or_else(|error| mark_not_run(error.into())))
            }
            path if is_task_path(path) => {
                let handled = self.handle_tasks(request).await;
                Ok(handled.unwrap_or_else(|error| mark_not_run(error.into())))
            }
            "/metrics" => Ok(self.metrics_page().await),
            "/admin/dump" => Ok(self.dump().await),
            path if path.starts_with("/admin/") => self.handle_admin(request).await,
            _ => Err(FrontError::new(
                StatusCode::NOT_FOUND,
                "no such path",
                "use /v1/services/SERVICE/PATH, /v1/tasks or /admin/status",
            )),
        };
        result.unwrap_or_else(FrontResponse::from)
    }

    async fn metrics_page(&self) -> FrontResponse {
        let snapshot = self.control.snapshot();
        let queue_depth = self.control.queue_depth();
        let (reply, receiver) = oneshot::channel();
        let event = ControlEvent::MeasuresRequested(reply);
        self.control.send(event).await;
        let measures = ProcessMeasures {
            control: receiver.await.unwrap_or_default(),
            config_version: snapshot.config_version,
            queue_depth,
            owned_shards: snapshot.owned_shards(),
            unavailable_shards: snapshot.unavailable.len(),
            retry_budgets: self.dispatcher.retry_budgets(),
        };
        text_response(self.metrics.page(measures))
    }

    /// Returns the state of the control thread and what it published.
    async fn dump(&self) -> FrontResponse {
        let (reply, receiver) = oneshot::channel();
        self.control.send(ControlEvent::DumpRequested(reply)).await;
        let dump = DumpReply {
            control: receiver.await.ok(),
            queue_depth: self.control.queue_depth(),
            store_calls: self.metrics.store_calls(),
        };
        json_response(StatusCode::OK, &dump)
    }

    async fn handle_call(
        &self,
        request: Request<Incoming>,
        id: RequestId,
    ) -> Result<FrontResponse, FrontError> {
        let snapshot = self.control.snapshot();
        let target = request
            .uri()
            .path_and_query()
            .map_or("", |path| path.as_str());
        let (name, path) = split_target(target);
        let service = snapshot.objects.services.get(name).ok_or_else(|| {
            FrontError::new(
                StatusCode::NOT_FOUND,
                &format!("service `{name}` is not defined"),
                "correct the name, or apply a configuration that defines the service",
            )
        })?;
        let (parts, body) = request.into_parts();
        let key = read_key(&parts.headers, service)?;
        let remaining = deadline(&parts.headers, service)?;
        log::debug!(service = &*service.name; "call received");
        let head = CallHead {
            request: id,
            team: header_text(&parts.headers, "auburnsaddle-team").map(Into::into),
            urgency: None,
            remaining,
            method: parts.method,
            path,
            headers: forwarded_headers(&parts.headers),
            body: (),
        };
        let mut limits = BodyLimits {
            bytes: service.max_body_bytes,
            time: self.limits.body_timeout,
        };
        if let Some(key) = key {
            // The fingerprint of the request covers the whole body.
            limits.bytes = limits.bytes.min(KEYED_BODY_LIMIT as u64);
            let body = CallBody::read_whole(body, limits).await?;
            let head = head.with_body(body);
            return Ok(self.handle_keyed(&snapshot, service, key, head).await);
        }
        let body = CallBody::read(body, limits, BUFFERED_BODY_BYTES).await?;
        let head = head.with_body(body);
        let received_at = Instant::now();
        let outcome = self.dispatcher.dispatch(service, head, service.idempotent);
        let outcome = outcome.await;
        self.metrics
            .note_call(outcome_name(&outcome), received_at.elapsed());
        log::debug!(outcome = outcome_name(&outcome); "call answered");
        Ok(match outcome {
            CallOutcome::Completed(reply) => reply.map(|body| FrontBody::Relay(Box::new(body))),
            CallOutcome::NotRun(reason) => {
                self.metrics.note_rejection("call", reason);
                not_run_response(reason)
            }
            CallOutcome::Unknown(reason) => unknown_response(reason),
        })
    }
}

impl<S: StoreClient> PeerHandler for FrontService<S> {
    async fn handle(&self, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::Heartbeat(heartbeat) => {
                self.control.send(ControlEvent::Heartbeat(heartbeat)).await;
                PeerReply::Noted
            }
            PeerRequest::RequestSlot(shard, call) => {
                log::debug!("slot requested by a peer");
                PeerReply::Slot(self.dispatcher.enqueue_call(shard, call).await)
            }
            PeerRequest::ReturnSlot(shard, epoch, grant, result) => {
                let command = CallCommand::Return {
                    shard,
                    epoch,
                    grant,
                    result,
                };
                self.control.send(ControlEvent::Calls(command)).await;
                PeerReply::Noted
            }
            PeerRequest::Loan(envelope) => {
                let command = CallCommand::Loan(envelope);
                self.control.send(ControlEvent::Calls(command)).await;
                PeerReply::Noted
            }
            PeerRequest::Task(shard, request) => {
                log::debug!("task request from a peer");
                PeerReply::Task(self.tasks.dispatch_locally(shard, request).await)
            }
            PeerRequest::KeyedCall(shard, call) => {
                log::debug!("call with a key from a peer");
                PeerReply::Keyed(self.keys.ask_here(shard, call).await)
            }
            PeerRequest::Introduce(record) => {
                let (reply, receiver) = oneshot::channel();
                let event = ControlEvent::PeerIntroduced(record, reply);
                self.control.send(event).await;
                let members = receiver.await.unwrap_or_default();
                PeerReply::Members(members, self.control.snapshot().owners.clone())
            }
            PeerRequest::Relay(daemon, body) => self.dispatcher.router().relay(&daemon, body).await,
            PeerRequest::PullConfig(from) => PeerReply::Config(self.pull_config(from).await),
        }
    }
}

/// Accepts connections of callers and operators until `stopped` is ready. The
/// returned value lets the open connections finish their requests.
///
/// Connections are not closed at once: a caller may just be sending its next
/// request on one that is idle, and that request would be reset. Responses of
/// the linger time ask for the close, and callers then use other daemons.
pub(crate) async fn serve_front<S: StoreClient, F: Future<Output = ()>>(
    listener: TcpListener,
    service: FrontService<S>,
    stopped: F,
) -> GracefulShutdown {
    let graceful = GracefulShutdown::new();
    let mut stopped = pin!(stopped);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut stopped => break,
        };
        match accepted {
            Ok((stream, _)) => admit_connection(stream, &service, &graceful),
            Err(error) => {
                log::warn!("accepting a connection failed: {error}");
                // Out of file descriptors, for one, does not end at once.
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
    service.draining.store(true, Ordering::Relaxed);
    // Connections that the system has accepted already would be reset.
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        admit_connection(stream, &service, &graceful);
    }
    drop(listener);
    tokio::time::sleep(LINGER_TIME).await;
    graceful
}

fn admit_connection<S: StoreClient>(
    stream: TcpStream,
    service: &FrontService<S>,
    graceful: &GracefulShutdown,
) {
    if graceful.count() < service.limits.connections {
        serve_connection(stream, service.clone(), graceful);
    } else {
        // Closing at once tells the caller to try another daemon.
        log::warn!("a caller was turned away; see --connection-limit");
    }
}

fn serve_connection<S: StoreClient>(
    stream: TcpStream,
    service: FrontService<S>,
    graceful: &GracefulShutdown,
) {
    // Without the option a small answer would wait for a delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let limits = service.limits;
    let service = service_fn(move |request| {
        let service = service.clone();
        async move { Ok::<_, Infallible>(service.handle_exchange(request).await) }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(ConnectionTimer)
        .header_read_timeout(limits.header_timeout)
        .max_headers(MAX_HEADERS)
        .max_buf_size(limits.header_bytes);
    builder
        .http2()
        .timer(ConnectionTimer)
        .max_header_list_size(u32::try_from(limits.header_bytes).unwrap_or(u32::MAX));
    let connection = builder
        .serve_connection(TokioIo::new(stream), service)
        .into_owned();
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("a caller's connection ended: {error}");
        }
    });
}

fn is_task_path(path: &str) -> bool {
    let rest = path.strip_prefix(TASKS_PATH);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// Splits `/v1/services/NAME/PATH` into the name and the path for the runner.
fn split_target(target: &str) -> (&str, String) {
    let rest = target.strip_prefix(SERVICE_PREFIX).unwrap_or_default();
    match rest.split_once('/') {
        Some((name, path)) => (name, format!("/{path}")),
        None => (rest, "/".to_owned()),
    }
}

/// Returns the identifier that the caller gave its request, or a new one.
fn request_id(headers: &HeaderMap) -> Result<RequestId, FrontError> {
    let Some(value) = headers.get(REQUEST_HEADER) else {
        return Ok(rand::random());
    };
    let text = value.to_str().ok();
    text.and_then(parse_request).ok_or_else(|| {
        FrontError::new(
            StatusCode::BAD_REQUEST,
            "Auburnsaddle-Request-Id is not a UUID",
            "send 32 hexadecimal digits, or leave the header out",
        )
    })
}

/// Names the request in its response, so that a caller can ask operators.
fn with_request_id(mut response: FrontResponse, id: RequestId) -> FrontResponse {
    if let Ok(value) = HeaderValue::from_str(&format_request(id)) {
        response.headers_mut().insert(REQUEST_HEADER, value);
    }
    response
}

const fn outcome_name<T>(outcome: &CallOutcome<T>) -> &'static str {
    match outcome {
        CallOutcome::Completed(_) => "completed",
        CallOutcome::NotRun(_) => "not-run",
        CallOutcome::Unknown(_) => "unknown",
    }
}

fn deadline(headers: &HeaderMap, service: &ServiceSpec) -> Result<Duration, FrontError> {
    match header_text(headers, "auburnsaddle-deadline-ms").map(str::parse) {
        None => Ok(service.deadline()),
        Some(Ok(milliseconds)) => Ok(Duration::from_millis(milliseconds)),
        Some(Err(_)) => Err(FrontError::new(
            StatusCode::BAD_REQUEST,
            "Auburnsaddle-Deadline-Ms is not a whole number",
            "send the time left in milliseconds",
        )),
    }
}

pub(super) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Returns the headers for the runner, without those of the connection.
fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    const CONNECTION_HEADERS: [&str; 8] = [
        "connection",
        "content-length",
        // Answered by this daemon, which reads the body.
        "expect",
        "host",
        "keep-alive",
        "te",
        "transfer-encoding",
        "upgrade",
    ];
    let mut forwarded = headers.clone();
    for name in CONNECTION_HEADERS {
        forwarded.remove(name);
    }
    forwarded
}
