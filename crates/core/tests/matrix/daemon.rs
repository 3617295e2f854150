//! One daemon: the state machines of its control thread, joined.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use auburnsaddle_core::{
    BatchNumber, CallEvent, ConfigAction, ConfigEvent, ConfigSource, ConfigState, DaemonId, Epoch,
    Heartbeat, HostId, JobRejection, JournalConfig, JournalEvent, KeyDigest, KeyEvent, OwnerTable,
    OwnershipConfig, OwnershipEvent, PeerConfig, PeerTable, RecordId, RecordKind, RecordLog,
    RegistrationEvent, RegistrationLease, RequestId, ShardName, ShardPhase, TaskEvent, TaskId,
    WorkerId,
};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

use super::{
    DAEMONS,
    calls::{CallOwner, KeyOwner},
    clock::DaemonClock,
    durable::JsonCodec,
    faults::{Mutation, Step},
    network::{Answer, CallId, Message, Node},
    pool::PoolOwner,
    shard_of, shards,
    store::{StoreRequest, StoreView},
    teams_with,
};

const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const HEARTBEAT_TIME: Duration = Duration::from_millis(500);
const POLL_TIME: Duration = Duration::from_secs(5);

/// Why a request was sent.
#[derive(Clone, Debug)]
pub(crate) enum Purpose {
    Owner(ShardName),
    Commit(BatchNumber),
    ReadBack(BatchNumber),
    ReadJournal(ShardName, Epoch),
    ReadView,
    Register,
    Publish,
    ReadVersions,
    ClaimWorker(ShardName, WorkerId),
    Start(ShardName, WorkerId, TaskId, u32),
    Sync(ShardName, WorkerId),
    Stop,
    Slot(KeyDigest, RequestId),
    Dispatch(KeyDigest),
    Query(KeyDigest),
}

pub(crate) struct PendingCall {
    pub(crate) to: Node,
    pub(crate) purpose: Purpose,
    due: Duration,
}

/// What a daemon does in one event.
pub(crate) struct Outbox {
    /// The daemon's own reading of the time.
    pub(crate) local: Duration,
    pub(crate) sends: Vec<(Node, Message)>,
    pub(crate) closes: Vec<Node>,
    pub(crate) steps: Vec<(Step, Option<usize>)>,
}

impl Outbox {
    pub(crate) const fn new(local: Duration) -> Self {
        Self {
            local,
            sends: Vec::new(),
            closes: Vec::new(),
            steps: Vec::new(),
        }
    }

    pub(crate) fn send(&mut self, to: Node, message: Message) {
        self.sends.push((to, message));
    }

    pub(crate) fn reach(&mut self, step: Step, worker: Option<usize>) {
        self.steps.push((step, worker));
    }

    pub(crate) fn answer(&mut self, request: RequestId, answer: Answer) {
        self.reach(Step::Answer, None);
        self.send(Node::Caller, Message::Answer(request, answer));
    }
}

pub(crate) struct Daemon {
    pub(crate) name: DaemonId,
    pub(crate) alive: bool,
    pub(crate) clock: DaemonClock,
    pub(crate) peers: PeerTable,
    pub(crate) owners: OwnerTable<ChaCha8Rng>,
    pub(crate) log: RecordLog<JsonCodec>,
    pub(crate) config: ConfigState,
    /// The highest version that was in force in this process.
    pub(crate) highest_version: u64,
    pub(crate) pools: BTreeMap<ShardName, PoolOwner>,
    pub(crate) calls: BTreeMap<CallId, PendingCall>,
    pub(crate) records: BTreeMap<RecordId, (ShardName, RecordId)>,
    pub(crate) keys: Option<KeyOwner>,
    pub(crate) call_owner: Option<CallOwner>,
    pub(crate) key_records: BTreeMap<RecordId, (KeyDigest, RecordKind)>,
    pub(crate) leaving_hosts: BTreeSet<HostId>,
    pub(crate) mutation: Option<Mutation>,
    pub(crate) registration: RegistrationLease<ChaCha8Rng>,
    /// Journals to be read again, with the times.
    pub(crate) unread: Vec<(Duration, ShardName, Epoch)>,
    draining: bool,
    next_call: CallId,
    heartbeat_at: Duration,
    poll_at: Duration,
}

pub(crate) fn daemon_name(index: usize) -> DaemonId {
    format!("daemon-{index}").into()
}

pub(crate) fn daemon_index(name: &DaemonId) -> usize {
    let number = name.rsplit('-').next();
    number
        .and_then(|text| text.parse().ok())
        .unwrap_or_default()
}

