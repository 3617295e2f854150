//! Handling of the reports of workers: runs that are present and runs that have ended.

use std::{collections::BTreeSet, time::Duration};

use super::{
    messages::{
        EndedRun, ObservedRun, PaceOrder, PipelineAction, PipelineNote, RenewalReport,
        RenewalStamp, RunEnd,
    },
    pace::next_share_percent,
    progress::{PipelinePhase, TaskPlace},
    spec::{PipelineId, RunKey, TaskKey},
    state::PipelineState,
    worker::{ORDER_TRANSIT_TIME, RenewalStatus, ReportStatus, RunPhase, WorkerContact, WorkerRun},
};
use crate::{
    instances::{ClockReading, PROBE_TIME, WorkerInstance, lapse_time},
    types::WorkerId,
};

/// Minimum time between two changes of the shares on a worker. A report covers half a
/// second.
const PACE_INTERVAL: Duration = Duration::from_millis(400);

/// Delay of the next renewal while ends are not acknowledged as start orders have no answer: the
/// worker answers at once while it has ends.
const WITHHELD_RENEWAL_INTERVAL: Duration = Duration::from_millis(100);

/// Delay of the next renewal while reported ends wait to become durable.
const UNACKED_RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

impl PipelineState {
    /// Handles the answer of a worker to a renewal with this stamp: claims the worker, applies the
    /// ends, and compares the runs with those that are expected.
    pub(super) fn handle_renewal_report(
        &mut self,
        worker: &WorkerId,
        stamp: RenewalStamp,
        report: &RenewalReport,
        now: Duration,
    ) {
        let Some(record) = self.workers.get_mut(worker) else {
            return;
        };
        // A report under a former claim says nothing about orders that may have arrived since.
        if stamp.token != record.token(self.epoch) {
            return;
        }
        let sent_at = stamp.sent_at;
        record.renewal = RenewalStatus::Settled;
        record.answered_at = now;
        record.reported_at = sent_at;
        let reading = ClockReading {
            clock_ms: report.clock_ms,
            sent_at,
            read_at: now,
        };
        match &mut record.instance {
            Some(instance) if instance.started_unix_ms != report.started_unix_ms => {
                let is_fenced = !record.is_token_used;
                self.handle_worker_restart(worker, reading, report, now);
                // Start orders with the token of this renewal may have reached the new instance.
                if !is_fenced {
                    return;
                }
            }
            Some(instance) => {
                instance.set_reading(reading);
                record.settle_ack(&report.ended);
                if record.contact == WorkerContact::Claimed {
                    self.responses.record_outcome(true);
                }
            }
            None => {
                let instance = self.create_instance(report.started_unix_ms, reading);
                self.insert_instance(worker, instance);
            }
        }
        self.claim_worker(worker, report, now);
        let Some(processed) = self.processed_end(worker) else {
            return;
        };
        let ended = report.ended.iter().filter(|end| end.number > processed);
        let ended: Vec<&EndedRun> = ended.collect();
        for end in &ended {
            self.handle_run_end(worker, end, now);
        }
        self.update_reported_runs(worker, &report.running, now);
        self.record_holders(worker, &report.running);
        self.drop_missing_runs(worker, report, sent_at, now);
        self.update_runtime_ratios(worker, now);
        self.pace_best_effort_runs(worker, now);
        let last_end = ended.last().map(|end| end.number);
        self.schedule_renewal(worker, last_end, now);
    }

    fn insert_instance(&mut self, worker: &WorkerId, instance: WorkerInstance) {
        if let Some(record) = self.workers.get_mut(worker) {
            record.meet_instance(instance);
        }
    }

    /// Returns the number of the last end of the known instance that was handled.
    fn processed_end(&self, worker: &WorkerId) -> Option<u64> {
        let instance = self.workers.get(worker)?.instance.as_ref()?;
        Some(instance.ends.processed())
    }

    /// Claims a worker whose instance has answered with the current token.
    fn claim_worker(&mut self, worker: &WorkerId, report: &RenewalReport, now: Duration) {
        let limits = self.order_limits();
        let Some(record) = self.workers.get_mut(worker) else {
            return;
        };
        let former_contact = record.contact;
        record.contact = WorkerContact::Claimed;
        if former_contact == WorkerContact::Unclaimed {
            // The claim fences the previous owner, which may have granted a lease just before.
            record.inherited_until = Duration::ZERO;
            let former = record.former_order_lease(limits, now);
            if let Some(instance) = &mut record.instance {
                instance.assume_lease(self.config.inherited_lease.max(former));
            }
        }
        if former_contact != WorkerContact::Claimed {
            self.is_placement_due = true;
            let note = PipelineNote::WorkerClaimed {
                worker: WorkerId::clone(worker),
                running: report.running.len(),
                ended: report.ended.len(),
                started_unix_ms: report.started_unix_ms,
                token: record.token(self.epoch),
                lapses_in: record.lapses_at().saturating_sub(now),
            };
            self.actions.push(PipelineAction::Log(note));
        }
    }

