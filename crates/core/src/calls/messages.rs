//! Events and actions of a call queue.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::types::{GrantId, NotRunReason, RequestId, RunnerId, TeamId, UrgencyClass};

/// A call that asks for a slot.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct CallRequest {
    /// Identifier of the caller's request.
    pub request: RequestId,
    /// The team that is charged, if any.
    pub team: Option<TeamId>,
    /// How urgent the call is.
    pub urgency: UrgencyClass,
    /// Time left until the caller's deadline when the call was sent.
    pub remaining: Duration,
}

impl CallRequest {
    /// Returns a call of normal urgency without a team.
    #[must_use]
    pub const fn new(request: RequestId, remaining: Duration) -> Self {
        Self {
            request,
            team: None,
            urgency: UrgencyClass::Normal,
            remaining,
        }
    }
}

/// A runner and its number of slots.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct RunnerEntry {
    /// Name of the runner.
    pub runner: RunnerId,
    /// Calls that the runner takes at once.
    pub slots: u32,
}

impl RunnerEntry {
    /// Returns a runner with a number of slots.
    #[must_use]
    pub fn new(runner: &str, slots: u32) -> Self {
        Self {
            runner: runner.into(),
            slots,
        }
    }
}

/// The right to occupy one slot of a runner for one call.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct SlotGrant {
    /// Identifier to return the slot with.
    pub grant: GrantId,
    /// The call that may use the slot.
    pub request: RequestId,
    /// The runner that has the slot.
    pub runner: RunnerId,
}

/// How a granted call ended, as the dispatching daemon saw it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum GrantResult {
    /// The runner answered.
    Answered,
    /// The runner rejected the call or could not be reached.
    Rejected,
    /// The answer was cut or did not come in time.
    Failed,
}

/// Something that happens to a call queue.
#[derive(Clone, Debug)]
pub enum CallEvent {
    /// A call asks for a slot.
    Requested(CallRequest),
    /// The caller of a queued call went away.
    Cancelled(RequestId),
    /// A granted slot is free again.
    Returned(GrantId, GrantResult),
    /// The live runners of the shard changed.
    RunnersChanged(Vec<RunnerEntry>),
    /// Time has passed.
    TimerFired,
}

/// What a call queue asks its surroundings to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallAction {
    /// Tells the requester that it may dispatch.
    Grant(SlotGrant),
    /// Tells the requester that the call was not run.
    Reject(RequestId, NotRunReason),
}
