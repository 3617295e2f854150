//! The life of the owned shards: replay, claims, activation, flush and loss.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use auburnsaddle_core::{Epoch, JournalError, OwnershipAction, OwnershipEvent, ShardName};

use super::{effects::ControlEffect, state::ControlState};
use crate::journal::{JournalEffect, JournalNotice, JournalOutput, JournalReport, keeps_journal};

/// Epoch of a shard that never had an owner before.
const FIRST_EPOCH: Epoch = 1;

/// What one step asks for, in order.
#[derive(Debug, Default)]
pub(super) struct ShardSteps {
    pub(super) effects: Vec<ControlEffect>,
    pub(super) events: VecDeque<OwnershipEvent>,
    notices: VecDeque<JournalNotice>,
}

impl ShardSteps {
    pub(super) fn add(&mut self, output: JournalOutput) {
        let effects = output.effects.into_iter().map(ControlEffect::Journal);
        self.effects.extend(effects);
        self.notices.extend(output.notices);
    }
}

impl ControlState {
    /// Applies an event to the owner table, then the reports that follow from
    /// its actions at once, until none is left.
    pub(super) fn apply_ownership(
        &mut self,
        event: OwnershipEvent,
        now: Duration,
    ) -> Vec<ControlEffect> {
        let mut steps = ShardSteps::default();
        steps.events.push_back(event);
        self.run_steps(steps, now)
    }

    /// Applies the result of a store call of the journal.
    pub(super) fn apply_journal(
        &mut self,
        report: JournalReport,
        now: Duration,
    ) -> Vec<ControlEffect> {
        match &report {
            // The shard may have been lost while its journal was read.
            JournalReport::Loaded(shard, epoch, _)
                if self.owners.owned_epoch(shard) != Some(*epoch) =>
            {
                Vec::new()
            }
            _ => {
                let mut steps = ShardSteps::default();
                steps.add(self.journals.handle(report, now));
                self.run_steps(steps, now)
            }
        }
    }

    /// Commits the records that wait, as far as the interval permits it.
    pub(super) fn commit_records(&mut self, now: Duration) -> Vec<ControlEffect> {
        let mut steps = ShardSteps::default();
        self.flush_idle(now, &mut steps);
        steps.add(self.journals.fire_timers(now));
        self.run_steps(steps, now)
    }

    pub(super) fn run_steps(&mut self, mut steps: ShardSteps, now: Duration) -> Vec<ControlEffect> {
        loop {
            if let Some(notice) = steps.notices.pop_front() {
                self.note_journal(notice, now, &mut steps);
            } else if let Some(event) = steps.events.pop_front() {
                for action in self.owners.handle(event, now) {
                    self.carry_out(action, now, &mut steps);
                }
            } else {
                return steps.effects;
            }
        }
    }

    /// Carries out an action of the owner table.
    fn carry_out(&mut self, action: OwnershipAction, now: Duration, steps: &mut ShardSteps) {
        match action {
            OwnershipAction::Claim {
                shard,
                expected,
                next,
            } => steps.effects.push(ControlEffect::ClaimShard {
                shard,
                expected,
                next,
            }),
            OwnershipAction::ReadOwner(shard) => {
                steps.effects.push(ControlEffect::ReadOwner(shard));
            }
            OwnershipAction::Acquired { shard, epoch } => {
                log::info!("acquired shard {shard} under epoch {epoch}");
                self.takeovers += u64::from(epoch > FIRST_EPOCH);
                replay_shard(shard, epoch, steps);
            }
            // The runners learn the epoch from the calls themselves.
            OwnershipAction::ClaimTargets(shard, epoch) => {
                self.unavailable.remove(&shard);
                let claimed = OwnershipEvent::TargetsClaimed(shard, epoch);
                steps.events.push_back(claimed);
            }
            OwnershipAction::Activated(shard, epoch) => self.activate_shard(shard, epoch, now),
            OwnershipAction::Flush(shard, epoch) if keeps_journal(&shard) => {
                self.keys.set_active(&shard, false);
                self.pools.set_active(&shard, false);
                self.flushing.insert(shard, epoch);
            }
            OwnershipAction::Flush(shard, epoch) => {
                let flushed = OwnershipEvent::Flushed(shard, epoch);
                steps.events.push_back(flushed);
            }
            OwnershipAction::Lost(shard) => {
                log::warn!("lost shard {shard} to another daemon");
                self.lose_shard(&shard, now, steps);
            }
            OwnershipAction::RequestLease {
                shard,
                epoch,
                sent_at,
            } => steps
                .effects
                .push(self.lease_request(shard, epoch, sent_at)),
            OwnershipAction::ReleaseLease(shard, epoch) => {
                steps.effects.extend(self.lease_release(&shard, epoch));
            }
        }
    }

    fn activate_shard(&mut self, shard: ShardName, epoch: Epoch, now: Duration) {
        match shard {
            ShardName::Call(..) if !self.calls.owns(&shard, epoch) => {
                self.acquire_calls(shard, epoch, now);
            }
            ShardName::Key(..) => self.keys.set_active(&shard, true),
            ShardName::Pool(_) if self.pools.owns(&shard, epoch) => {
                self.pools.set_active(&shard, true);
            }
            ShardName::Call(..) | ShardName::Pool(_) => {}
        }
    }

