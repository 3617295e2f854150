//! A TCP proxy in front of each daemon's peer address, with which tests
//! partition daemons from each other in either direction.

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

/// The links that carry nothing at present, from one daemon to another.
#[derive(Clone, Debug, Default)]
pub struct NetworkFaults {
    blocked: Arc<Mutex<BTreeSet<(usize, usize)>>>,
    changed: watch::Sender<()>,
}

impl NetworkFaults {
    /// Holds back everything that `from` sends to `to`. What was sent arrives
    /// after the end of the fault, as TCP retransmits it.
    pub fn block(&self, from: usize, to: usize) {
        self.change(|blocked| {
            blocked.insert((from, to));
        });
    }

    /// Cuts a daemon off from others in both directions.
    pub fn isolate(&self, daemon: usize, others: &[usize]) {
        for other in others {
            self.block(daemon, *other);
            self.block(*other, daemon);
        }
    }

    /// Ends all faults.
    pub fn unblock_all(&self) {
        self.change(BTreeSet::clear);
    }

    fn change<F: FnOnce(&mut BTreeSet<(usize, usize)>)>(&self, change: F) {
        change(&mut self.blocked.lock().unwrap_or_else(PoisonError::into_inner));
        self.changed.send_replace(());
    }

    /// Waits while a link is blocked.
    async fn pass(&self, from: usize, to: usize) {
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

/// Starts the proxy of a daemon; connections go to the address that is sent
/// once the daemon listens.
pub async fn start_peer_proxy(
    daemon: usize,
    faults: NetworkFaults,
) -> (SocketAddr, watch::Sender<Option<SocketAddr>>) {
    let (listener, address) = super::listen().await;
    let (target, targets) = watch::channel(None);
    tokio::spawn(accept(listener, daemon, faults, targets));
    (address, target)
}

async fn accept(
    listener: TcpListener,
    daemon: usize,
    faults: NetworkFaults,
    targets: watch::Receiver<Option<SocketAddr>>,
) {
    while let Ok((client, _)) = listener.accept().await {
        let target = *targets.borrow();
        let Some(target) = target else { continue };
        tokio::spawn(relay(client, target, daemon, faults.clone()));
    }
}

/// Relays one connection. The connecting daemon is known once its name has
/// appeared in what it sent; until then everything is held back.
async fn relay(client: TcpStream, target: SocketAddr, to: usize, faults: NetworkFaults) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (mut client_reader, client_writer) = client.into_split();
    let (server_reader, mut server_writer) = server.into_split();
    let mut head = Vec::new();
    let from = loop {
        if let Some(from) = sender(&head) {
            break from;
        }
        match client_reader.read_buf(&mut head).await {
            Ok(1..) => {}
            _ => return,
        }
    };
    faults.pass(from, to).await;
    if server_writer.write_all(&head).await.is_err() {
        return;
    }
    let back = pump(server_reader, client_writer, (to, from), faults.clone());
    let forth = pump(client_reader, server_writer, (from, to), faults);
    // One closed direction ends the connection, as at the end of a process.
    tokio::select! {
        () = back => {}
        () = forth => {}
    }
}

async fn pump(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    link: (usize, usize),
    faults: NetworkFaults,
) {
    let mut buffer = vec![0; 16 << 10];
    while let Ok(length @ 1..) = reader.read(&mut buffer).await {
        faults.pass(link.0, link.1).await;
        if writer.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

/// Finds the name `daemon-N` of the sender in the first bytes of a connection.
fn sender(head: &[u8]) -> Option<usize> {
    const NAME: &[u8] = b"daemon-";
    let start = head.windows(NAME.len()).position(|part| part == NAME)?;
    let digit = head.get(start + NAME.len())?;
    char::from(*digit).to_digit(10).map(|digit| digit as usize)
}
