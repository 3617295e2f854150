//! Counted work per decision as the fleet and the running tasks grow.
//!
//! The work of a step is the index steps and comparisons of the queue divided
//! by the tasks placed. At 6,200 workers it may be at most the work at 48
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
use placement_support::{ResultRow, generator, job, pareto, print_table, queue, run, workers};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

const SEED: u64 = 1;
const TEAMS: usize = 340;
const MARGIN: f64 = 1.25;
/// Workers and running tasks of each step.
const SIZES: [(usize, usize); 4] = [(48, 325), (200, 1_355), (1_000, 6_774), (6_200, 42_000)];
/// Placements measured at each size.
const DECISIONS: u64 = 2_000;
const CAPACITY: ResourceVector = ResourceVector::new(32_000, 131_072, 0);

/// Figures of one size.
struct StepResult {
    steps: f64,
    per_second: f64,
    running: f64,
    missed: f64,
    per_event: f64,
    worker_bytes: f64,
    task_bytes: f64,
}

/// Returns the resident memory of this process. A counting allocator needs
/// unsafe code, which the workspace forbids; on a system without this file the
/// figures are zero.
fn resident_bytes() -> f64 {
    const PAGE_BYTES: f64 = 4_096.0;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn demand(generator: &mut ChaCha8Rng) -> ResourceVector {
    let cores = pareto(generator, 1.0, 2.0, 16.0);
    let memory = cores * generator.random_range(1.0..5.0);
    ResourceVector::new((cores * 1_000.0) as u64, (memory * 1_024.0) as u64, 0)
}

struct Load<P> {
    queue: TaskQueue<P>,
    generator: ChaCha8Rng,
    next_job: u64,
    names: Vec<auburnsaddle_core::WorkerId>,
    /// Tasks that did not start on submission although a worker had room.
    missed: u32,
    running: Vec<(auburnsaddle_core::TaskId, u32, auburnsaddle_core::WorkerId)>,
}

impl<P: PlacementPolicy> Load<P> {
    fn new(policy: P, worker_len: usize) -> Self {
        let entries = workers("general", worker_len, 5, CAPACITY);
        let mut queue = queue(policy, TEAMS);
        run(
            &mut queue,
            TaskEvent::WorkersChanged(entries.clone()),
            Duration::ZERO,
        );
        let names: Vec<_> = entries.into_iter().map(|entry| entry.worker).collect();
        for name in &names {
            let event = TaskEvent::WorkerClaimed(name.clone(), vec![]);
            run(&mut queue, event, Duration::ZERO);
        }
        Self {
            queue,
            generator: generator(SEED),
            next_job: 1,
            names,
            missed: 0,
            running: Vec::new(),
        }
    }

    fn note(&mut self, actions: Vec<TaskAction>) {
        for action in actions {
            if let TaskAction::Start(task, attempt, worker) = action {
                self.running.push((task, attempt, worker));
            }
        }
    }

    fn submit(&mut self) -> ResourceVector {
        let demand = demand(&mut self.generator);
        let team = self.generator.random_range(0..TEAMS);
        let spec = job(self.next_job, 1, team, demand);
        self.next_job += 1;
        let actions = run(&mut self.queue, TaskEvent::Submitted(spec), Duration::ZERO);
        self.note(actions);
        demand
    }

    /// Submits a task and counts it if it waits without need.
    fn fill(&mut self) {
        let before = self.running.len();
        let demand = self.submit();
        let room = |name| {
            self.queue
                .free_capacity(name)
                .is_some_and(|free| demand.fits_in(&free))
        };
        if self.running.len() == before && self.names.iter().any(room) {
            self.missed += 1;
        }
    }

    fn finish(&mut self) {
        let index = self.generator.random_range(0..self.running.len());
        let (task, attempt, worker) = self.running.swap_remove(index);
        let completions = vec![(task, attempt, true)];
        let report = WorkerReport {
            completions,
            ..WorkerReport::default()
        };
        let event = TaskEvent::WorkerReported(worker, report);
        let actions = run(&mut self.queue, event, Duration::ZERO);
        self.note(actions);
    }
}

/// Fills the fleet, leaves a queue of waiting work, then replaces tasks.
fn measure<P: PlacementPolicy>(policy: P, worker_len: usize, task_len: usize) -> StepResult {
    let empty = resident_bytes();
    let mut load = Load::new(policy, worker_len);
    let idle = resident_bytes();
    for _ in 0..task_len + task_len / 4 {
        load.fill();
    }
    let full = resident_bytes();
    let running = load.running.len() as f64;
    let before = load.queue.work_counter();
    let begin = Instant::now();
    let mut events = 0;
    while load.queue.work_counter().placed < before.placed + DECISIONS {
        load.finish();
        load.submit();
        events += 2;
    }
    let elapsed = begin.elapsed().as_secs_f64();
    let after = load.queue.work_counter();
    let placed = (after.placed - before.placed) as f64;
    StepResult {
        steps: (after.steps - before.steps) as f64 / placed,
        per_second: placed / elapsed,
        running,
        missed: f64::from(load.missed),
        per_event: (after.steps - before.steps) as f64 / f64::from(events),
        worker_bytes: (idle - empty) / worker_len as f64,
        task_bytes: (full - idle) / (task_len + task_len / 4) as f64,
    }
}

fn measure_policy<P: PlacementPolicy + Copy>(policy: P) -> Vec<ResultRow> {
    let mut rows = Vec::new();
    let mut base = 0.0;
    for (worker_len, task_len) in SIZES {
        let result = measure(policy, worker_len, task_len);
        let smallest = SIZES[0].0;
        let bound = if worker_len == smallest {
            base = result.steps;
            None
        } else {
            let growth = (worker_len as f64).ln() / (smallest as f64).ln();
            Some(base * growth * MARGIN)
        };
        let name = format!("{policy:?} {worker_len} workers, {task_len} tasks:");
        for (text, value, bound) in [
            ("steps", result.steps, bound),
            ("steps per event", result.per_event, None),
            ("decisions/s", result.per_second, None),
            ("running", result.running, None),
            (
                "waiting although a worker had room",
                result.missed,
                Some(0.0),
            ),
        ] {
            rows.push(ResultRow::new(format!("{name} {text}"), value, bound, SEED));
        }
    }
    rows
}

fn main() {
    // First, while the allocator has no memory to reuse.
    let (worker_len, task_len) = SIZES[SIZES.len() - 1];
    let largest = measure(WaitingFirst, worker_len, task_len);
    let mut rows = vec![
        ResultRow::new(
            "resident bytes per worker",
            largest.worker_bytes,
            None,
            SEED,
        ),
        ResultRow::new(
            "resident bytes per task and job",
            largest.task_bytes,
            None,
            SEED,
        ),
    ];
    rows.extend(measure_policy(WaitingFirst));
    rows.extend(measure_policy(PackingFirst));
    print_table(&rows);
}
