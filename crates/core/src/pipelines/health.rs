//! Workers that are slow, runs that stand still, and workers that leave.
//!
//! Load pattern: a part of the workers takes several times as long for everything,
//! or starts tasks that never move, while their reports look well.

use std::time::Duration;

use super::{
    messages::PipelineNote,
    spec::RunKey,
    state::PipelineState,
    worker::{RunPhase, WorkerRun},
};
use crate::types::WorkerId;

/// A run whose progress does not change for this time stands still. Reports come
/// each second, and a percent of the longest tasks takes less than that.
const STANDSTILL_TIME: Duration = Duration::from_secs(3);

/// A run that is paced below this share may show no progress, in percent.
const MOVING_SHARE: u32 = 50;

/// A worker that takes so many times as long as the others is not preferred, in
/// percent.
const SLOW_PERCENT: u64 = 220;

/// Runs are judged by their progress after this time.
const JUDGED_AFTER: Duration = Duration::from_millis(400);

/// Weight of a new sample is one part in this many.
const SAMPLE_PARTS: u64 = 6;

/// A worker's slowness halves its distance to the usual in this time, as there are
/// no samples of a worker that is not used.
const FORGETTING_TIME: Duration = Duration::from_secs(3);

/// Time before a worker leaves by which its runs are stopped: a stop, its report
/// and the commit.
const EMPTYING_TIME: Duration = Duration::from_millis(700);

/// Assumed time until a worker leaves that does not tell.
const ASSUMED_NOTICE: Duration = Duration::from_secs(2);

/// Usual run time as a part of the estimate, in percent, before any sample.
const USUAL_PERCENT: u64 = 100;

/// Run times at a worker as a part of their estimates, in percent.
#[derive(Clone, Copy, Debug)]
pub(super) struct WorkerSpeed {
    percent: u64,
    since: Duration,
}

impl Default for WorkerSpeed {
    fn default() -> Self {
        Self {
            percent: USUAL_PERCENT,
            since: Duration::ZERO,
        }
    }
}

impl WorkerSpeed {
    /// Returns the part, closer to `usual` the older the latest sample is.
    fn current(self, usual: u64, now: Duration) -> u64 {
        let halvings = now.saturating_sub(self.since).as_millis() / FORGETTING_TIME.as_millis();
        let halvings = u32::try_from(halvings).unwrap_or(u32::MAX).min(16);
        if self.percent > usual {
            usual + ((self.percent - usual) >> halvings)
        } else {
            self.percent
        }
    }

    fn add(&mut self, sample: u64, usual: u64, now: Duration) {
        let before = self.current(usual, now);
        self.percent = (before * (SAMPLE_PARTS - 1) + sample) / SAMPLE_PARTS;
        self.since = now;
    }

    /// Tells whether the worker is much slower than usual.
    pub(super) fn is_slow(self, usual: u64, now: Duration) -> bool {
        self.current(usual, now) * 100 > usual * SLOW_PERCENT
    }
}

/// Returns the expected run time as a part of the estimate, in percent, once the
/// progress of a run tells.
fn speed_sample(run: &WorkerRun, now: Duration) -> Option<u64> {
    let RunPhase::Started(at) = run.phase else {
        return None;
    };
    let elapsed = now.saturating_sub(at);
    let estimate = run.estimate.as_millis();
    if run.is_steady || estimate == 0 || elapsed < JUDGED_AFTER {
        return None;
    }
    // A run without progress has done at most one percent.
    let percent = u128::from(run.percent.max(1));
    let expected = elapsed.as_millis() * 100 / percent;
    u64::try_from(expected * 100 / estimate).ok()
}

impl PipelineState {
    /// Takes the progress of a worker's runs into its speed and the usual one.
    pub(super) fn note_speed(&mut self, worker: &WorkerId, now: Duration) {
        let usual = self.usual_percent;
        let Some(record) = self.workers.get_mut(worker) else {
            return;
        };
        let samples = record
            .runs
            .values()
            .filter_map(|run| speed_sample(run, now));
        let samples: Vec<u64> = samples.collect();
        if samples.is_empty() {
            return;
        }
        let mean = samples.iter().sum::<u64>() / samples.len() as u64;
        record.speed.add(mean, usual, now);
        // Slow workers hardly move the usual speed.
        let bounded = mean.min(usual * 2);
        let parts = SAMPLE_PARTS * 16;
        self.usual_percent = ((usual * (parts - 1) + bounded) / parts).max(1);
    }

    /// Stops runs that stand still, so that they start again elsewhere.
    pub(super) fn stop_still_runs(&mut self, now: Duration) {
        let still = self.workers.iter().flat_map(|(worker, record)| {
            // Without reports nothing is known of the progress.
            let reported_at = record.clock.map_or(Duration::ZERO, |(_, read_at)| read_at);
            let runs = record.runs.iter().filter(move |(_, run)| {
                matches!(run.phase, RunPhase::Started(_))
                    && !run.is_steady
                    && run.pace_percent >= MOVING_SHARE
                    && reported_at >= run.moved_at + STANDSTILL_TIME
            });
            runs.map(|(key, run)| (WorkerId::clone(worker), *key, run.percent, run.moved_at))
        });
        let still: Vec<(WorkerId, RunKey, u32, Duration)> = still.collect();
        for (worker, run, percent, moved_at) in still {
            if let Some(record) = self.workers.get_mut(&worker) {
                record.troubled_until = now + STANDSTILL_TIME * 2;
            }
            self.stop_run(&worker, run, now);
            self.note(PipelineNote::RunStalled {
                run,
                worker,
                percent,
                since: now.saturating_sub(moved_at),
            });
        }
    }

    /// Stops what runs on workers that are about to leave.
    pub(super) fn empty_leaving_workers(&mut self, now: Duration) {
        let due = self.workers.iter().filter(|(_, record)| {
            record.empty_at.is_some_and(|at| now >= at) && !record.runs.is_empty()
        });
        let due: Vec<WorkerId> = due.map(|(worker, _)| WorkerId::clone(worker)).collect();
        for worker in due {
            let Some(record) = self.workers.get_mut(&worker) else {
                continue;
            };
            record.empty_at = None;
            let runs = record.runs.iter();
            let runs = runs.filter(|(_, run)| !matches!(run.phase, RunPhase::Stopping(_)));
            let runs: Vec<RunKey> = runs.map(|(run, _)| *run).collect();
            for run in &runs {
                self.stop_run(&worker, *run, now);
            }
            self.note(PipelineNote::WorkerEvacuated {
                worker,
                runs: runs.len(),
            });
        }
    }
}

/// Returns when the runs of a worker that has begun to drain are stopped.
pub(super) fn empty_time(leaves_in: Option<Duration>, now: Duration) -> Duration {
    now + leaves_in
        .unwrap_or(ASSUMED_NOTICE)
        .saturating_sub(EMPTYING_TIME)
}
