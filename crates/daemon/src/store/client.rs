//! The store's HTTP client.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Serialize, de::DeserializeOwned};

use super::{
    messages::{StoreClient, StoreEntry, StoreError, StoreTxn, TxnOutcome},
    wire::{RangeReply, RangeRequest, TxnReply, TxnRequest},
};

/// Time after which a call counts as failed; the store answers in milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest answer that is read: sixteen values of 1 MB in base64.
const ANSWER_LIMIT: usize = 24 << 20;

/// A store reached over HTTP.
#[derive(Clone, Debug)]
pub(crate) struct HttpStore {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpStore {
    /// Returns a client that connects on first use.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    async fn call<Q, R>(&self, path: &str, query: &Q) -> Result<R, StoreError>
    where
        Q: Serialize + Sync,
        R: DeserializeOwned,
    {
        let exchange = self.exchange(path, query);
        match tokio::time::timeout(CALL_TIMEOUT, exchange).await {
            Ok(Ok(body)) => serde_json::from_slice(&body).map_err(|error| StoreError::Malformed {
                message: error.to_string(),
            }),
            Ok(Err(message)) => Err(StoreError::Unavailable { message }),
            Err(_) => Err(StoreError::Unavailable {
                message: "timed out".to_owned(),
            }),
        }
    }

    async fn exchange<Q>(&self, path: &str, query: &Q) -> Result<Bytes, String>
    where
        Q: Serialize + Sync,
    {
        let body = serde_json::to_vec(query).map_err(|error| error.to_string())?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{path}", self.address))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| error.to_string())?;
        let response = self
            .client
            .request(request)
            .await
            .map_err(|error| error.to_string())?;
        if !response.status().is_success() {
            return Err(format!("status {}", response.status()));
        }
        let body = Limited::new(response.into_body(), ANSWER_LIMIT);
        let collected = body.collect().await.map_err(|error| error.to_string())?;
        Ok(collected.to_bytes())
    }
}

impl StoreClient for HttpStore {
    async fn read_prefix(&self, prefix: &str) -> Result<Vec<StoreEntry>, StoreError> {
        let reply: RangeReply = self
            .call("/v3/kv/range", &RangeRequest::prefix(prefix))
            .await?;
        reply.into_entries()
    }

    async fn commit(&self, transaction: StoreTxn) -> Result<TxnOutcome, StoreError> {
        let reply: TxnReply = self
            .call("/v3/kv/txn", &TxnRequest::from(transaction))
            .await?;
        if reply.succeeded {
            return Ok(TxnOutcome::Committed);
        }
        Ok(TxnOutcome::Conflict(reply.into_entries()?))
    }
}
