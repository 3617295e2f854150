//! The in-memory network: delivers messages in virtual time, with losses,
//! duplicates and delays.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::prelude::*;

/// An endpoint of a connection.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Node {
    Caller,
    Daemon(usize),
    Runner(usize),
    Store,
    Worker(usize),
}

/// Identifier of a request from a daemon, unique across restarts of the daemon.
pub(crate) type RpcId = u64;

/// A response of a daemon to a caller.
#[derive(Clone, Debug)]
pub(crate) enum Answer {
    Accepted(JobId),
    Rejected(JobId, JobRejection),
    Ended(TaskId, TaskOutcome),
    Published,
    Called(KeyReply),
}

/// A request of a daemon to the store, a worker, a runner or the owner of the
/// call shard. The daemon keeps the request until it is answered or times out.
#[derive(Clone, Debug)]
pub(crate) enum Request {
    /// A compare-and-swap or a read of an owner record.
    Owner(OwnershipAction),
    /// A commit, or a read of one committed segment.
    Journal(JournalAction),
    ReadJournal(ShardName, Epoch),
    ReadView,
    Register(MemberRecord),
    Publish(Box<ConfigUpdate>),
    ReadVersions(ConfigVersion),
    Worker(ShardName, Epoch, TaskAction),
    Slot(KeyDigest, RequestId),
    Call(RunnerCall),
    Query(KeyDigest),
}

impl Request {
    pub(crate) const fn worker_action(&self) -> Option<&TaskAction> {
        match self {
            Self::Worker(_, _, action) => Some(action),
            _ => None,
        }
    }

    /// Returns the event that stands for a missing reply. With the mutation
    /// `RetryUnknown`, starts and calls count as not run instead of unknown.
    pub(crate) fn failure_event(self, assumes_not_run: bool) -> Event {
        match self {
            Self::Owner(
                OwnershipAction::Claim { shard, .. } | OwnershipAction::ReadOwner(shard),
            ) => Event::Owner(OwnershipEvent::ClaimFailed(shard)),
            Self::Journal(
                JournalAction::Commit(JournalBatch { number, .. })
                | JournalAction::ReadBack(number, ..),
            ) => Event::Journal(JournalEvent::ResponseLost(number)),
            Self::ReadJournal(shard, epoch) => Event::JournalLost(shard, epoch),
            Self::Register(_) => Event::Registration(RegistrationEvent::Failed),
            Self::Worker(shard, _, TaskAction::Start(task, attempt, _)) if assumes_not_run => {
                Event::Task(shard, TaskEvent::StartRejected(task, attempt))
            }
            Self::Worker(shard, _, TaskAction::Start(task, attempt, _)) => {
                Event::Task(shard, TaskEvent::StartUnknown(task, attempt))
            }
            Self::Slot(key, _) => call_ended_event(key, CallOutcome::NotRun(NotRunReason::NoOwner)),
            Self::Call(call) if assumes_not_run => call_ended_event(
                call.key,
                CallOutcome::NotRun(NotRunReason::TargetUnreachable),
            ),
            Self::Call(call) => {
                let reason = UnknownReason::DeadlinePassed;
                call_ended_event(call.key, CallOutcome::Unknown(reason))
            }
            Self::Query(key) => Event::Key(KeyEvent::RunnerAnswered(key, RunnerAnswer::NotKnown)),
            _ => Event::Done,
        }
    }
}

/// A reply: an event for one of the state machines of the requesting daemon.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    Owner(OwnershipEvent),
    Journal(JournalEvent),
    JournalRead(ShardName, Epoch, BTreeMap<JournalKey, Vec<u8>>),
    JournalLost(ShardName, Epoch),
    Registration(RegistrationEvent),
    Config(ConfigEvent),
    View(StoreView),
    Task(ShardName, TaskEvent),
    Key(KeyEvent),
    Granted(RunnerCall),
    Published,
    Done,
    /// The store is down and did not apply the request.
    Unavailable,
}

