//! A TCP relay that counts what a daemon writes to the platform.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, copy},
    net::{TcpListener, TcpStream},
};

/// Marks a request that writes to the store.
const WRITE_MARK: &[u8] = b"request_put";

/// Bytes that came from the connecting side.
#[derive(Clone, Debug, Default)]
pub struct ByteCount {
    all: Arc<AtomicU64>,
    writes: Arc<AtomicU64>,
}

impl ByteCount {
    /// Returns the bytes so far.
    pub fn bytes(&self) -> u64 {
        self.all.load(Ordering::Relaxed)
    }

    /// Returns the bytes so far of requests that write. A request of a few
    /// hundred bytes arrives in one piece on loopback.
    pub fn write_bytes(&self) -> u64 {
        self.writes.load(Ordering::Relaxed)
    }

    fn note(&self, piece: &[u8]) {
        self.all.fetch_add(piece.len() as u64, Ordering::Relaxed);
        if piece
            .windows(WRITE_MARK.len())
            .any(|part| part == WRITE_MARK)
        {
            self.writes.fetch_add(piece.len() as u64, Ordering::Relaxed);
        }
    }
}

/// Starts a relay to `target` and returns its address.
pub async fn start_counting_relay(target: SocketAddr) -> (SocketAddr, ByteCount) {
    let (listener, address) = super::listen().await;
    let count = ByteCount::default();
    tokio::spawn(accept(listener, target, count.clone()));
    (address, count)
}

async fn accept(listener: TcpListener, target: SocketAddr, count: ByteCount) {
    while let Ok((client, _)) = listener.accept().await {
        tokio::spawn(relay(client, target, count.clone()));
    }
}

async fn relay(client: TcpStream, target: SocketAddr, count: ByteCount) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (mut client_reader, mut client_writer) = client.into_split();
    let (mut server_reader, mut server_writer) = server.into_split();
    let forth = async {
        let mut buffer = vec![0; 16 << 10];
        while let Ok(length @ 1..) = client_reader.read(&mut buffer).await {
            count.note(&buffer[..length]);
            if server_writer.write_all(&buffer[..length]).await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = forth => {}
        _ = copy(&mut server_reader, &mut client_writer) => {}
    }
}
