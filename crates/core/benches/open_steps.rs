//! Growth of the work of the owner of a service with the open steps of its jobs.
//!
//! The work is the number of times that the queue updates a step or a placement pass deals with
//! one. For each start and end, and for each pass and tick over steps that wait for a full service, it
//! may be at most the work at 80 steps times the growth of their logarithm times a margin of 1.25. The times
//! are for information.

#![expect(
    clippy::cast_precision_loss,
    reason = "counts of a bench are far below 2^52"
)]

#[path = "support/table.rs"]
#[allow(dead_code, reason = "each bench uses a part of the shared table")]
mod table;

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use auburnsaddle_core::{
    EndedRun, ObservedRun, PipelineAction, PipelineConfig, PipelineEvent, PipelineId,
    PipelineProgress, PipelineSchedule, PipelineSpec, PipelineState, QueuePolicy, RenewalReport,
    RenewalStamp, ResourceVector, RunEnd, RunKey, StartAnswer, StartResult, StepSpec, WorkerId,
    WorkerListing,
};
use table::BoundTable;

const SEED: u64 = 1;
/// Numbers of open steps, in ascending order.
const STEP_COUNTS: [u32; 3] = [80, 800, 8_000];
/// Numbers of jobs that have these steps together.
const JOB_COUNTS: [u32; 2] = [1, 8];
/// Factor by which the work may exceed logarithmic growth.
const GROWTH_MARGIN: f64 = 1.25;
/// Number of passes and ticks over which the work is averaged.
const PASS_COUNT: u32 = 20;
/// Largest number of ends in a report of a worker.
const ENDS_PER_REPORT: usize = 500;
const TICK_INTERVAL: Duration = Duration::from_millis(50);
const START_UNIX_MS: u64 = 1_700_000_000_000;
const WORKERS: [&str; 3] = ["w1", "w2", "w3"];
/// Each worker runs thousands of tasks at a time.
const CAPACITY: ResourceVector = ResourceVector::new(32_000, 131_072, 0);
const DEMAND: ResourceVector = ResourceVector::new(10, 16, 0);

/// How a job has many steps.
#[derive(Clone, Copy, Debug)]
enum JobShape {
    Occurrences,
    Steps,
    DependentSteps,
}

/// What the owner does with the jobs.
#[derive(Clone, Copy, Debug)]
enum Phase {
    Run,
    Wait,
    Cancel,
    TakeOver,
}

/// An owner whose workers and store answer at once.
struct BenchOwner {
    state: PipelineState,
    now: Duration,
    actions: Vec<PipelineAction>,
    running: BTreeMap<WorkerId, Vec<RunKey>>,
    end_counts: BTreeMap<WorkerId, u64>,
    durable: BTreeMap<PipelineId, PipelineProgress>,
}

impl BenchOwner {
    fn new(capacity: ResourceVector) -> Self {
        let now = Duration::from_secs(100);
        let config = PipelineConfig {
            lease: Duration::from_secs(5),
            max_lease: Duration::from_secs(6),
            inherited_lease: Duration::from_secs(6),
            listing_interval: Duration::from_secs(1),
            renewal_wait: Duration::from_secs(1),
            manages_scarcity: true,
        };
        let mut owner = Self {
            state: PipelineState::new(config, 1, now),
            now,
            actions: Vec::new(),
            running: BTreeMap::new(),
            end_counts: BTreeMap::new(),
            durable: BTreeMap::new(),
        };
        let until = now + Duration::from_hours(1);
        owner.handle(PipelineEvent::OwnershipConfirmed(until));
        owner.handle(PipelineEvent::ExtensionsPermitted(until));
        owner.tick();
        for worker in WORKERS {
            owner.handle(PipelineEvent::Listed(WorkerListing {
                worker: worker.into(),
                address: format!("{worker}:1"),
                capacity,
                labels: Vec::new(),
                rack: None,
                is_draining: false,
                leaves_in: None,
                started_unix_ms: None,
            }));
        }
        owner.answer_renewals();
        owner
    }

