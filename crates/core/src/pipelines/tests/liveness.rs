//! Randomized tests that a step whose turn has come is placed while the service has room.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write,
    time::Duration,
};

use rand::RngExt;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

use super::{
    fixtures::{advice, job, listing, step},
    readiness::find_wrong_readiness,
    simulation::SimulatedService,
};
use crate::{
    PipelineId, PipelineSchedule, PipelineSpec, ResourceVector, RunKey, StepKey, StepSpec,
    TaskPlace, WorkerId, WorkerListing, pipelines::worker::WorkerContact,
};

/// Seeds with which the test of all faults runs by default. A range in `AUBURNSADDLE_LIVENESS_SEEDS`, such
/// as `100..200`, replaces them.
const SEEDS: [u64; 13] = [3, 5, 6, 11, 22, 29, 40, 64, 70, 101, 129, 158, 446];

/// Seeds with which the test of workers that fail runs by default.
const FAILURE_SEEDS: [u64; 13] = [2, 5, 14, 30, 60, 77, 78, 79, 84, 111, 112, 153, 173];

/// Identifier of the first job that no worker can run.
const FIRST_OVERSIZED_JOB: PipelineId = 10_000;

/// Number of workers.
const WORKER_COUNT: u32 = 30;

/// Time in which faults occur.
const FAULT_TIME: Duration = Duration::from_secs(18);

/// Time in which jobs arrive before workers fail, and in which they fail then.
const FAILURE_TIME: Duration = Duration::from_secs(6);

/// Time until the runs of the previous owner are known to have ended on workers that have
/// left.
const SETTLING_TIME: Duration = Duration::from_secs(22);

/// Time in which every due step with room is expected to be placed.
const WATCH_TIME: Duration = Duration::from_secs(25);

/// Time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two faults.
const FAULT_INTERVAL: Duration = Duration::from_millis(300);

/// Time without a run of a job that is due and has room.
const MAX_IDLE_TIME: Duration = Duration::from_secs(3);

/// Time of the answers of the advice service that a step may need.
const ADVICE_TIME: Duration = Duration::from_secs(3);

/// Time for which workers may be reserved for a gang that waits for one that others occupy.
const GANG_TIME: Duration = Duration::from_secs(10);

/// Smallest free part of the CPU of the service at which a step has room, in percent.
const FREE_PERCENT: u64 = 50;

fn read_seeds(default: &[u64]) -> Vec<u64> {
    let range = std::env::var("AUBURNSADDLE_LIVENESS_SEEDS").ok();
    let Some(range) = range else {
        return default.to_vec();
    };
    let (first, end) = range.split_once("..").unwrap();
    (first.parse().unwrap()..end.parse().unwrap()).collect()
}

/// Returns the workers of the service: some are smaller, and few have the label `b`.
fn listings() -> Vec<WorkerListing> {
    let listings = (0..WORKER_COUNT).map(|index| {
        let mut listing = listing(&format!("w{index:02}"));
        if index % 5 == 2 {
            listing.capacity = ResourceVector::new(2_000, 2_048, 2);
        }
        listing.rack = Some(format!("r1-{}", index / 4).into());
        if index % 6 == 1 {
            listing.labels.push("b".to_owned());
        }
        listing
    });
    listings.collect()
}

/// Returns a random step.
fn random_step(rng: &mut ChaCha8Rng) -> StepSpec {
    let mut step_spec = step(rng.random_range(1..=12));
    step_spec.demand.cpu_milli = 1_000 * rng.random_range(1..=3);
    step_spec.estimate_ms = rng.random_range(300..=2_000);
    step_spec.gang = rng.random_bool(0.15);
    step_spec.same_rack = step_spec.gang && rng.random_bool(0.5);
    step_spec.required_label = rng.random_bool(0.15).then(|| "b".to_owned());
    step_spec.per_worker_limit = rng.random_bool(0.15).then_some(2);
    if step_spec.gang {
        // A gang must be able to fit on the workers with its label.
        step_spec.count = step_spec.count.min(4);
        step_spec.demand.cpu_milli = 1_000;
    }
    step_spec
}

