//! Preemption of runs that resume from a checkpoint, for urgent work.
//!
//! Load pattern: twice the usual number of short urgent jobs arrive for some seconds while wide
//! jobs keep the service full. The urgent jobs are late within less than a second, and wait for runs
//! of several seconds. The wide jobs have many seconds left until their objectives, and what they
//! have done is kept when they are stopped.

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use super::{
    headroom::has_slack,
    messages::PipelineNote,
    place::PlacementTable,
    queue::StepPunctuality,
    spec::{RunKey, StepKey, StepSpec, TaskKey},
    state::PipelineState,
    worker::{RunPhase, WorkerContact, WorkerRecord, WorkerRun},
};
use crate::{instances::WorkerStanding, types::WorkerId};

/// Free part of the capacity, in percent, below which urgent work has too little room.
const LOW_FREE_PERCENT: u64 = 3;

/// Free part of the capacity that is made available then, in percent.
const GOAL_FREE_PERCENT: u64 = 6;

/// Largest part of the capacity that is being stopped at a time, in percent.
const MAX_STOPPING_PERCENT: u64 = 20;

/// Largest number of times that a task is stopped for others.
const MAX_PREEMPTIONS: u8 = 2;

/// Rest of its run time from which a run is stopped. Others end by themselves as soon.
const MIN_REST: Duration = Duration::from_millis(800);

/// Shortest time between two preemptions. Runs take some time to end, and their ends to be reported.
const PREEMPTION_INTERVAL: Duration = Duration::from_millis(100);

/// What is known of earlier preemptions.
#[derive(Clone, Debug, Default)]
pub(super) struct PreemptionHistory {
    /// How often the tasks of the present jobs were stopped.
    counts: BTreeMap<TaskKey, u8>,
    /// Earliest time of the next preemption.
    due: Duration,
    /// Number of runs that were stopped.
    pub(super) total: u64,
}

impl PreemptionHistory {
    /// Forgets the tasks of a job.
    pub(super) fn remove_pipeline(&mut self, step: StepKey) {
        let first = TaskKey { step, index: 0 };
        let tasks = self.counts.range(first..);
        let tasks = tasks.map(|(task, _)| *task);
        let tasks: Vec<TaskKey> = tasks
            .take_while(|task| task.step.pipeline == step.pipeline)
            .collect();
        for task in tasks {
            self.counts.remove(&task);
        }
    }
}

/// A run that may be stopped, and the order in which that is done.
struct PreemptionCandidate {
    worker: WorkerId,
    run: RunKey,
    cpu_milli: u64,
    /// Whether the result of the job is of use, and the time left until its objective in ms. Jobs
    /// without use come first, and those with the most time.
    order: (bool, Reverse<u64>),
}

/// Returns whether tasks of a step resume where they were stopped.
const fn can_resume(step_spec: &StepSpec) -> bool {
    step_spec.checkpointing && !step_spec.gang && !step_spec.long_running && !step_spec.fills
}

/// Returns whether a run is present and would not end soon.
fn can_stop(entry: &WorkerRun, now: Duration) -> bool {
    let RunPhase::Started(_) = entry.phase else {
        return false;
    };
    let done = entry.estimate * entry.progress_percent.min(100) / 100;
    let since_report = now.saturating_sub(entry.progressed_at);
    let rest = entry.estimate.saturating_sub(done + since_report);
    rest >= MIN_REST
}

/// Returns whether urgent work can be placed on a worker at once.
fn is_usable(record: &WorkerRecord) -> bool {
    let instance = record.instance.as_ref();
    let is_proven =
        instance.is_some_and(|instance| instance.reliability.standing() == WorkerStanding::Proven);
    record.can_accept_tasks() && record.contact == WorkerContact::Claimed && is_proven
}

