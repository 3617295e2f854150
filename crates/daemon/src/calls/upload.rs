//! Uploads the body of a request to a runner.
//!
//! A small body is read completely before a slot is requested, so that its call
//! can be retried. Of a larger body only the first part is read before; the rest is
//! streamed to the granted runner. The limits on its size and on the time spent
//! waiting for the caller apply to both.

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

/// The reason why the body of a request could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Snafu)]
pub(crate) enum BodyError {
    /// The body is larger than its limit.
    #[snafu(display("the body is too large; send a smaller one"))]
    TooLarge,
    /// The time limit for waiting for the caller was reached.
    #[snafu(display("the body did not arrive in time; send it without pauses"))]
    TimedOut,
    /// The body ended before it was complete.
    #[snafu(display("the body broke off; send it whole"))]
    BrokenOff,
}

impl From<BodyError> for UnknownReason {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::TooLarge => Self::BodyTooLarge,
            BodyError::TimedOut => Self::BodyTimedOut,
            BodyError::BrokenOff => Self::BodyBrokenOff,
        }
    }
}

/// Limits of the body of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyLimits {
    /// Maximum size in bytes.
    pub(crate) bytes: u64,
    /// Maximum total time spent waiting for the caller.
    pub(crate) time: Duration,
}

/// Reads a body within its limits. Only time in which the reader is polled and the
/// caller has sent nothing counts towards the time limit; waiting for a slot does
/// not.
#[derive(Debug)]
struct BodyReader {
    body: Incoming,
    /// Parts that were read before the upload began.
    buffered_parts: VecDeque<Bytes>,
    /// The bytes and the waiting time that are left.
    limits: BodyLimits,
    wait: Option<BodyWait>,
}

/// The current wait for the next part of a body.
#[derive(Debug)]
struct BodyWait {
    started_at: Instant,
    timeout: Pin<Box<Sleep>>,
}

impl BodyReader {
    /// Polls the connection for the next part. The buffered parts come first and are
    /// not returned here.
    fn poll_incoming(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let Poll::Ready(polled) = Pin::new(&mut self.body).poll_frame(context) else {
            return self.poll_timeout(context).map(|error| Some(Err(error)));
        };
        if let Some(wait) = self.wait.take() {
            self.limits.time = self.limits.time.saturating_sub(wait.started_at.elapsed());
        }
        Poll::Ready(polled.map(|frame| self.check_size(frame)))
    }

    /// Polls the time limit while the caller sends nothing.
    fn poll_timeout(&mut self, context: &mut Context<'_>) -> Poll<BodyError> {
        let time = self.limits.time;
        let wait = self.wait.get_or_insert_with(|| {
            let started_at = Instant::now();
            let timeout = Box::pin(sleep_until(started_at + time));
            BodyWait {
                started_at,
                timeout,
            }
        });
        wait.timeout
            .as_mut()
            .poll(context)
            .map(|()| BodyError::TimedOut)
    }

    /// Checks a frame against the bytes that are left, and subtracts its size.
    fn check_size(
        &mut self,
        frame: Result<Frame<Bytes>, hyper::Error>,
    ) -> Result<Frame<Bytes>, BodyError> {
        let frame = frame.map_err(|_| BodyError::BrokenOff)?;
        let bytes = frame.data_ref().map_or(0, Bytes::len) as u64;
        let left = self.limits.bytes.checked_sub(bytes);
        self.limits.bytes = left.ok_or(BodyError::TooLarge)?;
        Ok(frame)
    }

    /// Polls the next part, buffered or from the connection.
    fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.buffered_parts.pop_front() {
            Some(part) => Poll::Ready(Some(Ok(Frame::data(part)))),
            None => self.poll_incoming(context),
        }
    }

    fn size_hint(&self) -> SizeHint {
        let buffered_bytes = self
            .buffered_parts
            .iter()
            .map(|part| part.len() as u64)
            .sum::<u64>();
        let rest = self.body.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(buffered_bytes + rest.lower());
        if let Some(upper) = rest.upper() {
            hint.set_upper(buffered_bytes + upper);
        }
        hint
    }
}

/// A large body, shared by the attempts of a call.
///
/// The first attempt that sends it takes the reader, so no later attempt can send
/// a body without its first part.
#[derive(Clone, Debug)]
pub(crate) struct PendingUpload(Arc<Mutex<Option<Box<BodyReader>>>>);

