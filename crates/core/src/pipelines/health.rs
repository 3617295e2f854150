//! Detection of slow workers and stalled runs, and evacuation of leaving workers.
//!
//! Load pattern: some of the workers take several times as long for all tasks, or start
//! tasks that make no progress, while they answer renewals as usual.

use std::time::Duration;

use super::{
    messages::PipelineNote,
    spec::RunKey,
    state::PipelineState,
    worker::{RunPhase, WorkerRun},
};
use crate::{instances::SAMPLE_WEIGHT_DIVISOR, types::WorkerId};

/// Shortest time without a change of its progress after which a run counts as stalled. Reports
/// arrive each second.
const MIN_STALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of percent that a run could have done in the time after which it counts as stalled.
/// Estimates are rough, and slow workers take several times as long.
const STALL_PERCENT: u32 = 10;

/// Number of attempts after which the time doubles with each further one, so that a task whose
/// estimate is far too short still ends.
const ATTEMPTS_BEFORE_DOUBLING: u32 = 3;

/// Largest number of doublings.
const MAX_DOUBLINGS: u32 = 6;

/// Lowest CPU share of a run that is checked for stalls, in percent. Below it a run may
/// show no progress although it is not stalled.
const MIN_STALL_CHECK_SHARE_PERCENT: u32 = 50;

/// Minimum age of a run whose progress is used as a sample.
const MIN_SAMPLE_AGE: Duration = Duration::from_millis(400);

/// Time before the departure of a worker at which its runs are stopped. It covers the
/// stop order, the report of the end and the commit.
const EVACUATION_TIME: Duration = Duration::from_millis(700);

/// Assumed time until a draining worker leaves that has not announced it.
const DEFAULT_LEAVE_NOTICE: Duration = Duration::from_secs(2);

/// Returns the ratio of the expected run time of a run to its estimate, in percent, or
/// `None` if its progress does not allow a prediction.
fn ratio_sample(run: &WorkerRun, now: Duration) -> Option<u64> {
    let RunPhase::Started(at) = run.phase else {
        return None;
    };
    let elapsed = now.saturating_sub(at);
    let estimate = run.estimate.as_millis();
    if run.is_progress_ignored || estimate == 0 || elapsed < MIN_SAMPLE_AGE {
        return None;
    }
    // A run that reports no progress has done at most one percent.
    let percent = u128::from(run.progress_percent.max(1));
    let expected = elapsed.as_millis() * 100 / percent;
    u64::try_from(expected * 100 / estimate).ok()
}

/// Returns the time without a change of its progress after which a run counts as stalled. It
/// follows from the time that one percent takes, by the estimate and by the progress so far.
fn stall_timeout(run: RunKey, entry: &WorkerRun, started_at: Duration) -> Duration {
    let estimated = entry.estimate / 100;
    let worked = entry.progressed_at.saturating_sub(started_at);
    let measured = worked / entry.progress_percent.max(1);
    let doublings = run.attempt.saturating_sub(ATTEMPTS_BEFORE_DOUBLING);
    let timeout = (estimated.max(measured) * STALL_PERCENT).max(MIN_STALL_TIMEOUT);
    timeout * (1 << doublings.min(MAX_DOUBLINGS))
}

/// Returns whether the latest report shows that a run has made no progress for too long.
fn is_stalled(run: RunKey, entry: &WorkerRun, reported_at: Duration) -> bool {
    match entry.phase {
        RunPhase::Started(at)
            if !entry.is_progress_ignored
                && entry.pace_percent >= MIN_STALL_CHECK_SHARE_PERCENT =>
        {
            reported_at >= entry.progressed_at + stall_timeout(run, entry, at)
        }
        _ => false,
    }
}

impl PipelineState {
    /// Updates the run time ratio of a worker, and the typical one, from the progress of
    /// its runs.
    pub(super) fn update_runtime_ratios(&mut self, worker: &WorkerId, now: Duration) {
        let typical = self.typical_ratio_percent;
        let Some(record) = self.workers.get_mut(worker) else {
            return;
        };
        let samples = record
            .runs
            .values()
            .filter_map(|run| ratio_sample(run, now));
        let samples: Vec<u64> = samples.collect();
        if samples.is_empty() {
            return;
        }
        let mean = samples.iter().sum::<u64>() / samples.len() as u64;
        if let Some(instance) = &mut record.instance {
            instance.runtime_ratio.add_sample(mean, typical, now);
        }
        // Limits the effect of slow workers on the typical ratio.
        let bounded = mean.min(typical * 2);
        let divisor = SAMPLE_WEIGHT_DIVISOR * 16;
        self.typical_ratio_percent = ((typical * (divisor - 1) + bounded) / divisor).max(1);
    }

    /// Stops stalled runs, so that their tasks are placed again.
    pub(super) fn stop_stalled_runs(&mut self, now: Duration) {
        let stalled = self.workers.iter().flat_map(|(worker, record)| {
            // Without a recent report, the progress is unknown.
            let instance = record.instance.as_ref();
            let reported_at =
                instance.map_or(Duration::ZERO, |instance| instance.reading().read_at);
            let runs = record.runs.iter();
            let runs = runs.filter(move |(key, run)| is_stalled(**key, run, reported_at));
            runs.map(|(key, run)| {
                (
                    WorkerId::clone(worker),
                    *key,
                    run.progress_percent,
                    run.progressed_at,
                )
            })
        });
        let stalled: Vec<(WorkerId, RunKey, u32, Duration)> = stalled.collect();
        for (worker, run, percent, progressed_at) in stalled {
            let record = self.workers.get_mut(&worker);
            if let Some(instance) = record.and_then(|record| record.instance.as_mut()) {
                instance.penalized_until = now + MIN_STALL_TIMEOUT * 2;
            }
            self.stop_run(&worker, run, now);
            self.log_note(PipelineNote::RunStalled {
                run,
                worker,
                percent,
                stalled_for: now.saturating_sub(progressed_at),
            });
        }
    }

    /// Stops the runs of workers that are about to leave, so that their tasks are placed
    /// elsewhere.
    pub(super) fn evacuate_leaving_workers(&mut self, now: Duration) {
        let due = self.workers.iter().filter(|(_, record)| {
            let is_due = record.evacuate_at.is_some_and(|at| now >= at);
            is_due && record.has_current_entry() && !record.runs.is_empty()
        });
        let due: Vec<WorkerId> = due.map(|(worker, _)| WorkerId::clone(worker)).collect();
        for worker in due {
            let Some(record) = self.workers.get_mut(&worker) else {
                continue;
            };
            record.evacuate_at = None;
            let runs = record.runs.iter();
            let runs = runs.filter(|(_, run)| !matches!(run.phase, RunPhase::Stopping(_)));
            let runs: Vec<RunKey> = runs.map(|(run, _)| *run).collect();
            for run in &runs {
                self.stop_run(&worker, *run, now);
            }
            self.log_note(PipelineNote::WorkerEvacuated {
                worker,
                runs: runs.len(),
            });
        }
    }
}

/// Returns the time at which the runs of a worker are stopped whose entry was read at `now`. The
/// entry was written this `age` before.
pub(super) fn evacuation_start(
    leaves_in: Option<Duration>,
    age: Duration,
    now: Duration,
) -> Duration {
    now + leaves_in
        .unwrap_or(DEFAULT_LEAVE_NOTICE)
        .saturating_sub(age + EVACUATION_TIME)
}
