//! One run: the event loop, the workload and the injection of faults.

use std::{
    collections::{BTreeMap, VecDeque},
    fmt::Write as _,
    time::Duration,
};

use auburnsaddle_core::{JobId, JobSpec, KeyReply, RequestId, RestartPolicy, TaskId, TaskOutcome};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

use super::{
    CALLS, CAPACITY, COPIES, DAEMONS, JOBS, RUNNERS, WORKERS, call,
    daemon::{Daemon, Outbox},
    faults::{Fault, Injection, Mutation, Step},
    invariants::{Invariant, Violation, check, check_end},
    job,
    network::{Answer, Envelope, Message, Network, Node},
    pool::TASK_LEASE,
    runner::{CALL_TIME, Runner},
    store::{Store, StoreView},
    targets::Worker,
    trace::TraceEntry,
};

const TICK: Duration = Duration::from_millis(100);
/// A fault begins before 20 s, lasts at most 12 s, and the leases of 20 s are
/// waited out with their margin before a task runs again.
const END: Duration = Duration::from_secs(80);
const TRACE_LENGTH: usize = 60;

#[derive(Clone, Debug, Default)]
pub(crate) struct RunOptions {
    pub(crate) seed: u64,
    pub(crate) injections: Vec<Injection>,
    pub(crate) mutation: Option<Mutation>,
}

const fn is_answered(answer: &Answer) -> bool {
    matches!(
        answer,
        Answer::Called(KeyReply::Completed(_) | KeyReply::Replayed(_) | KeyReply::NotRun(_))
    )
}

/// What the callers asked and were told.
#[derive(Default)]
pub(crate) struct Caller {
    pub(crate) told: Vec<(RequestId, Answer)>,
}

pub(crate) struct World {
    pub(crate) now: Duration,
    pub(crate) daemons: Vec<Daemon>,
    pub(crate) workers: Vec<Worker>,
    pub(crate) runners: Vec<Runner>,
    pub(crate) store: Store,
    pub(crate) caller: Caller,
    pub(crate) jobs: BTreeMap<JobId, JobSpec>,
    /// Lengths of the logs and of the answers when they were last checked.
    pub(crate) checked: (usize, usize),
    /// Published versions with their times.
    pub(crate) versions: Vec<(Duration, u64)>,
    /// When the last fault ended or will end.
    pub(crate) calm_since: Duration,
    /// Whether every injection took effect.
    pub(crate) pending: Vec<Injection>,
    pub(crate) network: Network,
    pub(crate) faults: Vec<(Duration, Fault, usize, usize)>,
    pub(crate) resume_at: [Duration; DAEMONS],
    pub(crate) processes: u64,
    seen: StoreView,
    pub(crate) drained: bool,
    pub(crate) options: RunOptions,
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
    /// The version in force at every daemon.
    pub(crate) version: u64,
}

/// Runs one world to its end.
///
/// # Errors
///
/// Returns the violated invariant and a report with seed, faults and trace.
pub(crate) fn run(options: &RunOptions) -> Result<RunSummary, (Invariant, String)> {
    let mut world = World::new(options.clone());
    let result = world.run_to_end();
    result.map_err(|violation| (violation.invariant, world.report(&violation)))?;
    Ok(world.summary())
}

impl World {
    fn new(options: RunOptions) -> Self {
        let seed = options.seed;
        let mut daemons: Vec<_> = (0..DAEMONS)
            .map(|index| Daemon::new(index, 0, seed, Duration::ZERO))
            .collect();
        for daemon in &mut daemons {
            daemon.mutation = options.mutation;
        }
        let mut workers: Vec<_> = (0..WORKERS)
            .map(|_| Worker::new(CAPACITY, TASK_LEASE))
            .collect();
        for worker in &mut workers {
            worker.mutation = options.mutation;
        }
        let mut world = Self {
            now: Duration::ZERO,
            daemons,
            workers,
            runners: (0..RUNNERS).map(|_| Runner::default()).collect(),
            store: Store::default(),
            caller: Caller::default(),
            jobs: (1..=JOBS).map(|number| (number, job(number))).collect(),
            checked: (0, 0),
            versions: Vec::new(),
            calm_since: Duration::ZERO,
            pending: options.injections.clone(),
            network: Network::new(ChaCha8Rng::seed_from_u64(seed)),
            faults: Vec::new(),
            resume_at: [Duration::ZERO; DAEMONS],
            processes: 0,
            seen: StoreView::default(),
            drained: false,
            options,
            trace: VecDeque::new(),
        };
        world.schedule_workload();
        world
    }

