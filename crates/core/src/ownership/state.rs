//! The owner table of one daemon.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand::{Rng, RngExt};

use super::{
    held::HeldShard,
    messages::{OwnerRecord, OwnershipAction, OwnershipEvent, ShardPhase},
    successor::choose_successor,
};
use crate::types::{DaemonId, Epoch, ShardName, ZoneId};

/// Times and limits of ownership.
#[derive(Clone, Copy, Debug)]
pub struct OwnershipConfig {
    /// How long a daemon must have been confirmed dead before a takeover, so
    /// that jitter does not make ownership flap.
    pub takeover_hold: Duration,
    /// The longest random delay of a takeover; it spreads the load on a store
    /// that has just recovered.
    pub takeover_jitter: Duration,
    /// Shards that may be between claim and activation at once.
    pub takeover_limit: usize,
    /// How long a claim may go unanswered before its record is read back.
    pub claim_retry_time: Duration,
    /// How long the candidates must be unchanged before shards move to them,
    /// and the least time between two such moves.
    pub rebalance_time: Duration,
    /// The first delay before a journal that cannot be replayed is read again;
    /// the delay doubles up to [`replay_retry_limit`](Self::replay_retry_limit).
    pub replay_retry_time: Duration,
    /// The longest such delay: an operator who has restored a value waits no
    /// longer than this.
    pub replay_retry_limit: Duration,
    /// A longer time between two timer events means that the process was
    /// paused.
    pub pause_time: Duration,
}

impl Default for OwnershipConfig {
    fn default() -> Self {
        Self {
            takeover_hold: Duration::from_millis(500),
            takeover_jitter: Duration::from_millis(200),
            takeover_limit: 8,
            claim_retry_time: Duration::from_secs(1),
            rebalance_time: Duration::from_secs(10),
            replay_retry_time: Duration::from_secs(5),
            replay_retry_limit: Duration::from_mins(5),
            pause_time: Duration::from_secs(1),
        }
    }
}

/// One daemon's view of the owners of all shards.
#[derive(Clone, Debug)]
pub struct OwnerTable<R> {
    daemon: DaemonId,
    config: OwnershipConfig,
    generator: R,
    shards: BTreeSet<ShardName>,
    lease_shards: BTreeSet<ShardName>,
    owners: BTreeMap<ShardName, OwnerRecord>,
    held: BTreeMap<ShardName, HeldShard>,
    candidates: BTreeMap<DaemonId, ZoneId>,
    /// Confirmed dead daemons with the time of the confirmation.
    dead: BTreeMap<DaemonId, Duration>,
    /// Unanswered claims and readings.
    pending: BTreeMap<ShardName, PendingRequest>,
    /// Takeovers that wait for their random delay.
    scheduled: BTreeMap<ShardName, Duration>,
    stable_since: Duration,
    ticked_at: Duration,
    read: bool,
    draining: bool,
}

/// The last request to the store about an owner record.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    asked_at: Duration,
    /// Whether it reads the record after a claim without an answer.
    reads: bool,
}

impl<R: Rng> OwnerTable<R> {
    /// Returns the table of `daemon`, which owns nothing yet. `generator`
    /// draws the delays of takeovers.
    #[must_use]
    pub const fn new(daemon: DaemonId, config: OwnershipConfig, generator: R) -> Self {
        Self {
            daemon,
            config,
            generator,
            shards: BTreeSet::new(),
            lease_shards: BTreeSet::new(),
            owners: BTreeMap::new(),
            held: BTreeMap::new(),
            candidates: BTreeMap::new(),
            dead: BTreeMap::new(),
            pending: BTreeMap::new(),
            scheduled: BTreeMap::new(),
            stable_since: Duration::ZERO,
            ticked_at: Duration::ZERO,
            read: false,
            draining: false,
        }
    }

    /// Returns the owner of a shard as last read.
    #[must_use]
    pub fn owner(&self, shard: &ShardName) -> Option<&OwnerRecord> {
        self.owners.get(shard)
    }

    /// Returns the epoch of a shard that this daemon owns.
    #[must_use]
    pub fn owned_epoch(&self, shard: &ShardName) -> Option<Epoch> {
        self.held.get(shard).map(|held| held.epoch)
    }

    /// Returns how far this daemon has come with a shard that it owns.
    #[must_use]
    pub fn phase(&self, shard: &ShardName) -> Option<ShardPhase> {
        self.held.get(shard).map(|held| held.phase)
    }

    /// Tells whether work of a shard may be sent to its targets at `now`,
    /// which must have been read from the clock just before.
    #[must_use]
    pub fn may_dispatch(&self, shard: &ShardName, now: Duration) -> bool {
        self.held.get(shard).is_some_and(|held| {
            let leased = !self.lease_shards.contains(shard) || held.has_lease(now);
            held.phase == ShardPhase::Active && leased
        })
    }

