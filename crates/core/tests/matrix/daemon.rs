//! A simulated daemon: the state machines of its control thread, connected.

use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

use super::prelude::*;

const RPC_TIMEOUT: Duration = Duration::from_secs(1);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
const POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Delay before a failed journal read is repeated.
const JOURNAL_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// A monotonic clock with an adjustable rate.
#[derive(Clone, Copy)]
pub(crate) struct DaemonClock {
    rate_changed_at: Duration,
    reading_at_change: Duration,
    rate_percent: u32,
}

impl DaemonClock {
    pub(crate) fn read(&self, now: Duration) -> Duration {
        self.reading_at_change + now.saturating_sub(self.rate_changed_at) * self.rate_percent / 100
    }

    /// Changes the rate without a step in the reading.
    pub(crate) fn set_rate(&mut self, now: Duration, percent: u32) {
        self.reading_at_change = self.read(now);
        self.rate_changed_at = now;
        self.rate_percent = percent;
    }
}

/// A request of a daemon that awaits its reply.
pub(crate) struct PendingRpc {
    pub(crate) to: Node,
    pub(crate) request: Request,
    due: Duration,
}

/// Effects of one event on the outside of a daemon.
#[derive(Default)]
pub(crate) struct Outbox {
    pub(crate) sends: Vec<(Node, Message)>,
    /// Endpoints to which connections are closed.
    pub(crate) closes: Vec<Node>,
    /// Steps that were reached, with the worker that each one concerns.
    pub(crate) steps: Vec<(Step, Option<usize>)>,
}

pub(crate) struct Daemon {
    pub(crate) name: DaemonId,
    pub(crate) is_alive: bool,
    pub(crate) clock: DaemonClock,
    /// Reading of the daemon's clock at the current event.
    pub(crate) now: Duration,
    pub(crate) outbox: Outbox,
    pub(crate) owners: OwnerTable<ChaCha8Rng>,
    pub(crate) record_log: RecordLog<JsonCodec>,
    pub(crate) registration: RegistrationLease<ChaCha8Rng>,
    pub(crate) config: ConfigState,
    /// The highest configuration version that this process has applied; see
    /// `Invariant::NoRevert`.
    pub(crate) highest_version: u64,
    pub(crate) pools: BTreeMap<ShardName, PoolOwner>,
    pub(crate) keys: Option<KeyTable>,
    pub(crate) call_owner: Option<CallOwner>,
    pub(crate) pending_rpcs: BTreeMap<RpcId, PendingRpc>,
    /// Slot requests waiting in the call queue, with where to send the reply.
    pub(crate) slot_requests: BTreeMap<RequestId, (Node, RpcId, KeyDigest)>,
    /// Events to apply when a record is written (first) or has failed (second).
    pub(crate) record_events: BTreeMap<RecordId, [Event; 2]>,
    pub(crate) leaving_hosts: BTreeSet<HostId>,
    /// Journal reads to repeat, with the times at which they are due.
    pub(crate) journal_retries: Vec<(Duration, ShardName, Epoch)>,
    mutation: Option<Mutation>,
    peers: PeerTable,
    draining: bool,
    next_rpc: RpcId,
    heartbeat_at: Duration,
    poll_at: Duration,
}

pub(crate) fn daemon_name(index: usize) -> DaemonId {
    format!("daemon-{index}").into()
}

