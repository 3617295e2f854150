//! The store's HTTP client.

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
        CoordinationClient, LeaseId, StoreClient, StoreEntry, StoreError, StoreRange, StoreReading,
        StoreRevision, StoreTxn, TxnOutcome,
    },
    watch::HttpWatch,
    watch_wire::{GrantRequest, LeaseReply, LeaseRequest, StreamItem, watch_body},
    wire::{RangeReply, RangeRequest, TxnReply, TxnRequest},
};
use crate::telemetry::ProcessClock;

/// Time after which a call counts as failed; the store answers in milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest answer that is read: sixteen values of 1 MB in base64.
const ANSWER_LIMIT: usize = 24 << 20;

/// A store reached over HTTP.
#[derive(Clone, Debug)]
pub(crate) struct HttpStore {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
    clock: ProcessClock,
    limits: Arc<Mutex<RateLimits>>,
    counts: Arc<StoreCounts>,
}

impl HttpStore {
    /// Returns a client that connects on first use.
    pub(crate) fn new(address: SocketAddr, rates: StoreRates) -> Self {
        Self {
            address,
            client: Client::builder(TokioExecutor::new()).build_http(),
            clock: ProcessClock::start(),
            limits: Arc::new(Mutex::new(RateLimits::new(rates))),
            counts: Arc::default(),
        }
    }

    /// Returns the counters of the calls made.
    pub(crate) fn counts(&self) -> Arc<StoreCounts> {
        Arc::clone(&self.counts)
    }

    /// Waits until the rate permits the call.
    async fn book(&self, kind: StoreCallKind) {
        let wait = self
            .limits
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .book(kind, self.clock.now());
        tokio::time::sleep(wait).await;
        self.counts.note(kind);
    }

    async fn call<Q, R>(&self, kind: StoreCallKind, path: &str, query: &Q) -> Result<R, StoreError>
    where
        Q: Serialize + Sync,
        R: DeserializeOwned,
    {
        let body = encode(query)?;
        self.book(kind).await;
        let exchange = async {
            let response = self.send(path, body).await?;
            let body = Limited::new(response.into_body(), ANSWER_LIMIT);
            body.collect().await.map_err(|error| unavailable(&error))
        };
        let collected = tokio::time::timeout(CALL_TIMEOUT, exchange)
            .await
            .map_err(|_| unavailable(&"timed out"))??;
        serde_json::from_slice(&collected.to_bytes()).map_err(|error| malformed(&error))
    }

    /// Sends a request and waits for the head of its response.
    async fn send(&self, path: &str, body: Vec<u8>) -> Result<Response<Incoming>, StoreError> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{path}", self.address))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| unavailable(&error))?;
        let response = self
            .client
            .request(request)
            .await
            .map_err(|error| unavailable(&error))?;
        if response.status().is_success() {
            Ok(response)
        } else {
            Err(unavailable(&format!("status {}", response.status())))
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

    async fn read_ranges(&self, ranges: &[StoreRange]) -> Result<StoreReading, StoreError> {
        let request = TxnRequest::read(ranges);
        let reply: TxnReply = self
            .call(StoreCallKind::Read, "/v3/kv/txn", &request)
            .await?;
        reply.into_reading()
    }

    async fn watch(
        &self,
        ranges: &[StoreRange],
        start: StoreRevision,
    ) -> Result<HttpWatch, StoreError> {
        let body = watch_body(ranges, start).map_err(|error| malformed(&error))?;
        self.book(StoreCallKind::Watch).await;
        // Only the head has a time limit; the body lasts as long as the watch.
        match tokio::time::timeout(CALL_TIMEOUT, self.send("/v3/watch", body)).await {
            Ok(response) => Ok(HttpWatch::new(response?.into_body())),
            Err(_) => Err(unavailable(&"timed out")),
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

    fn set_daemon_count(&self, daemons: u32) {
        let limits = self.limits.lock();
        limits
            .unwrap_or_else(PoisonError::into_inner)
            .set_daemon_count(daemons);
    }
}

fn encode<Q: Serialize>(query: &Q) -> Result<Vec<u8>, StoreError> {
    serde_json::to_vec(query).map_err(|error| malformed(&error))
}

fn unavailable<E: ToString + ?Sized>(cause: &E) -> StoreError {
    StoreError::Unavailable {
        message: cause.to_string(),
    }
}

fn malformed(error: &serde_json::Error) -> StoreError {
    StoreError::Malformed {
        message: error.to_string(),
    }
}
