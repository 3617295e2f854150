//! Heartbeats over one long-lived stream per peer.
//!
//! One stream per heartbeat would repeat the request headers each time. Each
//! message on the stream has a length prefix.

use std::{future::poll_fn, net::SocketAddr, time::Duration};

use auburnsaddle_core::Heartbeat;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use h2::{Reason, RecvStream, SendStream};
use http::Request;

use super::{
    client::{PeerClient, unreachable_error},
    codec::{decode, encode},
    messages::{PeerError, PeerRequest},
    server::PeerHandler,
};

/// Request path of a heartbeat stream; all other requests use `/`.
pub(super) const HEARTBEAT_PATH: &str = "/heartbeats";

/// Bounds the wait for flow-control capacity; a peer that reads its stream
/// grants it sooner.
const CAPACITY_TIMEOUT: Duration = Duration::from_secs(1);

/// Size of the big-endian length prefix of each message.
const LENGTH_PREFIX_BYTES: usize = 2;

impl PeerClient {
    /// Sends a heartbeat on the stream to a peer and opens the stream if there
    /// is none.
    ///
    /// With `reconnect`, a new connection is opened first. After a network
    /// partition the old connection can stay stalled for up to two minutes,
    /// because TCP backs off its retransmissions exponentially.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer is unreachable or does not read the stream.
    pub(crate) async fn send_heartbeat(
        &self,
        address: SocketAddr,
        heartbeat: Heartbeat,
        reconnect: bool,
    ) -> Result<(), PeerError> {
        let frame = encode_frame(&PeerRequest::Heartbeat(heartbeat))?;
        let existing = self.take_heartbeat_stream(address);
        if reconnect {
            self.remove_connection(address);
        }
        let written = match existing {
            Some(stream) if !reconnect => write_frame(stream, frame.clone()).await.ok(),
            _ => None,
        };
        let stream = match written {
            Some(stream) => stream,
            None => self.open_and_write(address, frame).await?,
        };
        self.traffic().record_heartbeat();
        self.keep_heartbeat_stream(address, stream);
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
            self.remove_connection(address);
        }
        written
    }

    async fn open_stream(&self, address: SocketAddr) -> Result<SendStream<Bytes>, PeerError> {
        let mut sender = self.get_or_connect(address).await?;
        let request = Request::post(HEARTBEAT_PATH)
            .body(())
            .expect("a constant request is valid");
        match sender.send_request(request, false) {
            // Heartbeats have no reply, so the response is not awaited.
            Ok((_, stream)) => Ok(stream),
            Err(error) => {
                self.remove_connection(address);
                Err(unreachable_error(address, &error))
            }
        }
    }
}

/// Queues a message and returns the stream if it is still usable. The stream of
/// a peer that does not read is closed, so that no messages accumulate for it.
async fn write_frame(
    mut stream: SendStream<Bytes>,
    frame: Bytes,
) -> Result<SendStream<Bytes>, PeerError> {
    stream.reserve_capacity(frame.len());
    let waiting = wait_for_capacity(&mut stream, frame.len());
    match tokio::time::timeout(CAPACITY_TIMEOUT, waiting).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => return Err(interrupted_error(&error)),
        Err(_) => return Err(interrupted_error(&"the peer does not read its heartbeats")),
    }
    match stream.send_data(frame, false) {
        Ok(()) => Ok(stream),
        Err(error) => Err(interrupted_error(&error)),
    }
}

/// Waits until the flow-control windows permit a number of bytes. A new stream
/// has no capacity until the connection has opened it.
async fn wait_for_capacity(stream: &mut SendStream<Bytes>, bytes: usize) -> Result<(), h2::Error> {
    while stream.capacity() < bytes {
        match poll_fn(|context| stream.poll_capacity(context)).await {
            Some(assigned) => assigned?,
            None => return Err(Reason::STREAM_CLOSED.into()),
        };
    }
    Ok(())
}

fn interrupted_error<E: ToString + ?Sized>(cause: &E) -> PeerError {
    PeerError::Interrupted {
        message: cause.to_string(),
    }
}

/// Passes each message of a heartbeat stream to the handler until the stream
/// ends.
pub(super) async fn serve_heartbeats<H: PeerHandler>(
    mut stream: RecvStream,
    handler: H,
) -> Result<(), PeerError> {
    let mut buffer = BytesMut::new();
    while let Some(Ok(chunk)) = stream.data().await {
        // Releasing capacity fails only if the stream is already closed.
        let _ = stream.flow_control().release_capacity(chunk.len());
        buffer.extend_from_slice(&chunk);
        while let Some(frame) = take_frame(&mut buffer) {
            handler.handle(decode(&frame)?).await;
        }
    }
    Ok(())
}

/// Encodes a message with its length prefix.
pub(super) fn encode_frame(message: &PeerRequest) -> Result<Bytes, PeerError> {
    let body = encode(message)?;
    let length = u16::try_from(body.len()).map_err(|_| PeerError::TooLong {
        limit: usize::from(u16::MAX),
    })?;
    let mut frame = BytesMut::with_capacity(LENGTH_PREFIX_BYTES + body.len());
    frame.put_u16(length);
    frame.put(body);
    Ok(frame.freeze())
}

/// Removes and returns the first message of the buffer, without its length
/// prefix, if it is complete.
pub(super) fn take_frame(buffer: &mut BytesMut) -> Option<BytesMut> {
    let length = buffer.first_chunk::<LENGTH_PREFIX_BYTES>()?;
    let length = usize::from(u16::from_be_bytes(*length));
    if buffer.len() < LENGTH_PREFIX_BYTES + length {
        return None;
    }
    buffer.advance(LENGTH_PREFIX_BYTES);
    Some(buffer.split_to(length))
}
