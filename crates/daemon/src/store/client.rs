//! HTTP client of the key-value store.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{Method, Request, Response, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Serialize, de::DeserializeOwned};

use super::{
    limits::{RateLimits, StoreCallKind, StoreCounts, StoreRates},
    messages::{
        CoordinationClient, LeaseId, StoreClient, StoreEntry, StoreError, StoreRange,
        StoreRevision, StoreSnapshot, StoreTxn, TxnOutcome,
    },
    watch::HttpWatch,
    watch_wire::{GrantRequest, LeaseReply, LeaseRequest, StreamItem, encode_watch_request},
    wire::{RangeReply, RangeRequest, TxnReply, TxnRequest},
};
use crate::telemetry::ProcessClock;

/// Bounds a unary call and the wait for the response head of a watch; the store
/// normally answers within milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Bounds the response body that is buffered: sixteen values of 1 MB in base64.
const RESPONSE_LIMIT_BYTES: usize = 24 << 20;

/// Calls the store over HTTP at a limited rate.
#[derive(Clone, Debug)]
pub(crate) struct HttpStore {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
    clock: ProcessClock,
    limits: Arc<Mutex<RateLimits>>,
    counts: Arc<StoreCounts>,
}

impl HttpStore {
    /// Returns a client that opens its connection on the first call.
    pub(crate) fn new(address: SocketAddr, rates: StoreRates) -> Self {
        Self {
            address,
            client: Client::builder(TokioExecutor::new()).build_http(),
            clock: ProcessClock::start(),
            limits: Arc::new(Mutex::new(RateLimits::new(rates))),
            counts: Arc::default(),
        }
    }

    /// Returns the call counters, which all clones of this client share.
    pub(crate) fn counts(&self) -> Arc<StoreCounts> {
        Arc::clone(&self.counts)
    }

    /// Waits until the rate limit permits the call, then counts it.
    async fn wait_for_rate(&self, kind: StoreCallKind) {
        let wait = self
            .limits
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .reserve(kind, self.clock.now());
        tokio::time::sleep(wait).await;
        self.counts.record(kind);
    }

    /// Sends a request as JSON at the limited rate and decodes the response.
    async fn call<Q, R>(
        &self,
        kind: StoreCallKind,
        path: &str,
        payload: &Q,
    ) -> Result<R, StoreError>
    where
        Q: Serialize + Sync,
        R: DeserializeOwned,
    {
        let body = encode_json(payload)?;
        self.wait_for_rate(kind).await;
        let exchange = async {
            let response = self.send(path, body).await?;
            let body = Limited::new(response.into_body(), RESPONSE_LIMIT_BYTES);
            body.collect()
                .await
                .map_err(|error| unavailable_error(&error))
        };
        let collected = tokio::time::timeout(CALL_TIMEOUT, exchange)
            .await
            .map_err(|_| unavailable_error(&"timed out"))??;
        serde_json::from_slice(&collected.to_bytes()).map_err(|error| malformed_error(&error))
    }

    /// Sends a request and returns its response once the head has arrived;
    /// any status other than 2xx is an error.
    async fn send(&self, path: &str, body: Vec<u8>) -> Result<Response<Incoming>, StoreError> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{path}", self.address))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| unavailable_error(&error))?;
        let response = self
            .client
            .request(request)
            .await
            .map_err(|error| unavailable_error(&error))?;
        if response.status().is_success() {
            Ok(response)
        } else {
            Err(unavailable_error(&format!("status {}", response.status())))
        }
    }
}

impl StoreClient for HttpStore {
    async fn read_prefix(&self, prefix: &str) -> Result<Vec<StoreEntry>, StoreError> {
        let range = RangeRequest::prefix(prefix);
        let reply: RangeReply = self
            .call(StoreCallKind::Read, "/v3/kv/range", &range)
            .await?;
        reply.into_entries()
    }

    async fn commit(&self, transaction: StoreTxn) -> Result<TxnOutcome, StoreError> {
        let request = TxnRequest::from(transaction);
        let reply: TxnReply = self
            .call(StoreCallKind::Write, "/v3/kv/txn", &request)
            .await?;
        if reply.succeeded {
            return Ok(TxnOutcome::Committed);
        }
        Ok(TxnOutcome::Conflict(reply.into_entries()?))
    }
}

impl CoordinationClient for HttpStore {
    type Watch = HttpWatch;

    async fn read_ranges(&self, ranges: &[StoreRange]) -> Result<StoreSnapshot, StoreError> {
        let request = TxnRequest::read(ranges);
        let reply: TxnReply = self
            .call(StoreCallKind::Read, "/v3/kv/txn", &request)
            .await?;
        reply.into_snapshot()
    }

    async fn watch(
        &self,
        ranges: &[StoreRange],
        start: StoreRevision,
    ) -> Result<HttpWatch, StoreError> {
        let body = encode_watch_request(ranges, start).map_err(|error| malformed_error(&error))?;
        self.wait_for_rate(StoreCallKind::Watch).await;
        // The timeout covers the head only: the body stays open for the
        // lifetime of the watch.
        match tokio::time::timeout(CALL_TIMEOUT, self.send("/v3/watch", body)).await {
            Ok(response) => Ok(HttpWatch::new(response?.into_body())),
            Err(_) => Err(unavailable_error(&"timed out")),
        }
    }

    async fn grant_lease(&self, duration: Duration) -> Result<LeaseId, StoreError> {
        let request = GrantRequest::new(duration.as_secs());
        let reply: LeaseReply = self
            .call(StoreCallKind::Lease, "/v3/lease/grant", &request)
            .await?;
        reply.lease()
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<bool, StoreError> {
        let request = LeaseRequest::new(lease);
        let item: StreamItem<LeaseReply> = self
            .call(StoreCallKind::Lease, "/v3/lease/keepalive", &request)
            .await?;
        item.result.is_alive()
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let request = LeaseRequest::new(lease);
        let _: LeaseReply = self
            .call(StoreCallKind::Lease, "/v3/lease/revoke", &request)
            .await?;
        Ok(())
    }

    fn set_daemon_count(&self, daemon_count: u32) {
        let limits = self.limits.lock();
        limits
            .unwrap_or_else(PoisonError::into_inner)
            .set_daemon_count(daemon_count);
    }
}

fn encode_json<Q: Serialize>(payload: &Q) -> Result<Vec<u8>, StoreError> {
    serde_json::to_vec(payload).map_err(|error| malformed_error(&error))
}

fn unavailable_error<E: ToString + ?Sized>(cause: &E) -> StoreError {
    StoreError::Unavailable {
        message: cause.to_string(),
    }
}

fn malformed_error(error: &serde_json::Error) -> StoreError {
    StoreError::Malformed {
        message: error.to_string(),
    }
}
