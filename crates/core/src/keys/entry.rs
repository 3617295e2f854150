//! The state of one idempotency key.

use std::time::Duration;

use super::messages::{KeyDigest, KeyOutcome, KeyReply, KeyResponse};
use crate::types::{NotRunReason, RequestId, UnknownReason};

/// Progress of the call of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum KeyPhase {
    /// The intent is being written to the store.
    RecordingIntent,
    /// This daemon has dispatched the call.
    Running,
    /// The outcome is being written to the store.
    RecordingOutcome(KeyOutcome),
    /// The outcome is durable.
    Completed(KeyResponse),
    /// The call may have run; with the time of the next query of the runners, if
    /// one is scheduled.
    Unknown(Option<Duration>),
}

/// A request that waits for the outcome of its key's call.
#[derive(Clone, Copy, Debug)]
pub(super) struct KeyWaiter {
    pub(super) request: RequestId,
    pub(super) deadline: Duration,
}

/// A key with its requests that wait.
#[derive(Clone, Debug)]
pub(super) struct KeyEntry {
    pub(super) fingerprint: KeyDigest,
    pub(super) phase: KeyPhase,
    pub(super) waiters: Vec<KeyWaiter>,
    /// The request whose call this daemon has dispatched.
    pub(super) dispatched_request: Option<RequestId>,
    /// Why the call was not run; only valid with the outcome [`KeyOutcome::NotRun`].
    pub(super) not_run_reason: NotRunReason,
    /// When the key is evicted; set once its call has ended or is unknown.
    pub(super) expires_at: Option<Duration>,
}

impl KeyEntry {
    pub(super) const fn new(fingerprint: KeyDigest) -> Self {
        Self {
            fingerprint,
            phase: KeyPhase::RecordingIntent,
            dispatched_request: None,
            not_run_reason: NotRunReason::RejectedByTarget,
            waiters: Vec::new(),
            expires_at: None,
        }
    }

    /// Returns the reply to a request whose deadline has passed.
    pub(super) const fn overdue_reply(&self) -> KeyReply {
        match self.phase {
            KeyPhase::RecordingIntent => KeyReply::NotRun(NotRunReason::DeadlineUnmeetable),
            KeyPhase::Unknown(_) => KeyReply::Unknown(UnknownReason::DeadlinePassed),
            KeyPhase::Running | KeyPhase::RecordingOutcome(_) | KeyPhase::Completed(_) => {
                KeyReply::StillRunning
            }
        }
    }

    /// Removes and returns the requests whose deadline has passed.
    pub(super) fn take_overdue(&mut self, now: Duration) -> Vec<KeyWaiter> {
        let (overdue, waiting) = self
            .waiters
            .drain(..)
            .partition(|waiter| now >= waiter.deadline);
        self.waiters = waiting;
        overdue
    }
}
