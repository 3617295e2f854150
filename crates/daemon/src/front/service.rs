//! Serves HTTP requests of callers and operators, and handles requests of peers.

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

use auburnsaddle_core::{CallOutcome, NotRunReason, RequestId, ServiceSpec};
use futures::FutureExt;
use http::{HeaderMap, HeaderValue, Request, StatusCode, Version, header};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo},
    server::conn::auto,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::oneshot,
};

use super::{
    body::FrontBody,
    connections::{FrontConnections, OpenRequests, TrackedBody},
    keyed::parse_call_key,
    messages::{
        DumpReply, FrontError, FrontResponse, json_response, mark_not_run, not_run_response,
        text_response, unknown_response,
    },
    tasks::TASKS_PATH,
    timer::ConnectionTimer,
};
use crate::{
    calls::{BodyLimits, CallBody, CallCommand, CallDispatcher, CallHead},
    control::{ControlEvent, ControlHandle, RoutingSnapshot},
    keys::{KeyForwarder, MAX_KEYED_BODY_BYTES},
    peers::{PeerHandler, PeerReply, PeerRequest},
    settings::CallerLimits,
    store::StoreClient,
    tasks::TaskDispatcher,
    telemetry::{ProcessMetrics, ProcessStats, format_request_id, parse_request_id, trace_request},
};

/// Request and response header with the identifier of a request.
const REQUEST_ID_HEADER: &str = "auburnsaddle-request-id";

/// Prefix of the paths of calls, followed by the name of the service.
const SERVICE_PATH_PREFIX: &str = "/v1/services/";

/// Size limit of bodies that are buffered before a slot is requested, so that the call
/// can be retried. Larger bodies are streamed, since buffers for them would take too
/// much memory.
const MAX_BUFFERED_BODY_BYTES: u64 = 64 << 10;

/// Limit on the number of headers of an HTTP/1 request.
const MAX_HEADERS: usize = 100;

/// Handles the requests of callers, operators and peers.
#[derive(Clone, Debug)]
pub(crate) struct FrontService<S> {
    pub(super) control: ControlHandle,
    dispatcher: CallDispatcher,
    pub(super) keys: KeyForwarder,
    pub(super) tasks: TaskDispatcher,
    pub(super) store: S,
    pub(super) metrics: ProcessMetrics,
    pub(super) limits: CallerLimits,
    /// Whether the daemon drains and asks callers to close their connections.
    is_draining: Arc<AtomicBool>,
    /// Requests that a drain waits for.
    requests: OpenRequests,
}