    pub(crate) fn restart(&self, task: TaskId) -> RestartPolicy {
        self.jobs[&self.job_of(task)].restart
    }

    #[expect(clippy::unused_self, reason = "the numbering belongs to the workload")]
    pub(crate) fn job_of(&self, task: TaskId) -> JobId {
        u64::try_from(task.as_u128() / 10).unwrap_or_default()
    }

    fn schedule_workload(&mut self) {
        for index in 0..DAEMONS {
            self.schedule_to(
                Duration::from_millis(7 * index as u64),
                index,
                Message::Tick,
            );
        }
        for number in 1..=JOBS {
            let spec = self.jobs[&number].clone();
            let at = Duration::from_millis(3_000 + 600 * (number - number % 3));
            let index = usize::try_from(number).unwrap_or_default() % DAEMONS;
            self.schedule_to(at, index, Message::Submit(number.into(), spec));
        }
        for number in 0..CALLS {
            for copy in 0..COPIES {
                let millis = 3_000 + 450 * u64::from(number) + 3_500 * u64::from(copy);
                let index = usize::from(number + copy) % DAEMONS;
                let message = Message::Call(call(number, copy));
                self.schedule_to(Duration::from_millis(millis), index, message);
            }
        }
        for (number, seconds) in [(1, 4), (2, 8), (3, 12), (4, 40)] {
            let index = usize::try_from(number).unwrap_or_default() % DAEMONS;
            self.schedule_to(
                Duration::from_secs(seconds),
                index,
                Message::Publish(number),
            );
        }
    }

    pub(crate) fn schedule_to(&mut self, at: Duration, index: usize, message: Message) {
        let to = Node::Daemon(index);
        let from = if matches!(message, Message::Tick) {
            to
        } else {
            Node::Caller
        };
        self.network.schedule(at, Envelope { from, to, message });
    }

    fn run_to_end(&mut self) -> Result<(), Violation> {
        while let Some((at, envelope)) = self.network.next() {
            if at >= END {
                break;
            }
            self.now = at;
            self.advance_faults();
            self.deliver(envelope);
            self.push_changes();
            check(self)?;
        }
        check_end(self)
    }

    fn deliver(&mut self, envelope: Envelope) {
        match envelope.to {
            Node::Daemon(index) if self.resume_at[index] > self.now => {
                self.network.schedule(self.resume_at[index], envelope);
            }
            Node::Daemon(index) => self.deliver_to_daemon(index, envelope),
            Node::Store => {
                if let Message::AskStore(id, request) = envelope.message
                    && let Some(reply) = self.store.answer(*request, self.now)
                {
                    let message = Message::StoreAnswer(id, Box::new(reply));
                    self.send(Node::Store, envelope.from, message);
                }
            }
            Node::Worker(index) => self.deliver_to_worker(index, envelope),
            Node::Runner(index) => self.deliver_to_runner(index, &envelope),
            Node::Caller => {
                self.note_message(&envelope);
                if let Message::Answer(request, answer) = envelope.message {
                    self.caller.told.push((request, answer));
                }
            }
        }
    }

    fn deliver_to_daemon(&mut self, index: usize, envelope: Envelope) {
        let is_tick = matches!(envelope.message, Message::Tick);
        if is_tick {
            self.schedule_to(self.now + TICK, index, Message::Tick);
        }
        if !self.daemons[index].alive {
            return;
        }
        let mut out = Outbox::new(self.daemons[index].clock.read(self.now));
        if is_tick {
            self.read_host_list(index);
            self.drain_owner(index, &mut out);
        } else {
            self.note_message(&envelope);
        }
        self.daemons[index].handle(envelope.from, envelope.message, &mut out);
        for to in out.closes {
            self.network.close(Node::Daemon(index), to);
        }
        let before = self.pending.len();
        for (step, worker) in out.steps {
            self.reach(step, index, worker);
        }
        // A daemon that was killed at a step sends nothing of it half the time.
        let silent = self.pending.len() < before && !self.daemons[index].alive;
        if silent && self.options.seed.is_multiple_of(2) {
            return;
        }
        for (to, message) in out.sends {
            self.send(Node::Daemon(index), to, message);
        }
    }

