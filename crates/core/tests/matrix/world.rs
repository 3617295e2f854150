//! A run of the simulation: the event loop, the workload and the trace.

use std::{collections::VecDeque, fmt::Write as _, mem};

use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

use super::prelude::*;

const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// End of a run. Faults start before 20 s and last at most 12 s; after that,
/// task leases of 20 s and their margin must expire before a task runs again.
const RUN_END: Duration = Duration::from_secs(80);
/// Number of entries that a failure report shows.
const TRACE_ENTRIES: usize = 60;

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

/// An entry of the trace; it is formatted only for a failure report.
pub(crate) enum TraceEntry {
    /// The start or the end of a fault.
    Fault(&'static str, ActiveFault),
    /// A delivered message, and the reply to it if the receiver is a worker.
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
    /// Answers that the callers received.
    pub(crate) answers: Vec<(RequestId, Answer)>,
    pub(crate) jobs: BTreeMap<JobId, JobSpec>,
    /// Total length of the target logs and number of answers at the last check.
    pub(crate) checked_lengths: (usize, usize),
    /// Published configuration versions and their times of publication.
    pub(crate) published_versions: Vec<(Duration, u64)>,
    /// End of the last fault that has started so far.
    pub(crate) faults_end_at: Duration,
    /// Injections whose fault has not started yet.
    pub(crate) pending_injections: Vec<Injection>,
    pub(crate) active_faults: Vec<ActiveFault>,
    /// End of the last pause of each daemon; messages to it are delayed until then.
    pub(crate) resume_at: [Duration; DAEMONS],
    /// Number of daemon restarts so far; see `Daemon::new`.
    pub(crate) restart_count: u64,
    pub(crate) is_drained: bool,
    pub(crate) options: RunOptions,
    /// The state that was last sent to the watching daemons.
    sent_view: StoreView,
    trace: VecDeque<(Duration, TraceEntry)>,
}

/// Counts at the end of a run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct RunSummary {
    /// Injections whose fault did not start because the step did not occur often
    /// enough.
    pub(crate) unreached_faults: usize,
    pub(crate) accepted: usize,
    pub(crate) rejected: usize,
    pub(crate) succeeded: usize,
    /// Requests of keyed calls that got neither a response nor an explicit
    /// rejection.
    pub(crate) unanswered_calls: usize,
    pub(crate) starts: usize,
    /// Slots still granted at the end.
    pub(crate) granted_slots: usize,
    /// The configuration version of the first daemon.
    pub(crate) config_version: u64,
}

