//! One daemon: the state machines of its control thread, joined.

use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

use super::prelude::*;

const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const HEARTBEAT_TIME: Duration = Duration::from_millis(500);
const POLL_TIME: Duration = Duration::from_secs(5);
/// Time between two readings of a journal that the store does not give.
const RETRY_TIME: Duration = Duration::from_secs(1);

/// A monotonic clock with its own rate.
#[derive(Clone, Copy)]
pub(crate) struct DaemonClock {
    base: Duration,
    local: Duration,
    percent: u32,
}

impl DaemonClock {
    pub(crate) fn read(&self, now: Duration) -> Duration {
        self.local + now.saturating_sub(self.base) * self.percent / 100
    }

    /// Changes the rate; the reading does not jump.
    pub(crate) fn set_rate(&mut self, now: Duration, percent: u32) {
        self.local = self.read(now);
        self.base = now;
        self.percent = percent;
    }
}

/// A request without a reply yet.
pub(crate) struct PendingCall {
    pub(crate) to: Node,
    pub(crate) request: Request,
    due: Duration,
}

/// What a daemon does in one event.
#[derive(Default)]
pub(crate) struct Outbox {
    pub(crate) sends: Vec<(Node, Message)>,
    pub(crate) closes: Vec<Node>,
    pub(crate) steps: Vec<(Step, Option<usize>)>,
}

pub(crate) struct Daemon {
    pub(crate) name: DaemonId,
    pub(crate) alive: bool,
    pub(crate) clock: DaemonClock,
    /// The daemon's own reading of the time.
    pub(crate) now: Duration,
    pub(crate) out: Outbox,
    pub(crate) owners: OwnerTable<ChaCha8Rng>,
    pub(crate) log: RecordLog<JsonCodec>,
    pub(crate) registration: RegistrationLease<ChaCha8Rng>,
    pub(crate) config: ConfigState,
    /// The highest version that was in force in this process.
    pub(crate) highest_version: u64,
    pub(crate) pools: BTreeMap<ShardName, PoolOwner>,
    pub(crate) keys: Option<KeyTable>,
    pub(crate) call_owner: Option<CallOwner>,
    pub(crate) calls: BTreeMap<CallId, PendingCall>,
    /// Requests of slots that wait in the call queue.
    pub(crate) asked: BTreeMap<RequestId, (Node, CallId, KeyDigest)>,
    /// What follows when a record is written, or failed.
    pub(crate) records: BTreeMap<RecordId, [Event; 2]>,
    pub(crate) leaving_hosts: BTreeSet<HostId>,
    /// Journals to be read again, with the times.
    pub(crate) unread: Vec<(Duration, ShardName, Epoch)>,
    mutation: Option<Mutation>,
    peers: PeerTable,
    draining: bool,
    next_call: CallId,
    heartbeat_at: Duration,
    poll_at: Duration,
}

pub(crate) fn daemon_name(index: usize) -> DaemonId {
    format!("daemon-{index}").into()
}

impl Daemon {
    /// Returns a process that starts at `now`; `process` counts the processes
    /// of this name.
    pub(crate) fn new(index: usize, process: u64, now: Duration, options: &RunOptions) -> Self {
        let name = daemon_name(index);
        let generator = ChaCha8Rng::seed_from_u64(options.seed ^ (process << 8) ^ index as u64);
        let config = OwnershipConfig::default();
        let mut owners = OwnerTable::new(name.clone(), config, generator.clone());
        owners.handle(OwnershipEvent::ShardsChanged(shards()), Duration::ZERO);
        Self {
            alive: true,
            clock: DaemonClock {
                base: now,
                local: Duration::ZERO,
                percent: 100,
            },
            now: Duration::ZERO,
            out: Outbox::default(),
            owners,
            log: RecordLog::new(name.clone(), JournalConfig::for_daemons(8), JsonCodec),
            registration: RegistrationLease::new(generator.clone()),
            config: ConfigState::default(),
            highest_version: 0,
            pools: BTreeMap::new(),
            keys: None,
            call_owner: None,
            calls: BTreeMap::new(),
            asked: BTreeMap::new(),
            records: BTreeMap::new(),
            leaving_hosts: BTreeSet::new(),
            unread: Vec::new(),
            mutation: options.mutation,
            peers: PeerTable::new(PeerConfig::default(), "r1".into()),
            draining: false,
            next_call: process << 32,
            heartbeat_at: Duration::ZERO,
            poll_at: Duration::ZERO,
            name,
        }
    }

