//! The list's HTTP client.

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

/// Time after which a reading counts as failed.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest list in bytes: 6,200 hosts at about 300 bytes, with room to spare.
const LIST_LIMIT: usize = 8 << 20;

/// A list of hosts that could not be read.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Snafu)]
#[snafu(display("reading the list of hosts failed: {message}; check the address in --hosts"))]
pub(crate) struct HostListError {
    message: String,
}

/// Where the list of hosts comes from.
pub(crate) trait HostSource: Clone + Send + Sync + 'static {
    /// Reads the whole list; `None` if it is the same as at the last reading.
    fn read(
        &mut self,
    ) -> impl Future<Output = Result<Option<Vec<HostEntry>>, HostListError>> + Send;
}

/// A list of hosts served over HTTP as JSON.
#[derive(Clone, Debug)]
pub(crate) struct HostClient {
    address: SocketAddr,
    client: Client<HttpConnector, Empty<Bytes>>,
    /// The tag of the last list, with which the server leaves out the same
    /// list.
    tag: Option<HeaderValue>,
    /// The last list that was decoded. Decoding is most of the cost of a
    /// reading, and the list seldom changes between two readings.
    last: Bytes,
}

impl HostClient {
    /// Returns a client that connects on first use.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: Client::builder(TokioExecutor::new()).build_http(),
            tag: None,
            last: Bytes::new(),
        }
    }

    async fn fetch(&mut self) -> Result<Option<Vec<HostEntry>>, String> {
        let mut request = Request::get(format!("http://{}/hosts", self.address));
        if let Some(tag) = &self.tag {
            request = request.header(header::IF_NONE_MATCH, tag);
        }
        let request = request
            .body(Empty::new())
            .map_err(|error| error.to_string())?;
        let response = self
            .client
            .request(request)
            .await
            .map_err(|error| error.to_string())?;
        if response.status() == StatusCode::NOT_MODIFIED && self.tag.is_some() {
            return Ok(None);
        }
        if !response.status().is_success() {
            return Err(format!("status {}", response.status()));
        }
        let tag = response.headers().get(header::ETAG).cloned();
        let body = Limited::new(response.into_body(), LIST_LIMIT);
        let bytes = body
            .collect()
            .await
            .map_err(|error| error.to_string())?
            .to_bytes();
        if bytes == self.last {
            self.tag = tag;
            return Ok(None);
        }
        let entries = serde_json::from_slice(&bytes).map_err(|error| error.to_string())?;
        // A list that cannot be decoded is read and reported again.
        (self.tag, self.last) = (tag, bytes);
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