/// Returns a random job, whose queue depends on its priority.
fn random_job(rng: &mut ChaCha8Rng, wall_ms: u64) -> PipelineSpec {
    let step_count = rng.random_range(1..=3);
    let steps = (0..step_count).map(|index| StepSpec {
        after: (0..index).rev().take(1).collect(),
        ..random_step(rng)
    });
    let mut spec = job(steps.collect());
    let queue = rng.random_range(0..5);
    spec.policy.queue = format!("queue {queue}");
    spec.policy.priority = queue;
    spec.policy.max_attempts = 3;
    spec.policy.stretch = if rng.random_bool(0.5) { 2.0 } else { 40.0 };
    spec.policy.advice = match queue {
        1 | 3 => Some(advice(20.0)),
        2 => Some(advice(400.0)),
        _ => None,
    };
    spec.accepted_unix_ms = wall_ms;
    match rng.random_range(0..40) {
        0 => {
            // No worker is large enough.
            spec.steps[0].demand.cpu_milli = 64_000;
        }
        1 | 2 => {
            spec.steps.truncate(1);
            spec.steps[0].long_running = true;
            spec.steps[0].gang = false;
            spec.steps[0].count = 1;
        }
        3..6 => {
            spec.schedule = Some(PipelineSchedule {
                first_unix_ms: wall_ms + 500,
                interval_ms: 4_000,
                occurrences: 3,
            });
        }
        _ => {}
    }
    spec
}

/// Adds jobs of one queue that no worker can run and that do not expire.
fn submit_oversized_jobs(service: &mut SimulatedService) {
    let oversized = StepSpec {
        demand: ResourceVector::new(64_000, 100, 0),
        long_running: true,
        ..step(1)
    };
    let mut spec = job(vec![oversized]);
    spec.policy.queue = "queue 4".to_owned();
    spec.policy.priority = 4;
    for id in FIRST_OVERSIZED_JOB..FIRST_OVERSIZED_JOB + 30 {
        service.submit(id, spec.clone());
    }
}

/// Causes a random fault.
fn cause_fault(service: &mut SimulatedService, rng: &mut ChaCha8Rng) {
    let workers: Vec<WorkerId> = service.workers.keys().cloned().collect();
    let worker = workers[rng.random_range(0..workers.len())].clone();
    let until = service.now + Duration::from_millis(rng.random_range(200..9_000));
    match rng.random_range(0..10) {
        0 => service.replace_owner(),
        1 => service.store_down_until = until.min(service.now + Duration::from_secs(4)),
        2 => service.delist_worker(&worker),
        3 => service.list_worker(&worker, |listing| listing.is_draining = true),
        4 => {
            // A new instance takes another address.
            restart(service, &worker);
            service.list_worker(&worker, |listing| listing.address.push('0'));
        }
        5 => restart(service, &worker),
        6 => {
            let jobs: Vec<PipelineId> = service.jobs.keys().copied().collect();
            if !jobs.is_empty() {
                service.cancel(jobs[rng.random_range(0..jobs.len())]);
            }
        }
        7 => service.list_worker(&worker, |listing| listing.is_draining = false),
        _ => {
            service.break_connections(&worker);
            if let Some(worker) = service.workers.get_mut(&worker) {
                worker.unreachable_until = until;
            }
        }
    }
}

fn restart(service: &mut SimulatedService, worker: &WorkerId) {
    service.break_connections(worker);
    if let Some(worker) = service.workers.get_mut(worker) {
        worker.restart();
    }
}

