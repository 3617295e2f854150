//! The lease under which this daemon is registered in the store.

use std::time::Duration;

/// Time between renewals of the 10 s lease; two may fail before it expires.
const RENEW_TIME: Duration = Duration::from_secs(3);

/// Time between attempts while the store does not respond.
const RETRY_TIME: Duration = Duration::from_secs(1);

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
#[derive(Clone, Copy, Debug)]
pub struct RegistrationLease {
    state: LeaseState,
    /// When the next request is due; `None` while one is under way.
    due: Option<Duration>,
}

impl Default for RegistrationLease {
    fn default() -> Self {
        Self {
            state: LeaseState::Absent,
            due: Some(Duration::ZERO),
        }
    }
}

impl RegistrationLease {
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
                self.due = Some(now + RENEW_TIME);
            }
            RegistrationEvent::Expired => {
                self.state = LeaseState::Absent;
                self.due = Some(now);
            }
            RegistrationEvent::Failed => self.due = Some(now + RETRY_TIME),
            RegistrationEvent::TimerFired => {}
        }
        self.due.take_if(|due| now >= *due)?;
        Some(match self.state {
            LeaseState::Absent => RegistrationAction::Register,
            LeaseState::Held => RegistrationAction::Renew,
        })
    }
}
