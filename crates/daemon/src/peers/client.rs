//! Connections to other daemons.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use h2::client::SendRequest;
use http::Request;
use tokio::net::TcpStream;

use super::{
    codec::{decode, encode, read_body},
    messages::{PeerError, PeerReply, PeerRequest},
};

/// Time to establish a connection; zones are a few milliseconds apart.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

type ConnectionMap = BTreeMap<SocketAddr, SendRequest<Bytes>>;

/// Sends requests to other daemons, over one connection to each.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerClient {
    connections: Arc<Mutex<ConnectionMap>>,
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
        let body = encode(message)?;
        let mut sender = self.connection(address).await?;
        let request = Request::post("/")
            .body(())
            .expect("a constant request is valid");
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
            Ok(response) => decode(&read_body(response.into_body()).await?),
            Err(error) => {
                self.forget(address);
                Err(PeerError::Interrupted {
                    message: error.to_string(),
                })
            }
        }
    }

    /// Returns a usable connection, a new one if there is none.
    async fn connection(&self, address: SocketAddr) -> Result<SendRequest<Bytes>, PeerError> {
        let known = self.lock().get(&address).cloned();
        if let Some(sender) = known {
            match sender.ready().await {
                Ok(sender) => return Ok(sender),
                Err(_) => self.forget(address),
            }
        }
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, connect(address));
        let sender = match connecting.await {
            Ok(connected) => connected?,
            Err(elapsed) => return Err(unreachable(address, &elapsed)),
        };
        self.lock().insert(address, sender.clone());
        sender
            .ready()
            .await
            .map_err(|error| unreachable(address, &error))
    }

    fn forget(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, ConnectionMap> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Bytes>, PeerError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| unreachable(address, &error))?;
    stream
        .set_nodelay(true)
        .map_err(|error| unreachable(address, &error))?;
    let (sender, connection) = h2::client::handshake(stream)
        .await
        .map_err(|error| unreachable(address, &error))?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to peer {address} ended: {error}");
        }
    });
    Ok(sender)
}

fn unreachable<E: std::fmt::Display>(address: SocketAddr, error: &E) -> PeerError {
    PeerError::Unreachable {
        address: address.to_string(),
        message: error.to_string(),
    }
}
