//! The HTTP client for daemons, with failover.

use std::time::Duration;

use auburnsaddle_core::ErrorReply;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Serialize, de::DeserializeOwned};
use snafu::Snafu;

/// Maximum time to establish a connection before the next daemon is tried.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum time for the response to a read before the next daemon is tried. A
/// paused daemon still accepts connections, so the connect timeout does not
/// detect it.
pub(crate) const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum time for the response to a write or a long poll. A daemon needs up
/// to 11 s to resolve a write whose response from the store was lost.
const WRITE_TIMEOUT: Duration = Duration::from_mins(1);

/// A request that no daemon completed successfully.
#[derive(Debug)]
#[derive(Snafu)]
pub(crate) enum ClientError {
    /// No daemon could be reached, or no daemon responded to a read. A write was
    /// not run.
    #[snafu(display(
        "no daemon was reached: {}; set --daemon to the addresses of running daemons",
        causes.join(", ")
    ))]
    Unreachable {
        /// Address and cause for each daemon, in the order in which they were
        /// tried.
        causes: Vec<String>,
    },
    /// The request failed or timed out after it may have been sent.
    #[snafu(display(
        "request to {address} failed: {message}; the request may have run, check its effect before \
         repeating it"
    ))]
    Interrupted {
        /// The address of the daemon.
        address: String,
        /// The message of the underlying error.
        message: String,
    },
    /// A daemon responded with an error status.
    #[snafu(display("{}", describe_rejection(reply)))]
    Rejected {
        /// The HTTP status.
        status: StatusCode,
        /// The error and remedy from the response body.
        reply: ErrorReply,
    },
    /// A body cannot be written or read as JSON of the expected type.
    #[snafu(display("invalid response: {message}; use the tool of the daemons' version"))]
    Malformed {
        /// The message of the JSON parser.
        message: String,
    },
}

fn describe_rejection(reply: &ErrorReply) -> String {
    let mut lines = vec![format!("{}; {}", reply.error, reply.remedy)];
    lines.extend(reply.details.iter().map(|detail| format!("  {detail}")));
    lines.join("\n")
}

/// An HTTP client that sends each request to the first reachable daemon.
pub(crate) struct DaemonClient {
    addresses: Vec<String>,
    read_timeout: Duration,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// The parts of a request that do not depend on the daemon.
struct DaemonRequest<'a> {
    method: &'a Method,
    path: &'a str,
    body: Vec<u8>,
    key: Option<&'a str>,
}

/// The failure of a request to one daemon.
enum AttemptError {
    /// The request was not sent, so another daemon can be tried. Holds the cause.
    Retryable(String),
    /// The request may have been sent. If it was interrupted, only a read or a
    /// request with a key can be sent to another daemon.
    Final(ClientError),
}

