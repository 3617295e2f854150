//! Ownership, the journal and the replies of the store within a daemon.

use serde::{Serialize, de::DeserializeOwned};

use super::prelude::*;

/// The encoding of journal values in this test.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JsonCodec;

impl JournalCodec for JsonCodec {
    fn encode_segment(&self, body: &SegmentBody) -> Vec<u8> {
        encode(body)
    }

    fn encode_manifest(&self, manifest: &SnapshotManifest) -> Vec<u8> {
        encode(manifest)
    }

    fn decode_segment(&self, bytes: &[u8]) -> Result<SegmentBody, JournalError> {
        decode(bytes)
    }

    fn decode_manifest(&self, bytes: &[u8]) -> Result<SnapshotManifest, JournalError> {
        decode(bytes)
    }
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("journal values have only text keys")
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, JournalError> {
    serde_json::from_slice(bytes).map_err(|error| {
        let message = error.to_string();
        JournalError::Malformed { message }
    })
}

/// Returns the records of a slice as it wrote them.
pub(crate) fn decode_all<T: DeserializeOwned>(records: &[JournalRecord]) -> Vec<T> {
    let records = records.iter().map(|record| decode(&record.payload));
    let records: Result<_, _> = records.collect();
    records.expect("records that a daemon wrote")
}

impl Daemon {
    /// Appends a record, and the event that follows once it is written or
    /// failed; returns the latter if the journal takes no record.
    pub(crate) fn append(
        &mut self,
        shard: &ShardName,
        record: &impl Serialize,
        [written, failed]: [Event; 2],
    ) -> Option<Event> {
        // No decision reads the kind.
        let kind = RecordKind::TaskAccepted;
        let payload = encode(record);
        match self.log.append(shard, JournalRecord { kind, payload }) {
            Ok(number) => {
                self.records.insert(number, [written, failed]);
                None
            }
            Err(_) => Some(failed),
        }
    }

    pub(crate) fn owner_event(&mut self, event: OwnershipEvent) {
        for action in self.owners.handle(event, self.now) {
            self.owner_action(action);
        }
    }

    fn owner_action(&mut self, action: OwnershipAction) {
        match action {
            OwnershipAction::Claim { .. } | OwnershipAction::ReadOwner(_) => {
                self.ask(Node::Store, Request::Owner(action));
            }
            OwnershipAction::Acquired { shard, epoch } => {
                self.reach(Step::Takeover, None);
                self.ask(Node::Store, Request::ReadJournal(shard, epoch));
            }
            OwnershipAction::ClaimTargets(shard, epoch) => {
                self.claim_workers(&shard);
                self.owner_event(OwnershipEvent::TargetsClaimed(shard, epoch));
            }
            OwnershipAction::Flush(..) => self.reach(Step::Handover, None),
            OwnershipAction::Lost(shard) => {
                self.pools.remove(&shard);
                self.journal_event(JournalEvent::Closed(shard.clone()));
                self.lose_calls(&shard);
            }
            // No pool of this test has the fencing mode `lease`.
            OwnershipAction::Activated(..)
            | OwnershipAction::RequestLease { .. }
            | OwnershipAction::ReleaseLease(..) => {}
        }
    }

    pub(crate) fn journal_event(&mut self, event: JournalEvent) {
        for action in self.log.handle(event, self.now) {
            match action {
                JournalAction::Commit(_) => {
                    self.reach(Step::Record, None);
                    self.ask(Node::Store, Request::Journal(action));
                }
                JournalAction::ReadBack(..) => self.ask(Node::Store, Request::Journal(action)),
                JournalAction::Durable(records) => self.note_records(&records, true),
                JournalAction::Failed {
                    records,
                    maybe_written: false,
                } => self.note_records(&records, false),
                JournalAction::Fenced(shard, epoch) => {
                    self.owner_event(OwnershipEvent::Fenced(shard, epoch));
                }
                // The next owner finds these records, or does not. Runs are
                // too short for a snapshot.
                JournalAction::Failed { .. }
                | JournalAction::TakeSnapshot(..)
                | JournalAction::WritePart { .. }
                | JournalAction::WriteManifest { .. } => {}
            }
        }
    }

    fn note_records(&mut self, numbers: &[RecordId], durable: bool) {
        for number in numbers {
            if let Some([written, failed]) = self.records.remove(number) {
                self.apply(if durable { written } else { failed });
            }
        }
    }

    /// Reads journals again whose reading failed.
    pub(crate) fn retry_reading(&mut self) {
        let now = self.now;
        let due = self.unread.extract_if(.., |(at, ..)| now >= *at);
        for (_, shard, epoch) in due.collect::<Vec<_>>() {
            self.ask(Node::Store, Request::ReadJournal(shard, epoch));
        }
    }

    pub(crate) fn open(
        &mut self,
        shard: ShardName,
        epoch: Epoch,
        mut values: BTreeMap<JournalKey, Vec<u8>>,
    ) {
        if self.owners.owned_epoch(&shard) != Some(epoch) {
            return;
        }
        if self.has(Mutation::ForgetJournal) {
            values.clear();
        }
        let replay = replay_journal(&JsonCodec, &shard, &values).expect("the journal is whole");
        let keys = values.iter().map(|(key, value)| (*key, value.len()));
        self.journal_event(JournalEvent::Opened {
            shard: shard.clone(),
            epoch,
            manifest: None,
            keys: keys.collect(),
        });
        match &shard {
            ShardName::Pool(_) => self.open_pool(&shard, epoch, &replay.records),
            ShardName::Key(..) => self.open_keys(&replay.records),
            ShardName::Call(..) => self.open_calls(epoch),
        }
        self.owner_event(OwnershipEvent::Replayed(shard, epoch));
    }

    pub(crate) fn registration_event(&mut self, event: RegistrationEvent) {
        if self.registration.handle(event, self.now).is_some() {
            let record = MemberRecord {
                daemon: self.name.clone(),
                region: "r1".into(),
                zone: "z1".into(),
                peer_address: String::new(),
                caller_address: String::new(),
            };
            self.ask(Node::Store, Request::Register(record));
        }
    }
}