impl Daemon {
    /// Returns a process that starts at `now`; `process` counts the processes
    /// of this name.
    pub(crate) fn new(index: usize, process: u64, seed: u64, now: Duration) -> Self {
        let name = daemon_name(index);
        let generator = ChaCha8Rng::seed_from_u64(seed ^ (process << 8) ^ index as u64);
        let config = OwnershipConfig::default();
        let mut owners = OwnerTable::new(name.clone(), config, generator.clone());
        owners.handle(OwnershipEvent::ShardsChanged(shards()), Duration::ZERO);
        Self {
            owners,
            alive: true,
            clock: DaemonClock::new(now),
            peers: PeerTable::new(PeerConfig::default(), "r1".into()),
            log: RecordLog::new(name.clone(), JournalConfig::for_daemons(8), JsonCodec),
            name,
            config: ConfigState::default(),
            highest_version: 0,
            pools: BTreeMap::new(),
            calls: BTreeMap::new(),
            records: BTreeMap::new(),
            keys: None,
            call_owner: None,
            key_records: BTreeMap::new(),
            leaving_hosts: BTreeSet::new(),
            mutation: None,
            registration: RegistrationLease::new(generator.clone()),
            unread: Vec::new(),
            draining: false,
            next_call: process << 32,
            heartbeat_at: Duration::ZERO,
            poll_at: Duration::ZERO,
        }
    }

    pub(crate) fn drain(&mut self, out: &mut Outbox) {
        self.draining = true;
        self.owner_event(OwnershipEvent::DrainRequested, out);
    }

    pub(crate) fn handle(&mut self, from: Node, message: Message, out: &mut Outbox) {
        match message {
            Message::Tick => self.tick(out),
            Message::Heartbeat(heartbeat) => self.note_heartbeat(heartbeat, out),
            Message::Watch(view) => self.note_view(view, out),
            Message::Submit(request, spec) => self.route(from, request, spec, out),
            Message::Cancel(task) => {
                let shards: Vec<_> = self.pools.keys().cloned().collect();
                for shard in shards {
                    self.task_event(&shard, TaskEvent::Cancel(task), out);
                }
            }
            Message::Publish(number) => self.publish(number, out),
            Message::StoreAnswer(id, reply) => {
                if let Some(call) = self.calls.remove(&id) {
                    self.store_answered(call.purpose, *reply, out);
                }
            }
            Message::WorkerAnswer(id, reply) => {
                if let Some(call) = self.calls.remove(&id) {
                    self.worker_answered(call.purpose, reply, out);
                }
            }
            Message::Call(request) => self.route_call(from, request, out),
            Message::AskSlot(id, request) => self.slot_asked(from, id, request, out),
            Message::Slot(id, result) => self.slot_answered(from, id, result, out),
            Message::ReturnSlot(epoch, grant, result) => {
                self.slot_returned(epoch, grant, result, out);
            }
            Message::RunnerAnswer(id, reply) => {
                if let Some(call) = self.calls.remove(&id) {
                    self.runner_answered(call.purpose, reply, out);
                }
            }
            Message::Answer(..)
            | Message::AskStore(..)
            | Message::AskWorker(..)
            | Message::AskRunner(..) => {}
        }
    }

    pub(crate) fn note_call(&mut self, to: Node, purpose: Purpose, out: &Outbox) -> CallId {
        self.next_call += 1;
        let due = out.local + CALL_TIMEOUT;
        let call = PendingCall { to, purpose, due };
        self.calls.insert(self.next_call, call);
        self.next_call
    }

    pub(crate) fn ask_store(&mut self, request: StoreRequest, purpose: Purpose, out: &mut Outbox) {
        let id = self.note_call(Node::Store, purpose, out);
        out.send(Node::Store, Message::AskStore(id, Box::new(request)));
    }

    fn tick(&mut self, out: &mut Outbox) {
        self.fail_overdue(out);
        self.retry_reading(out);
        self.peers.note_timer(out.local);
        self.judge_peers(out);
        self.owner_event(OwnershipEvent::TimerFired, out);
        self.journal_event(JournalEvent::TimerFired, out);
        self.registration_event(RegistrationEvent::TimerFired, out);
        if out.local >= self.heartbeat_at {
            self.heartbeat_at = out.local + HEARTBEAT_TIME;
            self.send_heartbeats(out);
        }
        if out.local >= self.poll_at {
            self.poll_at = out.local + POLL_TIME;
            self.ask_store(StoreRequest::ReadView, Purpose::ReadView, out);
        }
        self.key_event(KeyEvent::TimerFired, out);
        self.call_event(CallEvent::TimerFired, out);
        let cuts = self.mutation == Some(Mutation::DrainCuts);
        for shard in shards() {
            self.note_leaving(&shard, out);
            self.task_event(&shard, TaskEvent::TimerFired, out);
            let flushing = self.owners.phase(&shard) == Some(ShardPhase::Flushing);
            if let Some(epoch) = self.owners.owned_epoch(&shard)
                && flushing
                && self.log.is_flushed(&shard)
                && (cuts || !self.has_open_calls())
            {
                self.owner_event(OwnershipEvent::Flushed(shard, epoch), out);
            }
        }
    }