    /// Sets the time of the next renewal after a report, whose last new end has this number. The
    /// ends are acknowledged once the changes made so far are durable.
    fn schedule_renewal(&mut self, worker: &WorkerId, last_end: Option<u64>, now: Duration) {
        let (serial, durable) = (self.serial, self.durable_serial);
        let Some(record) = self.workers.get_mut(worker) else {
            return;
        };
        record.renewal_due = now;
        let has_open_orders = record.can_have_runs_elsewhere();
        let Some(instance) = &mut record.instance else {
            return;
        };
        if let Some(end) = last_end {
            instance.ends.record_processed(end, serial);
        }
        instance.ends.record_durable(durable);
        if instance.ends.has_pending() {
            record.renewal_due = now + UNACKED_RENEWAL_INTERVAL;
        } else if has_open_orders && last_end.is_none() && instance.ends.is_withheld() {
            record.renewal_due = now + WITHHELD_RENEWAL_INTERVAL;
        }
    }

    /// Handles the first report of a new instance of a worker.
    ///
    /// Start orders for the former instance may have reached the new one, or may still do so.
    /// Until the new instance is claimed with a token that fences them, a run is known to have
    /// ended only if it was present before the renewal was sent and is not in the report.
    fn handle_worker_restart(
        &mut self,
        worker: &WorkerId,
        reading: ClockReading,
        report: &RenewalReport,
        now: Duration,
    ) {
        let running = report.running.iter().map(|observed| observed.run);
        let ended = report.ended.iter().map(|end| end.run);
        let present: BTreeSet<RunKey> = running.chain(ended).collect();
        let has_ended = |run: &RunKey, entry: &WorkerRun| {
            matches!(entry.phase, RunPhase::Started(at) if at < reading.sent_at)
                && !present.contains(run)
                && !report.has_more_ends
        };
        let suspects = self.blame_runs(worker, has_ended);
        let instance = self.create_instance(report.started_unix_ms, reading);
        let Some(record) = self.workers.get_mut(worker) else {
            return;
        };
        let former = record.meet_instance(instance);
        record.contact = WorkerContact::Unclaimed;
        record.is_ack_pending = false;
        if record.is_token_used {
            record.reset_claim(now);
            record.inherited_until = now + ORDER_TRANSIT_TIME + lapse_time(self.config.max_lease);
        }
        let (mut lost, mut stopping) = (Vec::new(), Vec::new());
        for (run, entry) in &mut record.runs {
            entry.is_located = false;
            entry.holder = None;
            match entry.phase {
                _ if has_ended(run, entry) => lost.push((*run, entry.placed_at)),
                RunPhase::Stopping(_) => {
                    // Only the former instance may have confirmed the stop.
                    entry.phase = RunPhase::Stopping(None);
                    stopping.push(*run);
                }
                _ => entry.phase = RunPhase::Inherited,
            }
        }
        self.log_note(PipelineNote::WorkerRestarted {
            worker: WorkerId::clone(worker),
            lost: lost.len(),
            running: report.running.len(),
            ended: report.ended.len(),
            started_unix_ms: report.started_unix_ms,
            former_started_unix_ms: former.map_or(0, |former| former.started_unix_ms),
        });
        for (run, placed_at) in lost {
            self.log_lost_run(worker, run, placed_at, now);
            self.drop_run(worker, run, now);
        }
        for run in stopping {
            self.stop_run(worker, run, now);
        }
        self.fail_crashing_jobs(&suspects, now);
    }

    /// Updates the runs that a worker reports as present, and stops those that are not
    /// placed on it.
    fn update_reported_runs(&mut self, worker: &WorkerId, running: &[ObservedRun], now: Duration) {
        let (mut unexpected, mut started_jobs, mut held) = (Vec::new(), Vec::new(), Vec::new());
        for observed in running {
            let Some(record) = self.workers.get_mut(worker) else {
                return;
            };
            let instance = record.instance.as_ref();
            let started_ms = instance.map(|instance| instance.started_unix_ms);
            match record.runs.get_mut(&observed.run) {
                Some(entry) => {
                    entry.holder = entry.holder.filter(|holder| Some(*holder) == started_ms);
                    entry.report = ReportStatus::Reported;
                    entry.is_located = true;
                    if matches!(entry.phase, RunPhase::Inherited | RunPhase::Ordered(_)) {
                        entry.phase = RunPhase::Started(now);
                        entry.progressed_at = now;
                        started_jobs.push(observed.run.task.step.pipeline);
                    }
                    if observed.percent != entry.progress_percent {
                        entry.progress_percent = observed.percent;
                        entry.progressed_at = now;
                    }
                    if entry.target_tail_ms.is_some() {
                        entry.tail_ms = observed.load;
                    }
                    match entry.phase {
                        RunPhase::Started(at) if now >= at + PROBE_TIME => {
                            held.push((observed.run, entry.placed_at));
                        }
                        _ => {}
                    }
                    self.update_checkpoint(observed.run, &observed.checkpoint);
                }
                None => unexpected.push(observed.run),
            }
        }
        for id in started_jobs {
            self.mark_running(id);
        }
        for (run, placed_at) in held {
            self.record_run_success(worker, run, placed_at);
        }
        for run in unexpected {
            self.log_note(PipelineNote::UnexpectedRun {
                run,
                worker: WorkerId::clone(worker),
            });
            let step_spec = self.step_spec(run.task.step).cloned().unwrap_or_default();
            let entry = WorkerRun::new(&step_spec, RunPhase::Stopping(None), now);
            self.insert_run(worker, run, entry);
            self.stop_run(worker, run, now);
        }
    }