    /// Tells whether a draining daemon owns nothing that another could take.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        let movable = |shard| self.successor(shard).is_some();
        self.draining && !self.held.keys().any(movable)
    }

    /// Returns all owner records.
    pub fn iter(&self) -> impl Iterator<Item = (&ShardName, &OwnerRecord)> {
        self.owners.iter()
    }

    /// Returns the daemon that should own a shard.
    #[must_use]
    pub fn successor(&self, shard: &ShardName) -> Option<&DaemonId> {
        let mut excluded: BTreeSet<_> = self.dead.keys().cloned().collect();
        if self.draining {
            excluded.insert(self.daemon.clone());
        }
        choose_successor(shard, &self.candidates, &excluded)
    }

    /// Applies an event and returns what is to be done.
    pub fn handle(&mut self, event: OwnershipEvent, now: Duration) -> Vec<OwnershipAction> {
        let mut actions = Vec::new();
        match event {
            OwnershipEvent::ShardsChanged(shards) => self.shards = shards,
            OwnershipEvent::LeaseShardsChanged(shards) => self.lease_shards = shards,
            OwnershipEvent::CandidatesChanged(candidates) => self.set_candidates(candidates, now),
            OwnershipEvent::DeadDaemonsChanged(dead) => self.set_dead(&dead, now),
            OwnershipEvent::OwnersRead(owners) => {
                self.read = true;
                for (shard, record) in owners {
                    self.note_record(shard, record, &mut actions);
                }
            }
            OwnershipEvent::ClaimAnswered { shard, record } => {
                self.resolve(shard, Some(record), &mut actions);
            }
            OwnershipEvent::OwnerRead { shard, record } => {
                self.resolve(shard, record, &mut actions);
            }
            OwnershipEvent::ClaimFailed(shard) => self.read_back(shard, now, &mut actions),
            OwnershipEvent::Fenced(shard, epoch) => {
                if self.owned_epoch(&shard) == Some(epoch) {
                    self.step_down(&shard, &mut actions);
                    self.read_back(shard, now, &mut actions);
                }
            }
            OwnershipEvent::DrainRequested => self.draining = true,
            OwnershipEvent::TimerFired => self.check_pause(now, &mut actions),
            progress => self.note_progress(progress, now, &mut actions),
        }
        self.retry_pending(now, &mut actions);
        self.retry_replays(now, &mut actions);
        self.claim_vacant(now, &mut actions);
        self.move_shards(now, &mut actions);
        self.request_leases(now, &mut actions);
        actions
    }

    /// Applies reports about a shard that this daemon owns; those of another
    /// epoch are late and have no effect.
    fn note_progress(
        &mut self,
        event: OwnershipEvent,
        now: Duration,
        actions: &mut Vec<OwnershipAction>,
    ) {
        match event {
            OwnershipEvent::Replayed(shard, epoch)
                if self.advance(&shard, epoch, ShardPhase::Replaying, ShardPhase::Claiming) =>
            {
                actions.push(OwnershipAction::ClaimTargets(shard, epoch));
            }
            OwnershipEvent::ReplayFailed(shard, epoch) => {
                let config = self.config;
                let (first, last) = (config.replay_retry_time, config.replay_retry_limit);
                if let Some(held) = self.held_at(&shard, epoch) {
                    held.fail_replay(now, first, last);
                }
            }
            OwnershipEvent::TargetsClaimed(shard, epoch)
                if self.advance(&shard, epoch, ShardPhase::Claiming, ShardPhase::Active) =>
            {
                actions.push(OwnershipAction::Activated(shard, epoch));
            }
            OwnershipEvent::Flushed(shard, epoch)
                if self.advance(&shard, epoch, ShardPhase::Flushing, ShardPhase::HandingOver) =>
            {
                self.hand_over(shard, epoch, now, actions);
            }
            OwnershipEvent::LeaseGranted {
                shard,
                epoch,
                sent_at,
            } => {
                if let Some(held) = self.held_at(&shard, epoch) {
                    held.extend_lease(sent_at);
                }
            }
            // A refused lease is asked for again with the next renewal; the
            // validity counted so far stays true, as it ends before the
            // store's own expiry.
            _ => {}
        }
    }

    fn held_at(&mut self, shard: &ShardName, epoch: Epoch) -> Option<&mut HeldShard> {
        self.held.get_mut(shard).filter(|held| held.epoch == epoch)
    }

    fn advance(
        &mut self,
        shard: &ShardName,
        epoch: Epoch,
        before: ShardPhase,
        after: ShardPhase,
    ) -> bool {
        self.held_at(shard, epoch)
            .is_some_and(|held| held.advance(before, after))
    }

    fn set_candidates(&mut self, candidates: BTreeMap<DaemonId, ZoneId>, now: Duration) {
        if self.candidates != candidates {
            self.candidates = candidates;
            self.stable_since = now;
        }
    }

    /// Keeps the time of confirmation of daemons that stay dead, so that a
    /// daemon heard again starts the hold from the beginning.
    fn set_dead(&mut self, dead: &BTreeSet<DaemonId>, now: Duration) {
        let mut since = BTreeMap::new();
        for daemon in dead {
            let confirmed_at = self.dead.get(daemon).copied().unwrap_or(now);
            since.insert(daemon.clone(), confirmed_at);
        }
        self.dead = since;
    }

    /// Notes a record read from the store; an older epoch than the known one
    /// comes from a delayed reading and is ignored.
    fn note_record(
        &mut self,
        shard: ShardName,
        record: OwnerRecord,
        actions: &mut Vec<OwnershipAction>,
    ) {
        let known = self.owners.get(&shard).map(|known| known.epoch);
        if known >= Some(record.epoch) {
            return;
        }
        if self.held.contains_key(&shard) {
            self.step_down(&shard, actions);
        }
        let own = record.daemon == self.daemon;
        // Before the first reading this process has claimed nothing, so the
        // record is that of an earlier process of the same name, whose
        // messages may still be under way. It is replaced by a higher epoch.
        let inherited = own && known.is_none() && !self.pending.contains_key(&shard);
        if own && !inherited {
            self.held
                .insert(shard.clone(), HeldShard::new(record.epoch));
            actions.push(OwnershipAction::Acquired {
                shard: shard.clone(),
                epoch: record.epoch,
            });
        }
        self.owners.insert(shard, record);
    }

    /// Ends an unanswered claim with the record that is in the store.
    fn resolve(
        &mut self,
        shard: ShardName,
        record: Option<OwnerRecord>,
        actions: &mut Vec<OwnershipAction>,
    ) {
        if let Some(record) = record {
            self.note_record(shard.clone(), record, actions);
        }
        self.pending.remove(&shard);
        if let Some(epoch) = self.owned_epoch(&shard) {
            self.resume(shard, epoch, actions);
        }
    }

    /// Acts for a shard again after a handover that did not take effect; the
    /// rules that chose the handover start it again from the flush.
    fn resume(&mut self, shard: ShardName, epoch: Epoch, actions: &mut Vec<OwnershipAction>) {
        if self.advance(&shard, epoch, ShardPhase::HandingOver, ShardPhase::Active) {
            actions.push(OwnershipAction::Activated(shard, epoch));
        }
    }

    /// Reads a record back. A reading that failed is repeated by the timer only,
    /// as a store that refuses connections would be asked without a pause.
    fn read_back(&mut self, shard: ShardName, now: Duration, actions: &mut Vec<OwnershipAction>) {
        let pending = self.pending.get(&shard);
        if pending.is_some_and(|request| request.reads) {
            return;
        }
        let request = PendingRequest {
            asked_at: now,
            reads: true,
        };
        self.pending.insert(shard.clone(), request);
        actions.push(OwnershipAction::ReadOwner(shard));
    }

    /// Stops acting for a shard, before anything else is done for it.
    fn step_down(&mut self, shard: &ShardName, actions: &mut Vec<OwnershipAction>) {
        let Some(held) = self.held.remove(shard) else {
            return;
        };
        actions.push(OwnershipAction::Lost(shard.clone()));
        if self.lease_shards.contains(shard) {
            actions.push(OwnershipAction::ReleaseLease(shard.clone(), held.epoch));
        }
    }

    /// Reads the owners again after a pause, in which they may have changed.
    fn check_pause(&mut self, now: Duration, actions: &mut Vec<OwnershipAction>) {
        let paused = now.saturating_sub(self.ticked_at) > self.config.pause_time;
        self.ticked_at = now;
        if paused {
            let shards = self.held.keys().cloned();
            actions.extend(shards.map(OwnershipAction::ReadOwner));
        }
    }

    fn retry_pending(&mut self, now: Duration, actions: &mut Vec<OwnershipAction>) {
        for (shard, request) in &mut self.pending {
            if now.saturating_sub(request.asked_at) >= self.config.claim_retry_time {
                *request = PendingRequest {
                    asked_at: now,
                    reads: true,
                };
                actions.push(OwnershipAction::ReadOwner(shard.clone()));
            }
        }
    }

    fn retry_replays(&mut self, now: Duration, actions: &mut Vec<OwnershipAction>) {
        for (shard, held) in &mut self.held {
            if held.take_replay(now) {
                actions.push(OwnershipAction::Acquired {
                    shard: shard.clone(),
                    epoch: held.epoch,
                });
            }
        }
    }

    /// Returns whether this daemon is to claim a shard: it is the successor of
    /// no owner or of a dead one, or an earlier process of its own was it.
    fn is_vacant(&self, shard: &ShardName, now: Duration) -> bool {
        let successor = || self.successor(shard) == Some(&self.daemon);
        match self.owners.get(shard) {
            None => successor(),
            Some(record) if record.daemon == self.daemon => {
                !self.held.contains_key(shard) && !self.draining
            }
            Some(record) => {
                let held = self
                    .dead
                    .get(&record.daemon)
                    .is_some_and(|since| now.saturating_sub(*since) >= self.config.takeover_hold);
                held && successor()
            }
        }
    }

    /// Claims vacant shards, each after its random delay and a few at a time.
    fn claim_vacant(&mut self, now: Duration, actions: &mut Vec<OwnershipAction>) {
        let vacant: BTreeSet<_> = self
            .shards
            .iter()
            .filter(|shard| self.read && !self.pending.contains_key(*shard))
            .filter(|shard| self.is_vacant(shard, now))
            .cloned()
            .collect();
        self.scheduled.retain(|shard, _| vacant.contains(shard));
        let starting = self.held.values().filter(|held| held.is_starting()).count();
        let mut running = starting + self.pending.len();
        for shard in vacant {
            let due = self.takeover_due(&shard, now);
            if now >= due && running < self.config.takeover_limit {
                running += 1;
                self.scheduled.remove(&shard);
                let daemon = self.daemon.clone();
                self.claim(shard, daemon, now, actions);
            }
        }
    }

    fn takeover_due(&mut self, shard: &ShardName, now: Duration) -> Duration {
        if let Some(due) = self.scheduled.get(shard) {
            return *due;
        }
        let jitter = self.config.takeover_jitter;
        let due = now + self.generator.random_range(Duration::ZERO..=jitter);
        self.scheduled.insert(shard.clone(), due);
        due
    }

    fn claim(
        &mut self,
        shard: ShardName,
        daemon: DaemonId,
        now: Duration,
        actions: &mut Vec<OwnershipAction>,
    ) {
        let expected = self.owners.get(&shard).cloned();
        let epoch = expected.as_ref().map_or(1, |record| record.epoch + 1);
        let request = PendingRequest {
            asked_at: now,
            reads: false,
        };
        self.pending.insert(shard.clone(), request);
        actions.push(OwnershipAction::Claim {
            shard,
            expected,
            next: OwnerRecord { daemon, epoch },
        });
    }

    /// Starts handovers: all of a draining daemon, otherwise one at a time
    /// when another daemon has become the successor for some time.
    fn move_shards(&mut self, now: Duration, actions: &mut Vec<OwnershipAction>) {
        let leaving = self.held.values().filter(|held| held.is_leaving()).count();
        let settled = now.saturating_sub(self.stable_since) >= self.config.rebalance_time;
        let limit = match (self.draining, settled) {
            (true, _) => self.config.takeover_limit,
            (false, true) => 1,
            (false, false) => 0,
        };
        let movable: Vec<_> = self
            .held
            .iter()
            .filter(|(_, held)| held.phase == ShardPhase::Active)
            .filter(|(shard, _)| {
                self.successor(shard)
                    .is_some_and(|next| *next != self.daemon)
            })
            .map(|(shard, held)| (shard.clone(), held.epoch))
            .take(limit.saturating_sub(leaving))
            .collect();
        for (shard, epoch) in movable {
            self.stable_since = now;
            self.advance(&shard, epoch, ShardPhase::Active, ShardPhase::Flushing);
            actions.push(OwnershipAction::Flush(shard, epoch));
        }
    }

    /// Writes the successor's record over the own one; with no successor left
    /// the shard stays.
    fn hand_over(
        &mut self,
        shard: ShardName,
        epoch: Epoch,
        now: Duration,
        actions: &mut Vec<OwnershipAction>,
    ) {
        match self.successor(&shard).cloned() {
            Some(next) if next != self.daemon => self.claim(shard, next, now, actions),
            _ => self.resume(shard, epoch, actions),
        }
    }

    fn request_leases(&mut self, now: Duration, actions: &mut Vec<OwnershipAction>) {
        for (shard, held) in &mut self.held {
            if self.lease_shards.contains(shard) && held.ask_lease(now) {
                actions.push(OwnershipAction::RequestLease {
                    shard: shard.clone(),
                    epoch: held.epoch,
                    sent_at: now,
                });
            }
        }
    }
}