impl<S: StoreClient> FrontService<S> {
    /// Returns a service that does not drain.
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
            is_draining: Arc::default(),
            requests: OpenRequests::new(),
        }
    }

    /// Handles an HTTP request. While the daemon drains, the response asks the caller to
    /// close the connection if it uses HTTP/1.1 or older.
    async fn handle_request(&self, request: Request<Incoming>) -> FrontResponse {
        let is_http1 = request.version() <= Version::HTTP_11;
        let mut response = match read_request_id(request.headers()) {
            Ok(id) => {
                let handled = trace_request(id, self.route_request(request, id)).await;
                with_request_id(handled, id)
            }
            Err(error) => mark_not_run(error.into()),
        };
        if is_http1 && self.is_draining.load(Ordering::Relaxed) {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }

    /// Passes a request to the handler of its path.
    async fn route_request(&self, request: Request<Incoming>, id: RequestId) -> FrontResponse {
        let path = request.uri().path().to_owned();
        let result = match path.as_str() {
            // An error of a call or a task request means that nothing has run.
            path if path.starts_with(SERVICE_PATH_PREFIX) => {
                let handled = self.handle_call(request, id).await;
                Ok(handled.unwrap_or_else(|error| mark_not_run(error.into())))
            }
            path if is_task_path(path) => {
                let handled = self.handle_tasks(request).await;
                Ok(handled.unwrap_or_else(|error| mark_not_run(error.into())))
            }
            "/metrics" => Ok(self.render_metrics().await),
            "/admin/dump" => Ok(self.dump_state().await),
            path if path.starts_with("/admin/") => self.handle_admin(request).await,
            _ => Err(FrontError::new(
                StatusCode::NOT_FOUND,
                "no such path",
                "use /v1/services/SERVICE/PATH, /v1/tasks or /admin/status",
            )),
        };
        result.unwrap_or_else(FrontResponse::from)
    }

    /// Returns the metrics of the process.
    async fn render_metrics(&self) -> FrontResponse {
        let snapshot = self.control.snapshot();
        let queue_depth = self.control.queue_depth();
        let (reply, receiver) = oneshot::channel();
        let event = ControlEvent::MeasuresRequested(reply);
        self.control.send(event).await;
        let stats = ProcessStats {
            control: receiver.await.unwrap_or_default(),
            config_version: snapshot.config_version,
            queue_depth,
            owned_shards: snapshot.owned_shards(),
            unavailable_shards: snapshot.unavailable.len(),
            retry_budgets: self.dispatcher.retry_budgets(),
        };
        text_response(self.metrics.render(stats))
    }

    /// Returns the state of the process.
    async fn dump_state(&self) -> FrontResponse {
        let (reply, receiver) = oneshot::channel();
        self.control.send(ControlEvent::DumpRequested(reply)).await;
        let dump = DumpReply {
            control: receiver.await.ok(),
            queue_depth: self.control.queue_depth(),
            store_calls: self.metrics.store_calls(),
        };
        json_response(StatusCode::OK, &dump)
    }

    /// Returns the snapshot for a request that names an object or a task; `kind` is
    /// `call` or `task`.
    ///
    /// # Errors
    ///
    /// Returns an error before the first configuration, when no name is known to be
    /// wrong.
    pub(super) fn configured_snapshot(
        &self,
        kind: &'static str,
    ) -> Result<Arc<RoutingSnapshot>, FrontError> {
        let snapshot = self.control.snapshot();
        if snapshot.is_configured() {
            return Ok(snapshot);
        }
        let reason = NotRunReason::NoConfiguration;
        self.metrics.record_rejection(kind, reason);
        Err(reason.into())
    }

    /// Handles a call of a caller, with or without a key.
    async fn handle_call(
        &self,
        request: Request<Incoming>,
        id: RequestId,
    ) -> Result<FrontResponse, FrontError> {
        let snapshot = self.configured_snapshot("call")?;
        let target = request
            .uri()
            .path_and_query()
            .map_or("", |path| path.as_str());
        let (name, path) = split_service_path(target);
        let service = snapshot.objects.services.get(name).ok_or_else(|| {
            FrontError::new(
                StatusCode::NOT_FOUND,
                &format!("service `{name}` is not defined"),
                "correct the name, or apply a configuration that defines the service",
            )
        })?;
        let (parts, body) = request.into_parts();
        let key = parse_call_key(&parts.headers, service)?;
        let remaining = parse_deadline(&parts.headers, service)?;
        log::debug!(service = &*service.name; "call received");
        let head = CallHead {
            request: id,
            team: header_value(&parts.headers, "auburnsaddle-team").map(Into::into),
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
            // The fingerprint of the request covers the complete body.
            limits.bytes = limits.bytes.min(MAX_KEYED_BODY_BYTES as u64);
            let body = CallBody::read_whole(body, limits).await?;
            let head = head.with_body(body);
            return Ok(self.handle_keyed_call(&snapshot, service, key, head).await);
        }
        let body = CallBody::read(body, limits, MAX_BUFFERED_BODY_BYTES).await?;
        let head = head.with_body(body);
        let received_at = Instant::now();
        let outcome = self.dispatcher.dispatch(service, head, service.idempotent);
        let outcome = outcome.await;
        self.metrics
            .record_call(outcome_name(&outcome), received_at.elapsed());
        log::debug!(outcome = outcome_name(&outcome); "call answered");
        Ok(match outcome {
            CallOutcome::Completed(reply) => reply.map(|body| FrontBody::Relay(Box::new(body))),
            CallOutcome::NotRun(reason) => {
                self.metrics.record_rejection("call", reason);
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
                PeerReply::Keyed(self.keys.call_local(shard, call).await)
            }
            PeerRequest::Introduce(record) => {
                let (reply, receiver) = oneshot::channel();
                let event = ControlEvent::MembersRequested(record, reply);
                self.control.send(event).await;
                let members = receiver.await.unwrap_or_default();
                PeerReply::Members(members, self.control.snapshot().owners.clone())
            }
            PeerRequest::Relay(daemon, body) => self.dispatcher.router().relay(&daemon, body).await,
            PeerRequest::PullConfig(from) => PeerReply::Config(self.pull_config(from).await),
        }
    }
}

/// Accepts connections of callers and operators until `stopped` is ready. Finishing the
/// returned connections waits for their requests.
///
/// Idle connections stay open as long as other requests, because closing one on which
/// the caller is sending its next request would reset that request. Responses that
/// begin after `stopped` ask callers to close, and their next requests go to other
/// daemons.
pub(crate) async fn serve_front<S: StoreClient, F: Future<Output = ()>>(
    listener: TcpListener,
    service: FrontService<S>,
    stopped: F,
) -> FrontConnections {
    let mut connections = FrontConnections::new(service.requests.clone());
    let mut stopped = pin!(stopped);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut stopped => break,
        };
        match accepted {
            Ok((stream, _)) => accept_connection(stream, &service, &connections),
            Err(error) => {
                log::warn!("accepting a connection failed: {error}");
                // The cause can last, such as a lack of file descriptors; the pause
                // avoids a busy loop.
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
    service.is_draining.store(true, Ordering::Relaxed);
    // Closing the listener would reset the connections in its backlog.
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        accept_connection(stream, &service, &connections);
    }
    drop(listener);
    connections.announce_close().await;
    connections
}

/// Serves a connection, or closes it if the connection limit is reached.
fn accept_connection<S: StoreClient>(
    stream: TcpStream,
    service: &FrontService<S>,
    connections: &FrontConnections,
) {
    if connections.count() < service.limits.connections {
        serve_connection(stream, service.clone(), connections);
    } else {
        // The caller can connect to another daemon at once.
        log::warn!("closed a new connection: --connection-limit is reached");
    }
}

/// Spawns a task that serves the requests of a connection.
fn serve_connection<S: StoreClient>(
    stream: TcpStream,
    service: FrontService<S>,
    connections: &FrontConnections,
) {
    // Without the option, Nagle's algorithm holds back a small response until the
    // caller's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let limits = service.limits;
    let connection = connections.add();
    let is_http2 = connection.http2_flag();
    let service = service_fn(move |request: Request<Incoming>| {
        let service = service.clone();
        let is_http1 = request.version() <= Version::HTTP_11;
        is_http2.store(!is_http1, Ordering::Relaxed);
        let open_request = is_http1.then(|| service.requests.start());
        async move {
            let response = service.handle_request(request).await;
            Ok::<_, Infallible>(response.map(|body| TrackedBody::new(body, open_request)))
        }
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
    let server = builder
        .serve_connection(TokioIo::new(stream), service)
        .into_owned();
    tokio::spawn(async move {
        if let Err(error) = connection.serve(server).await {
            log::debug!("a connection of a caller failed: {error}");
        }
    });
}

/// Returns whether a path is [`TASKS_PATH`] or below it.
fn is_task_path(path: &str) -> bool {
    let rest = path.strip_prefix(TASKS_PATH);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// Splits `/v1/services/NAME/PATH` into the name and the path for the runner.
fn split_service_path(target: &str) -> (&str, String) {
    let rest = target.strip_prefix(SERVICE_PATH_PREFIX).unwrap_or_default();
    match rest.split_once('/') {
        Some((name, path)) => (name, format!("/{path}")),
        None => (rest, "/".to_owned()),
    }
}

/// Returns the identifier from the caller's header, or a random one.
fn read_request_id(headers: &HeaderMap) -> Result<RequestId, FrontError> {
    let Some(value) = headers.get(REQUEST_ID_HEADER) else {
        return Ok(rand::random());
    };
    let text = value.to_str().ok();
    text.and_then(parse_request_id).ok_or_else(|| {
        FrontError::new(
            StatusCode::BAD_REQUEST,
            "Auburnsaddle-Request-Id is not a UUID",
            "send 32 hexadecimal digits, or leave the header out",
        )
    })
}

/// Adds the identifier of the request to the response, so that a caller can give it to
/// the operators.
fn with_request_id(mut response: FrontResponse, id: RequestId) -> FrontResponse {
    if let Ok(value) = HeaderValue::from_str(&format_request_id(id)) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    response
}

/// Returns the outcome of a call as metrics and log lines show it.
const fn outcome_name<T>(outcome: &CallOutcome<T>) -> &'static str {
    match outcome {
        CallOutcome::Completed(_) => "completed",
        CallOutcome::NotRun(_) => "not-run",
        CallOutcome::Unknown(_) => "unknown",
    }
}

/// Returns the time left until the caller's deadline, by default that of the service.
fn parse_deadline(headers: &HeaderMap, service: &ServiceSpec) -> Result<Duration, FrontError> {
    match header_value(headers, "auburnsaddle-deadline-ms").map(str::parse) {
        None => Ok(service.deadline()),
        Some(Ok(milliseconds)) => Ok(Duration::from_millis(milliseconds)),
        Some(Err(_)) => Err(FrontError::new(
            StatusCode::BAD_REQUEST,
            "Auburnsaddle-Deadline-Ms is not a whole number",
            "send the time left in milliseconds",
        )),
    }
}

/// Returns the value of a header if it is text.
pub(super) fn header_value<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Returns the headers for the runner, without those that concern only the caller's
/// connection.
fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    const EXCLUDED_HEADERS: [&str; 8] = [
        "connection",
        "content-length",
        // This daemon reads the body, so it also responds to this header.
        "expect",
        "host",
        "keep-alive",
        "te",
        "transfer-encoding",
        "upgrade",
    ];
    let mut forwarded = headers.clone();
    for name in EXCLUDED_HEADERS {
        forwarded.remove(name);
    }
    forwarded
}