    /// Makes durable which instance holds the lasting runs of a worker, so that a successor that
    /// cannot reach it waits for the granted lease only.
    ///
    /// That is known once no order for the run can reach another instance, and no order for a former
    /// instance can have granted a longer lease than the orders on this one's clock.
    fn record_holders(&mut self, worker: &WorkerId, running: &[ObservedRun]) {
        let predecessors_end = self.order_limits().predecessors_end;
        let Some(record) = self.workers.get(worker) else {
            return;
        };
        let holder = match &record.instance {
            Some(instance) if instance.has_only_ordered_lease() => instance.started_unix_ms,
            _ => return,
        };
        let held = running.iter().filter(|observed| {
            let entry = record.runs.get(&observed.run);
            entry.is_some_and(|entry| {
                let reported_at = record.reported_at;
                let inherited_order = entry.inherited_order_at(predecessors_end, reported_at);
                entry.is_long_running
                    && !entry.can_be_elsewhere(reported_at)
                    && inherited_order.is_none()
            })
        });
        let held: Vec<RunKey> = held.map(|observed| observed.run).collect();
        for run in held {
            let id = run.task.step.pipeline;
            let pipeline = self.pipelines.get_mut(&id);
            let task = pipeline.and_then(|pipeline| pipeline.progress.task_mut(run.task));
            match task {
                Some(task) if task.attempt == run.attempt && task.holder != Some(holder) => {
                    task.holder = Some(holder);
                    self.mark_dirty(id);
                }
                _ => {}
            }
        }
    }

    /// Drops the runs that are missing from the report of their worker, which is claimed.
    fn drop_missing_runs(
        &mut self,
        worker: &WorkerId,
        report: &RenewalReport,
        sent_at: Duration,
        now: Duration,
    ) {
        let Some(record) = self.workers.get(worker) else {
            return;
        };
        // A missing run may be among the ends that follow once these are acknowledged.
        if report.has_more_ends {
            return;
        }
        let present = report.running.iter().map(|observed| observed.run);
        let present: BTreeSet<RunKey> = present.collect();
        let missing = record.runs.iter().filter(|(run, entry)| {
            let is_expected = match entry.phase {
                RunPhase::Inherited => true,
                // An answer on another connection may be newer than the report.
                RunPhase::Started(at) | RunPhase::Stopping(Some(at)) => at < sent_at,
                RunPhase::Ordered(_) | RunPhase::Stopping(None) => false,
            };
            is_expected && !present.contains(run)
        });
        let missing: Vec<(RunKey, Duration)> = missing
            .map(|(run, entry)| (*run, entry.placed_at))
            .collect();
        for (run, placed_at) in missing {
            self.log_lost_run(worker, run, placed_at, now);
            self.drop_run(worker, run, now);
        }
    }

    /// Handles a reported end: frees the resources of the run, and updates the penalty of
    /// the worker and the progress of the job.
    fn handle_run_end(&mut self, worker: &WorkerId, ended: &EndedRun, now: Duration) {
        let run = self.remove_run(worker, ended.run);
        let placed_at = run.as_ref().map_or(now, |run| run.placed_at);
        match ended.end {
            RunEnd::Done => {
                if let Some(instance) = self.instance_mut(worker) {
                    instance.consecutive_failures = 0;
                }
                self.record_run_success(worker, ended.run, placed_at);
            }
            RunEnd::Failed => self.record_run_failure(worker, ended.run, placed_at, now),
            _ => {}
        }
        if ended.end != RunEnd::Done {
            let age = run.map_or(Duration::ZERO, |run| now.saturating_sub(run.placed_at));
            self.log_note(PipelineNote::RunEnded {
                run: ended.run,
                worker: WorkerId::clone(worker),
                end: Some(ended.end),
                age,
            });
        }
        self.update_checkpoint(ended.run, &ended.checkpoint);
        self.apply_run_end(ended.run, Some(ended.end), now);
    }

