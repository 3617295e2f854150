//! Open connections of callers, and how they end in a drain.

use std::{
    pin::{Pin, pin},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use hyper::body::{Body, Frame, SizeHint};
use hyper_util::server::graceful::GracefulConnection;
use tokio::sync::watch;

/// Time for which a draining daemon keeps serving idle connections after the last
/// request on any connection. A caller that sends one call after another pauses far
/// less between two calls.
pub(super) const CLOSE_NOTICE_TIME: Duration = Duration::from_millis(500);

/// Stages of the end of all connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum DrainStage {
    /// Connections stay open.
    Serving,
    /// Connections over HTTP/2 finish their requests and close. The protocol tells the
    /// caller which requests are not handled, so that it can send them elsewhere.
    Announced,
    /// Connections over HTTP/1 close as well.
    Closing,
}

/// The open requests over HTTP/1. Clones share the counts.
#[derive(Clone, Debug)]
pub(super) struct OpenRequests {
    /// Has one receiver for each open request.
    open: watch::Sender<()>,
    /// Number of starts and ends of requests.
    changes: Arc<AtomicU64>,
}

impl OpenRequests {
    /// Returns counts without requests.
    pub(super) fn new() -> Self {
        Self {
            open: watch::Sender::new(()),
            changes: Arc::default(),
        }
    }

    /// Adds a request, which is open until the returned value is dropped.
    pub(super) fn start(&self) -> OpenRequest {
        let request = OpenRequest {
            _open: self.open.subscribe(),
            changes: Arc::clone(&self.changes),
        };
        self.changes.fetch_add(1, Ordering::Relaxed);
        request
    }

    /// Returns the number of starts and ends of requests.
    fn changes(&self) -> u64 {
        self.changes.load(Ordering::Relaxed)
    }

    /// Waits for [`CLOSE_NOTICE_TIME`], and longer until no request has been open for
    /// this time. Returns at once if there was none since `changes` were counted.
    async fn wait_until_quiet(&self, mut changes: u64) {
        while !self.open.is_closed() || self.changes() != changes {
            self.open.closed().await;
            changes = self.changes();
            tokio::time::sleep(CLOSE_NOTICE_TIME).await;
        }
    }
}

/// A request that is open until the value is dropped.
#[derive(Debug)]
pub(super) struct OpenRequest {
    _open: watch::Receiver<()>,
    changes: Arc<AtomicU64>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.changes.fetch_add(1, Ordering::Relaxed);
    }
}

/// A response body whose request is open until the body is dropped.
#[derive(Debug)]
pub(super) struct TrackedBody<B> {
    body: B,
    _request: Option<OpenRequest>,
}

impl<B> TrackedBody<B> {
    /// Returns the body of the response to `request`.
    pub(super) const fn new(body: B, request: Option<OpenRequest>) -> Self {
        Self {
            body,
            _request: request,
        }
    }
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The open connections of callers.
#[derive(Debug)]
pub(crate) struct FrontConnections {
    /// Has one receiver for each open connection.
    stage: watch::Sender<DrainStage>,
    requests: OpenRequests,
    /// Starts and ends of requests when the drain was announced.
    changes: u64,
}

impl FrontConnections {
    /// Returns a set without connections, which send the `requests`.
    pub(super) fn new(requests: OpenRequests) -> Self {
        Self {
            stage: watch::Sender::new(DrainStage::Serving),
            requests,
            changes: 0,
        }
    }

    /// Returns the number of open connections.
    pub(super) fn count(&self) -> usize {
        self.stage.receiver_count()
    }

    /// Adds a connection, which is open until the returned value is dropped.
    pub(super) fn add(&self) -> FrontConnection {
        FrontConnection {
            stage: self.stage.subscribe(),
            is_http2: Arc::default(),
        }
    }

    /// Waits for [`CLOSE_NOTICE_TIME`], in which responses ask callers to close their
    /// connections, and then closes those over HTTP/2 after their open requests.
    pub(super) async fn announce_close(&mut self) {
        self.changes = self.requests.changes();
        tokio::time::sleep(CLOSE_NOTICE_TIME).await;
        self.stage.send_replace(DrainStage::Announced);
    }

    /// Waits until the open requests have ended and callers have had time to use their
    /// idle connections, and closes these.
    pub(crate) async fn finish(self) {
        self.requests.wait_until_quiet(self.changes).await;
        self.stage.send_replace(DrainStage::Closing);
        self.stage.closed().await;
    }
}

/// An open connection of a caller.
#[derive(Debug)]
pub(super) struct FrontConnection {
    stage: watch::Receiver<DrainStage>,
    is_http2: Arc<AtomicBool>,
}

impl FrontConnection {
    /// Returns the flag that tells whether the connection uses HTTP/2. It has to be set
    /// on the first request.
    pub(super) fn http2_flag(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.is_http2)
    }

    /// Runs the server of the connection until the caller closes the connection or a
    /// drain ends it.
    pub(super) async fn serve<C: GracefulConnection>(mut self, server: C) -> C::Output {
        let mut server = pin!(server);
        tokio::select! {
            // A request that has arrived is read before the connection is closed.
            biased;
            output = &mut server => return output,
            () = self.wait_for_close() => server.as_mut().graceful_shutdown(),
        }
        server.await
    }

    /// Waits until a drain ends the connection.
    async fn wait_for_close(&mut self) {
        let is_http2 = &self.is_http2;
        let is_closing = |stage: &DrainStage| match stage {
            DrainStage::Serving => false,
            DrainStage::Announced => is_http2.load(Ordering::Relaxed),
            DrainStage::Closing => true,
        };
        // Fails only after the drain deadline, when the process ends.
        let _ = self.stage.wait_for(is_closing).await;
    }
}
