//! HTTP requests to a daemon.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::Value;
use snafu::Snafu;

/// A request that a daemon did not answer with success.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub(crate) enum ClientError {
    /// The daemon was not reached.
    #[snafu(display("{address} did not answer: {message}; name a running daemon in --daemon"))]
    Unreachable {
        /// The daemon's address.
        address: String,
        /// The cause.
        message: String,
    },
    /// The daemon rejected the request.
    #[snafu(display("{message}"))]
    Rejected {
        /// The daemon's error and remedy.
        message: String,
    },
}

/// Sends requests to one daemon.
pub(crate) struct DaemonClient {
    address: String,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl DaemonClient {
    /// Returns a client that connects on first use.
    pub(crate) fn new(address: String) -> Self {
        Self {
            address,
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Sends a request with a JSON body and returns the JSON answer.
    pub(crate) async fn send(
        &self,
        method: Method,
        path: &str,
        body: &Value,
    ) -> Result<Value, ClientError> {
        let body = if body.is_null() {
            String::new()
        } else {
            body.to_string()
        };
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| self.unreachable(&error))?;
        let response = self
            .client
            .request(request)
            .await
            .map_err(|error| self.unreachable(&error))?;
        let status = response.status();
        let collected = response
            .into_body()
            .collect()
            .await
            .map_err(|error| self.unreachable(&error))?;
        let value = serde_json::from_slice(&collected.to_bytes()).unwrap_or_default();
        if status.is_success() {
            return Ok(value);
        }
        Err(ClientError::Rejected {
            message: rejection(&value),
        })
    }

    fn unreachable<E: std::error::Error>(&self, error: &E) -> ClientError {
        ClientError::Unreachable {
            address: self.address.clone(),
            message: error.to_string(),
        }
    }
}

fn rejection(value: &Value) -> String {
    let field = |name| value.get(name).and_then(Value::as_str).unwrap_or_default();
    format!("{}; {}", field("error"), field("remedy"))
}