/// Ends all faults. Some of the workers that have left the list stay away.
fn end_faults(service: &mut SimulatedService, rng: &mut ChaCha8Rng) {
    service.is_faulty = false;
    service.store_down_until = Duration::ZERO;
    let workers: Vec<WorkerId> = service.workers.keys().cloned().collect();
    for id in workers {
        let now = service.now;
        let Some(worker) = service.workers.get_mut(&id) else {
            continue;
        };
        worker.unreachable_until = worker.unreachable_until.min(now);
        let is_back = !worker.is_listed && rng.random_bool(0.5);
        if is_back || worker.listing.is_draining {
            service.list_worker(&id, |listing| listing.is_draining = false);
        }
    }
}

/// Returns how many tasks of a step fit on the workers that may run it.
fn count_room(service: &SimulatedService, key: StepKey, step_spec: &StepSpec) -> u64 {
    let workers = service.workers.values().filter(|worker| {
        let labels = &worker.listing.labels;
        let label = step_spec.required_label.as_ref();
        worker.is_listed
            && label.is_none_or(|label| labels.contains(label))
            && service.is_allowed(key, &worker.listing.worker)
    });
    let room = workers.map(|worker| {
        let free = worker.free();
        let runs = worker.runs.keys().filter(|run| run.task.step == key);
        let allowance = step_spec.per_worker_limit.map_or(u64::MAX, |limit| {
            u64::from(limit).saturating_sub(runs.count() as u64)
        });
        let by_cpu = free.cpu_milli / step_spec.demand.cpu_milli;
        let by_memory = free.memory_mib / step_spec.demand.memory_mib;
        by_cpu.min(by_memory).min(allowance)
    });
    room.sum()
}

/// Returns a due step of the job that fits, if none of the job's tasks runs.
fn find_idle_step(service: &SimulatedService, id: PipelineId) -> Option<StepKey> {
    let job = service.jobs.get(&id)?;
    let progress = &service.owner.pipelines.get(&id)?.progress;
    let mut runs = service
        .workers
        .values()
        .flat_map(|worker| worker.runs.keys());
    if progress.phase.is_final() || runs.any(|run| run.task.step.pipeline == id) {
        return None;
    }
    let occurrences = progress.occurrences.iter();
    let mut idle = occurrences.filter_map(|(occurrence, steps)| {
        let is_done = |index: u32| {
            let mut tasks = steps[index as usize].tasks.iter();
            tasks.all(|task| task.place == TaskPlace::Done)
        };
        let mut keys = (0..).zip(&job.spec.steps).map(|(step, spec)| {
            let key = StepKey {
                pipeline: id,
                occurrence: *occurrence,
                step,
            };
            (key, spec)
        });
        keys.find(|(key, spec)| {
            let needed = if spec.gang { u64::from(spec.count) } else { 1 };
            let is_due = spec.after.iter().all(|index| is_done(*index)) && !is_done(key.step);
            is_due && count_room(service, *key, spec) >= needed
        })
    });
    idle.next().map(|(key, _)| key)
}

/// Returns whether a waiting gang precedes the step in the queue.
fn is_behind_gang(service: &SimulatedService, key: StepKey) -> bool {
    let ready = service.owner.ready.steps_of(|_| true).into_iter();
    let mut ahead = ready.take_while(|ready| *ready != key);
    ahead.any(|key| service.jobs[&key.pipeline].spec.steps[key.step as usize].gang)
}

fn has_free_capacity(service: &SimulatedService) -> bool {
    let workers = service.workers.values().filter(|worker| worker.is_listed);
    let (free, all) = workers.fold((0, 0), |(free, all), worker| {
        let capacity = worker.listing.capacity.cpu_milli;
        (free + worker.free().cpu_milli, all + capacity)
    });
    free * 100 >= all * FREE_PERCENT
}

/// Returns the state of the owner, with the jobs that have ready steps.
fn describe_owner(service: &SimulatedService) -> String {
    let mut report = String::new();
    for (rank, key) in service.owner.ready.steps() {
        let spec = &service.jobs[&key.pipeline].spec;
        let (step_spec, wait) = (&spec.steps[key.step as usize], service.waits.get(&key));
        let policy = &spec.policy;
        writeln!(report, "{key} {rank:?} {policy:?} {step_spec:?} {wait:?}").unwrap();
    }
    for line in service.owner.describe() {
        writeln!(report, "{line}").unwrap();
    }
    report
}

