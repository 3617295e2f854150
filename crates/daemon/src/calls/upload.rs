//! The body of a request on its way to a runner.
//!
//! A small body is read whole before a slot is requested, so that its call can
//! be retried. Of a larger one only the beginning is read; the rest is streamed
//! once a runner is granted, while its size and the time spent on waiting for
//! the caller stay limited.

use std::{
    collections::VecDeque,
    future::{Future, pending, poll_fn},
    pin::{Pin, pin},
    sync::{Arc, Mutex, PoisonError},
    task::{Context, Poll},
    time::Duration,
};

use auburnsaddle_core::UnknownReason;
use bytes::{Bytes, BytesMut};
use futures::FutureExt;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use snafu::Snafu;
use tokio::{
    sync::oneshot,
    time::{Instant, Sleep, sleep_until},
};

/// Why the body of a request could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Snafu)]
pub(crate) enum BodyError {
    /// The body is over its limit.
    #[snafu(display("the body is too large; send a smaller one"))]
    TooLarge,
    /// The body did not arrive in time.
    #[snafu(display("the body did not arrive in time; send it without pauses"))]
    TimedOut,
    /// The body ended before its end.
    #[snafu(display("the body broke off; send it whole"))]
    BrokenOff,
}

impl From<BodyError> for UnknownReason {
    fn from(fault: BodyError) -> Self {
        match fault {
            BodyError::TooLarge => Self::BodyTooLarge,
            BodyError::TimedOut => Self::BodyTimedOut,
            BodyError::BrokenOff => Self::BodyBrokenOff,
        }
    }
}

/// Limits of the body of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyLimits {
    /// Largest body in bytes.
    pub(crate) bytes: u64,
    /// Longest time spent on waiting for the caller.
    pub(crate) time: Duration,
}

/// Reads a body within its limits. The time in which the reader has no use for
/// the next part, such as that of waiting for a slot, does not count.
#[derive(Debug)]
struct BodyReader {
    body: Incoming,
    /// Parts that were read before the rest is streamed.
    head: VecDeque<Bytes>,
    limits: BodyLimits,
    waiting: Option<BodyWait>,
}

/// A wait for the next part of a body.
#[derive(Debug)]
struct BodyWait {
    since: Instant,
    end: Pin<Box<Sleep>>,
}

impl BodyReader {
    /// Reads the next part, before those of the head.
    fn poll_rest(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let Poll::Ready(polled) = Pin::new(&mut self.body).poll_frame(context) else {
            return self.poll_wait(context).map(|fault| Some(Err(fault)));
        };
        if let Some(wait) = self.waiting.take() {
            self.limits.time = self.limits.time.saturating_sub(wait.since.elapsed());
        }
        Poll::Ready(polled.map(|frame| self.admit(frame)))
    }

    fn poll_wait(&mut self, context: &mut Context<'_>) -> Poll<BodyError> {
        let time = self.limits.time;
        let wait = self.waiting.get_or_insert_with(|| {
            let since = Instant::now();
            let end = Box::pin(sleep_until(since + time));
            BodyWait { since, end }
        });
        wait.end
            .as_mut()
            .poll(context)
            .map(|()| BodyError::TimedOut)
    }

    fn admit(
        &mut self,
        frame: Result<Frame<Bytes>, hyper::Error>,
    ) -> Result<Frame<Bytes>, BodyError> {
        let frame = frame.map_err(|_| BodyError::BrokenOff)?;
        let bytes = frame.data_ref().map_or(0, Bytes::len) as u64;
        let left = self.limits.bytes.checked_sub(bytes);
        self.limits.bytes = left.ok_or(BodyError::TooLarge)?;
        Ok(frame)
    }

    fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.head.pop_front() {
            Some(part) => Poll::Ready(Some(Ok(Frame::data(part)))),
            None => self.poll_rest(context),
        }
    }

    fn size_hint(&self) -> SizeHint {
        let head = self.head.iter().map(|part| part.len() as u64).sum::<u64>();
        let rest = self.body.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(head + rest.lower());
        if let Some(upper) = rest.upper() {
            hint.set_upper(head + upper);
        }
        hint
    }
}

/// A large body that no attempt has begun to send yet.
///
/// The first attempt that sends it takes it out, so no other attempt can send
/// a body that lacks its beginning.
#[derive(Clone, Debug)]
pub(crate) struct PendingUpload(Arc<Mutex<Option<Box<BodyReader>>>>);

impl PendingUpload {
    fn take(&self) -> Option<Box<BodyReader>> {
        // The reader stays valid when a holder of the lock panics.
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }

    fn size_hint(&self) -> SizeHint {
        let reader = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        reader
            .as_ref()
            .map(|reader| reader.size_hint())
            .unwrap_or_default()
    }
}

/// The body of a call.
#[derive(Clone, Debug)]
pub(crate) enum CallBody {
    /// Read whole; the call can be retried.
    Whole(Bytes),
    /// To be streamed; the call can be retried until this has begun.
    Streamed(PendingUpload),
}

