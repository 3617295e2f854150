//! Growth of the work per placement with the number of workers and running tasks.
//!
//! The work is the number of index steps and comparisons of the queue divided by
//! the number of tasks placed. At 6,200 workers it may be at most the work at 48
//! workers times log(6,200) / log(48) times a margin of 1.25; the same formula
//! bounds each size. No task may wait on submission while a worker has room.

#![expect(
    clippy::cast_precision_loss,
    reason = "counts of a bench are far below 2^52"
)]

mod placement_support;

use std::{time::Duration, time::Instant};

use auburnsaddle_core::{
    PackingFirst, PlacementPolicy, ResourceVector, TaskAction, TaskEvent, TaskQueue, WaitingFirst,
    WorkerReport,
};
use placement_support::{
    ResultRow, create_generator, create_job, create_queue, create_workers, handle_and_persist,
    print_table, sample_pareto,
};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

const SEED: u64 = 1;
const TEAM_COUNT: usize = 340;
/// Factor by which the work may exceed logarithmic growth.
const GROWTH_MARGIN: f64 = 1.25;
/// Numbers of workers and running tasks, in ascending order.
const FLEET_SIZES: [(usize, usize); 4] = [(48, 325), (200, 1_355), (1_000, 6_774), (6_200, 42_000)];
/// Placements over which the work at each size is averaged.
const PLACEMENT_COUNT: u64 = 2_000;
const WORKER_CAPACITY: ResourceVector = ResourceVector::new(32_000, 131_072, 0);

/// Results for one fleet size.
struct SizeResult {
    /// Index steps and comparisons per placement.
    steps_per_placement: f64,
    placements_per_second: f64,
    /// Tasks that run once the fleet is full.
    running: f64,
    /// Tasks that waited on submission although a worker had room.
    missed_starts: f64,
    /// Index steps and comparisons per submitted or completed task.
    steps_per_event: f64,
    /// Growth of the resident memory per registered worker.
    bytes_per_worker: f64,
    /// Growth of the resident memory per submitted task, with its job.
    bytes_per_task: f64,
}

/// Returns the resident memory of this process, or zero on a system without
/// `/proc/self/statm`. A counting allocator would need unsafe code, which the
/// workspace forbids.
fn resident_bytes() -> f64 {
    const PAGE_BYTES: f64 = 4_096.0;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}

/// Samples a heavy-tailed demand of 2 to 16 cores with 1 to 5 GiB per core.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn sample_demand(generator: &mut ChaCha8Rng) -> ResourceVector {
    let cores = sample_pareto(generator, 1.0, 2.0, 16.0);
    let memory = cores * generator.random_range(1.0..5.0);
    ResourceVector::new((cores * 1_000.0) as u64, (memory * 1_024.0) as u64, 0)
}

/// Task queue under a random load of single-task jobs.
struct QueueLoad<P> {
    queue: TaskQueue<P>,
    generator: ChaCha8Rng,
    next_job: u64,
    worker_ids: Vec<auburnsaddle_core::WorkerId>,
    /// Number of tasks that waited on submission although a worker had room.
    missed_starts: u32,
    /// Running attempts with their workers.
    running: Vec<(auburnsaddle_core::TaskId, u32, auburnsaddle_core::WorkerId)>,
}

impl<P: PlacementPolicy> QueueLoad<P> {
    fn new(policy: P, worker_len: usize) -> Self {
        let entries = create_workers("general", worker_len, 5, WORKER_CAPACITY);
        let mut queue = create_queue(policy, TEAM_COUNT);
        handle_and_persist(
            &mut queue,
            TaskEvent::WorkersChanged(entries.clone()),
            Duration::ZERO,
        );
        let worker_ids: Vec<_> = entries.into_iter().map(|entry| entry.worker).collect();
        for worker_id in &worker_ids {
            let event = TaskEvent::WorkerClaimed(worker_id.clone(), vec![]);
            handle_and_persist(&mut queue, event, Duration::ZERO);
        }
        Self {
            queue,
            generator: create_generator(SEED),
            next_job: 1,
            worker_ids,
            missed_starts: 0,
            running: Vec::new(),
        }
    }

    /// Adds the tasks that the actions start to the running tasks.
    fn record_starts(&mut self, actions: Vec<TaskAction>) {
        for action in actions {
            if let TaskAction::Start(task, attempt, worker) = action {
                self.running.push((task, attempt, worker));
            }
        }
    }

