//! The body of a runner's answer on its way to the caller.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use super::{dispatch::SlotGuard, upload::UploadWatch};

/// Relays an answer and returns the slot when the answer has ended.
#[derive(Debug)]
pub(crate) struct RelayBody {
    body: Incoming,
    guard: SlotGuard,
    /// Lets the upload go on while the answer arrives.
    _upload: UploadWatch,
}

impl RelayBody {
    /// Returns the body of an answer that occupies a slot.
    pub(super) const fn new(body: Incoming, guard: SlotGuard, upload: UploadWatch) -> Self {
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
            self.guard.note_answered();
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
