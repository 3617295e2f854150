//! Property tests of shard ownership: three owner tables, a simulated store and a
//! simulated target run random schedules with paused daemons, clock drift, false
//! suspicions, and lost, delayed, duplicated and reordered messages.

use std::{collections::BTreeMap, time::Duration};

use auburnsaddle_core::{
    DaemonId, Epoch, OwnerRecord, OwnerTable, OwnershipAction, OwnershipConfig, OwnershipEvent,
    ShardName,
};
use proptest::{prelude::*, strategy::ValueTree, test_runner::TestRunner};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

const DAEMONS: usize = 3;

/// Duration of the lease that the store grants to an owner.
const LEASE_DURATION: Duration = Duration::from_secs(10);

/// Clock rate of each daemon relative to the clock of the store.
const CLOCK_RATE_PERCENT: [u32; DAEMONS] = [95, 100, 105];

/// A message in flight, which may arrive at any time or never.
#[derive(Clone, Debug)]
enum Message {
    ToStore(usize, OwnershipAction),
    ToDaemon(usize, OwnershipEvent),
    Start(usize, Epoch),
}

/// One step of a schedule. The index of a message is taken modulo the number of
/// messages in flight.
#[derive(Clone, Copy, Debug)]
enum Step {
    Deliver(usize),
    Duplicate(usize),
    Drop(usize),
    Tick(usize),
    Wait(u64),
    Suspect(usize),
    ClearSuspicion(usize),
    Watch(usize),
    Dispatch(usize),
    Drain(usize),
    Pause(usize),
    Resume,
}

struct World {
    tables: Vec<OwnerTable<ChaCha8Rng>>,
    messages: Vec<Message>,
    owner: Option<OwnerRecord>,
    /// Epoch of the lease holder and end of the lease on the clock of the store.
    lease: Option<(Epoch, Duration)>,
    /// Highest epoch that the target has admitted.
    highest_epoch: Epoch,
    /// Starts that the target has admitted, with the daemons that sent them.
    admitted_starts: Vec<(Epoch, usize)>,
    now: Duration,
    paused_daemon: Option<usize>,
}

fn daemon_name(index: usize) -> DaemonId {
    format!("daemon-{index}").into()
}

fn shard() -> ShardName {
    ShardName::Pool("sales".into())
}

fn owner_table(index: usize, seed: u64, uses_lease: bool) -> OwnerTable<ChaCha8Rng> {
    let generator = ChaCha8Rng::seed_from_u64(seed + index as u64);
    let mut table = OwnerTable::new(daemon_name(index), OwnershipConfig::default(), generator);
    let candidates = (0..DAEMONS).map(|index| (daemon_name(index), "z1".into()));
    let lease_shards = uses_lease.then(shard).into_iter().collect();
    for event in [
        OwnershipEvent::CandidatesChanged(candidates.collect()),
        OwnershipEvent::LeaseShardsChanged(lease_shards),
        OwnershipEvent::ShardsChanged([shard()].into()),
        OwnershipEvent::OwnersRead(BTreeMap::new()),
    ] {
        table.handle(event, Duration::ZERO);
    }
    table
}

impl World {
    fn new(seed: u64, uses_lease: bool) -> Self {
        let tables = (0..DAEMONS).map(|index| owner_table(index, seed, uses_lease));
        Self {
            tables: tables.collect(),
            messages: Vec::new(),
            owner: None,
            lease: None,
            highest_epoch: 0,
            admitted_starts: Vec::new(),
            now: Duration::ZERO,
            paused_daemon: None,
        }
    }

