//! Tests of a service of hundreds of workers near its capacity.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

use super::{
    fixtures::{job, listing, step},
    simulation::{SIMULATION_STEP, SimulatedService},
};
use crate::{AdvicePolicy, PipelineId, PipelineSpec, ResourceVector, StepSpec, WorkerListing};

/// Number of workers.
const WORKER_COUNT: u32 = 350;

/// Number of workers of a rack.
const RACK_SIZE: u32 = 20;

/// A queue whose jobs arrive at random.
struct QueueLoad {
    name: &'static str,
    priority: u32,
    /// Jobs that arrive per second.
    rate: f64,
    /// Largest number of tasks of a step; the smallest is one.
    max_width: u32,
    cpu_milli: u64,
    estimate_ms: u64,
    stretch: f64,
    gang: bool,
    decision_ms: f64,
}

/// Two queues of wide steps with slow decisions, and an urgent one of short steps, which
/// together use about four fifths of the service.
const LOADS: [QueueLoad; 3] = [
    QueueLoad {
        name: "wide",
        priority: 1,
        rate: 6.4,
        max_width: 39,
        cpu_milli: 4_500,
        estimate_ms: 4_000,
        stretch: 2.2,
        gang: true,
        decision_ms: 350.0,
    },
    QueueLoad {
        name: "bulk",
        priority: 2,
        rate: 10.8,
        max_width: 49,
        cpu_milli: 1_700,
        estimate_ms: 3_400,
        stretch: 4.0,
        gang: false,
        decision_ms: 120.0,
    },
    QueueLoad {
        name: "urgent",
        priority: 0,
        rate: 80.0,
        max_width: 5,
        cpu_milli: 2_500,
        estimate_ms: 1_000,
        stretch: 1.5,
        gang: false,
        decision_ms: 11.0,
    },
];

fn listings() -> Vec<WorkerListing> {
    let listings = (0..WORKER_COUNT).map(|index| WorkerListing {
        capacity: ResourceVector::new(16_000, 32_768, 0),
        rack: Some(format!("r1-{}", index / RACK_SIZE).into()),
        ..listing(&format!("w{index:03}"))
    });
    listings.collect()
}

impl QueueLoad {
    fn draw_job(&self, rng: &mut ChaCha8Rng, wall_ms: u64) -> PipelineSpec {
        let mut spec = job(vec![StepSpec {
            demand: ResourceVector::new(self.cpu_milli, 2_500, 0),
            estimate_ms: self.estimate_ms,
            gang: self.gang,
            ..step(rng.random_range(1..=self.max_width))
        }]);
        spec.policy.queue = self.name.to_owned();
        spec.policy.priority = self.priority;
        spec.policy.stretch = self.stretch;
        spec.policy.advice = Some(AdvicePolicy {
            decision_ms: self.decision_ms,
            per_worker_ms: self.decision_ms / 70.0,
            valid_ms: 2_000,
        });
        spec.accepted_unix_ms = wall_ms;
        spec
    }
}

/// Plays the load with all rates multiplied by `factor`.
fn play_load(service: &mut SimulatedService, rng: &mut ChaCha8Rng, time: Duration, factor: f64) {
    let end = service.now + time;
    let mut id: PipelineId = service.jobs.keys().last().map_or(1, |last| last + 1);
    while service.now < end {
        for load in &LOADS {
            let expected = load.rate * factor * SIMULATION_STEP.as_secs_f64();
            if rng.random_bool(expected.min(1.0)) {
                let spec = load.draw_job(rng, service.wall_ms());
                service.submit(id, spec);
                id += 1;
            }
        }
        service.advance();
    }
}

/// Guards against placement passes that search all workers for each waiting step: with a
/// backlog they take so much time that the backlog grows.
#[test]
fn a_pass_does_not_search_all_workers_for_each_waiting_step() {
    let mut service = SimulatedService::new(1, listings());
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    service.set_advisors((8, 22));
    play_load(&mut service, &mut rng, Duration::from_secs(4), 1.0);
    play_load(&mut service, &mut rng, Duration::from_secs(4), 1.8);
    let before = service.owner.load().examined_candidates;
    let mut exhaustive = 0;

    for _ in 0..100 {
        exhaustive += service.owner.load().ready_steps * u64::from(WORKER_COUNT);
        service.advance();
    }

    let examined = service.owner.load().examined_candidates - before;
    assert!(exhaustive > 100_000, "there was no backlog");
    assert!(examined < exhaustive / 4, "{examined} of {exhaustive}");
}