    fn handle(&mut self, event: PipelineEvent) {
        self.actions.extend(self.state.handle(event, self.now));
    }

    fn tick(&mut self) {
        self.now += TICK_INTERVAL;
        let elapsed = self.now.saturating_sub(Duration::from_secs(100));
        let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(0);
        self.handle(PipelineEvent::Tick(START_UNIX_MS + elapsed_ms));
    }

    fn submit(&mut self, id: PipelineId, spec: &PipelineSpec, progress: Option<PipelineProgress>) {
        self.handle(PipelineEvent::Stored(id, Arc::new(spec.clone()), progress));
    }

    /// Runs a pass and commits what it has changed.
    fn place_and_commit(&mut self) {
        self.actions.extend(self.state.schedule(self.now));
        while let Some(commit) = self.state.take_commit(|_| true) {
            for entry in &commit.entries {
                match &entry.progress {
                    Some(progress) => self.durable.insert(entry.pipeline, progress.clone()),
                    None => self.durable.remove(&entry.pipeline),
                };
            }
            self.actions
                .extend(self.state.complete_commit(commit, self.now));
        }
    }

    /// Carries out the start orders. Returns their number.
    fn answer_starts(&mut self) -> usize {
        let mut count = 0;
        for action in std::mem::take(&mut self.actions) {
            let order = match action {
                PipelineAction::Start(order) => order,
                PipelineAction::Renew(_) => {
                    self.actions.push(action);
                    continue;
                }
                _ => continue,
            };
            count += 1;
            let runs = self.running.entry(order.worker.clone()).or_default();
            runs.push(order.run);
            let answer = StartAnswer {
                result: StartResult::Started,
                sent_at: self.now,
                clock_ms: Some(self.clock_ms()),
            };
            self.handle(PipelineEvent::StartAnswered(
                order.worker,
                order.run,
                answer,
            ));
        }
        count
    }

    fn clock_ms(&self) -> u64 {
        u64::try_from(self.now.as_millis()).unwrap_or(0)
    }

    /// Answers the renewals; each answer reports the ends of some runs.
    fn answer_renewals(&mut self) {
        for action in std::mem::take(&mut self.actions) {
            let order = match action {
                PipelineAction::Renew(order) => order,
                other => {
                    self.actions.push(other);
                    continue;
                }
            };
            let runs = self.running.entry(order.worker.clone()).or_default();
            let ended = runs.split_off(runs.len().saturating_sub(ENDS_PER_REPORT));
            let running = runs.iter().map(|run| ObservedRun {
                run: *run,
                checkpoint: String::new(),
                percent: 50,
                load: None,
            });
            let running = running.collect();
            let clock_ms = self.clock_ms();
            let number = self.end_counts.entry(order.worker.clone()).or_default();
            let ended = ended.into_iter().map(|run| {
                *number += 1;
                EndedRun {
                    number: *number,
                    run,
                    end: RunEnd::Done,
                    checkpoint: String::new(),
                }
            });
            let report = RenewalReport {
                started_unix_ms: START_UNIX_MS,
                clock_ms,
                running,
                ended: ended.collect(),
                has_more_ends: false,
            };
            let stamp = RenewalStamp {
                token: order.token,
                sent_at: self.now,
            };
            self.handle(PipelineEvent::LeaseRenewed(order.worker, stamp, report));
            self.place_and_commit();
        }
    }

    fn work(&self) -> u64 {
        let load = self.state.load();
        load.refreshed_steps + load.visited_steps
    }
}

