//! What workers report: runs that are present, and runs that have ended.

use std::{collections::BTreeSet, time::Duration};

use super::{
    messages::{
        EndedRun, LossCause, ObservedRun, PaceOrder, PipelineAction, PipelineNote, RenewalReport,
        RunEnd,
    },
    pace::next_share,
    progress::{PipelinePhase, TaskPlace},
    spec::{PipelineId, RunKey},
    state::PipelineState,
    worker::{PendingAck, RunPhase, WorkerContact, WorkerRun},
};
use crate::types::WorkerId;

/// Time between two changes of the pace on a worker; a report covers half a second.
const PACE_INTERVAL: Duration = Duration::from_millis(400);

/// Failed runs in a row after which a worker is not preferred.
const FAILURES_OF_TROUBLE: u32 = 2;

/// Time for which such a worker is not preferred.
const FAILURE_TROUBLE_TIME: Duration = Duration::from_secs(4);

/// Time until the next renewal while ends wait to become durable.
const UNACKED_HOLD_INTERVAL: Duration = Duration::from_secs(1);

impl PipelineState {
    pub(super) fn note_report(
        &mut self,
        worker: &WorkerId,
        sent_at: Duration,
        report: &RenewalReport,
        now: Duration,
    ) {
        let Some(record) = self.workers.get_mut(worker) else {
            return;
        };
        record.is_hold_sent = false;
        record.misses = 0;
        if record
            .started_unix_ms
            .is_some_and(|born| born != report.started_unix_ms)
        {
            record.rebirth(Some(report.started_unix_ms), now);
            for book in self.books.values_mut() {
                book.forget(worker);
            }
            self.lose_all_runs(worker, LossCause::Reborn, now);
            return;
        }
        record.started_unix_ms = Some(report.started_unix_ms);
        record.clock = Some((report.clock_ms, now));
        let is_claim = record.contact == WorkerContact::Unclaimed;
        if record.contact != WorkerContact::Claimed {
            self.is_pass_due = true;
            self.actions
                .push(PipelineAction::Note(PipelineNote::WorkerClaimed {
                    worker: WorkerId::clone(worker),
                    running: report.running.len(),
                    ended: report.ended.len(),
                }));
        }
        record.contact = WorkerContact::Claimed;
        if is_claim {
            // The former owner cannot extend the lease any more, but may have
            // given the longest one just before.
            record.inherited_until = Duration::ZERO;
            record.assume_grant(report.clock_ms, self.config.max_lease);
        }
        let processed = record.processed_end;
        let ended = report.ended.iter().filter(|end| end.number > processed);
        let ended: Vec<&EndedRun> = ended.collect();
        for end in &ended {
            self.note_end(worker, end, now);
        }
        self.note_present(worker, &report.running, now);
        self.note_absent(worker, &report.running, is_claim, sent_at, now);
        self.note_speed(worker, now);
        self.pace_filling(worker, now);
        let serial = self.serial;
        let durable = self.durable_serial;
        let Some(record) = self.workers.get_mut(worker) else {
            return;
        };
        record.hold_due = now;
        if let Some(last) = ended.last() {
            record.processed_end = last.number;
            record.pending_ack = Some(PendingAck {
                serial,
                end: last.number,
            });
        }
        match record.pending_ack {
            Some(ack) if ack.serial <= durable => {
                record.acked_end = ack.end;
                record.pending_ack = None;
            }
            Some(_) => record.hold_due = now + UNACKED_HOLD_INTERVAL,
            None => {}
        }
    }

    fn note_present(&mut self, worker: &WorkerId, running: &[ObservedRun], now: Duration) {
        let (mut unknown, mut begun) = (Vec::new(), Vec::new());
        for row in running {
            let Some(record) = self.workers.get_mut(worker) else {
                return;
            };
            match record.runs.get_mut(&row.run) {
                Some(entry) => {
                    if matches!(entry.phase, RunPhase::Inherited | RunPhase::Ordered(_)) {
                        entry.phase = RunPhase::Started(now);
                        entry.moved_at = now;
                        begun.push(row.run.task.step.pipeline);
                    }
                    if row.percent != entry.percent {
                        entry.percent = row.percent;
                        entry.moved_at = now;
                    }
                    if entry.target_tail_ms.is_some() {
                        entry.tail_ms = row.load;
                    }
                    self.keep_checkpoint(row.run, &row.checkpoint);
                }
                None => unknown.push(row.run),
            }
        }
        for id in begun {
            self.note_begun(id);
        }
        for run in unknown {
            self.note(PipelineNote::UnexpectedRun {
                run,
                worker: WorkerId::clone(worker),
            });
            let shape = self.step_spec(run.task.step).cloned().unwrap_or_default();
            let entry = WorkerRun::new(&shape, RunPhase::Stopping(None), now);
            if let Some(record) = self.workers.get_mut(worker) {
                record.insert(run, entry);
            }
            self.stop_run(worker, run, now);
        }
    }

