//! Requests of callers and peers.

use std::{convert::Infallible, time::Duration};

use auburnsaddle_core::{CallOutcome, ServiceSpec};
use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo},
    server::conn::auto,
};
use tokio::net::{TcpListener, TcpStream};

use super::{
    body::FrontBody,
    messages::{FrontError, FrontResponse, not_run_response, unknown_response},
};
use crate::{
    calls::{CallCommand, CallDispatcher, CallHead},
    control::{ControlEvent, ControlHandle},
    peers::{PeerHandler, PeerReply, PeerRequest},
    store::StoreClient,
};

const SERVICE_PREFIX: &str = "/v1/services/";

/// Serves callers, operators and peers.
#[derive(Clone, Debug)]
pub(crate) struct FrontService<S> {
    pub(super) control: ControlHandle,
    dispatcher: CallDispatcher,
    pub(super) store: S,
}

impl<S: StoreClient> FrontService<S> {
    /// Returns the service of a daemon.
    pub(crate) const fn new(control: ControlHandle, dispatcher: CallDispatcher, store: S) -> Self {
        Self {
            control,
            dispatcher,
            store,
        }
    }

    async fn handle_request(&self, request: Request<Incoming>) -> FrontResponse {
        let path = request.uri().path().to_owned();
        let result = match path.as_str() {
            path if path.starts_with(SERVICE_PREFIX) => self.handle_call(request).await,
            path if path.starts_with("/admin/") => self.handle_admin(request).await,
            _ => Err(FrontError::new(
                StatusCode::NOT_FOUND,
                "no such path",
                "use /v1/services/SERVICE/PATH or /admin/status",
            )),
        };
        result.unwrap_or_else(FrontResponse::from)
    }

    async fn handle_call(&self, request: Request<Incoming>) -> Result<FrontResponse, FrontError> {
        let snapshot = self.control.snapshot();
        let target = request
            .uri()
            .path_and_query()
            .map_or("", |path| path.as_str());
        let (name, path) = split_target(target);
        let service = snapshot.objects.services.get(name).ok_or_else(|| {
            FrontError::new(
                StatusCode::NOT_FOUND,
                &format!("service `{name}` is not defined"),
                "correct the name, or apply a configuration that defines the service",
            )
        })?;
        let (parts, body) = request.into_parts();
        let remaining = deadline(&parts.headers, service)?;
        let head = CallHead {
            request: rand::random(),
            team: header_text(&parts.headers, "auburnsaddle-team").map(Into::into),
            urgency: None,
            remaining,
            method: parts.method,
            path,
            headers: forwarded_headers(&parts.headers),
            body: read_limited(body, service).await?,
        };
        Ok(match self.dispatcher.dispatch(service, head).await {
            CallOutcome::Completed(reply) => reply.map(|body| FrontBody::Relay(Box::new(body))),
            CallOutcome::NotRun(reason) => not_run_response(reason),
            CallOutcome::Unknown(reason) => unknown_response(reason),
        })
    }
}

impl<S: StoreClient> PeerHandler for FrontService<S> {
    async fn handle(&self, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::Heartbeat(heartbeat) => {
                self.control.send(ControlEvent::Heartbeat(heartbeat)).await;
                PeerReply::Noted
            }
            PeerRequest::RequestSlot(shard, call) => {
                PeerReply::Slot(self.dispatcher.queue_call(shard, call).await)
            }
            PeerRequest::ReturnSlot(shard, epoch, grant, result) => {
                let command = CallCommand::Return {
                    shard,
                    epoch,
                    grant,
                    result,
                };
                self.control.send(ControlEvent::Calls(command)).await;
                PeerReply::Noted
            }
            PeerRequest::PullConfig(from) => PeerReply::Config(self.pull_config(from).await),
        }
    }
}

/// Accepts connections of callers and operators until the task is aborted.
pub(crate) async fn serve_front<S: StoreClient>(listener: TcpListener, service: FrontService<S>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, service.clone()));
            }
            Err(error) => {
                log::warn!("accepting a connection failed: {error}");
                // Out of file descriptors, for one, does not end at once.
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve_connection<S: StoreClient>(stream: TcpStream, service: FrontService<S>) {
    // Without the option a small answer would wait for a delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let service = service.clone();
        async move { Ok::<_, Infallible>(service.handle_request(request).await) }
    });
    let builder = auto::Builder::new(TokioExecutor::new());
    if let Err(error) = builder
        .serve_connection(TokioIo::new(stream), service)
        .await
    {
        log::debug!("a caller's connection ended: {error}");
    }
}

/// Splits `/v1/services/NAME/PATH` into the name and the path for the runner.
fn split_target(target: &str) -> (&str, String) {
    let rest = target.strip_prefix(SERVICE_PREFIX).unwrap_or_default();
    match rest.split_once('/') {
        Some((name, path)) => (name, format!("/{path}")),
        None => (rest, "/".to_owned()),
    }
}

async fn read_limited(body: Incoming, service: &ServiceSpec) -> Result<Bytes, FrontError> {
    let limit = usize::try_from(service.max_body_bytes).unwrap_or(usize::MAX);
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(FrontError::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            &format!("the body is over {limit} bytes"),
            "send a smaller body, or raise max_body_bytes of the service",
        )),
        Err(_) => Err(FrontError::new(
            StatusCode::BAD_REQUEST,
            "the body broke off",
            "send the request again with its whole body",
        )),
    }
}

fn deadline(headers: &HeaderMap, service: &ServiceSpec) -> Result<Duration, FrontError> {
    match header_text(headers, "auburnsaddle-deadline-ms").map(str::parse) {
        None => Ok(service.deadline()),
        Some(Ok(milliseconds)) => Ok(Duration::from_millis(milliseconds)),
        Some(Err(_)) => Err(FrontError::new(
            StatusCode::BAD_REQUEST,
            "Auburnsaddle-Deadline-Ms is not a whole number",
            "send the time left in milliseconds",
        )),
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Returns the headers for the runner, without those of the connection.
fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    const CONNECTION_HEADERS: [&str; 7] = [
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "te",
        "transfer-encoding",
        "upgrade",
    ];
    let mut forwarded = headers.clone();
    for name in CONNECTION_HEADERS {
        forwarded.remove(name);
    }
    forwarded
}
