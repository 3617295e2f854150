//! HTTP/2 server for requests from other daemons.

use std::future::{Future, poll_fn};

use bytes::Bytes;
use h2::{Reason, RecvStream, server::SendResponse};
use http::{Request, Response};
use tokio::net::{TcpListener, TcpStream};

use super::{
    codec::{decode, encode, read_body},
    heartbeats::{HEARTBEAT_PATH, serve_heartbeats},
    messages::{PeerError, PeerReply, PeerRequest, REQUEST_ID_HEADER},
    traffic::{CountedStream, PeerTraffic},
};
use crate::telemetry::{parse_request_id, trace_request};

/// Handles the requests of other daemons.
pub(crate) trait PeerHandler: Clone + Send + Sync + 'static {
    /// Returns the reply to a request. The future is dropped if the peer resets
    /// the stream.
    fn handle(&self, request: PeerRequest) -> impl Future<Output = PeerReply> + Send;
}

/// Accepts and serves connections from other daemons until the task is aborted.
pub(crate) async fn serve_peers<H: PeerHandler>(
    listener: TcpListener,
    handler: H,
    traffic: PeerTraffic,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, handler.clone(), traffic.clone()));
            }
            Err(error) => {
                log::warn!("accepting a peer connection failed: {error}");
                // A lack of file descriptors, for example, persists for a while;
                // retrying at once would only use processor time.
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve_connection<H: PeerHandler>(stream: TcpStream, handler: H, traffic: PeerTraffic) {
    // Nagle's algorithm would hold back a small reply until the peer's delayed
    // acknowledgement.
    let _ = stream.set_nodelay(true);
    let stream = CountedStream::new(stream, traffic);
    let mut connection = match h2::server::handshake(stream).await {
        Ok(connection) => connection,
        Err(error) => {
            log::debug!("peer handshake failed: {error}");
            return;
        }
    };
    while let Some(accepted) = connection.accept().await {
        match accepted {
            Ok((request, response_sender)) => {
                tokio::spawn(serve_stream(request, response_sender, handler.clone()));
            }
            Err(error) => {
                log::debug!("peer connection ended: {error}");
                return;
            }
        }
    }
}

async fn serve_stream<H: PeerHandler>(
    request: Request<RecvStream>,
    mut response_sender: SendResponse<Bytes>,
    handler: H,
) {
    if request.uri().path() == HEARTBEAT_PATH {
        if let Err(error) = serve_heartbeats(request.into_body(), handler).await {
            log::warn!("heartbeat stream of a peer rejected: {error}");
            response_sender.send_reset(Reason::PROTOCOL_ERROR);
        }
        return;
    }
    let header = request.headers().get(REQUEST_ID_HEADER);
    let id = header.and_then(|value| parse_request_id(value.to_str().ok()?));
    let message = match read_body(request.into_body())
        .await
        .and_then(|body| decode(&body))
    {
        Ok(message) => message,
        Err(error) => {
            log::warn!("peer request rejected: {error}");
            response_sender.send_reset(Reason::PROTOCOL_ERROR);
            return;
        }
    };
    let answering = async {
        match id {
            Some(id) => trace_request(id, handler.handle(message)).await,
            None => handler.handle(message).await,
        }
    };
    let reply = tokio::select! {
        reply = answering => reply,
        _ = poll_fn(|context| response_sender.poll_reset(context)) => return,
    };
    if let Err(error) = send_reply(&mut response_sender, &reply) {
        log::debug!("peer reply was not sent: {error}");
    }
}

fn send_reply(
    response_sender: &mut SendResponse<Bytes>,
    reply: &PeerReply,
) -> Result<(), PeerError> {
    let body = encode(reply)?;
    let sent = response_sender
        .send_response(Response::new(()), false)
        .and_then(|mut stream| stream.send_data(body, true));
    sent.map_err(|error| PeerError::Interrupted {
        message: error.to_string(),
    })
}
