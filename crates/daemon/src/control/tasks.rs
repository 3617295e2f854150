//! Access of the control state to the owned pools, which queue tasks.

use std::time::Duration;

use auburnsaddle_core::{Epoch, JournalRecord, OwnershipEvent, RecordKind, ShardName, TaskRecord};

use super::{effects::ControlEffect, shards::PendingWork, state::ControlState};
use crate::{
    journal::{JournalNotice, decode_payload, encode_payload},
    tasks::{PoolOutput, PoolSetup, TaskCommand},
};

impl ControlState {
    /// Applies a command for the owned pools.
    pub(super) fn apply_task_command(
        &mut self,
        command: TaskCommand,
        now: Duration,
    ) -> Vec<ControlEffect> {
        let output = self.pools.handle(command, now);
        self.process_pool_output(output, now)
    }

    /// Processes the timers of the owned pools.
    pub(super) fn fire_pool_timers(&mut self, now: Duration) -> Vec<ControlEffect> {
        let output = self.pools.fire_timers(now);
        self.process_pool_output(output, now)
    }

    /// Updates the workers of the owned pools from the list of hosts. Does nothing
    /// until the list has been read.
    pub(super) fn refresh_pool_workers(&mut self, now: Duration) -> Vec<ControlEffect> {
        if !self.has_read_hosts {
            return Vec::new();
        }
        let hosts = &self.hosts;
        let output = self.pools.set_workers(|pool| hosts.workers(pool), now);
        self.process_pool_output(output, now)
    }

    /// Updates the teams and pools from the configuration in force.
    pub(super) fn refresh_pool_objects(&mut self, now: Duration) -> Vec<ControlEffect> {
        let output = self.pools.set_objects(self.config.objects(), now);
        self.process_pool_output(output, now)
    }

    fn process_pool_output(&mut self, output: PoolOutput, now: Duration) -> Vec<ControlEffect> {
        let mut work = PendingWork::default();
        self.add_pool_output(output, now, &mut work);
        self.process_work(work, now)
    }

    /// Appends the records of the output to the journals and adds its effects and
    /// events to `work`. A record that the journal refuses is reported to its pool,
    /// whose output is added in turn.
    fn add_pool_output(&mut self, output: PoolOutput, now: Duration, work: &mut PendingWork) {
        let mut outputs = vec![output];
        while let Some(output) = outputs.pop() {
            let effects = output.effects.into_iter().map(ControlEffect::Task);
            work.effects.extend(effects);
            let fenced = output.fenced.into_iter();
            let fenced = fenced.map(|(shard, epoch)| OwnershipEvent::Fenced(shard, epoch));
            work.events.extend(fenced);
            for record in output.records {
                let entry = journal_record(&record.record);
                let (shard, urgency) = (&record.shard, record.urgency);
                match self.journals.append_with(shard, entry, urgency) {
                    Ok(id) => self
                        .pools
                        .handle_record_appended(&record.shard, id, record.id),
                    Err(error) => {
                        log::warn!("cannot append a record of shard {}: {error}", record.shard);
                        let output =
                            self.pools
                                .handle_record_refused(&record.shard, record.id, now);
                        outputs.push(output);
                    }
                }
            }
        }
    }

    /// Restores the queue of an acquired pool from its records.
    pub(super) fn open_pool(
        &mut self,
        shard: ShardName,
        epoch: Epoch,
        records: &[JournalRecord],
        now: Duration,
        work: &mut PendingWork,
    ) {
        let ShardName::Pool(name) = &shard else {
            return;
        };
        let decoded = records.iter().map(|record| decode_payload(&record.payload));
        let records: Vec<TaskRecord> = match decoded.collect() {
            Ok(records) => records,
            Err(error) => return self.record_replay_failure(shard, epoch, &error, work),
        };
        let objects = self.config.objects();
        if let Some(spec) = objects.pools.get(name) {
            let setup = PoolSetup {
                spec,
                objects,
                hosts: self.has_read_hosts.then(|| self.hosts.workers(name)),
                records,
            };
            let output = self.pools.open(&shard, epoch, setup, now);
            self.add_pool_output(output, now, work);
        }
        work.events
            .push_back(OwnershipEvent::Replayed(shard, epoch));
    }

    /// Passes a notice of the journal to the pool whose records it concerns.
    pub(super) fn apply_pool_notice(
        &mut self,
        notice: JournalNotice,
        now: Duration,
        work: &mut PendingWork,
    ) {
        let output = match notice {
            JournalNotice::Durable(shard, records) => {
                self.pools.handle_records_durable(&shard, &records, now)
            }
            JournalNotice::Failed {
                shard,
                records,
                maybe_written,
            } => self
                .pools
                .handle_records_failed(&shard, &records, maybe_written, now),
            JournalNotice::SnapshotNeeded(shard, epoch) => {
                let records = self.pools.export(&shard);
                let records = records.iter().map(journal_record).collect();
                work.add_journal_output(self.journals.start_snapshot(shard, epoch, records, now));
                return;
            }
            _ => return,
        };
        self.add_pool_output(output, now, work);
    }
}

/// Returns the encoded journal record of a task record.
fn journal_record(record: &TaskRecord) -> JournalRecord {
    JournalRecord {
        kind: record_kind(record),
        payload: encode_payload(record),
    }
}

const fn record_kind(record: &TaskRecord) -> RecordKind {
    match record {
        TaskRecord::Accepted(_) | TaskRecord::Remembered(..) => RecordKind::TaskAccepted,
        TaskRecord::Started(_) => RecordKind::TaskStarted,
        // Both end an attempt; the payload distinguishes them.
        TaskRecord::Requeued(..) | TaskRecord::Ended(..) => RecordKind::TaskEnded,
    }
}
