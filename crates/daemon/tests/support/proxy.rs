//! A TCP proxy in front of each daemon's peer address. Tests use it to block
//! traffic between two daemons, separately for each direction.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
};

/// The blocked links, as (sender, receiver) pairs of daemons. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct NetworkFaults {
    blocked: Arc<Mutex<BTreeSet<(usize, usize)>>>,
    changed: watch::Sender<()>,
}

impl NetworkFaults {
    /// Blocks the link from `from` to `to`. Data sent meanwhile is delivered once
    /// the link is unblocked, as TCP would retransmit it.
    pub fn block(&self, from: usize, to: usize) {
        self.update(|blocked| {
            blocked.insert((from, to));
        });
    }

    /// Blocks the links between a daemon and `others` in both directions.
    pub fn isolate(&self, daemon: usize, others: &[usize]) {
        for other in others {
            self.block(daemon, *other);
            self.block(*other, daemon);
        }
    }

    /// Unblocks all links.
    pub fn unblock_all(&self) {
        self.update(BTreeSet::clear);
    }

    fn update<F: FnOnce(&mut BTreeSet<(usize, usize)>)>(&self, update: F) {
        update(&mut self.blocked.lock().unwrap_or_else(PoisonError::into_inner));
        self.changed.send_replace(());
    }

    /// Waits until a link is not blocked.
    async fn wait_until_open(&self, from: usize, to: usize) {
        let mut changed = self.changed.subscribe();
        loop {
            let blocked = self
                .blocked
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .contains(&(from, to));
            if !blocked || changed.changed().await.is_err() {
                return;
            }
        }
    }
}

/// Starts the proxy of a daemon and returns its address. The returned sender sets
/// the peer address of the daemon; until then the proxy closes connections.
pub async fn start_peer_proxy(
    daemon: usize,
    faults: NetworkFaults,
) -> (SocketAddr, watch::Sender<Option<SocketAddr>>) {
    let (listener, address) = super::listen().await;
    let (target, targets) = watch::channel(None);
    tokio::spawn(accept_connections(listener, daemon, faults, targets));
    (address, target)
}

async fn accept_connections(
    listener: TcpListener,
    daemon: usize,
    faults: NetworkFaults,
    targets: watch::Receiver<Option<SocketAddr>>,
) {
    while let Ok((client, _)) = listener.accept().await {
        let target = *targets.borrow();
        let Some(target) = target else { continue };
        tokio::spawn(relay_connection(client, target, daemon, faults.clone()));
    }
}

/// Relays one connection. Buffers the data of the connecting daemon until it
/// contains the daemon's name, which identifies the link.
async fn relay_connection(client: TcpStream, target: SocketAddr, to: usize, faults: NetworkFaults) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (mut client_reader, client_writer) = client.into_split();
    let (server_reader, mut server_writer) = server.into_split();
    let mut head = Vec::new();
    let from = loop {
        if let Some(from) = parse_sender(&head) {
            break from;
        }
        match client_reader.read_buf(&mut head).await {
            Ok(1..) => {}
            _ => return,
        }
    };
    faults.wait_until_open(from, to).await;
    if server_writer.write_all(&head).await.is_err() {
        return;
    }
    let responses = forward(server_reader, client_writer, (to, from), faults.clone());
    let requests = forward(client_reader, server_writer, (from, to), faults);
    // If one direction closes, both are closed, as when a process exits.
    tokio::select! {
        () = responses => {}
        () = requests => {}
    }
}

/// Copies data of one direction of a connection, and pauses while the link is
/// blocked.
async fn forward(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    link: (usize, usize),
    faults: NetworkFaults,
) {
    let mut buffer = vec![0; 16 << 10];
    while let Ok(length @ 1..) = reader.read(&mut buffer).await {
        faults.wait_until_open(link.0, link.1).await;
        if writer.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

/// Returns the number N from the first `daemon-N` in the first bytes of a
/// connection, which is the name of the connecting daemon.
fn parse_sender(head: &[u8]) -> Option<usize> {
    const NAME_PREFIX: &[u8] = b"daemon-";
    let start = head
        .windows(NAME_PREFIX.len())
        .position(|part| part == NAME_PREFIX)?;
    let digit = head.get(start + NAME_PREFIX.len())?;
    char::from(*digit).to_digit(10).map(|digit| digit as usize)
}
