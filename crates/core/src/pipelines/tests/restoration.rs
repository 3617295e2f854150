//! Tests of long-running tasks that lose their run in a full service.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    fixtures::{
        WALL_MS, done, ended, first_step, job, listing, long_running_job, observed, owner,
        owner_of_workers, step,
    },
    simulation::SimulatedService,
};
use crate::{
    AdvicePolicy, PipelineEvent, PipelineId, PipelineSpec, ResourceVector, RunEnd, RunKey, TaskKey,
    WorkerId, WorkerListing,
};

/// Number of workers, of four cores each.
const WORKER_COUNT: usize = 20;

/// Number of workers that are restarted at the same time.
const LOST_WORKER_COUNT: usize = 5;

/// Identifiers of the long-running jobs. Of the queues with advice, the service allows them half
/// of the workers.
const LASTING_JOBS: [PipelineId; 3] = [1, 4, 7];

/// Number of tasks of each long-running job.
const LASTING_TASK_COUNT: u32 = 4;

/// Identifier of the first urgent job; the next ones are three apart, and all workers may run
/// them.
const FIRST_URGENT_JOB: PipelineId = 300;

/// Number of urgent jobs a second, of two core-seconds each. They need more than the 56 cores that
/// the long-running tasks leave.
const URGENT_JOBS_PER_S: u128 = 36;

/// Time in which the long-running tasks start and the service becomes full.
const FILLING_TIME: Duration = Duration::from_secs(8);

/// Time within which a lost task is to be at work again.
const RESTORATION_TIME: Duration = Duration::from_secs(6);

/// Time for which the restarted workers do not answer.
const RESTART_TIME: Duration = Duration::from_millis(600);

/// Part of the CPU of the service that urgent jobs get while lost tasks wait, in percent.
const URGENT_CPU_PERCENT: u64 = 25;

fn listings() -> Vec<WorkerListing> {
    let listings = (0..WORKER_COUNT).map(|index| listing(&format!("w{index:02}")));
    listings.collect()
}

/// Returns a long-running job whose tasks need two of the four cores of a worker.
fn lasting_job(advice: Option<AdvicePolicy>) -> PipelineSpec {
    let mut spec = long_running_job();
    spec.steps[0].count = LASTING_TASK_COUNT;
    spec.steps[0].demand = ResourceVector::new(2_000, 100, 0);
    spec.policy.advice = advice;
    spec
}

/// Returns an urgent job of two short tasks.
fn urgent_job(wall_ms: u64) -> PipelineSpec {
    let mut spec = job(vec![step(2)]);
    spec.policy.queue = "urgent".to_owned();
    spec.policy.priority = 0;
    spec.accepted_unix_ms = wall_ms;
    spec
}

/// Returns advice whose decision takes longer than the short tasks of a worker leave room.
const fn slow_advice() -> AdvicePolicy {
    AdvicePolicy {
        decision_ms: 560.0,
        per_worker_ms: 8.0,
        valid_ms: 1_500,
    }
}

/// Returns the long-running tasks that are at work.
fn running_lasting_tasks(service: &SimulatedService) -> BTreeSet<TaskKey> {
    let runs = service.workers.values().flat_map(|worker| &worker.runs);
    let lasting = runs.filter(|(_, run)| run.step_spec.long_running);
    lasting.map(|(run, _)| run.task).collect()
}

/// Returns the CPU that short tasks occupy, in thousandths of a core.
fn sum_short_cpu(service: &SimulatedService) -> u64 {
    let runs = service
        .workers
        .values()
        .flat_map(|worker| worker.runs.values());
    let short = runs.filter(|run| !run.step_spec.long_running);
    short.map(|run| run.step_spec.demand.cpu_milli).sum()
}

/// A service that urgent jobs keep full.
struct FullService {
    service: SimulatedService,
    start: Duration,
    submitted_count: u128,
}

impl FullService {
    fn new(seed: u64, advice: Option<AdvicePolicy>) -> Self {
        let mut service = SimulatedService::new(seed, listings());
        for id in LASTING_JOBS {
            service.submit(id, lasting_job(advice));
        }
        // The long-running tasks start on workers without other tasks.
        for _ in 0..400 {
            service.advance();
        }
        Self {
            start: service.now,
            service,
            submitted_count: 0,
        }
    }