impl CallBody {
    /// Reads a body whole if it has at most `buffered` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if what was read breaks a limit or breaks off.
    pub(crate) async fn read(
        body: Incoming,
        limits: BodyLimits,
        buffered: u64,
    ) -> Result<Self, BodyError> {
        if body.size_hint().lower() > limits.bytes {
            return Err(BodyError::TooLarge);
        }
        let mut reader = Box::new(BodyReader {
            body,
            head: VecDeque::new(),
            limits,
            waiting: None,
        });
        while limits.bytes - reader.limits.bytes <= buffered {
            match poll_fn(|context| reader.poll_rest(context)).await {
                None => return Ok(Self::Whole(join_parts(reader.head))),
                Some(frame) => reader.head.extend(frame?.into_data().ok()),
            }
        }
        let pending = Arc::new(Mutex::new(Some(reader)));
        Ok(Self::Streamed(PendingUpload(pending)))
    }

    /// Reads a whole body.
    ///
    /// # Errors
    ///
    /// Returns an error if the body breaks a limit or breaks off.
    pub(crate) async fn read_whole(body: Incoming, limits: BodyLimits) -> Result<Bytes, BodyError> {
        match Self::read(body, limits, limits.bytes).await? {
            Self::Whole(bytes) => Ok(bytes),
            // More than the limit cannot have been read.
            Self::Streamed(_) => Err(BodyError::TooLarge),
        }
    }

    /// Tells whether a further attempt can send the body.
    pub(super) fn can_repeat(&self) -> bool {
        match self {
            Self::Whole(_) => true,
            Self::Streamed(PendingUpload(reader)) => reader
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .is_some(),
        }
    }

    /// Returns the body for one attempt and the watch over it.
    pub(super) fn open(self) -> (UploadBody, UploadWatch) {
        match self {
            Self::Whole(bytes) => {
                let body = UploadBody::Whole(Full::new(bytes));
                (body, UploadWatch { fault: None })
            }
            Self::Streamed(pending) => {
                let (sender, receiver) = oneshot::channel();
                let body = UploadBody::Streamed(UploadStream {
                    pending,
                    reader: None,
                    fault: Some(sender),
                });
                let fault = Some(receiver);
                (body, UploadWatch { fault })
            }
        }
    }
}

fn join_parts(mut parts: VecDeque<Bytes>) -> Bytes {
    match parts.len() {
        0 | 1 => parts.pop_front().unwrap_or_default(),
        _ => parts
            .into_iter()
            .fold(BytesMut::new(), |mut joined, part| {
                joined.extend_from_slice(&part);
                joined
            })
            .freeze(),
    }
}

/// The body of one attempt.
#[derive(Debug)]
pub(super) enum UploadBody {
    Whole(Full<Bytes>),
    Streamed(UploadStream),
}

/// A body that is streamed from the caller to a runner.
#[derive(Debug)]
pub(super) struct UploadStream {
    pending: PendingUpload,
    /// The reader from the first part on.
    reader: Option<Box<BodyReader>>,
    /// Reports why the body breaks off; closed once the call has ended.
    fault: Option<oneshot::Sender<BodyError>>,
}

impl UploadStream {
    fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let fault = self.fault.as_mut();
        let is_ended = fault.is_none_or(|fault| fault.poll_closed(context).is_ready());
        if self.reader.is_none() && !is_ended {
            self.reader = self.pending.take();
        }
        let polled = match &mut self.reader {
            Some(reader) if !is_ended => reader.poll_frame(context),
            _ => Poll::Ready(Some(Err(BodyError::BrokenOff))),
        };
        if let Poll::Ready(Some(Err(fault))) = &polled {
            let sender = self.fault.take();
            // Nobody waits for it once the call has ended.
            let _ = sender.map(|sender| sender.send(*fault));
        }
        polled
    }
}

impl Body for UploadBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body)
                .poll_frame(context)
                .map_err(|error| match error {}),
            Self::Streamed(stream) => stream.poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Streamed(stream) => match &stream.reader {
                Some(reader) => reader.size_hint(),
                None => stream.pending.size_hint(),
            },
        }
    }
}

/// Watches over the body of one attempt; when dropped, it ends the upload.
#[derive(Debug)]
pub(super) struct UploadWatch {
    fault: Option<oneshot::Receiver<BodyError>>,
}

impl UploadWatch {
    /// Waits for the head of a response, or for a fault of the body.
    ///
    /// # Errors
    ///
    /// Returns the fault; a part of the request may have been sent.
    pub(super) async fn watch<T, E>(
        &mut self,
        exchange: impl Future<Output = Result<T, E>>,
    ) -> Result<Result<T, E>, BodyError> {
        let mut fault = pin!(wait_for_fault(self.fault.as_mut()));
        let result = tokio::select! {
            biased;
            fault = &mut fault => return Err(fault),
            result = exchange => result,
        };
        // The fault of the body is the cause of an error of the exchange.
        match fault.now_or_never() {
            Some(fault) if result.is_err() => Err(fault),
            _ => Ok(result),
        }
    }
}

async fn wait_for_fault(fault: Option<&mut oneshot::Receiver<BodyError>>) -> BodyError {
    let fault = match fault {
        Some(fault) => fault.await.ok(),
        None => None,
    };
    match fault {
        Some(fault) => fault,
        // The body was sent whole.
        None => pending().await,
    }
}