    /// Drops runs that should be in the worker's report and are not.
    fn note_absent(
        &mut self,
        worker: &WorkerId,
        running: &[ObservedRun],
        is_claim: bool,
        sent_at: Duration,
        now: Duration,
    ) {
        let Some(record) = self.workers.get(worker) else {
            return;
        };
        let present: BTreeSet<RunKey> = running.iter().map(|row| row.run).collect();
        let missing = record.runs.iter().filter(|(run, entry)| {
            let is_expected = match entry.phase {
                RunPhase::Inherited => is_claim,
                // Answers on other connections may be newer than the report.
                RunPhase::Started(at) | RunPhase::Stopping(Some(at)) => at < sent_at,
                RunPhase::Ordered(_) | RunPhase::Stopping(None) => false,
            };
            is_expected && !present.contains(run)
        });
        let missing: Vec<RunKey> = missing.map(|(run, _)| *run).collect();
        for run in missing {
            self.drop_run(worker, run, now);
        }
    }

    fn note_end(&mut self, worker: &WorkerId, ended: &EndedRun, now: Duration) {
        let Some(record) = self.workers.get_mut(worker) else {
            return;
        };
        let run = record.remove(ended.run);
        match ended.end {
            RunEnd::Done => record.failures = 0,
            RunEnd::Failed => {
                record.failures += 1;
                if record.failures >= FAILURES_OF_TROUBLE {
                    record.troubled_until = now + FAILURE_TROUBLE_TIME;
                }
            }
            _ => {}
        }
        if ended.end != RunEnd::Done {
            let age = run.map_or(Duration::ZERO, |run| now.saturating_sub(run.placed_at));
            self.note(PipelineNote::RunEnded {
                run: ended.run,
                worker: WorkerId::clone(worker),
                end: Some(ended.end),
                age,
            });
        }
        self.keep_checkpoint(ended.run, &ended.checkpoint);
        self.settle_run(ended.run, Some(ended.end), now);
    }

    fn keep_checkpoint(&mut self, run: RunKey, checkpoint: &str) {
        let Some(record) = self.pipelines.get_mut(&run.task.step.pipeline) else {
            return;
        };
        match record.progress.task_mut(run.task) {
            Some(task)
                if task.attempt == run.attempt
                    && !checkpoint.is_empty()
                    && task.checkpoint != checkpoint =>
            {
                checkpoint.clone_into(&mut task.checkpoint);
            }
            _ => {}
        }
    }

    /// Forgets a run that is not on the worker.
    pub(super) fn drop_run(&mut self, worker: &WorkerId, run: RunKey, now: Duration) {
        if let Some(record) = self.workers.get_mut(worker) {
            record.remove(run);
        }
        self.settle_run(run, None, now);
    }

    /// Forgets all runs of a worker, which have certainly ended.
    pub(super) fn lose_all_runs(&mut self, worker: &WorkerId, cause: LossCause, now: Duration) {
        let Some(record) = self.workers.get(worker) else {
            return;
        };
        let runs: Vec<RunKey> = record.runs.keys().copied().collect();
        let (worker_id, count) = (WorkerId::clone(worker), runs.len());
        self.note(PipelineNote::WorkerLost {
            worker: worker_id,
            runs: count,
            cause,
        });
        for run in runs {
            self.drop_run(worker, run, now);
        }
    }

