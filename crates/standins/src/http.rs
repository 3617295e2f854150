//! HTTP helpers shared by the stand-ins.

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

/// Largest request body that a stand-in reads, in bytes.
const BODY_LIMIT: usize = 4 << 20;

/// Parts of a streamed body; an error cuts the body off.
pub type PartStream = UnboundedReceiver<Result<Frame<Bytes>, io::Error>>;

/// A response from memory or in parts.
pub type StandinResponse = Response<Either<Full<Bytes>, StreamBody<PartStream>>>;

/// A response, or the reset that the client sees in its place.
pub type HandlerResult = Result<StandinResponse, h2::Error>;

/// Counts the connections of a server.
#[derive(Debug, Default)]
pub struct ConnectionCounts {
    open: AtomicUsize,
    peak: AtomicUsize,
}

impl ConnectionCounts {
    /// Returns the connections that are open at present.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Returns the most connections that were open at once.
    pub fn peak(&self) -> usize {
        self.peak.load(Ordering::Relaxed)
    }
}

/// Binds the address of `--listen`, or a free port of the loopback address,
/// and prints it for whoever started the process.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn listen(arguments: &mut pico_args::Arguments) -> io::Result<TcpListener> {
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
/// Returns the error of the listener if it can accept no more connections.
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
            // A client that closes its connection is not an error of the stand-in.
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
/// Returns a `400` or `413` response if the body breaks off or is too long.
pub async fn read_body(body: Incoming) -> Result<Bytes, StandinResponse> {
    match body
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes)
    {
        Ok(bytes) if bytes.len() <= BODY_LIMIT => Ok(bytes),
        Ok(_) => Err(text(
            StatusCode::PAYLOAD_TOO_LARGE,
            "send a body of at most 4 MiB",
        )),
        Err(_) => Err(text(
            StatusCode::BAD_REQUEST,
            "the body broke off; send it whole",
        )),
    }
}

/// Returns a response with a plain text.
#[must_use]
pub fn text(status: StatusCode, message: &str) -> StandinResponse {
    let bytes = Bytes::copy_from_slice(message.as_bytes());
    let mut response = Response::new(Either::Left(Full::new(bytes)));
    *response.status_mut() = status;
    response
}

/// Returns a response with a JSON value.
///
/// # Panics
///
/// Panics if the value cannot be written as JSON.
#[must_use]
pub fn json<T: Serialize>(value: &T) -> StandinResponse {
    let bytes = serde_json::to_vec(value).expect("values of the stand-ins can be written as JSON");
    let mut response = Response::new(Either::Left(Full::new(Bytes::from(bytes))));
    let kind = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, kind);
    response
}

/// Returns a response whose body arrives in parts.
#[must_use]
pub fn stream(parts: PartStream) -> StandinResponse {
    Response::new(Either::Right(StreamBody::new(parts)))
}
