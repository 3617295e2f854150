//! The stream of changes of one watch.

use bytes::{Buf, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::{
    messages::{StoreChange, StoreError, StoreWatch},
    watch_wire::decode_changes,
};

/// Largest line that is read: sixteen values of 1 MB in base64.
const LINE_LIMIT: usize = 24 << 20;

/// A watch over HTTP; each line of the response is one message.
#[derive(Debug)]
pub(crate) struct HttpWatch {
    body: Incoming,
    buffer: BytesMut,
}

impl HttpWatch {
    /// Returns the watch whose response has this body.
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
                    // Trailers carry nothing that the watch needs.
                    let data = frame.into_data().unwrap_or_default();
                    self.buffer.extend_from_slice(&data);
                }
                Some(Err(error)) => return Err(broken_off(&error.to_string())),
                None => return Err(broken_off("the store ended the watch")),
            }
            if self.buffer.len() > LINE_LIMIT {
                return Err(StoreError::Malformed {
                    message: format!("a line of over {LINE_LIMIT} bytes"),
                });
            }
        }
    }
}

fn broken_off(message: &str) -> StoreError {
    StoreError::Unavailable {
        message: message.to_owned(),
    }
}