    /// Takes the end of a run into the progress of its job. `None` stands for a
    /// run that is not there any more for an unknown reason.
    fn settle_run(&mut self, run: RunKey, end: Option<RunEnd>, now: Duration) {
        // The room of the run is free.
        self.is_pass_due = true;
        let key = run.task.step;
        let Some(shape) = self.step_spec(key).cloned() else {
            return;
        };
        let Some(record) = self.pipelines.get_mut(&key.pipeline) else {
            return;
        };
        let max_attempts = record.spec.policy.max_attempts;
        let Some(task) = record.progress.task_mut(run.task) else {
            return;
        };
        if task.attempt != run.attempt || task.place == TaskPlace::Done {
            return;
        }
        if end.is_some() && record.progress.phase == PipelinePhase::Queued {
            record.progress.phase = PipelinePhase::Running;
        }
        let Some(task) = record.progress.task_mut(run.task) else {
            return;
        };
        task.place = TaskPlace::Waiting;
        let mut failures = 0;
        match end {
            Some(RunEnd::Done) if !shape.long_running => {
                if let Some(step) = record.progress.step_mut(key) {
                    let index = run.task.index as usize;
                    let ended = (0..).zip(&mut step.tasks);
                    // One member that is done stands for its gang.
                    for (_, task) in ended.filter(|(other, _)| shape.gang || *other == index) {
                        task.place = TaskPlace::Done;
                        task.checkpoint.clear();
                    }
                }
            }
            Some(RunEnd::Failed) if shape.gang => {
                if let Some(step) = record.progress.step_mut(key) {
                    if run.attempt > step.gang_failed_attempt {
                        step.gang_failed_attempt = run.attempt;
                        step.gang_failures += 1;
                    }
                    failures = step.gang_failures;
                }
            }
            Some(RunEnd::Failed) => {
                if run.attempt > task.failed_attempt {
                    task.failed_attempt = run.attempt;
                    task.failures += 1;
                }
                failures = task.failures;
            }
            _ => {}
        }
        let is_hopeless = failures >= max_attempts && !shape.long_running;
        if is_hopeless && !record.progress.phase.is_final() {
            record.progress.phase = PipelinePhase::Failed;
            self.note(PipelineNote::Failed {
                run,
                failures,
                max_attempts,
            });
            self.stop_pipeline(key.pipeline, now);
        } else if shape.gang && end != Some(RunEnd::Done) {
            self.stop_gang(key, now);
        }
        self.mark_dirty(key.pipeline);
        self.complete(key.pipeline);
        self.refresh(key.pipeline);
    }

    /// Notes a job whose occurrences are all done.
    fn complete(&mut self, id: PipelineId) {
        let Some(record) = self.pipelines.get_mut(&id) else {
            return;
        };
        if !record.progress.retire_done() || record.progress.phase.is_final() {
            return;
        }
        let occurrences = record.spec.schedule.map_or(1, |row| row.occurrences);
        if record.progress.done.len() >= occurrences as usize {
            record.progress.phase = PipelinePhase::Completed;
            let objective = record.spec.objective_unix_ms(occurrences - 1);
            let wall_ms = self.wall_ms;
            let note = PipelineNote::Completed {
                pipeline: id,
                queue: record.spec.policy.queue.clone(),
                age_ms: wall_ms.saturating_sub(record.spec.accepted_unix_ms),
                late_ms: wall_ms.saturating_sub(objective),
            };
            self.note(note);
        }
    }

    /// Slows the filling tasks of a worker down while its serving tasks are slow.
    fn pace_filling(&mut self, worker: &WorkerId, now: Duration) {
        let epoch = self.epoch;
        let Some(record) = self.workers.get_mut(worker) else {
            return;
        };
        if now < record.pace_due {
            return;
        }
        let tails = record.runs.values().filter_map(|run| {
            let target = run.target_tail_ms?;
            Some(run.tail_ms? * 100 / target.max(1))
        });
        let worst = tails.max().unwrap_or(0);
        let filling = record
            .runs
            .iter()
            .filter(|(_, run)| run.fill_milli > 0 && matches!(run.phase, RunPhase::Started(_)));
        let changes = filling.filter_map(|(key, run)| {
            let share = next_share(run.pace_percent, worst);
            (share != run.pace_percent).then_some((*key, share))
        });
        let changes: Vec<(RunKey, u32)> = changes.collect();
        for (key, percent) in changes {
            record.pace_due = now + PACE_INTERVAL;
            if let Some(run) = record.runs.get_mut(&key) {
                run.pace_percent = percent;
            }
            let target = record.stop_order(worker, key, epoch);
            let order = target.map(|target| PaceOrder { target, percent });
            self.actions.extend(order.map(PipelineAction::Pace));
        }
    }

    pub(super) fn is_retired(&self, id: PipelineId) -> bool {
        self.pipelines
            .get(&id)
            .is_none_or(|record| record.progress.phase.is_final() && record.progress.is_clear())
    }
}
