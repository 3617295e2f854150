//! Requests of operators.

use auburnsaddle_core::ConfigVersion;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::sync::oneshot;

use super::{
    messages::{
        ConfigReply, FrontError, FrontResponse, PublishReply, PublishRequest, StatusReply,
        json_response,
    },
    service::FrontService,
};
use crate::{
    control::ControlEvent,
    publication::{CONFIG_KEY, read_config},
    store::{StoreClient, StoreTxn, TxnOutcome},
};

/// Largest set of objects in bytes; a store value holds 1 MB.
const OBJECTS_LIMIT: usize = 1 << 20;

impl<S: StoreClient> FrontService<S> {
    /// Answers a request of an operator.
    pub(super) async fn handle_admin(
        &self,
        request: Request<Incoming>,
    ) -> Result<FrontResponse, FrontError> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/admin/status") => Ok(self.status()),
            (&Method::GET, "/admin/config") => Ok(self.config()),
            (&Method::POST, "/admin/config") => self.publish(request).await,
            _ => Err(FrontError::new(
                StatusCode::NOT_FOUND,
                "no such path",
                "use GET /admin/status, GET /admin/config or POST /admin/config",
            )),
        }
    }

    fn status(&self) -> FrontResponse {
        let snapshot = self.control.snapshot();
        let own = (snapshot.daemon.clone(), snapshot.config_version);
        let owners = snapshot.owners.iter();
        let reply = StatusReply {
            daemon: snapshot.daemon.clone(),
            versions: snapshot
                .peer_versions
                .clone()
                .into_iter()
                .chain([own])
                .collect(),
            owners: owners
                .map(|(shard, owner)| (shard.to_string(), owner.daemon.clone()))
                .collect(),
        };
        json_response(StatusCode::OK, &reply)
    }

    fn config(&self) -> FrontResponse {
        let snapshot = self.control.snapshot();
        let reply = ConfigReply {
            version: snapshot.config_version,
            objects: snapshot.objects.as_ref().clone(),
        };
        json_response(StatusCode::OK, &reply)
    }

    async fn publish(&self, request: Request<Incoming>) -> Result<FrontResponse, FrontError> {
        let body = Limited::new(request.into_body(), OBJECTS_LIMIT)
            .collect()
            .await;
        let body = body.map_err(|error| {
            let remedy = "send all objects in at most 1 MiB";
            FrontError::new(StatusCode::BAD_REQUEST, &error.to_string(), remedy)
        })?;
        let PublishRequest { base, objects } =
            serde_json::from_slice(&body.to_bytes()).map_err(|error| {
                let remedy = "correct the named field";
                FrontError::new(StatusCode::BAD_REQUEST, &error.to_string(), remedy)
            })?;
        let (reply, receiver) = oneshot::channel();
        self.control
            .send(ControlEvent::Publish {
                base,
                objects,
                reply,
            })
            .await;
        match receiver.await {
            Ok(Ok(transaction)) => self.commit(base, transaction).await,
            Ok(Err(error)) => Err(conflict(&error.to_string())),
            Err(_) => Err(FrontError::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "the daemon is stopping",
                "send the request to another daemon",
            )),
        }
    }

    async fn commit(
        &self,
        base: ConfigVersion,
        transaction: StoreTxn,
    ) -> Result<FrontResponse, FrontError> {
        match self.store.commit(transaction).await {
            Ok(TxnOutcome::Committed) => {
                self.reload().await;
                let reply = PublishReply { version: base + 1 };
                Ok(json_response(StatusCode::OK, &reply))
            }
            Ok(TxnOutcome::Conflict(_)) => Err(conflict("another operator published first")),
            Err(error) => Err(FrontError::new(
                StatusCode::SERVICE_UNAVAILABLE,
                &error.to_string(),
                "see with `auburnsaddle status` whether the version is in force, then apply again",
            )),
        }
    }

    /// Takes the committed configuration in force without waiting for a poll.
    async fn reload(&self) {
        match self.store.read_prefix(CONFIG_KEY).await {
            Ok(entries) => {
                for config in entries.iter().filter_map(read_config) {
                    self.control.send(ControlEvent::ConfigRead(config)).await;
                }
            }
            Err(error) => log::warn!("reading the committed configuration: {error}"),
        }
    }
}

fn conflict(error: &str) -> FrontError {
    let remedy = "read the configuration in force, merge it and apply again";
    FrontError::new(StatusCode::CONFLICT, error, remedy)
}
