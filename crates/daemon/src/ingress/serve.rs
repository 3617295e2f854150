//! Connections of callers, of the balancer and of peers.

use std::{convert::Infallible, pin::pin, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use tokio::net::TcpListener;

/// Time for the headers of a request on a new connection. Idle connections stay
/// open, as callers reuse them.
const HEADER_TIMEOUT: Duration = Duration::from_mins(2);

/// Delay after a failed accept: running out of descriptors does not end at once.
const ACCEPT_DELAY: Duration = Duration::from_millis(50);

/// A whole answer.
pub(crate) type IngressResponse = Response<Full<Bytes>>;

/// Answers requests.
pub(crate) trait HttpService: Clone + Send + Sync + 'static {
    /// Answers one request.
    fn handle(&self, request: Request<Incoming>) -> impl Future<Output = IngressResponse> + Send;

    /// Tells whether answers ask for the end of their connections.
    fn is_draining(&self) -> bool {
        false
    }
}

/// Accepts connections until `stopped` is ready; the returned value then lets
/// the requests that are open finish.
pub(crate) async fn serve_http<S: HttpService, F: Future<Output = ()>>(
    listener: TcpListener,
    service: S,
    stopped: F,
) -> GracefulShutdown {
    let graceful = GracefulShutdown::new();
    let mut stopped = pin!(stopped);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
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
        // Without the option a small answer would wait for a delayed acknowledgement.
        let _ = stream.set_nodelay(true);
        let service = service.clone();
        let handler = service_fn(move |request| {
            let service = service.clone();
            async move {
                let mut answer = service.handle(request).await;
                if service.is_draining() {
                    let close = HeaderValue::from_static("close");
                    answer.headers_mut().insert(header::CONNECTION, close);
                }
                Ok::<_, Infallible>(answer)
            }
        });
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_TIMEOUT)
            .keep_alive(true);
        let connection = builder.serve_connection(TokioIo::new(stream), handler);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("a connection ended: {error}");
            }
        });
    }
}

/// Returns an answer without a body.
pub(super) fn empty(status: StatusCode) -> IngressResponse {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}

/// Returns an answer with a JSON body.
pub(super) fn json(status: StatusCode, body: Vec<u8>) -> IngressResponse {
    let mut answer = Response::new(Full::from(body));
    *answer.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, kind);
    answer
}

/// Returns a rejection that says when to come back.
pub(super) fn retry_later(status: StatusCode, seconds: u64) -> IngressResponse {
    let mut answer = empty(status);
    answer
        .headers_mut()
        .insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    answer
}