    /// Returns the time on the clock of a daemon.
    fn local_time(&self, daemon: usize) -> Duration {
        self.now * CLOCK_RATE_PERCENT[daemon] / 100
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Deliver(index) => {
                if let Some(message) = self.take_message(index) {
                    self.deliver(message);
                }
            }
            Step::Duplicate(index) => {
                if let Some(index) = index.checked_rem(self.messages.len()) {
                    self.deliver(self.messages[index].clone());
                }
            }
            Step::Drop(index) => self.drop_message(index),
            Step::Tick(daemon) => self.handle_event(daemon, OwnershipEvent::TimerFired),
            Step::Wait(millis) => self.now += Duration::from_millis(millis),
            Step::Suspect(daemon) => {
                let others = (0..DAEMONS)
                    .filter(|index| *index != daemon)
                    .map(daemon_name);
                self.handle_event(daemon, OwnershipEvent::DeadDaemonsChanged(others.collect()));
            }
            Step::ClearSuspicion(daemon) => {
                self.handle_event(daemon, OwnershipEvent::DeadDaemonsChanged([].into()));
            }
            Step::Watch(daemon) => {
                let owners = self.owner.clone().map(|owner| (shard(), owner));
                let event = OwnershipEvent::OwnersRead(owners.into_iter().collect());
                self.messages.push(Message::ToDaemon(daemon, event));
            }
            Step::Dispatch(daemon) => self.send_start(daemon),
            Step::Drain(daemon) => self.handle_event(daemon, OwnershipEvent::DrainRequested),
            Step::Pause(daemon) => self.paused_daemon = Some(daemon),
            Step::Resume => self.paused_daemon = None,
        }
    }

    fn take_message(&mut self, index: usize) -> Option<Message> {
        let index = index.checked_rem(self.messages.len())?;
        Some(self.messages.swap_remove(index))
    }

    /// Drops a message. A daemon detects that the response to its
    /// compare-and-swap is missing, whether the request or the response was lost.
    fn drop_message(&mut self, index: usize) {
        if let Some(
            Message::ToStore(daemon, OwnershipAction::Claim { .. })
            | Message::ToDaemon(daemon, OwnershipEvent::ClaimAnswered { .. }),
        ) = self.take_message(index)
        {
            self.handle_event(daemon, OwnershipEvent::ClaimFailed(shard()));
        }
    }

    fn send_start(&mut self, daemon: usize) {
        let table = &self.tables[daemon];
        let can_dispatch = table.may_dispatch(&shard(), self.local_time(daemon));
        if let Some(epoch) = table.owned_epoch(&shard()).filter(|_| can_dispatch) {
            self.messages.push(Message::Start(daemon, epoch));
        }
    }

    fn handle_event(&mut self, daemon: usize, event: OwnershipEvent) {
        if self.paused_daemon == Some(daemon) {
            self.messages.push(Message::ToDaemon(daemon, event));
            return;
        }
        let now = self.local_time(daemon);
        for action in self.tables[daemon].handle(event, now) {
            let message = match action {
                OwnershipAction::Acquired { shard, epoch } => {
                    Message::ToDaemon(daemon, OwnershipEvent::Replayed(shard, epoch))
                }
                OwnershipAction::Flush(shard, epoch) => {
                    Message::ToDaemon(daemon, OwnershipEvent::Flushed(shard, epoch))
                }
                // A claim raises the epoch of the target like a start.
                OwnershipAction::ClaimTargets(shard, epoch) => {
                    self.messages.push(Message::Start(daemon, epoch));
                    Message::ToDaemon(daemon, OwnershipEvent::TargetsClaimed(shard, epoch))
                }
                action => Message::ToStore(daemon, action),
            };
            self.messages.push(message);
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::ToDaemon(daemon, event) => self.handle_event(daemon, event),
            Message::ToStore(daemon, action) => {
                if let Some(event) = self.apply_to_store(action) {
                    self.messages.push(Message::ToDaemon(daemon, event));
                }
            }
            Message::Start(daemon, epoch) if epoch >= self.highest_epoch => {
                self.highest_epoch = epoch;
                self.admitted_starts.push((epoch, daemon));
            }
            Message::Start(daemon, epoch) => {
                let fenced = OwnershipEvent::Fenced(shard(), epoch);
                self.messages.push(Message::ToDaemon(daemon, fenced));
            }
        }
    }

    /// Applies a request to the store and returns its response, if it has one.
    fn apply_to_store(&mut self, action: OwnershipAction) -> Option<OwnershipEvent> {
        if self.lease.is_some_and(|(_, until)| self.now >= until) {
            self.lease = None;
        }
        match action {
            OwnershipAction::Claim { expected, next, .. } => {
                if self.owner == expected {
                    self.owner = Some(next);
                }
                let record = self.owner.clone()?;
                let shard = shard();
                Some(OwnershipEvent::ClaimAnswered { shard, record })
            }
            OwnershipAction::ReadOwner(shard) => {
                let record = self.owner.clone();
                Some(OwnershipEvent::OwnerRead { shard, record })
            }
            OwnershipAction::RequestLease { epoch, sent_at, .. } => {
                Some(self.grant_lease(epoch, sent_at))
            }
            OwnershipAction::ReleaseLease(_, epoch) => {
                self.lease = self.lease.filter(|(held, _)| *held != epoch);
                None
            }
            _ => None,
        }
    }

    fn grant_lease(&mut self, epoch: Epoch, sent_at: Duration) -> OwnershipEvent {
        let shard = shard();
        let is_owner = self.owner.as_ref().map(|owner| owner.epoch) == Some(epoch);
        let is_free = self.lease.is_none_or(|(held, _)| held == epoch);
        if !(is_owner && is_free) {
            return OwnershipEvent::LeaseRefused(shard, epoch);
        }
        self.lease = Some((epoch, self.now + LEASE_DURATION));
        OwnershipEvent::LeaseGranted {
            shard,
            epoch,
            sent_at,
        }
    }

    fn dispatcher_count(&self) -> usize {
        (0..DAEMONS)
            .filter(|daemon| self.tables[*daemon].may_dispatch(&shard(), self.local_time(*daemon)))
            .count()
    }
}

