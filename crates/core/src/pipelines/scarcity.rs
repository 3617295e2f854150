//! Which of the waiting steps are deferred when they cannot all be in time.
//!
//! Load pattern: more work of one priority arrives for some seconds than the service can do before
//! the objectives. In the order of their objectives, large jobs at the head make many small ones late
//! behind them. Those that cost callers least are deferred instead: of the jobs that precede one that
//! would be late, and of that one, the job with the most work for its value (the rule of Moore and
//! Hodgson, with values). Deferred jobs come behind those of their priority that can be in time and
//! before those that are late, so nothing is lost and they run as soon as there is room.

use std::{
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    time::Duration,
};

use super::{
    queue::{QueueRank, StepPunctuality},
    spec::{PipelineSpec, StepKey},
    state::PipelineState,
    worker::RunPhase,
};

/// Shortest time between two choices. Each looks at all runs.
const CHOICE_INTERVAL: Duration = Duration::from_millis(100);

/// Part of the value of a job that does not depend on its work, in percent of that of a mean job of
/// its queue. The rest grows with its work.
const FIXED_VALUE_PERCENT: u64 = 30;

/// Largest value of a job, in percent of that of a mean job.
const MAX_VALUE_PERCENT: u64 = 400;

/// Divisor of the weight of a job in the mean work of its queue.
const MEAN_WEIGHT_DIVISOR: u64 = 16;

/// Thousandths of a core times ms.
pub(super) type CpuWork = u64;

/// The CPU that becomes free over time, while nothing new is placed.
#[derive(Clone, Debug, Default)]
pub(super) struct CapacitySupply {
    /// Free CPU in thousandths of a core, from each time in ms on, with the work that can be done until
    /// then. Ascending.
    segments: Vec<(u64, u64, CpuWork)>,
}

/// A step that waits and can be in time by itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct WaitingStep {
    pub(super) key: StepKey,
    pub(super) priority: u32,
    /// Time left until the step must be done so that its job meets the objective, in ms.
    pub(super) left_ms: u64,
    pub(super) work: CpuWork,
    /// Value of the job, in percent of that of a mean job of its queue.
    pub(super) value_percent: u64,
}

/// What is known of the work of each queue, and which steps are deferred.
#[derive(Clone, Debug, Default)]
pub(super) struct ScarcityState {
    /// Mean work of the jobs of each queue.
    mean_work: BTreeMap<String, CpuWork>,
    /// Steps that are deferred.
    pub(super) deferred: BTreeSet<StepKey>,
    /// Earliest time of the next choice.
    due: Duration,
}

impl CapacitySupply {
    /// Returns the supply of a service with this free CPU, and with runs that end after a time in ms
    /// and release their CPU.
    pub(super) fn new(free_milli: u64, mut runs: Vec<(u64, u64)>) -> Self {
        runs.sort_unstable();
        let mut segments: Vec<(u64, u64, CpuWork)> = vec![(0, free_milli, 0)];
        for (ends_ms, cpu_milli) in runs {
            let (from_ms, free_milli, work) = segments[segments.len() - 1];
            let done = work.saturating_add(free_milli.saturating_mul(ends_ms - from_ms));
            segments.push((ends_ms, free_milli.saturating_add(cpu_milli), done));
        }
        Self { segments }
    }

    /// Returns the work that can be done within this time in ms.
    fn until(&self, time_ms: u64) -> CpuWork {
        let after = self
            .segments
            .partition_point(|(from_ms, ..)| *from_ms <= time_ms);
        let (from_ms, free_milli, work) = self.segments[after.saturating_sub(1)];
        work.saturating_add(free_milli.saturating_mul(time_ms.saturating_sub(from_ms)))
    }
}

/// Returns the steps to defer, so that the others can be done in the order of their priorities and
/// the time that they have left.
pub(super) fn choose_deferred(
    mut waiting: Vec<WaitingStep>,
    supply: &CapacitySupply,
) -> BTreeSet<StepKey> {
    waiting.sort_unstable_by_key(|step| (step.priority, step.left_ms, step.key));
    let mut deferred = BTreeSet::new();
    let mut planned: CpuWork = 0;
    // Steps of the present priority that are planned, by their work for their value.
    let mut chosen: BinaryHeap<(u64, StepKey, CpuWork)> = BinaryHeap::new();
    let mut priority = None;
    for step in waiting {
        if priority.replace(step.priority) != Some(step.priority) {
            chosen.clear();
        }
        let work_for_value = step.work / step.value_percent.max(1);
        chosen.push((work_for_value, step.key, step.work));
        planned = planned.saturating_add(step.work);
        while planned > supply.until(step.left_ms)
            && let Some((_, key, work)) = chosen.pop()
        {
            planned -= work;
            deferred.insert(key);
        }
    }
    deferred
}