/// Runs a simulation to its end, or to the first violated invariant, which is
/// returned with a report of the seed, the faults and the trace.
pub(crate) fn run(options: RunOptions) -> Result<RunSummary, (Invariant, String)> {
    let mut world = World::new(options);
    let result = world.run_to_end();
    result.map_err(|(invariant, detail)| (invariant, world.format_report(invariant, &detail)))?;
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
            answers: Vec::new(),
            jobs: (1..=JOBS)
                .map(|number| (number, job_spec(number)))
                .collect(),
            checked_lengths: (0, 0),
            published_versions: Vec::new(),
            faults_end_at: Duration::ZERO,
            pending_injections: options.injections.clone(),
            active_faults: Vec::new(),
            resume_at: [Duration::ZERO; DAEMONS],
            restart_count: 0,
            is_drained: false,
            options,
            sent_view: StoreView::default(),
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
            self.schedule_to(at, entry_daemon(number), message);
        }
        for number in 0..KEYED_CALLS {
            for copy in 0..COPIES_PER_CALL {
                let at = millis(3_000 + 450 * u64::from(number) + 3_500 * u64::from(copy));
                let message = Message::Call(keyed_call(number, copy));
                self.schedule_to(at, entry_daemon(number + copy), message);
            }
        }
        for (number, seconds) in [(1_u64, 4), (2, 8), (3, 12), (4, 40)] {
            let at = Duration::from_secs(seconds);
            self.schedule_to(at, entry_daemon(number), Message::Publish(number));
        }
    }

    pub(crate) fn schedule_to(&mut self, at: Duration, index: usize, message: Message) {
        let (from, to) = (Node::Caller, Node::Daemon(index));
        self.network.schedule(at, Envelope { from, to, message });
    }

    fn run_to_end(&mut self) -> CheckResult {
        while let Some((at, envelope)) = self.network.pop_next() {
            if at >= RUN_END {
                break;
            }
            self.now = at;
            self.end_faults();
            self.deliver(envelope);
            self.notify_watchers();
            check(self)?;
        }
        check_settled(self)
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
            (Node::Store, Message::Rpc(id, request)) => {
                if let Some(event) = self.store.handle_request(request, self.now) {
                    self.send(to, from, Message::Reply(id, event));
                }
            }
            (Node::Caller, Message::Answer(request, answer)) => {
                self.answers.push((request, answer.clone()));
                self.trace_message(from, to, &Message::Answer(request, answer), None);
            }
            _ => {}
        }
    }

    fn deliver_to_daemon(&mut self, index: usize, from: Node, message: Message) {
        let own = Node::Daemon(index);
        let is_tick = matches!(message, Message::Tick);
        if is_tick {
            self.schedule_to(self.now + TICK_INTERVAL, index, Message::Tick);
        }
        if !self.daemons[index].is_alive {
            return;
        }
        self.daemons[index].now = self.daemons[index].clock.read(self.now);
        if is_tick {
            self.read_host_list(index);
            self.drain_owner(index);
        } else {
            self.trace_message(from, own, &message, None);
        }
        self.daemons[index].handle(from, message);
        let outbox = mem::take(&mut self.daemons[index].outbox);
        for to in outbox.closes {
            self.network.close_connection(own, to);
        }
        let before = self.pending_injections.len();
        for (step, worker) in outbox.steps {
            self.start_due_fault(step, index, worker);
        }
        // With even seeds, a daemon that is killed at a step sends none of the
        // messages of that step; with odd seeds, it sends all of them.
        let was_killed = self.pending_injections.len() < before && !self.daemons[index].is_alive;
        if !(was_killed && self.options.seed.is_multiple_of(2)) {
            for (to, message) in outbox.sends {
                self.send(own, to, message);
            }
        }
    }

    fn deliver_to_worker(&mut self, index: usize, from: Node, message: &Message) {
        let own = Node::Worker(index);
        let worker = &mut self.workers[index];
        let Message::Rpc(id, request) = message else {
            return;
        };
        if worker.is_dead {
            return;
        }
        let (starts, running) = (worker.start_log.len(), worker.running_tasks().count());
        let reply = worker.handle_request(request, self.now);
        let step = match () {
            () if worker.start_log.len() > starts => Some(Step::Start),
            () if running > 0 => Some(Step::Run),
            () if starts > 0 => Some(Step::Report),
            () => None,
        };
        self.trace_message(from, own, message, Some(&reply));
        self.send(own, from, Message::Reply(*id, reply));
        if let (Node::Daemon(daemon), Some(step)) = (from, step) {
            self.start_due_fault(step, daemon, Some(index));
        }
    }

    fn deliver_to_runner(&mut self, index: usize, from: Node, message: Message) {
        let own = Node::Runner(index);
        let runner = &mut self.runners[index];
        let mut replies = runner.finish_calls(self.now);
        if let Message::Rpc(id, request) = message {
            match (runner.handle_request((from, id), request, self.now), from) {
                (None, Node::Daemon(daemon)) => {
                    // A tick at the end of the call lets the runner respond.
                    let (to, message) = (own, Message::Tick);
                    let tick = Envelope { from, to, message };
                    self.network.schedule(self.now + CALL_TIME, tick);
                    self.start_due_fault(Step::Start, daemon, None);
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

    /// Sends the watched state to every daemon if it has changed.
    fn notify_watchers(&mut self) {
        self.store.expire_leases(self.now);
        let view = self.store.view();
        if view == self.sent_view || self.store.is_down {
            return;
        }
        if view.head != self.sent_view.head {
            self.published_versions.push((self.now, view.head.version));
        }
        for index in 0..DAEMONS {
            let message = Message::Watch(view.clone());
            self.send(Node::Store, Node::Daemon(index), message);
        }
        self.sent_view = view;
    }

    fn summary(&self) -> RunSummary {
        let count = |is_counted: fn(&Answer) -> bool| {
            let answers = self.answers.iter();
            answers.filter(|(_, answer)| is_counted(answer)).count()
        };
        // A request can be answered more than once.
        let answered: BTreeSet<_> = self
            .answers
            .iter()
            .filter(|(_, answer)| is_answered(answer))
            .map(|(request, _)| request)
            .collect();
        RunSummary {
            unreached_faults: self.pending_injections.len(),
            accepted: count(|answer| matches!(answer, Answer::Accepted(_))),
            rejected: count(|answer| matches!(answer, Answer::Rejected(..))),
            succeeded: count(|answer| matches!(answer, Answer::Ended(_, TaskOutcome::Succeeded))),
            unanswered_calls: usize::from(KEYED_CALLS) * usize::from(COPIES_PER_CALL)
                - answered.len(),
            starts: self
                .workers
                .iter()
                .map(|worker| worker.start_log.len())
                .sum(),
            granted_slots: self.daemons.iter().map(Daemon::granted_slot_count).sum(),
            config_version: self.daemons[0].config.version(),
        }
    }

    fn trace_message(&mut self, from: Node, to: Node, message: &Message, reply: Option<&Event>) {
        if !matches!(message, Message::Heartbeat(_) | Message::Watch(_)) {
            let message = message.clone();
            let delivered = (Envelope { from, to, message }, reply.cloned());
            self.push_trace(TraceEntry::Delivered(Box::new(delivered)));
        }
    }

    pub(crate) fn push_trace(&mut self, entry: TraceEntry) {
        if self.trace.len() == TRACE_ENTRIES {
            self.trace.pop_front();
        }
        self.trace.push_back((self.now, entry));
    }

    fn format_report(&self, invariant: Invariant, detail: &str) -> String {
        let Self { now, options, .. } = self;
        let mut text = format!("{invariant:?} violated at {now:?}: {detail}\n{options:?}\n");
        for (at, entry) in &self.trace {
            let _ = writeln!(text, "  {at:?} {:.600}", entry.line());
        }
        text
    }
}

/// Returns the index of the daemon that receives a numbered request of a caller.
fn entry_daemon(number: impl Into<u64>) -> usize {
    usize::try_from(number.into()).unwrap_or_default() % DAEMONS
}

/// Returns whether a call got a response or an explicit rejection.
const fn is_answered(answer: &Answer) -> bool {
    matches!(
        answer,
        Answer::Called(KeyReply::Completed(_) | KeyReply::Replayed(_) | KeyReply::NotRun(_))
    )
}