    fn acquire_calls(&mut self, shard: ShardName, epoch: Epoch, now: Duration) {
        let ShardName::Call(service, _) = &shard else {
            return;
        };
        let objects = Arc::clone(self.config.objects());
        if let Some(service) = objects.services.get(service) {
            self.calls.open_queue(shard, epoch, service, now);
            self.refresh_runners(now);
        }
    }

    /// Drops a shard after its slice has been told which records failed.
    fn lose_shard(&mut self, shard: &ShardName, now: Duration, steps: &mut ShardSteps) {
        self.unavailable.remove(shard);
        self.flushing.remove(shard);
        let closed = self.journals.close(shard, now);
        steps
            .effects
            .extend(closed.effects.into_iter().map(ControlEffect::Journal));
        for notice in closed.notices {
            self.note_journal(notice, now, steps);
        }
        self.calls.drop_shard(shard);
        self.keys.lose(shard);
        self.pools.drop_shard(shard);
    }

    /// Keeps a shard unavailable whose journal cannot be replayed, as accepted
    /// work would be lost. The owner table reads the journal again later.
    pub(super) fn fail_replay(
        &mut self,
        shard: ShardName,
        epoch: Epoch,
        error: &JournalError,
        steps: &mut ShardSteps,
    ) {
        log::error!("shard {shard} is not served under epoch {epoch}: {error}");
        self.unavailable.insert(shard.clone(), error.to_string());
        let failed = OwnershipEvent::ReplayFailed(shard, epoch);
        steps.events.push_back(failed);
    }

    /// Flushes the journals of shards that are handed over once their calls
    /// have ended.
    fn flush_idle(&mut self, now: Duration, steps: &mut ShardSteps) {
        let keys = &self.keys;
        let idle = self.flushing.extract_if(.., |shard, _| keys.is_idle(shard));
        for (shard, epoch) in idle.collect::<Vec<_>>() {
            steps.add(self.journals.flush(shard, epoch, now));
        }
    }

    /// Passes a notice of the journal to the owner table or to the slice that
    /// keeps the shard's state.
    fn note_journal(&mut self, notice: JournalNotice, now: Duration, steps: &mut ShardSteps) {
        match notice {
            JournalNotice::Opened(shard @ ShardName::Pool(_), epoch, records) => {
                log::info!("replayed {} records of shard {shard}", records.len());
                self.open_pool(shard, epoch, &records, now, steps);
            }
            JournalNotice::Opened(shard, epoch, records) => {
                match self.open_shard(&shard, epoch, &records, now) {
                    Ok(()) => {
                        log::info!("replayed {} records of shard {shard}", records.len());
                        let replayed = OwnershipEvent::Replayed(shard, epoch);
                        steps.events.push_back(replayed);
                    }
                    Err(error) => self.fail_replay(shard, epoch, &error, steps),
                }
            }
            JournalNotice::Corrupted(shard, epoch, error) => {
                self.fail_replay(shard, epoch, &error, steps);
            }
            JournalNotice::Flushed(shard, epoch) => {
                let flushed = OwnershipEvent::Flushed(shard, epoch);
                steps.events.push_back(flushed);
            }
            JournalNotice::Fenced(shard, epoch) => {
                let fenced = OwnershipEvent::Fenced(shard, epoch);
                steps.events.push_back(fenced);
            }
            JournalNotice::StoreChanged { available } => {
                log::warn!("the store takes records: {available}");
                self.pools.set_store_available(available);
                steps.effects.extend(self.note_key_store(available, now));
            }
            JournalNotice::Durable(ShardName::Pool(_), _)
            | JournalNotice::Failed {
                shard: ShardName::Pool(_),
                ..
            }
            | JournalNotice::ExportNeeded(ShardName::Pool(_), _) => {
                self.note_pool_records(notice, now, steps);
            }
            JournalNotice::Durable(shard, records) => {
                let effects = self.note_key_records(&shard, &records, true, now);
                steps.effects.extend(effects);
            }
            JournalNotice::Failed { shard, records, .. } => {
                let effects = self.note_key_records(&shard, &records, false, now);
                steps.effects.extend(effects);
            }
            JournalNotice::ExportNeeded(shard, epoch) => match shard {
                ShardName::Key(..) => {
                    let records = self.keys.export(&shard);
                    steps.add(self.journals.export(shard, epoch, records, now));
                }
                // An empty export would delete the records of the shard.
                ShardName::Call(..) | ShardName::Pool(_) => {
                    log::error!("no slice exports the records of shard {shard}");
                }
            },
        }
    }
}

/// Starts the reading of an acquired shard's journal, if it has one.
fn replay_shard(shard: ShardName, epoch: Epoch, steps: &mut ShardSteps) {
    if keeps_journal(&shard) {
        let reading = JournalEffect::Read(shard, epoch);
        steps.effects.push(ControlEffect::Journal(reading));
    } else {
        let replayed = OwnershipEvent::Replayed(shard, epoch);
        steps.events.push_back(replayed);
    }
}
