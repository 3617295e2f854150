//! Tests of which steps are ready, and of the work that keeps track of them.

use std::{collections::BTreeMap, time::Duration};

use super::fixtures::{
    OwnerFixture, WALL_MS, done, first_step, job, listing, observed, owner, step,
};
use crate::{
    EndedRun, PipelineEvent, PipelinePhase, PipelineSchedule, PipelineSpec, ResourceVector, RunKey,
    StartOrder, StepKey, StepProgress, StepSpec, TaskPlace,
    pipelines::state::{PipelineRecord, PipelineState},
};

/// Numbers of open steps, in ascending order.
const STEP_COUNTS: [u32; 3] = [80, 800, 8_000];

/// Factor by which the work for a step may exceed logarithmic growth, as for other decisions.
const GROWTH_MARGIN: f64 = 1.25;

/// Largest number of ends in a report of a worker.
const ENDS_PER_REPORT: usize = 500;

const WORKERS: [&str; 3] = ["w1", "w2", "w3"];

/// Returns a job with this number of steps in all its occurrences.
type JobShape = fn(u32) -> PipelineSpec;

/// Returns whether a step is ready by the progress of its job alone.
fn is_ready(record: &PipelineRecord, steps: &[StepProgress], step: usize) -> bool {
    let is_done = |step: &StepProgress| {
        let mut tasks = step.tasks.iter();
        tasks.all(|task| task.place == TaskPlace::Done)
    };
    let spec = &record.spec.steps[step];
    let mut dependencies = spec.after.iter();
    dependencies.all(|index| steps.get(*index as usize).is_some_and(is_done))
        && steps[step].waiting_tasks().next().is_some()
        && (!spec.gang || steps[step].is_unplaced())
        && !record.progress.phase.is_final()
}

/// Returns a description of the first step whose readiness or rank does not follow from the progress
/// of its job and the time.
pub(super) fn find_wrong_readiness(owner: &PipelineState) -> Option<String> {
    let mut ready_count = 0;
    for (id, record) in &owner.pipelines {
        for (occurrence, steps) in &record.progress.occurrences {
            for index in 0..steps.len() {
                let key = StepKey {
                    pipeline: *id,
                    occurrence: *occurrence,
                    step: u32::try_from(index).unwrap(),
                };
                let expected = is_ready(record, steps, index).then(|| {
                    let step = record.timing.step_rank(&record.spec, key, owner.wall_ms);
                    owner.scarcity.adjust_rank(key, step.rank)
                });
                let found = record.ready.get(&key).map(|step| step.rank);
                if found != expected {
                    return Some(format!("step {key} has {found:?}, not {expected:?}"));
                }
                ready_count += usize::from(expected.is_some());
            }
        }
    }
    let queued: BTreeMap<StepKey, _> = owner.ready.steps().map(|(rank, key)| (key, rank)).collect();
    let is_queued = |key: &StepKey| {
        let record = owner.pipelines.get(&key.pipeline);
        let step = record.and_then(|record| record.ready.get(key));
        queued.get(key).copied() == step.map(|step| step.rank)
    };
    let is_consistent = queued.keys().all(is_queued)
        && queued.len() == ready_count
        && owner.ready.len() == ready_count
        && owner.rank_changes.len() == ready_count;
    (!is_consistent).then(|| format!("{ready_count} steps are ready, {} queued", queued.len()))
}

/// Returns a step of which a worker runs thousands of tasks at a time.
fn small_step(after: Vec<u32>) -> StepSpec {
    StepSpec {
        demand: ResourceVector::new(1, 1, 0),
        after,
        ..step(1)
    }
}

/// Returns a job of one small step with this many occurrences, whose times are over.
fn overdue_job(occurrences: u32) -> PipelineSpec {
    PipelineSpec {
        schedule: Some(PipelineSchedule {
            first_unix_ms: WALL_MS - 1_000 * u64::from(occurrences),
            interval_ms: 1_000,
            occurrences,
        }),
        ..job(vec![small_step(Vec::new())])
    }
}

