//! Counts the bytes written to the sockets of peers.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Bytes written to peers and heartbeats sent by this process.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerTraffic {
    bytes: Arc<AtomicU64>,
    heartbeats: Arc<AtomicU64>,
}

impl PeerTraffic {
    /// Returns the bytes written to the sockets of peers so far.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Returns the heartbeats sent so far, one for each peer.
    pub(crate) fn heartbeats(&self) -> u64 {
        self.heartbeats.load(Ordering::Relaxed)
    }

    pub(super) fn note_heartbeat(&self) {
        self.heartbeats.fetch_add(1, Ordering::Relaxed);
    }
}

/// A socket of a peer whose written bytes are counted.
#[derive(Debug)]
pub(super) struct CountedStream {
    stream: TcpStream,
    traffic: PeerTraffic,
}

impl CountedStream {
    pub(super) const fn new(stream: TcpStream, traffic: PeerTraffic) -> Self {
        Self { stream, traffic }
    }

    fn note_written(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = written {
            self.traffic
                .bytes
                .fetch_add(bytes as u64, Ordering::Relaxed);
        }
        written
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.note_written(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.note_written(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
