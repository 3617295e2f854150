//! HTTP requests to daemons, with failover.

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

/// Time to establish a connection before the next daemon is tried.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for an answer to a read before the next daemon is tried. A paused
/// daemon still accepts connections, so that only time tells.
pub(crate) const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for an answer to a write or a long poll. A daemon needs up to 11 s
/// to resolve the lost response of the store.
const WRITE_TIMEOUT: Duration = Duration::from_mins(1);

/// A request that no daemon answered with success.
#[derive(Debug)]
#[derive(Snafu)]
pub(crate) enum ClientError {
    /// No daemon was reached; the request was not run.
    #[snafu(display(
        "no daemon was reached: {}; name running daemons in --daemon", causes.join(", ")
    ))]
    Unreachable {
        /// One cause for each daemon.
        causes: Vec<String>,
    },
    /// The connection broke after the request was sent.
    #[snafu(display(
        "{address} broke off: {message}; the request may have run, look before repeating it"
    ))]
    Interrupted {
        /// The daemon.
        address: String,
        /// The cause.
        message: String,
    },
    /// A daemon rejected the request.
    #[snafu(display("{}", describe(reply)))]
    Rejected {
        /// The HTTP status.
        status: StatusCode,
        /// The daemon's error and remedy.
        reply: ErrorReply,
    },
    /// The answer is not what this tool expects.
    #[snafu(display("unexpected answer: {message}; use a tool of the daemons' version"))]
    Malformed {
        /// The parser's message.
        message: String,
    },
}

fn describe(reply: &ErrorReply) -> String {
    let mut lines = vec![format!("{}; {}", reply.error, reply.remedy)];
    lines.extend(reply.details.iter().map(|detail| format!("  {detail}")));
    lines.join("\n")
}

/// Sends requests to the first daemon that can be reached.
pub(crate) struct DaemonClient {
    addresses: Vec<String>,
    read_timeout: Duration,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A request as it is sent to one daemon.
struct ToolRequest<'a> {
    method: &'a Method,
    path: &'a str,
    body: Vec<u8>,
    key: Option<&'a str>,
}

/// One attempt that did not succeed.
enum AttemptError {
    /// Nothing was sent, or only a read, so another daemon can be tried.
    Repeatable(String),
    Final(ClientError),
}

impl DaemonClient {
    /// Returns a client that connects on first use.
    pub(crate) fn new(addresses: Vec<String>, read_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        Self {
            addresses,
            read_timeout,
            client: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Reads a path, from another daemon if one breaks off or stays silent.
    pub(crate) async fn get<R: DeserializeOwned>(&self, path: &str) -> Result<R, ClientError> {
        let mut causes = Vec::new();
        for address in &self.addresses {
            let request = ToolRequest {
                method: &Method::GET,
                path,
                body: Vec::new(),
                key: None,
            };
            match self.attempt(address, request, self.read_timeout).await {
                Ok(answer) => {
                    return serde_json::from_slice(&answer).map_err(|error| malformed(&error));
                }
                Err(AttemptError::Final(ClientError::Interrupted { message, .. })) => {
                    causes.push(format!("{address}: {message}"));
                }
                Err(AttemptError::Final(error)) => return Err(error),
                Err(AttemptError::Repeatable(cause)) => causes.push(format!("{address}: {cause}")),
            }
        }
        Err(ClientError::Unreachable { causes })
    }

    /// Sends a request with a JSON body and returns the JSON answer.
    ///
    /// Another daemon is tried only if the connection was never established,
    /// so that no request runs twice.
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
        self.write(&method, path, body, None).await
    }

    /// Posts a request with an idempotency key, to another daemon also if one
    /// breaks off: no request with a key runs twice.
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
        self.write(&Method::POST, path, body, Some(key)).await
    }

    async fn write<Q, R>(
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
        let body = serde_json::to_vec(body).map_err(|error| malformed(&error))?;
        let body = if body == b"null" { Vec::new() } else { body };
        let mut causes = Vec::new();
        let mut interrupted = None;
        for address in &self.addresses {
            let request = ToolRequest {
                method,
                path,
                body: body.clone(),
                key,
            };
            match self.attempt(address, request, WRITE_TIMEOUT).await {
                Ok(answer) => {
                    return serde_json::from_slice(&answer).map_err(|error| malformed(&error));
                }
                Err(AttemptError::Final(error @ ClientError::Interrupted { .. }))
                    if key.is_some() =>
                {
                    interrupted = Some(error);
                }
                Err(AttemptError::Final(error)) => return Err(error),
                Err(AttemptError::Repeatable(cause)) => causes.push(format!("{address}: {cause}")),
            }
        }
        Err(interrupted.unwrap_or(ClientError::Unreachable { causes }))
    }

    async fn attempt(
        &self,
        address: &str,
        request: ToolRequest<'_>,
        timeout: Duration,
    ) -> Result<Bytes, AttemptError> {
        let exchange = self.exchange(address, request);
        match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(elapsed) => Err(interrupted(address, &elapsed)),
        }
    }

    async fn exchange(
        &self,
        address: &str,
        request: ToolRequest<'_>,
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
            .map_err(|error| AttemptError::Repeatable(error.to_string()))?;
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                AttemptError::Repeatable(root_cause(&error))
            } else {
                interrupted(address, &error)
            }
        })?;
        let status = response.status();
        let collected = response.into_body().collect().await;
        let bytes = collected
            .map_err(|error| interrupted(address, &error))?
            .to_bytes();
        if status.is_success() {
            return Ok(bytes);
        }
        let reply = serde_json::from_slice(&bytes).unwrap_or_else(|_| ErrorReply {
            error: format!("the daemon answered {status}"),
            remedy: "see the daemon's log".to_owned(),
            details: Vec::new(),
        });
        Err(AttemptError::Final(ClientError::Rejected { status, reply }))
    }
}

fn interrupted<E: std::error::Error>(address: &str, error: &E) -> AttemptError {
    AttemptError::Final(ClientError::Interrupted {
        address: address.to_owned(),
        message: error.to_string(),
    })
}

fn malformed(error: &serde_json::Error) -> ClientError {
    ClientError::Malformed {
        message: error.to_string(),
    }
}

/// Returns the innermost cause, which names the failed system call.
fn root_cause<E: std::error::Error>(error: &E) -> String {
    let mut cause: &dyn std::error::Error = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
