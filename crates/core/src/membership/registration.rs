//! The lease under which this daemon is registered in the store.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Time between renewals of the 10 s lease; two may fail before it expires.
const RENEW_TIME: Duration = Duration::from_secs(3);

/// Longest delays after the first and after many failures. Each delay is drawn
/// from zero up to its bound, so that the daemons do not call a recovering
/// store at the same moment.
const FIRST_RETRY: Duration = Duration::from_millis(100);
const LAST_RETRY: Duration = Duration::from_secs(5);

/// Something that happens to the registration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RegistrationEvent {
    /// The store wrote the registration or renewed its lease.
    Granted,
    /// The store does not know the lease: it has expired.
    Expired,
    /// The store did not respond.
    Failed,
    /// Time has passed.
    TimerFired,
}

/// What the registration asks its surroundings to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RegistrationAction {
    /// Obtains a lease and writes the registration under it.
    Register,
    /// Renews the lease.
    Renew,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LeaseState {
    Absent,
    Held,
}

/// Keeps the registration of this daemon in the store.
#[derive(Clone, Debug)]
pub struct RegistrationLease<R> {
    generator: R,
    state: LeaseState,
    /// Bound of the delay after the next failure.
    retry_bound: Duration,
    /// When the next request is due; `None` while one is under way.
    due: Option<Duration>,
}

impl<R: Rng> RegistrationLease<R> {
    /// Returns the state of a daemon that is not registered. `generator` draws
    /// the delays after failures.
    #[must_use]
    pub const fn new(generator: R) -> Self {
        Self {
            generator,
            state: LeaseState::Absent,
            retry_bound: FIRST_RETRY,
            due: Some(Duration::ZERO),
        }
    }

    /// Returns when the next request is due; `None` while one is under way.
    #[must_use]
    pub const fn due(&self) -> Option<Duration> {
        self.due
    }

    /// Applies an event and returns the request that is due. Each request is
    /// to be reported as granted, expired or failed.
    pub fn handle(
        &mut self,
        event: RegistrationEvent,
        now: Duration,
    ) -> Option<RegistrationAction> {
        match event {
            RegistrationEvent::Granted => {
                self.state = LeaseState::Held;
                self.retry_bound = FIRST_RETRY;
                self.due = Some(now + RENEW_TIME);
            }
            RegistrationEvent::Expired => {
                self.state = LeaseState::Absent;
                self.due = Some(now);
            }
            RegistrationEvent::Failed => {
                let bound = self.retry_bound;
                self.retry_bound = (bound * 2).min(LAST_RETRY);
                let delay = self.generator.random_range(Duration::ZERO..=bound);
                self.due = Some(now + delay);
            }
            RegistrationEvent::TimerFired => {}
        }
        self.due.take_if(|due| now >= *due)?;
        Some(match self.state {
            LeaseState::Absent => RegistrationAction::Register,
            LeaseState::Held => RegistrationAction::Renew,
        })
    }
}
