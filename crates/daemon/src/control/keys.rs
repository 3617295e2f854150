//! Access of the control state to the key shards, which record calls with
//! idempotency keys.

use std::time::Duration;

use auburnsaddle_core::{Epoch, JournalError, JournalRecord, RecordId, ShardName};

use super::{effects::ControlEffect, state::ControlState};
use crate::keys::{KeyCommand, KeyEffect};

impl ControlState {
    /// Applies a command for the owned key shards.
    pub(super) fn apply_key_command(
        &mut self,
        command: KeyCommand,
        now: Duration,
    ) -> Vec<ControlEffect> {
        to_control_effects(self.keys.handle(command, &mut self.journals, now))
    }

    /// Answers requests that are past their deadlines and repeats queries to runners.
    pub(super) fn fire_key_timers(&mut self, now: Duration) -> Vec<ControlEffect> {
        to_control_effects(self.keys.fire_timers(&mut self.journals, now))
    }

    /// Applies the outcome of appended records; `durable` means that they were
    /// committed.
    pub(super) fn apply_key_records(
        &mut self,
        shard: &ShardName,
        records: &[RecordId],
        durable: bool,
        now: Duration,
    ) -> Vec<ControlEffect> {
        let keys = &mut self.keys;
        to_control_effects(keys.apply_write_result(
            shard,
            records,
            durable,
            &mut self.journals,
            now,
        ))
    }

    /// Updates for the key shards whether the store accepts writes.
    pub(super) fn update_key_store_availability(
        &mut self,
        available: bool,
        now: Duration,
    ) -> Vec<ControlEffect> {
        to_control_effects(
            self.keys
                .set_store_available(available, &mut self.journals, now),
        )
    }

    /// Restores an acquired key shard from its records. Does nothing for other
    /// shards.
    pub(super) fn open_key_shard(
        &mut self,
        shard: &ShardName,
        epoch: Epoch,
        records: &[JournalRecord],
        now: Duration,
    ) -> Result<(), JournalError> {
        match shard {
            ShardName::Key(..) => self.keys.open(shard.clone(), epoch, records, now),
            ShardName::Call(..) | ShardName::Pool(_) => Ok(()),
        }
    }
}

fn to_control_effects(effects: Vec<KeyEffect>) -> Vec<ControlEffect> {
    effects.into_iter().map(ControlEffect::Key).collect()
}
