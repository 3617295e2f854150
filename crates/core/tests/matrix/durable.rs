//! Ownership, the journal and the answers of the store within a daemon.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use auburnsaddle_core::{
    ConfigEvent, Epoch, JournalAction, JournalCodec, JournalError, JournalEvent, JournalKey,
    KeyEvent, MemberRecord, OwnershipAction, OwnershipEvent, RecordId, RegistrationAction,
    RegistrationEvent, SegmentBody, ShardName, SnapshotManifest, TaskEvent, replay_journal,
};

use super::{
    daemon::{Daemon, Outbox, Purpose},
    faults::{Mutation, Step},
    network::Answer,
    pool::PoolOwner,
    store::{StoreReply, StoreRequest},
};

/// Time between two readings of a journal that the store does not give.
const RETRY_TIME: Duration = Duration::from_secs(1);

/// The encoding of journal values in this test.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JsonCodec;

impl JournalCodec for JsonCodec {
    fn encode_segment(&self, body: &SegmentBody) -> Vec<u8> {
        serde_json::to_vec(body).expect("a segment has only text keys")
    }

    fn encode_manifest(&self, manifest: &SnapshotManifest) -> Vec<u8> {
        serde_json::to_vec(manifest).expect("a manifest has only text keys")
    }

    fn decode_segment(&self, bytes: &[u8]) -> Result<SegmentBody, JournalError> {
        serde_json::from_slice(bytes).map_err(malformed)
    }

    fn decode_manifest(&self, bytes: &[u8]) -> Result<SnapshotManifest, JournalError> {
        serde_json::from_slice(bytes).map_err(malformed)
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "used as a function of map_err"
)]
fn malformed(error: serde_json::Error) -> JournalError {
    let message = error.to_string();
    JournalError::Malformed { message }
}

impl Daemon {
    pub(crate) fn owner_event(&mut self, event: OwnershipEvent, out: &mut Outbox) {
        for action in self.owners.handle(event, out.local) {
            self.owner_action(action, out);
        }
    }

    fn owner_action(&mut self, action: OwnershipAction, out: &mut Outbox) {
        match action {
            OwnershipAction::Claim {
                shard,
                expected,
                next,
            } => {
                let purpose = Purpose::Owner(shard.clone());
                self.ask_store(StoreRequest::Claim(shard, expected, next), purpose, out);
            }
            OwnershipAction::ReadOwner(shard) => {
                let request = StoreRequest::ReadOwner(shard.clone());
                self.ask_store(request, Purpose::Owner(shard), out);
            }
            OwnershipAction::Acquired { shard, epoch } => {
                out.reach(Step::Takeover, None);
                let purpose = Purpose::ReadJournal(shard.clone(), epoch);
                self.ask_store(StoreRequest::ReadJournal(shard), purpose, out);
            }
            OwnershipAction::ClaimTargets(shard, epoch) => {
                self.claim_workers(&shard, out);
                self.owner_event(OwnershipEvent::TargetsClaimed(shard, epoch), out);
            }
            OwnershipAction::Flush(..) => out.reach(Step::Handover, None),
            OwnershipAction::Lost(shard) => {
                self.pools.remove(&shard);
                self.journal_event(JournalEvent::Closed(shard.clone()), out);
                self.lose_calls(&shard);
            }
            // No pool of this test has the fencing mode `lease`.
            OwnershipAction::Activated(..)
            | OwnershipAction::RequestLease { .. }
            | OwnershipAction::ReleaseLease(..) => {}
        }
    }

    pub(crate) fn journal_event(&mut self, event: JournalEvent, out: &mut Outbox) {
        for action in self.log.handle(event, out.local) {
            match action {
                JournalAction::Commit(batch) => {
                    out.reach(Step::Record, None);
                    let purpose = Purpose::Commit(batch.number);
                    self.ask_store(StoreRequest::Commit(batch), purpose, out);
                }
                JournalAction::ReadBack(number, shard, at) => {
                    let request = StoreRequest::ReadSegment(shard, at);
                    self.ask_store(request, Purpose::ReadBack(number), out);
                }
                JournalAction::Durable(records) => {
                    self.key_recorded(&records, true, out);
                    for (shard, ids) in self.task_records(records) {
                        self.task_event(&shard, TaskEvent::Recorded(ids), out);
                    }
                }
                JournalAction::Failed {
                    records,
                    maybe_written,
                } => {
                    if !maybe_written {
                        self.key_recorded(&records, false, out);
                    }
                    let failed = self.task_records(records);
                    for (shard, ids) in failed.into_iter().filter(|_| !maybe_written) {
                        self.task_event(&shard, TaskEvent::RecordsFailed(ids), out);
                    }
                }
                JournalAction::Fenced(shard, epoch) => {
                    self.owner_event(OwnershipEvent::Fenced(shard, epoch), out);
                }
                // Runs are too short for a snapshot.
                JournalAction::TakeSnapshot(..)
                | JournalAction::WritePart { .. }
                | JournalAction::WriteManifest { .. } => {}
            }
        }
    }

