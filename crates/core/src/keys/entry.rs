//! One idempotency key.

use std::time::Duration;

use super::messages::{KeyDigest, KeyOutcome, KeyReply, KeyResponse};
use crate::types::{NotRunReason, RequestId, RunnerId, UnknownReason};

/// How far the call of a key has come.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum KeyPhase {
    /// A slot was asked for.
    Queued,
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
    pub(super) runner: Option<RunnerId>,
    pub(super) phase: KeyPhase,
    pub(super) waiters: Vec<KeyWaiter>,
    /// When the key may be forgotten; set once its call is over.
    pub(super) expires_at: Option<Duration>,
}

impl KeyEntry {
    pub(super) const fn new(fingerprint: KeyDigest) -> Self {
        Self {
            fingerprint,
            runner: None,
            phase: KeyPhase::Queued,
            waiters: Vec::new(),
            expires_at: None,
        }
    }

    /// Returns the reply for a request whose deadline passes now.
    pub(super) const fn overdue_reply(&self) -> KeyReply {
        match self.phase {
            KeyPhase::Queued | KeyPhase::RecordingIntent => {
                KeyReply::NotRun(NotRunReason::DeadlineUnmeetable)
            }
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
