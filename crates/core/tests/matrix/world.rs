//! One run: the event loop, the workload and the trace.

use std::{collections::VecDeque, fmt::Write as _, mem};

use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

use super::prelude::*;

const TICK: Duration = Duration::from_millis(100);
/// A fault begins before 20 s, lasts at most 12 s, and the leases of 20 s are
/// waited out with their margin before a task runs again.
const END: Duration = Duration::from_secs(80);
const TRACE_LENGTH: usize = 60;

#[derive(Clone, Debug)]
pub(crate) struct RunOptions {
    pub(crate) seed: u64,
    pub(crate) injections: Vec<Injection>,
    pub(crate) mutation: Option<Mutation>,
}

impl RunOptions {
    pub(crate) const fn new(
        seed: u64,
        injections: Vec<Injection>,
        mutation: Option<Mutation>,
    ) -> Self {
        Self {
            seed,
            injections,
            mutation,
        }
    }
}

/// An event of the trace; it is formatted only for a report.
pub(crate) enum TraceEntry {
    Fault(&'static str, ActiveFault),
    /// A message, and the reply of a worker to it.
    Delivered(Box<(Envelope, Option<Event>)>),
}

impl TraceEntry {
    fn line(&self) -> String {
        match self {
            Self::Fault(change, fault) => format!("{change} {fault:?}"),
            Self::Delivered(delivered) => {
                let (Envelope { from, to, message }, reply) = &**delivered;
                let reply = reply.as_ref().map(|reply| format!(" -> {reply:?}"));
                format!(
                    "{from:?} -> {to:?} {message:?}{}",
                    reply.unwrap_or_default()
                )
            }
        }
    }
}

pub(crate) struct World {
    pub(crate) now: Duration,
    pub(crate) daemons: Vec<Daemon>,
    pub(crate) workers: Vec<Worker>,
    pub(crate) runners: Vec<Runner>,
    pub(crate) store: Store,
    pub(crate) network: Network,
    /// What the callers were told.
    pub(crate) told: Vec<(RequestId, Answer)>,
    pub(crate) jobs: BTreeMap<JobId, JobSpec>,
    /// Lengths of the logs and of the answers when they were last checked.
    pub(crate) checked: (usize, usize),
    /// Published versions with their times.
    pub(crate) versions: Vec<(Duration, u64)>,
    /// When the last fault ended or will end.
    pub(crate) calm_since: Duration,
    /// Injections that have not taken effect yet.
    pub(crate) pending: Vec<Injection>,
    pub(crate) faults: Vec<ActiveFault>,
    pub(crate) resume_at: [Duration; DAEMONS],
    pub(crate) processes: u64,
    pub(crate) drained: bool,
    pub(crate) options: RunOptions,
    seen: StoreView,
    trace: VecDeque<(Duration, TraceEntry)>,
}

/// What happened in a run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct RunSummary {
    /// Injections whose step was not reached.
    pub(crate) missed: usize,
    pub(crate) accepted: usize,
    pub(crate) rejected: usize,
    pub(crate) succeeded: usize,
    /// Keyed calls that got neither a response nor a rejection.
    pub(crate) cut: usize,
    pub(crate) starts: usize,
    /// Slots that are still granted.
    pub(crate) granted: usize,
    /// The version in force at every daemon.
    pub(crate) version: u64,
}

/// Runs one world to its end, or to the first violated invariant, which it
/// returns with a report of seed, faults and trace.
pub(crate) fn run(options: RunOptions) -> Result<RunSummary, (Invariant, String)> {
    let mut world = World::new(options);
    let result = world.run_to_end();
    result.map_err(|(invariant, detail)| (invariant, world.report(invariant, &detail)))?;
    Ok(world.summary())
}

impl World {
    fn new(options: RunOptions) -> Self {
        let daemons = (0..DAEMONS).map(|index| Daemon::new(index, 0, Duration::ZERO, &options));
        let mut world = Self {
            now: Duration::ZERO,
            daemons: daemons.collect(),
            workers: (0..WORKERS).map(|_| Worker::default()).collect(),
            runners: (0..RUNNERS).map(|_| Runner::default()).collect(),
            store: Store::default(),
            network: Network::new(ChaCha8Rng::seed_from_u64(options.seed)),
            told: Vec::new(),
            jobs: (1..=JOBS).map(|number| (number, job(number))).collect(),
            checked: (0, 0),
            versions: Vec::new(),
            calm_since: Duration::ZERO,
            pending: options.injections.clone(),
            faults: Vec::new(),
            resume_at: [Duration::ZERO; DAEMONS],
            processes: 0,
            drained: false,
            options,
            seen: StoreView::default(),
            trace: VecDeque::new(),
        };
        for worker in &mut world.workers {
            worker.mutation = world.options.mutation;
        }
        world.schedule_workload();
        world
    }