    /// Submits a job of one task and returns its demand.
    fn submit_task(&mut self) -> ResourceVector {
        let demand = sample_demand(&mut self.generator);
        let team = self.generator.random_range(0..TEAM_COUNT);
        let spec = create_job(self.next_job, 1, team, demand);
        self.next_job += 1;
        let actions =
            handle_and_persist(&mut self.queue, TaskEvent::Submitted(spec), Duration::ZERO);
        self.record_starts(actions);
        demand
    }

    /// Submits a task and counts it if it waits although a worker has room.
    fn submit_and_check(&mut self) {
        let before = self.running.len();
        let demand = self.submit_task();
        let room = |worker_id| {
            self.queue
                .free_capacity(worker_id)
                .is_some_and(|free| demand.fits_in(&free))
        };
        if self.running.len() == before && self.worker_ids.iter().any(room) {
            self.missed_starts += 1;
        }
    }

    /// Completes a random running task successfully.
    fn complete_task(&mut self) {
        let index = self.generator.random_range(0..self.running.len());
        let (task, attempt, worker) = self.running.swap_remove(index);
        let completions = vec![(task, attempt, true)];
        let report = WorkerReport {
            completions,
            ..WorkerReport::default()
        };
        let event = TaskEvent::WorkerReported(worker, report);
        let actions = handle_and_persist(&mut self.queue, event, Duration::ZERO);
        self.record_starts(actions);
    }
}

/// Submits a quarter more tasks than should run, so that some wait, then replaces
/// completed tasks by new ones and counts the work per placement.
fn measure_size<P: PlacementPolicy>(policy: P, worker_len: usize, task_len: usize) -> SizeResult {
    let empty = resident_bytes();
    let mut load = QueueLoad::new(policy, worker_len);
    let idle = resident_bytes();
    for _ in 0..task_len + task_len / 4 {
        load.submit_and_check();
    }
    let full = resident_bytes();
    let running = load.running.len() as f64;
    let before = load.queue.work_counter();
    let begin = Instant::now();
    let mut events = 0;
    while load.queue.work_counter().placed < before.placed + PLACEMENT_COUNT {
        load.complete_task();
        load.submit_task();
        events += 2;
    }
    let elapsed = begin.elapsed().as_secs_f64();
    let after = load.queue.work_counter();
    let placed = (after.placed - before.placed) as f64;
    SizeResult {
        steps_per_placement: (after.steps - before.steps) as f64 / placed,
        placements_per_second: placed / elapsed,
        running,
        missed_starts: f64::from(load.missed_starts),
        steps_per_event: (after.steps - before.steps) as f64 / f64::from(events),
        bytes_per_worker: (idle - empty) / worker_len as f64,
        bytes_per_task: (full - idle) / (task_len + task_len / 4) as f64,
    }
}

fn measure_policy<P: PlacementPolicy + Copy>(policy: P) -> Vec<ResultRow> {
    let mut rows = Vec::new();
    let mut base = 0.0;
    for (worker_len, task_len) in FLEET_SIZES {
        let result = measure_size(policy, worker_len, task_len);
        let smallest = FLEET_SIZES[0].0;
        let bound = if worker_len == smallest {
            base = result.steps_per_placement;
            None
        } else {
            let growth = (worker_len as f64).ln() / (smallest as f64).ln();
            Some(base * growth * GROWTH_MARGIN)
        };
        let name = format!("{policy:?} {worker_len} workers, {task_len} tasks:");
        for (text, value, bound) in [
            ("steps", result.steps_per_placement, bound),
            ("steps per event", result.steps_per_event, None),
            ("decisions/s", result.placements_per_second, None),
            ("running", result.running, None),
            (
                "waiting although a worker had room",
                result.missed_starts,
                Some(0.0),
            ),
        ] {
            rows.push(ResultRow::new(format!("{name} {text}"), value, bound, SEED));
        }
    }
    rows
}

fn main() {
    // The memory per worker and task is read before the other runs: memory that
    // they free would be reused and hide the growth.
    let (worker_len, task_len) = FLEET_SIZES[FLEET_SIZES.len() - 1];
    let largest = measure_size(WaitingFirst, worker_len, task_len);
    let mut rows = vec![
        ResultRow::new(
            "resident bytes per worker",
            largest.bytes_per_worker,
            None,
            SEED,
        ),
        ResultRow::new(
            "resident bytes per task and job",
            largest.bytes_per_task,
            None,
            SEED,
        ),
    ];
    rows.extend(measure_policy(WaitingFirst));
    rows.extend(measure_policy(PackingFirst));
    print_table(&rows);
}