    /// Advances the simulation by one step, and submits the urgent jobs that are due.
    fn advance(&mut self) {
        let elapsed = self.service.now.saturating_sub(self.start);
        let due_count = elapsed.as_millis() * URGENT_JOBS_PER_S / 1_000;
        while self.submitted_count < due_count {
            let id = FIRST_URGENT_JOB + 3 * u64::try_from(self.submitted_count).unwrap();
            let spec = urgent_job(self.service.wall_ms());
            self.service.submit(id, spec);
            self.submitted_count += 1;
        }
        self.service.advance();
    }

    fn advance_by(&mut self, time: Duration) {
        let end = self.service.now + time;
        while self.service.now < end {
            self.advance();
        }
    }

    /// Restarts the workers with the most long-running tasks. Returns the tasks that are lost.
    fn restart_workers(&mut self) -> BTreeSet<TaskKey> {
        let before = running_lasting_tasks(&self.service);
        let workers = self.service.workers.iter();
        let mut ranking: Vec<(usize, WorkerId)> = workers
            .map(|(id, worker)| {
                let runs = worker.runs.values();
                let count = runs.filter(|run| run.step_spec.long_running).count();
                (count, id.clone())
            })
            .collect();
        ranking.sort();
        for (_, id) in ranking.iter().rev().take(LOST_WORKER_COUNT) {
            self.service.break_connections(id);
            let until = self.service.now + RESTART_TIME;
            if let Some(worker) = self.service.workers.get_mut(id) {
                worker.restart();
                worker.unreachable_until = until;
            }
        }
        let after = running_lasting_tasks(&self.service);
        before.difference(&after).copied().collect()
    }
}

/// What a test observes after the loss of workers.
struct RestorationOutcome {
    lost_count: usize,
    /// Time until each of the lost tasks was at work again.
    restored_after: BTreeMap<TaskKey, Duration>,
    /// Mean CPU of the urgent tasks meanwhile, in percent of the service.
    urgent_cpu_percent: u64,
}

fn lose_workers(seed: u64, advice: Option<AdvicePolicy>) -> RestorationOutcome {
    let mut full = FullService::new(seed, advice);
    full.advance_by(FILLING_TIME);
    let task_count = LASTING_JOBS.len() * LASTING_TASK_COUNT as usize;
    assert_eq!(running_lasting_tasks(&full.service).len(), task_count);
    let lost = full.restart_workers();
    let lost_at = full.service.now;
    let mut restored_after = BTreeMap::new();
    let (mut step_count, mut cpu_milli) = (0, 0);
    while full.service.now < lost_at + RESTORATION_TIME {
        full.advance();
        let running = running_lasting_tasks(&full.service);
        for task in running.intersection(&lost) {
            let time = full.service.now.saturating_sub(lost_at);
            restored_after.entry(*task).or_insert(time);
        }
        step_count += 1;
        cpu_milli += sum_short_cpu(&full.service);
    }
    let capacity: u64 = listings()
        .iter()
        .map(|entry| entry.capacity.cpu_milli)
        .sum();
    RestorationOutcome {
        lost_count: lost.len(),
        restored_after,
        urgent_cpu_percent: cpu_milli * 100 / (capacity * step_count),
    }
}

fn assert_restored(advice: Option<AdvicePolicy>) {
    for seed in 1..=4 {
        let outcome = lose_workers(seed, advice);

        let times = &outcome.restored_after;
        assert!(outcome.lost_count > 0, "seed {seed}: no task is lost");
        assert_eq!(times.len(), outcome.lost_count, "seed {seed}: {times:?}");
        let urgent_cpu_percent = outcome.urgent_cpu_percent;
        assert!(
            urgent_cpu_percent >= URGENT_CPU_PERCENT,
            "seed {seed}: urgent jobs get {urgent_cpu_percent} %"
        );
    }
}

/// Guards against a long-running task that has lost its run and stands behind every arrival of a
/// more urgent queue while short jobs keep the service full.
#[test]
fn lost_tasks_are_at_work_again_in_a_full_service() {
    assert_restored(None);
}

/// Guards against tickets for workers that short jobs have filled by the time of the answer, so
/// that a lost task asks again and again.
#[test]
fn lost_tasks_with_slow_advice_are_at_work_again_in_a_full_service() {
    assert_restored(Some(slow_advice()));
}

/// Guards against a new long-running job that precedes more urgent jobs.
#[test]
fn a_new_long_running_job_waits_behind_urgent_jobs() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(4)]));
    let first = owner.start_all();
    owner.submit(2, long_running_job());
    owner.submit(3, urgent_job(WALL_MS));

    let ends: Vec<_> = (1..)
        .zip(&first[..2])
        .map(|(number, start)| done(number, start.run))
        .collect();
    let running = first[2..].iter().map(|start| observed(start.run));
    owner.report("w1", running.collect(), ends);
    let starts = owner.start_all();

    let steps = starts.iter().map(|start| start.run.task.step);
    assert_eq!(steps.collect::<Vec<_>>(), [first_step(3), first_step(3)]);
}

