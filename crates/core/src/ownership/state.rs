//! The state machine of shard ownership at one daemon.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand::{Rng, RngExt};

use super::{
    held::OwnedShard,
    messages::{OwnerRecord, OwnershipAction, OwnershipEvent, ShardPhase},
    successor::select_successor,
};
use crate::types::{DaemonId, Epoch, ShardName, ZoneId};

/// Delays and limits of takeovers, handovers and retries.
#[derive(Clone, Copy, Debug)]
pub struct OwnershipConfig {
    /// Time for which a daemon must stay confirmed dead before its shards are
    /// taken over, so that network jitter does not make ownership flap.
    pub takeover_hold_down: Duration,
    /// Upper bound of the random delay of a takeover, which spreads the load on a
    /// store that has just recovered.
    pub takeover_jitter: Duration,
    /// Maximum number of shards between claim and activation, so that the loss of
    /// a zone does not cause all takeovers at once.
    pub max_takeovers: usize,
    /// Time without an answer after which the record of a claim is read back.
    pub claim_timeout: Duration,
    /// Time for which the set of candidates must be unchanged before shards are
    /// handed over to rebalance them, and the minimum time between two such
    /// handovers.
    pub rebalance_delay: Duration,
    /// Initial delay before a failed replay is repeated; it doubles up to
    /// [`max_replay_delay`](Self::max_replay_delay).
    pub min_replay_delay: Duration,
    /// Maximum delay before a failed replay is repeated, and so the longest time
    /// until a value that an operator has restored takes effect.
    pub max_replay_delay: Duration,
    /// Time between two timer events above which the process is taken to have
    /// been paused.
    pub pause_threshold: Duration,
}

impl Default for OwnershipConfig {
    fn default() -> Self {
        Self {
            takeover_hold_down: Duration::from_millis(500),
            takeover_jitter: Duration::from_millis(200),
            max_takeovers: 8,
            claim_timeout: Duration::from_secs(1),
            rebalance_delay: Duration::from_secs(10),
            min_replay_delay: Duration::from_secs(5),
            max_replay_delay: Duration::from_mins(5),
            pause_threshold: Duration::from_secs(1),
        }
    }
}

/// One daemon's view of the owners of all shards, and the state of the shards
/// that it owns itself.
#[derive(Clone, Debug)]
pub struct OwnerTable<R> {
    daemon: DaemonId,
    config: OwnershipConfig,
    rng: R,
    shards: BTreeSet<ShardName>,
    lease_shards: BTreeSet<ShardName>,
    owners: BTreeMap<ShardName, OwnerRecord>,
    owned: BTreeMap<ShardName, OwnedShard>,
    candidates: BTreeMap<DaemonId, ZoneId>,
    /// Daemons confirmed dead, with the time of the confirmation.
    dead_since: BTreeMap<DaemonId, Duration>,
    /// Claims and reads of owner records that the store has not answered yet.
    pending: BTreeMap<ShardName, PendingRequest>,
    /// When each scheduled takeover is due, random delay included.
    takeover_due_times: BTreeMap<ShardName, Duration>,
    /// When the candidates last changed, or a handover was last started.
    stable_since: Duration,
    last_timer_at: Duration,
    /// Whether the owner records were read once; nothing is claimed before.
    has_read_owners: bool,
    is_draining: bool,
}

/// The last request to the store about an owner record.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    requested_at: Duration,
    /// Whether this is a read of the record rather than a claim.
    is_read: bool,
}

impl<R: Rng> OwnerTable<R> {
    /// Returns the table of `daemon`, which owns no shard yet. The random delays
    /// of takeovers come from `rng`.
    #[must_use]
    pub const fn new(daemon: DaemonId, config: OwnershipConfig, rng: R) -> Self {
        Self {
            daemon,
            config,
            rng,
            shards: BTreeSet::new(),
            lease_shards: BTreeSet::new(),
            owners: BTreeMap::new(),
            owned: BTreeMap::new(),
            candidates: BTreeMap::new(),
            dead_since: BTreeMap::new(),
            pending: BTreeMap::new(),
            takeover_due_times: BTreeMap::new(),
            stable_since: Duration::ZERO,
            last_timer_at: Duration::ZERO,
            has_read_owners: false,
            is_draining: false,
        }
    }

    /// Returns the last known owner record of a shard.
    #[must_use]
    pub fn owner(&self, shard: &ShardName) -> Option<&OwnerRecord> {
        self.owners.get(shard)
    }

    /// Returns the epoch of a shard that this daemon owns.
    #[must_use]
    pub fn owned_epoch(&self, shard: &ShardName) -> Option<Epoch> {
        self.owned.get(shard).map(|owned| owned.epoch)
    }

