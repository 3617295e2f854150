//! The HTTP server and response helpers shared by the stand-ins.

use std::{
    future::Future,
    io,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use bytes::Bytes;
use futures::channel::mpsc::UnboundedReceiver;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Either, Full, StreamBody};
use hyper::{
    body::{Frame, Incoming},
    service::service_fn,
};
use hyper_util::{
    rt::{TokioExecutor, TokioIo},
    server::conn::auto,
};
use serde::Serialize;
use tokio::net::TcpListener;

/// Maximum size of a request body; longer bodies get a `413` response.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Frames of a streamed body; an error aborts the response.
pub type ChunkStream = UnboundedReceiver<Result<Frame<Bytes>, io::Error>>;

/// A response with a buffered or streamed body.
pub type StandinResponse = Response<Either<Full<Bytes>, StreamBody<ChunkStream>>>;

/// A response, or the error with which the HTTP/2 stream is reset instead.
pub type HandlerResult = Result<StandinResponse, h2::Error>;

/// Connection counters of a server.
#[derive(Debug, Default)]
pub struct ConnectionCounts {
    open: AtomicUsize,
    peak: AtomicUsize,
}

impl ConnectionCounts {
    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Returns the highest number of connections open at the same time.
    pub fn peak(&self) -> usize {
        self.peak.load(Ordering::Relaxed)
    }
}

/// Binds the address in `--listen`, or a free loopback port if the flag is
/// absent, and prints the bound address to the standard output.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn bind_listener(arguments: &mut pico_args::Arguments) -> io::Result<TcpListener> {
    let address: String = arguments
        .value_from_str("--listen")
        .unwrap_or_else(|_| "127.0.0.1:0".to_owned());
    let listener = TcpListener::bind(address).await?;
    println!("listening on {}", listener.local_addr()?);
    Ok(listener)
}

/// Serves HTTP/1.1 and HTTP/2 connections until the task is aborted.
///
/// # Errors
///
/// Returns an error if accepting or configuring a connection fails.
pub async fn serve<H, F>(
    listener: TcpListener,
    counts: Arc<ConnectionCounts>,
    handler: H,
) -> io::Result<()>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = HandlerResult> + Send + 'static,
{
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let handler = handler.clone();
        let counts = Arc::clone(&counts);
        tokio::spawn(async move {
            let open = counts.open.fetch_add(1, Ordering::Relaxed) + 1;
            counts.peak.fetch_max(open, Ordering::Relaxed);
            let builder = auto::Builder::new(TokioExecutor::new());
            // Clients may close a connection at any time, so errors are ignored.
            let _ = builder
                .serve_connection(TokioIo::new(stream), service_fn(handler))
                .await;
            counts.open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

/// Reads a whole request body.
///
/// # Errors
///
/// Returns a `400` response if the body is truncated, or a `413` response if it
/// exceeds `MAX_BODY_BYTES`.
pub async fn read_body(body: Incoming) -> Result<Bytes, StandinResponse> {
    match body
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes)
    {
        Ok(bytes) if bytes.len() <= MAX_BODY_BYTES => Ok(bytes),
        Ok(_) => Err(text_response(
            StatusCode::PAYLOAD_TOO_LARGE,
            "send a body of at most 4 MiB",
        )),
        Err(_) => Err(text_response(
            StatusCode::BAD_REQUEST,
            "the body broke off; send it whole",
        )),
    }
}

/// Returns a response with a plain-text body.
#[must_use]
pub fn text_response(status: StatusCode, message: &str) -> StandinResponse {
    let bytes = Bytes::copy_from_slice(message.as_bytes());
    let mut response = Response::new(Either::Left(Full::new(bytes)));
    *response.status_mut() = status;
    response
}

/// Returns a `200` response with a JSON body.
///
/// # Panics
///
/// Panics if the value cannot be serialized.
#[must_use]
pub fn json_response<T: Serialize>(value: &T) -> StandinResponse {
    let bytes = serde_json::to_vec(value).expect("response types serialize without errors");
    let mut response = Response::new(Either::Left(Full::new(Bytes::from(bytes))));
    let content_type = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, content_type);
    response
}

/// Returns a `200` response with a streamed body.
#[must_use]
pub fn stream_response(chunks: ChunkStream) -> StandinResponse {
    Response::new(Either::Right(StreamBody::new(chunks)))
}