/// Guards against long-running tasks that fail again and again and take the whole service from
/// urgent jobs, as they precede them each time.
#[test]
fn lost_tasks_leave_urgent_jobs_their_share() {
    let mut owner = owner(&["w1", "w2"]);
    let mut lasting = long_running_job();
    lasting.steps[0].count = 8;
    owner.submit(1, lasting);
    let first = owner.start_all();
    owner.submit(2, urgent_job(WALL_MS));

    // All of them have failed.
    let mut ends: BTreeMap<WorkerId, Vec<RunKey>> = BTreeMap::new();
    for start in &first {
        ends.entry(start.worker.clone())
            .or_default()
            .push(start.run);
    }
    for (worker, runs) in ends {
        let runs = (1..).zip(runs);
        let failed = runs.map(|(number, run)| ended(number, run, RunEnd::Failed));
        owner.report(&worker, Vec::new(), failed.collect());
    }
    let starts = owner.start_all();

    let urgent = starts
        .iter()
        .filter(|start| start.run.task.step == first_step(2));
    assert_eq!(first.len(), 8);
    assert_eq!(urgent.count(), 2);
}

/// Guards against lost tasks that need whole workers and take all capacity that becomes free from
/// urgent jobs: a tenth of the workers is held at most.
#[test]
fn workers_that_are_held_for_lost_tasks_are_few() {
    let mut owner = owner_of_workers(20);
    let mut lasting = long_running_job();
    lasting.steps[0].count = 8;
    lasting.steps[0].demand = ResourceVector::new(4_000, 100, 0);
    owner.submit(1, lasting);
    let lost = owner.start_all();
    let mut urgent = urgent_job(WALL_MS);
    urgent.steps[0].count = 48;
    owner.submit(2, urgent.clone());
    let short = owner.start_all();
    for start in &lost {
        let mut draining = listing(&start.worker);
        draining.is_draining = true;
        owner.handle_event(PipelineEvent::Listed(draining));
        let failed = ended(1, start.run, RunEnd::Failed);
        owner.report(&start.worker, Vec::new(), vec![failed]);
    }
    urgent.steps[0].count = 12;
    owner.submit(3, urgent);

    // One of the four short tasks of each of the other workers ends.
    let mut runs: BTreeMap<WorkerId, Vec<RunKey>> = BTreeMap::new();
    for start in &short {
        runs.entry(start.worker.clone())
            .or_default()
            .push(start.run);
    }
    for (worker, runs) in &runs {
        let running = runs[1..].iter().map(|run| observed(*run));
        owner.report(worker, running.collect(), vec![done(1, runs[0])]);
    }
    let starts = owner.start_all();

    assert_eq!((lost.len(), short.len(), runs.len()), (8, 48, 12));
    assert_eq!(starts.len(), 11);
}

/// Guards against a worker that is kept from all other work for ever: it is held for a best-effort task
/// that had a run before, and tasks that last leave too little CPU for it.
#[test]
fn no_worker_is_held_for_a_best_effort_task_that_cannot_fit() {
    let mut owner = owner(&["w1"]);
    let mut best_effort = long_running_job();
    best_effort.steps[0].fills = true;
    best_effort.steps[0].demand = ResourceVector::new(2_000, 100, 0);
    let mut lasting = long_running_job();
    lasting.steps[0].demand = ResourceVector::new(3_000, 100, 0);
    owner.submit(1, best_effort);
    owner.submit(2, lasting);
    let starts = owner.start_all();
    let failed = starts
        .iter()
        .find(|start| start.run.task.step == first_step(1));
    let failed = ended(1, failed.unwrap().run, RunEnd::Failed);
    let lasting = starts
        .iter()
        .find(|start| start.run.task.step == first_step(2));
    let lasting = observed(lasting.unwrap().run);
    owner.report("w1", vec![lasting.clone()], vec![failed]);
    owner.commit();
    owner.report("w1", vec![lasting], Vec::new());

    owner.submit(3, job(vec![step(1)]));
    let starts = owner.start_all();

    let started: Vec<PipelineId> = starts
        .iter()
        .map(|start| start.run.task.step.pipeline)
        .collect();
    assert_eq!(started, [3]);
}
