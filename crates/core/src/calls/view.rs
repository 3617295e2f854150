//! The state of a call queue in the operators' dump.

use serde::{Deserialize, Serialize};

use super::state::CallQueue;
use crate::types::RunnerId;

/// Whether calls are sent to a runner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunnerHealth {
    /// All slots are offered to calls.
    Open,
    /// At most one slot is offered, after a rejected call.
    Backoff,
    /// At most one slot is offered, after repeated failures.
    Probation,
}

/// Slots and health of one runner.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RunnerView {
    /// Name of the runner.
    pub runner: RunnerId,
    /// Number of slots, as last listed.
    pub slots: u32,
    /// Slots in use by this shard's calls or lent to another owner.
    pub busy: u32,
    /// Whether the runner is in the list of live runners.
    pub live: bool,
    /// Whether calls are sent to the runner.
    pub health: RunnerHealth,
}

/// Numbers of calls and slots of one call shard.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct QueueView {
    /// Waiting calls, urgent ones included.
    pub waiting: usize,
    /// Waiting calls of class urgent.
    pub waiting_urgent: usize,
    /// Slots in use by calls of this shard, borrowed ones included.
    pub in_use: usize,
    /// Free offered slots of this shard's runners.
    pub free: u32,
    /// Slots of this shard's runners that are lent to other owners.
    pub lent: u32,
    /// Slots borrowed from other owners, free or in use.
    pub borrowed: u32,
    /// The live runners and those with slots in use.
    pub runners: Vec<RunnerView>,
}

impl CallQueue {
    /// Returns the state of the queue for the operators' dump.
    #[must_use]
    pub fn view(&self) -> QueueView {
        QueueView {
            waiting: self.waiting_len(),
            waiting_urgent: self.waiting_urgent,
            in_use: self.granted_len(),
            free: self.runners.idle_slots(),
            lent: self.loans.lent_len(),
            borrowed: self.loans.borrowed_len(),
            runners: self.runners.views(),
        }
    }
}
