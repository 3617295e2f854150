//! The owned pools within the control state.

use std::time::Duration;

use auburnsaddle_core::{Epoch, JournalRecord, OwnershipEvent, RecordKind, ShardName, TaskRecord};

use super::{effects::ControlEffect, shards::ShardSteps, state::ControlState};
use crate::{
    journal::{JournalNotice, decode_payload, encode_payload},
    tasks::{PoolOutput, PoolSetup, TaskCommand},
};

impl ControlState {
    /// Applies a command for the owned pools.
    pub(super) fn apply_tasks(
        &mut self,
        command: TaskCommand,
        now: Duration,
    ) -> Vec<ControlEffect> {
        let output = self.pools.handle(command, now);
        self.run_pools(output, now)
    }

    /// Acts on the passing of time in the owned pools.
    pub(super) fn fire_pool_timers(&mut self, now: Duration) -> Vec<ControlEffect> {
        let output = self.pools.fire_timers(now);
        self.run_pools(output, now)
    }

    /// Takes over the workers of the list of hosts.
    pub(super) fn refresh_pools(&mut self, now: Duration) -> Vec<ControlEffect> {
        if !self.hosts_read {
            return Vec::new();
        }
        let hosts = &self.hosts;
        let output = self.pools.set_workers(|pool| hosts.workers(pool), now);
        self.run_pools(output, now)
    }

    /// Takes over the teams and the pools of the configuration in force.
    pub(super) fn refresh_pool_objects(&mut self, now: Duration) -> Vec<ControlEffect> {
        let output = self.pools.set_objects(self.config.objects(), now);
        self.run_pools(output, now)
    }

    fn run_pools(&mut self, output: PoolOutput, now: Duration) -> Vec<ControlEffect> {
        let mut steps = ShardSteps::default();
        self.add_pools(output, now, &mut steps);
        self.run_steps(steps, now)
    }

    /// Appends the records of the pools and passes on the rest.
    fn add_pools(&mut self, output: PoolOutput, now: Duration, steps: &mut ShardSteps) {
        let mut outputs = vec![output];
        while let Some(output) = outputs.pop() {
            let effects = output.effects.into_iter().map(ControlEffect::Task);
            steps.effects.extend(effects);
            let fenced = output.fenced.into_iter();
            let fenced = fenced.map(|(shard, epoch)| OwnershipEvent::Fenced(shard, epoch));
            steps.events.extend(fenced);
            for record in output.records {
                let entry = journal_record(&record.record);
                let (shard, urgency) = (&record.shard, record.urgency);
                match self.journals.append_with(shard, entry, urgency) {
                    Ok(id) => self
                        .pools
                        .handle_record_appended(&record.shard, id, record.id),
                    Err(error) => {
                        log::warn!("a record of shard {} was not taken: {error}", record.shard);
                        let output =
                            self.pools
                                .handle_record_refused(&record.shard, record.id, now);
                        outputs.push(output);
                    }
                }
            }
        }
    }

    /// Opens the queue of an acquired pool from its records.
    pub(super) fn open_pool(
        &mut self,
        shard: ShardName,
        epoch: Epoch,
        records: &[JournalRecord],
        now: Duration,
        steps: &mut ShardSteps,
    ) {
        let ShardName::Pool(name) = &shard else {
            return;
        };
        let decoded = records.iter().map(|record| decode_payload(&record.payload));
        let records: Vec<TaskRecord> = match decoded.collect() {
            Ok(records) => records,
            Err(error) => return self.fail_replay(shard, epoch, &error, steps),
        };
        let objects = self.config.objects();
        if let Some(spec) = objects.pools.get(name) {
            let setup = PoolSetup {
                spec,
                objects,
                hosts: self.hosts_read.then(|| self.hosts.workers(name)),
                records,
            };
            let output = self.pools.open(&shard, epoch, setup, now);
            self.add_pools(output, now, steps);
        }
        steps
            .events
            .push_back(OwnershipEvent::Replayed(shard, epoch));
    }

    /// Passes a notice of the journal about records of a pool to the pool.
    pub(super) fn note_pool_records(
        &mut self,
        notice: JournalNotice,
        now: Duration,
        steps: &mut ShardSteps,
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
            JournalNotice::ExportNeeded(shard, epoch) => {
                let records = self.pools.export(&shard);
                let records = records.iter().map(journal_record).collect();
                steps.add(self.journals.export(shard, epoch, records, now));
                return;
            }
            _ => return,
        };
        self.add_pools(output, now, steps);
    }
}

fn journal_record(record: &TaskRecord) -> JournalRecord {
    JournalRecord {
        kind: kind_of(record),
        payload: encode_payload(record),
    }
}

const fn kind_of(record: &TaskRecord) -> RecordKind {
    match record {
        TaskRecord::Accepted(_) | TaskRecord::Remembered(..) => RecordKind::TaskAccepted,
        TaskRecord::Started(_) => RecordKind::TaskStarted,
        // The end of an attempt; the payload says which.
        TaskRecord::Requeued(..) | TaskRecord::Ended(..) => RecordKind::TaskEnded,
    }
}
