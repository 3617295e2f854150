//! A TCP proxy on loopback whose connections can be delayed, silenced or reset.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
};

use crate::{error::SoakError, plan::LinkState};

/// Bytes that are read at once.
const BUFFER_BYTES: usize = 16 << 10;

/// The proxy in front of one address.
#[derive(Clone, Debug)]
pub(crate) struct LinkProxy {
    address: SocketAddr,
    state: watch::Sender<LinkState>,
}

impl LinkProxy {
    /// Starts a proxy of `target`.
    pub(crate) async fn start(target: SocketAddr) -> Result<Self, SoakError> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = watch::Sender::new(LinkState::Open);
        let states = state.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(relay(client, target, states.subscribe()));
            }
        });
        Ok(Self { address, state })
    }

    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }
}

async fn relay(client: TcpStream, target: SocketAddr, mut states: watch::Receiver<LinkState>) {
    if *states.borrow_and_update() == LinkState::Reset {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    if client.set_nodelay(true).is_err() || server.set_nodelay(true).is_err() {
        return;
    }
    let (client_reader, client_writer) = client.into_split();
    let (server_reader, server_writer) = server.into_split();
    let forth = pump(client_reader, server_writer, states.clone(), false);
    let back = pump(server_reader, client_writer, states.clone(), true);
    tokio::select! {
        () = forth => {}
        () = back => {}
        // Dropping the halves with unread bytes resets the connection.
        _ = states.wait_for(|state| *state == LinkState::Reset) => {}
    }
}

async fn pump(
    mut reader: impl AsyncReadExt + Unpin,
    mut writer: impl AsyncWriteExt + Unpin,
    mut states: watch::Receiver<LinkState>,
    is_answer: bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(length @ 1..) = reader.read(&mut buffer).await {
        let is_passing = |state: &LinkState| match state {
            LinkState::Silent => false,
            LinkState::AnswersSilent => !is_answer,
            _ => true,
        };
        let delay = match states.wait_for(is_passing).await.as_deref() {
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