    /// Stores the checkpoint of a run if it is the latest attempt of its task.
    fn update_checkpoint(&mut self, run: RunKey, checkpoint: &str) {
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

    /// Applies the end of a run to the progress of its job. `end` is `None` if the run
    /// was not started, or disappeared without a reported end.
    pub(super) fn apply_run_end(&mut self, run: RunKey, end: Option<RunEnd>, now: Duration) {
        // The resources of the run are free again.
        self.is_placement_due = true;
        let key = run.task.step;
        let Some(step_spec) = self.step_spec(key).cloned() else {
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
        let mut failures = 0;
        match end {
            // All members of a gang are done once one of them is.
            Some(RunEnd::Done) if step_spec.gang && !step_spec.long_running => {
                for index in 0..step_spec.count {
                    record.complete_task(TaskKey { step: key, index });
                }
            }
            Some(RunEnd::Done) if !step_spec.long_running => record.complete_task(run.task),
            _ => record.set_place(run.task, TaskPlace::Waiting),
        }
        match end {
            Some(RunEnd::Failed) if step_spec.gang => {
                if let Some(step) = record.progress.step_mut(key) {
                    if run.attempt > step.gang_failed_attempt {
                        step.gang_failed_attempt = run.attempt;
                        step.gang_failures += 1;
                    }
                    failures = step.gang_failures;
                }
            }
            Some(RunEnd::Failed) => {
                if let Some(task) = record.progress.task_mut(run.task) {
                    if run.attempt > task.failed_attempt {
                        task.failed_attempt = run.attempt;
                        task.failures += 1;
                    }
                    failures = task.failures;
                }
            }
            _ => {}
        }
        let has_exhausted_attempts = failures >= max_attempts && !step_spec.long_running;
        if has_exhausted_attempts && !record.progress.phase.is_final() {
            record.progress.phase = PipelinePhase::Failed;
            self.log_note(PipelineNote::Failed {
                run,
                failures,
                max_attempts,
            });
            self.stop_pipeline(key.pipeline, now);
        } else if step_spec.gang && end != Some(RunEnd::Done) {
            self.stop_gang(key, now);
        }
        self.mark_dirty(key.pipeline);
        if has_exhausted_attempts {
            self.clear_ready_steps(key.pipeline);
        }
        if self.refresh_after_end(key) {
            self.complete_pipeline(key.pipeline);
            self.add_due_occurrences(key.pipeline);
        }
    }

    /// Moves a job to the completed phase if all of its occurrences are done.
    fn complete_pipeline(&mut self, id: PipelineId) {
        let Some(record) = self.pipelines.get_mut(&id) else {
            return;
        };
        if record.progress.phase.is_final() {
            return;
        }
        let occurrences = record
            .spec
            .schedule
            .map_or(1, |schedule| schedule.occurrences);
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
            self.log_note(note);
        }
    }

    /// Adjusts the CPU share of the best-effort tasks of a worker to the tail latency of
    /// its serving tasks.
    fn pace_best_effort_runs(&mut self, worker: &WorkerId, now: Duration) {
        let epoch = self.epoch;
        let Some(record) = self.workers.get_mut(worker) else {
            return;
        };
        match &record.instance {
            Some(instance) if now >= instance.pace_due => {}
            _ => return,
        }
        let tails = record.runs.values().filter_map(|run| {
            let objective = run.target_tail_ms?;
            Some(run.tail_ms? * 100 / objective.max(1))
        });
        let worst_tail_percent = tails.max().unwrap_or(0);
        let best_effort = record.runs.iter().filter(|(_, run)| {
            run.best_effort_cpu_milli > 0 && matches!(run.phase, RunPhase::Started(_))
        });
        let changes = best_effort.filter_map(|(key, run)| {
            let share = next_share_percent(run.pace_percent, worst_tail_percent);
            (share != run.pace_percent).then_some((*key, share))
        });
        let changes: Vec<(RunKey, u32)> = changes.collect();
        for (key, percent) in changes {
            if let Some(instance) = &mut record.instance {
                instance.pace_due = now + PACE_INTERVAL;
            }
            if let Some(run) = record.runs.get_mut(&key) {
                run.pace_percent = percent;
            }
            let target = record.stop_order(worker, key, epoch);
            let order = target.map(|target| PaceOrder { target, percent });
            self.actions.extend(order.map(PipelineAction::Pace));
        }
    }

    /// Returns whether a job is over and none of its tasks is placed on a worker. Only the
    /// phase of such a job is kept.
    pub(super) fn is_retired(&self, id: PipelineId) -> bool {
        self.pipelines
            .get(&id)
            .is_none_or(|record| record.progress.phase.is_final() && record.progress.is_unplaced())
    }
}
