//! HTTP/1 server for callers, the load balancer and other daemons.

use std::{convert::Infallible, pin::pin, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{MissedTickBehavior, interval},
};

use super::intake::{IntakeGate, IntakeStream, READ_BUFFER_BYTES, RequestIntake};

/// Time after which an idle connection is closed. Callers reuse connections.
const IDLE_TIMEOUT: Duration = Duration::from_mins(2);

/// Interval between checks for heads that are late.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Delay after a failed accept. A shortage of file descriptors lasts for some time, so
/// that an immediate retry would fail again.
const ACCEPT_DELAY: Duration = Duration::from_millis(50);

/// A response whose body is complete before it is sent.
pub(crate) type IngressResponse = Response<Full<Bytes>>;

/// A handler of HTTP requests, cloned for each request.
pub(crate) trait HttpService: Clone + Send + Sync + 'static {
    /// Handles one request; returns its response.
    fn handle(&self, request: Request<Incoming>) -> impl Future<Output = IngressResponse> + Send;

    /// Returns whether responses carry `Connection: close`.
    fn is_draining(&self) -> bool {
        false
    }
}

/// Accepts connections until `stopped` completes. Shutting down the returned value then
/// waits for the open requests to finish.
pub(crate) async fn serve_http<S: HttpService, F: Future<Output = ()>>(
    listener: TcpListener,
    service: S,
    gate: IntakeGate,
    stopped: F,
) -> GracefulShutdown {
    let graceful = GracefulShutdown::new();
    let mut stopped = pin!(stopped);
    let mut next_check = interval(CHECK_INTERVAL);
    next_check.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = next_check.tick() => {
                gate.check();
                continue;
            }
            () = &mut stopped => return graceful,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("accepting a connection failed: {error}");
                tokio::time::sleep(ACCEPT_DELAY).await;
                continue;
            }
        };
        serve_connection(stream, &service, &gate, &graceful);
    }
}

/// Spawns a task that serves a connection until the client or the gate closes it. Closes it at once
/// if the gate has no room for it.
fn serve_connection<S: HttpService>(
    stream: TcpStream,
    service: &S,
    gate: &IntakeGate,
    graceful: &GracefulShutdown,
) {
    let Some((connection, shed)) = gate.open() else {
        return;
    };
    // Without TCP_NODELAY, a small response would wait for a delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let stream = IntakeStream::new(stream, Arc::clone(&connection));
    let service = service.clone();
    let handler = service_fn(move |mut request: Request<Incoming>| {
        let service = service.clone();
        let intake = RequestIntake::begin(&connection);
        request.extensions_mut().insert(intake.clone());
        async move {
            let mut response = service.handle(request).await;
            intake.finish();
            if service.is_draining() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(READ_BUFFER_BYTES)
        .keep_alive(true);
    let server = builder.serve_connection(TokioIo::new(stream), handler);
    let server = graceful.watch(server);
    tokio::spawn(async move {
        tokio::select! {
            ended = server => {
                if let Err(error) = ended {
                    log::debug!("a connection failed: {error}");
                }
            }
            _ = shed => {}
        }
    });
}

/// Returns a response without a body.
pub(super) fn empty_response(status: StatusCode) -> IngressResponse {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// Returns a response with a JSON body.
pub(super) fn json_response(status: StatusCode, body: Vec<u8>) -> IngressResponse {
    let mut response = Response::new(Full::from(body));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// Returns a response without a body that asks the caller to retry after `seconds`.
pub(super) fn retry_response(status: StatusCode, seconds: u64) -> IngressResponse {
    let mut response = empty_response(status);
    response
        .headers_mut()
        .insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    response
}
