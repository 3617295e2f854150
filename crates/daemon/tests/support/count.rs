//! A TCP relay in front of the platform that counts the bytes that daemons send
//! to the store.

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

/// Field of a store transaction that only requests with writes contain.
const WRITE_FIELD: &[u8] = b"request_put";

/// Counters of the bytes that clients sent through a relay. Clones share the
/// counters.
#[derive(Clone, Debug, Default)]
pub struct ByteCount {
    total: Arc<AtomicU64>,
    writes: Arc<AtomicU64>,
}

impl ByteCount {
    /// Returns the number of bytes so far.
    pub fn bytes(&self) -> u64 {
        self.total.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes of write requests so far. A chunk counts if it
    /// contains [`WRITE_FIELD`]: a request of a few hundred bytes arrives in one
    /// chunk on loopback.
    pub fn write_bytes(&self) -> u64 {
        self.writes.load(Ordering::Relaxed)
    }

    fn add(&self, chunk: &[u8]) {
        self.total.fetch_add(chunk.len() as u64, Ordering::Relaxed);
        if chunk
            .windows(WRITE_FIELD.len())
            .any(|part| part == WRITE_FIELD)
        {
            self.writes.fetch_add(chunk.len() as u64, Ordering::Relaxed);
        }
    }
}

/// Starts a relay to `target` and returns its address and its counters.
pub async fn start_counting_relay(target: SocketAddr) -> (SocketAddr, ByteCount) {
    let (listener, address) = super::listen().await;
    let count = ByteCount::default();
    tokio::spawn(accept_connections(listener, target, count.clone()));
    (address, count)
}

async fn accept_connections(listener: TcpListener, target: SocketAddr, count: ByteCount) {
    while let Ok((client, _)) = listener.accept().await {
        tokio::spawn(relay_connection(client, target, count.clone()));
    }
}

async fn relay_connection(client: TcpStream, target: SocketAddr, count: ByteCount) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (mut client_reader, mut client_writer) = client.into_split();
    let (mut server_reader, mut server_writer) = server.into_split();
    let requests = async {
        let mut buffer = vec![0; 16 << 10];
        while let Ok(length @ 1..) = client_reader.read(&mut buffer).await {
            count.add(&buffer[..length]);
            if server_writer.write_all(&buffer[..length]).await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = requests => {}
        _ = copy(&mut server_reader, &mut client_writer) => {}
    }
}
