//! Registration of this daemon in the store under a lease.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Time between renewals of the 10 s lease; two may fail before it expires.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(3);

/// Upper bound of the delay after the first failure; it doubles with each further
/// one. Each delay is drawn from zero up to its bound (full jitter), so that the
/// daemons do not call a recovering store at the same moment.
const MIN_RETRY_BOUND: Duration = Duration::from_millis(100);

/// Upper bound of the delay after many failures.
const MAX_RETRY_BOUND: Duration = Duration::from_secs(5);

/// An input of [`RegistrationLease::handle`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RegistrationEvent {
    /// The store wrote the registration or renewed its lease.
    Granted,
    /// The store has no such lease: it has expired.
    Expired,
    /// The store did not respond in time or returned an error.
    Failed,
    /// The timer fired.
    TimerFired,
}

/// A request of [`RegistrationLease::handle`] to the store.
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

/// Obtains the lease of this daemon's registration, renews it, and retries after
/// failures.
#[derive(Clone, Debug)]
pub struct RegistrationLease<R> {
    rng: R,
    state: LeaseState,
    /// Upper bound of the delay after the next failure.
    retry_bound: Duration,
    /// When the next request is due; `None` while one is in flight.
    due: Option<Duration>,
}

impl<R: Rng> RegistrationLease<R> {
    /// Returns the state of an unregistered daemon. The delays after failures come
    /// from `rng`.
    #[must_use]
    pub const fn new(rng: R) -> Self {
        Self {
            rng,
            state: LeaseState::Absent,
            retry_bound: MIN_RETRY_BOUND,
            due: Some(Duration::ZERO),
        }
    }

    /// Returns when the next request is due; `None` while one is in flight.
    #[must_use]
    pub const fn due(&self) -> Option<Duration> {
        self.due
    }

    /// Applies an event and returns the request to send, if one is due. The caller
    /// reports its result as granted, expired or failed.
    pub fn handle(
        &mut self,
        event: RegistrationEvent,
        now: Duration,
    ) -> Option<RegistrationAction> {
        match event {
            RegistrationEvent::Granted => {
                self.state = LeaseState::Held;
                self.retry_bound = MIN_RETRY_BOUND;
                self.due = Some(now + RENEWAL_INTERVAL);
            }
            RegistrationEvent::Expired => {
                self.state = LeaseState::Absent;
                self.due = Some(now);
            }
            RegistrationEvent::Failed => {
                let bound = self.retry_bound;
                self.retry_bound = (bound * 2).min(MAX_RETRY_BOUND);
                let delay = self.rng.random_range(Duration::ZERO..=bound);
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
