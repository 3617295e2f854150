//! Lifecycle of the owned shards: claim, replay, activation, flush and loss.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use auburnsaddle_core::{Epoch, JournalError, OwnershipAction, OwnershipEvent, ShardName};

use super::{effects::ControlEffect, state::ControlState};
use crate::journal::{JournalEffect, JournalNotice, JournalOutput, JournalReport, has_journal};

/// Epoch of a shard's first owner; later epochs are takeovers.
const FIRST_EPOCH: Epoch = 1;

/// Effects collected during one control event, and the ownership events and
/// journal notices that are still to be processed within it.
#[derive(Debug, Default)]
pub(super) struct PendingWork {
    pub(super) effects: Vec<ControlEffect>,
    pub(super) events: VecDeque<OwnershipEvent>,
    notices: VecDeque<JournalNotice>,
}

impl PendingWork {
    /// Adds the effects and notices of the journal.
    pub(super) fn add_journal_output(&mut self, output: JournalOutput) {
        let effects = output.effects.into_iter().map(ControlEffect::Journal);
        self.effects.extend(effects);
        self.notices.extend(output.notices);
    }
}

impl ControlState {
    /// Applies an event to the owner table and processes all events and notices that
    /// result from it.
    pub(super) fn apply_ownership_event(
        &mut self,
        event: OwnershipEvent,
        now: Duration,
    ) -> Vec<ControlEffect> {
        let mut work = PendingWork::default();
        work.events.push_back(event);
        self.process_work(work, now)
    }

    /// Applies the result of a store call of the journal.
    pub(super) fn apply_journal_report(
        &mut self,
        report: JournalReport,
        now: Duration,
    ) -> Vec<ControlEffect> {
        match &report {
            // The shard was lost while its journal was read.
            JournalReport::Loaded(shard, epoch, _)
                if self.owners.owned_epoch(shard) != Some(*epoch) =>
            {
                Vec::new()
            }
            _ => {
                let mut work = PendingWork::default();
                work.add_journal_output(self.journals.handle(report, now));
                self.process_work(work, now)
            }
        }
    }

    /// Flushes idle shards in a handover, and commits pending records if the commit
    /// interval permits it.
    pub(super) fn commit_records(&mut self, now: Duration) -> Vec<ControlEffect> {
        let mut work = PendingWork::default();
        self.flush_idle_shards(now, &mut work);
        work.add_journal_output(self.journals.fire_timers(now));
        self.process_work(work, now)
    }

    /// Processes pending notices and events, those that result from them included,
    /// until none is left. Returns the collected effects.
    pub(super) fn process_work(
        &mut self,
        mut work: PendingWork,
        now: Duration,
    ) -> Vec<ControlEffect> {
        loop {
            if let Some(notice) = work.notices.pop_front() {
                self.apply_journal_notice(notice, now, &mut work);
            } else if let Some(event) = work.events.pop_front() {
                for action in self.owners.handle(event, now) {
                    self.apply_owner_action(action, now, &mut work);
                }
            } else {
                return work.effects;
            }
        }
    }

    /// Applies an action of the owner table.
    fn apply_owner_action(
        &mut self,
        action: OwnershipAction,
        now: Duration,
        work: &mut PendingWork,
    ) {
        match action {
            OwnershipAction::Claim {
                shard,
                expected,
                next,
            } => work.effects.push(ControlEffect::ClaimShard {
                shard,
                expected,
                next,
            }),
            OwnershipAction::ReadOwner(shard) => {
                work.effects.push(ControlEffect::ReadOwner(shard));
            }
            OwnershipAction::Acquired { shard, epoch } => {
                log::info!("acquired shard {shard} under epoch {epoch}");
                self.takeovers += u64::from(epoch > FIRST_EPOCH);
                start_replay(shard, epoch, work);
            }
            // Nothing is sent: runners receive the epoch with each call.
            OwnershipAction::ClaimTargets(shard, epoch) => {
                self.unavailable.remove(&shard);
                let claimed = OwnershipEvent::TargetsClaimed(shard, epoch);
                work.events.push_back(claimed);
            }
            OwnershipAction::Activated(shard, epoch) => self.activate_shard(shard, epoch, now),
            OwnershipAction::Flush(shard, epoch) if has_journal(&shard) => {
                self.keys.set_active(&shard, false);
                self.pools.set_active(&shard, false);
                self.awaiting_idle.insert(shard, epoch);
            }
            OwnershipAction::Flush(shard, epoch) => {
                let flushed = OwnershipEvent::Flushed(shard, epoch);
                work.events.push_back(flushed);
            }
            OwnershipAction::Lost(shard) => {
                log::warn!("lost shard {shard} to another daemon");
                self.drop_shard(&shard, now, work);
            }
            OwnershipAction::RequestLease {
                shard,
                epoch,
                sent_at,
            } => work.effects.push(self.lease_request(shard, epoch, sent_at)),
            OwnershipAction::ReleaseLease(shard, epoch) => {
                work.effects.extend(self.end_lease(&shard, epoch));
            }
        }
    }

    /// Lets a shard serve requests under this epoch, for the first time or again
    /// after a failed handover.
    fn activate_shard(&mut self, shard: ShardName, epoch: Epoch, now: Duration) {
        match shard {
            ShardName::Call(..) if !self.calls.owns(&shard, epoch) => {
                self.acquire_call_shard(shard, epoch, now);
            }
            ShardName::Key(..) => self.keys.set_active(&shard, true),
            ShardName::Pool(_) if self.pools.owns(&shard, epoch) => {
                self.pools.set_active(&shard, true);
            }
            ShardName::Call(..) | ShardName::Pool(_) => {}
        }
    }

