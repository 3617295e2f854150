//! HTTP client for the platform's list of hosts.

use std::{future::Future, net::SocketAddr, time::Duration};

use auburnsaddle_core::HostEntry;
use bytes::Bytes;
use http::{HeaderValue, Request, StatusCode, header};
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use snafu::Snafu;

/// Bounds a read of the list, including its transfer.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Bounds the response body that is buffered; a list of 6,200 hosts at about 300
/// bytes each takes less than 2 MB.
const LIST_LIMIT_BYTES: usize = 8 << 20;

/// Failure to read the list of hosts.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Snafu)]
#[snafu(display("reading the list of hosts failed: {message}; check the address in --hosts"))]
pub(crate) struct HostListError {
    message: String,
}

/// Source of the platform's list of hosts.
pub(crate) trait HostSource: Clone + Send + Sync + 'static {
    /// Reads the complete list; returns `None` if it is unchanged since the last
    /// successful read.
    fn read(
        &mut self,
    ) -> impl Future<Output = Result<Option<Vec<HostEntry>>, HostListError>> + Send;
}

/// Reads the list of hosts as JSON over HTTP, with conditional requests.
#[derive(Clone, Debug)]
pub(crate) struct HostClient {
    address: SocketAddr,
    client: Client<HttpConnector, Empty<Bytes>>,
    /// Entity tag of the last list; the server does not send a list again that
    /// still has this tag.
    etag: Option<HeaderValue>,
    /// Body of the last list that was decoded. An equal body is not decoded again,
    /// because decoding is most of the cost of a read and the list seldom changes.
    last_body: Bytes,
}

impl HostClient {
    /// Returns a client that opens its connection on the first read.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: Client::builder(TokioExecutor::new()).build_http(),
            etag: None,
            last_body: Bytes::new(),
        }
    }

    async fn fetch(&mut self) -> Result<Option<Vec<HostEntry>>, String> {
        let mut request = Request::get(format!("http://{}/hosts", self.address));
        if let Some(etag) = &self.etag {
            request = request.header(header::IF_NONE_MATCH, etag);
        }
        let request = request
            .body(Empty::new())
            .map_err(|error| error.to_string())?;
        let response = self
            .client
            .request(request)
            .await
            .map_err(|error| error.to_string())?;
        if response.status() == StatusCode::NOT_MODIFIED && self.etag.is_some() {
            return Ok(None);
        }
        if !response.status().is_success() {
            return Err(format!("status {}", response.status()));
        }
        let etag = response.headers().get(header::ETAG).cloned();
        let body = Limited::new(response.into_body(), LIST_LIMIT_BYTES);
        let bytes = body
            .collect()
            .await
            .map_err(|error| error.to_string())?
            .to_bytes();
        if bytes == self.last_body {
            self.etag = etag;
            return Ok(None);
        }
        let entries = serde_json::from_slice(&bytes).map_err(|error| error.to_string())?;
        // Set only after decoding, so that a malformed list is read and reported
        // again.
        (self.etag, self.last_body) = (etag, bytes);
        Ok(Some(entries))
    }
}

impl HostSource for HostClient {
    async fn read(&mut self) -> Result<Option<Vec<HostEntry>>, HostListError> {
        match tokio::time::timeout(READ_TIMEOUT, self.fetch()).await {
            Ok(Ok(entries)) => Ok(entries),
            Ok(Err(message)) => Err(HostListError { message }),
            Err(_) => Err(HostListError {
                message: "timed out".to_owned(),
            }),
        }
    }
}
