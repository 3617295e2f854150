//! The in-memory network: messages in virtual time, with losses and delays.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::prelude::*;

/// An end of a connection.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Node {
    Caller,
    Daemon(usize),
    Runner(usize),
    Store,
    Worker(usize),
}

/// Number of a request, unique per daemon over all its processes.
pub(crate) type CallId = u64;

/// What a daemon tells a caller.
#[derive(Clone, Debug)]
pub(crate) enum Answer {
    Accepted(JobId),
    Rejected(JobId, JobRejection),
    Ended(TaskId, TaskOutcome),
    Published,
    Called(KeyReply),
}

/// What a daemon asks of the store, a worker, a runner or the owner of the
/// slots; it keeps the request until the reply.
#[derive(Clone, Debug)]
pub(crate) enum Request {
    /// A compare-and-swap of an owner record, or its reading.
    Owner(OwnershipAction),
    /// A commit, or the reading of one of its segments.
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

    /// Returns what a daemon concludes when it gets no reply, or with the
    /// mutation `RetryUnknown`.
    pub(crate) fn lost(self, retries: bool) -> Event {
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
            Self::Worker(shard, _, TaskAction::Start(task, attempt, _)) if retries => {
                Event::Task(shard, TaskEvent::StartRejected(task, attempt))
            }
            Self::Worker(shard, _, TaskAction::Start(task, attempt, _)) => {
                Event::Task(shard, TaskEvent::StartUnknown(task, attempt))
            }
            Self::Slot(key, _) => call_ended(key, CallOutcome::NotRun(NotRunReason::NoOwner)),
            Self::Call(call) if retries => call_ended(
                call.key,
                CallOutcome::NotRun(NotRunReason::TargetUnreachable),
            ),
            Self::Call(call) => {
                let reason = UnknownReason::DeadlinePassed;
                call_ended(call.key, CallOutcome::Unknown(reason))
            }
            Self::Query(key) => Event::Key(KeyEvent::RunnerAnswered(key, RunnerAnswer::NotKnown)),
            _ => Event::Done,
        }
    }
}

/// A reply: an event for one of the state machines of the daemon that asked.
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
    /// The store did nothing.
    Unavailable,
}

pub(crate) const fn call_ended(key: KeyDigest, outcome: CallOutcome<KeyResponse>) -> Event {
    Event::Key(KeyEvent::CallEnded(key, outcome))
}

#[derive(Clone, Debug)]
pub(crate) enum Message {
    Answer(RequestId, Answer),
    Ask(CallId, Request),
    Call(KeyRequest),
    Cancel(TaskId),
    Heartbeat(Heartbeat),
    Publish(u64),
    Reply(CallId, Event),
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

/// Part of the messages that are lost or repeated under a fault.
const CHANCE_PERCENT: u32 = 25;

/// Messages under way, in order of their arrival.
pub(crate) struct Network {
    /// Faults in force.
    pub(crate) faults: Vec<Fault>,
    /// Directions in which nothing passes.
    pub(crate) cut: BTreeSet<(Node, Node)>,
    generator: ChaCha8Rng,
    queue: BTreeMap<(Duration, u64), Envelope>,
    sequence: u64,
}

impl Network {
    pub(crate) fn new(generator: ChaCha8Rng) -> Self {
        Self {
            faults: Vec::new(),
            cut: BTreeSet::new(),
            generator,
            queue: BTreeMap::new(),
            sequence: 0,
        }
    }

    pub(crate) fn send(&mut self, now: Duration, envelope: Envelope) {
        let (from, to) = (envelope.from, envelope.to);
        let is_return = matches!(envelope.message, Message::ReturnSlot(..));
        let lost = is_return && self.faults.contains(&Fault::ReturnLost);
        if lost || self.cut.contains(&(from, to)) || self.chance(Fault::Drop) {
            return;
        }
        if is_repeatable(&envelope.message) && self.chance(Fault::Duplicate) {
            let at = now + self.latency(from, to);
            self.schedule(at, envelope.clone());
        }
        let at = now + self.latency(from, to);
        self.schedule(at, envelope);
    }

    /// Delivers a message at a time, whatever the faults.
    pub(crate) fn schedule(&mut self, at: Duration, envelope: Envelope) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), envelope);
    }

    pub(crate) fn next(&mut self) -> Option<(Duration, Envelope)> {
        let ((at, _), envelope) = self.queue.pop_first()?;
        Some((at, envelope))
    }

    /// Closes the connection between two ends: what is under way is lost, as
    /// with a reset of the connection.
    pub(crate) fn close(&mut self, one: Node, other: Node) {
        self.queue.retain(|_, envelope| {
            let ends = (envelope.from, envelope.to);
            ends != (one, other) && ends != (other, one)
        });
    }

    fn chance(&mut self, fault: Fault) -> bool {
        self.faults.contains(&fault) && self.generator.random_range(0..100) < CHANCE_PERCENT
    }

    fn latency(&mut self, from: Node, to: Node) -> Duration {
        let at_store = from == Node::Store || to == Node::Store;
        let amount = |fault, millis| {
            let active = self.faults.contains(&fault);
            if active { millis } else { 0 }
        };
        let spread = amount(Fault::Reorder, 297) + 3;
        let delay = amount(Fault::Delay, 300);
        let store_delay = amount(Fault::StoreSlow, 400) * u64::from(at_store);
        let jitter = self.generator.random_range(1..=spread);
        Duration::from_millis(jitter + delay + store_delay)
    }
}

/// Tells whether a message can arrive twice. A call is sent to a runner once,
/// on a connection that repeats nothing, and a runner need not recognise it.
const fn is_repeatable(message: &Message) -> bool {
    !matches!(message, Message::Ask(_, Request::Call(_)))
}