    /// Creates the queue of an acquired call shard, if its service is configured.
    fn acquire_call_shard(&mut self, shard: ShardName, epoch: Epoch, now: Duration) {
        let ShardName::Call(service, _) = &shard else {
            return;
        };
        let objects = Arc::clone(self.config.objects());
        if let Some(service) = objects.services.get(service) {
            self.calls.open_queue(shard, epoch, service, now);
            self.refresh_runners(now);
        }
    }

    /// Drops the state of a lost shard. The notices of its failed records are applied
    /// first, as they need that state.
    fn drop_shard(&mut self, shard: &ShardName, now: Duration, work: &mut PendingWork) {
        self.unavailable.remove(shard);
        self.awaiting_idle.remove(shard);
        let closed = self.journals.close(shard, now);
        work.effects
            .extend(closed.effects.into_iter().map(ControlEffect::Journal));
        for notice in closed.notices {
            self.apply_journal_notice(notice, now, work);
        }
        self.calls.drop_shard(shard);
        self.keys.drop_shard(shard);
        self.pools.drop_shard(shard);
    }

    /// Marks a shard whose journal cannot be replayed as unavailable, since serving
    /// it would lose accepted work. The owner table retries the replay later.
    pub(super) fn record_replay_failure(
        &mut self,
        shard: ShardName,
        epoch: Epoch,
        error: &JournalError,
        work: &mut PendingWork,
    ) {
        log::error!(
            "cannot serve shard {shard} under epoch {epoch}, its journal was not replayed: {error}"
        );
        self.unavailable.insert(shard.clone(), error.to_string());
        let failed = OwnershipEvent::ReplayFailed(shard, epoch);
        work.events.push_back(failed);
    }

    /// Flushes the journal of each shard in a handover once its calls have ended.
    fn flush_idle_shards(&mut self, now: Duration, work: &mut PendingWork) {
        let keys = &self.keys;
        let idle = self
            .awaiting_idle
            .extract_if(.., |shard, _| keys.is_idle(shard));
        for (shard, epoch) in idle.collect::<Vec<_>>() {
            work.add_journal_output(self.journals.flush(shard, epoch, now));
        }
    }

    /// Passes a notice of the journal to the owner table or to the module that keeps
    /// the shard's state.
    fn apply_journal_notice(
        &mut self,
        notice: JournalNotice,
        now: Duration,
        work: &mut PendingWork,
    ) {
        match notice {
            JournalNotice::Opened(shard @ ShardName::Pool(_), epoch, records) => {
                log::info!("replayed {} records of shard {shard}", records.len());
                self.open_pool(shard, epoch, &records, now, work);
            }
            JournalNotice::Opened(shard, epoch, records) => {
                match self.open_key_shard(&shard, epoch, &records, now) {
                    Ok(()) => {
                        log::info!("replayed {} records of shard {shard}", records.len());
                        let replayed = OwnershipEvent::Replayed(shard, epoch);
                        work.events.push_back(replayed);
                    }
                    Err(error) => self.record_replay_failure(shard, epoch, &error, work),
                }
            }
            JournalNotice::Corrupted(shard, epoch, error) => {
                self.record_replay_failure(shard, epoch, &error, work);
            }
            JournalNotice::Flushed(shard, epoch) => {
                let flushed = OwnershipEvent::Flushed(shard, epoch);
                work.events.push_back(flushed);
            }
            JournalNotice::Fenced(shard, epoch) => {
                let fenced = OwnershipEvent::Fenced(shard, epoch);
                work.events.push_back(fenced);
            }
            JournalNotice::StoreChanged { available } => {
                log::warn!("the store accepts journal writes: {available}");
                self.pools.set_store_available(available);
                work.effects
                    .extend(self.update_key_store_availability(available, now));
            }
            JournalNotice::Durable(ShardName::Pool(_), _)
            | JournalNotice::Failed {
                shard: ShardName::Pool(_),
                ..
            }
            | JournalNotice::SnapshotNeeded(ShardName::Pool(_), _) => {
                self.apply_pool_notice(notice, now, work);
            }
            JournalNotice::Durable(shard, records) => {
                let effects = self.apply_key_records(&shard, &records, true, now);
                work.effects.extend(effects);
            }
            JournalNotice::Failed { shard, records, .. } => {
                let effects = self.apply_key_records(&shard, &records, false, now);
                work.effects.extend(effects);
            }
            JournalNotice::SnapshotNeeded(shard, epoch) => match shard {
                ShardName::Key(..) => {
                    let records = self.keys.export(&shard);
                    work.add_journal_output(
                        self.journals.start_snapshot(shard, epoch, records, now),
                    );
                }
                // A snapshot without records would delete the records of the shard.
                ShardName::Call(..) | ShardName::Pool(_) => {
                    log::error!(
                        "cannot write a snapshot of shard {shard}: no module exports its records"
                    );
                }
            },
        }
    }
}

/// Starts reading the journal of an acquired shard. A shard without a journal is
/// reported as replayed at once.
fn start_replay(shard: ShardName, epoch: Epoch, work: &mut PendingWork) {
    if has_journal(&shard) {
        let reading = JournalEffect::Read(shard, epoch);
        work.effects.push(ControlEffect::Journal(reading));
    } else {
        let replayed = OwnershipEvent::Replayed(shard, epoch);
        work.events.push_back(replayed);
    }
}