    pub(crate) fn has(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    pub(crate) fn drain(&mut self) {
        self.draining = true;
        self.owner_event(OwnershipEvent::DrainRequested);
    }

    pub(crate) fn send(&mut self, to: Node, message: Message) {
        self.out.sends.push((to, message));
    }

    pub(crate) fn reach(&mut self, step: Step, worker: Option<usize>) {
        self.out.steps.push((step, worker));
    }

    pub(crate) fn answer(&mut self, request: RequestId, answer: Answer) {
        self.reach(Step::Answer, None);
        self.send(Node::Caller, Message::Answer(request, answer));
    }

    pub(crate) fn ask(&mut self, to: Node, request: Request) {
        self.next_call += 1;
        let due = self.now + CALL_TIMEOUT;
        self.send(to, Message::Ask(self.next_call, request.clone()));
        let call = PendingCall { to, request, due };
        self.calls.insert(self.next_call, call);
    }

    pub(crate) fn handle(&mut self, from: Node, message: Message) {
        match message {
            Message::Tick => self.tick(),
            Message::Heartbeat(heartbeat) => self.note_heartbeat(heartbeat),
            Message::Watch(view) => self.note_view(view),
            Message::Publish(number) => self.publish(number),
            Message::Cancel(task) => {
                for shard in shards() {
                    self.task_event(&shard, TaskEvent::Cancel(task));
                }
            }
            Message::Submit(_, ref spec) => self.serve(from, &shard_of(spec), message),
            Message::Call(_) => self.serve(from, &key_shard(), message),
            Message::ReturnSlot(epoch, grant, result) => self.take_back(epoch, grant, result),
            Message::Ask(id, Request::Slot(key, request)) => {
                self.queue_call((from, id, key), request);
            }
            Message::Reply(id, event) => self.note_reply(from, id, event),
            Message::Answer(..) | Message::Ask(..) => {}
        }
    }

    /// Serves a request of a caller, or passes it on, once, to the owner.
    fn serve(&mut self, from: Node, shard: &ShardName, message: Message) {
        let active = self.owners.phase(shard) == Some(ShardPhase::Active);
        let owner = self.owners.owner(shard).map(|owner| &owner.daemon);
        let owner = owner.filter(|owner| from == Node::Caller && **owner != self.name);
        match (message, owner) {
            (Message::Submit(request, spec), _) if active => self.submit(shard, request, spec),
            (Message::Call(call), _) if active => {
                self.reach(Step::Accept, None);
                self.key_event(KeyEvent::Requested(call));
            }
            (message, Some(owner)) => self.send(Node::Daemon(index_of(owner)), message),
            (Message::Submit(request, spec), None) => {
                let reason = JobRejection::StoreUnavailable;
                self.answer(request, Answer::Rejected(spec.job, reason));
            }
            (Message::Call(call), None) => {
                let reply = KeyReply::NotRun(NotRunReason::NoOwner);
                self.answer(call.request, Answer::Called(reply));
            }
            _ => {}
        }
    }

    fn note_reply(&mut self, from: Node, id: CallId, event: Event) {
        match (self.calls.remove(&id), event) {
            (Some(call), Event::Unavailable) => self.fail(call),
            (Some(call), event) => {
                self.settle(call, event);
                if let Node::Worker(worker) = from {
                    self.pump(worker);
                }
            }
            // The request was given up.
            (None, Event::Granted(call)) if !self.uses(&call) => {
                self.return_slot(&call, GrantResult::Unused);
            }
            (None, _) => {}
        }
    }

    /// Ends a request that got no reply.
    pub(crate) fn fail(&mut self, call: PendingCall) {
        let is_store = call.to == Node::Store;
        let event = call.request.clone().lost(self.has(Mutation::RetryUnknown));
        self.settle(call, event);
        if is_store && self.has(Mutation::BusyRetries) {
            self.ask(Node::Store, Request::ReadView);
        }
    }

    fn settle(&mut self, call: PendingCall, event: Event) {
        match (call.request, event) {
            (Request::Call(call), Event::Key(event)) => self.end_call(&call, event),
            (Request::Query(key), Event::Key(event)) => self.end_query(key, event),
            (_, event) => self.apply(event),
        }
    }

    pub(crate) fn apply(&mut self, event: Event) {
        match event {
            Event::Owner(event) => self.owner_event(event),
            Event::Journal(event) => {
                let lost = matches!(event, JournalEvent::ResponseLost(_));
                if lost || matches!(event, JournalEvent::Committed(_)) {
                    self.key_event(KeyEvent::StoreChanged { available: !lost });
                }
                self.journal_event(event);
            }
            Event::JournalRead(shard, epoch, values) => self.open(shard, epoch, values),
            Event::JournalLost(shard, epoch) => {
                self.unread.push((self.now + RETRY_TIME, shard, epoch));
            }
            Event::Registration(event) => self.registration_event(event),
            Event::Config(event) => self.config_event(event),
            Event::View(view) => self.note_view(view),
            Event::Task(shard, event) => self.task_event(&shard, event),
            Event::Key(event) => self.key_event(event),
            Event::Granted(call) => self.dispatch(call),
            Event::Published => self.answer(0, Answer::Published),
            Event::Done | Event::Unavailable => {}
        }
    }

    fn tick(&mut self) {
        self.fail_overdue();
        self.retry_reading();
        self.peers.handle_timer(self.now);
        self.judge_peers();
        self.owner_event(OwnershipEvent::TimerFired);
        self.journal_event(JournalEvent::TimerFired);
        self.registration_event(RegistrationEvent::TimerFired);
        if self.now >= self.heartbeat_at {
            self.heartbeat_at = self.now + HEARTBEAT_TIME;
            self.send_heartbeats();
        }
        if self.now >= self.poll_at {
            self.poll_at = self.now + POLL_TIME;
            self.ask(Node::Store, Request::ReadView);
        }
        self.key_event(KeyEvent::TimerFired);
        self.call_event(CallEvent::TimerFired);
        let waits = self.has_open_calls() && !self.has(Mutation::DrainCuts);
        for shard in shards() {
            self.note_leaving(&shard);
            self.task_event(&shard, TaskEvent::TimerFired);
            let flushing = self.owners.phase(&shard) == Some(ShardPhase::Flushing);
            if let Some(epoch) = self.owners.owned_epoch(&shard)
                && flushing
                && !waits
                && self.log.is_flushed(&shard)
            {
                self.owner_event(OwnershipEvent::Flushed(shard, epoch));
            }
        }
    }

    /// Fails requests without a response. A connection to a worker is closed
    /// as a whole, so that nothing sent on it arrives later.
    fn fail_overdue(&mut self) {
        let now = self.now;
        let overdue = self.calls.iter().filter(|(_, call)| now >= call.due);
        let overdue: Vec<_> = overdue.map(|(id, call)| (*id, call.to)).collect();
        for (id, to) in overdue {
            if let Node::Worker(worker) = to {
                self.close(worker);
            } else if let Some(call) = self.calls.remove(&id) {
                self.fail(call);
            }
        }
    }

    fn judge_peers(&mut self) {
        let known = self.owners.iter().map(|(_, record)| &record.daemon);
        let peers = self.peers.iter().map(|peer| &peer.record.daemon);
        let others = known.chain(peers).filter(|daemon| **daemon != self.name);
        let dead = others.filter(|daemon| self.peers.is_confirmed_dead(daemon, self.now));
        let dead: BTreeSet<_> = dead.cloned().collect();
        let alive = self.peers.alive(self.now).filter(|peer| !peer.draining);
        let alive = alive.map(|peer| (peer.record.daemon.clone(), peer.record.zone.clone()));
        let own = (self.name.clone(), "z1".into());
        let candidates = alive.chain([own]).collect();
        self.owner_event(OwnershipEvent::CandidatesChanged(candidates));
        for daemon in &dead {
            self.call_event(CallEvent::RequesterLost(DaemonId::clone(daemon)));
        }
        self.owner_event(OwnershipEvent::DeadDaemonsChanged(dead));
    }

    fn send_heartbeats(&mut self) {
        let heartbeat = Heartbeat {
            daemon: self.name.clone(),
            config_version: self.config.version(),
            suspected: self.peers.suspected(self.now),
            draining: self.draining,
            owned_digest: 0,
            loads: BTreeMap::new(),
        };
        for index in (0..DAEMONS).filter(|index| daemon_name(*index) != heartbeat.daemon) {
            self.send(Node::Daemon(index), Message::Heartbeat(heartbeat.clone()));
        }
    }

    fn note_heartbeat(&mut self, heartbeat: Heartbeat) {
        let version = heartbeat.config_version;
        if version < self.config.version() && self.has(Mutation::OlderConfig) {
            self.config = ConfigState::default();
        }
        let source = ConfigSource::Peer(heartbeat.daemon.clone());
        self.peers.record_heartbeat(heartbeat, self.now);
        self.config_event(ConfigEvent::VersionSeen(version, source));
    }

    pub(crate) fn note_view(&mut self, view: StoreView) {
        let mut others = view.members;
        others.retain(|member| member.daemon != self.name);
        self.peers.set_members(others, self.now);
        self.owner_event(OwnershipEvent::OwnersRead(view.owners));
        let source = ConfigSource::Store(view.head.version);
        self.config_event(ConfigEvent::VersionSeen(view.head.version, source));
    }

    pub(crate) fn config_event(&mut self, event: ConfigEvent) {
        for action in self.config.handle(event, self.now) {
            // The versions of a peer are those of the store; only where they
            // are read from differs, so the store stands for both.
            if let ConfigAction::Fetch { from, .. } = action
                && !self.has(Mutation::NoFetch)
            {
                self.ask(Node::Store, Request::ReadVersions(from));
            }
        }
    }

    fn publish(&mut self, number: u64) {
        let mut objects = self.config.objects().as_ref().clone();
        objects.teams.extend(teams_with(number).teams);
        if let Ok(update) = self.config.prepare(self.config.version(), objects) {
            self.reach(Step::Publish, None);
            self.ask(Node::Store, Request::Publish(Box::new(update)));
        }
    }
}
