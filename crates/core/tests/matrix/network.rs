//! The in-memory network: messages in virtual time, with losses and delays.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use auburnsaddle_core::{
    Epoch, GrantId, GrantResult, Heartbeat, JobId, JobRejection, JobSpec, KeyReply, KeyRequest,
    NotRunReason, RequestId, SlotGrant, TaskId, TaskOutcome,
};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::{
    runner::{RunnerReply, RunnerRequest},
    store::{StoreReply, StoreRequest, StoreView},
    targets::{WorkerReply, WorkerRequest},
};

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

#[derive(Clone, Debug)]
pub(crate) enum Message {
    Tick,
    Heartbeat(Heartbeat),
    Watch(StoreView),
    Submit(RequestId, JobSpec),
    Cancel(TaskId),
    Call(KeyRequest),
    AskSlot(CallId, RequestId),
    Slot(CallId, Result<(Epoch, SlotGrant), NotRunReason>),
    ReturnSlot(Epoch, GrantId, GrantResult),
    AskRunner(CallId, RunnerRequest),
    RunnerAnswer(CallId, RunnerReply),
    Publish(u64),
    Answer(RequestId, Answer),
    AskStore(CallId, Box<StoreRequest>),
    StoreAnswer(CallId, Box<StoreReply>),
    AskWorker(CallId, WorkerRequest),
    WorkerAnswer(CallId, WorkerReply),
}

#[derive(Clone, Debug)]
pub(crate) struct Envelope {
    pub(crate) from: Node,
    pub(crate) to: Node,
    pub(crate) message: Message,
}

/// Faults of the network that are in force.
#[derive(Clone, Debug, Default)]
pub(crate) struct NetworkFaults {
    /// Directions in which nothing passes.
    pub(crate) cut: BTreeSet<(Node, Node)>,
    pub(crate) delay: Duration,
    pub(crate) drop_percent: u32,
    pub(crate) duplicate_percent: u32,
    pub(crate) reorder: bool,
    pub(crate) store_delay: Duration,
}

/// Messages under way, in order of their arrival.
pub(crate) struct Network {
    pub(crate) faults: NetworkFaults,
    generator: ChaCha8Rng,
    queue: BTreeMap<(Duration, u64), Envelope>,
    sequence: u64,
}

impl Network {
    pub(crate) fn new(generator: ChaCha8Rng) -> Self {
        Self {
            faults: NetworkFaults::default(),
            generator,
            queue: BTreeMap::new(),
            sequence: 0,
        }
    }

    pub(crate) fn send(&mut self, now: Duration, envelope: Envelope) {
        let (from, to) = (envelope.from, envelope.to);
        if self.faults.cut.contains(&(from, to)) || self.chance(self.faults.drop_percent) {
            return;
        }
        if is_repeatable(&envelope.message) && self.chance(self.faults.duplicate_percent) {
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
        self.queue
            .pop_first()
            .map(|((at, _), envelope)| (at, envelope))
    }

    /// Closes the connection between two ends: what is under way is lost, as
    /// with a reset of the connection.
    pub(crate) fn close(&mut self, one: Node, other: Node) {
        self.queue.retain(|_, envelope| {
            let ends = (envelope.from, envelope.to);
            ends != (one, other) && ends != (other, one)
        });
    }

    fn chance(&mut self, percent: u32) -> bool {
        percent > 0 && self.generator.random_range(0..100) < percent
    }

    fn latency(&mut self, from: Node, to: Node) -> Duration {
        let spread = if self.faults.reorder { 300 } else { 3 };
        let jitter = Duration::from_millis(self.generator.random_range(1..=spread));
        let at_store = from == Node::Store || to == Node::Store;
        let store_delay = if at_store {
            self.faults.store_delay
        } else {
            Duration::ZERO
        };
        jitter + self.faults.delay + store_delay
    }
}

/// Tells whether a message can arrive twice: senders repeat it, or its effect
/// is the same. A start is sent once on a connection that repeats nothing.
const fn is_repeatable(message: &Message) -> bool {
    matches!(
        message,
        Message::Heartbeat(_)
            | Message::Watch(_)
            | Message::AskStore(..)
            | Message::StoreAnswer(..)
            | Message::WorkerAnswer(..)
            | Message::AskWorker(
                _,
                WorkerRequest::Claim(_) | WorkerRequest::Stop(..) | WorkerRequest::Sync(..)
            )
    )
}