impl Daemon {
    /// Returns a daemon process that starts at `now`. `process` is 0 for the first
    /// process of each daemon and then numbers the restarts of the run, so that
    /// request identifiers of a daemon stay unique.
    pub(crate) fn new(index: usize, process: u64, now: Duration, options: &RunOptions) -> Self {
        let name = daemon_name(index);
        let generator = ChaCha8Rng::seed_from_u64(options.seed ^ (process << 8) ^ index as u64);
        let config = OwnershipConfig::default();
        let mut owners = OwnerTable::new(name.clone(), config, generator.clone());
        owners.handle(OwnershipEvent::ShardsChanged(shards()), Duration::ZERO);
        Self {
            is_alive: true,
            clock: DaemonClock {
                rate_changed_at: now,
                reading_at_change: Duration::ZERO,
                rate_percent: 100,
            },
            now: Duration::ZERO,
            outbox: Outbox::default(),
            owners,
            record_log: RecordLog::new(name.clone(), JournalConfig::for_daemons(8), JsonCodec),
            registration: RegistrationLease::new(generator.clone()),
            config: ConfigState::default(),
            highest_version: 0,
            pools: BTreeMap::new(),
            keys: None,
            call_owner: None,
            pending_rpcs: BTreeMap::new(),
            slot_requests: BTreeMap::new(),
            record_events: BTreeMap::new(),
            leaving_hosts: BTreeSet::new(),
            journal_retries: Vec::new(),
            mutation: options.mutation,
            peers: PeerTable::new(PeerConfig::default(), "r1".into()),
            draining: false,
            next_rpc: process << 32,
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
        self.handle_owner_event(OwnershipEvent::DrainRequested);
    }

    pub(crate) fn send(&mut self, to: Node, message: Message) {
        self.outbox.sends.push((to, message));
    }

    pub(crate) fn report_step(&mut self, step: Step, worker: Option<usize>) {
        self.outbox.steps.push((step, worker));
    }

    pub(crate) fn respond(&mut self, request: RequestId, answer: Answer) {
        self.report_step(Step::Answer, None);
        self.send(Node::Caller, Message::Answer(request, answer));
    }

    pub(crate) fn request(&mut self, to: Node, request: Request) {
        self.next_rpc += 1;
        let due = self.now + RPC_TIMEOUT;
        self.send(to, Message::Rpc(self.next_rpc, request.clone()));
        let rpc = PendingRpc { to, request, due };
        self.pending_rpcs.insert(self.next_rpc, rpc);
    }

    pub(crate) fn handle(&mut self, from: Node, message: Message) {
        match message {
            Message::Tick => self.handle_tick(),
            Message::Heartbeat(heartbeat) => self.handle_heartbeat(heartbeat),
            Message::Watch(view) => self.handle_store_view(view),
            Message::Publish(number) => self.publish(number),
            Message::Cancel(task) => {
                for shard in shards() {
                    self.handle_task_event(&shard, TaskEvent::Cancel(task));
                }
            }
            Message::Submit(_, ref spec) => self.serve_or_forward(from, &job_shard(spec), message),
            Message::Call(_) => self.serve_or_forward(from, &key_shard(), message),
            Message::ReturnSlot(epoch, grant, result) => self.release_slot(epoch, grant, result),
            Message::Rpc(id, Request::Slot(key, request)) => {
                self.enqueue_call((from, id, key), request);
            }
            Message::Reply(id, event) => self.handle_reply(from, id, event),
            Message::Answer(..) | Message::Rpc(..) => {}
        }
    }

    /// Serves a request of a caller, or forwards it to the owner of the shard. A
    /// forwarded request is not forwarded again.
    fn serve_or_forward(&mut self, from: Node, shard: &ShardName, message: Message) {
        let is_active = self.owners.phase(shard) == Some(ShardPhase::Active);
        let owner = self.owners.owner(shard).map(|owner| &owner.daemon);
        let owner = owner.filter(|owner| from == Node::Caller && **owner != self.name);
        match (message, owner) {
            (Message::Submit(request, spec), _) if is_active => self.submit(shard, request, spec),
            (Message::Call(call), _) if is_active => {
                self.report_step(Step::Accept, None);
                self.handle_key_event(KeyEvent::Requested(call));
            }
            (message, Some(owner)) => self.send(Node::Daemon(name_index(owner)), message),
            (Message::Submit(request, spec), None) => {
                let reason = JobRejection::StoreUnavailable;
                self.respond(request, Answer::Rejected(spec.job, reason));
            }
            (Message::Call(call), None) => {
                let reply = KeyReply::NotRun(NotRunReason::NoOwner);
                self.respond(call.request, Answer::Called(reply));
            }
            _ => {}
        }
    }

    fn handle_reply(&mut self, from: Node, id: RpcId, event: Event) {
        match (self.pending_rpcs.remove(&id), event) {
            (Some(rpc), Event::Unavailable) => self.fail_rpc(rpc),
            (Some(rpc), event) => {
                self.complete_rpc(rpc, event);
                if let Node::Worker(worker) = from {
                    self.send_pending_work(worker);
                }
            }
            // The request has timed out or was discarded.
            (None, Event::Granted(call)) if !self.has_running_call(&call) => {
                self.return_slot(&call, GrantResult::Unused);
            }
            (None, _) => {}
        }
    }

    /// Fails a request that got no reply.
    pub(crate) fn fail_rpc(&mut self, rpc: PendingRpc) {
        let is_store = rpc.to == Node::Store;
        let event = rpc
            .request
            .clone()
            .failure_event(self.has(Mutation::RetryUnknown));
        self.complete_rpc(rpc, event);
        if is_store && self.has(Mutation::BusyRetries) {
            self.request(Node::Store, Request::ReadView);
        }
    }

    fn complete_rpc(&mut self, rpc: PendingRpc, event: Event) {
        match (rpc.request, event) {
            (Request::Call(call), Event::Key(event)) => self.complete_call(&call, event),
            (Request::Query(key), Event::Key(event)) => self.complete_query(key, event),
            (_, event) => self.apply(event),
        }
    }

    pub(crate) fn apply(&mut self, event: Event) {
        match event {
            Event::Owner(event) => self.handle_owner_event(event),
            Event::Journal(event) => {
                let is_lost = matches!(event, JournalEvent::ResponseLost(_));
                if is_lost || matches!(event, JournalEvent::Committed(_)) {
                    self.handle_key_event(KeyEvent::StoreChanged {
                        available: !is_lost,
                    });
                }
                self.handle_journal_event(event);
            }
            Event::JournalRead(shard, epoch, values) => self.open_shard(shard, epoch, values),
            Event::JournalLost(shard, epoch) => {
                self.journal_retries
                    .push((self.now + JOURNAL_RETRY_INTERVAL, shard, epoch));
            }
            Event::Registration(event) => self.handle_registration_event(event),
            Event::Config(event) => self.handle_config_event(event),
            Event::View(view) => self.handle_store_view(view),
            Event::Task(shard, event) => self.handle_task_event(&shard, event),
            Event::Key(event) => self.handle_key_event(event),
            Event::Granted(call) => self.dispatch(call),
            Event::Published => self.respond(0, Answer::Published),
            Event::Done | Event::Unavailable => {}
        }
    }

    fn handle_tick(&mut self) {
        self.time_out_rpcs();
        self.retry_journal_reads();
        self.peers.handle_timer(self.now);
        self.update_peers();
        self.handle_owner_event(OwnershipEvent::TimerFired);
        self.handle_journal_event(JournalEvent::TimerFired);
        self.handle_registration_event(RegistrationEvent::TimerFired);
        if self.now >= self.heartbeat_at {
            self.heartbeat_at = self.now + HEARTBEAT_INTERVAL;
            self.send_heartbeats();
        }
        if self.now >= self.poll_at {
            self.poll_at = self.now + POLL_INTERVAL;
            self.request(Node::Store, Request::ReadView);
        }
        self.handle_key_event(KeyEvent::TimerFired);
        self.handle_call_event(CallEvent::TimerFired);
        let must_wait = self.has_open_calls() && !self.has(Mutation::DrainCuts);
        for shard in shards() {
            self.report_leaving_workers(&shard);
            self.handle_task_event(&shard, TaskEvent::TimerFired);
            let is_flushing = self.owners.phase(&shard) == Some(ShardPhase::Flushing);
            if let Some(epoch) = self.owners.owned_epoch(&shard)
                && is_flushing
                && !must_wait
                && self.record_log.is_flushed(&shard)
            {
                self.handle_owner_event(OwnershipEvent::Flushed(shard, epoch));
            }
        }
    }

    /// Fails requests whose timeout has expired. For a worker, the whole
    /// connection is closed, so that no request sent on it arrives later.
    fn time_out_rpcs(&mut self) {
        let now = self.now;
        let overdue = self.pending_rpcs.iter().filter(|(_, rpc)| now >= rpc.due);
        let overdue: Vec<_> = overdue.map(|(id, rpc)| (*id, rpc.to)).collect();
        for (id, to) in overdue {
            if let Node::Worker(worker) = to {
                self.close_worker_link(worker);
            } else if let Some(rpc) = self.pending_rpcs.remove(&id) {
                self.fail_rpc(rpc);
            }
        }
    }

    fn update_peers(&mut self) {
        let known = self.owners.iter().map(|(_, record)| &record.daemon);
        let peers = self.peers.iter().map(|peer| &peer.record.daemon);
        let others = known.chain(peers).filter(|daemon| **daemon != self.name);
        let dead = others.filter(|daemon| self.peers.is_confirmed_dead(daemon, self.now));
        let dead: BTreeSet<_> = dead.cloned().collect();
        let alive = self.peers.alive(self.now).filter(|peer| !peer.draining);
        let alive = alive.map(|peer| (peer.record.daemon.clone(), peer.record.zone.clone()));
        let own = (self.name.clone(), "z1".into());
        let candidates = alive.chain([own]).collect();
        self.handle_owner_event(OwnershipEvent::CandidatesChanged(candidates));
        for daemon in &dead {
            self.handle_call_event(CallEvent::RequesterLost(DaemonId::clone(daemon)));
        }
        self.handle_owner_event(OwnershipEvent::DeadDaemonsChanged(dead));
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

    fn handle_heartbeat(&mut self, heartbeat: Heartbeat) {
        let version = heartbeat.config_version;
        if version < self.config.version() && self.has(Mutation::OlderConfig) {
            self.config = ConfigState::default();
        }
        let source = ConfigSource::Peer(heartbeat.daemon.clone());
        self.peers.record_heartbeat(heartbeat, self.now);
        self.handle_config_event(ConfigEvent::VersionSeen(version, source));
    }

    pub(crate) fn handle_store_view(&mut self, view: StoreView) {
        let mut others = view.members;
        others.retain(|member| member.daemon != self.name);
        self.peers.set_members(others, self.now);
        self.handle_owner_event(OwnershipEvent::OwnersRead(view.owners));
        let source = ConfigSource::Store(view.head.version);
        self.handle_config_event(ConfigEvent::VersionSeen(view.head.version, source));
    }

    pub(crate) fn handle_config_event(&mut self, event: ConfigEvent) {
        for action in self.config.handle(event, self.now) {
            // Peers and the store hold the same versions, so all fetches are
            // sent to the store.
            if let ConfigAction::Fetch { from, .. } = action
                && !self.has(Mutation::DisableFetch)
            {
                self.request(Node::Store, Request::ReadVersions(from));
            }
        }
    }

    fn publish(&mut self, number: u64) {
        let mut objects = self.config.objects().as_ref().clone();
        objects.teams.extend(team_objects(number).teams);
        if let Ok(update) = self.config.prepare(self.config.version(), objects) {
            self.report_step(Step::Publish, None);
            self.request(Node::Store, Request::Publish(Box::new(update)));
        }
    }
}
