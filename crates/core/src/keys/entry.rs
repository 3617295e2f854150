//! One idempotency key.

use std::time::Duration;

use super::messages::{KeyDigest, KeyOutcome, KeyReply, KeyResponse};
use crate::types::{NotRunReason, RequestId, UnknownReason};

/// How far the call of a key has come.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum KeyPhase {
    /// The intent is being written.
    RecordingIntent,
    /// The call was dispatched by this daemon.
    Running,
    /// The outcome is being written.
    RecordingOutcome(KeyOutcome),
    /// The outcome is durable.
    Completed(KeyResponse),
    /// The call may have run. Holds the time of the next query, if one is
    /// planned.
    Unknown(Option<Duration>),
}

/// A request that waits for the outcome of its key.
#[derive(Clone, Copy, Debug)]
pub(super) struct KeyWaiter {
    pub(super) request: RequestId,
    pub(super) deadline: Duration,
}

/// The state of one key.
#[derive(Clone, Debug)]
pub(super) struct KeyEntry {
    pub(super) fingerprint: KeyDigest,
    pub(super) phase: KeyPhase,
    pub(super) waiters: Vec<KeyWaiter>,
    /// The request whose call was dispatched by this daemon.
    pub(super) dispatched: Option<RequestId>,
    /// Why the dispatched call was not run, if it was not.
    pub(super) not_run: NotRunReason,
    /// When the key may be forgotten; set once its call is over.
    pub(super) expires_at: Option<Duration>,
}

impl KeyEntry {
    pub(super) const fn new(fingerprint: KeyDigest) -> Self {
        Self {
            fingerprint,
            phase: KeyPhase::RecordingIntent,
            dispatched: None,
            not_run: NotRunReason::RejectedByTarget,
            waiters: Vec::new(),
            expires_at: None,
        }
    }

    /// Returns the reply for a request whose deadline passes now.
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