    /// Fails requests without a response. A connection to a worker is closed
    /// as a whole, so that nothing sent on it arrives later.
    fn fail_overdue(&mut self, out: &mut Outbox) {
        let overdue: Vec<_> = self
            .calls
            .iter()
            .filter(|(_, call)| out.local >= call.due)
            .map(|(id, call)| (*id, call.to))
            .collect();
        for (id, to) in overdue {
            if !matches!(to, Node::Worker(_)) {
                if let Some(call) = self.calls.remove(&id) {
                    self.store_failed(call.purpose, out);
                }
                continue;
            }
            let on_connection = self.calls.extract_if(.., |_, call| call.to == to);
            let purposes: Vec<_> = on_connection.map(|(_, call)| call.purpose).collect();
            if !purposes.is_empty() {
                self.worker_failed(to, purposes, out);
            }
        }
    }

    pub(crate) fn is_active(&self, shard: &ShardName) -> bool {
        self.owners.phase(shard) == Some(ShardPhase::Active)
    }

    fn judge_peers(&mut self, out: &mut Outbox) {
        let known = self.owners.iter().map(|(_, record)| record.daemon.clone());
        let peers = self.peers.iter().map(|peer| peer.record.daemon.clone());
        let dead: BTreeSet<_> = known
            .chain(peers)
            .filter(|daemon| *daemon != self.name)
            .filter(|daemon| self.peers.is_confirmed_dead(daemon, out.local))
            .collect();
        let mut candidates: BTreeMap<_, _> = self
            .peers
            .alive(out.local)
            .filter(|peer| !peer.draining)
            .map(|peer| (peer.record.daemon.clone(), peer.record.zone.clone()))
            .collect();
        candidates.insert(self.name.clone(), "z1".into());
        self.owner_event(OwnershipEvent::CandidatesChanged(candidates), out);
        self.owner_event(OwnershipEvent::DaemonsDead(dead), out);
    }

    fn send_heartbeats(&mut self, out: &mut Outbox) {
        let heartbeat = Heartbeat {
            daemon: self.name.clone(),
            config_version: self.config.version(),
            suspected: self.peers.suspected(out.local),
            draining: self.draining,
            owned_digest: 0,
            loads: BTreeMap::new(),
        };
        for index in (0..DAEMONS).filter(|index| daemon_name(*index) != self.name) {
            out.send(Node::Daemon(index), Message::Heartbeat(heartbeat.clone()));
        }
    }

    fn note_heartbeat(&mut self, heartbeat: Heartbeat, out: &mut Outbox) {
        let version = heartbeat.config_version;
        if version < self.config.version() && self.mutation == Some(Mutation::OlderConfig) {
            self.config = ConfigState::default();
        }
        let source = ConfigSource::Peer(heartbeat.daemon.clone());
        self.peers.note_heartbeat(heartbeat, out.local);
        self.config_event(ConfigEvent::VersionSeen(version, source), out);
    }

    pub(crate) fn note_view(&mut self, view: StoreView, out: &mut Outbox) {
        let others = view.members.into_iter();
        let others = others.filter(|member| member.daemon != self.name).collect();
        self.peers.set_members(others, out.local);
        self.owner_event(OwnershipEvent::OwnersRead(view.owners), out);
        let source = ConfigSource::Store(view.head.version);
        let event = ConfigEvent::VersionSeen(view.head.version, source);
        self.config_event(event, out);
    }

    pub(crate) fn config_event(&mut self, event: ConfigEvent, out: &mut Outbox) {
        for action in self.config.handle(event, out.local) {
            // The versions of a peer are those of the store; only where they
            // are read from differs, so the store stands for both.
            if let ConfigAction::Fetch { from, .. } = action
                && self.mutation != Some(Mutation::NoFetch)
            {
                let request = StoreRequest::ReadVersions(from);
                self.ask_store(request, Purpose::ReadVersions, out);
            }
        }
    }

    fn publish(&mut self, number: u64, out: &mut Outbox) {
        let mut objects = self.config.objects().as_ref().clone();
        objects.teams.extend(teams_with(number).teams);
        if let Ok(update) = self.config.prepare(self.config.version(), objects) {
            out.reach(Step::Publish, None);
            self.ask_store(
                StoreRequest::Publish(Box::new(update)),
                Purpose::Publish,
                out,
            );
        }
    }

    /// Serves a job or passes it on, once, to the owner of its pool.
    fn route(
        &mut self,
        from: Node,
        request: RequestId,
        spec: auburnsaddle_core::JobSpec,
        out: &mut Outbox,
    ) {
        let shard = shard_of(&spec);
        let owner = self
            .owners
            .owner(&shard)
            .map(|record| record.daemon.clone());
        match owner {
            _ if self.is_active(&shard) => {
                self.submit(&shard, request, spec, out);
            }
            Some(owner) if from == Node::Caller && owner != self.name => {
                let to = Node::Daemon(daemon_index(&owner));
                out.send(to, Message::Submit(request, spec));
            }
            _ => {
                let reason = JobRejection::StoreUnavailable;
                out.answer(request, Answer::Rejected(spec.job, reason));
            }
        }
    }
}
