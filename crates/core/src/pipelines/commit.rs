//! Commits of changed progress, and the orders that are released once it is durable.

use std::{sync::Arc, time::Duration};

use super::{
    messages::{PipelineAction, StartOrder},
    progress::{PipelinePhase, PipelineProgress},
    spec::{PipelineId, PipelineSpec, RunKey, StepKey, TaskKey},
    state::PipelineState,
    worker::{RunPhase, WorkerRecord},
};
use crate::types::WorkerId;

/// A placement whose start order is sent once it is durable.
#[derive(Clone, Debug)]
pub(super) struct PendingStart {
    pub(super) worker: WorkerId,
    pub(super) run: RunKey,
    /// Ticket to send with the order, if the queue requires one.
    pub(super) ticket: Option<String>,
}

/// The progress of one job in a commit.
#[derive(Clone, Debug, PartialEq)]
pub struct CommitEntry {
    /// Identifier of the job.
    pub pipeline: PipelineId,
    /// Specification of the job.
    pub spec: Arc<PipelineSpec>,
    /// Phase of the job.
    pub phase: PipelinePhase,
    /// Progress of the job, or `None` if it is retired and only its phase is kept.
    pub progress: Option<PipelineProgress>,
}

/// Changes that the caller makes durable together. The default has none.
#[derive(Clone, Debug, Default)]
pub struct ProgressCommit {
    /// The changed jobs, in the order of their changes.
    pub entries: Vec<CommitEntry>,
    /// Starts that are released once the commit is durable.
    starts: Vec<PendingStart>,
}

impl PipelineState {
    /// Returns the next commit, with changed jobs in the order of their changes up to
    /// the first for which `has_room` returns `false`; `None` if it would be empty.
    ///
    /// The caller makes the commit durable and then calls [`Self::complete_commit`]. It
    /// does not take another commit before that.
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

    /// Includes the progress of a job in a coming commit even if it has not changed.
    pub fn request_rewrite(&mut self, pipeline: PipelineId) {
        if self.pipelines.contains_key(&pipeline) {
            self.mark_dirty(pipeline);
        }
    }

    /// Releases the starts and acknowledgements that waited for a commit, and retires
    /// the jobs that are over.
    pub fn complete_commit(
        &mut self,
        commit: ProgressCommit,
        now: Duration,
    ) -> Vec<PipelineAction> {
        for entry in &commit.entries {
            if self.is_retired(entry.pipeline) && !self.dirty_serials.contains_key(&entry.pipeline)
            {
                self.remove_pipeline(entry.pipeline);
            }
        }
        let durable = match self.dirty.first_key_value() {
            Some((serial, _)) => serial - 1,
            None => self.serial,
        };
        self.durable_serial = durable;
        for record in self.workers.values_mut() {
            let instance = record.instance.as_mut();
            if instance.is_some_and(|instance| instance.ends.record_durable(durable)) {
                record.renewal_due = now;
            }
        }
        self.release_starts(commit.starts, now);
        self.renew_leases(now);
        std::mem::take(&mut self.actions)
    }

    /// Sends starts whose placements are durable, or defers them while the ownership is
    /// not confirmed.
    pub(super) fn release_starts(&mut self, starts: Vec<PendingStart>, now: Duration) {
        for start in starts {
            if now >= self.confirmed_until {
                self.deferred_starts.push(start);
                continue;
            }
            self.send_start(&start, now);
        }
    }

    /// Sends the starts to a worker that were held back for an acknowledgement, if it was answered.
    pub(super) fn release_held_starts(&mut self, worker: &WorkerId, now: Duration) {
        let record = self.workers.get_mut(worker);
        let starts = record.map(WorkerRecord::take_held_starts);
        self.release_starts(starts.unwrap_or_default(), now);
    }

    /// Sends a start order. If its job is over or its worker is not claimed any more, the
    /// placement is undone instead, or the run is stopped if an order may have arrived.
    pub(super) fn send_start(&mut self, start: &PendingStart, now: Duration) {
        let run = start.run;
        let phase = self
            .pipelines
            .get(&run.task.step.pipeline)
            .map(|record| record.progress.phase);
        let is_active = phase.is_some_and(|phase| !phase.is_final());
        let Some(record) = self.workers.get_mut(&start.worker) else {
            return;
        };
        let Some(RunPhase::Ordered(unanswered_sends)) =
            record.runs.get(&run).map(|entry| entry.phase)
        else {
            return;
        };
        if is_active && record.must_hold_starts() {
            record.held_starts.push(start.clone());
            return;
        }
        // A start may have been held back for seconds, and the worker may leave by now.
        let can_send = is_active && record.can_accept_tasks();
        // Building the order extends the lease.
        let order = can_send.then(|| self.start_order(start, unanswered_sends, now));
        let order = order.flatten();
        match order {
            Some(order) => self.actions.push(PipelineAction::Start(order)),
            _ if unanswered_sends == 0 => self.drop_run(&start.worker, run, now),
            _ => self.stop_run(&start.worker, run, now),
        }
    }

    fn start_order(
        &mut self,
        start: &PendingStart,
        unanswered_sends: u32,
        now: Duration,
    ) -> Option<StartOrder> {
        let pipeline = self.pipelines.get_mut(&start.run.task.step.pipeline)?;
        let task = pipeline.progress.task_mut(start.run.task)?;
        let record = self.workers.get_mut(&start.worker)?;
        let deadline_ms = if now < self.extensions_until {
            record.extend_lease(self.config.lease, now)?
        } else {
            record.instance.as_ref()?.unexpired_lease(now)?
        };
        record.deadline_sent_at = Some(now);
        record.is_token_used = true;
        if let Some(entry) = record.runs.get_mut(&start.run) {
            entry.ordered_at = Some(now);
            entry.open_repeat_at = entry.unanswered_at.map(|_| now);
        }
        Some(StartOrder {
            worker: WorkerId::clone(&start.worker),
            address: record.address()?.to_owned(),
            run: start.run,
            command: pipeline.command.clone(),
            deadline_ms,
            token: record.token(self.epoch),
            checkpoint: task.checkpoint.clone(),
            ticket: start.ticket.clone(),
            time_limit: self.responses.order_timeout(unanswered_sends),
        })
    }

    /// Removes a retired job.
    fn remove_pipeline(&mut self, id: PipelineId) {
        self.clear_ready_steps(id);
        self.pipelines.remove(&id);
        let first_step = StepKey::first_of(id);
        self.preemptions.remove_pipeline(first_step);
        let first_task = TaskKey {
            step: first_step,
            index: 0,
        };
        let is_removed = |task: TaskKey| task.step.pipeline == id;
        self.streaks.remove_from(first_task, is_removed);
        let caches = self.ticket_caches.range(first_step..);
        let caches = caches.map(|(key, _)| *key);
        let caches: Vec<StepKey> = caches.take_while(|key| key.pipeline == id).collect();
        for key in caches {
            self.ticket_caches.remove(&key);
        }
    }
}
