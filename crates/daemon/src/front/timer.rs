//! A connection timer that tolerates pauses of the process.

use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use hyper::rt::{Sleep, Timer};

/// Extra time after a deadline in which the event loop can read the sockets.
///
/// When a paused process resumes, its timers can fire before its sockets have
/// been polled. Without the extra time, the header timeout would close the connection
/// of a request that arrived during the pause. Reading the sockets takes one iteration
/// of the event loop; the value leaves room for a long iteration under load.
const SOCKET_READ_TIME: Duration = Duration::from_millis(250);

/// Creates sleeps that end only after the event loop could read the sockets.
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

/// Sleeps until a deadline and then for [`SOCKET_READ_TIME`]. The second sleep starts
/// again if the process was paused during it.
struct ConnectionSleep {
    sleep: Pin<Box<tokio::time::Sleep>>,
    /// Whether the deadline has passed and the second sleep has started.
    has_reached_deadline: bool,
}

impl ConnectionSleep {
    fn until(deadline: Instant) -> Self {
        Self {
            sleep: Box::pin(tokio::time::sleep_until(deadline.into())),
            has_reached_deadline: false,
        }
    }
}

impl Future for ConnectionSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.sleep.as_mut().poll(context));
            let overdue = self.sleep.deadline().elapsed();
            if self.has_reached_deadline && overdue < SOCKET_READ_TIME {
                return Poll::Ready(());
            }
            self.has_reached_deadline = true;
            let deadline = tokio::time::Instant::now() + SOCKET_READ_TIME;
            self.sleep.as_mut().reset(deadline);
        }
    }
}

impl Sleep for ConnectionSleep {}
