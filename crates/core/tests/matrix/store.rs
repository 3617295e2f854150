//! The platform's store: compare-and-swap, leases, watches and counted calls.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use auburnsaddle_core::{
    ConfigHead, ConfigPull, ConfigUpdate, ConfigVersion, DaemonId, JournalBatch, JournalKey,
    MemberRecord, OwnerRecord, SegmentPosition, ShardName,
};

/// The store's lease duration of a registration.
const LEASE_TIME: Duration = Duration::from_secs(10);

/// A request of a daemon.
#[derive(Clone, Debug)]
pub(crate) enum StoreRequest {
    Claim(ShardName, Option<OwnerRecord>, OwnerRecord),
    ReadOwner(ShardName),
    Commit(JournalBatch),
    ReadSegment(ShardName, SegmentPosition),
    ReadJournal(ShardName),
    ReadView,
    Register(MemberRecord),
    Publish(Box<ConfigUpdate>),
    ReadVersions(ConfigVersion),
}

/// What the store answers.
#[derive(Clone, Debug)]
pub(crate) enum StoreReply {
    Owner(Option<OwnerRecord>),
    Committed,
    Fenced(BTreeSet<ShardName>),
    Segment(Option<Vec<u8>>),
    Journal(BTreeMap<JournalKey, Vec<u8>>),
    View(StoreView),
    Registered,
    Published(bool),
    Versions(ConfigPull),
    /// Nothing was done.
    Unavailable,
}

/// The keys that every daemon watches.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct StoreView {
    pub(crate) owners: BTreeMap<ShardName, OwnerRecord>,
    pub(crate) members: Vec<MemberRecord>,
    pub(crate) head: ConfigHead,
}

#[derive(Default)]
pub(crate) struct Store {
    pub(crate) down: bool,
    /// Writes take effect, but their responses are lost.
    pub(crate) lose_write_responses: bool,
    owners: BTreeMap<ShardName, OwnerRecord>,
    members: BTreeMap<DaemonId, (MemberRecord, Duration)>,
    journal: BTreeMap<ShardName, BTreeMap<JournalKey, Vec<u8>>>,
    head: ConfigHead,
    pub(crate) updates: Vec<ConfigUpdate>,
    /// Times of the calls of the last second.
    pub(crate) writes: VecDeque<Duration>,
    pub(crate) reads: VecDeque<Duration>,
}

impl StoreRequest {
    fn is_write(&self) -> bool {
        matches!(
            self,
            Self::Claim(..) | Self::Commit(_) | Self::Register(_) | Self::Publish(_)
        )
    }
}

impl Store {
    /// Applies a request; `None` if its response is lost.
    pub(crate) fn answer(&mut self, request: StoreRequest, now: Duration) -> Option<StoreReply> {
        let is_write = request.is_write();
        self.count(is_write, now);
        if self.down {
            return Some(StoreReply::Unavailable);
        }
        let reply = self.apply(request, now);
        (!(is_write && self.lose_write_responses)).then_some(reply)
    }

    pub(crate) fn view(&self) -> StoreView {
        StoreView {
            owners: self.owners.clone(),
            members: self
                .members
                .values()
                .map(|(record, _)| record.clone())
                .collect(),
            head: self.head.clone(),
        }
    }

    pub(crate) fn expire_leases(&mut self, now: Duration) {
        self.members.retain(|_, (_, until)| *until > now);
    }

    /// Expires the lease of one daemon early.
    pub(crate) fn expire_lease(&mut self, daemon: &DaemonId) {
        self.members.remove(daemon);
    }

    fn count(&mut self, is_write: bool, now: Duration) {
        let calls = if is_write {
            &mut self.writes
        } else {
            &mut self.reads
        };
        calls.push_back(now);
        while calls
            .front()
            .is_some_and(|at| *at + Duration::from_secs(1) <= now)
        {
            calls.pop_front();
        }
    }

    fn apply(&mut self, request: StoreRequest, now: Duration) -> StoreReply {
        match request {
            StoreRequest::Claim(shard, expected, next) => {
                if self.owners.get(&shard) == expected.as_ref() {
                    self.owners.insert(shard.clone(), next);
                }
                StoreReply::Owner(self.owners.get(&shard).cloned())
            }
            StoreRequest::ReadOwner(shard) => StoreReply::Owner(self.owners.get(&shard).cloned()),
            StoreRequest::Commit(batch) => self.commit(batch),
            StoreRequest::ReadSegment(shard, at) => {
                let values = self.journal.get(&shard);
                let value = values.and_then(|values| values.get(&JournalKey::Segment(at)));
                StoreReply::Segment(value.cloned())
            }
            StoreRequest::ReadJournal(shard) => {
                StoreReply::Journal(self.journal.get(&shard).cloned().unwrap_or_default())
            }
            StoreRequest::ReadView => StoreReply::View(self.view()),
            StoreRequest::Register(record) => {
                let until = now + LEASE_TIME;
                self.members.insert(record.daemon.clone(), (record, until));
                StoreReply::Registered
            }
            StoreRequest::Publish(update) => self.publish(*update),
            StoreRequest::ReadVersions(from) => StoreReply::Versions(ConfigPull {
                snapshot: None,
                deltas: self
                    .updates
                    .iter()
                    .filter(|update| update.head.version > from)
                    .map(|update| update.delta.clone())
                    .collect(),
            }),
        }
    }

    fn commit(&mut self, batch: JournalBatch) -> StoreReply {
        let fenced: BTreeSet<_> = batch
            .segments
            .iter()
            .filter(|write| {
                let owner = self.owners.get(&write.shard);
                owner.map(|owner| owner.epoch) != Some(write.at.epoch)
            })
            .map(|write| write.shard.clone())
            .collect();
        if !fenced.is_empty() {
            return StoreReply::Fenced(fenced);
        }
        for write in batch.segments {
            let values = self.journal.entry(write.shard).or_default();
            values.insert(JournalKey::Segment(write.at), write.value);
        }
        StoreReply::Committed
    }

    fn publish(&mut self, update: ConfigUpdate) -> StoreReply {
        let matches = self.head == update.previous;
        if matches {
            self.head = update.head.clone();
            self.updates.push(update);
        }
        StoreReply::Published(matches)
    }
}