impl DaemonClient {
    /// Returns a client for the given daemons, which connects on first use.
    pub(crate) fn new(addresses: Vec<String>, read_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        Self {
            addresses,
            read_timeout,
            client: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Sends a GET request and returns the JSON response.
    ///
    /// The next daemon is tried if one cannot be reached, closes the connection
    /// or does not respond in time.
    pub(crate) async fn get<R: DeserializeOwned>(&self, path: &str) -> Result<R, ClientError> {
        let mut causes = Vec::new();
        for address in &self.addresses {
            let request = DaemonRequest {
                method: &Method::GET,
                path,
                body: Vec::new(),
                key: None,
            };
            match self
                .send_with_timeout(address, request, self.read_timeout)
                .await
            {
                Ok(response_body) => {
                    return serde_json::from_slice(&response_body)
                        .map_err(|error| malformed_error(&error));
                }
                Err(AttemptError::Final(ClientError::Interrupted { message, .. })) => {
                    causes.push(format!("{address}: {message}"));
                }
                Err(AttemptError::Final(error)) => return Err(error),
                Err(AttemptError::Retryable(cause)) => causes.push(format!("{address}: {cause}")),
            }
        }
        Err(ClientError::Unreachable { causes })
    }

    /// Sends a request with a JSON body and returns the JSON response.
    ///
    /// The next daemon is tried only if no connection was established, so that
    /// no request runs twice.
    pub(crate) async fn send<Q, R>(
        &self,
        method: Method,
        path: &str,
        body: &Q,
    ) -> Result<R, ClientError>
    where
        Q: Serialize + Sync,
        R: DeserializeOwned,
    {
        self.send_json(&method, path, body, None).await
    }

    /// Sends a POST request with an idempotency key and returns the JSON
    /// response.
    ///
    /// The next daemon is also tried if the request was interrupted, because
    /// daemons run a request with a key at most once.
    pub(crate) async fn send_with_key<Q, R>(
        &self,
        path: &str,
        body: &Q,
        key: &str,
    ) -> Result<R, ClientError>
    where
        Q: Serialize + Sync,
        R: DeserializeOwned,
    {
        self.send_json(&Method::POST, path, body, Some(key)).await
    }

    /// Sends a request to the daemons in turn until one responds. Continues after
    /// an interruption only if the request has an idempotency key.
    async fn send_json<Q, R>(
        &self,
        method: &Method,
        path: &str,
        body: &Q,
        key: Option<&str>,
    ) -> Result<R, ClientError>
    where
        Q: Serialize + Sync,
        R: DeserializeOwned,
    {
        let body = serde_json::to_vec(body).map_err(|error| malformed_error(&error))?;
        let body = if body == b"null" { Vec::new() } else { body };
        let mut causes = Vec::new();
        let mut interrupted = None;
        for address in &self.addresses {
            let request = DaemonRequest {
                method,
                path,
                body: body.clone(),
                key,
            };
            match self
                .send_with_timeout(address, request, WRITE_TIMEOUT)
                .await
            {
                Ok(response_body) => {
                    return serde_json::from_slice(&response_body)
                        .map_err(|error| malformed_error(&error));
                }
                Err(AttemptError::Final(error @ ClientError::Interrupted { .. }))
                    if key.is_some() =>
                {
                    interrupted = Some(error);
                }
                Err(AttemptError::Final(error)) => return Err(error),
                Err(AttemptError::Retryable(cause)) => causes.push(format!("{address}: {cause}")),
            }
        }
        Err(interrupted.unwrap_or(ClientError::Unreachable { causes }))
    }

    async fn send_with_timeout(
        &self,
        address: &str,
        request: DaemonRequest<'_>,
        timeout: Duration,
    ) -> Result<Bytes, AttemptError> {
        let exchange = self.send_once(address, request);
        match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(elapsed) => Err(interrupted_error(address, &elapsed)),
        }
    }

    async fn send_once(
        &self,
        address: &str,
        request: DaemonRequest<'_>,
    ) -> Result<Bytes, AttemptError> {
        let mut builder = Request::builder()
            .method(request.method)
            .uri(format!("http://{address}{}", request.path))
            .header("content-type", "application/json");
        if let Some(key) = request.key {
            builder = builder.header("idempotency-key", key);
        }
        let request = builder
            .body(Full::new(Bytes::from(request.body)))
            .map_err(|error| AttemptError::Retryable(error.to_string()))?;
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                AttemptError::Retryable(innermost_cause(&error))
            } else {
                interrupted_error(address, &error)
            }
        })?;
        let status = response.status();
        let collected = response.into_body().collect().await;
        let bytes = collected
            .map_err(|error| interrupted_error(address, &error))?
            .to_bytes();
        if status.is_success() {
            return Ok(bytes);
        }
        let reply = serde_json::from_slice(&bytes).unwrap_or_else(|_| ErrorReply {
            error: format!("the daemon responded with status {status}"),
            remedy: "see the daemon's log".to_owned(),
            details: Vec::new(),
        });
        Err(AttemptError::Final(ClientError::Rejected { status, reply }))
    }
}

fn interrupted_error<E: std::error::Error>(address: &str, error: &E) -> AttemptError {
    AttemptError::Final(ClientError::Interrupted {
        address: address.to_owned(),
        message: error.to_string(),
    })
}

fn malformed_error(error: &serde_json::Error) -> ClientError {
    ClientError::Malformed {
        message: error.to_string(),
    }
}

/// Returns the message of the innermost cause, which contains the error of the
/// system call.
fn innermost_cause<E: std::error::Error>(error: &E) -> String {
    let mut cause: &dyn std::error::Error = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