    /// Returns the phase of a shard that this daemon owns.
    #[must_use]
    pub fn phase(&self, shard: &ShardName) -> Option<ShardPhase> {
        self.owned.get(shard).map(|owned| owned.phase)
    }

    /// Returns whether work of a shard may be sent to its targets at `now`. The
    /// caller must read the clock immediately before, as the lease may expire.
    #[must_use]
    pub fn may_dispatch(&self, shard: &ShardName, now: Duration) -> bool {
        self.owned.get(shard).is_some_and(|owned| {
            let has_valid_lease = !self.lease_shards.contains(shard) || owned.has_lease(now);
            owned.phase == ShardPhase::Active && has_valid_lease
        })
    }

    /// Returns whether this daemon is draining and owns no shard that has a
    /// successor.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        let movable = |shard| self.successor(shard).is_some();
        self.is_draining && !self.owned.keys().any(movable)
    }

    /// Returns the last known owner records of all shards.
    pub fn iter(&self) -> impl Iterator<Item = (&ShardName, &OwnerRecord)> {
        self.owners.iter()
    }

    /// Returns the daemon that should own a shard: the preferred candidate that is
    /// neither confirmed dead nor, if it is this daemon, draining.
    #[must_use]
    pub fn successor(&self, shard: &ShardName) -> Option<&DaemonId> {
        let mut excluded: BTreeSet<_> = self.dead_since.keys().cloned().collect();
        if self.is_draining {
            excluded.insert(self.daemon.clone());
        }
        select_successor(shard, &self.candidates, &excluded)
    }

    /// Applies an event and returns the resulting actions.
    pub fn handle(&mut self, event: OwnershipEvent, now: Duration) -> Vec<OwnershipAction> {
        let mut actions = Vec::new();
        match event {
            OwnershipEvent::ShardsChanged(shards) => self.shards = shards,
            OwnershipEvent::LeaseShardsChanged(shards) => self.lease_shards = shards,
            OwnershipEvent::CandidatesChanged(candidates) => self.set_candidates(candidates, now),
            OwnershipEvent::DeadDaemonsChanged(dead) => self.set_dead_daemons(&dead, now),
            OwnershipEvent::OwnersRead(owners) => {
                self.has_read_owners = true;
                for (shard, record) in owners {
                    self.apply_record(shard, record, &mut actions);
                }
            }
            OwnershipEvent::ClaimAnswered { shard, record } => {
                self.resolve_request(shard, Some(record), &mut actions);
            }
            OwnershipEvent::OwnerRead { shard, record } => {
                self.resolve_request(shard, record, &mut actions);
            }
            OwnershipEvent::ClaimFailed(shard) => self.read_back(shard, now, &mut actions),
            OwnershipEvent::Fenced(shard, epoch) => {
                if self.owned_epoch(&shard) == Some(epoch) {
                    self.step_down(&shard, &mut actions);
                    self.read_back(shard, now, &mut actions);
                }
            }
            OwnershipEvent::DrainRequested => self.is_draining = true,
            OwnershipEvent::TimerFired => self.detect_pause(now, &mut actions),
            progress => self.apply_progress(progress, now, &mut actions),
        }
        self.retry_pending_requests(now, &mut actions);
        self.repeat_due_replays(now, &mut actions);
        self.claim_vacant_shards(now, &mut actions);
        self.start_handovers(now, &mut actions);
        self.request_leases(now, &mut actions);
        actions
    }

    /// Applies a report about an owned shard. A report of another epoch is stale
    /// and has no effect.
    fn apply_progress(
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
                let (min_delay, max_delay) = (config.min_replay_delay, config.max_replay_delay);
                if let Some(owned) = self.owned_in_epoch(&shard, epoch) {
                    owned.schedule_replay_retry(now, min_delay, max_delay);
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
                if let Some(owned) = self.owned_in_epoch(&shard, epoch) {
                    owned.extend_lease(sent_at);
                }
            }
            // A refused lease is requested again at the next renewal. The
            // current validity stands, as it ends before the expiry in the
            // store.
            _ => {}
        }
    }

    fn owned_in_epoch(&mut self, shard: &ShardName, epoch: Epoch) -> Option<&mut OwnedShard> {
        self.owned
            .get_mut(shard)
            .filter(|owned| owned.epoch == epoch)
    }

    fn advance(
        &mut self,
        shard: &ShardName,
        epoch: Epoch,
        before: ShardPhase,
        after: ShardPhase,
    ) -> bool {
        self.owned_in_epoch(shard, epoch)
            .is_some_and(|owned| owned.advance(before, after))
    }

    fn set_candidates(&mut self, candidates: BTreeMap<DaemonId, ZoneId>, now: Duration) {
        if self.candidates != candidates {
            self.candidates = candidates;
            self.stable_since = now;
        }
    }

    /// Replaces the set of dead daemons. A daemon that stays dead keeps its time
    /// of confirmation; one that recovered in between restarts the hold-down.
    fn set_dead_daemons(&mut self, dead: &BTreeSet<DaemonId>, now: Duration) {
        let mut since = BTreeMap::new();
        for daemon in dead {
            let confirmed_at = self.dead_since.get(daemon).copied().unwrap_or(now);
            since.insert(daemon.clone(), confirmed_at);
        }
        self.dead_since = since;
    }

    /// Applies a record read from the store. A record whose epoch is not newer
    /// than the known one comes from a delayed read and is ignored.
    fn apply_record(
        &mut self,
        shard: ShardName,
        record: OwnerRecord,
        actions: &mut Vec<OwnershipAction>,
    ) {
        let known_epoch = self.owners.get(&shard).map(|known| known.epoch);
        if known_epoch >= Some(record.epoch) {
            return;
        }
        if self.owned.contains_key(&shard) {
            self.step_down(&shard, actions);
        }
        let is_own = record.daemon == self.daemon;
        // Without a claim of this process the record is that of an earlier
        // process of the same name, whose messages may still be in flight. The
        // shard is claimed again under a higher epoch.
        let is_from_predecessor =
            is_own && known_epoch.is_none() && !self.pending.contains_key(&shard);
        if is_own && !is_from_predecessor {
            self.owned
                .insert(shard.clone(), OwnedShard::new(record.epoch));
            actions.push(OwnershipAction::Acquired {
                shard: shard.clone(),
                epoch: record.epoch,
            });
        }
        self.owners.insert(shard, record);
    }

    /// Completes a pending claim or read with the record in the store.
    fn resolve_request(
        &mut self,
        shard: ShardName,
        record: Option<OwnerRecord>,
        actions: &mut Vec<OwnershipAction>,
    ) {
        if let Some(record) = record {
            self.apply_record(shard.clone(), record, actions);
        }
        self.pending.remove(&shard);
        if let Some(epoch) = self.owned_epoch(&shard) {
            self.reactivate(shard, epoch, actions);
        }
    }

    /// Reactivates a shard after a failed handover. If the handover is still
    /// required, it restarts from the flush.
    fn reactivate(&mut self, shard: ShardName, epoch: Epoch, actions: &mut Vec<OwnershipAction>) {
        if self.advance(&shard, epoch, ShardPhase::HandingOver, ShardPhase::Active) {
            actions.push(OwnershipAction::Activated(shard, epoch));
        }
    }

    /// Reads an owner record back. A failed read is repeated only by the timer;
    /// otherwise a store that refuses connections would be queried in a tight
    /// loop.
    fn read_back(&mut self, shard: ShardName, now: Duration, actions: &mut Vec<OwnershipAction>) {
        let pending = self.pending.get(&shard);
        if pending.is_some_and(|request| request.is_read) {
            return;
        }
        let request = PendingRequest {
            requested_at: now,
            is_read: true,
        };
        self.pending.insert(shard.clone(), request);
        actions.push(OwnershipAction::ReadOwner(shard));
    }

    /// Gives up the ownership of a shard and releases its lease.
    fn step_down(&mut self, shard: &ShardName, actions: &mut Vec<OwnershipAction>) {
        let Some(owned) = self.owned.remove(shard) else {
            return;
        };
        actions.push(OwnershipAction::Lost(shard.clone()));
        if self.lease_shards.contains(shard) {
            actions.push(OwnershipAction::ReleaseLease(shard.clone(), owned.epoch));
        }
    }

    /// Reads the records of the owned shards again after a pause of this process,
    /// during which other daemons may have taken them over.
    fn detect_pause(&mut self, now: Duration, actions: &mut Vec<OwnershipAction>) {
        let paused = now.saturating_sub(self.last_timer_at) > self.config.pause_threshold;
        self.last_timer_at = now;
        if paused {
            let shards = self.owned.keys().cloned();
            actions.extend(shards.map(OwnershipAction::ReadOwner));
        }
    }

    fn retry_pending_requests(&mut self, now: Duration, actions: &mut Vec<OwnershipAction>) {
        for (shard, request) in &mut self.pending {
            if now.saturating_sub(request.requested_at) >= self.config.claim_timeout {
                *request = PendingRequest {
                    requested_at: now,
                    is_read: true,
                };
                actions.push(OwnershipAction::ReadOwner(shard.clone()));
            }
        }
    }

    fn repeat_due_replays(&mut self, now: Duration, actions: &mut Vec<OwnershipAction>) {
        for (shard, owned) in &mut self.owned {
            if owned.start_due_replay(now) {
                actions.push(OwnershipAction::Acquired {
                    shard: shard.clone(),
                    epoch: owned.epoch,
                });
            }
        }
    }

    /// Returns whether this daemon must claim a shard. It does if it is the
    /// successor and the shard has no owner or a dead one, or if the owner is an
    /// earlier process of the same daemon.
    fn is_vacant(&self, shard: &ShardName, now: Duration) -> bool {
        let successor = || self.successor(shard) == Some(&self.daemon);
        match self.owners.get(shard) {
            None => successor(),
            Some(record) if record.daemon == self.daemon => {
                !self.owned.contains_key(shard) && !self.is_draining
            }
            Some(record) => {
                let hold_down_passed = self.dead_since.get(&record.daemon).is_some_and(|since| {
                    now.saturating_sub(*since) >= self.config.takeover_hold_down
                });
                hold_down_passed && successor()
            }
        }
    }

    /// Claims vacant shards whose random delay has passed, up to the limit of
    /// concurrent takeovers.
    fn claim_vacant_shards(&mut self, now: Duration, actions: &mut Vec<OwnershipAction>) {
        let vacant: BTreeSet<_> = self
            .shards
            .iter()
            .filter(|shard| self.has_read_owners && !self.pending.contains_key(*shard))
            .filter(|shard| self.is_vacant(shard, now))
            .cloned()
            .collect();
        self.takeover_due_times
            .retain(|shard, _| vacant.contains(shard));
        let starting = self
            .owned
            .values()
            .filter(|owned| owned.is_starting())
            .count();
        let mut takeovers = starting + self.pending.len();
        for shard in vacant {
            let due = self.takeover_due(&shard, now);
            if now >= due && takeovers < self.config.max_takeovers {
                takeovers += 1;
                self.takeover_due_times.remove(&shard);
                let daemon = self.daemon.clone();
                self.claim(shard, daemon, now, actions);
            }
        }
    }

    /// Returns when the takeover of a shard is due, and draws its random delay at
    /// the first call.
    fn takeover_due(&mut self, shard: &ShardName, now: Duration) -> Duration {
        if let Some(due) = self.takeover_due_times.get(shard) {
            return *due;
        }
        let jitter = self.config.takeover_jitter;
        let due = now + self.rng.random_range(Duration::ZERO..=jitter);
        self.takeover_due_times.insert(shard.clone(), due);
        due
    }

    /// Requests the compare-and-swap that makes `daemon` the owner of a shard.
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
            requested_at: now,
            is_read: false,
        };
        self.pending.insert(shard.clone(), request);
        actions.push(OwnershipAction::Claim {
            shard,
            expected,
            next: OwnerRecord { daemon, epoch },
        });
    }

    /// Starts handovers of shards whose successor is another daemon: up to the
    /// takeover limit while draining, otherwise one at a time once the candidates
    /// have been stable for the rebalance delay.
    fn start_handovers(&mut self, now: Duration, actions: &mut Vec<OwnershipAction>) {
        let handing_over = self
            .owned
            .values()
            .filter(|owned| owned.is_handing_over())
            .count();
        let is_stable = now.saturating_sub(self.stable_since) >= self.config.rebalance_delay;
        let limit = match (self.is_draining, is_stable) {
            (true, _) => self.config.max_takeovers,
            (false, true) => 1,
            (false, false) => 0,
        };
        let movable: Vec<_> = self
            .owned
            .iter()
            .filter(|(_, owned)| owned.phase == ShardPhase::Active)
            .filter(|(shard, _)| {
                self.successor(shard)
                    .is_some_and(|next| *next != self.daemon)
            })
            .map(|(shard, owned)| (shard.clone(), owned.epoch))
            .take(limit.saturating_sub(handing_over))
            .collect();
        for (shard, epoch) in movable {
            self.stable_since = now;
            self.advance(&shard, epoch, ShardPhase::Active, ShardPhase::Flushing);
            actions.push(OwnershipAction::Flush(shard, epoch));
        }
    }

    /// Replaces this daemon's owner record by that of the successor. Without
    /// another successor the shard stays here.
    fn hand_over(
        &mut self,
        shard: ShardName,
        epoch: Epoch,
        now: Duration,
        actions: &mut Vec<OwnershipAction>,
    ) {
        match self.successor(&shard).cloned() {
            Some(next) if next != self.daemon => self.claim(shard, next, now, actions),
            _ => self.reactivate(shard, epoch, actions),
        }
    }

    fn request_leases(&mut self, now: Duration, actions: &mut Vec<OwnershipAction>) {
        for (shard, owned) in &mut self.owned {
            if self.lease_shards.contains(shard) && owned.start_due_lease_request(now) {
                actions.push(OwnershipAction::RequestLease {
                    shard: shard.clone(),
                    epoch: owned.epoch,
                    sent_at: now,
                });
            }
        }
    }
}
