//! Bodies of responses to callers and operators.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};

use crate::calls::RelayBody;

/// A response body, either in memory or streamed from a runner.
#[derive(Debug)]
pub(crate) enum FrontBody {
    /// A body in memory.
    Full(Full<Bytes>),
    /// A body that is streamed from a runner.
    Relay(Box<RelayBody>),
}

impl Body for FrontBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            Self::Full(body) => match Pin::new(body).poll_frame(context) {
                Poll::Ready(Some(Ok(frame))) => Poll::Ready(Some(Ok(frame))),
                Poll::Ready(_) => Poll::Ready(None),
                Poll::Pending => Poll::Pending,
            },
            Self::Relay(body) => Pin::new(body.as_mut()).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(body) => body.is_end_stream(),
            Self::Relay(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(body) => body.size_hint(),
            Self::Relay(body) => body.size_hint(),
        }
    }
}