    fn deliver_to_worker(&mut self, index: usize, envelope: Envelope) {
        let worker = &mut self.workers[index];
        let Message::AskWorker(id, request) = envelope.message else {
            return;
        };
        if worker.dead {
            return;
        }
        let (starts, running) = (worker.log.len(), worker.tasks().count());
        let reply = worker.answer(request.clone(), self.now);
        let started = worker.log.len() > starts;
        let exchange = Box::new((request, reply.clone()));
        self.note(TraceEntry::AtWorker(index, exchange));
        self.send(
            Node::Worker(index),
            envelope.from,
            Message::WorkerAnswer(id, reply),
        );
        if let Node::Daemon(daemon) = envelope.from {
            match () {
                () if started => self.reach(Step::Start, daemon, Some(index)),
                () if running > 0 => self.reach(Step::Run, daemon, Some(index)),
                () if starts > 0 => self.reach(Step::Report, daemon, Some(index)),
                () => {}
            }
        }
    }

    fn deliver_to_runner(&mut self, index: usize, envelope: &Envelope) {
        let node = Node::Runner(index);
        let from = envelope.from;
        let mut replies = self.runners[index].finish(self.now);
        if let &Message::AskRunner(id, request) = &envelope.message {
            let reply = self.runners[index].answer(from, id, request, self.now);
            let runs = reply.is_none();
            replies.extend(reply.map(|reply| (from, id, reply)));
            if let (true, Node::Daemon(daemon)) = (runs, from) {
                let tick = Envelope {
                    from: node,
                    to: node,
                    message: Message::Tick,
                };
                self.network.schedule(self.now + CALL_TIME, tick);
                self.reach(Step::Start, daemon, None);
            }
        }
        for (to, id, reply) in replies {
            self.send(node, to, Message::RunnerAnswer(id, reply));
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
        self.seen = view.clone();
        for index in 0..DAEMONS {
            self.send(
                Node::Store,
                Node::Daemon(index),
                Message::Watch(view.clone()),
            );
        }
    }

    fn summary(&self) -> RunSummary {
        let count = |is_counted: fn(&Answer) -> bool| {
            let told = self.caller.told.iter();
            told.filter(|(_, answer)| is_counted(answer)).count()
        };
        RunSummary {
            missed: self.pending.len(),
            accepted: count(|answer| matches!(answer, Answer::Accepted(_))),
            rejected: count(|answer| matches!(answer, Answer::Rejected(..))),
            succeeded: count(|answer| matches!(answer, Answer::Ended(_, TaskOutcome::Succeeded))),
            cut: usize::from(CALLS) * usize::from(COPIES) - count(is_answered),
            starts: self.workers.iter().map(|worker| worker.log.len()).sum(),
            version: self.daemons[0].config.version(),
        }
    }

    fn note_message(&mut self, envelope: &Envelope) {
        if !matches!(envelope.message, Message::Heartbeat(_) | Message::Watch(_)) {
            self.note(TraceEntry::Delivered(Box::new(envelope.clone())));
        }
    }

    pub(crate) fn note(&mut self, entry: TraceEntry) {
        if self.trace.len() == TRACE_LENGTH {
            self.trace.pop_front();
        }
        let now = self.now;
        self.trace.push_back((now, entry));
    }

    fn report(&self, violation: &Violation) -> String {
        let Violation { invariant, detail } = violation;
        let options = &self.options;
        let now = self.now;
        let mut text = format!("{invariant:?} violated at {now:?}: {detail}\n{options:?}\n");
        for (at, entry) in &self.trace {
            let _ = writeln!(text, "  {at:?} {:.600}", entry.to_string());
        }
        text
    }
}
