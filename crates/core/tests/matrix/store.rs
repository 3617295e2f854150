//! The simulated store of the platform: compare-and-swap, leases, watches and
//! counts of recent calls.

use std::collections::VecDeque;

use super::prelude::*;

/// Duration of the lease behind the registration of a daemon.
const REGISTRATION_LEASE: Duration = Duration::from_secs(10);

/// The state under the keys that every daemon watches.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct StoreView {
    pub(crate) owners: BTreeMap<ShardName, OwnerRecord>,
    pub(crate) members: Vec<MemberRecord>,
    pub(crate) head: ConfigHead,
}

#[derive(Default)]
pub(crate) struct Store {
    pub(crate) is_down: bool,
    /// Whether writes take effect without a response.
    pub(crate) loses_write_responses: bool,
    /// Times of the calls within the last second.
    pub(crate) recent_writes: VecDeque<Duration>,
    pub(crate) recent_reads: VecDeque<Duration>,
    owners: BTreeMap<ShardName, OwnerRecord>,
    members: BTreeMap<DaemonId, (MemberRecord, Duration)>,
    journal: BTreeMap<ShardName, BTreeMap<JournalKey, Vec<u8>>>,
    head: ConfigHead,
    updates: Vec<ConfigUpdate>,
}

const fn is_write(request: &Request) -> bool {
    matches!(
        request,
        Request::Owner(OwnershipAction::Claim { .. })
            | Request::Journal(JournalAction::Commit(_))
            | Request::Register(_)
            | Request::Publish(_)
    )
}

impl Store {
    /// Applies a request and returns its response, or `None` if it is lost.
    pub(crate) fn handle_request(&mut self, request: Request, now: Duration) -> Option<Event> {
        let is_write = is_write(&request);
        let calls = if is_write {
            &mut self.recent_writes
        } else {
            &mut self.recent_reads
        };
        calls.push_back(now);
        calls.retain(|at| *at + Duration::from_secs(1) > now);
        if self.is_down {
            return Some(Event::Unavailable);
        }
        let reply = self.apply(request, now);
        (!(is_write && self.loses_write_responses)).then_some(reply)
    }

    pub(crate) fn view(&self) -> StoreView {
        let members = self.members.values();
        StoreView {
            owners: self.owners.clone(),
            members: members.map(|(record, _)| record.clone()).collect(),
            head: self.head.clone(),
        }
    }

    pub(crate) fn expire_leases(&mut self, now: Duration) {
        self.members.retain(|_, (_, until)| *until > now);
    }

    /// Expires the registration of one daemon before the end of its lease.
    pub(crate) fn expire_lease(&mut self, daemon: &DaemonId) {
        self.members.remove(daemon);
    }

    fn apply(&mut self, request: Request, now: Duration) -> Event {
        match request {
            Request::Owner(OwnershipAction::Claim {
                shard,
                expected,
                next,
            }) => {
                if self.owners.get(&shard) == expected.as_ref() {
                    self.owners.insert(shard.clone(), next);
                }
                self.read_owner(shard)
            }
            Request::Owner(OwnershipAction::ReadOwner(shard)) => self.read_owner(shard),
            Request::Journal(JournalAction::Commit(batch)) => Event::Journal(self.commit(batch)),
            Request::Journal(JournalAction::ReadBack(number, shard, at)) => {
                let values = self.journal.get(&shard);
                let value = values.and_then(|values| values.get(&JournalKey::Segment(at)));
                Event::Journal(JournalEvent::ReadBack(number, value.cloned()))
            }
            Request::ReadJournal(shard, epoch) => {
                let values = self.journal.get(&shard).cloned().unwrap_or_default();
                Event::JournalRead(shard, epoch, values)
            }
            Request::ReadView => Event::View(self.view()),
            Request::Register(record) => {
                let until = now + REGISTRATION_LEASE;
                self.members.insert(record.daemon.clone(), (record, until));
                Event::Registration(RegistrationEvent::Granted)
            }
            Request::Publish(update) if self.head == update.previous => {
                self.head = update.head.clone();
                self.updates.push(*update);
                Event::Published
            }
            Request::ReadVersions(from) => {
                let updates = self.updates.iter();
                let updates = updates.filter(|update| update.head.version > from);
                Event::Config(ConfigEvent::Fetched(ConfigPull {
                    snapshot: None,
                    deltas: updates.map(|update| update.delta.clone()).collect(),
                }))
            }
            _ => Event::Done,
        }
    }

    fn read_owner(&self, shard: ShardName) -> Event {
        let record = self.owners.get(&shard).cloned();
        Event::Owner(OwnershipEvent::OwnerRead { shard, record })
    }

    fn commit(&mut self, batch: JournalBatch) -> JournalEvent {
        let is_fenced = |shard: &ShardName, epoch| {
            let owner = self.owners.get(shard);
            owner.map(|owner| owner.epoch) != Some(epoch)
        };
        let writes = batch.segments.iter();
        let fenced = writes.filter(|write| is_fenced(&write.shard, write.position.epoch));
        let fenced: BTreeSet<_> = fenced.map(|write| write.shard.clone()).collect();
        if !fenced.is_empty() {
            return JournalEvent::GuardFailed(batch.number, fenced);
        }
        for write in batch.segments {
            let values = self.journal.entry(write.shard).or_default();
            values.insert(JournalKey::Segment(write.position), write.value);
        }
        JournalEvent::Committed(batch.number)
    }
}
