//! Tasks under which workers crash.
//!
//! Load pattern: a few tasks crash each worker that starts them. Each crash takes the other
//! runs of the worker with it, so such a task is distinguished from those beside it, and
//! its job fails after a few crashes.

use std::time::Duration;

use super::{
    messages::PipelineNote,
    progress::PipelinePhase,
    spec::RunKey,
    state::PipelineState,
    worker::{ReportStatus, RunPhase, WorkerRun},
};
use crate::types::WorkerId;

/// Weight of a crash for a task that is its likely cause.
pub(super) const BLAME_WEIGHT: u32 = 2;

/// Weight of a crash for the other tasks on the worker.
const PRESENCE_WEIGHT: u32 = 1;

/// Suspicion at which a task is given up: after three crashes of which it is the likely cause,
/// and after five in any case.
const MAX_SUSPICION: u32 = 5;

/// Age of a run that has shown that its task does not crash its workers.
const PROVEN_RUN_AGE: Duration = Duration::from_secs(30);

/// A run on a crashed worker.
#[derive(Clone, Copy, Debug)]
struct CrashedRun {
    run: RunKey,
    /// Whether a report has listed the run, so that it did not crash the worker at once.
    is_reported: bool,
    /// Suspicion before the crash.
    suspicion: u32,
}

impl PipelineState {
    /// Raises the suspicion of the tasks whose runs have ended with their worker, which has
    /// crashed. Returns the runs whose jobs are to fail once the runs are dropped.
    ///
    /// The likely causes are the runs that no report has listed yet, as most such tasks crash
    /// their workers when they start, and among these the tasks that are suspects already.
    pub(super) fn blame_runs(
        &mut self,
        worker: &WorkerId,
        has_ended: impl Fn(&RunKey, &WorkerRun) -> bool,
    ) -> Vec<RunKey> {
        let runs = self.crashed_runs(worker, has_ended);
        let has_unreported = runs.iter().any(|entry| !entry.is_reported);
        let is_possible = |entry: &CrashedRun| !(has_unreported && entry.is_reported);
        let has_suspect = runs
            .iter()
            .any(|entry| is_possible(entry) && entry.suspicion >= BLAME_WEIGHT);
        let mut exhausted = Vec::new();
        for entry in runs {
            let is_likely = is_possible(&entry) && !(has_suspect && entry.suspicion < BLAME_WEIGHT);
            let weight = if is_likely {
                BLAME_WEIGHT
            } else {
                PRESENCE_WEIGHT
            };
            let suspicion = entry.suspicion + weight;
            self.set_suspicion(entry.run, suspicion);
            if is_likely {
                self.log_note(PipelineNote::CrashBlamed {
                    run: entry.run,
                    worker: WorkerId::clone(worker),
                    suspicion,
                    max_suspicion: MAX_SUSPICION,
                });
            }
            if suspicion >= MAX_SUSPICION {
                exhausted.push(entry.run);
            }
        }
        exhausted
    }

    /// Returns the runs that a crashed worker had started and that have ended with it, if they
    /// are the latest of their tasks and have not been at work for long.
    fn crashed_runs(
        &mut self,
        worker: &WorkerId,
        has_ended: impl Fn(&RunKey, &WorkerRun) -> bool,
    ) -> Vec<CrashedRun> {
        let Some(record) = self.workers.get(worker) else {
            return Vec::new();
        };
        let instance = record.instance.as_ref();
        let seen_at = instance.map_or(Duration::ZERO, |instance| instance.reading().read_at);
        // An order without an answer may have been sent after the crash. Such a worker is
        // preferred for suspects until the crash is noticed, as it has the fewest runs.
        let is_started = |entry: &WorkerRun| matches!(entry.phase, RunPhase::Started(_));
        let runs = record.runs.iter();
        let runs = runs.filter(|(run, entry)| is_started(entry) && has_ended(run, entry));
        let runs: Vec<(RunKey, bool, Duration)> = runs
            .map(|(run, entry)| {
                let age = seen_at.saturating_sub(entry.placed_at);
                (*run, entry.report == ReportStatus::Reported, age)
            })
            .collect();
        let mut crashed = Vec::new();
        for (run, is_reported, age) in runs {
            if age >= PROVEN_RUN_AGE {
                self.set_suspicion(run, 0);
            } else if let Some(suspicion) = self.suspicion(run) {
                crashed.push(CrashedRun {
                    run,
                    is_reported,
                    suspicion,
                });
            }
        }
        crashed
    }

    /// Returns the suspicion of a task if the run is its latest.
    fn suspicion(&self, run: RunKey) -> Option<u32> {
        let record = self.pipelines.get(&run.task.step.pipeline)?;
        let task = record.progress.task(run.task)?;
        (task.attempt == run.attempt).then_some(task.suspicion)
    }

    fn set_suspicion(&mut self, run: RunKey, suspicion: u32) {
        let Some(record) = self.pipelines.get_mut(&run.task.step.pipeline) else {
            return;
        };
        match record.progress.task_mut(run.task) {
            Some(task) if task.attempt == run.attempt && task.suspicion != suspicion => {
                task.suspicion = suspicion;
                self.mark_dirty(run.task.step.pipeline);
            }
            _ => {}
        }
    }

    /// Fails the jobs of the given runs, as their tasks crash their workers.
    pub(super) fn fail_crashing_jobs(&mut self, runs: &[RunKey], now: Duration) {
        for run in runs {
            let id = run.task.step.pipeline;
            match self.pipelines.get_mut(&id) {
                Some(record) if !record.progress.phase.is_final() => {
                    record.progress.phase = PipelinePhase::Failed;
                    self.log_note(PipelineNote::GivenUp { run: *run });
                    self.stop_pipeline(id, now);
                    self.mark_dirty(id);
                    self.clear_ready_steps(id);
                }
                _ => {}
            }
        }
    }
}
