//! The key shards on the control thread.

use std::time::Duration;

use auburnsaddle_core::{Epoch, JournalError, JournalRecord, RecordId, ShardName};

use super::{effects::ControlEffect, state::ControlState};
use crate::keys::{KeyCommand, KeyEffect};

impl ControlState {
    /// Applies a command of the traffic threads.
    pub(super) fn apply_keys(&mut self, command: KeyCommand, now: Duration) -> Vec<ControlEffect> {
        to_control(self.keys.handle(command, &mut self.journals, now))
    }

    /// Answers overdue requests and asks runners again.
    pub(super) fn fire_key_timers(&mut self, now: Duration) -> Vec<ControlEffect> {
        to_control(self.keys.fire_timers(&mut self.journals, now))
    }

    pub(super) fn note_key_records(
        &mut self,
        shard: &ShardName,
        records: &[RecordId],
        durable: bool,
        now: Duration,
    ) -> Vec<ControlEffect> {
        let keys = &mut self.keys;
        to_control(keys.apply_write_result(shard, records, durable, &mut self.journals, now))
    }

    pub(super) fn note_key_store(&mut self, available: bool, now: Duration) -> Vec<ControlEffect> {
        to_control(
            self.keys
                .set_store_available(available, &mut self.journals, now),
        )
    }

    /// Hands the records of an acquired shard to its slice.
    pub(super) fn open_shard(
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

fn to_control(effects: Vec<KeyEffect>) -> Vec<ControlEffect> {
    effects.into_iter().map(ControlEffect::Key).collect()
}
