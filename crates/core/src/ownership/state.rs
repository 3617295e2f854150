//! The owner table and the choice of successors.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use sha2::{Digest, Sha256};

use super::messages::{OwnerRecord, OwnershipAction, OwnershipEvent};
use crate::types::{DaemonId, Epoch, ShardName, ZoneId};

/// How long a claim stays pending before it may be sent again.
const CLAIM_RETRY_TIME: Duration = Duration::from_secs(1);

/// One daemon's view of the owners of all shards.
#[derive(Clone, Debug)]
pub struct OwnerTable {
    daemon: DaemonId,
    shards: BTreeSet<ShardName>,
    owners: BTreeMap<ShardName, OwnerRecord>,
    candidates: BTreeMap<DaemonId, ZoneId>,
    dead: BTreeSet<DaemonId>,
    pending: BTreeMap<ShardName, Duration>,
    read: bool,
}

impl OwnerTable {
    /// Returns the table of `daemon`, which owns nothing yet.
    #[must_use]
    pub const fn new(daemon: DaemonId) -> Self {
        Self {
            daemon,
            shards: BTreeSet::new(),
            owners: BTreeMap::new(),
            candidates: BTreeMap::new(),
            dead: BTreeSet::new(),
            pending: BTreeMap::new(),
            read: false,
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
        self.owners
            .get(shard)
            .filter(|record| record.daemon == self.daemon)
            .map(|record| record.epoch)
    }

    /// Returns all owner records.
    pub fn iter(&self) -> impl Iterator<Item = (&ShardName, &OwnerRecord)> {
        self.owners.iter()
    }

    /// Applies an event and returns what is to be done.
    pub fn handle(&mut self, event: OwnershipEvent, now: Duration) -> Vec<OwnershipAction> {
        let mut actions = Vec::new();
        match event {
            OwnershipEvent::ShardsChanged(shards) => self.shards = shards,
            OwnershipEvent::CandidatesChanged(candidates) => self.candidates = candidates,
            OwnershipEvent::DaemonsDead(dead) => self.dead = dead,
            OwnershipEvent::OwnersRead(owners) => {
                self.read = true;
                for (shard, record) in owners {
                    self.note_record(shard, record, &mut actions);
                }
            }
            OwnershipEvent::ClaimAnswered { shard, record } => {
                self.pending.remove(&shard);
                self.note_record(shard, record, &mut actions);
            }
            OwnershipEvent::ClaimFailed(shard) => {
                self.pending.remove(&shard);
            }
            OwnershipEvent::TimerFired => {}
        }
        self.claim_vacant(now, &mut actions);
        actions
    }

    /// Notes a record read from the store; an older epoch than the known one
    /// comes from a delayed reading and is ignored.
    fn note_record(
        &mut self,
        shard: ShardName,
        record: OwnerRecord,
        actions: &mut Vec<OwnershipAction>,
    ) {
        let before = self.owners.get(&shard);
        if before.is_some_and(|known| known.epoch >= record.epoch) {
            return;
        }
        let was_owner = before.is_some_and(|known| known.daemon == self.daemon);
        if was_owner {
            actions.push(OwnershipAction::Lost(shard.clone()));
        }
        if record.daemon == self.daemon {
            actions.push(OwnershipAction::Acquired {
                shard: shard.clone(),
                epoch: record.epoch,
            });
        }
        self.owners.insert(shard, record);
    }

    /// Claims each shard without a live owner whose successor this daemon is.
    fn claim_vacant(&mut self, now: Duration, actions: &mut Vec<OwnershipAction>) {
        if !self.read {
            return;
        }
        for shard in &self.shards {
            let owner = self.owners.get(shard);
            let vacant = owner.is_none_or(|record| self.dead.contains(&record.daemon));
            let waiting = self
                .pending
                .get(shard)
                .is_some_and(|sent_at| now.saturating_sub(*sent_at) < CLAIM_RETRY_TIME);
            if !vacant || waiting || self.successor(shard) != Some(&self.daemon) {
                continue;
            }
            let epoch = owner.map_or(1, |record| record.epoch + 1);
            self.pending.insert(shard.clone(), now);
            actions.push(OwnershipAction::Claim {
                shard: shard.clone(),
                expected: owner.cloned(),
                next: OwnerRecord {
                    daemon: self.daemon.clone(),
                    epoch,
                },
            });
        }
    }

    /// Returns the candidate that should own a shard: the first in
    /// rendezvous-hash order, those in the shard's zone before the others.
    #[must_use]
    pub fn successor(&self, shard: &ShardName) -> Option<&DaemonId> {
        let name = shard.to_string();
        let zone = match shard {
            ShardName::Call(_, zone) => Some(zone),
            ShardName::Key(..) | ShardName::Pool(_) => None,
        };
        self.candidates
            .iter()
            .filter(|(daemon, _)| !self.dead.contains(*daemon))
            .max_by_key(|(daemon, at)| (zone == Some(*at), rendezvous_weight(&name, daemon)))
            .map(|(daemon, _)| daemon)
    }
}

/// Returns the weight of a daemon for a shard; the greatest weight wins.
fn rendezvous_weight(shard: &str, daemon: &str) -> [u8; 32] {
    let mut hasher = Sha256::new();
    hasher.update(shard.as_bytes());
    hasher.update([0]);
    hasher.update(daemon.as_bytes());
    hasher.finalize().into()
}