impl PendingUpload {
    fn take(&self) -> Option<Box<BodyReader>> {
        // A panic while the lock is held leaves the reader valid.
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
    /// Read completely; the call can be retried.
    Whole(Bytes),
    /// Streamed to the runner; the call can be retried until the stream begins.
    Streamed(PendingUpload),
}

impl CallBody {
    /// Reads a body completely if it has at most `buffered` bytes, else only until
    /// more than that has been read.
    ///
    /// # Errors
    ///
    /// Returns an error if the part that was read exceeds a limit, or if the
    /// connection fails.
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
            buffered_parts: VecDeque::new(),
            limits,
            wait: None,
        });
        while limits.bytes - reader.limits.bytes <= buffered {
            match poll_fn(|context| reader.poll_incoming(context)).await {
                None => return Ok(Self::Whole(concatenate_parts(reader.buffered_parts))),
                Some(frame) => reader.buffered_parts.extend(frame?.into_data().ok()),
            }
        }
        let pending = Arc::new(Mutex::new(Some(reader)));
        Ok(Self::Streamed(PendingUpload(pending)))
    }

    /// Reads a body completely.
    ///
    /// # Errors
    ///
    /// Returns an error if the body exceeds a limit, or if the connection fails.
    pub(crate) async fn read_whole(body: Incoming, limits: BodyLimits) -> Result<Bytes, BodyError> {
        match Self::read(body, limits, limits.bytes).await? {
            Self::Whole(bytes) => Ok(bytes),
            // Not reached, since no more than the limit can be read.
            Self::Streamed(_) => Err(BodyError::TooLarge),
        }
    }

    /// Returns whether another attempt can send the body.
    pub(super) fn can_resend(&self) -> bool {
        match self {
            Self::Whole(_) => true,
            Self::Streamed(PendingUpload(reader)) => reader
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .is_some(),
        }
    }

    /// Returns the body to be sent by one attempt, and its monitor.
    pub(super) fn into_upload(self) -> (UploadBody, UploadMonitor) {
        match self {
            Self::Whole(bytes) => {
                let body = UploadBody::Whole(Full::new(bytes));
                (
                    body,
                    UploadMonitor {
                        error_receiver: None,
                    },
                )
            }
            Self::Streamed(pending) => {
                let (sender, receiver) = oneshot::channel();
                let body = UploadBody::Streamed(UploadStream {
                    pending,
                    reader: None,
                    error_sender: Some(sender),
                });
                let error_receiver = Some(receiver);
                (body, UploadMonitor { error_receiver })
            }
        }
    }
}

fn concatenate_parts(mut parts: VecDeque<Bytes>) -> Bytes {
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

/// The request body of one attempt.
#[derive(Debug)]
pub(super) enum UploadBody {
    Whole(Full<Bytes>),
    Streamed(UploadStream),
}

/// A body that is streamed from the caller to a runner.
#[derive(Debug)]
pub(super) struct UploadStream {
    pending: PendingUpload,
    /// The reader; `None` until the first part is polled.
    reader: Option<Box<BodyReader>>,
    /// Reports the error that ends the body; closed once the call has ended.
    error_sender: Option<oneshot::Sender<BodyError>>,
}

impl UploadStream {
    fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let sender = self.error_sender.as_mut();
        let is_ended = sender.is_none_or(|sender| sender.poll_closed(context).is_ready());
        if self.reader.is_none() && !is_ended {
            self.reader = self.pending.take();
        }
        let polled = match &mut self.reader {
            Some(reader) if !is_ended => reader.poll_frame(context),
            _ => Poll::Ready(Some(Err(BodyError::BrokenOff))),
        };
        if let Poll::Ready(Some(Err(error))) = &polled {
            let sender = self.error_sender.take();
            // The send fails if the call has ended.
            let _ = sender.map(|sender| sender.send(*error));
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

/// Receives the error of an upload. Dropping it ends the upload.
#[derive(Debug)]
pub(super) struct UploadMonitor {
    /// `None` for a body that was read completely, which cannot fail.
    error_receiver: Option<oneshot::Receiver<BodyError>>,
}

impl UploadMonitor {
    /// Waits for the head of the response, or for an error of the body.
    ///
    /// # Errors
    ///
    /// Returns the error of the body; a part of the request may have been sent.
    pub(super) async fn wait_for_response<T, E>(
        &mut self,
        exchange: impl Future<Output = Result<T, E>>,
    ) -> Result<Result<T, E>, BodyError> {
        let mut error = pin!(wait_for_error(self.error_receiver.as_mut()));
        let result = tokio::select! {
            biased;
            error = &mut error => return Err(error),
            result = exchange => result,
        };
        // If both failed, the error of the body is the cause.
        match error.now_or_never() {
            Some(error) if result.is_err() => Err(error),
            _ => Ok(result),
        }
    }
}

/// Waits for the error of a body; never returns if there is none.
async fn wait_for_error(receiver: Option<&mut oneshot::Receiver<BodyError>>) -> BodyError {
    let error = match receiver {
        Some(receiver) => receiver.await.ok(),
        None => None,
    };
    match error {
        Some(error) => error,
        // The body was sent without an error.
        None => pending().await,
    }
}