fn create_spec(shape: JobShape, steps: u32) -> PipelineSpec {
    let small_step = |after: Vec<u32>| StepSpec {
        count: 1,
        demand: DEMAND,
        estimate_ms: 1_000,
        after,
        ..StepSpec::default()
    };
    let schedule = PipelineSchedule {
        first_unix_ms: START_UNIX_MS - 1_000 * u64::from(steps),
        interval_ms: 1_000,
        occurrences: steps,
    };
    let (steps, schedule) = match shape {
        JobShape::Occurrences => (vec![small_step(Vec::new())], Some(schedule)),
        JobShape::Steps => {
            let steps = (0..steps).map(|_| small_step(Vec::new()));
            (steps.collect(), None)
        }
        JobShape::DependentSteps => {
            let after = |step: u32| if step > 0 { vec![0] } else { Vec::new() };
            let steps = (0..steps).map(|step| small_step(after(step)));
            (steps.collect(), None)
        }
    };
    PipelineSpec {
        command: "run".to_owned(),
        steps,
        schedule,
        policy: QueuePolicy {
            queue: "bench".to_owned(),
            service: "bench".into(),
            priority: 1,
            max_attempts: 2,
            stretch: 2.0,
            target_latency_ms: 500,
            advice: None,
        },
        accepted_unix_ms: START_UNIX_MS,
        team: None,
    }
}

/// Runs jobs that have this many steps together through a phase. Returns the work for each step, or for
/// each pass with a tick, and the time for the same in microseconds.
fn measure(phase: Phase, shape: JobShape, jobs: u32, steps: u32) -> (f64, f64) {
    let spec = create_spec(shape, steps / jobs);
    let capacity = match phase {
        Phase::Run | Phase::TakeOver => CAPACITY,
        Phase::Wait | Phase::Cancel => ResourceVector::new(1, 1, 0),
    };
    let mut owner = BenchOwner::new(capacity);
    let ids = 1..=PipelineId::from(jobs);
    if matches!(phase, Phase::Wait | Phase::Cancel | Phase::TakeOver) {
        for id in ids.clone() {
            owner.submit(id, &spec, None);
        }
        owner.place_and_commit();
    }
    let durable = owner.durable.clone();
    if matches!(phase, Phase::TakeOver) {
        owner = BenchOwner::new(capacity);
    }
    let (work, begin) = (owner.work(), Instant::now());
    let count = match phase {
        Phase::Run => {
            for id in ids {
                owner.submit(id, &spec, None);
            }
            owner.place_and_commit();
            while owner.answer_starts() > 0 || owner.running.values().any(|runs| !runs.is_empty()) {
                owner.tick();
                owner.answer_renewals();
                owner.place_and_commit();
            }
            steps
        }
        Phase::Wait => {
            for _ in 0..PASS_COUNT {
                owner.tick();
                owner.place_and_commit();
            }
            PASS_COUNT
        }
        Phase::Cancel => {
            for id in ids {
                owner.handle(PipelineEvent::Cancelled(id));
                owner.place_and_commit();
            }
            steps
        }
        Phase::TakeOver => {
            for (id, progress) in durable {
                owner.submit(id, &spec, Some(progress));
            }
            owner.place_and_commit();
            steps
        }
    };
    let elapsed = begin.elapsed().as_secs_f64() * 1e6;
    let work = (owner.work() - work) as f64;
    (work / f64::from(count), elapsed / f64::from(count))
}

fn main() {
    let mut table = BoundTable::start(&[]);
    let phases = [Phase::Run, Phase::Wait, Phase::Cancel, Phase::TakeOver];
    let shapes = [
        JobShape::Occurrences,
        JobShape::Steps,
        JobShape::DependentSteps,
    ];
    for phase in phases {
        for (shape, jobs) in shapes
            .into_iter()
            .flat_map(|shape| JOB_COUNTS.map(|jobs| (shape, jobs)))
        {
            let [smallest, ..] = STEP_COUNTS;
            let (base, _) = measure(phase, shape, jobs, smallest);
            for steps in STEP_COUNTS {
                let (work, micros) = measure(phase, shape, jobs, steps);
                let growth = f64::from(steps).ln() / f64::from(smallest).ln();
                let name = format!("{phase:?}, {steps} {shape:?} of {jobs} jobs");
                // A phase without work at 80 steps may have one update for each step.
                let bound = base.max(1.0) * growth * GROWTH_MARGIN;
                table.at_most(&format!("{name}, work"), work, bound, SEED);
                table.note(&format!("{name}, us"), &format!("{micros:.1}"), SEED);
            }
        }
    }
    table.finish();
}
