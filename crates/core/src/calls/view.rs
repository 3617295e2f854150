//! What operators see of a call queue.

use serde::{Deserialize, Serialize};

use super::state::CallQueue;
use crate::types::RunnerId;

/// Whether a runner takes calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunnerHealth {
    /// All its slots are offered.
    Open,
    /// Few or no slots are offered after a rejected call.
    Backoff,
    /// Few or no slots are offered after repeated failures.
    Probation,
}

/// Slots of one runner.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RunnerView {
    /// The runner.
    pub runner: RunnerId,
    /// Its slots.
    pub slots: u32,
    /// Slots in use or lent.
    pub busy: u32,
    /// Whether it is in the list of live runners.
    pub live: bool,
    /// Whether it takes calls.
    pub health: RunnerHealth,
}

/// Calls and slots of one call shard.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct QueueView {
    /// Calls that wait, urgent ones included.
    pub waiting: usize,
    /// Urgent calls that wait.
    pub waiting_urgent: usize,
    /// Slots that calls of this shard use, borrowed ones included.
    pub in_use: usize,
    /// Offered slots of own runners that are free.
    pub free: u32,
    /// Slots of own runners that other owners have.
    pub lent: u32,
    /// Slots of other owners' runners, free or in use.
    pub borrowed: u32,
    /// The runners.
    pub runners: Vec<RunnerView>,
}

impl CallQueue {
    /// Returns the calls and slots as operators see them.
    #[must_use]
    pub fn view(&self) -> QueueView {
        QueueView {
            waiting: self.waiting_len(),
            waiting_urgent: self.waiting_urgent,
            in_use: self.granted_len(),
            free: self.runners.spare(),
            lent: self.loans.lent_len(),
            borrowed: self.loans.borrowed_len(),
            runners: self.runners.views(),
        }
    }
}