/// Returns the CPU work of a job by its estimates.
pub(super) fn job_work(spec: &PipelineSpec) -> CpuWork {
    let steps = spec.steps.iter().filter(|step| !step.long_running);
    let work = steps.map(|step| {
        let task = step.demand.cpu_milli.saturating_mul(step.estimate_ms);
        task.saturating_mul(u64::from(step.count))
    });
    work.fold(0, u64::saturating_add)
}

impl ScarcityState {
    /// Returns the position of a step: if it is deferred, behind those that can be in time and before
    /// those that are late.
    pub(super) fn adjust_rank(&self, key: StepKey, rank: QueueRank) -> QueueRank {
        let (is_expired, is_excess, priority, punctuality, objective) = rank;
        let punctuality = match punctuality {
            StepPunctuality::InTime if self.deferred.contains(&key) => StepPunctuality::Deferred,
            punctuality => punctuality,
        };
        (is_expired, is_excess, priority, punctuality, objective)
    }

    /// Adds a job to the mean work of its queue.
    pub(super) fn record_job(&mut self, spec: &PipelineSpec) {
        let work = job_work(spec);
        let queue = spec.policy.queue.as_str();
        match self.mean_work.get_mut(queue) {
            Some(mean) => {
                let others = (*mean / MEAN_WEIGHT_DIVISOR) * (MEAN_WEIGHT_DIVISOR - 1);
                *mean = others.saturating_add(work / MEAN_WEIGHT_DIVISOR);
            }
            None => {
                self.mean_work.insert(queue.to_owned(), work);
            }
        }
    }

    /// Returns the value of a job in percent of that of a mean job of its queue.
    fn value_percent(&self, queue: &str, work: CpuWork) -> u64 {
        let mean = self.mean_work.get(queue).copied();
        let mean = mean.unwrap_or_default().max(1);
        let share = work.saturating_mul(100 - FIXED_VALUE_PERCENT) / mean;
        (FIXED_VALUE_PERCENT + share).min(MAX_VALUE_PERCENT)
    }
}

impl PipelineState {
    /// Chooses the steps to defer after a pass, if it has left steps unplaced that can be in time.
    pub(super) fn update_deferred_steps(&mut self, free_milli: u64, now: Duration) {
        if now < self.scarcity.due {
            return;
        }
        self.scarcity.due = now + CHOICE_INTERVAL;
        let waiting = self.waiting_steps();
        let deferred = if waiting.is_empty() {
            BTreeSet::new()
        } else {
            choose_deferred(waiting, &self.capacity_supply(free_milli, now))
        };
        let changed = self.scarcity.deferred.symmetric_difference(&deferred);
        let changed: Vec<StepKey> = changed.copied().collect();
        self.scarcity.deferred = deferred;
        for key in changed {
            self.refresh_step(key);
        }
    }

    /// Returns the steps that wait for CPU and can be in time by themselves. Those for accelerators
    /// compete for other workers.
    fn waiting_steps(&self) -> Vec<WaitingStep> {
        let waiting = self.ready.steps().filter_map(|(rank, key)| {
            let (is_expired, is_excess, priority, punctuality, _) = rank;
            let record = self.pipelines.get(&key.pipeline)?;
            let step_spec = record.spec.steps.get(key.step as usize)?;
            let is_late = punctuality == StepPunctuality::Late;
            let is_sound = !is_expired && !is_excess && !is_late;
            let has_room_elsewhere = step_spec.demand.accelerators > 0 || step_spec.long_running;
            if !is_sound || has_room_elsewhere {
                return None;
            }
            let tasks = record.progress.step(key)?.waiting_tasks().count() as u64;
            let task_work = step_spec.occupied().cpu_milli * step_spec.estimate_ms;
            Some(WaitingStep {
                key,
                priority,
                left_ms: record.timing.time_left_ms(&record.spec, key, self.wall_ms),
                work: task_work.saturating_mul(tasks),
                value_percent: self
                    .scarcity
                    .value_percent(&record.spec.policy.queue, record.timing.work),
            })
        });
        waiting.collect()
    }

    /// Returns the CPU that becomes free, by the estimates of the runs.
    fn capacity_supply(&self, free_milli: u64, now: Duration) -> CapacitySupply {
        let runs = self
            .workers
            .values()
            .flat_map(|record| record.runs.values());
        let ending = runs.filter(|run| !run.is_long_running);
        let ending = ending.map(|run| {
            let rest = match run.phase {
                RunPhase::Started(at) => (at + run.estimate).saturating_sub(now),
                RunPhase::Stopping(_) => Duration::ZERO,
                RunPhase::Inherited | RunPhase::Ordered(_) => run.estimate,
            };
            let rest_ms = u64::try_from(rest.as_millis()).unwrap_or(u64::MAX);
            (rest_ms, run.occupied.cpu_milli)
        });
        CapacitySupply::new(free_milli, ending.collect())
    }
}