    fn task_records(&mut self, numbers: Vec<RecordId>) -> BTreeMap<ShardName, BTreeSet<RecordId>> {
        let mut by_shard: BTreeMap<_, BTreeSet<_>> = BTreeMap::new();
        for number in numbers {
            if let Some((shard, id)) = self.records.remove(&number) {
                by_shard.entry(shard).or_default().insert(id);
            }
        }
        by_shard
    }

    pub(crate) fn store_answered(&mut self, purpose: Purpose, reply: StoreReply, out: &mut Outbox) {
        match (purpose, reply) {
            (purpose, StoreReply::Unavailable) => self.store_failed(purpose, out),
            (Purpose::Owner(shard), StoreReply::Owner(record)) => {
                self.owner_event(OwnershipEvent::OwnerRead { shard, record }, out);
            }
            (Purpose::Commit(number), StoreReply::Committed) => {
                self.key_event(KeyEvent::StoreChanged { available: true }, out);
                self.journal_event(JournalEvent::Committed(number), out);
            }
            (Purpose::Commit(number), StoreReply::Fenced(shards)) => {
                self.journal_event(JournalEvent::GuardFailed(number, shards), out);
            }
            (Purpose::ReadBack(number), StoreReply::Segment(value)) => {
                self.journal_event(JournalEvent::ReadBack(number, value), out);
            }
            (Purpose::ReadJournal(shard, epoch), StoreReply::Journal(values)) => {
                self.open(shard, epoch, values, out);
            }
            (Purpose::ReadView, StoreReply::View(view)) => self.note_view(view, out),
            (Purpose::Register, _) => self.registration_event(RegistrationEvent::Granted, out),
            (Purpose::Publish, StoreReply::Published(true)) => {
                out.answer(0, Answer::Published);
            }
            (_, StoreReply::Versions(pull)) => self.config_event(ConfigEvent::Fetched(pull), out),
            _ => {}
        }
    }

    /// Reads journals again whose reading failed.
    pub(crate) fn retry_reading(&mut self, out: &mut Outbox) {
        let due = self.unread.extract_if(.., |(at, ..)| out.local >= *at);
        let due: Vec<_> = due.collect();
        for (_, shard, epoch) in due {
            let purpose = Purpose::ReadJournal(shard.clone(), epoch);
            self.ask_store(StoreRequest::ReadJournal(shard), purpose, out);
        }
    }

    fn open(
        &mut self,
        shard: ShardName,
        epoch: Epoch,
        mut values: BTreeMap<JournalKey, Vec<u8>>,
        out: &mut Outbox,
    ) {
        if self.owners.owned_epoch(&shard) != Some(epoch) {
            return;
        }
        if self.mutation == Some(Mutation::ForgetJournal) {
            values.clear();
        }
        let replay = replay_journal(&JsonCodec, &shard, &values).expect("the journal is whole");
        let keys = values.iter().map(|(key, value)| (*key, value.len()));
        let opened = JournalEvent::Opened {
            shard: shard.clone(),
            epoch,
            manifest: None,
            keys: keys.collect(),
        };
        self.journal_event(opened, out);
        match &shard {
            ShardName::Pool(_) => {
                self.pools.insert(shard.clone(), PoolOwner::new(epoch));
                self.open_pool(&shard, &replay.records, out);
            }
            ShardName::Key(..) => self.open_keys(&replay.records, out),
            ShardName::Call(..) => self.open_calls(epoch, out),
        }
        self.owner_event(OwnershipEvent::Replayed(shard, epoch), out);
    }

    pub(crate) fn store_failed(&mut self, purpose: Purpose, out: &mut Outbox) {
        match purpose {
            Purpose::Owner(shard) => self.owner_event(OwnershipEvent::ClaimFailed(shard), out),
            Purpose::Commit(number) | Purpose::ReadBack(number) => {
                self.key_event(KeyEvent::StoreChanged { available: false }, out);
                self.journal_event(JournalEvent::ResponseLost(number), out);
            }
            Purpose::ReadJournal(shard, epoch) => {
                self.unread.push((out.local + RETRY_TIME, shard, epoch));
            }
            Purpose::Register => self.registration_event(RegistrationEvent::Failed, out),
            purpose => self.call_failed(&purpose, out),
        }
        if self.mutation == Some(Mutation::BusyRetries) {
            self.ask_store(StoreRequest::ReadView, Purpose::ReadView, out);
        }
    }

    pub(crate) fn registration_event(&mut self, event: RegistrationEvent, out: &mut Outbox) {
        match self.registration.handle(event, out.local) {
            Some(RegistrationAction::Register | RegistrationAction::Renew) => {
                let record = MemberRecord {
                    daemon: self.name.clone(),
                    region: "r1".into(),
                    zone: "z1".into(),
                    peer_address: String::new(),
                    caller_address: String::new(),
                };
                self.ask_store(StoreRequest::Register(record), Purpose::Register, out);
            }
            None => {}
        }
    }
}