/// Returns a job of this many small steps.
fn wide_job(steps: u32) -> PipelineSpec {
    job((0..steps).map(|_| small_step(Vec::new())).collect())
}

/// Returns a job of one small step and others that depend on it.
fn fan_out_job(steps: u32) -> PipelineSpec {
    let first = [small_step(Vec::new())];
    let others = (1..steps).map(|_| small_step(vec![0]));
    job(first.into_iter().chain(others).collect())
}

/// Returns how often steps were updated or visited by a placement pass.
fn step_work(owner: &OwnerFixture) -> u64 {
    let load = owner.state.load();
    load.refreshed_steps + load.visited_steps
}

/// Reports the ends of runs, with a commit and a pass after each report.
fn end_runs(
    owner: &mut OwnerFixture,
    starts: &[StartOrder],
    end_counts: &mut BTreeMap<String, u64>,
) -> Vec<StartOrder> {
    let mut further = Vec::new();
    for worker in WORKERS {
        let runs = starts.iter().filter(|start| &*start.worker == worker);
        let runs: Vec<RunKey> = runs.map(|start| start.run).collect();
        for (index, ended) in runs.chunks(ENDS_PER_REPORT).enumerate() {
            let count = end_counts.entry(worker.to_owned()).or_default();
            let ends = ended.iter().map(|run| {
                *count += 1;
                done(*count, *run)
            });
            let ends: Vec<EndedRun> = ends.collect();
            let running = runs.iter().skip((index + 1) * ENDS_PER_REPORT);
            let running = running.map(|run| observed(*run)).collect();
            owner.report(worker, running, ends);
            further.extend(owner.start_all());
        }
    }
    for worker in WORKERS {
        owner.report(worker, Vec::new(), Vec::new());
    }
    further.extend(owner.start_all());
    further
}

/// Runs jobs to their ends, and returns the work for each of their steps.
fn run_jobs(jobs: u64, spec: &PipelineSpec, steps: u32) -> f64 {
    let mut owner = owner(&WORKERS);
    let work_before = step_work(&owner);
    for id in 1..=jobs {
        owner.submit(id, spec.clone());
    }
    let mut end_counts = BTreeMap::new();
    let mut starts = owner.start_all();
    while !starts.is_empty() {
        starts = end_runs(&mut owner, &starts, &mut end_counts);
    }
    let are_done = owner.phases.values();
    let mut are_done = are_done.map(|phase| *phase == PipelinePhase::Completed);
    assert!(are_done.all(|is_done| is_done) && owner.phases.len() as u64 == jobs);
    let work = u32::try_from(step_work(&owner) - work_before).unwrap();
    f64::from(work) / f64::from(steps)
}

/// Asserts that the work for a step grows at most with the logarithm of the number of steps.
fn assert_logarithmic(name: &str, work: impl Fn(u32) -> f64) {
    let [smallest, larger @ ..] = STEP_COUNTS;
    let base = work(smallest);
    for count in larger {
        let growth = f64::from(count).ln() / f64::from(smallest).ln();
        let (work, bound) = (work(count), base * growth * GROWTH_MARGIN);
        assert!(
            work <= bound,
            "{name}: {work} at {count}, {base} at {smallest}"
        );
    }
}

/// Guards against an owner that is busy for seconds with one job of many steps, while the leases of
/// its workers lapse: each start and each end updated all open steps of the job.
#[test]
fn a_job_of_many_steps_does_not_hold_up_its_owner() {
    for jobs in [1, 8] {
        let shapes: [(&str, JobShape); 3] = [
            ("occurrences", overdue_job),
            ("steps", wide_job),
            ("dependent steps", fan_out_job),
        ];
        for (name, spec) in shapes {
            let work =
                |steps: u32| run_jobs(jobs, &spec(steps / u32::try_from(jobs).unwrap()), steps);
            assert_logarithmic(&format!("{name} of {jobs} jobs"), work);
        }
    }
}