    fn schedule_workload(&mut self) {
        let millis = Duration::from_millis;
        for index in 0..DAEMONS {
            self.schedule_to(millis(7 * index as u64), index, Message::Tick);
        }
        for (number, spec) in self.jobs.clone() {
            let at = millis(3_000 + 600 * (number - number % 3));
            let message = Message::Submit(number.into(), spec);
            self.schedule_to(at, index_at(number), message);
        }
        for number in 0..CALLS {
            for copy in 0..COPIES {
                let at = millis(3_000 + 450 * u64::from(number) + 3_500 * u64::from(copy));
                let message = Message::Call(call(number, copy));
                self.schedule_to(at, index_at(number + copy), message);
            }
        }
        for (number, seconds) in [(1_u64, 4), (2, 8), (3, 12), (4, 40)] {
            let at = Duration::from_secs(seconds);
            self.schedule_to(at, index_at(number), Message::Publish(number));
        }
    }

    pub(crate) fn schedule_to(&mut self, at: Duration, index: usize, message: Message) {
        let (from, to) = (Node::Caller, Node::Daemon(index));
        self.network.schedule(at, Envelope { from, to, message });
    }

    fn run_to_end(&mut self) -> Checked {
        while let Some((at, envelope)) = self.network.next() {
            if at >= END {
                break;
            }
            self.now = at;
            self.end_faults();
            self.deliver(envelope);
            self.push_changes();
            check(self)?;
        }
        check_end(self)
    }

    fn deliver(&mut self, Envelope { from, to, message }: Envelope) {
        match (to, message) {
            (Node::Daemon(index), message) if self.resume_at[index] > self.now => {
                let envelope = Envelope { from, to, message };
                self.network.schedule(self.resume_at[index], envelope);
            }
            (Node::Daemon(index), message) => self.deliver_to_daemon(index, from, message),
            (Node::Worker(index), message) => self.deliver_to_worker(index, from, &message),
            (Node::Runner(index), message) => self.deliver_to_runner(index, from, message),
            (Node::Store, Message::Ask(id, request)) => {
                if let Some(event) = self.store.answer(request, self.now) {
                    self.send(to, from, Message::Reply(id, event));
                }
            }
            (Node::Caller, Message::Answer(request, answer)) => {
                self.told.push((request, answer.clone()));
                self.note_message(from, to, &Message::Answer(request, answer), None);
            }
            _ => {}
        }
    }

    fn deliver_to_daemon(&mut self, index: usize, from: Node, message: Message) {
        let own = Node::Daemon(index);
        let is_tick = matches!(message, Message::Tick);
        if is_tick {
            self.schedule_to(self.now + TICK, index, Message::Tick);
        }
        if !self.daemons[index].alive {
            return;
        }
        self.daemons[index].now = self.daemons[index].clock.read(self.now);
        if is_tick {
            self.read_host_list(index);
            self.drain_owner(index);
        } else {
            self.note_message(from, own, &message, None);
        }
        self.daemons[index].handle(from, message);
        let out = mem::take(&mut self.daemons[index].out);
        for to in out.closes {
            self.network.close(own, to);
        }
        let before = self.pending.len();
        for (step, worker) in out.steps {
            self.reach(step, index, worker);
        }
        // A daemon that was killed at a step sends nothing of it half the time.
        let killed = self.pending.len() < before && !self.daemons[index].alive;
        if !(killed && self.options.seed.is_multiple_of(2)) {
            for (to, message) in out.sends {
                self.send(own, to, message);
            }
        }
    }

