//! HTTP/2 client for requests to other daemons.

use std::{
    collections::BTreeMap,
    fmt::Display,
    io::ErrorKind,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use h2::{SendStream, client::SendRequest};
use http::Request;
use tokio::net::TcpStream;

use super::{
    codec::{decode, encode, read_body},
    messages::{PeerError, PeerReply, PeerRequest, REQUEST_ID_HEADER},
    traffic::{CountedStream, PeerTraffic},
};
use crate::telemetry::{current_request_id, format_request_id};

/// Bounds the TCP connect and the HTTP/2 handshake; the round trip between zones
/// takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Connections and heartbeat streams, at most one of each per peer address.
#[derive(Debug, Default)]
struct PeerStreams {
    connections: BTreeMap<SocketAddr, SendRequest<Bytes>>,
    heartbeat_streams: BTreeMap<SocketAddr, SendStream<Bytes>>,
}

/// Sends requests to other daemons over one shared connection per peer.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerClient {
    peer_streams: Arc<Mutex<PeerStreams>>,
    traffic: PeerTraffic,
}

impl PeerClient {
    /// Sends a request and waits for its reply.
    ///
    /// Dropping the future resets the stream, which cancels the request at the
    /// peer.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::Unreachable`] or [`PeerError::Refused`] if nothing
    /// was sent, and [`PeerError::Interrupted`] if the peer may have acted on
    /// the request.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        message: &PeerRequest,
    ) -> Result<PeerReply, PeerError> {
        decode(&self.send_encoded(address, encode(message)?).await?)
    }

    /// Sends an encoded request and waits for its encoded reply.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Self::send`].
    pub(super) async fn send_encoded(
        &self,
        address: SocketAddr,
        body: Bytes,
    ) -> Result<Bytes, PeerError> {
        let mut sender = self.get_or_connect(address).await?;
        let mut request = Request::post("/");
        if let Some(id) = current_request_id() {
            request = request.header(REQUEST_ID_HEADER, format_request_id(id));
        }
        let request = request
            .body(())
            .expect("a constant path and hexadecimal digits are valid");
        let (response, mut stream) = match sender.send_request(request, false) {
            Ok(streams) => streams,
            Err(error) => {
                self.remove_connection(address);
                return Err(unreachable_error(address, &error));
            }
        };
        let exchange = async {
            stream.send_data(body, true)?;
            response.await
        };
        match exchange.await {
            Ok(response) => read_body(response.into_body()).await,
            Err(error) => {
                self.remove_connection(address);
                Err(PeerError::Interrupted {
                    message: error.to_string(),
                })
            }
        }
    }

    /// Returns the counters of bytes and heartbeats sent, which all clones of
    /// this client share.
    pub(crate) const fn traffic(&self) -> &PeerTraffic {
        &self.traffic
    }

    /// Returns the open connection to a peer, or opens one.
    pub(super) async fn get_or_connect(
        &self,
        address: SocketAddr,
    ) -> Result<SendRequest<Bytes>, PeerError> {
        let existing = self.lock_streams().connections.get(&address).cloned();
        if let Some(sender) = existing {
            match sender.ready().await {
                Ok(sender) => return Ok(sender),
                Err(_) => self.remove_connection(address),
            }
        }
        let connecting =
            tokio::time::timeout(CONNECT_TIMEOUT, connect(address, self.traffic.clone()));
        let sender = match connecting.await {
            Ok(connected) => connected?,
            Err(elapsed) => return Err(unreachable_error(address, &elapsed)),
        };
        self.lock_streams()
            .connections
            .insert(address, sender.clone());
        sender
            .ready()
            .await
            .map_err(|error| unreachable_error(address, &error))
    }

    /// Removes the connection to a peer, so that the next request opens a new
    /// one. Open streams on the old connection are not closed.
    pub(super) fn remove_connection(&self, address: SocketAddr) {
        self.lock_streams().connections.remove(&address);
    }

    /// Removes and returns the open heartbeat stream to a peer.
    pub(super) fn take_heartbeat_stream(&self, address: SocketAddr) -> Option<SendStream<Bytes>> {
        self.lock_streams().heartbeat_streams.remove(&address)
    }

    /// Stores the heartbeat stream to a peer for its next heartbeat.
    pub(super) fn keep_heartbeat_stream(&self, address: SocketAddr, stream: SendStream<Bytes>) {
        self.lock_streams()
            .heartbeat_streams
            .insert(address, stream);
    }

    fn lock_streams(&self) -> std::sync::MutexGuard<'_, PeerStreams> {
        self.peer_streams
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

async fn connect(
    address: SocketAddr,
    traffic: PeerTraffic,
) -> Result<SendRequest<Bytes>, PeerError> {
    let stream = match TcpStream::connect(address).await {
        Ok(stream) => stream,
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
            return Err(PeerError::Refused {
                address: address.to_string(),
            });
        }
        Err(error) => return Err(unreachable_error(address, &error)),
    };
    stream
        .set_nodelay(true)
        .map_err(|error| unreachable_error(address, &error))?;
    let (sender, connection) = h2::client::handshake(CountedStream::new(stream, traffic))
        .await
        .map_err(|error| unreachable_error(address, &error))?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to peer {address} ended: {error}");
        }
    });
    Ok(sender)
}

pub(super) fn unreachable_error<A: Display, E: Display>(address: A, error: &E) -> PeerError {
    PeerError::Unreachable {
        address: address.to_string(),
        message: error.to_string(),
    }
}
