//! Runs that have ended without a report of their end, and workers that may have been restarted.

use std::time::Duration;

use super::{
    messages::{LossCause, PipelineNote, StartAnswer, StartResult},
    spec::RunKey,
    state::PipelineState,
    worker::{RunPhase, WorkerContact, WorkerRecord, WorkerRun},
};
use crate::{instances::ClockReading, types::WorkerId};

impl PipelineState {
    /// Compares the clock in the answer to a start order with that of the known instance.
    ///
    /// If they agree, a run that was started is held for the lease that was granted. If not, the
    /// answer is that of an instance that the owner has not met, and the worker is claimed anew at
    /// once.
    pub(super) fn compare_clock(
        &mut self,
        worker: &WorkerId,
        run: RunKey,
        answer: StartAnswer,
        now: Duration,
    ) {
        let Some(record) = self.workers.get_mut(worker) else {
            return;
        };
        if answer.result != StartResult::NotSent {
            let entry = record.runs.get(&run);
            let released_at = entry.and_then(|entry| entry.ordered_at);
            record.record_deadline(released_at, answer.sent_at);
        }
        let Some(entry) = record.runs.get_mut(&run) else {
            return;
        };
        entry.record_answer(answer.result, now);
        let (Some(clock_ms), Some(instance)) = (answer.clock_ms, &record.instance) else {
            return;
        };
        let reading = ClockReading {
            clock_ms,
            sent_at: answer.sent_at,
            read_at: now,
        };
        let is_ordered = matches!(entry.phase, RunPhase::Ordered(_));
        let agrees = instance.reading().agrees_with(reading);
        match answer.result {
            _ if !is_ordered => {}
            result if agrees => {
                entry.is_located |= result == StartResult::Started && reading.is_exact();
                record.request_ack(now);
            }
            _ if record.contact == WorkerContact::Unclaimed => {}
            _ => {
                let note = PipelineNote::ClockDiffers {
                    worker: WorkerId::clone(worker),
                    run,
                    result: answer.result,
                    clock_ms,
                    expected_ms: instance.clock_at(now),
                };
                record.reset_claim(now);
                self.log_note(note);
            }
        }
    }

    /// Drops the runs that have ended as the lease of their worker has lapsed.
    pub(super) fn drop_lapsed_runs(&mut self, now: Duration) {
        let limits = self.order_limits();
        let lapsed = self.workers.iter().filter(|(_, record)| {
            let mut runs = record.runs.values();
            record.contact != WorkerContact::Claimed
                && runs.any(|run| now >= record.run_lapses_at(run, limits))
        });
        let lapsed: Vec<WorkerId> = lapsed.map(|(id, _)| WorkerId::clone(id)).collect();
        for worker in lapsed {
            let Some(record) = self.workers.get_mut(&worker) else {
                continue;
            };
            record.reset_claim(now);
            self.drop_runs(&worker, LossCause::LeaseLapsed, now, |record, run| {
                now >= record.run_lapses_at(run, limits)
            });
        }
    }

    /// Removes the runs of a worker that are known to have ended.
    pub(super) fn drop_runs(
        &mut self,
        worker: &WorkerId,
        cause: LossCause,
        now: Duration,
        has_ended: impl Fn(&WorkerRecord, &WorkerRun) -> bool,
    ) {
        let Some(record) = self.workers.get(worker) else {
            return;
        };
        let ended: Vec<(RunKey, &WorkerRun)> = record
            .runs
            .iter()
            .filter(|(_, entry)| has_ended(record, entry))
            .map(|(run, entry)| (*run, entry))
            .collect();
        let is_unreported = |entry: &WorkerRun| {
            let ordered_at = entry.ordered_at;
            ordered_at.is_some_and(|ordered_at| ordered_at >= record.reported_at)
        };
        let unreported = ended.iter().filter(|(_, entry)| is_unreported(entry));
        let long_running = ended.iter().filter(|(_, entry)| entry.is_long_running);
        let note = PipelineNote::WorkerLost {
            worker: WorkerId::clone(worker),
            runs: ended.len(),
            kept: record.runs.len() - ended.len(),
            long_running: long_running.count(),
            silent_for: now.saturating_sub(record.answered_at),
            unreported: unreported.count(),
            ordered_ago: record.deadline_sent_at.map(|at| now.saturating_sub(at)),
            cause,
        };
        let ended = ended.iter().map(|(run, entry)| (*run, entry.placed_at));
        let ended: Vec<(RunKey, Duration)> = ended.collect();
        self.log_note(note);
        for (run, placed_at) in ended {
            self.log_lost_run(worker, run, placed_at, now);
            self.drop_run(worker, run, now);
        }
    }

    /// Removes a run that is not on the worker, so that its task is placed again.
    pub(super) fn drop_run(&mut self, worker: &WorkerId, run: RunKey, now: Duration) {
        self.remove_run(worker, run);
        self.apply_run_end(run, None, now);
    }

    /// Logs a run that has ended without a report of its end.
    pub(super) fn log_lost_run(
        &mut self,
        worker: &WorkerId,
        run: RunKey,
        placed_at: Duration,
        now: Duration,
    ) {
        self.log_note(PipelineNote::RunEnded {
            run,
            worker: WorkerId::clone(worker),
            end: None,
            age: now.saturating_sub(placed_at),
        });
    }
}