/// Since when something is not as it should be in the end.
#[derive(Debug, Default)]
struct LivenessWatch {
    /// Due steps with room of jobs without a run.
    idle_steps: BTreeMap<StepKey, Duration>,
    /// Runs that the owner assumes on a worker and that are not there.
    absent_runs: BTreeMap<(WorkerId, RunKey), Duration>,
    /// Listed workers that the owner has not claimed.
    unclaimed_workers: BTreeMap<WorkerId, Duration>,
}

impl LivenessWatch {
    /// Returns a description of what has not been as it should be for too long.
    fn check(&mut self, service: &SimulatedService) -> Option<String> {
        let ids = service.jobs.keys().filter(|_| has_free_capacity(service));
        let idle_steps = ids.filter_map(|id| find_idle_step(service, *id));
        let absent_runs = service.owner.workers.iter().flat_map(|(id, record)| {
            let runs = &service.workers[id].runs;
            let absent = record.runs.keys().filter(|run| !runs.contains_key(run));
            absent.map(|run| (id.clone(), *run))
        });
        let listed = service
            .workers
            .iter()
            .filter(|(_, worker)| worker.is_listed);
        let unclaimed_workers = listed.map(|(id, _)| id).filter(|id| {
            let record = service.owner.workers.get(*id);
            record.is_none_or(|record| record.contact != WorkerContact::Claimed)
        });
        let now = service.now;
        let step_limit = |key: &StepKey| {
            let is_behind_gang = is_behind_gang(service, *key);
            MAX_IDLE_TIME + ADVICE_TIME + GANG_TIME * u32::from(is_behind_gang)
        };
        let step = find_overdue(&mut self.idle_steps, idle_steps, step_limit, now);
        let run = find_overdue(&mut self.absent_runs, absent_runs, |_| MAX_IDLE_TIME, now);
        let worker = find_overdue(
            &mut self.unclaimed_workers,
            unclaimed_workers.cloned(),
            |_| MAX_IDLE_TIME,
            now,
        );
        let cause = match (step, run, worker) {
            (Some(step), ..) => format!("step {step} was passed over"),
            (_, Some((worker, run)), _) => format!("run {run:?} is not on worker {worker}"),
            (.., Some(worker)) => format!("worker {worker} is not claimed"),
            _ => return None,
        };
        Some(format!("{cause} at {now:?}\n{}", describe_owner(service)))
    }
}

/// Updates since when each of the present items has been present, and returns one that has
/// been for as long as `limit` returns.
fn find_overdue<T: Clone + Ord>(
    since: &mut BTreeMap<T, Duration>,
    present: impl Iterator<Item = T>,
    limit: impl Fn(&T) -> Duration,
    now: Duration,
) -> Option<T> {
    let present: BTreeSet<T> = present.collect();
    since.retain(|item, _| present.contains(item));
    for item in present {
        since.entry(item).or_insert(now);
    }
    let mut items = since.iter();
    items.find_map(|(item, since)| (now >= *since + limit(item)).then(|| item.clone()))
}

