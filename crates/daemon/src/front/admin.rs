//! Handles the requests of operators.

use auburnsaddle_core::{
    ConfigPull, ConfigReply, ConfigUpdate, ConfigVersion, PublishError, PublishReply,
    PublishRequest, StatusReply,
};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::sync::oneshot;

use super::{
    messages::{FrontError, FrontResponse, json_response},
    service::FrontService,
};
use crate::{
    control::ControlEvent,
    publication::{CommitResult, commit_update, fetch_versions},
    store::StoreClient,
};

/// Size limit of the body of a publication, since a store value holds 1 MB.
const MAX_PUBLICATION_BYTES: usize = 1 << 20;

impl<S: StoreClient> FrontService<S> {
    /// Handles a request of an operator.
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

    /// Returns the configuration versions and shard owners known to this daemon.
    fn status(&self) -> FrontResponse {
        let snapshot = self.control.snapshot();
        let own_version = (snapshot.daemon.clone(), snapshot.config_version);
        let owners = snapshot.owners.iter();
        let unavailable = snapshot.unavailable.iter();
        let reply = StatusReply {
            daemon: snapshot.daemon.clone(),
            versions: snapshot
                .peer_versions
                .clone()
                .into_iter()
                .chain([own_version])
                .collect(),
            owners: owners
                .map(|(shard, owner)| (shard.to_string(), owner.daemon.clone()))
                .collect(),
            suspected: snapshot.suspected.clone(),
            unavailable: unavailable
                .map(|(shard, reason)| (shard.to_string(), reason.clone()))
                .collect(),
        };
        json_response(StatusCode::OK, &reply)
    }

    /// Returns the configuration in force.
    fn config(&self) -> FrontResponse {
        let snapshot = self.control.snapshot();
        let reply = ConfigReply {
            version: snapshot.config_version,
            objects: snapshot.objects.as_ref().clone(),
        };
        json_response(StatusCode::OK, &reply)
    }

    /// Commits the objects of a request as the next configuration version.
    async fn publish(&self, request: Request<Incoming>) -> Result<FrontResponse, FrontError> {
        let request = parse_publication(request).await?;
        let base = request.base;
        let update = self.prepare_update(request.clone()).await?;
        match commit_update(&self.store, &update).await {
            CommitResult::Committed => {
                let version = update.head.version;
                self.apply_update(*update).await;
                Ok(json_response(StatusCode::OK, &PublishReply { version }))
            }
            CommitResult::Superseded(head) => {
                let head = head.map_or(base, |head| head.version);
                self.fetch_and_apply(base, head).await;
                // The base is no longer in force, so this fails with a conflict that
                // lists the objects changed since the base.
                match self.prepare_update(request).await {
                    Err(error) => Err(error),
                    Ok(_) => Err(unreadable_version(head)),
                }
            }
            CommitResult::Unknown(error) => Err(FrontError::new(
                StatusCode::SERVICE_UNAVAILABLE,
                &format!("it is not known whether the version was written: {error}"),
                "apply again when the store is back; a version is never published twice",
            )),
        }
    }

    /// Requests the next configuration version from the control thread.
    async fn prepare_update(
        &self,
        request: PublishRequest,
    ) -> Result<Box<ConfigUpdate>, FrontError> {
        let (reply, receiver) = oneshot::channel();
        let event = ControlEvent::Publish {
            base: request.base,
            objects: request.objects,
            reply,
        };
        self.control.send(event).await;
        match receiver.await {
            Ok(prepared) => prepared.map_err(publish_error),
            Err(_) => Err(FrontError::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "the daemon is stopping",
                "send the request to another daemon",
            )),
        }
    }

    /// Applies a committed version at once, without the delay until the next poll.
    async fn apply_update(&self, update: ConfigUpdate) {
        let pull = ConfigPull {
            snapshot: None,
            deltas: vec![update.delta],
        };
        self.control.send(ControlEvent::ConfigFetched(pull)).await;
    }

    /// Reads the versions after `from` from the store and applies them.
    async fn fetch_and_apply(&self, from: ConfigVersion, head: ConfigVersion) {
        match fetch_versions(&self.store, from, head).await {
            Ok(pull) => self.control.send(ControlEvent::ConfigFetched(pull)).await,
            Err(error) => log::warn!("reading configuration version {head}: {error}"),
        }
    }

    /// Returns the configuration versions after `from` for a peer.
    pub(super) async fn pull_config(&self, from: ConfigVersion) -> ConfigPull {
        let (reply, receiver) = oneshot::channel();
        let event = ControlEvent::ConfigPullRequested(from, reply);
        self.control.send(event).await;
        receiver.await.unwrap_or_default()
    }
}

/// Reads and parses the body of a publication.
async fn parse_publication(request: Request<Incoming>) -> Result<PublishRequest, FrontError> {
    let body = Limited::new(request.into_body(), MAX_PUBLICATION_BYTES);
    let body = body.collect().await.map_err(|error| {
        let remedy = "send all objects in at most 1 MiB";
        FrontError::new(StatusCode::BAD_REQUEST, &error.to_string(), remedy)
    })?;
    serde_json::from_slice(&body.to_bytes()).map_err(|error| {
        let remedy = "correct the named field";
        FrontError::new(StatusCode::BAD_REQUEST, &error.to_string(), remedy)
    })
}

/// Returns the error response to a rejected publication.
fn publish_error(error: PublishError) -> FrontError {
    let message = error.to_string();
    match error {
        PublishError::Invalid { problems } => {
            let remedy = "correct the objects and apply again";
            let problems = problems.iter().map(ToString::to_string).collect();
            FrontError::new(StatusCode::UNPROCESSABLE_ENTITY, &message, remedy)
                .with_details(problems)
        }
        PublishError::Conflict { changes, .. } => {
            let remedy = "merge the changes since the base and apply again";
            let changes = changes.iter().map(ToString::to_string).collect();
            FrontError::new(StatusCode::CONFLICT, &message, remedy).with_details(changes)
        }
        _ => {
            let remedy = "there is nothing to do";
            FrontError::new(StatusCode::CONFLICT, &message, remedy)
        }
    }
}

/// Returns the error for a version that was committed first but cannot be read.
fn unreadable_version(version: ConfigVersion) -> FrontError {
    FrontError::new(
        StatusCode::CONFLICT,
        &format!("version {version} was published first, but cannot be read from the store"),
        "apply again; if this stays, see \"A corrupted version\" in docs/OPERATIONS.md",
    )
}