    fn deliver_to_worker(&mut self, index: usize, from: Node, message: &Message) {
        let own = Node::Worker(index);
        let worker = &mut self.workers[index];
        let Message::Ask(id, request) = message else {
            return;
        };
        if worker.dead {
            return;
        }
        let (starts, running) = (worker.log.len(), worker.tasks().count());
        let reply = worker.answer(request, self.now);
        let step = match () {
            () if worker.log.len() > starts => Some(Step::Start),
            () if running > 0 => Some(Step::Run),
            () if starts > 0 => Some(Step::Report),
            () => None,
        };
        self.note_message(from, own, message, Some(&reply));
        self.send(own, from, Message::Reply(*id, reply));
        if let (Node::Daemon(daemon), Some(step)) = (from, step) {
            self.reach(step, daemon, Some(index));
        }
    }

    fn deliver_to_runner(&mut self, index: usize, from: Node, message: Message) {
        let own = Node::Runner(index);
        let runner = &mut self.runners[index];
        let mut replies = runner.finish(self.now);
        if let Message::Ask(id, request) = message {
            match (runner.answer((from, id), request, self.now), from) {
                (None, Node::Daemon(daemon)) => {
                    // The runner looks for ended calls when it gets a tick.
                    let (to, message) = (own, Message::Tick);
                    let tick = Envelope { from, to, message };
                    self.network.schedule(self.now + CALL_TIME, tick);
                    self.reach(Step::Start, daemon, None);
                }
                (reply, _) => replies.extend(reply.map(|reply| ((from, id), reply))),
            }
        }
        for ((to, id), reply) in replies {
            self.send(own, to, Message::Reply(id, reply));
        }
    }

    fn send(&mut self, from: Node, to: Node, message: Message) {
        let envelope = Envelope { from, to, message };
        self.network.send(self.now, envelope);
    }

    /// Sends the watched keys to every daemon after a change.
    fn push_changes(&mut self) {
        self.store.expire_leases(self.now);
        let view = self.store.view();
        if view == self.seen || self.store.down {
            return;
        }
        if view.head != self.seen.head {
            self.versions.push((self.now, view.head.version));
        }
        for index in 0..DAEMONS {
            let message = Message::Watch(view.clone());
            self.send(Node::Store, Node::Daemon(index), message);
        }
        self.seen = view;
    }

    fn summary(&self) -> RunSummary {
        let count = |is_counted: fn(&Answer) -> bool| {
            let told = self.told.iter();
            told.filter(|(_, answer)| is_counted(answer)).count()
        };
        // A repeated request is answered more than once.
        let answered: BTreeSet<_> = self
            .told
            .iter()
            .filter(|(_, answer)| is_answered(answer))
            .map(|(request, _)| request)
            .collect();
        RunSummary {
            missed: self.pending.len(),
            accepted: count(|answer| matches!(answer, Answer::Accepted(_))),
            rejected: count(|answer| matches!(answer, Answer::Rejected(..))),
            succeeded: count(|answer| matches!(answer, Answer::Ended(_, TaskOutcome::Succeeded))),
            cut: usize::from(CALLS) * usize::from(COPIES) - answered.len(),
            starts: self.workers.iter().map(|worker| worker.log.len()).sum(),
            granted: self.daemons.iter().map(Daemon::granted_len).sum(),
            version: self.daemons[0].config.version(),
        }
    }

    fn note_message(&mut self, from: Node, to: Node, message: &Message, reply: Option<&Event>) {
        if !matches!(message, Message::Heartbeat(_) | Message::Watch(_)) {
            let message = message.clone();
            let delivered = (Envelope { from, to, message }, reply.cloned());
            self.note(TraceEntry::Delivered(Box::new(delivered)));
        }
    }

    pub(crate) fn note(&mut self, entry: TraceEntry) {
        if self.trace.len() == TRACE_LENGTH {
            self.trace.pop_front();
        }
        self.trace.push_back((self.now, entry));
    }

    fn report(&self, invariant: Invariant, detail: &str) -> String {
        let Self { now, options, .. } = self;
        let mut text = format!("{invariant:?} violated at {now:?}: {detail}\n{options:?}\n");
        for (at, entry) in &self.trace {
            let _ = writeln!(text, "  {at:?} {:.600}", entry.line());
        }
        text
    }
}

/// Returns the daemon that a caller's numbered request enters at.
fn index_at(number: impl Into<u64>) -> usize {
    usize::try_from(number.into()).unwrap_or_default() % DAEMONS
}

/// Tells whether a call got a response or an explicit rejection.
const fn is_answered(answer: &Answer) -> bool {
    matches!(
        answer,
        Answer::Called(KeyReply::Completed(_) | KeyReply::Replayed(_) | KeyReply::NotRun(_))
    )
}
