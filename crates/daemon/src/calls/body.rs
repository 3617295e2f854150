//! Relays the body of a runner's response to the caller.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use super::{dispatch::SlotGuard, upload::UploadMonitor};

/// The body of a runner's response. Dropping it returns the slot and ends the
/// upload.
#[derive(Debug)]
pub(crate) struct RelayBody {
    body: Incoming,
    guard: SlotGuard,
    /// Keeps the upload running while the response arrives.
    _upload: UploadMonitor,
}

impl RelayBody {
    /// Returns a body that occupies the slot of `guard` until it is dropped.
    pub(super) const fn new(body: Incoming, guard: SlotGuard, upload: UploadMonitor) -> Self {
        Self {
            body,
            guard,
            _upload: upload,
        }
    }
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        if let Poll::Ready(None) = polled {
            self.guard.mark_answered();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
