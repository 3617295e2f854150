//! A timer for connections that survives a pause of the process.

use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use hyper::rt::{Sleep, Timer};

/// Time after a deadline in which the sockets are read once more.
///
/// When a paused process resumes, its timers can fire before its sockets have
/// been polled. Without this time, a request that arrived during the pause would
/// lose its connection to the header timeout. Reading the sockets takes one turn
/// of the event loop; the time leaves room for a busy one.
const READING_TIME: Duration = Duration::from_millis(250);

/// Creates sleeps that end only after the sockets had a turn.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionTimer;

impl Timer for ConnectionTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.sleep_until(Instant::now() + duration)
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        Box::pin(ConnectionSleep::until(deadline))
    }
}

/// Sleeps until a deadline and for [`READING_TIME`] more. The second part starts
/// again when the process was paused during it.
struct ConnectionSleep {
    sleep: Pin<Box<tokio::time::Sleep>>,
    reads: bool,
}

impl ConnectionSleep {
    fn until(deadline: Instant) -> Self {
        Self {
            sleep: Box::pin(tokio::time::sleep_until(deadline.into())),
            reads: false,
        }
    }
}

impl Future for ConnectionSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.sleep.as_mut().poll(context));
            let late = self.sleep.deadline().elapsed();
            if self.reads && late < READING_TIME {
                return Poll::Ready(());
            }
            self.reads = true;
            let deadline = tokio::time::Instant::now() + READING_TIME;
            self.sleep.as_mut().reset(deadline);
        }
    }
}

impl Sleep for ConnectionSleep {}
