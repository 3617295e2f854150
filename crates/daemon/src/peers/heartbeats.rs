//! Heartbeats on one long-lived stream to each peer.
//!
//! A stream for each heartbeat would repeat its headers every time. Each
//! message on the stream is preceded by its length.

use std::{future::poll_fn, net::SocketAddr, time::Duration};

use auburnsaddle_core::Heartbeat;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use h2::{Reason, RecvStream, SendStream};
use http::Request;

use super::{
    client::{PeerClient, unreachable},
    codec::{decode, encode},
    messages::{PeerError, PeerRequest},
    server::PeerHandler,
};

/// Path of a stream of messages; a single message goes to `/`.
pub(super) const STREAM_PATH: &str = "/heartbeats";

/// Time in which the windows of a peer that reads open again.
const CAPACITY_TIMEOUT: Duration = Duration::from_secs(1);

/// Bytes of the length before each message.
const LENGTH_BYTES: usize = 2;

impl PeerClient {
    /// Sends a heartbeat on the stream to a peer, which is opened if there is
    /// none. `renew` replaces the connection first: one that was cut by a
    /// partition would deliver nothing for up to two minutes after its end,
    /// because the system retransmits ever more rarely.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer is not reached or does not read.
    pub(crate) async fn send_heartbeat(
        &self,
        address: SocketAddr,
        heartbeat: Heartbeat,
        renew: bool,
    ) -> Result<(), PeerError> {
        let frame = encode_frame(&PeerRequest::Heartbeat(heartbeat))?;
        let known = self.take_stream(address);
        if renew {
            self.forget(address);
        }
        let written = match known {
            Some(stream) if !renew => write_frame(stream, frame.clone()).await.ok(),
            _ => None,
        };
        let stream = match written {
            Some(stream) => stream,
            None => self.open_and_write(address, frame).await?,
        };
        self.traffic().note_heartbeat();
        self.keep_stream(address, stream);
        Ok(())
    }

    async fn open_and_write(
        &self,
        address: SocketAddr,
        frame: Bytes,
    ) -> Result<SendStream<Bytes>, PeerError> {
        let stream = self.open_stream(address).await?;
        let written = write_frame(stream, frame).await;
        if written.is_err() {
            self.forget(address);
        }
        written
    }

    async fn open_stream(&self, address: SocketAddr) -> Result<SendStream<Bytes>, PeerError> {
        let mut sender = self.connection(address).await?;
        let request = Request::post(STREAM_PATH)
            .body(())
            .expect("a constant request is valid");
        match sender.send_request(request, false) {
            // The peer answers nothing on this stream.
            Ok((_, stream)) => Ok(stream),
            Err(error) => {
                self.forget(address);
                Err(unreachable(address, &error))
            }
        }
    }
}

/// Queues a message and returns the stream if it is still usable. A peer that
/// does not read has its stream closed, so that no messages pile up for it.
async fn write_frame(
    mut stream: SendStream<Bytes>,
    frame: Bytes,
) -> Result<SendStream<Bytes>, PeerError> {
    stream.reserve_capacity(frame.len());
    let waiting = wait_for_capacity(&mut stream, frame.len());
    match tokio::time::timeout(CAPACITY_TIMEOUT, waiting).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => return Err(interrupted(&error)),
        Err(_) => return Err(interrupted(&"the peer does not read its heartbeats")),
    }
    match stream.send_data(frame, false) {
        Ok(()) => Ok(stream),
        Err(error) => Err(interrupted(&error)),
    }
}

/// Waits until the peer's windows permit a number of bytes; a new stream has
/// no capacity before the connection has opened it.
async fn wait_for_capacity(stream: &mut SendStream<Bytes>, bytes: usize) -> Result<(), h2::Error> {
    while stream.capacity() < bytes {
        match poll_fn(|context| stream.poll_capacity(context)).await {
            Some(assigned) => assigned?,
            None => return Err(Reason::STREAM_CLOSED.into()),
        };
    }
    Ok(())
}

fn interrupted<E: ToString + ?Sized>(cause: &E) -> PeerError {
    PeerError::Interrupted {
        message: cause.to_string(),
    }
}

/// Hands each message of a stream to the handler until the stream ends.
pub(super) async fn serve_frames<H: PeerHandler>(
    mut stream: RecvStream,
    handler: H,
) -> Result<(), PeerError> {
    let mut buffer = BytesMut::new();
    while let Some(Ok(chunk)) = stream.data().await {
        // Capacity is only released for streams that the peer may still use.
        let _ = stream.flow_control().release_capacity(chunk.len());
        buffer.extend_from_slice(&chunk);
        while let Some(frame) = take_frame(&mut buffer) {
            handler.handle(decode(&frame)?).await;
        }
    }
    Ok(())
}

/// Encodes a message behind its length.
pub(super) fn encode_frame(message: &PeerRequest) -> Result<Bytes, PeerError> {
    let body = encode(message)?;
    let length = u16::try_from(body.len()).map_err(|_| PeerError::TooLong {
        limit: usize::from(u16::MAX),
    })?;
    let mut frame = BytesMut::with_capacity(LENGTH_BYTES + body.len());
    frame.put_u16(length);
    frame.put(body);
    Ok(frame.freeze())
}

/// Removes the first message from the buffer if it is there as a whole.
pub(super) fn take_frame(buffer: &mut BytesMut) -> Option<BytesMut> {
    let length = buffer.first_chunk::<LENGTH_BYTES>()?;
    let length = usize::from(u16::from_be_bytes(*length));
    if buffer.len() < LENGTH_BYTES + length {
        return None;
    }
    buffer.advance(LENGTH_BYTES);
    Some(buffer.split_to(length))
}
