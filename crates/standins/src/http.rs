//! HTTP helpers shared by the stand-ins.

use std::{convert::Infallible, future::Future, io};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo},
    server::conn::auto,
};
use serde::Serialize;
use tokio::net::TcpListener;

/// Largest request body that a stand-in reads, in bytes.
const BODY_LIMIT: usize = 4 << 20;

/// A response whose body is in memory.
pub type FullResponse = Response<Full<Bytes>>;

/// Serves HTTP/1.1 and HTTP/2 connections until the task is aborted.
///
/// # Errors
///
/// Returns the error of the listener if it can accept no more connections.
pub async fn serve<H, F>(listener: TcpListener, handler: H) -> io::Result<()>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = FullResponse> + Send + 'static,
{
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let handler = handler.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let response = handler(request);
                async move { Ok::<_, Infallible>(response.await) }
            });
            let builder = auto::Builder::new(TokioExecutor::new());
            // A client that closes its connection is not an error of the stand-in.
            let _ = builder
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Reads a whole request body.
///
/// # Errors
///
/// Returns a `400` or `413` response if the body breaks off or is too long.
pub async fn read_body(body: Incoming) -> Result<Bytes, FullResponse> {
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
pub fn text(status: StatusCode, message: &str) -> FullResponse {
    let mut response = Response::new(Full::new(Bytes::copy_from_slice(message.as_bytes())));
    *response.status_mut() = status;
    response
}

/// Returns a response with a JSON value.
///
/// # Panics
///
/// Panics if the value cannot be written as JSON.
#[must_use]
pub fn json<T: Serialize>(value: &T) -> FullResponse {
    let bytes = serde_json::to_vec(value).expect("values of the stand-ins can be written as JSON");
    let mut response = Response::new(Full::new(Bytes::from(bytes)));
    let kind = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, kind);
    response
}
