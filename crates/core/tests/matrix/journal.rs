//! The ownership, journal and registration parts of a daemon.

use serde::{Serialize, de::DeserializeOwned};

use super::prelude::*;

/// Encodes journal values as JSON.
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

/// Decodes journal records into the records of one state machine.
pub(crate) fn decode_all<T: DeserializeOwned>(records: &[JournalRecord]) -> Vec<T> {
    let records = records.iter().map(|record| decode(&record.payload));
    let records: Result<_, _> = records.collect();
    records.expect("a daemon wrote the records")
}

impl Daemon {
    /// Appends a record, with the events to apply once it is written or has
    /// failed. Returns the event of a failure if the journal rejects the record.
    pub(crate) fn append_record(
        &mut self,
        shard: &ShardName,
        record: &impl Serialize,
        [written, failed]: [Event; 2],
    ) -> Option<Event> {
        // The kind is informational: no code under test depends on it.
        let kind = RecordKind::TaskAccepted;
        let payload = encode(record);
        match self
            .record_log
            .append(shard, JournalRecord { kind, payload })
        {
            Ok(id) => {
                self.record_events.insert(id, [written, failed]);
                None
            }
            Err(_) => Some(failed),
        }
    }

    pub(crate) fn handle_owner_event(&mut self, event: OwnershipEvent) {
        for action in self.owners.handle(event, self.now) {
            self.execute_owner_action(action);
        }
    }

    fn execute_owner_action(&mut self, action: OwnershipAction) {
        match action {
            OwnershipAction::Claim { .. } | OwnershipAction::ReadOwner(_) => {
                self.request(Node::Store, Request::Owner(action));
            }
            OwnershipAction::Acquired { shard, epoch } => {
                self.report_step(Step::Takeover, None);
                self.request(Node::Store, Request::ReadJournal(shard, epoch));
            }
            OwnershipAction::ClaimTargets(shard, epoch) => {
                self.claim_workers(&shard);
                self.handle_owner_event(OwnershipEvent::TargetsClaimed(shard, epoch));
            }
            OwnershipAction::Flush(..) => self.report_step(Step::Handover, None),
            OwnershipAction::Lost(shard) => {
                self.pools.remove(&shard);
                self.handle_journal_event(JournalEvent::Closed(shard.clone()));
                self.discard_shard_calls(&shard);
            }
            // No pool here uses the fencing mode `lease`.
            OwnershipAction::Activated(..)
            | OwnershipAction::RequestLease { .. }
            | OwnershipAction::ReleaseLease(..) => {}
        }
    }

    pub(crate) fn handle_journal_event(&mut self, event: JournalEvent) {
        for action in self.record_log.handle(event, self.now) {
            match action {
                JournalAction::Commit(_) => {
                    self.report_step(Step::Record, None);
                    self.request(Node::Store, Request::Journal(action));
                }
                JournalAction::ReadBack(..) => self.request(Node::Store, Request::Journal(action)),
                JournalAction::Durable(records) => self.complete_records(&records, true),
                JournalAction::Failed {
                    records,
                    maybe_written: false,
                } => self.complete_records(&records, false),
                JournalAction::Fenced(shard, epoch) => {
                    self.handle_owner_event(OwnershipEvent::Fenced(shard, epoch));
                }
                // Whether records of unknown outcome were written is decided by
                // the replay of the next owner. Runs are too short for a
                // snapshot.
                JournalAction::Failed { .. }
                | JournalAction::TakeSnapshot(..)
                | JournalAction::WritePart { .. }
                | JournalAction::WriteManifest { .. } => {}
            }
        }
    }

    fn complete_records(&mut self, ids: &[RecordId], is_durable: bool) {
        for id in ids {
            if let Some([written, failed]) = self.record_events.remove(id) {
                self.apply(if is_durable { written } else { failed });
            }
        }
    }

    /// Repeats journal reads that failed, once they are due.
    pub(crate) fn retry_journal_reads(&mut self) {
        let now = self.now;
        let due = self.journal_retries.extract_if(.., |(at, ..)| now >= *at);
        for (_, shard, epoch) in due.collect::<Vec<_>>() {
            self.request(Node::Store, Request::ReadJournal(shard, epoch));
        }
    }

    /// Replays the journal of an acquired shard, unless the shard has been lost
    /// meanwhile.
    pub(crate) fn open_shard(
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
        let replay = replay_journal(&JsonCodec, &shard, &values)
            .expect("the journal has no gap and decodes");
        let keys = values.iter().map(|(key, value)| (*key, value.len()));
        self.handle_journal_event(JournalEvent::Opened {
            shard: shard.clone(),
            epoch,
            manifest: None,
            keys: keys.collect(),
        });
        match &shard {
            ShardName::Pool(_) => self.open_task_queue(&shard, epoch, &replay.records),
            ShardName::Key(..) => self.open_key_table(&replay.records),
            ShardName::Call(..) => self.open_call_queue(epoch),
        }
        self.handle_owner_event(OwnershipEvent::Replayed(shard, epoch));
    }

    pub(crate) fn handle_registration_event(&mut self, event: RegistrationEvent) {
        if self.registration.handle(event, self.now).is_some() {
            let record = MemberRecord {
                daemon: self.name.clone(),
                region: "r1".into(),
                zone: "z1".into(),
                peer_address: String::new(),
                caller_address: String::new(),
            };
            self.request(Node::Store, Request::Register(record));
        }
    }
}