pub(crate) const fn call_ended_event(key: KeyDigest, outcome: CallOutcome<KeyResponse>) -> Event {
    Event::Key(KeyEvent::CallEnded(key, outcome))
}

#[derive(Clone, Debug)]
pub(crate) enum Message {
    Answer(RequestId, Answer),
    Rpc(RpcId, Request),
    Call(KeyRequest),
    Cancel(TaskId),
    Heartbeat(Heartbeat),
    Publish(u64),
    Reply(RpcId, Event),
    ReturnSlot(Epoch, GrantId, GrantResult),
    Submit(RequestId, JobSpec),
    Tick,
    Watch(StoreView),
}

#[derive(Clone, Debug)]
pub(crate) struct Envelope {
    pub(crate) from: Node,
    pub(crate) to: Node,
    pub(crate) message: Message,
}

/// Probability that a message is dropped or duplicated under the respective
/// fault.
const AFFECTED_PERCENT: u32 = 25;

/// Messages in flight, in order of arrival.
pub(crate) struct Network {
    /// Faults in progress.
    pub(crate) faults: Vec<Fault>,
    /// Pairs of sender and receiver between which messages are dropped.
    pub(crate) blocked: BTreeSet<(Node, Node)>,
    generator: ChaCha8Rng,
    queue: BTreeMap<(Duration, u64), Envelope>,
    sequence: u64,
}

impl Network {
    pub(crate) fn new(generator: ChaCha8Rng) -> Self {
        Self {
            faults: Vec::new(),
            blocked: BTreeSet::new(),
            generator,
            queue: BTreeMap::new(),
            sequence: 0,
        }
    }

    pub(crate) fn send(&mut self, now: Duration, envelope: Envelope) {
        let (from, to) = (envelope.from, envelope.to);
        let is_slot_return = matches!(envelope.message, Message::ReturnSlot(..));
        let is_lost = is_slot_return && self.faults.contains(&Fault::ReturnLost);
        if is_lost || self.blocked.contains(&(from, to)) || self.is_affected(Fault::Drop) {
            return;
        }
        if can_duplicate(&envelope.message) && self.is_affected(Fault::Duplicate) {
            let at = now + self.latency(from, to);
            self.schedule(at, envelope.clone());
        }
        let at = now + self.latency(from, to);
        self.schedule(at, envelope);
    }

    /// Schedules a message for a time of arrival, regardless of faults.
    pub(crate) fn schedule(&mut self, at: Duration, envelope: Envelope) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), envelope);
    }

    pub(crate) fn pop_next(&mut self) -> Option<(Duration, Envelope)> {
        let ((at, _), envelope) = self.queue.pop_first()?;
        Some((at, envelope))
    }

    /// Closes the connection between two endpoints. Messages in flight in both
    /// directions are lost, as after a TCP reset.
    pub(crate) fn close_connection(&mut self, one: Node, other: Node) {
        self.queue.retain(|_, envelope| {
            let ends = (envelope.from, envelope.to);
            ends != (one, other) && ends != (other, one)
        });
    }

    fn is_affected(&mut self, fault: Fault) -> bool {
        self.faults.contains(&fault) && self.generator.random_range(0..100) < AFFECTED_PERCENT
    }

    fn latency(&mut self, from: Node, to: Node) -> Duration {
        let involves_store = from == Node::Store || to == Node::Store;
        let amount = |fault, millis| {
            let is_active = self.faults.contains(&fault);
            if is_active { millis } else { 0 }
        };
        let spread = amount(Fault::Reorder, 297) + 3;
        let delay = amount(Fault::Delay, 300);
        let store_delay = amount(Fault::StoreSlow, 400) * u64::from(involves_store);
        let jitter = self.generator.random_range(1..=spread);
        Duration::from_millis(jitter + delay + store_delay)
    }
}

/// Returns whether the network may duplicate a message. A call is sent to a
/// runner once, over a connection without duplicates, and runners are not
/// required to detect duplicates.
const fn can_duplicate(message: &Message) -> bool {
    !matches!(message, Message::Rpc(_, Request::Call(_)))
}
