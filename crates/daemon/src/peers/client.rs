//! Connections to other daemons.

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
    messages::{PeerError, PeerReply, PeerRequest, REQUEST_HEADER},
    traffic::{CountedStream, PeerTraffic},
};
use crate::telemetry::{current_request_id, format_request_id};

/// Time to establish a connection; zones are a few milliseconds apart.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// What is open to the peers.
#[derive(Debug, Default)]
struct OpenPeers {
    connections: BTreeMap<SocketAddr, SendRequest<Bytes>>,
    heartbeats: BTreeMap<SocketAddr, SendStream<Bytes>>,
}

/// Sends requests to other daemons, over one connection to each.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerClient {
    open: Arc<Mutex<OpenPeers>>,
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
    /// Returns [`PeerError::Unreachable`] if nothing was sent, and
    /// [`PeerError::Interrupted`] if the peer may have acted on the request.
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
    /// Returns the same as [`Self::send`].
    pub(super) async fn send_encoded(
        &self,
        address: SocketAddr,
        body: Bytes,
    ) -> Result<Bytes, PeerError> {
        let mut sender = self.connection(address).await?;
        let mut request = Request::post("/");
        if let Some(id) = current_request_id() {
            request = request.header(REQUEST_HEADER, format_request_id(id));
        }
        let request = request
            .body(())
            .expect("a constant path and hexadecimal digits are valid");
        let (response, mut stream) = match sender.send_request(request, false) {
            Ok(streams) => streams,
            Err(error) => {
                self.forget(address);
                return Err(unreachable(address, &error));
            }
        };
        let exchange = async {
            stream.send_data(body, true)?;
            response.await
        };
        match exchange.await {
            Ok(response) => read_body(response.into_body()).await,
            Err(error) => {
                self.forget(address);
                Err(PeerError::Interrupted {
                    message: error.to_string(),
                })
            }
        }
    }

    /// Returns the counters of what is written to peers.
    pub(crate) const fn traffic(&self) -> &PeerTraffic {
        &self.traffic
    }

    /// Returns a usable connection, a new one if there is none.
    pub(super) async fn connection(
        &self,
        address: SocketAddr,
    ) -> Result<SendRequest<Bytes>, PeerError> {
        let known = self.lock().connections.get(&address).cloned();
        if let Some(sender) = known {
            match sender.ready().await {
                Ok(sender) => return Ok(sender),
                Err(_) => self.forget(address),
            }
        }
        let connecting =
            tokio::time::timeout(CONNECT_TIMEOUT, connect(address, self.traffic.clone()));
        let sender = match connecting.await {
            Ok(connected) => connected?,
            Err(elapsed) => return Err(unreachable(address, &elapsed)),
        };
        self.lock().connections.insert(address, sender.clone());
        sender
            .ready()
            .await
            .map_err(|error| unreachable(address, &error))
    }

    /// Has the next request open a new connection; the streams on the present
    /// one go on until they end.
    pub(super) fn forget(&self, address: SocketAddr) {
        self.lock().connections.remove(&address);
    }

    /// Takes the heartbeat stream to a peer.
    pub(super) fn take_stream(&self, address: SocketAddr) -> Option<SendStream<Bytes>> {
        self.lock().heartbeats.remove(&address)
    }

    /// Keeps the heartbeat stream to a peer for the next heartbeat.
    pub(super) fn keep_stream(&self, address: SocketAddr, stream: SendStream<Bytes>) {
        self.lock().heartbeats.insert(address, stream);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, OpenPeers> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
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
        Err(error) => return Err(unreachable(address, &error)),
    };
    stream
        .set_nodelay(true)
        .map_err(|error| unreachable(address, &error))?;
    let (sender, connection) = h2::client::handshake(CountedStream::new(stream, traffic))
        .await
        .map_err(|error| unreachable(address, &error))?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to peer {address} ended: {error}");
        }
    });
    Ok(sender)
}

pub(super) fn unreachable<A: Display, E: Display>(address: A, error: &E) -> PeerError {
    PeerError::Unreachable {
        address: address.to_string(),
        message: error.to_string(),
    }
}