fn any_step() -> impl Strategy<Value = Step> {
    let daemon = 0..DAEMONS;
    prop_oneof![
        32 => any::<usize>().prop_map(Step::Deliver),
        4 => any::<usize>().prop_map(Step::Duplicate),
        4 => any::<usize>().prop_map(Step::Drop),
        12 => daemon.clone().prop_map(Step::Tick),
        12 => (1_u64..2_500).prop_map(Step::Wait),
        8 => daemon.clone().prop_map(Step::Suspect),
        3 => daemon.clone().prop_map(Step::ClearSuspicion),
        8 => daemon.clone().prop_map(Step::Watch),
        16 => daemon.clone().prop_map(Step::Dispatch),
        1 => daemon.clone().prop_map(Step::Drain),
        2 => daemon.prop_map(Step::Pause),
        1 => Just(Step::Resume),
    ]
}

fn any_schedule() -> impl Strategy<Value = Vec<Step>> {
    prop::collection::vec(any_step(), 1..400)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Guards against a target that admits starts of two owners under one epoch,
    /// or a start of a former owner after one of its successor.
    #[test]
    fn admitted_epochs_only_rise_and_have_one_owner(seed in any::<u32>(), steps in any_schedule()) {
        let mut world = World::new(seed.into(), false);

        for step in steps {
            world.apply(step);
        }

        for pair in world.admitted_starts.windows(2) {
            let ((before, first), (after, second)) = (pair[0], pair[1]);
            prop_assert!(before < after || (before == after && first == second));
        }
    }

    /// Guards against two daemons that may dispatch at the same time to targets
    /// that cannot compare epochs, while clocks run 5 % fast and slow.
    #[test]
    fn leases_never_overlap(seed in any::<u32>(), steps in any_schedule()) {
        let mut world = World::new(seed.into(), true);

        for step in steps {
            world.apply(step);
            prop_assert!(world.dispatcher_count() <= 1);
        }
    }
}

/// Guards against vacuous property tests: enough schedules must reach a second
/// owner.
#[test]
fn schedules_reach_several_owners() {
    let mut runner = TestRunner::deterministic();
    let mut reached = 0;

    for seed in 0..400 {
        let tree = any_schedule().new_tree(&mut runner);
        let steps = tree.expect("the strategy rejects nothing").current();
        let mut world = World::new(seed, false);
        for step in steps {
            world.apply(step);
        }
        reached += usize::from(world.highest_epoch >= 2);
    }

    assert!(
        reached >= 100,
        "only {reached} of 400 schedules reached a second owner"
    );
}
