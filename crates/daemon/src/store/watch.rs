//! Reading of the event stream of a watch.

use bytes::{Buf, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::{
    messages::{StoreChange, StoreError, StoreWatch},
    watch_wire::decode_changes,
};

/// Bounds the buffered part of a line: sixteen values of 1 MB in base64.
const LINE_LIMIT_BYTES: usize = 24 << 20;

/// An open watch over HTTP; the response body has one JSON message per line.
#[derive(Debug)]
pub(crate) struct HttpWatch {
    body: Incoming,
    buffer: BytesMut,
}

impl HttpWatch {
    /// Returns a watch that reads a response body.
    pub(super) fn new(body: Incoming) -> Self {
        Self {
            body,
            buffer: BytesMut::new(),
        }
    }

    fn take_line(&mut self) -> Option<BytesMut> {
        let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
        let line = self.buffer.split_to(end);
        self.buffer.advance(1);
        Some(line)
    }
}

impl StoreWatch for HttpWatch {
    async fn next(&mut self) -> Result<Vec<StoreChange>, StoreError> {
        loop {
            if let Some(line) = self.take_line() {
                return decode_changes(&line);
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    // A trailer frame has no data.
                    let data = frame.into_data().unwrap_or_default();
                    self.buffer.extend_from_slice(&data);
                }
                Some(Err(error)) => return Err(unavailable_error(&error.to_string())),
                None => return Err(unavailable_error("the store ended the watch")),
            }
            if self.buffer.len() > LINE_LIMIT_BYTES {
                return Err(StoreError::Malformed {
                    message: format!("a line of over {LINE_LIMIT_BYTES} bytes"),
                });
            }
        }
    }
}

fn unavailable_error(message: &str) -> StoreError {
    StoreError::Unavailable {
        message: message.to_owned(),
    }
}
