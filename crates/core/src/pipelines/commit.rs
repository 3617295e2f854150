//! Durable progress: what the store must hold before anything is ordered.

use std::{sync::Arc, time::Duration};

use super::{
    messages::{PipelineAction, StartOrder},
    progress::{PipelinePhase, PipelineProgress},
    spec::{PipelineId, PipelineSpec, RunKey},
    state::PipelineState,
    worker::{RunPhase, WorkerContact},
};
use crate::types::WorkerId;

/// A start that waits for the commit of its placement.
#[derive(Clone, Debug)]
pub(super) struct PendingStart {
    pub(super) worker: WorkerId,
    pub(super) run: RunKey,
    pub(super) ticket: Option<String>,
}

/// The progress of one job.
#[derive(Clone, Debug, PartialEq)]
pub struct CommitEntry {
    /// The job.
    pub pipeline: PipelineId,
    /// What was asked for.
    pub spec: Arc<PipelineSpec>,
    /// How far it is.
    pub phase: PipelinePhase,
    /// Its progress, or `None` if it is over and only its phase is kept.
    pub progress: Option<PipelineProgress>,
}

/// Changes that become durable together.
#[derive(Clone, Debug)]
pub struct ProgressCommit {
    /// The changed jobs.
    pub entries: Vec<CommitEntry>,
    starts: Vec<PendingStart>,
}

impl PipelineState {
    /// Takes changed jobs for one commit, in the order of their changes, for as long
    /// as `has_room` admits them.
    ///
    /// The caller makes them durable and then calls [`Self::complete_commit`]; until
    /// then it takes no other commit.
    pub fn take_commit(
        &mut self,
        mut has_room: impl FnMut(&CommitEntry) -> bool,
    ) -> Option<ProgressCommit> {
        let mut commit = ProgressCommit {
            entries: Vec::new(),
            starts: Vec::new(),
        };
        while let Some((serial, pipeline)) = self.dirty.first_key_value() {
            let (serial, pipeline) = (*serial, *pipeline);
            match self.commit_entry(pipeline) {
                Some(entry) if !has_room(&entry) => break,
                entry => commit.entries.extend(entry),
            }
            self.dirty.remove(&serial);
            self.dirty_serials.remove(&pipeline);
            let starts = self.pending_starts.remove(&pipeline);
            commit.starts.extend(starts.unwrap_or_default());
        }
        (!commit.entries.is_empty()).then_some(commit)
    }

    fn commit_entry(&self, pipeline: PipelineId) -> Option<CommitEntry> {
        let record = self.pipelines.get(&pipeline)?;
        let is_retired = self.is_retired(pipeline);
        Some(CommitEntry {
            pipeline,
            spec: Arc::clone(&record.spec),
            phase: record.progress.phase,
            progress: (!is_retired).then(|| record.progress.clone()),
        })
    }

    /// Includes the progress of a job in a coming commit although it did not change.
    pub fn request_rewrite(&mut self, pipeline: PipelineId) {
        if self.pipelines.contains_key(&pipeline) {
            self.mark_dirty(pipeline);
        }
    }

    /// Releases what waited for a commit.
    pub fn complete_commit(
        &mut self,
        commit: ProgressCommit,
        now: Duration,
    ) -> Vec<PipelineAction> {
        for entry in &commit.entries {
            if self.is_retired(entry.pipeline) && !self.dirty_serials.contains_key(&entry.pipeline)
            {
                self.forget(entry.pipeline);
            }
        }
        let durable = match self.dirty.first_key_value() {
            Some((serial, _)) => serial - 1,
            None => self.serial,
        };
        self.durable_serial = durable;
        for record in self.workers.values_mut() {
            match record.pending_ack {
                Some(ack) if ack.serial <= durable => {
                    record.acked_end = ack.end;
                    record.pending_ack = None;
                    record.hold_due = now;
                }
                _ => {}
            }
        }
        self.release_starts(commit.starts, now);
        self.renew_leases(now);
        std::mem::take(&mut self.actions)
    }

    /// Sends starts whose placements are durable.
    pub(super) fn release_starts(&mut self, starts: Vec<PendingStart>, now: Duration) {
        for start in starts {
            if now >= self.confirmed_until {
                self.unsent_starts.push(start);
                continue;
            }
            self.send_start(&start, now);
        }
    }

    /// Sends a start, or takes its placement back if the worker is not well any more.
    pub(super) fn send_start(&mut self, start: &PendingStart, now: Duration) {
        let run = start.run;
        let phase = self
            .pipelines
            .get(&run.task.step.pipeline)
            .map(|record| record.progress.phase);
        let is_wanted = phase.is_some_and(|phase| !phase.is_final());
        let Some(record) = self.workers.get_mut(&start.worker) else {
            return;
        };
        let Some(RunPhase::Ordered(tries)) = record.runs.get(&run).map(|entry| entry.phase) else {
            return;
        };
        let is_well = record.contact == WorkerContact::Claimed;
        match self.start_order(start, now) {
            Some(order) if is_wanted && is_well => {
                self.actions.push(PipelineAction::Start(order));
            }
            _ if tries == 0 => self.drop_run(&start.worker, run, now),
            _ => self.stop_run(&start.worker, run, now),
        }
    }

    fn start_order(&mut self, start: &PendingStart, now: Duration) -> Option<StartOrder> {
        let pipeline = self.pipelines.get_mut(&start.run.task.step.pipeline)?;
        let task = pipeline.progress.task_mut(start.run.task)?;
        let record = self.workers.get_mut(&start.worker)?;
        let deadline_ms = record.grant(self.config.lease, now)?;
        Some(StartOrder {
            worker: WorkerId::clone(&start.worker),
            address: record.address()?.to_owned(),
            run: start.run,
            command: pipeline.command.clone(),
            deadline_ms,
            token: record.token(self.epoch),
            checkpoint: task.checkpoint.clone(),
            ticket: start.ticket.clone(),
        })
    }

    fn forget(&mut self, id: PipelineId) {
        let Some(record) = self.pipelines.remove(&id) else {
            return;
        };
        for (key, rank) in record.ready {
            self.ready.remove(&(rank, key));
        }
        self.books.retain(|key, _| key.pipeline != id);
    }
}
