//! Events and actions of a call queue.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::types::{
    DaemonId, Epoch, GrantId, NotRunReason, RequestId, RunnerId, TeamId, UrgencyClass, ZoneId,
};

/// A call that asks for a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CallRequest {
    /// Identifier of the caller's request.
    pub request: RequestId,
    /// The team that is charged, if any.
    pub team: Option<TeamId>,
    /// How urgent the call is.
    pub urgency: UrgencyClass,
    /// Time left until the caller's deadline when the call was sent.
    pub remaining: Duration,
    /// The daemon that asks and receives the grant, if it is known.
    pub requester: Option<DaemonId>,
    /// Whether another zone has redirected the call; it is redirected only once.
    pub redirected: bool,
}

impl CallRequest {
    /// Returns a call of normal urgency without a team and a requester.
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
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SlotGrant {
    /// Identifier to return the slot with.
    pub grant: GrantId,
    /// The call that may use the slot.
    pub request: RequestId,
    /// The runner that has the slot.
    pub runner: RunnerId,
    /// The owner that lent the slot, if it is borrowed; the runner checks the
    /// epoch of that shard.
    pub lender: Option<SlotLender>,
}

/// The shard that a borrowed slot belongs to.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SlotLender {
    /// The lender's zone.
    pub zone: ZoneId,
    /// The lender's epoch.
    pub epoch: Epoch,
}

/// Identifier of a loan at all owners of a service.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct LoanKey {
    /// The lender's epoch.
    pub epoch: Epoch,
    /// Number of the loan in that epoch.
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
    /// Highest such number that the sender has received from the receiver.
    pub acked: u64,
    /// What the sender asks or answers.
    pub body: LoanBody,
}

/// Content of a [`LoanMessage`].
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum LoanBody {
    /// Asks for slots; stands until the next request of the same sender.
    Ask {
        /// Time on the sender's clock.
        sent_at: Duration,
        /// Most slots that the sender can use; none if it is not short.
        wanted: u32,
    },
    /// Lends slots on a request.
    Offer {
        /// The borrower's epoch.
        ask_epoch: Epoch,
        /// Time of the request on the borrower's clock.
        asked_at: Duration,
        /// The loan.
        loan: LoanKey,
        /// The runner of each slot.
        runners: Vec<RunnerId>,
    },
    /// Gives back slots of a loan, by their position in the offer.
    Return {
        /// The loan.
        loan: LoanKey,
        /// The slots.
        slots: Vec<u32>,
    },
}

/// How a granted call ended, as the dispatching daemon saw it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum GrantResult {
    /// The runner answered.
    Answered,
    /// The runner rejected the call or could not be reached.
    Rejected,
    /// The answer was cut, did not come in time or reported a fault of the runner.
    Failed,
    /// The slot was not used, because the requester had gone away.
    Unused,
}

/// Load of a call shard, as its owner reports it to other zones.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CallLoad {
    /// Free slots that are open to calls of any class.
    pub free: u32,
    /// Calls that wait.
    pub waiting: u32,
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
    /// A daemon is considered dead.
    ///
    /// Its waiting calls are dropped. Its grants are reclaimed once their call
    /// deadline has passed, because the runner may run them until then.
    RequesterLost(DaemonId),
    /// The weights of teams changed; a team without one has weight one.
    WeightsChanged(BTreeMap<TeamId, u32>),
    /// The share of the slots for urgent calls changed, in percent.
    UrgentShareChanged(u32),
    /// The longest time that a call may run changed.
    MaxCallDurationChanged(Duration),
    /// The owner of the same service in another zone reports its load.
    ZoneLoadChanged(ZoneId, CallLoad),
    /// The owner of the same service in another zone sent a message about loans.
    LoanReceived(ZoneId, LoanMessage),
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
    /// Tells the requester to ask the owner of another zone.
    Redirect(RequestId, ZoneId),
    /// Sends a message to the owner of the same service in another zone.
    SendLoan(ZoneId, LoanMessage),
}
