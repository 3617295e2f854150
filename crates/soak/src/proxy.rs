//! A loopback TCP proxy that can delay, stall or reset its connections.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
};

use crate::{HOST, error::SoakError, plan::LinkState};

/// Size of the read buffer of each direction of a connection.
const BUFFER_BYTES: usize = 16 << 10;

/// A proxy for one upstream address. Clones share the listener and the state.
#[derive(Clone, Debug)]
pub(crate) struct LinkProxy {
    address: SocketAddr,
    state: watch::Sender<LinkState>,
    /// Number of times at which all connections were dropped.
    drop_count: watch::Sender<u64>,
}

impl LinkProxy {
    /// Starts a proxy that forwards connections to `upstream`.
    pub(crate) async fn start(upstream: SocketAddr) -> Result<Self, SoakError> {
        let listener = TcpListener::bind((HOST, 0)).await?;
        let address = listener.local_addr()?;
        let state = watch::Sender::new(LinkState::Open);
        let drop_count = watch::Sender::new(0);
        let (states, drops) = (state.clone(), drop_count.clone());
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let mut drops = drops.subscribe();
                let connection = proxy_connection(client, upstream, states.subscribe());
                tokio::spawn(async move {
                    tokio::select! {
                        () = connection => {}
                        _ = drops.changed() => {}
                    }
                });
            }
        });
        Ok(Self {
            address,
            state,
            drop_count,
        })
    }

    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Drops all connections, with the bytes that wait in them, unless the proxy forwards bytes
    /// immediately.
    pub(crate) fn drop_waiting_bytes(&self) {
        if *self.state.borrow() != LinkState::Open {
            self.drop_count.send_modify(|count| *count += 1);
        }
    }

    pub(crate) fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }
}

/// Forwards one connection until a side closes it or the proxy resets it.
async fn proxy_connection(
    client: TcpStream,
    upstream: SocketAddr,
    mut states: watch::Receiver<LinkState>,
) {
    if *states.borrow_and_update() == LinkState::Reset {
        return;
    }
    let Ok(server) = TcpStream::connect(upstream).await else {
        return;
    };
    if client.set_nodelay(true).is_err() || server.set_nodelay(true).is_err() {
        return;
    }
    let (client_reader, client_writer) = client.into_split();
    let (server_reader, server_writer) = server.into_split();
    let requests = forward_bytes(client_reader, server_writer, states.clone(), false);
    let responses = forward_bytes(server_reader, client_writer, states.clone(), true);
    tokio::select! {
        () = requests => {}
        () = responses => {}
        // Dropping the sockets resets the connection if it has unread bytes.
        _ = states.wait_for(|state| *state == LinkState::Reset) => {}
    }
}

/// Copies bytes in one direction, subject to the state of the proxy, until either side
/// closes the connection.
async fn forward_bytes(
    mut reader: impl AsyncReadExt + Unpin,
    mut writer: impl AsyncWriteExt + Unpin,
    mut states: watch::Receiver<LinkState>,
    is_response: bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(length @ 1..) = reader.read(&mut buffer).await {
        let can_pass = |state: &LinkState| match state {
            LinkState::Silent => false,
            LinkState::AnswersSilent => !is_response,
            _ => true,
        };
        let delay = match states.wait_for(can_pass).await.as_deref() {
            Ok(LinkState::Delayed(delay)) => *delay,
            Ok(_) => Duration::ZERO,
            Err(_) => return,
        };
        tokio::time::sleep(delay).await;
        if writer.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
