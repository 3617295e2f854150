//! Events and actions of a call queue.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::types::{
    DaemonId, Epoch, GrantId, NotRunReason, RequestId, RunnerId, TeamId, UrgencyClass, ZoneId,
};

/// A request for a slot for one call.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CallRequest {
    /// Identifier of the caller's request.
    pub request: RequestId,
    /// The team that is charged for the call, if any.
    pub team: Option<TeamId>,
    /// Urgency class, which determines the lane.
    pub urgency: UrgencyClass,
    /// Time left until the caller's deadline when the call was sent.
    pub remaining: Duration,
    /// The daemon that receives the grant, if it is known.
    pub requester: Option<DaemonId>,
    /// Whether another zone has redirected the call; a call is redirected at most
    /// once.
    pub redirected: bool,
}

impl CallRequest {
    /// Returns a request of normal urgency without a team or a requester.
    #[must_use]
    pub const fn new(request: RequestId, remaining: Duration) -> Self {
        Self {
            request,
            team: None,
            urgency: UrgencyClass::Normal,
            remaining,
            requester: None,
            redirected: false,
        }
    }
}

/// A runner and its number of slots.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RunnerEntry {
    /// Name of the runner.
    pub runner: RunnerId,
    /// Number of calls that the runner runs at once.
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
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SlotGrant {
    /// Identifier with which the slot is returned.
    pub grant: GrantId,
    /// The call that may use the slot.
    pub request: RequestId,
    /// The runner that has the slot.
    pub runner: RunnerId,
    /// The owner that lent the slot, if it is borrowed; the runner checks that
    /// owner's epoch.
    pub lender: Option<SlotLender>,
}

/// The owner that lent a borrowed slot.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SlotLender {
    /// The lender's zone.
    pub zone: ZoneId,
    /// The lender's epoch.
    pub epoch: Epoch,
}

/// Identifier of a loan, unique among the loans of a lender's zone.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct LoanKey {
    /// The lender's epoch.
    pub epoch: Epoch,
    /// Number of the loan in the lender's epoch.
    pub number: u64,
}

/// A message about loans between the owners of a service in two zones.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LoanMessage {
    /// The sender's epoch.
    pub epoch: Epoch,
    /// The sender's free slots less its waiting calls.
    pub balance: i32,
    /// Number of offers and returns that the sender has sent to the receiver.
    pub sequence: u64,
    /// Highest `sequence` that the sender has received from the receiver.
    pub acked: u64,
    /// The request, offer or return.
    pub body: LoanBody,
}

/// Content of a [`LoanMessage`].
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum LoanBody {
    /// Requests slots; replaces the previous request of the same sender.
    Ask {
        /// Time of the request on the sender's clock.
        sent_at: Duration,
        /// Maximum number of slots that the sender wants; zero if it needs none.
        wanted: u32,
    },
    /// Lends slots in answer to a request.
    Offer {
        /// The borrower's epoch.
        ask_epoch: Epoch,
        /// Time of the request on the borrower's clock, from which the term counts.
        asked_at: Duration,
        /// Identifier of the new loan.
        loan: LoanKey,
        /// The runner of each slot.
        runners: Vec<RunnerId>,
    },
    /// Returns slots of a loan.
    Return {
        /// Identifier of the loan.
        loan: LoanKey,
        /// Positions of the slots in the offer.
        slots: Vec<u32>,
    },
}

/// How a granted call ended, as reported by the daemon that dispatched it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum GrantResult {
    /// The runner answered.
    Answered,
    /// The runner rejected the call or was unreachable.
    Rejected,
    /// The response was truncated, late or reported a fault of the runner.
    Failed,
    /// The slot was not used, because the requester no longer needed it.
    Unused,
}

/// Load of a call shard, as its owner reports it to other zones.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CallLoad {
    /// Free slots that are not reserved for urgent calls.
    pub free: u32,
    /// Number of waiting calls.
    pub waiting: u32,
}

/// Input of a call queue.
#[derive(Clone, Debug)]
pub enum CallEvent {
    /// A call needs a slot.
    Requested(CallRequest),
    /// The caller of a waiting call has cancelled it or disconnected.
    Cancelled(RequestId),
    /// The requester has returned a granted slot.
    Returned(GrantId, GrantResult),
    /// The list of live runners of the shard has changed.
    RunnersChanged(Vec<RunnerEntry>),
    /// A daemon has failed or is unreachable.
    ///
    /// Its waiting calls are dropped. Its grants are reclaimed once the deadlines
    /// of their calls have passed, because the runner may run them until then.
    RequesterLost(DaemonId),
    /// The weights of the teams have changed; a team without one has weight one.
    WeightsChanged(BTreeMap<TeamId, u32>),
    /// The maximum share of the slots reserved for urgent calls has changed, in
    /// percent.
    UrgentShareChanged(u32),
    /// The longest time that a call may run has changed.
    MaxCallDurationChanged(Duration),
    /// The owner of the same service in another zone has reported its load.
    ZoneLoadChanged(ZoneId, CallLoad),
    /// The owner of the same service in another zone has sent a loan message.
    LoanReceived(ZoneId, LoanMessage),
    /// The time that `CallQueue::next_timer` returned has been reached.
    TimerFired,
}

/// Output of a call queue, to be carried out by the daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallAction {
    /// Sends the requester the grant, with which it may dispatch the call.
    Grant(SlotGrant),
    /// Sends the requester the reason why the call was not run.
    Reject(RequestId, NotRunReason),
    /// Redirects the requester to the owner in another zone.
    Redirect(RequestId, ZoneId),
    /// Sends a loan message to the owner of the same service in another zone.
    SendLoan(ZoneId, LoanMessage),
}