/// Runs the service with random jobs and faults.
///
/// # Errors
///
/// Returns a description of the first violation.
fn run(seed: u64) -> Result<(), String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut service = SimulatedService::new(seed, listings());
    let start = service.now;
    let (faults_end, watch_start) = (start + FAULT_TIME, start + FAULT_TIME + SETTLING_TIME);
    let end = watch_start + WATCH_TIME;
    let (mut next_job, mut next_fault, mut next_id) = (start, start + FAULT_INTERVAL, 1);
    let mut watch = LivenessWatch::default();
    if seed.is_multiple_of(3) {
        submit_oversized_jobs(&mut service);
    }
    service.is_faulty = true;
    while service.now < end {
        if service.now >= next_job && service.now + WATCH_TIME / 3 < end {
            let spec = random_job(&mut rng, service.wall_ms());
            service.submit(next_id, spec);
            next_id += 1;
            next_job += Duration::from_millis(rng.random_range(100..1_200));
        }
        if service.is_faulty && service.now >= next_fault {
            cause_fault(&mut service, &mut rng);
            next_fault += FAULT_INTERVAL;
        }
        if service.is_faulty && service.now >= faults_end {
            end_faults(&mut service, &mut rng);
        }
        service.advance();
        let now_ms = service.now.as_millis();
        let is_check_due = now_ms.is_multiple_of(CHECK_INTERVAL.as_millis());
        if is_check_due && let Some(report) = find_wrong_readiness(&service.owner) {
            return Err(format!("seed {seed}: {report} at {:?}", service.now));
        }
        if service.now >= watch_start
            && is_check_due
            && let Some(report) = watch.check(&service)
        {
            return Err(format!("seed {seed}: {report}"));
        }
    }
    Ok(())
}

/// Runs the service with random jobs and workers that fail all their runs, and watches the jobs that
/// are left once no others arrive.
///
/// # Errors
///
/// Returns a description of the first violation.
fn run_with_failing_workers(seed: u64) -> Result<(), String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut service = SimulatedService::new(seed, listings());
    let failing_from = service.now + FAILURE_TIME;
    let failing_until = failing_from + FAILURE_TIME;
    let end = failing_until + WATCH_TIME;
    let mut failing: BTreeSet<WorkerId> = service.workers.keys().cloned().collect();
    let sound_percent = rng.random_range(0..90);
    failing.retain(|_| rng.random_range(0..100) >= sound_percent);
    let (mut next_job, mut next_id) = (service.now, 1);
    let mut watch = LivenessWatch::default();
    while service.now < end {
        if service.now >= next_job && service.now < failing_until {
            let spec = random_job(&mut rng, service.wall_ms());
            service.submit(next_id, spec);
            next_id += 1;
            next_job += Duration::from_millis(rng.random_range(100..1_200));
        }
        service.advance();
        if (failing_from..failing_until).contains(&service.now) {
            let workers = service.workers.iter_mut();
            let workers = workers.filter(|(worker, _)| failing.contains(*worker));
            for run in workers.flat_map(|(_, worker)| worker.runs.values_mut()) {
                run.is_failing = true;
            }
        }
        let now_ms = service.now.as_millis();
        let is_check_due = now_ms.is_multiple_of(CHECK_INTERVAL.as_millis());
        if service.now >= failing_until
            && is_check_due
            && let Some(report) = watch.check(&service)
        {
            return Err(format!("seed {seed}: {report}"));
        }
    }
    Ok(())
}

/// Guards against a step that waits for a worker on which runs have failed, and that nothing but other
/// work would show to be sound.
#[test]
fn a_due_step_with_room_is_placed_after_failures() {
    let seeds = read_seeds(&FAILURE_SEEDS).into_iter();

    let failures = seeds.filter_map(|seed| run_with_failing_workers(seed).err());
    let failures: Vec<String> = failures.collect();

    let reports = failures.join("\n");
    assert!(
        failures.is_empty(),
        "{} seeds failed\n{reports}",
        failures.len()
    );
}

/// Guards against a step that waits although its turn has come and there is room: a
/// request that never ends, a run that does not exist, a step behind others that never
/// fit, or capacity that is reserved in vain.
#[test]
fn a_due_step_with_room_is_placed() {
    let seeds = read_seeds(&SEEDS).into_iter();

    let failures: Vec<String> = seeds.filter_map(|seed| run(seed).err()).collect();

    let reports = failures.join("\n");
    assert!(
        failures.is_empty(),
        "{} seeds failed\n{reports}",
        failures.len()
    );
}