impl PipelineState {
    /// Stops runs of jobs with slack if the most urgent steps that can still be in time have too little
    /// room after a pass.
    pub(super) fn preempt_for_urgent(&mut self, table: &PlacementTable, now: Duration) {
        if now < self.preemptions.due {
            return;
        }
        let unplaced = self.unplaced_urgent_cpu();
        let total = table.total_cpu_milli();
        let free = table.usable_cpu_milli();
        let has_urgent = unplaced > 0 || free * 100 < total * LOW_FREE_PERCENT;
        if !has_urgent || !self.has_urgent_load() {
            return;
        }
        let stopping = self.stopping_cpu();
        let goal = unplaced + total * GOAL_FREE_PERCENT / 100;
        let missing = goal.saturating_sub(free + stopping);
        let limit = (total * MAX_STOPPING_PERCENT / 100).saturating_sub(stopping);
        let missing = missing.min(limit);
        if missing == 0 {
            return;
        }
        let mut candidates = self.preemption_candidates(now);
        candidates.sort_unstable_by_key(|candidate| (candidate.order, candidate.run));
        let (mut freed, mut stopped) = (0, 0);
        for candidate in candidates {
            if freed >= missing {
                break;
            }
            freed += candidate.cpu_milli;
            stopped += 1;
            let count = self.preemptions.counts.entry(candidate.run.task);
            *count.or_default() += 1;
            self.stop_run(&candidate.worker, candidate.run, now);
        }
        if stopped > 0 {
            self.preemptions.total += stopped;
            self.preemptions.due = now + PREEMPTION_INTERVAL;
            self.log_note(PipelineNote::RunsPreempted {
                runs: stopped,
                cpu_milli: freed,
                unplaced_cpu_milli: unplaced,
                free_cpu_milli: free,
            });
        }
    }

    /// Returns the CPU that the most urgent steps lack which can still be in time and which the
    /// caps of their teams admit.
    fn unplaced_urgent_cpu(&self) -> u64 {
        let urgent = self.ready.steps().filter(|(rank, _)| {
            let (is_expired, is_excess, priority, punctuality, _) = *rank;
            let can_be_in_time = punctuality != StepPunctuality::Late;
            !is_expired && !is_excess && can_be_in_time && priority == self.top_priority
        });
        let lacking = urgent.map(|(_, key)| {
            let record = self.pipelines.get(&key.pipeline);
            let step_spec = self.step_spec(key);
            let Some((record, step_spec)) = record.zip(step_spec) else {
                return 0;
            };
            if step_spec.long_running {
                return 0;
            }
            let progress = record.progress.step(key);
            let waiting = progress.map_or(0, |progress| progress.waiting_tasks().count());
            let team = record.spec.team.as_ref();
            let admitted = self.quotas.admit(team, &step_spec.demand, waiting);
            step_spec.occupied().cpu_milli * admitted as u64
        });
        lacking.sum()
    }

    /// Returns whether jobs of the most urgent queue are known that do not last.
    fn has_urgent_load(&self) -> bool {
        self.pipelines.values().any(|record| {
            record.spec.policy.priority == self.top_priority
                && !record.timing.is_long_running
                && !record.progress.phase.is_final()
        })
    }

    /// Returns the CPU of the runs that are being stopped.
    fn stopping_cpu(&self) -> u64 {
        let runs = self
            .workers
            .values()
            .flat_map(|record| record.runs.values());
        let stopping = runs.filter(|run| matches!(run.phase, RunPhase::Stopping(_)));
        stopping.map(|run| run.occupied.cpu_milli).sum()
    }

    /// Returns the runs that may be stopped for urgent work.
    fn preemption_candidates(&self, now: Duration) -> Vec<PreemptionCandidate> {
        let workers = self.workers.iter().filter(|(_, record)| is_usable(record));
        let runs = workers.flat_map(|(worker, record)| {
            let runs = record.runs.iter();
            runs.map(move |(run, entry)| (worker, run, entry))
        });
        let stoppable = runs.filter(|(_, run, entry)| {
            let count = self.preemptions.counts.get(&run.task).copied();
            can_stop(entry, now) && count.unwrap_or(0) < MAX_PREEMPTIONS
        });
        let candidates = stoppable.filter_map(|(worker, run, entry)| {
            let step = run.task.step;
            let record = self.pipelines.get(&step.pipeline)?;
            if !self.step_spec(step).is_some_and(can_resume) {
                return None;
            }
            let timing = &record.timing;
            let is_expired = timing.is_expired(&record.spec, step.occurrence, self.wall_ms);
            let is_useless = is_expired || timing.is_excess;
            let slack = has_slack(record, step.occurrence, self.top_priority, self.wall_ms);
            let objective = timing.objective_unix_ms(&record.spec, step.occurrence);
            let left_ms = objective.saturating_sub(self.wall_ms);
            (slack || is_useless).then(|| PreemptionCandidate {
                worker: WorkerId::clone(worker),
                run: *run,
                cpu_milli: entry.occupied.cpu_milli,
                order: (!is_useless, Reverse(left_ms)),
            })
        });
        candidates.collect()
    }
}