/// Guards against passes and ticks that go through all steps of a job which waits for a full service.
#[test]
fn a_job_of_many_steps_that_waits_does_not_slow_down_passes() {
    let tick_work = |jobs: u64, spec: &PipelineSpec| {
        let mut owner = owner(&["w1"]);
        let mut full = step(1);
        full.demand = ResourceVector::new(4_000, 4_096, 0);
        owner.submit(1, job(vec![full]));
        owner.start_all();
        for id in 2..2 + jobs {
            owner.submit(id, spec.clone());
        }
        // All steps are late and expire.
        owner.advance_clock(Duration::from_secs(30));
        owner.run_placement_pass();
        let work_before = step_work(&owner);
        for _ in 0..20 {
            owner.advance_clock(Duration::from_millis(50));
            owner.run_placement_pass();
        }
        let work = u32::try_from(step_work(&owner) - work_before).unwrap();
        f64::from(work)
    };
    for jobs in [1, 8] {
        let steps_of = |steps: u32| steps / u32::try_from(jobs).unwrap();
        assert_logarithmic("occurrences", |steps| {
            tick_work(jobs, &overdue_job(steps_of(steps)))
        });
        assert_logarithmic("steps", |steps| tick_work(jobs, &wide_job(steps_of(steps))));
    }
}

/// Guards against steps that keep the rank of a time that is over, or of one that has not come as the
/// wall clock was set back.
#[test]
fn ranks_follow_the_wall_clock() {
    let mut owner = owner(&["w1"]);
    let mut impossible = small_step(Vec::new());
    impossible.required_label = Some("z".to_owned());
    owner.submit(1, job(vec![impossible]));
    let rank = |owner: &OwnerFixture| owner.state.pipelines[&1].ready[&first_step(1)].rank;
    let in_time = rank(&owner);

    let mut ranks = Vec::new();
    for elapsed_ms in [1_400, 1_600, 7_400, 7_600, 1_600, 0] {
        owner.handle_event(PipelineEvent::Tick(WALL_MS + elapsed_ms));
        assert_eq!(find_wrong_readiness(&owner.state), None);
        ranks.push(rank(&owner));
    }

    let (late, expired) = (ranks[1], ranks[3]);
    assert!(in_time < late && late < expired);
    assert_eq!(ranks, [in_time, late, late, expired, late, in_time]);
}

/// Guards against occurrences that are added early, late or not at all.
#[test]
fn occurrences_are_due_once_their_time_is_over() {
    let spec = |interval_ms, occurrences| PipelineSpec {
        schedule: Some(PipelineSchedule {
            first_unix_ms: WALL_MS,
            interval_ms,
            occurrences,
        }),
        ..job(vec![step(1)])
    };
    let cases = [
        (spec(50, 9), 0, 0),
        (spec(50, 9), 1, 1),
        (spec(50, 9), 50, 1),
        (spec(50, 9), 51, 2),
        (spec(50, 9), 10_000, 9),
        (spec(0, 9), 0, 0),
        (spec(0, 9), 1, 9),
        (spec(u64::MAX, 9), 10_000, 1),
        (job(vec![step(1)]), 0, 1),
    ];
    for (spec, elapsed_ms, expected) in cases {
        let due = spec.due_occurrences(WALL_MS + elapsed_ms);

        assert_eq!(due, expected, "{:?} after {elapsed_ms} ms", spec.schedule);
    }
}

/// Guards against a successor that adds occurrences again, or passes over some of them.
#[test]
fn a_successor_goes_on_with_the_occurrences() {
    let mut first = owner(&WORKERS);
    first.submit(1, overdue_job(9));
    let starts = first.start_all();
    end_runs(&mut first, &starts[..4], &mut BTreeMap::new());
    let progress = first.durable[&1].clone();

    let mut second = owner(&WORKERS);
    let event = PipelineEvent::Stored(1, overdue_job(12).into(), Some(progress));
    second.handle_event(event);
    second.handle_event(PipelineEvent::Listed(listing("w1")));

    let progress = &second.state.pipelines[&1].progress;
    assert_eq!(progress.done.len(), 4);
    assert_eq!(progress.occurrences.len(), 8);
    assert_eq!(find_wrong_readiness(&second.state), None);
}
